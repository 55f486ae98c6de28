//! The discovery stand-in: one agent a router, which answers at once with what it has been sent, and is silent while
//! discovery is down.

use std::cell::{Cell, RefCell};
use std::io::Result;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout, Instant};

use crate::http::{response, ReadBuffer};
use crate::link::{reset, Link};
use crate::record::{Availability, HealthChange, Notification, Record, RouterId, ServerId};

/// A server as discovery knows it.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone's name.
    pub zone: String,
    /// Its kind: `prefill`, `decode` or `combined`.
    pub kind: &'static str,
    /// The group of servers that share a fast network.
    pub cell: u32,
    /// `ready`, `draining` or `gone`.
    pub health: &'static str,
    /// Its last start on the record's clock, in ms; none for long ago.
    pub started_ms: Option<f64>,
    /// What the wall clock showed at that start, in ms since 1970.
    pub start_wall_ms: f64,
}

struct Change {
    version: u64,
    server: ServerId,
    entry: ServerEntry,
}

/// What discovery knows, shared by all agents.
pub struct Catalog {
    record: Record,
    changes: RefCell<Vec<Change>>,
    version: watch::Sender<u64>,
    /// No agent answers or learns anything.
    pub down: Cell<bool>,
    /// How long agents take to answer, in ms.
    pub slow_ms: Cell<f64>,
    /// How far the wall clock is off from that of this machine, in ms.
    pub wall_offset_ms: Cell<f64>,
}

/// The wall clock, in ms since 1970.
fn wall_ms() -> f64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0.0, |since| since.as_secs_f64() * 1e3)
}

impl Catalog {
    /// Knows nobody yet.
    pub fn new(record: Record) -> Rc<Catalog> {
        Rc::new(Catalog {
            record,
            changes: RefCell::default(),
            version: watch::Sender::new(1),
            down: Cell::new(false),
            slow_ms: Cell::new(0.0),
            wall_offset_ms: Cell::new(0.0),
        })
    }

    /// What the wall clock of all machines shows, in ms since 1970.
    pub fn wall_ms(&self) -> f64 {
        wall_ms() + self.wall_offset_ms.get()
    }

    /// The newest of a server.
    pub fn entry(&self, server: ServerId) -> Option<ServerEntry> {
        let changes = self.changes.borrow();
        changes.iter().rev().find(|change| change.server == server).map(|change| change.entry.clone())
    }

    /// A server is new, or has changed.
    pub fn change(&self, server: ServerId, entry: ServerEntry) {
        let version = *self.version.borrow() + 1;
        let availability = availability(&entry);
        let at_ms = self.record.now_ms();
        self.record.with(|observed| observed.health.push(HealthChange { server, at_ms, availability }));
        self.changes.borrow_mut().push(Change { version, server, entry });
        self.version.send_replace(version);
    }

    /// The list after a version, and the version that it is; the whole list where none is named.
    fn list(&self, from: Option<u64>, until: u64) -> (Value, Vec<(ServerId, Availability)>) {
        let changes = self.changes.borrow();
        let newer =
            |change: &&Change| change.version <= until && from.is_none_or(|from| change.version > from);
        let mut rows = std::collections::BTreeMap::new();
        for change in changes.iter().filter(newer) {
            rows.insert(change.server, &change.entry);
        }
        if from.is_none() {
            rows.retain(|_, entry| entry.health != "gone");
        }
        let hosts: Vec<_> = rows.values().map(|entry| host(entry)).collect();
        let availability = rows.iter().map(|(server, entry)| (*server, availability(entry))).collect();
        (json!({ "seq": until, "whole": from.is_none(), "hosts": hosts }), availability)
    }

    /// The whole list as it is now.
    pub fn whole(&self) -> Value {
        self.list(None, *self.version.borrow()).0
    }
}

fn availability(entry: &ServerEntry) -> Availability {
    match entry.health {
        "ready" => Availability::Ready,
        _ => Availability::Leaving,
    }
}

fn host(entry: &ServerEntry) -> Value {
    json!({ "host": entry.name, "dial": entry.address.to_string(), "site": entry.zone, "class": entry.kind,
            "block": entry.cell, "health": entry.health, "share": 1.0,
            "born_ms": entry.started_ms.map_or(0.0, |_| entry.start_wall_ms.round()) })
}

