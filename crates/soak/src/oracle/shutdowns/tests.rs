//! Records of one process that was told to end at 1 s and killed at 2 s.

use super::*;
use crate::oracle::{check, CheckParameters};
use crate::record::{Idempotency, RouterProcess};

const TERMS: CheckParameters = CheckParameters { routers: 1, second_copies: false };
const TOLD_MS: f64 = 1000.0;
const KILLED_MS: f64 = 2000.0;

/// A request sent at a time that ended at another.
fn observed(sent_ms: f64, ended_ms: f64, ending: Ending) -> Observations {
    let process = RouterProcess {
        terminated_ms: Some(TOLD_MS),
        killed_ms: Some(KILLED_MS),
        ended: Some((KILLED_MS + 1.0, Err(9))),
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

fn broken(sent_ms: f64, ended_ms: f64, ending: Ending) -> Vec<Rule> {
    check(&observed(sent_ms, ended_ms, ending), &TERMS).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn what_came_late_and_has_no_whole_answer_at_the_kill_is_lost() {
    for ending in [Ending::Cut, Ending::Closed] {
        assert_eq!(broken(TOLD_MS + 850.0, KILLED_MS + 2.0, ending), [Rule::Lost], "{ending:?}");
    }
    assert_eq!(broken(TOLD_MS + 850.0, KILLED_MS - 50.0, Ending::Whole { status: 503 }), []);
}

#[test]
fn a_stream_that_came_in_time_may_run_to_the_kill_and_nothing_else_may() {
    assert_eq!(broken(TOLD_MS + 500.0, KILLED_MS + 2.0, Ending::Cut), []);
    assert_eq!(broken(TOLD_MS + 500.0, KILLED_MS + 2.0, Ending::Closed), [Rule::Lost]);
}

#[test]
fn a_request_that_crosses_the_close_of_its_connection_is_sent_again() {
    assert_eq!(broken(TOLD_MS + 600.0, TOLD_MS + 605.0, Ending::Closed), []);
    assert_eq!(broken(TOLD_MS + 600.0, TOLD_MS + 900.0, Ending::Closed), [Rule::Lost]);
    assert_eq!(broken(TOLD_MS - 600.0, TOLD_MS - 595.0, Ending::Closed), [Rule::Lost], "no end of a process");
}

#[test]
fn what_was_crossed_is_counted() {
    let counts = ShutdownCounts::of(&observed(TOLD_MS + 850.0, KILLED_MS, Ending::Cut));
    let wanted = ShutdownCounts {
        told: 1,
        killed: 1,
        requests: 1,
        late: 1,
        late_unanswered: 1,
        ..ShutdownCounts::default()
    };
    assert_eq!(counts, wanted);
}

#[test]
fn what_came_late_is_sent_to_no_server() {
    for (sent_ms, rules) in [(TOLD_MS + 850.0, vec![Rule::TakenLate]), (TOLD_MS + 500.0, vec![])] {
        let mut observed = observed(sent_ms, sent_ms + 50.0, Ending::Whole { status: 200 });
        observed.attempts.push(attempt(crate::record::AttemptOutcome::Finished, sent_ms + 1.0, 200.0));
        let found: Vec<_> = check(&observed, &TERMS).into_iter().map(|violation| violation.rule).collect();
        assert_eq!(found, rules, "sent at {sent_ms}");
    }
}

/// Its connection had ended with the process before.
#[test]
fn what_is_sent_after_the_kill_reaches_nobody() {
    assert_eq!(broken(KILLED_MS + 50.0, KILLED_MS + 51.0, Ending::Closed), []);
}

fn attempt(outcome: crate::record::AttemptOutcome, from_ms: f64, told_ms: f64) -> Attempt {
    Attempt {
        request: "a1".into(),
        server: 0,
        first_byte_ms: from_ms,
        received_ms: from_ms,
        deadline_header_ms: Some(told_ms),
        prefill_only: false,
        outcome,
        events_ms: Vec::new(),
        ended_ms: Some(from_ms + 1.0),
    }
}

/// A 500 is no whole stream: the next server hung within its own, and the router gave it up.
#[test]
fn a_stream_that_is_given_up_after_a_failure_elsewhere_is_not_lost() {
    use crate::record::AttemptOutcome;
    for (outcome, rules) in [(AttemptOutcome::Failed, vec![]), (AttemptOutcome::Finished, vec![Rule::Lost])] {
        let mut observed = observed(100.0, 800.0, Ending::Cut);
        observed.attempts.push(attempt(outcome, 101.0, 200.0));
        let found: Vec<_> = check(&observed, &TERMS).into_iter().map(|violation| violation.rule).collect();
        assert_eq!(found, rules, "{outcome:?}");
    }
}

/// A request that came while its router stood still may be told that much more time, and no more.
#[test]
fn the_time_told_of_what_came_to_a_frozen_router() {
    use crate::record::{AttemptOutcome, Window};
    for (told_ms, rules) in [(230.0, vec![]), (700.0, vec![Rule::DeadlineTold])] {
        let mut observed = observed(100.0, 650.0, Ending::Whole { status: 200 });
        observed.windows.push(Window { trouble: "router-freeze".into(), from_ms: 50.0, to_ms: 350.0 });
        observed.attempts.push(attempt(AttemptOutcome::Finished, 600.0, told_ms));
        let found: Vec<_> = check(&observed, &TERMS).into_iter().map(|violation| violation.rule).collect();
        assert_eq!(found, rules, "told {told_ms}");
    }
}
