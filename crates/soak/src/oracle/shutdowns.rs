//! What came while a router was told to end: its answer at the kill, and counts of what the play has crossed.

use serde::Serialize;

use super::{violation, Case, Rule, Violation};
use crate::configuration::REFUSED_AFTER_S;
use crate::record::{Attempt, Ending, Observations, Request};

/// Every limit of the platform is longer by this, in ms.
const LIMITS_MS: f64 = 50.0;
/// A connection that ends within this of the kill ended by it, in ms.
const BY_THE_KILL_MS: f64 = 5.0;
/// A close and a request that cross are this far apart at most, in ms.
const CROSSING_MS: f64 = 30.0;
const FROZEN: [&str; 1] = ["router-freeze"];
/// Troubles in which a router may miss the time of its last answers.
const MAY_MISS: [&str; 5] = ["router-freeze", "router-stall", "write-stall", "read-broken", "write-broken"];

/// How long after SIGTERM its router's process got a request, in ms; none before SIGTERM.
pub(super) fn after_sigterm_ms(observed: &Observations, request: &Request) -> Option<f64> {
    let process = observed.processes.get(request.router)?.get(request.generation)?;
    let after_ms = request.sent_ms? - process.terminated_ms?;
    (after_ms >= 0.0).then_some(after_ms)
}

/// Whether a request that came so long after SIGTERM has to be answered before the kill. A process that the system held for longer
/// than the platform's stalls may have heard of its end too late for that.
fn is_owed(case: &Case, request: &Request, after_ms: f64) -> bool {
    let sent_ms = request.sent_ms.unwrap_or(request.started_ms);
    let heard_late = case.was_on(&FROZEN, sent_ms - after_ms, sent_ms);
    !heard_late && after_ms > REFUSED_AFTER_S * 1e3 + LIMITS_MS + case.slack_ms(sent_ms)
}

/// What is owed at the kill is sent to no server.
pub(super) fn check(case: &Case, found: &mut Vec<Violation>) {
    for (id, request) in &case.observed.requests {
        let Some(after_ms) = after_sigterm_ms(case.observed, request) else { continue };
        let owed = is_owed(case, request, after_ms);
        if let Some(attempt) = case.attempts(id).first().filter(|_| owed) {
            let what =
                format!("came {after_ms:.0} ms after SIGTERM and was sent to server {}", attempt.server);
            found.push(violation(Rule::TakenLate, attempt.first_byte_ms, (id, request), what));
        }
    }
}

/// Judges a request that ended with its process: killed because it had not ended in its time. Whether it was one.
pub(super) fn ended_by_the_kill(
    case: &Case,
    id: &str,
    request: &Request,
    ended: (f64, Ending),
    found: &mut Vec<Violation>,
) -> bool {
    let (ended_ms, ending) = ended;
    let Some(process) = case.process(request) else { return false };
    let killed_ms = process.killed_ms.filter(|_| process.terminated_ms.is_some());
    let Some(killed_ms) = killed_ms.filter(|killed_ms| ended_ms >= killed_ms - BY_THE_KILL_MS) else {
        return false;
    };
    let (Some(sent_ms), Some(terminated_ms)) = (request.sent_ms, process.terminated_ms) else { return false };
    if sent_ms >= killed_ms {
        // The process was gone, and with it the connection.
        return true;
    }
    let after_ms = sent_ms - terminated_ms;
    let owed = is_owed(case, request, after_ms);
    // Its stream had begun and it had come in time: the platform lets it go.
    let runs = ending == Ending::Cut;
    if owed || !runs && !case.was_on(&MAY_MISS, killed_ms - 1000.0, killed_ms) {
        let what = format!(
            "sent {after_ms:.0} ms after SIGTERM, {ending:?} by the kill, which came {:.0} ms after it",
            killed_ms - terminated_ms
        );
        found.push(violation(Rule::Lost, sent_ms, (id, request), what));
    }
    true
}

/// Whether a request came as its router closed the connection at the end of its life, and was not read.
pub(super) fn crossed_the_end(case: &Case, request: &Request, ended_ms: f64, attempts: &[&Attempt]) -> bool {
    let late = after_sigterm_ms(case.observed, request).is_some();
    let apart_ms = ended_ms - request.sent_ms.unwrap_or(f64::NEG_INFINITY);
    late && attempts.is_empty() && apart_ms < CROSSING_MS + case.slack_ms(ended_ms)
}

/// What a play has crossed at the ends of processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ShutdownCounts {
    /// Processes that were told to end.
    pub told: usize,
    /// Those of them that the kill ended.
    pub killed: usize,
    /// Requests that came after SIGTERM.
    pub requests: usize,
    /// Those over 0.7 s after it: in all, served, refused (429, 503), with another whole answer, closed upon unread, and
    /// with part of an answer or none.
    pub late: usize,
    /// As above.
    pub late_served: usize,
    /// As above.
    pub late_refused: usize,
    /// As above.
    pub late_failed: usize,
    /// As above.
    pub late_closed: usize,
    /// As above.
    pub late_unanswered: usize,
}

impl ShutdownCounts {
    /// Counted from a record.
    pub fn of(observed: &Observations) -> ShutdownCounts {
        let mut counts = ShutdownCounts::default();
        for process in observed.processes.iter().flatten().filter(|process| process.terminated_ms.is_some()) {
            counts.told += 1;
            counts.killed += usize::from(process.killed_ms.is_some());
        }
        for request in observed.requests.values() {
            let Some(after_ms) = after_sigterm_ms(observed, request) else { continue };
            counts.requests += 1;
            if after_ms > REFUSED_AFTER_S * 1e3 {
                counts.count_late(request);
            }
        }
        counts
    }

    fn count_late(&mut self, request: &Request) {
        self.late += 1;
        let count = match request.ended {
            Some((_, Ending::Whole { status: 200 })) => &mut self.late_served,
            Some((_, Ending::Whole { status: 429 | 503 })) => &mut self.late_refused,
            Some((_, Ending::Whole { .. })) => &mut self.late_failed,
            Some((_, Ending::Closed)) => &mut self.late_closed,
            _ => &mut self.late_unanswered,
        };
        *count += 1;
    }
}

#[cfg(test)]
mod tests;
