//! A directory in memory that fails on demand: what was not synced can be lost in part, in any order, or torn, and any
//! call can fail or be the last.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use crate::medium::Medium;

#[derive(Clone, Debug, Default)]
struct File {
    /// What is on the disk for sure, and the writes since, in order.
    synced: Vec<u8>,
    since: Vec<Vec<u8>>,
    /// The name itself is on the disk.
    named: bool,
}

impl File {
    fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.synced.clone();
        self.since.iter().for_each(|write| bytes.extend_from_slice(write));
        bytes
    }
}

/// What is to go wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Calls until the power goes; all calls after it fail.
    pub power_loss_after: Option<u64>,
    /// Calls until one write finds the disk full, after part of it was written.
    pub full_after: Option<u64>,
    /// Calls until one sync fails.
    pub sync_fails_after: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<String, File>,
    /// Names that were removed or given up by a rename that is not synced yet, with what they held.
    before: BTreeMap<String, File>,
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

    /// The power goes: of what was not synced a part stays, as chance will have it.
    pub fn crash(&self, chance: &mut fastrand::Rng) {
        let mut state = self.0.borrow_mut();
        let before = std::mem::take(&mut state.before);
        for (name, file) in before {
            // A removal or a rename that was not synced may not have happened.
            if chance.bool() {
                state.files.entry(name).or_insert(file);
            }
        }
        state.files.retain(|_, file| file.named || chance.bool());
        for file in state.files.values_mut() {
            let since = std::mem::take(&mut file.since);
            // Writes between syncs reach the disk in any order: each may be there whole, torn, or as zeros.
            for write in since {
                match chance.u8(0..4) {
                    0 => break,
                    1 => {
                        let part = chance.usize(0..=write.len());
                        file.synced.extend_from_slice(&write[..part]);
                        break;
                    }
                    2 => file.synced.extend(std::iter::repeat_n(0, write.len())),
                    _ => file.synced.extend_from_slice(&write),
                }
            }
            file.named = true;
        }
        (state.faults, state.calls) = (Faults::default(), 0);
    }

    /// Changes the bytes of a file by hand.
    pub fn modify(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.0.borrow_mut();
        if let Some(file) = state.files.get_mut(name) {
            let mut bytes = file.bytes();
            change(&mut bytes);
            *file = File { synced: bytes, since: Vec::new(), named: true };
        }
    }

    /// A copy that goes its own way.
    pub fn copy(&self) -> Memory {
        let state = self.0.borrow();
        let files = state.files.clone();
        Memory(Rc::new(RefCell::new(State { files, ..State::default() })))
    }

    fn call(&self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.calls += 1;
        if state.faults.power_loss_after.is_some_and(|after| state.calls > after) {
            return Err(io::Error::other("no power"));
        }
        Ok(())
    }

    fn on<T>(&self, name: &str, act: impl FnOnce(&mut File) -> T) -> io::Result<T> {
        let mut state = self.0.borrow_mut();
        state.files.get_mut(name).map(act).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Medium for Memory {
    fn names(&mut self) -> io::Result<Vec<String>> {
        self.call()?;
        Ok(self.0.borrow().files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.call()?;
        self.on(name, |file| file.bytes())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.call()?;
        let mut state = self.0.borrow_mut();
        if state.files.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        state.files.insert(name.to_owned(), File::default());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.call()?;
        let full = {
            let state = self.0.borrow();
            state.faults.full_after.is_some_and(|after| state.calls > after)
        };
        if full {
            self.on(name, |file| file.since.push(bytes[..bytes.len() / 2].to_vec()))?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.on(name, |file| file.since.push(bytes.to_vec()))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.call()?;
        let fails = {
            let state = self.0.borrow();
            state.faults.sync_fails_after.is_some_and(|after| state.calls > after)
        };
        if fails {
            // As some systems do: the pages count as clean afterwards, written or not.
            return Err(io::Error::other("sync failed"));
        }
        self.on(name, |file| {
            file.synced = file.bytes();
            file.since.clear();
        })
    }

    fn sync_dir(&mut self) -> io::Result<()> {
        self.call()?;
        let mut state = self.0.borrow_mut();
        state.before.clear();
        state.files.values_mut().for_each(|file| file.named = true);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.call()?;
        let mut state = self.0.borrow_mut();
        let file = state.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.before.insert(from.to_owned(), file.clone());
        if let Some(old) = state.files.insert(to.to_owned(), file) {
            state.before.insert(to.to_owned(), old);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.call()?;
        let mut state = self.0.borrow_mut();
        let file = state.files.remove(name).ok_or(io::ErrorKind::NotFound)?;
        state.before.insert(name.to_owned(), file);
        Ok(())
    }

    fn truncate(&mut self, name: &str, bytes: u64) -> io::Result<()> {
        self.call()?;
        self.on(name, |file| {
            let mut whole = file.bytes();
            whole.truncate(bytes as usize);
            *file = File { synced: whole, since: Vec::new(), named: file.named };
        })
    }
}
