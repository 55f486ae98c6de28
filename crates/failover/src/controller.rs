//! All of failover at one router: what its own dispatches met, what it knows of operators' words, the plan in force, and
//! the next one, should this router put it to the keepers.

use std::collections::BTreeMap;

use paddleproxy::interface::{KindId, ListKind, Listing, Readiness, Role, SessionId, WorkerId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::evidence::{EvidenceRow, Matrix, ZoneCounts};
use crate::homes::Homes;
use crate::operator_commands::CommandRegister;
use crate::plan::{FlapHistory, OperatorCommand, Plan, PlanLimits, WHOLE_SHARE};
use crate::verdict::{judge, Verdict};
use crate::{Topology, Zone};

/// What a dispatch met, or a mere question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    InTarget,
    Late,
    Refused,
    TimedOut,
    Broken,
    Full,
    ProbeAnswered,
}

/// The figures by which a desk goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    pub topology: Topology,
    pub own_zone: Zone,
    pub router_index: u16,
    /// Time in which what was met counts half, and that a plan in force may lag, in ms.
    pub lease_ms: f64,
    pub reserve: f64,
    pub max_step_out: f64,
    pub max_step_back: f64,
    pub weights_act: bool,
    /// To compare with: each router by its own evidence; by operators' words alone.
    pub own_evidence_only: bool,
    pub commands_only: bool,
    /// Kinds at which sessions have their homes.
    pub roles: Vec<Role>,
}

/// What the page carries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgreedPlan {
    pub plan: Plan,
    pub history: FlapHistory,
}

/// Leases for which a zone has to be well without a break before its sessions come back; doubles with each flap, up to
/// so many times. Guards against moving with a zone that comes and goes. Harm: sessions stay away longer.
const STEADY: f64 = 4.0;
const STEADY_MOST: f64 = 32.0;
/// Leases after which one that came back and stayed well counts as one that never went.
const FORGIVEN: f64 = 64.0;
/// Leases after which a row is told anew though it says nearly the same.
const TOLD_ANEW: f64 = 10.0;
/// Change of a count, as a part of it, that is worth telling.
const WORTH: f32 = 0.3;
/// Least share of its room at which a zone's capacity is reckoned from its load: below, reports are noise.
const LOAD_LEAST: f64 = 0.05;

#[derive(Clone, Copy, Debug)]
struct Load {
    zone: Zone,
    role: Role,
    share: f32,
    at_ms: f64,
}

/// Lives as long as the router.
pub struct FailoverController {
    rules: Rules,
    now_ms: f64,
    seen: BTreeMap<Zone, ZoneCounts>,
    asked: BTreeMap<Zone, f32>,
    faded_ms: f64,
    loads: BTreeMap<WorkerId, Load>,
    zones: BTreeMap<WorkerId, (Zone, Role, bool)>,
    homes: Homes,
    pub commands: CommandRegister,
    said: (EvidenceRow, f64),
    /// In force here: none without a lease.
    agreed: Option<AgreedPlan>,
    /// Number of the page that it came with.
    forced: Option<u64>,
    /// As proposer: since when each zone is well without a break.
    well: BTreeMap<Zone, f64>,
    /// What was last made of all rows, for operators.
    pub last_assessment: Assessment,
    /// Completions that had their home moved, and all, since the start.
    pub moved_total: u64,
    pub completions_total: u64,
}

/// What all rows came to.
#[derive(Clone, Debug, Default)]
pub struct Assessment {
    pub verdicts: Vec<Verdict>,
    pub demand: Vec<f64>,
    pub capacity: Vec<f64>,
    pub matrix: Matrix,
    pub reporting_zones: Vec<Zone>,
}

