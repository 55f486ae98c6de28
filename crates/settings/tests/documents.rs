//! Invalid documents: every problem is reported with its position, what was found and what is allowed.

use paddleproxy_settings::day::RouterOverrides;
use paddleproxy_settings::{fleet, router};

const ROUTER: &str = include_str!("router.kdl");

fn problems(changes: &[(&str, &str)]) -> String {
    let mut text = ROUTER.to_owned();
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replacen(from, to, 1);
    }
    router::parse("r.kdl", &text).map(|_| String::new()).unwrap_or_else(|problems| problems.to_string())
}

#[test]
fn valid_document_has_no_problems() {
    assert_eq!(problems(&[]), "");
}

#[test]
fn every_problem_is_reported_with_its_place() {
    let found = problems(&[
        ("listen \"127.0.0.1:8080\"", "listen \"0.0.0.0:8080\""),
        ("latency-target \"1500ms\"", "latency-targt \"1500ms\""),
        ("effect \"tokened\"", "effect \"twice\""),
        ("pin-limit \"500ms\"", "pin-limit \"500\""),
        ("cold-share 0.3", "cold-share 1.3"),
    ]);
    insta::assert_snapshot!(found);
}

#[test]
fn rule_values_have_no_default() {
    let found = problems(&[("    fall-multiple 2.5\n", ""), ("    pin-limit \"500ms\"\n", "")]);
    insta::assert_snapshot!(found);
}

#[test]
fn inconsistent_parts_are_reported() {
    let found = problems(&[
        ("number 0", "number 2"),
        ("zone \"north\"", "zone \"nort\""),
        ("models \"notice\"", "models \"ledger\""),
        ("max-dispatches 5", "max-dispatches 0"),
        ("list {", "list {\n    changes \"subscribe\""),
    ]);
    insta::assert_snapshot!(found);
}

#[test]
fn invalid_kdl_is_reported_with_its_place() {
    let found = router::parse("r.kdl", "listen \"127.0.0.1:1\nzones {\n").unwrap_err();
    assert!(found.to_string().starts_with("r.kdl:"), "{found}");
    for text in ["", "listen", "\u{0}", "zones \"a\" { b { c } }", &"a { ".repeat(100)] {
        assert!(router::parse("r.kdl", text).is_err());
    }
}

#[test]
fn unknown_kind_in_a_fleet_is_reported() {
    let text = include_str!("fleet.kdl");
    assert!(fleet::parse("f.kdl", text).is_ok());
    let invalid = text.replace("kind=\"writer\"", "kind=\"writr\"").replace("seed 7", "seed -7");
    let found = fleet::parse("f.kdl", &invalid).unwrap_err().to_string();
    insta::assert_snapshot!(found);
}

#[test]
fn unknown_and_required_events_of_a_dialect_are_reported() {
    let found = problems(&[
        ("event \"message_start\"", "event \"message_strt\""),
        ("omit \"ping\"", "omit \"error\""),
        ("path \"/desk/messages\"", "path \"/v1/desk\""),
        ("    burst \"2s\"\n", "    brst \"2s\"\n"),
        ("    window \"10s\"\n    }\n}\nworkload \"ledger\"", "    window 10\n    }\n}\nworkload \"ledger\""),
    ]);
    insta::assert_snapshot!(found);
}

#[test]
fn impossible_values_are_reported() {
    insta::assert_snapshot!(problems(&[
        ("routers 2", "routers 0"),
        ("max-dispatches 5", "max-dispatches 1"),
        ("fall-multiple 2.5", "fall-multiple -1"),
        ("    probe \"100ms\"", "    probe \"0ms\""),
        ("probes #true", "probes #true\n    reports \"none\""),
    ]));
    // Without probes, their timeout may be 0. Load reports are used unless the rules switch them off.
    assert_eq!(
        problems(&[("probes #true", "probes #false"), ("    probe \"100ms\"", "    probe \"0ms\"")]),
        ""
    );
    assert!(router::parse("r.kdl", ROUTER).unwrap().reports);
    let without_reports = ROUTER.replace("probes #true", "probes #false\n    reports #false");
    assert!(!router::parse("r.kdl", &without_reports).unwrap().reports);
}

#[test]
fn shape_of_unknown_routers_or_with_a_numeric_rule_is_reported() {
    let day = |shape: &str| {
        let text = format!(
            "day \"d\" {{\n    length \"1s\"\n    rest \"1s\"\n    seed 1\n    routers 2\n    \
            drain-grace \"1s\"\n}}\n{shape}\n"
        );
        let common = include_str!("../../../days/common.kdl").to_owned();
        paddleproxy_settings::day::parse(&[("d.kdl".into(), text), ("common.kdl".into(), common)])
    };
    let valid = day("shape \"new\" {\n    routers 1\n    probes #false\n}").unwrap();
    assert_eq!((valid.shape_of(0), valid.shape_of(1)), ("template", "new"));
    // A router has the same shape in virtual time (`router_of`) and as a process of its own
    // (`router_document`).
    let all_off = day(
        "shape \"new\" {\n    routers 1\n    probes #false\n    reports #false\n    weights #false\n    \
        second-copies #false\n    holds #false\n}",
    )
    .unwrap();
    let switches = |router: &router::RouterSettings| {
        let decisions = &router.decisions;
        [
            decisions.probes_allowed,
            router.reports,
            decisions.weights_act,
            decisions.second_copies,
            decisions.holds_allowed,
        ]
    };
    for (number, on) in [(0, true), (1, false)] {
        let (zone, list, listen) = ("north", "127.0.0.1:9", "127.0.0.1:0");
        let overrides = RouterOverrides {
            number,
            zone,
            list,
            listen,
            admin: None,
            state_dir: "s",
            seed: 1,
            peers: None,
            router_count: None,
        };
        let read = router::parse("r.kdl", &all_off.router_document(&overrides)).unwrap();
        assert_eq!((switches(&all_off.router_of(number)), switches(&read)), ([on; 5], [on; 5]));
    }
    let invalid = [
        "shape \"new\" {\n    routers 2\n}",
        "shape \"new\" {\n}",
        "shape \"new\" {\n    routers 1\n    pin-limit \"9s\"\n}",
    ];
    insta::assert_snapshot!(invalid
        .map(|shape| day(shape).err().map(|problems| problems.to_string()).unwrap_or_default())
        .join("\n"));
}
