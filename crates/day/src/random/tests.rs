//! Tests of the module `random`.

use super::*;

fn common() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/fellows-common.kdl")
}

#[test]
fn every_generated_script_is_a_valid_day_and_reproducible() {
    let dir = tempfile::tempdir().unwrap();
    let common = common();
    let runner = ScriptRunner { program: Path::new("none"), common: &common, dir: dir.path() };
    let topology = runner.topology().unwrap();
    assert_eq!((topology.routers, topology.zones.len(), topology.servers.len()), (9, 3, 24));
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..30 {
        let script = draw(seed, &topology);
        assert_eq!(script, draw(seed, &topology));
        let (day, _) = runner.write(&script, "one").unwrap();
        assert_eq!(day.troubles.len(), script.troubles.len());
        assert_eq!(day.router.failover.is_some(), script.failover);
        kinds.extend(day.troubles.iter().map(|trouble| trouble.kind.name().to_owned()));
        // All troubles end early enough for the routers to recover before the day ends.
        assert!(day.troubles.iter().all(|trouble| trouble.at_ms + trouble.for_ms <= 24_000.0));
    }
    assert!(kinds.len() >= 8, "{kinds:?}");
}
