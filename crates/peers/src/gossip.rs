//! Words that are passed on with every datagram, the least told first, until each was told often enough for everyone
//! to have heard it.

use std::collections::{BTreeMap, BTreeSet};

use crate::wire::{size, Message, RouterIndex};

/// Times a word is told, for each tenfold of routers.
const SENDS_PER_DECADE: f64 = 4.0;
/// Times that a state or a page is told before a row comes first.
const ROW_PENALTY_SENDS: u32 = 2;
/// Bytes in which hardly a word finds room.
const MIN_MESSAGE_BYTES: usize = 12;

#[derive(Clone, Debug)]
struct Queued {
    message: Message,
    size: usize,
    sends: u32,
    /// Newer first among those told as often.
    number: u64,
}

/// What a word is about: a newer one takes the place of the older.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    State(RouterIndex),
    Row(RouterIndex),
    Allocation,
}

/// Bounded by its keys: two a router and one for the page.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    queued: BTreeMap<Subject, Queued>,
    /// The same in the order in which they are told.
    order: BTreeSet<(u32, u64, Subject)>,
    next: u64,
}

fn subject(message: &Message) -> Option<Subject> {
    match message {
        Message::Update(update) => Some(Subject::State(update.router)),
        Message::Row(row) => Some(Subject::Row(row.router)),
        Message::Chosen { .. } => Some(Subject::Allocation),
        _ => None,
    }
}

impl Queued {
    fn rank(&self, subject: Subject) -> (u32, u64, Subject) {
        // What a router says of itself waits for who is there and who is not.
        let penalty = if matches!(subject, Subject::Row(_)) { ROW_PENALTY_SENDS } else { 0 };
        (self.sends + penalty, u64::MAX - self.number, subject)
    }
}

impl GossipQueue {
    /// Passes a word on from now; the one before on the same matter is dropped.
    pub fn add(&mut self, message: Message) {
        let Some(subject) = subject(&message) else { return };
        self.next += 1;
        let size = size(&message);
        let queued = Queued { message, size, sends: 0, number: self.next };
        self.order.insert(queued.rank(subject));
        if let Some(old) = self.queued.insert(subject, queued) {
            self.order.remove(&old.rank(subject));
        }
    }

    /// What goes with the next datagram into `room` bytes, among so many routers.
    pub fn take(&mut self, room: usize, routers: usize) -> Vec<Message> {
        let max_sends = (SENDS_PER_DECADE * (routers as f64 + 1.0).log10()).ceil().max(3.0) as u32;
        let (mut left, mut taken) = (room, Vec::new());
        for (_, _, subject) in &self.order {
            let Some(queued) = self.queued.get(subject) else { continue };
            if queued.size <= left {
                left -= queued.size;
                taken.push(*subject);
            } else if left < MIN_MESSAGE_BYTES {
                break;
            }
        }
        let send = |subject: &Subject| {
            let queued = self.queued.get_mut(subject)?;
            self.order.remove(&queued.rank(*subject));
            queued.sends += 1;
            if queued.sends >= max_sends {
                return self.queued.remove(subject).map(|queued| queued.message);
            }
            self.order.insert(queued.rank(*subject));
            Some(queued.message.clone())
        };
        taken.iter().filter_map(send).collect()
    }

    pub fn len(&self) -> usize {
        self.queued.len()
    }

    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}
