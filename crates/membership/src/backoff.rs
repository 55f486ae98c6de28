//! When to ask a source again that did not answer.

/// Waits that double from a first one to a bound, each drawn evenly from half of it to all. Guards against routers that
/// ask all at once after the service returns. Harm: the last of them hears up to a bound later.
#[derive(Clone, Debug)]
pub struct Backoff {
    first_ms: f64,
    most_ms: f64,
    failed: u32,
    chance: fastrand::Rng,
}

impl Backoff {
    pub fn new(first_ms: f64, most_ms: f64, seed: u64) -> Self {
        Backoff {
            first_ms,
            most_ms: most_ms.max(first_ms),
            failed: 0,
            chance: fastrand::Rng::with_seed(seed),
        }
    }

    /// Time until the next try after one that failed, in ms.
    pub fn failed_ms(&mut self) -> f64 {
        let most = (self.first_ms * 2f64.powi(self.failed.min(30) as i32)).min(self.most_ms);
        self.failed = self.failed.saturating_add(1);
        most * (0.5 + 0.5 * self.chance.f64())
    }

    pub fn answered(&mut self) {
        self.failed = 0;
    }
}

#[cfg(test)]
mod tests;
