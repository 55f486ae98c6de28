//! Graceful shutdown: which requests a terminating router still accepts, and by when it has answered them.
//! A pure schedule on the caller's clock.
//!
//! The supervisor kills the process at the end of a grace period. A request that is unanswered then is
//! lost, unless it arrived soon after the termination signal. How long an answer takes is unknown when its
//! request arrives: a server may hang, or stream for longer than the grace period. Later requests are
//! therefore never forwarded, whatever connection they arrive on: they are rejected at once, and the client
//! retries at another router.

/// What the supervisor guarantees to a process that it terminates, in ms from the termination signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GracePeriod {
    /// Requests that arrive before this may be unanswered when the process is killed.
    pub answers_owed_after_ms: f64,
    /// The kill comes no earlier than this.
    pub kill_after_ms: f64,
}

/// The router may see the signal this much later than it was sent, in ms: a stall (up to 150 ms), signal
/// delivery, and whatever the event loop is busy with.
const SIGNAL_DELAY_MS: f64 = 200.0;
/// The last answers are sent this long before the kill, in ms: the same delay, and time to write them.
const LAST_ANSWERS_LEAD_MS: f64 = 200.0;
/// `Retry-After` of a rejected request, in ms: other routers serve it at once.
const RETRY_AFTER_MS: f64 = 50.0;

/// The schedule of one shutdown. All fields are clock times in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shutdown {
    /// When the termination signal was seen.
    pub requested_ms: f64,
    /// From this time on no request and no connection is accepted, and connections without a request are
    /// closed.
    pub accepts_until_ms: f64,
    /// From this time on every request has its final answer; only running streams go on.
    pub last_answers_ms: f64,
}

impl Shutdown {
    /// The schedule for a termination signal that was seen at `requested_ms`.
    pub fn new(requested_ms: f64, grace_period: GracePeriod) -> Self {
        let accepts_ms = (grace_period.answers_owed_after_ms - SIGNAL_DELAY_MS).max(0.0);
        let answers_ms = (grace_period.kill_after_ms - LAST_ANSWERS_LEAD_MS).max(accepts_ms);
        Shutdown {
            requested_ms,
            accepts_until_ms: requested_ms + accepts_ms,
            last_answers_ms: requested_ms + answers_ms,
        }
    }

    /// Whether a request that is handled now may be forwarded. Its arrival time does not matter: one that
    /// was queued behind another on its connection has no better chance to be answered.
    pub fn accepts_requests(&self, now_ms: f64) -> bool {
        now_ms < self.accepts_until_ms
    }
}

/// `Retry-After` of a request that a terminating router rejects, in ms: at most `max_ms`, and 0 (none)
/// where the settings do not allow it.
pub fn retry_after_ms(allowed: bool, max_ms: f64) -> f64 {
    if allowed {
        RETRY_AFTER_MS.min(max_ms)
    } else {
        0.0
    }
}
