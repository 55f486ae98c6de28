//! The clients of a day: sessions of turns, retries as the script says.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use paddleproxy::interface::{Effect, Group};
use paddleproxy_emulator::troubles::Ramp;
use paddleproxy_fleet::record::{Record, What};
use paddleproxy_settings::day::{ClientLoad, DaySettings};
use paddleproxy_settings::rig::Carries;
use serde_json::json;
use tokio::time::{sleep, sleep_until};

use crate::client::{send_request, ClientEvent, ClientRequest};
use crate::mesh::{End, Mesh};

/// What troubles make of the clients.
#[derive(Default)]
pub struct Mood {
    pub burst: RefCell<Option<(String, f64)>>,
    pub ramp: RefCell<Option<Ramp>>,
    pub long: Cell<Option<(f64, f64)>>,
    pub hot: Cell<Option<(f64, usize)>>,
    pub gives_up: Cell<f64>,
}

/// What all clients share.
pub struct Clients {
    pub day: Rc<DaySettings>,
    pub record: Record,
    pub mood: Rc<Mood>,
    /// Where each router was last known to listen.
    pub routers: Rc<RefCell<Vec<SocketAddr>>>,
    pub open: Cell<usize>,
    mesh: Option<Rc<Mesh>>,
    next_op: Cell<u64>,
}

/// Sessions open at once, over all loads; further ones are not begun.
const SESSIONS_MAX: usize = 4000;

/// Counts one open session.
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
        mood: Rc<Mood>,
        routers: Rc<RefCell<Vec<SocketAddr>>>,
        mesh: Option<Rc<Mesh>>,
    ) -> Self {
        Clients { day, record, mood, routers, open: Cell::new(0), mesh, next_op: Cell::new(0) }
    }

    /// Begins sessions of one load until the day's length is over.
    pub async fn run(self: Rc<Self>, row: usize) {
        let load = self.day.clients[row].clone();
        let mut chance = fastrand::Rng::with_seed(self.day.seed.wrapping_mul(31).wrapping_add(row as u64));
        let mut at_ms = 0.0;
        loop {
            let burst =
                self.mood.burst.borrow().as_ref().filter(|(key, _)| *key == load.key).map(|(_, by)| *by);
            let ramp = self.mood.ramp.borrow().as_ref().map_or(1.0, |ramp| ramp.at(at_ms, &load.key));
            let rate = load.sessions_per_s * burst.unwrap_or(1.0) * ramp;
            at_ms += -(1.0 - chance.f64()).ln() / rate.max(1e-3) * 1e3;
            if at_ms > self.day.length_ms {
                return;
            }
            sleep_until(self.record.at(at_ms)).await;
            if self.open.get() < SESSIONS_MAX {
                self.open.set(self.open.get() + 1);
                let session = Session(self.clone());
                tokio::task::spawn_local(self.clone().session(load.clone(), chance.fork(), session));
            }
        }
    }

    async fn session(self: Rc<Self>, load: ClientLoad, mut chance: fastrand::Rng, _open: Session) {
        let name = format!("s{:x}", chance.u64(..));
        let hot = self.mood.hot.get().filter(|(share, _)| chance.f64() < *share).map(|(_, tokens)| tokens);
        let beginning = match hot {
            Some(tokens) => text("hot beginning", tokens),
            None => text(&format!("beginning {}", load.beginning_at(chance.f64())), load.shared_tokens),
        };
        let mut turns = Vec::new();
        for turn in 0..load.turns {
            let long =
                self.mood.long.get().filter(|(share, _)| chance.f64() < *share).map_or(1.0, |(_, by)| by);
            let said = text(&format!("{name} turn {turn}"), (load.adds_tokens as f64 * long) as usize);
            turns.push(json!({ "role": "user", "content": said }));
            let answer = self.operation(&load, &name, &beginning, &turns, &mut chance).await;
            if self.record.now_ms() > self.day.length_ms || answer.is_none() {
                return;
            }
            turns.push(json!({ "role": "assistant", "content": answer }));
            sleep(Duration::from_secs_f64(load.think_ms * (0.5 + chance.f64()) / 1e3)).await;
        }
    }

    /// One thing a client wants, over all its tries; the answer's text.
    async fn operation(
        &self,
        load: &ClientLoad,
        session: &str,
        beginning: &str,
        turns: &[serde_json::Value],
        chance: &mut fastrand::Rng,
    ) -> Option<String> {
        let op = format!("op{}", self.next_op.get());
        self.next_op.set(self.next_op.get() + 1);
        let names = &self.day.router.names;
        let row = names.workloads.iter().position(|workload| workload.models.contains(&load.model))?;
        let rules = &self.day.router.decisions.workloads[row];
        // In the chat completions form the system's text is a message too.
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
        let begun_ms = self.record.now_ms();
        for attempt in 0..=load.retries as u32 {
            let (router, address) = {
                let routers = self.routers.borrow();
                let router = chance.usize(..routers.len());
                (router, routers[router])
            };
            let leaves = load.leaves.max(self.mood.gives_up.get());
            let leaves_after = (chance.f64() < leaves).then(|| chance.f64() * target_ms);
            let asking = ClientRequest {
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
            let mut outcome = Tried::default();
            let seeing = |seen: ClientEvent| outcome.see(&self.record, &op, attempt, seen);
            // A stream that has begun may take long; nothing here takes a minute.
            let until = self.record.at(now_ms + load.client_timeout_ms + 60_000.0);
            // A link that is cut takes no connection; one that is up when it is made stays so.
            let cut = self.mesh.as_ref().is_some_and(|mesh| {
                mesh.weather(&End::Clients, &End::Router(router), Carries::Clients).cut.is_some()
            });
            let address = if cut { SocketAddr::from(([127, 0, 0, 1], 1)) } else { address };
            let asked = send_request(address, &asking, until, seeing);
            match leaves_after {
                None => asked.await,
                Some(ms) => {
                    let waits = Duration::from_secs_f64(ms / 1e3);
                    if tokio::time::timeout(waits, asked).await.is_err() {
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
                    self.record.now_ms() - begun_ms + load.client_timeout_ms < rules.window_ms
                }
                _ => false,
            };
            if !harmless && outcome.how != "rate-limited" && outcome.how != "unreachable" {
                return None;
            }
            let waits_ms = outcome.retry_after_ms.max(load.retry_after_ms * (0.5 + chance.f64()));
            sleep(Duration::from_secs_f64(waits_ms / 1e3)).await;
            if self.record.now_ms() > self.day.length_ms {
                return None;
            }
        }
        None
    }
}

#[derive(Default)]
struct Tried {
    how: &'static str,
    text: String,
    retry_after_ms: f64,
}

impl Tried {
    fn see(&mut self, record: &Record, op: &str, attempt: u32, seen: ClientEvent) {
        let op = op.to_owned();
        match seen {
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

/// A text of so many tokens of four bytes that begins as no other does.
fn text(begins: &str, tokens: usize) -> String {
    let mut text = String::with_capacity(tokens * 4 + 4);
    text.push_str(begins);
    while text.len() < tokens * 4 {
        text.push_str(" abc");
    }
    text.truncate(tokens * 4);
    text
}
