//! The links of the cells in real time, by the emulator's model of a link.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use paddleproxy_emulator::links::Link;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use crate::record::Record;

/// Inside a cell, or out of it.
type Which = (u32, bool);

struct Wire {
    link: Link,
    done: BTreeSet<u64>,
    changed: Rc<Notify>,
}

pub struct Links {
    record: Record,
    near_tokens_per_s: f64,
    far_tokens_per_s: f64,
    wires: RefCell<BTreeMap<Which, Wire>>,
    next: Cell<u64>,
}

impl Links {
    pub fn new(record: Record, near_tokens_per_s: f64, far_tokens_per_s: f64) -> Self {
        Links { record, near_tokens_per_s, far_tokens_per_s, wires: RefCell::default(), next: Cell::new(0) }
    }

    fn on<T>(&self, which: Which, act: impl FnOnce(&mut Wire, f64) -> T) -> T {
        let rate = if which.1 { self.near_tokens_per_s } else { self.far_tokens_per_s };
        let mut wires = self.wires.borrow_mut();
        let wire = wires.entry(which).or_insert_with(|| Wire {
            link: Link::new(rate),
            done: BTreeSet::new(),
            changed: Rc::default(),
        });
        act(wire, self.record.now_ms())
    }

    /// Makes both links of a cell slower by a factor.
    pub fn slow(&self, cell: u32, factor: f64) {
        for near in [true, false] {
            self.on((cell, near), |wire, now_ms| {
                wire.link.set_slowdown(now_ms, factor);
                wire.changed.notify_waiters();
            });
        }
    }

    /// Passes once so many tokens went over the link of a cell, shared evenly with all else on it.
    pub async fn transfer(&self, cell: u32, near: bool, tokens: f64) {
        let id = self.next.replace(self.next.get() + 1);
        let which = (cell, near);
        let changed = self.on(which, |wire, now_ms| {
            wire.link.begin(now_ms, id, tokens);
            wire.changed.notify_waiters();
            wire.changed.clone()
        });
        let transfer = Transfer { links: self, which, id };
        loop {
            let notified = changed.notified();
            let next_ms = self.on(which, |wire, _| wire.link.next_end_ms());
            let Some(next_ms) = next_ms.filter(|_| !self.ended(which, id)) else { break };
            tokio::select! {
                _ = sleep_until(self.record.at(next_ms)) => {}
                _ = notified => {}
            }
        }
        drop(transfer);
    }

    fn ended(&self, which: Which, id: u64) -> bool {
        self.on(which, |wire, now_ms| {
            let ended = wire.link.take_finished(now_ms);
            if !ended.is_empty() {
                wire.done.extend(ended);
                wire.changed.notify_waiters();
            }
            wire.done.contains(&id)
        })
    }
}

/// Leaves the link when done or when nobody waits for it any more.
struct Transfer<'a> {
    links: &'a Links,
    which: Which,
    id: u64,
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        self.links.on(self.which, |wire, now_ms| {
            if !wire.done.remove(&self.id) {
                wire.link.cancel(now_ms, self.id);
                wire.changed.notify_waiters();
            }
        });
    }
}

#[cfg(test)]
mod tests;
