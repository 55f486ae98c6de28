//! The list service: versions of who exists, told late.

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
    /// Share of the servers that it leaves out.
    lies: Cell<f64>,
    delay_ms: f64,
    hold_ms: f64,
    pub behind_ms: Cell<f64>,
    pub down: Cell<bool>,
    /// Version n is the change of row n - 1.
    changes: RefCell<Vec<Change>>,
    shown: Cell<usize>,
    /// Where a router reaches a server, by its number and the server's own address, if not there.
    pub ways: RefCell<BTreeMap<(usize, String), String>>,
}

/// Another one for each start: the time of it.
fn epoch() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(1, |since| since.as_micros() as u64)
}

impl ListService {
    pub fn new(record: Record, delay_ms: f64, hold_ms: f64) -> Rc<Self> {
        Rc::new(ListService {
            record,
            epoch: Cell::new(epoch()),
            lies: Cell::new(0.0),
            delay_ms,
            hold_ms,
            behind_ms: Cell::new(0.0),
            down: Cell::new(false),
            changes: RefCell::default(),
            shown: Cell::new(0),
            ways: RefCell::default(),
        })
    }

    /// Starts anew and leaves out a share of the servers.
    pub fn anew(&self, lies: f64) {
        self.epoch.set(self.epoch.get() + 1);
        self.lies.set(lies);
    }

    pub fn change(&self, entry: ServerEntry, started_ms: Option<f64>) {
        self.changes.borrow_mut().push(Change { at_ms: self.record.now_ms(), entry, started_ms });
    }

    /// What was listed before the day is known at once.
    pub fn settle(&self) {
        self.shown.set(self.changes.borrow().len());
    }

    fn version(&self) -> usize {
        let until = self.record.now_ms() - self.delay_ms - self.behind_ms.get();
        let late = self.changes.borrow().iter().take_while(|change| change.at_ms <= until).count();
        self.shown.set(self.shown.get().max(late));
        self.shown.get()
    }

    /// The answer to one poll; waits for news as long as it may.
    pub async fn poll(&self, router: usize, epoch: u64, after: Option<usize>, wait_ms: f64) -> ServerList {
        let until = self.record.now_ms() + wait_ms.min(self.hold_ms);
        let same = || epoch == self.epoch.get() && Some(self.version()) == after;
        while same() && self.record.now_ms() < until {
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
        let ways = self.ways.borrow();
        let way = |entry: ServerEntry| match ways.get(&(router, entry.address.clone())) {
            Some(address) => ServerEntry { address: address.clone(), ..entry },
            None => entry,
        };
        let servers: Vec<ServerEntry> = servers
            .into_iter()
            .filter(|entry| !omits_server(&entry.name, self.lies.get()))
            .map(way)
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
