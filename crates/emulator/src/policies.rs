//! Who decides in the emulated routers: the module itself, or a baseline to measure it against. The baselines know how to
//! try again and to give up, and nothing of homes, kept texts, turns or distrust.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use paddleproxy::interface::*;
use paddleproxy::Control;
use paddleproxy_routing::Decisions;

/// What a baseline goes by when it chooses among the servers that can do a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The decisions of `src/control.rs`.
    Design,
    Random,
    RoundRobin,
    /// Fewest of this router's own dispatches.
    LeastOwn,
    /// Shortest queue as reported, then fewest own.
    ShortestReported,
    /// The true load of all servers at this moment, which no router can see: a bound.
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
                next: seed as usize,
                workers: BTreeMap::new(),
                open: BTreeMap::new(),
                true_loads: true_loads.clone(),
            }),
        }
    }
}

/// The true load of each server, as a share of what it can do.
pub type TrueLoads = Rc<RefCell<BTreeMap<WorkerId, f64>>>;

struct Worker {
    listing: Listing,
    role: Role,
    own: f64,
    queue: f64,
}

struct Open {
    facts: Arrival,
    state_at: Option<WorkerId>,
    out: Vec<Option<WorkerId>>,
    avoid: Vec<WorkerId>,
    may_have_run: bool,
}

struct Baseline {
    policy: Policy,
    settings: Settings,
    rng: fastrand::Rng,
    next: usize,
    workers: BTreeMap<WorkerId, Worker>,
    open: BTreeMap<CompletionId, Open>,
    true_loads: TrueLoads,
}

impl Baseline {
    fn choose(&mut self, id: CompletionId, roles: &[Role], cell: Option<CellId>) -> Option<WorkerId> {
        let open = self.open.get(&id)?;
        let fits = |(name, worker): &(&WorkerId, &Worker)| {
            worker.listing.readiness == Readiness::Ready
                && roles.contains(&worker.role)
                && !open.avoid.contains(name)
                && cell.is_none_or(|cell| worker.listing.cell == cell)
        };
        let found: Vec<_> = self.workers.iter().filter(fits).map(|(name, _)| name.clone()).collect();
        if found.is_empty() {
            return None;
        }
        let least = |figure: &dyn Fn(&WorkerId) -> f64| {
            found.iter().min_by(|a, b| figure(a).total_cmp(&figure(b))).cloned()
        };
        let own = |name: &WorkerId| self.workers.get(name).map_or(0.0, |worker| worker.own);
        match self.policy {
            Policy::Random | Policy::Design => Some(found[self.rng.usize(..found.len())].clone()),
            Policy::RoundRobin => {
                self.next = self.next.wrapping_add(1);
                Some(found[self.next % found.len()].clone())
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
                let seen = |name: &WorkerId| true_loads.get(name).copied().unwrap_or(0.0) + own(name) / 1e6;
                least(&seen)
            }
        }
    }

    fn plan(&mut self, id: CompletionId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let tries_left = open.out.len() < self.settings.max_dispatches;
        let chosen = match open.state_at.clone() {
            Some(at) => {
                let cell = self.workers.get(&at).map(|worker| worker.listing.cell);
                let writes = [Role::Writer, Role::Mixed];
                self.choose(id, &writes, cell).or_else(|| self.choose(id, &writes, None))
            }
            None => self.choose(id, &[Role::Reader, Role::Mixed], None),
        };
        let Some(open) = self.open.get_mut(&id) else { return };
        match chosen.filter(|_| tries_left) {
            Some(worker) => {
                let reader = self.workers.get(&worker).is_some_and(|worker| worker.role == Role::Reader);
                open.may_have_run |= !reader;
                open.out.push(Some(worker.clone()));
                self.workers.get_mut(&worker).into_iter().for_each(|worker| worker.own += 1.0);
                actions.push(Action::Dispatch { completion: id, worker, timeout_ms: 0.0 });
            }
            None => {
                let idempotent = self.settings.workloads[open.facts.workload.0].effect == Effect::Idempotent
                    || !open.may_have_run;
                let retry_after_ms = self.settings.max_retry_after_ms;
                actions.push(if idempotent {
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
                    let worker =
                        worker.or_insert_with(|| Worker { listing: row.clone(), role, own: 0.0, queue: 0.0 });
                    worker.listing = row.clone();
                }
            }
            Event::Arrived(facts) => {
                let id = facts.completion;
                let wake_ms = self.settings.resolution_ms * 2.0;
                let in_ms = (facts.client_timeout_ms - now_ms - wake_ms).max(0.0);
                let (facts, out, avoid) = (facts.clone(), Vec::new(), Vec::new());
                self.open.insert(id, Open { facts, state_at: None, out, avoid, may_have_run: false });
                actions.push(Action::Arm { in_ms, timer: Timer::Completion(id) });
                self.plan(id, actions);
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
            Event::Ended { completion, seq, done: over, outcome, .. } => {
                let Some(open) = self.open.get_mut(completion) else { return };
                let worker = open.out.get_mut(seq.0 as usize).and_then(Option::take);
                if let Some(worker) = &worker {
                    self.workers.get_mut(worker).into_iter().for_each(|worker| worker.own -= 1.0);
                }
                let failed = !matches!(outcome, Outcome::Read | Outcome::Finished | Outcome::NoState);
                open.avoid.extend(worker.clone().filter(|_| failed));
                open.state_at = match outcome {
                    Outcome::Read => worker,
                    Outcome::NoState => None,
                    _ => open.state_at.take(),
                };
                let workload = self.settings.workloads[open.facts.workload.0].effect;
                let sure = matches!(
                    outcome,
                    Outcome::Read
                        | Outcome::Full
                        | Outcome::NoState
                        | Outcome::ConnectFailed
                        | Outcome::Unsent
                        | Outcome::Moot
                );
                if *over || *outcome == Outcome::Finished {
                    self.open.remove(completion);
                } else if sure || workload == Effect::Idempotent {
                    self.plan(*completion, actions);
                } else {
                    open.out.resize(self.settings.max_dispatches, None);
                    self.plan(*completion, actions);
                }
            }
            Event::Expired { completion } => {
                if let Some(open) = self.open.remove(completion) {
                    for (seq, _) in open.out.iter().enumerate().filter(|(_, out)| out.is_some()) {
                        actions.push(Action::Cancel { completion: *completion, seq: Seq(seq as u32) });
                    }
                    actions.push(Action::Release { completion: *completion });
                }
            }
            Event::TimerFired(Timer::Completion(completion)) => {
                let Some(open) = self.open.remove(completion) else { return };
                let id = *completion;
                let harmless = self.settings.workloads[open.facts.workload.0].effect == Effect::Idempotent;
                actions.push(if harmless || !open.may_have_run {
                    Action::RateLimit { completion: id, retry_after_ms: self.settings.max_retry_after_ms }
                } else {
                    Action::Abort { completion: id }
                });
                for (seq, _) in open.out.iter().enumerate().filter(|(_, out)| out.is_some()) {
                    actions.push(Action::Cancel { completion: id, seq: Seq(seq as u32) });
                }
                actions.push(Action::Release { completion: id });
            }
            _ => {}
        }
    }
}
