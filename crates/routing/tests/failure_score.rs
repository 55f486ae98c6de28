//! Dispatches that a router did not send for its own or its client's reasons do not count against the server.

mod common;

use common::{arrival, listing, settings};
use paddleproxy::interface::{self, *};
use paddleproxy_routing::{Effect, Input, Ledger, SocketEnd, Withdrawal};

struct Scenario {
    ledger: Ledger,
    now_ms: f64,
    last_id: u32,
}

impl Scenario {
    fn new() -> Scenario {
        let mut scenario = Scenario {
            ledger: Ledger::new(settings(interface::Effect::Idempotent, 1000.0), 50.0, 7),
            now_ms: 0.0,
            last_id: 0,
        };
        let rows = ["s-1", "s-2", "s-3"].map(listing).into();
        scenario.input(Input::Listed { kind: ListKind::Whole, rows });
        scenario
    }

    fn input(&mut self, input: Input) -> Vec<Effect> {
        self.now_ms += 1.0;
        let mut effects = Vec::new();
        self.ledger.handle(self.now_ms, input, &mut effects);
        effects
    }

    /// One request of the session: returns the server that it was sent to first. The client leaves, then the
    /// attempt ends with `end`.
    fn request(&mut self, end: SocketEnd) -> WorkerId {
        self.last_id += 1;
        let completion = CompletionId(self.last_id);
        let arrival = arrival(completion, 5, self.now_ms + 9000.0);
        let effects = self.input(Input::Arrived { arrival, streamed: true });
        let sent = effects.into_iter().find_map(|effect| match effect {
            Effect::Send(sending) => Some(sending),
            _ => None,
        });
        let sent = sent.expect("the request is dispatched");
        self.input(Input::Left { completion });
        let (seq, took_ms, cached_tokens) = (sent.seq, 1.0, 0.0);
        self.input(Input::Ended { completion, seq, took_ms, end, cached_tokens, state: None });
        sent.worker
    }
}

#[test]
fn what_was_not_sent_for_the_routers_own_reasons_counts_against_no_server() {
    for end in [
        SocketEnd::Withdrawn(Withdrawal::ClientGone),
        SocketEnd::Withdrawn(Withdrawal::OutOfTime),
        SocketEnd::Withdrawn(Withdrawal::RepeatTooLate),
        SocketEnd::NoRoom,
    ] {
        let mut scenario = Scenario::new();
        let home = scenario.request(end.clone());
        for _ in 0..5 {
            assert_eq!(scenario.request(end.clone()), home, "{end:?}");
        }
    }
}

#[test]
fn an_unreachable_server_is_avoided() {
    let mut scenario = Scenario::new();
    let home = scenario.request(SocketEnd::ConnectRefused);
    let later: Vec<_> = (0..5).map(|_| scenario.request(SocketEnd::ConnectRefused)).collect();
    assert!(later.iter().any(|server| *server != home), "{later:?}");
}
