//! Polls the list service (long poll), and saves the last valid list on disk for the next start.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use hyper::Method;
use paddleproxy_engine as wire;
use paddleproxy_membership::backoff::Backoff;
use paddleproxy_membership::{SavedList, SourceId};
use paddleproxy_settings::router::RouterSettings;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, Instant};
use tracing::{debug, warn};

use crate::clock::duration;
use crate::engines::Engines;
use crate::events::{CoreEvent, CoreSender, ListPosition};
use crate::files::write_atomic;

/// A request of the decision core concerning the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// Follow all changes from now on.
    Subscribe,
    /// Fetch the complete list once.
    Fetch,
}

const SAVED_LIST_FILE: &str = "servers.json";
const MAX_LIST_BYTES: usize = 16 << 20;

/// Polls the list service as long as the router runs. Where the settings require a subscription, it polls
/// only after the decision core has subscribed; a failure then ends the subscription and is reported to the
/// core.
pub async fn follow(
    settings: Rc<RouterSettings>,
    engines: Rc<Engines>,
    core: CoreSender,
    mut requests: mpsc::Receiver<ListRequest>,
    mut position: ListPosition,
) {
    let must_subscribe = settings.decisions.must_subscribe;
    let seed = settings.seed.unwrap_or(0) ^ settings.decisions.own_number as u64;
    let mut backoff = Backoff::new(settings.list.retry_ms, settings.list.poll_ms, seed);
    let mut subscribed = !must_subscribe;
    let mut wait = subscribed;
    loop {
        let mut complete = false;
        if !subscribed {
            match requests.recv().await {
                Some(ListRequest::Subscribe) => (subscribed, wait) = (true, false),
                Some(ListRequest::Fetch) => (complete, wait) = (true, false),
                None => return,
            }
        }
        while let Ok(request) = requests.try_recv() {
            complete |= request == ListRequest::Fetch;
            subscribed |= request == ListRequest::Subscribe;
        }
        let start = Instant::now();
        match poll(
            &settings,
            &engines,
            position.filter(|_| !complete),
            wait && position.is_some() && !complete,
        )
        .await
        {
            Ok(list) => {
                let (next, next_position) = oneshot::channel();
                backoff.reset();
                let event =
                    CoreEvent::ListReceived { source: SourceId::Service, list, fingerprint: None, next };
                if core.send(event).await.is_err() {
                    return;
                }
                position = next_position.await.ok().flatten();
                wait = true;
            }
            Err(cause) => {
                debug!(cause, "list service request failed");
                if must_subscribe {
                    subscribed = false;
                    if core.send(CoreEvent::ListFailed).await.is_err() {
                        return;
                    }
                } else {
                    sleep(duration(backoff.next_delay_ms())).await;
                }
            }
        }
        // Avoids a busy loop with a service that answers at once although nothing is new.
        let min_interval = duration(settings.list.retry_ms / 10.0);
        if start.elapsed() < min_interval {
            sleep(min_interval - start.elapsed()).await;
        }
    }
}

async fn poll(
    settings: &RouterSettings,
    engines: &Engines,
    position: ListPosition,
    wait: bool,
) -> Result<wire::ServerList, String> {
    let wait_ms = if wait { settings.list.poll_ms } else { 0.0 };
    let position =
        position.map(|(epoch, version)| format!("&epoch={epoch}&after={version}")).unwrap_or_default();
    let own_number = settings.decisions.own_number;
    let path = format!("{}?router={own_number}&wait_ms={wait_ms}{position}", wire::SERVERS);
    let timeout_ms = wait_ms + engines.settings.connect_ms + settings.list.retry_ms;
    let answer = engines
        .call(settings.list.service, Method::GET, &path, String::new(), timeout_ms, MAX_LIST_BYTES)
        .await;
    match answer {
        Ok((200, _, body)) => serde_json::from_slice(&body).map_err(|cause| cause.to_string()),
        Ok((status, _, _)) => Err(format!("status {status}")),
        Err(end) => Err(format!("{end:?}")),
    }
}

/// Loads the list that an earlier run saved, if there is a readable one.
pub fn load_saved(dir: &Path) -> Option<SavedList> {
    let bytes = std::fs::read(dir.join(SAVED_LIST_FILE)).ok()?;
    match serde_json::from_slice(&bytes) {
        Ok(saved) => Some(saved),
        Err(cause) => {
            warn!(%cause, file = SAVED_LIST_FILE, "the saved list can't be read; starting without one");
            None
        }
    }
}

/// Saves each list that the core publishes, atomically; skips a list if a newer one is already there.
pub async fn save(dir: PathBuf, mut lists: watch::Receiver<Option<SavedList>>) {
    while lists.changed().await.is_ok() {
        let Some(list) = lists.borrow_and_update().clone() else { continue };
        let dir = dir.clone();
        let result = tokio::task::spawn_blocking(move || write(&dir, &list)).await;
        if let Ok(Err(cause)) = result {
            warn!(%cause, "the list could not be saved");
        }
    }
}

fn write(dir: &Path, list: &SavedList) -> std::io::Result<()> {
    write_atomic(&dir.join(SAVED_LIST_FILE), &serde_json::to_vec(list)?)
}
