use super::*;

#[test]
fn a_start_in_the_same_boot_uses_the_saved_anchor_whatever_the_wall_clock() {
    let first = Anchor::for_boot(None, "boot-1", 1.7e12, 5000.0);
    assert_eq!(first.offset_ms, 1.7e12 - 5000.0);
    for wall_ms in [0.0, 1.7e12 + 3.6e6, 1.7e12 - 3.6e6] {
        assert_eq!(Anchor::for_boot(Some(first.clone()), "boot-1", wall_ms, 9000.0), first);
    }
}

#[test]
fn another_or_unknown_boot_uses_the_wall_clock() {
    let first = Anchor::for_boot(None, "boot-1", 1.7e12, 5000.0);
    let next = Anchor::for_boot(Some(first.clone()), "boot-2", 1.8e12, 100.0);
    assert_eq!(next, Anchor { boot: "boot-2".into(), offset_ms: 1.8e12 - 100.0 });
    let unknown = Anchor::for_boot(None, "", 1.7e12, 5000.0);
    assert_eq!(Anchor::for_boot(Some(unknown), "", 1.8e12, 6000.0).offset_ms, 1.8e12 - 6000.0);
    let invalid = Anchor { offset_ms: f64::NAN, ..first };
    assert_eq!(Anchor::for_boot(Some(invalid), "boot-1", 1.8e12, 6000.0).offset_ms, 1.8e12 - 6000.0);
}

/// Guards the rounding of the offset: for wall clocks with any fraction of a ms the anchor that is read back
/// equals the one that was written, so that two starts use the same clock.
#[test]
fn anchors_round_trip_through_json() {
    for step in 0..100_000 {
        let wall_ms = 1_796_221_999_526.0 + f64::from(step) * 0.000_244_140_625 * 7.0;
        let written = Anchor::for_boot(None, "boot-1", wall_ms, 5000.0);
        let read: Anchor = serde_json::from_slice(&serde_json::to_vec(&written).unwrap()).unwrap();
        assert_eq!(read, written);
    }
}

#[test]
fn clocks_of_one_directory_share_their_offset() {
    let dir = tempfile::tempdir().unwrap();
    let (first, second) = (SteadyClock::open(dir.path()), SteadyClock::open(dir.path()));
    assert_eq!(first.offset_ms, second.offset_ms);
    assert!((first.now_ms() - wall_ms()).abs() < 60_000.0);
}
