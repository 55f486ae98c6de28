//! A model server as a state machine: continuous batching in steps, slots, a bounded queue, memory with a
//! prefix cache, states held for writers, and warm-up by time and by work. Inputs are arrivals and step ends;
//! outputs are [`ServerEvent`]s.

mod prefix_cache;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use paddleproxy::interface::Role;
use paddleproxy_engine::Refusal;
use paddleproxy_settings::fleet::{FleetSettings, ServerKind};

pub use prefix_cache::PrefixCache;

/// Capacity parameters of a kind of server.
#[derive(Clone, Debug)]
pub struct Kind {
    pub role: Role,
    pub slots: usize,
    pub queue: usize,
    pub memory_tokens: f64,
    pub read_tokens_per_ms: f64,
    /// Time of a step in which each answer grows by one token.
    pub token_ms: f64,
    /// Share of the capacity that a server has right after its start.
    pub cold_share: f64,
    /// Slow start ends after this time, or earlier after this much work, in ms of a warm server's time.
    pub cold_ms: f64,
    pub cold_work_ms: f64,
    /// A server in slow start falls over (hangs) if the work that arrives within `fall_ms` exceeds this
    /// multiple of its capacity.
    pub fall_multiple: f64,
    pub fall_ms: f64,
}

impl Kind {
    pub fn of(fleet: &FleetSettings, kind: &ServerKind) -> Self {
        Kind {
            role: kind.role,
            slots: kind.slots,
            queue: kind.queue,
            memory_tokens: kind.memory_tokens,
            read_tokens_per_ms: kind.read_tokens_per_s / 1e3,
            token_ms: kind.token_ms,
            cold_share: fleet.cold_share,
            cold_ms: fleet.cold_ms,
            cold_work_ms: fleet.cold_ms,
            fall_multiple: fleet.fall_multiple,
            fall_ms: fleet.fall_ms,
        }
    }
}

/// Time that reading prompts may take in a step beside answers, as a share of the token time.
const READ_STEP_SHARE: f64 = 0.5;
/// Longest step that only reads prompts.
const MAX_READ_STEP_MS: f64 = 20.0;

/// A prompt as its prefixes, in ascending order: the key of each and its end in tokens. Two prompts with a
/// key in common share the text up to its end.
pub type Prompt = Rc<[(u64, f64)]>;

/// The work that one dispatch requests.
#[derive(Clone, Debug)]
pub struct Work {
    pub id: u64,
    pub prompt: Prompt,
    pub tokens: f64,
    /// Tokens of the answer; readers generate none.
    pub answer: u32,
    /// Its state is fetched from a reader once a slot is free.
    pub fetches: bool,
    /// The hold that reserved a slot for it.
    pub hold: Option<u64>,
}

/// Output of a server; `id` is that of the dispatch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerEvent {
    /// A slot is free: the transfer of its state may begin.
    Fetch(u64),
    /// The prompt is read and its state is held for a writer.
    Read {
        id: u64,
        cached_tokens: f64,
    },
    /// The first token of an answer.
    First {
        id: u64,
        cached_tokens: f64,
    },
    /// A further token; only if `Server::reports_tokens`.
    Token(u64),
    Finished {
        id: u64,
    },
    /// Rejected after it had been queued: it needs more memory than the server has, or its state is gone.
    Refused {
        id: u64,
        refusal: Refusal,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// A slot reserved by a hold.
    Held,
    Fetching,
    Reading {
        left: f64,
    },
    Writing {
        left: u32,
    },
}

struct Running {
    work: Work,
    phase: Phase,
    cached_tokens: f64,
    memory: f64,
    /// The first token has been generated.
    begun: bool,
}

impl Running {
    fn is_held(&self) -> bool {
        self.phase == Phase::Held
    }
}

/// The faults in effect at a server.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
    /// The server hangs: it accepts dispatches and answers none.
    pub silent: bool,
    /// Factor on the time of each step; values below 1 count as 1.
    pub slow: f64,
    /// Start time, and factor by which steps are slower after a second; the slowdown grows linearly.
    pub ageing: Option<(f64, f64)>,
    /// Length and period in ms of pauses. A step that begins during a pause takes the rest of it longer.
    pub pausing: Option<(f64, f64)>,
    /// The server rejects new dispatches.
    pub draining: bool,
}

