//! Tests of the module `links`.

use super::*;

#[test]
fn transfers_share_a_link_evenly() {
    let mut link = Link::new(1000.0);
    link.begin(0.0, 1, 100.0);
    assert_eq!(link.next_end_ms(), Some(100.0));
    // Two transfers share the link from 50 ms on: the first needs 100 ms more for its 50 remaining tokens.
    link.begin(50.0, 2, 100.0);
    assert_eq!(link.next_end_ms(), Some(150.0));
    assert_eq!(link.take_finished(150.0), [1]);
    assert_eq!(link.next_end_ms(), Some(200.0));
    link.set_slowdown(175.0, 5.0);
    assert_eq!(link.next_end_ms(), Some(300.0));
    assert_eq!(link.take_finished(300.0), [2]);
    assert_eq!(link.next_end_ms(), None);
}
