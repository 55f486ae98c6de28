//! The duty to give one answer: consumed by giving it, so that a second one does not compile; one that is forgotten is
//! caught by its drop, which gives the answer that stands for that and counts it.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::oneshot;

/// Answers that were dropped instead of given; 0 in a router without a fault.
pub type DroppedAnswers = Rc<Cell<u64>>;

/// What can be owed.
pub trait LostReply {
    /// What is given where nothing was.
    fn lost() -> Self;
}

pub struct PendingAnswer<R: LostReply> {
    reply: Option<oneshot::Sender<R>>,
    dropped: DroppedAnswers,
}

impl<R: LostReply> PendingAnswer<R> {
    pub fn new(dropped: DroppedAnswers) -> (Self, oneshot::Receiver<R>) {
        let (reply, waits) = oneshot::channel();
        (PendingAnswer { reply: Some(reply), dropped }, waits)
    }

    pub fn send(mut self, reply: R) {
        // A client that has left takes no answer.
        let _ = self.reply.take().map(|sender| sender.send(reply));
    }

    /// For a client who has left: nobody waits for an answer.
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
