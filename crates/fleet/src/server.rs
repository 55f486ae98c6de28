//! One stand-in model server: slots, a bounded queue, memory, kept texts, warm-up, and what may befall it.
//! Work takes real time and no CPU to speak of.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use paddleproxy::interface::Role;
use paddleproxy_emulator::repeats::{self, Seen};
use paddleproxy_engine::{Load, ServerEntry, IN_HAND, QUEUE, WAITING_TOKENS};
use paddleproxy_settings::fleet::{FleetSettings, KindOfServer, ServerRow};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::list::ListService;
use crate::record::{Record, What};

/// What all servers of a fleet share.
pub struct Shared {
    pub settings: FleetSettings,
    pub record: Record,
    pub list: Rc<ListService>,
    /// How much slower a cell's links are.
    pub links: RefCell<BTreeMap<u32, f64>>,
    /// What the servers that drop repeats remember.
    seen: RefCell<Seen>,
    pub chance: RefCell<fastrand::Rng>,
}

impl Shared {
    pub fn new(settings: FleetSettings, record: Record, list: Rc<ListService>) -> Self {
        let chance = RefCell::new(fastrand::Rng::with_seed(settings.seed));
        Shared { settings, record, list, links: RefCell::default(), seen: RefCell::default(), chance }
    }

    pub fn by_chance(&self, share: f64) -> bool {
        share > 0.0 && self.chance.borrow_mut().f64() < share
    }
}

/// What befalls a server at present; all as usual by default.
#[derive(Clone, Default)]
pub struct Trouble {
    pub silent: bool,
    pub slow: f64,
    /// Grows slower by this factor a second since then.
    pub ageing: Option<(f64, f64)>,
    pub erring: f64,
    pub erring_model: Option<String>,
    pub answer_lost: f64,
    pub pausing: Option<(f64, f64)>,
    pub draining: bool,
}

pub struct KeptState {
    pub request: String,
    pub tokens: f64,
    pub moving: bool,
}

#[derive(Default)]
pub struct State {
    pub trouble: Trouble,
    started_ms: Option<f64>,
    busy: usize,
    reading: usize,
    queue: VecDeque<oneshot::Sender<()>>,
    memory: f64,
    waiting_tokens: f64,
    pub states: BTreeMap<u64, KeptState>,
    /// Dispatches whose state is not wanted any more, and places kept ahead.
    pub released: BTreeMap<String, f64>,
    pub places: BTreeMap<String, Slot>,
    /// Ends of kept texts by hash, and when each was last used.
    kept: BTreeMap<u64, f64>,
    arrivals: VecDeque<(f64, f64)>,
    report: Option<(f64, Load)>,
}

pub struct Server {
    pub shared: Rc<Shared>,
    pub row: ServerRow,
    pub kind: KindOfServer,
    pub name: RefCell<String>,
    pub address: Cell<SocketAddr>,
    pub start: Cell<u64>,
    pub up: Cell<bool>,
    pub state: RefCell<State>,
    next_block: Cell<u64>,
}

/// Text that counts as one token, and as one block of kept text, in bytes.
pub const TOKEN_BYTES: usize = 4;
const BLOCK_BYTES: usize = 256;

fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hash = DefaultHasher::new();
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            block.hash(&mut hash);
            hash.finish()
        })
        .collect()
}

/// The part of a dispatch's name that names its completion.
pub fn completion_of(request: &str) -> &str {
    request.rsplit_once('.').map_or(request, |(completion, _)| completion)
}

/// A slot in use; given back when dropped, unless its server died meanwhile.
pub struct Slot {
    server: Rc<Server>,
    start: u64,
    memory: f64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.server.start.get() != self.start {
            return;
        }
        let mut state = self.server.state.borrow_mut();
        state.memory -= self.memory;
        state.busy -= 1;
        while let Some(next) = state.queue.pop_front() {
            if next.send(()).is_ok() {
                state.busy += 1;
                break;
            }
        }
    }
}

impl Server {
    pub fn new(shared: Rc<Shared>, row: ServerRow, address: SocketAddr) -> Rc<Self> {
        let kind = shared.settings.kinds[row.kind].clone();
        Rc::new(Server {
            name: RefCell::new(row.name.clone()),
            shared,
            row,
            kind,
            address: Cell::new(address),
            start: Cell::new(0),
            up: Cell::new(false),
            state: RefCell::default(),
            next_block: Cell::new(1),
        })
    }

    pub fn name(&self) -> String {
        self.name.borrow().clone()
    }

    pub fn record(&self, what: What) {
        self.shared.record.add(what);
    }

    pub fn now_ms(&self) -> f64 {
        self.shared.record.now_ms()
    }

    pub fn list(&self, readiness: &str) {
        let entry = ServerEntry {
            name: self.name(),
            address: self.address.get().to_string(),
            zone: self.row.zone.clone(),
            kind: self.kind.name.clone(),
            cell: self.row.cell,
            readiness: readiness.into(),
            weight: 1.0,
            start: self.start.get(),
            age_ms: None,
        };
        self.shared.list.change(entry, self.state.borrow().started_ms);
    }

