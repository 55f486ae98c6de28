//! Tests of the module `prefix_cache`.

use super::*;

#[test]
fn lookup_stops_at_the_first_missing_prefix() {
    let mut cache = PrefixCache::new(100.0);
    cache.insert(&[(1, 40.0), (2, 70.0)]);
    assert_eq!(cache.lookup(&[(1, 40.0), (2, 70.0), (3, 90.0)]), 70.0);
    assert_eq!(cache.lookup(&[(1, 40.0), (9, 60.0), (2, 70.0)]), 40.0);
    // The second part was used less recently than the first.
    cache.insert(&[(4, 45.0)]);
    assert_eq!(cache.lookup(&[(1, 40.0), (2, 70.0)]), 40.0);
    assert_eq!(cache.tokens(), 85.0);
    cache.shrink_to(50.0);
    assert_eq!((cache.lookup(&[(4, 45.0)]), cache.tokens()), (0.0, 40.0));
}
