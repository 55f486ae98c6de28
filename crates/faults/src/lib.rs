//! The control file that a test shares with the fault-injecting library in a process under test: which system
//! calls fail and how often, the offset of the wall clock, and how often each fault was injected. The library
//! maps the file; the test reads and writes it with [`Control`] at any time while the process runs.

#![deny(missing_docs)]

use std::fs::File;
use std::io::Result;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The environment variable that names the control file to the library.
pub const CONTROL_VARIABLE: &str = "PADDLEPROXY_FAULTS";
/// The file name of the library.
pub const LIBRARY_FILE: &str = "libpaddleproxy_interpose.so";

/// The rate at which every call is affected; the control file holds rates as fractions of this.
pub const RATE_UNIT: f64 = 65536.0;

/// A fault that the library can inject. The discriminant is the index of the fault in the control file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A read from a socket returns fewer bytes than are available.
    ReadShort,
    /// A write to a socket accepts fewer bytes than it could.
    WriteShort,
    /// A read from a socket fails with EINTR.
    ReadInterrupted,
    /// A write to a socket fails with EINTR.
    WriteInterrupted,
    /// A read fails with ETIMEDOUT, EHOSTUNREACH or ECONNRESET, and the connection is broken from then on.
    ReadBroken,
    /// A write fails in the same way as for [`Fault::ReadBroken`].
    WriteBroken,
    /// `accept` fails with ECONNABORTED.
    AcceptAborted,
    /// `accept` fails with ENFILE or EMFILE.
    AcceptNoFiles,
    /// `accept` fails with ENOBUFS, ENOMEM or EPROTO.
    AcceptNoBuffers,
    /// `accept` fails with EINTR.
    AcceptInterrupted,
    /// `socket` fails with ENFILE, EMFILE or ENOBUFS.
    SocketFails,
    /// `connect` fails with EADDRNOTAVAIL or ENOBUFS.
    ConnectNoAddress,
    /// `connect` fails with ENETUNREACH or EHOSTUNREACH.
    ConnectUnreachable,
    /// `bind` fails with EADDRINUSE or ENOBUFS.
    BindFails,
    /// `listen` fails with EADDRINUSE.
    ListenFails,
    /// `epoll_wait` fails with EINTR.
    WaitInterrupted,
    /// The thread sleeps before a write to a socket.
    WriteStall,
    /// A write to a file fails with ENOSPC or EIO.
    FileWriteFails,
    /// A write to a file accepts only a part of the bytes.
    FileWriteShort,
    /// `fsync` or `fdatasync` fails with EIO.
    SyncFails,
    /// The thread sleeps before `fsync` or `fdatasync`.
    SyncSlow,
    /// `rename` fails with ENOSPC or EIO.
    RenameFails,
    /// Opening a file for reading fails with ENFILE or EMFILE.
    OpenFails,
}

impl Fault {
    /// All faults, in the order of their indices.
    pub const ALL: [Fault; 23] = [
        Fault::ReadShort,
        Fault::WriteShort,
        Fault::ReadInterrupted,
        Fault::WriteInterrupted,
        Fault::ReadBroken,
        Fault::WriteBroken,
        Fault::AcceptAborted,
        Fault::AcceptNoFiles,
        Fault::AcceptNoBuffers,
        Fault::AcceptInterrupted,
        Fault::SocketFails,
        Fault::ConnectNoAddress,
        Fault::ConnectUnreachable,
        Fault::BindFails,
        Fault::ListenFails,
        Fault::WaitInterrupted,
        Fault::WriteStall,
        Fault::FileWriteFails,
        Fault::FileWriteShort,
        Fault::SyncFails,
        Fault::SyncSlow,
        Fault::RenameFails,
        Fault::OpenFails,
    ];

