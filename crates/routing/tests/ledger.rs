//! Traces of the ledger: its inputs from the sockets and the effects that it returned. They are checked
//! against the snapshots in `snapshots/`.

use std::fmt::Write;
use std::sync::Arc;

use paddleproxy::interface::*;
use paddleproxy_engine::StateReference;
use paddleproxy_routing::{Effect, Input, Ledger, LedgerTimer, SocketEnd};

struct Scenario {
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
        slow_start_share: None,
        zone_distances: Vec::new(),
    }
}

impl Scenario {
    /// A reader, a writer and a mixed server in one cell.
    fn new() -> Self {
        Scenario::with(settings())
    }

    fn with(settings: Settings) -> Self {
        let mut scenario =
            Scenario { ledger: Ledger::new(settings, 50.0, 7), now_ms: 0.0, trace: String::new() };
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
        scenario.input("list", Input::Listed { kind: ListKind::Whole, rows });
        scenario
    }

    fn advance(&mut self, ms: f64) -> &mut Self {
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
            home_zone: None,
            client_retry: false,
            resumed: false,
        };
        let what = format!("arrives, workload {workload}, {prompt_tokens} tokens, streamed {streamed}");
        self.input(&what, Input::Arrived { arrival, streamed })
    }

    fn ended(&mut self, seq: u32, end: SocketEnd) -> &mut Self {
        let state = (end == SocketEnd::ReadDone).then(StateReference::default);
        let what = format!("{seq} ended {end:?}");
        let (completion, seq) = (CompletionId(1), Seq(seq));
        self.input(&what, Input::Ended { completion, seq, took_ms: 10.0, end, cached_tokens: 0.0, state })
    }

    fn began(&mut self, seq: u32) -> &mut Self {
        let input = Input::Began { completion: CompletionId(1), seq: Seq(seq), took_ms: 10.0 };
        self.input(&format!("{seq} began"), input)
    }

    fn left(&mut self) -> &mut Self {
        self.input("the client left", Input::Left { completion: CompletionId(1) })
    }

    fn due(&mut self, due: LedgerTimer) -> &mut Self {
        self.input(&format!("due {due:?}"), Input::TimerFired(due))
    }

    fn input(&mut self, what: &str, input: Input) -> &mut Self {
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
                Effect::RateLimit { retry_after_ms, .. } => {
                    format!("rate-limit, retry after {retry_after_ms}")
                }
                Effect::Abort { .. } => "abort".into(),
                Effect::Forget { .. } => "forget".into(),
                Effect::Release { worker, seq, .. } => format!("release {} at {}", seq.0, worker.0),
                Effect::ReleaseUnclaimed { worker, seq, .. } => {
                    format!("release {} at {} unless claimed", seq.0, worker.0)
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
    let mut scenario = Scenario::new();
    scenario.arrive(0, 9000.0, true).advance(300.0).ended(0, SocketEnd::ReadDone).advance(20.0).began(1);
    scenario.advance(400.0).ended(1, SocketEnd::AnswerDone);
    insta::assert_snapshot!(scenario.trace);
    assert_eq!((scenario.ledger.open(), scenario.ledger.counts().finished), (0, 1));
}

#[test]
fn a_state_that_waits_too_long_is_released_without_a_write() {
    let mut scenario = Scenario::with(Settings { probes_allowed: true, ..settings() });
    let answered = |name| Input::Probed { worker: worker(name), answered: true, took_ms: 1.0 };
    scenario
        .arrive(0, 9000.0, true)
        .input("reader answers a probe", answered("reader"))
        .input("mixed answers a probe", answered("mixed"));
    // While the decision module waits for the probe of the writer no dispatch is in flight; here its own
    // timer for that does not fire in time.
    scenario
        .advance(1800.0)
        .ended(0, SocketEnd::ReadDone)
        .advance(400.0)
        .due(LedgerTimer::Pinned(CompletionId(1)));
    scenario.input("mixed answers a probe", answered("mixed"));
    insta::assert_snapshot!(scenario.trace);
    assert_eq!(scenario.ledger.counts().unpinned, 1);
}

#[test]
fn a_late_first_event_is_not_the_answer() {
    let mut scenario = Scenario::new();
    scenario.arrive(0, 900.0, true).advance(10.0).left().advance(1.0).began(0).ended(0, SocketEnd::Stopped);
    insta::assert_snapshot!(scenario.trace);
    assert_eq!((scenario.ledger.open(), scenario.ledger.counts().late_first), (0, 1));
}

/// The first event crosses the request to stop: a stream granted then would end at once, before the client
/// got it.
#[test]
fn a_first_event_of_a_cancelled_dispatch_is_not_the_answer() {
    let mut scenario = Scenario::new();
    scenario.arrive(0, 900.0, true).advance(600.0);
    let load = LoadReport { queue: Some(0.0), slots_share: Some(0.1), ..LoadReport::default() };
    scenario.input("mixed reports that it is idle", Input::Reported { worker: worker("mixed"), load });
    let probed = Input::Probed { worker: worker("mixed"), answered: true, took_ms: 1.0 };
    scenario.input("mixed answers a probe", probed);
    assert!(scenario.trace.ends_with("stop 0\n"), "{}", scenario.trace);
    scenario.began(0);
    assert!(!scenario.trace.contains("grant"), "{}", scenario.trace);
    scenario.ended(0, SocketEnd::Stopped);
    assert!(
        scenario.trace.matches("send ").count() == 2,
        "the completion is sent elsewhere: {}",
        scenario.trace
    );
}

#[test]
fn a_client_who_leaves_mid_stream_stops_its_server() {
    let mut scenario = Scenario::new();
    scenario.arrive(0, 900.0, true).began(0).advance(50.0).left().ended(0, SocketEnd::Stopped);
    insta::assert_snapshot!(scenario.trace);
    assert_eq!(scenario.ledger.open(), 0);
}

#[test]
fn a_read_that_breaks_leaves_nothing_at_its_reader() {
    let mut scenario = Scenario::new();
    scenario.arrive(0, 9000.0, true).advance(100.0).ended(0, SocketEnd::BrokeBeforeAnswer);
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn a_non_idempotent_answer_that_was_lost_is_aborted() {
    let mut scenario = Scenario::new();
    scenario.arrive(1, 900.0, false).advance(100.0).ended(0, SocketEnd::BrokeBeforeAnswer);
    insta::assert_snapshot!(scenario.trace);
    assert_eq!((scenario.ledger.open(), scenario.ledger.counts().aborted), (0, 1));
}

/// The last answers of a stopping router, by workload (0 idempotent, 1 non-idempotent) and by what is in
/// flight. Guards against a fault found in the scenario roll+mass: a router stopped while a read hung, and
/// answered the non-idempotent completion of that read with a rate limit, which invites a retry.
#[test]
fn a_stopping_router_rate_limits_only_what_certainly_never_ran() {
    let last = |workload, tokens, ends: &[(u32, SocketEnd)]| {
        let mut scenario = Scenario::new();
        scenario.arrive(workload, tokens, true).advance(100.0);
        for (seq, end) in ends {
            scenario.ended(*seq, end.clone());
        }
        scenario.input("the router stops", Input::Stop { streams: false });
        let answers = scenario.trace.lines().filter_map(|line| line.trim_start().strip_prefix("-> "));
        let answers: Vec<_> = answers.filter(|line| line.starts_with("rate") || *line == "abort").collect();
        answers.join(", ")
    };
    let (retry, abort) = ("rate-limit, retry after 50", "abort");
    // A read in flight.
    assert_eq!((last(0, 9000.0, &[]).as_str(), last(1, 9000.0, &[]).as_str()), (retry, abort));
    // A finished read whose write is in flight; a read and write on one server.
    for (tokens, ends) in [(9000.0, vec![(0, SocketEnd::ReadDone)]), (900.0, vec![])] {
        assert_eq!((last(0, tokens, &ends).as_str(), last(1, tokens, &ends).as_str()), (abort, abort));
    }
}

/// A completion whose body came late, or that waited for the core task: its answer could not be delivered any
/// more.
#[test]
fn a_completion_that_arrives_after_the_stop_is_rejected_and_not_sent() {
    let mut scenario = Scenario::new();
    scenario.input("the router stops", Input::Stop { streams: false }).advance(1.0).arrive(0, 900.0, true);
    assert!(scenario.trace.contains("rate-limit"), "{}", scenario.trace);
    assert!(!scenario.trace.contains("send "), "{}", scenario.trace);
    assert_eq!((scenario.ledger.open(), scenario.ledger.counts().rate_limited), (0, 1));
}

#[test]
fn an_overdue_answer_is_an_abort_and_counted() {
    let mut scenario = Scenario::new();
    scenario.arrive(0, 900.0, true).advance(4050.0).due(LedgerTimer::Overdue(CompletionId(1)));
    scenario
        .due(LedgerTimer::Overdue(CompletionId(1)))
        .ended(0, SocketEnd::Stopped)
        .ended(0, SocketEnd::AnswerDone);
    insta::assert_snapshot!(scenario.trace);
    let counts = scenario.ledger.counts();
    assert_eq!((counts.overdue, counts.aborted, counts.finished), (1, 1, 0));
}

#[test]
fn a_reserved_slot_is_released_when_the_write_goes_elsewhere() {
    let mut scenario = Scenario::new();
    scenario.arrive(0, 9000.0, true);
    let held = Input::HoldAnswered {
        completion: CompletionId(1),
        seq: Seq(0),
        worker: worker("writer"),
        held: true,
    };
    scenario.input("a slot reserved at the writer", held).ended(0, SocketEnd::ReadDone);
    let late =
        Input::HoldAnswered { completion: CompletionId(1), seq: Seq(0), worker: worker("mixed"), held: true };
    scenario.input("a slot reserved too late", late);
    insta::assert_snapshot!(scenario.trace);
}

/// A zone is partitioned just as a read ends: the write goes into a connection that stays open but silent.
#[test]
fn a_state_whose_write_is_silent_is_released_unless_claimed() {
    let mut scenario = Scenario::new();
    scenario.arrive(0, 9000.0, true).advance(300.0).ended(0, SocketEnd::ReadDone);
    scenario.advance(400.0).due(LedgerTimer::Pinned(CompletionId(1)));
    // The state is not released a second time; a write that did arrive can still begin.
    scenario.advance(200.0).began(1).advance(10.0).due(LedgerTimer::Pinned(CompletionId(1)));
    insta::assert_snapshot!(scenario.trace);
    assert_eq!(scenario.ledger.counts().unpinned, 0);
}

#[test]
fn a_state_that_a_writer_reports_gone_is_released_anyway() {
    let mut scenario = Scenario::new();
    scenario.arrive(0, 9000.0, true).advance(300.0).ended(0, SocketEnd::ReadDone);
    scenario.advance(5.0).ended(1, SocketEnd::TurnedAway(paddleproxy_engine::Refusal::StateGone));
    insta::assert_snapshot!(scenario.trace);
}

#[test]
fn failed_connections_do_not_extend_the_time_limit_of_a_state() {
    let mut scenario = Scenario::new();
    scenario.arrive(0, 9000.0, true).advance(300.0).ended(0, SocketEnd::ReadDone);
    scenario
        .advance(250.0)
        .ended(1, SocketEnd::ConnectTimedOut)
        .advance(150.0)
        .ended(2, SocketEnd::ConnectTimedOut);
    insta::assert_snapshot!(scenario.trace);
}
