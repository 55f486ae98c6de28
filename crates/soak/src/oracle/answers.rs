//! Checks that every accepted request got exactly one final response, and got it in time.

use super::shutdowns::{crossed_shutdown_close, ended_by_kill};
use super::{violation, CheckContext, Rule, Violation};
use crate::record::{Attempt, AttemptOutcome, Ending, Request};

/// A response that is late by no more than this is worthless to the client but breaks no rule, in ms.
const LATE_TOLERANCE_MS: f64 = 500.0;
/// A router ends an incomplete request with an error or a close within this, in ms.
const PARTIAL_REQUEST_LIMIT_MS: f64 = 3000.0;
/// An event is forwarded within this, in ms; [`DELAYED_STREAMS_SHARE`] of the streams may miss it.
const EVENT_DELAY_MS: f64 = 300.0;
const DELAYED_STREAMS_SHARE: f64 = 0.05;
/// With fewer streams in a play, the share of delayed streams is not significant.
const MIN_STREAMS: usize = 100;
/// A server counts as still writing if its last event is no older than this, in ms.
const STILL_WRITING_MS: f64 = 500.0;
/// A stopped router process reads what arrived in the meantime within this after it resumes, in ms.
const RESUME_MS: f64 = 300.0;

const ROUTER_FROZEN: [&str; 1] = ["router-freeze"];
const ROUTER_STOPPED: [&str; 3] = ["router-freeze", "router-stall", "write-stall"];
/// Troubles that may break the connection of a client.
const CLIENT_CONNECTION_BREAKS: [&str; 2] = ["read-broken", "write-broken"];
/// Troubles under which a router may close a new connection without reading from it.
const DESCRIPTORS_EXHAUSTED: [&str; 1] = ["clients-idle"];
/// Troubles on the side of the servers that legitimately break streams.
const STREAM_BREAKS: [&str; 13] = [
    "servers-hang",
    "servers-hang-midway",
    "servers-break-midway",
    "servers-restart",
    "servers-slow",
    "drains",
    "link-silent",
    "link-reset",
    "link-delay",
    "link-trickle",
    "link-last-byte",
    "read-broken",
    "write-broken",
];

pub(super) fn check(context: &CheckContext, found: &mut Vec<Violation>) {
    let (mut streams, mut delayed_streams) = (0, 0);
    for (id, request) in &context.observed.requests {
        if request.half {
            check_partial(context, id, request, found);
            continue;
        }
        let Some(sent_ms) = request.sent_ms else { continue };
        let Some((ended_ms, ending)) = request.ended else {
            found.push(violation(
                Rule::Lost,
                sent_ms,
                (id, request),
                "no response by the end of the play".into(),
            ));
            continue;
        };
        match ending {
            Ending::Whole { status } => {
                check_deadline(context, id, request, sent_ms, ended_ms, found);
                if status == 200 && !request.events_ms.is_empty() {
                    streams += 1;
                    delayed_streams += usize::from(has_delayed_event(context, id, request));
                }
            }
            Ending::Left => {}
            _ if ended_by_kill(context, id, request, (ended_ms, ending), found) => {}
            _ if lost_with_process(context, request, ended_ms) => {}
            Ending::Silent if context.trouble_active(&ROUTER_FROZEN, sent_ms, ended_ms) => {}
            Ending::Silent => {
                let what = format!("no response for {:.0} ms", ended_ms - sent_ms);
                found.push(violation(Rule::Lost, sent_ms, (id, request), what));
            }
            Ending::Closed => check_closed(context, id, request, sent_ms, ended_ms, found),
            Ending::Cut => check_cut(context, id, request, ended_ms, found),
        }
    }
    if streams >= MIN_STREAMS && delayed_streams as f64 > DELAYED_STREAMS_SHARE * streams as f64 {
        let what = format!("{delayed_streams} of {streams} streams had a delayed event");
        found.push(Violation { rule: Rule::EventsHeld, at_ms: 0.0, router: None, request: None, what });
    }
}

fn check_partial(context: &CheckContext, id: &str, request: &Request, found: &mut Vec<Violation>) {
    let Some((ended_ms, ending)) = request.ended else { return };
    let open_ms = ended_ms - request.started_ms;
    let frozen = context.trouble_active(&ROUTER_FROZEN, request.started_ms, ended_ms);
    if !frozen && ending != Ending::Left && open_ms > PARTIAL_REQUEST_LIMIT_MS + context.slack_ms(ended_ms) {
        let what = format!("an incomplete request stayed open for {open_ms:.0} ms");
        found.push(violation(Rule::HalfRequest, request.started_ms, (id, request), what));
    }
}

