//! The simulated discovery service: each router has an agent, which answers with the changes that it has
//! received and does not answer while discovery is down.

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

/// A server on the list of discovery.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone's name.
    pub zone: String,
    /// Its kind: `prefill`, `decode` or `combined`.
    pub kind: &'static str,
    /// The group of servers that share a fast network.
    pub cell: u32,
    /// `ready`, `draining` or `gone`.
    pub health: &'static str,
    /// Its last start on the clock of the record, in ms; none if it started long before the play.
    pub started_ms: Option<f64>,
    /// The wall clock at that start, in ms since 1970.
    pub start_wall_ms: f64,
}

struct Change {
    version: u64,
    server: ServerId,
    entry: ServerEntry,
}

/// The server list and its history, shared by all agents.
pub struct Catalog {
    record: Record,
    changes: RefCell<Vec<Change>>,
    version: watch::Sender<u64>,
    /// While set, agents neither answer nor receive changes.
    pub down: Cell<bool>,
    /// Delay of the answers of agents, in ms.
    pub slow_ms: Cell<f64>,
    /// Offset of the simulated wall clock from that of this machine, in ms.
    pub wall_offset_ms: Cell<f64>,
}

/// The wall clock, in ms since 1970.
fn wall_ms() -> f64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0.0, |since| since.as_secs_f64() * 1e3)
}

impl Catalog {
    /// An empty list.
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

    /// The simulated wall clock of all machines, in ms since 1970.
    pub fn wall_ms(&self) -> f64 {
        wall_ms() + self.wall_offset_ms.get()
    }

    /// The newest entry of a server.
    pub fn entry(&self, server: ServerId) -> Option<ServerEntry> {
        let changes = self.changes.borrow();
        changes.iter().rev().find(|change| change.server == server).map(|change| change.entry.clone())
    }

    /// Adds a server or changes its entry.
    pub fn change(&self, server: ServerId, entry: ServerEntry) {
        let version = *self.version.borrow() + 1;
        let availability = availability(&entry);
        let at_ms = self.record.now_ms();
        self.record.with(|observed| observed.health.push(HealthChange { server, at_ms, availability }));
        self.changes.borrow_mut().push(Change { version, server, entry });
        self.version.send_replace(version);
    }

    /// The changes after a version, up to `until`; without `from`, the whole list. Also returns what it
    /// reports about each server.
    fn list(&self, from: Option<u64>, until: u64) -> (Value, Vec<(ServerId, Availability)>) {
        let changes = self.changes.borrow();
        let newer =
            |change: &&Change| change.version <= until && from.is_none_or(|from| change.version > from);
        let mut entries = std::collections::BTreeMap::new();
        for change in changes.iter().filter(newer) {
            entries.insert(change.server, &change.entry);
        }
        if from.is_none() {
            entries.retain(|_, entry| entry.health != "gone");
        }
        let hosts: Vec<_> = entries.values().map(|entry| host_json(entry)).collect();
        let availability = entries.iter().map(|(server, entry)| (*server, availability(entry))).collect();
        (json!({ "seq": until, "whole": from.is_none(), "hosts": hosts }), availability)
    }

    /// The whole current list.
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

fn host_json(entry: &ServerEntry) -> Value {
    json!({ "host": entry.name, "dial": entry.address.to_string(), "site": entry.zone, "class": entry.kind,
            "block": entry.cell, "health": entry.health, "share": 1.0,
            "born_ms": entry.started_ms.map_or(0.0, |_| entry.start_wall_ms.round()) })
}

/// The discovery agent on the machine of a router.
pub struct Agent {
    catalog: Rc<Catalog>,
    router: RouterId,
    /// The address at which the router reaches it.
    pub address: SocketAddr,
    /// Condition of its link to the router.
    pub link: Link,
    /// Newest version that it has received; it receives none while discovery is down.
    received_version: Cell<u64>,
    connections: RefCell<JoinSet<()>>,
    accept_task: RefCell<Option<JoinHandle<()>>>,
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
            received_version: Cell::new(version),
            catalog,
            router,
            address: listener.local_addr()?,
            link: Link::default(),
            connections: RefCell::default(),
            accept_task: RefCell::default(),
        });
        let (receiving, accepting) = (agent.clone(), agent.clone());
        tokio::task::spawn_local(async move { receiving.receive_changes().await });
        let accept_task = tokio::task::spawn_local(async move {
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
        *agent.accept_task.borrow_mut() = Some(accept_task);
        Ok(agent)
    }

    /// Stops listening and closes all connections.
    pub fn close(&self) {
        self.accept_task.borrow().iter().for_each(JoinHandle::abort);
        self.connections.borrow_mut().abort_all();
    }

    /// Receives new versions of the list while discovery is up. The oracle counts a change as known to the
    /// router some time after discovery had it, whether or not the router sent a request.
    async fn receive_changes(&self) {
        loop {
            let newest = *self.catalog.version.borrow();
            if !self.catalog.down.get() && newest > self.received_version.get() {
                self.received_version.set(newest);
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Resets every open connection.
    pub fn reset_watches(&self) {
        self.connections.borrow_mut().abort_all();
    }

    async fn serve(&self, mut stream: TcpStream) -> Result<()> {
        let _ = stream.set_nodelay(true);
        // Dropping the stream of an aborted task resets the connection.
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
            // A request that was open while the link was silent is never answered; the next one may be.
            let mut never_answered = false;
            let no_changes = |agent: &Agent| from.is_some_and(|from| agent.received_version.get() <= from);
            while never_answered || self.catalog.down.get() || no_changes(self) && Instant::now() < until {
                never_answered |= self.link.condition().silent;
                let mut end = [0; 1];
                // The router has closed the connection and waits for no answer.
                if let Ok(Ok(0) | Err(_)) = timeout(Duration::from_millis(4), stream.peek(&mut end)).await {
                    return Ok(());
                }
            }
            sleep(Duration::from_secs_f64(self.catalog.slow_ms.get() / 1e3)).await;
            let (list, availability) = self.catalog.list(from, self.received_version.get());
            let answer = response("200 OK", "Content-Type: application/json\r\n", &list.to_string());
            self.link.write(&mut stream, answer.as_bytes()).await?;
            self.record_notifications(&availability);
        }
    }

    fn record_notifications(&self, availability: &[(ServerId, Availability)]) {
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
