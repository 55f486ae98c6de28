//! The final answer of a completion, sent exactly once. Every way to answer consumes `PendingReply`, so that
//! a second answer does not compile. If a `PendingReply` is dropped without an answer, the client receives an
//! error, and the drop is counted.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use paddleproxy_messages::{Answer, ApiError, Encoder, ErrorKind, Stop, StreamItem, Usage};
use paddleproxy_routing::{IdempotencyKeys, Key};
use tokio::sync::mpsc;

use crate::pending_answer::{DroppedAnswers, LostReply, PendingAnswer};
use crate::state::State;

/// What the client's connection receives.
pub enum Reply {
    Whole(Answer),
    Error(ApiError),
    Stream(AnswerPieces),
}

/// Receiver of a streamed answer, encoded in the dialect of the request.
pub struct AnswerPieces {
    pub pieces: mpsc::Receiver<Bytes>,
    /// Whether the last piece was the end of the answer; if not, the connection is aborted.
    pub ended: Rc<Cell<bool>>,
}

impl LostReply for Reply {
    fn lost() -> Self {
        Reply::Error(ApiError::new(ErrorKind::Api, "the answer was lost inside the router"))
    }
}

/// The entry of a request with an idempotency key; each method records a result of the request.
pub struct IdempotencyGuard {
    pub idempotency_keys: Rc<RefCell<IdempotencyKeys>>,
    pub key: Key,
    pub may_repeat: bool,
    /// The store that holds the key, and the customer's name there; `None` if the key is not stored on disk.
    pub stored: Option<(Rc<State>, String)>,
}

impl IdempotencyGuard {
    fn answered(self, answer: Answer) {
        self.idempotency_keys.borrow_mut().answered(&self.key, answer);
    }

    fn lost(self) {
        self.idempotency_keys.borrow_mut().lost(&self.key);
    }

    /// A rate-limited client may retry safely: the request never ran, or servers drop the duplicate.
    fn rate_limited(self) {
        if self.may_repeat {
            self.lost();
        } else {
            self.never_ran();
        }
    }

    pub fn never_ran(self) {
        if let Some((state, customer)) = &self.stored {
            state.delete_key(customer, &self.key.text);
        }
        self.idempotency_keys.borrow_mut().never_ran(&self.key);
    }
}

/// The reply that a completion still has to get, with the guard of its idempotency key.
pub struct PendingReply {
    pending: Option<PendingAnswer<Reply>>,
    guard: Option<IdempotencyGuard>,
    encoder: Encoder,
    max_pieces: usize,
    dropped_answers: DroppedAnswers,
}

/// Longer texts are split into pieces of at most this size, so that the limit on pieces limits bytes too.
const PIECE_BYTES: usize = 4096;

impl PendingReply {
    pub fn new(
        pending: PendingAnswer<Reply>,
        guard: Option<IdempotencyGuard>,
        encoder: Encoder,
        max_pieces: usize,
        dropped_answers: DroppedAnswers,
    ) -> Self {
        PendingReply { pending: Some(pending), guard, encoder, max_pieces, dropped_answers }
    }

    fn send(&mut self, reply: Reply) {
        if let Some(pending) = self.pending.take() {
            pending.send(reply);
        }
    }

    pub fn complete(mut self, answer: Answer) {
        if let Some(guard) = self.guard.take() {
            guard.answered(answer.clone());
        }
        self.send(Reply::Whole(answer));
    }

    /// Rate-limited: a retry is safe.
    pub fn rate_limit(mut self, error: ApiError) {
        self.guard.take().into_iter().for_each(IdempotencyGuard::rate_limited);
        self.send(Reply::Error(error));
    }

    /// Aborted: the request may or may not have run.
    pub fn abort(mut self, error: ApiError) {
        self.guard.take().into_iter().for_each(IdempotencyGuard::lost);
        self.send(Reply::Error(error));
    }

