//! How requests and clients' connections end: typed reasons, counted by kind, with one log line for each. The lines are of
//! level `debug`, and `info` from SIGTERM on: what a router did with the last that came is asked for afterwards.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::time::Instant;

/// How the exchange about one request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEnd {
    /// Answered by the router itself, `/_health`.
    Answered,
    /// The whole stream was passed on.
    Served,
    /// Refused by the decisions: trying again is harmless.
    RateLimited,
    /// Given up on; it may have run.
    Aborted,
    /// The stream broke after its first event.
    Broken,
    /// The client closed, or took nothing for too long.
    ClientLeft,
    /// Refused with this status before the decisions heard of it.
    Refused(u16),
    /// Refused because the router stops.
    RefusedStopping,
}

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionEnd {
    /// The client asked for it with its request.
    AsAsked,
    /// The client closed first, or took nothing for too long.
    ClientLeft,
    /// It rested for too long, or brought no request in time.
    Idle,
    /// It rested as the router stopped.
    RestedAtStop,
    /// Its last answer came as the router stopped.
    AnsweredAtStop,
    /// What came could not be read, or not in time.
    Unreadable,
    /// A stream broke: its client is told by the close.
    StreamBroke,
    /// Its descriptor was wanted elsewhere.
    GaveWay,
}

/// One request that was read whole, as long as it is open.
#[derive(Debug)]
pub struct OpenRequest {
    /// Its `Req-Id`; empty where it has none.
    pub id: Rc<str>,
    /// The number of its connection, and its own on that connection from 1 on.
    pub connection: u64,
    pub nth: u32,
    read: Instant,
    /// Parts of its stream that were passed on, and when the last was.
    parts: Cell<u64>,
    last_part: Cell<Option<Instant>>,
}

impl OpenRequest {
    pub fn new(id: Rc<str>, connection: u64, nth: u32) -> Self {
        let read = Instant::now();
        OpenRequest { id, connection, nth, read, parts: Cell::new(0), last_part: Cell::new(None) }
    }

    /// One more part of its stream was passed on.
    pub fn passed_on(&self) {
        self.parts.set(self.parts.get() + 1);
        self.last_part.set(Some(Instant::now()));
    }
}

/// Time from one moment to a later one, in ms.
fn between_ms(from: Instant, to: Instant) -> f64 {
    to.saturating_duration_since(from).as_secs_f64() * 1e3
}

/// The endings of one router, by kind.
#[derive(Default)]
pub struct Endings {
    requests: RefCell<BTreeMap<RequestEnd, u64>>,
    connections: RefCell<BTreeMap<ConnectionEnd, u64>>,
    /// When SIGTERM was seen.
    stopped: Cell<Option<Instant>>,
}

/// One line with the same fields at the level that holds now.
macro_rules! line {
    ($stopping:expr, $($fields:tt)*) => {
        if $stopping {
            tracing::info!($($fields)*);
        } else {
            tracing::debug!($($fields)*);
        }
    };
}

impl Endings {
    /// From now on each ending is logged at level `info`.
    pub fn stopping(&self, at: Instant) {
        self.stopped.set(Some(at));
    }

    /// Time from SIGTERM to a moment, in ms; none before SIGTERM.
    fn since_stop_ms(&self, at: Instant) -> Option<f64> {
        self.stopped.get().map(|stopped| between_ms(stopped, at))
    }

    /// Counts and logs the end of a request.
    pub fn request(&self, request: &OpenRequest, end: RequestEnd) {
        *self.requests.borrow_mut().entry(end).or_default() += 1;
        let now = Instant::now();
        line!(
            self.stopped.get().is_some(),
            id = %request.id,
            connection = request.connection,
            nth = request.nth,
            ?end,
            took_ms = between_ms(request.read, now),
            parts = request.parts.get(),
            read_after_stop_ms = self.since_stop_ms(request.read),
            "request over"
        );
    }

    /// Counts a refusal of what was never a whole request.
    pub fn refused_unread(&self, status: u16) {
        *self.requests.borrow_mut().entry(RequestEnd::Refused(status)).or_default() += 1;
    }

    /// Counts and logs the end of a connection that carried so many requests.
    pub fn connection(&self, number: u64, requests: u32, end: ConnectionEnd) {
        *self.connections.borrow_mut().entry(end).or_default() += 1;
        let after_stop_ms = self.since_stop_ms(Instant::now());
        line!(
            self.stopped.get().is_some(),
            connection = number,
            requests,
            ?end,
            after_stop_ms,
            "connection over"
        );
    }

    /// Logs a request that is still open.
    pub fn still_open(&self, request: &OpenRequest) {
        let now = Instant::now();
        tracing::info!(
            id = %request.id,
            connection = request.connection,
            nth = request.nth,
            open_ms = between_ms(request.read, now),
            parts = request.parts.get(),
            silent_ms = request.last_part.get().map(|last| between_ms(last, now)),
            read_after_stop_ms = self.since_stop_ms(request.read),
            "still open"
        );
    }

    /// All counts, for the log.
    pub fn figures(&self) -> String {
        format!("requests {:?}, connections {:?}", self.requests.borrow(), self.connections.borrow())
    }
}

#[cfg(test)]
mod tests;
