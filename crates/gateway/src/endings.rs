//! How requests and client connections end: typed reasons, which are counted and logged with one line each.
//! The lines have level `debug`, and `info` during a shutdown.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::time::Instant;

/// How one request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEnd {
    /// Answered by the router itself (`/_health`).
    Answered,
    /// The whole stream was forwarded.
    Served,
    /// Rate-limited by the decision modules: a retry is harmless.
    RateLimited,
    /// Abandoned; it may have run.
    Aborted,
    /// The stream broke after its first event.
    Broken,
    /// The client closed, or did not read its answer.
    ClientLeft,
    /// Rejected with this status before it reached the decision modules.
    Refused(u16),
    /// Rejected because the router shuts down.
    RefusedShutdown,
}

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionEnd {
    /// The client sent `Connection: close`.
    ClientRequestedClose,
    /// The client closed first, or did not read its answer.
    ClientLeft,
    /// Idle for too long, or no request in time.
    Idle,
    /// No request during a shutdown.
    IdleAtShutdown,
    /// Answered during a shutdown.
    AnsweredAtShutdown,
    /// A malformed or incomplete request.
    BadRequest,
    /// A stream broke; the close is how its client learns of it.
    StreamBroke,
    /// Its descriptor was needed for another connection.
    Evicted,
}

/// A request that was received completely and whose answer is not complete yet.
#[derive(Debug)]
pub struct OpenRequest {
    /// Its `Req-Id`; empty if it has none.
    pub id: Rc<str>,
    /// The number of its connection.
    pub connection: u64,
    /// Its position among the requests of that connection, from 1.
    pub nth: u32,
    received: Instant,
    /// Number of forwarded parts of its stream.
    parts: Cell<u64>,
    /// When the last part was forwarded.
    last_part: Cell<Option<Instant>>,
}

impl OpenRequest {
    pub fn new(id: Rc<str>, connection: u64, nth: u32) -> Self {
        let received = Instant::now();
        OpenRequest { id, connection, nth, received, parts: Cell::new(0), last_part: Cell::new(None) }
    }

    /// Records that a part of its stream was forwarded.
    pub fn part_forwarded(&self) {
        self.parts.set(self.parts.get() + 1);
        self.last_part.set(Some(Instant::now()));
    }
}

/// Time from one instant to a later one, in ms; 0 if it is not later.
fn between_ms(from: Instant, to: Instant) -> f64 {
    to.saturating_duration_since(from).as_secs_f64() * 1e3
}

/// Counts of how requests and connections ended.
#[derive(Default)]
pub struct Endings {
    requests: RefCell<BTreeMap<RequestEnd, u64>>,
    connections: RefCell<BTreeMap<ConnectionEnd, u64>>,
    /// Set during a shutdown.
    shutdown_since: Cell<Option<Instant>>,
}

/// A log line at level `info` during a shutdown, `debug` otherwise.
macro_rules! log_end {
    ($shutdown:expr, $($fields:tt)*) => {
        if $shutdown {
            tracing::info!($($fields)*);
        } else {
            tracing::debug!($($fields)*);
        }
    };
}

impl Endings {
    /// Records when a shutdown began.
    pub fn shutdown_began(&self, at: Instant) {
        self.shutdown_since.set(Some(at));
    }

    /// Time since the shutdown began, in ms.
    fn since_shutdown_ms(&self, at: Instant) -> Option<f64> {
        self.shutdown_since.get().map(|since| between_ms(since, at))
    }

    /// Counts and logs the end of a request.
    pub fn request(&self, request: &OpenRequest, end: RequestEnd) {
        *self.requests.borrow_mut().entry(end).or_default() += 1;
        let now = Instant::now();
        log_end!(
            self.shutdown_since.get().is_some(),
            id = %request.id,
            connection = request.connection,
            nth = request.nth,
            ?end,
            took_ms = between_ms(request.received, now),
            parts = request.parts.get(),
            received_after_shutdown_ms = self.since_shutdown_ms(request.received),
            "request finished"
        );
    }

    /// Counts the rejection of an incomplete or malformed request.
    pub fn rejected_unread(&self, status: u16) {
        *self.requests.borrow_mut().entry(RequestEnd::Refused(status)).or_default() += 1;
    }

    /// Counts and logs the end of a connection, with the number of its requests.
    pub fn connection(&self, number: u64, requests: u32, end: ConnectionEnd) {
        *self.connections.borrow_mut().entry(end).or_default() += 1;
        let after_shutdown_ms = self.since_shutdown_ms(Instant::now());
        log_end!(
            self.shutdown_since.get().is_some(),
            connection = number,
            requests,
            ?end,
            after_shutdown_ms,
            "connection closed"
        );
    }

    /// Logs a request that is still open.
    pub fn still_open(&self, request: &OpenRequest) {
        let now = Instant::now();
        tracing::info!(
            id = %request.id,
            connection = request.connection,
            nth = request.nth,
            open_ms = between_ms(request.received, now),
            parts = request.parts.get(),
            silent_ms = request.last_part.get().map(|last| between_ms(last, now)),
            received_after_shutdown_ms = self.since_shutdown_ms(request.received),
            "request still open"
        );
    }

    /// All counts as text for the log.
    pub fn summary(&self) -> String {
        format!("requests {:?}, connections {:?}", self.requests.borrow(), self.connections.borrow())
    }
}

#[cfg(test)]
mod tests;
