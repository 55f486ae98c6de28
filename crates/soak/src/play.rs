//! Carries out a plan: starts stand-ins and routers, lets clients and troubles loose, lets all heal, and keeps the record.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use serde_json::Value;
use tokio::time::{sleep, Instant};

use crate::client::Clients;
use crate::configuration::{
    configuration, kind_of, RouterParameters, IDLE_S, INITIAL_SERVERS, SERVER_KINDS, ZONES,
};
use crate::discovery::{Agent, Catalog, ServerEntry};
use crate::plan::Plan;
use crate::process::Router;
use crate::record::{Observations, Record};
use crate::server::Server;
use crate::troubles;

/// Servers that may join.
const JOINING: usize = 4;
/// Clients for each router, and their mean pause between two requests, in ms.
const CLIENTS: usize = 4;
const PAUSE_MS: f64 = 120.0;
/// A router may take so long to be ready.
const READY: Duration = Duration::from_secs(30);
/// Where routers listen, each on an address of its own.
const PORT: u16 = 9000;
/// How often this process looks whether it was held up, in ms, and what counts as that.
const TICK_MS: u64 = 5;
const LAG_MS: f64 = 10.0;

/// Everything in a play.
pub struct RunningPlay {
    /// What is seen.
    pub record: Record,
    /// What is played.
    pub plan: Plan,
    /// What discovery knows.
    pub catalog: Rc<Catalog>,
    /// One agent a router.
    pub agents: Vec<Rc<Agent>>,
    /// Servers, those that have not joined yet last.
    pub servers: Vec<Rc<Server>>,
    /// Servers on the list so far.
    pub listed: Cell<usize>,
    /// Routers.
    pub routers: Vec<Rc<Router>>,
    /// Clients.
    pub clients: Rc<Clients>,
    ending: Cell<bool>,
}

/// Plays that this process has begun: each has addresses of its own.
static PLAYS: AtomicU8 = AtomicU8::new(0);

/// An address of the loopback range that this process and play have to themselves.
fn own_address(play: u8, row: usize) -> SocketAddr {
    let process = std::process::id();
    let second = 64 + (process % 128) as u8;
    let third = (process / 128 % 8) as u8 * 32 + play % 32;
    SocketAddr::from((Ipv4Addr::new(127, second, third, row as u8 + 1), PORT))
}

fn zone_of(server: usize) -> usize {
    if server < INITIAL_SERVERS {
        server / SERVER_KINDS.len()
    } else {
        server % ZONES.len()
    }
}

impl RunningPlay {
    async fn start(plan: &Plan, program: &Path, dir: &Path) -> Result<Rc<RunningPlay>> {
        std::fs::create_dir_all(dir).with_context(|| format!("making {}", dir.display()))?;
        let record = Record::default();
        record.with(|observed| observed.processes = vec![Vec::new(); plan.routers]);
        let catalog = Catalog::new(record.clone());
        let mut servers = Vec::new();
        for id in 0..INITIAL_SERVERS + JOINING {
            servers.push(Server::start(record.clone(), id, kind_of(id))?);
        }
        let play = PLAYS.fetch_add(1, Ordering::Relaxed);
        let addresses: Vec<_> = (0..plan.routers).map(|row| own_address(play, row)).collect();
        let (mut agents, mut routers) = (Vec::new(), Vec::new());
        for (id, listen) in addresses.iter().enumerate() {
            agents.push(Agent::start(catalog.clone(), id).await?);
            routers.push(Router::new(record.clone(), id, *listen, program, dir, plan.seed)?);
        }
        let clients = Clients::new(record.clone(), addresses, plan.seed, plan.longest_deadline_s);
        let running = Rc::new(RunningPlay {
            record,
            plan: plan.clone(),
            catalog,
            agents,
            servers,
            listed: Cell::new(0),
            routers,
            clients,
            ending: Cell::new(false),
        });
        for _ in 0..INITIAL_SERVERS {
            running.list_next(false);
        }
        Ok(running)
    }

    /// The next server that is not on the list is on it from now on, just started or long there.
    pub fn list_next(&self, fresh: bool) -> bool {
        let id = self.listed.get();
        let Some(server) = self.servers.get(id) else { return false };
        self.listed.set(id + 1);
        let zone = zone_of(id);
        let entry = ServerEntry {
            name: format!("s-{id}"),
            address: server.address,
            zone: ZONES[zone].to_owned(),
            kind: server.kind,
            cell: zone as u32,
            health: "ready",
            started_ms: None,
            start_wall_ms: 0.0,
        };
        self.catalog.change(id, entry);
        if fresh {
            let at_ms = self.record.now_ms();
            self.record.with(|observed| observed.starts.push(crate::record::Start { server: id, at_ms }));
            self.list_as_restarted(id);
        }
        true
    }

    /// The list says of a server that it has just started and is ready.
    pub fn list_as_restarted(&self, id: usize) {
        let Some(mut entry) = self.catalog.entry(id) else { return };
        (entry.health, entry.started_ms) = ("ready", Some(self.record.now_ms()));
        entry.start_wall_ms = self.catalog.wall_ms();
        self.catalog.change(id, entry);
    }

