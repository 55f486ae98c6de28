//! The one final answer of a completion. `Owed` is consumed by each way to answer, so that a second answer does not
//! compile; one that is forgotten is caught by its drop, which aborts and counts it.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use paddleproxy_messages::{Answer, ApiError, ErrorKind, StopReason, StreamEncoder, Usage};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::clock::duration;

/// What the client's connection is handed.
pub enum Reply {
    Whole(Answer),
    Error(ApiError),
    Stream(mpsc::Receiver<Bytes>),
}

/// Answers that were dropped instead of given; 0 in a router without a fault.
pub type Dropped = Rc<Cell<u64>>;

/// The duty to answer one completion.
pub struct Owed {
    reply: Option<oneshot::Sender<Reply>>,
    id: Rc<str>,
    model: Rc<str>,
    pieces: usize,
    slow_ms: f64,
    dropped: Dropped,
}

impl Owed {
    pub fn new(
        reply: oneshot::Sender<Reply>,
        id: Rc<str>,
        model: Rc<str>,
        pieces: usize,
        slow_ms: f64,
        dropped: Dropped,
    ) -> Self {
        Owed { reply: Some(reply), id, model, pieces, slow_ms, dropped }
    }

    fn give(&mut self, reply: Reply) {
        if let Some(sender) = self.reply.take() {
            // A client that has left takes no answer.
            let _ = sender.send(reply);
        }
    }

    pub fn whole(mut self, text: String, stop: StopReason, usage: Usage) {
        let answer =
            Answer { id: format!("msg_{}", self.id), model: self.model.to_string(), text, stop, usage };
        self.give(Reply::Whole(answer));
    }

    pub fn refuse(mut self, error: ApiError) {
        self.give(Reply::Error(error));
    }

    /// For a client who has left: nobody waits for an answer.
    pub fn void(mut self) {
        self.reply = None;
    }

    pub fn begin(mut self) -> Stream {
        let (sender, receiver) = mpsc::channel(self.pieces);
        self.give(Reply::Stream(receiver));
        Stream {
            pieces: Some(sender),
            encoder: StreamEncoder::new(format!("msg_{}", self.id), self.model.to_string()),
            slow_ms: self.slow_ms,
            dropped: self.dropped.clone(),
        }
    }
}

impl Drop for Owed {
    fn drop(&mut self) {
        if self.reply.is_some() {
            self.dropped.set(self.dropped.get() + 1);
            self.give(Reply::Error(ApiError::new(ErrorKind::Api, "the answer was lost inside the router")));
        }
    }
}

/// Why a piece could not be handed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientGone {
    Left,
    Slow,
}

/// A streamed answer under way; it ends by `finish` or `broken`.
pub struct Stream {
    pieces: Option<mpsc::Sender<Bytes>>,
    encoder: StreamEncoder,
    slow_ms: f64,
    dropped: Dropped,
}

impl Stream {
    async fn push(&mut self, text: String) -> Result<(), ClientGone> {
        let Some(sender) = &self.pieces else { return Err(ClientGone::Left) };
        let gone = match timeout(duration(self.slow_ms), sender.send(Bytes::from(text))).await {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(_)) => ClientGone::Left,
            Err(_) => ClientGone::Slow,
        };
        self.pieces = None;
        Err(gone)
    }

    pub async fn start(&mut self, usage: Usage) -> Result<(), ClientGone> {
        let events = self.encoder.start(usage);
        self.push(events).await
    }

    pub async fn text(&mut self, texts: &[String]) -> Result<(), ClientGone> {
        let events: String = texts.iter().map(|text| self.encoder.text(text)).collect();
        self.push(events).await
    }

    pub async fn finish(mut self, stop: StopReason, usage: Usage) -> Result<(), ClientGone> {
        let events = self.encoder.finish(stop, usage);
        let result = self.push(events).await;
        self.pieces = None;
        result
    }

    pub async fn broken(mut self, message: &str) {
        let events = self.encoder.error(&ApiError::new(ErrorKind::Api, message));
        let _ = self.push(events).await;
        self.pieces = None;
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        let Some(sender) = self.pieces.take() else { return };
        if sender.is_closed() {
            return;
        }
        self.dropped.set(self.dropped.get() + 1);
        let error = ApiError::new(ErrorKind::Api, "the answer was lost inside the router");
        let _ = sender.try_send(Bytes::from(self.encoder.error(&error)));
    }
}
