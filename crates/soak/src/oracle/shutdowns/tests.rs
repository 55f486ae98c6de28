//! Records of one router process that got SIGTERM at 1 s and SIGKILL at 2 s.

use super::*;
use crate::oracle::{check, CheckParameters};
use crate::record::{Idempotency, RouterProcess};

const PARAMETERS: CheckParameters = CheckParameters { routers: 1, second_copies: false };
const SIGTERM_MS: f64 = 1000.0;
const SIGKILL_MS: f64 = 2000.0;

/// A record with one request.
fn record_with_request(sent_ms: f64, ended_ms: f64, ending: Ending) -> Observations {
    let process = RouterProcess {
        terminated_ms: Some(SIGTERM_MS),
        killed_ms: Some(SIGKILL_MS),
        ended: Some((SIGKILL_MS + 1.0, Err(9))),
        ..RouterProcess::default()
    };
    let request = Request {
        router: 0,
        generation: 0,
        idempotency: Idempotency::Repeatable,
        reused_connection: false,
        started_ms: sent_ms,
        sent_ms: Some(sent_ms),
        deadline_ms: 300.0,
        response_started_ms: None,
        events_ms: Vec::new(),
        ended: Some((ended_ms, ending)),
        half: false,
    };
    let requests = [("a1".to_owned(), request)].into();
    Observations { requests, processes: vec![vec![process]], ..Observations::default() }
}

fn broken_rules(sent_ms: f64, ended_ms: f64, ending: Ending) -> Vec<Rule> {
    check(&record_with_request(sent_ms, ended_ms, ending), &PARAMETERS)
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn a_late_request_without_a_complete_response_at_the_kill_is_lost() {
    for ending in [Ending::Cut, Ending::Closed] {
        assert_eq!(broken_rules(SIGTERM_MS + 850.0, SIGKILL_MS + 2.0, ending), [Rule::Lost], "{ending:?}");
    }
    assert_eq!(broken_rules(SIGTERM_MS + 850.0, SIGKILL_MS - 50.0, Ending::Whole { status: 503 }), []);
}

#[test]
fn only_the_stream_of_an_early_request_may_run_until_the_kill() {
    assert_eq!(broken_rules(SIGTERM_MS + 500.0, SIGKILL_MS + 2.0, Ending::Cut), []);
    assert_eq!(broken_rules(SIGTERM_MS + 500.0, SIGKILL_MS + 2.0, Ending::Closed), [Rule::Lost]);
}

#[test]
fn a_request_that_crosses_the_close_of_its_connection_is_no_violation() {
    assert_eq!(broken_rules(SIGTERM_MS + 600.0, SIGTERM_MS + 605.0, Ending::Closed), []);
    assert_eq!(broken_rules(SIGTERM_MS + 600.0, SIGTERM_MS + 900.0, Ending::Closed), [Rule::Lost]);
    assert_eq!(
        broken_rules(SIGTERM_MS - 600.0, SIGTERM_MS - 595.0, Ending::Closed),
        [Rule::Lost],
        "sent before the shutdown"
    );
}

#[test]
fn requests_during_a_shutdown_are_counted() {
    let counts = ShutdownCounts::of(&record_with_request(SIGTERM_MS + 850.0, SIGKILL_MS, Ending::Cut));
    let expected = ShutdownCounts {
        told: 1,
        killed: 1,
        requests: 1,
        late: 1,
        late_unanswered: 1,
        ..ShutdownCounts::default()
    };
    assert_eq!(counts, expected);
}

#[test]
fn a_late_request_must_not_be_sent_to_a_server() {
    for (sent_ms, rules) in [(SIGTERM_MS + 850.0, vec![Rule::TakenLate]), (SIGTERM_MS + 500.0, vec![])] {
        let mut observed = record_with_request(sent_ms, sent_ms + 50.0, Ending::Whole { status: 200 });
        observed.attempts.push(attempt(crate::record::AttemptOutcome::Finished, sent_ms + 1.0, 200.0));
        let found: Vec<_> =
            check(&observed, &PARAMETERS).into_iter().map(|violation| violation.rule).collect();
        assert_eq!(found, rules, "sent at {sent_ms}");
    }
}

/// The connection ended with the process before the request was sent.
#[test]
fn a_request_sent_after_the_kill_is_no_violation() {
    assert_eq!(broken_rules(SIGKILL_MS + 50.0, SIGKILL_MS + 51.0, Ending::Closed), []);
}

fn attempt(outcome: crate::record::AttemptOutcome, from_ms: f64, deadline_header_ms: f64) -> Attempt {
    Attempt {
        request: "a1".into(),
        server: 0,
        first_byte_ms: from_ms,
        received_ms: from_ms,
        deadline_header_ms: Some(deadline_header_ms),
        prefill_only: false,
        outcome,
        events_ms: Vec::new(),
        ended_ms: Some(from_ms + 1.0),
    }
}

/// A 500 is not a finished stream: the next server hung within its stream, and the router abandoned the
/// request.
#[test]
fn a_stream_abandoned_after_a_failure_at_another_server_is_not_lost() {
    use crate::record::AttemptOutcome;
    for (outcome, rules) in [(AttemptOutcome::Failed, vec![]), (AttemptOutcome::Finished, vec![Rule::Lost])] {
        let mut observed = record_with_request(100.0, 800.0, Ending::Cut);
        observed.attempts.push(attempt(outcome, 101.0, 200.0));
        let found: Vec<_> =
            check(&observed, &PARAMETERS).into_iter().map(|violation| violation.rule).collect();
        assert_eq!(found, rules, "{outcome:?}");
    }
}

/// The deadline sent to a server may exceed the remaining time by how long the router was still frozen when
/// the request arrived, and no more.
#[test]
fn the_deadline_header_of_a_request_that_came_to_a_frozen_router() {
    use crate::record::{AttemptOutcome, Window};
    for (deadline_header_ms, rules) in [(230.0, vec![]), (700.0, vec![Rule::DeadlineTold])] {
        let mut observed = record_with_request(100.0, 650.0, Ending::Whole { status: 200 });
        observed.windows.push(Window { trouble: "router-freeze".into(), from_ms: 50.0, to_ms: 350.0 });
        observed.attempts.push(attempt(AttemptOutcome::Finished, 600.0, deadline_header_ms));
        let found: Vec<_> =
            check(&observed, &PARAMETERS).into_iter().map(|violation| violation.rule).collect();
        assert_eq!(found, rules, "deadline header {deadline_header_ms}");
    }
}
