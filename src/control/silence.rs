//! Workers that were not heard from of late: asked before they are sent to; zones in which nobody answers.

use super::placement::Home;
use super::*;

impl Control {
    /// Who gave no answer in time is passed by; with the last one the decision goes on.
    pub(super) fn heard_back(&mut self, id: CompletionId, worker: Option<&WorkerId>, answered: bool) {
        let Some(c) = self.completions.get_mut(&id) else { return };
        let (done, left): (Vec<_>, Vec<_>) =
            c.asking.drain(..).partition(|asked| worker.is_none_or(|worker| worker == asked));
        c.asking = left;
        c.avoid.extend(done.into_iter().filter(|_| !answered));
        if c.asking.is_empty() && !c.over && c.answer.is_none() {
            self.plan(id);
        }
    }

    /// Zones that a completion passes by while another is left: two workers there that it passed by owe an
    /// answer or are to blame, and nobody of it was heard of late. Guards against asking one by one in a zone
    /// that is cut off until no try is left. Harm: two that hang together send it out of its zone.
    pub(super) fn dark(&self, c: &Completion) -> Vec<WorkerId> {
        let owes = |w: &Worker| w.probed || self.distrust(w) > SILENT;
        let mut zones = BTreeMap::<ZoneId, (usize, bool)>::new();
        for (id, w) in &self.workers {
            let (silent, heard) = zones.entry(w.listing.zone).or_default();
            *silent += usize::from(owes(w) && c.avoid.contains(id));
            *heard |= self.heard(w) >= ASK_BELOW;
        }
        let dark = |w: &Worker| matches!(zones[&w.listing.zone], (2.., false));
        let left = self.workers.values().any(|w| !dark(w) && w.listing.readiness == Readiness::Ready);
        let dark = self.workers.iter().filter(|(id, w)| left && dark(w) && !c.avoid.contains(id));
        dark.map(|(id, _)| id.clone()).collect()
    }

    /// Those named that were not heard from of late.
    pub(super) fn to_ask(
        &self,
        c: &Completion,
        home: &Home,
        worker: &WorkerId,
        stage: Stage,
    ) -> Vec<WorkerId> {
        if !self.settings.probes_allowed || stage == Stage::Write && c.asked > self.settings.max_dispatches {
            return Vec::new();
        }
        let writer =
            (stage == Stage::Read).then(|| self.writer_near(c, home, self.cell(worker), false)).flatten();
        let unsure = |id: &WorkerId| self.workers.get(id).is_some_and(|w| self.heard(w) < ASK_BELOW);
        [Some(worker.clone()), writer].into_iter().flatten().filter(unsure).collect()
    }

    pub(super) fn heard(&self, w: &Worker) -> f64 {
        Decaying { value: 1.0, at_ms: w.said.at_ms }.at(self.now_ms, self.settings.fall_ms * SAID_HALVES)
    }
}
