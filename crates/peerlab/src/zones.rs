//! Simulates failover between zones in virtual time. Every router runs the unmodified controller of
//! `paddleproxy-failover`; evidence rows and allocations arrive with a delay. A zone is modelled as a flow
//! with a limited capacity. The router's own reaction to each completion is modelled too: failed dispatches
//! raise its failure score of a zone, and with that probability it sends a completion to another zone.

use std::collections::VecDeque;
use std::sync::Arc;

use paddleproxy::interface::{
    CellId, KindId, ListKind, Listing, Readiness, Role, SessionId, WorkerId, ZoneId,
};
use paddleproxy_failover::evidence::represented_routers;
use paddleproxy_failover::{DispatchOutcome, EvidenceRow, FailoverController, Rules, Topology, Zone};

const TICK_MS: f64 = 100.0;
const LEASE_MS: f64 = 1500.0;
/// Interval at which rows are exchanged and allocations proposed, and the minimum time between two
/// allocations, in ms.
const EXCHANGE_MS: f64 = 500.0;
const ALLOCATION_INTERVAL_MS: f64 = 2250.0;
/// Time in which a restored zone regains its full capacity, in ms.
const WARM_UP_MS: f64 = 12_000.0;
/// Share of its capacity that a restored zone has at first.
const WARM_UP_START_SHARE: f64 = 0.3;
/// Half-life of a router's failure score of a zone, and the increase per failed dispatch.
const FAILURE_SCORE_HALF_LIFE_MS: f64 = 4000.0;
const FAILURE_SCORE_STEP: f64 = 0.2;

/// A fault of a zone, of its demand or of some routers.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneFault {
    /// All workers of the zone are down; with `routers`, its routers too.
    Lost { zone: usize, routers: bool },
    /// The workers of the zone can't be reached from other zones.
    CutPath { zone: usize },
    /// This share of first tokens misses the latency target.
    Slow { zone: usize, late_share: f64 },
    /// The zone has this share of its normal capacity.
    ReducedCapacity { zone: usize, capacity_share: f64 },
    /// The workers of the zone are down and up in turn, each for `every_ms`.
    Flap { zone: usize, every_ms: f64 },
    /// The demand of the zone's sessions grows by a factor.
    Burst { zone: usize, factor: f64 },
    /// The first `routers` routers record the outcome of every dispatch as timed out.
    FalseReporters { routers: usize },
}

/// A fault and its start and end, in ms.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledZoneFault {
    pub fault: ZoneFault,
    pub from_ms: f64,
    pub to_ms: f64,
}

/// Who decides on failover. The names are printed in the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionMode {
    /// The routers agree on one plan.
    Common,
    /// No failover.
    Off,
    /// Each router plans by its own evidence.
    Alone,
    /// Only operator commands move sessions.
    Told,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub routers: usize,
    pub workers: usize,
    pub zones: usize,
    /// Completions per second in all zones.
    pub completions_per_s: f64,
    /// Capacity of all zones as a multiple of `completions_per_s`.
    pub capacity_factor: f64,
    /// Delay with which rows and allocations arrive, in ms.
    pub delay_ms: f64,
    /// Largest change of the moved share in one plan, back to the home zone and away from it.
    pub max_step_back: f64,
    pub max_step_out: f64,
    pub duration_ms: f64,
    pub mode: DecisionMode,
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            routers: 300,
            workers: 100,
            zones: 6,
            completions_per_s: 1200.0,
            capacity_factor: 1.6,
            delay_ms: 200.0,
            max_step_back: 0.1,
            max_step_out: 0.5,
            duration_ms: 120_000.0,
            mode: DecisionMode::Common,
            seed: 1,
        }
    }
}

/// Results of one simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Share of completions in target before the first fault, in its first 3 s, until the last fault ends,
    /// and after.
    pub in_target_by_phase: [f64; 4],
    /// Share of completions whose session was not moved from its home zone, in all and before the first
    /// fault.
    pub near_share: f64,
    pub near_share_before: f64,
    /// Number of plan changes, in all and at most in one minute.
    pub plan_changes: usize,
    pub max_plan_changes_per_minute: usize,
    /// How often a zone's moved share begins to grow, at most in one minute.
    pub max_departures_per_minute: usize,
    /// Largest planned overflow into a zone, as a share of the zone's free capacity at that time.
    pub max_overflow_share: f64,
    /// Lowest throughput, smoothed over about 2 s, of a zone without a fault of its own, from 3 s after the
    /// first fault until the last ends, relative to its throughput before.
    pub min_unaffected_throughput: f64,
    /// For each second: the time in s, the share in target, and the share that stayed in the home zone.
    pub over_time: Vec<(f64, f64, f64)>,
}