    /// Its name in scripts and reports.
    pub fn name(self) -> &'static str {
        match self {
            Fault::ReadShort => "read-short",
            Fault::WriteShort => "write-short",
            Fault::ReadInterrupted => "read-interrupted",
            Fault::WriteInterrupted => "write-interrupted",
            Fault::ReadBroken => "read-broken",
            Fault::WriteBroken => "write-broken",
            Fault::AcceptAborted => "accept-aborted",
            Fault::AcceptNoFiles => "accept-no-files",
            Fault::AcceptNoBuffers => "accept-no-buffers",
            Fault::AcceptInterrupted => "accept-interrupted",
            Fault::SocketFails => "socket-fails",
            Fault::ConnectNoAddress => "connect-no-address",
            Fault::ConnectUnreachable => "connect-unreachable",
            Fault::BindFails => "bind-fails",
            Fault::ListenFails => "listen-fails",
            Fault::WaitInterrupted => "wait-interrupted",
            Fault::WriteStall => "write-stall",
            Fault::FileWriteFails => "file-write-fails",
            Fault::FileWriteShort => "file-write-short",
            Fault::SyncFails => "sync-fails",
            Fault::SyncSlow => "sync-slow",
            Fault::RenameFails => "rename-fails",
            Fault::OpenFails => "open-fails",
        }
    }

    /// The fault of that name.
    pub fn named(name: &str) -> Option<Fault> {
        Fault::ALL.into_iter().find(|fault| fault.name() == name)
    }
}

/// Offsets in the control file, in bytes. Numbers are in native byte order.
pub mod layout {
    use super::Fault;

    /// Seed of the random numbers of the library, 8 bytes.
    pub const SEED: usize = 0;
    /// Offset of the wall clock in ms, 8 bytes, signed.
    pub const WALL_OFFSET_MS: usize = 8;
    /// The longest sleep of a stalled write or a slow sync, in microseconds, 8 bytes.
    pub const STALL_US: usize = 16;
    /// The rate of each fault, 4 bytes each.
    pub const RATES: usize = 64;
    /// The number of injections of each fault, 8 bytes each.
    pub const COUNTS: usize = 256;
    /// Size of the file.
    pub const BYTES: usize = COUNTS + 8 * Fault::ALL.len();

    const _: () = assert!(RATES + 4 * Fault::ALL.len() <= COUNTS);
}

/// The control file of one or several processes.
pub struct Control {
    file: File,
    path: PathBuf,
}

impl Control {
    /// Creates a control file that injects no fault.
    ///
    /// # Errors
    /// The file can't be created.
    pub fn create(path: &Path, seed: u64) -> Result<Control> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; layout::BYTES], 0)?;
        file.write_all_at(&seed.to_ne_bytes(), layout::SEED as u64)?;
        Ok(Control { file, path: path.to_owned() })
    }

    /// Path of the file: the value for [`CONTROL_VARIABLE`].
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Sets the fraction of the calls concerned that a fault affects from now on.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_rate(&self, fault: Fault, fraction: f64) -> Result<()> {
        let rate = (fraction.clamp(0.0, 1.0) * RATE_UNIT) as u32;
        self.file.write_all_at(&rate.to_ne_bytes(), (layout::RATES + 4 * fault as usize) as u64)
    }

    /// Stops injecting faults; the wall clock keeps its offset.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn clear_rates(&self) -> Result<()> {
        Fault::ALL.into_iter().try_for_each(|fault| self.set_rate(fault, 0.0))
    }

    /// Sets the offset of the wall clock.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_wall_offset_ms(&self, offset_ms: i64) -> Result<()> {
        self.file.write_all_at(&offset_ms.to_ne_bytes(), layout::WALL_OFFSET_MS as u64)
    }

    /// Sets the longest sleep of a stalled write or a slow sync.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_stall_ms(&self, stall_ms: f64) -> Result<()> {
        let stall_us = (stall_ms * 1e3) as u64;
        self.file.write_all_at(&stall_us.to_ne_bytes(), layout::STALL_US as u64)
    }

    /// How often a fault has been injected.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn injected(&self, fault: Fault) -> Result<u64> {
        let mut count = [0; 8];
        self.file.read_exact_at(&mut count, (layout::COUNTS + 8 * fault as usize) as u64)?;
        Ok(u64::from_ne_bytes(count))
    }
}

/// Finds the library next to the running program or among the files that cargo built with it.
pub fn library() -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?;
    let directory = program.parent()?;
    let directories = [directory.to_owned(), directory.join("deps"), directory.parent()?.to_owned()];
    directories.into_iter().map(|directory| directory.join(LIBRARY_FILE)).find(|file| file.exists())
}
