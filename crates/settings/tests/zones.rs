//! The block `failover`: what it comes to, and what is wrong with it, each with its place.

use paddleproxy_settings::day::{parse, DaySettings};
use paddleproxy_settings::day_failover::FailoverMode;

fn day(block: &str) -> Result<DaySettings, String> {
    let own = format!(
        "day \"d\" {{\n    length \"1s\"\n    rest \"1s\"\n    seed 1\n    routers 9\n    drain-grace \"1s\"\n}}\n{block}\n"
    );
    let common = include_str!("../../../days/fellows-common.kdl").to_owned();
    parse(&[("d.kdl".into(), own), ("common.kdl".into(), common)]).map_err(|wrong| wrong.to_string())
}

const GOOD: &str = "failover {\n    region \"east\" \"north\" \"south\"\n    region \"far\" \"west\"\n    cost \"north\" \"west\" 3\n    back 0.2\n}";

#[test]
fn a_good_block_gives_regions_costs_and_the_order_of_overflow() {
    let good = day(GOOD).unwrap();
    let failover = good.router.failover.as_ref().unwrap();
    assert_eq!(failover.topology.regions, [0, 0, 1]);
    assert_eq!(failover.topology.costs, [[0.0, 1.0, 3.0], [1.0, 0.0, 10.0], [3.0, 10.0, 0.0]]);
    assert_eq!((failover.reserve, failover.max_step_out, failover.max_step_back), (0.25, 0.5, 0.2));
    assert!(!failover.own_evidence_only && !failover.commands_only);
    assert_eq!(good.router.decisions.zone_distances, [[0, 1, 2], [1, 0, 2], [1, 2, 0]]);
    // Without it the decisions know of no distance.
    assert!(day("").unwrap().router.decisions.zone_distances.is_empty());
}

#[test]
fn what_is_wrong_is_said_with_its_place() {
    let wrong = [
        ("failover {\n    region \"east\" \"north\" \"south\"\n}", "in no region: west"),
        (
            "failover {\n    region \"a\" \"north\" \"south\" \"west\"\n    region \"b\" \"north\"\n}",
            "zone \"north\" stands in two regions",
        ),
        ("failover {\n    region \"a\" \"north\" \"south\" \"west\" \"east\"\n}", "\"east\" is no zone"),
        (
            "failover {\n    region \"a\" \"north\" \"south\" \"west\"\n    cost \"north\" \"north\" 1\n}",
            "'cost' takes two zones",
        ),
        (
            "failover {\n    region \"a\" \"north\" \"south\" \"west\"\n    back 0\n}",
            "'back' must be 0.01 at least",
        ),
        (
            "failover {\n    region \"a\" \"north\" \"south\" \"west\"\n    decides \"later\"\n}",
            "'decides' is one of",
        ),
        ("failover {\n    region \"a\" \"north\" \"south\" \"west\"\n    nearest 1\n}", "nearest"),
        (
            "trouble \"said\" at=\"1s\" for=\"0s\" zone=\"west\" word=\"hold\" holds=\"1s\"",
            "needs the day's 'failover'",
        ),
        ("expect zone=\"west\" from=\"2s\" to=\"1s\"", "'expect' needs 'from' before 'to'"),
    ];
    for (block, what) in wrong {
        let said = day(block).unwrap_err();
        assert!(said.contains(what), "{block}\n{said}");
        assert!(said.contains("d.kdl:"), "{said}");
    }
}

#[test]
fn a_day_is_played_in_other_ways_by_its_own_document() {
    let own = |day: &DaySettings| {
        day.router_document(&paddleproxy_settings::day::RouterOverrides {
            number: 0,
            zone: "north",
            list: "127.0.0.1:9",
            listen: "127.0.0.1:0",
            admin: None,
            state_dir: "s",
            seed: 1,
            peers: None,
            router_count: None,
        })
    };
    let text = format!("{GOOD}\ntrouble \"zone-lost\" at=\"100ms\" for=\"200ms\" zone=\"west\"");
    let way = |decides| {
        let mut day = day(&text).unwrap();
        day.set_failover_mode(decides);
        let document = own(&day);
        paddleproxy_settings::router::parse("r.kdl", &document).unwrap();
        (document, day.troubles.len())
    };
    assert!(way(FailoverMode::Configured).0.contains("failover {"));
    assert!(!way(FailoverMode::NoFailover).0.contains("failover {"));
    assert!(way(FailoverMode::NoFailover).0.contains("peers {"));
    assert!(!way(FailoverMode::NoPeers).0.contains("peers {"));
    assert!(way(FailoverMode::OwnEvidence).0.contains("decides alone"));
    // The true state is told when it changes: twice for one trouble.
    let (told, troubles) = way(FailoverMode::TrueState);
    assert!(told.contains("decides told"));
    assert_eq!(troubles, 3);
}