    /// The client has disconnected: no answer is sent.
    pub fn discard(mut self) {
        self.guard.take().into_iter().for_each(IdempotencyGuard::lost);
        self.pending.take().into_iter().for_each(PendingAnswer::cancel);
    }

    pub fn start_stream(mut self) -> AnswerStream {
        let (sender, pieces) = mpsc::channel(self.max_pieces);
        let ended = Rc::new(Cell::new(false));
        self.send(Reply::Stream(AnswerPieces { pieces, ended: ended.clone() }));
        AnswerStream {
            pieces: Some(sender),
            ended,
            guard: self.guard.take(),
            text_so_far: String::new(),
            encoder: self.encoder.clone(),
            dropped_answers: self.dropped_answers.clone(),
        }
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        self.guard.take().into_iter().for_each(IdempotencyGuard::lost);
    }
}

/// The client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientDisconnected;

/// A streamed answer in progress; ends with `finish` or `fail`. A client that reads slowly blocks these calls
/// and so slows its model server down; the connection of one that reads nothing for too long is closed, which
/// shows here as `ClientDisconnected`.
pub struct AnswerStream {
    pieces: Option<mpsc::Sender<Bytes>>,
    ended: Rc<Cell<bool>>,
    guard: Option<IdempotencyGuard>,
    /// The whole text so far, if an idempotency key needs it for replays.
    text_so_far: String,
    encoder: Encoder,
    dropped_answers: DroppedAnswers,
}

impl AnswerStream {
    async fn push(&mut self, events: String) -> Result<(), ClientDisconnected> {
        let mut events = Bytes::from(events);
        while !events.is_empty() {
            let piece = events.split_to(PIECE_BYTES.min(events.len()));
            let Some(sender) = &self.pieces else { return Err(ClientDisconnected) };
            if sender.send(piece).await.is_err() {
                self.pieces = None;
                return Err(ClientDisconnected);
            }
        }
        Ok(())
    }

    pub async fn start(&mut self, usage: Usage) -> Result<(), ClientDisconnected> {
        let events = self.encoder.encode_item(&StreamItem::Start(usage));
        self.push(events).await
    }

    pub async fn text(&mut self, texts: &[String]) -> Result<(), ClientDisconnected> {
        if self.guard.is_some() {
            self.text_so_far.extend(texts.iter().map(String::as_str));
        }
        let events: String =
            texts.iter().map(|text| self.encoder.encode_item(&StreamItem::Text(text))).collect();
        self.push(events).await
    }

    pub async fn ping(&mut self) -> Result<(), ClientDisconnected> {
        let events = self.encoder.encode_item(&StreamItem::Ping);
        self.push(events).await
    }

    pub async fn finish(mut self, stop: Stop, usage: Usage) -> Result<(), ClientDisconnected> {
        if let Some(guard) = self.guard.take() {
            let text = std::mem::take(&mut self.text_so_far);
            guard.answered(Answer { text, stop: stop.clone(), usage });
        }
        let events = self.encoder.encode_item(&StreamItem::End(&stop, usage));
        self.end(events).await
    }

    pub async fn fail(mut self, message: &str) {
        let events = self.encoder.encode_item(&StreamItem::Error(&ApiError::new(ErrorKind::Api, message)));
        let _ = self.end(events).await;
    }

    async fn end(&mut self, events: String) -> Result<(), ClientDisconnected> {
        let result = self.push(events).await;
        self.ended.set(result.is_ok());
        self.pieces = None;
        result
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        self.guard.take().into_iter().for_each(IdempotencyGuard::lost);
        let Some(sender) = self.pieces.take() else { return };
        if sender.is_closed() {
            return;
        }
        self.dropped_answers.set(self.dropped_answers.get() + 1);
        let error = ApiError::new(ErrorKind::Api, "the answer was lost inside the router");
        let event = Bytes::from(self.encoder.encode_item(&StreamItem::Error(&error)));
        self.ended.set(sender.try_send(event).is_ok());
    }
}
