//! Scheduling decisions as short event traces, compared with `tests/snapshots`.

mod helpers;

use helpers::{row, settings, Scenario};
use insta::assert_snapshot;
use paddleproxy::interface::{ListKind::*, Listing, Outcome::*, Readiness, Settings};

/// Cell 0 and cell 1, each with a mixed worker, a reader and a writer.
const FLEET: [&str; 6] = ["m0a", "r0a", "w0a", "m1a", "r1a", "w1a"];
const ONE_CELL: [&str; 4] = ["m0a", "r0a", "r0b", "w0a"];

fn fleet(workers: &[&str]) -> Scenario {
    Scenario::new(settings(), workers)
}

#[test]
fn cached_turn_is_read_at_home() {
    let mut scenario = fleet(&ONE_CELL);
    scenario.arrive(1, 5, 9000.0).pass(50.0).ended(1, 0, Read, 0.0).pass(50.0).began(1, 1);
    scenario.pass(900.0).ended(1, 1, Finished, 0.0).pass(3000.0).arrive(2, 5, 9300.0);
    assert_snapshot!(scenario.trace());
}

#[test]
fn short_uncached_part_is_read_at_home() {
    assert_snapshot!(fleet(&FLEET).arrive(1, 5, 2400.0).arrive(2, 6, 2600.0).trace());
}

/// The length up to which home reads a prompt follows from home's memory: a fixed length left large homes
/// idle while the readers were overloaded.
#[test]
fn a_home_of_more_memory_reads_longer_prompts() {
    let reads_at_home = |memory_tokens: f64, prompt_tokens: f64| {
        let mut settings = settings();
        settings.kinds.iter_mut().for_each(|kind| kind.memory_tokens = memory_tokens);
        Scenario::new(settings, &ONE_CELL).arrive(1, 5, prompt_tokens).trace().contains("to m0a")
    };
    assert_eq!((reads_at_home(200_000.0, 3000.0), reads_at_home(200_000.0, 8000.0)), (true, false));
    assert_eq!((reads_at_home(100_000.0, 3000.0), reads_at_home(600_000.0, 8000.0)), (false, true));
}

#[test]
fn full_reader_overflows_to_the_next_then_home_then_rejection() {
    let mut scenario = fleet(&ONE_CELL);
    for id in 1..=4 {
        scenario.arrive(id, 5, 6000.0);
    }
    assert_snapshot!(scenario.trace());
}

/// A read that timed out (at twice the latency target) can only give a late answer, so readers are left to
/// completions that can still be in time. A read whose connection broke early is retried.
#[test]
fn a_timed_out_read_is_not_retried() {
    let retried_or_rejected = |ms: f64, outcome| {
        let mut scenario = fleet(&ONE_CELL);
        scenario.arrive(1, 5, 9000.0).pass(ms).ended(1, 0, outcome, 0.0);
        let (before, after) =
            scenario.trace().split_once("ended 1.0").map(|(a, b)| (a.to_owned(), b.to_owned())).unwrap();
        assert!(before.contains("to r0"), "{before}");
        (after.contains("to r0"), after.contains("rate-limit"))
    };
    assert_eq!(retried_or_rejected(2000.0, TimedOut), (false, true));
    assert_eq!(retried_or_rejected(20.0, Broken), (true, false));
}

#[test]
fn full_or_crowded_home_hands_writing_to_the_relay() {
    let mut scenario = fleet(&["m0a", "r0a", "w0a", "w0b"]);
    scenario.arrive(1, 5, 4000.0).ended(1, 0, Read, 0.0).ended(1, 1, Full, 0.0).began(1, 2);
    scenario.arrive(2, 5, 500.0).began(2, 0).arrive(3, 5, 500.0).began(3, 0);
    scenario.arrive(4, 5, 4500.0).ended(4, 0, Read, 4000.0);
    assert_snapshot!(scenario.trace());
}

#[test]
fn crowded_home_cell_overflows_to_the_next_cell() {
    let mut scenario = fleet(&["m0a", "r0a", "w0a", "r1a", "w1a", "w1b", "w1c"]);
    scenario.arrive(1, 5, 500.0).began(1, 0).arrive(2, 5, 500.0).began(2, 0);
    scenario.arrive(3, 5, 900.0).ended(3, 0, Read, 0.0).began(3, 1);
    scenario.arrive(4, 5, 900.0).ended(4, 0, Read, 0.0).began(4, 1);
    scenario.arrive(5, 5, 4000.0).ended(5, 0, Read, 0.0);
    assert_snapshot!(scenario.trace());
}

