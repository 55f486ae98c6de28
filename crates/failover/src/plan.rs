//! Share of each zone's sessions that has its home in another zone. A session moves when its hash is below
//! a threshold that grows with the share, so that every router moves the same sessions, a larger share only
//! moves further ones, and sessions return in the reverse order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::verdict::Verdict;
use crate::{Topology, Zone};

/// Share that stands for all sessions of a zone.
pub const WHOLE_SHARE: u16 = 10_000;

/// Moves by origin zone: target zones and shares, in the order in which the sessions moved.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Increases with every change of the moves; 0 if no session ever moved.
    pub number: u64,
    pub moves: BTreeMap<u8, Vec<(u8, u16)>>,
}

/// Limits on a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanLimits {
    /// Dispatches per second of the sessions that have their origin in each zone.
    pub demand: Vec<f64>,
    /// Dispatches per second that each zone can answer.
    pub capacity: Vec<f64>,
    /// Share of a zone's capacity beyond its own demand that is never given to sessions of other zones.
    pub reserve: f64,
    /// Largest share of a zone's sessions that one plan may move away.
    pub max_step_out: f64,
    /// Largest share of a zone's sessions that one plan may bring back.
    pub max_step_back: f64,
}

/// An operator's command on a zone; overrides the verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// The moves of the zone stay as they are.
    Hold,
    /// Its sessions move away, as far as other zones have spare capacity.
    Drain,
    /// Its sessions come back.
    Return,
}

/// Recent departures and returns of zones, by which later returns are slowed down.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FlapHistory {
    /// How often sessions of each zone moved away again while they were returning.
    pub flaps: BTreeMap<u8, u32>,
    /// Zones whose sessions are returning.
    pub returning: BTreeMap<u8, bool>,
}

/// Share of an impaired zone's sessions that stays, so that its condition remains observable; also the
/// smallest change to the moves of an impaired zone.
const MIN_REMAINING_SHARE: f64 = 0.1;
/// Factor on the largest step back for each flap, and the lowest product of these factors.
const RETURN_FACTOR_PER_FLAP: f64 = 0.5;
const MIN_RETURN_FACTOR: f64 = 1.0 / 32.0;

/// All inputs of one step from a plan to the next.
struct StepInput<'a> {
    before: &'a Plan,
    topology: &'a Topology,
    verdicts: &'a [Verdict],
    limits: &'a PlanLimits,
    commands: &'a BTreeMap<u8, OperatorCommand>,
}

impl Plan {
    /// Share of a zone's sessions that moved, out of [`WHOLE_SHARE`].
    pub fn moved(&self, from: Zone) -> u16 {
        self.moves.get(&from.0).map_or(0, |rows| rows.iter().map(|(_, share)| *share).sum())
    }

    /// The home of a session by its origin zone and its hash.
    pub fn home(&self, from: Zone, hash: u64) -> Zone {
        // Uses the upper bits: the lower ones rank workers.
        let mut position = ((u128::from(hash) * u128::from(WHOLE_SHARE)) >> 64) as u16;
        for (to, share) in self.moves.get(&from.0).into_iter().flatten() {
            if position < *share {
                return Zone(*to);
            }
            position -= share;
        }
        from
    }

    /// Share of a zone's sessions that has its home in another zone, from 0 to 1.
    pub fn share(&self, from: Zone, to: Zone) -> f64 {
        let rows = self.moves.get(&from.0).into_iter().flatten().filter(|(zone, _)| *zone == to.0);
        rows.map(|(_, share)| f64::from(*share)).sum::<f64>() / f64::from(WHOLE_SHARE)
    }

    /// Dispatches per second that a zone receives from the sessions of other zones.
    pub fn received_per_s(&self, to: Zone, demand: &[f64]) -> f64 {
        let of =
            |from: &u8| self.share(Zone(*from), to) * demand.get(usize::from(*from)).copied().unwrap_or(0.0);
        self.moves.keys().map(of).sum()
    }

    /// The next plan. Depends on its arguments alone, so that every router computes the same one from the
    /// same plan, verdicts, limits and commands.
    pub fn next(
        &self,
        topology: &Topology,
        verdicts: &[Verdict],
        limits: &PlanLimits,
        commands: &BTreeMap<u8, OperatorCommand>,
        history: &mut FlapHistory,
    ) -> Plan {
        let input = StepInput { before: self, topology, verdicts, limits, commands };
        let mut plan = Plan { number: self.number.saturating_add(1), moves: self.moves.clone() };
        for zone in topology.zones() {
            let verdict = verdicts.get(usize::from(zone.0)).unwrap_or(&Verdict::Unknown);
            let wanted = match (commands.get(&zone.0), verdict) {
                (Some(OperatorCommand::Hold), _) => continue,
                (Some(OperatorCommand::Drain), _) => 1.0,
                (Some(OperatorCommand::Return), _) => 0.0,
                (None, Verdict::Lost) => 1.0,
                (None, Verdict::Impaired(share)) => (1.0 - share).min(1.0 - MIN_REMAINING_SHARE),
                // Homes stay: overflow goes elsewhere completion by completion, as without a plan.
                (None, Verdict::Healthy | Verdict::Full) => 0.0,
                // Without evidence, or with a cut path, existing moves stay as they are.
                (None, Verdict::CutPath(_) | Verdict::Unknown) => continue,
            };
            let now = f64::from(plan.moved(zone)) / f64::from(WHOLE_SHARE);
            let impaired = matches!(verdict, Verdict::Impaired(_)) && !commands.contains_key(&zone.0);
            // The share that an impaired zone can handle fluctuates: more sessions move away only in steps
            // of a minimum size, and none return before the zone is healthy.
            if impaired && wanted < now + MIN_REMAINING_SHARE {
                continue;
            }
            if wanted > now {
                if history.returning.insert(zone.0, false) == Some(true) {
                    let flaps = history.flaps.entry(zone.0).or_default();
                    *flaps = flaps.saturating_add(1);
                }
                let step = (wanted - now).min(limits.max_step_out);
                plan.move_out(&input, zone, step);
            } else if wanted < now {
                history.returning.insert(zone.0, true);
                let flaps = history.flaps.get(&zone.0).copied().unwrap_or(0);
                let factor = RETURN_FACTOR_PER_FLAP.powi(flaps.min(30) as i32).max(MIN_RETURN_FACTOR);
                plan.move_back(zone, (now - wanted).min(limits.max_step_back * factor));
            } else if now == 0.0 {
                history.returning.remove(&zone.0);
            }
        }
        plan.relieve_overload(&input);
        if plan.moves == self.moves {
            plan.number = self.number;
        }
        plan
    }

