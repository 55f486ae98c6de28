//! Start times of servers, on the router's monotonic clock.
//!
//! Discovery reports a start as wall-clock time, which is comparable between machines. But the wall clock may
//! be stepped by seconds or an hour, while the monotonic clock is not. So a start is converted once, when it
//! is first reported, and keeps the result. The conversion considers every offset between the two clocks that
//! was observed, since it is unknown which of them held when the server read its clock. Of the candidates,
//! the latest that is not in the future is used: a server that is assumed to be younger than it is stays in
//! slow start for longer, whereas one assumed to be older would be overloaded.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use paddleproxy::interface::WorkerId;

/// A larger change of the offset is a clock step; a smaller one is drift, or a delay between reading the two
/// clocks.
const MIN_STEP_MS: f64 = 250.0;
/// A start that seems to lie at most this far in the future counts as now: the clocks of machines differ
/// slightly.
const MAX_AHEAD_MS: f64 = 1000.0;
/// Most offsets that are kept; the oldest is dropped first.
const MAX_OFFSETS: usize = 16;

#[derive(Clone, Copy)]
struct Start {
    /// Wall-clock time, as reported.
    born_ms: f64,
    /// Time on the router's clock.
    started_ms: f64,
}

/// The start times of all listed servers; kept for the lifetime of the router, across reloads.
#[derive(Default)]
pub struct StartTimes {
    /// Observed values of wall clock minus router's clock; the newest last.
    offsets_ms: VecDeque<f64>,
    starts: BTreeMap<WorkerId, Start>,
}

impl StartTimes {
    pub fn new() -> StartTimes {
        StartTimes::default()
    }

    /// Records the current offset: wall clock minus the router's clock, read at the same moment.
    pub fn observe_offset(&mut self, offset_ms: f64) {
        let same_offset = |known_ms: &f64| (known_ms - offset_ms).abs() <= MIN_STEP_MS;
        if let Some(row) = self.offsets_ms.iter().position(same_offset) {
            // A known offset becomes the newest one: it is unchanged, or the clock was stepped back to it.
            let known = self.offsets_ms.remove(row);
            self.offsets_ms.extend(known);
            return;
        }
        if self.offsets_ms.len() >= MAX_OFFSETS {
            self.offsets_ms.pop_front();
        }
        self.offsets_ms.push_back(offset_ms);
    }

    /// The start, on the router's clock, of a server that reports `born_ms` (wall-clock time in ms since
    /// 1970). None if it is not positive, which stands for long ago.
    pub fn started_ms(&mut self, worker: &WorkerId, born_ms: f64, now_ms: f64) -> Option<f64> {
        if born_ms <= 0.0 {
            self.starts.remove(worker);
            return None;
        }
        if let Some(start) = self.starts.get(worker).filter(|start| start.born_ms == born_ms) {
            return Some(start.started_ms);
        }
        let candidates = self.offsets_ms.iter().map(|offset_ms| born_ms - offset_ms);
        let plausible = candidates.filter(|started_ms| *started_ms <= now_ms + MAX_AHEAD_MS);
        let latest = plausible.max_by(f64::total_cmp);
        let started_ms = latest.map_or(now_ms, |started_ms| started_ms.min(now_ms));
        self.starts.insert(worker.clone(), Start { born_ms, started_ms });
        Some(started_ms)
    }

    /// Drops a server that is no longer listed.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.starts.remove(worker);
    }

    /// Drops all servers that are not on a whole list.
    pub fn keep_only(&mut self, listed: &BTreeSet<&WorkerId>) {
        self.starts.retain(|worker, _| listed.contains(worker));
    }
}

#[cfg(test)]
mod tests;
