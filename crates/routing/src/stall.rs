//! How long a stream may stall after its first event before it counts as broken.

/// Gaps between events of the present pace that a silence may take.
const PATIENCE: f64 = 60.0;
/// Least part of the longest silence allowed, however fast the stream is: servers pause.
const LEAST: f64 = 0.5;
/// Weight of the newest gap in the pace.
const NEWEST: f64 = 0.125;

/// Lives for one stream.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    longest_ms: f64,
    gap_ms: Option<f64>,
    at_ms: f64,
}

impl StallDetector {
    /// A stream whose first event came now; no silence may be longer than `longest_ms`.
    pub fn new(now_ms: f64, longest_ms: f64) -> Self {
        StallDetector { longest_ms, gap_ms: None, at_ms: now_ms }
    }

    /// Another event came.
    pub fn record_event(&mut self, now_ms: f64) {
        let gap_ms = (now_ms - self.at_ms).max(0.0);
        self.gap_ms = Some(self.gap_ms.map_or(gap_ms, |usual| usual + NEWEST * (gap_ms - usual)));
        self.at_ms = now_ms;
    }

    /// Clock time at which silence counts as a break. Guards against a server that goes silent within an answer,
    /// whatever holds it up: the sooner, the faster it answered. Harm: one that pauses for longer than half of what is
    /// allowed is given up although it would have gone on.
    pub fn deadline_ms(&self) -> f64 {
        let patience = self.gap_ms.map_or(self.longest_ms, |gap| PATIENCE * gap);
        self.at_ms + patience.clamp(LEAST * self.longest_ms, self.longest_ms)
    }
}

#[cfg(test)]
mod tests;
