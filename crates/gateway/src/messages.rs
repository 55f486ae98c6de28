//! The messages between the tasks and the core: what the core is told, and what a client's connection and an attempt are
//! handed. Tasks and core import these, not each other.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use paddleproxy::interface::*;
use paddleproxy_platform::{List, Provision};
use paddleproxy_router::duty::{Answers, Duty};
use paddleproxy_routing::SocketEnd;
use tokio::sync::{mpsc, oneshot, Notify};

/// What the core is told.
pub enum CoreEvent {
    Arrived {
        arrival: Arrival,
        request: Rc<ClientRequest>,
        pending_answer: Duty<Reply>,
    },
    Began {
        completion: CompletionId,
        seq: Seq,
        took_ms: f64,
    },
    Ended {
        completion: CompletionId,
        seq: Seq,
        took_ms: f64,
        end: AttemptEnd,
    },
    Left {
        completion: CompletionId,
    },
    Probed {
        worker: WorkerId,
        load: Option<LoadReport>,
        answered: bool,
        took_ms: f64,
    },
    HoldAnswered {
        completion: CompletionId,
        seq: Seq,
        worker: WorkerId,
        request: Rc<ClientRequest>,
        held: bool,
    },
    /// What discovery says.
    Listed(List),
    Settings(Rc<Provision>),
    /// The router ends: what has no answer yet is answered now; streams that run go on.
    LastAnswers,
    /// Open work, and figures for the log.
    QueryStats(oneshot::Sender<(usize, String)>),
}

/// Where tasks send what the core is to know.
pub type CoreSender = mpsc::Sender<CoreEvent>;

/// What a client asked for, as workers are given it: unchanged.
pub struct ClientRequest {
    pub id: Rc<str>,
    pub method: String,
    pub target: String,
    pub idempotency_key: Option<String>,
    pub body: Bytes,
    pub client: Rc<ClientPresence>,
    /// Gives the bytes back to the total when it ends.
    pub _held: BodyBytes,
}

/// Whether the client that asked is still there: said by its connection, asked by its attempts.
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

/// Bytes of open bodies.
pub struct BodyBytes {
    total: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyBytes {
    /// None where the total would pass the bound.
    pub fn take(total: &Rc<Cell<usize>>, bytes: usize, most: usize) -> Option<BodyBytes> {
        let sum = total.get().checked_add(bytes).filter(|sum| *sum <= most)?;
        total.set(sum);
        Some(BodyBytes { total: total.clone(), bytes })
    }
}

impl BodyBytes {
    /// Gives back what turned out not to be needed.
    pub fn shrink(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        self.total.set(self.total.get() - less);
        self.bytes -= less;
    }
}

impl Drop for BodyBytes {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}

/// A piece of a streamed answer for its client.
pub enum StreamPart {
    Events(Bytes),
    /// The answer is whole. Without it the client's connection breaks off.
    End,
}

/// What a client's connection is handed.
pub enum Reply {
    RateLimited { retry_after_ms: f64 },
    Aborted,
    Stream(mpsc::Receiver<StreamPart>),
}

impl Answers for Reply {
    fn lost() -> Self {
        Reply::Aborted
    }
}

/// What the core tells a dispatch that is out.
pub enum AttemptCommand {
    Grant(mpsc::Sender<StreamPart>),
    Stop,
}

/// How it ended, with what it brought.
pub struct AttemptEnd {
    pub end: SocketEnd,
    pub cached_tokens: f64,
    pub load: Option<LoadReport>,
}
