//! Tests of the module `inbound`.

use super::*;

/// An `Inbound` that was given these bytes at these times.
fn given(parts: &[(&[u8], f64)]) -> Inbound {
    let mut inbound = Inbound::new(Clock::start());
    for (bytes, at_ms) in parts {
        inbound.bytes.extend_from_slice(bytes);
        inbound.received += bytes.len() as u64;
        inbound.came(*at_ms);
    }
    inbound
}

#[test]
fn bytes_came_when_their_last_one_did() {
    let mut inbound = given(&[(b"one", 100.0), (b"two", 200.0), (b"three", 300.0)]);
    let _ = inbound.split_to(3);
    assert_eq!(inbound.taken_came_ms(), 100.0);
    let _ = inbound.split_to(2);
    assert_eq!(inbound.taken_came_ms(), 200.0);
    let _ = inbound.split_to(6);
    assert_eq!(inbound.taken_came_ms(), 300.0);
}

#[test]
fn what_came_nearly_together_counts_as_come_with_the_first() {
    let mut inbound = given(&[(b"a", 100.0), (b"b", 100.0 + SAME_TIME_MS - 1.0), (b"c", 400.0)]);
    let _ = inbound.split_to(2);
    assert_eq!(inbound.taken_came_ms(), 100.0);
}

/// A client that sends byte by byte for ever makes no list of times without end, and no time is told later than it was.
#[test]
fn times_are_bounded_and_never_too_late() {
    let count = 3 * TIMES_MAX;
    let at_ms = |number: usize| number as f64 * 50.0;
    let parts: Vec<(&[u8], f64)> = (0..count).map(|number| (&b"x"[..], at_ms(number))).collect();
    let mut inbound = given(&parts);
    assert_eq!(inbound.arrived.len(), TIMES_MAX);
    for number in 0..count {
        let _ = inbound.split_to(1);
        assert!(inbound.taken_came_ms() <= at_ms(number), "{number}");
    }
    inbound.rest();
    assert_eq!((inbound.arrived.len(), inbound.bytes.capacity()), (0, 0));
}
