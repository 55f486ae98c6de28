//! The guard on repeats, under decisions that ask for what must not be sent.

use std::sync::Arc;

use paddleproxy::interface::{self, *};
use paddleproxy_routing::{Decisions, Effect, Input, Ledger, SocketEnd};

/// Sends everything once more whenever an attempt has ended.
struct SendsAgain;

impl Decisions for SendsAgain {
    fn handle(&mut self, _: f64, event: &Event, actions: &mut Vec<Action>) {
        let completion = match event {
            Event::Arrived(arrival) => arrival.completion,
            Event::Ended { completion, outcome, .. } if *outcome != Outcome::Moot => *completion,
            _ => return,
        };
        let worker = WorkerId(Arc::from("s-1"));
        actions.push(Action::Dispatch { completion, worker, timeout_ms: 1000.0 });
    }
}

fn settings(effect: interface::Effect, window_ms: f64) -> Settings {
    let (value, latency_target_ms, target_per_token_ms) = (1.0, 500.0, 0.0);
    let group = Group::All;
    let workload =
        WorkloadSettings { effect, group, window_ms, value, latency_target_ms, target_per_token_ms };
    Settings {
        routers: 1,
        own_number: 0,
        zone: Some(ZoneId(0)),
        workloads: vec![workload],
        kinds: vec![KindSettings { role: Role::Mixed, memory_tokens: 100_000.0 }],
        customers: Vec::new(),
        over_share_value: 1.0,
        must_subscribe: false,
        must_ask_in_ms: 0.0,
        holds_allowed: false,
        writers_read: true,
        probes_allowed: false,
        cancel_allowed: true,
        second_copies: true,
        retry_after: true,
        max_retry_after_ms: 500.0,
        max_dispatches: 5,
        resolution_ms: 2.0,
        pin_limit_ms: 500.0,
        fall_multiple: 2.5,
        fall_ms: 2000.0,
        cold_share: 0.3,
        cold_ms: 12_000.0,
        weights_act: false,
        fresh_part: None,
        far: Vec::new(),
    }
}

/// One request whose first attempt ends so at this time; attempts sent, and breaches counted.
fn sent_after(effect: interface::Effect, end: SocketEnd, at_ms: f64) -> (usize, u64) {
    let settings = settings(effect, 1000.0);
    let mut ledger = Ledger::with(SendsAgain, settings, 50.0);
    let mut effects = Vec::new();
    let row = Listing {
        worker: WorkerId(Arc::from("s-1")),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_ms: None,
    };
    ledger.handle(0.0, Input::Listed { kind: ListKind::Whole, rows: [row].into() }, &mut effects);
    let completion = CompletionId(1);
    let arrival = Arrival {
        completion,
        workload: WorkloadId(0),
        session: SessionId(1),
        prefix: None,
        customer: None,
        client_timeout_ms: 20_000.0,
        prompt_tokens: 10.0,
        prefix_tokens: 0.0,
        max_tokens: 10.0,
        answer_hint_ms: None,
        near: None,
        client_retry: false,
        resumed: false,
    };
    ledger.handle(0.0, Input::Arrived { arrival, streamed: true }, &mut effects);
    let (seq, took_ms, kept_tokens) = (Seq(0), at_ms, 0.0);
    let ended = Input::Ended { completion, seq, took_ms, end, kept_tokens, state: None };
    ledger.handle(at_ms, ended, &mut effects);
    let sent = effects.iter().filter(|effect| matches!(effect, Effect::Send(_))).count();
    (sent, ledger.counts().breaches)
}

#[test]
fn what_may_have_run_is_not_sent_again_whoever_asks_for_it() {
    use interface::Effect::*;
    let broke = || SocketEnd::BrokeBeforeAnswer;
    assert_eq!(sent_after(NonIdempotent, broke(), 10.0), (1, 1));
    assert_eq!(sent_after(Tokened, broke(), 10.0), (2, 0), "within its window");
    assert_eq!(sent_after(Tokened, broke(), 1000.0), (1, 1), "past its window");
    assert_eq!(sent_after(Idempotent, broke(), 10.0), (2, 0));
    // What surely never ran may be sent.
    assert_eq!(sent_after(NonIdempotent, SocketEnd::ConnectRefused, 10.0), (2, 0));
}