struct FailoverSimulation {
    scenario: Scenario,
    controllers: Vec<FailoverController>,
    /// Failure score by router and zone.
    failure_scores: Vec<Vec<f64>>,
    workers: Vec<WorkerId>,
    /// Rows and allocations on their way, with the time at which they arrive.
    rows: VecDeque<(f64, Vec<EvidenceRow>)>,
    allocations: VecDeque<(f64, u64, Vec<u8>)>,
    allocation: (u64, Vec<u8>),
    last_allocation_ms: f64,
    /// For each zone: since when it is down, and when it last came back.
    lost_ms: Vec<Option<f64>>,
    restored_ms: Vec<f64>,
    rng: fastrand::Rng,
}

/// Simulates one scenario. The result is the same for the same seed.
pub fn simulate(scenario: &Scenario, faults: &[ScheduledZoneFault]) -> Outcome {
    let mut simulation = FailoverSimulation::new(scenario.clone());
    simulation.run(faults)
}

impl FailoverSimulation {
    fn new(scenario: Scenario) -> FailoverSimulation {
        let zones = scenario.zones;
        let workers: Vec<WorkerId> =
            (0..scenario.workers).map(|n| WorkerId(Arc::from(format!("w{n}")))).collect();
        let rows: Vec<Listing> = workers
            .iter()
            .enumerate()
            .map(|(n, worker)| Listing {
                worker: worker.clone(),
                zone: ZoneId(n % zones),
                kind: KindId(0),
                cell: CellId((n % zones) as u32),
                readiness: Readiness::Ready,
                weight: 1.0,
                started_ms: None,
            })
            .collect();
        let regions: Vec<u8> = (0..zones).map(|zone| u8::from(2 * zone >= zones)).collect();
        let cost = |a: usize, b: usize| {
            let near = regions[a] == regions[b];
            f64::from(u8::from(a != b)) * (if near { 1.0 } else { 10.0 } + a.abs_diff(b) as f64 / 10.0)
        };
        let costs = (0..zones).map(|a| (0..zones).map(|b| cost(a, b)).collect()).collect();
        let topology = Topology { regions: regions.clone(), costs };
        let controller = |router: usize| {
            let rules = Rules {
                topology: topology.clone(),
                own_zone: Zone((router % zones) as u8),
                router_index: router as u16,
                lease_ms: LEASE_MS,
                reserve: 0.25,
                max_step_out: if scenario.mode == DecisionMode::Told { 1.0 } else { scenario.max_step_out },
                max_step_back: scenario.max_step_back,
                weights_act: false,
                own_evidence_only: scenario.mode == DecisionMode::Alone,
                commands_only: scenario.mode == DecisionMode::Told,
                roles: vec![Role::Mixed],
            };
            let mut controller = FailoverController::new(0.0, rules);
            controller.apply_list(ListKind::Whole, &rows);
            controller
        };
        FailoverSimulation {
            controllers: (0..scenario.routers).map(controller).collect(),
            failure_scores: vec![vec![0.0; zones]; scenario.routers],
            workers,
            rows: VecDeque::new(),
            allocations: VecDeque::new(),
            allocation: (1, Vec::new()),
            last_allocation_ms: 0.0,
            lost_ms: vec![None; zones],
            restored_ms: vec![f64::NEG_INFINITY; zones],
            rng: fastrand::Rng::with_seed(scenario.seed),
            scenario,
        }
    }

    fn zone_of(&self, router: usize) -> usize {
        router % self.scenario.zones
    }

    /// Whether a zone is down at this time because of the active faults.
    fn zone_is_down(active: &[&ScheduledZoneFault], now_ms: f64, zone: usize) -> bool {
        active.iter().any(|active| match &active.fault {
            ZoneFault::Lost { zone: affected, .. } => *affected == zone,
            ZoneFault::Flap { zone: affected, every_ms } => {
                *affected == zone && (((now_ms - active.from_ms) / every_ms) as u64).is_multiple_of(2)
            }
            _ => false,
        })
    }

