//! A thread that owns a store, so that a router never waits for the disk. Writes that arrive together share
//! one sync.

use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread::JoinHandle;

use tokio::sync::oneshot;

use crate::format::Op;
use crate::medium::Medium;
use crate::retention::{expired, CACHE_RECOVERY_LIMITS};
use crate::store::{Stats, Store};
use crate::Error;

/// Resolves once a durable write is on the disk or has failed.
pub type Acknowledged = oneshot::Receiver<Result<(), String>>;

enum Job {
    Write {
        ops: Vec<Op>,
        done: Option<oneshot::Sender<Result<(), String>>>,
    },
    Stats {
        reply: oneshot::Sender<Stats>,
    },
    /// Deletes the entries that have expired by this wall clock time, in ms since 1970.
    RemoveExpired {
        now_ms: f64,
    },
}

/// Jobs that may wait for the thread; further ones are rejected at once.
const QUEUE_MAX_JOBS: usize = 1024;
/// Maximum number of writes that share one sync.
const MAX_BATCH_JOBS: usize = 512;

/// Sends jobs to the thread; clones share it. The thread ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    jobs: SyncSender<Job>,
}

impl Handle {
    /// Starts the thread.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn start<M: Medium + Send + 'static>(store: Store<M>) -> std::io::Result<(Handle, JoinHandle<()>)> {
        let (jobs, receiver) = sync_channel(QUEUE_MAX_JOBS);
        let thread = std::thread::Builder::new().name("store".into()).spawn(move || run(store, &receiver))?;
        Ok((Handle { jobs }, thread))
    }

    /// Writes without waiting. Returns false and writes nothing if the queue is full or the thread has ended.
    pub fn write_later(&self, ops: Vec<Op>) -> bool {
        self.jobs.try_send(Job::Write { ops, done: None }).is_ok()
    }

    /// Writes, and reports when the write is durable.
    ///
    /// # Errors
    /// The queue is full or the thread has ended: returns at once, and nothing is written.
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

    /// Deletes the entries that have expired by this wall clock time, in ms since 1970.
    pub fn remove_expired(&self, now_ms: f64) {
        // With a full queue the deletion is left to the next call.
        let _ = self.jobs.try_send(Job::RemoveExpired { now_ms });
    }

    /// Statistics of the store; None if the queue is full or the thread has ended.
    pub async fn stats(&self) -> Option<Stats> {
        let (reply, stats) = oneshot::channel();
        self.jobs.try_send(Job::Stats { reply }).ok()?;
        stats.await.ok()
    }
}

fn run<M: Medium>(mut store: Store<M>, jobs: &Receiver<Job>) {
    while let Ok(first) = jobs.recv() {
        let mut unacknowledged = Vec::new();
        let mut next = Some(first);
        while let Some(job) = next {
            match job {
                Job::Stats { reply } => drop(reply.send(store.stats())),
                Job::RemoveExpired { now_ms } => {
                    let deletions = expired(now_ms, &CACHE_RECOVERY_LIMITS, store.iter());
                    // A failed deletion is retried with the next `RemoveExpired`.
                    let _ = store.write(&deletions);
                }
                Job::Write { ops, done } => match (store.write(&ops), done) {
                    (Ok(()), Some(done)) => unacknowledged.push(done),
                    (Err(cause), Some(done)) => drop(done.send(Err(cause.to_string()))),
                    (_, None) => {}
                },
            }
            next = if unacknowledged.len() < MAX_BATCH_JOBS { jobs.try_recv().ok() } else { None };
        }
        if !unacknowledged.is_empty() {
            let synced = store.commit().map_err(|cause| cause.to_string());
            for done in unacknowledged {
                // The receiver may have been dropped.
                let _ = done.send(synced.clone());
            }
        }
        if store.should_compact() {
            // On failure the log stays as it is, and compaction is retried after the next jobs.
            let _ = store.compact();
        }
    }
    let _ = store.commit();
}