pub struct Server {
    pub kind: Kind,
    pub faults: ActiveFaults,
    /// Whether each token has an event, not only the first and the last.
    pub reports_tokens: bool,
    /// `None` for a server that is warm from the beginning.
    started_ms: Option<f64>,
    /// Busy time since the start.
    worked_ms: f64,
    queue: VecDeque<Work>,
    running: BTreeMap<u64, Running>,
    /// Tokens of the states held for writers, by the dispatch that read them.
    states: BTreeMap<u64, f64>,
    prefix_cache: PrefixCache,
    /// Memory in tokens that running work, holds and states take.
    held: f64,
    arrivals: VecDeque<(f64, f64)>,
    step_ends_ms: Option<f64>,
    /// Tokens that each reading dispatch reads in the current step.
    reads: Vec<(u64, f64)>,
    /// The last load report and its time.
    report: Option<(f64, Load)>,
}

/// Load figures as a server reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub active_requests: f64,
    pub queue: f64,
    pub slots_share: f64,
    pub memory_share: f64,
    pub waiting_tokens: f64,
}

impl Server {
    pub fn new(kind: Kind) -> Self {
        let prefix_cache = PrefixCache::new(kind.memory_tokens);
        Server {
            kind,
            faults: ActiveFaults::default(),
            reports_tokens: false,
            started_ms: None,
            worked_ms: 0.0,
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            states: BTreeMap::new(),
            prefix_cache,
            held: 0.0,
            arrivals: VecDeque::new(),
            step_ends_ms: None,
            reads: Vec::new(),
            report: None,
        }
    }

    /// Starts a new process, in slow start and with empty memory. Returns the ids of the states lost with the
    /// old process.
    pub fn restart(&mut self, now_ms: f64) -> Vec<u64> {
        let lost = self.states.keys().copied().collect();
        let faults = ActiveFaults { draining: false, silent: false, ..self.faults.clone() };
        *self = Server { faults, reports_tokens: self.reports_tokens, ..Server::new(self.kind.clone()) };
        self.started_ms = Some(now_ms);
        lost
    }

    /// Share of the full capacity, by age and by work done since the start.
    pub fn capacity(&self, now_ms: f64) -> f64 {
        let Some(started) = self.started_ms else { return 1.0 };
        let by_time = (now_ms - started) / self.kind.cold_ms.max(1.0);
        let by_work = self.worked_ms / self.kind.cold_work_ms.max(1.0);
        let warm = by_time.max(by_work).clamp(0.0, 1.0);
        self.kind.cold_share + (1.0 - self.kind.cold_share) * warm
    }

    /// Time that a dispatch takes on a warm server.
    pub fn work_ms(&self, work: &Work) -> f64 {
        let read = if work.fetches { 0.0 } else { work.tokens / self.kind.read_tokens_per_ms };
        let write = f64::from(work.answer) * self.kind.token_ms / self.kind.slots.max(1) as f64;
        read + if self.kind.role == Role::Reader { 0.0 } else { write }
    }

    /// Records arriving work, whether it is accepted or not. Returns true if a server in slow start
    /// falls over under the load.
    pub fn record_arrival(&mut self, now_ms: f64, work_ms: f64) -> bool {
        if self.started_ms.is_none() {
            return false;
        }
        let by_time = (now_ms - self.started_ms.unwrap_or(0.0)) / self.kind.cold_ms.max(1.0);
        let capacity = self.kind.cold_share + (1.0 - self.kind.cold_share) * by_time;
        self.arrivals.push_back((now_ms, work_ms));
        while self.arrivals.front().is_some_and(|(at, _)| *at < now_ms - self.kind.fall_ms) {
            self.arrivals.pop_front();
        }
        let sum: f64 = self.arrivals.iter().map(|(_, work)| work).sum();
        capacity < 1.0 && sum > self.kind.fall_multiple * capacity * self.kind.fall_ms
    }

    fn free_memory(&self) -> f64 {
        self.kind.memory_tokens - self.held
    }

    fn slots_used(&self) -> usize {
        self.running.len()
    }

    /// Accepts a dispatch.
    ///
    /// # Errors
    /// The reason of the rejection; nothing has run.
    pub fn arrive(&mut self, now_ms: f64, work: Work, events: &mut Vec<ServerEvent>) -> Result<(), Refusal> {
        if self.faults.draining {
            return Err(Refusal::Draining);
        }
        if self.kind.role == Role::Writer && !work.fetches {
            return Err(Refusal::StateGone);
        }
        let hold = work.hold.filter(|hold| self.running.get(hold).is_some_and(Running::is_held));
        if let Some(hold) = hold {
            self.drop_running(hold);
            self.queue.push_front(work);
            self.admit(now_ms, events);
            return Ok(());
        }
        let waits = self.slots_used() >= self.kind.slots
            || !self.queue.is_empty()
            || work.tokens > self.free_memory();
        if waits && self.queue.len() >= self.kind.queue {
            return Err(Refusal::Full);
        }
        self.queue.push_back(work);
        self.admit(now_ms, events);
        Ok(())
    }

