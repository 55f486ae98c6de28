//! One answer that a client waits for. Sending it consumes the `PendingAnswer`, so that a second answer
//! doesn't compile. If it is dropped without an answer, its destructor sends a substitute and counts it.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::oneshot;

/// Number of pending answers that were dropped without being sent; 0 unless the router has a bug.
pub type DroppedAnswers = Rc<Cell<u64>>;

/// A type of answer with a substitute for an answer that was dropped.
pub trait LostReply {
    /// The answer that the client receives if none was sent.
    fn lost() -> Self;
}

pub struct PendingAnswer<R: LostReply> {
    reply: Option<oneshot::Sender<R>>,
    dropped: DroppedAnswers,
}

impl<R: LostReply> PendingAnswer<R> {
    pub fn new(dropped: DroppedAnswers) -> (Self, oneshot::Receiver<R>) {
        let (reply, receiver) = oneshot::channel();
        (PendingAnswer { reply: Some(reply), dropped }, receiver)
    }

    pub fn send(mut self, reply: R) {
        // Fails if the client has left, which needs no handling.
        let _ = self.reply.take().map(|sender| sender.send(reply));
    }

    /// Discards the answer without counting it as dropped, because the client has left.
    pub fn cancel(mut self) {
        self.reply = None;
    }
}

impl<R: LostReply> Drop for PendingAnswer<R> {
    fn drop(&mut self) {
        if let Some(sender) = self.reply.take() {
            self.dropped.set(self.dropped.get() + 1);
            let _ = sender.send(R::lost());
        }
    }
}

#[cfg(test)]
mod tests;
