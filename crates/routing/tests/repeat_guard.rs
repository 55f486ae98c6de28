//! The repeat guard, with a decision module that requests dispatches that must not be sent.

mod common;

use std::sync::Arc;

use common::{arrival, listing, settings};
use paddleproxy::interface::{self, *};
use paddleproxy_routing::{Decisions, Effect, Input, Ledger, SocketEnd};

/// Requests a further dispatch of a completion whenever one has ended.
struct AlwaysRepeats;

impl Decisions for AlwaysRepeats {
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

/// One request whose first attempt ends with `end` at `at_ms`: the number of attempts sent and of breaches
/// counted.
fn sent_after(effect: interface::Effect, end: SocketEnd, at_ms: f64) -> (usize, u64) {
    let settings = settings(effect, 1000.0);
    let mut ledger = Ledger::with_decisions(AlwaysRepeats, settings, 50.0);
    let mut effects = Vec::new();
    let row = listing("s-1");
    ledger.handle(0.0, Input::Listed { kind: ListKind::Whole, rows: [row].into() }, &mut effects);
    let completion = CompletionId(1);
    let arrival = arrival(completion, 1, 20_000.0);
    ledger.handle(0.0, Input::Arrived { arrival, streamed: true }, &mut effects);
    let (seq, took_ms, cached_tokens) = (Seq(0), at_ms, 0.0);
    let ended = Input::Ended { completion, seq, took_ms, end, cached_tokens, state: None };
    ledger.handle(at_ms, ended, &mut effects);
    let sent = effects.iter().filter(|effect| matches!(effect, Effect::Send(_))).count();
    (sent, ledger.counts().breaches)
}

#[test]
fn what_may_have_run_is_not_sent_again_even_on_request() {
    use interface::Effect::*;
    let broke = || SocketEnd::BrokeBeforeAnswer;
    assert_eq!(sent_after(NonIdempotent, broke(), 10.0), (1, 1));
    assert_eq!(sent_after(Tokened, broke(), 10.0), (2, 0), "within its window");
    assert_eq!(sent_after(Tokened, broke(), 1000.0), (1, 1), "past its window");
    assert_eq!(sent_after(Idempotent, broke(), 10.0), (2, 0));
    // What certainly never ran may be sent again.
    assert_eq!(sent_after(NonIdempotent, SocketEnd::ConnectRefused, 10.0), (2, 0));
}
