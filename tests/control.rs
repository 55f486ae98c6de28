//! Decisions as short traces, read by people; see `tests/snapshots`.

mod helpers;

use helpers::{row, settings, Play};
use insta::assert_snapshot;
use paddleproxy::interface::{ListKind::*, Listing, Outcome::*, Readiness, Settings};

/// Cell 0 and cell 1, each with a mixed server, a reader and a writer.
const FLEET: [&str; 6] = ["m0a", "r0a", "w0a", "m1a", "r1a", "w1a"];
const ONE_CELL: [&str; 4] = ["m0a", "r0a", "r0b", "w0a"];

fn fleet(workers: &[&str]) -> Play {
    Play::new(settings(), workers)
}

#[test]
fn covered_turn_stays_home() {
    let mut play = fleet(&ONE_CELL);
    play.arrive(1, 5, 9000.0).pass(50.0).ended(1, 0, Read, 0.0).pass(50.0).began(1, 1);
    play.pass(900.0).ended(1, 1, Finished, 0.0).pass(3000.0).arrive(2, 5, 9300.0);
    assert_snapshot!(play.trace());
}

#[test]
fn short_uncovered_part_is_read_at_home() {
    assert_snapshot!(fleet(&FLEET).arrive(1, 5, 2400.0).arrive(2, 6, 2600.0).trace());
}

/// What is short at a home follows from its memory: a fixed figure left large homes idle while readers jammed.
#[test]
fn a_home_of_more_memory_reads_longer_prompts() {
    let reads_at_home = |memory_tokens: f64, prompt_tokens: f64| {
        let mut settings = settings();
        settings.kinds.iter_mut().for_each(|kind| kind.memory_tokens = memory_tokens);
        Play::new(settings, &ONE_CELL).arrive(1, 5, prompt_tokens).trace().contains("to m0a")
    };
    assert_eq!((reads_at_home(200_000.0, 3000.0), reads_at_home(200_000.0, 8000.0)), (true, false));
    assert_eq!((reads_at_home(100_000.0, 3000.0), reads_at_home(600_000.0, 8000.0)), (false, true));
}

#[test]
fn busy_reader_moves_on_then_home_reads_then_refused() {
    let mut play = fleet(&ONE_CELL);
    for id in 1..=4 {
        play.arrive(id, 5, 6000.0);
    }
    assert_snapshot!(play.trace());
}

/// Twice its target over, the answer can only be late: another reader's time goes to what can still be in time. What broke
/// at once is read anew.
#[test]
fn a_read_that_ran_out_of_patience_is_not_read_anew() {
    let goes = |ms: f64, outcome| {
        let mut play = fleet(&ONE_CELL);
        play.arrive(1, 5, 9000.0).pass(ms).ended(1, 0, outcome, 0.0);
        let (before, after) =
            play.trace().split_once("ended 1.0").map(|(a, b)| (a.to_owned(), b.to_owned())).unwrap();
        assert!(before.contains("to r0"), "{before}");
        (after.contains("to r0"), after.contains("rate-limit"))
    };
    assert_eq!(goes(2000.0, TimedOut), (false, true));
    assert_eq!(goes(20.0, Broken), (true, false));
}

#[test]
fn home_full_or_above_the_median_goes_to_the_relay() {
    let mut play = fleet(&["m0a", "r0a", "w0a", "w0b"]);
    play.arrive(1, 5, 4000.0).ended(1, 0, Read, 0.0).ended(1, 1, Full, 0.0).began(1, 2);
    play.arrive(2, 5, 500.0).began(2, 0).arrive(3, 5, 500.0).began(3, 0);
    play.arrive(4, 5, 4500.0).ended(4, 0, Read, 4000.0);
    assert_snapshot!(play.trace());
}

