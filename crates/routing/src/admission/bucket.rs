/// A rate with a burst: fills steadily, is drawn from, and says how long to wait when it does not hold enough.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    per_ms: f64,
    most: f64,
    level: f64,
    at_ms: f64,
}

impl TokenBucket {
    /// Full at first; holds what comes in `burst_ms`, and at least 1.
    pub fn new(per_s: f64, burst_ms: f64) -> Self {
        let per_ms = per_s.max(1e-6) / 1e3;
        let most = (per_ms * burst_ms).max(1.0);
        TokenBucket { per_ms, most, level: most, at_ms: f64::NEG_INFINITY }
    }

    /// Another rate from now on, with what the burst holds of it; what is in keeps its share of that, so that a part
    /// that moves from one router to another does not come twice.
    pub fn resize(&mut self, per_s: f64, burst_ms: f64) {
        let new = TokenBucket::new(per_s, burst_ms);
        let level = if self.level > 0.0 { self.level.min(new.most) } else { self.level };
        *self = TokenBucket { level, at_ms: self.at_ms, ..new };
    }

    /// Nothing is in: one that holds a part of what others hold too must not start with a burst of its own.
    pub fn empty(&mut self) {
        self.level = 0.0;
    }

    /// Draws an amount. One that is larger than the whole bucket needs it full, and leaves a debt.
    ///
    /// # Errors
    /// The time in ms until there is enough; nothing is drawn then.
    pub fn take(&mut self, now_ms: f64, amount: f64) -> Result<(), f64> {
        if self.at_ms.is_finite() {
            self.level = (self.level + (now_ms - self.at_ms).max(0.0) * self.per_ms).min(self.most);
        }
        self.at_ms = now_ms;
        let needed = amount.min(self.most);
        if self.level + 1e-9 < needed {
            return Err((needed - self.level) / self.per_ms);
        }
        self.level -= amount;
        Ok(())
    }
}
