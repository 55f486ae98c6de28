//! Tests of the module `stall`.

use super::*;

#[test]
fn a_fast_stream_counts_as_stalled_sooner_than_a_slow_one() {
    let mut fast = StallDetector::new(0.0, 2000.0);
    let mut slow = StallDetector::new(0.0, 2000.0);
    assert_eq!(fast.deadline_ms(), 2000.0);
    for step in 1..=10 {
        fast.record_event(f64::from(step) * 10.0);
        slow.record_event(f64::from(step) * 25.0);
    }
    assert_eq!((fast.deadline_ms(), slow.deadline_ms()), (100.0 + 1000.0, 250.0 + 1500.0));
    slow.record_event(1700.0);
    assert_eq!(slow.deadline_ms(), 1700.0 + 2000.0);
}
