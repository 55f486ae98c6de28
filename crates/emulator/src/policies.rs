//! Decision policies of the simulated routers: the production decision module, or a baseline for comparison.
//! The baselines retry and abort, and have no session homes, expected cache contents, slow-start rotation or
//! failure scores.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use paddleproxy::interface::*;
use paddleproxy::Control;
use paddleproxy_routing::Decisions;

/// How a router chooses among the servers that can do a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The production decision module, `src/control.rs`.
    Design,
    Random,
    RoundRobin,
    /// Fewest of this router's own dispatches.
    LeastOwn,
    /// Shortest queue as reported, then fewest own.
    ShortestReported,
    /// Lowest true load at this moment, which no real router can know; serves as an upper bound.
    LeastTrueLoad,
}

impl Policy {
    pub const ALL: [(&'static str, Policy); 6] = [
        ("design", Policy::Design),
        ("random", Policy::Random),
        ("round-robin", Policy::RoundRobin),
        ("least-own", Policy::LeastOwn),
        ("shortest-reported", Policy::ShortestReported),
        ("sees-all", Policy::LeastTrueLoad),
    ];

    pub fn name(self) -> &'static str {
        Policy::ALL.iter().find(|(_, policy)| *policy == self).map_or("", |(name, _)| name)
    }

    pub fn decisions(self, settings: &Settings, seed: u64, true_loads: &TrueLoads) -> Box<dyn Decisions> {
        match self {
            Policy::Design => Box::new(Control::new(settings.clone(), seed)),
            policy => Box::new(Baseline {
                policy,
                settings: settings.clone(),
                rng: fastrand::Rng::with_seed(seed),
                next_index: seed as usize,
                workers: BTreeMap::new(),
                open: BTreeMap::new(),
                true_loads: true_loads.clone(),
            }),
        }
    }
}

/// The true load of each server: active requests per slot plus seconds of queued prompt reading.
pub type TrueLoads = Rc<RefCell<BTreeMap<WorkerId, f64>>>;

struct Worker {
    listing: Listing,
    role: Role,
    /// This router's dispatches in flight to it.
    own_dispatches: f64,
    /// Queue length as last reported.
    queue: f64,
}

struct OpenCompletion {
    arrival: Arrival,
    /// The reader that holds the state.
    state_at: Option<WorkerId>,
    /// Worker of each dispatch by sequence number; `None` once it has ended.
    dispatched: Vec<Option<WorkerId>>,
    /// Workers on which a dispatch has failed.
    failed_workers: Vec<WorkerId>,
    /// A dispatch may have had an effect.
    may_have_run: bool,
}

struct Baseline {
    policy: Policy,
    settings: Settings,
    rng: fastrand::Rng,
    /// Counter of the round-robin policy.
    next_index: usize,
    workers: BTreeMap<WorkerId, Worker>,
    open: BTreeMap<CompletionId, OpenCompletion>,
    true_loads: TrueLoads,
}

impl Baseline {
    fn choose(&mut self, id: CompletionId, roles: &[Role], cell: Option<CellId>) -> Option<WorkerId> {
        let open = self.open.get(&id)?;
        let eligible = |(name, worker): &(&WorkerId, &Worker)| {
            worker.listing.readiness == Readiness::Ready
                && roles.contains(&worker.role)
                && !open.failed_workers.contains(name)
                && cell.is_none_or(|cell| worker.listing.cell == cell)
        };
        let candidates: Vec<_> = self.workers.iter().filter(eligible).map(|(name, _)| name.clone()).collect();
        if candidates.is_empty() {
            return None;
        }
        let least = |measure: &dyn Fn(&WorkerId) -> f64| {
            candidates.iter().min_by(|a, b| measure(a).total_cmp(&measure(b))).cloned()
        };
        let own = |name: &WorkerId| self.workers.get(name).map_or(0.0, |worker| worker.own_dispatches);
        match self.policy {
            Policy::Random | Policy::Design => Some(candidates[self.rng.usize(..candidates.len())].clone()),
            Policy::RoundRobin => {
                self.next_index = self.next_index.wrapping_add(1);
                Some(candidates[self.next_index % candidates.len()].clone())
            }
            Policy::LeastOwn => least(&own),
            Policy::ShortestReported => {
                let reported = |name: &WorkerId| {
                    self.workers.get(name).map_or(0.0, |worker| worker.queue) + own(name) / 1e3
                };
                least(&reported)
            }
            Policy::LeastTrueLoad => {
                let true_loads = self.true_loads.borrow();
                let true_load =
                    |name: &WorkerId| true_loads.get(name).copied().unwrap_or(0.0) + own(name) / 1e6;
                least(&true_load)
            }
        }
    }

