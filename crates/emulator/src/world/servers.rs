//! Processing of the events that a server's state machine emits.

use super::*;

impl World {
    /// Processes the events of a server and schedules the end of its next step.
    pub(super) fn process_events(&mut self, server: usize, events: Vec<ServerEvent>) {
        for event in events {
            match event {
                ServerEvent::Fetch(id) => self.begin_fetch(server, id as usize),
                ServerEvent::Refused { id, refusal } => self.reject_dispatch(id as usize, refusal),
                ServerEvent::Read { id, cached_tokens } => {
                    let dispatch = id as usize;
                    self.dispatches[dispatch].cached_tokens = cached_tokens;
                    let (name, request) =
                        (self.nodes[server].name.clone(), self.dispatches[dispatch].name.clone());
                    self.record(What::State { server: name, request });
                    let unneeded = self.dispatches[dispatch].ended || self.dispatches[dispatch].unneeded;
                    self.finish_at_server(dispatch, 1);
                    if unneeded {
                        self.drop_state(server, dispatch, "unwanted");
                    } else {
                        let (start, lease_ms) = (self.nodes[server].start, self.day.fleet.lease_ms);
                        self.queue
                            .push(self.now_ms + lease_ms, SimEvent::LeaseExpired { server, start, dispatch });
                        let net_ms = self.dispatches[dispatch].net_ms;
                        self.queue.push(
                            self.now_ms + net_ms,
                            SimEvent::DispatchEnd { dispatch, end: SocketEnd::ReadDone },
                        );
                    }
                }
                ServerEvent::Token(_) => {}
                ServerEvent::First { id, cached_tokens } => {
                    self.first_token(server, id as usize, cached_tokens)
                }
                ServerEvent::Finished { id } => {
                    let dispatch = id as usize;
                    let end = if self.dispatches[dispatch].answer_lost {
                        SocketEnd::BrokeBeforeAnswer
                    } else {
                        SocketEnd::AnswerDone
                    };
                    self.finish_at_server(dispatch, 1);
                    let net_ms = self.dispatches[dispatch].net_ms;
                    self.queue.push(self.now_ms + net_ms, SimEvent::DispatchEnd { dispatch, end });
                }
            }
        }
        if let Some(at_ms) = self.nodes[server].model.step_end_ms() {
            if !self.nodes[server].model.faults.silent {
                let start = self.nodes[server].start;
                self.queue.push(at_ms, SimEvent::StepEnd { server, start });
            }
        }
        if self.options.policy == Policy::LeastTrueLoad {
            let load = self.nodes[server].model.current_load();
            let worker = WorkerId(Arc::from(self.nodes[server].name.as_str()));
            let kind = &self.nodes[server].model.kind;
            let busy = load.active_requests / kind.slots as f64
                + load.waiting_tokens / (kind.read_tokens_per_ms * 1e3);
            self.true_loads.borrow_mut().insert(worker, busy);
        }
    }

    /// The first token of an answer: the point at which the work takes effect.
    pub(super) fn first_token(&mut self, server: usize, dispatch: usize, cached_tokens: f64) {
        let d = &mut self.dispatches[dispatch];
        if d.stage == Stage::Whole {
            d.cached_tokens = cached_tokens;
        }
        d.first_token_sent = true;
        let (router, boot, completion, seq, lost) = (d.router, d.boot, d.completion, d.seq, d.answer_lost);
        let (op, took_ms, request) = (d.op, self.now_ms - d.sent_ms, d.name.clone());
        let key = format!("op{op}");
        let repeat = self.is_repeat(dispatch, &key);
        let name = self.nodes[server].name.clone();
        self.record(What::Effect { server: name, request, key, repeat });
        if self.ops[op].streamed && !lost {
            let input = Box::new(Input::Began { completion, seq, took_ms });
            let net_ms = self.dispatches[dispatch].net_ms;
            self.queue.push(self.now_ms + net_ms, SimEvent::RouterInput { router, boot, input });
        }
    }

    /// Whether the servers drop this dispatch as a repeat of an operation that took effect before.
    pub(super) fn is_repeat(&mut self, dispatch: usize, key: &str) -> bool {
        let (server, op, arrived_ms) = {
            let d = &self.dispatches[dispatch];
            (d.server, d.op, d.arrived_ms.unwrap_or(self.now_ms))
        };
        let model = &self.ops[op].model;
        let Some(rule) = self.day.fleet.dedup_rules.iter().find(|rule| rule.model == *model) else {
            return false;
        };
        let group = deduplication::group_name(rule.group, &self.nodes[server].zone, self.nodes[server].cell);
        self.seen_effects.check_and_record(group, key, arrived_ms, self.now_ms, rule.window_ms)
    }

    pub(super) fn end_step(&mut self, server: usize, start: u64) {
        let node = &self.nodes[server];
        // An event scheduled before the server's speed changed is stale; the step end has an event of its
        // own.
        let due = node.model.step_end_ms().is_some_and(|at| at <= self.now_ms + 1e-9);
        if !node.up || node.start != start || node.model.faults.silent || !due {
            return;
        }
        self.update_in_system(server);
        let mut events = Vec::new();
        self.nodes[server].model.step(self.now_ms, &mut events);
        self.process_events(server, events);
    }

    /// Resumes a server after a hang.
    pub(super) fn resume_server(&mut self, server: usize) {
        self.process_events(server, Vec::new());
    }
}
