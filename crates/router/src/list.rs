//! Asks the list service by long poll, and keeps the last good list on disk for the next start.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use hyper::Method;
use paddleproxy_engine as wire;
use paddleproxy_membership::backoff::Backoff;
use paddleproxy_membership::{Saved, SourceId};
use paddleproxy_settings::router::RouterSettings;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, Instant};
use tracing::{debug, warn};

use crate::clock::duration;
use crate::engines::Engines;
use crate::events::{CoreEvent, CoreSender, ListPosition};
use crate::files::write_whole;

/// What the decisions want of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    Subscribe,
    /// The whole list once.
    Fetch,
}

const FILE: &str = "servers.json";
const LIST_BYTES: usize = 16 << 20;

/// Polls as long as the router runs. Where changes are not automatic, only once the decisions subscribe, and a
/// failure ends the subscription and is told.
pub async fn follow(
    settings: Rc<RouterSettings>,
    engines: Rc<Engines>,
    core: CoreSender,
    mut words: mpsc::Receiver<ListRequest>,
    mut after: ListPosition,
) {
    let asked = settings.decisions.must_subscribe;
    let seed = settings.seed.unwrap_or(0) ^ settings.decisions.own_number as u64;
    let mut backoff = Backoff::new(settings.list.retry_ms, settings.list.poll_ms, seed);
    let mut subscribed = !asked;
    let mut wait = subscribed;
    loop {
        let mut whole = false;
        if !subscribed {
            match words.recv().await {
                Some(ListRequest::Subscribe) => (subscribed, wait) = (true, false),
                Some(ListRequest::Fetch) => (whole, wait) = (true, false),
                None => return,
            }
        }
        while let Ok(word) = words.try_recv() {
            whole |= word == ListRequest::Fetch;
            subscribed |= word == ListRequest::Subscribe;
        }
        let began = Instant::now();
        match poll(&settings, &engines, after.filter(|_| !whole), wait && after.is_some() && !whole).await {
            Ok(list) => {
                let (next, answer) = oneshot::channel();
                backoff.answered();
                let told =
                    CoreEvent::ListReceived { source: SourceId::Service, list, fingerprint: None, next };
                if core.send(told).await.is_err() {
                    return;
                }
                after = answer.await.ok().flatten();
                wait = true;
            }
            Err(cause) => {
                debug!(cause, "list service");
                if asked {
                    subscribed = false;
                    if core.send(CoreEvent::ListFailed).await.is_err() {
                        return;
                    }
                } else {
                    sleep(duration(backoff.failed_ms())).await;
                }
            }
        }
        // A service that answers at once with nothing new must not be asked in a tight loop.
        let least = duration(settings.list.retry_ms / 10.0);
        if began.elapsed() < least {
            sleep(least - began.elapsed()).await;
        }
    }
}

async fn poll(
    settings: &RouterSettings,
    engines: &Engines,
    after: ListPosition,
    wait: bool,
) -> Result<wire::ServerList, String> {
    let wait_ms = if wait { settings.list.poll_ms } else { 0.0 };
    let after = after.map(|(epoch, version)| format!("&epoch={epoch}&after={version}")).unwrap_or_default();
    let number = settings.decisions.own_number;
    let path = format!("{}?router={number}&wait_ms={wait_ms}{after}", wire::SERVERS);
    let within_ms = wait_ms + engines.settings.connect_ms + settings.list.retry_ms;
    let answer =
        engines.call(settings.list.service, Method::GET, &path, String::new(), within_ms, LIST_BYTES).await;
    match answer {
        Ok((200, _, body)) => serde_json::from_slice(&body).map_err(|cause| cause.to_string()),
        Ok((status, _, _)) => Err(format!("status {status}")),
        Err(end) => Err(format!("{end:?}")),
    }
}

/// The list of an earlier run, if there is a readable one.
pub fn load_saved(dir: &Path) -> Option<Saved> {
    let bytes = std::fs::read(dir.join(FILE)).ok()?;
    match serde_json::from_slice(&bytes) {
        Ok(saved) => Some(saved),
        Err(cause) => {
            warn!(%cause, file = FILE, "the saved list can't be read; starting without one");
            None
        }
    }
}

/// Writes each list that the core gives out, the newest at a time, whole or not at all.
pub async fn save(dir: PathBuf, mut lists: watch::Receiver<Option<Saved>>) {
    while lists.changed().await.is_ok() {
        let Some(list) = lists.borrow_and_update().clone() else { continue };
        let dir = dir.clone();
        let written = tokio::task::spawn_blocking(move || write(&dir, &list)).await;
        if let Ok(Err(cause)) = written {
            warn!(%cause, "the list could not be saved");
        }
    }
}

fn write(dir: &Path, list: &Saved) -> std::io::Result<()> {
    write_whole(&dir.join(FILE), &serde_json::to_vec(list)?)
}
