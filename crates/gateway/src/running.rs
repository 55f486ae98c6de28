//! The life cycle of a router process: start of its tasks, configuration reloads, graceful shutdown.

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
use crate::limits::{grace_period, Shares, CORE_QUEUE_EVENTS};
use crate::messages::{CoreEvent, CoreSender};
use crate::pool::Pool;
use crate::Signal;

/// Interval at which idle connections and the clocks are checked, in ms.
const SWEEP_INTERVAL_MS: f64 = 1000.0;
/// Interval at which a router that shuts down checks whether all work is done, in ms.
const DONE_CHECK_INTERVAL_MS: f64 = 5.0;

/// The handles of one router's tasks.
pub struct Running {
    clock: Clock,
    frontend: Rc<Frontend>,
    core: CoreSender,
    pool: Rc<Pool>,
    lifecycle: watch::Sender<Lifecycle>,
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
        start_times: SharedStartTimes,
    ) -> Running {
        let Config { name, discovery, seed, limits, known, settings: platform_settings, .. } = config;
        let shares = Shares::of(&limits);
        info!(name, %listen, %discovery, ?limits, ?shares, known = known.rows.len(), "starting");

        let pool = Rc::new(Pool::new(
            shares.workers,
            platform_settings.connect_timeout_ms,
            platform_settings.server_idle_timeout_ms,
        ));
        let (core, events) = mpsc::channel(CORE_QUEUE_EVENTS);
        let (refetch_sender, refetches) = mpsc::channel(2);
        let platform_settings = Rc::new(platform_settings);
        let mut core_task =
            Core::new(platform_settings.clone(), clock, seed, pool.clone(), core.clone(), refetch_sender);
        let connect_timeout_ms = platform_settings.connect_timeout_ms;
        core_task.apply_list(known, ListKind::Saved);
        tokio::task::spawn_local(core_task.run(events));
        let list_bytes = shares.list_bytes;
        let source = Source { address: discovery, platform_settings: platform_settings.clone(), list_bytes };
        let (sources, source_changes) = watch::channel(source);
        let (lifecycle, lifecycle_changes) = watch::channel(Lifecycle::Starting);
        let frontend =
            Rc::new(Frontend::new(clock, core.clone(), platform_settings, shares, lifecycle_changes));
        let (first_list, first_list_received) = oneshot::channel();
        tokio::task::spawn_local(discovery::follow(
            source_changes,
            start_times.clone(),
            core.clone(),
            refetches,
            first_list,
        ));
        let accepting = tokio::task::spawn_local(frontend.clone().accept_connections(listener));
        tokio::task::spawn_local(sweep(pool.clone(), start_times));
        tokio::task::spawn_local(become_ready(lifecycle.clone(), first_list_received, connect_timeout_ms));
        Running { clock, frontend, core, pool, lifecycle, sources, accepting }
    }

    /// Reloads the configuration on each reload signal, until the stop signal.
    pub async fn reload_until_stopped(
        &self,
        path: &Path,
        start_times: &SharedStartTimes,
        signals: &mut mpsc::Receiver<Signal>,
    ) {
        let mut signal = signals.recv().await;
        while signal == Some(Signal::Reload) {
            // A signal that arrives during a reload takes precedence over it.
            let config = tokio::select! {
                config = configuration::reload(path, start_times) => config,
                next = signals.recv() => {
                    signal = next;
                    continue;
                }
            };
            match config {
                Ok(config) => self.apply(config).await,
                Err(cause) => {
                    warn!(cause = format!("{cause:#}"), "configuration rejected; keeping the last valid one")
                }
            }
            signal = signals.recv().await;
        }
    }

    async fn apply(&self, config: Config) {
        info!(discovery = %config.discovery, "configuration reloaded");
        let shares = Shares::of(&config.limits);
        self.frontend.shares.set(shares);
        self.pool.reconfigure(
            shares.workers,
            config.settings.connect_timeout_ms,
            config.settings.server_idle_timeout_ms,
        );
        let platform_settings = Rc::new(config.settings);
        *self.frontend.platform_settings.borrow_mut() = platform_settings.clone();
        let _ = self.core.send(CoreEvent::Settings(platform_settings.clone())).await;
        let list_bytes = shares.list_bytes;
        self.sources.send_replace(Source { address: config.discovery, platform_settings, list_bytes });
    }

    /// Shuts down by the schedule of [`Shutdown`]; returns once no work is open.
    pub async fn shut_down(self) {
        let timeouts_ms = self.frontend.platform_settings.borrow().client_timeouts_ms.clone();
        let longest_ms = timeouts_ms.into_iter().fold(0.0, f64::max);
        let shutdown = Shutdown::new(self.clock.now_ms(), grace_period(longest_ms));
        self.frontend.begin_shutdown(shutdown);
        info!(standing = self.frontend.open_connections.get(), longest_ms, ?shutdown, "stopping");
        // In a task of its own: the final answers are due on time, whatever the code below waits for.
        let final_answer_stage = FinalAnswers {
            clock: self.clock,
            shutdown,
            lifecycle: self.lifecycle.clone(),
            core: self.core.clone(),
        };
        let final_answers = tokio::task::spawn_local(final_answer_stage.run(self.frontend.clone()));
        // Idle connections stay open until then: their clients may not have another router to use yet.
        sleep_until(self.clock.at(shutdown.accepts_until_ms)).await;
        self.lifecycle.send_replace(Lifecycle::Draining);
        let _ = self.accepting.await;
        let after_ms = self.clock.now_ms() - shutdown.requested_ms;
        info!(
            standing = self.frontend.open_connections.get(),
            after_ms, "listener closed; no more connections are accepted"
        );
        // Open work is more than connections: states held at servers are released before the router ends.
        while self.frontend.open_connections.get() + open_work(&self.core).await.0 > 0 {
            sleep(duration(DONE_CHECK_INTERVAL_MS)).await;
        }
        final_answers.abort();
        info!(
            figures = open_work(&self.core).await.1,
            endings = self.frontend.endings.summary(),
            after_ms = self.clock.now_ms() - shutdown.requested_ms,
            given_up = self.frontend.evicted.get(),
            dropped = self.frontend.dropped.get(),
            "stopped"
        );
    }
}