    /// A new process: it has kept nothing, and is cold unless it ran before the day.
    pub fn begin(&self, cold: bool) {
        self.start.set(self.start.get() + 1);
        *self.state.borrow_mut() = State { started_ms: cold.then(|| self.now_ms()), ..State::default() };
        self.up.set(true);
        self.record(What::Started {
            server: self.name(),
            zone: self.row.zone.clone(),
            cell: self.row.cell,
            cold,
        });
        self.list("ready");
    }

    /// The process ends; what it held is gone with it.
    pub fn end(&self) {
        self.up.set(false);
        self.start.set(self.start.get() + 1);
        let state = std::mem::take(&mut *self.state.borrow_mut());
        for state in state.states.values() {
            self.state_gone(&state.request, "died");
        }
        self.record(What::Died { server: self.name() });
    }

    fn state_gone(&self, request: &str, why: &str) {
        self.record(What::StateGone { server: self.name(), request: request.to_owned(), why: why.into() });
    }

    /// The share of its capacity that it has by its age.
    fn capacity(&self) -> f64 {
        let s = &self.shared.settings;
        let Some(started) = self.state.borrow().started_ms else { return 1.0 };
        let age = (self.now_ms() - started) / s.cold_ms.max(1.0);
        (s.cold_share + (1.0 - s.cold_share) * age).min(1.0)
    }

    /// Notes work that arrives; true if a cold server falls over under it.
    pub fn arrives(&self, work_ms: f64) -> bool {
        let (s, now_ms, capacity) = (&self.shared.settings, self.now_ms(), self.capacity());
        let mut state = self.state.borrow_mut();
        state.arrivals.push_back((now_ms, work_ms));
        while state.arrivals.front().is_some_and(|(at, _)| *at < now_ms - s.fall_ms) {
            state.arrivals.pop_front();
        }
        let sum: f64 = state.arrivals.iter().map(|(_, work)| work).sum();
        capacity < 1.0 && sum > s.fall_multiple * capacity * s.fall_ms
    }

    /// Time of the warm server that a dispatch costs.
    pub fn work_ms(&self, prompt_tokens: f64, answer_tokens: f64, reads: bool) -> f64 {
        let read = if reads { prompt_tokens / self.kind.read_tokens_per_s * 1e3 } else { 0.0 };
        let write = answer_tokens * self.kind.token_ms / self.kind.slots as f64;
        read + if self.kind.role == Role::Reader { 0.0 } else { write }
    }

    /// Waits for a slot; None where slots and queue are full.
    pub async fn slot(self: &Rc<Self>, tokens: f64) -> Option<Slot> {
        let waits = {
            let mut state = self.state.borrow_mut();
            if state.memory + tokens > self.kind.memory_tokens {
                return None;
            }
            if state.busy < self.kind.slots {
                state.busy += 1;
                None
            } else if state.queue.len() < self.kind.queue {
                let (sender, receiver) = oneshot::channel();
                state.queue.push_back(sender);
                Some(receiver)
            } else {
                return None;
            }
        };
        if let Some(turn) = waits {
            turn.await.ok()?;
        }
        self.state.borrow_mut().memory += tokens;
        Some(Slot { server: self.clone(), start: self.start.get(), memory: tokens })
    }

    /// A slot at once, for a place kept ahead.
    pub fn slot_now(self: &Rc<Self>, tokens: f64) -> Option<Slot> {
        let mut state = self.state.borrow_mut();
        let free = state.busy < self.kind.slots && state.queue.is_empty();
        if !free || state.memory + tokens > self.kind.memory_tokens {
            return None;
        }
        state.busy += 1;
        state.memory += tokens;
        Some(Slot { server: self.clone(), start: self.start.get(), memory: tokens })
    }

    /// Lets so much of the warm, lone server's time pass as work at the present speed.
    pub async fn work(&self, ms: f64) {
        // A timer is good for a millisecond; what is far less counts as none.
        let mut left = if ms < 0.1 { 0.0 } else { ms };
        while left > 0.0 {
            let (slow, pausing) = {
                let trouble = &self.state.borrow().trouble;
                let aged = trouble.ageing.map_or(1.0, |(since, factor)| {
                    1.0 + (factor - 1.0) * (self.now_ms() - since).max(0.0) / 1e3
                });
                (trouble.slow.max(1.0) * aged, trouble.pausing)
            };
            if let Some((pause, every)) = pausing {
                let into = self.now_ms() % every;
                if into < pause {
                    sleep(Duration::from_secs_f64((pause - into) / 1e3)).await;
                }
            }
            let speed = self.capacity() / slow;
            let step = left.min(50.0 * speed);
            sleep(Duration::from_secs_f64(step / speed / 1e3)).await;
            left -= step;
        }
    }

