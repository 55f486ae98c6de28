//! The record of a play: what the sockets carried, on one clock, and the signals and exits of processes. The
//! oracle uses nothing else. Times without another reference are in ms since the start of the play.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::time::Instant;

/// Index of a router.
pub type RouterId = usize;
/// Index of a model server.
pub type ServerId = usize;

/// Whether the work of a class of requests may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Repeatable,
    /// Servers drop repeats with the same key within the window of the class.
    ByKey,
    /// Must run at most once.
    Once,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A complete response.
    Whole {
        /// The HTTP status.
        status: u16,
    },
    /// A stream ended before its last chunk.
    Cut,
    /// The connection ended without a response.
    Closed,
    /// The client closed the connection first, on purpose.
    Left,
    /// No response, or no further event, came long after the deadline.
    Silent,
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The router that it was sent to.
    pub router: RouterId,
    /// Which process of that router, counted from 0.
    pub generation: usize,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// Whether its connection had carried a response before.
    pub reused_connection: bool,
    /// When its first byte was written.
    pub started_ms: f64,
    /// When its last byte was written, if it was.
    pub sent_ms: Option<f64>,
    /// How long after `sent_ms` the client wants the first byte of a response.
    pub deadline_ms: f64,
    /// When the first bytes of the response body arrived, for a stream.
    pub response_started_ms: Option<f64>,
    /// When each event arrived.
    pub events_ms: Vec<f64>,
    /// When and how it ended.
    pub ended: Option<(f64, Ending)>,
    /// The client sent the end of its request slowly or not at all, on purpose.
    pub half: bool,
}

/// What a model server did with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Still open, or ended by the router before a response was complete.
    Unknown,
    /// Explicitly declined: it never ran.
    Declined,
    /// A prefill server processed the prompt.
    Read,
    /// The stream was written up to its last chunk.
    Finished,
    /// Answered 500: it may have run.
    Failed,
    /// The server broke the connection or sent an invalid response.
    Broken,
}

/// One attempt as its server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the request.
    pub request: String,
    /// The server that it was sent to.
    pub server: ServerId,
    /// When its first byte arrived.
    pub first_byte_ms: f64,
    /// When its last byte arrived.
    pub received_ms: f64,
    /// The deadline in its `Req-Deadline` header, in ms.
    pub deadline_header_ms: Option<f64>,
    /// Whether the server only does prefill.
    pub prefill_only: bool,
    /// What the server did with it.
    pub outcome: AttemptOutcome,
    /// When the server wrote each event.
    pub events_ms: Vec<f64>,
    /// When it ended: answered, broken, or closed by the router.
    pub ended_ms: Option<f64>,
}

impl Attempt {
    /// A description in one line: server, times, outcome, and number of events written.
    pub fn text(&self) -> String {
        let ended_ms = self.ended_ms.unwrap_or(f64::INFINITY);
        let (server, outcome, events) = (self.server, self.outcome, self.events_ms.len());
        format!(
            "server {server} from {:.0} to {ended_ms:.0} ms: {outcome:?}, {events} events",
            self.first_byte_ms
        )
    }
}

/// A prefill state that a server holds for a request.
#[derive(Clone, Debug)]
pub struct HeldState {
    /// Id of the request.
    pub request: String,
    /// The server that holds it.
    pub server: ServerId,
    /// Since when it is held.
    pub from_ms: f64,
    /// When it was fetched or released; none while it is held.
    pub until_ms: Option<f64>,
}

/// What discovery reports about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Accepts new work.
    Ready,
    /// Drains or has left.
    Leaving,
}

/// A change of a server that a router was notified of.
#[derive(Clone, Copy, Debug)]
pub struct Notification {
    /// The router.
    pub router: RouterId,
    /// Which process of that router, counted from 0.
    pub generation: usize,
    /// The server.
    pub server: ServerId,
    /// When the notification was written.
    pub at_ms: f64,
    /// What discovery reported.
    pub availability: Availability,
}

/// A change of the health of a server, when it reached discovery.
#[derive(Clone, Copy, Debug)]
pub struct HealthChange {
    /// The server.
    pub server: ServerId,
    /// When.
    pub at_ms: f64,
    /// What discovery reports from then on.
    pub availability: Availability,
}

/// One start of a model server.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The server.
    pub server: ServerId,
    /// When.
    pub at_ms: f64,
}

/// One router process.
#[derive(Clone, Debug, Default)]
pub struct RouterProcess {
    /// When it was started.
    pub started_ms: f64,
    /// When its health endpoint first reported that it is ready.
    pub ready_ms: Option<f64>,
    /// When SIGTERM was sent.
    pub terminated_ms: Option<f64>,
    /// When SIGKILL was sent.
    pub killed_ms: Option<f64>,
    /// When it had exited, and its exit code or the signal that ended it.
    pub ended: Option<(f64, Result<i32, i32>)>,
    /// Open descriptors and resident memory in MiB before the troubles.
    pub before: Option<(usize, f64)>,
    /// Open descriptors and resident memory in MiB after all troubles had ended.
    pub after: Option<(usize, f64)>,
}

/// The period in which a trouble was active.
#[derive(Clone, Debug)]
pub struct Window {
    /// The trouble's name.
    pub trouble: String,
    /// When it began.
    pub from_ms: f64,
    /// When it ended.
    pub to_ms: f64,
}

/// Everything that was observed in a play.
#[derive(Debug, Default)]
pub struct Observations {
    /// Requests by id.
    pub requests: BTreeMap<String, Request>,
    /// Attempts in the order of their arrival.
    pub attempts: Vec<Attempt>,
    /// States that servers held.
    pub held: Vec<HeldState>,
    /// Changes of servers that routers were notified of.
    pub notifications: Vec<Notification>,
    /// Changes of servers' health, in order.
    pub health: Vec<HealthChange>,
    /// Starts of servers.
    pub starts: Vec<Start>,
    /// Processes of each router, in the order of their starts.
    pub processes: Vec<Vec<RouterProcess>>,
    /// Scheduling lags of this process: when each was noticed and how long it was, in ms.
    pub lags: Vec<(f64, f64)>,
    /// When troubles were active.
    pub windows: Vec<Window>,
    /// Problems in carrying out the plan.
    pub notes: Vec<String>,
}

/// The record of one play, shared by all simulated parties.
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
    /// Time since the start of the play, in ms.
    pub fn now_ms(&self) -> f64 {
        self.origin.elapsed().as_secs_f64() * 1e3
    }

    /// The instant `ms` after the start of the play.
    pub fn at(&self, ms: f64) -> Instant {
        self.origin + std::time::Duration::from_secs_f64(ms.max(0.0) / 1e3)
    }

    /// Gives access to the observations.
    pub fn with<T>(&self, change: impl FnOnce(&mut Observations) -> T) -> T {
        change(&mut self.observed.borrow_mut())
    }

    /// Adds an attempt and returns its index.
    pub fn add_attempt(&self, attempt: Attempt) -> usize {
        self.with(|observed| {
            observed.attempts.push(attempt);
            observed.attempts.len() - 1
        })
    }

    /// Ends the holding of states for a request. Returns whether any was held.
    pub fn release(&self, request: &str) -> bool {
        let now_ms = self.now_ms();
        self.with(|observed| {
            let held =
                observed.held.iter_mut().filter(|held| held.until_ms.is_none() && held.request == request);
            held.map(|held| held.until_ms = Some(now_ms)).count() > 0
        })
    }

    /// Index of the newest process of a router.
    pub fn generation(&self, router: RouterId) -> usize {
        self.with(|observed| observed.processes[router].len().saturating_sub(1))
    }
}
