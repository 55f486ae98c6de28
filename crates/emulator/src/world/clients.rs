//! Simulated clients: sessions of several turns, retries as the day configures them, and clients that leave
//! early.

use std::rc::Rc;

use paddleproxy::interface::{
    Arrival, CompletionId, CustomerId, Effect, Group, PrefixId, SessionId, WorkloadId,
};

use crate::random::{mix_seed, RandomStream};
use crate::record::What;
use crate::server::Prompt;
use crate::troubles::Ramp;

use super::{ClientObservation, SimEvent, World};

/// Changes in client behaviour caused by troubles in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientConditions {
    /// API key and factor on its session rate.
    pub burst: Option<(String, f64)>,
    pub ramp: Option<Ramp>,
    /// Share of turns with a longer prompt, and the factor on the tokens they add.
    pub long_prompts: Option<(f64, f64)>,
    /// Share of sessions that begin with one common prefix, and its tokens.
    pub hot_prefix: Option<(f64, f64)>,
    /// Share of requests whose client leaves early.
    pub leaving_share: f64,
}

pub(crate) struct Session {
    load: usize,
    rng: RandomStream,
    key: u64,
    /// Key and tokens of the prefix shared with other sessions; 0 tokens: none.
    shared_prefix: (u64, f64),
    /// Key and end in tokens of each turn so far.
    turns: Vec<(u64, f64)>,
    turn: usize,
}

/// One request of a client, over all its attempts.
pub(crate) struct Operation {
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
    /// The completion that the client waits for: router, boot number and id.
    pub completion: Option<(usize, u64, CompletionId)>,
    /// The current attempt has ended for the client.
    done: bool,
    /// The current attempt has received its first event.
    first: bool,
}

/// New sessions are skipped while this many are open.
const MAX_OPEN_SESSIONS: usize = 200_000;

impl World {
    pub(crate) fn session_rate(&self, load: usize) -> f64 {
        let load = &self.day.clients[load];
        let burst =
            self.conditions.burst.as_ref().filter(|(key, _)| *key == load.key).map_or(1.0, |(_, by)| *by);
        let ramp = self.conditions.ramp.as_ref().map_or(1.0, |ramp| ramp.at(self.now_ms, &load.key));
        load.sessions_per_s * self.options.load * burst * ramp
    }

    pub(crate) fn start_session(&mut self, load: usize) {
        let rate = self.session_rate(load);
        let gap_ms = self.load_rngs[load].gap_ms(rate);
        let next_ms = self.now_ms + gap_ms;
        if next_ms <= self.day.length_ms {
            self.queue.push(next_ms, SimEvent::SessionArrival { load });
        }
        if self.now_ms > self.day.length_ms || self.open_sessions >= MAX_OPEN_SESSIONS {
            return;
        }
        let key = self.load_rngs[load].next_u64() >> 11;
        let mut rng = RandomStream::new(self.options.seed, 3, key);
        let row = &self.day.clients[load];
        let shared_prefix = match self.conditions.hot_prefix.filter(|(share, _)| rng.bernoulli(*share)) {
            Some((_, tokens)) => (mix_seed(7, 0, tokens as u64) >> 11, tokens),
            None if row.shared_tokens == 0 => (0, 0.0),
            None => {
                let number = row.prefix_at(rng.uniform()) as u64;
                (mix_seed(load as u64, 1, number) >> 11, row.shared_tokens as f64)
            }
        };
        let session = self.sessions.len();
        self.sessions.push(Session { load, rng, key, shared_prefix, turns: Vec::new(), turn: 0 });
        self.open_sessions += 1;
        self.start_turn(session);
    }

    pub(crate) fn start_turn(&mut self, session: usize) {
        if self.now_ms > self.day.length_ms {
            self.open_sessions -= 1;
            return;
        }
        let day = self.day.clone();
        let s = &mut self.sessions[session];
        let load = &day.clients[s.load];
        let long = self
            .conditions
            .long_prompts
            .filter(|(share, _)| s.rng.bernoulli(*share))
            .map_or(1.0, |(_, factor)| factor);
        let before = s.turns.last().map_or(s.shared_prefix.1, |(_, end)| *end);
        let end = before + (load.adds_tokens as f64 * long).max(1.0);
        s.turns.push((mix_seed(s.key, 2, s.turn as u64) >> 11, end));
        s.turn += 1;
        let mut prompt: Vec<_> =
            Some(s.shared_prefix).filter(|(_, tokens)| *tokens > 0.0).into_iter().collect();
        prompt.extend(&s.turns);
        let names = &day.router.names;
        let Some(row) = names.workloads.iter().position(|row| row.models.contains(&load.model)) else {
            return;
        };
        let rules = &day.router.decisions.workloads[row];
        let customer = names.customers.iter().position(|row| row.keys.contains(&load.key));
        let shared = s.shared_prefix.1 >= day.router.rules.shared_from_tokens && s.shared_prefix.1 > 0.0;
        let arrival = Arrival {
            completion: CompletionId(0),
            workload: WorkloadId(row),
            session: SessionId(s.key.max(1)),
            prefix: shared.then_some(PrefixId(s.shared_prefix.0)),
            customer: customer.map(CustomerId),
            client_timeout_ms: 0.0,
            prompt_tokens: end,
            prefix_tokens: if shared { s.shared_prefix.1 } else { 0.0 },
            max_tokens: load.answer_tokens as f64,
            answer_hint_ms: None,
            home_zone: None,
            client_retry: false,
            resumed: false,
        };
        let answer = load.answer_tokens as f64 * (0.5 + 0.5 * s.rng.uniform());
        let op = Operation {
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
            completion: None,
            done: false,
            first: false,
        };
        self.ops.push(op);
        self.send_attempt(self.ops.len() - 1);
    }

