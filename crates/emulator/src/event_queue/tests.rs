//! Tests of the module `queue`.

use super::*;

#[test]
fn ties_keep_their_order_and_the_past_comes_at_once() {
    let mut queue = EventQueue::default();
    for (at, what) in [(5.0, 'b'), (1.0, 'a'), (5.0, 'c')] {
        queue.put(at, what);
    }
    assert_eq!(queue.take(), Some((1.0, 'a')));
    queue.put(0.5, 'x');
    queue.put(f64::NAN, 'y');
    let rest: Vec<_> = std::iter::from_fn(|| queue.take()).collect();
    assert_eq!(rest, [(1.0, 'x'), (1.0, 'y'), (5.0, 'b'), (5.0, 'c')]);
}
