//! The file work that a store needs, and no more.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A directory of files with plain names. All writes append.
pub trait Medium {
    /// Names of all files.
    ///
    /// # Errors
    /// As of the system, here and below.
    fn names(&mut self) -> io::Result<Vec<String>>;
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// A new file, which must not be there.
    fn create(&mut self, name: &str) -> io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// What was appended is on the disk when this returns.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Names that were made, changed and removed are on the disk when this returns.
    fn sync_dir(&mut self) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Cuts a file to so many bytes.
    fn truncate(&mut self, name: &str, bytes: u64) -> io::Result<()>;
}

/// A directory of the disk, held against other processes.
#[derive(Debug)]
pub struct Disk {
    dir: PathBuf,
    /// The file that is appended to, kept open.
    open: Option<(String, File)>,
    _lock: Option<File>,
}

const LOCK: &str = "lock";

impl Disk {
    /// Opens a directory, made if need be, for this process alone.
    ///
    /// # Errors
    /// `WouldBlock` where another process has it; else as of the system.
    pub fn open(dir: &Path) -> io::Result<Disk> {
        std::fs::create_dir_all(dir)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(dir.join(LOCK))?;
        rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive)?;
        Ok(Disk { dir: dir.to_owned(), open: None, _lock: Some(lock) })
    }

    /// For looking only: no lock is taken.
    pub fn open_read_only(dir: &Path) -> Disk {
        Disk { dir: dir.to_owned(), open: None, _lock: None }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new().append(true).open(self.dir.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        self.open.as_mut().map(|(_, file)| file).ok_or_else(|| io::Error::other("no file"))
    }
}

impl Medium for Disk {
    fn names(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.dir)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                names.extend(entry.file_name().into_string().ok().filter(|name| name != LOCK));
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.dir.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let file = OpenOptions::new().create_new(true).append(true).open(self.dir.join(name))?;
        self.open = Some((name.to_owned(), file));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_dir(&mut self) -> io::Result<()> {
        File::open(&self.dir)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        std::fs::rename(self.dir.join(from), self.dir.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        std::fs::remove_file(self.dir.join(name))
    }

    fn truncate(&mut self, name: &str, bytes: u64) -> io::Result<()> {
        self.open = None;
        let file = OpenOptions::new().write(true).open(self.dir.join(name))?;
        file.set_len(bytes)?;
        file.sync_all()
    }
}