#[test]
fn relayed_session_returns_to_its_reader() {
    let mut scenario = fleet(&["m0a", "r0a", "r0b", "r0c", "w0a"]);
    scenario.arrive(1, 5, 6000.0).arrive(2, 6, 6000.0).pass(50.0);
    scenario.ended(2, 0, Read, 0.0).ended(2, 1, Full, 0.0).began(2, 2).ended(1, 0, Read, 0.0).began(1, 1);
    scenario.pass(2000.0).arrive(3, 6, 7000.0).arrive(4, 7, 7000.0);
    assert_snapshot!(scenario.trace());
}

#[test]
fn flushed_home_invalidates_its_cache_entries() {
    let mut scenario = fleet(&ONE_CELL);
    for id in [1, 2] {
        scenario.arrive(id, id.into(), 2300.0).began(id, 0).ended(id, 0, Finished, 0.0);
    }
    scenario.pass(2000.0).arrive(3, 1, 2350.0).began(3, 0).ended(3, 0, Finished, 0.0).pass(50.0);
    scenario.arrive(4, 2, 2600.0);
    assert_snapshot!(scenario.trace());
}

#[test]
fn lost_state_is_read_again() {
    let mut scenario = fleet(&FLEET);
    scenario.arrive(1, 5, 4000.0).ended(1, 0, Read, 0.0).ended(1, 1, NoState, 0.0);
    assert_snapshot!(scenario.trace());
}

#[test]
fn missing_outcome_is_answered_before_the_client_timeout() {
    let mut scenario = fleet(&FLEET);
    scenario.arrive(1, 5, 4000.0).pass(50.0).ended(1, 0, Read, 0.0).pass(3946.0).timer(1);
    scenario.ended(1, 1, Cancelled, 0.0).pass(4.0).expire(1);
    assert_snapshot!(scenario.trace());
}

#[test]
fn late_read_of_an_answered_completion_is_released() {
    let mut scenario = fleet(&FLEET);
    scenario.arrive(1, 5, 4000.0).pass(3996.0).timer(1).expire(1).pass(10.0).ended(1, 0, Read, 0.0);
    assert_snapshot!(scenario.trace());
}

#[test]
fn retries_follow_the_effect_of_the_workload() {
    let mut scenario = fleet(&["m0a", "m0b", "m1a"]);
    scenario.arrive_as(1, 1, 5, 500.0).pass(10.0).ended(1, 0, Broken, 0.0).ended(1, 1, Broken, 0.0);
    scenario.arrive_as(2, 2, 5, 500.0).pass(10.0).ended(2, 0, ConnectFailed, 0.0).ended(2, 1, Error, 0.0);
    scenario.arrive_as(1, 3, 8, 500.0).pass(5001.0).ended(3, 0, TimedOut, 0.0);
    assert_snapshot!(scenario.trace());
}

#[test]
fn draining_and_gone_workers_get_no_new_dispatches() {
    let mut scenario = fleet(&ONE_CELL);
    let listed = |name: &str, readiness| Listing { readiness, ..row(name) };
    scenario.arrive(1, 5, 4000.0);
    scenario.list(Changes, vec![listed("m0a", Readiness::Draining), listed("r0a", Readiness::Gone)]);
    scenario.ended(1, 0, Read, 0.0).arrive(2, 5, 4000.0);
    scenario.list(Whole, Vec::new()).arrive(3, 5, 4000.0);
    assert_snapshot!(scenario.trace());
}

/// Holds after a restart of the router too: the saved list has the worker's start time.
#[test]
fn worker_in_slow_start_gets_dispatches_by_rotation_and_age() {
    let mut scenario = fleet(&[]);
    let new_worker = Listing { started_ms: Some(99_000.0), ..row("m0a") };
    scenario.list(Saved, vec![new_worker, row("m1a"), row("m2a")]);
    for id in 0..12 {
        scenario.arrive(id, u64::from(id), 300.0).began(id, 0).ended(id, 0, Finished, 0.0).pass(500.0);
    }
    assert_snapshot!(scenario.trace());
}

