//! The resource limits and timeouts keep to what the platform promises.

use super::*;

/// The platform documents the earliest kill as the longest client timeout, capped at 3 s, plus 0.7 s.
#[test]
fn the_grace_period_is_that_of_the_platform_documentation() {
    let kill_after_ms = [300.0, 1000.0, 10_000.0].map(|longest_ms| grace_period(longest_ms).kill_after_ms);
    assert_eq!(kill_after_ms, [1000.0, 1700.0, 3700.0]);
    // A watch resumes within 200 ms; a read timeout with its lingering close stays under 3 s, a silent stream
    // under 5 s.
    const {
        assert!(
            DISCOVERY_RETRY_MS < 200.0
                && REQUEST_READ_TIMEOUT_MS + LINGER_MS < 3000.0
                && STREAM_IDLE_TIMEOUT_MS < 5000.0
        )
    };
}

#[test]
fn shares_stay_under_the_configured_limits() {
    for sockets in [48, 64, 256, 1024, 4096] {
        for memory_mb in [1.0, 32.0, 192.0] {
            let shares = Shares::of(&Limits { cores: 1.0, memory_mb, sockets });
            assert!(
                shares.clients + shares.workers + RESERVED_DESCRIPTORS < sockets,
                "{sockets}: {shares:?}"
            );
            assert!(3 * (shares.clients + 1) >= sockets - RESERVED_DESCRIPTORS, "{sockets}: {shares:?}");
            assert!(shares.body_bytes >= 2 * MAX_BODY_BYTES);
        }
    }
}
