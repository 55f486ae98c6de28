//! The running router: HTTP in front, model servers behind, `Control` in between. One current-thread runtime, tasks
//! on a `LocalSet`, bounded channels, no locks. Decides nothing: `paddleproxy-routing` and `paddleproxy` do.

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
mod list;
mod peers;
pub mod pending_answer;
mod polite;
pub mod release;
mod state;
mod steady;
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
use crate::steady::SteadyClock;

/// Where a running router listens.
#[derive(Clone, Copy, Debug)]
pub struct Listening {
    pub clients: SocketAddr,
    pub admin: Option<SocketAddr>,
    /// For fellows.
    pub peers: Option<SocketAddr>,
}

/// The document of a router's settings, read again when it changes.
pub struct Watched {
    pub file: PathBuf,
    /// Sets what is logged.
    pub log: LogSetter,
}

/// Takes `level` or `target=level,...`, or says what is wrong with it.
pub type LogSetter = Box<dyn Fn(&str) -> Result<(), String>>;

/// How often what is outdated is looked for in the store, in ms.
const SWEEP_MS: f64 = 30_000.0;

/// Words that may wait for the core.
const CORE_QUEUE: usize = 4096;

/// Runs a router until `stop` turns true, then lets open answers end. Must run on a `LocalSet`.
///
/// # Errors
/// A state directory that can't be made, or an address that can't be listened on.
pub async fn serve(
    settings: RouterSettings,
    watched: Option<Watched>,
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
    let fellows = match &settings.peers {
        Some(row) => Some((peers::bind(row).await?, row.clone())),
        None => None,
    };
    let listening = Listening {
        peers: fellows.as_ref().map(|(bound, _)| bound.address),
        clients: clients.local_addr()?,
        admin: admin.as_ref().map(TcpListener::local_addr).transpose()?,
    };
    let clock = Clock::start();
    // Names this start on the wire; the seed of chance is its own where the settings give none.
    let boot = wall_ms() as u64;
    let seed =
        settings.seed.unwrap_or(boot.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id()));
    let engines = Rc::new(Engines::new(settings.engines.clone()));
    let (core, told) = mpsc::channel(CORE_QUEUE);
    let (list, list_words) = mpsc::channel(8);
    let (saves, lists) = watch::channel(None);
    let steady = SteadyClock::open(&dir);
    let (store, left) = state::State::open(&dir, settings.decisions.own_number, steady)?;
    let store = Rc::new(store);
    let own = (engines.clone(), core.clone());
    let mut state = Core::new(settings.clone(), clock, boot, seed, own.0, own.1, list, saves, store.clone());
    let desk = failover::desk(&settings, clock);
    if let Some(desk) = &desk {
        state.set_failover_controller(desk.clone());
    }
    let after = state.recover(list::load_saved(&dir), &left);
    let admission = Rc::new(RefCell::new(Admission::new(AdmissionLimits::from_settings(&settings))));
    let (to_fellows, asks) = mpsc::channel(8);
    let fellows = match fellows {
        Some((bound, row)) => {
            let (rules, floor) = peers::first(&settings, &row);
            admission.borrow_mut().set_shares(&floor.shares[1..], &floor.shares[1..], f64::INFINITY);
            state.start_without_lease(floor);
            let (settings, core, admission) = (settings.clone(), core.clone(), admission.clone());
            Some(peers::Fellows {
                bound,
                rules,
                settings,
                peers: row,
                seed,
                clock,
                steady,
                core,
                admission,
                desk,
            })
        }
        None => None,
    };
    let (workloads, keys_ms) = (settings.decisions.workloads.clone(), settings.front.keys_ms);
    let front = Rc::new(Front {
        settings: settings.front.clone(),
        requests: RefCell::new(RequestClassifier::new(
            settings.names.clone(),
            settings.rules.clone(),
            workloads,
            keys_ms,
        )),
        admission: admission.clone(),
        repeats: Rc::new(RefCell::new(IdempotencyKeys::new(
            settings.front.keys,
            settings.front.answer_memory_bytes,
        ))),
        state: store.clone(),
        dialects: dialects(&settings),
        clock,
        core: core.clone(),
        next: Cell::new(0),
        connections: Cell::new(0),
        prefix: format!("{}.{boot:x}", settings.decisions.own_number),
        dropped: Rc::default(),
        connections_refused: Cell::new(0),
        answered_again: Cell::new(0),
        refused_by_key: Cell::new(0),
        settings_taken: Cell::new(0),
        settings_refused: RefCell::default(),
        fellows: fellows.is_some().then(|| to_fellows.clone()),
    });
    front.recover(&left);
    let swept = store.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(duration(SWEEP_MS)).await;
            swept.sweep();
        }
    });
    tokio::task::spawn_local(state.run(told));
    if let Some(fellows) = fellows {
        tokio::task::spawn_local(peers::run(fellows, asks));
    }
    tokio::task::spawn_local(list::save(dir, lists));
    tokio::task::spawn_local(list::follow(settings.clone(), engines, core.clone(), list_words, after));
    if let Some(path) = settings.servers_file.clone() {
        tokio::task::spawn_local(files::servers(path, core.clone()));
    }
    if let Some(watched) = watched {
        tokio::task::spawn_local(files::settings(watched, settings.clone(), front.clone()));
    }
    if let Some(listener) = admin {
        tokio::task::spawn_local(admin::listen(listener, front.clone()));
    }
    info!(clients = %listening.clients, admin = ?listening.admin, number = settings.decisions.own_number, "ready");
    ready(listening);
    let (closing, closed) = watch::channel(false);
    let accepting = tokio::task::spawn_local(front.clone().listen(clients, closed));
    while !*stop.borrow_and_update() {
        if stop.changed().await.is_err() {
            break;
        }
    }
    info!(open = admission.borrow().open(), "stopping");
    // First of all: what comes while peers are told is refused too.
    admission.borrow_mut().stop();
    if let Some(fellows) = &front.fellows {
        peers::leave(fellows).await;
    }
    closing.send_replace(true);
    let _ = accepting.await;
    let until = tokio::time::Instant::now() + duration(settings.front.stop_ms);
    let open = || admission.borrow().open() > 0 || front.connections.get() > 0;
    while open() && tokio::time::Instant::now() < until {
        tokio::time::sleep(duration(5.0)).await;
    }
    if admission.borrow().open() > 0 {
        info!(open = admission.borrow().open(), connections = front.connections.get(), "last answers");
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

/// The published forms, and those of the settings, by path.
fn dialects(settings: &RouterSettings) -> Vec<(String, Dialect)> {
    let own = settings.dialects.iter().map(|row| {
        let mut names = EventNames::default();
        for (event, other) in &row.events {
            if let Some(event) = EVENTS.iter().find(|known| *known == event) {
                names.others.insert(event, other.clone());
            }
        }
        (row.path.clone(), Dialect::Messages(Rc::new(names)))
    });
    let published = [
        ("/v1/messages".to_owned(), Dialect::published()),
        ("/v1/chat/completions".to_owned(), Dialect::Chat),
    ];
    published.into_iter().chain(own).collect()
}
