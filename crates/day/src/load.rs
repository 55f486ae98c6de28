//! The clients of a day: sessions of several turns, with retries as configured in the script.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use paddleproxy::interface::{Effect, Group};
use paddleproxy_emulator::troubles::Ramp;
use paddleproxy_fleet::record::{Record, What};
use paddleproxy_settings::day::{ClientLoad, DaySettings};
use paddleproxy_settings::process_faults::Traffic;
use serde_json::json;
use tokio::time::{sleep, sleep_until};

use crate::client::{send_request, ClientEvent, ClientRequest};
use crate::mesh::{Endpoint, Mesh};

/// Effects of the active troubles on the clients.
#[derive(Default)]
pub struct ClientConditions {
    /// API key whose sessions are multiplied, and the factor.
    pub burst: RefCell<Option<(String, f64)>>,
    pub ramp: RefCell<Option<Ramp>>,
    /// Share of the turns with a longer prompt, and the factor.
    pub long: Cell<Option<(f64, f64)>>,
    /// Share of the sessions that start with one common prompt, and its length in tokens.
    pub hot: Cell<Option<(f64, usize)>>,
    /// Share of the attempts whose client leaves early, if larger than that of the load.
    pub leave_share: Cell<f64>,
}

/// State shared by all clients.
pub struct Clients {
    pub day: Rc<DaySettings>,
    pub record: Record,
    pub conditions: Rc<ClientConditions>,
    /// Latest client address of each router.
    pub routers: Rc<RefCell<Vec<SocketAddr>>>,
    pub open: Cell<usize>,
    mesh: Option<Rc<Mesh>>,
    next_op: Cell<u64>,
}

/// Limit of open sessions over all loads; beyond it no session is started.
const MAX_SESSIONS: usize = 4000;

/// Decrements the count of open sessions when it is dropped.
struct Session(Rc<Clients>);

impl Drop for Session {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl Clients {
    pub fn new(
        day: Rc<DaySettings>,
        record: Record,
        conditions: Rc<ClientConditions>,
        routers: Rc<RefCell<Vec<SocketAddr>>>,
        mesh: Option<Rc<Mesh>>,
    ) -> Self {
        Clients { day, record, conditions, routers, open: Cell::new(0), mesh, next_op: Cell::new(0) }
    }

    /// Starts sessions of one load until the end of the day.
    pub async fn run(self: Rc<Self>, row: usize) {
        let load = self.day.clients[row].clone();
        let mut rng = fastrand::Rng::with_seed(self.day.seed.wrapping_mul(31).wrapping_add(row as u64));
        let mut at_ms = 0.0;
        loop {
            let burst = self
                .conditions
                .burst
                .borrow()
                .as_ref()
                .filter(|(key, _)| *key == load.key)
                .map(|(_, by)| *by);
            let ramp = self.conditions.ramp.borrow().as_ref().map_or(1.0, |ramp| ramp.at(at_ms, &load.key));
            let rate = load.sessions_per_s * burst.unwrap_or(1.0) * ramp;
            at_ms += -(1.0 - rng.f64()).ln() / rate.max(1e-3) * 1e3;
            if at_ms > self.day.length_ms {
                return;
            }
            sleep_until(self.record.at(at_ms)).await;
            if self.open.get() < MAX_SESSIONS {
                self.open.set(self.open.get() + 1);
                let session = Session(self.clone());
                tokio::task::spawn_local(self.clone().session(load.clone(), rng.fork(), session));
            }
        }
    }

    async fn session(self: Rc<Self>, load: ClientLoad, mut rng: fastrand::Rng, _open: Session) {
        let name = format!("s{:x}", rng.u64(..));
        let hot = self.conditions.hot.get().filter(|(share, _)| rng.f64() < *share).map(|(_, tokens)| tokens);
        let beginning = match hot {
            Some(tokens) => text("hot beginning", tokens),
            None => text(&format!("beginning {}", load.prefix_at(rng.f64())), load.shared_tokens),
        };
        let mut turns = Vec::new();
        for turn in 0..load.turns {
            let long =
                self.conditions.long.get().filter(|(share, _)| rng.f64() < *share).map_or(1.0, |(_, by)| by);
            let message = text(&format!("{name} turn {turn}"), (load.adds_tokens as f64 * long) as usize);
            turns.push(json!({ "role": "user", "content": message }));
            let answer = self.operation(&load, &name, &beginning, &turns, &mut rng).await;
            if self.record.now_ms() > self.day.length_ms || answer.is_none() {
                return;
            }
            turns.push(json!({ "role": "assistant", "content": answer }));
            sleep(Duration::from_secs_f64(load.think_ms * (0.5 + rng.f64()) / 1e3)).await;
        }
    }