    /// Sends the next dispatch of a completion; without a worker or an attempt left, ends the completion.
    fn dispatch_or_end(&mut self, id: CompletionId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let attempts_left = open.dispatched.len() < self.settings.max_dispatches;
        let chosen = match open.state_at.clone() {
            Some(at) => {
                let cell = self.workers.get(&at).map(|worker| worker.listing.cell);
                let writer_roles = [Role::Writer, Role::Mixed];
                self.choose(id, &writer_roles, cell).or_else(|| self.choose(id, &writer_roles, None))
            }
            None => self.choose(id, &[Role::Reader, Role::Mixed], None),
        };
        let Some(open) = self.open.get_mut(&id) else { return };
        match chosen.filter(|_| attempts_left) {
            Some(worker) => {
                let reader = self.workers.get(&worker).is_some_and(|worker| worker.role == Role::Reader);
                open.may_have_run |= !reader;
                open.dispatched.push(Some(worker.clone()));
                self.workers.get_mut(&worker).into_iter().for_each(|worker| worker.own_dispatches += 1.0);
                actions.push(Action::Dispatch { completion: id, worker, timeout_ms: 0.0 });
            }
            None => {
                let retry_is_safe = self.settings.workloads[open.arrival.workload.0].effect
                    == Effect::Idempotent
                    || !open.may_have_run;
                let retry_after_ms = self.settings.max_retry_after_ms;
                actions.push(if retry_is_safe {
                    Action::RateLimit { completion: id, retry_after_ms }
                } else {
                    Action::Abort { completion: id }
                });
                actions.push(Action::Release { completion: id });
                self.open.remove(&id);
            }
        }
    }
}

impl Decisions for Baseline {
    fn handle(&mut self, now_ms: f64, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Listed { kind, rows } if *kind != ListKind::Failed => {
                if *kind != ListKind::Changes {
                    self.workers.values_mut().for_each(|worker| worker.listing.readiness = Readiness::Gone);
                }
                for row in rows.iter() {
                    let Some(role) = self.settings.kinds.get(row.kind.0).map(|kind| kind.role) else {
                        continue;
                    };
                    let worker = self.workers.entry(row.worker.clone());
                    let worker = worker.or_insert_with(|| Worker {
                        listing: row.clone(),
                        role,
                        own_dispatches: 0.0,
                        queue: 0.0,
                    });
                    worker.listing = row.clone();
                }
            }
            Event::Arrived(arrival) => {
                let id = arrival.completion;
                let wake_ms = self.settings.resolution_ms * 2.0;
                let in_ms = (arrival.client_timeout_ms - now_ms - wake_ms).max(0.0);
                let (arrival, dispatched, failed_workers) = (arrival.clone(), Vec::new(), Vec::new());
                self.open.insert(
                    id,
                    OpenCompletion {
                        arrival,
                        state_at: None,
                        dispatched,
                        failed_workers,
                        may_have_run: false,
                    },
                );
                actions.push(Action::Arm { in_ms, timer: Timer::Completion(id) });
                self.dispatch_or_end(id, actions);
            }
            Event::Reported { worker, load } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.queue = load.queue.unwrap_or(0.0);
                }
            }
            Event::Began { completion, .. } => {
                if let Some(open) = self.open.get_mut(completion) {
                    open.state_at = None;
                }
            }
            Event::Ended { completion, seq, done, outcome, .. } => {
                let Some(open) = self.open.get_mut(completion) else { return };
                let worker = open.dispatched.get_mut(seq.0 as usize).and_then(Option::take);
                if let Some(worker) = &worker {
                    self.workers.get_mut(worker).into_iter().for_each(|worker| worker.own_dispatches -= 1.0);
                }
                let failed = !matches!(outcome, Outcome::Read | Outcome::Finished | Outcome::NoState);
                open.failed_workers.extend(worker.clone().filter(|_| failed));
                open.state_at = match outcome {
                    Outcome::Read => worker,
                    Outcome::NoState => None,
                    _ => open.state_at.take(),
                };
                let effect = self.settings.workloads[open.arrival.workload.0].effect;
                let not_run = matches!(
                    outcome,
                    Outcome::Read
                        | Outcome::Full
                        | Outcome::NoState
                        | Outcome::ConnectFailed
                        | Outcome::Unsent
                        | Outcome::Moot
                );
                if *done || *outcome == Outcome::Finished {
                    self.open.remove(completion);
                } else if not_run || effect == Effect::Idempotent {
                    self.dispatch_or_end(*completion, actions);
                } else {
                    // Another attempt could have a second effect: without attempts left, the completion ends.
                    open.dispatched.resize(self.settings.max_dispatches, None);
                    self.dispatch_or_end(*completion, actions);
                }
            }
            Event::Expired { completion } => {
                if let Some(open) = self.open.remove(completion) {
                    for (seq, _) in open.dispatched.iter().enumerate().filter(|(_, worker)| worker.is_some())
                    {
                        actions.push(Action::Cancel { completion: *completion, seq: Seq(seq as u32) });
                    }
                    actions.push(Action::Release { completion: *completion });
                }
            }
            Event::TimerFired(Timer::Completion(completion)) => {
                let Some(open) = self.open.remove(completion) else { return };
                let id = *completion;
                let idempotent =
                    self.settings.workloads[open.arrival.workload.0].effect == Effect::Idempotent;
                actions.push(if idempotent || !open.may_have_run {
                    Action::RateLimit { completion: id, retry_after_ms: self.settings.max_retry_after_ms }
                } else {
                    Action::Abort { completion: id }
                });
                for (seq, _) in open.dispatched.iter().enumerate().filter(|(_, worker)| worker.is_some()) {
                    actions.push(Action::Cancel { completion: id, seq: Seq(seq as u32) });
                }
                actions.push(Action::Release { completion: id });
            }
            _ => {}
        }
    }
}
