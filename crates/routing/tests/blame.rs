//! What a router did not send for its own or its client's reasons says nothing of the server.

mod common;

use common::{arrival, listing, settings};
use paddleproxy::interface::{self, *};
use paddleproxy_routing::{Effect, Input, Ledger, SocketEnd, Withdrawal};

struct Play {
    ledger: Ledger,
    now_ms: f64,
    next: u32,
}

impl Play {
    fn new() -> Play {
        let mut play = Play {
            ledger: Ledger::new(settings(interface::Effect::Idempotent, 1000.0), 50.0, 7),
            now_ms: 0.0,
            next: 0,
        };
        let rows = ["s-1", "s-2", "s-3"].map(listing).into();
        play.tell(Input::Listed { kind: ListKind::Whole, rows });
        play
    }

    fn tell(&mut self, input: Input) -> Vec<Effect> {
        self.now_ms += 1.0;
        let mut effects = Vec::new();
        self.ledger.handle(self.now_ms, input, &mut effects);
        effects
    }

    /// A turn of the one session: the server that it goes to first. The attempt ends so, and then the client
    /// leaves.
    fn turn(&mut self, end: SocketEnd) -> WorkerId {
        self.next += 1;
        let completion = CompletionId(self.next);
        let arrival = arrival(completion, 5, self.now_ms + 9000.0);
        let effects = self.tell(Input::Arrived { arrival, streamed: true });
        let sent = effects.into_iter().find_map(|effect| match effect {
            Effect::Send(sending) => Some(sending),
            _ => None,
        });
        let sent = sent.expect("it is sent");
        self.tell(Input::Left { completion });
        let (seq, took_ms, cached_tokens) = (sent.seq, 1.0, 0.0);
        self.tell(Input::Ended { completion, seq, took_ms, end, cached_tokens, state: None });
        sent.worker
    }
}

#[test]
fn what_was_not_sent_for_the_routers_own_reasons_blames_no_server() {
    for end in [
        SocketEnd::Withdrawn(Withdrawal::ClientGone),
        SocketEnd::Withdrawn(Withdrawal::OutOfTime),
        SocketEnd::Withdrawn(Withdrawal::RepeatTooLate),
        SocketEnd::NoRoom,
    ] {
        let mut play = Play::new();
        let home = play.turn(end.clone());
        for _ in 0..5 {
            assert_eq!(play.turn(end.clone()), home, "{end:?}");
        }
    }
}

#[test]
fn what_can_not_be_reached_is_passed_by() {
    let mut play = Play::new();
    let home = play.turn(SocketEnd::ConnectRefused);
    let later: Vec<_> = (0..5).map(|_| play.turn(SocketEnd::ConnectRefused)).collect();
    assert!(later.iter().any(|server| *server != home), "{later:?}");
}
