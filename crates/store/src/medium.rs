//! The file operations that a store needs.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A directory of files. All writes append.
pub trait Medium {
    /// Names of all files.
    ///
    /// # Errors
    /// Errors of the file system, here and in the other methods.
    fn names(&mut self) -> io::Result<Vec<String>>;
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates a file; it is an error if the file exists.
    fn create(&mut self, name: &str) -> io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes all appended bytes of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Makes all created, renamed and removed names durable.
    fn sync_dir(&mut self) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Truncates a file to a length in bytes.
    fn truncate(&mut self, name: &str, bytes: u64) -> io::Result<()>;
}

/// A directory on disk, locked against other processes.
#[derive(Debug)]
pub struct Disk {
    dir: PathBuf,
    /// The file that was appended to last, kept open.
    open_file: Option<(String, File)>,
    _lock: Option<File>,
}

const LOCK: &str = "lock";

impl Disk {
    /// Opens a directory for this process alone and creates it if necessary.
    ///
    /// # Errors
    /// `WouldBlock` if another process holds the lock; otherwise errors of the file system.
    pub fn open(dir: &Path) -> io::Result<Disk> {
        std::fs::create_dir_all(dir)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(dir.join(LOCK))?;
        rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive)?;
        Ok(Disk { dir: dir.to_owned(), open_file: None, _lock: Some(lock) })
    }

    /// For reading only; takes no lock.
    pub fn open_read_only(dir: &Path) -> Disk {
        Disk { dir: dir.to_owned(), open_file: None, _lock: None }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open_file.as_ref().is_none_or(|(open_name, _)| open_name != name) {
            let file = OpenOptions::new().append(true).open(self.dir.join(name))?;
            self.open_file = Some((name.to_owned(), file));
        }
        self.open_file.as_mut().map(|(_, file)| file).ok_or_else(|| io::Error::other("no file"))
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
        self.open_file = Some((name.to_owned(), file));
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
        self.open_file = None;
        std::fs::rename(self.dir.join(from), self.dir.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_file = None;
        std::fs::remove_file(self.dir.join(name))
    }

    fn truncate(&mut self, name: &str, bytes: u64) -> io::Result<()> {
        self.open_file = None;
        let file = OpenOptions::new().write(true).open(self.dir.join(name))?;
        file.set_len(bytes)?;
        file.sync_all()
    }
}
