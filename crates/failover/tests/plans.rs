//! Properties of verdicts and plans, for chosen and for random evidence.

use std::collections::BTreeMap;

use paddleproxy_failover::{
    judge, plan::WHOLE_SHARE, EvidenceRow, FlapHistory, Matrix, OperatorCommand, Plan, PlanLimits, Topology,
    Verdict, Zone, ZoneCounts,
};
use proptest::prelude::*;

/// Three zones in two regions.
fn topology() -> Topology {
    let costs = vec![vec![0.0, 1.0, 5.0], vec![1.0, 0.0, 5.0], vec![5.0, 5.0, 0.0]];
    Topology { regions: vec![0, 0, 1], costs }
}

fn limits(capacity: f64) -> PlanLimits {
    PlanLimits {
        demand: vec![100.0; 3],
        capacity: vec![capacity; 3],
        reserve: 0.2,
        max_step_out: 0.5,
        max_step_back: 0.1,
    }
}

fn healthy() -> ZoneCounts {
    ZoneCounts { in_target: 50.0, late: 1.0, listed: 8, usable: 8, ..ZoneCounts::default() }
}

fn unreachable() -> ZoneCounts {
    ZoneCounts { timed_out: 20.0, refused: 5.0, listed: 8, usable: 8, ..ZoneCounts::default() }
}

fn row(from: u8, counts: [Option<ZoneCounts>; 3]) -> EvidenceRow {
    let rows = counts.into_iter().enumerate().filter_map(|(of, counts)| Some((of as u8, counts?)));
    EvidenceRow { from, counts: rows.collect(), ..EvidenceRow::default() }
}

const ALL: [Zone; 3] = [Zone(0), Zone(1), Zone(2)];

fn verdicts(rows: &[EvidenceRow], reporting_zones: &[Zone]) -> Vec<Verdict> {
    judge(&topology(), &Matrix::from_rows(rows), reporting_zones)
}

#[test]
fn lost_zone_is_distinguished_from_cut_path_and_faulty_observers() {
    let sees = |of2: Option<ZoneCounts>| [Some(healthy()), Some(healthy()), of2];
    // The zone's own routers are lost with it.
    let lost = verdicts(&[row(0, sees(Some(unreachable()))), row(1, sees(Some(unreachable())))], &ALL[..2]);
    assert_eq!(lost, [Verdict::Healthy, Verdict::Healthy, Verdict::Lost]);
    // One observing zone is not enough while another reports without having observed the zone.
    let one = verdicts(&[row(0, sees(Some(unreachable()))), row(1, sees(None))], &ALL[..2]);
    assert_eq!(one[2], Verdict::Unknown);
    // Its own routers find it healthy.
    let rows = [
        row(0, sees(Some(unreachable()))),
        row(1, sees(Some(unreachable()))),
        row(2, [Some(unreachable()), Some(unreachable()), Some(healthy())]),
    ];
    let cut = verdicts(&rows, &ALL);
    assert_eq!(cut[2], Verdict::CutPath(vec![Zone(0), Zone(1)]));
    assert_eq!(cut[0], Verdict::CutPath(vec![Zone(2)]));
    // Every zone finds every zone unreachable.
    let rows: Vec<EvidenceRow> = (0..3).map(|from| row(from, [Some(unreachable()); 3])).collect();
    assert_eq!(verdicts(&rows, &ALL), vec![Verdict::Unknown; 3]);
    assert_eq!(verdicts(&[], &ALL), vec![Verdict::Unknown; 3]);
    let slow = ZoneCounts { in_target: 20.0, late: 30.0, listed: 8, ..ZoneCounts::default() };
    let full = ZoneCounts { in_target: 30.0, full: 30.0, listed: 8, ..ZoneCounts::default() };
    let rows: Vec<EvidenceRow> =
        (0..3).map(|from| row(from, [Some(slow), Some(full), Some(healthy())])).collect();
    let found_verdicts = verdicts(&rows, &ALL);
    assert!(
        matches!(found_verdicts[0], Verdict::Impaired(share) if (share - 0.4).abs() < 0.01),
        "{found_verdicts:?}"
    );
    assert_eq!(found_verdicts[1..], [Verdict::Full, Verdict::Healthy]);
}

