//! How much a worker that has just started may be sent, by all routers together.

use super::roster::{Scope, Slot, ROLES};
use super::*;

impl Control {
    /// Turns at a fresh worker: routers, by their number, send together what it can do by its age, judged by
    /// what its kind's others get, or all where those are fresh too; at once as many as can't send more.
    /// Guards against pushing over what just started. Harm: stand-ins spread its sessions.
    #[inline]
    pub(super) fn our_turn(&self, slot: &Slot) -> bool {
        let s = &self.settings;
        let Some(share) = self.fresh_share(slot.started_ms) else { return true };
        let sent = self.workers.get(&slot.id).map_or(0.0, |w| w.sent.at(self.now_ms, s.fall_ms));
        let routers = s.routers.max(1);
        let turn = (self.now_ms / s.fall_ms.max(1.0)) as usize;
        let mean = self.warm_mean(slot.kind);
        let allowed = share * FALL_SHARE * s.fall_multiple;
        let budget = mean * allowed * routers as f64;
        // Where routers agreed who holds which part, no clock decides: those with none send nothing.
        if let Some(part) = s.slow_start_share {
            return part > 0.0 && sent + 1.0 <= (budget * part).max(1.0);
        }
        // Who sends under one dispatch in a turn can't send its share four times over; but a text that
        // many share, or what others turn away, can bring one more than others, unseen where nobody is asked.
        // What few add up to by chance, three deviations, has to stay under what topples it.
        let crowd = if s.probes_allowed { (BURST * mean).clamp(1.0, BURST) } else { BURST };
        let calm = ((9.0 + 4.0 * budget / FALL_SHARE).sqrt() - 3.0) / 2.0;
        let at_once = (budget.min(calm * calm) / (mean * crowd).max(1e-9)).clamp(1.0, routers as f64).floor();
        (turn * at_once as usize + s.own_number) % routers < at_once as usize
            && sent + 1.0 <= (budget / at_once).max(1.0)
    }

    /// What the warm workers of a kind were sent of late in the mean, or all where the kind has no warm ones.
    fn warm_mean(&self, kind: KindId) -> f64 {
        let known = self.of_plan.warm_means.borrow().get(&kind).copied();
        known.unwrap_or_else(|| {
            let mean = self.warm_mean_now(kind);
            self.of_plan.warm_means.borrow_mut().insert(kind, mean);
            mean
        })
    }

    fn warm_mean_now(&self, kind: KindId) -> f64 {
        let warm = |slot: &&Slot| slot.ready && self.fresh_share(slot.started_ms).is_none();
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

    /// The part of its capacity that a worker surely has when it started not long ago, at this time.
    pub(super) fn fresh_share(&self, started_ms: Option<f64>) -> Option<f64> {
        let s = &self.settings;
        let age = (self.now_ms - started_ms?) / s.cold_ms.max(1.0);
        (age < 1.0).then(|| s.cold_share + (1.0 - s.cold_share) * age.max(0.0) * WARMING)
    }
}
