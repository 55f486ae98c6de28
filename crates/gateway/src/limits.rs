//! Timeouts and sizes of the gateway, and the division of the configured resource limits among their users.
//! Nothing here affects routing decisions.

use paddleproxy::shutdown::GracePeriod;
use paddleproxy_platform::config::Limits;
use paddleproxy_platform::MAX_BODY_BYTES;

/// Descriptors for other uses than connections of clients and to servers: the runtime, standard streams, a
/// file being read, the listener, the discovery connection and its replacement.
const RESERVED_DESCRIPTORS: usize = 16;
/// Share of the remaining descriptors that stays free for connections being accepted or closed.
const SPARE_SHARE: f64 = 0.08;
/// Share of the remaining descriptors for client connections. Connections to servers get the rest.
const CLIENT_SHARE: f64 = 0.45;
/// Share of the memory that bodies of open completions may use.
const BODY_MEMORY_SHARE: f64 = 0.2;

/// Most bytes that one server takes in a list: three names of 128 bytes, each escaped and indented, its
/// address and numbers.
const MAX_LISTED_SERVER_BYTES: usize = 4 * 1024;
/// Number of servers that a list always has room for.
const MIN_LISTED_SERVERS: usize = 1024;
/// Share of the memory that a list may use if that is more.
const LIST_MEMORY_SHARE: f64 = 1.0 / 16.0;

/// Time for a client to send a complete request, in ms, from its connect or its first byte. The platform
/// allows 3 s.
pub const REQUEST_READ_TIMEOUT_MS: f64 = 2000.0;
/// Idle timeout of client connections, as a multiple of the servers' idle timeout.
pub const CLIENT_IDLE_FACTOR: f64 = 0.5;
/// A client that does not accept an answer within this time, in ms, is disconnected.
pub const CLIENT_WRITE_TIMEOUT_MS: f64 = 5000.0;
/// How long bytes that a client still sends are read and discarded before a close, in ms, so that it can read
/// its answer.
pub const LINGER_MS: f64 = 500.0;
/// The same for an evicted connection, whose descriptor is needed for another one.
pub const EVICTED_LINGER_MS: f64 = 50.0;
/// Limit of the pipelined bytes that are read while an earlier request is being answered.
pub const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// A stream whose server has sent nothing for this time, in ms, is aborted. The platform allows 5 s; what the
/// router forwards in the meantime is not lost.
pub const STREAM_IDLE_TIMEOUT_MS: f64 = 4000.0;
/// Limit of what a server may send of a stream up to its first event, in bytes: comments, empty lines and the
/// framing of the chunks. An event of the largest size fits.
pub const MAX_OPENING_BYTES: usize = 128 * 1024;
/// Capacity of the queue from a server's stream to its client, in parts.
pub const STREAM_QUEUE_PARTS: usize = 8;
/// Idle timeout of connections to servers, as a fraction of the servers' own idle timeout.
pub const SERVER_IDLE_FACTOR: f64 = 0.6;
/// Time for which a connection stays idle before it is reused, in ms, so that unexpected bytes after an
/// answer are noticed.
pub const MIN_IDLE_BEFORE_REUSE_MS: f64 = 2.0;
/// Time limit for reading the rest of a server's rejection after its head, in ms, so that the connection can
/// be reused.
pub const REJECTION_BODY_TIMEOUT_MS: f64 = 1000.0;
/// How long discovery may hold a watch open, in ms.
pub const WATCH_HOLD_MS: f64 = 2000.0;
/// The same for the watch after a call that timed out, in ms.
pub const WATCH_HOLD_AFTER_TIMEOUT_MS: f64 = 100.0;
/// How much longer than the hold time an answer to a watch may take, in ms: the least, for a fast discovery,
/// and the most, for a slow one. A change counts as delivered 6 s after discovery is reachable; the longest
/// slack, the delay after a failure and an equally slow answer fit into that.
pub const WATCH_MIN_SLACK_MS: f64 = 1000.0;
pub const WATCH_MAX_SLACK_MS: f64 = 2800.0;
/// Delay before a failed discovery call is retried, in ms: discovery continues a watch that is renewed within
/// 200 ms.
pub const DISCOVERY_RETRY_MS: f64 = 100.0;
/// Capacity of the core's event queue.
pub const CORE_QUEUE_EVENTS: usize = 1024;

/// The platform kills a router no earlier after SIGTERM than this time, in ms, plus the longest client
/// timeout. A request that arrived within this time after SIGTERM may be unanswered at the kill.
const MIN_KILL_DELAY_MS: f64 = 700.0;
/// Limit of the client timeout that is added, in ms.
const MAX_KILL_EXTENSION_MS: f64 = 3000.0;

/// The grace period after SIGTERM that the platform promises to a router with this longest client timeout.
pub fn grace_period(longest_ms: f64) -> GracePeriod {
    GracePeriod {
        answers_owed_after_ms: MIN_KILL_DELAY_MS,
        kill_after_ms: MIN_KILL_DELAY_MS + longest_ms.min(MAX_KILL_EXTENSION_MS),
    }
}

/// The division of the configured descriptors and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to servers.
    pub workers: usize,
    /// Total size of the bodies of open completions, in bytes.
    pub body_bytes: usize,
    /// Size of one list of servers, in bytes; used only while it is read.
    pub list_bytes: usize,
}

impl Shares {
    pub fn of(limits: &Limits) -> Self {
        let available = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS) as f64 * (1.0 - SPARE_SHARE);
        let clients = (available * CLIENT_SHARE) as usize;
        let body_bytes = (limits.memory_mb * BODY_MEMORY_SHARE * 1048576.0) as usize;
        Shares {
            clients: clients.max(1),
            workers: (available as usize).saturating_sub(clients).max(1),
            // Two requests of the largest size always fit.
            body_bytes: body_bytes.max(2 * MAX_BODY_BYTES),
            list_bytes: ((limits.memory_mb * LIST_MEMORY_SHARE * 1048576.0) as usize)
                .max(MIN_LISTED_SERVERS * MAX_LISTED_SERVER_BYTES),
        }
    }
}

#[cfg(test)]
mod tests;
