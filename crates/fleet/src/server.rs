//! A simulated model server: runs the emulator's server model in real time and holds the state that only a
//! server with sockets has. Work takes time but hardly any CPU.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;

use paddleproxy_emulator::deduplication::{self, SeenEffects};
use paddleproxy_emulator::server::{ActiveFaults, Kind, Prompt, Server as Model, ServerEvent, Work};
use paddleproxy_engine::{Load, Refusal, ServerEntry, RUNNING_REQUESTS, WAITING_REQUESTS, WAITING_TOKENS};
use paddleproxy_settings::fleet::{FleetSettings, ServerKind, ServerRow};
use tokio::sync::{mpsc, Notify};
use tokio::time::sleep_until;

use crate::links::Links;
use crate::list::ListService;
use crate::record::{Record, What};

/// State shared by all servers of a fleet.
pub struct Shared {
    pub settings: FleetSettings,
    pub record: Record,
    pub list: Rc<ListService>,
    pub links: Links,
    /// Idempotency keys seen by the servers that drop repeats.
    seen_keys: RefCell<SeenEffects>,
    pub rng: RefCell<fastrand::Rng>,
}

impl Shared {
    pub fn new(settings: FleetSettings, record: Record, list: Rc<ListService>) -> Self {
        let rng = RefCell::new(fastrand::Rng::with_seed(settings.seed));
        let links = Links::new(record.clone(), settings.near_tokens_per_s, settings.far_tokens_per_s);
        Shared { settings, record, list, links, seen_keys: RefCell::default(), rng }
    }

    /// Draws a random event of the given probability.
    pub fn with_probability(&self, share: f64) -> bool {
        share > 0.0 && self.rng.borrow_mut().f64() < share
    }
}

/// Current faults of a server's responses. Faults of its work are part of the model.
#[derive(Clone, Default)]
pub struct ResponseFaults {
    /// Share of requests that are answered with status 500, and the model that this is limited to.
    pub erring: f64,
    pub erring_model: Option<String>,
    /// Share of answers that are aborted after the work was done.
    pub answer_lost: f64,
}

/// A state (KV cache of a prompt) that waits to be fetched.
struct HeldState {
    request: String,
    /// Whether a transfer of the state has begun.
    moving: bool,
}

/// Event of one dispatch, from the model to the connection.
#[derive(Clone, Copy, Debug)]
pub enum DispatchEvent {
    /// A slot is free; the state of the prompt can be fetched from the server that holds it.
    Fetch,
    /// The prompt was read and its state is held; number of cached tokens.
    Read {
        cached_tokens: f64,
    },
    /// The first token of the answer; number of cached tokens of the prompt.
    First {
        cached_tokens: f64,
    },
    /// A further token.
    Token,
    Finished,
    Refused(Refusal),
}

struct State {
    response_faults: ResponseFaults,
    model: Model,
    /// Current dispatches: the request id, and the channel of the connection that waits for its events.
    waiting: BTreeMap<u64, (String, Option<mpsc::Sender<DispatchEvent>>)>,
    states: BTreeMap<u64, HeldState>,
    /// Requests whose state was released, and when.
    released: BTreeMap<String, f64>,
    /// Reserved slots by completion.
    reservations: BTreeMap<String, u64>,
}

impl State {
    fn new(model: Model) -> Self {
        State {
            response_faults: ResponseFaults::default(),
            model,
            waiting: BTreeMap::new(),
            states: BTreeMap::new(),
            released: BTreeMap::new(),
            reservations: BTreeMap::new(),
        }
    }
}

pub struct Server {
    pub shared: Rc<Shared>,
    pub row: ServerRow,
    pub name: RefCell<String>,
    pub address: Cell<SocketAddr>,
    /// Counts starts and ends of the process; identifies the process that an operation belongs to.
    pub start: Cell<u64>,
    pub up: Cell<bool>,
    started_ms: Cell<Option<f64>>,
    state: RefCell<State>,
    model_changed: Notify,
    next_id: Cell<u64>,
}

/// Length of the text that counts as one token, and of one block of cached text, in bytes.
pub const TOKEN_BYTES: usize = 4;
const BLOCK_BYTES: usize = 256;

/// Waits shorter than this don't use a timer, since timers have a resolution of 1 ms.
const TIMER_SLACK_MS: f64 = 0.1;

/// Prefixes of a prompt in steps of a block: hash and length in tokens of each.
fn prefixes(prompt: &str) -> Prompt {
    let mut hash = DefaultHasher::new();
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).enumerate();
    blocks
        .map(|(row, block)| {
            block.hash(&mut hash);
            (hash.finish(), ((row + 1) * BLOCK_BYTES / TOKEN_BYTES) as f64)
        })
        .collect()
}

