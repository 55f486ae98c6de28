//! The configuration file of a router: read at start and on SIGHUP, with retries where a read fails
//! temporarily.

use std::path::Path;

use anyhow::{anyhow, Context, Result};
use paddleproxy_platform::Config;
use paddleproxy_router::clock::duration;
use paddleproxy_sockets::{bind, Shortage};
use tokio::net::TcpListener;
use tokio::time::{sleep, Instant};

use crate::discovery::SharedStartTimes;

fn read(path: &Path, start_times: &SharedStartTimes) -> Result<Config> {
    let text = std::fs::read(path).with_context(|| format!("configuration {}", path.display()))?;
    start_times
        .with_current(|start_times, now_ms| Config::parse(&text, start_times, now_ms))
        .map_err(|cause| anyhow!(cause))
}

/// How long reading the configuration is retried at start, in ms: nothing can run without it.
const START_RETRY_LIMIT_MS: f64 = 8000.0;
/// How long reading the configuration is retried on SIGHUP, in ms: the file may be partly written, but other
/// signals wait.
const RELOAD_RETRY_LIMIT_MS: f64 = 300.0;
/// Delay between two attempts, in ms.
const RETRY_DELAY_MS: f64 = 30.0;

/// Whether reading failed because the system lacked a resource, which may pass.
fn is_transient(cause: &anyhow::Error) -> bool {
    cause.downcast_ref::<std::io::Error>().is_some_and(|cause| Shortage::of(cause).is_some())
}

/// Reads a configuration, retrying for a limited time while it fails with a cause that may pass.
///
/// # Errors
/// The error of the last attempt.
async fn read_with_retries(
    path: &Path,
    start_times: &SharedStartTimes,
    within_ms: f64,
    is_transient: impl Fn(&anyhow::Error) -> bool,
) -> Result<Config> {
    let until = Instant::now() + duration(within_ms);
    loop {
        match read(path, start_times) {
            Err(cause) if is_transient(&cause) && Instant::now() < until => {
                sleep(duration(RETRY_DELAY_MS)).await
            }
            done => return done,
        }
    }
}

/// Reads the configuration at start and listens on its address.
///
/// # Errors
/// A configuration that can't be read or is incomplete, or an address that can't be bound.
pub async fn listen(path: &Path, start_times: &SharedStartTimes) -> Result<(Config, TcpListener)> {
    let config = read_with_retries(path, start_times, START_RETRY_LIMIT_MS, is_transient).await?;
    let listen = config.listen;
    let listener = bind(listen).await.with_context(|| format!("listening on {listen}"))?;
    Ok((config, listener))
}

/// Reads the configuration for a reload. Any error is retried, because the file may still be partly written.
///
/// # Errors
/// The error of the last attempt.
pub async fn reload(path: &Path, start_times: &SharedStartTimes) -> Result<Config> {
    read_with_retries(path, start_times, RELOAD_RETRY_LIMIT_MS, |_| true).await
}
