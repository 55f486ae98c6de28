//! Routers: start, stop and crash, the inputs of their ledgers and the effects that these request.

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
        add_counts(&mut self.run, node.ledger.counts());
        node.ledger = ledger(&self.day, &self.options, router, count, boot, &self.true_loads);
        node.membership = membership(&self.day);
        node.admission = admission(&self.day);
        let mut rows = [].into();
        if let Some(saved) = &node.saved {
            // The simulation uses one clock for wall time and router time.
            if let Ok(ListUpdate::Listed { rows: saved, .. }) =
                node.membership.recover(self.now_ms, self.now_ms, saved)
            {
                rows = saved;
            }
        }
        self.record(What::RouterUp { router });
        self.router_input(router, boot, Input::Listed { kind: ListKind::Saved, rows });
        let entries = self.recovered_entries(router);
        self.router_input(router, boot, Input::Recovered(entries));
        self.deliver_list(router, boot);
    }

    /// The cache entries that a starting router recovers from its store.
    pub(super) fn recovered_entries(&self, router: usize) -> Vec<CacheEntry> {
        const HOUR_MS: f64 = 3_600_000.0;
        let aged_ms = match self.options.recovery {
            StoreRecovery::Empty => return Vec::new(),
            StoreRecovery::HourOld => HOUR_MS,
            StoreRecovery::Intact | StoreRecovery::WrongServers => 0.0,
        };
        let node = &self.routers[router];
        let starts = node.membership.starts();
        let names: Vec<&String> = starts.keys().collect();
        let entries =
            node.stored_entries.iter().map(|((text, server), entry)| (*text, &*server.0, entry.clone()));
        let rows = retention::recover_cache_entries(
            self.now_ms + aged_ms,
            &retention::CACHE_RECOVERY_LIMITS,
            &starts,
            entries,
        );
        let misattribute = |mut row: retention::RecoveredCacheEntry| {
            if self.options.recovery == StoreRecovery::WrongServers {
                let at = names.iter().position(|name| ***name == *row.server.0).unwrap_or(0);
                row.server = WorkerId(Arc::from(names[(at + 1) % names.len()].as_str()));
            }
            row
        };
        rows.into_iter().map(misattribute).map(CacheEntry::from).collect()
    }

    /// Crashes a router: its connections break and its dispatches are cancelled at the servers.
    pub(super) fn kill_router(&mut self, router: usize) {
        if !self.routers[router].up {
            return;
        }
        let node = &mut self.routers[router];
        node.up = false;
        let pending = std::mem::take(&mut node.pending);
        let in_flight = std::mem::take(&mut node.in_flight);
        node.sent.clear();
        self.record(What::RouterDown { router });
        for request in pending.into_values() {
            self.client_observes(request.op, request.attempt, ClientObservation::Broke { connected: true });
        }
        for dispatch in in_flight.into_values() {
            self.queue.push(self.now_ms + self.options.net_ms, SimEvent::CancelAtServer { dispatch });
        }
    }

    /// Begins the graceful shutdown of a router: it admits no more requests until its stop deadline.
    pub(super) fn stop_router(&mut self, router: usize) {
        let node = &mut self.routers[router];
        if node.up {
            node.admission.stop();
            let boot = node.boot;
            self.queue
                .push(self.now_ms + self.day.router.front.stop_ms, SimEvent::StopDeadline { router, boot });
        }
    }

    /// Ends a graceful shutdown: remaining answers are aborted and the router restarts.
    pub(super) fn end_stop(&mut self, router: usize, boot: u64) {
        if self.routers[router].up && self.routers[router].boot == boot {
            self.router_input(router, boot, Input::Stop { streams: true });
            let node = &mut self.routers[router];
            (node.up, node.pending) = (false, BTreeMap::new());
            self.start_router(router);
        }
    }

    /// Admits a request and hands it to the router's ledger, or rejects it.
    pub(super) fn receive_request(&mut self, op: usize, attempt: u32) {
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
            return self.client_observes(op, attempt, ClientObservation::Broke { connected: true });
        }
        let entered = node.admission.enter(now_ms, customer).and_then(|mut permit| {
            let bytes = prompt_bytes * self.day.router.rules.bytes_per_token as usize;
            match node.admission.admit(now_ms, &mut permit, workload, bytes, tokens) {
                Ok(()) => Ok(permit),
                Err(rejection) => {
                    node.admission.release(now_ms, permit);
                    Err(rejection)
                }
            }
        });
        let permit = match entered {
            Ok(permit) => Some(permit),
            Err(rejection) => {
                self.run.rejected += 1;
                let what = ClientObservation::RateLimited { retry_after_ms: rejection.retry_after_ms };
                return self.send_to_client(op, attempt, what);
            }
        };
        let completion = CompletionId(node.next);
        node.next += 1;
        node.pending.insert(completion, PendingRequest { op, attempt, permit });
        let boot = node.boot;
        let mut arrival = self.ops[op].arrival.clone();
        arrival.completion = completion;
        arrival.client_timeout_ms = self.ops[op].deadline_ms;
        let streamed = self.ops[op].streamed;
        self.ops[op].completion = Some((router, boot, completion));
        self.router_input(router, boot, Input::Arrived { arrival, streamed });
    }

    /// Closes the connection of a client that leaves to its router.
    pub(super) fn close_client_connection(&mut self, op: usize) {
        if let Some((router, boot, completion)) = self.ops[op].completion.take() {
            let input = Box::new(Input::Left { completion });
            self.queue.push(self.now_ms + self.options.net_ms, SimEvent::RouterInput { router, boot, input });
        }
    }

    pub(super) fn send_to_client(&mut self, op: usize, attempt: u32, what: ClientObservation) {
        self.queue.push(self.now_ms + self.options.net_ms, SimEvent::ClientObserves { op, attempt, what });
    }

    pub(super) fn router_input(&mut self, router: usize, boot: u64, input: Input) {
        let node = &mut self.routers[router];
        if !node.up || node.boot != boot {
            return;
        }
        let mut effects = Vec::new();
        node.ledger.handle(self.now_ms, input, &mut effects);
        for effect in effects {
            self.apply_effect(router, boot, effect);
        }
    }

    pub(super) fn answer_client(&mut self, router: usize, completion: CompletionId, what: ClientObservation) {
        let Some(request) = self.routers[router].pending.get(&completion) else { return };
        let (op, attempt) = (request.op, request.attempt);
        self.send_to_client(op, attempt, what);
    }

    pub(super) fn apply_effect(&mut self, router: usize, boot: u64, effect: Effect) {
        let net_ms = self.options.net_ms;
        match effect {
            Effect::Send(sending) => self.send_dispatch(router, boot, sending),
            Effect::Stop { completion, seq } => {
                if let Some(dispatch) = self.routers[router].in_flight.get(&(completion, seq)).copied() {
                    self.queue.push(self.now_ms + net_ms, SimEvent::CancelAtServer { dispatch });
                    if self.dispatches[dispatch].streaming {
                        self.answer_client(router, completion, ClientObservation::Aborted);
                    }
                    self.queue.push(self.now_ms, SimEvent::DispatchEnd { dispatch, end: SocketEnd::Stopped });
                }
            }
            Effect::Grant { completion, seq } => {
                if let Some(dispatch) = self.routers[router].in_flight.get(&(completion, seq)).copied() {
                    self.dispatches[dispatch].streaming = true;
                    self.answer_client(router, completion, ClientObservation::First);
                }
            }
            Effect::Deliver { completion, .. } => {
                self.answer_client(router, completion, ClientObservation::First);
                self.answer_client(router, completion, ClientObservation::Finished);
            }
            Effect::RateLimit { completion, retry_after_ms } => {
                self.answer_client(router, completion, ClientObservation::RateLimited { retry_after_ms });
            }
            Effect::Abort { completion } => {
                self.answer_client(router, completion, ClientObservation::Aborted)
            }
            Effect::Forget { completion } => {
                let now_ms = self.now_ms;
                let node = &mut self.routers[router];
                let all = (completion, Seq(0))..=(completion, Seq(u32::MAX));
                let sent: Vec<_> = node.sent.range(all).map(|(key, _)| *key).collect();
                sent.iter().for_each(|key| {
                    node.sent.remove(key);
                });
                if let Some(permit) = node.pending.remove(&completion).and_then(|request| request.permit) {
                    node.admission.release(now_ms, permit);
                }
            }
            Effect::Arm { in_ms, timer } => {
                let input = Box::new(Input::TimerFired(timer));
                let at_ms = self.now_ms + in_ms;
                self.queue.push(at_ms, SimEvent::RouterInput { router, boot, input });
            }
            Effect::ReleaseUnclaimed { .. } => {}
            Effect::Release { worker, completion, seq } => {
                let Some(server) = self.by_name.get(&*worker.0).copied() else { return };
                let start = self.nodes[server].start;
                if let Some(dispatch) = self.routers[router].sent.get(&(completion, seq)).copied() {
                    self.queue
                        .push(self.now_ms + net_ms, SimEvent::ReleaseAtServer { server, start, dispatch });
                }
            }
            Effect::Probe { worker } => {
                let server = self.by_name.get(&*worker.0).copied();
                let answering = server
                    .filter(|server| self.nodes[*server].up && !self.nodes[*server].model.faults.silent);
                let after_ms =
                    if answering.is_some() { 2.0 * net_ms } else { self.day.router.engines.probe_ms };
                self.queue.push(
                    self.now_ms + after_ms,
                    SimEvent::WorkerProbeEnd { server: answering, router, boot, worker },
                );
            }
            Effect::CacheUpdated { worker, session, tokens, prefix } => {
                let at_ms = self.now_ms;
                let stores = self.options.recovery != StoreRecovery::Empty;
                let node = &mut self.routers[router];
                if let Some(start) = node.membership.start(&worker).filter(|_| stores) {
                    for (text, tokens) in retention::texts(session, tokens, prefix) {
                        let entry = retention::StoredCacheEntry { tokens, at_ms, start };
                        node.stored_entries.insert((text, worker.clone()), entry);
                    }
                }
            }
            // Simulated servers take no holds ahead of a dispatch, and the decision module requests none.
            Effect::Hold { .. } | Effect::CloseIdle { .. } | Effect::Note(_) => {}
            Effect::Subscribe | Effect::FetchList => self.deliver_list(router, boot),
        }
    }

    /// One-way network latency between a router and a server.
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
