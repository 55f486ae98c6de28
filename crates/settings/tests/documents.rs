//! Wrong documents: every problem is found, with its place, what stood there and what is allowed.

use paddleproxy_settings::day::RouterOverrides;
use paddleproxy_settings::{fleet, router};

const ROUTER: &str = include_str!("router.kdl");

fn problems(changes: &[(&str, &str)]) -> String {
    let mut text = ROUTER.to_owned();
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replacen(from, to, 1);
    }
    router::parse("r.kdl", &text).map(|_| String::new()).unwrap_or_else(|wrong| wrong.to_string())
}

#[test]
fn the_whole_document_is_good() {
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
fn figures_of_the_rules_have_no_default() {
    let found = problems(&[("    fall-multiple 2.5\n", ""), ("    pin-limit \"500ms\"\n", "")]);
    insta::assert_snapshot!(found);
}

#[test]
fn parts_must_agree() {
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
fn what_is_no_kdl_says_where() {
    let found = router::parse("r.kdl", "listen \"127.0.0.1:1\nzones {\n").unwrap_err();
    assert!(found.to_string().starts_with("r.kdl:"), "{found}");
    for text in ["", "listen", "\u{0}", "zones \"a\" { b { c } }", &"a { ".repeat(100)] {
        assert!(router::parse("r.kdl", text).is_err());
    }
}

#[test]
fn a_fleet_names_only_kinds_it_has() {
    let text = include_str!("fleet.kdl");
    assert!(fleet::parse("f.kdl", text).is_ok());
    let wrong = text.replace("kind=\"writer\"", "kind=\"writr\"").replace("seed 7", "seed -7");
    let found = fleet::parse("f.kdl", &wrong).unwrap_err().to_string();
    insta::assert_snapshot!(found);
}

#[test]
fn a_dialect_names_known_events_and_leaves_out_none_that_is_needed() {
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
fn shapes_that_can_not_be_are_refused() {
    insta::assert_snapshot!(problems(&[
        ("routers 2", "routers 0"),
        ("max-dispatches 5", "max-dispatches 1"),
        ("fall-multiple 2.5", "fall-multiple -1"),
        ("    probe \"100ms\"", "    probe \"0ms\""),
        ("probes #true", "probes #true\n    reports \"none\""),
    ]));
    // Without probes nothing waits for one; reports are heard unless a router is told not to.
    assert_eq!(
        problems(&[("probes #true", "probes #false"), ("    probe \"100ms\"", "    probe \"0ms\"")]),
        ""
    );
    assert!(router::parse("r.kdl", ROUTER).unwrap().reports);
    let deaf = ROUTER.replace("probes #true", "probes #false\n    reports #false");
    assert!(!router::parse("r.kdl", &deaf).unwrap().reports);
}

#[test]
fn a_shape_names_routers_that_are_there_and_switches_no_figure() {
    let day = |shape: &str| {
        let own = format!(
            "day \"d\" {{\n    length \"1s\"\n    rest \"1s\"\n    seed 1\n    routers 2\n    \
            drain-grace \"1s\"\n}}\n{shape}\n"
        );
        let common = include_str!("../../../days/common.kdl").to_owned();
        paddleproxy_settings::day::parse(&[("d.kdl".into(), own), ("common.kdl".into(), common)])
    };
    let good = day("shape \"new\" {\n    routers 1\n    probes #false\n}").unwrap();
    assert_eq!((good.shape_of(0), good.shape_of(1)), ("template", "new"));
    // In virtual time and in a process of its own a router runs in the same shape.
    let all = day(
        "shape \"new\" {\n    routers 1\n    probes #false\n    reports #false\n    weights #false\n    \
        second-copies #false\n    holds #false\n}",
    )
    .unwrap();
    let shape = |router: &router::RouterSettings| {
        let s = &router.decisions;
        [s.probes_allowed, router.reports, s.weights_act, s.second_copies, s.holds_allowed]
    };
    for (number, on) in [(0, true), (1, false)] {
        let (zone, list, listen) = ("north", "127.0.0.1:9", "127.0.0.1:0");
        let own = RouterOverrides {
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
        let read = router::parse("r.kdl", &all.router_document(&own)).unwrap();
        assert_eq!((shape(&all.router_of(number)), shape(&read)), ([on; 5], [on; 5]));
    }
    let wrong = [
        "shape \"new\" {\n    routers 2\n}",
        "shape \"new\" {\n}",
        "shape \"new\" {\n    routers 1\n    pin-limit \"9s\"\n}",
    ];
    insta::assert_snapshot!(wrong
        .map(|shape| day(shape).err().map(|wrong| wrong.to_string()).unwrap_or_default())
        .join("\n"));
}
