use tokio::time::Instant;

/// Both clocks are read within so many ms of each other, and so often at most.
const OFFSET_WITHIN_MS: f64 = 2.0;
const OFFSET_READINGS: usize = 4;

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

    /// How far the wall clock is ahead of this one now, in ms. Read again where the thread was held up meanwhile.
    pub fn wall_offset_ms(&self) -> f64 {
        let mut least = (f64::INFINITY, 0.0);
        for _ in 0..OFFSET_READINGS {
            let before_ms = self.now_ms();
            let wall_ms = wall_ms();
            let took_ms = self.now_ms() - before_ms;
            if took_ms < least.0 {
                least = (took_ms, wall_ms - before_ms);
            }
            if took_ms < OFFSET_WITHIN_MS {
                break;
            }
        }
        least.1
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
