//! Failover between zones in virtual time: the very desks of `paddleproxy-failover` at many routers, rows and pages that
//! arrive late, and zones as a flow that can carry so much. What a router does by itself, completion by completion, is a
//! model of it: who failed there passes a zone by, more and more, and sends its completions to any other.

use std::collections::VecDeque;
use std::sync::Arc;

use paddleproxy::interface::{
    CellId, KindId, ListKind, Listing, Readiness, Role, SessionId, WorkerId, ZoneId,
};
use paddleproxy_failover::evidence::represented_routers;
use paddleproxy_failover::{DispatchOutcome, EvidenceRow, FailoverController, Rules, Topology, Zone};

const TICK_MS: f64 = 100.0;
const LEASE_MS: f64 = 1500.0;
/// Rows are told and pages thought about so often, and pages are so far apart, in ms.
const NEED_MS: f64 = 500.0;
const PAGE_MS: f64 = 2250.0;
/// Time in which a zone that was lost warms, what it carries at first, and the time in which a router's distrust halves.
const COLD_MS: f64 = 12_000.0;
const COLD_SHARE: f64 = 0.3;
const DISTRUST_MS: f64 = 4000.0;
const BLAME: f64 = 0.2;

/// What befalls, from and to, in ms.
#[derive(Clone, Debug, PartialEq)]
pub enum Case {
    /// Its workers, and its routers where so.
    Lost { zone: usize, routers: bool },
    /// Its workers can't be reached from other zones.
    CutPath { zone: usize },
    /// First tokens come late by so much: that share is out of target.
    Slow { zone: usize, late: f64 },
    /// It carries that part of what it did.
    Half { zone: usize, carries: f64 },
    /// Comes and goes with this period.
    Flap { zone: usize, every_ms: f64 },
    /// Demand of one zone's sessions grows.
    Burst { zone: usize, factor: f64 },
    /// That many routers find everything dead.
    Liars { routers: usize },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Befalls {
    pub case: Case,
    pub from_ms: f64,
    pub to_ms: f64,
}

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Common,
    Off,
    Alone,
    Told,
}

#[derive(Clone, Debug)]
pub struct Setting {
    pub routers: usize,
    pub workers: usize,
    pub zones: usize,
    /// Completions a second in all, and what all zones can carry, as a part of it.
    pub per_s: f64,
    pub room: f64,
    /// How late rows and pages arrive, in ms.
    pub delay_ms: f64,
    pub back: f64,
    pub out: f64,
    pub length_ms: f64,
    pub way: Way,
    pub seed: u64,
}