    /// The configuration of a router as things stand.
    pub fn configuration(&self, router: usize) -> Value {
        configuration(&RouterParameters {
            router,
            routers: self.plan.routers,
            listen: self.routers[router].listen,
            discovery: self.agents[router].address,
            zones: &ZONES,
            known: self.catalog.whole(),
            allowed: self.plan.allowed,
            seed: self.plan.seed.wrapping_add(router as u64),
            longest_deadline_s: self.plan.longest_deadline_s,
        })
    }

    /// Starts a router's process and lets clients come once it is ready.
    pub async fn start_router(&self, router: usize) {
        let place = &self.routers[router];
        let started = place.configure(&self.configuration(router)).and_then(|()| place.start());
        if let Err(cause) = started {
            let note = format!("router {router}: {cause:#}");
            return self.record.with(|observed| observed.notes.push(note));
        }
        if place.wait_until_ready(READY).await {
            self.clients.admitted.borrow_mut()[router] = true;
        }
    }

    /// The front notices that a router goes.
    pub fn withdraw(&self, router: usize) {
        self.clients.admitted.borrow_mut()[router] = false;
    }

    /// Waits until the record's clock shows so many s.
    pub async fn sleep_until_s(&self, at_s: f64) {
        tokio::time::sleep_until(self.record.at(at_s * 1e3)).await;
    }
}

async fn watch_lag(running: Rc<RunningPlay>) {
    while !running.ending.get() {
        let asked = Instant::now();
        sleep(Duration::from_millis(TICK_MS)).await;
        let late_ms = asked.elapsed().as_secs_f64() * 1e3 - TICK_MS as f64;
        if late_ms > LAG_MS {
            let now_ms = running.record.now_ms();
            running.record.with(|observed| observed.lags.push((now_ms, late_ms)));
        }
    }
}

/// Notes processes that end without having been told to, and starts them again as the platform would.
async fn watch_ends(running: Rc<RunningPlay>) {
    while !running.ending.get() {
        for router in &running.routers {
            if router.record_exit() {
                running.withdraw(router.id);
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// What a play brought.
pub struct Played {
    /// What was played.
    pub plan: Plan,
    /// What was seen.
    pub observed: Observations,
    /// How often each fault of system calls was injected.
    pub injected: Vec<(paddleproxy_faults::Fault, u64)>,
    /// Where the routers' logs are.
    pub dir: PathBuf,
}

/// Plays a plan with `program` as the router; logs go to `dir`. Must run on a `LocalSet`.
///
/// # Errors
/// What could not be started.
pub async fn play(plan: &Plan, program: &Path, dir: &Path) -> Result<Played> {
    let running = RunningPlay::start(plan, program, dir).await?;
    let starting: Vec<_> = (0..plan.routers)
        .map(|router| {
            let running = running.clone();
            tokio::task::spawn_local(async move { running.start_router(router).await })
        })
        .collect();
    for task in starting {
        task.await?;
    }
    // Times of troubles count from here.
    let began_s = running.record.now_ms() / 1e3;
    tokio::task::spawn_local(watch_lag(running.clone()));
    tokio::task::spawn_local(watch_ends(running.clone()));
    for router in &running.routers {
        let resources = router.resources();
        running.record.with(|observed| {
            observed.processes[router.id].iter_mut().for_each(|process| process.before = resources)
        });
    }
    let mut clients = Vec::new();
    for number in 0..CLIENTS * plan.routers {
        clients.push(tokio::task::spawn_local(running.clients.clone().run(number, PAUSE_MS)));
    }
    let befall = |trouble| tokio::task::spawn_local(troubles::befall(running.clone(), trouble, began_s));
    let troubles: Vec<_> = plan.troubles.iter().cloned().map(befall).collect();
    running.sleep_until_s(began_s + plan.length_s).await;
    for task in troubles {
        task.await?;
    }
    running.clients.stopped.set(true);
    for task in clients {
        task.await?;
    }
    // What rests closes meanwhile.
    sleep(Duration::from_secs_f64(IDLE_S + 1.0)).await;
    after_healing(&running).await;
    let mut injected = Vec::new();
    for fault in paddleproxy_faults::Fault::ALL {
        let counts = running.routers.iter().filter_map(|router| router.control.injected(fault).ok());
        injected.push((fault, counts.sum()));
    }
    let ends: Vec<_> = (0..plan.routers)
        .map(|router| {
            let running = running.clone();
            tokio::task::spawn_local(async move {
                running.routers[router].terminate(running.plan.kill_after()).await
            })
        })
        .collect();
    for task in ends {
        task.await?;
    }
    running.ending.set(true);
    running.agents.iter().for_each(|agent| agent.close());
    running.servers.iter().for_each(|server| server.crash());
    let observed = running.record.with(std::mem::take);
    Ok(Played { plan: plan.clone(), observed, injected, dir: dir.to_owned() })
}

/// Probes of each router once all has healed.
const PROBES: usize = 3;

/// Each router holds no more than before, and serves.
async fn after_healing(running: &Rc<RunningPlay>) {
    for router in &running.routers {
        let resources = router.resources();
        let generation = running.record.generation(router.id);
        running.record.with(|observed| {
            if let Some(process) = observed.processes[router.id].get_mut(generation) {
                process.after = resources;
            }
        });
    }
    for router in 0..running.plan.routers {
        for _ in 0..PROBES {
            if !running.clients.request_once(router).await {
                let note = format!("router {router} does not serve after all has healed");
                running.record.with(|observed| observed.notes.push(note));
                break;
            }
        }
    }
}
