//! How many of many routers may send to a worker that just started, by what they send.

mod helpers;

use helpers::{facts, row, settings, worker, Play};
use paddleproxy::interface::ListKind::Changes;
use paddleproxy::interface::*;
use paddleproxy::Control;

const ROUTERS: usize = 300;
const WARM: usize = 40;

/// Whether the last arrival went to the fresh one, or asks it first.
fn went(play: &Play) -> bool {
    let last = play.trace().rsplit(" arrive ").next().unwrap_or_default().to_owned();
    last.contains("to m0a for") || last.contains("probe m0a")
}

fn play(own_number: usize, before: u32, session: u64, started_ms: Option<f64>, asks: bool) -> bool {
    let settings = Settings { routers: ROUTERS, own_number, probes_allowed: asks, ..settings() };
    let warm: Vec<String> = (0..WARM).map(|number| format!("m1{number:02}")).collect();
    let warm: Vec<&str> = warm.iter().map(String::as_str).collect();
    let mut play = Play::new(settings, &warm);
    play.without_prefix().list(Changes, vec![Listing { started_ms, ..row("m0a") }]);
    // The warm ones have just said that nothing waits there, so that only the fresh one is asked.
    for name in &warm {
        play.probed(name, 0.0);
    }
    // What it sent to the warm ones within the time that counts.
    for id in 0..before {
        play.arrive(id, 1000 + u64::from(id), 200.0);
    }
    play.arrive(9000, session, 200.0);
    went(&play)
}

/// A session whose home is the fresh one once it is warm.
fn session() -> u64 {
    (1..2000).find(|session| play(0, 0, *session, None, false)).expect("some session has its home there")
}

fn share(before: u32, asks: bool) -> f64 {
    let session = session();
    let sent = (0..ROUTERS).filter(|own| play(*own, before, session, Some(99_000.0), asks)).count();
    sent as f64 / ROUTERS as f64
}

/// At 1 s of 12 a worker surely has 0.33 of its capacity; half of the 2.5 times that topples it is 0.41 of what a warm one
/// gets. Routers that send less than one dispatch in a turn can't exceed their own part of that, so as many have their
/// turn: a quarter of them would leave three quarters of what the worker may get unused.
#[test]
fn routers_of_little_traffic_use_all_that_a_fresh_worker_may_get() {
    let share = share(4, true);
    assert!((0.38..=0.42).contains(&share), "{share} of the routers may send there");
}

/// Where all routers together send a worker a few dispatches, chance alone could topple it: fewer have their turn.
#[test]
fn what_a_few_dispatches_add_up_to_by_chance_is_left_room_for() {
    let share = share(1, true);
    assert!((0.20..=0.30).contains(&share), "{share} of the routers may send there");
}

/// Where each could send its share four times over within its turn, a quarter has it at once.
#[test]
fn routers_of_much_traffic_take_turns_by_quarters() {
    let share = share(60, false);
    assert!((0.08..=0.12).contains(&share), "{share} of the routers may send there");
}

/// The share of routers that send a read to the only reader beside the home, which has just started, or ask it first.
fn share_of_reads(asks: bool) -> f64 {
    let reads = |own_number| {
        let settings = Settings { routers: ROUTERS, own_number, probes_allowed: asks, ..settings() };
        let mut control = Control::new(settings, 7);
        let readers = (0..WARM).map(|number| format!("r1{number:02}"));
        let names: Vec<String> = readers.chain(["w1a".into(), "w0a".into(), "m0a".into()]).collect();
        let rows = names.iter().map(|name| row(name)).collect();
        let mut play = |event| {
            let mut actions = Vec::new();
            control.handle(100_000.0, &event, &mut actions);
            actions
        };
        play(Event::Listed { kind: ListKind::Whole, rows });
        for name in &names {
            play(Event::Probed { worker: worker(name), answered: true, took_ms: 1.0 });
        }
        let arrives = |id: u32| {
            let facts = facts(id, 1000 + u64::from(id), 2600.0, None);
            Event::Arrived(Arrival { client_timeout_ms: 104_000.0, ..facts })
        };
        (0..4).for_each(|id| drop(play(arrives(id))));
        let fresh = Listing { started_ms: Some(99_000.0), ..row("r0a") };
        play(Event::Listed { kind: Changes, rows: vec![fresh].into() });
        let goes = |action: &Action| match action {
            Action::Dispatch { worker, .. } | Action::Probe { worker } => &*worker.0 == "r0a",
            _ => false,
        };
        play(arrives(9)).iter().any(goes)
    };
    (0..ROUTERS).filter(|own| reads(*own)).count() as f64 / ROUTERS as f64
}

/// Where nobody may be asked, a text that many share can bring one reader four times what the others get, and what others
/// turned away one mixed worker, and no router sees it: a quarter has its turn, however little each sends. Met on
/// npga-matchmaking: 47 reads by 47 routers, one each, within 1.5 s, at a reader that was allowed 12 by what the others
/// got (join+mass); 15 whole completions by 15 routers at a mixed worker that could do three (zone+mass).
#[test]
fn at_a_worker_that_can_not_be_asked_a_quarter_has_its_turn() {
    let blind = [share_of_reads(false), share(4, false)];
    assert!(
        blind.iter().all(|share| (0.08..=0.12).contains(share)),
        "{blind:?} of the routers may send there"
    );
    let asked = [share_of_reads(true), share(4, true)];
    assert!(
        asked.iter().all(|share| (0.38..=0.42).contains(share)),
        "{asked:?} of the routers may send there"
    );
}
