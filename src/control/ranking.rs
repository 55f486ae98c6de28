//! Which workers are usable, and their rendezvous order for a key.

use super::roster::{Scope, Slot};
use super::*;

/// A worker's sort key in the rendezvous order: by hash, and by weight where weights act and differ. The
/// least is first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RankKey(u128);

impl RankKey {
    /// The sort key of a worker for a hash key, by hash alone or weighted.
    pub fn of(slot: &Slot, key: u64, weighted: bool) -> RankKey {
        let rank = slot.name_hash.rank(key);
        let uniform = || ((rank as f64 + 0.5) / u64::MAX as f64).min(1.0 - f64::EPSILON);
        // The quotient is never positive and the greatest comes first: the bit pattern of a negative number
        // grows with its magnitude.
        let weighted_bits = if weighted { (uniform().ln() / slot.weight).to_bits() } else { 0 };
        RankKey(u128::from(weighted_bits) << 64 | u128::from(!rank))
    }
}

/// A usable worker with its sort key.
pub(super) struct Ranked<'a> {
    sort_key: RankKey,
    pub slot: &'a Slot,
}

impl<'a> Ranked<'a> {
    pub fn of(slot: &'a Slot, key: u64, weighted: bool) -> Ranked<'a> {
        Ranked { sort_key: RankKey::of(slot, key, weighted), slot }
    }

    /// Compares by sort key, then by name.
    pub fn order(&self, other: &Ranked) -> Ordering {
        self.sort_key.cmp(&other.sort_key).then_with(|| self.slot.id.cmp(&other.slot.id))
    }
}

impl Control {
    /// Usable workers of some roles: the healthy ones, or the unhealthy ones where none is healthy.
    pub(super) fn usable(&self, c: &Completion, scope: Scope, roles: &[Role]) -> Vec<&Slot> {
        let open = |slot: &&Slot| slot.ready && self.slow_start_allows(slot) && self.may_run_again(c, slot);
        let mut found = Vec::new();
        for role in roles {
            found.extend(self.roster.each(*role, scope).filter(open));
        }
        if found.iter().any(|slot| self.healthy(c, slot)) {
            found.retain(|slot| self.healthy(c, slot));
        }
        found
    }

    /// Whether weights apply to these workers. In weighted rendezvous hashing each worker gets its weight's
    /// share of the sessions. Equal weights change nothing.
    pub(super) fn weighted(&self, found: &[&Slot]) -> bool {
        let even = || found.windows(2).all(|pair| pair[0].weight == pair[1].weight);
        self.settings.weights_act && !even()
    }

    /// Usable workers of some roles with their sort keys for a hash key, not yet sorted.
    pub(super) fn ranked(&self, c: &Completion, key: u64, scope: Scope, roles: &[Role]) -> Vec<Ranked<'_>> {
        let found = self.usable(c, scope, roles);
        let weighted = self.weighted(&found);
        found.into_iter().map(|slot| Ranked::of(slot, key, weighted)).collect()
    }

    /// Whether a worker is healthy for this session: the share of sessions that avoid it is its failure
    /// score.
    #[inline]
    pub(super) fn healthy(&self, c: &Completion, slot: &Slot) -> bool {
        let uniform = || (slot.name_hash.rank(!c.arrival.session.0) >> 11) as f64 / (1u64 << 53) as f64;
        !slot.has_failures || self.workers.get(&slot.id).is_none_or(|w| self.failure_score(w) <= uniform())
    }

    pub(super) fn failure_score(&self, w: &Worker) -> f64 {
        w.failure_score.at(self.now_ms, self.settings.cold_ms * FAILURE_HALF_LIFE_SHARE)
    }

    /// Adds a penalty to a worker's failure score; a success reduces the score.
    pub(super) fn record_outcome(&mut self, id: &WorkerId, penalty: f64, success: bool) {
        let value =
            self.workers.get(id).map_or(0.0, |w| (self.failure_score(w) + penalty).min(FAILURE_SCORE_MAX));
        let failure_score =
            Decaying { value: value * if success { SUCCESS_FACTOR } else { 1.0 }, at_ms: self.now_ms };
        self.workers.entry(id.clone()).and_modify(|w| w.failure_score = failure_score);
        if failure_score.value != 0.0 {
            self.roster.mark_failing(id);
        }
    }

    /// The rule on effects: where an earlier dispatch may have run limits where any further one may go, reads
    /// included.
    #[inline]
    pub(super) fn may_run_again(&self, c: &Completion, slot: &Slot) -> bool {
        let workload = &c.workload;
        match workload.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => c.dispatches.iter().all(|d| !d.may_have_run),
            Effect::Tokened => c.dispatches.iter().filter(|d| d.may_have_run).all(|d| {
                let earlier = self.workers.get(&d.worker).map(|o| &o.listing);
                let same = match workload.group {
                    Group::All => true,
                    Group::Zone => earlier.is_some_and(|o| o.zone == slot.zone),
                    Group::Cell => earlier.is_some_and(|o| o.cell == slot.cell),
                };
                same && self.now_ms - d.sent_ms < workload.window_ms
            }),
        }
    }
}
