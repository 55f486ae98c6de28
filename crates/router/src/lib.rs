//! The router process: an HTTP server for clients, connections to the model servers, and the core task with
//! `Control` between them. Everything runs on one current-thread runtime as tasks of a `LocalSet`, with
//! bounded channels and no locks. Routing decisions are made in `paddleproxy-routing` and `paddleproxy`.

mod admin;
mod answer;
pub mod clock;
mod core;
mod dispatch;
mod engines;
mod events;
mod failover;
mod files;
mod front;
mod http_errors;
mod list;
mod peers;
pub mod pending_answer;
pub mod release;
mod state;
mod steady_clock;
pub mod timed_ledger;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use anyhow::{Context, Result};
use paddleproxy_messages::{Dialect, EventNames, EVENTS};
use paddleproxy_routing::{Admission, AdmissionLimits, IdempotencyKeys, RequestClassifier};
use paddleproxy_settings::router::RouterSettings;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tracing::info;

use crate::clock::wall_ms;
use crate::clock::{duration, Clock};
use crate::core::Core;
use crate::engines::Engines;
use crate::events::CoreEvent;
use crate::front::Front;
use crate::steady_clock::SteadyClock;

/// Addresses on which a running router listens.
#[derive(Clone, Copy, Debug)]
pub struct Listening {
    pub clients: SocketAddr,
    pub admin: Option<SocketAddr>,
    /// Datagrams and calls of the peers.
    pub peers: Option<SocketAddr>,
}

/// The router's settings file, which is read again when it changes.
pub struct WatchedSettings {
    pub file: PathBuf,
    /// Sets what is logged.
    pub log: LogSetter,
}

/// Sets the log filter to `level` or `target=level,...`; returns an error message if it is invalid.
pub type LogSetter = Box<dyn Fn(&str) -> Result<(), String>>;

/// Interval at which outdated entries are deleted from the store.
const SWEEP_MS: f64 = 30_000.0;

/// Events that may be queued for the core.
const CORE_QUEUE_EVENTS: usize = 4096;