#[test]
fn failing_worker_is_avoided_until_its_failure_score_decays() {
    let mut scenario = fleet(&["m0a", "m1a", "m2a"]);
    for id in 1..=3 {
        scenario.arrive(id, 5, 300.0).ended(id, 0, ConnectFailed, 0.0).ended(id, 1, Finished, 0.0);
    }
    scenario.pass(30_000.0).arrive(4, 5, 300.0);
    assert_snapshot!(scenario.trace());
}

/// Workers in slow start that this router may not use have no streams; that must not make the others count as
/// crowded.
#[test]
fn crowded_writers_are_still_used() {
    let mut scenario = fleet(&["m0a", "r0a", "w0a"]);
    let new_worker = |name: &str| Listing { started_ms: Some(99_000.0), ..row(name) };
    scenario.list(Changes, vec![new_worker("w0b"), new_worker("w0c"), new_worker("w0d")]).pass(2000.0);
    for id in 1..=3 {
        scenario.arrive(id, 5, 500.0).began(id, 0);
    }
    for id in 4..=6 {
        scenario.arrive(id, 5, 3000.0).ended(id, 0, Read, 0.0).began(id, 1);
    }
    assert_snapshot!(scenario.trace());
}

#[test]
fn cached_prompts_have_a_higher_reader_limit_than_uncached_ones() {
    let mut scenario = fleet(&["m0a", "r0a", "w0a"]);
    scenario.arrive(1, 5, 6000.0).ended(1, 0, Read, 0.0).ended(1, 1, Full, 0.0).began(1, 2);
    scenario.arrive(2, 6, 7000.0).pass(6000.0).arrive(3, 7, 7000.0).arrive(4, 5, 6600.0);
    assert_snapshot!(scenario.trace());
}

fn with_probes(workers: &[&str]) -> Scenario {
    Scenario::new(Settings { probes_allowed: true, routers: 200, ..settings() }, workers)
}

/// The chosen reader and home are probed first. A full reader is skipped for the next; a worker that has just
/// reported is not probed.
#[test]
fn workers_without_recent_reports_are_probed_first() {
    let mut scenario = with_probes(&ONE_CELL);
    scenario
        .arrive(1, 5, 6000.0)
        .pass(2.0)
        .probed("r0b", 30.0)
        .probed("m0a", 0.0)
        .pass(2.0)
        .probed("r0a", 0.0);
    scenario.pass(50.0).ended(1, 0, Read, 0.0).began(1, 1).pass(10.0).arrive(2, 6, 1000.0).began(2, 0);
    scenario.pass(600.0).arrive(3, 6, 1000.0);
    assert_snapshot!(scenario.trace());
}

/// A worker that does not answer a probe in time is skipped, long before the connection times out.
#[test]
fn worker_without_probe_answer_is_skipped() {
    let mut scenario = with_probes(&["m0a", "m1a"]);
    scenario.arrive(1, 5, 1000.0).pass(40.0).timer(1).pass(2.0).probed("m0a", 0.0).began(1, 0).pass(208.0);
    scenario.silent("m1a").pass(1000.0).arrive(2, 5, 1000.0).pass(2.0).silent("m1a");
    assert_snapshot!(scenario.trace());
}

/// Overload must not send a prompt to every reader: after home's cell it may go to two other readers only.
#[test]
fn prompt_overflows_to_two_readers_of_other_cells() {
    let mut scenario =
        with_probes(&["m0a", "r0a", "w0a", "r1a", "w1a", "r2a", "w2a", "r3a", "w3a", "r4a", "w4a"]);
    scenario.arrive(1, 5, 6000.0).pass(1.0).probed("m0a", 30.0).probed("r0a", 30.0);
    scenario.probed("w4a", 0.0).probed("r4a", 30.0).probed("w3a", 0.0).probed("r3a", 30.0);
    assert_snapshot!(scenario.trace());
}

