//! The duty to give one answer: consumed by giving it, so that a second one does not compile; one that is forgotten is
//! caught by its drop, which gives the answer that stands for that and counts it.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::oneshot;

/// Answers that were dropped instead of given; 0 in a router without a fault.
pub type Dropped = Rc<Cell<u64>>;

/// What can be owed.
pub trait Answers {
    /// What is given where nothing was.
    fn lost() -> Self;
}

pub struct Duty<R: Answers> {
    reply: Option<oneshot::Sender<R>>,
    dropped: Dropped,
}

impl<R: Answers> Duty<R> {
    pub fn new(dropped: Dropped) -> (Self, oneshot::Receiver<R>) {
        let (reply, waits) = oneshot::channel();
        (Duty { reply: Some(reply), dropped }, waits)
    }

    pub fn give(mut self, reply: R) {
        // A client that has left takes no answer.
        let _ = self.reply.take().map(|sender| sender.send(reply));
    }

    /// For a client who has left: nobody waits for an answer.
    pub fn void(mut self) {
        self.reply = None;
    }
}

impl<R: Answers> Drop for Duty<R> {
    fn drop(&mut self) {
        if let Some(sender) = self.reply.take() {
            self.dropped.set(self.dropped.get() + 1);
            let _ = sender.send(R::lost());
        }
    }
}

#[cfg(test)]
mod tests;
