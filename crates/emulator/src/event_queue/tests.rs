//! Tests of the module `event_queue`.

use super::*;

#[test]
fn ties_keep_insertion_order_and_past_events_run_at_the_current_time() {
    let mut queue = EventQueue::default();
    for (at_ms, event) in [(5.0, 'b'), (1.0, 'a'), (5.0, 'c')] {
        queue.push(at_ms, event);
    }
    assert_eq!(queue.pop(), Some((1.0, 'a')));
    queue.push(0.5, 'x');
    queue.push(f64::NAN, 'y');
    let rest: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(rest, [(1.0, 'x'), (1.0, 'y'), (5.0, 'b'), (5.0, 'c')]);
}
