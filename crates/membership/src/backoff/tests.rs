use super::*;

#[test]
fn delays_grow_to_the_maximum_and_are_spread_evenly() {
    let mut last_delays_ms = Vec::new();
    for seed in 0..240 {
        let mut backoff = Backoff::new(100.0, 2000.0, seed);
        let delays_ms: Vec<_> = (0..8).map(|_| backoff.next_delay_ms()).collect();
        assert!((50.0..=100.0).contains(&delays_ms[0]) && (1000.0..=2000.0).contains(&delays_ms[7]));
        last_delays_ms.push(delays_ms[7]);
        backoff.reset();
        assert!(backoff.next_delay_ms() <= 100.0);
    }
    // No tenth of the range has more than twice its share of the 240 delays.
    for tenth in 0..10 {
        let from_ms = 1000.0 + 100.0 * tenth as f64;
        let count = last_delays_ms.iter().filter(|delay| (from_ms..from_ms + 100.0).contains(*delay)).count();
        assert!(count < 48, "{count} delays from {from_ms} ms");
    }
}
