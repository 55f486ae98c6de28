//! Checks each attempt as it began: idempotency, draining servers, clients that had left, and the deadline
//! that was sent to the server.

use super::{violation, CheckContext, Rule, Violation};
use crate::configuration::{CLASSES, DRAIN_GRACE_MS};
use crate::record::{Attempt, AttemptOutcome, Availability, Ending, Idempotency, Request};

/// Tolerance on every time limit of the platform, in ms.
const LIMIT_TOLERANCE_MS: f64 = 50.0;
/// An attempt begins at most this long after its client has left, in ms.
const CLIENT_GONE_TOLERANCE_MS: f64 = 100.0;
/// A router may stall this long before it writes, in ms: the deadline sent to a server may exceed the
/// remaining time by as much.
const STALL_MS: f64 = 150.0;
/// A change counts as known to a router this long after discovery had it and was reachable, in ms.
const NOTIFICATION_LIMIT_MS: f64 = 6000.0;
/// Troubles that make discovery unreachable.
const DISCOVERY_UNREACHABLE: [&str; 3] = ["discovery-down", "discovery-slow", "watches-silent"];
/// Troubles that stop a router for longer than a stall.
const ROUTER_FROZEN: [&str; 1] = ["router-freeze"];
/// Troubles that may stall a router between its last check of the connections and its write.
const ROUTER_STALLED: [&str; 2] = ["router-stall", "write-stall"];
/// For this long after it resumes, a frozen router may act on decisions from before, in ms.
const RESUME_MS: f64 = 200.0;

pub(super) fn check(context: &CheckContext, found: &mut Vec<Violation>) {
    for attempt in &context.observed.attempts {
        let Some(request) = context.observed.requests.get(&attempt.request) else { continue };
        let at = (attempt.request.as_str(), request);
        let slack_ms = context.slack_ms(attempt.first_byte_ms);
        let frozen =
            context.trouble_active(&ROUTER_FROZEN, attempt.first_byte_ms - RESUME_MS, attempt.first_byte_ms);
        if let Some((left_ms, Ending::Left)) = request.ended {
            let late_ms = attempt.first_byte_ms - left_ms;
            let stalled = context.trouble_active(&ROUTER_STALLED, left_ms, attempt.first_byte_ms);
            let stall_ms = if stalled { STALL_MS } else { 0.0 };
            if late_ms > CLIENT_GONE_TOLERANCE_MS + stall_ms + slack_ms && !frozen {
                let what = format!("an attempt began {late_ms:.0} ms after its client had left");
                found.push(violation(Rule::ClientGone, attempt.first_byte_ms, at, what));
            }
        }
        if let Some((header_ms, sent_ms)) = attempt.deadline_header_ms.zip(request.sent_ms) {
            let left_ms = sent_ms + request.deadline_ms - attempt.first_byte_ms;
            // The deadline of a request that arrived while the router was frozen counts from when it could be
            // read.
            let unread_ms = context.trouble_remaining_ms(&ROUTER_FROZEN, sent_ms);
            if header_ms > left_ms + unread_ms + STALL_MS + slack_ms && !frozen {
                let what = format!("sent a deadline of {header_ms:.0} ms with {left_ms:.0} ms left");
                found.push(violation(Rule::DeadlineTold, attempt.first_byte_ms, at, what));
            }
        }
        if !frozen {
            check_drain(context, attempt, at, slack_ms, found);
        }
    }
    for (id, attempts) in &context.attempts {
        if let Some(request) = context.observed.requests.get(*id) {
            check_repeats(context, id, request, attempts, found);
        }
    }
}

/// When the router was notified that this server is leaving, if no later notification preceded the attempt.
fn leave_notified_ms(context: &CheckContext, attempt: &Attempt, request: &Request) -> Option<f64> {
    let before = |at_ms: f64| at_ms <= attempt.first_byte_ms;
    let received = context.observed.notifications.iter().filter(|notification| {
        let to = (notification.router, notification.generation, notification.server);
        to == (request.router, request.generation, attempt.server) && before(notification.at_ms)
    });
    let mut leaving_ms = None;
    for notification in received {
        leaving_ms = match notification.availability {
            Availability::Ready => None,
            Availability::Leaving => leaving_ms.or(Some(notification.at_ms)),
        };
    }
    leaving_ms.or_else(|| notified_at_latest_ms(context, attempt))
}

