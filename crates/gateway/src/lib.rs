//! A router on the operators' platform: its sockets, signals and limits, before the same ledger and decisions as
//! `paddleproxy serve`. One current-thread runtime, tasks on a `LocalSet`, bounded channels, no locks. Decides
//! nothing: `paddleproxy` does. `docs/design/platform.md` says why it is as it is.

mod attempt;
mod clients;
mod core;
mod discovery;
mod endings;
mod frontend;
mod inbound;
mod limits;
mod messages;
mod pool;
mod progress;
mod servers;

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use anyhow::{anyhow, Context, Result};
use paddleproxy::interface::ListKind;
use paddleproxy::shutdown::Shutdown;
use paddleproxy_platform::Config;
use paddleproxy_router::clock::{duration, Clock};
use paddleproxy_sockets::{bind, Shortage};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, sleep_until, Instant};
use tracing::{info, warn};

use crate::core::Core;
use crate::discovery::{Source, Starts};
use crate::frontend::{Frontend, Lifecycle};
use crate::limits::{notice, Shares, CORE_QUEUE};
use crate::messages::{CoreEvent, CoreSender};
use crate::pool::Pool;

/// How often idle connections are looked through, and the clocks are looked at, in ms.
const SWEEP_MS: f64 = 1000.0;
/// How often a router that ends looks whether it is done, in ms.
const LOOK_MS: f64 = 5.0;

fn read(path: &Path, starts: &Starts) -> Result<Config> {
    let text = std::fs::read(path).with_context(|| format!("configuration {}", path.display()))?;
    starts.read(|starts, now_ms| Config::parse(&text, starts, now_ms)).map_err(|cause| anyhow!(cause))
}

/// For how long a configuration that can't be read is read again, in ms: at a start, where nothing goes on without it, and
/// with SIGHUP, where it may be half written and other signals wait. And the pause between two tries, in ms.
const START_READS_MS: f64 = 8000.0;
const RELOAD_READS_MS: f64 = 300.0;
const READ_AGAIN_MS: f64 = 30.0;

/// Whether the file was not there to be read for a moment: the machine is short of something.
fn may_pass(cause: &anyhow::Error) -> bool {
    cause.downcast_ref::<std::io::Error>().is_some_and(|cause| Shortage::of(cause).is_some())
}

/// Reads a configuration again while it can't be read for a reason that may pass.
///
/// # Errors
/// As of the last try.
async fn read_again(
    path: &Path,
    starts: &Starts,
    within_ms: f64,
    may_pass: impl Fn(&anyhow::Error) -> bool,
) -> Result<Config> {
    let until = Instant::now() + duration(within_ms);
    loop {
        match read(path, starts) {
            Err(cause) if may_pass(&cause) && Instant::now() < until => sleep(duration(READ_AGAIN_MS)).await,
            done => return done,
        }
    }
}

/// What a running router is told from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The configuration has changed.
    Reload,
    /// Let what is open end, then end.
    Stop,
}

/// Runs a router by the configuration in a file until SIGTERM, then lets what is open end. SIGHUP reads the file
/// again. Must run on a `LocalSet`.
///
/// # Errors
/// A configuration that can't be read or lacks something, or an address that can't be listened on.
pub async fn run(path: &Path) -> Result<()> {
    // Before anything else: from here on no signal ends the process.
    let mut hups = signal(SignalKind::hangup())?;
    let mut terms = signal(SignalKind::terminate())?;
    let (told, signals) = mpsc::channel(4);
    tokio::task::spawn_local(async move {
        loop {
            let signal = tokio::select! {
                _ = terms.recv() => Signal::Stop,
                _ = hups.recv() => Signal::Reload,
            };
            if told.send(signal).await.is_err() {
                return;
            }
        }
    });
    serve(path, signals, |_| {}).await
}

