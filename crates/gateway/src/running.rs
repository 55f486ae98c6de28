//! A router from its start to its end: the tasks of one process, reloads, graceful shutdown.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use paddleproxy::interface::ListKind;
use paddleproxy::shutdown::Shutdown;
use paddleproxy_platform::Config;
use paddleproxy_router::clock::{duration, Clock};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout};
use tracing::{info, warn};

use crate::configuration;
use crate::core::Core;
use crate::discovery::{self, SharedStartTimes, Source};
use crate::frontend::{Frontend, Lifecycle};
use crate::limits::{grace_period, Shares, CORE_QUEUE};
use crate::messages::{CoreEvent, CoreSender};
use crate::pool::Pool;
use crate::Signal;

/// How often idle connections and the clocks are checked, in ms.
const SWEEP_MS: f64 = 1000.0;
/// How often a router that shuts down checks whether it is done, in ms.
const DONE_CHECK_MS: f64 = 5.0;

/// The handles of one router's tasks.
pub struct Running {
    clock: Clock,
    frontend: Rc<Frontend>,
    core: CoreSender,
    pool: Rc<Pool>,
    life: watch::Sender<Lifecycle>,
    sources: watch::Sender<Source>,
    accepting: JoinHandle<()>,
}

impl Running {
    /// Starts all tasks. Must run on a `LocalSet`.
    pub fn start(
        config: Config,
        listener: TcpListener,
        listen: SocketAddr,
        clock: Clock,
        starts: SharedStartTimes,
    ) -> Running {
        let Config { name, discovery, seed, limits, known, provision, .. } = config;
        let shares = Shares::of(&limits);
        info!(name, %listen, %discovery, ?limits, ?shares, known = known.rows.len(), "starting");

        let pool = Rc::new(Pool::new(shares.workers, provision.connect_ms, provision.idle_ms));
        let (core, told) = mpsc::channel(CORE_QUEUE);
        let (lists, asked) = mpsc::channel(2);
        let provision = Rc::new(provision);
        let mut state = Core::new(provision.clone(), clock, seed, pool.clone(), core.clone(), lists);
        let connect_ms = provision.connect_ms;
        state.apply_list(known, ListKind::Saved);
        tokio::task::spawn_local(state.run(told));
        let list_bytes = shares.list_bytes;
        let source = Source { address: discovery, provision: provision.clone(), list_bytes };
        let (sources, source_changes) = watch::channel(source);
        let (life, lives) = watch::channel(Lifecycle::Starting);
        let frontend = Rc::new(Frontend::new(clock, core.clone(), provision, shares, lives));
        let (first, heard) = oneshot::channel();
        tokio::task::spawn_local(discovery::follow(
            source_changes,
            starts.clone(),
            core.clone(),
            asked,
            first,
        ));
        let accepting = tokio::task::spawn_local(frontend.clone().listen(listener));
        tokio::task::spawn_local(sweep(pool.clone(), starts));
        tokio::task::spawn_local(become_ready(life.clone(), heard, connect_ms));
        Running { clock, frontend, core, pool, life, sources, accepting }
    }

    /// Reads the configuration again with each reload, until the signal to stop.
    pub async fn reload_until_stopped(
        &self,
        path: &Path,
        starts: &SharedStartTimes,
        signals: &mut mpsc::Receiver<Signal>,
    ) {
        let mut signal = signals.recv().await;
        while signal == Some(Signal::Reload) {
            // The next signal goes first.
            let config = tokio::select! {
                config = configuration::reload(path, starts) => config,
                next = signals.recv() => {
                    signal = next;
                    continue;
                }
            };
            match config {
                Ok(config) => self.apply(config).await,
                Err(cause) => {
                    warn!(cause = format!("{cause:#}"), "configuration refused; the last good one stays")
                }
            }
            signal = signals.recv().await;
        }
    }

