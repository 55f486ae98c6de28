//! What a router did not send for its own or its client's reasons says nothing of the server.

use std::sync::Arc;

use paddleproxy::interface::*;
use paddleproxy_routing::{Effect, Input, Ledger, SocketEnd, Withdrawal};

fn settings() -> Settings {
    let workload = WorkloadSettings {
        effect: paddleproxy::interface::Effect::Idempotent,
        group: Group::All,
        window_ms: 1000.0,
        value: 1.0,
        latency_target_ms: 500.0,
        target_per_token_ms: 0.0,
    };
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

struct Play {
    ledger: Ledger,
    now_ms: f64,
    next: u32,
}

impl Play {
    fn new() -> Play {
        let mut play = Play { ledger: Ledger::new(settings(), 50.0, 7), now_ms: 0.0, next: 0 };
        let row = |name: &str| Listing {
            worker: WorkerId(Arc::from(name)),
            zone: ZoneId(0),
            kind: KindId(0),
            cell: CellId(0),
            readiness: Readiness::Ready,
            weight: 1.0,
            started_ms: None,
        };
        let rows = ["s-1", "s-2", "s-3"].map(row).into();
        play.tell(Input::Listed { kind: ListKind::Whole, rows });
        play
    }

    fn tell(&mut self, input: Input) -> Vec<Effect> {
        self.now_ms += 1.0;
        let mut effects = Vec::new();
        self.ledger.handle(self.now_ms, input, &mut effects);
        effects
    }

    /// A turn of the one session: the server that it goes to first. The attempt ends so, and then the client leaves.
    fn turn(&mut self, end: SocketEnd) -> WorkerId {
        self.next += 1;
        let completion = CompletionId(self.next);
        let arrival = Arrival {
            completion,
            workload: WorkloadId(0),
            session: SessionId(5),
            prefix: None,
            customer: None,
            client_timeout_ms: self.now_ms + 9000.0,
            prompt_tokens: 10.0,
            prefix_tokens: 0.0,
            max_tokens: 10.0,
            answer_hint_ms: None,
            near: None,
            client_retry: false,
            resumed: false,
        };
        let effects = self.tell(Input::Arrived { arrival, streamed: true });
        let sent = effects.into_iter().find_map(|effect| match effect {
            Effect::Send(sending) => Some(sending),
            _ => None,
        });
        let sent = sent.expect("it is sent");
        self.tell(Input::Left { completion });
        let (seq, took_ms, kept_tokens) = (sent.seq, 1.0, 0.0);
        self.tell(Input::Ended { completion, seq, took_ms, end, kept_tokens, state: None });
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
