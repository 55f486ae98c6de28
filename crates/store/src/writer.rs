//! A thread that owns a store, so that no router ever waits for a disk. Writes that arrive together are synced
//! together.

use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread::JoinHandle;

use tokio::sync::oneshot;

use crate::format::Op;
use crate::medium::Medium;
use crate::retention::{expired, CACHE_RECOVERY_LIMITS};
use crate::store::{Stats, Store};
use crate::Error;

/// Whether a durable write is on the disk.
pub type Acknowledged = oneshot::Receiver<Result<(), String>>;

enum Job {
    Write {
        ops: Vec<Op>,
        done: Option<oneshot::Sender<Result<(), String>>>,
    },
    Stats {
        stats: oneshot::Sender<Stats>,
    },
    /// Wall clock in ms since 1970: what is outdated by then goes.
    Sweep {
        now_ms: f64,
    },
}

/// Jobs that may wait for the thread; more are turned away at once.
const QUEUE: usize = 1024;
/// Jobs that are synced together at most.
const TOGETHER: usize = 512;

/// Talks to the thread; clones share it. The thread ends once the last of them is gone.
#[derive(Clone, Debug)]
pub struct Handle {
    jobs: SyncSender<Job>,
}

impl Handle {
    /// Starts the thread.
    ///
    /// # Errors
    /// What the system says.
    pub fn start<M: Medium + Send + 'static>(store: Store<M>) -> std::io::Result<(Handle, JoinHandle<()>)> {
        let (jobs, waiting) = sync_channel(QUEUE);
        let thread = std::thread::Builder::new().name("store".into()).spawn(move || run(store, &waiting))?;
        Ok((Handle { jobs }, thread))
    }

    /// Writes when there is time for it; false where the queue is full or the thread gone, and nothing is written.
    pub fn write_later(&self, ops: Vec<Op>) -> bool {
        self.jobs.try_send(Job::Write { ops, done: None }).is_ok()
    }

    /// Writes, and tells when it is on the disk.
    ///
    /// # Errors
    /// A queue that is full, or a thread that is gone: at once, and nothing is written.
    pub fn write_durable(&self, ops: Vec<Op>) -> Result<Acknowledged, Error> {
        let (done, acknowledged) = oneshot::channel();
        match self.jobs.try_send(Job::Write { ops, done: Some(done) }) {
            Ok(()) => Ok(acknowledged),
            Err(TrySendError::Full(_)) => {
                Err(Error::io("queueing a write", std::io::ErrorKind::WouldBlock.into()))
            }
            Err(TrySendError::Disconnected(_)) => Err(Error::Ended),
        }
    }

    /// Lets go of what is outdated at this wall clock, in ms since 1970.
    pub fn remove_expired(&self, now_ms: f64) {
        // A queue that is full has more urgent work; the next sweep does it.
        let _ = self.jobs.try_send(Job::Sweep { now_ms });
    }

    /// Asks for figures; None where the queue is full or the thread gone.
    pub async fn stats(&self) -> Option<Stats> {
        let (stats, answer) = oneshot::channel();
        self.jobs.try_send(Job::Stats { stats }).ok()?;
        answer.await.ok()
    }
}

fn run<M: Medium>(mut store: Store<M>, jobs: &Receiver<Job>) {
    while let Ok(first) = jobs.recv() {
        let mut waiting = Vec::new();
        let mut next = Some(first);
        while let Some(job) = next {
            match job {
                Job::Stats { stats } => drop(stats.send(store.stats())),
                Job::Sweep { now_ms } => {
                    let gone = expired(now_ms, &CACHE_RECOVERY_LIMITS, store.iter());
                    // What fails here is tried again at the next sweep.
                    let _ = store.write(&gone);
                }
                Job::Write { ops, done } => match (store.write(&ops), done) {
                    (Ok(()), Some(done)) => waiting.push(done),
                    (Err(cause), Some(done)) => drop(done.send(Err(cause.to_string()))),
                    (_, None) => {}
                },
            }
            next = if waiting.len() < TOGETHER { jobs.try_recv().ok() } else { None };
        }
        if !waiting.is_empty() {
            let synced = store.commit().map_err(|cause| cause.to_string());
            for done in waiting {
                // Whoever asked may have gone.
                let _ = done.send(synced.clone());
            }
        }
        if store.should_compact() {
            // The log before it stands where this fails, and it is tried again.
            let _ = store.compact();
        }
    }
    let _ = store.commit();
}
