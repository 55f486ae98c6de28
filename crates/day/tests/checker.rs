//! Tests of the checker: for each rule, it rejects a small record that just breaks the rule and accepts one
//! just inside.

use paddleproxy_day::checker::{rules, Facts, Rule, WorkloadFacts};
use paddleproxy_day::peer_rules::PeerFacts;
use paddleproxy_fleet::record::{Line, What};

fn facts() -> Facts {
    let workload = |name: &str, effect: &str, group: &str| WorkloadFacts {
        name: name.into(),
        models: vec![name.into()],
        effect: effect.into(),
        group: group.into(),
        window_ms: 5000.0,
        value: 1.0,
    };
    Facts {
        day: "small".into(),
        answer_slack_ms: 50.0,
        drain_grace_ms: 1000.0,
        pin_limit_ms: 500.0,
        connect_ms: 250.0,
        fall_multiple: 2.0,
        fall_ms: 1000.0,
        cold_share: 0.5,
        cold_ms: 10_000.0,
        workloads: vec![
            workload("chat", "idempotent", "all"),
            workload("ledger", "tokened", "cell"),
            workload("purse", "tokened", "all"),
            workload("notice", "non-idempotent", "all"),
        ],
        shapes: Vec::new(),
        peers: None,
        failover: None,
    }
}

/// Result of one rule, counted from 1, on a record given as times and events.
fn check_rule(rule: usize, lines: &[(f64, What)]) -> Rule {
    let lines: Vec<_> =
        lines.iter().map(|(at_ms, what)| Line { at_ms: *at_ms, what: what.clone() }).collect();
    rules(&facts(), &lines).swap_remove(rule - 1)
}

fn verdict(rule: usize, lines: &[(f64, What)]) -> &'static str {
    check_rule(rule, lines).verdict()
}

fn asked(deadline_ms: f64) -> What {
    What::Asked {
        op: "a".into(),
        attempt: 0,
        router: 0,
        model: "chat".into(),
        customer: String::new(),
        deadline_ms,
        target_ms: 100.0,
    }
}

fn head() -> What {
    What::Head { op: "a".into(), attempt: 0, status: 200 }
}

fn answer(how: &str) -> What {
    What::Final { op: "a".into(), attempt: 0, how: how.into() }
}

fn broke(connected: bool) -> What {
    What::Broke { op: "a".into(), attempt: 0, connected }
}

#[test]
fn a_request_gets_one_final_answer_in_time() {
    let in_time = [(0.0, asked(1000.0)), (1049.0, head()), (3000.0, answer("finished"))];
    assert_eq!((verdict(1, &in_time), verdict(1, &[])), ("kept", "not seen"));
    let late = [(0.0, asked(1000.0)), (1051.0, head()), (1052.0, answer("aborted"))];
    assert_eq!(verdict(1, &late), "BROKEN");
    assert_eq!(verdict(1, &[(0.0, asked(1000.0)), (500.0, broke(true))]), "BROKEN");
    assert_eq!(verdict(1, &[(0.0, asked(1000.0))]), "BROKEN");
    let twice = [(0.0, asked(1000.0)), (1.0, head()), (2.0, answer("finished")), (3.0, answer("aborted"))];
    assert_eq!(verdict(1, &twice), "BROKEN");
    let more = (4.0, What::More { op: "a".into(), attempt: 0 });
    let after = [(0.0, asked(1000.0)), (1.0, head()), (2.0, answer("finished")), more];
    assert_eq!(verdict(1, &after), "BROKEN");
}

#[test]
fn no_answer_is_required_after_leaving_or_refused_connection_or_router_loss() {
    assert_eq!(verdict(1, &[(0.0, asked(1000.0)), (500.0, broke(false))]), "not seen");
    let left = What::Left { op: "a".into(), attempt: 0 };
    assert_eq!(verdict(1, &[(0.0, asked(1000.0)), (500.0, left)]), "not seen");
    let down = |router| What::RouterDown { router };
    let killed = [(0.0, asked(1000.0)), (499.0, down(0)), (500.0, broke(true))];
    assert_eq!(verdict(1, &killed), "not seen");
    let another = [(0.0, asked(1000.0)), (499.0, down(1)), (500.0, broke(true))];
    assert_eq!(verdict(1, &another), "BROKEN");
    let before = [(0.0, down(0)), (1.0, asked(1000.0)), (500.0, broke(true))];
    assert_eq!(verdict(1, &before), "BROKEN");
}

fn started(server: &str, cell: u32, cold: bool) -> What {
    What::Started { server: server.into(), zone: "z".into(), cell, cold }
}

fn dispatch(server: &str, request: &str, model: &str) -> What {
    work(server, request, model, 1.0)
}

fn work(server: &str, request: &str, model: &str, work_ms: f64) -> What {
    let (server, request) = (server.to_owned(), request.to_owned());
    What::Dispatch { server, request, client: "a/0".into(), model: model.into(), work_ms, writes: true }
}

