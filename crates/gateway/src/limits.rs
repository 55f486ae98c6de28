//! How the limits that a router is told are shared out, by name. Resource limits only: nothing here says what is best
//! for a completion.

use paddleproxy::shutdown::GracePeriod;
use paddleproxy_platform::config::Limits;
use paddleproxy_platform::BODY_BYTES;

/// Descriptors that the process holds beside connections: the runtime's, standard streams, a file being read, the
/// listener, discovery's connection and the one that takes its place.
const OWN: usize = 16;
/// Of the rest: kept free for what is being accepted or closed, and for clients. Workers have what remains.
const SPARE: f64 = 0.08;
const CLIENTS: f64 = 0.45;
/// Part of the memory that bodies of open completions may take.
const BODIES: f64 = 0.2;

/// Bytes that a worker may take in a list: three names of 128 bytes, each escaped and indented, its address and numbers;
/// and how many workers a list always has room for.
const LISTED_BYTES: usize = 4 * 1024;
const LISTED: usize = 1024;
/// Beyond that a list may take this part of the memory.
const LISTS: f64 = 1.0 / 16.0;

/// A client has so long, in ms, to send a whole request from when it connected or began one, of the platform's 3 s.
pub const REQUEST_READ_TIMEOUT_MS: f64 = 2000.0;
/// A connection without a request may stay for so many times the workers' idle time.
pub const CLIENT_IDLE_FACTOR: f64 = 0.5;
/// A client that takes nothing for so long, in ms, is cut.
pub const CLIENT_WRITE_TIMEOUT_MS: f64 = 5000.0;
/// How long what a client still sends is read and thrown away after an error, in ms, so that it can read the error.
pub const LINGER_MS: f64 = 500.0;
/// The same where the connection's descriptor is wanted elsewhere.
pub const EVICTED_LINGER_MS: f64 = 50.0;
/// Bytes that are read ahead of the answer to the request before them.
pub const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// A stream whose worker has said nothing for so long, in ms, is cut: the platform allows 5 s, and what the router
/// sends on in the meantime is not lost.
pub const STREAM_IDLE_TIMEOUT_MS: f64 = 4000.0;
/// Events of one stream that may wait for its client.
pub const STREAM_QUEUE_PARTS: usize = 8;
/// A connection to a worker is closed after this part of the time after which the worker would.
pub const WORKER_IDLE_FACTOR: f64 = 0.6;
/// A connection rests so long, in ms, before it is used again: what comes behind an answer shows in that time.
pub const MIN_IDLE_BEFORE_REUSE_MS: f64 = 2.0;
/// How long what follows a refusal's head is waited for, in ms, so that its connection can be used again.
pub const REJECTION_BODY_TIMEOUT_MS: f64 = 1000.0;
/// How long a watch waits at discovery, in ms, and how long after a call that was silent.
pub const WATCH_HOLD_MS: f64 = 2000.0;
pub const WATCH_HOLD_AFTER_TIMEOUT_MS: f64 = 100.0;
/// How much longer its answer may take, in ms, where discovery is quick and where it is slow. A change counts as told 6 s
/// after discovery can be reached: the most, the pause after a failure and an answer as slow have room in that.
pub const WATCH_MIN_SLACK_MS: f64 = 1000.0;
pub const WATCH_MAX_SLACK_MS: f64 = 2800.0;
/// After a call that failed discovery is asked again after this, in ms: a watch goes on if it comes within 200 ms.
pub const DISCOVERY_RETRY_MS: f64 = 100.0;
/// Words that may wait for the core.
pub const CORE_QUEUE_EVENTS: usize = 1024;

/// The platform kills a router no earlier after SIGTERM than this, in ms, and the longest client timeout, which counts
/// as the second at most. What came before the first may be unanswered then.
const KILL_MS: f64 = 700.0;
const KILL_LONGEST_MS: f64 = 3000.0;

/// What the platform promises a router after SIGTERM whose longest client timeout is this, in ms.
pub fn grace_period(longest_ms: f64) -> GracePeriod {
    GracePeriod { answers_owed_after_ms: KILL_MS, kill_after_ms: KILL_MS + longest_ms.min(KILL_LONGEST_MS) }
}

/// Descriptors and bytes by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Connections of clients, and to workers.
    pub clients: usize,
    pub workers: usize,
    /// Bytes of bodies that open completions hold together.
    pub body_bytes: usize,
    /// Bytes of one list of workers; taken only while it is read.
    pub list_bytes: usize,
}

impl Shares {
    pub fn of(limits: &Limits) -> Self {
        let left = limits.sockets.saturating_sub(OWN) as f64 * (1.0 - SPARE);
        let clients = (left * CLIENTS) as usize;
        let body_bytes = (limits.memory_mb * BODIES * 1048576.0) as usize;
        Shares {
            clients: clients.max(1),
            workers: (left as usize).saturating_sub(clients).max(1),
            // One request of the largest size always fits.
            body_bytes: body_bytes.max(2 * BODY_BYTES),
            list_bytes: ((limits.memory_mb * LISTS * 1048576.0) as usize).max(LISTED * LISTED_BYTES),
        }
    }
}

#[cfg(test)]
mod tests;
