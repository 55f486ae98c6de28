//! Checks the requests that arrived while a router shut down, and counts them for the report.

use serde::Serialize;

use super::{violation, CheckContext, Rule, Violation};
use crate::configuration::REFUSED_AFTER_S;
use crate::record::{Attempt, Ending, Observations, Request};

/// Tolerance on every time limit of the platform, in ms.
const LIMIT_TOLERANCE_MS: f64 = 50.0;
/// A connection that ends at most this long before the kill counts as ended by it, in ms.
const KILL_TOLERANCE_MS: f64 = 5.0;
/// A request and the close that it crosses are at most this far apart, in ms.
const CROSSING_TOLERANCE_MS: f64 = 30.0;
const ROUTER_FROZEN: [&str; 1] = ["router-freeze"];
/// Troubles under which a router may be too late with its final responses.
const FINAL_RESPONSES_LATE: [&str; 5] =
    ["router-freeze", "router-stall", "write-stall", "read-broken", "write-broken"];

/// How long after SIGTERM the router process was sent a request, in ms; none for one that came before
/// SIGTERM.
pub(super) fn after_sigterm_ms(observed: &Observations, request: &Request) -> Option<f64> {
    let process = observed.processes.get(request.router)?.get(request.generation)?;
    let after_ms = request.sent_ms? - process.terminated_ms?;
    (after_ms >= 0.0).then_some(after_ms)
}

/// Whether a request that arrived this long after SIGTERM must be answered before the kill. That does not
/// hold for a process that was frozen for longer than a stall of the platform: it may have received SIGTERM
/// too late.
fn must_be_answered(context: &CheckContext, request: &Request, after_ms: f64) -> bool {
    let sent_ms = request.sent_ms.unwrap_or(request.started_ms);
    let sigterm_late = context.trouble_active(&ROUTER_FROZEN, sent_ms - after_ms, sent_ms);
    !sigterm_late && after_ms > REFUSED_AFTER_S * 1e3 + LIMIT_TOLERANCE_MS + context.slack_ms(sent_ms)
}

/// A request that must be answered before the kill must not be sent to a server.
pub(super) fn check(context: &CheckContext, found: &mut Vec<Violation>) {
    for (id, request) in &context.observed.requests {
        let Some(after_ms) = after_sigterm_ms(context.observed, request) else { continue };
        let answer_required = must_be_answered(context, request, after_ms);
        if let Some(attempt) = context.attempts(id).first().filter(|_| answer_required) {
            let what =
                format!("arrived {after_ms:.0} ms after SIGTERM and was sent to server {}", attempt.server);
            found.push(violation(Rule::TakenLate, attempt.first_byte_ms, (id, request), what));
        }
    }
}

/// Checks a request that was still open when its process was killed for not ending in time after SIGTERM.
/// Returns whether the request was of that kind.
pub(super) fn ended_by_kill(
    context: &CheckContext,
    id: &str,
    request: &Request,
    ended: (f64, Ending),
    found: &mut Vec<Violation>,
) -> bool {
    let (ended_ms, ending) = ended;
    let Some(process) = context.process(request) else { return false };
    let killed_ms = process.killed_ms.filter(|_| process.terminated_ms.is_some());
    let Some(killed_ms) = killed_ms.filter(|killed_ms| ended_ms >= killed_ms - KILL_TOLERANCE_MS) else {
        return false;
    };
    let (Some(sent_ms), Some(terminated_ms)) = (request.sent_ms, process.terminated_ms) else { return false };
    if sent_ms >= killed_ms {
        // The process had ended, and with it the connection.
        return true;
    }
    let after_ms = sent_ms - terminated_ms;
    let answer_required = must_be_answered(context, request, after_ms);
    // The platform accepts that the kill cuts a stream of a request that arrived early enough.
    let cut_stream = ending == Ending::Cut;
    if answer_required
        || !cut_stream && !context.trouble_active(&FINAL_RESPONSES_LATE, killed_ms - 1000.0, killed_ms)
    {
        let what = format!(
            "sent {after_ms:.0} ms after SIGTERM, {ending:?} by the kill {:.0} ms after SIGTERM",
            killed_ms - terminated_ms
        );
        found.push(violation(Rule::Lost, sent_ms, (id, request), what));
    }
    true
}

/// Whether a request crossed the close of its connection by a router that was shutting down, and was not
/// read.
pub(super) fn crossed_shutdown_close(
    context: &CheckContext,
    request: &Request,
    ended_ms: f64,
    attempts: &[&Attempt],
) -> bool {
    let late = after_sigterm_ms(context.observed, request).is_some();
    let interval_ms = ended_ms - request.sent_ms.unwrap_or(f64::NEG_INFINITY);
    late && attempts.is_empty() && interval_ms < CROSSING_TOLERANCE_MS + context.slack_ms(ended_ms)
}

/// How many shutdowns of routers, and of requests during them, a play had.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ShutdownCounts {
    /// Processes that were sent SIGTERM.
    pub told: usize,
    /// Those of them that ended by SIGKILL.
    pub killed: usize,
    /// Requests sent after SIGTERM.
    pub requests: usize,
    /// Requests sent more than 0.7 s after SIGTERM ([`REFUSED_AFTER_S`]).
    pub late: usize,
    /// Late requests answered with status 200.
    pub late_served: usize,
    /// Late requests answered with status 429 or 503.
    pub late_refused: usize,
    /// Late requests with any other complete response.
    pub late_failed: usize,
    /// Late requests whose connection was closed without a response.
    pub late_closed: usize,
    /// Late requests with part of a response or none.
    pub late_unanswered: usize,
}

impl ShutdownCounts {
    /// Counts them in a record.
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