fn rejected(request: &str) -> What {
    What::Rejected { server: "s".into(), request: request.into(), code: "full".into() }
}

fn effect(key: &str, repeat: bool) -> What {
    What::Effect { server: "s".into(), request: "0.1.1.0".into(), key: key.into(), repeat }
}

#[test]
fn a_non_idempotent_completion_runs_once() {
    let rejected_first = [
        (0.0, dispatch("s", "0.1.1.0", "notice")),
        (1.0, rejected("0.1.1.0")),
        (2.0, dispatch("t", "0.1.1.1", "notice")),
    ];
    assert_eq!(verdict(2, &rejected_first), "kept");
    let again = [(0.0, dispatch("s", "0.1.1.0", "notice")), (2.0, dispatch("t", "0.1.1.1", "notice"))];
    assert_eq!(verdict(2, &again), "BROKEN");
    let rate_limited = [(0.0, dispatch("s", "0.1.1.0", "notice")), (2.0, answer("rate-limited"))];
    assert_eq!(verdict(2, &rate_limited), "BROKEN");
    let aborted = [(0.0, dispatch("s", "0.1.1.0", "notice")), (2.0, answer("aborted"))];
    assert_eq!(verdict(2, &aborted), "kept");
    let twice =
        [(0.0, dispatch("s", "0.1.1.0", "notice")), (1.0, effect("a", false)), (2.0, effect("a", false))];
    assert_eq!(verdict(2, &twice), "BROKEN");
    let chat = [(0.0, dispatch("s", "0.1.1.0", "chat")), (2.0, dispatch("t", "0.1.1.1", "chat"))];
    assert_eq!(verdict(2, &chat), "not seen");
}

#[test]
fn a_tokened_completion_stays_in_its_group_and_window() {
    let servers = |model: &str, to: &str, at_ms: f64| {
        let (first, again) = (dispatch("s", "0.1.1.0", model), dispatch(to, "0.1.1.1", model));
        let known = [started("s", 1, false), started("t", 1, false), started("u", 2, false)];
        let mut lines: Vec<_> = known.into_iter().map(|what| (0.0, what)).collect();
        lines.extend([
            (1.0, first),
            (at_ms, again),
            (at_ms, effect("a", false)),
            (at_ms + 1.0, effect("a", true)),
        ]);
        verdict(2, &lines)
    };
    assert_eq!((servers("ledger", "t", 5000.0), servers("ledger", "u", 5000.0)), ("kept", "BROKEN"));
    assert_eq!((servers("ledger", "t", 5001.0), servers("purse", "u", 5000.0)), ("BROKEN", "kept"));
    let rate_limited =
        |model| verdict(2, &[(0.0, dispatch("s", "0.1.1.0", model)), (2.0, answer("rate-limited"))]);
    assert_eq!((rate_limited("ledger"), rate_limited("purse")), ("BROKEN", "kept"));
}

fn list_event(router: usize, readiness: &str, cold: bool) -> What {
    What::ListSent { router, server: "s".into(), readiness: readiness.into(), cold }
}

#[test]
fn drain_grace_starts_when_the_router_is_notified() {
    let sent = |request: &str, at_ms: f64| {
        verdict(3, &[(0.0, list_event(1, "draining", false)), (at_ms, dispatch("s", request, "chat"))])
    };
    assert_eq!((sent("1.1.1.0", 1000.0), sent("1.1.1.0", 1001.0)), ("kept", "BROKEN"));
    assert_eq!((sent("2.1.1.0", 9000.0), verdict(3, &[])), ("kept", "not seen"));
    let gone = [
        (0.0, list_event(1, "draining", false)),
        (500.0, list_event(1, "gone", false)),
        (1001.0, dispatch("s", "1.1.1.0", "chat")),
    ];
    assert_eq!(verdict(3, &gone), "BROKEN");
    let back = [
        (0.0, list_event(1, "gone", false)),
        (500.0, list_event(1, "ready", true)),
        (9000.0, dispatch("s", "1.1.1.0", "chat")),
    ];
    assert_eq!(verdict(3, &back), "kept");
    let restarted = [
        (0.0, list_event(1, "gone", false)),
        (500.0, What::RouterDown { router: 1 }),
        (9000.0, dispatch("s", "1.1.1.0", "chat")),
    ];
    assert_eq!(verdict(3, &restarted), "kept");
}

