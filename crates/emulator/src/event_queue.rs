//! Events in order of time; events of the same time in order of insertion.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Entry<T> {
    at_ms: f64,
    number: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at_ms.total_cmp(&other.at_ms).then(self.number.cmp(&other.number))
    }
}

pub struct EventQueue<T> {
    entries: BinaryHeap<Reverse<Entry<T>>>,
    next: u64,
    now_ms: f64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue { entries: BinaryHeap::new(), next: 0, now_ms: 0.0 }
    }
}

impl<T> EventQueue<T> {
    /// Schedules an event; one in the past or at NaN is scheduled for the current time.
    pub fn push(&mut self, at_ms: f64, event: T) {
        let at_ms = if at_ms > self.now_ms { at_ms } else { self.now_ms };
        self.entries.push(Reverse(Entry { at_ms, number: self.next, event }));
        self.next += 1;
    }

    pub fn pop(&mut self) -> Option<(f64, T)> {
        let Reverse(entry) = self.entries.pop()?;
        self.now_ms = entry.at_ms;
        Some((entry.at_ms, entry.event))
    }

    /// Number of events scheduled so far.
    pub fn pushed(&self) -> u64 {
        self.next
    }
}

#[cfg(test)]
mod tests;
