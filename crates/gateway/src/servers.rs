//! The listed servers with their addresses, and releases: calls that ask a server to free what it holds for a
//! request that no longer needs it. Which servers are called, when and how often is decided in
//! `paddleproxy_routing::release`; this module does the calls, counts them and logs them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use paddleproxy::hash::rank;
use paddleproxy::interface::*;
use paddleproxy_platform::List;
use paddleproxy_router::clock::Clock;
use paddleproxy_router::release::{self, CallResult};
use paddleproxy_routing::{
    DeliveryFailure, Reachability, ReleaseDelivery, ReleaseRoute, SocketEnd, UndeliveredReleases,
    RETRIES_PER_LIMIT,
};
use tracing::{debug, warn};

use crate::pool::Pool;

/// The listed servers: their addresses, which of them drain, and which answered recently.
pub struct ServerDirectory {
    addresses: BTreeMap<WorkerId, Option<SocketAddr>>,
    draining: BTreeSet<WorkerId>,
    pub reachability: Reachability,
}

impl ServerDirectory {
    pub fn new(own_zone: Option<ZoneId>) -> Self {
        ServerDirectory {
            addresses: BTreeMap::new(),
            draining: BTreeSet::new(),
            reachability: Reachability::new(own_zone),
        }
    }

    /// Applies a list to the addresses and returns its rows for the decision modules.
    pub fn apply_list(&mut self, list: List, kind: ListKind) -> Arc<[Listing]> {
        if kind != ListKind::Changes {
            self.addresses.clear();
            self.draining.clear();
        }
        for row in &list.rows {
            let worker = row.listing.worker.clone();
            match row.listing.readiness {
                Readiness::Draining => self.draining.insert(worker.clone()),
                Readiness::Ready | Readiness::Gone => self.draining.remove(&worker),
            };
            if row.listing.readiness == Readiness::Gone {
                self.addresses.remove(&worker);
            } else {
                self.addresses.insert(worker, row.address);
            }
        }
        let rows: Arc<[Listing]> = list.rows.into_iter().map(|row| row.listing).collect();
        self.reachability.update_list(kind, &rows);
        rows
    }

    pub fn address(&self, worker: &WorkerId) -> Option<SocketAddr> {
        self.addresses.get(worker).copied().flatten()
    }

    /// Whether, by the list, the server accepts new requests and still has this address.
    pub fn is_ready(&self, worker: &WorkerId, address: SocketAddr) -> bool {
        self.address(worker) == Some(address) && !self.draining.contains(worker)
    }

    /// Records whether a server answered a call.
    pub fn record_call(&mut self, worker: &WorkerId, answered: bool, now_ms: f64) {
        match answered {
            true => self.reachability.record_answer(worker, now_ms),
            false => self.reachability.record_silence(worker, now_ms),
        }
    }
}

/// The path at which a slot on a server is reserved and released for a request id.
pub fn hold_path(id: &str) -> String {
    format!("/bootstrap/rooms/{id}")
}

/// Releases since the start; the log prints the names of the fields.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Releases that a server acknowledged.
    heard: u64,
    /// Calls made for those, and the longest time until an acknowledgement, in ms.
    calls: u64,
    longest_ms: f64,
}

/// Sends releases and counts them. Lives as long as the router.
pub struct Releases {
    pool: Rc<Pool>,
    directory: Rc<RefCell<ServerDirectory>>,
    clock: Clock,
    seed: u64,
    in_flight: Cell<usize>,
    counts: Cell<Counts>,
    undelivered: UndeliveredReleases,
}

impl Releases {
    pub fn new(pool: Rc<Pool>, directory: Rc<RefCell<ServerDirectory>>, clock: Clock, seed: u64) -> Self {
        let (in_flight, counts, undelivered) =
            (Cell::new(0), Cell::default(), UndeliveredReleases::default());
        Releases { pool, directory, clock, seed, in_flight, counts, undelivered }
    }

    /// Releases that no server has acknowledged yet and that are still being tried.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Statistics for the log.
    pub fn stats(&self) -> String {
        format!("{:?}, undelivered {:?}", self.counts.get(), self.undelivered.counts())
    }

    /// Starts to release what is held for a request id. The holder is called first; any other server can
    /// accept the release in its place. `limit_ms` is how long it may stay held, and the timeout of each
    /// call.
    pub fn begin(self: &Rc<Self>, holder: WorkerId, id: &str, limit_ms: f64) {
        let (releases, path) = (self.clone(), hold_path(id));
        let seed = rank(&WorkerId(id.into()), self.seed);
        self.in_flight.set(self.in_flight.get() + 1);
        tokio::task::spawn_local(async move {
            releases.deliver(holder, path, seed, limit_ms).await;
            releases.in_flight.set(releases.in_flight.get() - 1);
        });
    }

    async fn deliver(&self, holder: WorkerId, path: String, seed: u64, limit_ms: f64) {
        let started_ms = self.clock.now_ms();
        let mut delivery = ReleaseDelivery::new(
            holder,
            ReleaseRoute::AnyWorker,
            seed,
            limit_ms,
            RETRIES_PER_LIMIT,
            started_ms,
        );
        let next = |delivery: &mut ReleaseDelivery, now_ms| {
            delivery.next_step(now_ms, &self.directory.borrow().reachability)
        };
        let call = |worker| self.call(worker, &path, limit_ms);
        let Some(worker) = release::deliver(&mut delivery, self.clock, next, call).await else {
            return self.count_undelivered(&path, &delivery);
        };
        let took_ms = self.clock.now_ms() - started_ms;
        debug!(path, worker = %worker.0, calls = delivery.calls(), took_ms, "release acknowledged");
        let mut counts = self.counts.get();
        counts.heard += 1;
        counts.calls += u64::from(delivery.calls());
        counts.longest_ms = counts.longest_ms.max(took_ms);
        self.counts.set(counts);
    }

    async fn call(&self, worker: WorkerId, path: &str, limit_ms: f64) -> (WorkerId, CallResult) {
        let address = self.directory.borrow().address(&worker);
        let answer = match address {
            None => CallResult::Failed(DeliveryFailure::NoWay),
            Some(address) => match self.pool.call(address, "DELETE", path, limit_ms).await {
                Ok((head, _)) if head.status < 300 => CallResult::Acknowledged,
                Ok(_) | Err(SocketEnd::ConnectRefused | SocketEnd::BrokeBeforeAnswer) => {
                    CallResult::Failed(DeliveryFailure::Refused)
                }
                Err(SocketEnd::NoAddress | SocketEnd::NoRoom) => CallResult::Failed(DeliveryFailure::NoWay),
                Err(_) => CallResult::Failed(DeliveryFailure::Silent),
            },
        };
        let answered = matches!(answer, CallResult::Acknowledged);
        self.directory.borrow_mut().record_call(&worker, answered, self.clock.now_ms());
        (worker, answer)
    }

    /// Counts a release that no server acknowledged; the log has a line for it once in a while.
    fn count_undelivered(&self, path: &str, delivery: &ReleaseDelivery) {
        let cause = delivery.worst_failure().unwrap_or(DeliveryFailure::NoWay);
        if self.undelivered.record(cause, self.clock.now_ms()) {
            let counts = self.undelivered.counts();
            warn!(
                path,
                cause = cause.name(),
                calls = delivery.calls(),
                unheard = ?counts,
                "no server acknowledged the release"
            );
        }
    }
}
