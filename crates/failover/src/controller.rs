//! Failover state of one router: outcomes of its own dispatches, the operator commands that it knows, the
//! plan in force, and the next plan, in case this router proposes one to the voters.

use std::collections::BTreeMap;

use paddleproxy::interface::{KindId, ListKind, Listing, Readiness, Role, SessionId, WorkerId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::evidence::{EvidenceRow, Matrix, ZoneCounts};
use crate::homes::Homes;
use crate::operator_commands::CommandRegister;
use crate::plan::{FlapHistory, OperatorCommand, Plan, PlanLimits, WHOLE_SHARE};
use crate::verdict::{judge, Verdict};
use crate::{Topology, Zone};

/// Outcome of a dispatch or of a probe at one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The first token came within the latency target.
    InTarget,
    /// The first token came after the latency target.
    Late,
    /// The worker could not be reached: connection refused, no route, no address.
    Refused,
    /// No connection or no answer in time.
    TimedOut,
    /// The answer was an error, broke off or stalled.
    Broken,
    /// The worker rejected the dispatch for lack of capacity.
    Full,
    /// A probe was answered.
    ProbeAnswered,
}

/// Configuration of a controller.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    pub topology: Topology,
    pub own_zone: Zone,
    /// Index of this router among those configured.
    pub router_index: u16,
    /// Half-life of the counts of outcomes, and the time by which the plan in force at a router may lag
    /// behind the newest one, in ms.
    pub lease_ms: f64,
    /// Share of a zone's spare capacity that is never given to sessions of other zones.
    pub reserve: f64,
    /// Largest share of a zone's sessions that one plan moves away.
    pub max_step_out: f64,
    /// Largest share of a zone's sessions that one plan brings back.
    pub max_step_back: f64,
    /// Whether the hash that ranks workers is weighted by the worker's weight.
    pub weights_act: bool,
    /// For comparison in experiments: each router decides alone, from its own evidence.
    pub own_evidence_only: bool,
    /// For comparison in experiments: evidence is ignored, only operator commands move sessions.
    pub commands_only: bool,
    /// Role of the workers of each kind. Sessions have their homes at kinds with [`Role::Mixed`].
    pub roles: Vec<Role>,
}

/// The part of an allocation that concerns failover, as the routers agreed on it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgreedPlan {
    pub plan: Plan,
    pub history: FlapHistory,
}

/// Leases for which a zone has to be healthy without interruption before its sessions come back; doubles
/// with each flap, up to [`MAX_STABLE_LEASES`]. Keeps sessions from following a flapping zone back and
/// forth; the price is that they stay away longer.
const STABLE_LEASES: f64 = 4.0;
const MAX_STABLE_LEASES: f64 = 32.0;
/// Leases after which the flaps of a zone that returned and stayed healthy are forgotten.
const FORGIVE_LEASES: f64 = 64.0;
/// Leases after which a row is published again although it hardly changed.
const REPUBLISH_LEASES: f64 = 10.0;
/// Relative change of a count that is worth publishing.
const MIN_RELATIVE_CHANGE: f32 = 0.3;
/// Lowest load from which a zone's capacity is extrapolated: load reports below it are noise.
const MIN_LOAD: f64 = 0.05;

/// Last load report of one worker.
#[derive(Clone, Copy, Debug)]
struct Load {
    zone: Zone,
    role: Role,
    share: f32,
    at_ms: f64,
}

/// Failover state of one router; exists as long as the router runs.
pub struct FailoverController {
    rules: Rules,
    now_ms: f64,
    /// Own outcomes by zone, decayed up to `decayed_ms`.
    counts: BTreeMap<Zone, ZoneCounts>,
    /// Own completions by the origin zone of their sessions, decayed likewise.
    completions_by_home: BTreeMap<Zone, f32>,
    decayed_ms: f64,
    loads: BTreeMap<WorkerId, Load>,
    /// Zone and role of each listed worker, and whether it can be used.
    workers: BTreeMap<WorkerId, (Zone, Role, bool)>,
    homes: Homes,
    pub commands: CommandRegister,
    /// The row published last, and when.
    published: (EvidenceRow, f64),
    /// The plan in force at this router; none without a lease.
    agreed: Option<AgreedPlan>,
    /// Number of the allocation that carried the plan in force.
    allocation_number: Option<u64>,
    /// Time since which each zone has been healthy without interruption; used by the proposer.
    healthy_since_ms: BTreeMap<Zone, f64>,
    /// Result of the last evaluation of all rows, shown to operators.
    pub last_assessment: Assessment,
    /// Completions whose home had moved, since the start of the router.
    pub moved_total: u64,
    /// All completions with a known home, since the start of the router.
    pub completions_total: u64,
}