    /// Dispatches per second that a zone can still take from other zones. Allocations with successive
    /// numbers are in force side by side for up to a lease, so each origin zone counts with the larger of
    /// its shares in this plan and in the previous one.
    fn spare_per_s(&self, input: &StepInput, to: Zone) -> f64 {
        let index = usize::from(to.0);
        let accepts = input.verdicts.get(index) == Some(&Verdict::Healthy)
            && input.commands.get(&to.0) != Some(&OperatorCommand::Drain);
        let of = |values: &[f64]| values.get(index).copied().unwrap_or(0.0);
        // A zone whose own sessions are away or returning takes no sessions of others.
        if !accepts || self.moved(to) > 0 {
            return 0.0;
        }
        let limits = input.limits;
        let free = (of(&limits.capacity) - of(&limits.demand)).max(0.0) * (1.0 - limits.reserve);
        let received = |(from, demand): (usize, &f64)| {
            let from = Zone(from as u8);
            self.share(from, to).max(input.before.share(from, to)) * demand
        };
        (free - limits.demand.iter().enumerate().map(received).sum::<f64>()).max(0.0)
    }

    /// Moves a further share of a zone's sessions, as far as other zones have spare capacity. The rest
    /// stays and is rejected in its own zone.
    fn move_out(&mut self, input: &StepInput, from: Zone, share: f64) {
        let demand = input.limits.demand.get(usize::from(from.0)).copied().unwrap_or(0.0).max(1e-9);
        let mut left = (share * f64::from(WHOLE_SHARE)).round() as u16;
        for to in input.topology.failover_order(from) {
            if left == 0 {
                return;
            }
            let spare_share = self.spare_per_s(input, to) / demand * f64::from(WHOLE_SHARE);
            let takes = left.min(spare_share.floor().min(f64::from(WHOLE_SHARE)) as u16);
            if takes == 0 {
                continue;
            }
            left -= takes;
            let rows = self.moves.entry(from.0).or_default();
            match rows.last_mut() {
                Some((last, share)) if *last == to.0 => *share += takes,
                _ => rows.push((to.0, takes)),
            }
        }
    }

    /// Moves sessions back from zones that turn out to handle less than they were given, or whose own
    /// demand grew: the sessions that moved there last return to their previous home, and those that fit
    /// nowhere are rejected in their own zone. Capacity is measured while a zone fills up, so the first
    /// estimate can be far off; without this correction a loss would spread to the healthy zones.
    fn relieve_overload(&mut self, input: &StepInput) {
        let limits = input.limits;
        for to in input.topology.zones() {
            let index = usize::from(to.0);
            let of = |values: &[f64]| values.get(index).copied().unwrap_or(0.0);
            let full = matches!(
                input.verdicts.get(index),
                Some(Verdict::Full | Verdict::Impaired(_) | Verdict::Lost)
            );
            let measured = of(&limits.capacity) > 0.0;
            let free = if full { 0.0 } else { (of(&limits.capacity) - of(&limits.demand)).max(0.0) };
            let received = self.received_per_s(to, &limits.demand);
            if received <= free || !(measured || full) {
                continue;
            }
            let mut excess = received - free * (1.0 - limits.reserve);
            for from in input.topology.zones() {
                let demand = limits.demand.get(usize::from(from.0)).copied().unwrap_or(0.0).max(1e-9);
                // Only the last entry can shrink: sessions move in the order of their hashes.
                let last = self.moves.get(&from.0).and_then(|rows| rows.last()).copied();
                if let Some((_, moved)) = last.filter(|(last, _)| *last == to.0 && excess > 0.0) {
                    let share = (excess / demand)
                        .min(limits.max_step_out)
                        .min(f64::from(moved) / f64::from(WHOLE_SHARE));
                    self.move_back(from, share);
                    excess -= share * demand;
                }
            }
        }
    }

    /// Brings back a share of a zone's sessions, those that moved last first.
    fn move_back(&mut self, from: Zone, share: f64) {
        let Some(rows) = self.moves.get_mut(&from.0) else { return };
        let mut left = (share * f64::from(WHOLE_SHARE)).ceil() as u16;
        while let Some((_, moved)) = rows.last_mut().filter(|_| left > 0) {
            let returns = left.min(*moved);
            *moved -= returns;
            left -= returns;
            if *moved == 0 {
                rows.pop();
            }
        }
        if rows.is_empty() {
            self.moves.remove(&from.0);
        }
    }
}
