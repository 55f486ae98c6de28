//! The listener, and what the connections of all clients share: their number, who gives way when descriptors run
//! short, which ids are open, how many bytes bodies hold.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use paddleproxy::shutdown::Shutdown;
use paddleproxy_platform::Provision;
use paddleproxy_router::clock::{duration, Clock};
use paddleproxy_router::duty::Dropped;
use paddleproxy_sockets::{close_listener, Shortage};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, Instant};

use crate::clients::serve;
use crate::endings::{Endings, OpenRequest};
use crate::limits::Shares;
use crate::messages::CoreSender;

/// After a connect that could not be taken, in ms.
const ACCEPT_AGAIN_MS: f64 = 5.0;

/// Open requests that are logged at one time.
const LOGGED_OPEN: usize = 64;

/// Failures for want of own descriptors after which a connection gives way: fewer may pass by themselves.
const STARVED: u32 = 4;

/// How often of late a connection could not be accepted for want of descriptors.
#[derive(Default)]
struct AcceptFailures {
    starved: u32,
}

impl AcceptFailures {
    fn succeeded(&mut self) {
        self.starved = self.starved.saturating_sub(1);
    }

    /// Whether a connection has to give way. Only the process's own want of descriptors is helped by that, and only one that
    /// lasts: whoever gives way may have a request on its way.
    fn failed(&mut self, cause: &std::io::Error) -> bool {
        let own = Shortage::of(cause) == Some(Shortage::OwnDescriptors);
        self.starved = if own { (self.starved + 1).min(2 * STARVED) } else { self.starved };
        own && self.starved >= STARVED
    }
}

/// Where a router is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lifecycle {
    Starting,
    Ready,
    /// No connections and no requests are accepted any more. Each connection closes after its answer, at once if it has no
    /// request.
    Draining,
    /// Every request has its final answer: incomplete requests are rejected as they are.
    Refusing,
}

/// Returns once the router has come so far in its life.
pub async fn reached(life: &mut watch::Receiver<Lifecycle>, stage: Lifecycle) {
    if life.wait_for(|life| *life >= stage).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// What a connection is doing, in the order in which descriptors that run short are taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Activity {
    /// No whole request has ever come on it, or it is about to close.
    NoRequest,
    /// Between two requests.
    Idle,
    Busy,
}

struct Row {
    activity: Activity,
    since: Instant,
    close: Rc<Notify>,
    /// The request that it answers now.
    open: Option<Rc<OpenRequest>>,
}

/// What all connections of clients share.
pub struct Frontend {
    pub clock: Clock,
    pub core: CoreSender,
    pub provision: RefCell<Rc<Provision>>,
    pub shares: Cell<Shares>,
    pub life: watch::Receiver<Lifecycle>,
    /// Set during a shutdown.
    shutdown: Cell<Option<Shutdown>>,
    pub dropped: Dropped,
    pub next: Cell<u32>,
    next_row: Cell<u64>,
    rows: RefCell<BTreeMap<u64, Row>>,
    /// Connections that stand, those about to close included.
    pub standing: Cell<usize>,
    open_ids: RefCell<BTreeSet<Rc<str>>>,
    pub body_bytes: Rc<Cell<usize>>,
    /// How requests and connections have ended.
    pub endings: Endings,
    pub given_up: Cell<u64>,
}

/// An id that is open, for as long as its request is.
pub struct OpenId {
    frontend: Rc<Frontend>,
    id: Rc<str>,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.frontend.open_ids.borrow_mut().remove(&self.id);
    }
}

/// A client's place among the connections.
pub struct ConnectionSlot {
    pub frontend: Rc<Frontend>,
    /// Its number, unlike that of any other connection of this process.
    pub number: u64,
    /// Requests that were read whole on it.
    pub requests: Cell<u32>,
    /// Told when its descriptor is wanted elsewhere.
    pub close: Rc<Notify>,
    /// Whether its client was told that the connection closes.
    pub closing: Cell<bool>,
}

impl ConnectionSlot {
    pub fn set_activity(&self, activity: Activity) {
        if let Some(row) = self.frontend.rows.borrow_mut().get_mut(&self.number) {
            (row.activity, row.since) = (activity, Instant::now());
        }
    }

    /// Notes the request that it answers now.
    pub fn set_open(&self, open: Option<Rc<OpenRequest>>) {
        if let Some(row) = self.frontend.rows.borrow_mut().get_mut(&self.number) {
            row.open = open;
        }
    }

