//! A `Medium` in memory with injected faults: writes that were not synced can be lost in part, reordered or
//! torn, and any call can fail or be the last one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use crate::medium::Medium;

#[derive(Clone, Debug, Default)]
struct File {
    /// Bytes that survive a crash, and the writes since the last sync in order.
    synced: Vec<u8>,
    unsynced: Vec<Vec<u8>>,
    /// Whether the name survives a crash.
    name_synced: bool,
}

impl File {
    fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.synced.clone();
        self.unsynced.iter().for_each(|write| bytes.extend_from_slice(write));
        bytes
    }
}

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Number of calls until a power loss; all later calls fail.
    pub power_loss_after: Option<u64>,
    /// Number of calls after which appends find the disk full and write only half of their bytes.
    pub full_after: Option<u64>,
    /// Number of calls after which syncs fail.
    pub sync_fails_after: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<String, File>,
    /// Files removed or replaced by an operation that is not synced yet, with their contents.
    unsynced_names: BTreeMap<String, File>,
    faults: Faults,
    calls: u64,
}

/// Clones share one directory.
#[derive(Clone, Debug, Default)]
pub struct Memory(Rc<RefCell<State>>);

impl Memory {
    pub fn new() -> Self {
        Memory::default()
    }

    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.0.borrow_mut();
        (state.faults, state.calls) = (faults, 0);
    }

    pub fn calls(&self) -> u64 {
        self.0.borrow().calls
    }

    /// Simulates a power loss: a random part of what was not synced survives.
    pub fn crash(&self, rng: &mut fastrand::Rng) {
        let mut state = self.0.borrow_mut();
        let unsynced_names = std::mem::take(&mut state.unsynced_names);
        for (name, file) in unsynced_names {
            // An unsynced removal or rename may not have happened.
            if rng.bool() {
                state.files.entry(name).or_insert(file);
            }
        }
        state.files.retain(|_, file| file.name_synced || rng.bool());
        for file in state.files.values_mut() {
            let unsynced = std::mem::take(&mut file.unsynced);
            // Writes between syncs reach the disk in any order: each may be whole, torn or zeros.
            for write in unsynced {
                match rng.u8(0..4) {
                    0 => break,
                    1 => {
                        let part = rng.usize(0..=write.len());
                        file.synced.extend_from_slice(&write[..part]);
                        break;
                    }
                    2 => file.synced.extend(std::iter::repeat_n(0, write.len())),
                    _ => file.synced.extend_from_slice(&write),
                }
            }
            file.name_synced = true;
        }
        (state.faults, state.calls) = (Faults::default(), 0);
    }

    /// Replaces the bytes of a file, for instance to damage it.
    pub fn modify(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.0.borrow_mut();
        if let Some(file) = state.files.get_mut(name) {
            let mut bytes = file.bytes();
            change(&mut bytes);
            *file = File { synced: bytes, unsynced: Vec::new(), name_synced: true };
        }
    }

    /// An independent copy.
    pub fn copy(&self) -> Memory {
        let state = self.0.borrow();
        let files = state.files.clone();
        Memory(Rc::new(RefCell::new(State { files, ..State::default() })))
    }

    fn count_call(&self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.calls += 1;
        if state.faults.power_loss_after.is_some_and(|after| state.calls > after) {
            return Err(io::Error::other("power loss"));
        }
        Ok(())
    }

    fn with_file<T>(&self, name: &str, act: impl FnOnce(&mut File) -> T) -> io::Result<T> {
        let mut state = self.0.borrow_mut();
        state.files.get_mut(name).map(act).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Medium for Memory {
    fn names(&mut self) -> io::Result<Vec<String>> {
        self.count_call()?;
        Ok(self.0.borrow().files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.count_call()?;
        self.with_file(name, |file| file.bytes())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.count_call()?;
        let mut state = self.0.borrow_mut();
        if state.files.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        state.files.insert(name.to_owned(), File::default());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.count_call()?;
        let full = {
            let state = self.0.borrow();
            state.faults.full_after.is_some_and(|after| state.calls > after)
        };
        if full {
            self.with_file(name, |file| file.unsynced.push(bytes[..bytes.len() / 2].to_vec()))?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.with_file(name, |file| file.unsynced.push(bytes.to_vec()))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.count_call()?;
        let fails = {
            let state = self.0.borrow();
            state.faults.sync_fails_after.is_some_and(|after| state.calls > after)
        };
        if fails {
            // On some systems the pages count as clean after a failed sync, whether written or not.
            return Err(io::Error::other("sync failed"));
        }
        self.with_file(name, |file| {
            file.synced = file.bytes();
            file.unsynced.clear();
        })
    }

    fn sync_dir(&mut self) -> io::Result<()> {
        self.count_call()?;
        let mut state = self.0.borrow_mut();
        state.unsynced_names.clear();
        state.files.values_mut().for_each(|file| file.name_synced = true);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.count_call()?;
        let mut state = self.0.borrow_mut();
        let file = state.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.unsynced_names.insert(from.to_owned(), file.clone());
        if let Some(old) = state.files.insert(to.to_owned(), file) {
            state.unsynced_names.insert(to.to_owned(), old);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.count_call()?;
        let mut state = self.0.borrow_mut();
        let file = state.files.remove(name).ok_or(io::ErrorKind::NotFound)?;
        state.unsynced_names.insert(name.to_owned(), file);
        Ok(())
    }

    fn truncate(&mut self, name: &str, bytes: u64) -> io::Result<()> {
        self.count_call()?;
        self.with_file(name, |file| {
            let mut whole = file.bytes();
            whole.truncate(bytes as usize);
            *file = File { synced: whole, unsynced: Vec::new(), name_synced: file.name_synced };
        })
    }
}
