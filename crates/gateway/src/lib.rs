//! A router on the operators' platform: its sockets, signals and resource limits, in front of the same ledger
//! and decision modules as `paddleproxy serve`. One current-thread runtime, tasks on a `LocalSet`, bounded
//! channels, no locks. All routing decisions are made by `paddleproxy`. `docs/design/platform.md` gives the
//! reasons for this design.

mod attempt;
mod clients;
mod configuration;
mod core;
mod discovery;
mod endings;
mod frontend;
mod inbound;
mod incoming_answer;
mod limits;
mod messages;
mod outbound;
mod pool;
mod progress;
mod received_request;
mod running;
mod servers;

use std::net::SocketAddr;
use std::path::Path;

use anyhow::Result;
use paddleproxy_router::clock::Clock;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tracing::info;

use crate::discovery::SharedStartTimes;
use crate::running::Running;

/// A signal from outside to a running router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Reload the configuration.
    Reload,
    /// Finish open requests, then end.
    Stop,
}

/// Runs a router by the configuration in a file until SIGTERM, then shuts down gracefully. SIGHUP reloads the
/// file. Must run on a `LocalSet`.
///
/// # Errors
/// A configuration that can't be read or is incomplete, or an address that can't be bound.
pub async fn run(path: &Path) -> Result<()> {
    // Installed before anything else: from here on neither signal ends the process.
    let mut hups = signal(SignalKind::hangup())?;
    let mut terms = signal(SignalKind::terminate())?;
    let (sender, signals) = mpsc::channel(4);
    tokio::task::spawn_local(async move {
        loop {
            let signal = tokio::select! {
                _ = terms.recv() => Signal::Stop,
                _ = hups.recv() => Signal::Reload,
            };
            if sender.send(signal).await.is_err() {
                return;
            }
        }
    });
    serve(path, signals, |_| {}).await
}

/// As [`run`], with signals from the channel `signals` instead of the system's; `ready` is called with the
/// address on which clients are accepted.
///
/// # Errors
/// As [`run`].
pub async fn serve(
    path: &Path,
    mut signals: mpsc::Receiver<Signal>,
    ready: impl FnOnce(SocketAddr),
) -> Result<()> {
    let clock = Clock::start();
    let start_times = SharedStartTimes::new(clock);
    let (config, listener) = tokio::select! {
        biased;
        () = stop_requested(&mut signals) => {
            info!("stop signal received before the router listened");
            return Ok(());
        }
        listening = configuration::listen(path, &start_times) => listening?,
    };
    let listen = listener.local_addr()?;
    let router = Running::start(config, listener, listen, clock, start_times.clone());
    ready(listen);
    router.reload_until_stopped(path, &start_times, &mut signals).await;
    router.shut_down().await;
    Ok(())
}

/// Returns once the stop signal was received. A reload before the first configuration was read is ignored.
async fn stop_requested(signals: &mut mpsc::Receiver<Signal>) {
    while signals.recv().await == Some(Signal::Reload) {}
}
