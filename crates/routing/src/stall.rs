//! Stall detection: how long a stream may be silent after its first event before it counts as broken.

/// Allowed silence, in multiples of the current average gap between events.
const ALLOWED_GAPS: f64 = 60.0;
/// Least allowed silence as a part of `longest_ms`, however fast the stream is: servers pause.
const MIN_SILENCE_PART: f64 = 0.5;
/// Weight of the newest gap in the moving average.
const NEWEST_GAP_WEIGHT: f64 = 0.125;

/// Tracks the gaps between the events of one stream.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    longest_ms: f64,
    average_gap_ms: Option<f64>,
    last_event_ms: f64,
}

impl StallDetector {
    /// For a stream whose first event arrives now; no silence may be longer than `longest_ms`.
    pub fn new(now_ms: f64, longest_ms: f64) -> Self {
        StallDetector { longest_ms, average_gap_ms: None, last_event_ms: now_ms }
    }

    /// Records a further event.
    pub fn record_event(&mut self, now_ms: f64) {
        let gap_ms = (now_ms - self.last_event_ms).max(0.0);
        self.average_gap_ms = Some(
            self.average_gap_ms.map_or(gap_ms, |average| average + NEWEST_GAP_WEIGHT * (gap_ms - average)),
        );
        self.last_event_ms = now_ms;
    }

    /// Clock time at which the stream counts as broken if it stays silent. Guards against a server that goes
    /// silent within an answer, whatever the cause; the faster the stream was, the sooner. Cost: a stream
    /// that pauses for longer than half of `longest_ms` may be abandoned although it would have continued.
    pub fn deadline_ms(&self) -> f64 {
        let silence_ms = self.average_gap_ms.map_or(self.longest_ms, |gap| ALLOWED_GAPS * gap);
        self.last_event_ms + silence_ms.clamp(MIN_SILENCE_PART * self.longest_ms, self.longest_ms)
    }
}

#[cfg(test)]
mod tests;
