//! The messages between the tasks and the core: events for the core, replies for client connections, commands
//! for attempts. Tasks and core import this module, not each other.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use paddleproxy::interface::*;
use paddleproxy_platform::{List, PlatformSettings};
use paddleproxy_router::pending_answer::{LostReply, PendingAnswer};
use paddleproxy_routing::SocketEnd;
use tokio::sync::{mpsc, oneshot, Notify};

/// Events for the core.
pub enum CoreEvent {
    /// A client's request was read in full.
    Arrived { arrival: Arrival, request: Rc<ClientRequest>, pending_answer: PendingAnswer<Reply> },
    /// An attempt has received the first event of its answer.
    Began { completion: CompletionId, seq: Seq, took_ms: f64 },
    /// An attempt has ended.
    Ended { completion: CompletionId, seq: Seq, took_ms: f64, end: AttemptEnd },
    /// A client has disconnected before the end of its answer.
    Left { completion: CompletionId },
    /// A probe of a server has ended.
    Probed { worker: WorkerId, load: Option<LoadReport>, answered: bool, took_ms: f64 },
    /// A server has answered a request to reserve a slot.
    HoldAnswered {
        completion: CompletionId,
        seq: Seq,
        worker: WorkerId,
        request: Rc<ClientRequest>,
        held: bool,
    },
    /// A list from discovery.
    Listed(List),
    /// Reloaded settings.
    Settings(Rc<PlatformSettings>),
    /// The router shuts down: every request without an answer gets its final one now; running streams
    /// continue.
    LastAnswers,
    /// Requests the number of open requests and releases, and statistics for the log.
    QueryStats(oneshot::Sender<(usize, String)>),
}

/// The sending half of the core's channel.
pub type CoreSender = mpsc::Sender<CoreEvent>;

/// A client's request in the form in which servers get it: unchanged.
pub struct ClientRequest {
    pub id: Rc<str>,
    pub method: String,
    pub target: String,
    pub idempotency_key: Option<String>,
    pub body: Bytes,
    pub client: Rc<ClientPresence>,
    /// Holds the body's share of the limit on open bodies until the request is dropped.
    pub _held: BodyBytes,
}

/// Whether the client of a request is still connected: set by its connection, read by its attempts.
#[derive(Default)]
pub struct ClientPresence {
    gone: Cell<bool>,
    left: Notify,
}

impl ClientPresence {
    pub fn leave(&self) {
        self.gone.set(true);
        self.left.notify_waiters();
    }

    pub fn is_gone(&self) -> bool {
        self.gone.get()
    }

    /// Returns once the client has left.
    pub async fn left(&self) {
        let left = self.left.notified();
        if !self.gone.get() {
            left.await;
        }
    }
}

/// A reservation from the limit on the bytes of all open request bodies. Dropping it returns the bytes.
pub struct BodyBytes {
    total: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyBytes {
    /// Reserves `bytes`; none if the total would exceed `max_total`.
    pub fn take(total: &Rc<Cell<usize>>, bytes: usize, max_total: usize) -> Option<BodyBytes> {
        let sum = total.get().checked_add(bytes).filter(|sum| *sum <= max_total)?;
        total.set(sum);
        Some(BodyBytes { total: total.clone(), bytes })
    }
}

impl BodyBytes {
    /// Reduces the reservation to `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let returned = self.bytes.saturating_sub(bytes);
        self.total.set(self.total.get() - returned);
        self.bytes -= returned;
    }
}

impl Drop for BodyBytes {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}

/// A part of a streamed answer for the client's connection.
pub enum StreamPart {
    Events(Bytes),
    /// The answer is complete. If the channel closes without it, the client's connection is closed early.
    End,
}

/// The reply to a client's connection.
pub enum Reply {
    RateLimited { retry_after_ms: f64 },
    Aborted,
    Stream(mpsc::Receiver<StreamPart>),
}

impl LostReply for Reply {
    fn lost() -> Self {
        Reply::Aborted
    }
}

/// Commands for a running attempt.
pub enum AttemptCommand {
    /// Its stream is the answer: forward it here.
    Grant(mpsc::Sender<StreamPart>),
    /// End now and close the connection.
    Stop,
}

/// How an attempt ended, and what its server reported.
pub struct AttemptEnd {
    pub end: SocketEnd,
    pub cached_tokens: f64,
    pub load: Option<LoadReport>,
}
