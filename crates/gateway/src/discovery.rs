//! Follows discovery: fetches the whole list, then watches for changes by one long poll after the other.
//! After a timeout, a broken connection or an invalid answer the last valid list stays, and the calls
//! continue.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use paddleproxy_platform::{List, PlatformSettings, StartTimes};
use paddleproxy_router::clock::{duration, Clock};
use paddleproxy_routing::SocketEnd;
use paddleproxy_sockets::{connect, Stream};
use tokio::io::AsyncWriteExt;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout, Instant};
use tracing::{info, warn};

use crate::limits::DISCOVERY_RETRY_MS;
use crate::messages::{CoreEvent, CoreSender};
use crate::pool::{read_body, read_head};
use crate::progress::{ListUpdate, Progress};

/// A request of the decision modules to fetch the whole list at once.
pub struct Refetch;

/// The address of discovery, and the settings by which its lists are parsed.
#[derive(Clone)]
pub struct Source {
    pub address: SocketAddr,
    pub platform_settings: Rc<PlatformSettings>,
    /// The maximum size of a list, in bytes.
    pub list_bytes: usize,
}

/// Maps servers' start times, which lists give by the wall clock, onto the router's monotonic clock. Clones
/// share the mapping.
#[derive(Clone)]
pub struct SharedStartTimes {
    times: Rc<RefCell<StartTimes>>,
    clock: Clock,
}

impl SharedStartTimes {
    pub fn new(clock: Clock) -> SharedStartTimes {
        let shared = SharedStartTimes { times: Rc::default(), clock };
        shared.observe_wall_offset();
        shared
    }

    /// Records the present offset of the wall clock from the router's clock.
    pub fn observe_wall_offset(&self) {
        self.times.borrow_mut().observe_offset(self.clock.wall_offset_ms());
    }

    /// Calls `parse` with the start times and the present time, after an observation of the offset.
    pub fn with_current<T>(&self, parse: impl FnOnce(&mut StartTimes, f64) -> T) -> T {
        self.observe_wall_offset();
        parse(&mut self.times.borrow_mut(), self.clock.now_ms())
    }
}

/// Does one call on an open connection. Returns the status, the body, and whether the connection can be
/// reused.
async fn call(
    stream: &mut Stream,
    address: SocketAddr,
    path: &str,
    max_bytes: usize,
) -> Result<(u16, BytesMut, bool), String> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    stream.write_all(request.as_bytes()).await.map_err(|cause| cause.to_string())?;
    let mut bytes = BytesMut::new();
    let describe = |end: SocketEnd| format!("{end:?}");
    let head = read_head(stream, &mut bytes).await.map_err(describe)?;
    let body = read_body(stream, &mut bytes, head.framing, max_bytes).await.map_err(|end| match end {
        SocketEnd::Nonsense(why) => format!("{why}; a list may have {max_bytes} bytes"),
        end => describe(end),
    })?;
    Ok((head.status, body, head.connection_reusable() && bytes.is_empty()))
}

/// Pause between an answer without changes and the next watch, in ms: well below the time within which a
/// watch must be resumed.
const WATCH_PAUSE_MS: f64 = 10.0;

/// Follows discovery until the core has ended. `first` is notified of the first usable list.
pub async fn follow(
    mut sources: watch::Receiver<Source>,
    start_times: SharedStartTimes,
    core: CoreSender,
    mut refetches: mpsc::Receiver<Refetch>,
    first: oneshot::Sender<()>,
) {
    let mut first = Some(first);
    let mut progress = Progress::default();
    let mut stream: Option<Stream> = None;
    let mut failing = false;
    loop {
        let source = sources.borrow_and_update().clone();
        let address = source.address;
        let path = progress.path();
        let timeout_ms = progress.timeout_ms();
        let started = Instant::now();
        let exchange = async {
            let mut open = match stream.take() {
                Some(open) => open,
                None => connect(address).await.map_err(|cause| cause.to_string())?,
            };
            let answer = call(&mut open, address, &path, source.list_bytes).await?;
            Ok::<_, String>((answer, open))
        };
        let answer = tokio::select! {
            biased;
            changed = sources.changed() => {
                if changed.is_err() {
                    return;
                }
                if sources.borrow().address != address {
                    info!(from = %address, to = %sources.borrow().address, "discovery address changed");
                }
                progress.reset();
                stream = None;
                continue;
            }
            Some(Refetch) = refetches.recv() => {
                progress.reset();
                stream = None;
                continue;
            }
            answer = timeout(duration(timeout_ms), exchange) => match answer {
                Ok(answer) => answer,
                Err(_) => {
                    progress.timed_out();
                    Err(format!("no answer in {timeout_ms:.0} ms"))
                }
            },
        };
        if answer.is_ok() {
            progress.answered(started.elapsed().as_secs_f64() * 1e3);
        }
        let list = answer.and_then(|((status, body, reusable), open)| {
            if status != 200 {
                return Err(format!("status {status}"));
            }
            // If an answer can't be parsed, the whole list is fetched, which contains its changes.
            let parsed = start_times.with_current(|start_times, now_ms| {
                List::parse(&body, &source.platform_settings, start_times, now_ms)
            });
            let list = parsed.inspect_err(|_| progress.mark_unreadable())?;
            if reusable {
                stream = Some(open);
            }
            Ok(list)
        });
        match list {
            Ok(list) => {
                if std::mem::take(&mut failing) {
                    info!(%address, version = list.version, "discovery is reachable again");
                }
                let update = progress.apply(&list);
                match update {
                    ListUpdate::Changed if core.send(CoreEvent::Listed(list)).await.is_err() => return,
                    ListUpdate::Changed => {}
                    // Avoids a busy loop with a discovery that answers watches at once and without changes.
                    ListUpdate::Unchanged => sleep(duration(WATCH_PAUSE_MS)).await,
                    ListUpdate::Unusable => sleep(duration(DISCOVERY_RETRY_MS)).await,
                }
                if update != ListUpdate::Unusable {
                    let _ = first.take().map(|first| first.send(()));
                }
            }
            Err(why) => {
                if !std::mem::replace(&mut failing, true) {
                    warn!(%address, why, "call to discovery failed; keeping the last list");
                }
                sleep(duration(DISCOVERY_RETRY_MS)).await;
            }
        }
    }
}
