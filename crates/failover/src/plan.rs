//! Which share of a zone's sessions has its home where. A session moves by its hash under a threshold that grows, so
//! every router moves the same ones; a larger share moves further ones; coming back undoes it in the same order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::verdict::Verdict;
use crate::{Topology, Zone};

/// What all sessions of a zone add up to.
pub const WHOLE_SHARE: u16 = 10_000;

/// For each zone that some sessions moved from: where to, in the order in which they moved.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    pub number: u64,
    pub moves: BTreeMap<u8, Vec<(u8, u16)>>,
}

/// What may be asked of zones: dispatches a second that their sessions ask for at home, and that they can take.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanLimits {
    pub demand: Vec<f64>,
    pub capacity: Vec<f64>,
    /// Part of a zone's room beyond its own demand that is never given to others.
    pub reserve: f64,
    /// Most that one plan may move away of a zone's sessions, and may bring back, as shares.
    pub max_step_out: f64,
    pub max_step_back: f64,
}

/// An operator's word on a zone; it wins over what was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// Its plan stays as it is.
    Hold,
    /// Its sessions move away, as far as there is room.
    Drain,
    /// Its sessions come back.
    Return,
}

/// What a zone's coming and going was like of late, so that hands grow calmer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FlapHistory {
    /// Times that each zone went out again while it was coming back.
    pub flaps: BTreeMap<u8, u32>,
    /// Zones that come back.
    pub returning: BTreeMap<u8, bool>,
}

/// Share of an impaired zone's sessions that stays, so that it is seen how it fares; and the least change.
const STAYS: f64 = 0.1;
/// How much slower each flap makes the next return, and the slowest.
const CALMER: f64 = 0.5;
const CALMEST: f64 = 1.0 / 32.0;

/// All that one step of a plan goes by.
struct Case<'a> {
    before: &'a Plan,
    map: &'a Topology,
    verdicts: &'a [Verdict],
    bounds: &'a PlanLimits,
    words: &'a BTreeMap<u8, OperatorCommand>,
}

impl Plan {
    /// Share of a zone's sessions that moved.
    pub fn moved(&self, from: Zone) -> u16 {
        self.moves.get(&from.0).map_or(0, |rows| rows.iter().map(|(_, share)| *share).sum())
    }

    /// Where a session of a zone has its home, by its hash.
    pub fn home(&self, from: Zone, hash: u64) -> Zone {
        // The upper bits: the lower ones rank servers.
        let mut at = ((u128::from(hash) * u128::from(WHOLE_SHARE)) >> 64) as u16;
        for (to, share) in self.moves.get(&from.0).into_iter().flatten() {
            if at < *share {
                return Zone(*to);
            }
            at -= share;
        }
        from
    }

    /// Share of a zone's sessions that has its home in another.
    pub fn share(&self, from: Zone, to: Zone) -> f64 {
        let rows = self.moves.get(&from.0).into_iter().flatten().filter(|(zone, _)| *zone == to.0);
        rows.map(|(_, share)| f64::from(*share)).sum::<f64>() / f64::from(WHOLE_SHARE)
    }

    /// What a zone is given by others, in dispatches a second.
    pub fn received_per_s(&self, to: Zone, demand: &[f64]) -> f64 {
        let of =
            |from: &u8| self.share(Zone(*from), to) * demand.get(usize::from(*from)).copied().unwrap_or(0.0);
        self.moves.keys().map(of).sum()
    }

    /// The next plan. The same plan, verdicts, bounds and words give the same one, wherever it is made.
    pub fn next(
        &self,
        map: &Topology,
        verdicts: &[Verdict],
        bounds: &PlanLimits,
        words: &BTreeMap<u8, OperatorCommand>,
        hands: &mut FlapHistory,
    ) -> Plan {
        let case = Case { before: self, map, verdicts, bounds, words };
        let mut plan = Plan { number: self.number.saturating_add(1), moves: self.moves.clone() };
        for zone in map.zones() {
            let verdict = verdicts.get(usize::from(zone.0)).unwrap_or(&Verdict::Unknown);
            let wanted = match (words.get(&zone.0), verdict) {
                (Some(OperatorCommand::Hold), _) => continue,
                (Some(OperatorCommand::Drain), _) => 1.0,
                (Some(OperatorCommand::Return), _) => 0.0,
                (None, Verdict::Lost) => 1.0,
                (None, Verdict::Impaired(share)) => (1.0 - share).min(1.0 - STAYS),
                // Homes stay: overflow moves completion by completion, as without a plan.
                (None, Verdict::Healthy | Verdict::Full) => 0.0,
                // Without eyes on it, or with a path that is cut, what stands stands.
                (None, Verdict::CutPath(_) | Verdict::Unknown) => continue,
            };
            let now = f64::from(plan.moved(zone)) / f64::from(WHOLE_SHARE);
            let impaired = matches!(verdict, Verdict::Impaired(_)) && !words.contains_key(&zone.0);
            // What an impaired zone still carries wavers: out by steps that are worth it, back when it is well.
            if impaired && wanted < now + STAYS {
                continue;
            }
            if wanted > now {
                if hands.returning.insert(zone.0, false) == Some(true) {
                    let flaps = hands.flaps.entry(zone.0).or_default();
                    *flaps = flaps.saturating_add(1);
                }
                let step = (wanted - now).min(bounds.max_step_out);
                plan.push(&case, zone, step);
            } else if wanted < now {
                hands.returning.insert(zone.0, true);
                let flaps = hands.flaps.get(&zone.0).copied().unwrap_or(0);
                let calm = CALMER.powi(flaps.min(30) as i32).max(CALMEST);
                plan.pop(zone, (now - wanted).min(bounds.max_step_back * calm));
            } else if now == 0.0 {
                hands.returning.remove(&zone.0);
            }
        }
        plan.relieve(&case);
        if plan.moves == self.moves {
            plan.number = self.number;
        }
        plan
    }

