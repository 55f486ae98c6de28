//! What the sockets carried, on one clock, and the signals that were sent: all that the judge knows.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::time::Instant;

/// Row of a router.
pub type RouterId = usize;
/// Row of a model server.
pub type ServerId = usize;

/// What a class's work may do when it runs again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Runs again without harm.
    Repeatable,
    /// Servers drop repeats by key within the window.
    ByKey,
    /// Must run once at most.
    Once,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A status and a whole answer.
    Whole {
        /// The HTTP status.
        status: u16,
    },
    /// A stream that began and was cut before its last chunk.
    Cut,
    /// The connection ended with no answer.
    Closed,
    /// The client closed first, by its own will.
    Left,
    /// The client waited far past its deadline and heard nothing.
    Silent,
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The router that it was sent to.
    pub router: RouterId,
    /// The start of that router's process, counted from 0.
    pub generation: usize,
    /// What may happen when it runs again.
    pub idempotency: Idempotency,
    /// Whether an answer had come on its connection before.
    pub reused_connection: bool,
    /// When its first byte was written.
    pub started_ms: f64,
    /// When its last byte was written; none while it was not.
    pub sent_ms: Option<f64>,
    /// The time in which the client wants the first byte of an answer, from `sent_ms`.
    pub deadline_ms: f64,
    /// When the first byte of the answer's body came, for a stream.
    pub response_started_ms: Option<f64>,
    /// When each event came.
    pub events_ms: Vec<f64>,
    /// How it ended, and when.
    pub ended: Option<(f64, Ending)>,
    /// The client sent the end of its request slowly or not at all, on purpose.
    pub half: bool,
}

/// What a model server did about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Still open, or broken before anything was answered.
    Unknown,
    /// Turned away in so many words: it never ran.
    Declined,
    /// The prompt was read.
    Read,
    /// Answered to the last chunk.
    Finished,
    /// Answered 500: it may have run.
    Failed,
    /// Broken by the server.
    Broken,
}

/// One attempt as its server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's id.
    pub request: String,
    /// Where it came.
    pub server: ServerId,
    /// When its first byte came.
    pub first_byte_ms: f64,
    /// When its last byte came.
    pub received_ms: f64,
    /// The time that it told the server, in ms.
    pub deadline_header_ms: Option<f64>,
    /// Whether it only reads.
    pub prefill_only: bool,
    /// What became of it.
    pub outcome: AttemptOutcome,
    /// When the server wrote each event.
    pub events_ms: Vec<f64>,
    /// When the exchange was over: answered, broken or closed by the router.
    pub ended_ms: Option<f64>,
}

impl Attempt {
    /// In a line: where it came and when, how it ended, and the events that were written.
    pub fn text(&self) -> String {
        let ended_ms = self.ended_ms.unwrap_or(f64::INFINITY);
        let (server, outcome, events) = (self.server, self.outcome, self.events_ms.len());
        format!(
            "server {server} from {:.0} to {ended_ms:.0} ms: {outcome:?}, {events} events",
            self.first_byte_ms
        )
    }
}

/// A state or a place that a server holds for a request.
#[derive(Clone, Debug)]
pub struct HeldState {
    /// The request's id.
    pub request: String,
    /// Where it is held.
    pub server: ServerId,
    /// From when its time runs.
    pub from_ms: f64,
    /// When it was taken or let go; none while it is held.
    pub until_ms: Option<f64>,
}

/// What discovery told one router of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Takes new work.
    Ready,
    /// Drains or is gone.
    Leaving,
}

/// A change that a router was told.
#[derive(Clone, Copy, Debug)]
pub struct Notification {
    /// Whom.
    pub router: RouterId,
    /// The start of its process.
    pub generation: usize,
    /// Of which server.
    pub server: ServerId,
    /// When it was written or counts as told.
    pub at_ms: f64,
    /// What.
    pub availability: Availability,
}

/// A change of a server's health, as discovery learnt it.
#[derive(Clone, Copy, Debug)]
pub struct HealthChange {
    /// Which server.
    pub server: ServerId,
    /// When.
    pub at_ms: f64,
    /// What it is from then on.
    pub availability: Availability,
}

/// One start of a server's process.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Which server.
    pub server: ServerId,
    /// When.
    pub at_ms: f64,
}

/// One router process.
#[derive(Clone, Debug, Default)]
pub struct RouterProcess {
    /// When it was started.
    pub started_ms: f64,
    /// When it first said that it is ready.
    pub ready_ms: Option<f64>,
    /// When SIGTERM was sent.
    pub terminated_ms: Option<f64>,
    /// When SIGKILL was sent.
    pub killed_ms: Option<f64>,
    /// When it was gone, and its exit code, or the signal that ended it.
    pub ended: Option<(f64, Result<i32, i32>)>,
    /// Descriptors and resident memory in MiB, when it began and when all had healed.
    pub before: Option<(usize, f64)>,
    /// As above, at the end.
    pub after: Option<(usize, f64)>,
}

/// A time in which a trouble of a kind was on.
#[derive(Clone, Debug)]
pub struct Window {
    /// The trouble's name.
    pub trouble: String,
    /// From when.
    pub from_ms: f64,
    /// Until when.
    pub to_ms: f64,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Observations {
    /// Requests by id.
    pub requests: BTreeMap<String, Request>,
    /// Attempts in the order in which they came.
    pub attempts: Vec<Attempt>,
    /// What was held.
    pub held: Vec<HeldState>,
    /// What routers were told.
    pub notifications: Vec<Notification>,
    /// Changes of servers' health, in order.
    pub health: Vec<HealthChange>,
    /// Starts of servers.
    pub starts: Vec<Start>,
    /// Lives of routers, by router.
    pub processes: Vec<Vec<RouterProcess>>,
    /// Times in which this process itself was held up: when it was noticed, and for how long, in ms.
    pub lags: Vec<(f64, f64)>,
    /// When troubles were on.
    pub windows: Vec<Window>,
    /// What could not be done as planned.
    pub notes: Vec<String>,
}

/// The record of one play, shared by all stand-ins.
#[derive(Clone)]
pub struct Record {
    origin: Instant,
    observed: Rc<RefCell<Observations>>,
}

impl Default for Record {
    fn default() -> Self {
        Record { origin: Instant::now(), observed: Rc::default() }
    }
}

impl Record {
    /// Time since the play began.
    pub fn now_ms(&self) -> f64 {
        self.origin.elapsed().as_secs_f64() * 1e3
    }

    /// The moment at which the clock shows `ms`.
    pub fn at(&self, ms: f64) -> Instant {
        self.origin + std::time::Duration::from_secs_f64(ms.max(0.0) / 1e3)
    }

    /// Changes what was seen.
    pub fn with<T>(&self, change: impl FnOnce(&mut Observations) -> T) -> T {
        change(&mut self.observed.borrow_mut())
    }

    /// Notes an attempt; its row.
    pub fn add_attempt(&self, attempt: Attempt) -> usize {
        self.with(|observed| {
            observed.attempts.push(attempt);
            observed.attempts.len() - 1
        })
    }

    /// Lets go of what is held for a request; whether anything was.
    pub fn release(&self, request: &str) -> bool {
        let now_ms = self.now_ms();
        self.with(|observed| {
            let held =
                observed.held.iter_mut().filter(|held| held.until_ms.is_none() && held.request == request);
            held.map(|held| held.until_ms = Some(now_ms)).count() > 0
        })
    }

    /// The process that a router runs now.
    pub fn generation(&self, router: RouterId) -> usize {
        self.with(|observed| observed.processes[router].len().saturating_sub(1))
    }
}
