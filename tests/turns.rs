//! How many of many routers may send to a worker that just started, by what they send.

mod helpers;

use helpers::{row, settings, Play};
use paddleproxy::interface::ListKind::Changes;
use paddleproxy::interface::*;

const ROUTERS: usize = 300;
const WARM: usize = 40;

/// Whether the last arrival went to the fresh one.
fn went(play: &Play) -> bool {
    let last = play.trace().rsplit(" arrive ").next().unwrap_or_default().to_owned();
    last.contains("to m0a for")
}

fn play(own_number: usize, before: u32, session: u64, started_ms: Option<f64>) -> bool {
    let settings = Settings { routers: ROUTERS, own_number, ..settings() };
    let warm: Vec<String> = (0..WARM).map(|number| format!("m1{number:02}")).collect();
    let warm: Vec<&str> = warm.iter().map(String::as_str).collect();
    let mut play = Play::new(settings, &warm);
    play.list(Changes, vec![Listing { started_ms, ..row("m0a") }]);
    // What it sent to the warm ones within the time that counts.
    for id in 0..before {
        play.arrive(id, 1000 + u64::from(id), 200.0);
    }
    play.arrive(9000, session, 200.0);
    went(&play)
}

/// A session whose home is the fresh one once it is warm.
fn session() -> u64 {
    (1..2000).find(|session| play(0, 0, *session, None)).expect("some session has its home there")
}

fn share(before: u32) -> f64 {
    let session = session();
    let sent = (0..ROUTERS).filter(|own| play(*own, before, session, Some(99_000.0))).count();
    sent as f64 / ROUTERS as f64
}

/// At 1 s of 12 a worker surely has 0.33 of its capacity; half of the 2.5 times that topples it is 0.41 of what a warm one
/// gets. Routers that send less than one dispatch in a turn can't exceed their own part of that, so as many have their
/// turn: a quarter of them would leave three quarters of what the worker may get unused.
#[test]
fn routers_of_little_traffic_use_all_that_a_fresh_worker_may_get() {
    let share = share(4);
    assert!((0.38..=0.42).contains(&share), "{share} of the routers may send there");
}

/// Where all routers together send a worker a few dispatches, chance alone could topple it: fewer have their turn.
#[test]
fn what_a_few_dispatches_add_up_to_by_chance_is_left_room_for() {
    let share = share(1);
    assert!((0.20..=0.30).contains(&share), "{share} of the routers may send there");
}

/// Where each could send its share four times over within its turn, a quarter has it at once.
#[test]
fn routers_of_much_traffic_take_turns_by_quarters() {
    let share = share(60);
    assert!((0.08..=0.12).contains(&share), "{share} of the routers may send there");
}
