//! Tests of the module `deduplication`.

use super::*;

#[test]
fn a_repeat_that_arrived_within_the_window_is_dropped_however_late_it_runs() {
    let mut seen = SeenEffects::default();
    let name = |cell| group_name(Group::Cell, "z", cell);
    assert!(!seen.check_and_record(name(1), "a", 0.0, 1300.0, 8000.0));
    // Guards against comparing the window with the time at which the work runs. In a simulated overload a
    // repeat sent 2 s after the first dispatch ran 8.005 s after the first's effect.
    assert!(seen.check_and_record(name(1), "a", 2000.0, 9305.0, 8000.0));
    // In another cell, or if sent after the window, it is no repeat.
    assert!(!seen.check_and_record(name(2), "a", 2000.0, 2100.0, 8000.0));
    assert!(!seen.check_and_record(name(1), "a", 9400.0, 9500.0, 8000.0));
}