#[test]
fn crowded_home_cell_hands_on_to_the_next_cell() {
    let mut play = fleet(&["m0a", "r0a", "w0a", "r1a", "w1a", "w1b", "w1c"]);
    play.arrive(1, 5, 500.0).began(1, 0).arrive(2, 5, 500.0).began(2, 0);
    play.arrive(3, 5, 900.0).ended(3, 0, Read, 0.0).began(3, 1);
    play.arrive(4, 5, 900.0).ended(4, 0, Read, 0.0).began(4, 1);
    play.arrive(5, 5, 4000.0).ended(5, 0, Read, 0.0);
    assert_snapshot!(play.trace());
}

#[test]
fn relayed_session_returns_to_its_reader() {
    let mut play = fleet(&["m0a", "r0a", "r0b", "r0c", "w0a"]);
    play.arrive(1, 5, 6000.0).arrive(2, 6, 6000.0).pass(50.0);
    play.ended(2, 0, Read, 0.0).ended(2, 1, Full, 0.0).began(2, 2).ended(1, 0, Read, 0.0).began(1, 1);
    play.pass(2000.0).arrive(3, 6, 7000.0).arrive(4, 7, 7000.0);
    assert_snapshot!(play.trace());
}

#[test]
fn flushed_home_is_no_longer_believed() {
    let mut play = fleet(&ONE_CELL);
    for id in [1, 2] {
        play.arrive(id, id.into(), 2300.0).began(id, 0).ended(id, 0, Finished, 0.0);
    }
    play.pass(2000.0).arrive(3, 1, 2350.0).began(3, 0).ended(3, 0, Finished, 0.0).pass(50.0);
    play.arrive(4, 2, 2600.0);
    assert_snapshot!(play.trace());
}

#[test]
fn lost_state_is_read_again() {
    let mut play = fleet(&FLEET);
    play.arrive(1, 5, 4000.0).ended(1, 0, Read, 0.0).ended(1, 1, NoState, 0.0);
    assert_snapshot!(play.trace());
}

#[test]
fn silence_is_answered_before_the_client_timeout() {
    let mut play = fleet(&FLEET);
    play.arrive(1, 5, 4000.0).pass(50.0).ended(1, 0, Read, 0.0).pass(3946.0).timer(1);
    play.ended(1, 1, Cancelled, 0.0).pass(4.0).expire(1);
    assert_snapshot!(play.trace());
}

#[test]
fn late_read_of_an_answered_completion_is_released() {
    let mut play = fleet(&FLEET);
    play.arrive(1, 5, 4000.0).pass(3996.0).timer(1).expire(1).pass(10.0).ended(1, 0, Read, 0.0);
    assert_snapshot!(play.trace());
}

#[test]
fn effects_run_again_only_where_they_may() {
    let mut play = fleet(&["m0a", "m0b", "m1a"]);
    play.arrive_as(1, 1, 5, 500.0).pass(10.0).ended(1, 0, Broken, 0.0).ended(1, 1, Broken, 0.0);
    play.arrive_as(2, 2, 5, 500.0).pass(10.0).ended(2, 0, ConnectFailed, 0.0).ended(2, 1, Error, 0.0);
    play.arrive_as(1, 3, 8, 500.0).pass(5001.0).ended(3, 0, TimedOut, 0.0);
    assert_snapshot!(play.trace());
}

#[test]
fn draining_and_gone_workers_get_nothing_new() {
    let mut play = fleet(&ONE_CELL);
    let told = |name: &str, readiness| Listing { readiness, ..row(name) };
    play.arrive(1, 5, 4000.0);
    play.list(Changes, vec![told("m0a", Readiness::Draining), told("r0a", Readiness::Gone)]);
    play.ended(1, 0, Read, 0.0).arrive(2, 5, 4000.0);
    play.list(Whole, Vec::new()).arrive(3, 5, 4000.0);
    assert_snapshot!(play.trace());
}

/// As after a restart of the router too: the saved list tells of the start.
#[test]
fn fresh_worker_is_sent_to_in_turns_and_by_its_age() {
    let mut play = fleet(&[]);
    let fresh = Listing { started_ms: Some(99_000.0), ..row("m0a") };
    play.list(Saved, vec![fresh, row("m1a"), row("m2a")]);
    for id in 0..12 {
        play.arrive(id, u64::from(id), 300.0).began(id, 0).ended(id, 0, Finished, 0.0).pass(500.0);
    }
    assert_snapshot!(play.trace());
}