    /// Reads a prompt from where its kept beginning ends; tokens found kept.
    pub async fn read(self: &Rc<Self>, prompt: &str, tokens: f64) -> f64 {
        let hashes = block_hashes(prompt);
        let kept = {
            let state = self.state.borrow();
            hashes.iter().rposition(|hash| state.kept.contains_key(hash)).map_or(0, |last| last + 1)
        };
        let kept_tokens = ((kept * BLOCK_BYTES) as f64 / TOKEN_BYTES as f64).min(tokens);
        let reading = Reading::new(self, tokens - kept_tokens);
        let shared = self.state.borrow().reading as f64;
        self.work((tokens - kept_tokens) / self.kind.read_tokens_per_s * 1e3 * shared).await;
        drop(reading);
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        state.kept.extend(hashes.into_iter().map(|hash| (hash, now_ms)));
        let most = (self.kind.memory_tokens * TOKEN_BYTES as f64 / BLOCK_BYTES as f64) as usize;
        if state.kept.len() > most {
            let mut ages: Vec<_> = state.kept.iter().map(|(hash, at)| (*at, *hash)).collect();
            ages.sort_by(|a, b| a.0.total_cmp(&b.0));
            let spare = state.kept.len() - most / 2;
            for (_, hash) in ages.into_iter().take(spare) {
                state.kept.remove(&hash);
            }
        }
        kept_tokens
    }

    pub fn flush(&self) {
        self.state.borrow_mut().kept.clear();
    }

    /// Keeps a state until it is taken, released, or its lease ends.
    pub fn keep_state(self: &Rc<Self>, request: &str, tokens: f64) -> u64 {
        let block = self.next_block.get();
        self.next_block.set(block + 1);
        let kept = KeptState { request: request.to_owned(), tokens, moving: false };
        self.state.borrow_mut().states.insert(block, kept);
        self.state.borrow_mut().memory += tokens;
        self.record(What::State { server: self.name(), request: request.to_owned() });
        let (server, start) = (self.clone(), self.start.get());
        tokio::task::spawn_local(async move {
            sleep(Duration::from_secs_f64(server.shared.settings.lease_ms / 1e3)).await;
            if server.start.get() == start {
                server.drop_state(block, "lease");
            }
        });
        block
    }

    pub fn drop_state(&self, block: u64, why: &str) -> Option<f64> {
        let gone = self.state.borrow_mut().states.remove(&block)?;
        self.state.borrow_mut().memory -= gone.tokens;
        self.state_gone(&gone.request, why);
        Some(gone.tokens)
    }

    /// Lets go of what a dispatch left here, or will leave once it is read.
    pub fn release(&self, request: &str) {
        let now_ms = self.now_ms();
        let of = |state: &State| {
            let all = state.states.iter().filter(|(_, kept)| kept.request == request && !kept.moving);
            all.map(|(block, _)| *block).collect::<Vec<_>>()
        };
        let blocks = of(&self.state.borrow());
        let place = self.state.borrow_mut().places.remove(completion_of(request));
        drop(place);
        for block in blocks {
            self.drop_state(block, "released");
        }
        let lease_ms = self.shared.settings.lease_ms;
        let mut state = self.state.borrow_mut();
        state.released.retain(|_, at| *at > now_ms - lease_ms);
        state.released.insert(request.to_owned(), now_ms);
    }

    /// Work takes its effect, once for each key in the group of servers that drops repeats.
    pub fn effect(&self, request: &str, key: &str, model: &str, arrived_ms: f64) {
        let rule = self.shared.settings.repeats.iter().find(|rule| rule.model == model);
        let repeat = rule.filter(|_| !key.is_empty()).is_some_and(|rule| {
            let group = repeats::group(rule.group, &self.row.zone, self.row.cell);
            self.shared.seen.borrow_mut().repeats(group, key, arrived_ms, self.now_ms(), rule.window_ms)
        });
        let (server, request, key) = (self.name(), request.to_owned(), key.to_owned());
        self.record(What::Effect { server, request, key, repeat });
    }

    /// Its load as of a while back.
    pub fn load(&self) -> Load {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let every_ms = self.shared.settings.report_every_ms;
        if let Some((at, load)) = state.report.as_ref().filter(|(at, _)| *at > now_ms - every_ms) {
            let _ = at;
            return load.clone();
        }
        let metrics = [
            (IN_HAND, (state.busy + state.states.len()) as f64),
            (QUEUE, state.queue.len() as f64),
            (WAITING_TOKENS, state.waiting_tokens),
        ];
        let load = Load {
            mem_utilization: Some((state.memory / self.kind.memory_tokens).clamp(0.0, 1.0)),
            application_utilization: Some(state.busy as f64 / self.kind.slots as f64),
            named_metrics: metrics.into_iter().map(|(name, value)| (name.to_owned(), value)).collect(),
        };
        state.report = Some((now_ms, load.clone()));
        load
    }
}

/// Tokens that are being read; counted as waiting until then.
struct Reading {
    server: Rc<Server>,
    start: u64,
    tokens: f64,
}

impl Reading {
    fn new(server: &Rc<Server>, tokens: f64) -> Self {
        let mut state = server.state.borrow_mut();
        state.reading += 1;
        state.waiting_tokens += tokens;
        Reading { server: server.clone(), start: server.start.get(), tokens }
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        if self.server.start.get() == self.start {
            let mut state = self.server.state.borrow_mut();
            state.reading -= 1;
            state.waiting_tokens -= self.tokens;
        }
    }
}
