//! What must hold of verdicts and plans, whatever comes.

use std::collections::BTreeMap;

use paddleproxy_failover::{
    judge, plan::WHOLE, Bounds, Hands, Map, Matrix, Plan, Row, Seen, Verdict, Word, Zone,
};
use proptest::prelude::*;

/// Three zones in two regions.
fn map() -> Map {
    let costs = vec![vec![0.0, 1.0, 5.0], vec![1.0, 0.0, 5.0], vec![5.0, 5.0, 0.0]];
    Map { regions: vec![0, 0, 1], costs }
}

fn bounds(capacity: f64) -> Bounds {
    Bounds { demand: vec![100.0; 3], capacity: vec![capacity; 3], reserve: 0.2, out: 0.5, back: 0.1 }
}

fn well() -> Seen {
    Seen { in_target: 50.0, late: 1.0, listed: 8, usable: 8, ..Seen::default() }
}

fn dead() -> Seen {
    Seen { silent: 20.0, refused: 5.0, listed: 8, usable: 8, ..Seen::default() }
}

fn row(from: u8, seen: [Option<Seen>; 3]) -> Row {
    let rows = seen.into_iter().enumerate().filter_map(|(of, seen)| Some((of as u8, seen?)));
    Row { from, seen: rows.collect(), ..Row::default() }
}

const ALL: [Zone; 3] = [Zone(0), Zone(1), Zone(2)];

fn verdicts(rows: &[Row], speaking: &[Zone]) -> Vec<Verdict> {
    judge(&map(), &Matrix::of(rows), speaking)
}

#[test]
fn a_lost_zone_is_told_from_a_cut_path_and_from_lost_eyes() {
    let sees = |of2: Option<Seen>| [Some(well()), Some(well()), of2];
    // Its routers are gone with it.
    let lost = verdicts(&[row(0, sees(Some(dead()))), row(1, sees(Some(dead())))], &ALL[..2]);
    assert_eq!(lost, [Verdict::Well, Verdict::Well, Verdict::Lost]);
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
    let rows: Vec<Row> = (0..3).map(|from| row(from, [Some(dead()); 3])).collect();
    assert_eq!(verdicts(&rows, &ALL), vec![Verdict::Unknown; 3]);
    assert_eq!(verdicts(&[], &ALL), vec![Verdict::Unknown; 3]);
    let slow = Seen { in_target: 20.0, late: 30.0, listed: 8, ..Seen::default() };
    let full = Seen { in_target: 30.0, full: 30.0, listed: 8, ..Seen::default() };
    let rows: Vec<Row> = (0..3).map(|from| row(from, [Some(slow), Some(full), Some(well())])).collect();
    let found = verdicts(&rows, &ALL);
    assert!(matches!(found[0], Verdict::Impaired(share) if (share - 0.4).abs() < 0.01), "{found:?}");
    assert_eq!(found[1..], [Verdict::Full, Verdict::Well]);
}

#[test]
fn one_router_that_lies_or_is_late_moves_nothing() {
    let sound = row(0, [Some(well()), Some(well()), Some(well())]);
    let huge = Seen { silent: 900_000.0, listed: 8, ..Seen::default() };
    let liar = row(0, [Some(huge), Some(huge), Some(huge)]);
    let rows: Vec<Row> = std::iter::once(liar).chain((0..4).map(|_| sound.clone())).collect();
    assert!(verdicts(&rows, &ALL).iter().all(|verdict| matches!(verdict, Verdict::Well | Verdict::Unknown)));
    let plan = Plan::default().next(
        &map(),
        &verdicts(&rows, &ALL),
        &bounds(200.0),
        &BTreeMap::new(),
        &mut Hands::default(),
    );
    assert!(ALL.iter().all(|zone| plan.moved(*zone) == 0), "{plan:?}");
    for bad in [f32::NAN, -1.0, f32::INFINITY, 1e9] {
        let bad = Row { homes: vec![(0, bad)], ..Row::default() };
        assert!(Row::read(&bad.bytes()).is_err());
    }
    let wide = Row {
        from: 7,
        times: 1.0,
        seen: (0..30).map(|zone| (zone, well())).collect(),
        homes: (0..30).map(|zone| (zone, 40.0)).collect(),
        words: Vec::new(),
    };
    assert!(wide.bytes().len() < 600, "{} bytes for 30 zones", wide.bytes().len());
    // Counts come back within a step of their logarithm, and the same from then on.
    let once = Row::read(&wide.bytes()).unwrap();
    assert_eq!(Row::read(&once.bytes()), Ok(once.clone()));
    let off = (once.seen[0].1.in_target / well().in_target - 1.0).abs();
    assert!(off < 0.07, "off by {off}");
}

