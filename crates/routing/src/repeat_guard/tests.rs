use super::*;

const WINDOW_MS: f64 = 1000.0;

fn workload(effect: Effect, group: Group) -> WorkloadSettings {
    let (value, latency_target_ms, target_per_token_ms) = (1.0, 500.0, 0.0);
    WorkloadSettings { effect, group, window_ms: WINDOW_MS, value, latency_target_ms, target_per_token_ms }
}

fn at(zone: usize, cell: u32) -> Location {
    Location { zone: ZoneId(zone), cell: CellId(cell) }
}

fn check_after(effect: Effect, group: Group, earlier: Option<Location>, ms: f64) -> Result<(), Breach> {
    let earlier = MayHaveRun { at: earlier, decided_ms: 0.0 };
    check(&workload(effect, group), [earlier], at(0, 0), ms)
}

#[test]
fn what_never_ran_may_be_sent() {
    for effect in [Effect::Idempotent, Effect::Tokened, Effect::NonIdempotent] {
        assert_eq!(check(&workload(effect, Group::Cell), [], at(0, 0), 9e9), Ok(()));
    }
}

#[test]
fn what_may_have_run_is_checked_by_effect_group_and_window() {
    use Effect::*;
    use Group::*;
    assert_eq!(check_after(Idempotent, Cell, None, 9e9), Ok(()));
    assert_eq!(check_after(NonIdempotent, All, Some(at(0, 0)), 0.0), Err(Breach::RunsTwice));
    for (group, earlier, allowed) in [
        (All, Some(at(1, 1)), true),
        (All, None, true),
        (Zone, Some(at(0, 1)), true),
        (Zone, Some(at(1, 0)), false),
        (Zone, None, false),
        (Cell, Some(at(1, 0)), true),
        (Cell, Some(at(0, 1)), false),
    ] {
        let expected = if allowed { Ok(()) } else { Err(Breach::OutsideItsGroup) };
        assert_eq!(check_after(Tokened, group, earlier, WINDOW_MS - 1.0), expected, "{group:?} {earlier:?}");
    }
    assert_eq!(check_after(Tokened, All, None, WINDOW_MS), Err(Breach::OutsideItsWindow));
}
