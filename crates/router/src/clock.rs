use tokio::time::Instant;

/// The router's own monotonic clock, in ms since its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Clock { origin: Instant::now() }
    }

    pub fn now_ms(&self) -> f64 {
        self.origin.elapsed().as_secs_f64() * 1e3
    }

    /// The moment at which this clock shows `ms`.
    pub fn at(&self, ms: f64) -> Instant {
        self.origin + duration(ms)
    }
}

/// A duration of so many ms; what is negative or no number counts as none, what is huge as a day.
pub fn duration(ms: f64) -> std::time::Duration {
    std::time::Duration::from_secs_f64((ms.clamp(0.0, 86_400_000.0) / 1e3).max(0.0))
}

/// Wall clock in ms since 1970; for files and names only.
pub fn wall_ms() -> f64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64() * 1e3)
}