/// What the rows of all routers amount to.
#[derive(Clone, Debug, Default)]
pub struct Assessment {
    pub verdicts: Vec<Verdict>,
    /// Dispatches per second of the sessions that have their origin in each zone.
    pub demand: Vec<f64>,
    /// Dispatches per second that each zone can answer; 0 if unmeasured.
    pub capacity: Vec<f64>,
    pub matrix: Matrix,
    /// Zones with at least one router that reports.
    pub reporting_zones: Vec<Zone>,
}

impl FailoverController {
    pub fn new(now_ms: f64, rules: Rules) -> Self {
        let homes = Homes::new(rules.weights_act);
        FailoverController {
            homes,
            now_ms,
            counts: BTreeMap::new(),
            completions_by_home: BTreeMap::new(),
            decayed_ms: now_ms,
            loads: BTreeMap::new(),
            workers: BTreeMap::new(),
            commands: CommandRegister::default(),
            published: (EvidenceRow::default(), f64::NEG_INFINITY),
            agreed: None,
            allocation_number: None,
            healthy_since_ms: BTreeMap::new(),
            last_assessment: Assessment::default(),
            moved_total: 0,
            completions_total: 0,
            rules,
        }
    }

    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    pub fn agreed(&self) -> Option<&AgreedPlan> {
        self.agreed.as_ref()
    }

    /// Advances the clock and decays all counts accordingly.
    fn decay(&mut self, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
        let factor = 0.5f64.powf((self.now_ms - self.decayed_ms) / self.rules.lease_ms.max(1.0)) as f32;
        self.decayed_ms = self.now_ms;
        self.counts.values_mut().for_each(|counts| counts.scale(factor));
        self.completions_by_home.values_mut().for_each(|count| *count *= factor);
    }

    /// Takes in an update of the worker list, in the form in which the routing decisions receive it.
    pub fn apply_list(&mut self, kind: ListKind, rows: &[Listing]) {
        let roles = self.rules.roles.clone();
        let role = |kind: KindId| roles.get(kind.0).copied();
        self.homes.apply_list(kind, rows, |kind| role(kind) == Some(Role::Mixed));
        if kind != ListKind::Changes && kind != ListKind::Failed {
            self.workers.clear();
        }
        for row in rows {
            let Some(role) = role(row.kind) else { continue };
            if row.readiness == Readiness::Gone {
                self.workers.remove(&row.worker);
            } else {
                let usable = row.readiness == Readiness::Ready;
                self.workers.insert(row.worker.clone(), (Zone(row.zone.0 as u8), role, usable));
            }
        }
        let workers = &self.workers;
        self.loads.retain(|worker, _| workers.contains_key(worker));
    }

    /// Counts the outcome of one of this router's dispatches or probes at a worker.
    pub fn record_outcome(&mut self, now_ms: f64, worker: &WorkerId, outcome: DispatchOutcome) {
        let Some((zone, ..)) = self.workers.get(worker).copied() else { return };
        self.decay(now_ms);
        let counts = self.counts.entry(zone).or_default();
        let count = match outcome {
            DispatchOutcome::InTarget => &mut counts.in_target,
            DispatchOutcome::Late => &mut counts.late,
            DispatchOutcome::Refused => &mut counts.refused,
            DispatchOutcome::TimedOut => &mut counts.timed_out,
            DispatchOutcome::Broken => &mut counts.broken,
            DispatchOutcome::Full => &mut counts.full,
            DispatchOutcome::ProbeAnswered => &mut counts.probe_answers,
        };
        *count += 1.0;
    }

    /// Records a worker's load report: the share of its capacity in use, above 1 if requests are queued
    /// there.
    pub fn record_load(&mut self, now_ms: f64, worker: &WorkerId, share: f64) {
        let Some((zone, role, _)) = self.workers.get(worker).copied() else { return };
        let load = Load { zone, role, share: share.clamp(0.0, 2.0) as f32, at_ms: now_ms };
        self.loads.insert(worker.clone(), load);
    }

