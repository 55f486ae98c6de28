//! Arrival times of the bytes of a connection.

use super::*;

/// An `Inbound` that has received these bytes at these times.
fn inbound_of(parts: &[(&[u8], f64)]) -> Inbound {
    let mut inbound = Inbound::new(Clock::start());
    for (bytes, at_ms) in parts {
        inbound.bytes.extend_from_slice(bytes);
        inbound.received += bytes.len() as u64;
        inbound.record_arrival(*at_ms);
    }
    inbound
}

#[test]
fn the_arrival_time_is_that_of_the_last_consumed_byte() {
    let mut inbound = inbound_of(&[(b"one", 100.0), (b"two", 200.0), (b"three", 300.0)]);
    let _ = inbound.split_to(3);
    assert_eq!(inbound.consumed_arrival_ms(), 100.0);
    let _ = inbound.split_to(2);
    assert_eq!(inbound.consumed_arrival_ms(), 200.0);
    let _ = inbound.split_to(6);
    assert_eq!(inbound.consumed_arrival_ms(), 300.0);
}

#[test]
fn reads_in_close_succession_count_as_one_arrival_at_the_first() {
    let mut inbound = inbound_of(&[(b"a", 100.0), (b"b", 100.0 + MERGE_WINDOW_MS - 1.0), (b"c", 400.0)]);
    let _ = inbound.split_to(2);
    assert_eq!(inbound.consumed_arrival_ms(), 100.0);
}

/// A client that sends single bytes without end must not grow the list of arrivals without limit, and no
/// arrival time is reported later than it was.
#[test]
fn arrivals_are_limited_and_never_reported_too_late() {
    let count = 3 * MAX_ARRIVALS;
    let at_ms = |number: usize| number as f64 * 50.0;
    let parts: Vec<(&[u8], f64)> = (0..count).map(|number| (&b"x"[..], at_ms(number))).collect();
    let mut inbound = inbound_of(&parts);
    assert_eq!(inbound.arrivals.len(), MAX_ARRIVALS);
    for number in 0..count {
        let _ = inbound.split_to(1);
        assert!(inbound.consumed_arrival_ms() <= at_ms(number), "{number}");
    }
    inbound.release_if_empty();
    assert_eq!((inbound.arrivals.len(), inbound.bytes.capacity()), (0, 0));
}
