//! Follows discovery: the whole list, then one watch after the other. Silence, a cut answer and what is no list leave
//! the last good list in place, and asking goes on.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use paddleproxy_platform::{List, Provision, StartTimes};
use paddleproxy_router::clock::{duration, Clock};
use paddleproxy_routing::SocketEnd;
use paddleproxy_sockets::{connect, Stream};
use tokio::io::AsyncWriteExt;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout, Instant};
use tracing::{info, warn};

use crate::limits::ASK_AGAIN_MS;
use crate::messages::{CoreEvent, CoreSender};
use crate::pool::{read_body, read_head};
use crate::progress::{ListUpdate, Progress};

/// The decisions want the whole list, now.
pub struct Refetch;

/// Where discovery is, and the settings by which its lists are read.
#[derive(Clone)]
pub struct Source {
    pub address: SocketAddr,
    pub provision: Rc<Provision>,
    /// Bytes that one list may have.
    pub list_bytes: usize,
}

/// Where servers' starts are mapped onto the router's clock.
#[derive(Clone)]
pub struct SharedStartTimes {
    times: Rc<RefCell<StartTimes>>,
    clock: Clock,
}

impl SharedStartTimes {
    pub fn new(clock: Clock) -> SharedStartTimes {
        let starts = SharedStartTimes { times: Rc::default(), clock };
        starts.observe_wall_offset();
        starts
    }

    /// Looks how far the wall clock is off by now.
    pub fn observe_wall_offset(&self) {
        self.times.borrow_mut().observe_offset(self.clock.wall_offset_ms());
    }

    /// Reads with the starts as they are known, after a look at the clocks.
    pub fn with_current<T>(&self, read: impl FnOnce(&mut StartTimes, f64) -> T) -> T {
        self.observe_wall_offset();
        read(&mut self.times.borrow_mut(), self.clock.now_ms())
    }
}

/// One call's answer on a connection that stays open.
async fn call(
    stream: &mut Stream,
    address: SocketAddr,
    path: &str,
    most: usize,
) -> Result<(u16, BytesMut, bool), String> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    stream.write_all(request.as_bytes()).await.map_err(|cause| cause.to_string())?;
    let mut bytes = BytesMut::new();
    let said = |end: SocketEnd| format!("{end:?}");
    let head = read_head(stream, &mut bytes).await.map_err(said)?;
    let body = read_body(stream, &mut bytes, head.framing, most).await.map_err(|end| match end {
        SocketEnd::Nonsense(why) => format!("{why}; a list may have {most} bytes"),
        end => said(end),
    })?;
    Ok((head.status, body, head.stays() && bytes.is_empty()))
}

/// Between an answer without news and the next watch, in ms: well within the time in which a watch goes on.
const PACE_MS: f64 = 10.0;

/// Never returns while the core lives.
pub async fn follow(
    mut sources: watch::Receiver<Source>,
    starts: SharedStartTimes,
    core: CoreSender,
    mut asked: mpsc::Receiver<Refetch>,
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
        let within_ms = progress.timeout_ms();
        let began = Instant::now();
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
                    info!(from = %address, to = %sources.borrow().address, "discovery moves");
                }
                progress.reset();
                stream = None;
                continue;
            }
            Some(Refetch) = asked.recv() => {
                progress.reset();
                stream = None;
                continue;
            }
            answer = timeout(duration(within_ms), exchange) => match answer {
                Ok(answer) => answer,
                Err(_) => {
                    progress.timed_out();
                    Err(format!("no answer in {within_ms:.0} ms"))
                }
            },
        };
        if answer.is_ok() {
            progress.answered(began.elapsed().as_secs_f64() * 1e3);
        }
        let list = answer.and_then(|((status, body, stays), open)| {
            if status != 200 {
                return Err(format!("status {status}"));
            }
            // Where an answer can't be read, what it told is in the whole list.
            let read =
                starts.with_current(|starts, now_ms| List::parse(&body, &source.provision, starts, now_ms));
            let list = read.inspect_err(|_| progress.mark_unreadable())?;
            if stays {
                stream = Some(open);
            }
            Ok(list)
        });
        match list {
            Ok(list) => {
                if std::mem::take(&mut failing) {
                    info!(%address, version = list.version, "discovery answers again");
                }
                let worth = progress.apply(&list);
                match worth {
                    ListUpdate::Changed if core.send(CoreEvent::Listed(list)).await.is_err() => return,
                    ListUpdate::Changed => {}
                    // One that answers a watch at once, with nothing, is not asked in a loop.
                    ListUpdate::Unchanged => sleep(duration(PACE_MS)).await,
                    ListUpdate::Unusable => sleep(duration(ASK_AGAIN_MS)).await,
                }
                if worth != ListUpdate::Unusable {
                    let _ = first.take().map(|first| first.send(()));
                }
            }
            Err(why) => {
                if !std::mem::replace(&mut failing, true) {
                    warn!(%address, why, "discovery does not answer; the last list stays");
                }
                sleep(duration(ASK_AGAIN_MS)).await;
            }
        }
    }
}
