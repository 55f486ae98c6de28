//! The link of a cell: transfers on it share its rate evenly.

use std::collections::BTreeMap;

/// Processor sharing: with n transfers each gets an n-th of the rate.
#[derive(Debug)]
pub struct Link {
    tokens_per_ms: f64,
    slow: f64,
    at_ms: f64,
    /// Tokens left, by transfer.
    open: BTreeMap<u64, f64>,
    /// Grows with each change, so that an end foretold before it is known to be stale.
    pub version: u64,
}

impl Link {
    pub fn new(tokens_per_s: f64) -> Self {
        Link { tokens_per_ms: tokens_per_s / 1e3, slow: 1.0, at_ms: 0.0, open: BTreeMap::new(), version: 0 }
    }

    fn pass(&mut self, now_ms: f64) {
        let each =
            (now_ms - self.at_ms).max(0.0) * self.tokens_per_ms / self.slow / self.open.len().max(1) as f64;
        self.open.values_mut().for_each(|left| *left -= each);
        self.at_ms = now_ms;
        self.version += 1;
    }

    pub fn begin(&mut self, now_ms: f64, transfer: u64, tokens: f64) {
        self.pass(now_ms);
        self.open.insert(transfer, tokens.max(0.0));
    }

    /// A transfer that nobody waits for any more.
    pub fn cancel(&mut self, now_ms: f64, transfer: u64) {
        self.pass(now_ms);
        self.open.remove(&transfer);
    }

    pub fn set_slowdown(&mut self, now_ms: f64, factor: f64) {
        self.pass(now_ms);
        self.slow = factor.max(1e-3);
    }

    /// When the next transfer ends if nothing changes.
    pub fn next_end_ms(&self) -> Option<f64> {
        let least = self.open.values().copied().min_by(f64::total_cmp)?;
        Some(self.at_ms + least.max(0.0) * self.open.len() as f64 * self.slow / self.tokens_per_ms)
    }

    /// The transfers that have ended by now.
    pub fn take_finished(&mut self, now_ms: f64) -> Vec<u64> {
        self.pass(now_ms);
        let done: Vec<_> = self.open.iter().filter(|(_, left)| **left <= 1e-6).map(|(id, _)| *id).collect();
        done.iter().for_each(|id| {
            self.open.remove(id);
        });
        done
    }
}

#[cfg(test)]
mod tests;
