//! Routers: their starts and ends, what they are told and what they ask for.

use super::*;

impl World {
    pub(super) fn start_router(&mut self, router: usize) {
        if self.routers[router].up {
            return;
        }
        let count = self.routers.len();
        let node = &mut self.routers[router];
        node.up = true;
        node.boot += 1;
        let boot = node.boot;
        add(&mut self.run, node.ledger.counts());
        node.ledger = ledger(&self.day, &self.options, router, count, boot, &self.true_loads);
        node.membership = membership(&self.day);
        node.admission = admission(&self.day);
        let mut rows = [].into();
        if let Some(saved) = &node.saved {
            // Wall clock and router clock are one here.
            if let Ok(ListUpdate::Listed { rows: saved, .. }) =
                node.membership.recover(self.now_ms, self.now_ms, saved)
            {
                rows = saved;
            }
        }
        self.record(What::RouterUp { router });
        self.tell(router, boot, Input::Listed { kind: ListKind::Saved, rows });
        let kept = self.believed(router);
        self.tell(router, boot, Input::Recovered(kept));
        self.news(router, boot);
    }

    /// What a router that starts believes of what its store holds.
    pub(super) fn believed(&self, router: usize) -> Vec<CacheEntry> {
        const HOUR_MS: f64 = 3_600_000.0;
        let late_ms = match self.options.recovery {
            StoreRecovery::Empty => return Vec::new(),
            StoreRecovery::HourOld => HOUR_MS,
            StoreRecovery::Intact | StoreRecovery::WrongServers => 0.0,
        };
        let node = &self.routers[router];
        let starts = node.membership.starts();
        let names: Vec<&String> = starts.keys().collect();
        let entries = node.kept.iter().map(|((text, server), kept)| (*text, &*server.0, kept.clone()));
        let rows = retention::recover_cache_entries(
            self.now_ms + late_ms,
            &retention::CACHE_RECOVERY_LIMITS,
            &starts,
            entries,
        );
        let lies = |mut row: retention::RecoveredCacheEntry| {
            if self.options.recovery == StoreRecovery::WrongServers {
                let at = names.iter().position(|name| ***name == *row.server.0).unwrap_or(0);
                row.server = WorkerId(Arc::from(names[(at + 1) % names.len()].as_str()));
            }
            row
        };
        rows.into_iter().map(lies).map(CacheEntry::from).collect()
    }

    pub(super) fn kill_router(&mut self, router: usize) {
        if !self.routers[router].up {
            return;
        }
        let node = &mut self.routers[router];
        node.up = false;
        let asked = std::mem::take(&mut node.asked);
        let out = std::mem::take(&mut node.out);
        node.sent.clear();
        self.record(What::RouterDown { router });
        for asked in asked.into_values() {
            self.sees(asked.op, asked.attempt, Sees::Broke { connected: true });
        }
        for dispatch in out.into_values() {
            self.queue.put(self.now_ms + self.options.net_ms, Ev::Cancel { dispatch });
        }
    }

    pub(super) fn stop_router(&mut self, router: usize) {
        let node = &mut self.routers[router];
        if node.up {
            node.admission.stop();
            let boot = node.boot;
            self.queue.put(self.now_ms + self.day.router.front.stop_ms, Ev::StopEnds { router, boot });
        }
    }

    pub(super) fn stop_ends(&mut self, router: usize, boot: u64) {
        if self.routers[router].up && self.routers[router].boot == boot {
            self.tell(router, boot, Input::Stop { streams: true });
            let node = &mut self.routers[router];
            (node.up, node.asked) = (false, BTreeMap::new());
            self.start_router(router);
        }
    }

    pub(super) fn at_router(&mut self, op: usize, attempt: u32) {
        let router = self.ops[op].router;
        let (workload, tokens, prompt_bytes) = {
            let op = &self.ops[op];
            (
                op.arrival.workload,
                op.arrival.prompt_tokens + op.arrival.max_tokens,
                op.arrival.prompt_tokens as usize,
            )
        };
        let customer = self.ops[op].arrival.customer;
        let now_ms = self.now_ms;
        let node = &mut self.routers[router];
        if !node.up {
            return self.sees(op, attempt, Sees::Broke { connected: true });
        }
        let entered = node.admission.enter(now_ms, customer).and_then(|mut place| {
            let bytes = prompt_bytes * self.day.router.rules.bytes_per_token as usize;
            match node.admission.admit(now_ms, &mut place, workload, bytes, tokens) {
                Ok(()) => Ok(place),
                Err(turned) => {
                    node.admission.release(now_ms, place);
                    Err(turned)
                }
            }
        });
        let place = match entered {
            Ok(place) => Some(place),
            Err(turned) => {
                self.run.rejected += 1;
                let what = Sees::RateLimited { retry_after_ms: turned.retry_after_ms };
                return self.send_client(op, attempt, what);
            }
        };
        let completion = CompletionId(node.next);
        node.next += 1;
        node.asked.insert(completion, Asked { op, attempt, place });
        let boot = node.boot;
        let mut arrival = self.ops[op].arrival.clone();
        arrival.completion = completion;
        arrival.client_timeout_ms = self.ops[op].deadline_ms;
        let streamed = self.ops[op].streamed;
        self.ops[op].at = Some((router, boot, completion));
        self.tell(router, boot, Input::Arrived { arrival, streamed });
    }