    /// The zone of a session's home while no plan is in force.
    pub fn origin(&self, session: SessionId) -> Option<Zone> {
        self.homes.origin(session)
    }

    /// The zone to which the home of a session moved; none if it did not move. Counts the completion.
    /// Without a plan in force, that is without a lease, no session is moved.
    pub fn moved_home(&mut self, now_ms: f64, session: SessionId) -> Option<ZoneId> {
        let origin = self.homes.origin(session)?;
        self.decay(now_ms);
        *self.completions_by_home.entry(origin).or_default() += 1.0;
        self.completions_total += 1;
        let home = self.agreed.as_ref()?.plan.home(origin, session_hash(session));
        self.moved_total += u64::from(home != origin);
        (home != origin).then_some(ZoneId(usize::from(home.0)))
    }

    /// Workers to probe: one in each zone whose sessions moved away, since no dispatch would show that the
    /// zone is back, and one in each zone that some zone finds unreachable, since routers that avoid a zone
    /// learn nothing more about it. `turn` rotates through the workers of a zone.
    pub fn probe_targets(&self, turn: u64) -> Vec<WorkerId> {
        let plan = self.agreed.as_ref().map(|agreed| &agreed.plan);
        let needs_probe = |zone: &Zone| {
            plan.is_some_and(|plan| plan.moved(*zone) > 0)
                || self.last_assessment.matrix.unreachable_from_any(*zone)
        };
        let pick = |zone: Zone| {
            let all: Vec<_> =
                self.workers.iter().filter(|(_, row)| row.0 == zone).map(|(id, _)| id).collect();
            all.get(turn as usize % all.len().max(1)).map(|id| (*id).clone())
        };
        self.rules.topology.zones().filter(needs_probe).filter_map(pick).collect()
    }

    /// Mean load of the workers of a zone, of the role that has least capacity left.
    fn load(&self, zone: Zone) -> f32 {
        // Reports older than four leases are ignored.
        let oldest_ms = self.now_ms - 4.0 * self.rules.lease_ms;
        let of = |role: Role| {
            let all =
                self.loads.values().filter(|l| l.zone == zone && l.role == role && l.at_ms >= oldest_ms);
            let (sum, count) = all.fold((0.0, 0.0), |(sum, count), load| (sum + load.share, count + 1.0));
            if count > 0.0 {
                sum / count
            } else {
                0.0
            }
        };
        [Role::Reader, Role::Writer, Role::Mixed].into_iter().map(of).fold(0.0, f32::max)
    }

    /// The row that this router publishes now: the one published before as long as the new one hardly
    /// differs. `represented_routers`: number of routers that the row stands for; none if other routers of
    /// the zone report, in which case the row only passes on operator commands.
    pub fn own_row(&mut self, now_ms: f64, represented_routers: Option<f32>) -> EvidenceRow {
        self.decay(now_ms);
        let Some(represented_routers) = represented_routers else {
            let commands = self.commands.active(self.now_ms).map(|(command, _)| command).collect();
            return EvidenceRow { from: self.rules.own_zone.0, commands, ..EvidenceRow::default() };
        };
        let count = |zone: Zone, usable: bool| {
            let all = self.workers.values().filter(|row| row.0 == zone && (row.2 || !usable)).count();
            all.min(usize::from(u16::MAX)) as u16
        };
        let counts = self.rules.topology.zones().filter_map(|zone| {
            let counts = self.counts.get(&zone).copied().unwrap_or_default();
            let (listed, usable, load) = (count(zone, false), count(zone, true), self.load(zone));
            (listed > 0 || self.homes.knows_zone(zone))
                .then_some((zone.0, ZoneCounts { listed, usable, load, ..counts }))
        });
        let counts: Vec<_> = counts.collect();
        let completions_by_home = self
            .completions_by_home
            .iter()
            .map(|(zone, count)| (zone.0, (4.0 * count).round() / 4.0))
            .collect();
        let commands = self.commands.active(self.now_ms).map(|(command, _)| command).collect();
        let row = EvidenceRow {
            from: self.rules.own_zone.0,
            represented_routers,
            counts,
            completions_by_home,
            commands,
        };
        let (published, at_ms) = &self.published;
        if differs_noticeably(published, &row) || now_ms >= at_ms + REPUBLISH_LEASES * self.rules.lease_ms {
            self.published = (row, now_ms);
        }
        self.published.0.clone()
    }

