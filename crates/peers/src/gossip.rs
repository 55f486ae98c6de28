//! Messages that are piggybacked on datagrams, the least often sent first, until each has been sent often
//! enough to reach every router.

use std::collections::{BTreeMap, BTreeSet};

use crate::wire::{size, Message, RouterIndex};

/// How often a message is sent, for each factor of ten in the number of routers.
const SENDS_PER_DECADE: f64 = 4.0;
/// A row is ranked as if it had been sent this many times more, so that states and allocations go first.
const ROW_PENALTY_SENDS: u32 = 2;
/// Least room in bytes worth trying to fill.
const MIN_MESSAGE_BYTES: usize = 12;

#[derive(Clone, Debug)]
struct Queued {
    message: Message,
    size: usize,
    sends: u32,
    /// Among messages sent equally often, the newer one goes first.
    number: u64,
}

/// What a message is about: a newer message replaces the older one on the same subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    State(RouterIndex),
    Row(RouterIndex),
    Allocation,
}

/// Bounded by its keys: two for each router and one for the allocation.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    queued: BTreeMap<Subject, Queued>,
    /// The same messages in the order of sending.
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
        // What a router publishes about itself is less urgent than which routers are running.
        let penalty = if matches!(subject, Subject::Row(_)) { ROW_PENALTY_SENDS } else { 0 };
        (self.sends + penalty, u64::MAX - self.number, subject)
    }
}

impl GossipQueue {
    /// Queues a message, replacing the one on the same subject.
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

    /// Takes the messages for the next datagram, up to `room` bytes, in a cluster of `routers` routers.
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