/// With hundreds of routers, one router at a time would leave a new worker idle until it is warm.
#[test]
fn many_routers_share_a_slow_start_turn() {
    let used = |own_number| {
        let mut scenario = Scenario::new(Settings { routers: 200, own_number, ..settings() }, &[]);
        scenario.list(Saved, vec![Listing { started_ms: Some(99_000.0), ..row("m0a") }, row("m1a")]);
        for id in 0..8 {
            scenario.pass(500.0).arrive(id, u64::from(id), 300.0).began(id, 0).ended(id, 0, Finished, 0.0);
        }
        let trace = scenario.trace();
        format!("router {own_number}: {} of 8 to the new worker\n", trace.matches("to m0a").count())
    };
    assert_snapshot!([0, 50, 75, 125, 199].map(used).concat());
}

/// With 100 routers, one prompt of ours at this moment is no estimate of the others' load; our mean over time
/// stands for theirs.
#[test]
fn load_of_other_routers_is_estimated_by_our_mean() {
    let mut scenario = Scenario::new(Settings { routers: 100, ..settings() }, &["m0a", "r0a", "r0b", "w0a"]);
    scenario.arrive(1, 5, 4000.0).arrive(2, 5, 4000.0).pass(300.0).ended(1, 0, Read, 0.0).began(1, 1);
    scenario.ended(2, 0, Read, 0.0).began(2, 1).pass(20.0).arrive(3, 6, 9000.0);
    assert_snapshot!(scenario.trace());
}

/// States that wait to be fetched count at the writer, except one of ours up to the length of the next
/// prompt.
#[test]
fn slow_fetches_overload_a_writer() {
    let mut scenario = fleet(&["m0a", "r0a", "r0b", "w0a"]);
    scenario.list(Changes, vec![Listing { readiness: Readiness::Draining, ..row("m0a") }]);
    scenario.arrive(1, 5, 4000.0).ended(1, 0, Read, 0.0).arrive(2, 6, 4000.0).ended(2, 0, Read, 0.0);
    scenario.arrive(3, 7, 4000.0);
    assert_snapshot!(scenario.trace());
}

/// A dispatch in flight may have run, at a reader too, until an outcome proves that it has not.
#[test]
fn non_idempotent_work_is_not_rate_limited_while_in_flight() {
    let mut scenario = fleet(&ONE_CELL);
    scenario.arrive_as(2, 1, 5, 4000.0).pass(3996.0).timer(1).ended(1, 0, Cancelled, 0.0);
    scenario.list(Whole, Vec::new()).arrive_as(2, 2, 5, 4000.0);
    assert_snapshot!(scenario.trace());
}

/// A worker that is over the limit for one workload still serves a workload of greater value.
#[test]
fn limits_follow_the_value_of_a_workload() {
    let mut valued = settings();
    valued.workloads[2].value = 4.0;
    let mut scenario = Scenario::new(valued, &["m0a", "r0a", "w0a"]);
    scenario.arrive(1, 5, 6000.0).pass(1000.0).arrive(2, 6, 6000.0).arrive_as(2, 3, 7, 6000.0);
    assert_snapshot!(scenario.trace());
}

/// A worker that reports idle is not working on an old dispatch; at a busy worker the dispatch may still run.
#[test]
fn hung_dispatch_at_an_idle_worker_is_cancelled() {
    let mut scenario = fleet(&["m0a", "m1a"]);
    scenario.arrive(1, 5, 1000.0).pass(400.0).probed_idle("m1a", 0.0).pass(200.0).probed_idle("m1a", 0.9);
    scenario
        .probed_idle("m1a", 0.1)
        .ended(1, 0, Cancelled, 0.0)
        .began(1, 1)
        .pass(900.0)
        .probed_idle("m0a", 0.0);
    assert_snapshot!(scenario.trace());
}

/// The reader of home's cell does not answer; in the other cell the reader is free but its writer is
/// overloaded.
#[test]
fn prompt_read_elsewhere_is_written_at_home_rather_than_rejected() {
    let mut scenario = with_probes(&["m0a", "w0a", "r1a", "w1a"]);
    scenario.list(Changes, vec![row("r0a")]).silent("r0a").silent("r0a").silent("r0a").silent("r0a");
    scenario.probed("r1a", 0.0).probed("w1a", 30.0).probed("m0a", 0.0).probed("w0a", 0.0);
    scenario.arrive(1, 5, 6000.0).pass(100.0).probed("w1a", 30.0).probed("m0a", 0.0).ended(1, 0, Read, 0.0);
    assert_snapshot!(scenario.trace());
}
