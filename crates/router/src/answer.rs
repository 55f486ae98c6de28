//! The one final answer of a completion. `Owed` is consumed by each way to answer, so that a second answer does not
//! compile; one that is forgotten is caught by its drop, which aborts and counts it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use paddleproxy_messages::{Answer, ApiError, Encoder, ErrorKind, Piece, Stop, Usage};
use paddleproxy_routing::{IdempotencyKeys, Key};
use tokio::sync::mpsc;

use crate::pending_answer::{DroppedAnswers, LostReply, PendingAnswer};
use crate::state::State;

/// What the client's connection is handed.
pub enum Reply {
    Whole(Answer),
    Error(ApiError),
    Stream(Pieces),
}

/// The pieces of a streamed answer, as its form writes them.
pub struct Pieces {
    pub pieces: mpsc::Receiver<Bytes>,
    /// Whether the last piece was the answer's end; without it the connection breaks off.
    pub ended: Rc<Cell<bool>>,
}

impl LostReply for Reply {
    fn lost() -> Self {
        Reply::Error(ApiError::new(ErrorKind::Api, "the answer was lost inside the router"))
    }
}

/// What is remembered of a request that carries a key, once its fate is known.
pub struct Keyed {
    pub repeats: Rc<RefCell<IdempotencyKeys>>,
    pub key: Key,
    pub may_repeat: bool,
    /// Where it is on the disk, and the customer's name there.
    pub stored: Option<(Rc<State>, String)>,
}

impl Keyed {
    fn answered(self, answer: Answer) {
        self.repeats.borrow_mut().answered(&self.key, answer);
    }

    fn lost(self) {
        self.repeats.borrow_mut().lost(&self.key);
    }

    /// A rate-limit says that trying again is harmless: it never ran, or servers drop the repeat.
    fn rate_limited(self) {
        if self.may_repeat {
            self.lost();
        } else {
            self.never_ran();
        }
    }

    pub fn never_ran(self) {
        if let Some((state, customer)) = &self.stored {
            state.forget(customer, &self.key.text);
        }
        self.repeats.borrow_mut().never_ran(&self.key);
    }
}

/// The duty to answer one completion, with what is remembered of its key.
pub struct Owed {
    reply: Option<PendingAnswer<Reply>>,
    keyed: Option<Keyed>,
    encoder: Encoder,
    pieces: usize,
    dropped: DroppedAnswers,
}

/// Bytes of one piece at most; longer texts are handed on in parts, so that a bound on pieces is one on bytes.
const PIECE_BYTES: usize = 4096;

impl Owed {
    pub fn new(
        reply: PendingAnswer<Reply>,
        keyed: Option<Keyed>,
        encoder: Encoder,
        pieces: usize,
        dropped: DroppedAnswers,
    ) -> Self {
        Owed { reply: Some(reply), keyed, encoder, pieces, dropped }
    }

    fn give(&mut self, reply: Reply) {
        if let Some(duty) = self.reply.take() {
            duty.send(reply);
        }
    }

    pub fn whole(mut self, answer: Answer) {
        if let Some(keyed) = self.keyed.take() {
            keyed.answered(answer.clone());
        }
        self.give(Reply::Whole(answer));
    }

    /// Rate-limited: trying again is harmless.
    pub fn rate_limit(mut self, error: ApiError) {
        self.keyed.take().into_iter().for_each(Keyed::rate_limited);
        self.give(Reply::Error(error));
    }

    /// Aborted: nothing is promised.
    pub fn abort(mut self, error: ApiError) {
        self.keyed.take().into_iter().for_each(Keyed::lost);
        self.give(Reply::Error(error));
    }

    /// For a client who has left: nobody waits for an answer.
    pub fn void(mut self) {
        self.keyed.take().into_iter().for_each(Keyed::lost);
        self.reply.take().into_iter().for_each(PendingAnswer::cancel);
    }

    pub fn begin(mut self) -> Stream {
        let (sender, pieces) = mpsc::channel(self.pieces);
        let ended = Rc::new(Cell::new(false));
        self.give(Reply::Stream(Pieces { pieces, ended: ended.clone() }));
        Stream {
            pieces: Some(sender),
            ended,
            keyed: self.keyed.take(),
            said: String::new(),
            encoder: self.encoder.clone(),
            dropped: self.dropped.clone(),
        }
    }
}

impl Drop for Owed {
    fn drop(&mut self) {
        self.keyed.take().into_iter().for_each(Keyed::lost);
    }
}

/// The client takes nothing more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Left;

/// A streamed answer under way; it ends by `finish` or `broken`. A client who reads slowly makes its calls wait, and
/// through them its server; one who takes nothing for too long is cut at its connection, which shows here as `Left`.
pub struct Stream {
    pieces: Option<mpsc::Sender<Bytes>>,
    ended: Rc<Cell<bool>>,
    keyed: Option<Keyed>,
    /// All texts, where a key wants them remembered.
    said: String,
    encoder: Encoder,
    dropped: DroppedAnswers,
}

impl Stream {
    async fn push(&mut self, events: String) -> Result<(), Left> {
        let mut events = Bytes::from(events);
        while !events.is_empty() {
            let piece = events.split_to(PIECE_BYTES.min(events.len()));
            let Some(sender) = &self.pieces else { return Err(Left) };
            if sender.send(piece).await.is_err() {
                self.pieces = None;
                return Err(Left);
            }
        }
        Ok(())
    }

    pub async fn start(&mut self, usage: Usage) -> Result<(), Left> {
        let events = self.encoder.piece(&Piece::Start(usage));
        self.push(events).await
    }

    pub async fn text(&mut self, texts: &[String]) -> Result<(), Left> {
        if self.keyed.is_some() {
            self.said.extend(texts.iter().map(String::as_str));
        }
        let events: String = texts.iter().map(|text| self.encoder.piece(&Piece::Text(text))).collect();
        self.push(events).await
    }

    pub async fn ping(&mut self) -> Result<(), Left> {
        let events = self.encoder.piece(&Piece::Ping);
        self.push(events).await
    }

    pub async fn finish(mut self, stop: Stop, usage: Usage) -> Result<(), Left> {
        if let Some(keyed) = self.keyed.take() {
            let text = std::mem::take(&mut self.said);
            keyed.answered(Answer { text, stop: stop.clone(), usage });
        }
        let events = self.encoder.piece(&Piece::End(&stop, usage));
        self.end(events).await
    }

    pub async fn broken(mut self, message: &str) {
        let events = self.encoder.piece(&Piece::Error(&ApiError::new(ErrorKind::Api, message)));
        let _ = self.end(events).await;
    }

    async fn end(&mut self, events: String) -> Result<(), Left> {
        let result = self.push(events).await;
        self.ended.set(result.is_ok());
        self.pieces = None;
        result
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.keyed.take().into_iter().for_each(Keyed::lost);
        let Some(sender) = self.pieces.take() else { return };
        if sender.is_closed() {
            return;
        }
        self.dropped.set(self.dropped.get() + 1);
        let error = ApiError::new(ErrorKind::Api, "the answer was lost inside the router");
        let event = Bytes::from(self.encoder.piece(&Piece::Error(&error)));
        self.ended.set(sender.try_send(event).is_ok());
    }
}
