//! The bound on what all routers together send to a worker in slow start, by a seeded simulation of the
//! decisions: with few and many routers, unequal traffic, router restarts, and a new worker that starts
//! under a traffic burst. `docs/design.md` derives the bound.

mod helpers;

use helpers::{arrival, row, settings};
use paddleproxy::interface::*;
use paddleproxy::Control;

/// Number of warm workers beside the new one.
const WARM: usize = 8;
/// Start time of the new worker, and how long the simulation goes on after it.
const STARTED_MS: f64 = 100_000.0;
const DURATION_MS: f64 = 14_000.0;
/// How long an answer takes.
const ANSWER_MS: f64 = 150.0;

#[derive(Clone, Copy, Debug)]
struct Case {
    routers: usize,
    /// Dispatches that a warm worker handles at full capacity within the overload window (`fall_ms`).
    capacity: f64,
    probes: bool,
    /// Share of the routers that restart, and how long after the worker's start.
    restart: Option<(f64, f64)>,
    /// Traffic as a multiple of the capacity while the worker is new.
    burst: f64,
}

/// Dispatches that the settings allow a worker of that age.
fn allowed(settings: &Settings, capacity: f64, age_ms: f64) -> f64 {
    let share =
        settings.cold_share + (1.0 - settings.cold_share) * (age_ms / settings.cold_ms).clamp(0.0, 1.0);
    settings.fall_multiple * share * capacity
}

/// The bound that the operators accept: the allowed number and its random variation.
fn bound(allowed: f64) -> f64 {
    match allowed < 30.0 {
        true => allowed + 3.0 * allowed.sqrt() + 3.0,
        false => allowed + 2.0 * allowed.sqrt() + 2.0,
    }
}

struct Router {
    control: Control,
    settings: Settings,
    seed: u64,
    /// Relative share of the traffic.
    weight: f64,
    next: u32,
}

impl Router {
    fn new(settings: Settings, seed: u64, weight: f64, rows: &[Listing], now_ms: f64) -> Self {
        let mut router =
            Router { control: Control::new(settings.clone(), seed), settings, seed, weight, next: 0 };
        router.list(now_ms, ListKind::Whole, rows);
        router
    }

    fn list(&mut self, now_ms: f64, kind: ListKind, rows: &[Listing]) {
        let listed = Event::Listed { kind, rows: rows.to_vec().into() };
        self.control.handle(now_ms, &listed, &mut Vec::new());
    }

    fn restart(&mut self, rows: &[Listing], now_ms: f64) {
        let (seed, next) = (self.seed + 1, self.next);
        *self = Router::new(self.settings.clone(), seed, self.weight, rows, now_ms);
        self.next = next;
    }

    /// Handles one request and returns its worker. All workers answer probes at once and report idle.
    fn arrive(&mut self, now_ms: f64, session: u64) -> Option<(CompletionId, WorkerId)> {
        self.next += 1;
        let arrival =
            Arrival { client_timeout_ms: now_ms + 4000.0, ..arrival(self.next, session, 300.0, None) };
        let completion = arrival.completion;
        let mut events = vec![Event::Arrived(arrival)];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.control.handle(now_ms, &event, &mut actions);
            for action in actions {
                match action {
                    Action::Dispatch { worker, .. } => return Some((completion, worker)),
                    Action::Probe { worker } => {
                        let load =
                            LoadReport { queue: Some(0.0), slots_share: Some(0.1), ..LoadReport::default() };
                        let reported = Event::Reported { worker: worker.clone(), load };
                        self.control.handle(now_ms, &reported, &mut Vec::new());
                        events.push(Event::Probed { worker, answered: true, took_ms: 0.2 });
                    }
                    _ => {}
                }
            }
        }
        None
    }

    fn finish(&mut self, now_ms: f64, completion: CompletionId) {
        let began = Event::Began { completion, seq: Seq(0), took_ms: ANSWER_MS };
        self.control.handle(now_ms, &began, &mut Vec::new());
        let ended = Event::Ended {
            completion,
            seq: Seq(0),
            took_ms: ANSWER_MS,
            done: true,
            outcome: Outcome::Finished,
            cached_tokens: 0.0,
        };
        self.control.handle(now_ms, &ended, &mut Vec::new());
    }
}

