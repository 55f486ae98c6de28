//! Servers: what comes of their work.

use super::*;

impl World {
    /// What a server did is carried on, and its next step is awaited.
    pub(super) fn after(&mut self, server: usize, did: Vec<ServerEvent>) {
        for did in did {
            match did {
                ServerEvent::Fetch(id) => self.fetch(server, id as usize),
                ServerEvent::Refused { id, refusal } => self.refused(id as usize, refusal),
                ServerEvent::Read { id, cached_tokens: kept } => {
                    let dispatch = id as usize;
                    self.dispatches[dispatch].kept = kept;
                    let (name, request) =
                        (self.nodes[server].name.clone(), self.dispatches[dispatch].name.clone());
                    self.record(What::State { server: name, request });
                    let gone = self.dispatches[dispatch].ended || self.dispatches[dispatch].unwanted;
                    self.leaves_server(dispatch, 1);
                    if gone {
                        self.let_go(server, dispatch, "unwanted");
                    } else {
                        let (start, lease_ms) = (self.nodes[server].start, self.day.fleet.lease_ms);
                        self.queue.put(self.now_ms + lease_ms, Ev::Lease { server, start, dispatch });
                        let net_ms = self.dispatches[dispatch].net_ms;
                        self.queue.put(self.now_ms + net_ms, Ev::End { dispatch, end: SocketEnd::ReadDone });
                    }
                }
                ServerEvent::Token(_) => {}
                ServerEvent::First { id, cached_tokens: kept } => self.first(server, id as usize, kept),
                ServerEvent::Finished { id } => {
                    let dispatch = id as usize;
                    let end = if self.dispatches[dispatch].lost {
                        SocketEnd::BrokeBeforeAnswer
                    } else {
                        SocketEnd::AnswerDone
                    };
                    self.leaves_server(dispatch, 1);
                    let net_ms = self.dispatches[dispatch].net_ms;
                    self.queue.put(self.now_ms + net_ms, Ev::End { dispatch, end });
                }
            }
        }
        if let Some(at_ms) = self.nodes[server].model.step_end_ms() {
            if !self.nodes[server].model.faults.silent {
                let start = self.nodes[server].start;
                self.queue.put(at_ms, Ev::Step { server, start });
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

    pub(super) fn first(&mut self, server: usize, dispatch: usize, kept: f64) {
        let d = &mut self.dispatches[dispatch];
        if d.stage == Stage::Whole {
            d.kept = kept;
        }
        d.begun = true;
        let (router, boot, completion, seq, lost) = (d.router, d.boot, d.completion, d.seq, d.lost);
        let (op, took_ms, request) = (d.op, self.now_ms - d.sent_ms, d.name.clone());
        let key = format!("op{op}");
        let repeat = self.repeats(dispatch, &key);
        let name = self.nodes[server].name.clone();
        self.record(What::Effect { server: name, request, key, repeat });
        if self.ops[op].streamed && !lost {
            let input = Box::new(Input::Began { completion, seq, took_ms });
            let net_ms = self.dispatches[dispatch].net_ms;
            self.queue.put(self.now_ms + net_ms, Ev::Tell { router, boot, input });
        }
    }

    /// Whether servers drop this as a repeat.
    pub(super) fn repeats(&mut self, dispatch: usize, key: &str) -> bool {
        let (server, op, arrived_ms) = {
            let d = &self.dispatches[dispatch];
            (d.server, d.op, d.arrived_ms.unwrap_or(self.now_ms))
        };
        let model = &self.ops[op].model;
        let Some(rule) = self.day.fleet.repeats.iter().find(|rule| rule.model == *model) else {
            return false;
        };
        let group = deduplication::group_name(rule.group, &self.nodes[server].zone, self.nodes[server].cell);
        self.seen_effects.check_and_record(group, key, arrived_ms, self.now_ms, rule.window_ms)
    }

    pub(super) fn step(&mut self, server: usize, start: u64) {
        let node = &self.nodes[server];
        // A step foretold before the server's pace changed comes again at its time.
        let due = node.model.step_end_ms().is_some_and(|at| at <= self.now_ms + 1e-9);
        if !node.up || node.start != start || node.model.faults.silent || !due {
            return;
        }
        self.mark(server);
        let mut did = Vec::new();
        self.nodes[server].model.step(self.now_ms, &mut did);
        self.after(server, did);
    }

    /// A server that hung goes on.
    pub(super) fn wake(&mut self, server: usize) {
        self.after(server, Vec::new());
    }
}