impl FailoverController {
    pub fn new(now_ms: f64, rules: Rules) -> Self {
        let homes = Homes::new(rules.weights_act);
        FailoverController {
            homes,
            now_ms,
            seen: BTreeMap::new(),
            asked: BTreeMap::new(),
            faded_ms: now_ms,
            loads: BTreeMap::new(),
            zones: BTreeMap::new(),
            commands: CommandRegister::default(),
            said: (EvidenceRow::default(), f64::NEG_INFINITY),
            agreed: None,
            forced: None,
            well: BTreeMap::new(),
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

    fn fade(&mut self, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
        let by = 0.5f64.powf((self.now_ms - self.faded_ms) / self.rules.lease_ms.max(1.0)) as f32;
        self.faded_ms = self.now_ms;
        self.seen.values_mut().for_each(|seen| seen.scale(by));
        self.asked.values_mut().for_each(|count| *count *= by);
    }

    /// The list, as the decisions are told of it.
    pub fn apply_list(&mut self, kind: ListKind, rows: &[Listing]) {
        let roles = self.rules.roles.clone();
        let role = |kind: KindId| roles.get(kind.0).copied();
        self.homes.apply_list(kind, rows, |kind| role(kind) == Some(Role::Mixed));
        if kind != ListKind::Changes && kind != ListKind::Failed {
            self.zones.clear();
        }
        for row in rows {
            let Some(role) = role(row.kind) else { continue };
            if row.readiness == Readiness::Gone {
                self.zones.remove(&row.worker);
            } else {
                let usable = row.readiness == Readiness::Ready;
                self.zones.insert(row.worker.clone(), (Zone(row.zone.0 as u8), role, usable));
            }
        }
        let zones = &self.zones;
        self.loads.retain(|worker, _| zones.contains_key(worker));
    }

    /// What a dispatch of ours met at a server, or a mere question.
    pub fn record_outcome(&mut self, now_ms: f64, worker: &WorkerId, met: DispatchOutcome) {
        let Some((zone, ..)) = self.zones.get(worker).copied() else { return };
        self.fade(now_ms);
        let seen = self.seen.entry(zone).or_default();
        let count = match met {
            DispatchOutcome::InTarget => &mut seen.in_target,
            DispatchOutcome::Late => &mut seen.late,
            DispatchOutcome::Refused => &mut seen.refused,
            DispatchOutcome::TimedOut => &mut seen.timed_out,
            DispatchOutcome::Broken => &mut seen.broken,
            DispatchOutcome::Full => &mut seen.full,
            DispatchOutcome::ProbeAnswered => &mut seen.probe_answers,
        };
        *count += 1.0;
    }

    /// What a server said of its room: the share in use, above 1 where some wait.
    pub fn record_load(&mut self, now_ms: f64, worker: &WorkerId, share: f64) {
        let Some((zone, role, _)) = self.zones.get(worker).copied() else { return };
        let load = Load { zone, role, share: share.clamp(0.0, 2.0) as f32, at_ms: now_ms };
        self.loads.insert(worker.clone(), load);
    }

    /// The zone of a session's home while no plan is in force.
    pub fn origin(&self, session: SessionId) -> Option<Zone> {
        self.homes.origin(session)
    }

    /// The zone that a session's home moved to, where it did; a plan of which no lease holds moves nobody.
    pub fn moved_home(&mut self, now_ms: f64, session: SessionId) -> Option<ZoneId> {
        let origin = self.homes.origin(session)?;
        self.fade(now_ms);
        *self.asked.entry(origin).or_default() += 1.0;
        self.completions_total += 1;
        let home = self.agreed.as_ref()?.plan.home(origin, hash(session));
        self.moved_total += u64::from(home != origin);
        (home != origin).then_some(ZoneId(usize::from(home.0)))
    }

    /// Servers to ask whether they are there: one of each zone whose sessions are away, since no dispatch would tell when
    /// it is back, and of each that somebody finds dead, since those who pass it by see nothing more of it.
    pub fn probe_targets(&self, turn: u64) -> Vec<WorkerId> {
        let plan = self.agreed.as_ref().map(|agreed| &agreed.plan);
        let away = |zone: &Zone| {
            plan.is_some_and(|plan| plan.moved(*zone) > 0)
                || self.last_assessment.matrix.unreachable_from_any(*zone)
        };
        let pick = |zone: Zone| {
            let all: Vec<_> = self.zones.iter().filter(|(_, row)| row.0 == zone).map(|(id, _)| id).collect();
            all.get(turn as usize % all.len().max(1)).map(|id| (*id).clone())
        };
        self.rules.topology.zones().filter(away).filter_map(pick).collect()
    }

    fn load(&self, zone: Zone) -> f32 {
        // Of the role that has least left; reports older than some leases say nothing.
        let late_ms = self.now_ms - 4.0 * self.rules.lease_ms;
        let of = |role: Role| {
            let all = self.loads.values().filter(|l| l.zone == zone && l.role == role && l.at_ms >= late_ms);
            let (sum, count) = all.fold((0.0, 0.0), |(sum, count), load| (sum + load.share, count + 1.0));
            if count > 0.0 {
                sum / count
            } else {
                0.0
            }
        };
        [Role::Reader, Role::Writer, Role::Mixed].into_iter().map(of).fold(0.0, f32::max)
    }

    /// The own row as it is now; the one told before as long as that says nearly the same. `times`: routers that it
    /// stands for; none where others of its zone tell, and it passes operators' words on alone.
    pub fn own_row(&mut self, now_ms: f64, times: Option<f32>) -> EvidenceRow {
        self.fade(now_ms);
        let Some(times) = times else {
            let words = self.commands.active(self.now_ms).map(|(saying, _)| saying).collect();
            return EvidenceRow { from: self.rules.own_zone.0, commands: words, ..EvidenceRow::default() };
        };
        let count = |zone: Zone, usable: bool| {
            let all = self.zones.values().filter(|row| row.0 == zone && (row.2 || !usable)).count();
            all.min(usize::from(u16::MAX)) as u16
        };
        let seen = self.rules.topology.zones().filter_map(|zone| {
            let seen = self.seen.get(&zone).copied().unwrap_or_default();
            let (listed, usable, load) = (count(zone, false), count(zone, true), self.load(zone));
            (listed > 0 || self.homes.knows_zone(zone))
                .then_some((zone.0, ZoneCounts { listed, usable, load, ..seen }))
        });
        let seen: Vec<_> = seen.collect();
        let homes = self.asked.iter().map(|(zone, count)| (zone.0, (4.0 * count).round() / 4.0)).collect();
        let words = self.commands.active(self.now_ms).map(|(saying, _)| saying).collect();
        let row = EvidenceRow {
            from: self.rules.own_zone.0,
            represented_routers: times,
            counts: seen,
            completions_by_home: homes,
            commands: words,
        };
        let (said, at_ms) = &self.said;
        if differs(said, &row) || now_ms >= at_ms + TOLD_ANEW * self.rules.lease_ms {
            self.said = (row, now_ms);
        }
        self.said.0.clone()
    }

    /// Takes in words that fellows know of; whether there was news.
    pub fn merge_commands<'a>(
        &mut self,
        now_ms: f64,
        rows: impl IntoIterator<Item = &'a EvidenceRow>,
    ) -> bool {
        let mut news = false;
        for saying in rows.into_iter().flat_map(|row| &row.commands) {
            news |= self.commands.merge(now_ms, *saying, f64::from(saying.for_ms));
        }
        news
    }

    /// The plan that is in force here: what the page of that number carries while a lease holds, else none. Bytes that
    /// are none are no plan. Whether it is another than before.
    pub fn apply_allocation(&mut self, page: Option<(u64, &[u8])>) -> bool {
        let number = page.map(|(number, _)| number);
        if number == self.forced {
            return false;
        }
        let before = self.agreed.take();
        self.forced = number;
        self.agreed = page.and_then(|(_, extra)| read(extra));
        let moves = |agreed: &Option<AgreedPlan>| {
            agreed.as_ref().map(|agreed| agreed.plan.moves.clone()).unwrap_or_default()
        };
        moves(&before) != moves(&self.agreed)
    }

    /// The own plan of one that decides alone, as bytes, and the next one in its place.
    pub fn own_plan(&self) -> Vec<u8> {
        self.agreed.as_ref().and_then(|agreed| postcard::to_stdvec(agreed).ok()).unwrap_or_default()
    }

    pub fn apply_own_plan(&mut self, extra: &[u8]) {
        self.agreed = read(extra);
    }

    /// Number of the page that the plan in force came with.
    pub fn allocation_number(&self) -> Option<u64> {
        self.forced
    }

    /// What the page after one that carries `before` is to carry: the same rows, verdicts and words give the same
    /// plan. `rows`: of all who are heard, this router's own among them; `speaking`: zones that some of them are in.
    pub fn propose(
        &mut self,
        now_ms: f64,
        before: &[u8],
        rows: &[EvidenceRow],
        speaking: &[Zone],
    ) -> Vec<u8> {
        self.fade(now_ms);
        let before = read(before).unwrap_or_default();
        let map = self.rules.topology.clone();
        let matrix = Matrix::from_rows(rows);
        let mut verdicts = judge(&map, &matrix, speaking);
        if self.rules.commands_only {
            // Who sees the true state needs no evidence: all is well but where a word says otherwise.
            verdicts.fill(Verdict::Healthy);
        }
        // Counts that halve in a lease hold what came in 1.44 of them.
        let per_s = std::f64::consts::LN_2 / self.rules.lease_ms.max(1.0) * 1e3;
        let demand: Vec<f64> = map
            .zones()
            .map(|zone| matrix.completions_by_home.get(&zone).copied().unwrap_or(0.0) * per_s)
            .collect();
        let capacity: Vec<f64> = map.zones().map(|zone| capacity(&matrix, zone, per_s)).collect();
        let bounds = PlanLimits {
            demand: demand.clone(),
            capacity: capacity.clone(),
            reserve: self.rules.reserve,
            max_step_out: self.rules.max_step_out,
            max_step_back: self.rules.max_step_back,
        };
        let AgreedPlan { plan, history: mut hands } = before;
        let patient = self.patient(&plan, &mut hands, &verdicts);
        let words = self.commands.commands(self.now_ms);
        let plan = plan.next(&map, &patient, &bounds, &words, &mut hands);
        self.last_assessment =
            Assessment { verdicts, demand, capacity, matrix, reporting_zones: speaking.to_vec() };
        if plan.number == 0 {
            // Nothing ever moved: pages stay as they are without failover.
            return Vec::new();
        }
        postcard::to_stdvec(&AgreedPlan { plan, history: hands }).unwrap_or_default()
    }

    /// A zone whose sessions are away and that is well counts as unknown until it was well for long enough.
    fn patient(&mut self, plan: &Plan, hands: &mut FlapHistory, verdicts: &[Verdict]) -> Vec<Verdict> {
        let (now_ms, lease_ms) = (self.now_ms, self.rules.lease_ms);
        let one = |(zone, verdict): (Zone, &Verdict)| {
            if *verdict != Verdict::Healthy {
                self.well.remove(&zone);
                return verdict.clone();
            }
            let since_ms = *self.well.entry(zone).or_insert(now_ms);
            let flaps = hands.flaps.get(&zone.0).copied().unwrap_or(0);
            let wait = STEADY * 2f64.powi(flaps.min(30) as i32).min(STEADY_MOST / STEADY);
            if plan.moved(zone) > 0 && now_ms < since_ms + wait * lease_ms {
                return Verdict::Unknown;
            }
            if plan.moved(zone) == 0 && now_ms >= since_ms + FORGIVEN * lease_ms {
                hands.flaps.remove(&zone.0);
            }
            Verdict::Healthy
        };
        self.rules.topology.zones().zip(verdicts).map(one).collect()
    }
}

/// Dispatches a second that a zone could answer, by what it does at the load that its servers tell of; 0 where none
/// tell: what was not measured takes nothing.
fn capacity(matrix: &Matrix, zone: Zone, per_s: f64) -> f64 {
    let load = matrix.loads.get(&zone).copied().unwrap_or(0.0);
    if load > 0.0 {
        matrix.answered_dispatches(zone) * per_s / load.max(LOAD_LEAST)
    } else {
        0.0
    }
}

/// The upper bits pick who moves; mixed, since a session's own bits rank servers.
fn hash(session: SessionId) -> u64 {
    let mixed = (session.0 ^ (session.0 >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93)
}

fn read(extra: &[u8]) -> Option<AgreedPlan> {
    let agreed: AgreedPlan = postcard::from_bytes(extra).ok()?;
    let whole = |rows: &Vec<(u8, u16)>| {
        rows.iter().map(|(_, share)| u32::from(*share)).sum::<u32>() <= u32::from(WHOLE_SHARE)
    };
    agreed.plan.moves.values().all(whole).then_some(agreed)
}

/// Whether a row says another thing than the one that was told.
fn differs(old: &EvidenceRow, new: &EvidenceRow) -> bool {
    if old.commands != new.commands
        || old.represented_routers != new.represented_routers
        || old.counts.len() != new.counts.len()
        || old.completions_by_home.len() != new.completions_by_home.len()
    {
        return true;
    }
    let far = |old: f32, new: f32| (old - new).abs() > WORTH * old.max(new) + 1.0;
    let seen = |(a, b): (&(u8, ZoneCounts), &(u8, ZoneCounts))| {
        let ((a_zone, a), (b_zone, b)) = (a, b);
        let share =
            |seen: &ZoneCounts, part: f32| if seen.attempts() > 0.0 { part / seen.attempts() } else { 0.0 };
        a_zone != b_zone
            || (a.listed, a.usable) != (b.listed, b.usable)
            || far(a.in_target + a.late, b.in_target + b.late)
            || far(a.attempts(), b.attempts())
            || (share(a, a.failed()) - share(b, b.failed())).abs() > 0.1
            || (share(a, a.full) - share(b, b.full)).abs() > 0.1
            || (share(a, a.in_target) - share(b, b.in_target)).abs() > 0.1
            || (a.load - b.load).abs() > 0.1
    };
    let homes = |(a, b): (&(u8, f32), &(u8, f32))| a.0 != b.0 || far(a.1, b.1);
    old.counts.iter().zip(&new.counts).any(seen)
        || old.completions_by_home.iter().zip(&new.completions_by_home).any(homes)
}

/// An operator's word as it is said.
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