    /// Takes in the operator commands that peers know of. Returns whether one of them was new.
    pub fn merge_commands<'a>(
        &mut self,
        now_ms: f64,
        rows: impl IntoIterator<Item = &'a EvidenceRow>,
    ) -> bool {
        let mut any_new = false;
        for command in rows.into_iter().flat_map(|row| &row.commands) {
            any_new |= self.commands.merge(now_ms, *command, f64::from(command.for_ms));
        }
        any_new
    }

    /// Puts the plan of an allocation in force: its number and the bytes that it carries, or none when no
    /// lease holds. Bytes that can't be decoded count as no plan. Returns whether moves changed.
    pub fn apply_allocation(&mut self, allocation: Option<(u64, &[u8])>) -> bool {
        let number = allocation.map(|(number, _)| number);
        if number == self.allocation_number {
            return false;
        }
        let before = self.agreed.take();
        self.allocation_number = number;
        self.agreed = allocation.and_then(|(_, extra)| decode_plan(extra));
        let moves = |agreed: &Option<AgreedPlan>| {
            agreed.as_ref().map(|agreed| agreed.plan.moves.clone()).unwrap_or_default()
        };
        moves(&before) != moves(&self.agreed)
    }

    /// The encoded plan of a router that decides alone.
    pub fn own_plan(&self) -> Vec<u8> {
        self.agreed.as_ref().and_then(|agreed| postcard::to_stdvec(agreed).ok()).unwrap_or_default()
    }

    /// Puts a plan in force at a router that decides alone.
    pub fn apply_own_plan(&mut self, extra: &[u8]) {
        self.agreed = decode_plan(extra);
    }

    /// Number of the allocation that carried the plan in force.
    pub fn allocation_number(&self) -> Option<u64> {
        self.allocation_number
    }

    /// The encoded plan to propose after an allocation that carries `before`; the same rows, verdicts and
    /// commands give the same plan. `rows`: rows of all reachable routers, the own one included;
    /// `reporting_zones`: zones that some of these routers are in.
    pub fn propose(
        &mut self,
        now_ms: f64,
        before: &[u8],
        rows: &[EvidenceRow],
        reporting_zones: &[Zone],
    ) -> Vec<u8> {
        self.decay(now_ms);
        let before = decode_plan(before).unwrap_or_default();
        let topology = self.rules.topology.clone();
        let matrix = Matrix::from_rows(rows);
        let mut verdicts = judge(&topology, &matrix, reporting_zones);
        if self.rules.commands_only {
            // The operator knows the true state: every zone is healthy unless a command says otherwise.
            verdicts.fill(Verdict::Healthy);
        }
        // A count that halves once per lease holds 1 / ln 2 = 1.44 leases' worth of events.
        let per_s = std::f64::consts::LN_2 / self.rules.lease_ms.max(1.0) * 1e3;
        let demand: Vec<f64> = topology
            .zones()
            .map(|zone| matrix.completions_by_home.get(&zone).copied().unwrap_or(0.0) * per_s)
            .collect();
        let capacity: Vec<f64> = topology.zones().map(|zone| capacity(&matrix, zone, per_s)).collect();
        let limits = PlanLimits {
            demand: demand.clone(),
            capacity: capacity.clone(),
            reserve: self.rules.reserve,
            max_step_out: self.rules.max_step_out,
            max_step_back: self.rules.max_step_back,
        };
        let AgreedPlan { plan, mut history } = before;
        let stable = self.require_stability(&plan, &mut history, &verdicts);
        let commands = self.commands.commands(self.now_ms);
        let plan = plan.next(&topology, &stable, &limits, &commands, &mut history);
        self.last_assessment =
            Assessment { verdicts, demand, capacity, matrix, reporting_zones: reporting_zones.to_vec() };
        if plan.number == 0 {
            // No session ever moved: allocations stay the same as without failover.
            return Vec::new();
        }
        postcard::to_stdvec(&AgreedPlan { plan, history }).unwrap_or_default()
    }

    /// Replaces the verdict on a healthy zone whose sessions moved away by `Unknown` until the zone has been
    /// healthy for long enough. Forgets the flaps of zones that stayed healthy with all sessions at home.
    fn require_stability(
        &mut self,
        plan: &Plan,
        history: &mut FlapHistory,
        verdicts: &[Verdict],
    ) -> Vec<Verdict> {
        let (now_ms, lease_ms) = (self.now_ms, self.rules.lease_ms);
        let one = |(zone, verdict): (Zone, &Verdict)| {
            if *verdict != Verdict::Healthy {
                self.healthy_since_ms.remove(&zone);
                return verdict.clone();
            }
            let since_ms = *self.healthy_since_ms.entry(zone).or_insert(now_ms);
            let flaps = history.flaps.get(&zone.0).copied().unwrap_or(0);
            let leases =
                STABLE_LEASES * 2f64.powi(flaps.min(30) as i32).min(MAX_STABLE_LEASES / STABLE_LEASES);
            if plan.moved(zone) > 0 && now_ms < since_ms + leases * lease_ms {
                return Verdict::Unknown;
            }
            if plan.moved(zone) == 0 && now_ms >= since_ms + FORGIVE_LEASES * lease_ms {
                history.flaps.remove(&zone.0);
            }
            Verdict::Healthy
        };
        self.rules.topology.zones().zip(verdicts).map(one).collect()
    }
}

