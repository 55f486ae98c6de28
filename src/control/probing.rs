//! Probes: workers without a recent report are probed before a dispatch; zones without answers are skipped.

use super::placement::Home;
use super::*;

impl Control {
    /// Excludes the probed worker (all that are left, for `None`) if it did not answer in time; after the
    /// last probe the next dispatch is planned.
    pub(super) fn probe_finished(&mut self, id: CompletionId, worker: Option<&WorkerId>, answered: bool) {
        let Some(c) = self.completions.get_mut(&id) else { return };
        let (done, left): (Vec<_>, Vec<_>) =
            c.probing.drain(..).partition(|probed| worker.is_none_or(|worker| worker == probed));
        c.probing = left;
        c.excluded.extend(done.into_iter().filter(|_| !answered));
        if c.probing.is_empty() && !c.done && c.final_answer.is_none() {
            self.plan(id);
        }
    }

    /// Workers of zones that seem unreachable, which a completion skips while another zone is left: two
    /// workers of the zone that it already excluded have a probe in flight or a high failure score, and no
    /// worker of the zone has answered recently. Guards against probing a partitioned zone one worker at a
    /// time until no attempt is left. Cost: two workers that hang at the same time send it out of its zone.
    pub(super) fn workers_in_silent_zones(&self, c: &Completion) -> Vec<WorkerId> {
        let unresponsive = |w: &Worker| w.probe_in_flight || self.failure_score(w) > UNRESPONSIVE_SCORE;
        let mut zones = BTreeMap::<ZoneId, (usize, bool)>::new();
        for (id, w) in &self.workers {
            let (silent, answered) = zones.entry(w.listing.zone).or_default();
            *silent += usize::from(unresponsive(w) && c.excluded.contains(id));
            *answered |= self.report_weight(w) >= PROBE_BELOW_WEIGHT;
        }
        let in_silent_zone = |w: &Worker| matches!(zones[&w.listing.zone], (2.., false));
        let zone_left =
            self.workers.values().any(|w| !in_silent_zone(w) && w.listing.readiness == Readiness::Ready);
        let skipped =
            self.workers.iter().filter(|(id, w)| zone_left && in_silent_zone(w) && !c.excluded.contains(id));
        skipped.map(|(id, _)| id.clone()).collect()
    }

    /// Of the worker of the next dispatch and the writer that would follow it, those without a recent report.
    pub(super) fn workers_to_probe(
        &self,
        c: &Completion,
        home: &Home,
        worker: &WorkerId,
        stage: Stage,
    ) -> Vec<WorkerId> {
        if !self.settings.probes_allowed
            || stage == Stage::Write && c.probes_sent > self.settings.max_dispatches
        {
            return Vec::new();
        }
        let writer =
            (stage == Stage::Read).then(|| self.writer_for(c, home, self.cell(worker), false)).flatten();
        let stale =
            |id: &WorkerId| self.workers.get(id).is_some_and(|w| self.report_weight(w) < PROBE_BELOW_WEIGHT);
        [Some(worker.clone()), writer].into_iter().flatten().filter(stale).collect()
    }

    /// Weight of a worker's last report: 1 when it is new, halved with each half-life.
    pub(super) fn report_weight(&self, w: &Worker) -> f64 {
        Decaying { value: 1.0, at_ms: w.reported_load.at_ms }
            .at(self.now_ms, self.settings.fall_ms * REPORT_HALF_LIFE_SHARE)
    }
}
