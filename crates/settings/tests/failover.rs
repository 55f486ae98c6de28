//! The block `failover`: the settings that it gives, and the problems reported with their positions.

use paddleproxy_settings::day::{parse, DaySettings};
use paddleproxy_settings::day_failover::FailoverMode;

fn day(block: &str) -> Result<DaySettings, String> {
    let text = format!(
        "day \"d\" {{\n    length \"1s\"\n    rest \"1s\"\n    seed 1\n    routers 9\n    \
        drain-grace \"1s\"\n}}\n{block}\n"
    );
    let common = include_str!("../../../days/fellows-common.kdl").to_owned();
    parse(&[("d.kdl".into(), text), ("common.kdl".into(), common)]).map_err(|problems| problems.to_string())
}

const VALID: &str = "failover {\n    region \"east\" \"north\" \"south\"\n    region \"far\" \"west\"\n    \
    cost \"north\" \"west\" 3\n    back 0.2\n}";

#[test]
fn valid_block_sets_regions_costs_and_zone_distances() {
    let day_settings = day(VALID).unwrap();
    let failover = day_settings.router.failover.as_ref().unwrap();
    assert_eq!(failover.topology.regions, [0, 0, 1]);
    assert_eq!(failover.topology.costs, [[0.0, 1.0, 3.0], [1.0, 0.0, 10.0], [3.0, 10.0, 0.0]]);
    assert_eq!((failover.reserve, failover.max_step_out, failover.max_step_back), (0.25, 0.5, 0.2));
    assert!(!failover.own_evidence_only && !failover.commands_only);
    assert_eq!(day_settings.router.decisions.zone_distances, [[0, 1, 2], [1, 0, 2], [1, 2, 0]]);
    // Without the block, the scheduler has no zone distances.
    assert!(day("").unwrap().router.decisions.zone_distances.is_empty());
}

#[test]
fn problems_are_reported_with_their_place() {
    let invalid = [
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
    for (block, expected) in invalid {
        let problems = day(block).unwrap_err();
        assert!(problems.contains(expected), "{block}\n{problems}");
        assert!(problems.contains("d.kdl:"), "{problems}");
    }
}

#[test]
fn failover_mode_changes_router_documents_and_troubles() {
    let router_document = |day: &DaySettings| {
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
    let text = format!("{VALID}\ntrouble \"zone-lost\" at=\"100ms\" for=\"200ms\" zone=\"west\"");
    let with_mode = |mode| {
        let mut day = day(&text).unwrap();
        day.set_failover_mode(mode);
        let document = router_document(&day);
        paddleproxy_settings::router::parse("r.kdl", &document).unwrap();
        (document, day.troubles.len())
    };
    assert!(with_mode(FailoverMode::Configured).0.contains("failover {"));
    assert!(!with_mode(FailoverMode::NoFailover).0.contains("failover {"));
    assert!(with_mode(FailoverMode::NoFailover).0.contains("peers {"));
    assert!(!with_mode(FailoverMode::NoPeers).0.contains("peers {"));
    assert!(with_mode(FailoverMode::OwnEvidence).0.contains("decides alone"));
    // Operator commands report each change of the true state: two for one trouble.
    let (document, troubles) = with_mode(FailoverMode::TrueState);
    assert!(document.contains("decides told"));
    assert_eq!(troubles, 3);
}
