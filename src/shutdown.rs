//! What a router that was told to end still takes, and by when it has answered: a schedule on the caller's clock.
//!
//! The supervisor kills the process at a time that the router knows, and counts what is unanswered then as lost, but for
//! what came soon after the word to end. How long an answer will take is not known when a request comes: a server may hang
//! or write for longer than the process has. So nothing is sent to servers that came later than that, whatever connection
//! it came on; it is refused at once, and its client is served by another router.

/// What the supervisor promises a process that it tells to end. Times in ms from the word to end on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    /// Requests that came until then may be unanswered when the process is killed.
    pub owed_from_ms: f64,
    /// The kill comes no earlier.
    pub killed_after_ms: f64,
}

/// The word to end reaches a router later than it was sent, by a stall, a signal's way and what the thread was at: taking
/// ends so long before the supervisor's time. A stall is up to 150 ms.
const NOTICED_WITHIN_MS: f64 = 200.0;
/// The last answers are given so long before the kill, for the same reason and so that their bytes are written.
const ANSWERED_BEFORE_MS: f64 = 200.0;
/// Who is refused by a router that ends is served by another as soon as it asks again.
const RETRY_AFTER_MS: f64 = 50.0;

/// The last stretch of a router's life, from the word to end on. All times are clock times in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shutdown {
    /// When it was told to end.
    pub told_ms: f64,
    /// From now on no request is taken and no connection; connections without a request close.
    pub takes_until_ms: f64,
    /// By now each request has its final answer; streams that run go on.
    pub last_answers_ms: f64,
}

impl Shutdown {
    /// The schedule of a router that was told to end at a time.
    pub fn new(told_ms: f64, notice: Notice) -> Self {
        let takes_ms = (notice.owed_from_ms - NOTICED_WITHIN_MS).max(0.0);
        let answers_ms = (notice.killed_after_ms - ANSWERED_BEFORE_MS).max(takes_ms);
        Shutdown { told_ms, takes_until_ms: told_ms + takes_ms, last_answers_ms: told_ms + answers_ms }
    }

    /// Whether a request that is looked at now may be sent to servers. When it came does not matter: one that waited behind
    /// another could be answered no better.
    pub fn takes_requests(&self, now_ms: f64) -> bool {
        now_ms < self.takes_until_ms
    }
}

/// When a client whose request a stopping router refuses is asked to come again, in ms, where the settings allow a time up
/// to `most_ms`; 0 says none.
pub fn retry_after_ms(allowed: bool, most_ms: f64) -> f64 {
    if allowed {
        RETRY_AFTER_MS.min(most_ms)
    } else {
        0.0
    }
}
