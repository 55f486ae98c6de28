//! Values that fade with time. Arithmetic alone: time constants and meaning are the caller's.

/// A value and the time at which it was set.
#[derive(Clone, Copy, Default)]
pub(crate) struct Decaying {
    pub value: f64,
    pub at_ms: f64,
}

impl Decaying {
    /// What is left of the value at `now_ms`, if it halves every `half_ms`.
    pub fn at(&self, now_ms: f64, half_ms: f64) -> f64 {
        self.value * 0.5f64.powf((now_ms - self.at_ms) / half_ms.max(1.0))
    }

    /// Counts one more at `now_ms`.
    pub fn count(&mut self, now_ms: f64, half_ms: f64) {
        *self = Decaying { value: self.at(now_ms, half_ms) + 1.0, at_ms: now_ms };
    }
}

/// A count that goes up and down, with its exponentially weighted mean over time.
#[derive(Clone, Copy, Default)]
pub(crate) struct SmoothedCount {
    pub value: f64,
    mean: f64,
    at_ms: f64,
}

impl SmoothedCount {
    /// The mean at `now_ms`, with the time constant `over_ms`.
    pub fn mean(&self, now_ms: f64, over_ms: f64) -> f64 {
        self.value + (self.mean - self.value) * (-(now_ms - self.at_ms) / over_ms.max(1.0)).exp()
    }

    /// Changes the count at `now_ms`; it never falls below 0.
    pub fn add(&mut self, change: f64, now_ms: f64, over_ms: f64) {
        let mean = self.mean(now_ms, over_ms);
        let value = (self.value + change).max(0.0);
        *self = SmoothedCount { value, mean, at_ms: now_ms };
    }
}
