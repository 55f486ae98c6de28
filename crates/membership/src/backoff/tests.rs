//! Tests of the module `backoff`.

use super::*;

#[test]
fn waits_grow_to_a_bound_and_spread() {
    let mut spread = Vec::new();
    for seed in 0..240 {
        let mut backoff = Backoff::new(100.0, 2000.0, seed);
        let waits: Vec<_> = (0..8).map(|_| backoff.next_delay_ms()).collect();
        assert!((50.0..=100.0).contains(&waits[0]) && (1000.0..=2000.0).contains(&waits[7]));
        spread.push(waits[7]);
        backoff.reset();
        assert!(backoff.next_delay_ms() <= 100.0);
    }
    // Of 240 routers no tenth of the span gets more than twice its share.
    for part in 0..10 {
        let from = 1000.0 + 100.0 * part as f64;
        let inside = spread.iter().filter(|wait| (from..from + 100.0).contains(*wait)).count();
        assert!(inside < 48, "{inside} from {from}");
    }
}