/// Dispatches per second that a zone could answer, extrapolated from what it answers at its reported load.
/// 0 if no worker reports its load, so that an unmeasured zone receives no sessions.
fn capacity(matrix: &Matrix, zone: Zone, per_s: f64) -> f64 {
    let load = matrix.loads.get(&zone).copied().unwrap_or(0.0);
    if load > 0.0 {
        matrix.answered_dispatches(zone) * per_s / load.max(MIN_LOAD)
    } else {
        0.0
    }
}

/// Hash whose upper bits select the sessions that move. Mixed, since the session's own bits already rank
/// workers.
fn session_hash(session: SessionId) -> u64 {
    let mixed = (session.0 ^ (session.0 >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93)
}

/// Decodes a plan; none if the bytes are invalid or move more than all sessions of a zone.
fn decode_plan(extra: &[u8]) -> Option<AgreedPlan> {
    let agreed: AgreedPlan = postcard::from_bytes(extra).ok()?;
    let within_whole = |rows: &Vec<(u8, u16)>| {
        rows.iter().map(|(_, share)| u32::from(*share)).sum::<u32>() <= u32::from(WHOLE_SHARE)
    };
    agreed.plan.moves.values().all(within_whole).then_some(agreed)
}

/// Whether a row differs enough from the published one to be published.
fn differs_noticeably(old: &EvidenceRow, new: &EvidenceRow) -> bool {
    if old.commands != new.commands
        || old.represented_routers != new.represented_routers
        || old.counts.len() != new.counts.len()
        || old.completions_by_home.len() != new.completions_by_home.len()
    {
        return true;
    }
    let changed = |old: f32, new: f32| (old - new).abs() > MIN_RELATIVE_CHANGE * old.max(new) + 1.0;
    let counts_changed = |(a, b): (&(u8, ZoneCounts), &(u8, ZoneCounts))| {
        let ((a_zone, a), (b_zone, b)) = (a, b);
        let share = |counts: &ZoneCounts, part: f32| {
            if counts.attempts() > 0.0 {
                part / counts.attempts()
            } else {
                0.0
            }
        };
        a_zone != b_zone
            || (a.listed, a.usable) != (b.listed, b.usable)
            || changed(a.in_target + a.late, b.in_target + b.late)
            || changed(a.attempts(), b.attempts())
            || (share(a, a.failed()) - share(b, b.failed())).abs() > 0.1
            || (share(a, a.full) - share(b, b.full)).abs() > 0.1
            || (share(a, a.in_target) - share(b, b.in_target)).abs() > 0.1
            || (a.load - b.load).abs() > 0.1
    };
    let homes_changed = |(a, b): (&(u8, f32), &(u8, f32))| a.0 != b.0 || changed(a.1, b.1);
    old.counts.iter().zip(&new.counts).any(counts_changed)
        || old.completions_by_home.iter().zip(&new.completions_by_home).any(homes_changed)
}

/// Parses the name of a command as operators write it.
impl std::str::FromStr for OperatorCommand {
    type Err = String;

    fn from_str(text: &str) -> Result<OperatorCommand, String> {
        match text {
            "hold" => Ok(OperatorCommand::Hold),
            "drain-zone" => Ok(OperatorCommand::Drain),
            "return" => Ok(OperatorCommand::Return),
            other => Err(format!("'{other:.32}' is none of hold, drain-zone, return")),
        }
    }
}