    /// Runs one client operation with all its attempts; returns the text of its answer.
    async fn operation(
        &self,
        load: &ClientLoad,
        session: &str,
        beginning: &str,
        turns: &[serde_json::Value],
        rng: &mut fastrand::Rng,
    ) -> Option<String> {
        let op = format!("op{}", self.next_op.get());
        self.next_op.set(self.next_op.get() + 1);
        let names = &self.day.router.names;
        let row = names.workloads.iter().position(|workload| workload.models.contains(&load.model))?;
        let rules = &self.day.router.decisions.workloads[row];
        // In the chat completions API the system prompt is a message too.
        let chat = load.path.ends_with("/chat/completions");
        let first = chat.then(|| json!({ "role": "system", "content": beginning }));
        let messages: Vec<_> = first.iter().chain(turns).collect();
        let system = if chat { serde_json::Value::Null } else { beginning.into() };
        let body = json!({
            "model": load.model, "max_tokens": load.answer_tokens, "stream": load.stream, "system": system,
            "messages": messages,
        })
        .to_string();
        let tokens = body.len() as f64 / self.day.router.rules.bytes_per_token;
        let target_ms = rules.latency_target_ms + rules.target_per_token_ms * tokens;
        let customer = names.customers.iter().find(|row| row.keys.contains(&load.key));
        let customer = customer.map_or("", |row| row.name.as_str());
        let started_ms = self.record.now_ms();
        for attempt in 0..=load.retries as u32 {
            let (router, address) = {
                let routers = self.routers.borrow();
                let router = rng.usize(..routers.len());
                (router, routers[router])
            };
            let leaves = load.leaves.max(self.conditions.leave_share.get());
            let leaves_after = (rng.f64() < leaves).then(|| rng.f64() * target_ms);
            let request = ClientRequest {
                path: load.path.clone(),
                key: load.key.clone(),
                session: session.to_owned(),
                id: format!("{op}/{attempt}"),
                effect_key: op.clone(),
                timeout_ms: load.client_timeout_ms,
                body: body.clone(),
            };
            let now_ms = self.record.now_ms();
            self.record.add(What::Asked {
                op: op.clone(),
                attempt,
                router,
                model: load.model.clone(),
                customer: customer.to_owned(),
                deadline_ms: now_ms + load.client_timeout_ms,
                target_ms,
            });
            let mut outcome = AttemptOutcome::default();
            let on_event = |event: ClientEvent| outcome.record(&self.record, &op, attempt, event);
            // A stream that has begun may outlast the client timeout, but no answer of a day takes a minute
            // more.
            let until = self.record.at(now_ms + load.client_timeout_ms + 60_000.0);
            // A cut link accepts no connection: port 1 refuses it. A connection that is already open stays
            // open.
            let cut = self.mesh.as_ref().is_some_and(|mesh| {
                mesh.link_conditions(&Endpoint::Clients, &Endpoint::Router(router), Traffic::Clients)
                    .cut
                    .is_some()
            });
            let address = if cut { SocketAddr::from(([127, 0, 0, 1], 1)) } else { address };
            let attempt_future = send_request(address, &request, until, on_event);
            match leaves_after {
                None => attempt_future.await,
                Some(ms) => {
                    let wait = Duration::from_secs_f64(ms / 1e3);
                    if tokio::time::timeout(wait, attempt_future).await.is_err() {
                        self.record.add(What::Left { op, attempt });
                        return None;
                    }
                }
            }
            if outcome.how == "finished" {
                return Some(outcome.text);
            }
            let harmless = match rules.effect {
                Effect::Idempotent => true,
                Effect::Tokened if rules.group == Group::All => {
                    self.record.now_ms() - started_ms + load.client_timeout_ms < rules.window_ms
                }
                _ => false,
            };
            if !harmless && outcome.how != "rate-limited" && outcome.how != "unreachable" {
                return None;
            }
            let wait_ms = outcome.retry_after_ms.max(load.retry_after_ms * (0.5 + rng.f64()));
            sleep(Duration::from_secs_f64(wait_ms / 1e3)).await;
            if self.record.now_ms() > self.day.length_ms {
                return None;
            }
        }
        None
    }
}

#[derive(Default)]
struct AttemptOutcome {
    how: &'static str,
    text: String,
    retry_after_ms: f64,
}

impl AttemptOutcome {
    fn record(&mut self, record: &Record, op: &str, attempt: u32, event: ClientEvent) {
        let op = op.to_owned();
        match event {
            ClientEvent::Head { status, retry_after_ms } => {
                self.retry_after_ms = retry_after_ms;
                record.add(What::Head { op, attempt, status });
            }
            ClientEvent::First => record.add(What::First { op, attempt }),
            ClientEvent::Text(text) => self.text.push_str(&text),
            ClientEvent::Final(how) => {
                self.how = how;
                record.add(What::Final { op, attempt, how: how.to_owned() });
            }
            ClientEvent::More => record.add(What::More { op, attempt }),
            ClientEvent::Broke { connected } => {
                self.how = if connected { "broke" } else { "unreachable" };
                record.add(What::Broke { op, attempt, connected });
            }
        }
    }
}

/// A text of the given number of four-byte tokens. A unique start keeps it from sharing a cached prefix with
/// others.
fn text(start: &str, tokens: usize) -> String {
    let mut text = String::with_capacity(tokens * 4 + 4);
    text.push_str(start);
    while text.len() < tokens * 4 {
        text.push_str(" abc");
    }
    text.truncate(tokens * 4);
    text
}
