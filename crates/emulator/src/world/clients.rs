//! Clients in virtual time: sessions of turns, retries as the script says, some who leave early.

use std::rc::Rc;

use paddleproxy::interface::{
    Arrival, CompletionId, CustomerId, Effect, Group, PrefixId, SessionId, WorkloadId,
};

use crate::random::{seed, RandomStream};
use crate::record::What;
use crate::server::Prompt;
use crate::troubles::Ramp;

use super::{Ev, Sees, World};

/// What troubles make of the clients.
#[derive(Clone, Debug, Default)]
pub(crate) struct Mood {
    pub burst: Option<(String, f64)>,
    pub ramp: Option<Ramp>,
    pub long: Option<(f64, f64)>,
    pub hot: Option<(f64, f64)>,
    pub gives_up: f64,
}

pub(crate) struct Session {
    load: usize,
    chance: RandomStream,
    key: u64,
    beginning: (u64, f64),
    /// What was said so far: the end of each turn.
    said: Vec<(u64, f64)>,
    turn: usize,
}

/// One thing that a client wants, over all its tries.
pub(crate) struct Op {
    session: usize,
    load: usize,
    pub attempt: u32,
    pub router: usize,
    pub model: String,
    customer: String,
    begun_ms: f64,
    target_ms: f64,
    pub deadline_ms: f64,
    pub streamed: bool,
    pub answer: u32,
    pub prompt: Prompt,
    pub arrival: Arrival,
    /// The completion that it waits for.
    pub at: Option<(usize, u64, CompletionId)>,
    /// Its present try has ended for the client.
    done: bool,
    first: bool,
}

const SESSIONS_MAX: usize = 200_000;

impl World {
    pub(crate) fn rate(&self, load: usize) -> f64 {
        let load = &self.day.clients[load];
        let burst = self.mood.burst.as_ref().filter(|(key, _)| *key == load.key).map_or(1.0, |(_, by)| *by);
        let ramp = self.mood.ramp.as_ref().map_or(1.0, |ramp| ramp.at(self.now_ms, &load.key));
        load.sessions_per_s * self.options.load * burst * ramp
    }

    pub(crate) fn session(&mut self, load: usize) {
        let rate = self.rate(load);
        let gap_ms = self.load_chance[load].gap_ms(rate);
        let next_ms = self.now_ms + gap_ms;
        if next_ms <= self.day.length_ms {
            self.queue.put(next_ms, Ev::Session { load });
        }
        if self.now_ms > self.day.length_ms || self.open_sessions >= SESSIONS_MAX {
            return;
        }
        let key = self.load_chance[load].number() >> 11;
        let mut chance = RandomStream::new(self.options.seed, 3, key);
        let row = &self.day.clients[load];
        let beginning = match self.mood.hot.filter(|(share, _)| chance.happens(*share)) {
            Some((_, tokens)) => (seed(7, 0, tokens as u64) >> 11, tokens),
            None if row.shared_tokens == 0 => (0, 0.0),
            None => {
                let number = row.beginning_at(chance.share()) as u64;
                (seed(load as u64, 1, number) >> 11, row.shared_tokens as f64)
            }
        };
        let session = self.sessions.len();
        self.sessions.push(Session { load, chance, key, beginning, said: Vec::new(), turn: 0 });
        self.open_sessions += 1;
        self.turn(session);
    }

    pub(crate) fn turn(&mut self, session: usize) {
        if self.now_ms > self.day.length_ms {
            self.open_sessions -= 1;
            return;
        }
        let day = self.day.clone();
        let s = &mut self.sessions[session];
        let load = &day.clients[s.load];
        let long =
            self.mood.long.filter(|(share, _)| s.chance.happens(*share)).map_or(1.0, |(_, factor)| factor);
        let before = s.said.last().map_or(s.beginning.1, |(_, end)| *end);
        let end = before + (load.adds_tokens as f64 * long).max(1.0);
        s.said.push((seed(s.key, 2, s.turn as u64) >> 11, end));
        s.turn += 1;
        let mut prompt: Vec<_> = Some(s.beginning).filter(|(_, tokens)| *tokens > 0.0).into_iter().collect();
        prompt.extend(&s.said);
        let names = &day.router.names;
        let Some(row) = names.workloads.iter().position(|row| row.models.contains(&load.model)) else {
            return;
        };
        let rules = &day.router.decisions.workloads[row];
        let customer = names.customers.iter().position(|row| row.keys.contains(&load.key));
        let shared = s.beginning.1 >= day.router.rules.shared_from_tokens && s.beginning.1 > 0.0;
        let arrival = Arrival {
            completion: CompletionId(0),
            workload: WorkloadId(row),
            session: SessionId(s.key.max(1)),
            prefix: shared.then_some(PrefixId(s.beginning.0)),
            customer: customer.map(CustomerId),
            client_timeout_ms: 0.0,
            prompt_tokens: end,
            prefix_tokens: if shared { s.beginning.1 } else { 0.0 },
            max_tokens: load.answer_tokens as f64,
            answer_hint_ms: None,
            home_zone: None,
            client_retry: false,
            resumed: false,
        };
        let answer = load.answer_tokens as f64 * (0.5 + 0.5 * s.chance.share());
        let op = Op {
            session,
            load: s.load,
            attempt: 0,
            router: 0,
            model: load.model.clone(),
            customer: customer.map_or(String::new(), |row| names.customers[row].name.clone()),
            begun_ms: self.now_ms,
            target_ms: rules.latency_target_ms + rules.target_per_token_ms * end,
            deadline_ms: 0.0,
            streamed: load.stream,
            answer: (answer as u32).max(1),
            prompt: Rc::from(prompt),
            arrival,
            at: None,
            done: false,
            first: false,
        };
        self.ops.push(op);
        self.attempt(self.ops.len() - 1);
    }