    /// Room that a zone has for others' sessions. Pages of neighbouring numbers are in force side by side for up to a
    /// lease, so each zone of origin counts with the larger of what it gives by this plan and by the one before.
    fn room(&self, case: &Case, to: Zone) -> f64 {
        let at = usize::from(to.0);
        let takes = case.verdicts.get(at) == Some(&Verdict::Healthy)
            && case.words.get(&to.0) != Some(&OperatorCommand::Drain);
        let of = |rows: &[f64]| rows.get(at).copied().unwrap_or(0.0);
        // A zone whose own sessions are away or coming back takes nobody else's.
        if !takes || self.moved(to) > 0 {
            return 0.0;
        }
        let bounds = case.bounds;
        let free = (of(&bounds.capacity) - of(&bounds.demand)).max(0.0) * (1.0 - bounds.reserve);
        let given = |(from, demand): (usize, &f64)| {
            let from = Zone(from as u8);
            self.share(from, to).max(case.before.share(from, to)) * demand
        };
        (free - bounds.demand.iter().enumerate().map(given).sum::<f64>()).max(0.0)
    }

    /// Moves a further share of a zone's sessions, as far as the others have room; the rest stays and is refused near.
    fn push(&mut self, case: &Case, from: Zone, share: f64) {
        let demand = case.bounds.demand.get(usize::from(from.0)).copied().unwrap_or(0.0).max(1e-9);
        let mut left = (share * f64::from(WHOLE_SHARE)).round() as u16;
        for to in case.map.failover_order(from) {
            if left == 0 {
                return;
            }
            let room = self.room(case, to) / demand * f64::from(WHOLE_SHARE);
            let takes = left.min(room.floor().min(f64::from(WHOLE_SHARE)) as u16);
            if takes == 0 {
                continue;
            }
            left -= takes;
            let rows = self.moves.entry(from.0).or_default();
            match rows.last_mut() {
                Some((last, held)) if *last == to.0 => *held += takes,
                _ => rows.push((to.0, takes)),
            }
        }
    }

    /// What a zone turns out to carry is less than was given to it, or its own sessions ask for more: those who moved there
    /// last go back to where they were, and what fits nowhere is refused near. Room is measured while it fills, so the
    /// first guess may be wrong by far; without this a loss would be passed on to those who stand.
    fn relieve(&mut self, case: &Case) {
        let bounds = case.bounds;
        for to in case.map.zones() {
            let at = usize::from(to.0);
            let of = |rows: &[f64]| rows.get(at).copied().unwrap_or(0.0);
            let full =
                matches!(case.verdicts.get(at), Some(Verdict::Full | Verdict::Impaired(_) | Verdict::Lost));
            let measured = of(&bounds.capacity) > 0.0;
            let free = if full { 0.0 } else { (of(&bounds.capacity) - of(&bounds.demand)).max(0.0) };
            let given = self.received_per_s(to, &bounds.demand);
            if given <= free || !(measured || full) {
                continue;
            }
            let mut over = given - free * (1.0 - bounds.reserve);
            for from in case.map.zones() {
                let demand = bounds.demand.get(usize::from(from.0)).copied().unwrap_or(0.0).max(1e-9);
                // Those who moved last alone: the order in which sessions moved is the order of their hashes.
                let last = self.moves.get(&from.0).and_then(|rows| rows.last()).copied();
                if let Some((_, held)) = last.filter(|(last, _)| *last == to.0 && over > 0.0) {
                    let share = (over / demand)
                        .min(bounds.max_step_out)
                        .min(f64::from(held) / f64::from(WHOLE_SHARE));
                    self.pop(from, share);
                    over -= share * demand;
                }
            }
        }
    }

    /// Brings back those who moved last.
    fn pop(&mut self, from: Zone, share: f64) {
        let Some(rows) = self.moves.get_mut(&from.0) else { return };
        let mut left = (share * f64::from(WHOLE_SHARE)).ceil() as u16;
        while let Some((_, held)) = rows.last_mut().filter(|_| left > 0) {
            let takes = left.min(*held);
            *held -= takes;
            left -= takes;
            if *held == 0 {
                rows.pop();
            }
        }
        if rows.is_empty() {
            self.moves.remove(&from.0);
        }
    }
}
