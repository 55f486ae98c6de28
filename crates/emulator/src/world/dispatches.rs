//! Dispatches on their way, at a server and back.

use super::*;

impl World {
    pub(super) fn send(&mut self, router: usize, boot: u64, sending: OutgoingDispatch) {
        let Some(asked) = self.routers[router].asked.get(&sending.completion) else { return };
        let (op, attempt) = (asked.op, asked.attempt);
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
            granted: false,
            lost: false,
            begun: false,
            kept: sending.read_cached_tokens,
            unwanted: false,
        });
        self.routers[router].out.insert((completion, seq), dispatch);
        self.routers[router].sent.insert((completion, seq), dispatch);
        let net_ms = self.dispatches[dispatch].net_ms;
        let (up, mode) = (self.nodes[server].up, self.nodes[server].mode);
        match (up, mode) {
            (true, _) => self.queue.put(self.now_ms + net_ms, Ev::Arrive { dispatch }),
            (false, Dead::Unreachable) => {
                let at_ms = self.now_ms + self.day.router.engines.connect_ms;
                self.queue.put(at_ms, Ev::End { dispatch, end: SocketEnd::ConnectTimedOut });
            }
            (false, _) => {
                self.queue
                    .put(self.now_ms + 2.0 * net_ms, Ev::End { dispatch, end: SocketEnd::ConnectRefused });
            }
        }
        self.queue.put(sending.until_ms, Ev::End { dispatch, end: SocketEnd::TimedOut });
    }

    /// A dispatch ends at its router, by whatever comes first.
    pub(super) fn end(&mut self, dispatch: usize, end: SocketEnd) {
        let granted = self.dispatches[dispatch].granted;
        if granted && end == SocketEnd::TimedOut {
            return;
        }
        let (router, boot, completion, seq) = {
            let d = &self.dispatches[dispatch];
            (d.router, d.boot, d.completion, d.seq)
        };
        let node = &mut self.routers[router];
        if !node.up || node.boot != boot || node.out.remove(&(completion, seq)).is_none() {
            return;
        }
        if matches!(end, SocketEnd::TimedOut | SocketEnd::Stalled) {
            self.queue.put(self.now_ms + self.options.net_ms, Ev::Cancel { dispatch });
        }
        if granted {
            let what = if end == SocketEnd::AnswerDone { Sees::Finished } else { Sees::Aborted };
            self.answer(router, completion, what);
        }
        let nobody = matches!(end, SocketEnd::ConnectRefused | SocketEnd::ConnectTimedOut);
        if nobody || matches!(end, SocketEnd::ReadDone | SocketEnd::AnswerDone) {
            let worker = WorkerId(Arc::from(self.nodes[self.dispatches[dispatch].server].name.as_str()));
            self.seen(router, boot, &worker, !nobody);
        }
        let d = &self.dispatches[dispatch];
        let (took_ms, kept_tokens, server, heard) =
            (self.now_ms - d.sent_ms, d.kept, d.server, d.arrived_ms.is_some());
        let state = (end == SocketEnd::ReadDone).then(|| StateReference {
            do_remote_prefill: true,
            remote_engine_id: Some(self.nodes[server].name.clone()),
            remote_block_ids: Some(vec![dispatch as u64]),
            ..StateReference::default()
        });
        let says =
            heard && matches!(end, SocketEnd::ReadDone | SocketEnd::AnswerDone | SocketEnd::TurnedAway(_));
        if says {
            self.report(router, boot, server);
        }
        self.tell(
            router,
            boot,
            Input::Ended { completion, seq, took_ms, end, cached_tokens: kept_tokens, state },
        );
    }

    pub(super) fn report(&mut self, router: usize, boot: u64, server: usize) {
        if !self.routers[router].reports {
            return;
        }
        let every_ms = self.day.fleet.report_every_ms;
        let mut load = self.nodes[server].model.load(self.now_ms, every_ms);
        let noise = self.day.fleet.report_noise;
        if noise > 0.0 {
            let chance = &mut self.nodes[server].chance;
            for figure in [&mut load.active_requests, &mut load.queue, &mut load.waiting_tokens] {
                *figure *= 1.0 + noise * (2.0 * chance.share() - 1.0);
            }
        }
        let worker = WorkerId(Arc::from(self.nodes[server].name.as_str()));
        self.tell(router, boot, Input::Reported { worker, load: report_of(&load) });
    }

    pub(super) fn probed(&mut self, server: Option<usize>, router: usize, boot: u64, worker: WorkerId) {
        if let Some(server) = server {
            self.nodes[server].model.record_arrival(self.now_ms, 0.3);
            self.report(router, boot, server);
        }
        let took_ms = 2.0 * self.options.net_ms;
        self.tell(router, boot, Input::Probed { worker, answered: server.is_some(), took_ms });
    }

    // Servers.

    /// Keeps the mean number in hand up to date; called before each change.
    pub(super) fn mark(&mut self, server: usize) {
        let node = &mut self.nodes[server];
        node.in_hand_area += node.model.open() as f64 * (self.now_ms - node.in_hand_since_ms);
        node.in_hand_since_ms = self.now_ms;
    }

    pub(super) fn arrive(&mut self, dispatch: usize) {
        let (server, op, attempt) = {
            let d = &self.dispatches[dispatch];
            (d.server, d.op, d.attempt)
        };
        let net_ms = self.dispatches[dispatch].net_ms;
        if !self.nodes[server].up || self.nodes[server].start != self.dispatches[dispatch].start {
            return self
                .queue
                .put(self.now_ms + net_ms, Ev::End { dispatch, end: SocketEnd::ConnectRefused });
        }
        self.mark(server);
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
        let most = self.day.fleet.kinds[self.nodes[server].kind].connections;
        if most.is_some_and(|most| self.nodes[server].model.open() >= most) {
            self.leaves_server(dispatch, 3);
            let end = SocketEnd::BrokeBeforeAnswer;
            return self.queue.put(self.now_ms + net_ms, Ev::End { dispatch, end });
        }
        let (share, of) = self.nodes[server].erring.clone();
        if of.is_none_or(|of| of == model) && self.nodes[server].chance.happens(share) {
            self.leaves_server(dispatch, 3);
            return self
                .queue
                .put(self.now_ms + net_ms, Ev::End { dispatch, end: SocketEnd::ErrorStatus(500) });
        }
        let lost = self.nodes[server].answer_lost;
        self.dispatches[dispatch].lost = writes && self.nodes[server].chance.happens(lost);
        let mut did = Vec::new();
        match self.nodes[server].model.arrive(self.now_ms, work, &mut did) {
            Ok(()) => {}
            Err(refusal) => self.refused(dispatch, refusal),
        }
        self.after(server, did);
    }

    pub(super) fn refused(&mut self, dispatch: usize, refusal: Refusal) {
        let server = self.nodes[self.dispatches[dispatch].server].name.clone();
        let (request, code) = (self.dispatches[dispatch].name.clone(), refusal.code().to_owned());
        self.record(What::Rejected { server, request, code });
        self.leaves_server(dispatch, 2);
        let end = SocketEnd::TurnedAway(refusal);
        let net_ms = self.dispatches[dispatch].net_ms;
        self.queue.put(self.now_ms + net_ms, Ev::End { dispatch, end });
    }

    /// A server is done with a dispatch: 1 served, 2 refused, 3 failed or not wanted any more.
    pub(super) fn leaves_server(&mut self, dispatch: usize, how: usize) {
        let d = &mut self.dispatches[dispatch];
        if d.arrived_ms.is_none() || std::mem::replace(&mut d.ended, true) {
            return;
        }
        let (server, stay_ms) = (d.server, self.now_ms - d.arrived_ms.unwrap_or(self.now_ms));
        let request = d.name.clone();
        self.nodes[server].stay_ms += stay_ms;
        self.run.balance[how] += 1;
        let server = self.nodes[server].name.clone();
        self.record(What::Ended { server, request });
    }
}
