//! Properties of the delivery of releases over random layouts: a reachable worker is called within the limit,
//! whichever others are unreachable, and no worker is called more often than necessary.

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
    /// The reachable workers, and after how long each answers, in ms.
    reachable: BTreeMap<WorkerId, f64>,
    refusing: BTreeSet<WorkerId>,
    holder: WorkerId,
    reachability: Reachability,
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

/// Random zones and workers, with at least one reachable worker: only that one, some zones, or a random
/// share.
fn layout(rng: &mut fastrand::Rng) -> Layout {
    let zones = rng.usize(1..=30);
    let workers = 1 << rng.usize(0..=10);
    let rows = rows(rng, zones, workers);
    let mut reachable = BTreeMap::new();
    let (pattern, share, last_unreachable_zone) = (rng.u8(0..3), rng.f64(), rng.usize(0..zones));
    for row in &rows {
        let reachable_here = match pattern {
            0 => false,
            1 => row.zone.0 > last_unreachable_zone,
            _ => rng.f64() < share,
        };
        if reachable_here {
            reachable.insert(row.worker.clone(), rng.f64() * LIMIT_MS / 4.0);
        }
    }
    reachable.entry(rows[rng.usize(0..rows.len())].worker.clone()).or_insert_with(|| 1.0);
    let refusing = rows.iter().map(|row| row.worker.clone()).filter(|_| rng.f64() < 0.2).collect();
    let mut reachability = Reachability::new(Some(ZoneId(rng.usize(0..zones))));
    reachability.update_list(ListKind::Whole, &rows);
    // What is known from before may be out of date: any worker may have answered or been silent.
    for row in &rows {
        let at_ms = -rng.f64() * 9000.0;
        match rng.u8(0..4) {
            0 => reachability.record_answer(&row.worker, at_ms),
            1 => reachability.record_silence(&row.worker, at_ms),
            _ => {}
        }
    }
    // The holder may be off the list.
    let holder = worker(rng.usize(0..rows.len() + 2));
    Layout { rows, reachable, refusing, holder, reachability }
}

