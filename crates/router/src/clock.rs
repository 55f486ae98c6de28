//! The monotonic clock of a router, and conversions of times in ms.

use tokio::time::Instant;

/// A reading of the wall clock offset is repeated if reading both clocks took longer than this.
const MAX_OFFSET_ERROR_MS: f64 = 2.0;
/// The shortest of this many readings is used if all take too long.
const MAX_OFFSET_READINGS: usize = 4;

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

    /// How far the wall clock is ahead of this clock now, in ms. Repeats the reading if the thread was
    /// preempted between the two clocks.
    pub fn wall_offset_ms(&self) -> f64 {
        let mut best = (f64::INFINITY, 0.0);
        for _ in 0..MAX_OFFSET_READINGS {
            let before_ms = self.now_ms();
            let wall_ms = wall_ms();
            let took_ms = self.now_ms() - before_ms;
            if took_ms < best.0 {
                best = (took_ms, wall_ms - before_ms);
            }
            if took_ms < MAX_OFFSET_ERROR_MS {
                break;
            }
        }
        best.1
    }

    /// The instant at which this clock shows `ms`.
    pub fn at(&self, ms: f64) -> Instant {
        self.origin + duration(ms)
    }
}

/// Converts ms to a duration. Negative values and NaN become zero; values above one day become one day.
pub fn duration(ms: f64) -> std::time::Duration {
    std::time::Duration::from_secs_f64((ms.clamp(0.0, 86_400_000.0) / 1e3).max(0.0))
}

/// Wall clock time in ms since 1970. For stored data and identifiers only: the wall clock can jump.
pub fn wall_ms() -> f64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64() * 1e3)
}