    /// A client's connection to its router ends.
    pub(super) fn client_gone(&mut self, op: usize) {
        if let Some((router, boot, completion)) = self.ops[op].at.take() {
            let input = Box::new(Input::Left { completion });
            self.queue.put(self.now_ms + self.options.net_ms, Ev::Tell { router, boot, input });
        }
    }

    pub(super) fn send_client(&mut self, op: usize, attempt: u32, what: Sees) {
        self.queue.put(self.now_ms + self.options.net_ms, Ev::Sees { op, attempt, what });
    }

    pub(super) fn tell(&mut self, router: usize, boot: u64, input: Input) {
        let node = &mut self.routers[router];
        if !node.up || node.boot != boot {
            return;
        }
        let mut effects = Vec::new();
        node.ledger.handle(self.now_ms, input, &mut effects);
        for effect in effects {
            self.carry_out(router, boot, effect);
        }
    }

    pub(super) fn answer(&mut self, router: usize, completion: CompletionId, what: Sees) {
        let Some(asked) = self.routers[router].asked.get(&completion) else { return };
        let (op, attempt) = (asked.op, asked.attempt);
        self.send_client(op, attempt, what);
    }

    pub(super) fn carry_out(&mut self, router: usize, boot: u64, effect: Effect) {
        let net_ms = self.options.net_ms;
        match effect {
            Effect::Send(sending) => self.send(router, boot, sending),
            Effect::Stop { completion, seq } => {
                if let Some(dispatch) = self.routers[router].out.get(&(completion, seq)).copied() {
                    self.queue.put(self.now_ms + net_ms, Ev::Cancel { dispatch });
                    if self.dispatches[dispatch].granted {
                        self.answer(router, completion, Sees::Aborted);
                    }
                    self.queue.put(self.now_ms, Ev::End { dispatch, end: SocketEnd::Stopped });
                }
            }
            Effect::Grant { completion, seq } => {
                if let Some(dispatch) = self.routers[router].out.get(&(completion, seq)).copied() {
                    self.dispatches[dispatch].granted = true;
                    self.answer(router, completion, Sees::First);
                }
            }
            Effect::Deliver { completion, .. } => {
                self.answer(router, completion, Sees::First);
                self.answer(router, completion, Sees::Finished);
            }
            Effect::RateLimit { completion, retry_after_ms } => {
                self.answer(router, completion, Sees::RateLimited { retry_after_ms });
            }
            Effect::Abort { completion } => self.answer(router, completion, Sees::Aborted),
            Effect::Forget { completion } => {
                let now_ms = self.now_ms;
                let node = &mut self.routers[router];
                let all = (completion, Seq(0))..=(completion, Seq(u32::MAX));
                let sent: Vec<_> = node.sent.range(all).map(|(key, _)| *key).collect();
                sent.iter().for_each(|key| {
                    node.sent.remove(key);
                });
                if let Some(place) = node.asked.remove(&completion).and_then(|asked| asked.place) {
                    node.admission.release(now_ms, place);
                }
            }
            Effect::Arm { in_ms, timer } => {
                let input = Box::new(Input::TimerFired(timer));
                let at_ms = self.now_ms + in_ms;
                self.queue.put(at_ms, Ev::Tell { router, boot, input });
            }
            Effect::ReleaseUnclaimed { .. } => {}
            Effect::Release { worker, completion, seq } => {
                let Some(server) = self.by_name.get(&*worker.0).copied() else { return };
                let start = self.nodes[server].start;
                if let Some(dispatch) = self.routers[router].sent.get(&(completion, seq)).copied() {
                    self.queue.put(self.now_ms + net_ms, Ev::Release { server, start, dispatch });
                }
            }
            Effect::Probe { worker } => {
                let server = self.by_name.get(&*worker.0).copied();
                let heard = server
                    .filter(|server| self.nodes[*server].up && !self.nodes[*server].model.faults.silent);
                let after_ms = if heard.is_some() { 2.0 * net_ms } else { self.day.router.engines.probe_ms };
                self.queue.put(self.now_ms + after_ms, Ev::Probe { server: heard, router, boot, worker });
            }
            Effect::CacheUpdated { worker, session, tokens, prefix } => {
                let at_ms = self.now_ms;
                let remembers = self.options.recovery != StoreRecovery::Empty;
                let node = &mut self.routers[router];
                if let Some(start) = node.membership.start(&worker).filter(|_| remembers) {
                    for (text, tokens) in retention::texts(session, tokens, prefix) {
                        let kept = retention::StoredCacheEntry { tokens, at_ms, start };
                        node.kept.insert((text, worker.clone()), kept);
                    }
                }
            }
            // No place can be held ahead here; the decisions ask for none.
            Effect::Hold { .. } | Effect::CloseIdle { .. } | Effect::Note(_) => {}
            Effect::Subscribe | Effect::FetchList => self.news(router, boot),
        }
    }

    /// Network between a router and a server, one way.
    pub(super) fn net_ms(&self, router: usize, server: usize) -> f64 {
        let zone = self.day.router.names.zones.get(self.routers[router].zone);
        let (near_ms, far_ms) = self.day.network_ms;
        if zone == Some(&self.nodes[server].zone) {
            near_ms
        } else {
            far_ms
        }
    }
}
