use super::*;

#[test]
fn a_flapping_server_is_quarantined_longer_each_time() {
    let mut damping = Damping::default();
    for at in [0.0, 10.0, 20.0] {
        damping.record_return(at, 3, 100.0, 50.0);
        assert!(!damping.is_quarantined(at));
    }
    damping.record_return(30.0, 3, 100.0, 50.0);
    assert!(damping.is_quarantined(79.0) && !damping.is_quarantined(80.0));
    for at in [81.0, 82.0, 83.0, 84.0] {
        damping.record_return(at, 3, 100.0, 50.0);
    }
    assert_eq!(damping.quarantined_until_ms(), 184.0);
    // Returns that are far apart never lead to a quarantine.
    let mut steady = Damping::default();
    (0..50).for_each(|n| steady.record_return(n as f64 * 40.0, 3, 100.0, 50.0));
    assert!(!steady.is_quarantined(2000.0));
}
