//! Carries out a plan: starts the simulated parties and the routers, runs clients and troubles, waits for
//! recovery, and returns the record.

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

/// Servers that may join during a play.
const JOINING_SERVERS: usize = 4;
/// Clients per router, and their mean pause between two requests, in ms.
const CLIENTS_PER_ROUTER: usize = 4;
const MEAN_PAUSE_MS: f64 = 120.0;
/// How long a router may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The port of all routers; each listens on a loopback address of its own.
const ROUTER_PORT: u16 = 9000;
/// How often this process measures its own scheduling lag, in ms, and the smallest lag that is recorded.
const LAG_TICK_MS: u64 = 5;
const MIN_LAG_MS: f64 = 10.0;

/// The parties and the state of a play in progress.
pub struct RunningPlay {
    /// The record.
    pub record: Record,
    /// The plan.
    pub plan: Plan,
    /// The server list of discovery.
    pub catalog: Rc<Catalog>,
    /// One discovery agent for each router.
    pub agents: Vec<Rc<Agent>>,
    /// Servers; those that may join later come last.
    pub servers: Vec<Rc<Server>>,
    /// Number of servers listed so far.
    pub listed: Cell<usize>,
    /// Routers.
    pub routers: Vec<Rc<Router>>,
    /// Clients.
    pub clients: Rc<Clients>,
    ending: Cell<bool>,
}

/// Number of plays that this process has started; it keeps their addresses apart.
static PLAYS_STARTED: AtomicU8 = AtomicU8::new(0);

/// A loopback address that this process and play use alone.
fn own_address(play: u8, index: usize) -> SocketAddr {
    let process = std::process::id();
    let second = 64 + (process % 128) as u8;
    let third = (process / 128 % 8) as u8 * 32 + play % 32;
    SocketAddr::from((Ipv4Addr::new(127, second, third, index as u8 + 1), ROUTER_PORT))
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
        std::fs::create_dir_all(dir).with_context(|| format!("creating {}", dir.display()))?;
        let record = Record::default();
        record.with(|observed| observed.processes = vec![Vec::new(); plan.routers]);
        let catalog = Catalog::new(record.clone());
        let mut servers = Vec::new();
        for id in 0..INITIAL_SERVERS + JOINING_SERVERS {
            servers.push(Server::start(record.clone(), id, kind_of(id))?);
        }
        let play = PLAYS_STARTED.fetch_add(1, Ordering::Relaxed);
        let addresses: Vec<_> = (0..plan.routers).map(|index| own_address(play, index)).collect();
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

    /// Adds the next unlisted server to the list, as just started or as running for long. Returns false if
    /// all are listed.
    pub fn list_next(&self, just_started: bool) -> bool {
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
        if just_started {
            let at_ms = self.record.now_ms();
            self.record.with(|observed| observed.starts.push(crate::record::Start { server: id, at_ms }));
            self.list_as_restarted(id);
        }
        true
    }

    /// Lists a server as ready and just started.
    pub fn list_as_restarted(&self, id: usize) {
        let Some(mut entry) = self.catalog.entry(id) else { return };
        (entry.health, entry.started_ms) = ("ready", Some(self.record.now_ms()));
        entry.start_wall_ms = self.catalog.wall_ms();
        self.catalog.change(id, entry);
    }

    /// The configuration of a router with the current server list.
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

    /// Starts the process of a router and admits clients once it is ready.
    pub async fn start_router(&self, router: usize) {
        let handle = &self.routers[router];
        let started = handle.configure(&self.configuration(router)).and_then(|()| handle.start());
        if let Err(cause) = started {
            let note = format!("router {router}: {cause:#}");
            return self.record.with(|observed| observed.notes.push(note));
        }
        if handle.wait_until_ready(READY_TIMEOUT).await {
            self.clients.admitted.borrow_mut()[router] = true;
        }
    }

    /// Stops new clients from connecting to a router, as the front of the platform does when it shuts down.
    pub fn withdraw(&self, router: usize) {
        self.clients.admitted.borrow_mut()[router] = false;
    }

    /// Sleeps until `at_s` seconds after the start of the play.
    pub async fn sleep_until_s(&self, at_s: f64) {
        tokio::time::sleep_until(self.record.at(at_s * 1e3)).await;
    }
}

