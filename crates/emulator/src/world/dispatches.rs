//! Dispatches: sending, arrival at a server, and the return of the outcome to the router.

use super::*;

impl World {
    pub(super) fn send_dispatch(&mut self, router: usize, boot: u64, sending: OutgoingDispatch) {
        let Some(request) = self.routers[router].pending.get(&sending.completion) else { return };
        let (op, attempt) = (request.op, request.attempt);
        let Some(server) = self.by_name.get(&*sending.worker.0).copied() else { return };
        let state =
            sending.state.as_ref().and_then(|state| state.remote_block_ids.as_ref()?.first().copied());
        let dispatch = self.dispatches.len();
        let (completion, seq) = (sending.completion, sending.seq);
        self.dispatches.push(Dispatch {
            router,
            boot,
            completion,
            seq,
            server,
            start: self.nodes[server].start,
            name: request_name(router, boot, completion, seq),
            op,
            attempt,
            stage: sending.stage,
            state: state.map(|state| state as usize),
            tokens: self.ops[op].arrival.prompt_tokens,
            sent_ms: self.now_ms,
            net_ms: self.net_ms(router, server),
            arrived_ms: None,
            ended: false,
            streaming: false,
            answer_lost: false,
            first_token_sent: false,
            cached_tokens: sending.read_cached_tokens,
            unneeded: false,
        });
        self.routers[router].in_flight.insert((completion, seq), dispatch);
        self.routers[router].sent.insert((completion, seq), dispatch);
        let net_ms = self.dispatches[dispatch].net_ms;
        let (up, down_mode) = (self.nodes[server].up, self.nodes[server].down_mode);
        match (up, down_mode) {
            (true, _) => self.queue.push(self.now_ms + net_ms, SimEvent::ArriveAtServer { dispatch }),
            (false, FailureMode::Unreachable) => {
                let at_ms = self.now_ms + self.day.router.engines.connect_ms;
                self.queue.push(at_ms, SimEvent::DispatchEnd { dispatch, end: SocketEnd::ConnectTimedOut });
            }
            (false, _) => {
                self.queue.push(
                    self.now_ms + 2.0 * net_ms,
                    SimEvent::DispatchEnd { dispatch, end: SocketEnd::ConnectRefused },
                );
            }
        }
        self.queue.push(sending.until_ms, SimEvent::DispatchEnd { dispatch, end: SocketEnd::TimedOut });
    }

    /// Ends a dispatch at its router. Only the first end counts; later ones are ignored.
    pub(super) fn end_dispatch(&mut self, dispatch: usize, end: SocketEnd) {
        let streaming = self.dispatches[dispatch].streaming;
        if streaming && end == SocketEnd::TimedOut {
            return;
        }
        let (router, boot, completion, seq) = {
            let d = &self.dispatches[dispatch];
            (d.router, d.boot, d.completion, d.seq)
        };
        let node = &mut self.routers[router];
        if !node.up || node.boot != boot || node.in_flight.remove(&(completion, seq)).is_none() {
            return;
        }
        if matches!(end, SocketEnd::TimedOut | SocketEnd::Stalled) {
            self.queue.push(self.now_ms + self.options.net_ms, SimEvent::CancelAtServer { dispatch });
        }
        if streaming {
            let what = if end == SocketEnd::AnswerDone {
                ClientObservation::Finished
            } else {
                ClientObservation::Aborted
            };
            self.answer_client(router, completion, what);
        }
        let unreachable = matches!(end, SocketEnd::ConnectRefused | SocketEnd::ConnectTimedOut);
        if unreachable || matches!(end, SocketEnd::ReadDone | SocketEnd::AnswerDone) {
            let worker = WorkerId(Arc::from(self.nodes[self.dispatches[dispatch].server].name.as_str()));
            self.observe_worker(router, boot, &worker, !unreachable);
        }
        let d = &self.dispatches[dispatch];
        let (took_ms, cached_tokens, server, arrived) =
            (self.now_ms - d.sent_ms, d.cached_tokens, d.server, d.arrived_ms.is_some());
        let state = (end == SocketEnd::ReadDone).then(|| StateReference {
            do_remote_prefill: true,
            remote_engine_id: Some(self.nodes[server].name.clone()),
            remote_block_ids: Some(vec![dispatch as u64]),
            ..StateReference::default()
        });
        let reports_load =
            arrived && matches!(end, SocketEnd::ReadDone | SocketEnd::AnswerDone | SocketEnd::TurnedAway(_));
        if reports_load {
            self.report_load(router, boot, server);
        }
        self.router_input(router, boot, Input::Ended { completion, seq, took_ms, end, cached_tokens, state });
    }

    pub(super) fn report_load(&mut self, router: usize, boot: u64, server: usize) {
        if !self.routers[router].reports {
            return;
        }
        let every_ms = self.day.fleet.report_every_ms;
        let mut load = self.nodes[server].model.load(self.now_ms, every_ms);
        let noise = self.day.fleet.report_noise;
        if noise > 0.0 {
            let rng = &mut self.nodes[server].rng;
            for figure in [&mut load.active_requests, &mut load.queue, &mut load.waiting_tokens] {
                *figure *= 1.0 + noise * (2.0 * rng.uniform() - 1.0);
            }
        }
        let worker = WorkerId(Arc::from(self.nodes[server].name.as_str()));
        self.router_input(router, boot, Input::Reported { worker, load: load_report(&load) });
    }

