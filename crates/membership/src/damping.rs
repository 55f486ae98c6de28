//! Servers that come and go too often.

use std::collections::VecDeque;

/// Counts the returns of one server.
#[derive(Clone, Debug, Default)]
pub struct Damping {
    returns_ms: VecDeque<f64>,
    /// Times it was set aside; each doubles the next.
    times: u32,
    until_ms: f64,
}

/// Longest time aside, as a multiple of the first.
const LONGEST: f64 = 8.0;

impl Damping {
    /// A server is usable again at this time. Guards against one that flaps: each return costs its sessions their home
    /// and cold reads. Harm: a server that was rightly restarted that often gets nothing for a while.
    pub fn returned(&mut self, now_ms: f64, most: usize, within_ms: f64, aside_ms: f64) {
        self.returns_ms.push_back(now_ms);
        while self.returns_ms.front().is_some_and(|at| *at < now_ms - within_ms) {
            self.returns_ms.pop_front();
        }
        if self.returns_ms.len() > most.max(1) {
            let factor = 2f64.powi(self.times.min(16) as i32).min(LONGEST);
            self.until_ms = now_ms + aside_ms * factor;
            self.times += 1;
            self.returns_ms.clear();
        }
        if self.times > 0 && now_ms > self.until_ms + LONGEST * aside_ms {
            // Long enough without: it counts as a steady one again.
            self.times = 0;
        }
    }

    pub fn aside(&self, now_ms: f64) -> bool {
        now_ms < self.until_ms
    }

    pub fn until_ms(&self) -> f64 {
        self.until_ms
    }
}

#[cfg(test)]
mod tests;