    /// Whether no active fault is one of the zone itself.
    fn unaffected(&self, active: &[&ScheduledZoneFault], zone: usize) -> bool {
        !active.iter().any(|active| match &active.fault {
            ZoneFault::Lost { zone: affected, .. }
            | ZoneFault::CutPath { zone: affected }
            | ZoneFault::Slow { zone: affected, .. }
            | ZoneFault::ReducedCapacity { zone: affected, .. }
            | ZoneFault::Flap { zone: affected, .. } => *affected == zone,
            ZoneFault::Burst { .. } | ZoneFault::FalseReporters { .. } => false,
        })
    }

    fn capacity_per_s(&self, active: &[&ScheduledZoneFault], now_ms: f64, zone: usize) -> f64 {
        let whole =
            self.scenario.completions_per_s * self.scenario.capacity_factor / self.scenario.zones as f64;
        let reduction: f64 = active
            .iter()
            .map(|active| match &active.fault {
                ZoneFault::ReducedCapacity { zone: affected, capacity_share } if *affected == zone => {
                    *capacity_share
                }
                _ => 1.0,
            })
            .product();
        let warm = ((now_ms - self.restored_ms[zone]) / WARM_UP_MS).clamp(0.0, 1.0);
        whole * reduction * (WARM_UP_START_SHARE + (1.0 - WARM_UP_START_SHARE) * warm)
    }

