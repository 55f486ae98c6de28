//! Tests of the module `random`.

use super::*;

fn common() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/fellows-common.kdl")
}

#[test]
fn every_drawn_script_is_a_day_and_the_same_for_its_seed() {
    let dir = tempfile::tempdir().unwrap();
    let common = common();
    let room = Room { program: Path::new("none"), common: &common, dir: dir.path() };
    let cast = room.cast().unwrap();
    assert_eq!((cast.routers, cast.zones.len(), cast.servers.len()), (9, 3, 24));
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..30 {
        let script = draw(seed, &cast);
        assert_eq!(script, draw(seed, &cast));
        let (day, _) = room.write(&script, "one").unwrap();
        assert_eq!(day.troubles.len(), script.troubles.len());
        assert_eq!(day.router.failover.is_some(), script.failover);
        kinds.extend(day.troubles.iter().map(|trouble| trouble.kind.name().to_owned()));
        // Everything has to be over in time for healing to be judged.
        assert!(day.troubles.iter().all(|trouble| trouble.at_ms + trouble.for_ms <= 24_000.0));
    }
    assert!(kinds.len() >= 8, "{kinds:?}");
}
