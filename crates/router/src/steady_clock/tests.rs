use super::*;

#[test]
fn a_start_in_the_same_boot_goes_on_whatever_the_wall_clock_says() {
    let first = Anchor::of(None, "boot-1", 1.7e12, 5000.0);
    assert_eq!(first.offset_ms, 1.7e12 - 5000.0);
    for wall_ms in [0.0, 1.7e12 + 3.6e6, 1.7e12 - 3.6e6] {
        assert_eq!(Anchor::of(Some(first.clone()), "boot-1", wall_ms, 9000.0), first);
    }
}

#[test]
fn another_boot_or_none_that_is_known_goes_by_the_wall_clock() {
    let first = Anchor::of(None, "boot-1", 1.7e12, 5000.0);
    let next = Anchor::of(Some(first.clone()), "boot-2", 1.8e12, 100.0);
    assert_eq!(next, Anchor { boot: "boot-2".into(), offset_ms: 1.8e12 - 100.0 });
    let unknown = Anchor::of(None, "", 1.7e12, 5000.0);
    assert_eq!(Anchor::of(Some(unknown), "", 1.8e12, 6000.0).offset_ms, 1.8e12 - 6000.0);
    let spoilt = Anchor { offset_ms: f64::NAN, ..first };
    assert_eq!(Anchor::of(Some(spoilt), "boot-1", 1.8e12, 6000.0).offset_ms, 1.8e12 - 6000.0);
}

/// Offsets of every fraction of a ms: what a folder says is what was written to it.
#[test]
fn an_anchor_is_read_as_it_was_written() {
    for step in 0..100_000 {
        let wall_ms = 1_796_221_999_526.0 + f64::from(step) * 0.000_244_140_625 * 7.0;
        let written = Anchor::of(None, "boot-1", wall_ms, 5000.0);
        let read: Anchor = serde_json::from_slice(&serde_json::to_vec(&written).unwrap()).unwrap();
        assert_eq!(read, written);
    }
}

#[test]
fn a_folder_keeps_its_clock() {
    let dir = tempfile::tempdir().unwrap();
    let (one, other) = (SteadyClock::open(dir.path()), SteadyClock::open(dir.path()));
    assert_eq!(one.offset_ms, other.offset_ms);
    assert!((one.now_ms() - wall_ms()).abs() < 60_000.0);
}
