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

#[test]
fn a_folder_keeps_its_clock() {
    let dir = tempfile::tempdir().unwrap();
    let (one, other) = (SteadyClock::open(dir.path()), SteadyClock::open(dir.path()));
    assert_eq!(one.offset_ms, other.offset_ms);
    assert!((one.now_ms() - wall_ms()).abs() < 60_000.0);
}