    /// Since when it has been doing this, if it is.
    pub fn since(&self, activity: Activity) -> Option<Instant> {
        self.frontend
            .rows
            .borrow()
            .get(&self.number)
            .filter(|row| row.activity == activity)
            .map(|row| row.since)
    }

    /// Whether its descriptor is wanted elsewhere.
    pub fn given_up(&self) -> bool {
        !self.frontend.rows.borrow().contains_key(&self.number)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.frontend.rows.borrow_mut().remove(&self.number);
        self.frontend.standing.set(self.frontend.standing.get() - 1);
    }
}

impl Frontend {
    pub fn new(
        clock: Clock,
        core: CoreSender,
        provision: Rc<Provision>,
        shares: Shares,
        life: watch::Receiver<Lifecycle>,
    ) -> Self {
        Frontend {
            clock,
            core,
            provision: RefCell::new(provision),
            shares: Cell::new(shares),
            life,
            shutdown: Cell::new(None),
            dropped: Rc::default(),
            next: Cell::new(0),
            next_row: Cell::new(0),
            rows: RefCell::default(),
            standing: Cell::new(0),
            open_ids: RefCell::default(),
            body_bytes: Rc::default(),
            endings: Endings::default(),
            given_up: Cell::new(0),
        }
    }

    pub fn life(&self) -> Lifecycle {
        *self.life.borrow()
    }

    /// Begins a shutdown.
    pub fn stop(&self, shutdown: Shutdown) {
        self.shutdown.set(Some(shutdown));
        self.endings.shutdown_began(Instant::now());
    }

    /// Whether a request may still be forwarded. Decided by the clock: a task may run before the next stage is announced.
    pub fn accepts_requests(&self) -> bool {
        let in_time = |shutdown: Shutdown| shutdown.accepts_requests(self.clock.now_ms());
        self.life() < Lifecycle::Draining && self.shutdown.get().is_none_or(in_time)
    }

    /// Opens an id; none where a request of that id is open.
    pub fn open_id(self: &Rc<Self>, id: &Rc<str>) -> Option<OpenId> {
        let new = self.open_ids.borrow_mut().insert(id.clone());
        new.then(|| OpenId { frontend: self.clone(), id: id.clone() })
    }

    /// Takes connections until the router closes.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        let mut life = self.life.clone();
        let mut failures = AcceptFailures::default();
        loop {
            let accepted = tokio::select! {
                biased;
                () = reached(&mut life, Lifecycle::Draining) => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    failures.succeeded();
                    self.admit(stream);
                    if self.standing.get() >= self.shares.get().clients {
                        // Who was given up closes before the next one is taken.
                        tokio::task::yield_now().await;
                    }
                }
                Err(cause) => {
                    if failures.failed(&cause) {
                        self.give_up_one();
                    }
                    sleep(duration(ACCEPT_AGAIN_MS)).await;
                }
            }
        }
        close_listener(listener, |stream| self.admit(stream)).await;
    }

    fn admit(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        // The one that says least gives way to the one that has just come.
        if self.standing.get() < self.shares.get().clients || self.give_up_one() {
            tokio::task::spawn_local(serve(self.place(), stream.into()));
        }
    }

    fn place(self: &Rc<Self>) -> ConnectionSlot {
        let (row, close) = (self.next_row.get(), Rc::new(Notify::new()));
        self.next_row.set(row + 1);
        self.standing.set(self.standing.get() + 1);
        let entry =
            Row { activity: Activity::NoRequest, since: Instant::now(), close: close.clone(), open: None };
        self.rows.borrow_mut().insert(row, entry);
        let requests = Cell::new(0);
        ConnectionSlot { frontend: self.clone(), number: row, requests, close, closing: Cell::new(false) }
    }

    /// Logs the requests that are open, at most [`LOGGED_OPEN`] of them.
    pub fn log_open(&self) {
        let rows = self.rows.borrow();
        let open = rows.values().filter_map(|row| row.open.as_ref());
        open.take(LOGGED_OPEN).for_each(|request| self.endings.still_open(request));
    }

    fn give_up_one(&self) -> bool {
        let mut rows = self.rows.borrow_mut();
        let waiting = rows.iter().filter(|(_, row)| row.activity != Activity::Busy);
        let least = waiting.min_by_key(|(_, row)| (row.activity, row.since)).map(|(id, _)| *id);
        let Some(row) = least.and_then(|least| rows.remove(&least)) else { return false };
        row.close.notify_one();
        self.given_up.set(self.given_up.get() + 1);
        true
    }
}

#[cfg(test)]
mod tests;