/// The agent on one router's machine.
pub struct Agent {
    catalog: Rc<Catalog>,
    router: RouterId,
    /// Where the router asks.
    pub address: SocketAddr,
    /// Faults of its link to the router.
    pub link: Link,
    /// What it has been sent: it learns nothing while discovery is down.
    has: Cell<u64>,
    connections: RefCell<JoinSet<()>>,
    listening: RefCell<Option<JoinHandle<()>>>,
}

impl Agent {
    /// Starts an agent.
    ///
    /// # Errors
    /// It can't listen.
    pub async fn start(catalog: Rc<Catalog>, router: RouterId) -> Result<Rc<Agent>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let version = *catalog.version.borrow();
        let agent = Rc::new(Agent {
            has: Cell::new(version),
            catalog,
            router,
            address: listener.local_addr()?,
            link: Link::default(),
            connections: RefCell::default(),
            listening: RefCell::default(),
        });
        let (learning, accepting) = (agent.clone(), agent.clone());
        tokio::task::spawn_local(async move { learning.learn().await });
        let listening = tokio::task::spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let shared = accepting.clone();
                let mut connections = accepting.connections.borrow_mut();
                while connections.try_join_next().is_some() {}
                connections.spawn_local(async move {
                    let _ = shared.serve(stream).await;
                });
            }
        });
        *agent.listening.borrow_mut() = Some(listening);
        Ok(agent)
    }

    /// Nobody listens here any more.
    pub fn close(&self) {
        self.listening.borrow().iter().for_each(JoinHandle::abort);
        self.connections.borrow_mut().abort_all();
    }

    /// Takes in what discovery sends, while it is up; what it has counts as told to the router, whether it asks or not.
    async fn learn(&self) {
        loop {
            let newest = *self.catalog.version.borrow();
            if !self.catalog.down.get() && newest > self.has.get() {
                self.has.set(newest);
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Breaks every open connection with a reset.
    pub fn reset_watches(&self) {
        self.connections.borrow_mut().abort_all();
    }

    async fn serve(&self, mut stream: TcpStream) -> Result<()> {
        let _ = stream.set_nodelay(true);
        // An aborted connection breaks rather than ends.
        reset(&stream);
        let mut incoming = ReadBuffer::default();
        loop {
            let head = loop {
                if let Some(head) = incoming.take_head() {
                    break head;
                }
                if incoming.read_more(&mut stream).await? == 0 {
                    return Ok(());
                }
            };
            let target = head.method_and_target().1.to_owned();
            let number = |name: &str| {
                let (_, rest) = target.split_once(&format!("{name}="))?;
                rest.split('&').next()?.parse::<u64>().ok()
            };
            let from = number("from");
            let until = Instant::now() + Duration::from_millis(number("hold_ms").unwrap_or(0));
            // A call that has met silence never gets an answer; the next one may.
            let mut broken = false;
            let nothing_new = |agent: &Agent| from.is_some_and(|from| agent.has.get() <= from);
            while broken || self.catalog.down.get() || nothing_new(self) && Instant::now() < until {
                broken |= self.link.condition().silent;
                let mut end = [0; 1];
                // A router that gave the call up is gone; nothing is owed to it.
                if let Ok(Ok(0) | Err(_)) = timeout(Duration::from_millis(4), stream.peek(&mut end)).await {
                    return Ok(());
                }
            }
            sleep(Duration::from_secs_f64(self.catalog.slow_ms.get() / 1e3)).await;
            let (list, availability) = self.catalog.list(from, self.has.get());
            let answer = response("200 OK", "Content-Type: application/json\r\n", &list.to_string());
            self.link.write(&mut stream, answer.as_bytes()).await?;
            self.availability(&availability);
        }
    }

    fn availability(&self, availability: &[(ServerId, Availability)]) {
        let record = &self.catalog.record;
        let (at_ms, generation) = (record.now_ms(), record.generation(self.router));
        record.with(|observed| {
            for (server, availability) in availability {
                let (router, server, availability) = (self.router, *server, *availability);
                observed.notifications.push(Notification { router, generation, server, at_ms, availability });
            }
        });
    }
}
