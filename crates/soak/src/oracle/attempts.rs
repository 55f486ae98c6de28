//! What each attempt had to keep at its beginning: effects, drains, clients who had gone, the time that it tells.

use super::{violation, Case, Rule, Violation};
use crate::configuration::{CLASSES, DRAIN_GRACE_MS};
use crate::record::{Attempt, AttemptOutcome, Availability, Ending, Idempotency, Request};

/// Every time limit of the platform is longer by this, in ms.
const LIMITS_MS: f64 = 50.0;
/// An attempt begins at most so long after its client has gone, in ms.
const GONE_MS: f64 = 100.0;
/// The time told is at most what is left and this, in ms; a router may be held up for so long before it writes.
const STALL_MS: f64 = 150.0;
/// A change counts as told this long after discovery had it and could be reached, in ms.
const TOLD_AT_LATEST_MS: f64 = 6000.0;
/// Troubles in which discovery can't be reached.
const UNREACHABLE: [&str; 3] = ["discovery-down", "discovery-slow", "watches-silent"];
/// Troubles in which a router stands still.
const FROZEN: [&str; 1] = ["router-freeze"];
/// Troubles in which a router may be held up between its last look and its write.
const HELD_UP: [&str; 2] = ["router-stall", "write-stall"];
/// How long after standing still a router may act on what it had decided before, in ms.
const AWAKE_MS: f64 = 200.0;

pub(super) fn check(case: &Case, found: &mut Vec<Violation>) {
    for attempt in &case.observed.attempts {
        let Some(request) = case.observed.requests.get(&attempt.request) else { continue };
        let at = (attempt.request.as_str(), request);
        let slack_ms = case.slack_ms(attempt.first_byte_ms);
        let frozen = case.was_on(&FROZEN, attempt.first_byte_ms - AWAKE_MS, attempt.first_byte_ms);
        if let Some((left_ms, Ending::Left)) = request.ended {
            let late_ms = attempt.first_byte_ms - left_ms;
            let held_up = case.was_on(&HELD_UP, left_ms, attempt.first_byte_ms);
            let stall_ms = if held_up { STALL_MS } else { 0.0 };
            if late_ms > GONE_MS + stall_ms + slack_ms && !frozen {
                let what = format!("an attempt began {late_ms:.0} ms after its client had gone");
                found.push(violation(Rule::ClientGone, attempt.first_byte_ms, at, what));
            }
        }
        if let Some((told_ms, sent_ms)) = attempt.deadline_header_ms.zip(request.sent_ms) {
            let left_ms = sent_ms + request.deadline_ms - attempt.first_byte_ms;
            // What came while the router stood still has its time counted from when it could be read.
            let unread_ms = case.goes_on_ms(&FROZEN, sent_ms);
            if told_ms > left_ms + unread_ms + STALL_MS + slack_ms && !frozen {
                let what = format!("told {told_ms:.0} ms where {left_ms:.0} were left");
                found.push(violation(Rule::DeadlineTold, attempt.first_byte_ms, at, what));
            }
        }
        if !frozen {
            drain(case, attempt, at, slack_ms, found);
        }
    }
    for (id, attempts) in &case.attempts {
        if let Some(request) = case.observed.requests.get(*id) {
            repeats(case, id, request, attempts, found);
        }
    }
}

/// When the router was last told that this server leaves, if that was its last word before the attempt.
fn told_leaving_ms(case: &Case, attempt: &Attempt, request: &Request) -> Option<f64> {
    let before = |at_ms: f64| at_ms <= attempt.first_byte_ms;
    let to_it = case.observed.notifications.iter().filter(|notification| {
        let to = (notification.router, notification.generation, notification.server);
        to == (request.router, request.generation, attempt.server) && before(notification.at_ms)
    });
    let mut leaving_ms = None;
    for notification in to_it {
        leaving_ms = match notification.availability {
            Availability::Ready => None,
            Availability::Leaving => leaving_ms.or(Some(notification.at_ms)),
        };
    }
    leaving_ms.or_else(|| told_at_latest_ms(case, attempt))
}

/// When a drain that discovery knows counts as told, arrived or not.
fn told_at_latest_ms(case: &Case, attempt: &Attempt) -> Option<f64> {
    let of_it = case.observed.health.iter().filter(|change| change.server == attempt.server);
    let last = of_it.rev().find(|change| change.at_ms <= attempt.first_byte_ms)?;
    if last.availability == Availability::Ready {
        return None;
    }
    let told_ms = last.at_ms + TOLD_AT_LATEST_MS;
    let unreachable = case.was_on(&UNREACHABLE, last.at_ms, attempt.first_byte_ms);
    (!unreachable && told_ms <= attempt.first_byte_ms).then_some(told_ms)
}

fn drain(case: &Case, attempt: &Attempt, at: (&str, &Request), slack_ms: f64, found: &mut Vec<Violation>) {
    let Some(told_ms) = told_leaving_ms(case, attempt, at.1) else { return };
    let after_ms = attempt.first_byte_ms - told_ms;
    if after_ms > DRAIN_GRACE_MS + LIMITS_MS + slack_ms {
        let what = format!("sent to server {} {after_ms:.0} ms after its drain was told", attempt.server);
        found.push(violation(Rule::Drain, attempt.first_byte_ms, at, what));
    }
}

/// What may have run is not run again but where that is harmless.
fn repeats(case: &Case, id: &str, request: &Request, attempts: &[&Attempt], found: &mut Vec<Violation>) {
    let window_ms = CLASSES.iter().find(|class| class.idempotency == request.idempotency);
    let window_ms = window_ms.map_or(0.0, |class| class.window_s * 1e3);
    for (row, later) in attempts.iter().enumerate() {
        let slack_ms = case.slack_ms(later.first_byte_ms);
        let ran = attempts[..row]
            .iter()
            .filter(|earlier| !earlier.prefill_only && earlier.outcome != AttemptOutcome::Declined);
        for earlier in ran {
            let apart_ms = later.received_ms - earlier.received_ms;
            let twice = match request.idempotency {
                Idempotency::Repeatable => false,
                Idempotency::Once => true,
                Idempotency::ByKey => apart_ms > window_ms + LIMITS_MS + STALL_MS + slack_ms,
            };
            if twice && later.outcome != AttemptOutcome::Declined {
                let what = format!(
                    "ran at server {} and, {apart_ms:.0} ms later, at {}",
                    earlier.server, later.server
                );
                found.push(violation(Rule::Duplicate, later.first_byte_ms, (id, request), what));
            }
        }
        let open = |earlier: &&&Attempt| {
            earlier.ended_ms.is_none_or(|ended_ms| ended_ms > later.first_byte_ms + slack_ms)
        };
        let second = !case.terms.second_copies && attempts[..row].iter().any(|earlier| open(&earlier));
        if second && !case.was_on(&SILENT, later.first_byte_ms - 5000.0, later.first_byte_ms) {
            let what = format!("sent to server {} while an earlier attempt was open", later.server);
            found.push(violation(Rule::SecondCopy, later.first_byte_ms, (id, request), what));
        }
    }
}

/// Troubles in which a server does not see that a connection was closed.
const SILENT: [&str; 4] = ["link-silent", "link-delay", "link-last-byte", "link-trickle"];
