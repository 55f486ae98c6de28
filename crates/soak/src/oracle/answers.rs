//! One final answer, in time, for each request that was taken.

use super::shutdowns::{crossed_the_end, ended_by_the_kill};
use super::{violation, Case, Rule, Violation};
use crate::record::{Attempt, AttemptOutcome, Ending, Request};

/// Up to so long after its time an answer only earns nothing, in ms.
const LATE_MS: f64 = 500.0;
/// Half a request has its error or close within this, in ms.
const HALF_MS: f64 = 3000.0;
/// An event is forwarded within this, in ms, but for one stream in so many.
const EVENT_MS: f64 = 300.0;
const STREAMS_HELD: f64 = 0.05;
/// Streams of a play below which a share says nothing.
const STREAMS_LEAST: usize = 100;
/// A server that wrote an event this short a time ago was still writing, in ms.
const WRITING_MS: f64 = 500.0;
/// A stopped router reads what came meanwhile within this after it goes on, in ms.
const AWAKE_MS: f64 = 300.0;

const FROZEN: [&str; 1] = ["router-freeze"];
const STOPPED: [&str; 3] = ["router-freeze", "router-stall", "write-stall"];
/// Troubles in which a client's own connection may break.
const BROKEN: [&str; 2] = ["read-broken", "write-broken"];
/// Troubles in which a new connection may be shut unread.
const CROWDED: [&str; 1] = ["clients-idle"];
/// Troubles of the servers' side under which a stream may break for good reason.
const STREAMS_BREAK: [&str; 13] = [
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

pub(super) fn check(case: &Case, found: &mut Vec<Violation>) {
    let (mut streams, mut held_back) = (0, 0);
    for (id, request) in &case.observed.requests {
        if request.half {
            half(case, id, request, found);
            continue;
        }
        let Some(sent_ms) = request.sent_ms else { continue };
        let Some((ended_ms, ending)) = request.ended else {
            found.push(violation(
                Rule::Lost,
                sent_ms,
                (id, request),
                "no answer to the end of the play".into(),
            ));
            continue;
        };
        match ending {
            Ending::Whole { status } => {
                in_time(case, id, request, sent_ms, ended_ms, found);
                if status == 200 && !request.events_ms.is_empty() {
                    streams += 1;
                    held_back += usize::from(held(case, id, request));
                }
            }
            Ending::Left => {}
            _ if ended_by_the_kill(case, id, request, (ended_ms, ending), found) => {}
            _ if died_with_it(case, request, ended_ms) => {}
            Ending::Silent if case.was_on(&FROZEN, sent_ms, ended_ms) => {}
            Ending::Silent => {
                let what = format!("nothing heard for {:.0} ms", ended_ms - sent_ms);
                found.push(violation(Rule::Lost, sent_ms, (id, request), what));
            }
            Ending::Closed => closed(case, id, request, sent_ms, ended_ms, found),
            Ending::Cut => cut(case, id, request, ended_ms, found),
        }
    }
    if streams >= STREAMS_LEAST && held_back as f64 > STREAMS_HELD * streams as f64 {
        let what = format!("{held_back} of {streams} streams had an event held back");
        found.push(Violation { rule: Rule::EventsHeld, at_ms: 0.0, router: None, request: None, what });
    }
}

fn half(case: &Case, id: &str, request: &Request, found: &mut Vec<Violation>) {
    let Some((ended_ms, ending)) = request.ended else { return };
    let took_ms = ended_ms - request.started_ms;
    let frozen = case.was_on(&FROZEN, request.started_ms, ended_ms);
    if !frozen && ending != Ending::Left && took_ms > HALF_MS + case.slack_ms(ended_ms) {
        let what = format!("half a request stood for {took_ms:.0} ms");
        found.push(violation(Rule::HalfRequest, request.started_ms, (id, request), what));
    }
}

fn in_time(
    case: &Case,
    id: &str,
    request: &Request,
    sent_ms: f64,
    ended_ms: f64,
    found: &mut Vec<Violation>,
) {
    let first_ms = request.response_started_ms.unwrap_or(ended_ms);
    let late_ms = first_ms - sent_ms - request.deadline_ms;
    let frozen = case.was_on(&FROZEN, sent_ms, first_ms);
    if !frozen && late_ms > LATE_MS + case.slack_ms(first_ms) {
        let what = format!("the answer came {late_ms:.0} ms after the deadline");
        found.push(violation(Rule::Late, sent_ms, (id, request), what));
    }
}

/// Whether the process was killed, or crashed, with this request in it.
fn died_with_it(case: &Case, request: &Request, ended_ms: f64) -> bool {
    let Some(process) = case.process(request) else { return false };
    // Killed because it had not ended in time after SIGTERM: what is unanswered then is lost.
    let outright = process.killed_ms.filter(|_| process.terminated_ms.is_none());
    let crashed = process.ended.filter(|(_, code)| *code != Ok(0)).map(|(at_ms, _)| at_ms);
    let crashed = crashed.filter(|_| process.killed_ms.is_none());
    outright.or(crashed).is_some_and(|at_ms| at_ms <= ended_ms + AWAKE_MS)
}

fn closed(case: &Case, id: &str, request: &Request, sent_ms: f64, ended_ms: f64, found: &mut Vec<Violation>) {
    let attempted = !case.attempts(id).is_empty();
    // Closed as the request came, and not read: the client sends it once more.
    let crossed = !attempted && request.reused_connection
        || crossed_the_end(case, request, ended_ms, case.attempts(id));
    let crowded = case.was_on(&CROWDED, sent_ms - 1000.0, ended_ms) && !attempted;
    if !crossed && !crowded && !case.was_on(&BROKEN, sent_ms, ended_ms) {
        let what =
            format!("closed after {:.0} ms without an answer, attempted: {attempted}", ended_ms - sent_ms);
        found.push(violation(Rule::Lost, sent_ms, (id, request), what));
    }
}

fn cut(case: &Case, id: &str, request: &Request, ended_ms: f64, found: &mut Vec<Violation>) {
    let from_ms = request.sent_ms.unwrap_or(request.started_ms);
    if case.was_on(&BROKEN, from_ms, ended_ms) {
        return;
    }
    let whole = case
        .attempts(id)
        .iter()
        .any(|attempt| attempt.outcome == AttemptOutcome::Finished && !attempt.prefill_only);
    let troubled = case.was_on(&STREAMS_BREAK, from_ms - 1000.0, ended_ms);
    let writes = |attempt: &&&Attempt| {
        let last_ms = attempt.events_ms.last().copied().unwrap_or(f64::NEG_INFINITY);
        attempt.outcome == AttemptOutcome::Unknown
            && attempt.ended_ms.is_some_and(|ended_ms| ended_ms - last_ms < WRITING_MS)
    };
    let writing = !troubled && case.attempts(id).iter().any(|attempt| writes(&attempt));
    if whole || writing {
        let what = match whole {
            true => "its stream was cut although the server wrote all of it",
            false => "its stream was cut while the server wrote",
        };
        let attempts: Vec<_> = case.attempts(id).iter().map(|attempt| attempt.text()).collect();
        let what = format!("{what}, {:.0} ms after it was sent; {}", ended_ms - from_ms, attempts.join(", "));
        found.push(violation(Rule::Lost, from_ms, (id, request), what));
    }
}

/// Whether an event reached its client long after its server wrote it.
fn held(case: &Case, id: &str, request: &Request) -> bool {
    let same = |attempt: &&&Attempt| attempt.events_ms.len() == request.events_ms.len();
    let Some(attempt) = case.attempts(id).iter().find(same) else { return false };
    let pairs = attempt.events_ms.iter().zip(&request.events_ms);
    pairs.into_iter().any(|(wrote_ms, came_ms)| {
        let stopped = case.was_on(&STOPPED, *wrote_ms, *came_ms);
        !stopped && came_ms - wrote_ms > EVENT_MS + case.slack_ms(*came_ms)
    })
}
