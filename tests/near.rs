//! Sessions whose home routers agreed to move, and how far overflow goes.

mod helpers;

use std::collections::BTreeMap;

use helpers::{first_dispatches, row, settings};
use paddleproxy::interface::*;

/// Where each session's first dispatch goes.
fn first(
    names: &[&str],
    settings: Settings,
    near: Option<ZoneId>,
    prompt_tokens: f64,
) -> BTreeMap<u64, String> {
    let goes = first_dispatches(
        names.iter().map(|name| row(name)).collect(),
        settings,
        400,
        prompt_tokens,
        near,
        0.0,
    );
    assert_eq!(goes.len(), 400, "some went nowhere");
    goes
}

const MIXED: [&str; 6] = ["m0a", "m0b", "m1a", "m1b", "m2a", "m2b"];

#[test]
fn a_moved_session_has_its_home_in_that_zone_and_others_keep_theirs() {
    let by_hash = first(&MIXED, settings(), None, 200.0);
    let moved = first(&MIXED, settings(), Some(ZoneId(1)), 200.0);
    let mut ranked_there = 0;
    for (session, home) in &by_hash {
        assert!(moved[session].starts_with("m1"), "session {session} went to {}", moved[session]);
        // Who has its home there anyway stays at the same worker.
        if home.starts_with("m1") {
            ranked_there += 1;
            assert_eq!(home, &moved[session]);
        }
    }
    assert!(ranked_there > 50, "homes were spread over all zones before");
    // Both workers of the zone take their part of those who moved.
    let at_a = moved.values().filter(|home| *home == "m1a").count();
    assert!((100..=300).contains(&at_a), "{at_a} of 400 at one of two");
}

#[test]
fn a_zone_without_a_usable_home_leaves_sessions_where_their_hash_says() {
    let by_hash = first(&MIXED, settings(), None, 200.0);
    assert_eq!(first(&MIXED, settings(), Some(ZoneId(7)), 200.0), by_hash);
}

/// Homes are in zone 0, where nobody reads: long prompts go to readers of other cells, nearer ones first.
#[test]
fn overflow_goes_to_the_nearest_zone_first() {
    let names = ["m0a", "w0a", "r1a", "r2a", "r3a", "w1a", "w2a", "w3a"];
    let spread = first(&names, settings(), None, 9000.0);
    let used: std::collections::BTreeSet<&str> = spread.values().map(String::as_str).collect();
    assert_eq!(
        used.into_iter().collect::<Vec<_>>(),
        ["r1a", "r2a", "r3a"],
        "by hash alone all readers are used"
    );
    let far = vec![vec![0, 3, 1, 2], vec![1, 0, 2, 3], vec![1, 2, 0, 3], vec![1, 2, 3, 0]];
    let near = first(&names, Settings { zone_distances: far, ..settings() }, None, 9000.0);
    assert!(near.values().all(|reader| reader == "r2a"), "{near:?}");
}

/// Three homes and one reader in cell 0, one home and three readers in cell 1: each reader could take a quarter of all.
#[test]
fn who_sends_little_leaves_what_is_beyond_a_readers_part_to_others() {
    let names = ["m0a", "m0b", "m0c", "r0a", "w0a", "m1a", "r1a", "r1b", "r1c", "w1a"];
    let at_r0a = |apart_ms| {
        let rows = names.iter().map(|name| row(name)).collect();
        let goes = first_dispatches(rows, settings(), 400, 9000.0, None, apart_ms);
        goes.values().filter(|reader| *reader == "r0a").count()
    };
    let (often, seldom) = (at_r0a(0.0), at_r0a(60_000.0));
    assert!((250..=350).contains(&often), "{often}: whoever sees its own load keeps to home's cell");
    assert!((60..=140).contains(&seldom), "{seldom} of 400 at one reader of four");
}
