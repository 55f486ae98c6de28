//! List service: versioned changes of the server list, published with a delay.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use paddleproxy_emulator::troubles::omits_server;
use paddleproxy_engine::{ServerEntry, ServerList};

use crate::record::{Record, What};

struct Change {
    at_ms: f64,
    entry: ServerEntry,
    started_ms: Option<f64>,
}

pub struct ListService {
    record: Record,
    epoch: Cell<u64>,
    /// Share of the servers that the list omits.
    omitted_share: Cell<f64>,
    /// Delay until a change is published, and the longest time that a poll is held.
    delay_ms: f64,
    hold_ms: f64,
    pub extra_delay_ms: Cell<f64>,
    pub down: Cell<bool>,
    /// Version n is the state after the first n changes.
    changes: RefCell<Vec<Change>>,
    /// Last published version.
    published: Cell<usize>,
    /// Address at which a router reaches a server, by the router's index and the server's own address, where
    /// it differs.
    pub address_overrides: RefCell<BTreeMap<(usize, String), String>>,
}

/// Epoch of a start of the service: its time, so that each start has a new one.
fn start_epoch() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(1, |since| since.as_micros() as u64)
}

impl ListService {
    pub fn new(record: Record, delay_ms: f64, hold_ms: f64) -> Rc<Self> {
        Rc::new(ListService {
            record,
            epoch: Cell::new(start_epoch()),
            omitted_share: Cell::new(0.0),
            delay_ms,
            hold_ms,
            extra_delay_ms: Cell::new(0.0),
            down: Cell::new(false),
            changes: RefCell::default(),
            published: Cell::new(0),
            address_overrides: RefCell::default(),
        })
    }

    /// Simulates a restart with a new epoch, after which the list omits a share of the servers.
    pub fn restart_omitting(&self, omitted_share: f64) {
        self.epoch.set(self.epoch.get() + 1);
        self.omitted_share.set(omitted_share);
    }

    pub fn change(&self, entry: ServerEntry, started_ms: Option<f64>) {
        self.changes.borrow_mut().push(Change { at_ms: self.record.now_ms(), entry, started_ms });
    }

    /// Publishes all changes so far without delay, for the servers listed before the scenario starts.
    pub fn publish_all(&self) {
        self.published.set(self.changes.borrow().len());
    }

    fn version(&self) -> usize {
        let until = self.record.now_ms() - self.delay_ms - self.extra_delay_ms.get();
        let due = self.changes.borrow().iter().take_while(|change| change.at_ms <= until).count();
        self.published.set(self.published.get().max(due));
        self.published.get()
    }

    /// Answers one poll; waits for a new version up to the requested time and the service's limit.
    pub async fn poll(&self, router: usize, epoch: u64, after: Option<usize>, wait_ms: f64) -> ServerList {
        let until = self.record.now_ms() + wait_ms.min(self.hold_ms);
        let unchanged = || epoch == self.epoch.get() && Some(self.version()) == after;
        while unchanged() && self.record.now_ms() < until {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let version = self.version();
        let after = after.filter(|after| epoch == self.epoch.get() && *after <= version);
        let now_ms = self.record.now_ms();
        let mut newest = BTreeMap::new();
        for change in &self.changes.borrow()[after.unwrap_or(0)..version] {
            let age_ms = change.started_ms.map(|started| (now_ms - started).max(0.0));
            newest.insert(change.entry.name.clone(), ServerEntry { age_ms, ..change.entry.clone() });
        }
        let servers: Vec<_> =
            newest.into_values().filter(|entry| after.is_some() || entry.readiness != "gone").collect();
        let overrides = self.address_overrides.borrow();
        let override_address = |entry: ServerEntry| match overrides.get(&(router, entry.address.clone())) {
            Some(address) => ServerEntry { address: address.clone(), ..entry },
            None => entry,
        };
        let servers: Vec<ServerEntry> = servers
            .into_iter()
            .filter(|entry| !omits_server(&entry.name, self.omitted_share.get()))
            .map(override_address)
            .collect();
        for entry in &servers {
            let (server, readiness) = (entry.name.clone(), entry.readiness.clone());
            self.record.add(What::ListSent { router, server, readiness, cold: entry.age_ms.is_some() });
        }
        ServerList {
            epoch: self.epoch.get(),
            version: version as u64,
            after: after.map(|after| after as u64),
            servers,
        }
    }
}
