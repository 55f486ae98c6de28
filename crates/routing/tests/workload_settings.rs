//! The workload settings that the ledger keeps for a completion: its window for repeats, and its own row when
//! the settings change.

use paddleproxy::interface::{self, *};
use paddleproxy_routing::{Effect, Input, Ledger, LedgerTimer, OutgoingDispatch, SocketEnd, Withdrawal};

const WINDOW_MS: f64 = 900.0;
const SLACK_MS: f64 = 50.0;
/// Prompt lengths in tokens: one that its home server reads itself, and one that a reader reads.
const SHORT_PROMPT_TOKENS: f64 = 300.0;
const LONG_PROMPT_TOKENS: f64 = 9000.0;

fn settings(effect: interface::Effect, group: Group) -> Settings {
    Settings {
        routers: 2,
        own_number: 0,
        zone: Some(ZoneId(0)),
        workloads: vec![WorkloadSettings {
            effect,
            group,
            window_ms: WINDOW_MS,
            value: 1.0,
            latency_target_ms: 2000.0,
            target_per_token_ms: 0.0,
        }],
        kinds: [Role::Mixed, Role::Reader].map(|role| KindSettings { role, memory_tokens: 160_000.0 }).into(),
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

/// A ledger with three mixed servers.
fn ledger(settings: Settings) -> Ledger {
    ledger_of(settings, &["a", "b", "c"])
}

/// A ledger with these servers; the one named `reader` is a reader, the others are mixed.
fn ledger_of(settings: Settings, servers: &[&str]) -> Ledger {
    let mut ledger = Ledger::new(settings, SLACK_MS, 7);
    let row = |name: &&str| Listing {
        worker: WorkerId((*name).into()),
        zone: ZoneId(0),
        kind: KindId(usize::from(*name == "reader")),
        cell: CellId(0),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_ms: None,
    };
    let rows = servers.iter().map(row).collect();
    ledger.handle(0.0, Input::Listed { kind: ListKind::Whole, rows }, &mut Vec::new());
    ledger
}

fn arrival(now_ms: f64, prompt_tokens: f64) -> Arrival {
    Arrival {
        completion: CompletionId(1),
        workload: WorkloadId(0),
        session: SessionId(4),
        prefix: None,
        customer: None,
        client_timeout_ms: now_ms + 4000.0,
        prompt_tokens,
        prefix_tokens: 0.0,
        max_tokens: 20.0,
        answer_hint_ms: None,
        home_zone: None,
        client_retry: false,
        resumed: false,
    }
}

fn arrived(ledger: &mut Ledger, now_ms: f64) -> Vec<Effect> {
    let mut effects = Vec::new();
    let arrival = arrival(now_ms, SHORT_PROMPT_TOKENS);
    ledger.handle(now_ms, Input::Arrived { arrival, streamed: true }, &mut effects);
    effects
}

fn ended(ledger: &mut Ledger, now_ms: f64, seq: u32, end: SocketEnd) -> Vec<Effect> {
    let (completion, seq) = (CompletionId(1), Seq(seq));
    let input = Input::Ended { completion, seq, took_ms: 10.0, end, cached_tokens: 0.0, state: None };
    let mut effects = Vec::new();
    ledger.handle(now_ms, input, &mut effects);
    effects
}

fn sent(effects: &[Effect]) -> Option<&OutgoingDispatch> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send(sending) => Some(sending),
        _ => None,
    })
}

#[test]
fn a_repeat_is_written_within_the_window_of_the_first_attempt_that_may_have_run() {
    let mut ledger = ledger(settings(interface::Effect::Tokened, Group::All));
    let first = arrived(&mut ledger, 100.0);
    assert_eq!(sent(&first).unwrap().repeat_by_ms, f64::INFINITY, "nothing has run yet");
    // It certainly never ran: the next attempt is the first that may have.
    let second = ended(&mut ledger, 300.0, 0, SocketEnd::ConnectRefused);
    assert_eq!(sent(&second).unwrap().repeat_by_ms, f64::INFINITY);
    let third = ended(&mut ledger, 400.0, 1, SocketEnd::ErrorStatus(500));
    assert_eq!(sent(&third).unwrap().repeat_by_ms, 300.0 + WINDOW_MS);
}

/// An attempt withdrawn by the check at the write did not run and does not start the window.
#[test]
fn an_attempt_withdrawn_at_the_write_never_ran() {
    let mut ledger = ledger(settings(interface::Effect::NonIdempotent, Group::All));
    arrived(&mut ledger, 100.0);
    let withdrawn = SocketEnd::Withdrawn(Withdrawal::ServerNotReady);
    let next = ended(&mut ledger, 110.0, 0, withdrawn);
    assert!(sent(&next).is_some(), "it may be sent to another server: {next:?}");
}

#[test]
fn only_tokened_work_has_a_window() {
    let mut ledger = ledger(settings(interface::Effect::Idempotent, Group::All));
    arrived(&mut ledger, 100.0);
    let next = ended(&mut ledger, 400.0, 0, SocketEnd::ErrorStatus(500));
    assert_eq!(sent(&next).unwrap().repeat_by_ms, f64::INFINITY);
}

/// The settings change while a non-idempotent request is being read; in the new ones its workload is
/// idempotent.
#[test]
fn an_open_request_keeps_its_workload_settings_when_the_settings_change() {
    for settings_change in [false, true] {
        let non_idempotent = settings(interface::Effect::NonIdempotent, Group::All);
        let mut ledger = ledger_of(non_idempotent, &["a", "reader"]);
        let mut effects = Vec::new();
        let arrival = arrival(100.0, LONG_PROMPT_TOKENS);
        ledger.handle(100.0, Input::Arrived { arrival, streamed: true }, &mut effects);
        assert_eq!(sent(&effects).unwrap().worker, WorkerId("reader".into()));
        if settings_change {
            let settings = Box::new(settings(interface::Effect::Idempotent, Group::All));
            let answer_slack_ms = SLACK_MS;
            ledger.handle(200.0, Input::Settings { settings, answer_slack_ms }, &mut effects);
        }
        ledger.handle(300.0, Input::Stop { streams: false }, &mut effects);
        assert!(effects.iter().any(|effect| matches!(effect, Effect::Abort { .. })), "{effects:?}");
        assert!(!effects.iter().any(|effect| matches!(effect, Effect::RateLimit { .. })), "{effects:?}");
    }
}

#[test]
fn the_slack_of_new_settings_replaces_the_old_one() {
    let overdue = |effects: &[Effect]| {
        let armed = effects.iter().find_map(|effect| match effect {
            Effect::Arm { in_ms, timer: LedgerTimer::Overdue(_) } => Some(*in_ms),
            _ => None,
        });
        armed.expect("a timer")
    };
    let mut ledger = ledger(settings(interface::Effect::Idempotent, Group::All));
    let settings = Box::new(settings(interface::Effect::Idempotent, Group::All));
    let answer_slack_ms = 7.0;
    ledger.handle(50.0, Input::Settings { settings, answer_slack_ms }, &mut Vec::new());
    assert_eq!(overdue(&arrived(&mut ledger, 100.0)), 4000.0 + answer_slack_ms);
}
