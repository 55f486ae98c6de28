//! Which workers may be used at all, and the order in which hashes put them.

use super::roster::{Scope, Slot};
use super::*;

/// A worker's place in the order for a key: by hash, and by weight where weights act and differ. The least
/// is first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place(u128);

impl Place {
    /// The place of a worker in the order for a key, by hash alone or by weight too.
    pub fn of(slot: &Slot, key: u64, weighted: bool) -> Place {
        let rank = slot.name_hash.rank(key);
        let drawn = || ((rank as f64 + 0.5) / u64::MAX as f64).min(1.0 - f64::EPSILON);
        // Never above 0, and the greatest is first: the bits of such a number grow with its distance from 0.
        let pull = if weighted { (drawn().ln() / slot.weight).to_bits() } else { 0 };
        Place(u128::from(pull) << 64 | u128::from(!rank))
    }
}

/// A usable worker and its place.
pub(super) struct Ranked<'a> {
    place: Place,
    pub slot: &'a Slot,
}

impl<'a> Ranked<'a> {
    pub fn of(slot: &'a Slot, key: u64, weighted: bool) -> Ranked<'a> {
        Ranked { place: Place::of(slot, key, weighted), slot }
    }

    /// Which of two comes first.
    pub fn order(&self, other: &Ranked) -> Ordering {
        self.place.cmp(&other.place).then_with(|| self.slot.id.cmp(&other.slot.id))
    }
}

impl Control {
    /// Usable workers of some roles. Where distrust leaves none, the distrusted ones.
    pub(super) fn usable(&self, c: &Completion, scope: Scope, roles: &[Role]) -> Vec<&Slot> {
        let open = |slot: &&Slot| slot.ready && self.our_turn(slot) && self.may_run_again(c, slot);
        let mut found = Vec::new();
        for role in roles {
            found.extend(self.roster.each(*role, scope).filter(open));
        }
        if found.iter().any(|slot| self.trusted(c, slot)) {
            found.retain(|slot| self.trusted(c, slot));
        }
        found
    }

    /// Whether weights make the order of these. Weighted rendezvous: each gets its weight's share of
    /// sessions. Equal weights change nothing.
    pub(super) fn weighted(&self, found: &[&Slot]) -> bool {
        let even = || found.windows(2).all(|pair| pair[0].weight == pair[1].weight);
        self.settings.weights_act && !even()
    }

    /// Usable workers of some roles with their places in the order for a key, not yet in that order.
    pub(super) fn ranked(&self, c: &Completion, key: u64, scope: Scope, roles: &[Role]) -> Vec<Ranked<'_>> {
        let found = self.usable(c, scope, roles);
        let weighted = self.weighted(&found);
        found.into_iter().map(|slot| Ranked::of(slot, key, weighted)).collect()
    }

    /// The share of sessions that passes a worker by is its distrust.
    #[inline]
    pub(super) fn trusted(&self, c: &Completion, slot: &Slot) -> bool {
        let drawn = || (slot.name_hash.rank(!c.facts.session.0) >> 11) as f64 / (1u64 << 53) as f64;
        !slot.doubted || self.workers.get(&slot.id).is_none_or(|w| self.distrust(w) <= drawn())
    }

    pub(super) fn distrust(&self, w: &Worker) -> f64 {
        w.distrust.at(self.now_ms, self.settings.cold_ms * DISTRUST_HALVES)
    }

    /// Blame adds to distrust; a good answer takes of it.
    pub(super) fn judge(&mut self, id: &WorkerId, blame: f64, good: bool) {
        let value = self.workers.get(id).map_or(0.0, |w| (self.distrust(w) + blame).min(DISTRUST_MAX));
        let distrust = Decaying { value: value * if good { FORGIVEN } else { 1.0 }, at_ms: self.now_ms };
        self.workers.entry(id.clone()).and_modify(|w| w.distrust = distrust);
        if distrust.value != 0.0 {
            self.roster.doubt(id);
        }
    }

    /// The rule on effects: it binds each further dispatch, a read too, to where an earlier one may have run.
    #[inline]
    pub(super) fn may_run_again(&self, c: &Completion, slot: &Slot) -> bool {
        let workload = &c.workload;
        match workload.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => c.dispatches.iter().all(|d| !d.may_have_run),
            Effect::Tokened => c.dispatches.iter().filter(|d| d.may_have_run).all(|d| {
                let there = self.workers.get(&d.worker).map(|o| &o.listing);
                let same = match workload.group {
                    Group::All => true,
                    Group::Zone => there.is_some_and(|o| o.zone == slot.zone),
                    Group::Cell => there.is_some_and(|o| o.cell == slot.cell),
                };
                same && self.now_ms - d.sent_ms < workload.window_ms
            }),
        }
    }
}
