//! Traces of the book: what the sockets saw, and what they were to do. Read by people, kept in `snapshots/`.

use std::fmt::Write;
use std::sync::Arc;

use paddleproxy::interface::*;
use paddleproxy_engine::StateReference;
use paddleproxy_routing::{Effect, Input, Ledger, LedgerTimer, SocketEnd};

struct Play {
    ledger: Ledger,
    now_ms: f64,
    trace: String,
}

fn worker(name: &str) -> WorkerId {
    WorkerId(Arc::from(name))
}

fn settings() -> Settings {
    let workload = |effect: paddleproxy::interface::Effect| WorkloadSettings {
        effect,
        group: Group::All,
        window_ms: 5000.0,
        value: 1.0,
        latency_target_ms: 1000.0,
        target_per_token_ms: 0.0,
    };
    let kind = |role| KindSettings { role, memory_tokens: 160_000.0 };
    Settings {
        routers: 2,
        own_number: 0,
        zone: Some(ZoneId(0)),
        workloads: vec![
            workload(paddleproxy::interface::Effect::Idempotent),
            workload(paddleproxy::interface::Effect::NonIdempotent),
        ],
        kinds: vec![kind(Role::Reader), kind(Role::Writer), kind(Role::Mixed)],
        customers: Vec::new(),
        over_share_value: 1.0,
        must_subscribe: false,
        must_ask_in_ms: 0.0,
        holds_allowed: true,
        writers_read: false,
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

impl Play {
    /// A reader, a writer and a mixed server of one cell.
    fn new() -> Self {
        Play::with(settings())
    }

    fn with(settings: Settings) -> Self {
        let mut play = Play { ledger: Ledger::new(settings, 50.0, 7), now_ms: 0.0, trace: String::new() };
        let row = |(name, kind): (&str, usize)| Listing {
            worker: worker(name),
            zone: ZoneId(0),
            kind: KindId(kind),
            cell: CellId(0),
            readiness: Readiness::Ready,
            weight: 1.0,
            started_ms: None,
        };
        let rows = [("reader", 0), ("writer", 1), ("mixed", 2)].map(row).into();
        play.tell("list", Input::Listed { kind: ListKind::Whole, rows });
        play
    }

    fn pass(&mut self, ms: f64) -> &mut Self {
        self.now_ms += ms;
        self
    }

    fn arrive(&mut self, workload: usize, prompt_tokens: f64, streamed: bool) -> &mut Self {
        let arrival = Arrival {
            completion: CompletionId(1),
            workload: WorkloadId(workload),
            session: SessionId(4),
            prefix: None,
            customer: None,
            client_timeout_ms: self.now_ms + 4000.0,
            prompt_tokens,
            prefix_tokens: 0.0,
            max_tokens: 20.0,
            answer_hint_ms: None,
            near: None,
            client_retry: false,
            resumed: false,
        };
        let what = format!("arrives, workload {workload}, {prompt_tokens} tokens, streamed {streamed}");
        self.tell(&what, Input::Arrived { arrival, streamed })
    }

    fn ended(&mut self, seq: u32, end: SocketEnd) -> &mut Self {
        let state = (end == SocketEnd::ReadDone).then(StateReference::default);
        let what = format!("{seq} ended {end:?}");
        let (completion, seq) = (CompletionId(1), Seq(seq));
        self.tell(&what, Input::Ended { completion, seq, took_ms: 10.0, end, cached_tokens: 0.0, state })
    }

    fn began(&mut self, seq: u32) -> &mut Self {
        let input = Input::Began { completion: CompletionId(1), seq: Seq(seq), took_ms: 10.0 };
        self.tell(&format!("{seq} began"), input)
    }

    fn left(&mut self) -> &mut Self {
        self.tell("the client left", Input::Left { completion: CompletionId(1) })
    }

    fn due(&mut self, due: LedgerTimer) -> &mut Self {
        self.tell(&format!("due {due:?}"), Input::TimerFired(due))
    }

    fn tell(&mut self, what: &str, input: Input) -> &mut Self {
        let mut effects = Vec::new();
        self.ledger.handle(self.now_ms, input, &mut effects);
        let _ = writeln!(self.trace, "{:>6} {what}", self.now_ms);
        for effect in effects {
            let line = match effect {
                Effect::Send(sending) => {
                    let (seq, until) = (sending.seq.0, sending.until_ms);
                    let state = match sending.state {
                        Some(_) => format!(" with the state, written by {}", sending.write_by_ms),
                        None => String::new(),
                    };
                    format!("send {seq} to {}, {:?}{state}, until {until}", sending.worker.0, sending.stage)
                }
                Effect::Stop { seq, .. } => format!("stop {}", seq.0),
                Effect::Grant { seq, .. } => format!("grant {}", seq.0),
                Effect::Deliver { seq, .. } => format!("deliver {}", seq.0),
                Effect::RateLimit { retry_after_ms, .. } => format!("rate-limit, back in {retry_after_ms}"),
                Effect::Abort { .. } => "abort".into(),
                Effect::Forget { .. } => "forget".into(),
                Effect::Release { worker, seq, .. } => format!("release {} at {}", seq.0, worker.0),
                Effect::ReleaseUnclaimed { worker, seq, .. } => {
                    format!("release {} at {} unless it is come for", seq.0, worker.0)
                }
                Effect::Arm { in_ms, timer } => format!("arm {timer:?} in {in_ms:.0}"),
                other => format!("{other:?}"),
            };
            let _ = writeln!(self.trace, "         -> {line}");
        }
        self
    }
}

#[test]
fn read_at_the_reader_written_with_its_state() {
    let mut play = Play::new();
    play.arrive(0, 9000.0, true).pass(300.0).ended(0, SocketEnd::ReadDone).pass(20.0).began(1);
    play.pass(400.0).ended(1, SocketEnd::AnswerDone);
    insta::assert_snapshot!(play.trace);
    assert_eq!((play.ledger.open(), play.ledger.counts().finished), (0, 1));
}

#[test]
fn a_state_that_waits_too_long_is_let_go_and_its_writer_not_asked() {
    let mut play = Play::with(Settings { probes_allowed: true, ..settings() });
    let heard = |name| Input::Probed { worker: worker(name), answered: true, took_ms: 1.0 };
    play.arrive(0, 9000.0, true).tell("reader heard", heard("reader")).tell("mixed heard", heard("mixed"));
    // While the decisions wait for an answer of the writer nothing is out; they wait longer than they say.
    play.pass(1800.0).ended(0, SocketEnd::ReadDone).pass(400.0).due(LedgerTimer::Pinned(CompletionId(1)));
    play.tell("mixed heard", heard("mixed"));
    insta::assert_snapshot!(play.trace);
    assert_eq!(play.ledger.counts().unpinned, 1);
}

#[test]
fn a_late_first_event_is_not_the_answer() {
    let mut play = Play::new();
    play.arrive(0, 900.0, true).pass(10.0).left().pass(1.0).began(0).ended(0, SocketEnd::Stopped);
    insta::assert_snapshot!(play.trace);
    assert_eq!((play.ledger.open(), play.ledger.counts().late_first), (0, 1));
}

/// A first event that crosses the word to stop: a stream granted then would end at once, before the client.
#[test]
fn a_first_event_of_what_was_called_off_is_not_the_answer() {
    let mut play = Play::new();
    play.arrive(0, 900.0, true).pass(600.0);
    let load = LoadReport { queue: Some(0.0), slots_share: Some(0.1), ..LoadReport::default() };
    play.tell("mixed says that it is idle", Input::Reported { worker: worker("mixed"), load });
    let probed = Input::Probed { worker: worker("mixed"), answered: true, took_ms: 1.0 };
    play.tell("mixed answers a probe", probed);
    assert!(play.trace.ends_with("stop 0\n"), "{}", play.trace);
    play.began(0);
    assert!(!play.trace.contains("grant"), "{}", play.trace);
    play.ended(0, SocketEnd::Stopped);
    assert!(play.trace.matches("send ").count() == 2, "it is sent elsewhere: {}", play.trace);
}

#[test]
fn a_client_who_leaves_mid_stream_stops_its_server() {
    let mut play = Play::new();
    play.arrive(0, 900.0, true).began(0).pass(50.0).left().ended(0, SocketEnd::Stopped);
    insta::assert_snapshot!(play.trace);
    assert_eq!(play.ledger.open(), 0);
}

#[test]
fn a_read_that_breaks_leaves_nothing_at_its_reader() {
    let mut play = Play::new();
    play.arrive(0, 9000.0, true).pass(100.0).ended(0, SocketEnd::BrokeBeforeAnswer);
    insta::assert_snapshot!(play.trace);
}

#[test]
fn a_non_idempotent_answer_that_was_lost_is_aborted() {
    let mut play = Play::new();
    play.arrive(1, 900.0, false).pass(100.0).ended(0, SocketEnd::BrokeBeforeAnswer);
    insta::assert_snapshot!(play.trace);
    assert_eq!((play.ledger.open(), play.ledger.counts().aborted), (0, 1));
}

/// The last answers of a router that ends, by workload (0 idempotent, 1 non-idempotent) and what is out. Met on
/// roll+mass: a read that hung was out at a router that ended, and its non-idempotent completion was told to come again.
#[test]
fn a_router_that_ends_invites_again_only_what_surely_never_ran() {
    let last = |workload, tokens, ends: &[(u32, SocketEnd)]| {
        let mut play = Play::new();
        play.arrive(workload, tokens, true).pass(100.0);
        for (seq, end) in ends {
            play.ended(*seq, end.clone());
        }
        play.tell("the router ends", Input::Stop { streams: false });
        let answers = play.trace.lines().filter_map(|line| line.trim_start().strip_prefix("-> "));
        let answers: Vec<_> = answers.filter(|line| line.starts_with("rate") || *line == "abort").collect();
        answers.join(", ")
    };
    let (again, abort) = ("rate-limit, back in 50", "abort");
    // A read out.
    assert_eq!((last(0, 9000.0, &[]).as_str(), last(1, 9000.0, &[]).as_str()), (again, abort));
    // Read, and its write out; read and written in one.
    for (tokens, ends) in [(9000.0, vec![(0, SocketEnd::ReadDone)]), (900.0, vec![])] {
        assert_eq!((last(0, tokens, &ends).as_str(), last(1, tokens, &ends).as_str()), (abort, abort));
    }
}

/// Its body came late, or it waited for the core: nobody would be there for its answer.
#[test]
fn what_arrives_after_the_last_answers_is_refused_and_sent_nowhere() {
    let mut play = Play::new();
    play.tell("the router ends", Input::Stop { streams: false }).pass(1.0).arrive(0, 900.0, true);
    assert!(play.trace.contains("rate-limit"), "{}", play.trace);
    assert!(!play.trace.contains("send "), "{}", play.trace);
    assert_eq!((play.ledger.open(), play.ledger.counts().rate_limited), (0, 1));
}

#[test]
fn an_overdue_answer_is_an_abort_and_counted() {
    let mut play = Play::new();
    play.arrive(0, 900.0, true).pass(4050.0).due(LedgerTimer::Overdue(CompletionId(1)));
    play.due(LedgerTimer::Overdue(CompletionId(1)))
        .ended(0, SocketEnd::Stopped)
        .ended(0, SocketEnd::AnswerDone);
    insta::assert_snapshot!(play.trace);
    let counts = play.ledger.counts();
    assert_eq!((counts.overdue, counts.aborted, counts.finished), (1, 1, 0));
}

#[test]
fn a_place_is_let_go_when_the_answer_is_asked_for_elsewhere() {
    let mut play = Play::new();
    play.arrive(0, 9000.0, true);
    let held = Input::HoldAnswered {
        completion: CompletionId(1),
        seq: Seq(0),
        worker: worker("writer"),
        held: true,
    };
    play.tell("a place held at the writer", held).ended(0, SocketEnd::ReadDone);
    let late =
        Input::HoldAnswered { completion: CompletionId(1), seq: Seq(0), worker: worker("mixed"), held: true };
    play.tell("a place held too late", late);
    insta::assert_snapshot!(play.trace);
}

/// From a zone that was cut off just as a read ended: the write went into a connection that stayed open and quiet.
#[test]
fn a_state_whose_write_is_silent_is_let_go_unless_it_is_come_for() {
    let mut play = Play::new();
    play.arrive(0, 9000.0, true).pass(300.0).ended(0, SocketEnd::ReadDone);
    play.pass(400.0).due(LedgerTimer::Pinned(CompletionId(1)));
    // The same state is not let go of again; a write that did arrive still begins.
    play.pass(200.0).began(1).pass(10.0).due(LedgerTimer::Pinned(CompletionId(1)));
    insta::assert_snapshot!(play.trace);
    assert_eq!(play.ledger.counts().unpinned, 0);
}

#[test]
fn a_state_that_a_writer_calls_gone_is_let_go_all_the_same() {
    let mut play = Play::new();
    play.arrive(0, 9000.0, true).pass(300.0).ended(0, SocketEnd::ReadDone);
    play.pass(5.0).ended(1, SocketEnd::TurnedAway(paddleproxy_engine::Refusal::StateGone));
    insta::assert_snapshot!(play.trace);
}

#[test]
fn connections_that_do_not_come_up_leave_the_time_of_a_state_running() {
    let mut play = Play::new();
    play.arrive(0, 9000.0, true).pass(300.0).ended(0, SocketEnd::ReadDone);
    play.pass(250.0).ended(1, SocketEnd::ConnectTimedOut).pass(150.0).ended(2, SocketEnd::ConnectTimedOut);
    insta::assert_snapshot!(play.trace);
}
