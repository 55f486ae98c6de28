/// A token bucket: fills at a constant rate up to a burst, and reports how long to wait when it holds too
/// little.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    per_ms: f64,
    capacity: f64,
    level: f64,
    updated_ms: f64,
}

impl TokenBucket {
    /// A full bucket. Its capacity is what the rate yields in `burst_ms`, and at least 1.
    pub fn new(per_s: f64, burst_ms: f64) -> Self {
        let per_ms = per_s.max(1e-6) / 1e3;
        let capacity = (per_ms * burst_ms).max(1.0);
        TokenBucket { per_ms, capacity, level: capacity, updated_ms: f64::NEG_INFINITY }
    }

    /// Changes the rate and the capacity. The level is kept but cut to the new capacity, so that a share of
    /// the rate that moves from one router to another is not granted twice.
    pub fn resize(&mut self, per_s: f64, burst_ms: f64) {
        let new = TokenBucket::new(per_s, burst_ms);
        let level = if self.level > 0.0 { self.level.min(new.capacity) } else { self.level };
        *self = TokenBucket { level, updated_ms: self.updated_ms, ..new };
    }

    /// Empties the bucket: where several routers share a limit, each of them must not start with a burst of
    /// its own.
    pub fn empty(&mut self) {
        self.level = 0.0;
    }

    /// Takes an amount. One that exceeds the capacity needs a full bucket and leaves a negative level.
    ///
    /// # Errors
    /// The time in ms until there is enough; nothing is taken then.
    pub fn take(&mut self, now_ms: f64, amount: f64) -> Result<(), f64> {
        if self.updated_ms.is_finite() {
            self.level = (self.level + (now_ms - self.updated_ms).max(0.0) * self.per_ms).min(self.capacity);
        }
        self.updated_ms = now_ms;
        let needed = amount.min(self.capacity);
        if self.level + 1e-9 < needed {
            return Err((needed - self.level) / self.per_ms);
        }
        self.level -= amount;
        Ok(())
    }
}