/// Simulates one release: when a reachable worker was first called, when a call was answered, and all calls.
fn deliver(layout: &mut Layout, seed: u64) -> (Option<f64>, Option<f64>, Vec<(f64, WorkerId)>) {
    let mut delivery = ReleaseDelivery::new(
        layout.holder.clone(),
        ReleaseRoute::AnyWorker,
        seed,
        LIMIT_MS,
        RETRIES_PER_LIMIT,
        0.0,
    );
    let (mut now_ms, mut called_ms, mut calls) = (0.0, None, Vec::new());
    let listed: BTreeSet<_> = layout.rows.iter().map(|row| row.worker.clone()).collect();
    let mut ends: Vec<(f64, WorkerId, bool)> = Vec::new();
    for _ in 0..100_000 {
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, worker, acknowledged)) = ends.first().filter(|(at_ms, ..)| *at_ms <= now_ms).cloned()
        {
            ends.remove(0);
            if acknowledged {
                return (called_ms, Some(now_ms), calls);
            }
            layout.reachability.record_silence(&worker, now_ms);
            delivery.failed(
                &worker,
                if layout.refusing.contains(&worker) {
                    DeliveryFailure::Refused
                } else {
                    DeliveryFailure::Silent
                },
            );
            continue;
        }
        match delivery.next_step(now_ms, &layout.reachability) {
            DeliveryStep::Call(workers) => {
                assert!(!workers.is_empty());
                for worker in workers {
                    assert!(listed.contains(&worker), "only listed workers are called");
                    match layout.reachable.get(&worker) {
                        Some(after_ms) => {
                            called_ms = called_ms.or(Some(now_ms));
                            ends.push((now_ms + after_ms, worker.clone(), true));
                        }
                        None if layout.refusing.contains(&worker) => {
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
            DeliveryStep::Undelivered => return (called_ms, None, calls),
        }
    }
    panic!("the delivery does not end");
}

#[test]
fn a_reachable_worker_is_called_within_the_limit() {
    let mut rng = fastrand::Rng::with_seed(33);
    let mut needed = BTreeMap::<u32, usize>::new();
    for case in 0..CASES {
        let mut layout = layout(&mut rng);
        let listed = layout.rows.len();
        let (called_ms, acknowledged_ms, calls) = deliver(&mut layout, case);
        let called_ms = called_ms.expect("a reachable worker is called");
        assert!(called_ms <= LIMIT_MS, "case {case}: {called_ms} ms, {} calls of {listed}", calls.len());
        assert!(acknowledged_ms.is_some() && calls.len() <= listed, "case {case}");
        let distinct: BTreeSet<_> = calls.iter().map(|(_, worker)| worker).collect();
        assert_eq!(
            distinct.len(),
            calls.len(),
            "case {case}: no worker is called twice before all were called"
        );
        *needed.entry((calls.len() as u32).next_power_of_two()).or_default() += 1;
    }
    // Layouts by their number of calls, rounded up to a power of two. The layouts are far worse than the
    // conditions of a normal day, so few calls are not expected in all of them.
    let share =
        |most: u32| needed.range(..=most).map(|(_, count)| count).sum::<usize>() as f64 / CASES as f64;
    assert!(share(2) > 0.4 && share(16) > 0.75, "{needed:?}");
    println!("calls needed, by layouts: {needed:?}");
}

#[test]
fn without_a_reachable_worker_it_is_retried_and_ends() {
    let mut rng = fastrand::Rng::with_seed(34);
    for case in 0..50u64 {
        let mut layout = layout(&mut rng);
        layout.reachable.clear();
        let (called_ms, acknowledged_ms, calls) = deliver(&mut layout, case);
        assert_eq!((called_ms, acknowledged_ms), (None, None));
        let listed = layout.rows.len();
        assert!(calls.len() >= listed && calls.len() <= listed + 64, "{} calls of {listed}", calls.len());
        // Never all at once: at most half of many workers are called at one time.
        let mut at_once = BTreeMap::<u64, usize>::new();
        calls.iter().for_each(|(at_ms, _)| *at_once.entry(at_ms.to_bits()).or_default() += 1);
        assert!(at_once.values().all(|most| *most <= (listed / 2).max(2)), "case {case}: {at_once:?}");
    }
}

#[test]
fn a_router_partitioned_with_its_zone_needs_few_calls() {
    let mut rng = fastrand::Rng::with_seed(35);
    let rows = rows(&mut rng, 10, 300);
    let mut first = BTreeMap::<WorkerId, usize>::new();
    for router in 0..300u64 {
        let own = ZoneId(rng.usize(0..10));
        let mut reachability = Reachability::new(Some(own));
        reachability.update_list(ListKind::Whole, &rows);
        // All answered just before the partition.
        rows.iter().for_each(|row| reachability.record_answer(&row.worker, -rng.f64() * 100.0));
        let near = rows.iter().filter(|row| row.zone == own).map(|row| (row.worker.clone(), 1.0));
        let far = rows.iter().find(|row| row.zone != own).unwrap().worker.clone();
        let reachable = near.collect();
        let mut layout =
            Layout { rows: rows.clone(), reachable, refusing: BTreeSet::new(), holder: far, reachability };
        let (called_ms, _, calls) = deliver(&mut layout, router * 7919);
        assert!(
            called_ms.is_some_and(|called_ms| called_ms <= LIMIT_MS / 4.0) && calls.len() <= 2,
            "{calls:?}"
        );
        *first.entry(calls[1].1.clone()).or_default() += 1;
    }
    let most = first.values().max().unwrap();
    assert!(*most <= 8, "the same worker is called by {most} of 300 routers");
}

#[test]
fn only_the_holder_is_called_where_no_other_accepts_releases() {
    let reachability = Reachability::new(None);
    let mut delivery =
        ReleaseDelivery::new(worker(1), ReleaseRoute::HolderOnly, 0, LIMIT_MS, RETRIES_PER_LIMIT, 0.0);
    let (mut now_ms, mut call_times_ms) = (0.0, Vec::new());
    loop {
        match delivery.next_step(now_ms, &reachability) {
            DeliveryStep::Call(workers) => {
                assert_eq!(workers, [worker(1)]);
                call_times_ms.push(now_ms);
            }
            DeliveryStep::Wait { until_ms } => now_ms = until_ms,
            DeliveryStep::Undelivered => break,
        }
    }
    assert_eq!((call_times_ms[0], call_times_ms[1]), (0.0, LIMIT_MS / 4.0));
    assert!(call_times_ms.len() > 16 && call_times_ms.len() <= 65, "{}", call_times_ms.len());
}