/// The stage of a shutdown in which every request gets its final answer.
struct FinalAnswers {
    clock: Clock,
    shutdown: Shutdown,
    lifecycle: watch::Sender<Lifecycle>,
    core: CoreSender,
}

impl FinalAnswers {
    /// Waits until final answers are due, then requests them from the connections and the core.
    async fn run(self, frontend: Rc<Frontend>) {
        sleep_until(self.clock.at(self.shutdown.last_answers_ms)).await;
        let after_ms = self.clock.now_ms() - self.shutdown.requested_ms;
        info!(standing = frontend.open_connections.get(), after_ms, "sending final answers to open requests");
        frontend.log_open_requests();
        self.lifecycle.send_replace(Lifecycle::Refusing);
        let _ = self.core.send(CoreEvent::LastAnswers).await;
    }
}

/// Closes idle connections and checks the clocks at regular intervals.
async fn sweep(pool: Rc<Pool>, start_times: SharedStartTimes) {
    loop {
        sleep(duration(SWEEP_INTERVAL_MS)).await;
        pool.sweep();
        start_times.observe_wall_offset();
    }
}

/// Makes the router ready once discovery has sent the first list, which usually takes no time. If discovery
/// does not answer within the connect timeout, the list from the configuration is used.
async fn become_ready(
    lifecycle: watch::Sender<Lifecycle>,
    first_list_received: oneshot::Receiver<()>,
    connect_timeout_ms: f64,
) {
    let _ = timeout(duration(connect_timeout_ms), first_list_received).await;
    // A shutdown that began in the meantime must not be undone.
    lifecycle.send_if_modified(|stage| {
        let starting = *stage == Lifecycle::Starting;
        if starting {
            *stage = Lifecycle::Ready;
        }
        starting
    });
}

/// The amount of open work in the core, and its counters for the log.
async fn open_work(core: &CoreSender) -> (usize, String) {
    let (sender, receiver) = oneshot::channel();
    let _ = core.send(CoreEvent::QueryStats(sender)).await;
    receiver.await.unwrap_or_default()
}
