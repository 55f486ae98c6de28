//! The load of workers, from their reports and from what we sent, and the limits on it.

use super::*;

impl Control {
    pub(super) fn reported(&mut self, id: &WorkerId, load: &LoadReport) {
        let Some(w) = self.workers.get(id) else { return };
        let queued = load.queue.map(|queue| queue * self.mean_uncached_tokens);
        let tokens = load.waiting_kilotokens.map(|thousands| thousands * 1e3).or(queued).unwrap_or(0.0);
        let held = load.memory_share.filter(|_| w.role != Role::Reader).unwrap_or(0.0) * w.memory_tokens;
        let reported_load = Decaying { value: self.load_share(w, tokens, held), at_ms: self.now_ms };
        let idle = load.queue == Some(0.0) && load.slots_share.is_some_and(|share| share < IDLE_SLOTS_SHARE);
        self.workers
            .entry(id.clone())
            .and_modify(|w| (w.reported_load, w.reported_idle) = (reported_load, idle));
    }

    /// Cancels dispatches at a worker that has just reported idle although they have been in flight there for
    /// long. Guards against a worker that lost or never finishes what we sent but serves others. Cost: a late
    /// report cancels a running dispatch.
    pub(super) fn cancel_hung(&mut self, id: &WorkerId, actions: &mut Vec<Action>) {
        let now_ms = self.now_ms;
        let idle =
            |w: &Worker| w.reported_idle && w.reported_load.at_ms >= now_ms - self.settings.resolution_ms;
        let Some(true) = self.workers.get(id).map(idle) else { return };
        let mut affected = Vec::new();
        for (completion, c) in
            self.completions.iter_mut().filter(|(_, c)| !c.done && c.final_answer.is_none())
        {
            let late_ms = now_ms - HUNG_TARGET_SHARE * c.target_ms;
            let hung_here =
                |d: &&mut Dispatch| d.worker == *id && d.phase == Phase::InFlight && d.sent_ms < late_ms;
            if let Some(d) = c.dispatches.iter_mut().find(hung_here) {
                d.wanted = false;
                c.excluded.push(id.clone());
                affected.push(*completion);
            }
        }
        for completion in affected {
            self.record_outcome(id, 0.4, false);
            self.reconcile(completion, actions);
        }
    }

    /// Load as a share of the limit: tokens that wait to be read or fetched, or tokens in a writer's memory,
    /// whichever is greater.
    pub(super) fn load_share(&self, w: &Worker, waiting: f64, held: f64) -> f64 {
        (waiting / self.waiting_limit(w)).max(held / (w.memory_tokens * MEMORY_FULL_SHARE).max(1.0))
    }

    /// Limit on the tokens that wait at a worker to be read or fetched.
    pub(super) fn waiting_limit(&self, w: &Worker) -> f64 {
        let part = if w.role == Role::Reader { 1.0 } else { WRITER_LIMIT_SHARE };
        (w.memory_tokens * READER_LIMIT_SHARE * part).max(1.0)
    }

    /// Whether a worker is crowded (it has more than one of our streams above the median) or busy. Guards
    /// against writers that become slow, whatever the cause. Cost: session histories spread over more
    /// workers. Crowding only compares workers, so it is no reason to reject a completion (`allow_crowded`).
    pub(super) fn overloaded(&self, c: &Completion, id: &WorkerId, allow_crowded: bool) -> bool {
        let Some(w) = self.workers.get(id) else { return true };
        let crowded = || w.streams > self.median_streams() + 1.0;
        !allow_crowded && crowded() || self.busy(c, w, c.limit_factor.max(c.min_write_factor))
    }

    /// Whether the load exceeds the limit, by the worker's report and by our counts: the present count for us
    /// and our mean count for each other router, since with many routers our present count is no estimate of
    /// theirs. Guards against overload that no report shows. Cost: delayed, and noisy where we send little.
    /// At a pure writer, one fetch of ours up to the length of this prompt is not counted.
    pub(super) fn busy(&self, c: &Completion, w: &Worker, limit_factor: f64) -> bool {
        let over_ms = self.settings.fall_ms * MEAN_WINDOWS;
        let others = self.settings.routers.max(1) as f64 - 1.0;
        let all_routers = |ours: &SmoothedCount| ours.value + others * ours.mean(self.now_ms, over_ms);
        let uncounted = if w.role == Role::Writer { c.arrival.prompt_tokens } else { 0.0 };
        let waiting = all_routers(&w.waiting) - w.waiting.value.min(uncounted);
        let report_weight = self.report_weight(w);
        let counted = (1.0 - report_weight / 2.0) * self.load_share(w, waiting, all_routers(&w.held));
        (report_weight * w.reported_load.value).max(counted)
            > limit_factor * self.slow_start_capacity(w.listing.started_ms).unwrap_or(1.0)
    }

    /// Median number of our streams at warm workers that write.
    pub(super) fn median_streams(&self) -> f64 {
        let known = self.plan_figures.median_streams.get();
        known.unwrap_or_else(|| {
            let median = self.compute_median_streams();
            self.plan_figures.median_streams.set(Some(median));
            median
        })
    }

    fn compute_median_streams(&self) -> f64 {
        let all = self.roster.warm_writers(|started_ms| self.slow_start_capacity(Some(started_ms)).is_some());
        // Only workers with a dispatch of ours in flight have any streams; all others count as 0.
        let in_flight =
            |d: &&Dispatch| !matches!(d.phase, Phase::Planned | Phase::Ended) && d.stage != Stage::Read;
        let dispatches = self.completions.values().flat_map(|c| &c.dispatches).filter(in_flight);
        let at: BTreeSet<_> = dispatches.map(|d| &d.worker).collect();
        let workers = at.into_iter().filter_map(|id| self.workers.get(id));
        let warm = workers.filter(|w| {
            let ready = w.listing.readiness == Readiness::Ready && w.role != Role::Reader;
            ready && self.slow_start_capacity(w.listing.started_ms).is_none()
        });
        let mut streams: Vec<_> = warm.map(|w| w.streams).collect();
        let without_streams = all.saturating_sub(streams.len());
        let middle = all.saturating_sub(1) / 2;
        match middle.checked_sub(without_streams).filter(|row| *row < streams.len()) {
            Some(row) => *streams.select_nth_unstable_by(row, f64::total_cmp).1,
            None => 0.0,
        }
    }
}