#[test]
fn what_moved_comes_back_to_where_it_was_and_slower_after_each_flap() {
    let (map, bounds, words) = (map(), bounds(220.0), BTreeMap::new());
    let (lost, well) = ([Verdict::Well, Verdict::Well, Verdict::Lost], vec![Verdict::Well; 3]);
    let mut hands = Hands::default();
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
    assert_eq!(plan.moved(Zone(2)), WHOLE, "there is room for all");
    let returns = |plan: &mut Plan, hands: &mut Hands| {
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
    let well = vec![Verdict::Well; 3];
    let plan = Plan::default().next(&map(), &well, &bounds(200.0), &BTreeMap::new(), &mut Hands::default());
    assert_eq!(plan, Plan::default());
    let cut = vec![Verdict::Well, Verdict::Well, Verdict::CutPath(vec![Zone(0)])];
    assert_eq!(plan.next(&map(), &cut, &bounds(200.0), &BTreeMap::new(), &mut Hands::default()), plan);
    let words = BTreeMap::from([(2, Word::Drain)]);
    assert!(plan.next(&map(), &well, &bounds(200.0), &words, &mut Hands::default()).moved(Zone(2)) > 0);
    let held = BTreeMap::from([(2, Word::Hold)]);
    let lost = [Verdict::Well, Verdict::Well, Verdict::Lost];
    assert_eq!(plan.next(&map(), &lost, &bounds(200.0), &held, &mut Hands::default()), plan);
}

/// Every sequence of so many verdicts on three zones: what a zone is given stays within its room, whatever came before.
#[test]
fn no_sequence_of_verdicts_gives_a_zone_more_than_its_room() {
    let kinds = [Verdict::Well, Verdict::Lost, Verdict::Impaired(0.4), Verdict::Full, Verdict::Unknown];
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
    let mut go = vec![(Plan::default(), Hands::default(), 0)];
    while let Some((plan, hands, depth)) = go.pop() {
        played += 1;
        for zone in map.zones() {
            let room = 50.0 * 0.8;
            let given = plan.given(zone, &bounds.demand);
            assert!(given <= room + 0.1, "{given} to {zone:?} by {plan:?}");
            assert!(plan.moved(zone) <= WHOLE);
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
        let mut rows: Vec<Row> = figures
            .iter()
            .map(|(from, of, a, b, c)| {
                let seen = Seen { in_target: *a, silent: *b, full: *c, ..Seen::default() };
                Row { from: *from, seen: vec![(*of, seen)], ..Row::default() }
            })
            .collect();
        let first = Matrix::of(&rows);
        if !rows.is_empty() {
            let by = turn % rows.len();
            rows.rotate_left(by);
            rows.reverse();
        }
        prop_assert_eq!(first, Matrix::of(&rows));
    }

    /// Bytes of any kind are no row, or one whose figures are bounded and come back the same.
    #[test]
    fn random_bytes_are_no_row_or_a_sound_one(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(row) = Row::read(&bytes) {
            prop_assert!(row.seen.iter().all(|(_, seen)| seen.tried().is_finite() && seen.tried() >= 0.0));
            let again = Row::read(&row.bytes()).unwrap();
            prop_assert_eq!(&again.seen, &row.seen);
            let matrix = Matrix::of([&row]);
            prop_assert_eq!(judge(&map(), &matrix, &ALL).len(), 3);
        }
    }
}
