//! What this router stores on disk for its next start: cache entries of the workers and idempotency keys. A
//! thread of its own owns the store.

use std::cell::{Cell, RefCell};
use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;

use paddleproxy::interface::{CacheEntry, PrefixId, SessionId, WorkerId};
use paddleproxy_store::format::{Kind, Op};
use paddleproxy_store::retention;
use paddleproxy_store::store::{Options, Store};
use paddleproxy_store::{Disk, Handle};
use tokio::time::timeout;
use tracing::{error, info, warn};

use crate::steady_clock::SteadyClock;

/// A request whose key is not on disk within this time is rejected.
const DISK_TIMEOUT: Duration = Duration::from_millis(1000);
const DIR: &str = "store";

/// Handle to the store. Without an open store nothing is written, and keys can't be stored.
pub struct State {
    handle: RefCell<Option<(Handle, JoinHandle<()>)>>,
    /// The clock of all stored times.
    pub steady_clock: SteadyClock,
    /// Writes skipped because the queue was full.
    pub writes_skipped: Cell<u64>,
    /// Durable writes that failed or took too long.
    pub writes_failed: Cell<u64>,
}

/// What an earlier run stored.
#[derive(Default)]
pub struct RecoveredState {
    cache_rows: Vec<(Vec<u8>, Vec<u8>)>,
    /// Customer, idempotency key, fingerprint of the request, and the remaining time to remember it, in ms.
    pub keys: Vec<(String, String, u64, f64)>,
}

impl RecoveredState {
    /// Cache entries that are still usable: recent, and of a server process that still runs (`starts` by
    /// server name).
    pub fn usable_cache_entries(
        &self,
        now_ms: f64,
        starts: &std::collections::BTreeMap<String, u64>,
    ) -> Vec<CacheEntry> {
        let entries = self.cache_rows.iter().map(|(key, value)| (key.as_slice(), value.as_slice()));
        let rows = retention::recover_cache_entries(
            now_ms,
            &retention::CACHE_RECOVERY_LIMITS,
            starts,
            retention::stored_cache_entries(entries),
        );
        rows.into_iter().map(CacheEntry::from).collect()
    }
}

impl State {
    /// Opens the store under the state directory. If that fails, the error is logged and the router runs
    /// without one.
    ///
    /// # Errors
    /// The store is locked by another process or belongs to another router: a configuration mistake.
    pub fn open(
        dir: &Path,
        router: usize,
        steady_clock: SteadyClock,
    ) -> anyhow::Result<(State, RecoveredState)> {
        let without_store = || State {
            handle: RefCell::new(None),
            steady_clock,
            writes_skipped: Cell::new(0),
            writes_failed: Cell::new(0),
        };
        let dir = dir.join(DIR);
        let disk = match Disk::open(&dir) {
            Ok(disk) => disk,
            Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => {
                anyhow::bail!(
                    "another process holds {}; give each router a state-dir of its own",
                    dir.display()
                );
            }
            Err(cause) => {
                error!(%cause, dir = %dir.display(), "NOTHING IS KEPT: the store can't be opened");
                return Ok((without_store(), RecoveredState::default()));
            }
        };
        let options = Options { router: router as u32, ..Options::default() };
        let store = match Store::open(disk, options) {
            Ok(store) => store,
            Err(cause @ paddleproxy_store::Error::OtherRouter { .. }) => return Err(cause.into()),
            Err(cause) => {
                error!(%cause, dir = %dir.display(), "NOTHING IS KEPT: the store can't be opened");
                return Ok((without_store(), RecoveredState::default()));
            }
        };
        for finding in &store.findings {
            let (segment, offset, what) = (&finding.segment, finding.offset, &finding.what);
            match finding.torn {
                true => {
                    info!(segment, offset, what, "truncated an incomplete record at the end of the store")
                }
                false => {
                    error!(segment, offset, what, "THE STORE IS DAMAGED; the damaged part is kept aside")
                }
            }
        }
        let now_ms = steady_clock.now_ms();
        let to_owned = |(key, value): (&[u8], &[u8])| (key.to_vec(), value.to_vec());
        let cache_rows = store.entries_of(Kind::Kept).map(to_owned).collect();
        let keys = retention::live_idempotency_records(now_ms, store.entries_of(Kind::Tokened));
        let keys = keys.into_iter().map(|(customer, key, fingerprint, remaining_ms)| {
            (customer.into(), key.into(), fingerprint, remaining_ms)
        });
        let recovered = RecoveredState { cache_rows, keys: keys.collect() };
        match Handle::start(store) {
            Ok((handle, thread)) => {
                handle.remove_expired(now_ms);
                Ok((State { handle: RefCell::new(Some((handle, thread))), ..without_store() }, recovered))
            }
            Err(cause) => {
                error!(%cause, "NOTHING IS KEPT: the store's thread can't be started");
                Ok((without_store(), recovered))
            }
        }
    }

    /// Queues a write without waiting for it.
    fn write_in_background(&self, ops: Vec<Op>) {
        if self.handle.borrow().as_ref().is_some_and(|(handle, _)| !handle.write_later(ops)) {
            self.writes_skipped.set(self.writes_skipped.get() + 1);
        }
    }

    /// Records that a server has cached the text of a session or prefix; written in the background.
    pub fn record_cached(
        &self,
        worker: &WorkerId,
        start: u64,
        session: SessionId,
        tokens: f64,
        prefix: Option<(PrefixId, f64)>,
    ) {
        let at_ms = self.steady_clock.now_ms();
        let op = |(text, tokens)| {
            let value =
                serde_json::to_vec(&retention::StoredCacheEntry { tokens, at_ms, start }).unwrap_or_default();
            Op::Put { key: retention::cache_entry_key(text, &worker.0), value }
        };
        self.write_in_background(retention::texts(session, tokens, prefix).map(op).collect());
    }

    /// Stores the idempotency key of a request before it is sent; on disk if this returns true.
    pub async fn store_key(&self, customer: &str, key: &str, fingerprint: u64, window_ms: f64) -> bool {
        let entry = retention::IdempotencyRecord {
            request_hash: fingerprint,
            until_ms: self.steady_clock.now_ms() + window_ms,
        };
        let value = serde_json::to_vec(&entry).unwrap_or_default();
        let op = Op::Put { key: retention::idempotency_key(customer, key), value };
        let done = self.handle.borrow().as_ref().and_then(|(handle, _)| handle.write_durable(vec![op]).ok());
        let stored = match done {
            Some(done) => matches!(timeout(DISK_TIMEOUT, done).await, Ok(Ok(Ok(())))),
            None => false,
        };
        if !stored {
            self.writes_failed.set(self.writes_failed.get() + 1);
            warn!("idempotency key could not be stored; request rejected");
        }
        stored
    }

    /// Deletes a key whose request never ran, so that it can be used again.
    pub fn delete_key(&self, customer: &str, key: &str) {
        self.write_in_background(vec![Op::Delete { key: retention::idempotency_key(customer, key) }]);
    }

    /// Deletes outdated entries.
    pub fn sweep(&self) {
        self.handle.borrow().iter().for_each(|(handle, _)| handle.remove_expired(self.steady_clock.now_ms()));
    }

    /// Writes what is queued and releases the directory.
    pub async fn close(&self) {
        let Some((handle, thread)) = self.handle.take() else { return };
        drop(handle);
        // A disk that hangs must not keep a router from ending.
        let _ = timeout(DISK_TIMEOUT, tokio::task::spawn_blocking(move || thread.join())).await;
    }
}
