//! The schedule of a router that received the termination signal.

use paddleproxy::shutdown::{retry_after_ms, GracePeriod, Shutdown};

/// The longest stall of a router that the platform specifies.
const STALL_MS: f64 = 150.0;

/// For all client deadlines: a router that sees the signal late by up to one stall accepts no request whose
/// answer is still required at the kill, and sends its last answers before it.
#[test]
fn no_request_is_accepted_whose_answer_is_required_at_the_kill() {
    for longest_deadline_ms in [0.0, 50.0, 300.0, 1500.0, 3000.0] {
        let grace_period =
            GracePeriod { answers_owed_after_ms: 700.0, kill_after_ms: 700.0 + longest_deadline_ms };
        for signal_delay_ms in [0.0, STALL_MS] {
            let shutdown = Shutdown::new(signal_delay_ms, grace_period);
            assert!(!shutdown.accepts_requests(grace_period.answers_owed_after_ms), "{shutdown:?}");
            assert!(shutdown.last_answers_ms < grace_period.kill_after_ms, "{shutdown:?}");
            assert!(shutdown.last_answers_ms >= shutdown.accepts_until_ms, "{shutdown:?}");
        }
    }
}

/// New connections arrive for up to 400 ms after the termination signal; their requests are accepted.
#[test]
fn requests_on_the_last_new_connections_are_accepted() {
    let shutdown = Shutdown::new(1000.0, GracePeriod { answers_owed_after_ms: 700.0, kill_after_ms: 3700.0 });
    assert!(shutdown.accepts_requests(1000.0) && shutdown.accepts_requests(1400.0));
    assert_eq!(shutdown.last_answers_ms, 4500.0);
}

#[test]
fn retry_after_is_given_where_it_is_allowed() {
    assert_eq!((retry_after_ms(false, 500.0), retry_after_ms(true, 20.0)), (0.0, 20.0));
    assert!(retry_after_ms(true, 500.0) > 0.0);
}
