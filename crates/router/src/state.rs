//! What this router keeps on its disk for the next start, by a thread that owns the store.

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

/// A client does not wait longer than this for the disk; then its request is turned away.
const DISK_WITHIN: Duration = Duration::from_millis(1000);
const DIR: &str = "store";

/// Lives as long as the router.
pub struct State {
    handle: RefCell<Option<(Handle, JoinHandle<()>)>>,
    /// By which times are kept.
    pub steady_clock: SteadyClock,
    /// Writes that found no room in the queue, and durable ones that failed.
    pub skipped: Cell<u64>,
    pub failed: Cell<u64>,
}

/// What an earlier run left.
#[derive(Default)]
pub struct RecoveredState {
    kept: Vec<(Vec<u8>, Vec<u8>)>,
    /// Customer, key, what was asked for, and how long it still matters, in ms.
    pub tokened: Vec<(String, String, u64, f64)>,
}

impl RecoveredState {
    /// What of it may be believed, given the processes that run now.
    pub fn usable_cache_entries(
        &self,
        now_ms: f64,
        starts: &std::collections::BTreeMap<String, u64>,
    ) -> Vec<CacheEntry> {
        let entries = self.kept.iter().map(|(key, value)| (key.as_slice(), value.as_slice()));
        let rows = retention::believe(now_ms, &retention::TRUST, starts, retention::stored(entries));
        rows.into_iter().map(CacheEntry::from).collect()
    }
}

impl State {
    /// Opens the store under the state directory. One that can't be opened is said loudly and done without, but for
    /// one that another process holds or that is another router's: that is a mistake to be mended first.
    ///
    /// # Errors
    /// Such a mistake.
    pub fn open(dir: &Path, router: usize, steady: SteadyClock) -> anyhow::Result<(State, RecoveredState)> {
        let none = || State {
            handle: RefCell::new(None),
            steady_clock: steady,
            skipped: Cell::new(0),
            failed: Cell::new(0),
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
                return Ok((none(), RecoveredState::default()));
            }
        };
        let options = Options { router: router as u32, ..Options::default() };
        let store = match Store::open(disk, options) {
            Ok(store) => store,
            Err(cause @ paddleproxy_store::Error::OtherRouter { .. }) => return Err(cause.into()),
            Err(cause) => {
                error!(%cause, dir = %dir.display(), "NOTHING IS KEPT: the store can't be opened");
                return Ok((none(), RecoveredState::default()));
            }
        };
        for finding in &store.findings {
            let (segment, offset, what) = (&finding.segment, finding.offset, &finding.what);
            match finding.torn {
                true => info!(segment, offset, what, "the end of the store was cut off"),
                false => error!(segment, offset, what, "THE STORE IS DAMAGED; what is broken is kept aside"),
            }
        }
        let now_ms = steady.now_ms();
        let owned = |(key, value): (&[u8], &[u8])| (key.to_vec(), value.to_vec());
        let kept = store.of(Kind::Kept).map(owned).collect();
        let tokened = retention::tokened(now_ms, store.of(Kind::Tokened));
        let tokened =
            tokened.into_iter().map(|(customer, key, wish, left)| (customer.into(), key.into(), wish, left));
        let left = RecoveredState { kept, tokened: tokened.collect() };
        match Handle::start(store) {
            Ok((handle, thread)) => {
                handle.sweep(now_ms);
                Ok((State { handle: RefCell::new(Some((handle, thread))), ..none() }, left))
            }
            Err(cause) => {
                error!(%cause, "NOTHING IS KEPT: no thread for the store");
                Ok((none(), left))
            }
        }
    }

    fn behind(&self, ops: Vec<Op>) {
        if self.handle.borrow().as_ref().is_some_and(|(handle, _)| !handle.behind(ops)) {
            self.skipped.set(self.skipped.get() + 1);
        }
    }

    /// A server keeps a text; written when there is time.
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
            let value = serde_json::to_vec(&retention::Kept { tokens, at_ms, start }).unwrap_or_default();
            Op::Put { key: retention::kept_key(text, &worker.0), value }
        };
        self.behind(retention::texts(session, tokens, prefix).map(op).collect());
    }

    /// Work with a key is about to be sent; on the disk when this returns true.
    pub async fn remember(&self, customer: &str, key: &str, wish: u64, window_ms: f64) -> bool {
        let work = retention::Tokened { wish, until_ms: self.steady_clock.now_ms() + window_ms };
        let value = serde_json::to_vec(&work).unwrap_or_default();
        let op = Op::Put { key: retention::tokened_key(customer, key), value };
        let done = self.handle.borrow().as_ref().and_then(|(handle, _)| handle.durable(vec![op]).ok());
        let kept = match done {
            Some(done) => matches!(timeout(DISK_WITHIN, done).await, Ok(Ok(Ok(())))),
            None => false,
        };
        if !kept {
            self.failed.set(self.failed.get() + 1);
            warn!("work with a key could not be kept and is turned away");
        }
        kept
    }

    /// It never ran: its key is as new.
    pub fn forget(&self, customer: &str, key: &str) {
        self.behind(vec![Op::Delete { key: retention::tokened_key(customer, key) }]);
    }

    /// Lets go of what is outdated.
    pub fn sweep(&self) {
        self.handle.borrow().iter().for_each(|(handle, _)| handle.sweep(self.steady_clock.now_ms()));
    }

    /// Writes what waits and lets go of the directory.
    pub async fn close(&self) {
        let Some((handle, thread)) = self.handle.take() else { return };
        drop(handle);
        // A disk that hangs must not keep a router from ending.
        let _ = timeout(DISK_WITHIN, tokio::task::spawn_blocking(move || thread.join())).await;
    }
}
