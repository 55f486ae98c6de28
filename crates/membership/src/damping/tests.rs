//! Tests of the module `damping`.

use super::*;

#[test]
fn a_flapping_server_is_set_aside_longer_each_time() {
    let mut damping = Damping::default();
    for at in [0.0, 10.0, 20.0] {
        damping.returned(at, 3, 100.0, 50.0);
        assert!(!damping.aside(at));
    }
    damping.returned(30.0, 3, 100.0, 50.0);
    assert!(damping.aside(79.0) && !damping.aside(80.0));
    for at in [81.0, 82.0, 83.0, 84.0] {
        damping.returned(at, 3, 100.0, 50.0);
    }
    assert_eq!(damping.until_ms(), 184.0);
    // Slow returns never add up.
    let mut steady = Damping::default();
    (0..50).for_each(|n| steady.returned(n as f64 * 40.0, 3, 100.0, 50.0));
    assert!(!steady.aside(2000.0));
}
