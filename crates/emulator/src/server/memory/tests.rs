//! Tests of the module `memory`.

use super::*;

#[test]
fn a_beginning_counts_only_as_far_as_nothing_is_missing() {
    let mut kept = Kept::new(100.0);
    kept.keep(&[(1, 40.0), (2, 70.0)]);
    assert_eq!(kept.find(&[(1, 40.0), (2, 70.0), (3, 90.0)]), 70.0);
    assert_eq!(kept.find(&[(1, 40.0), (9, 60.0), (2, 70.0)]), 40.0);
    // The second part was used less recently than the first.
    kept.keep(&[(4, 45.0)]);
    assert_eq!(kept.find(&[(1, 40.0), (2, 70.0)]), 40.0);
    assert_eq!(kept.tokens(), 85.0);
    kept.shrink_to(50.0);
    assert_eq!((kept.find(&[(4, 45.0)]), kept.tokens()), (0.0, 40.0));
}
