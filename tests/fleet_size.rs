//! The cost of a decision as the worker list grows: a router's own traffic does not depend on the fleet's
//! size.

use std::time::{Duration, Instant};

use paddleproxy::interface::*;
use paddleproxy::Control;

const REQUESTS: u32 = 400;
const CELL_WORKERS: usize = 20;

fn settings(routers: usize) -> Settings {
    let workload = WorkloadSettings {
        effect: Effect::Idempotent,
        group: Group::All,
        window_ms: 2000.0,
        value: 1.0,
        latency_target_ms: 800.0,
        target_per_token_ms: 0.1,
    };
    let kind = |role| KindSettings { role, memory_tokens: 400_000.0 };
    Settings {
        routers,
        own_number: 3,
        zone: Some(ZoneId(0)),
        workloads: vec![workload],
        kinds: vec![kind(Role::Reader), kind(Role::Writer), kind(Role::Mixed)],
        customers: Vec::new(),
        over_share_value: 1.0,
        must_subscribe: true,
        must_ask_in_ms: 10_000.0,
        holds_allowed: false,
        writers_read: false,
        probes_allowed: false,
        cancel_allowed: true,
        second_copies: false,
        retry_after: true,
        max_retry_after_ms: 500.0,
        max_dispatches: 4,
        resolution_ms: 2.0,
        pin_limit_ms: 500.0,
        fall_multiple: 2.5,
        fall_ms: 2000.0,
        cold_share: 0.3,
        cold_ms: 12_000.0,
        weights_act: false,
        slow_start_share: None,
        zone_distances: Vec::new(),
    }
}

fn list(workers: usize) -> Vec<Listing> {
    let row = |row: usize| Listing {
        worker: WorkerId(format!("server-{row:05}").into()),
        zone: ZoneId(row / CELL_WORKERS % 3),
        kind: KindId([0, 1, 2, 2, 2][row % 5]),
        cell: CellId((row / CELL_WORKERS) as u32),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_ms: None,
    };
    (0..workers).map(row).collect()
}

/// A router's scheduler over a list of workers, and the outcomes of its attempts.
struct Router {
    control: Control,
    rows: Vec<Listing>,
    now_ms: f64,
    actions: Vec<Action>,
}

impl Router {
    fn new(workers: usize) -> Router {
        let (control, rows) = (Control::new(settings(workers), 7), list(workers));
        let mut router = Router { control, rows, now_ms: 0.0, actions: Vec::new() };
        let rows = router.rows.clone().into();
        router.handle(Event::Listed { kind: ListKind::Whole, rows });
        router
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.now_ms += 1.0;
        self.control.handle(self.now_ms, &event, &mut self.actions);
        std::mem::take(&mut self.actions)
    }

    fn role(&self, worker: &WorkerId) -> usize {
        self.rows.iter().find(|row| row.worker == *worker).map_or(2, |row| row.kind.0)
    }

    /// Runs one request to its end; returns the workers of its attempts.
    fn serve(&mut self, number: u32) -> Vec<WorkerId> {
        let completion = CompletionId(number);
        let arrival = Arrival {
            completion,
            workload: WorkloadId(0),
            session: SessionId(u64::from(number % 97).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            prefix: Some(PrefixId(u64::from(number % 7) + 1)),
            customer: None,
            client_timeout_ms: self.now_ms + 8000.0,
            prompt_tokens: if number.is_multiple_of(3) { 200.0 } else { 30_000.0 },
            prefix_tokens: 100.0,
            max_tokens: 100.0,
            answer_hint_ms: None,
            home_zone: None,
            client_retry: false,
            resumed: false,
        };
        let mut actions = self.handle(Event::Arrived(arrival));
        let mut dispatched_to = Vec::new();
        while let Some(worker) = actions.iter().find_map(|action| match action {
            Action::Dispatch { worker, .. } => Some(worker.clone()),
            _ => None,
        }) {
            let seq = Seq(dispatched_to.len() as u32);
            let reads = self.role(&worker) == 0;
            dispatched_to.push(worker);
            if !reads {
                self.handle(Event::Began { completion, seq, took_ms: 1.0 });
            }
            let outcome = if reads { Outcome::Read } else { Outcome::Finished };
            actions = self.handle(Event::Ended {
                completion,
                seq,
                took_ms: 2.0,
                done: !reads,
                outcome,
                cached_tokens: 0.0,
            });
        }
        dispatched_to
    }

    fn serve_all(&mut self) -> Duration {
        let began = Instant::now();
        for number in 0..REQUESTS {
            assert!(!self.serve(number).is_empty());
        }
        began.elapsed()
    }
}

/// The fastest of several runs, to exclude short periods of other load on the machine.
fn fastest(run: impl Fn() -> Duration) -> Duration {
    (0..5).map(|_| run()).min().unwrap()
}

/// The cost of a plain rendezvous hash: one pass over all workers per request.
fn hash_time(workers: usize) -> Duration {
    let rows = list(workers);
    let began = Instant::now();
    for number in 0..REQUESTS {
        let key = u64::from(number);
        let home = rows.iter().max_by_key(|row| paddleproxy::hash::rank(&row.worker, key));
        assert!(std::hint::black_box(home).is_some());
    }
    began.elapsed()
}

/// A request takes two decisions here, and each scans the list a few times. An algorithm that grows faster
/// than the list, or scans it to compare two workers, takes hundreds of times as long.
#[test]
fn the_cost_of_a_decision_grows_no_faster_than_the_list() {
    for workers in [200, 3200] {
        let (served, hashed) = (fastest(|| Router::new(workers).serve_all()), fastest(|| hash_time(workers)));
        let each_us = |took: Duration| took.as_secs_f64() * 1e6 / f64::from(REQUESTS);
        let figures = format!(
            "{workers} workers: {:.1} us per request, {:.1} us for one pass of hashes",
            each_us(served),
            each_us(hashed)
        );
        println!("{figures}");
        assert!(served < hashed * 20, "{figures}");
    }
}
