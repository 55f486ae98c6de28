//! Tests of the module `servers`.

use super::*;

const LIST: &str = r#"version 7
server "a" address="127.0.0.1:9001" zone="north" kind="mixed" cell=0 weight=0.5
server "b" address="127.0.0.1:9002" zone="north" kind="mixed" cell=0 draining=#true
end count=2 version=7
"#;

#[test]
fn truncated_list_is_rejected() {
    let whole = parse("servers.kdl", LIST).unwrap();
    assert_eq!((whole.version, whole.servers.len()), (7, 2));
    assert_eq!((whole.servers[0].weight, whole.servers[1].readiness.as_str()), (0.5, "draining"));
    // The last two characters are left out: without the line end the list is complete, and without the last
    // digit of the version, 'end' may state another version.
    for length in 0..LIST.len() - 2 {
        assert!(parse("servers.kdl", &LIST[..length]).is_err(), "cut at {length}: {}", &LIST[..length]);
    }
}

#[test]
fn problems_are_reported_with_their_line() {
    let text = LIST.replace("count=2", "count=3").replace("weight=0.5", "weight=-1");
    let problems = parse("servers.kdl", &text).unwrap_err().to_string();
    assert!(problems.contains("servers.kdl:2:") && problems.contains("servers.kdl:4:"), "{problems}");
}