/// When a drain that discovery has counts as known to the router, whether or not the notification arrived.
fn notified_at_latest_ms(context: &CheckContext, attempt: &Attempt) -> Option<f64> {
    let changes = context.observed.health.iter().filter(|change| change.server == attempt.server);
    let last = changes.rev().find(|change| change.at_ms <= attempt.first_byte_ms)?;
    if last.availability == Availability::Ready {
        return None;
    }
    let notified_ms = last.at_ms + NOTIFICATION_LIMIT_MS;
    let unreachable = context.trouble_active(&DISCOVERY_UNREACHABLE, last.at_ms, attempt.first_byte_ms);
    (!unreachable && notified_ms <= attempt.first_byte_ms).then_some(notified_ms)
}

fn check_drain(
    context: &CheckContext,
    attempt: &Attempt,
    at: (&str, &Request),
    slack_ms: f64,
    found: &mut Vec<Violation>,
) {
    let Some(notified_ms) = leave_notified_ms(context, attempt, at.1) else { return };
    let after_ms = attempt.first_byte_ms - notified_ms;
    if after_ms > DRAIN_GRACE_MS + LIMIT_TOLERANCE_MS + slack_ms {
        let what =
            format!("sent to server {} {after_ms:.0} ms after the notification of its drain", attempt.server);
        found.push(violation(Rule::Drain, attempt.first_byte_ms, at, what));
    }
}

/// Work that may have run is only run again where its idempotency allows it, and a second copy only runs
/// beside the first where the settings allow that.
fn check_repeats(
    context: &CheckContext,
    id: &str,
    request: &Request,
    attempts: &[&Attempt],
    found: &mut Vec<Violation>,
) {
    let window_ms = CLASSES.iter().find(|class| class.idempotency == request.idempotency);
    let window_ms = window_ms.map_or(0.0, |class| class.window_s * 1e3);
    for (index, later) in attempts.iter().enumerate() {
        let slack_ms = context.slack_ms(later.first_byte_ms);
        let may_have_run = attempts[..index]
            .iter()
            .filter(|earlier| !earlier.prefill_only && earlier.outcome != AttemptOutcome::Declined);
        for earlier in may_have_run {
            let interval_ms = later.received_ms - earlier.received_ms;
            let repeat_forbidden = match request.idempotency {
                Idempotency::Repeatable => false,
                Idempotency::Once => true,
                Idempotency::ByKey => interval_ms > window_ms + LIMIT_TOLERANCE_MS + STALL_MS + slack_ms,
            };
            if repeat_forbidden && later.outcome != AttemptOutcome::Declined {
                let what = format!(
                    "ran at server {} and, {interval_ms:.0} ms later, at {}",
                    earlier.server, later.server
                );
                found.push(violation(Rule::Duplicate, later.first_byte_ms, (id, request), what));
            }
        }
        let open = |earlier: &&&Attempt| {
            earlier.ended_ms.is_none_or(|ended_ms| ended_ms > later.first_byte_ms + slack_ms)
        };
        let second_copy =
            !context.parameters.second_copies && attempts[..index].iter().any(|earlier| open(&earlier));
        if second_copy
            && !context.trouble_active(&LINK_SILENT, later.first_byte_ms - 5000.0, later.first_byte_ms)
        {
            let what = format!("sent to server {} while an earlier attempt was open", later.server);
            found.push(violation(Rule::SecondCopy, later.first_byte_ms, (id, request), what));
        }
    }
}

/// Troubles under which a server does not notice that a connection was closed.
const LINK_SILENT: [&str; 4] = ["link-silent", "link-delay", "link-last-byte", "link-trickle"];