    fn run(&mut self, faults: &[ScheduledZoneFault]) -> Outcome {
        let Scenario { zones, routers, completions_per_s, duration_ms, delay_ms, mode, .. } = self.scenario;
        let first_ms = faults.iter().map(|fault| fault.from_ms).fold(f64::INFINITY, f64::min);
        let last_ms = faults.iter().map(|fault| fault.to_ms).fold(f64::NEG_INFINITY, f64::max);
        let mut outcome = Outcome { min_unaffected_throughput: f64::INFINITY, ..Outcome::default() };
        // For each phase: completions in target, and all completions.
        let mut sums = [(0.0f64, 0.0f64); 4];
        // `second`: completions in target, all completions, and again all and those whose session was not
        // moved.
        let (mut second, mut served_before) = ((0.0, 0.0, 0.0, 0.0), vec![0.0; zones]);
        let (mut served, mut served_mean) = (vec![0.0f64; zones], vec![0.0f64; zones]);
        let (mut change_times, mut departure_times): (Vec<f64>, Vec<Vec<f64>>) =
            (Vec::new(), vec![Vec::new(); zones]);
        let mut moved_before = vec![0u16; zones];
        let mut growing = vec![false; zones];
        // Each pair: the number of completions, and of those whose session was not moved.
        let (mut all_completions, mut before_faults) = ((0.0, 0.0), (0.0, 0.0));
        let mut next_exchange_ms = 0.0;
        let mut now_ms = 0.0;
        let mut seconds = 0usize;
        while now_ms < duration_ms {
            let active: Vec<&ScheduledZoneFault> =
                faults.iter().filter(|fault| (fault.from_ms..fault.to_ms).contains(&now_ms)).collect();
            for zone in 0..zones {
                let zone_down = FailoverSimulation::zone_is_down(&active, now_ms, zone);
                match (zone_down, self.lost_ms[zone]) {
                    (true, None) => self.lost_ms[zone] = Some(now_ms),
                    (false, Some(_)) => (self.lost_ms[zone], self.restored_ms[zone]) = (None, now_ms),
                    _ => {}
                }
            }
            let down = |router: usize| {
                active.iter().any(|active| {
                    matches!(
                        active.fault,
                        ZoneFault::Lost { zone, routers: true } if zone == router % zones
                    )
                })
            };
            if mode == DecisionMode::Told
                && faults.iter().any(|fault| fault.from_ms == now_ms || fault.to_ms == now_ms)
            {
                for scheduled in
                    faults.iter().filter(|fault| fault.from_ms == now_ms || fault.to_ms == now_ms)
                {
                    if let ZoneFault::Lost { zone, .. } | ZoneFault::Flap { zone, .. } = scheduled.fault {
                        use paddleproxy_failover::OperatorCommand::{Drain, Return};
                        let command = if scheduled.from_ms == now_ms { Drain } else { Return };
                        let router = (0..routers).find(|router| !down(*router)).unwrap_or(0);
                        let router_index = router as u16;
                        self.controllers[router].commands.issue(
                            now_ms,
                            router_index,
                            zone as u8,
                            command,
                            600_000.0,
                        );
                    }
                }
            }
            // Arrivals: each completion goes to its home zone, or to another one by the failure score; after
            // a failure or a rejection it is retried elsewhere.
            let mut offered: Vec<Vec<(usize, usize)>> = vec![Vec::new(); zones];
            let decay = 0.5f64.powf(TICK_MS / FAILURE_SCORE_HALF_LIFE_MS);
            self.failure_scores.iter_mut().flatten().for_each(|row| *row *= decay);
            let mean = completions_per_s * TICK_MS / 1e3;
            let mut arrived = 0.0;
            for _ in 0..mean as usize + usize::from(self.rng.f64() < mean.fract()) {
                let router = self.rng.usize(..routers);
                if down(router) {
                    continue;
                }
                let session = SessionId(self.rng.u64(..));
                let origin = self.controllers[router].origin(session).map_or(0, |zone| usize::from(zone.0));
                let factor = active.iter().find_map(|active| match active.fault {
                    ZoneFault::Burst { zone, factor } if zone == origin => Some(factor),
                    _ => None,
                });
                for _ in 0..factor.unwrap_or(1.0) as usize {
                    arrived += 1.0;
                    let moved_to = if mode == DecisionMode::Off {
                        None
                    } else {
                        self.controllers[router].moved_home(now_ms, session)
                    };
                    all_completions.0 += 1.0;
                    all_completions.1 += f64::from(u8::from(moved_to.is_none()));
                    if now_ms < first_ms {
                        before_faults.0 += 1.0;
                        before_faults.1 += f64::from(u8::from(moved_to.is_none()));
                    }
                    second.2 += 1.0;
                    second.3 += f64::from(u8::from(moved_to.is_none()));
                    let home = moved_to.map_or(origin, |zone| zone.0);
                    // Avoids the zone with the probability of the failure score.
                    let to = if self.rng.f64() < self.failure_scores[router][home] {
                        (home + 1 + self.rng.usize(..zones - 1)) % zones
                    } else {
                        home
                    };
                    offered[to].push((router, 0));
                }
            }
            let mut in_target = 0.0;
            for round in 0..3 {
                let mut retries: Vec<Vec<(usize, usize)>> = vec![Vec::new(); zones];
                for zone in 0..zones {
                    let capacity = self.capacity_per_s(&active, now_ms, zone) * TICK_MS / 1e3;
                    let zone_down = self.lost_ms[zone].is_some();
                    let late_share = active.iter().find_map(|active| match active.fault {
                        ZoneFault::Slow { zone: affected, late_share } if affected == zone => {
                            Some(late_share)
                        }
                        _ => None,
                    });
                    let mut accepted = 0.0;
                    let mut attempts = std::mem::take(&mut offered[zone]);
                    self.rng.shuffle(&mut attempts);
                    for (router, retry_count) in attempts {
                        let from = self.zone_of(router);
                        let cut = from != zone
                            && active.iter().any(|active| {
                                matches!(
                                    active.fault,
                                    ZoneFault::CutPath { zone: affected } if affected == zone
                                )
                            });
                        let reports_falsely = active.iter().any(|active| {
                            matches!(
                                active.fault,
                                ZoneFault::FalseReporters { routers } if router < routers
                            )
                        });
                        let worker = self.random_worker_in(zone);
                        let dispatch_outcome = if zone_down || cut {
                            DispatchOutcome::TimedOut
                        } else if accepted + served[zone] >= capacity {
                            DispatchOutcome::Full
                        } else if late_share.is_some_and(|share| self.rng.f64() < share) {
                            DispatchOutcome::Late
                        } else {
                            DispatchOutcome::InTarget
                        };
                        let load = served_mean[zone] * TICK_MS / 1e3 / capacity.max(1e-9);
                        self.controllers[router].record_outcome(
                            now_ms,
                            &worker,
                            if reports_falsely { DispatchOutcome::TimedOut } else { dispatch_outcome },
                        );
                        if !zone_down && !cut {
                            self.controllers[router].record_load(now_ms, &worker, load.clamp(0.05, 1.5));
                        }
                        match dispatch_outcome {
                            DispatchOutcome::InTarget => {
                                accepted += 1.0;
                                in_target += 1.0;
                            }
                            DispatchOutcome::Late => accepted += 1.0,
                            _ => {
                                if dispatch_outcome == DispatchOutcome::TimedOut {
                                    self.failure_scores[router][zone] =
                                        (self.failure_scores[router][zone] + FAILURE_SCORE_STEP).min(1.0);
                                }
                                if retry_count < 2 && round < 2 {
                                    let next = (zone + 1 + self.rng.usize(..zones - 1)) % zones;
                                    retries[next].push((router, retry_count + 1));
                                }
                            }
                        }
                    }
                    served[zone] += accepted;
                }
                offered = retries;
            }
            let phase = match now_ms {
                at if at < first_ms => 0,
                at if at < first_ms + 3000.0 => 1,
                at if at < last_ms => 2,
                _ => 3,
            };
            sums[phase].0 += in_target;
            sums[phase].1 += arrived;
            (second.0, second.1) = (second.0 + in_target, second.1 + arrived);
            if (now_ms / 1e3) as usize > seconds {
                seconds = (now_ms / 1e3) as usize;
                let share = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 1.0 };
                outcome.over_time.push((now_ms / 1e3, share(second.0, second.1), share(second.3, second.2)));
                second = (0.0, 0.0, 0.0, 0.0);
            }
            // Capacity applies per tick: `served` is reset after it entered the moving average `served_mean`.
            for zone in 0..zones {
                let mean = &mut served_mean[zone];
                *mean += 0.05 * (served[zone] / TICK_MS * 1e3 - *mean);
                if now_ms < first_ms {
                    served_before[zone] = *mean;
                } else if now_ms > first_ms + 3000.0 && now_ms < last_ms && self.unaffected(&active, zone) {
                    outcome.min_unaffected_throughput =
                        outcome.min_unaffected_throughput.min(*mean / served_before[zone].max(1e-9));
                }
                served[zone] = 0.0;
            }
            if now_ms >= next_exchange_ms {
                next_exchange_ms += EXCHANGE_MS;
                self.exchange(now_ms, mode, delay_ms, &down);
                if mode != DecisionMode::Off {
                    let plan = self.controllers[self.first_running_router(&down)]
                        .agreed()
                        .map(|agreed| agreed.plan.clone())
                        .unwrap_or_default();
                    let mut changed = false;
                    for zone in 0..zones {
                        let now = plan.moved(Zone(zone as u8));
                        changed |= now != moved_before[zone];
                        if now > moved_before[zone] && !growing[zone] {
                            departure_times[zone].push(now_ms);
                        }
                        if now != moved_before[zone] {
                            growing[zone] = now > moved_before[zone];
                        }
                        moved_before[zone] = now;
                        let demand = vec![completions_per_s / zones as f64; zones];
                        let free = (self.capacity_per_s(&active, now_ms, zone) - demand[zone]).max(1e-9);
                        let given = plan.received_per_s(Zone(zone as u8), &demand);
                        if given > 0.0 && self.lost_ms[zone].is_none() {
                            outcome.max_overflow_share = outcome.max_overflow_share.max(given / free);
                        }
                    }
                    if changed {
                        change_times.push(now_ms);
                    }
                }
            }
            now_ms += TICK_MS;
        }
        let max_per_minute = |times: &[f64]| {
            times
                .iter()
                .map(|at| times.iter().filter(|t| (*at..at + 60_000.0).contains(*t)).count())
                .max()
                .unwrap_or(0)
        };
        outcome.in_target_by_phase =
            sums.map(|(in_target, all)| if all > 0.0 { in_target / all } else { f64::NAN });
        outcome.near_share = all_completions.1 / f64::max(all_completions.0, 1.0);
        outcome.near_share_before = before_faults.1 / f64::max(before_faults.0, 1.0);
        outcome.plan_changes = change_times.len();
        outcome.max_plan_changes_per_minute = max_per_minute(&change_times);
        outcome.max_departures_per_minute =
            departure_times.iter().map(|times| max_per_minute(times)).max().unwrap_or(0);
        outcome
    }

    fn first_running_router(&self, down: &impl Fn(usize) -> bool) -> usize {
        (0..self.scenario.routers).find(|router| !down(*router)).unwrap_or(0)
    }

    fn random_worker_in(&mut self, zone: usize) -> WorkerId {
        let zones = self.scenario.zones;
        let each = (self.scenario.workers - zone).div_ceil(zones);
        self.workers[zone + zones * self.rng.usize(..each)].clone()
    }

    /// Sends evidence rows, delivers the delayed ones, and lets the running router with the lowest
    /// index propose the next allocation.
    fn exchange(&mut self, now_ms: f64, mode: DecisionMode, delay_ms: f64, down: &impl Fn(usize) -> bool) {
        if mode == DecisionMode::Off {
            return;
        }
        let zones = self.scenario.zones;
        // Each router probes the zones that some zone finds unreachable or whose sessions moved away.
        for router in 0..self.scenario.routers {
            if down(router) {
                continue;
            }
            for worker in self.controllers[router].probe_targets(now_ms as u64 + router as u64) {
                let row = self.workers.iter().position(|known| *known == worker).unwrap_or(0);
                let dispatch_outcome = if self.lost_ms[row % zones].is_some() {
                    DispatchOutcome::TimedOut
                } else {
                    DispatchOutcome::ProbeAnswered
                };
                self.controllers[router].record_outcome(now_ms, &worker, dispatch_outcome);
            }
        }
        let rows: Vec<EvidenceRow> = (0..self.scenario.routers)
            .filter(|router| !down(*router))
            .map(|router| {
                let each = self.scenario.routers.div_ceil(zones);
                self.controllers[router].own_row(now_ms, represented_routers(router / zones, each))
            })
            .collect();
        self.rows.push_back((now_ms + delay_ms, rows));
        let mut received = None;
        while self.rows.front().is_some_and(|(at, _)| *at <= now_ms) {
            received = self.rows.pop_front();
        }
        let reporting_zones: Vec<Zone> =
            (0..zones).filter(|zone| !down(*zone)).map(|zone| Zone(zone as u8)).collect();
        let first = self.first_running_router(down);
        if let Some((_, rows)) = received {
            let rows: Vec<EvidenceRow> =
                rows.iter().filter_map(|row| EvidenceRow::read(&row.bytes()).ok()).collect();
            if mode == DecisionMode::Alone {
                for router in (0..self.scenario.routers).filter(|router| !down(*router)) {
                    let controller = &mut self.controllers[router];
                    let own = [controller.own_row(now_ms, Some(1.0))];
                    let before = controller.own_plan();
                    let next = controller.propose(now_ms, &before, &own, &[Zone((router % zones) as u8)]);
                    controller.apply_own_plan(&next);
                }
                return;
            }
            self.controllers[first].merge_commands(now_ms, &rows);
            let before = self.allocation.1.clone();
            // Several routers make a proposal, since a router's verdicts determine its probes; only the
            // proposal of the first router becomes the allocation.
            let running = (0..self.scenario.routers).filter(|router| !down(*router)).count();
            for router in (0..self.scenario.routers)
                .filter(|router| !down(*router) && (*router == first || router % 10 < 2))
            {
                let next = self.controllers[router].propose(now_ms, &before, &rows, &reporting_zones);
                let due = now_ms >= self.last_allocation_ms + ALLOCATION_INTERVAL_MS
                    && 2 * running > self.scenario.routers;
                if router == first && due && next != before {
                    self.last_allocation_ms = now_ms;
                    self.allocation = (self.allocation.0 + 1, next);
                    self.allocations.push_back((
                        now_ms + delay_ms,
                        self.allocation.0,
                        self.allocation.1.clone(),
                    ));
                }
            }
        }
        while self.allocations.front().is_some_and(|(at, ..)| *at <= now_ms) {
            if let Some((_, number, extra)) = self.allocations.pop_front() {
                self.controllers.iter_mut().for_each(|controller| {
                    controller.apply_allocation(Some((number, &extra)));
                });
            }
        }
    }
}

/// A random combination of two or three faults that may overlap.
pub fn random_faults(seed: u64, zones: usize) -> Vec<ScheduledZoneFault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = rng.usize(2..=3);
    let one = |_| {
        let zone = rng.usize(..zones);
        let fault = match rng.usize(..8) {
            0 => ZoneFault::Lost { zone, routers: true },
            1 => ZoneFault::Lost { zone, routers: false },
            2 => ZoneFault::CutPath { zone },
            3 => ZoneFault::Slow { zone, late_share: 0.2 + 0.8 * rng.f64() },
            4 => ZoneFault::ReducedCapacity { zone, capacity_share: 0.2 + 0.6 * rng.f64() },
            5 => ZoneFault::Flap { zone, every_ms: 1000.0 + 5000.0 * rng.f64() },
            6 => ZoneFault::Burst { zone, factor: 2.0 },
            _ => ZoneFault::FalseReporters { routers: 1 },
        };
        let from_ms = (200.0 + 200.0 * rng.f64()).round() * TICK_MS;
        ScheduledZoneFault { fault, from_ms, to_ms: from_ms + (50.0 + 250.0 * rng.f64()).round() * TICK_MS }
    };
    (0..count).map(one).collect()
}
