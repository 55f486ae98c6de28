//! Tests of the module `write_check`: every combination of conditions that may have changed since the
//! decision.

use super::*;

const NOW_MS: f64 = 1000.0;

/// Offsets of a deadline from now: past, now, and in the future.
const OFFSETS_MS: [f64; 5] = [-50.0, 0.0, 0.5, 1.0, 700.0];

#[test]
fn an_attempt_is_written_only_while_all_conditions_hold() {
    for left_ms in OFFSETS_MS {
        for window_left_ms in OFFSETS_MS {
            for server_ready in [true, false] {
                let check = WriteCheck {
                    now_ms: NOW_MS,
                    until_ms: NOW_MS + left_ms,
                    repeat_by_ms: NOW_MS + window_left_ms,
                    server_ready,
                    client_gone: false,
                };
                let expected = match (left_ms >= 1.0, window_left_ms > 0.0, server_ready) {
                    (false, _, _) => Err(Withdrawal::OutOfTime),
                    (_, false, _) => Err(Withdrawal::RepeatTooLate),
                    (_, _, false) => Err(Withdrawal::ServerNotReady),
                    _ => Ok(left_ms),
                };
                assert_eq!(check.time_left_ms(), expected, "{check:?}");
                let gone = WriteCheck { client_gone: true, ..check };
                assert_eq!(gone.time_left_ms(), Err(Withdrawal::ClientGone), "{gone:?}");
            }
        }
    }
}

#[test]
fn the_time_limit_sent_is_never_rounded_up() {
    for part in 0..1000 {
        let left_ms = 1.0 + f64::from(part) / 400.0;
        let check = WriteCheck {
            now_ms: NOW_MS,
            until_ms: NOW_MS + left_ms,
            repeat_by_ms: f64::INFINITY,
            server_ready: true,
            client_gone: false,
        };
        let time_limit_ms = check.time_left_ms().unwrap();
        // The wire format: seconds with three decimals.
        let written: f64 = format!("{:.3}", time_limit_ms / 1e3).parse().unwrap();
        assert!(written * 1e3 <= left_ms && left_ms - written * 1e3 < 1.0 + 1e-9, "{left_ms}: {written}");
    }
}

#[test]
fn a_nan_time_limit_counts_as_out_of_time() {
    let check = WriteCheck {
        now_ms: NOW_MS,
        until_ms: f64::NAN,
        repeat_by_ms: f64::INFINITY,
        server_ready: true,
        client_gone: false,
    };
    assert_eq!(check.time_left_ms(), Err(Withdrawal::OutOfTime));
}