    /// Sends an attempt to a random router.
    pub(crate) fn send_attempt(&mut self, op: usize) {
        let now_ms = self.now_ms;
        let day = self.day.clone();
        let routers = self.routers.len();
        let (load, session) = (&day.clients[self.ops[op].load], self.ops[op].session);
        let rng = &mut self.sessions[session].rng;
        let router = rng.below(routers);
        let leaves = load.leaves.max(self.conditions.leaving_share);
        let leaves_ms = rng.bernoulli(leaves).then(|| rng.uniform());
        let o = &mut self.ops[op];
        (o.router, o.deadline_ms, o.done, o.first) = (router, now_ms + load.client_timeout_ms, false, false);
        let (attempt, deadline_ms, target_ms) = (o.attempt, o.deadline_ms, o.target_ms);
        let (model, customer) = (o.model.clone(), o.customer.clone());
        let name = format!("op{op}");
        self.record(What::Asked { op: name, attempt, router, model, customer, deadline_ms, target_ms });
        if let Some(part) = leaves_ms {
            self.queue.push(now_ms + part * target_ms, SimEvent::ClientLeaves { op, attempt });
        }
        let net_ms = self.options.net_ms;
        if self.routers[router].up {
            self.queue.push(now_ms + net_ms, SimEvent::RequestAtRouter { op, attempt });
        } else {
            let what = ClientObservation::Broke { connected: false };
            self.queue.push(now_ms + 2.0 * net_ms, SimEvent::ClientObserves { op, attempt, what });
        }
    }

    pub(crate) fn client_leaves(&mut self, op: usize, attempt: u32) {
        if self.ops[op].attempt != attempt || self.ops[op].done {
            return;
        }
        self.ops[op].done = true;
        self.record(What::Left { op: format!("op{op}"), attempt });
        self.close_client_connection(op);
        self.open_sessions -= 1;
    }

    pub(crate) fn client_observes(&mut self, op: usize, attempt: u32, what: ClientObservation) {
        if self.ops[op].attempt != attempt {
            return;
        }
        let name = format!("op{op}");
        if self.ops[op].done {
            // Anything after a final answer is recorded for the checker; a client that has left receives
            // nothing.
            if matches!(
                what,
                ClientObservation::Finished
                    | ClientObservation::Aborted
                    | ClientObservation::RateLimited { .. }
            ) && self.ops[op].completion.is_some()
            {
                self.record(What::More { op: name, attempt });
            }
            return;
        }
        match what {
            ClientObservation::First => {
                self.ops[op].first = true;
                self.record(What::Head { op: name.clone(), attempt, status: 200 });
                self.record(What::First { op: name, attempt });
                return;
            }
            ClientObservation::Finished
            | ClientObservation::Aborted
            | ClientObservation::RateLimited { .. } => {
                let how = match what {
                    ClientObservation::Finished => "finished",
                    ClientObservation::Aborted => "aborted",
                    _ => "rate-limited",
                };
                if !self.ops[op].first {
                    let status = if how == "aborted" { 500 } else { 529 };
                    self.record(What::Head { op: name.clone(), attempt, status });
                }
                self.record(What::Final { op: name, attempt, how: how.to_owned() });
            }
            ClientObservation::Broke { connected } => {
                self.record(What::Broke { op: name, attempt, connected })
            }
        }
        self.ops[op].done = true;
        self.after_attempt(op, what);
    }

    /// Decides what a client does after the end of an attempt: its next turn, a retry, or nothing. It retries
    /// if the attempt cannot have had an effect, or if a second effect is harmless.
    fn after_attempt(&mut self, op: usize, what: ClientObservation) {
        let day = self.day.clone();
        let (load, session) = (&day.clients[self.ops[op].load], self.ops[op].session);
        if what == ClientObservation::Finished {
            let s = &mut self.sessions[session];
            if s.turn < load.turns {
                let think_ms = load.think_ms * (0.5 + s.rng.uniform());
                self.queue.push(self.now_ms + think_ms, SimEvent::NextTurn { session });
            } else {
                self.open_sessions -= 1;
            }
            return;
        }
        let rules = &day.router.decisions.workloads[self.ops[op].arrival.workload.0];
        let repeatable = match rules.effect {
            Effect::Idempotent => true,
            Effect::Tokened if rules.group == Group::All => {
                self.now_ms - self.ops[op].begun_ms + load.client_timeout_ms < rules.window_ms
            }
            _ => false,
        };
        let never_ran = matches!(
            what,
            ClientObservation::RateLimited { .. } | ClientObservation::Broke { connected: false }
        );
        if !(repeatable || never_ran) || self.ops[op].attempt as usize >= load.retries {
            self.open_sessions -= 1;
            return;
        }
        let advised_ms = match what {
            ClientObservation::RateLimited { retry_after_ms } => retry_after_ms,
            _ => 0.0,
        };
        let delay_ms = advised_ms.max(load.retry_after_ms * (0.5 + self.sessions[session].rng.uniform()));
        if self.now_ms + delay_ms > day.length_ms {
            self.open_sessions -= 1;
            return;
        }
        self.ops[op].attempt += 1;
        self.ops[op].completion = None;
        self.queue.push(self.now_ms + delay_ms, SimEvent::Attempt { op });
    }
}