#[test]
fn one_router_with_wrong_figures_moves_nothing_and_invalid_rows_are_rejected() {
    let correct = row(0, [Some(healthy()), Some(healthy()), Some(healthy())]);
    let huge = ZoneCounts { timed_out: 900_000.0, listed: 8, ..ZoneCounts::default() };
    let faulty = row(0, [Some(huge), Some(huge), Some(huge)]);
    let rows: Vec<EvidenceRow> = std::iter::once(faulty).chain((0..4).map(|_| correct.clone())).collect();
    assert!(verdicts(&rows, &ALL)
        .iter()
        .all(|verdict| matches!(verdict, Verdict::Healthy | Verdict::Unknown)));
    let plan = Plan::default().next(
        &topology(),
        &verdicts(&rows, &ALL),
        &limits(200.0),
        &BTreeMap::new(),
        &mut FlapHistory::default(),
    );
    assert!(ALL.iter().all(|zone| plan.moved(*zone) == 0), "{plan:?}");
    for count in [f32::NAN, -1.0, f32::INFINITY, 1e9] {
        let invalid = EvidenceRow { completions_by_home: vec![(0, count)], ..EvidenceRow::default() };
        assert!(EvidenceRow::read(&invalid.bytes()).is_err());
    }
    let wide = EvidenceRow {
        from: 7,
        represented_routers: 1.0,
        counts: (0..30).map(|zone| (zone, healthy())).collect(),
        completions_by_home: (0..30).map(|zone| (zone, 40.0)).collect(),
        commands: Vec::new(),
    };
    assert!(wide.bytes().len() < 600, "{} bytes for 30 zones", wide.bytes().len());
    // Decoding is exact to one step of the logarithmic encoding; encoding the result again loses nothing
    // more.
    let once = EvidenceRow::read(&wide.bytes()).unwrap();
    assert_eq!(EvidenceRow::read(&once.bytes()), Ok(once.clone()));
    let off = (once.counts[0].1.in_target / healthy().in_target - 1.0).abs();
    assert!(off < 0.07, "off by {off}");
}

#[test]
fn moved_sessions_return_home_and_more_slowly_after_each_flap() {
    let (topology, limits, commands) = (topology(), limits(220.0), BTreeMap::new());
    let (lost, all_healthy) =
        ([Verdict::Healthy, Verdict::Healthy, Verdict::Lost], vec![Verdict::Healthy; 3]);
    let mut history = FlapHistory::default();
    let sessions: Vec<u64> = (0..2000u64).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect();
    let mut plan = Plan::default();
    let mut before: Vec<Zone> = sessions.iter().map(|hash| plan.home(Zone(2), *hash)).collect();
    for _ in 0..4 {
        plan = plan.next(&topology, &lost, &limits, &commands, &mut history);
        let now: Vec<Zone> = sessions.iter().map(|hash| plan.home(Zone(2), *hash)).collect();
        for (was, is) in before.iter().zip(&now) {
            assert!(*was == Zone(2) || was == is, "a session that had moved was moved again");
        }
        before = now;
    }
    assert_eq!(plan.moved(Zone(2)), WHOLE_SHARE, "there is capacity for all");
    let returns = |plan: &mut Plan, history: &mut FlapHistory| {
        let mut steps = 0;
        while plan.moved(Zone(2)) > 0 {
            *plan = plan.next(&topology, &all_healthy, &limits, &commands, history);
            steps += 1;
            assert!(steps < 1000);
        }
        steps
    };
    let first = returns(&mut plan, &mut history);
    assert_eq!(plan.moves, Plan::default().moves, "all sessions are back home");
    assert_eq!(first, 10);
    // The zone flaps: out, one step back, out again.
    for _ in 0..3 {
        (0..4).for_each(|_| plan = plan.next(&topology, &lost, &limits, &commands, &mut history));
        plan = plan.next(&topology, &all_healthy, &limits, &commands, &mut history);
    }
    (0..4).for_each(|_| plan = plan.next(&topology, &lost, &limits, &commands, &mut history));
    assert!(returns(&mut plan, &mut history) >= 4 * first, "each flap slows down the next return");
}

