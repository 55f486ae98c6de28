//! Sessions whose home was moved to another zone by agreement, and the zones that overflow goes to.

mod helpers;

use std::collections::BTreeMap;

use helpers::{first_dispatches, row, settings};
use paddleproxy::interface::*;

/// The worker of each session's first dispatch.
fn first_workers(
    names: &[&str],
    settings: Settings,
    home_zone: Option<ZoneId>,
    prompt_tokens: f64,
) -> BTreeMap<u64, String> {
    let first_workers = first_dispatches(
        names.iter().map(|name| row(name)).collect(),
        settings,
        400,
        prompt_tokens,
        home_zone,
        0.0,
    );
    assert_eq!(first_workers.len(), 400, "a session was not dispatched");
    first_workers
}

const MIXED: [&str; 6] = ["m0a", "m0b", "m1a", "m1b", "m2a", "m2b"];

#[test]
fn a_moved_session_has_its_home_in_the_agreed_zone() {
    let by_hash = first_workers(&MIXED, settings(), None, 200.0);
    let moved = first_workers(&MIXED, settings(), Some(ZoneId(1)), 200.0);
    let mut already_there = 0;
    for (session, home) in &by_hash {
        assert!(moved[session].starts_with("m1"), "session {session} was dispatched to {}", moved[session]);
        // A session whose home was in that zone before stays at the same worker.
        if home.starts_with("m1") {
            already_there += 1;
            assert_eq!(home, &moved[session]);
        }
    }
    assert!(already_there > 50, "homes were spread over all zones before");
    // Both workers of the zone get a fair share of the moved sessions.
    let at_a = moved.values().filter(|home| *home == "m1a").count();
    assert!((100..=300).contains(&at_a), "{at_a} of 400 at one of two");
}

#[test]
fn without_a_usable_home_in_the_agreed_zone_the_hash_decides() {
    let by_hash = first_workers(&MIXED, settings(), None, 200.0);
    assert_eq!(first_workers(&MIXED, settings(), Some(ZoneId(7)), 200.0), by_hash);
}

/// Homes are in zone 0, which has no reader: long prompts go to readers of other cells, the nearest first.
#[test]
fn overflow_goes_to_the_nearest_zone_first() {
    let names = ["m0a", "w0a", "r1a", "r2a", "r3a", "w1a", "w2a", "w3a"];
    let spread = first_workers(&names, settings(), None, 9000.0);
    let used: std::collections::BTreeSet<&str> = spread.values().map(String::as_str).collect();
    assert_eq!(
        used.into_iter().collect::<Vec<_>>(),
        ["r1a", "r2a", "r3a"],
        "by hash alone all readers are used"
    );
    let zone_distances = vec![vec![0, 3, 1, 2], vec![1, 0, 2, 3], vec![1, 2, 0, 3], vec![1, 2, 3, 0]];
    let near = first_workers(&names, Settings { zone_distances, ..settings() }, None, 9000.0);
    assert!(near.values().all(|reader| reader == "r2a"), "{near:?}");
}

/// Three homes and one reader in cell 0, one home and three readers in cell 1: the fair share of each reader
/// is a quarter.
#[test]
fn a_router_with_little_traffic_spreads_reads_beyond_a_readers_share() {
    let names = ["m0a", "m0b", "m0c", "r0a", "w0a", "m1a", "r1a", "r1b", "r1c", "w1a"];
    let at_r0a = |apart_ms| {
        let rows = names.iter().map(|name| row(name)).collect();
        let first_workers = first_dispatches(rows, settings(), 400, 9000.0, None, apart_ms);
        first_workers.values().filter(|reader| *reader == "r0a").count()
    };
    let (busy, idle) = (at_r0a(0.0), at_r0a(60_000.0));
    assert!((250..=350).contains(&busy), "{busy}: a router that sees its own load stays in home's cell");
    assert!((60..=140).contains(&idle), "{idle} of 400 at one reader of four");
}
