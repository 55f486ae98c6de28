//! Tests of the module `deduplication`.

use super::*;

#[test]
fn a_slow_repeat_that_came_in_time_is_dropped() {
    let mut seen = SeenEffects::default();
    let name = |cell| group_name(Group::Cell, "z", cell);
    assert!(!seen.check_and_record(name(1), "a", 0.0, 1300.0, 8000.0));
    // Found by an emulated jam: sent 2 s after the first, it ran 8.005 s after the first's effect.
    assert!(seen.check_and_record(name(1), "a", 2000.0, 9305.0, 8000.0));
    // In another cell, or sent after the window, nothing is known of it.
    assert!(!seen.check_and_record(name(2), "a", 2000.0, 2100.0, 8000.0));
    assert!(!seen.check_and_record(name(1), "a", 9400.0, 9500.0, 8000.0));
}
