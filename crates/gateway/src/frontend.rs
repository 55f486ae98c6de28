//! The listener, and the state that all client connections share: their number, which one is evicted when
//! descriptors run short, the ids of open requests, the bytes that request bodies hold.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use paddleproxy::shutdown::Shutdown;
use paddleproxy_platform::PlatformSettings;
use paddleproxy_router::clock::{duration, Clock};
use paddleproxy_router::pending_answer::DroppedAnswers;
use paddleproxy_sockets::{close_listener, Shortage};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, Instant};

use crate::clients::serve;
use crate::endings::{Endings, OpenRequest};
use crate::limits::Shares;
use crate::messages::CoreSender;

/// Delay after a failed `accept`, in ms.
const ACCEPT_RETRY_DELAY_MS: f64 = 5.0;

/// Limit of the open requests that are logged at one time.
const MAX_LOGGED_REQUESTS: usize = 64;

/// Recent `accept` failures for lack of the process's own descriptors after which a connection is evicted:
/// fewer may pass by themselves.
const EVICT_AFTER_FAILURES: u32 = 4;

/// How often a connection could recently not be accepted for lack of descriptors.
#[derive(Default)]
struct AcceptFailures {
    descriptor_shortages: u32,
}

impl AcceptFailures {
    fn record_success(&mut self) {
        self.descriptor_shortages = self.descriptor_shortages.saturating_sub(1);
    }

    /// Whether a connection has to be evicted. That helps only against a shortage of the process's own
    /// descriptors, and is done only if the shortage lasts: the evicted client may have a request in transit.
    fn record_failure(&mut self, cause: &std::io::Error) -> bool {
        let own_shortage = Shortage::of(cause) == Some(Shortage::OwnDescriptors);
        self.descriptor_shortages = if own_shortage {
            (self.descriptor_shortages + 1).min(2 * EVICT_AFTER_FAILURES)
        } else {
            self.descriptor_shortages
        };
        own_shortage && self.descriptor_shortages >= EVICT_AFTER_FAILURES
    }
}

/// The stages of a router, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lifecycle {
    Starting,
    Ready,
    /// No more connections or requests are accepted. Each connection closes after its answer, at once if it
    /// has no request.
    Draining,
    /// Every request has its final answer: incomplete requests are rejected as they are.
    Refusing,
}

/// Returns once the router has reached this stage.
pub async fn stage_reached(lifecycle: &mut watch::Receiver<Lifecycle>, stage: Lifecycle) {
    if lifecycle.wait_for(|current| *current >= stage).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// What a connection is doing, in the order in which connections are evicted when descriptors run short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Activity {
    /// No complete request has ever arrived on it, or it is about to close.
    NoRequest,
    /// Between two requests.
    Idle,
    /// Answering a request; never evicted.
    Busy,
}

/// The shared state of one connection; removed when the connection is evicted or closes.
struct ConnectionEntry {
    activity: Activity,
    since: Instant,
    eviction: Rc<Notify>,
    /// The request that is being answered.
    open_request: Option<Rc<OpenRequest>>,
}

/// The state that all client connections share.
pub struct Frontend {
    pub clock: Clock,
    pub core: CoreSender,
    pub platform_settings: RefCell<Rc<PlatformSettings>>,
    /// The current division of descriptors and memory; a reload replaces it.
    pub shares: Cell<Shares>,
    pub lifecycle: watch::Receiver<Lifecycle>,
    /// Set during a shutdown.
    shutdown: Cell<Option<Shutdown>>,
    /// Number of requests whose pending answer was dropped; their clients get `Reply::Aborted`.
    pub dropped: DroppedAnswers,
    pub next_completion: Cell<u32>,
    next_connection: Cell<u64>,
    connections: RefCell<BTreeMap<u64, ConnectionEntry>>,
    /// Number of open connections, including evicted ones and those about to close.
    pub open_connections: Cell<usize>,
    open_ids: RefCell<BTreeSet<Rc<str>>>,
    /// Bytes that the bodies of open requests hold.
    pub body_bytes: Rc<Cell<usize>>,
    /// How requests and connections have ended.
    pub endings: Endings,
    /// Number of connections that were evicted.
    pub evicted: Cell<u64>,
}

/// Marks a request id as open until it is dropped.
pub struct OpenId {
    frontend: Rc<Frontend>,
    id: Rc<str>,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.frontend.open_ids.borrow_mut().remove(&self.id);
    }
}

/// One client connection's handle on the shared state.
pub struct ConnectionSlot {
    pub frontend: Rc<Frontend>,
    /// Its number, unique within this process.
    pub number: u64,
    /// Number of requests that were received completely on it.
    pub requests: Cell<u32>,
    /// Notified when the connection is evicted because another one needs its descriptor.
    pub eviction: Rc<Notify>,
    /// Whether an answer has announced to the client that the connection closes.
    pub close_announced: Cell<bool>,
}

impl ConnectionSlot {
    pub fn set_activity(&self, activity: Activity) {
        if let Some(entry) = self.frontend.connections.borrow_mut().get_mut(&self.number) {
            (entry.activity, entry.since) = (activity, Instant::now());
        }
    }

