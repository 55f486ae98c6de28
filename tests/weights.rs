//! What weights do to homes.

mod helpers;

use helpers::{first_dispatches, row, settings};
use paddleproxy::interface::*;

/// Homes of many sessions, by worker, where each worker has its weight.
fn homes(weights: &[(&str, f64)], weights_act: bool) -> std::collections::BTreeMap<String, Vec<u64>> {
    let rows = weights.iter().map(|(name, weight)| Listing { weight: *weight, ..row(name) });
    let settings = Settings { weights_act, ..settings() };
    let mut homes = std::collections::BTreeMap::<String, Vec<u64>>::new();
    for (session, worker) in first_dispatches(rows.collect(), settings, 3000, 100.0, None, 0.0) {
        homes.entry(worker).or_default().push(session);
    }
    homes
}

#[test]
fn weights_share_out_homes_and_equal_ones_change_nothing() {
    let even = homes(&[("m0a", 1.0), ("m0b", 1.0), ("m0c", 1.0)], false);
    // Equal weights, whatever they are: the very same homes.
    assert_eq!(homes(&[("m0a", 0.3), ("m0b", 0.3), ("m0c", 0.3)], true), even);
    // Weights that don't act: the same too.
    assert_eq!(homes(&[("m0a", 9.0), ("m0b", 1.0), ("m0c", 0.0)], false), even);
    let homes = homes(&[("m0a", 2.0), ("m0b", 1.0), ("m0c", 0.0)], true);
    let share = |name: &str| homes.get(name).map_or(0.0, |sessions| sessions.len() as f64 / 3000.0);
    assert!((share("m0a") - 2.0 / 3.0).abs() < 0.04, "{}", share("m0a"));
    assert!((share("m0b") - 1.0 / 3.0).abs() < 0.04 && share("m0c") == 0.0, "{}", share("m0b"));
    // A lower weight moves sessions away from that worker alone.
    let less = less();
    let moved = even["m0b"].iter().filter(|session| !less["m0b"].contains(session)).count();
    assert_eq!((moved, less["m0c"].len() >= even["m0c"].len()), (0, true));
}

fn less() -> std::collections::BTreeMap<String, Vec<u64>> {
    homes(&[("m0a", 0.5), ("m0b", 1.0), ("m0c", 1.0)], true)
}
