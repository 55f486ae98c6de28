//! The control file that a test shares with the fault-injecting library in a process: which system calls fail how
//! often, how far the wall clock is off, and how often each fault was injected. The library maps the file; whoever
//! runs the process reads and writes it here, at any moment of the process's life.

#![deny(missing_docs)]

use std::fs::File;
use std::io::Result;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The environment variable that names the control file to the library.
pub const CONTROL_VARIABLE: &str = "PADDLEPROXY_FAULTS";
/// The library's file name.
pub const LIBRARY_FILE: &str = "libpaddleproxy_interpose.so";

/// Rates are parts of this.
pub const RATE_UNIT: f64 = 65536.0;

/// What the library can make go wrong. The discriminant is the fault's row in the control file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A read from a socket gives fewer bytes than are there.
    ReadShort,
    /// A write to a socket takes fewer bytes than there is room for.
    WriteShort,
    /// A read from a socket fails with EINTR.
    ReadInterrupted,
    /// A write to a socket fails with EINTR.
    WriteInterrupted,
    /// A read finds its connection broken: ETIMEDOUT, EHOSTUNREACH or ECONNRESET; it stays broken.
    ReadBroken,
    /// A write finds its connection broken, as above.
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
    /// A write to a file takes only a part.
    FileWriteShort,
    /// `fsync` or `fdatasync` fails with EIO.
    SyncFails,
    /// `fsync` or `fdatasync` takes long.
    SyncSlow,
    /// `rename` fails with ENOSPC or EIO.
    RenameFails,
    /// Opening a file for reading fails with ENFILE or EMFILE.
    OpenFails,
}

impl Fault {
    /// All, in the order of their rows.
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

/// Where things stand in the control file, in bytes. Numbers are in the machine's own byte order.
pub mod layout {
    use super::Fault;

    /// Seed of the library's chance, 8 bytes.
    pub const SEED: usize = 0;
    /// How far the wall clock is off, in ms, 8 bytes, signed.
    pub const WALL_OFFSET_MS: usize = 8;
    /// The longest stall before a write, in microseconds, 8 bytes.
    pub const STALL_US: usize = 16;
    /// One rate a fault, 4 bytes each.
    pub const RATES: usize = 64;
    /// One count of injections a fault, 8 bytes each.
    pub const COUNTS: usize = 256;
    /// Size of the file.
    pub const BYTES: usize = COUNTS + 8 * Fault::ALL.len();

    const _: () = assert!(RATES + 4 * Fault::ALL.len() <= COUNTS);
}

/// The control file of one process or of several.
pub struct Control {
    file: File,
    path: PathBuf,
}

impl Control {
    /// Makes a control file under which nothing fails.
    ///
    /// # Errors
    /// The file can't be made.
    pub fn create(path: &Path, seed: u64) -> Result<Control> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; layout::BYTES], 0)?;
        file.write_all_at(&seed.to_ne_bytes(), layout::SEED as u64)?;
        Ok(Control { file, path: path.to_owned() })
    }

    /// Where it is: the value of [`CONTROL_VARIABLE`].
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Lets a fault hit this part of the calls that it concerns, from now on.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_rate(&self, fault: Fault, part: f64) -> Result<()> {
        let rate = (part.clamp(0.0, 1.0) * RATE_UNIT) as u32;
        self.file.write_all_at(&rate.to_ne_bytes(), (layout::RATES + 4 * fault as usize) as u64)
    }

    /// Ends all faults; the wall clock stays as it is.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn clear_rates(&self) -> Result<()> {
        Fault::ALL.into_iter().try_for_each(|fault| self.set_rate(fault, 0.0))
    }

    /// Sets how far the wall clock is off.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_wall_offset_ms(&self, offset_ms: i64) -> Result<()> {
        self.file.write_all_at(&offset_ms.to_ne_bytes(), layout::WALL_OFFSET_MS as u64)
    }

    /// Sets the longest stall before a write.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_stall_ms(&self, stall_ms: f64) -> Result<()> {
        let stall_us = (stall_ms * 1e3) as u64;
        self.file.write_all_at(&stall_us.to_ne_bytes(), layout::STALL_US as u64)
    }

    /// How often a fault was injected so far.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn injected(&self, fault: Fault) -> Result<u64> {
        let mut count = [0; 8];
        self.file.read_exact_at(&mut count, (layout::COUNTS + 8 * fault as usize) as u64)?;
        Ok(u64::from_ne_bytes(count))
    }
}

/// The library, beside the running program or among what cargo built with it.
pub fn library() -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?;
    let folder = program.parent()?;
    let folders = [folder.to_owned(), folder.join("deps"), folder.parent()?.to_owned()];
    folders.into_iter().map(|folder| folder.join(LIBRARY_FILE)).find(|file| file.exists())
}
