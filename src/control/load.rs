//! How much a worker has to do: what it says, what we sent, and when that is too much.

use super::*;

impl Control {
    pub(super) fn reported(&mut self, id: &WorkerId, load: &LoadReport) {
        let Some(w) = self.workers.get(id) else { return };
        let queued = load.queue.map(|queue| queue * self.read_tokens);
        let tokens = load.waiting_kilotokens.map(|thousands| thousands * 1e3).or(queued).unwrap_or(0.0);
        let held = load.memory_share.filter(|_| w.role != Role::Reader).unwrap_or(0.0) * w.memory_tokens;
        let said = Decaying { value: self.strain(w, tokens, held), at_ms: self.now_ms };
        let idle = load.queue == Some(0.0) && load.slots_share.is_some_and(|share| share < IDLE_SHARE);
        self.workers.entry(id.clone()).and_modify(|w| (w.said, w.idle) = (said, idle));
    }

    /// Guards against a worker that has lost what we sent, or never ends it, and serves others: it has just
    /// said that it is idle while a dispatch of ours is out there. Harm: a late report calls back what runs.
    pub(super) fn call_back(&mut self, id: &WorkerId, actions: &mut Vec<Action>) {
        let now_ms = self.now_ms;
        let idle = |w: &Worker| w.idle && w.said.at_ms >= now_ms - self.settings.resolution_ms;
        let Some(true) = self.workers.get(id).map(idle) else { return };
        let mut hung = Vec::new();
        for (completion, c) in self.completions.iter_mut().filter(|(_, c)| !c.over && c.answer.is_none()) {
            let late_ms = now_ms - HUNG * c.target_ms;
            let lost = |d: &&mut Dispatch| d.worker == *id && d.phase == Phase::Out && d.sent_ms < late_ms;
            if let Some(d) = c.dispatches.iter_mut().find(lost) {
                d.wanted = false;
                c.avoid.push(id.clone());
                hung.push(*completion);
            }
        }
        for completion in hung {
            self.judge(id, 0.4, false);
            self.reconcile(completion, actions);
        }
    }

    /// Tokens that wait there to be read or fetched, or those held where it writes, as a share of what makes
    /// it strained.
    pub(super) fn strain(&self, w: &Worker, waiting: f64, held: f64) -> f64 {
        (waiting / self.bound(w)).max(held / (w.memory_tokens * MEMORY_FULL).max(1.0))
    }

    /// Tokens waiting to be read or fetched beyond which a worker is strained.
    pub(super) fn bound(&self, w: &Worker) -> f64 {
        let part = if w.role == Role::Reader { 1.0 } else { WRITER_BOUND };
        (w.memory_tokens * READER_BOUND * part).max(1.0)
    }

    /// Guards against a writer that jams, whatever the cause: it holds more of our streams than the median
    /// and one, or is busy. Harm: histories spread. Crowded only compares: it is no reason to refuse.
    pub(super) fn strained(&self, c: &Completion, id: &WorkerId, crowded_fits: bool) -> bool {
        let Some(w) = self.workers.get(id) else { return true };
        let crowded = || w.streams > self.median_streams() + 1.0;
        !crowded_fits && crowded() || self.busy(c, w, c.merit.max(c.least))
    }

    /// By what it says and by our counts: ours now, and the mean of ours for each other router, since among
    /// many the count of one moment says nothing of theirs. Guards against strain that no report tells. Harm:
    /// late, and noisy where we send little. A fetch of ours as long as its own excuses a pure writer.
    pub(super) fn busy(&self, c: &Completion, w: &Worker, ease: f64) -> bool {
        let over_ms = self.settings.fall_ms * MEAN_OVER;
        let others = self.settings.routers.max(1) as f64 - 1.0;
        let all = |ours: &SmoothedCount| ours.value + others * ours.mean(self.now_ms, over_ms);
        let excused = if w.role == Role::Writer { c.facts.prompt_tokens } else { 0.0 };
        let waiting = all(&w.waiting) - w.waiting.value.min(excused);
        let heard = self.heard(w);
        let guess = (1.0 - heard / 2.0) * self.strain(w, waiting, all(&w.held));
        (heard * w.said.value).max(guess) > ease * self.fresh_share(w.listing.started_ms).unwrap_or(1.0)
    }

    /// Of those that write and are not fresh.
    pub(super) fn median_streams(&self) -> f64 {
        let known = self.of_plan.median_streams.get();
        known.unwrap_or_else(|| {
            let median = self.median_streams_now();
            self.of_plan.median_streams.set(Some(median));
            median
        })
    }

    fn median_streams_now(&self) -> f64 {
        let all = self.roster.warm_writers(|started_ms| self.fresh_share(Some(started_ms)).is_some());
        // Few have any: those at which a dispatch of ours is out.
        let out = |d: &&Dispatch| !matches!(d.phase, Phase::Planned | Phase::Ended) && d.stage != Stage::Read;
        let dispatches = self.completions.values().flat_map(|c| &c.dispatches).filter(out);
        let at: BTreeSet<_> = dispatches.map(|d| &d.worker).collect();
        let workers = at.into_iter().filter_map(|id| self.workers.get(id));
        let warm = workers.filter(|w| {
            let ready = w.listing.readiness == Readiness::Ready && w.role != Role::Reader;
            ready && self.fresh_share(w.listing.started_ms).is_none()
        });
        let mut streams: Vec<_> = warm.map(|w| w.streams).collect();
        let without = all.saturating_sub(streams.len());
        let middle = all.saturating_sub(1) / 2;
        match middle.checked_sub(without).filter(|row| *row < streams.len()) {
            Some(row) => *streams.select_nth_unstable_by(row, f64::total_cmp).1,
            None => 0.0,
        }
    }
}