    /// Ends a probe requested by the decision module; it counts as 0.3 ms of work at the server.
    pub(super) fn worker_probe_ended(
        &mut self,
        server: Option<usize>,
        router: usize,
        boot: u64,
        worker: WorkerId,
    ) {
        if let Some(server) = server {
            self.nodes[server].model.record_arrival(self.now_ms, 0.3);
            self.report_load(router, boot, server);
        }
        let took_ms = 2.0 * self.options.net_ms;
        self.router_input(router, boot, Input::Probed { worker, answered: server.is_some(), took_ms });
    }

    /// Brings the time integral of running and queued dispatches up to date. Called before each change of
    /// that number.
    pub(super) fn update_in_system(&mut self, server: usize) {
        let node = &mut self.nodes[server];
        node.in_system_area += node.model.open() as f64 * (self.now_ms - node.in_system_since_ms);
        node.in_system_since_ms = self.now_ms;
    }

    pub(super) fn arrive_at_server(&mut self, dispatch: usize) {
        let (server, op, attempt) = {
            let d = &self.dispatches[dispatch];
            (d.server, d.op, d.attempt)
        };
        let net_ms = self.dispatches[dispatch].net_ms;
        if !self.nodes[server].up || self.nodes[server].start != self.dispatches[dispatch].start {
            return self.queue.push(
                self.now_ms + net_ms,
                SimEvent::DispatchEnd { dispatch, end: SocketEnd::ConnectRefused },
            );
        }
        self.update_in_system(server);
        let fetches =
            self.dispatches[dispatch].state.is_some() && self.dispatches[dispatch].stage == Stage::Write;
        let work = Work {
            id: dispatch as u64,
            prompt: self.ops[op].prompt.clone(),
            tokens: self.dispatches[dispatch].tokens,
            answer: self.ops[op].answer,
            fetches,
            hold: None,
        };
        let work_ms = self.nodes[server].model.work_ms(&work);
        let request = self.dispatches[dispatch].name.clone();
        let model = self.ops[op].model.clone();
        let name = self.nodes[server].name.clone();
        let writes = self.nodes[server].model.kind.role != Role::Reader;
        let client = format!("op{op}/{attempt}");
        self.record(What::Dispatch {
            server: name.clone(),
            request: request.clone(),
            client,
            model: model.clone(),
            work_ms,
            writes,
        });
        self.dispatches[dispatch].arrived_ms = Some(self.now_ms);
        self.nodes[server].arrivals += 1;
        self.run.balance[0] += 1;
        if self.nodes[server].model.record_arrival(self.now_ms, work_ms) {
            self.record(What::FellOver { server: name });
            self.nodes[server].model.faults.silent = true;
        }
        if self.nodes[server].model.faults.silent {
            return;
        }
        let connection_limit = self.day.fleet.kinds[self.nodes[server].kind].connections;
        if connection_limit.is_some_and(|limit| self.nodes[server].model.open() >= limit) {
            self.finish_at_server(dispatch, 3);
            let end = SocketEnd::BrokeBeforeAnswer;
            return self.queue.push(self.now_ms + net_ms, SimEvent::DispatchEnd { dispatch, end });
        }
        let (share, of) = self.nodes[server].erring.clone();
        if of.is_none_or(|of| of == model) && self.nodes[server].rng.bernoulli(share) {
            self.finish_at_server(dispatch, 3);
            return self.queue.push(
                self.now_ms + net_ms,
                SimEvent::DispatchEnd { dispatch, end: SocketEnd::ErrorStatus(500) },
            );
        }
        let lost = self.nodes[server].answer_lost;
        self.dispatches[dispatch].answer_lost = writes && self.nodes[server].rng.bernoulli(lost);
        let mut events = Vec::new();
        match self.nodes[server].model.arrive(self.now_ms, work, &mut events) {
            Ok(()) => {}
            Err(refusal) => self.reject_dispatch(dispatch, refusal),
        }
        self.process_events(server, events);
    }

    pub(super) fn reject_dispatch(&mut self, dispatch: usize, refusal: Refusal) {
        let server = self.nodes[self.dispatches[dispatch].server].name.clone();
        let (request, code) = (self.dispatches[dispatch].name.clone(), refusal.code().to_owned());
        self.record(What::Rejected { server, request, code });
        self.finish_at_server(dispatch, 2);
        let end = SocketEnd::TurnedAway(refusal);
        let net_ms = self.dispatches[dispatch].net_ms;
        self.queue.push(self.now_ms + net_ms, SimEvent::DispatchEnd { dispatch, end });
    }

    /// Ends a dispatch at its server. `outcome` is the index in `Run::balance`: 1 served, 2 rejected, 3
    /// failed or cancelled.
    pub(super) fn finish_at_server(&mut self, dispatch: usize, outcome: usize) {
        let d = &mut self.dispatches[dispatch];
        if d.arrived_ms.is_none() || std::mem::replace(&mut d.ended, true) {
            return;
        }
        let (server, sojourn_ms) = (d.server, self.now_ms - d.arrived_ms.unwrap_or(self.now_ms));
        let request = d.name.clone();
        self.nodes[server].sojourn_ms += sojourn_ms;
        self.run.balance[outcome] += 1;
        let server = self.nodes[server].name.clone();
        self.record(What::Ended { server, request });
    }
}
