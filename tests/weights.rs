//! The effect of worker weights on session homes.

mod helpers;

use helpers::{first_dispatches, row, settings};
use paddleproxy::interface::*;

/// Sessions by home, with the given weights of the workers.
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
    // Any equal weights give the same homes.
    assert_eq!(homes(&[("m0a", 0.3), ("m0b", 0.3), ("m0c", 0.3)], true), even);
    // Disabled weights give the same homes too.
    assert_eq!(homes(&[("m0a", 9.0), ("m0b", 1.0), ("m0c", 0.0)], false), even);
    let homes = homes(&[("m0a", 2.0), ("m0b", 1.0), ("m0c", 0.0)], true);
    let share = |name: &str| homes.get(name).map_or(0.0, |sessions| sessions.len() as f64 / 3000.0);
    assert!((share("m0a") - 2.0 / 3.0).abs() < 0.04, "{}", share("m0a"));
    assert!((share("m0b") - 1.0 / 3.0).abs() < 0.04 && share("m0c") == 0.0, "{}", share("m0b"));
    // A lower weight moves sessions away from that worker only.
    let lower = lower_weight();
    let moved = even["m0b"].iter().filter(|session| !lower["m0b"].contains(session)).count();
    assert_eq!((moved, lower["m0c"].len() >= even["m0c"].len()), (0, true));
}

fn lower_weight() -> std::collections::BTreeMap<String, Vec<u64>> {
    homes(&[("m0a", 0.5), ("m0b", 1.0), ("m0c", 1.0)], true)
}
