//! What must hold of verdicts and plans, whatever comes.

use std::collections::BTreeMap;

use paddleproxy_failover::{
    judge, plan::WHOLE_SHARE, EvidenceRow, FlapHistory, Matrix, OperatorCommand, Plan, PlanLimits, Topology,
    Verdict, Zone, ZoneCounts,
};
use proptest::prelude::*;

/// Three zones in two regions.
fn map() -> Topology {
    let costs = vec![vec![0.0, 1.0, 5.0], vec![1.0, 0.0, 5.0], vec![5.0, 5.0, 0.0]];
    Topology { regions: vec![0, 0, 1], costs }
}

fn bounds(capacity: f64) -> PlanLimits {
    PlanLimits {
        demand: vec![100.0; 3],
        capacity: vec![capacity; 3],
        reserve: 0.2,
        max_step_out: 0.5,
        max_step_back: 0.1,
    }
}

fn well() -> ZoneCounts {
    ZoneCounts { in_target: 50.0, late: 1.0, listed: 8, usable: 8, ..ZoneCounts::default() }
}

fn dead() -> ZoneCounts {
    ZoneCounts { timed_out: 20.0, refused: 5.0, listed: 8, usable: 8, ..ZoneCounts::default() }
}

fn row(from: u8, seen: [Option<ZoneCounts>; 3]) -> EvidenceRow {
    let rows = seen.into_iter().enumerate().filter_map(|(of, seen)| Some((of as u8, seen?)));
    EvidenceRow { from, counts: rows.collect(), ..EvidenceRow::default() }
}

const ALL: [Zone; 3] = [Zone(0), Zone(1), Zone(2)];

fn verdicts(rows: &[EvidenceRow], speaking: &[Zone]) -> Vec<Verdict> {
    judge(&map(), &Matrix::from_rows(rows), speaking)
}

#[test]
fn a_lost_zone_is_told_from_a_cut_path_and_from_lost_eyes() {
    let sees = |of2: Option<ZoneCounts>| [Some(well()), Some(well()), of2];
    // Its routers are gone with it.
    let lost = verdicts(&[row(0, sees(Some(dead()))), row(1, sees(Some(dead())))], &ALL[..2]);
    assert_eq!(lost, [Verdict::Healthy, Verdict::Healthy, Verdict::Lost]);
    // One zone's word alone is not enough while another can speak and says nothing.
    let one = verdicts(&[row(0, sees(Some(dead()))), row(1, sees(None))], &ALL[..2]);
    assert_eq!(one[2], Verdict::Unknown);
    // Its own routers find it well.
    let rows = [
        row(0, sees(Some(dead()))),
        row(1, sees(Some(dead()))),
        row(2, [Some(dead()), Some(dead()), Some(well())]),
    ];
    let cut = verdicts(&rows, &ALL);
    assert_eq!(cut[2], Verdict::CutPath(vec![Zone(0), Zone(1)]));
    assert_eq!(cut[0], Verdict::CutPath(vec![Zone(2)]));
    // Everybody finds everything dead.
    let rows: Vec<EvidenceRow> = (0..3).map(|from| row(from, [Some(dead()); 3])).collect();
    assert_eq!(verdicts(&rows, &ALL), vec![Verdict::Unknown; 3]);
    assert_eq!(verdicts(&[], &ALL), vec![Verdict::Unknown; 3]);
    let slow = ZoneCounts { in_target: 20.0, late: 30.0, listed: 8, ..ZoneCounts::default() };
    let full = ZoneCounts { in_target: 30.0, full: 30.0, listed: 8, ..ZoneCounts::default() };
    let rows: Vec<EvidenceRow> =
        (0..3).map(|from| row(from, [Some(slow), Some(full), Some(well())])).collect();
    let found = verdicts(&rows, &ALL);
    assert!(matches!(found[0], Verdict::Impaired(share) if (share - 0.4).abs() < 0.01), "{found:?}");
    assert_eq!(found[1..], [Verdict::Full, Verdict::Healthy]);
}