/// The part of a dispatch's request id that identifies its completion.
pub fn completion_of(request: &str) -> &str {
    request.rsplit_once('.').map_or(request, |(completion, _)| completion)
}

impl Server {
    pub fn new(shared: Rc<Shared>, row: ServerRow, address: SocketAddr) -> Rc<Self> {
        let kind = &shared.settings.kinds[row.kind];
        let mut model = Model::new(Kind::of(&shared.settings, kind));
        model.reports_tokens = true;
        Rc::new(Server {
            name: RefCell::new(row.name.clone()),
            shared,
            row,
            address: Cell::new(address),
            start: Cell::new(0),
            up: Cell::new(false),
            started_ms: Cell::new(None),
            state: RefCell::new(State::new(model)),
            model_changed: Notify::new(),
            next_id: Cell::new(1),
        })
    }

    pub fn kind(&self) -> &ServerKind {
        &self.shared.settings.kinds[self.row.kind]
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

    pub fn response_faults(&self) -> ResponseFaults {
        self.state.borrow().response_faults.clone()
    }

    pub fn change_response_faults(&self, change: impl FnOnce(&mut ResponseFaults)) {
        change(&mut self.state.borrow_mut().response_faults);
    }

    pub fn change_model_faults(&self, change: impl FnOnce(&mut ActiveFaults)) {
        change(&mut self.state.borrow_mut().model.faults);
        self.model_changed.notify_one();
    }

    pub fn silent(&self) -> bool {
        self.state.borrow().model.faults.silent
    }

    /// Adds an entry with this readiness to the list service.
    pub fn list(&self, readiness: &str) {
        let entry = ServerEntry {
            name: self.name(),
            address: self.address.get().to_string(),
            zone: self.row.zone.clone(),
            kind: self.kind().name.clone(),
            cell: self.row.cell,
            readiness: readiness.into(),
            weight: 1.0,
            start: self.start.get(),
            age_ms: None,
        };
        self.shared.list.change(entry, self.started_ms.get());
    }

    /// Starts a new process with an empty cache. It is cold, that is not yet at full capacity, unless it
    /// started before the scenario.
    pub fn start_process(&self, cold: bool) {
        self.start.set(self.start.get() + 1);
        let now_ms = self.now_ms();
        self.started_ms.set(cold.then_some(now_ms));
        if cold {
            self.state.borrow_mut().model.restart(now_ms);
        }
        self.up.set(true);
        self.record(What::Started {
            server: self.name(),
            zone: self.row.zone.clone(),
            cell: self.row.cell,
            cold,
        });
        self.list("ready");
    }

    /// Ends the process; its dispatches, states and reservations are lost.
    pub fn end_process(&self) {
        self.up.set(false);
        self.start.set(self.start.get() + 1);
        let now_ms = self.now_ms();
        let states = {
            let mut state = self.state.borrow_mut();
            state.model.restart(now_ms);
            state.waiting.clear();
            state.released.clear();
            state.reservations.clear();
            std::mem::take(&mut state.states)
        };
        for state in states.values() {
            self.state_gone(&state.request, "died");
        }
        self.record(What::Died { server: self.name() });
    }

    fn state_gone(&self, request: &str, why: &str) {
        self.record(What::StateGone { server: self.name(), request: request.to_owned(), why: why.into() });
    }

    /// Runs the model's timers in real time.
    pub async fn run(self: Rc<Self>) {
        loop {
            let next_event = {
                let model = &self.state.borrow().model;
                model.step_end_ms().filter(|_| !model.faults.silent)
            };
            let Some(at_ms) = next_event else {
                self.model_changed.notified().await;
                continue;
            };
            if at_ms > self.now_ms() + TIMER_SLACK_MS {
                tokio::select! {
                    _ = sleep_until(self.shared.record.at(at_ms)) => {}
                    _ = self.model_changed.notified() => continue,
                }
            } else {
                tokio::task::yield_now().await;
            }
            // Steps to the scheduled time, not to the current one, so that timer delays don't accumulate.
            self.update_model(|model, model_events| model.step(at_ms, model_events));
        }
    }

    /// Applies an operation to the model and sends the resulting events to the waiting connections.
    fn update_model<T>(self: &Rc<Self>, update: impl FnOnce(&mut Model, &mut Vec<ServerEvent>) -> T) -> T {
        let mut model_events = Vec::new();
        let result = update(&mut self.state.borrow_mut().model, &mut model_events);
        for model_event in model_events {
            let (id, event) = match model_event {
                ServerEvent::Fetch(id) => (id, DispatchEvent::Fetch),
                ServerEvent::Read { id, cached_tokens } => {
                    self.hold_state(id);
                    (id, DispatchEvent::Read { cached_tokens })
                }
                ServerEvent::First { id, cached_tokens } => (id, DispatchEvent::First { cached_tokens }),
                ServerEvent::Token(id) => (id, DispatchEvent::Token),
                ServerEvent::Finished { id } => (id, DispatchEvent::Finished),
                ServerEvent::Refused { id, refusal } => (id, DispatchEvent::Refused(refusal)),
            };
            let waiter = self.state.borrow().waiting.get(&id).and_then(|(_, waiter)| waiter.clone());
            // The channel has room for all events of a dispatch, so a failure means that the connection is
            // gone.
            let delivered = waiter.is_some_and(|waiter| waiter.try_send(event).is_ok());
            if !delivered {
                self.drop_state(id, "unwanted");
                self.cancel(id, true);
            }
        }
        self.model_changed.notify_one();
        result
    }

    /// Records work that arrives. Returns whether it overloads a cold server, which then becomes silent.
    pub fn record_work(&self, work_ms: f64) -> bool {
        let now_ms = self.now_ms();
        let model = &mut self.state.borrow_mut().model;
        let overloaded = model.record_arrival(now_ms, work_ms);
        model.faults.silent |= overloaded;
        overloaded
    }

    /// Converts a dispatch to the model's work item; also returns its time on a warm server, in ms.
    pub fn work(&self, prompt: &str, answer: u32, fetches: bool) -> (Work, f64) {
        let tokens = prompt.len().div_ceil(TOKEN_BYTES) as f64;
        let id = self.next_id.replace(self.next_id.get() + 1);
        let work = Work { id, prompt: prefixes(prompt), tokens, answer, fetches, hold: None };
        let work_ms = self.state.borrow().model.work_ms(&work);
        (work, work_ms)
    }

    /// Hands a dispatch to the model. Its events arrive on the returned channel.
    ///
    /// # Errors
    /// Returns the refusal if the dispatch is rejected at once.
    pub fn arrive(
        self: &Rc<Self>,
        request: &str,
        mut work: Work,
    ) -> Result<(DispatchGuard, mpsc::Receiver<DispatchEvent>), Refusal> {
        let now_ms = self.now_ms();
        let id = work.id;
        let (sender, events) = mpsc::channel(work.answer as usize + 8);
        {
            let mut state = self.state.borrow_mut();
            work.hold = state.reservations.remove(completion_of(request));
            state.waiting.insert(id, (request.to_owned(), Some(sender)));
        }
        let guard = DispatchGuard { server: self.clone(), start: self.start.get(), id };
        self.update_model(|model, model_events| model.arrive(now_ms, work, model_events))?;
        Ok((guard, events))
    }

    /// Continues a dispatch whose state was fetched, or could not be (`available` is false).
    pub fn fetched(self: &Rc<Self>, start: u64, id: u64, available: bool) {
        if self.start.get() == start {
            let now_ms = self.now_ms();
            self.update_model(|model, model_events| model.fetched(now_ms, id, available, model_events));
        }
    }

    fn cancel(self: &Rc<Self>, id: u64, stops_work: bool) {
        if let Some((_, waiter)) = self.state.borrow_mut().waiting.get_mut(&id) {
            *waiter = None;
        }
        let now_ms = self.now_ms();
        self.update_model(|model, model_events| model.cancel(now_ms, id, stops_work, model_events));
        let mut state = self.state.borrow_mut();
        if !state.model.has_dispatch(id) {
            state.waiting.remove(&id);
        }
    }

    /// Empties the cache.
    pub fn flush(&self) {
        self.state.borrow_mut().model.flush();
    }

    /// Holds a state until it is fetched, released, or its lease ends.
    fn hold_state(self: &Rc<Self>, id: u64) {
        let request = self.state.borrow().waiting.get(&id).map(|(request, _)| request.clone());
        let request = request.unwrap_or_default();
        self.record(What::State { server: self.name(), request: request.clone() });
        let released = self.state.borrow().released.contains_key(&request);
        self.state.borrow_mut().states.insert(id, HeldState { request, moving: false });
        if released {
            self.drop_state(id, "unwanted");
            return;
        }
        let (server, start) = (self.clone(), self.start.get());
        let ends = self.shared.record.at(self.now_ms() + self.shared.settings.lease_ms);
        tokio::task::spawn_local(async move {
            sleep_until(ends).await;
            if server.start.get() == start {
                server.drop_state(id, "lease");
            }
        });
    }

    /// Number of held states.
    pub fn states(&self) -> usize {
        self.state.borrow().states.len()
    }

    /// Claims a state for a transfer, so that no other request can take it. Returns its size in tokens.
    pub fn begin_move(&self, block: u64) -> Option<f64> {
        let mut state = self.state.borrow_mut();
        let tokens = state.model.state_tokens(block)?;
        let held = state.states.get_mut(&block).filter(|state| !state.moving)?;
        held.moving = true;
        Some(tokens)
    }

    pub fn drop_state(self: &Rc<Self>, block: u64, why: &str) {
        let gone = self.state.borrow_mut().states.remove(&block);
        if let Some(gone) = gone {
            let now_ms = self.now_ms();
            self.update_model(|model, model_events| model.release_state(now_ms, block, model_events));
            self.state_gone(&gone.request, why);
        }
    }

    /// Reserves a slot and memory for a completion's answer; `false` if there is none at this time.
    pub fn hold(self: &Rc<Self>, request: &str, tokens: f64) -> bool {
        let reservation = self.next_id.replace(self.next_id.get() + 1);
        let held = self.state.borrow_mut().model.hold(reservation, tokens);
        if held {
            let previous =
                self.state.borrow_mut().reservations.insert(completion_of(request).to_owned(), reservation);
            self.release_reservation(previous);
        }
        held
    }

    fn release_reservation(self: &Rc<Self>, reservation: Option<u64>) {
        if let Some(reservation) = reservation {
            let now_ms = self.now_ms();
            self.update_model(|model, model_events| model.release_hold(now_ms, reservation, model_events));
        }
    }

    /// Releases the reservation and the state of a dispatch, also a state that is held only later.
    pub fn release(self: &Rc<Self>, request: &str) {
        let now_ms = self.now_ms();
        let reservation = self.state.borrow_mut().reservations.remove(completion_of(request));
        self.release_reservation(reservation);
        let blocks: Vec<_> = {
            let state = self.state.borrow();
            let of = state.states.iter().filter(|(_, state)| state.request == request && !state.moving);
            of.map(|(block, _)| *block).collect()
        };
        for block in blocks {
            self.drop_state(block, "released");
        }
        let lease_ms = self.shared.settings.lease_ms;
        let mut state = self.state.borrow_mut();
        state.released.retain(|_, at| *at > now_ms - lease_ms);
        state.released.insert(request.to_owned(), now_ms);
    }

    /// Records the effect of a dispatch. In a group of servers that drops repeats, work with a repeated key
    /// has no effect and is recorded as a repeat.
    pub fn effect(&self, request: &str, key: &str, model: &str, arrived_ms: f64) {
        let rule = self.shared.settings.dedup_rules.iter().find(|rule| rule.model == model);
        let repeat = rule.filter(|_| !key.is_empty()).is_some_and(|rule| {
            let group = deduplication::group_name(rule.group, &self.row.zone, self.row.cell);
            self.shared.seen_keys.borrow_mut().check_and_record(
                group,
                key,
                arrived_ms,
                self.now_ms(),
                rule.window_ms,
            )
        });
        let (server, request, key) = (self.name(), request.to_owned(), key.to_owned());
        self.record(What::Effect { server, request, key, repeat });
    }

    /// Load report, which lags behind the actual load and has noise if configured.
    pub fn load(&self) -> Load {
        let load = self.state.borrow_mut().model.load(self.now_ms(), self.shared.settings.report_every_ms);
        let noise = self.shared.settings.report_noise;
        let with_noise = |value: f64| match noise > 0.0 {
            true => value * (1.0 + noise * (2.0 * self.shared.rng.borrow_mut().f64() - 1.0)),
            false => value,
        };
        let metrics = [
            (RUNNING_REQUESTS, load.active_requests),
            (WAITING_REQUESTS, load.queue),
            (WAITING_TOKENS, load.waiting_tokens),
        ];
        Load {
            mem_utilization: Some(load.memory_share),
            application_utilization: Some(load.slots_share),
            named_metrics: metrics
                .into_iter()
                .map(|(name, value)| (name.to_owned(), with_noise(value)))
                .collect(),
        }
    }
}

/// Cancels its dispatch when dropped, that is when the connection no longer waits for it.
pub struct DispatchGuard {
    pub server: Rc<Server>,
    pub start: u64,
    pub id: u64,
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        if self.server.start.get() == self.start {
            let stops_work = self.server.shared.settings.cancel_stops;
            self.server.cancel(self.id, stops_work);
        }
    }
}