impl Default for Setting {
    fn default() -> Self {
        Setting {
            routers: 300,
            workers: 100,
            zones: 6,
            per_s: 1200.0,
            room: 1.6,
            delay_ms: 200.0,
            back: 0.1,
            out: 0.5,
            length_ms: 120_000.0,
            way: Way::Common,
            seed: 1,
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Share in target before anything befell, in the first 3 s, until the last thing ended, and after.
    pub phases: [f64; 4],
    /// Share of completions whose home stayed near, in all and before anything befell.
    pub near: f64,
    pub near_before: f64,
    /// Changes of the plan, and the most in any minute; times that a zone's sessions set out, at most in a minute.
    pub changes: usize,
    pub changes_a_minute: usize,
    pub leaves_a_minute: usize,
    /// Most that a zone was given by plan, as a part of what it could carry beside its own then.
    pub fullest: f64,
    /// Least that a zone which nothing befell served over some 2 s, from 3 s after, as a part of before.
    pub least_standing: f64,
    /// Share in target and share near, each second.
    pub over_time: Vec<(f64, f64, f64)>,
}

struct Lab {
    setting: Setting,
    desks: Vec<FailoverController>,
    distrust: Vec<Vec<f64>>,
    names: Vec<WorkerId>,
    rows: VecDeque<(f64, Vec<EvidenceRow>)>,
    pages: VecDeque<(f64, u64, Vec<u8>)>,
    page: (u64, Vec<u8>),
    paged_ms: f64,
    lost_ms: Vec<Option<f64>>,
    back_ms: Vec<f64>,
    rng: fastrand::Rng,
}

/// Plays one setting; the same for the same seed.
pub fn play(setting: &Setting, befalls: &[Befalls]) -> Outcome {
    let mut lab = Lab::new(setting.clone());
    lab.run(befalls)
}

impl Lab {
    fn new(setting: Setting) -> Lab {
        let zones = setting.zones;
        let names: Vec<WorkerId> =
            (0..setting.workers).map(|n| WorkerId(Arc::from(format!("w{n}")))).collect();
        let rows: Vec<Listing> = names
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
        let map = Topology { regions: regions.clone(), costs };
        let desk = |place: usize| {
            let rules = Rules {
                topology: map.clone(),
                own_zone: Zone((place % zones) as u8),
                router_index: place as u16,
                lease_ms: LEASE_MS,
                reserve: 0.25,
                max_step_out: if setting.way == Way::Told { 1.0 } else { setting.out },
                max_step_back: setting.back,
                weights_act: false,
                own_evidence_only: setting.way == Way::Alone,
                commands_only: setting.way == Way::Told,
                roles: vec![Role::Mixed],
            };
            let mut desk = FailoverController::new(0.0, rules);
            desk.apply_list(ListKind::Whole, &rows);
            desk
        };
        Lab {
            desks: (0..setting.routers).map(desk).collect(),
            distrust: vec![vec![0.0; zones]; setting.routers],
            names,
            rows: VecDeque::new(),
            pages: VecDeque::new(),
            page: (1, Vec::new()),
            paged_ms: 0.0,
            lost_ms: vec![None; zones],
            back_ms: vec![f64::NEG_INFINITY; zones],
            rng: fastrand::Rng::with_seed(setting.seed),
            setting,
        }
    }

    fn zone_of(&self, router: usize) -> usize {
        router % self.setting.zones
    }

    /// Whether a zone is gone now, by what is on.
    fn gone(on: &[&Befalls], now_ms: f64, zone: usize) -> bool {
        on.iter().any(|on| match &on.case {
            Case::Lost { zone: of, .. } => *of == zone,
            Case::Flap { zone: of, every_ms } => {
                *of == zone && (((now_ms - on.from_ms) / every_ms) as u64).is_multiple_of(2)
            }
            _ => false,
        })
    }

    /// Whether nothing befalls a zone itself.
    fn stands(&self, on: &[&Befalls], zone: usize) -> bool {
        !on.iter().any(|on| match &on.case {
            Case::Lost { zone: of, .. }
            | Case::CutPath { zone: of }
            | Case::Slow { zone: of, .. }
            | Case::Half { zone: of, .. }
            | Case::Flap { zone: of, .. } => *of == zone,
            Case::Burst { .. } | Case::Liars { .. } => false,
        })
    }

    fn carries(&self, on: &[&Befalls], now_ms: f64, zone: usize) -> f64 {
        let whole = self.setting.per_s * self.setting.room / self.setting.zones as f64;
        let half: f64 = on
            .iter()
            .map(|on| match &on.case {
                Case::Half { zone: of, carries } if *of == zone => *carries,
                _ => 1.0,
            })
            .product();
        let warm = ((now_ms - self.back_ms[zone]) / COLD_MS).clamp(0.0, 1.0);
        whole * half * (COLD_SHARE + (1.0 - COLD_SHARE) * warm)
    }

    fn run(&mut self, befalls: &[Befalls]) -> Outcome {
        let Setting { zones, routers, per_s, length_ms, delay_ms, way, .. } = self.setting;
        let first_ms = befalls.iter().map(|b| b.from_ms).fold(f64::INFINITY, f64::min);
        let last_ms = befalls.iter().map(|b| b.to_ms).fold(f64::NEG_INFINITY, f64::max);
        let mut outcome = Outcome { least_standing: f64::INFINITY, ..Outcome::default() };
        let mut sums = [(0.0f64, 0.0f64); 4];
        let (mut second, mut served_before) = ((0.0, 0.0, 0.0, 0.0), vec![0.0; zones]);
        let (mut served, mut served_mean) = (vec![0.0f64; zones], vec![0.0f64; zones]);
        let (mut change_times, mut leave_times): (Vec<f64>, Vec<Vec<f64>>) =
            (Vec::new(), vec![Vec::new(); zones]);
        let mut moved_before = vec![0u16; zones];
        let mut growing = vec![false; zones];
        let (mut homed, mut moved) = ((0.0, 0.0), (0.0, 0.0));
        let mut need_ms = 0.0;
        let mut now_ms = 0.0;
        let mut seconds = 0usize;
        while now_ms < length_ms {
            let on: Vec<&Befalls> =
                befalls.iter().filter(|b| (b.from_ms..b.to_ms).contains(&now_ms)).collect();
            for zone in 0..zones {
                let gone = Lab::gone(&on, now_ms, zone);
                match (gone, self.lost_ms[zone]) {
                    (true, None) => self.lost_ms[zone] = Some(now_ms),
                    (false, Some(_)) => (self.lost_ms[zone], self.back_ms[zone]) = (None, now_ms),
                    _ => {}
                }
            }
            let down = |router: usize| {
                on.iter()
                    .any(|on| matches!(on.case, Case::Lost { zone, routers: true } if zone == router % zones))
            };
            if way == Way::Told && befalls.iter().any(|b| b.from_ms == now_ms || b.to_ms == now_ms) {
                for b in befalls.iter().filter(|b| b.from_ms == now_ms || b.to_ms == now_ms) {
                    if let Case::Lost { zone, .. } | Case::Flap { zone, .. } = b.case {
                        use paddleproxy_failover::OperatorCommand::{Drain, Return};
                        let word = if b.from_ms == now_ms { Drain } else { Return };
                        let router = (0..routers).find(|router| !down(*router)).unwrap_or(0);
                        let place = router as u16;
                        self.desks[router].commands.issue(now_ms, place, zone as u8, word, 600_000.0);
                    }
                }
            }
            // Arrivals: each goes to its home, or past it, and once elsewhere where there is no room.
            let mut offered: Vec<Vec<(usize, usize)>> = vec![Vec::new(); zones];
            let half = 0.5f64.powf(TICK_MS / DISTRUST_MS);
            self.distrust.iter_mut().flatten().for_each(|row| *row *= half);
            let mean = per_s * TICK_MS / 1e3;
            let mut arrived = 0.0;
            for _ in 0..mean as usize + usize::from(self.rng.f64() < mean.fract()) {
                let router = self.rng.usize(..routers);
                if down(router) {
                    continue;
                }
                let session = SessionId(self.rng.u64(..));
                let origin = self.desks[router].origin(session).map_or(0, |zone| usize::from(zone.0));
                let times = on.iter().find_map(|on| match on.case {
                    Case::Burst { zone, factor } if zone == origin => Some(factor),
                    _ => None,
                });
                for _ in 0..times.unwrap_or(1.0) as usize {
                    arrived += 1.0;
                    let near =
                        if way == Way::Off { None } else { self.desks[router].moved_home(now_ms, session) };
                    homed.0 += 1.0;
                    homed.1 += f64::from(u8::from(near.is_none()));
                    if now_ms < first_ms {
                        moved.0 += 1.0;
                        moved.1 += f64::from(u8::from(near.is_none()));
                    }
                    second.2 += 1.0;
                    second.3 += f64::from(u8::from(near.is_none()));
                    let home = near.map_or(origin, |zone| zone.0);
                    // Who distrusts passes it by, to any other.
                    let to = if self.rng.f64() < self.distrust[router][home] {
                        (home + 1 + self.rng.usize(..zones - 1)) % zones
                    } else {
                        home
                    };
                    offered[to].push((router, 0));
                }
            }
            let mut good = 0.0;
            for round in 0..3 {
                let mut again: Vec<Vec<(usize, usize)>> = vec![Vec::new(); zones];
                for zone in 0..zones {
                    let room = self.carries(&on, now_ms, zone) * TICK_MS / 1e3;
                    let gone = self.lost_ms[zone].is_some();
                    let late = on.iter().find_map(|on| match on.case {
                        Case::Slow { zone: of, late } if of == zone => Some(late),
                        _ => None,
                    });
                    let mut taken = 0.0;
                    let mut tries = std::mem::take(&mut offered[zone]);
                    self.rng.shuffle(&mut tries);
                    for (router, tried) in tries {
                        let from = self.zone_of(router);
                        let cut = from != zone
                            && on
                                .iter()
                                .any(|on| matches!(on.case, Case::CutPath { zone: of } if of == zone));
                        let liar = on
                            .iter()
                            .any(|on| matches!(on.case, Case::Liars { routers } if router < routers));
                        let name = self.name_in(zone);
                        let met = if gone || cut {
                            DispatchOutcome::TimedOut
                        } else if taken + served[zone] >= room {
                            DispatchOutcome::Full
                        } else if late.is_some_and(|late| self.rng.f64() < late) {
                            DispatchOutcome::Late
                        } else {
                            DispatchOutcome::InTarget
                        };
                        let load = served_mean[zone] * TICK_MS / 1e3 / room.max(1e-9);
                        self.desks[router].record_outcome(
                            now_ms,
                            &name,
                            if liar { DispatchOutcome::TimedOut } else { met },
                        );
                        if !gone && !cut {
                            self.desks[router].record_load(now_ms, &name, load.clamp(0.05, 1.5));
                        }
                        match met {
                            DispatchOutcome::InTarget => {
                                taken += 1.0;
                                good += 1.0;
                            }
                            DispatchOutcome::Late => taken += 1.0,
                            _ => {
                                if met == DispatchOutcome::TimedOut {
                                    self.distrust[router][zone] =
                                        (self.distrust[router][zone] + BLAME).min(1.0);
                                }
                                if tried < 2 && round < 2 {
                                    let next = (zone + 1 + self.rng.usize(..zones - 1)) % zones;
                                    again[next].push((router, tried + 1));
                                }
                            }
                        }
                    }
                    served[zone] += taken;
                }
                offered = again;
            }
            let phase = match now_ms {
                at if at < first_ms => 0,
                at if at < first_ms + 3000.0 => 1,
                at if at < last_ms => 2,
                _ => 3,
            };
            sums[phase].0 += good;
            sums[phase].1 += arrived;
            (second.0, second.1) = (second.0 + good, second.1 + arrived);
            if (now_ms / 1e3) as usize > seconds {
                seconds = (now_ms / 1e3) as usize;
                let share = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 1.0 };
                outcome.over_time.push((now_ms / 1e3, share(second.0, second.1), share(second.3, second.2)));
                second = (0.0, 0.0, 0.0, 0.0);
            }
            // A flow a tick long: what was served in it is forgotten with it, but counted for who stands.
            for zone in 0..zones {
                let mean = &mut served_mean[zone];
                *mean += 0.05 * (served[zone] / TICK_MS * 1e3 - *mean);
                if now_ms < first_ms {
                    served_before[zone] = *mean;
                } else if now_ms > first_ms + 3000.0 && now_ms < last_ms && self.stands(&on, zone) {
                    outcome.least_standing =
                        outcome.least_standing.min(*mean / served_before[zone].max(1e-9));
                }
                served[zone] = 0.0;
            }
            if now_ms >= need_ms {
                need_ms += NEED_MS;
                self.exchange(now_ms, way, delay_ms, &down);
                if way != Way::Off {
                    let plan = self.desks[self.first_up(&down)]
                        .agreed()
                        .map(|agreed| agreed.plan.clone())
                        .unwrap_or_default();
                    let mut changed = false;
                    for zone in 0..zones {
                        let now = plan.moved(Zone(zone as u8));
                        changed |= now != moved_before[zone];
                        if now > moved_before[zone] && !growing[zone] {
                            leave_times[zone].push(now_ms);
                        }
                        if now != moved_before[zone] {
                            growing[zone] = now > moved_before[zone];
                        }
                        moved_before[zone] = now;
                        let demand = vec![per_s / zones as f64; zones];
                        let free = (self.carries(&on, now_ms, zone) - demand[zone]).max(1e-9);
                        let given = plan.received_per_s(Zone(zone as u8), &demand);
                        if given > 0.0 && self.lost_ms[zone].is_none() {
                            outcome.fullest = outcome.fullest.max(given / free);
                        }
                    }
                    if changed {
                        change_times.push(now_ms);
                    }
                }
            }
            now_ms += TICK_MS;
        }
        let a_minute = |times: &[f64]| {
            times
                .iter()
                .map(|at| times.iter().filter(|t| (*at..at + 60_000.0).contains(*t)).count())
                .max()
                .unwrap_or(0)
        };
        outcome.phases = sums.map(|(good, all)| if all > 0.0 { good / all } else { f64::NAN });
        outcome.near = homed.1 / f64::max(homed.0, 1.0);
        outcome.near_before = moved.1 / f64::max(moved.0, 1.0);
        outcome.changes = change_times.len();
        outcome.changes_a_minute = a_minute(&change_times);
        outcome.leaves_a_minute = leave_times.iter().map(|times| a_minute(times)).max().unwrap_or(0);
        outcome
    }

    fn first_up(&self, down: &impl Fn(usize) -> bool) -> usize {
        (0..self.setting.routers).find(|router| !down(*router)).unwrap_or(0)
    }

    fn name_in(&mut self, zone: usize) -> WorkerId {
        let zones = self.setting.zones;
        let each = (self.setting.workers - zone).div_ceil(zones);
        self.names[zone + zones * self.rng.usize(..each)].clone()
    }

    /// Rows go out, those of a while ago arrive, and the lowest router thinks about the next page.
    fn exchange(&mut self, now_ms: f64, way: Way, delay_ms: f64, down: &impl Fn(usize) -> bool) {
        if way == Way::Off {
            return;
        }
        let zones = self.setting.zones;
        // Mere questions are asked of every zone that somebody finds dead or whose sessions are away.
        for router in 0..self.setting.routers {
            if down(router) {
                continue;
            }
            for name in self.desks[router].probe_targets(now_ms as u64 + router as u64) {
                let row = self.names.iter().position(|known| *known == name).unwrap_or(0);
                let met = if self.lost_ms[row % zones].is_some() {
                    DispatchOutcome::TimedOut
                } else {
                    DispatchOutcome::ProbeAnswered
                };
                self.desks[router].record_outcome(now_ms, &name, met);
            }
        }
        let rows: Vec<EvidenceRow> = (0..self.setting.routers)
            .filter(|router| !down(*router))
            .map(|router| {
                let each = self.setting.routers.div_ceil(zones);
                self.desks[router].own_row(now_ms, represented_routers(router / zones, each))
            })
            .collect();
        self.rows.push_back((now_ms + delay_ms, rows));
        let mut heard = None;
        while self.rows.front().is_some_and(|(at, _)| *at <= now_ms) {
            heard = self.rows.pop_front();
        }
        let speaking: Vec<Zone> =
            (0..zones).filter(|zone| !down(*zone)).map(|zone| Zone(zone as u8)).collect();
        let first = self.first_up(down);
        if let Some((_, rows)) = heard {
            let rows: Vec<EvidenceRow> =
                rows.iter().filter_map(|row| EvidenceRow::read(&row.bytes()).ok()).collect();
            if way == Way::Alone {
                for router in (0..self.setting.routers).filter(|router| !down(*router)) {
                    let desk = &mut self.desks[router];
                    let own = [desk.own_row(now_ms, Some(1.0))];
                    let before = desk.own_plan();
                    let next = desk.propose(now_ms, &before, &own, &[Zone((router % zones) as u8)]);
                    desk.apply_own_plan(&next);
                }
                return;
            }
            self.desks[first].merge_commands(now_ms, &rows);
            let before = self.page.1.clone();
            // Everybody looks, since who finds what dead is asked after; the first one's look makes the page.
            let whole = (0..self.setting.routers).filter(|router| !down(*router)).count();
            for router in (0..self.setting.routers)
                .filter(|router| !down(*router) && (*router == first || router % 10 < 2))
            {
                let next = self.desks[router].propose(now_ms, &before, &rows, &speaking);
                let due = now_ms >= self.paged_ms + PAGE_MS && 2 * whole > self.setting.routers;
                if router == first && due && next != before {
                    self.paged_ms = now_ms;
                    self.page = (self.page.0 + 1, next);
                    self.pages.push_back((now_ms + delay_ms, self.page.0, self.page.1.clone()));
                }
            }
        }
        while self.pages.front().is_some_and(|(at, ..)| *at <= now_ms) {
            if let Some((_, number, extra)) = self.pages.pop_front() {
                self.desks.iter_mut().for_each(|desk| {
                    desk.apply_allocation(Some((number, &extra)));
                });
            }
        }
    }
}

/// A random combination of two or three things that befall, over each other.
pub fn random(seed: u64, zones: usize) -> Vec<Befalls> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = rng.usize(2..=3);
    let one = |_| {
        let zone = rng.usize(..zones);
        let case = match rng.usize(..8) {
            0 => Case::Lost { zone, routers: true },
            1 => Case::Lost { zone, routers: false },
            2 => Case::CutPath { zone },
            3 => Case::Slow { zone, late: 0.2 + 0.8 * rng.f64() },
            4 => Case::Half { zone, carries: 0.2 + 0.6 * rng.f64() },
            5 => Case::Flap { zone, every_ms: 1000.0 + 5000.0 * rng.f64() },
            6 => Case::Burst { zone, factor: 2.0 },
            _ => Case::Liars { routers: 1 },
        };
        let from_ms = (200.0 + 200.0 * rng.f64()).round() * TICK_MS;
        Befalls { case, from_ms, to_ms: from_ms + (50.0 + 250.0 * rng.f64()).round() * TICK_MS }
    };
    (0..count).map(one).collect()
}