    /// Reserves a slot and memory for a later dispatch. Returns false if none is free right now.
    pub fn hold(&mut self, hold: u64, tokens: f64) -> bool {
        let full = self.slots_used() >= self.kind.slots || !self.queue.is_empty();
        if self.faults.draining || full || tokens > self.free_memory() {
            return false;
        }
        let work = Work { id: hold, prompt: [].into(), tokens, answer: 0, fetches: false, hold: None };
        self.held += tokens;
        self.running.insert(
            hold,
            Running { work, phase: Phase::Held, cached_tokens: 0.0, memory: tokens, begun: false },
        );
        self.prefix_cache.shrink_to(self.kind.memory_tokens - self.held);
        true
    }

    /// Releases a hold that no dispatch has used.
    pub fn release_hold(&mut self, now_ms: f64, hold: u64, events: &mut Vec<ServerEvent>) {
        if self.running.get(&hold).is_some_and(Running::is_held) {
            self.drop_running(hold);
            self.admit(now_ms, events);
        }
    }

    /// Moves queued work into free slots, in order.
    fn admit(&mut self, now_ms: f64, events: &mut Vec<ServerEvent>) {
        while self.slots_used() < self.kind.slots {
            let Some(next) = self.queue.front() else { break };
            let memory = next.tokens + f64::from(next.answer);
            if memory > self.kind.memory_tokens {
                // It can never fit and would block the queue.
                events.push(ServerEvent::Refused { id: next.id, refusal: Refusal::Full });
                self.queue.pop_front();
                continue;
            }
            if memory > self.free_memory() {
                break;
            }
            let Some(work) = self.queue.pop_front() else { break };
            self.held += memory;
            let (id, tokens) = (work.id, work.tokens);
            let (phase, cached_tokens) = if work.fetches {
                events.push(ServerEvent::Fetch(id));
                (Phase::Fetching, tokens)
            } else {
                let cached_tokens = self.prefix_cache.lookup(&work.prompt).min(tokens);
                (Phase::Reading { left: tokens - cached_tokens }, cached_tokens)
            };
            self.running.insert(id, Running { work, phase, cached_tokens, memory, begun: false });
        }
        self.prefix_cache.shrink_to(self.kind.memory_tokens - self.held);
        self.begin_step(now_ms);
    }

    /// Ends the transfer of a state that a dispatch waited for; `available` is false if the state is lost.
    pub fn fetched(&mut self, now_ms: f64, id: u64, available: bool, events: &mut Vec<ServerEvent>) {
        let Some(running) = self.running.get_mut(&id).filter(|running| running.phase == Phase::Fetching)
        else {
            return;
        };
        if available {
            running.phase = Phase::Writing { left: running.work.answer.max(1) };
            self.begin_step(now_ms);
        } else {
            self.drop_running(id);
            events.push(ServerEvent::Refused { id, refusal: Refusal::StateGone });
            self.admit(now_ms, events);
        }
    }

    fn drop_running(&mut self, id: u64) -> Option<Running> {
        let running = self.running.remove(&id)?;
        self.held -= running.memory;
        Some(running)
    }

    /// Cancels a dispatch. It is dropped if it is queued, waits for its state or has begun its answer;
    /// otherwise it continues unless `stops`.
    pub fn cancel(&mut self, now_ms: f64, id: u64, stops: bool, events: &mut Vec<ServerEvent>) {
        self.queue.retain(|work| work.id != id);
        let dropped = self.running.get(&id).is_some_and(|running| {
            stops
                || running.phase == Phase::Fetching
                || matches!(running.phase, Phase::Writing { .. }) && running.begun
        });
        if dropped {
            self.drop_running(id);
        }
        self.admit(now_ms, events);
    }

    /// Whether a dispatch is queued or running.
    pub fn has_dispatch(&self, id: u64) -> bool {
        self.running.contains_key(&id) || self.queue.iter().any(|work| work.id == id)
    }

    /// Drops a state held for a writer. Returns false if there is none.
    pub fn release_state(&mut self, now_ms: f64, id: u64, events: &mut Vec<ServerEvent>) -> bool {
        let Some(tokens) = self.states.remove(&id) else { return false };
        self.held -= tokens;
        self.admit(now_ms, events);
        true
    }

    /// Tokens of a state held for a writer.
    pub fn state_tokens(&self, id: u64) -> Option<f64> {
        self.states.get(&id).copied()
    }

    /// Empties the prefix cache.
    pub fn flush(&mut self) {
        self.prefix_cache = PrefixCache::new(self.kind.memory_tokens);
    }

    /// End time of the current step.
    pub fn step_end_ms(&self) -> Option<f64> {
        self.step_ends_ms
    }