async fn watch_lag(running: Rc<RunningPlay>) {
    while !running.ending.get() {
        let before_sleep = Instant::now();
        sleep(Duration::from_millis(LAG_TICK_MS)).await;
        let late_ms = before_sleep.elapsed().as_secs_f64() * 1e3 - LAG_TICK_MS as f64;
        if late_ms > MIN_LAG_MS {
            let now_ms = running.record.now_ms();
            running.record.with(|observed| observed.lags.push((now_ms, late_ms)));
        }
    }
}

/// Records processes that exit unexpectedly, and withdraws their routers from clients.
async fn watch_exits(running: Rc<RunningPlay>) {
    while !running.ending.get() {
        for router in &running.routers {
            if router.record_exit() {
                running.withdraw(router.id);
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// The result of a play.
pub struct Played {
    /// The plan.
    pub plan: Plan,
    /// Everything that was observed.
    pub observed: Observations,
    /// How often each system call fault was injected.
    pub injected: Vec<(paddleproxy_faults::Fault, u64)>,
    /// Directory of the logs of the routers.
    pub dir: PathBuf,
}

/// Plays a plan with `program` as the router and `dir` for its logs. Must run on a `LocalSet`.
///
/// # Errors
/// A simulated party or the control file of a router can't be created.
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
    // The times of troubles count from here.
    let began_s = running.record.now_ms() / 1e3;
    tokio::task::spawn_local(watch_lag(running.clone()));
    tokio::task::spawn_local(watch_exits(running.clone()));
    for router in &running.routers {
        let resources = router.resources();
        running.record.with(|observed| {
            observed.processes[router.id].iter_mut().for_each(|process| process.before = resources)
        });
    }
    let mut clients = Vec::new();
    for number in 0..CLIENTS_PER_ROUTER * plan.routers {
        clients.push(tokio::task::spawn_local(running.clients.clone().run(number, MEAN_PAUSE_MS)));
    }
    let spawn_trouble =
        |trouble| tokio::task::spawn_local(troubles::run_trouble(running.clone(), trouble, began_s));
    let troubles: Vec<_> = plan.troubles.iter().cloned().map(spawn_trouble).collect();
    running.sleep_until_s(began_s + plan.length_s).await;
    for task in troubles {
        task.await?;
    }
    running.clients.stopped.set(true);
    for task in clients {
        task.await?;
    }
    // Idle connections are closed in the meantime.
    sleep(Duration::from_secs_f64(IDLE_S + 1.0)).await;
    check_recovery(&running).await;
    let mut injected = Vec::new();
    for fault in paddleproxy_faults::Fault::ALL {
        let counts = running.routers.iter().filter_map(|router| router.control.injected(fault).ok());
        injected.push((fault, counts.sum()));
    }
    let shutdowns: Vec<_> = (0..plan.routers)
        .map(|router| {
            let running = running.clone();
            tokio::task::spawn_local(async move {
                running.routers[router].terminate(running.plan.kill_after()).await
            })
        })
        .collect();
    for task in shutdowns {
        task.await?;
    }
    running.ending.set(true);
    running.agents.iter().for_each(|agent| agent.close());
    running.servers.iter().for_each(|server| server.crash());
    let observed = running.record.with(std::mem::take);
    Ok(Played { plan: plan.clone(), observed, injected, dir: dir.to_owned() })
}

/// Requests sent to each router after recovery.
const PROBES_PER_ROUTER: usize = 3;

/// Records the resources of each router after recovery, and checks that it serves requests.
async fn check_recovery(running: &Rc<RunningPlay>) {
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
        for _ in 0..PROBES_PER_ROUTER {
            if !running.clients.request_once(router).await {
                let note = format!("router {router} does not serve after recovery");
                running.record.with(|observed| observed.notes.push(note));
                break;
            }
        }
    }
}
