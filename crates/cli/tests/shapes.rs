//! Routers of the old shape (with probes, load reports, weights and second copies) and of the new shape
//! (without them) share the same emulated servers on sockets, with drains, a server failure and servers in
//! slow start: the rules are kept and neither shape starves the other.

mod common;

use common::play_day;

/// Largest allowed difference between the two shapes' shares of requests in target. Both serve the same
/// clients on the same machine, so a slow machine lowers both shares; a starved shape falls far below the
/// other.
const MAX_SHARE_DIFFERENCE: f64 = 0.15;
/// Smallest allowed share of requests in target for each shape.
const MIN_SHARE: f64 = 0.6;

#[test]
fn both_shapes_on_the_same_servers_keep_the_rules_and_do_not_starve_each_other() {
    let report = play_day("both-shapes.kdl");
    for rule in &report.rules {
        println!("{}: {} cases", rule.name, rule.cases);
        assert!(rule.cases > 0, "{}: no case was checked", rule.name);
        assert_eq!(rule.broken, Vec::<String>::new(), "{}", rule.name);
    }
    let shapes: Vec<_> = report.shapes.iter().map(|row| row.name.as_str()).collect();
    assert_eq!(shapes, ["new", "template"]);
    for row in &report.shapes {
        println!("{}: {} asked, {:.3} in target", row.name, row.asked, row.in_target);
        assert!(row.asked > 30, "{}: {} asked", row.name, row.asked);
        assert!(row.in_target >= MIN_SHARE, "{}: {:.3} in target", row.name, row.in_target);
    }
    let difference = (report.shapes[0].in_target - report.shapes[1].in_target).abs();
    assert!(difference <= MAX_SHARE_DIFFERENCE, "the shapes' shares in target differ by {difference:.3}");
    let notice = report.workloads.iter().find(|row| row.name == "notice").map_or(0, |row| row.asked);
    assert!(notice > 5, "{notice} non-idempotent completions");
}
