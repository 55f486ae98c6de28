//! A router on the operators' platform: its sockets, signals and limits, before the same ledger and decisions as
//! `paddleproxy serve`. One current-thread runtime, tasks on a `LocalSet`, bounded channels, no locks. Decides
//! nothing: `paddleproxy` does. `docs/design/platform.md` says why it is as it is.

mod attempt;
mod clients;
mod configuration;
mod core;
mod discovery;
mod endings;
mod frontend;
mod inbound;
mod limits;
mod messages;
mod pool;
mod progress;
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
    let starts = SharedStartTimes::new(clock);
    let (config, listener) = tokio::select! {
        biased;
        () = told_to_stop(&mut signals) => {
            info!("told to stop before it listened");
            return Ok(());
        }
        listening = configuration::listen(path, &starts) => listening?,
    };
    let listen = listener.local_addr()?;
    let router = Running::start(config, listener, listen, clock, starts.clone());
    ready(listen);
    router.reload_until_stopped(path, &starts, &mut signals).await;
    router.shut_down().await;
    Ok(())
}

/// Returns once SIGTERM was received. A reload before the first configuration was read says nothing.
async fn told_to_stop(signals: &mut mpsc::Receiver<Signal>) {
    while signals.recv().await == Some(Signal::Reload) {}
}
