//! Tests of the module `limits`.

use super::*;

/// The platform's page: the longest deadline, taken as 3 s where it is longer, and 0.7 s.
#[test]
fn the_platform_kills_no_earlier_than_its_page_says() {
    let kills = [300.0, 1000.0, 10_000.0].map(|longest_ms| grace_period(longest_ms).kill_after_ms);
    assert_eq!(kills, [1000.0, 1700.0, 3700.0]);
    // Time for a watch's gap, and an error with its lingering.
    const {
        assert!(
            DISCOVERY_RETRY_MS < 200.0
                && REQUEST_READ_TIMEOUT_MS + LINGER_MS < 3000.0
                && STREAM_IDLE_TIMEOUT_MS < 5000.0
        )
    };
}

#[test]
fn shares_stay_under_the_limits_that_are_told() {
    for sockets in [48, 64, 256, 1024, 4096] {
        for memory_mb in [1.0, 32.0, 192.0] {
            let shares = Shares::of(&Limits { cores: 1.0, memory_mb, sockets });
            assert!(shares.clients + shares.workers + OWN < sockets, "{sockets}: {shares:?}");
            assert!(3 * (shares.clients + 1) >= sockets - OWN, "{sockets}: {shares:?}");
            assert!(shares.body_bytes >= 2 * BODY_BYTES);
        }
    }
}
