//! The list service: versions of who exists, told late.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use paddleproxy_emulator::troubles::left_out;
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
    /// Share of the servers that it leaves out.
    omitted_share: Cell<f64>,
    delay_ms: f64,
    hold_ms: f64,
    pub extra_delay_ms: Cell<f64>,
    pub down: Cell<bool>,
    /// Version n is the change of row n - 1.
    changes: RefCell<Vec<Change>>,
    published: Cell<usize>,
    /// Where a router reaches a server, by its number and the server's own address, if not there.
    pub address_overrides: RefCell<BTreeMap<(usize, String), String>>,
}

/// Another one for each start: the time of it.
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

    /// Starts anew and leaves out a share of the servers.
    pub fn restart_omitting(&self, omitted_share: f64) {
        self.epoch.set(self.epoch.get() + 1);
        self.omitted_share.set(omitted_share);
    }

    pub fn change(&self, entry: ServerEntry, started_ms: Option<f64>) {
        self.changes.borrow_mut().push(Change { at_ms: self.record.now_ms(), entry, started_ms });
    }

    /// What was listed before the day is known at once.
    pub fn publish_all(&self) {
        self.published.set(self.changes.borrow().len());
    }

    fn version(&self) -> usize {
        let until = self.record.now_ms() - self.delay_ms - self.extra_delay_ms.get();
        let due = self.changes.borrow().iter().take_while(|change| change.at_ms <= until).count();
        self.published.set(self.published.get().max(due));
        self.published.get()
    }

    /// The answer to one poll; waits for news as long as it may.
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
            .filter(|entry| !left_out(&entry.name, self.omitted_share.get()))
            .map(override_address)
            .collect();
        for entry in &servers {
            let (server, readiness) = (entry.name.clone(), entry.readiness.clone());
            self.record.add(What::Told { router, server, readiness, cold: entry.age_ms.is_some() });
        }
        ServerList {
            epoch: self.epoch.get(),
            version: version as u64,
            after: after.map(|after| after as u64),
            servers,
        }
    }
}