/// The most dispatches to the new worker in any window, as a fraction of the bound, and their total number.
fn simulate(case: Case, seed: u64) -> (f64, usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let settings = |own_number| Settings {
        routers: case.routers,
        own_number,
        probes_allowed: case.probes,
        writers_read: true,
        ..settings()
    };
    let shared = settings(0);
    let warm: Vec<_> = (0..WARM).map(|number| row(&format!("m{}{number}", number % 3))).collect();
    let new_worker = Listing { started_ms: Some(STARTED_MS), ..row("m0cold") };
    let all = [warm.clone(), vec![new_worker.clone()]].concat();
    // Some routers get several times the mean traffic.
    let mut routers: Vec<_> = (0..case.routers)
        .map(|own| {
            let weight = (-rng.f64().max(1e-9).ln()).max(0.05);
            Router::new(settings(own), seed * 1000 + own as u64, weight, &warm, STARTED_MS - 6000.0)
        })
        .collect();
    let total: f64 = routers.iter().map(|router| router.weight).sum();
    let per_ms = case.capacity * WARM as f64 / shared.fall_ms;
    let (mut now_ms, mut listed, mut restarted) = (STARTED_MS - 6000.0, false, false);
    let mut answers = std::collections::VecDeque::new();
    let mut sent = Vec::new();
    let mut worst: f64 = 0.0;
    while now_ms < STARTED_MS + DURATION_MS {
        let burst = if now_ms > STARTED_MS { case.burst } else { 1.0 };
        now_ms += -rng.f64().max(1e-9).ln() / (per_ms * burst);
        if !listed && now_ms >= STARTED_MS {
            listed = true;
            routers
                .iter_mut()
                .for_each(|r| r.list(now_ms, ListKind::Changes, std::slice::from_ref(&new_worker)));
        }
        if let Some((part, after_ms)) = case.restart.filter(|(_, after)| now_ms >= STARTED_MS + after) {
            if !std::mem::replace(&mut restarted, true) {
                assert!(after_ms >= 0.0);
                let count = (part * case.routers as f64).ceil() as usize;
                routers[..count].iter_mut().for_each(|router| router.restart(&all, now_ms));
                answers.retain(|(_, own, _): &(f64, usize, CompletionId)| *own >= count);
            }
        }
        while answers.front().is_some_and(|(at_ms, ..)| *at_ms <= now_ms) {
            let (at_ms, own, completion) = answers.pop_front().unwrap();
            routers[own].finish(at_ms, completion);
        }
        let mut draw = rng.f64() * total;
        let own = routers.iter().position(|router| {
            draw -= router.weight;
            draw <= 0.0
        });
        let own = own.unwrap_or(case.routers - 1);
        let Some((completion, worker)) = routers[own].arrive(now_ms, rng.u64(..)) else { continue };
        answers.push_back((now_ms + ANSWER_MS, own, completion));
        if worker == new_worker.worker {
            sent.push(now_ms);
            let from_ms = now_ms - shared.fall_ms;
            let count = sent.iter().rev().take_while(|at_ms| **at_ms > from_ms).count();
            // The bound for the worker's age at the start of the window: the younger, the lower.
            let age_ms = (from_ms - STARTED_MS).max(0.0);
            let bound = bound(allowed(&shared, case.capacity, age_ms));
            worst = worst.max(count as f64 / bound);
        }
    }
    (worst, sent.len())
}

fn cases(routers: usize) -> Vec<Case> {
    let mut cases = Vec::new();
    for capacity in [4.0, 12.0, 60.0] {
        for probes in [true, false] {
            for restart in [None, Some((0.7, 700.0)), Some((1.0, 1500.0))] {
                for burst in [1.0, 1.5] {
                    cases.push(Case { routers, capacity, probes, restart, burst });
                }
            }
        }
    }
    cases
}

/// Checks the bound in all cases and seeds for a number of routers, and that the new worker is used at all.
fn check_bound(routers: usize, seeds: std::ops::Range<u64>) {
    let (mut breaches, mut dispatched, mut nearest) = (Vec::new(), 0, 0.0_f64);
    for case in cases(routers) {
        for seed in seeds.clone() {
            let (worst, sent) = simulate(case, seed);
            dispatched += sent;
            nearest = nearest.max(worst);
            if worst > 1.0 {
                breaches.push((worst, seed, case));
            }
        }
    }
    assert!(breaches.is_empty(), "{} breaches, {breaches:#?}", breaches.len());
    assert!(dispatched > 0, "the new worker was never used");
    println!("{routers} routers: nearest {nearest:.2} of the bound, {dispatched} dispatches");
}

#[test]
fn the_bound_holds_with_three_routers() {
    check_bound(3, 0..6);
}

#[test]
fn the_bound_holds_with_thirty_routers() {
    check_bound(30, 0..4);
}

#[test]
fn the_bound_holds_with_three_hundred_routers() {
    check_bound(300, 0..2);
}