    fn begin_step(&mut self, now_ms: f64) {
        if self.step_ends_ms.is_some() {
            return;
        }
        let writing = self.running.values().any(|running| matches!(running.phase, Phase::Writing { .. }));
        let budget_ms = if writing { self.kind.token_ms * READ_STEP_SHARE } else { MAX_READ_STEP_MS };
        let mut budget_tokens = budget_ms * self.kind.read_tokens_per_ms;
        self.reads.clear();
        let mut read = 0.0;
        for (id, running) in &self.running {
            if let Phase::Reading { left } = running.phase {
                let part = left.min(budget_tokens);
                budget_tokens -= part;
                read += part;
                self.reads.push((*id, part));
                if budget_tokens <= 0.0 {
                    break;
                }
            }
        }
        if !writing && self.reads.is_empty() {
            return;
        }
        let busy_ms = read / self.kind.read_tokens_per_ms + if writing { self.kind.token_ms } else { 0.0 };
        self.worked_ms += if self.started_ms.is_some() { busy_ms } else { 0.0 };
        let aged = self
            .faults
            .ageing
            .map_or(1.0, |(since, factor)| 1.0 + (factor - 1.0) * (now_ms - since).max(0.0) / 1e3);
        let slow = self.faults.slow.max(1.0) * aged.max(1.0);
        let pause_ms = self.faults.pausing.map_or(0.0, |(pause, every)| (pause - now_ms % every).max(0.0));
        self.step_ends_ms = Some(now_ms + busy_ms * slow / self.capacity(now_ms) + pause_ms);
    }

    /// Ends the current step: each reading dispatch has read its part, each answer has one more token.
    pub fn step(&mut self, now_ms: f64, events: &mut Vec<ServerEvent>) {
        if self.step_ends_ms.take().is_none() {
            return;
        }
        for (id, part) in std::mem::take(&mut self.reads) {
            if let Some(Running { phase: Phase::Reading { left }, .. }) = self.running.get_mut(&id) {
                *left -= part;
            }
        }
        let mut ended = Vec::new();
        for (id, running) in &mut self.running {
            match &mut running.phase {
                Phase::Reading { left } if *left <= 1e-9 => {
                    if self.kind.role == Role::Reader {
                        ended.push(*id);
                    } else {
                        running.phase = Phase::Writing { left: running.work.answer.max(1) };
                    }
                    self.prefix_cache.insert(&running.work.prompt);
                }
                Phase::Writing { left } => {
                    *left -= 1;
                    if !std::mem::replace(&mut running.begun, true) {
                        events.push(ServerEvent::First { id: *id, cached_tokens: running.cached_tokens });
                    } else if self.reports_tokens {
                        events.push(ServerEvent::Token(*id));
                    }
                    if *left == 0 {
                        events.push(ServerEvent::Finished { id: *id });
                        self.prefix_cache.insert(&running.work.prompt);
                        ended.push(*id);
                    }
                }
                _ => {}
            }
        }
        for id in ended {
            let Some(running) = self.drop_running(id) else { continue };
            if self.kind.role == Role::Reader {
                self.states.insert(id, running.work.tokens);
                self.held += running.work.tokens;
                events.push(ServerEvent::Read { id, cached_tokens: running.cached_tokens });
            }
        }
        self.admit(now_ms, events);
    }

    /// The load as last reported; the report is renewed if it is at least `every_ms` old.
    pub fn load(&mut self, now_ms: f64, every_ms: f64) -> Load {
        if let Some((_, load)) = self.report.filter(|(at, _)| *at > now_ms - every_ms) {
            return load;
        }
        let load = self.current_load();
        self.report = Some((now_ms, load));
        load
    }

    /// The load at this moment. Routers cannot know it; only the policy that serves as an upper bound may use
    /// it.
    pub fn current_load(&self) -> Load {
        let reading = |running: &Running| match running.phase {
            Phase::Reading { left } => left,
            _ => 0.0,
        };
        let waiting: f64 = self.running.values().map(reading).sum();
        let queued: f64 = self.queue.iter().filter(|work| !work.fetches).map(|work| work.tokens).sum();
        Load {
            active_requests: (self.running.len() + self.queue.len() + self.states.len()) as f64,
            queue: self.queue.len() as f64,
            slots_share: self.slots_used() as f64 / self.kind.slots.max(1) as f64,
            memory_share: (self.held / self.kind.memory_tokens).clamp(0.0, 1.0),
            waiting_tokens: waiting + queued,
        }
    }

    /// Number of dispatches running or queued, holds included.
    pub fn open(&self) -> usize {
        self.running.len() + self.queue.len()
    }
}
