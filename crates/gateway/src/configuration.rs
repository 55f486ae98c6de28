//! The configuration file of a router: read at its start and with SIGHUP, again where it can't be read for a moment.

use std::path::Path;

use anyhow::{anyhow, Context, Result};
use paddleproxy_platform::Config;
use paddleproxy_router::clock::duration;
use paddleproxy_sockets::{bind, Shortage};
use tokio::net::TcpListener;
use tokio::time::{sleep, Instant};

use crate::discovery::SharedStartTimes;

fn read(path: &Path, starts: &SharedStartTimes) -> Result<Config> {
    let text = std::fs::read(path).with_context(|| format!("configuration {}", path.display()))?;
    starts.with_current(|starts, now_ms| Config::parse(&text, starts, now_ms)).map_err(|cause| anyhow!(cause))
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
    starts: &SharedStartTimes,
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

/// Reads the configuration of a start and listens on its address.
///
/// # Errors
/// A configuration that can't be read or lacks something, or an address that can't be listened on.
pub async fn listen(path: &Path, starts: &SharedStartTimes) -> Result<(Config, TcpListener)> {
    let config = read_again(path, starts, START_READS_MS, may_pass).await?;
    let listen = config.listen;
    let listener = bind(listen).await.with_context(|| format!("listening on {listen}"))?;
    Ok((config, listener))
}

/// Reads the configuration for a reload, which may be half written, whatever is wrong with it at first.
///
/// # Errors
/// As of the last try.
pub async fn reload(path: &Path, starts: &SharedStartTimes) -> Result<Config> {
    read_again(path, starts, RELOAD_READS_MS, |_| true).await
}