#[test]
fn failing_worker_is_passed_by_until_distrust_fades() {
    let mut play = fleet(&["m0a", "m1a", "m2a"]);
    for id in 1..=3 {
        play.arrive(id, 5, 300.0).ended(id, 0, ConnectFailed, 0.0).ended(id, 1, Finished, 0.0);
    }
    play.pass(30_000.0).arrive(4, 5, 300.0);
    assert_snapshot!(play.trace());
}

/// Fresh workers that are not ours to use hold no streams; that must not make the others look crowded.
#[test]
fn crowded_writers_are_still_used() {
    let mut play = fleet(&["m0a", "r0a", "w0a"]);
    let fresh = |name: &str| Listing { started_ms: Some(99_000.0), ..row(name) };
    play.list(Changes, vec![fresh("w0b"), fresh("w0c"), fresh("w0d")]).pass(2000.0);
    for id in 1..=3 {
        play.arrive(id, 5, 500.0).began(id, 0);
    }
    for id in 4..=6 {
        play.arrive(id, 5, 3000.0).ended(id, 0, Read, 0.0).began(id, 1);
    }
    assert_snapshot!(play.trace());
}

#[test]
fn kept_prompts_wait_longer_at_a_reader_than_cold_ones() {
    let mut play = fleet(&["m0a", "r0a", "w0a"]);
    play.arrive(1, 5, 6000.0).ended(1, 0, Read, 0.0).ended(1, 1, Full, 0.0).began(1, 2);
    play.arrive(2, 6, 7000.0).pass(6000.0).arrive(3, 7, 7000.0).arrive(4, 5, 6600.0);
    assert_snapshot!(play.trace());
}

fn asking(workers: &[&str]) -> Play {
    Play::new(Settings { probes_allowed: true, routers: 200, ..settings() }, workers)
}

/// The reader that the design names and home are asked; a full reader hands on, one just heard is not asked.
#[test]
fn workers_not_heard_from_are_asked_first() {
    let mut play = asking(&ONE_CELL);
    play.arrive(1, 5, 6000.0).pass(2.0).probed("r0b", 30.0).probed("m0a", 0.0).pass(2.0).probed("r0a", 0.0);
    play.pass(50.0).ended(1, 0, Read, 0.0).began(1, 1).pass(10.0).arrive(2, 6, 1000.0).began(2, 0);
    play.pass(600.0).arrive(3, 6, 1000.0);
    assert_snapshot!(play.trace());
}

/// A worker that gives no answer in time is passed by, long before the network tells.
#[test]
fn silent_worker_is_passed_by_when_asked() {
    let mut play = asking(&["m0a", "m1a"]);
    play.arrive(1, 5, 1000.0).pass(40.0).timer(1).pass(2.0).probed("m0a", 0.0).began(1, 0).pass(208.0);
    play.silent("m1a").pass(1000.0).arrive(2, 5, 1000.0).pass(2.0).silent("m1a");
    assert_snapshot!(play.trace());
}

/// A jam must not carry a text to every reader: after home's cell it is offered to two others.
#[test]
fn text_spills_to_two_readers_of_other_cells() {
    let mut play = asking(&["m0a", "r0a", "w0a", "r1a", "w1a", "r2a", "w2a", "r3a", "w3a", "r4a", "w4a"]);
    play.arrive(1, 5, 6000.0).pass(1.0).probed("m0a", 30.0).probed("r0a", 30.0);
    play.probed("w4a", 0.0).probed("r4a", 30.0).probed("w3a", 0.0).probed("r3a", 30.0);
    assert_snapshot!(play.trace());
}

