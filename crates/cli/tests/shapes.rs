//! Routers of the old shape (probes, reports, weights, second copies) and of the new (none of them) before the same
//! stand-ins on sockets, with drains, a death and fresh servers: the rules hold and neither kind starves the other.

mod common;

use common::played;

/// The most that the kinds' shares in target may lie apart, and the least share of either. Both serve the same clients
/// on the same machine, so a slow machine lowers both; a kind that is crowded out falls far under the other.
const APART: f64 = 0.15;
const LEAST: f64 = 0.6;

#[test]
fn both_shapes_before_the_same_servers_keep_the_rules_and_starve_neither() {
    let report = played("both-shapes.kdl");
    for rule in &report.rules {
        println!("{}: {} cases", rule.name, rule.cases);
        assert!(rule.cases > 0, "{}: nothing was looked at", rule.name);
        assert_eq!(rule.broken, Vec::<String>::new(), "{}", rule.name);
    }
    let shapes: Vec<_> = report.shapes.iter().map(|row| row.name.as_str()).collect();
    assert_eq!(shapes, ["new", "template"]);
    for row in &report.shapes {
        println!("{}: {} asked, {:.3} in target", row.name, row.asked, row.in_target);
        assert!(row.asked > 30, "{}: {} asked", row.name, row.asked);
        assert!(row.in_target >= LEAST, "{}: {:.3} in target", row.name, row.in_target);
    }
    let apart = (report.shapes[0].in_target - report.shapes[1].in_target).abs();
    assert!(apart <= APART, "the kinds lie {apart:.3} apart in target");
    let notice = report.workloads.iter().find(|row| row.name == "notice").map_or(0, |row| row.asked);
    assert!(notice > 5, "{notice} non-idempotent completions");
}