    /// Sends one try to a router by chance.
    pub(crate) fn attempt(&mut self, op: usize) {
        let now_ms = self.now_ms;
        let day = self.day.clone();
        let routers = self.routers.len();
        let (load, session) = (&day.clients[self.ops[op].load], self.ops[op].session);
        let chance = &mut self.sessions[session].chance;
        let router = chance.below(routers);
        let leaves = load.leaves.max(self.mood.gives_up);
        let leaves_ms = chance.happens(leaves).then(|| chance.share());
        let o = &mut self.ops[op];
        (o.router, o.deadline_ms, o.done, o.first) = (router, now_ms + load.client_timeout_ms, false, false);
        let (attempt, deadline_ms, target_ms) = (o.attempt, o.deadline_ms, o.target_ms);
        let (model, customer) = (o.model.clone(), o.customer.clone());
        let name = format!("op{op}");
        self.record(What::Asked { op: name, attempt, router, model, customer, deadline_ms, target_ms });
        if let Some(part) = leaves_ms {
            self.queue.put(now_ms + part * target_ms, Ev::Leaves { op, attempt });
        }
        let net_ms = self.options.net_ms;
        if self.routers[router].up {
            self.queue.put(now_ms + net_ms, Ev::AtRouter { op, attempt });
        } else {
            let what = Sees::Broke { connected: false };
            self.queue.put(now_ms + 2.0 * net_ms, Ev::Sees { op, attempt, what });
        }
    }

    pub(crate) fn leaves(&mut self, op: usize, attempt: u32) {
        if self.ops[op].attempt != attempt || self.ops[op].done {
            return;
        }
        self.ops[op].done = true;
        self.record(What::Left { op: format!("op{op}"), attempt });
        self.client_gone(op);
        self.open_sessions -= 1;
    }

    pub(crate) fn sees(&mut self, op: usize, attempt: u32, what: Sees) {
        if self.ops[op].attempt != attempt {
            return;
        }
        let name = format!("op{op}");
        if self.ops[op].done {
            // The judge is told of whatever comes after a final answer; a client who left sees nothing.
            if matches!(what, Sees::Finished | Sees::Aborted | Sees::RateLimited { .. })
                && self.ops[op].at.is_some()
            {
                self.record(What::More { op: name, attempt });
            }
            return;
        }
        match what {
            Sees::First => {
                self.ops[op].first = true;
                self.record(What::Head { op: name.clone(), attempt, status: 200 });
                self.record(What::First { op: name, attempt });
                return;
            }
            Sees::Finished | Sees::Aborted | Sees::RateLimited { .. } => {
                let how = match what {
                    Sees::Finished => "finished",
                    Sees::Aborted => "aborted",
                    _ => "rate-limited",
                };
                if !self.ops[op].first {
                    let status = if how == "aborted" { 500 } else { 529 };
                    self.record(What::Head { op: name.clone(), attempt, status });
                }
                self.record(What::Final { op: name, attempt, how: how.to_owned() });
            }
            Sees::Broke { connected } => self.record(What::Broke { op: name, attempt, connected }),
        }
        self.ops[op].done = true;
        self.next(op, what);
    }

    /// What a client does after the end of a try: its next turn, another try, or nothing.
    fn next(&mut self, op: usize, what: Sees) {
        let day = self.day.clone();
        let (load, session) = (&day.clients[self.ops[op].load], self.ops[op].session);
        if what == Sees::Finished {
            let s = &mut self.sessions[session];
            if s.turn < load.turns {
                let think_ms = load.think_ms * (0.5 + s.chance.share());
                self.queue.put(self.now_ms + think_ms, Ev::Turn { session });
            } else {
                self.open_sessions -= 1;
            }
            return;
        }
        let rules = &day.router.decisions.workloads[self.ops[op].arrival.workload.0];
        let harmless = match rules.effect {
            Effect::Idempotent => true,
            Effect::Tokened if rules.group == Group::All => {
                self.now_ms - self.ops[op].begun_ms + load.client_timeout_ms < rules.window_ms
            }
            _ => false,
        };
        let never_ran = matches!(what, Sees::RateLimited { .. } | Sees::Broke { connected: false });
        if !(harmless || never_ran) || self.ops[op].attempt as usize >= load.retries {
            self.open_sessions -= 1;
            return;
        }
        let told_ms = match what {
            Sees::RateLimited { retry_after_ms } => retry_after_ms,
            _ => 0.0,
        };
        let waits_ms = told_ms.max(load.retry_after_ms * (0.5 + self.sessions[session].chance.share()));
        if self.now_ms + waits_ms > day.length_ms {
            self.open_sessions -= 1;
            return;
        }
        self.ops[op].attempt += 1;
        self.ops[op].at = None;
        self.queue.put(self.now_ms + waits_ms, Ev::Attempt { op });
    }
}