    async fn apply(&self, config: Config) {
        info!(discovery = %config.discovery, "configuration read again");
        let shares = Shares::of(&config.limits);
        self.frontend.shares.set(shares);
        self.pool.reconfigure(shares.workers, config.provision.connect_ms, config.provision.idle_ms);
        let provision = Rc::new(config.provision);
        *self.frontend.provision.borrow_mut() = provision.clone();
        let _ = self.core.send(CoreEvent::Settings(provision.clone())).await;
        let list_bytes = shares.list_bytes;
        self.sources.send_replace(Source { address: config.discovery, provision, list_bytes });
    }

    /// Shuts down by the schedule of [`Shutdown`]; returns once nothing is open.
    pub async fn shut_down(self) {
        let timeouts_ms = self.frontend.provision.borrow().client_timeouts_ms.clone();
        let longest_ms = timeouts_ms.into_iter().fold(0.0, f64::max);
        let shutdown = Shutdown::new(self.clock.now_ms(), grace_period(longest_ms));
        self.frontend.stop(shutdown);
        info!(standing = self.frontend.standing.get(), longest_ms, ?shutdown, "stopping");
        // In a task of its own: the time of the last answers holds whatever is waited for below.
        let last_answers =
            LastAnswers { clock: self.clock, shutdown, life: self.life.clone(), core: self.core.clone() };
        let answering = tokio::task::spawn_local(last_answers.give(self.frontend.clone()));
        // Until then idle connections stay open: their clients may have no other router to go to yet.
        sleep_until(self.clock.at(shutdown.accepts_until_ms)).await;
        self.life.send_replace(Lifecycle::Draining);
        let _ = self.accepting.await;
        let after_ms = self.clock.now_ms() - shutdown.requested_ms;
        info!(standing = self.frontend.standing.get(), after_ms, "no connections are taken any more");
        // Open means more than connections: states held at servers are released before the end.
        while self.frontend.standing.get() + figures(&self.core).await.0 > 0 {
            sleep(duration(DONE_CHECK_MS)).await;
        }
        answering.abort();
        info!(
            figures = figures(&self.core).await.1,
            endings = self.frontend.endings.figures(),
            after_ms = self.clock.now_ms() - shutdown.requested_ms,
            given_up = self.frontend.given_up.get(),
            dropped = self.frontend.dropped.get(),
            "stopped"
        );
    }
}

/// The stage of a shutdown in which every request gets its final answer.
struct LastAnswers {
    clock: Clock,
    shutdown: Shutdown,
    life: watch::Sender<Lifecycle>,
    core: CoreSender,
}

impl LastAnswers {
    /// Gives them at their time.
    async fn give(self, frontend: Rc<Frontend>) {
        sleep_until(self.clock.at(self.shutdown.last_answers_ms)).await;
        let after_ms = self.clock.now_ms() - self.shutdown.requested_ms;
        info!(standing = frontend.standing.get(), after_ms, "last answers");
        frontend.log_open();
        self.life.send_replace(Lifecycle::Refusing);
        let _ = self.core.send(CoreEvent::LastAnswers).await;
    }
}

async fn sweep(pool: Rc<Pool>, starts: SharedStartTimes) {
    loop {
        sleep(duration(SWEEP_MS)).await;
        pool.sweep();
        starts.observe_wall_offset();
    }
}

/// Ready with the first list, which comes in no time; where discovery is silent the known list has to do.
async fn become_ready(life: watch::Sender<Lifecycle>, heard: oneshot::Receiver<()>, connect_ms: f64) {
    let _ = timeout(duration(connect_ms), heard).await;
    // A router that was told to stop meanwhile stays so.
    life.send_if_modified(|life| {
        let starting = *life == Lifecycle::Starting;
        if starting {
            *life = Lifecycle::Ready;
        }
        starting
    });
}

/// Open work, and figures for the log.
async fn figures(core: &CoreSender) -> (usize, String) {
    let (to, from) = oneshot::channel();
    let _ = core.send(CoreEvent::QueryStats(to)).await;
    from.await.unwrap_or_default()
}