/// With hundreds of routers a ring of single turns would leave what just started idle until it is warm.
#[test]
fn many_routers_take_their_turn_at_once() {
    let used = |own_number| {
        let mut play = Play::new(Settings { routers: 200, own_number, ..settings() }, &[]);
        play.list(Saved, vec![Listing { started_ms: Some(99_000.0), ..row("m0a") }, row("m1a")]);
        for id in 0..8 {
            play.pass(500.0).arrive(id, u64::from(id), 300.0).began(id, 0).ended(id, 0, Finished, 0.0);
        }
        let trace = play.trace();
        format!("router {own_number}: {} of 8 to the fresh one\n", trace.matches("to m0a").count())
    };
    assert_snapshot!([0, 50, 75, 125, 199].map(used).concat());
}

/// Before 100 routers one prompt of ours says little; what is there again and again stands for all of theirs.
#[test]
fn others_are_judged_by_the_mean_of_our_own_counts() {
    let mut play = Play::new(Settings { routers: 100, ..settings() }, &["m0a", "r0a", "r0b", "w0a"]);
    play.arrive(1, 5, 4000.0).arrive(2, 5, 4000.0).pass(300.0).ended(1, 0, Read, 0.0).began(1, 1);
    play.ended(2, 0, Read, 0.0).began(2, 1).pass(20.0).arrive(3, 6, 9000.0);
    assert_snapshot!(play.trace());
}

/// What waits to be fetched counts at the writer, one of ours as long as the next excepted.
#[test]
fn slow_fetches_strain_a_writer() {
    let mut play = fleet(&["m0a", "r0a", "r0b", "w0a"]);
    play.list(Changes, vec![Listing { readiness: Readiness::Draining, ..row("m0a") }]);
    play.arrive(1, 5, 4000.0).ended(1, 0, Read, 0.0).arrive(2, 6, 4000.0).ended(2, 0, Read, 0.0);
    play.arrive(3, 7, 4000.0);
    assert_snapshot!(play.trace());
}

/// A dispatch that is out may run, at a reader too, as long as nothing proves the contrary.
#[test]
fn non_idempotent_work_is_not_rate_limited_while_a_dispatch_is_out() {
    let mut play = fleet(&ONE_CELL);
    play.arrive_as(2, 1, 5, 4000.0).pass(3996.0).timer(1).ended(1, 0, Cancelled, 0.0);
    play.list(Whole, Vec::new()).arrive_as(2, 2, 5, 4000.0);
    assert_snapshot!(play.trace());
}

/// Of two workloads the one of greater value finds a worker that is too strained for the other.
#[test]
fn bounds_follow_the_value_of_a_workload() {
    let mut valued = settings();
    valued.workloads[2].value = 4.0;
    let mut play = Play::new(valued, &["m0a", "r0a", "w0a"]);
    play.arrive(1, 5, 6000.0).pass(1000.0).arrive(2, 6, 6000.0).arrive_as(2, 3, 7, 6000.0);
    assert_snapshot!(play.trace());
}

/// A worker that says it is idle does not work at what was sent to it long ago; at a busy one it may still run.
#[test]
fn what_is_out_at_an_idle_worker_is_called_back() {
    let mut play = fleet(&["m0a", "m1a"]);
    play.arrive(1, 5, 1000.0).pass(400.0).probed_idle("m1a", 0.0).pass(200.0).probed_idle("m1a", 0.9);
    play.probed_idle("m1a", 0.1).ended(1, 0, Cancelled, 0.0).began(1, 1).pass(900.0).probed_idle("m0a", 0.0);
    assert_snapshot!(play.trace());
}

/// The readers of home's cell are gone, and elsewhere readers are free while their writers are not.
#[test]
fn what_is_read_elsewhere_is_written_at_home_rather_than_refused() {
    let mut play = asking(&["m0a", "w0a", "r1a", "w1a"]);
    play.list(Changes, vec![row("r0a")]).silent("r0a").silent("r0a").silent("r0a").silent("r0a");
    play.probed("r1a", 0.0).probed("w1a", 30.0).probed("m0a", 0.0).probed("w0a", 0.0);
    play.arrive(1, 5, 6000.0).pass(100.0).probed("w1a", 30.0).probed("m0a", 0.0).ended(1, 0, Read, 0.0);
    assert_snapshot!(play.trace());
}
