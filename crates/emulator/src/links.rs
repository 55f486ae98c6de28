//! Network links between servers. Transfers on a link share its rate evenly.

use std::collections::BTreeMap;

/// A link with processor sharing: each of n transfers gets 1/n of the rate.
#[derive(Debug)]
pub struct Link {
    tokens_per_ms: f64,
    /// Factor by which the link is slower than its rate.
    slowdown: f64,
    /// Time up to which progress is accounted for.
    at_ms: f64,
    /// Tokens left, by transfer.
    open: BTreeMap<u64, f64>,
    /// Grows with each change, to detect stale end events.
    pub version: u64,
}

impl Link {
    pub fn new(tokens_per_s: f64) -> Self {
        Link {
            tokens_per_ms: tokens_per_s / 1e3,
            slowdown: 1.0,
            at_ms: 0.0,
            open: BTreeMap::new(),
            version: 0,
        }
    }

    /// Accounts for the progress of all transfers up to now.
    fn advance(&mut self, now_ms: f64) {
        let tokens_each = (now_ms - self.at_ms).max(0.0) * self.tokens_per_ms
            / self.slowdown
            / self.open.len().max(1) as f64;
        self.open.values_mut().for_each(|left| *left -= tokens_each);
        self.at_ms = now_ms;
        self.version += 1;
    }

    pub fn begin(&mut self, now_ms: f64, transfer: u64, tokens: f64) {
        self.advance(now_ms);
        self.open.insert(transfer, tokens.max(0.0));
    }

    /// Drops a transfer that is no longer needed.
    pub fn cancel(&mut self, now_ms: f64, transfer: u64) {
        self.advance(now_ms);
        self.open.remove(&transfer);
    }

    pub fn set_slowdown(&mut self, now_ms: f64, factor: f64) {
        self.advance(now_ms);
        self.slowdown = factor.max(1e-3);
    }

    /// End time of the next transfer to finish if nothing changes.
    pub fn next_end_ms(&self) -> Option<f64> {
        let least = self.open.values().copied().min_by(f64::total_cmp)?;
        Some(self.at_ms + least.max(0.0) * self.open.len() as f64 * self.slowdown / self.tokens_per_ms)
    }

    /// Removes and returns the transfers that have finished by now.
    pub fn take_finished(&mut self, now_ms: f64) -> Vec<u64> {
        self.advance(now_ms);
        let done: Vec<_> = self.open.iter().filter(|(_, left)| **left <= 1e-6).map(|(id, _)| *id).collect();
        done.iter().for_each(|id| {
            self.open.remove(id);
        });
        done
    }
}

#[cfg(test)]
mod tests;