    /// Records the request that is being answered.
    pub fn set_open_request(&self, open_request: Option<Rc<OpenRequest>>) {
        if let Some(entry) = self.frontend.connections.borrow_mut().get_mut(&self.number) {
            entry.open_request = open_request;
        }
    }

    /// Since when the connection has had this activity; none if it has another one.
    pub fn since(&self, activity: Activity) -> Option<Instant> {
        self.frontend
            .connections
            .borrow()
            .get(&self.number)
            .filter(|entry| entry.activity == activity)
            .map(|entry| entry.since)
    }

    /// Whether another connection needs its descriptor.
    pub fn is_evicted(&self) -> bool {
        !self.frontend.connections.borrow().contains_key(&self.number)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.frontend.connections.borrow_mut().remove(&self.number);
        self.frontend.open_connections.set(self.frontend.open_connections.get() - 1);
    }
}

impl Frontend {
    pub fn new(
        clock: Clock,
        core: CoreSender,
        platform_settings: Rc<PlatformSettings>,
        shares: Shares,
        lifecycle: watch::Receiver<Lifecycle>,
    ) -> Self {
        Frontend {
            clock,
            core,
            platform_settings: RefCell::new(platform_settings),
            shares: Cell::new(shares),
            lifecycle,
            shutdown: Cell::new(None),
            dropped: Rc::default(),
            next_completion: Cell::new(0),
            next_connection: Cell::new(0),
            connections: RefCell::default(),
            open_connections: Cell::new(0),
            open_ids: RefCell::default(),
            body_bytes: Rc::default(),
            endings: Endings::default(),
            evicted: Cell::new(0),
        }
    }

    pub fn lifecycle(&self) -> Lifecycle {
        *self.lifecycle.borrow()
    }

    /// Records that a shutdown began and by which schedule.
    pub fn begin_shutdown(&self, shutdown: Shutdown) {
        self.shutdown.set(Some(shutdown));
        self.endings.shutdown_began(Instant::now());
    }

    /// Whether a request may still be forwarded. Also checked against the clock, because a task may run
    /// before the next stage is announced.
    pub fn accepts_requests(&self) -> bool {
        let accepting = |shutdown: Shutdown| shutdown.accepts_requests(self.clock.now_ms());
        self.lifecycle() < Lifecycle::Draining && self.shutdown.get().is_none_or(accepting)
    }

    /// Marks an id as open; none if a request with that id is already open.
    pub fn open_id(self: &Rc<Self>, id: &Rc<str>) -> Option<OpenId> {
        let new = self.open_ids.borrow_mut().insert(id.clone());
        new.then(|| OpenId { frontend: self.clone(), id: id.clone() })
    }

    /// Accepts connections until the router drains.
    pub async fn accept_connections(self: Rc<Self>, listener: TcpListener) {
        let mut lifecycle = self.lifecycle.clone();
        let mut failures = AcceptFailures::default();
        loop {
            let accepted = tokio::select! {
                biased;
                () = stage_reached(&mut lifecycle, Lifecycle::Draining) => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    failures.record_success();
                    self.admit(stream);
                    if self.open_connections.get() >= self.shares.get().clients {
                        // Lets the evicted connection close before the next one is accepted.
                        tokio::task::yield_now().await;
                    }
                }
                Err(cause) => {
                    if failures.record_failure(&cause) {
                        self.evict_one();
                    }
                    sleep(duration(ACCEPT_RETRY_DELAY_MS)).await;
                }
            }
        }
        close_listener(listener, |stream| self.admit(stream)).await;
    }

    fn admit(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        // At the limit the new connection replaces the least active one.
        if self.open_connections.get() < self.shares.get().clients || self.evict_one() {
            tokio::task::spawn_local(serve(self.new_slot(), stream.into()));
        }
    }

    fn new_slot(self: &Rc<Self>) -> ConnectionSlot {
        let (number, eviction) = (self.next_connection.get(), Rc::new(Notify::new()));
        self.next_connection.set(number + 1);
        self.open_connections.set(self.open_connections.get() + 1);
        let entry = ConnectionEntry {
            activity: Activity::NoRequest,
            since: Instant::now(),
            eviction: eviction.clone(),
            open_request: None,
        };
        self.connections.borrow_mut().insert(number, entry);
        let requests = Cell::new(0);
        ConnectionSlot {
            frontend: self.clone(),
            number,
            requests,
            eviction,
            close_announced: Cell::new(false),
        }
    }

    /// Logs the open requests, at most [`MAX_LOGGED_REQUESTS`] of them.
    pub fn log_open_requests(&self) {
        let connections = self.connections.borrow();
        let open = connections.values().filter_map(|entry| entry.open_request.as_ref());
        open.take(MAX_LOGGED_REQUESTS).for_each(|request| self.endings.still_open(request));
    }

    /// Evicts the least active connection that is not answering a request; false if there is none.
    fn evict_one(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        let evictable = connections.iter().filter(|(_, entry)| entry.activity != Activity::Busy);
        let candidate = evictable.min_by_key(|(_, entry)| (entry.activity, entry.since)).map(|(id, _)| *id);
        let Some(entry) = candidate.and_then(|candidate| connections.remove(&candidate)) else {
            return false;
        };
        entry.eviction.notify_one();
        self.evicted.set(self.evicted.get() + 1);
        true
    }
}

#[cfg(test)]
mod tests;
