//! Tests of the module `servers`.

use super::*;

const LIST: &str = r#"version 7
server "a" address="127.0.0.1:9001" zone="north" kind="mixed" cell=0 weight=0.5
server "b" address="127.0.0.1:9002" zone="north" kind="mixed" cell=0 draining=#true
end count=2 version=7
"#;

#[test]
fn no_part_of_a_list_is_a_list() {
    let whole = parse("servers.kdl", LIST).unwrap();
    assert_eq!((whole.version, whole.servers.len()), (7, 2));
    assert_eq!((whole.servers[0].weight, whole.servers[1].readiness.as_str()), (0.5, "draining"));
    // Its last characters are a line end and the last digit of a version that then says something else.
    for cut in 0..LIST.len() - 2 {
        assert!(parse("servers.kdl", &LIST[..cut]).is_err(), "cut at {cut}: {}", &LIST[..cut]);
    }
}

#[test]
fn what_is_wrong_has_a_line() {
    let text = LIST.replace("count=2", "count=3").replace("weight=0.5", "weight=-1");
    let wrong = parse("servers.kdl", &text).unwrap_err().to_string();
    assert!(wrong.contains("servers.kdl:2:") && wrong.contains("servers.kdl:4:"), "{wrong}");
}
