//! Tests of the module `report`.

use super::*;

#[test]
fn an_invalid_value_rejects_the_whole_report() {
    let load = parse(" TEXT inflight=7, queue=2, util=0.61,x0=0.4, odd=1").unwrap();
    assert_eq!((load.active_requests, load.queue, load.slots_share), (Some(7.0), Some(2.0), Some(0.61)));
    assert_eq!(load.memory_share, Some(0.4));
    for invalid in
        ["", "TEXT", "TEXT ", "JSON {}", "TEXT queue", "TEXT queue=x", "TEXT queue=NaN", "TEXT queue=-1"]
    {
        assert_eq!(parse(invalid), None, "{invalid}");
    }
    assert_eq!(parse("TEXT odd=1"), None);
    assert_eq!(parse("TEXT queue=2, util=\u{1}"), None);
}