/// As [`run`], with whoever holds the other end of `signals` in place of the system's; `ready` is given the address
/// on which clients are taken.
///
/// # Errors
/// As [`run`].
pub async fn serve(
    path: &Path,
    mut signals: mpsc::Receiver<Signal>,
    ready: impl FnOnce(SocketAddr),
) -> Result<()> {
    let clock = Clock::start();
    let starts = Starts::new(clock);
    let starting = async {
        let config = read_again(path, &starts, START_READS_MS, may_pass).await?;
        let listen = config.listen;
        let listener = bind(listen).await.with_context(|| format!("listening on {listen}"))?;
        anyhow::Ok((config, listener))
    };
    let (config, listener) = tokio::select! {
        biased;
        () = told_to_stop(&mut signals) => {
            info!("told to stop before it listened");
            return Ok(());
        }
        started = starting => started?,
    };
    let Config { name, discovery, seed, limits, known, provision, .. } = config;
    let shares = Shares::of(&limits);
    let listen = listener.local_addr()?;
    info!(name, %listen, %discovery, ?limits, ?shares, known = known.rows.len(), "starting");

    let pool = Rc::new(Pool::new(shares.workers, provision.connect_ms, provision.idle_ms));
    let (core, told) = mpsc::channel(CORE_QUEUE);
    let (lists, asked) = mpsc::channel(2);
    let provision = Rc::new(provision);
    let mut state = Core::new(provision.clone(), clock, seed, pool.clone(), core.clone(), lists);
    let connect_ms = provision.connect_ms;
    state.listed(known, ListKind::Saved);
    tokio::task::spawn_local(state.run(told));
    let list_bytes = shares.list_bytes;
    let source = Source { address: discovery, provision: provision.clone(), list_bytes };
    let (sources, source_words) = watch::channel(source);
    let (life, lives) = watch::channel(Lifecycle::Starting);
    let frontend = Rc::new(Frontend::new(clock, core.clone(), provision, shares, lives));
    let (first, heard) = oneshot::channel();
    tokio::task::spawn_local(discovery::follow(source_words, starts.clone(), core.clone(), asked, first));
    let accepting = tokio::task::spawn_local(frontend.clone().listen(listener));
    let (swept, looking) = (pool.clone(), starts.clone());
    tokio::task::spawn_local(async move {
        loop {
            sleep(duration(SWEEP_MS)).await;
            swept.sweep();
            looking.look();
        }
    });
    // The list as it is now comes in no time; where discovery is silent, the known one has to do.
    let started = life.clone();
    tokio::task::spawn_local(async move {
        let _ = tokio::time::timeout(duration(connect_ms), heard).await;
        // One that was told to stop meanwhile stays so.
        started.send_if_modified(|life| {
            let starting = *life == Lifecycle::Starting;
            if starting {
                *life = Lifecycle::Ready;
            }
            starting
        });
    });

    ready(listen);
    let mut signal = signals.recv().await;
    while signal == Some(Signal::Reload) {
        // Whatever is wrong with it: it may be half written. The next signal goes first.
        let config = tokio::select! {
            config = read_again(path, &starts, RELOAD_READS_MS, |_| true) => config,
            next = signals.recv() => {
                signal = next;
                continue;
            }
        };
        match config {
            Ok(config) => {
                info!(discovery = %config.discovery, "configuration read again");
                let shares = Shares::of(&config.limits);
                frontend.shares.set(shares);
                pool.change(shares.workers, config.provision.connect_ms, config.provision.idle_ms);
                let provision = Rc::new(config.provision);
                *frontend.provision.borrow_mut() = provision.clone();
                let _ = core.send(CoreEvent::Settings(provision.clone())).await;
                let list_bytes = shares.list_bytes;
                sources.send_replace(Source { address: config.discovery, provision, list_bytes });
            }
            Err(cause) => {
                warn!(cause = format!("{cause:#}"), "configuration refused; the last good one stays")
            }
        }
        signal = signals.recv().await;
    }
    let longest_ms = frontend.provision.borrow().client_timeouts_ms.iter().copied().fold(0.0, f64::max);
    let shutdown = Shutdown::new(clock.now_ms(), notice(longest_ms));
    frontend.stop(shutdown);
    info!(standing = frontend.standing.get(), longest_ms, ?shutdown, "stopping");
    // Whatever else is waited for below, the last answers are given at their time.
    let answering =
        tokio::task::spawn_local(last_answers(clock, shutdown, life.clone(), frontend.clone(), core.clone()));
    // Guards against clients that have a connection here and nobody else to go to: those that rest stay as long as
    // new ones come. Harm: a request or two more meet a router that ends.
    sleep_until(clock.at(shutdown.takes_until_ms)).await;
    life.send_replace(Lifecycle::Draining);
    let _ = accepting.await;
    let after_ms = clock.now_ms() - shutdown.told_ms;
    info!(standing = frontend.standing.get(), after_ms, "no connections are taken any more");
    // Open means more than connections: what is held at workers is let go of before the end.
    while frontend.standing.get() + figures(&core).await.0 > 0 {
        sleep(duration(LOOK_MS)).await;
    }
    answering.abort();
    info!(
        figures = figures(&core).await.1,
        endings = frontend.endings.figures(),
        after_ms = clock.now_ms() - shutdown.told_ms,
        given_up = frontend.given_up.get(),
        dropped = frontend.dropped.get(),
        "stopped"
    );
    Ok(())
}

/// Returns once the word to stop has come. A new configuration says nothing before the first was read.
async fn told_to_stop(signals: &mut mpsc::Receiver<Signal>) {
    while signals.recv().await == Some(Signal::Reload) {}
}

/// Gives what has no answer yet its last one, at the time for that.
async fn last_answers(
    clock: Clock,
    shutdown: Shutdown,
    life: watch::Sender<Lifecycle>,
    frontend: Rc<Frontend>,
    core: CoreSender,
) {
    sleep_until(clock.at(shutdown.last_answers_ms)).await;
    let after_ms = clock.now_ms() - shutdown.told_ms;
    info!(standing = frontend.standing.get(), after_ms, "last answers");
    frontend.log_open();
    life.send_replace(Lifecycle::Refusing);
    let _ = core.send(CoreEvent::LastAnswers).await;
}

async fn figures(core: &CoreSender) -> (usize, String) {
    let (to, from) = oneshot::channel();
    let _ = core.send(CoreEvent::Tell(to)).await;
    from.await.unwrap_or_default()
}
