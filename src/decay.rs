//! Values and counts that decay with time. The caller supplies time constants and meaning.

use std::collections::BTreeMap;

/// A value and the time at which it was set.
#[derive(Clone, Copy, Default)]
pub(crate) struct Decaying {
    pub value: f64,
    pub at_ms: f64,
}

impl Decaying {
    /// The value at `now_ms` with the half-life `half_ms`.
    pub fn at(&self, now_ms: f64, half_ms: f64) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * 0.5f64.powf((now_ms - self.at_ms) / half_ms.max(1.0))
    }

    /// Adds 1 at `now_ms`.
    pub fn count(&mut self, now_ms: f64, half_ms: f64) {
        *self = Decaying { value: self.at(now_ms, half_ms) + 1.0, at_ms: now_ms };
    }
}

/// Maximum number of keys in a [`DecayingCounts`].
const KEYS_MAX: usize = 1 << 16;

/// Decaying counts by key. At the maximum number of keys all counts are reset.
pub(crate) struct DecayingCounts<K>(BTreeMap<K, Decaying>);

impl<K> Default for DecayingCounts<K> {
    fn default() -> Self {
        DecayingCounts(BTreeMap::new())
    }
}

impl<K: Ord> DecayingCounts<K> {
    pub fn count(&mut self, key: K, now_ms: f64, half_ms: f64) {
        if self.0.len() >= KEYS_MAX {
            self.0.clear();
        }
        self.0.entry(key).or_default().count(now_ms, half_ms);
    }

    pub fn at(&self, key: &K, now_ms: f64, half_ms: f64) -> f64 {
        self.0.get(key).map_or(0.0, |count| count.at(now_ms, half_ms))
    }
}

/// Exponentially weighted moving means by key. The first value is the first mean.
pub(crate) struct MovingMeans<K>(BTreeMap<K, f64>);

impl<K> Default for MovingMeans<K> {
    fn default() -> Self {
        MovingMeans(BTreeMap::new())
    }
}

impl<K: Ord> MovingMeans<K> {
    /// Adds a value with the given weight and returns the mean before it.
    pub fn update(&mut self, key: K, value: f64, weight: f64) -> f64 {
        let mean = self.0.entry(key).or_insert(value);
        let before = *mean;
        *mean += weight * (value - before);
        before
    }
}

/// A count that rises and falls, with its exponentially weighted mean over time.
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

    /// Changes the count at `now_ms`; the count never falls below 0.
    pub fn add(&mut self, change: f64, now_ms: f64, over_ms: f64) {
        let mean = self.mean(now_ms, over_ms);
        let value = (self.value + change).max(0.0);
        *self = SmoothedCount { value, mean, at_ms: now_ms };
    }
}
