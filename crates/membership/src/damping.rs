//! Flap damping: quarantines servers that come and go too often.

use std::collections::VecDeque;

/// Flap damping of one server.
#[derive(Clone, Debug, Default)]
pub struct Damping {
    returns_ms: VecDeque<f64>,
    /// Number of quarantines; each doubles the next one's length.
    quarantines: u32,
    quarantined_until_ms: f64,
}

/// Maximum length of a quarantine, as a multiple of the first one.
const MAX_QUARANTINE_FACTOR: f64 = 8.0;

impl Damping {
    /// Records that the server is usable again. Guards against flapping, where each return moves sessions
    /// away from their server and loses their cached tokens. The cost is that a server that was legitimately
    /// restarted that often receives no work for a while.
    pub fn record_return(&mut self, now_ms: f64, max_returns: usize, window_ms: f64, quarantine_ms: f64) {
        self.returns_ms.push_back(now_ms);
        while self.returns_ms.front().is_some_and(|at| *at < now_ms - window_ms) {
            self.returns_ms.pop_front();
        }
        if self.returns_ms.len() > max_returns.max(1) {
            let factor = 2f64.powi(self.quarantines.min(16) as i32).min(MAX_QUARANTINE_FACTOR);
            self.quarantined_until_ms = now_ms + quarantine_ms * factor;
            self.quarantines += 1;
            self.returns_ms.clear();
        }
        if self.quarantines > 0 && now_ms > self.quarantined_until_ms + MAX_QUARANTINE_FACTOR * quarantine_ms
        {
            // No quarantine for long enough: the next one has the first length again.
            self.quarantines = 0;
        }
    }

    pub fn is_quarantined(&self, now_ms: f64) -> bool {
        now_ms < self.quarantined_until_ms
    }

    pub fn quarantined_until_ms(&self) -> f64 {
        self.quarantined_until_ms
    }
}

#[cfg(test)]
mod tests;