#[test]
fn a_server_in_slow_start_has_a_budget_in_every_window() {
    // At its start the server has half its capacity, so its budget is 2 x 0.5 x 1000 ms in a second. It grows
    // with age.
    let sent = |works: &[(f64, f64)], notified_count: usize| {
        let mut lines = vec![(0.0, started("s", 1, true)), (0.0, list_event(0, "ready", true))];
        for (row, (at_ms, work_ms)) in works.iter().enumerate() {
            let router = usize::from(row >= notified_count);
            lines.push((*at_ms, work("s", &format!("{router}.1.{row}.0"), "chat", *work_ms)));
        }
        verdict(4, &lines)
    };
    assert_eq!(
        (sent(&[(0.0, 500.0), (1.0, 500.0)], 9), sent(&[(0.0, 500.0), (1.0, 502.0)], 9)),
        ("kept", "BROKEN")
    );
    assert_eq!(sent(&[(0.0, 900.0), (1001.0, 900.0)], 9), "kept");
    assert_eq!(sent(&[(9000.0, 950.0), (9001.0, 950.0)], 9), "kept");
    assert_eq!(sent(&[(10_000.0, 9000.0)], 9), "not seen");
    // Most of the work came from a router that had not been sent the start, so the rule does not count it.
    assert_eq!(sent(&[(0.0, 500.0), (1.0, 700.0)], 1), "kept");
}

#[test]
fn a_state_is_held_only_while_a_dispatch_is_in_flight() {
    let state = What::State { server: "r".into(), request: "0.1.1.0".into() };
    let gone = What::StateGone { server: "r".into(), request: "0.1.1.0".into(), why: "released".into() };
    let ended = |request: &str| What::Ended { server: "s".into(), request: request.into() };
    let held = |until_ms: f64| verdict(5, &[(0.0, state.clone()), (until_ms, gone.clone())]);
    assert_eq!((held(500.0), held(501.0), verdict(5, &[])), ("kept", "BROKEN", "not seen"));
    // Never released, up to the end of the record.
    assert_eq!(verdict(5, &[(0.0, state.clone()), (600.0, ended("9.1.1.0"))]), "BROKEN");
    let used = |back_ms: f64| {
        let write = (400.0, dispatch("s", "0.1.1.1", "chat"));
        verdict(5, &[(0.0, state.clone()), write, (3000.0, ended("0.1.1.1")), (back_ms, gone.clone())])
    };
    assert_eq!((used(3400.0), used(3600.0)), ("kept", "BROKEN"));
    // A dispatch of another completion does not justify holding this state.
    let other = [(0.0, state.clone()), (1.0, dispatch("s", "0.1.2.0", "chat")), (900.0, gone.clone())];
    assert_eq!(verdict(5, &other), "BROKEN");
    let down = |at_ms| (at_ms, What::RouterDown { router: 0 });
    let killed = [(0.0, state.clone()), down(100.0), (5000.0, gone.clone())];
    assert_eq!(verdict(5, &killed), "not seen");
    // The router is killed while the prefill is in flight, just before its state appears; then before it was
    // sent.
    let read = dispatch("r", "0.1.1.0", "chat");
    let during = [(0.0, read.clone()), down(9.9), (10.0, state.clone()), (5000.0, gone.clone())];
    assert_eq!(verdict(5, &during), "not seen");
    let ended_event = (10.0, ended("0.1.1.0"));
    let before = [down(0.0), (1.0, read), (10.0, state), ended_event, (5000.0, gone)];
    assert_eq!(verdict(5, &before), "BROKEN");
}

/// The report of one of three routers, polled at that time.
fn peer_report(router: usize, asked_ms: f64, digest: u32) -> (f64, What) {
    let others = (0..3).filter(|other| *other != router).collect();
    let status = What::PeerStatus {
        router,
        asked_ms,
        generation: 1,
        status: "whole".into(),
        shares: Vec::new(),
        allocation: 1,
        digest,
        alive: others,
        failed: Vec::new(),
        not_hearing: Vec::new(),
        not_heard_by: Vec::new(),
    };
    (asked_ms + 1.0, status)
}

#[test]
fn missing_reports_count_only_if_there_was_time_to_poll() {
    let peers =
        PeerFacts { routers: 3, heals_ms: 5000.0, asks_ms: 1200.0, blamed_ms: 5000.0, limits: Vec::new() };
    let facts = Facts { peers: Some(peers), ..facts() };
    let verdict = |fault_ms: f64, lines: &[(f64, What)]| {
        let fault = What::Fault { name: "link".into(), routers: vec![0], begins: true };
        let lines = lines.iter().cloned().chain([(fault_ms, fault)]);
        let lines: Vec<_> = lines.map(|(at_ms, what)| Line { at_ms, what }).collect();
        let rules = rules(&facts, &lines);
        rules.iter().find(|rule| rule.name == "one view after healing").unwrap().verdict()
    };
    let all = [peer_report(0, 5001.0, 7), peer_report(1, 5002.0, 7), peer_report(2, 5003.0, 7)];
    assert_eq!(verdict(7000.0, &all), "kept");
    // A fault 10 ms after the convergence time leaves no time to poll the third router; one 2 s after it
    // does.
    assert_eq!(verdict(5010.0, &all[..2]), "kept");
    assert_eq!(verdict(7000.0, &all[..2]), "BROKEN");
    // Reports that were received are checked however short the time was.
    assert_eq!(verdict(5010.0, &[peer_report(0, 5001.0, 7), peer_report(1, 5002.0, 8)]), "BROKEN");
}