#[test]
fn one_router_that_lies_or_is_late_moves_nothing() {
    let sound = row(0, [Some(well()), Some(well()), Some(well())]);
    let huge = ZoneCounts { timed_out: 900_000.0, listed: 8, ..ZoneCounts::default() };
    let liar = row(0, [Some(huge), Some(huge), Some(huge)]);
    let rows: Vec<EvidenceRow> = std::iter::once(liar).chain((0..4).map(|_| sound.clone())).collect();
    assert!(verdicts(&rows, &ALL)
        .iter()
        .all(|verdict| matches!(verdict, Verdict::Healthy | Verdict::Unknown)));
    let plan = Plan::default().next(
        &map(),
        &verdicts(&rows, &ALL),
        &bounds(200.0),
        &BTreeMap::new(),
        &mut FlapHistory::default(),
    );
    assert!(ALL.iter().all(|zone| plan.moved(*zone) == 0), "{plan:?}");
    for bad in [f32::NAN, -1.0, f32::INFINITY, 1e9] {
        let bad = EvidenceRow { completions_by_home: vec![(0, bad)], ..EvidenceRow::default() };
        assert!(EvidenceRow::read(&bad.bytes()).is_err());
    }
    let wide = EvidenceRow {
        from: 7,
        represented_routers: 1.0,
        counts: (0..30).map(|zone| (zone, well())).collect(),
        completions_by_home: (0..30).map(|zone| (zone, 40.0)).collect(),
        commands: Vec::new(),
    };
    assert!(wide.bytes().len() < 600, "{} bytes for 30 zones", wide.bytes().len());
    // Counts come back within a step of their logarithm, and the same from then on.
    let once = EvidenceRow::read(&wide.bytes()).unwrap();
    assert_eq!(EvidenceRow::read(&once.bytes()), Ok(once.clone()));
    let off = (once.counts[0].1.in_target / well().in_target - 1.0).abs();
    assert!(off < 0.07, "off by {off}");
}

#[test]
fn what_moved_comes_back_to_where_it_was_and_slower_after_each_flap() {
    let (map, bounds, words) = (map(), bounds(220.0), BTreeMap::new());
    let (lost, well) = ([Verdict::Healthy, Verdict::Healthy, Verdict::Lost], vec![Verdict::Healthy; 3]);
    let mut hands = FlapHistory::default();
    let sessions: Vec<u64> = (0..2000u64).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect();
    let mut plan = Plan::default();
    let mut before: Vec<Zone> = sessions.iter().map(|hash| plan.home(Zone(2), *hash)).collect();
    for _ in 0..4 {
        plan = plan.next(&map, &lost, &bounds, &words, &mut hands);
        let now: Vec<Zone> = sessions.iter().map(|hash| plan.home(Zone(2), *hash)).collect();
        for (was, is) in before.iter().zip(&now) {
            assert!(*was == Zone(2) || was == is, "one that moved was moved again");
        }
        before = now;
    }
    assert_eq!(plan.moved(Zone(2)), WHOLE_SHARE, "there is room for all");
    let returns = |plan: &mut Plan, hands: &mut FlapHistory| {
        let mut steps = 0;
        while plan.moved(Zone(2)) > 0 {
            *plan = plan.next(&map, &well, &bounds, &words, hands);
            steps += 1;
            assert!(steps < 1000);
        }
        steps
    };
    let first = returns(&mut plan, &mut hands);
    assert_eq!(plan.moves, Plan::default().moves, "all are where they were");
    assert_eq!(first, 10);
    // It flaps: out, a step back, out again.
    for _ in 0..3 {
        (0..4).for_each(|_| plan = plan.next(&map, &lost, &bounds, &words, &mut hands));
        plan = plan.next(&map, &well, &bounds, &words, &mut hands);
    }
    (0..4).for_each(|_| plan = plan.next(&map, &lost, &bounds, &words, &mut hands));
    assert!(returns(&mut plan, &mut hands) >= 4 * first, "it returns slower each time");
}

