//! The schedule of a router that was told to end.

use paddleproxy::shutdown::{retry_after_ms, GracePeriod, Shutdown};

/// The longest stall of a router by the platform's terms, in ms.
const STALL_MS: f64 = 150.0;

/// Whatever the deadlines: a router that hears of its end up to a stall late takes nothing that it would owe at the kill, and
/// gives its last answers before it.
#[test]
fn nothing_that_is_owed_at_the_kill_is_taken() {
    for longest_deadline_ms in [0.0, 50.0, 300.0, 1500.0, 3000.0] {
        let grace_period =
            GracePeriod { answers_owed_after_ms: 700.0, kill_after_ms: 700.0 + longest_deadline_ms };
        for late_ms in [0.0, STALL_MS] {
            let shutdown = Shutdown::new(late_ms, grace_period);
            assert!(!shutdown.accepts_requests(grace_period.answers_owed_after_ms), "{shutdown:?}");
            assert!(shutdown.last_answers_ms < grace_period.kill_after_ms, "{shutdown:?}");
            assert!(shutdown.last_answers_ms >= shutdown.accepts_until_ms, "{shutdown:?}");
        }
    }
}

/// New connections come for up to 400 ms after the word to end: their requests are taken.
#[test]
fn what_comes_with_the_last_new_connections_is_taken() {
    let shutdown = Shutdown::new(1000.0, GracePeriod { answers_owed_after_ms: 700.0, kill_after_ms: 3700.0 });
    assert!(shutdown.accepts_requests(1000.0) && shutdown.accepts_requests(1400.0));
    assert_eq!(shutdown.last_answers_ms, 4500.0);
}

#[test]
fn a_time_to_come_back_is_named_where_it_is_allowed() {
    assert_eq!((retry_after_ms(false, 500.0), retry_after_ms(true, 20.0)), (0.0, 20.0));
    assert!(retry_after_ms(true, 500.0) > 0.0);
}
