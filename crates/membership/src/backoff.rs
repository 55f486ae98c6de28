//! When to ask a source again that did not answer.

/// Waits that double from a first one to a bound, each drawn evenly from half of it to all. Guards against routers that
/// ask all at once after the service returns. Harm: the last of them hears up to a bound later.
#[derive(Clone, Debug)]
pub struct Backoff {
    first_ms: f64,
    max_ms: f64,
    failures: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    pub fn new(first_ms: f64, max_ms: f64, seed: u64) -> Self {
        Backoff { first_ms, max_ms: max_ms.max(first_ms), failures: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Time until the next try after one that failed, in ms.
    pub fn next_delay_ms(&mut self) -> f64 {
        let most = (self.first_ms * 2f64.powi(self.failures.min(30) as i32)).min(self.max_ms);
        self.failures = self.failures.saturating_add(1);
        most * (0.5 + 0.5 * self.rng.f64())
    }

    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
