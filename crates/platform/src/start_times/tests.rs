use super::*;

const HOUR_MS: f64 = 3_600_000.0;
/// Wall time at which the router's clock showed 0.
const ZERO_MS: f64 = 1.7e12;

fn worker(name: &str) -> WorkerId {
    WorkerId(name.into())
}

/// The clock ran true until it was stepped at 4 s; then a server started at 10 s and was heard of at 11 s.
fn heard_after_a_step(step_ms: f64, server_reads_the_step: bool) -> f64 {
    let mut starts = StartTimes::new();
    starts.observe_offset(ZERO_MS);
    starts.observe_offset(ZERO_MS + step_ms);
    let born_ms = ZERO_MS + 10_000.0 + if server_reads_the_step { step_ms } else { 0.0 };
    starts.started_ms(&worker("s"), born_ms, 11_000.0).unwrap()
}

#[test]
fn a_start_after_a_step_is_when_it_was_whoever_was_stepped() {
    for step_ms in [-HOUR_MS, HOUR_MS, -7000.0, 7000.0, -1500.0, 1500.0] {
        for server_reads_the_step in [true, false] {
            let started_ms = heard_after_a_step(step_ms, server_reads_the_step);
            let late_ms = started_ms - 10_000.0;
            // At most one more second old than it is heard, and never older than it is.
            assert!((0.0..=1000.0).contains(&late_ms), "{step_ms} {server_reads_the_step}: {started_ms}");
        }
    }
}

#[test]
fn a_start_before_the_step_is_not_taken_for_an_older_one() {
    for step_ms in [-HOUR_MS, HOUR_MS] {
        let mut starts = StartTimes::new();
        starts.observe_offset(ZERO_MS);
        starts.observe_offset(ZERO_MS + step_ms);
        // It started at 3 s, before the step at 4 s, and is heard of at 5 s.
        let started_ms = starts.started_ms(&worker("s"), ZERO_MS + 3000.0, 5000.0).unwrap();
        assert_eq!(started_ms, 3000.0, "{step_ms}");
    }
}

#[test]
fn what_was_heard_stays_where_it_was_mapped() {
    let mut starts = StartTimes::new();
    starts.observe_offset(ZERO_MS);
    let first = starts.started_ms(&worker("s"), ZERO_MS + 1000.0, 2000.0);
    for (row, step_ms) in [-HOUR_MS, 5000.0, HOUR_MS, -300.0].into_iter().enumerate() {
        starts.observe_offset(ZERO_MS + step_ms);
        let again = starts.started_ms(&worker("s"), ZERO_MS + 1000.0, 3000.0 + row as f64);
        assert_eq!(again, first);
    }
    assert_ne!(starts.started_ms(&worker("s"), ZERO_MS + 2000.0, 4000.0), first, "another start");
}

#[test]
fn long_ago_is_no_start_and_the_future_is_now() {
    let mut starts = StartTimes::new();
    assert_eq!(starts.started_ms(&worker("s"), 0.0, 5.0), None);
    assert_eq!(starts.started_ms(&worker("s"), ZERO_MS, 5.0), Some(5.0), "no offset was seen");
    starts.observe_offset(ZERO_MS);
    assert_eq!(starts.started_ms(&worker("t"), ZERO_MS + 2.0 * HOUR_MS, 5.0), Some(5.0));
    starts.forget(&worker("t"));
    starts.keep_only(&BTreeSet::new());
    assert!(starts.known.is_empty());
}

#[test]
fn offsets_are_bounded_and_drift_is_no_step() {
    let mut starts = StartTimes::new();
    for step in 0..1000 {
        starts.observe_offset(ZERO_MS + 100.0 * f64::from(step % 2));
    }
    assert_eq!(starts.offsets_ms.len(), 1);
    for step in 0..1000 {
        starts.observe_offset(ZERO_MS + 1000.0 * f64::from(step));
    }
    assert_eq!(starts.offsets_ms.len(), OFFSETS);
}