fn check_deadline(
    context: &CheckContext,
    id: &str,
    request: &Request,
    sent_ms: f64,
    ended_ms: f64,
    found: &mut Vec<Violation>,
) {
    let first_ms = request.response_started_ms.unwrap_or(ended_ms);
    let late_ms = first_ms - sent_ms - request.deadline_ms;
    let frozen = context.trouble_active(&ROUTER_FROZEN, sent_ms, first_ms);
    if !frozen && late_ms > LATE_TOLERANCE_MS + context.slack_ms(first_ms) {
        let what = format!("the response came {late_ms:.0} ms after the deadline");
        found.push(violation(Rule::Late, sent_ms, (id, request), what));
    }
}

/// Whether the router process was killed, or crashed, while it had this request.
fn lost_with_process(context: &CheckContext, request: &Request, ended_ms: f64) -> bool {
    let Some(process) = context.process(request) else { return false };
    // A kill that follows an overdue SIGTERM is no excuse: what is unanswered then counts as lost.
    let killed_outright_ms = process.killed_ms.filter(|_| process.terminated_ms.is_none());
    let crashed = process.ended.filter(|(_, code)| *code != Ok(0)).map(|(at_ms, _)| at_ms);
    let crashed = crashed.filter(|_| process.killed_ms.is_none());
    killed_outright_ms.or(crashed).is_some_and(|at_ms| at_ms <= ended_ms + RESUME_MS)
}

fn check_closed(
    context: &CheckContext,
    id: &str,
    request: &Request,
    sent_ms: f64,
    ended_ms: f64,
    found: &mut Vec<Violation>,
) {
    let attempted = !context.attempts(id).is_empty();
    // The close crossed the request, which was not read: the client sends it again.
    let close_crossed = !attempted && request.reused_connection
        || crossed_shutdown_close(context, request, ended_ms, context.attempts(id));
    let descriptors_exhausted =
        context.trouble_active(&DESCRIPTORS_EXHAUSTED, sent_ms - 1000.0, ended_ms) && !attempted;
    if !close_crossed
        && !descriptors_exhausted
        && !context.trouble_active(&CLIENT_CONNECTION_BREAKS, sent_ms, ended_ms)
    {
        let what =
            format!("closed after {:.0} ms without a response, attempted: {attempted}", ended_ms - sent_ms);
        found.push(violation(Rule::Lost, sent_ms, (id, request), what));
    }
}

fn check_cut(context: &CheckContext, id: &str, request: &Request, ended_ms: f64, found: &mut Vec<Violation>) {
    let from_ms = request.sent_ms.unwrap_or(request.started_ms);
    if context.trouble_active(&CLIENT_CONNECTION_BREAKS, from_ms, ended_ms) {
        return;
    }
    let finished = context
        .attempts(id)
        .iter()
        .any(|attempt| attempt.outcome == AttemptOutcome::Finished && !attempt.prefill_only);
    let stream_may_break = context.trouble_active(&STREAM_BREAKS, from_ms - 1000.0, ended_ms);
    let was_writing = |attempt: &&&Attempt| {
        let last_ms = attempt.events_ms.last().copied().unwrap_or(f64::NEG_INFINITY);
        attempt.outcome == AttemptOutcome::Unknown
            && attempt.ended_ms.is_some_and(|ended_ms| ended_ms - last_ms < STILL_WRITING_MS)
    };
    let while_writing = !stream_may_break && context.attempts(id).iter().any(|attempt| was_writing(&attempt));
    if finished || while_writing {
        let what = match finished {
            true => "its stream was cut although the server had written all of it",
            false => "its stream was cut while the server was writing",
        };
        let attempts: Vec<_> = context.attempts(id).iter().map(|attempt| attempt.text()).collect();
        let what = format!("{what}, {:.0} ms after it was sent; {}", ended_ms - from_ms, attempts.join(", "));
        found.push(violation(Rule::Lost, from_ms, (id, request), what));
    }
}

/// Whether an event reached its client more than [`EVENT_DELAY_MS`] after its server wrote it.
fn has_delayed_event(context: &CheckContext, id: &str, request: &Request) -> bool {
    let same_event_count = |attempt: &&&Attempt| attempt.events_ms.len() == request.events_ms.len();
    let Some(attempt) = context.attempts(id).iter().find(same_event_count) else { return false };
    let event_times = attempt.events_ms.iter().zip(&request.events_ms);
    event_times.into_iter().any(|(written_ms, received_ms)| {
        let router_stopped = context.trouble_active(&ROUTER_STOPPED, *written_ms, *received_ms);
        !router_stopped && received_ms - written_ms > EVENT_DELAY_MS + context.slack_ms(*received_ms)
    })
}
