//! Tests of the module `start_times`.

use super::*;

const HOUR_MS: f64 = 3_600_000.0;
/// Wall-clock time at which the router's clock showed 0.
const WALL_AT_CLOCK_ZERO_MS: f64 = 1.7e12;

fn worker(name: &str) -> WorkerId {
    WorkerId(name.into())
}

/// The start of a server that started at 10 s and was first reported at 11 s, after a step of the wall clock
/// at 4 s.
fn start_reported_after_a_step(step_ms: f64, server_clock_stepped: bool) -> f64 {
    let mut start_times = StartTimes::new();
    start_times.observe_offset(WALL_AT_CLOCK_ZERO_MS);
    start_times.observe_offset(WALL_AT_CLOCK_ZERO_MS + step_ms);
    let born_ms = WALL_AT_CLOCK_ZERO_MS + 10_000.0 + if server_clock_stepped { step_ms } else { 0.0 };
    start_times.started_ms(&worker("s"), born_ms, 11_000.0).unwrap()
}

#[test]
fn a_start_after_a_clock_step_is_converted_correctly_whichever_clock_was_stepped() {
    for step_ms in [-HOUR_MS, HOUR_MS, -7000.0, 7000.0, -1500.0, 1500.0] {
        for server_clock_stepped in [true, false] {
            let started_ms = start_reported_after_a_step(step_ms, server_clock_stepped);
            let late_ms = started_ms - 10_000.0;
            // The result may be up to MAX_AHEAD_MS late, but never early.
            assert!((0.0..=1000.0).contains(&late_ms), "{step_ms} {server_clock_stepped}: {started_ms}");
        }
    }
}

#[test]
fn a_start_before_a_clock_step_is_converted_by_the_earlier_offset() {
    for step_ms in [-HOUR_MS, HOUR_MS] {
        let mut start_times = StartTimes::new();
        start_times.observe_offset(WALL_AT_CLOCK_ZERO_MS);
        start_times.observe_offset(WALL_AT_CLOCK_ZERO_MS + step_ms);
        // The server started at 3 s, before the step at 4 s, and is reported at 5 s.
        let started_ms =
            start_times.started_ms(&worker("s"), WALL_AT_CLOCK_ZERO_MS + 3000.0, 5000.0).unwrap();
        assert_eq!(started_ms, 3000.0, "{step_ms}");
    }
}

#[test]
fn a_converted_start_is_unaffected_by_later_steps() {
    let mut start_times = StartTimes::new();
    start_times.observe_offset(WALL_AT_CLOCK_ZERO_MS);
    let first = start_times.started_ms(&worker("s"), WALL_AT_CLOCK_ZERO_MS + 1000.0, 2000.0);
    for (row, step_ms) in [-HOUR_MS, 5000.0, HOUR_MS, -300.0].into_iter().enumerate() {
        start_times.observe_offset(WALL_AT_CLOCK_ZERO_MS + step_ms);
        let again = start_times.started_ms(&worker("s"), WALL_AT_CLOCK_ZERO_MS + 1000.0, 3000.0 + row as f64);
        assert_eq!(again, first);
    }
    assert_ne!(
        start_times.started_ms(&worker("s"), WALL_AT_CLOCK_ZERO_MS + 2000.0, 4000.0),
        first,
        "a restarted server"
    );
}

#[test]
fn long_ago_has_no_start_time_and_the_future_counts_as_now() {
    let mut start_times = StartTimes::new();
    assert_eq!(start_times.started_ms(&worker("s"), 0.0, 5.0), None);
    assert_eq!(
        start_times.started_ms(&worker("s"), WALL_AT_CLOCK_ZERO_MS, 5.0),
        Some(5.0),
        "no offset was observed"
    );
    start_times.observe_offset(WALL_AT_CLOCK_ZERO_MS);
    assert_eq!(start_times.started_ms(&worker("t"), WALL_AT_CLOCK_ZERO_MS + 2.0 * HOUR_MS, 5.0), Some(5.0));
    start_times.forget(&worker("t"));
    start_times.keep_only(&BTreeSet::new());
    assert!(start_times.starts.is_empty());
}

#[test]
fn offsets_are_limited_in_number_and_drift_is_ignored() {
    let mut start_times = StartTimes::new();
    for step in 0..1000 {
        start_times.observe_offset(WALL_AT_CLOCK_ZERO_MS + 100.0 * f64::from(step % 2));
    }
    assert_eq!(start_times.offsets_ms.len(), 1);
    for step in 0..1000 {
        start_times.observe_offset(WALL_AT_CLOCK_ZERO_MS + 1000.0 * f64::from(step));
    }
    assert_eq!(start_times.offsets_ms.len(), MAX_OFFSETS);
}
