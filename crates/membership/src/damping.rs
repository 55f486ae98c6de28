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
mod tests {
    use super::*;

    #[test]
    fn a_flapping_server_is_set_aside_longer_each_time() {
        let mut damping = Damping::default();
        for at in [0.0, 10.0, 20.0] {
            damping.returned(at, 3, 100.0, 50.0);
            assert!(!damping.aside(at));
        }
        damping.returned(30.0, 3, 100.0, 50.0);
        assert!(damping.aside(79.0) && !damping.aside(80.0));
        for at in [81.0, 82.0, 83.0, 84.0] {
            damping.returned(at, 3, 100.0, 50.0);
        }
        assert_eq!(damping.until_ms(), 184.0);
        // Slow returns never add up.
        let mut steady = Damping::default();
        (0..50).for_each(|n| steady.returned(n as f64 * 40.0, 3, 100.0, 50.0));
        assert!(!steady.aside(2000.0));
    }
}
