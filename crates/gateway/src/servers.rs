//! Letting go: the calls by which workers are told that what is held for a completion is no longer wanted. Whom, when
//! and how often is decided in `paddleproxy_routing::release`; here are the sockets, the count and the log.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use paddleproxy::hash::rank;
use paddleproxy::interface::*;
use paddleproxy_platform::List;
use paddleproxy_router::clock::Clock;
use paddleproxy_router::letgo::{self, Call};
use paddleproxy_routing::{
    DeliveryFailure, Reachability, ReleaseDelivery, ReleaseRoute, SocketEnd, UndeliveredReleases,
    RETRIES_PER_LIMIT,
};
use tracing::{debug, warn};

use crate::pool::Pool;

/// The listed workers: where each is reached, and who answered of late.
pub struct ServerDirectory {
    dials: BTreeMap<WorkerId, Option<SocketAddr>>,
    draining: BTreeSet<WorkerId>,
    pub hearing: Reachability,
}

impl ServerDirectory {
    pub fn new(own_zone: Option<ZoneId>) -> Self {
        ServerDirectory {
            dials: BTreeMap::new(),
            draining: BTreeSet::new(),
            hearing: Reachability::new(own_zone),
        }
    }

    /// Takes over where workers are; what is left of the list is for the decisions.
    pub fn listed(&mut self, list: List, kind: ListKind) -> Arc<[Listing]> {
        if kind != ListKind::Changes {
            self.dials.clear();
            self.draining.clear();
        }
        for row in &list.rows {
            let worker = row.listing.worker.clone();
            match row.listing.readiness {
                Readiness::Draining => self.draining.insert(worker.clone()),
                Readiness::Ready | Readiness::Gone => self.draining.remove(&worker),
            };
            if row.listing.readiness == Readiness::Gone {
                self.dials.remove(&worker);
            } else {
                self.dials.insert(worker, row.dial);
            }
        }
        let rows: Arc<[Listing]> = list.rows.into_iter().map(|row| row.listing).collect();
        self.hearing.update_list(kind, &rows);
        rows
    }

    pub fn dial(&self, worker: &WorkerId) -> Option<SocketAddr> {
        self.dials.get(worker).copied().flatten()
    }

    /// Whether it takes new work, by the list, and still at this address.
    pub fn is_ready(&self, worker: &WorkerId, address: SocketAddr) -> bool {
        self.dial(worker) == Some(address) && !self.draining.contains(worker)
    }

    pub fn heard(&mut self, worker: &WorkerId, answered: bool, now_ms: f64) {
        match answered {
            true => self.hearing.record_answer(worker, now_ms),
            false => self.hearing.record_silence(worker, now_ms),
        }
    }
}

/// Where a place is held and let go of, by the request's id.
pub fn room(id: &str) -> String {
    format!("/bootstrap/rooms/{id}")
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    heard: u64,
    /// Calls for those, and the longest that one took, in ms.
    calls: u64,
    longest_ms: f64,
}

/// What is being let go of.
pub struct Releases {
    pool: Rc<Pool>,
    fleet: Rc<RefCell<ServerDirectory>>,
    clock: Clock,
    seed: u64,
    out: Cell<usize>,
    counts: Cell<Counts>,
    unheard: UndeliveredReleases,
}

impl Releases {
    pub fn new(pool: Rc<Pool>, fleet: Rc<RefCell<ServerDirectory>>, clock: Clock, seed: u64) -> Self {
        let (out, counts, unheard) = (Cell::new(0), Cell::default(), UndeliveredReleases::default());
        Releases { pool, fleet, clock, seed, out, counts, unheard }
    }

    /// Those that no worker has heard yet.
    pub fn out(&self) -> usize {
        self.out.get()
    }

    /// For the log.
    pub fn figures(&self) -> String {
        format!("{:?}, unheard {:?}", self.counts.get(), self.unheard.counts())
    }

    /// Tells that what is held for this id goes; beginning with who holds it.
    pub fn begin(self: &Rc<Self>, holder: WorkerId, id: &str, limit_ms: f64) {
        let (releases, path) = (self.clone(), room(id));
        let seed = rank(&WorkerId(id.into()), self.seed);
        self.out.set(self.out.get() + 1);
        tokio::task::spawn_local(async move {
            releases.tell(holder, path, seed, limit_ms).await;
            releases.out.set(releases.out.get() - 1);
        });
    }

    async fn tell(&self, holder: WorkerId, path: String, seed: u64, limit_ms: f64) {
        let began_ms = self.clock.now_ms();
        let mut telling = ReleaseDelivery::new(
            holder,
            ReleaseRoute::AnyWorker,
            seed,
            limit_ms,
            RETRIES_PER_LIMIT,
            began_ms,
        );
        let next =
            |telling: &mut ReleaseDelivery, now_ms| telling.next_step(now_ms, &self.fleet.borrow().hearing);
        let call = |worker| self.call(worker, &path, limit_ms);
        let Some(worker) = letgo::tell(&mut telling, self.clock, next, call).await else {
            return self.unheard(&path, &telling);
        };
        let took_ms = self.clock.now_ms() - began_ms;
        debug!(path, worker = %worker.0, calls = telling.calls(), took_ms, "let go");
        let mut counts = self.counts.get();
        counts.heard += 1;
        counts.calls += u64::from(telling.calls());
        counts.longest_ms = counts.longest_ms.max(took_ms);
        self.counts.set(counts);
    }

    async fn call(&self, worker: WorkerId, path: &str, limit_ms: f64) -> (WorkerId, Call) {
        let address = self.fleet.borrow().dial(&worker);
        let answer = match address {
            None => Call::Failed(DeliveryFailure::NoWay),
            Some(address) => match self.pool.call(address, "DELETE", path, limit_ms).await {
                Ok((head, _)) if head.status < 300 => Call::Heard,
                Ok(_) | Err(SocketEnd::ConnectRefused | SocketEnd::BrokeBeforeAnswer) => {
                    Call::Failed(DeliveryFailure::Refused)
                }
                Err(SocketEnd::NoAddress | SocketEnd::NoRoom) => Call::Failed(DeliveryFailure::NoWay),
                Err(_) => Call::Failed(DeliveryFailure::Silent),
            },
        };
        let heard = matches!(answer, Call::Heard);
        self.fleet.borrow_mut().heard(&worker, heard, self.clock.now_ms());
        (worker, answer)
    }

    fn unheard(&self, path: &str, telling: &ReleaseDelivery) {
        let cause = telling.worst_failure().unwrap_or(DeliveryFailure::NoWay);
        if self.unheard.record(cause, self.clock.now_ms()) {
            let unheard = self.unheard.counts();
            warn!(
                path,
                cause = cause.name(),
                calls = telling.calls(),
                ?unheard,
                "nobody heard what is let go of"
            );
        }
    }
}
