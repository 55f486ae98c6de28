//! Delays between retries of a request to a source.

/// Exponential backoff with jitter: each delay is drawn uniformly from the upper half of a limit that doubles
/// up to a maximum. Prevents all routers from sending requests at once when the service is reachable again. The
/// cost is that the last router is updated up to the maximum delay later.
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

    /// Delay before the next attempt after a failed one, in ms.
    pub fn next_delay_ms(&mut self) -> f64 {
        let limit_ms = (self.first_ms * 2f64.powi(self.failures.min(30) as i32)).min(self.max_ms);
        self.failures = self.failures.saturating_add(1);
        limit_ms * (0.5 + 0.5 * self.rng.f64())
    }

    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