/// Runs a router until `stop` turns true, then waits for open answers to end. Must run on a `LocalSet`.
///
/// # Errors
/// The state directory can't be created, its store is another router's or is locked by another process, or an
/// address can't be bound.
pub async fn serve(
    settings: RouterSettings,
    watched: Option<WatchedSettings>,
    ready: impl FnOnce(Listening),
    mut stop: watch::Receiver<bool>,
) -> Result<()> {
    let settings = Rc::new(settings);
    let dir = settings.state_dir.clone();
    std::fs::create_dir_all(&dir).with_context(|| format!("state directory {}", dir.display()))?;
    let bind = |address: SocketAddr| async move {
        paddleproxy_sockets::bind(address).await.with_context(|| format!("listening on {address}"))
    };
    let clients = bind(settings.listen).await?;
    let admin = match settings.admin {
        Some(address) => Some(bind(address).await?),
        None => None,
    };
    let peer_sockets = match &settings.peers {
        Some(row) => Some((peers::bind(row).await?, row.clone())),
        None => None,
    };
    let addresses = Listening {
        peers: peer_sockets.as_ref().map(|(sockets, _)| sockets.address),
        clients: clients.local_addr()?,
        admin: admin.as_ref().map(TcpListener::local_addr).transpose()?,
    };
    let clock = Clock::start();
    // The start time identifies this process in request ids. Without a seed in the settings, the random seed
    // is derived from it and the process id.
    let boot = wall_ms() as u64;
    let seed =
        settings.seed.unwrap_or(boot.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id()));
    let engines = Rc::new(Engines::new(settings.engines.clone()));
    let (core, events) = mpsc::channel(CORE_QUEUE_EVENTS);
    let (list, list_requests) = mpsc::channel(8);
    let (saves, lists) = watch::channel(None);
    let steady_clock = SteadyClock::open(&dir);
    let (store, recovered) = state::State::open(&dir, settings.decisions.own_number, steady_clock)?;
    let store = Rc::new(store);
    let shared = (engines.clone(), core.clone());
    let mut core_task =
        Core::new(settings.clone(), clock, boot, seed, shared.0, shared.1, list, saves, store.clone());
    let controller = failover::controller(&settings, clock);
    if let Some(controller) = &controller {
        core_task.set_failover_controller(controller.clone());
    }
    let known_list = core_task.recover(list::load_saved(&dir), &recovered);
    let admission = Rc::new(RefCell::new(Admission::new(AdmissionLimits::from_settings(&settings))));
    let (peer_sender, peer_requests) = mpsc::channel(8);
    let peer_task = match peer_sockets {
        Some((sockets, row)) => {
            let (rules, floor) = peers::initial_grant(&settings, &row);
            admission.borrow_mut().set_shares(&floor.shares[1..], &floor.shares[1..], f64::INFINITY);
            core_task.start_without_lease(floor);
            let (settings, core, admission) = (settings.clone(), core.clone(), admission.clone());
            Some(peers::PeerTaskParts {
                sockets,
                rules,
                settings,
                peers: row,
                seed,
                clock,
                steady_clock,
                core,
                admission,
                controller,
            })
        }
        None => None,
    };
    let (workloads, keys_ms) = (settings.decisions.workloads.clone(), settings.front.keys_ms);
    let front = Rc::new(Front {
        settings: settings.front.clone(),
        classifier: RefCell::new(RequestClassifier::new(
            settings.names.clone(),
            settings.rules.clone(),
            workloads,
            keys_ms,
        )),
        admission: admission.clone(),
        idempotency_keys: Rc::new(RefCell::new(IdempotencyKeys::new(
            settings.front.keys,
            settings.front.answer_memory_bytes,
        ))),
        state: store.clone(),
        dialects: dialects(&settings),
        clock,
        core: core.clone(),
        next_completion: Cell::new(0),
        connections: Cell::new(0),
        id_prefix: format!("{}.{boot:x}", settings.decisions.own_number),
        dropped_answers: Rc::default(),
        connections_refused: Cell::new(0),
        answers_replayed: Cell::new(0),
        requests_refused_by_key: Cell::new(0),
        settings_applied: Cell::new(0),
        settings_rejected: RefCell::default(),
        peers: peer_task.is_some().then(|| peer_sender.clone()),
    });
    front.recover(&recovered);
    let store_to_sweep = store.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(duration(SWEEP_MS)).await;
            store_to_sweep.sweep();
        }
    });
    tokio::task::spawn_local(core_task.run(events));
    if let Some(parts) = peer_task {
        tokio::task::spawn_local(peers::run(parts, peer_requests));
    }
    tokio::task::spawn_local(list::save(dir, lists));
    tokio::task::spawn_local(list::follow(
        settings.clone(),
        engines,
        core.clone(),
        list_requests,
        known_list,
    ));
    if let Some(path) = settings.servers_file.clone() {
        tokio::task::spawn_local(files::watch_servers(path, core.clone()));
    }
    if let Some(watched) = watched {
        tokio::task::spawn_local(files::watch_settings(watched, settings.clone(), front.clone()));
    }
    if let Some(listener) = admin {
        tokio::task::spawn_local(admin::listen(listener, front.clone()));
    }
    info!(
        clients = %addresses.clients,
        admin = ?addresses.admin,
        number = settings.decisions.own_number,
        "ready"
    );
    ready(addresses);
    let (closing, closed) = watch::channel(false);
    let accepting = tokio::task::spawn_local(front.clone().listen(clients, closed));
    while !*stop.borrow_and_update() {
        if stop.changed().await.is_err() {
            break;
        }
    }
    info!(open = admission.borrow().open(), "stopping");
    // Before anything else: requests that arrive while the peers are notified are rejected too.
    admission.borrow_mut().stop();
    if let Some(peer_sender) = &front.peers {
        peers::announce_leave(peer_sender).await;
    }
    closing.send_replace(true);
    let _ = accepting.await;
    let until = tokio::time::Instant::now() + duration(settings.front.stop_ms);
    let open = || admission.borrow().open() > 0 || front.connections.get() > 0;
    while open() && tokio::time::Instant::now() < until {
        tokio::time::sleep(duration(5.0)).await;
    }
    if admission.borrow().open() > 0 {
        info!(
            open = admission.borrow().open(),
            connections = front.connections.get(),
            "stop time is over; ending open answers"
        );
        let _ = core.send(CoreEvent::Stop).await;
        let until = tokio::time::Instant::now() + duration(settings.front.slow_client_ms);
        while open() && tokio::time::Instant::now() < until {
            tokio::time::sleep(duration(5.0)).await;
        }
    }
    store.close().await;
    info!(open = admission.borrow().open(), "stopped");
    Ok(())
}

/// API dialects by path: the published ones and those of the settings.
fn dialects(settings: &RouterSettings) -> Vec<(String, Dialect)> {
    let configured = settings.dialects.iter().map(|row| {
        let mut names = EventNames::default();
        for (event, other) in &row.events {
            if let Some(event) = EVENTS.iter().find(|known| *known == event) {
                names.overrides.insert(event, other.clone());
            }
        }
        (row.path.clone(), Dialect::Messages(Rc::new(names)))
    });
    let published = [
        ("/v1/messages".to_owned(), Dialect::published()),
        ("/v1/chat/completions".to_owned(), Dialect::Chat),
    ];
    published.into_iter().chain(configured).collect()
}
