//! Properties of letting go over random layouts: a worker that can be reached is told within the limit, whoever else is
//! out of reach, and nobody is told more often than it takes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use paddleproxy::interface::*;
use paddleproxy_routing::{
    DeliveryFailure, DeliveryStep, Reachability, ReleaseDelivery, ReleaseRoute, RETRIES_PER_LIMIT,
};

const LIMIT_MS: f64 = 500.0;
const CASES: u64 = 500;

struct Layout {
    rows: Vec<Listing>,
    /// Who can be reached, and after how long each answers, in ms.
    reached: BTreeMap<WorkerId, f64>,
    refuses: BTreeSet<WorkerId>,
    holder: WorkerId,
    hearing: Reachability,
}

fn worker(number: usize) -> WorkerId {
    WorkerId(Arc::from(format!("s-{:08x}", number.wrapping_mul(0x9e37_79b9) as u32)))
}

fn rows(rng: &mut fastrand::Rng, zones: usize, workers: usize) -> Vec<Listing> {
    let row = |number| {
        let zone = rng.usize(0..zones);
        Listing {
            worker: worker(number),
            zone: ZoneId(zone),
            kind: KindId(0),
            cell: CellId((zone * 4 + rng.usize(0..4)) as u32),
            readiness: Readiness::Ready,
            weight: 1.0,
            started_ms: None,
        }
    };
    (0..workers).map(row).collect()
}

/// Any zones and workers, and any that can be reached but nobody: one alone, some zones, or by chance.
fn layout(rng: &mut fastrand::Rng) -> Layout {
    let zones = rng.usize(1..=30);
    let workers = 1 << rng.usize(0..=10);
    let rows = rows(rng, zones, workers);
    let mut reached = BTreeMap::new();
    let (way, share, dark) = (rng.u8(0..3), rng.f64(), rng.usize(0..zones));
    for row in &rows {
        let there = match way {
            0 => false,
            1 => row.zone.0 > dark,
            _ => rng.f64() < share,
        };
        if there {
            reached.insert(row.worker.clone(), rng.f64() * LIMIT_MS / 4.0);
        }
    }
    reached.entry(rows[rng.usize(0..rows.len())].worker.clone()).or_insert_with(|| 1.0);
    let refuses = rows.iter().map(|row| row.worker.clone()).filter(|_| rng.f64() < 0.2).collect();
    let mut hearing = Reachability::new(Some(ZoneId(rng.usize(0..zones))));
    hearing.update_list(ListKind::Whole, &rows);
    // What was heard before may be out of date: anybody may have answered or not.
    for row in &rows {
        let at_ms = -rng.f64() * 9000.0;
        match rng.u8(0..4) {
            0 => hearing.record_answer(&row.worker, at_ms),
            1 => hearing.record_silence(&row.worker, at_ms),
            _ => {}
        }
    }
    // The holder may be off the list.
    let holder = worker(rng.usize(0..rows.len() + 2));
    Layout { rows, reached, refuses, holder, hearing }
}

/// Plays one release: when the word first reached a running worker, when it was answered, and the calls that were made.
fn play(layout: &mut Layout, seed: u64) -> (Option<f64>, Option<f64>, Vec<(f64, WorkerId)>) {
    let mut telling = ReleaseDelivery::new(
        layout.holder.clone(),
        ReleaseRoute::AnyWorker,
        seed,
        LIMIT_MS,
        RETRIES_PER_LIMIT,
        0.0,
    );
    let (mut now_ms, mut told_ms, mut calls) = (0.0, None, Vec::new());
    let listed: BTreeSet<_> = layout.rows.iter().map(|row| row.worker.clone()).collect();
    let mut ends: Vec<(f64, WorkerId, bool)> = Vec::new();
    for _ in 0..100_000 {
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, worker, heard)) = ends.first().filter(|(at_ms, ..)| *at_ms <= now_ms).cloned() {
            ends.remove(0);
            if heard {
                return (told_ms, Some(now_ms), calls);
            }
            layout.hearing.record_silence(&worker, now_ms);
            telling.failed(
                &worker,
                if layout.refuses.contains(&worker) {
                    DeliveryFailure::Refused
                } else {
                    DeliveryFailure::Silent
                },
            );
            continue;
        }
        match telling.next_step(now_ms, &layout.hearing) {
            DeliveryStep::Call(workers) => {
                assert!(!workers.is_empty());
                for worker in workers {
                    assert!(listed.contains(&worker), "nobody tells who is not listed");
                    match layout.reached.get(&worker) {
                        Some(after_ms) => {
                            told_ms = told_ms.or(Some(now_ms));
                            ends.push((now_ms + after_ms, worker.clone(), true));
                        }
                        None if layout.refuses.contains(&worker) => {
                            ends.push((now_ms + 0.1, worker.clone(), false));
                        }
                        None => ends.push((now_ms + LIMIT_MS, worker.clone(), false)),
                    }
                    calls.push((now_ms, worker));
                }
            }
            DeliveryStep::Wait { until_ms } => {
                assert!(until_ms > now_ms, "no busy waiting: {until_ms} at {now_ms}");
                now_ms = ends.first().map_or(until_ms, |end| end.0.min(until_ms));
            }
            DeliveryStep::Undelivered => return (told_ms, None, calls),
        }
    }
    panic!("it does not end");
}