#[test]
fn unchanged_plan_keeps_its_number() {
    let all_healthy = vec![Verdict::Healthy; 3];
    let plan = Plan::default().next(
        &topology(),
        &all_healthy,
        &limits(200.0),
        &BTreeMap::new(),
        &mut FlapHistory::default(),
    );
    assert_eq!(plan, Plan::default());
    let cut = vec![Verdict::Healthy, Verdict::Healthy, Verdict::CutPath(vec![Zone(0)])];
    assert_eq!(
        plan.next(&topology(), &cut, &limits(200.0), &BTreeMap::new(), &mut FlapHistory::default()),
        plan
    );
    let commands = BTreeMap::from([(2, OperatorCommand::Drain)]);
    assert!(
        plan.next(&topology(), &all_healthy, &limits(200.0), &commands, &mut FlapHistory::default())
            .moved(Zone(2))
            > 0
    );
    let hold = BTreeMap::from([(2, OperatorCommand::Hold)]);
    let lost = [Verdict::Healthy, Verdict::Healthy, Verdict::Lost];
    assert_eq!(plan.next(&topology(), &lost, &limits(200.0), &hold, &mut FlapHistory::default()), plan);
}

/// All sequences of up to three sets of verdicts on three zones, from the empty plan: what a zone receives
/// stays within its spare capacity.
#[test]
fn no_sequence_of_verdicts_exceeds_the_spare_capacity_of_a_zone() {
    let kinds = [Verdict::Healthy, Verdict::Lost, Verdict::Impaired(0.4), Verdict::Full, Verdict::Unknown];
    let all: Vec<Vec<Verdict>> = (0..kinds.len().pow(3))
        .map(|n| (0..3).map(|zone| kinds[n / kinds.len().pow(zone) % kinds.len()].clone()).collect())
        .collect();
    let (topology, limits) = (topology(), limits(150.0));
    // Two successive allocations are in force side by side: each router may follow either.
    let received_at_most = |a: &Plan, b: &Plan, to: Zone| -> f64 {
        topology
            .zones()
            .map(|from| a.share(from, to).max(b.share(from, to)) * limits.demand[usize::from(from.0)])
            .sum()
    };
    let mut explored = 0;
    let mut pending = vec![(Plan::default(), FlapHistory::default(), 0)];
    while let Some((plan, history, depth)) = pending.pop() {
        explored += 1;
        for zone in topology.zones() {
            let spare = 50.0 * 0.8;
            let received = plan.received_per_s(zone, &limits.demand);
            assert!(received <= spare + 0.1, "{received} to {zone:?} by {plan:?}");
            assert!(plan.moved(zone) <= WHOLE_SHARE);
        }
        if depth < 3 {
            for verdicts in &all {
                let mut history = history.clone();
                let next = plan.next(&topology, verdicts, &limits, &BTreeMap::new(), &mut history);
                for zone in topology.zones() {
                    let received = received_at_most(&plan, &next, zone);
                    assert!(received <= 40.0 + 0.1, "{received} to {zone:?} by {plan:?} beside {next:?}");
                }
                if next.moves != plan.moves || depth == 0 {
                    pending.push((next, history, depth + 1));
                }
            }
        }
    }
    println!("{explored} plans");
    assert!(explored > 1000);
}

proptest! {
    /// The same rows in another order give the same evidence, bit for bit.
    #[test]
    fn matrix_does_not_depend_on_the_order_of_rows(
        figures in proptest::collection::vec(
            (0..3u8, 0..3u8, 0.0f32..100.0, 0.0f32..100.0, 0.0f32..100.0),
            0..20,
        ),
        rotation in 0..20usize,
    ) {
        let mut rows: Vec<EvidenceRow> = figures
            .iter()
            .map(|(from, of, a, b, c)| {
                let counts = ZoneCounts { in_target: *a, timed_out: *b, full: *c, ..ZoneCounts::default() };
                EvidenceRow { from: *from, counts: vec![(*of, counts)], ..EvidenceRow::default() }
            })
            .collect();
        let first = Matrix::from_rows(&rows);
        if !rows.is_empty() {
            let by = rotation % rows.len();
            rows.rotate_left(by);
            rows.reverse();
        }
        prop_assert_eq!(first, Matrix::from_rows(&rows));
    }

    /// Arbitrary bytes are rejected, or decode to a row with bounded counts that is the same after another
    /// encoding.
    #[test]
    fn random_bytes_never_decode_to_an_invalid_row(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(row) = EvidenceRow::read(&bytes) {
            prop_assert!(row
                .counts
                .iter()
                .all(|(_, counts)| counts.attempts().is_finite() && counts.attempts() >= 0.0));
            let again = EvidenceRow::read(&row.bytes()).unwrap();
            prop_assert_eq!(&again.counts, &row.counts);
            let matrix = Matrix::from_rows([&row]);
            prop_assert_eq!(judge(&topology(), &matrix, &ALL).len(), 3);
        }
    }
}
