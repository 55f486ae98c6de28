//! Runs the emulator's model of the links of each cell in real time.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use paddleproxy_emulator::links::Link;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use crate::record::Record;

/// A cell, and whether the link is the one inside the cell (`true`) or the one out of it.
type LinkKey = (u32, bool);

struct SharedLink {
    link: Link,
    /// Transfers that ended and were not yet collected.
    done: BTreeSet<u64>,
    changed: Rc<Notify>,
}

pub struct Links {
    record: Record,
    near_tokens_per_s: f64,
    far_tokens_per_s: f64,
    links_by_key: RefCell<BTreeMap<LinkKey, SharedLink>>,
    next_id: Cell<u64>,
}

impl Links {
    pub fn new(record: Record, near_tokens_per_s: f64, far_tokens_per_s: f64) -> Self {
        Links {
            record,
            near_tokens_per_s,
            far_tokens_per_s,
            links_by_key: RefCell::default(),
            next_id: Cell::new(0),
        }
    }

    fn with_link<T>(&self, key: LinkKey, update: impl FnOnce(&mut SharedLink, f64) -> T) -> T {
        let rate = if key.1 { self.near_tokens_per_s } else { self.far_tokens_per_s };
        let mut links_by_key = self.links_by_key.borrow_mut();
        let shared = links_by_key.entry(key).or_insert_with(|| SharedLink {
            link: Link::new(rate),
            done: BTreeSet::new(),
            changed: Rc::default(),
        });
        update(shared, self.record.now_ms())
    }

    /// Slows down both links of a cell by a factor.
    pub fn slow(&self, cell: u32, factor: f64) {
        for near in [true, false] {
            self.with_link((cell, near), |shared, now_ms| {
                shared.link.set_slowdown(now_ms, factor);
                shared.changed.notify_waiters();
            });
        }
    }

    /// Waits until `tokens` tokens were transferred over a link of the cell. All transfers on a link share it
    /// evenly.
    pub async fn transfer(&self, cell: u32, near: bool, tokens: f64) {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let key = (cell, near);
        let changed = self.with_link(key, |shared, now_ms| {
            shared.link.begin(now_ms, id, tokens);
            shared.changed.notify_waiters();
            shared.changed.clone()
        });
        let transfer = Transfer { links: self, key, id };
        loop {
            let notified = changed.notified();
            let next_ms = self.with_link(key, |shared, _| shared.link.next_end_ms());
            let Some(next_ms) = next_ms.filter(|_| !self.ended(key, id)) else { break };
            tokio::select! {
                _ = sleep_until(self.record.at(next_ms)) => {}
                _ = notified => {}
            }
        }
        drop(transfer);
    }

    fn ended(&self, key: LinkKey, id: u64) -> bool {
        self.with_link(key, |shared, now_ms| {
            let ended = shared.link.take_finished(now_ms);
            if !ended.is_empty() {
                shared.done.extend(ended);
                shared.changed.notify_waiters();
            }
            shared.done.contains(&id)
        })
    }
}

/// A transfer that is cancelled when dropped before its end.
struct Transfer<'a> {
    links: &'a Links,
    key: LinkKey,
    id: u64,
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        self.links.with_link(self.key, |shared, now_ms| {
            if !shared.done.remove(&self.id) {
                shared.link.cancel(now_ms, self.id);
                shared.changed.notify_waiters();
            }
        });
    }
}

#[cfg(test)]
mod tests;