#[test]
fn a_plan_that_changes_nothing_keeps_its_number() {
    let well = vec![Verdict::Healthy; 3];
    let plan =
        Plan::default().next(&map(), &well, &bounds(200.0), &BTreeMap::new(), &mut FlapHistory::default());
    assert_eq!(plan, Plan::default());
    let cut = vec![Verdict::Healthy, Verdict::Healthy, Verdict::CutPath(vec![Zone(0)])];
    assert_eq!(plan.next(&map(), &cut, &bounds(200.0), &BTreeMap::new(), &mut FlapHistory::default()), plan);
    let words = BTreeMap::from([(2, OperatorCommand::Drain)]);
    assert!(plan.next(&map(), &well, &bounds(200.0), &words, &mut FlapHistory::default()).moved(Zone(2)) > 0);
    let held = BTreeMap::from([(2, OperatorCommand::Hold)]);
    let lost = [Verdict::Healthy, Verdict::Healthy, Verdict::Lost];
    assert_eq!(plan.next(&map(), &lost, &bounds(200.0), &held, &mut FlapHistory::default()), plan);
}

/// Every sequence of so many verdicts on three zones: what a zone is given stays within its room, whatever came before.
#[test]
fn no_sequence_of_verdicts_gives_a_zone_more_than_its_room() {
    let kinds = [Verdict::Healthy, Verdict::Lost, Verdict::Impaired(0.4), Verdict::Full, Verdict::Unknown];
    let all: Vec<Vec<Verdict>> = (0..kinds.len().pow(3))
        .map(|n| (0..3).map(|zone| kinds[n / kinds.len().pow(zone) % kinds.len()].clone()).collect())
        .collect();
    let (map, bounds) = (map(), bounds(150.0));
    // Pages of neighbouring numbers are in force side by side: each router may go by either.
    let mixed = |a: &Plan, b: &Plan, to: Zone| -> f64 {
        map.zones()
            .map(|from| a.share(from, to).max(b.share(from, to)) * bounds.demand[usize::from(from.0)])
            .sum()
    };
    let mut played = 0;
    let mut go = vec![(Plan::default(), FlapHistory::default(), 0)];
    while let Some((plan, hands, depth)) = go.pop() {
        played += 1;
        for zone in map.zones() {
            let room = 50.0 * 0.8;
            let given = plan.received_per_s(zone, &bounds.demand);
            assert!(given <= room + 0.1, "{given} to {zone:?} by {plan:?}");
            assert!(plan.moved(zone) <= WHOLE_SHARE);
        }
        if depth < 3 {
            for verdicts in &all {
                let mut hands = hands.clone();
                let next = plan.next(&map, verdicts, &bounds, &BTreeMap::new(), &mut hands);
                for zone in map.zones() {
                    let given = mixed(&plan, &next, zone);
                    assert!(given <= 40.0 + 0.1, "{given} to {zone:?} by {plan:?} beside {next:?}");
                }
                if next.moves != plan.moves || depth == 0 {
                    go.push((next, hands, depth + 1));
                }
            }
        }
    }
    println!("{played} plans");
    assert!(played > 1000);
}

proptest! {
    /// The same rows in another order are the same evidence, to the bit.
    #[test]
    fn the_order_of_rows_says_nothing(
        figures in proptest::collection::vec((0..3u8, 0..3u8, 0.0f32..100.0, 0.0f32..100.0, 0.0f32..100.0), 0..20),
        turn in 0..20usize,
    ) {
        let mut rows: Vec<EvidenceRow> = figures
            .iter()
            .map(|(from, of, a, b, c)| {
                let seen = ZoneCounts { in_target: *a, timed_out: *b, full: *c, ..ZoneCounts::default() };
                EvidenceRow { from: *from, counts: vec![(*of, seen)], ..EvidenceRow::default() }
            })
            .collect();
        let first = Matrix::from_rows(&rows);
        if !rows.is_empty() {
            let by = turn % rows.len();
            rows.rotate_left(by);
            rows.reverse();
        }
        prop_assert_eq!(first, Matrix::from_rows(&rows));
    }

    /// Bytes of any kind are no row, or one whose figures are bounded and come back the same.
    #[test]
    fn random_bytes_are_no_row_or_a_sound_one(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(row) = EvidenceRow::read(&bytes) {
            prop_assert!(row.counts.iter().all(|(_, seen)| seen.attempts().is_finite() && seen.attempts() >= 0.0));
            let again = EvidenceRow::read(&row.bytes()).unwrap();
            prop_assert_eq!(&again.counts, &row.counts);
            let matrix = Matrix::from_rows([&row]);
            prop_assert_eq!(judge(&map(), &matrix, &ALL).len(), 3);
        }
    }
}
