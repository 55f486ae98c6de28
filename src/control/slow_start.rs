//! Slow start: how much all routers together may send to a worker that has just started.

use super::roster::{Scope, Slot, ROLES};
use super::*;

impl Control {
    /// Whether this router may now send to a worker in slow start. In a rotation by router index, the routers
    /// together send what the worker can do at its age, relative to the mean of the warm workers of its kind
    /// (of all warm workers where its kind has none). As many routers have their turn at once as cannot
    /// exceed that together. Guards against overloading a new worker. Cost: its sessions go to other workers
    /// meanwhile.
    #[inline]
    pub(super) fn slow_start_allows(&self, slot: &Slot) -> bool {
        let s = &self.settings;
        let Some(share) = self.slow_start_capacity(slot.started_ms) else { return true };
        let sent = self.workers.get(&slot.id).map_or(0.0, |w| w.sent.at(self.now_ms, s.fall_ms));
        let routers = s.routers.max(1);
        let turn = (self.now_ms / s.fall_ms.max(1.0)) as usize;
        let mean = self.mean_sent_by_kind(slot.kind);
        let allowed = share * OVERLOAD_BUDGET_SHARE * s.fall_multiple;
        let budget = mean * allowed * routers as f64;
        // Agreed shares replace the rotation by the clock: routers without a share send nothing.
        if let Some(part) = s.slow_start_share {
            return part > 0.0 && sent + 1.0 <= (budget * part).max(1.0);
        }
        // A router that sends less than one dispatch per turn cannot exceed its share by BURST_FACTOR.
        // Without probes, though, a shared prefix or completions that other workers rejected can direct more
        // to this worker unnoticed. The square of `safe_budget_root` leaves room for the random variation of
        // a small total, three standard deviations, below the overload limit.
        let burst =
            if s.probes_allowed { (BURST_FACTOR * mean).clamp(1.0, BURST_FACTOR) } else { BURST_FACTOR };
        let safe_budget_root = ((9.0 + 4.0 * budget / OVERLOAD_BUDGET_SHARE).sqrt() - 3.0) / 2.0;
        let routers_at_once = (budget.min(safe_budget_root * safe_budget_root) / (mean * burst).max(1e-9))
            .clamp(1.0, routers as f64)
            .floor();
        (turn * routers_at_once as usize + s.own_number) % routers < routers_at_once as usize
            && sent + 1.0 <= (budget / routers_at_once).max(1.0)
    }

    /// Mean number of recent dispatches to the warm workers of a kind, or to all where the kind has no warm
    /// ones.
    fn mean_sent_by_kind(&self, kind: KindId) -> f64 {
        let known = self.plan_figures.warm_mean_sent.borrow().get(&kind).copied();
        known.unwrap_or_else(|| {
            let mean = self.compute_mean_sent(kind);
            self.plan_figures.warm_mean_sent.borrow_mut().insert(kind, mean);
            mean
        })
    }

    fn compute_mean_sent(&self, kind: KindId) -> f64 {
        let warm = |slot: &&Slot| slot.ready && self.slow_start_capacity(slot.started_ms).is_none();
        let sent = |slot: &Slot| {
            let worker = self.workers.get(&slot.id);
            worker.map_or(0.0, |w| w.sent.at(self.now_ms, self.settings.fall_ms))
        };
        let slots = ROLES.into_iter().flat_map(|role| self.roster.each(role, Scope::All));
        let same: Vec<_> = slots.filter(|slot| slot.kind == kind).filter(warm).map(sent).collect();
        let sent = match same.is_empty() {
            false => same,
            true => self.roster.all().into_iter().filter(warm).map(sent).collect(),
        };
        sent.iter().sum::<f64>() / sent.len().max(1) as f64
    }

    /// The share of its capacity that a worker in slow start certainly has by now; `None` for a warm worker.
    pub(super) fn slow_start_capacity(&self, started_ms: Option<f64>) -> Option<f64> {
        let s = &self.settings;
        let age = (self.now_ms - started_ms?) / s.cold_ms.max(1.0);
        (age < 1.0).then(|| s.cold_share + (1.0 - s.cold_share) * age.max(0.0) * WARMUP_TRUST)
    }
}