#[test]
fn whoever_can_be_reached_is_told_within_the_limit() {
    let mut rng = fastrand::Rng::with_seed(33);
    let mut needed = BTreeMap::<u32, usize>::new();
    for case in 0..CASES {
        let mut layout = layout(&mut rng);
        let listed = layout.rows.len();
        let (told_ms, heard_ms, calls) = play(&mut layout, case);
        let told_ms = told_ms.expect("somebody could be reached");
        assert!(told_ms <= LIMIT_MS, "case {case}: {told_ms} ms, {} calls of {listed}", calls.len());
        assert!(heard_ms.is_some() && calls.len() <= listed, "case {case}");
        let twice: BTreeSet<_> = calls.iter().map(|(_, worker)| worker).collect();
        assert_eq!(twice.len(), calls.len(), "case {case}: nobody is told twice before all were told");
        *needed.entry((calls.len() as u32).next_power_of_two()).or_default() += 1;
    }
    // The share of layouts by calls, rounded up to a power of two; the layouts are far worse than a day.
    let share =
        |most: u32| needed.range(..=most).map(|(_, count)| count).sum::<usize>() as f64 / CASES as f64;
    assert!(share(2) > 0.4 && share(16) > 0.75, "{needed:?}");
    println!("calls needed, by layouts: {needed:?}");
}

#[test]
fn where_nobody_can_be_reached_it_is_tried_on_and_ends() {
    let mut rng = fastrand::Rng::with_seed(34);
    for case in 0..50u64 {
        let mut layout = layout(&mut rng);
        layout.reached.clear();
        let (told_ms, heard_ms, calls) = play(&mut layout, case);
        assert_eq!((told_ms, heard_ms), (None, None));
        let listed = layout.rows.len();
        assert!(calls.len() >= listed && calls.len() <= listed + 64, "{} calls of {listed}", calls.len());
        // Never all at once: of many, no more than half in one moment.
        let mut at_once = BTreeMap::<u64, usize>::new();
        calls.iter().for_each(|(at_ms, _)| *at_once.entry(at_ms.to_bits()).or_default() += 1);
        assert!(at_once.values().all(|most| *most <= (listed / 2).max(2)), "case {case}: {at_once:?}");
    }
}

#[test]
fn a_router_that_is_cut_off_with_its_zone_needs_few_calls() {
    let mut rng = fastrand::Rng::with_seed(35);
    let rows = rows(&mut rng, 10, 300);
    let mut first = BTreeMap::<WorkerId, usize>::new();
    for router in 0..300u64 {
        let own = ZoneId(rng.usize(0..10));
        let mut hearing = Reachability::new(Some(own));
        hearing.update_list(ListKind::Whole, &rows);
        // All answered just before the cut.
        rows.iter().for_each(|row| hearing.record_answer(&row.worker, -rng.f64() * 100.0));
        let near = rows.iter().filter(|row| row.zone == own).map(|row| (row.worker.clone(), 1.0));
        let far = rows.iter().find(|row| row.zone != own).unwrap().worker.clone();
        let reached = near.collect();
        let mut layout =
            Layout { rows: rows.clone(), reached, refuses: BTreeSet::new(), holder: far, hearing };
        let (told_ms, _, calls) = play(&mut layout, router * 7919);
        assert!(told_ms.is_some_and(|told_ms| told_ms <= LIMIT_MS / 4.0) && calls.len() <= 2, "{calls:?}");
        *first.entry(calls[1].1.clone()).or_default() += 1;
    }
    let most = first.values().max().unwrap();
    assert!(*most <= 8, "the same worker is told by {most} of 300 routers");
}

#[test]
fn only_the_holder_is_told_where_no_other_takes_the_word() {
    let hearing = Reachability::new(None);
    let mut telling =
        ReleaseDelivery::new(worker(1), ReleaseRoute::HolderOnly, 0, LIMIT_MS, RETRIES_PER_LIMIT, 0.0);
    let (mut now_ms, mut told) = (0.0, Vec::new());
    loop {
        match telling.next_step(now_ms, &hearing) {
            DeliveryStep::Call(workers) => {
                assert_eq!(workers, [worker(1)]);
                told.push(now_ms);
            }
            DeliveryStep::Wait { until_ms } => now_ms = until_ms,
            DeliveryStep::Undelivered => break,
        }
    }
    assert_eq!((told[0], told[1]), (0.0, LIMIT_MS / 4.0));
    assert!(told.len() > 16 && told.len() <= 65, "{}", told.len());
}
