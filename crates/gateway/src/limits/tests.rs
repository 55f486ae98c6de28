//! Tests of the module `limits`.

use super::*;

#[test]
fn last_answers_come_before_the_earliest_kill() {
    assert_eq!((last_answers_ms(10_000.0), last_answers_ms(1000.0)), (3500.0, 1500.0));
    // Time for a request's last call, a watch's gap, and an error with its lingering.
    assert!(LAST_CALL_MS < last_answers_ms(500.0));
    const { assert!(ASK_AGAIN_MS < 200.0 && REQUEST_MS + LINGER_MS < 3000.0 && SILENT_MS < 5000.0) };
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
