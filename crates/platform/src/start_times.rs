//! When servers started, on the router's own clock.
//!
//! Discovery tells a start as wall time, which every machine reads alike, and the wall clock may be stepped by seconds or
//! an hour while the monotonic clock runs on. So a start is mapped once, when it is first heard, and stays where it was
//! mapped; and it is mapped by every offset between the two clocks that has been seen, since nobody says under which of
//! them the server read its clock. Of the times that come out, the latest that is not in the future counts: a server that
//! is taken for younger than it is warms up for longer, one taken for older is pushed over.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use paddleproxy::interface::WorkerId;

/// A change of the offset by more than this, in ms, is a step; less is drift, or a thread held up between two readings.
const STEP_MS: f64 = 250.0;
/// How far in the future, in ms, a start may seem to lie and still be of now: clocks of machines differ a little.
const AHEAD_MS: f64 = 1000.0;
/// Offsets that are remembered; the oldest goes first.
const OFFSETS: usize = 16;

#[derive(Clone, Copy)]
struct Start {
    born_ms: f64,
    started_ms: f64,
}

/// Lives as long as the router.
#[derive(Default)]
pub struct StartTimes {
    /// Wall clock less the router's clock, in ms; the newest last.
    offsets_ms: VecDeque<f64>,
    known: BTreeMap<WorkerId, Start>,
}

impl StartTimes {
    /// Nothing is known yet.
    pub fn new() -> StartTimes {
        StartTimes::default()
    }

    /// The two clocks were read at the same moment and were so far apart, in ms.
    pub fn observe_offset(&mut self, offset_ms: f64) {
        let known = |seen_ms: &f64| (seen_ms - offset_ms).abs() <= STEP_MS;
        if let Some(row) = self.offsets_ms.iter().position(known) {
            // The clock was stepped back to where it had been.
            let seen = self.offsets_ms.remove(row);
            self.offsets_ms.extend(seen);
            return;
        }
        if self.offsets_ms.len() >= OFFSETS {
            self.offsets_ms.pop_front();
        }
        self.offsets_ms.push_back(offset_ms);
    }

    /// When a server that says it was born at this wall time, in ms since 1970, started, on the router's clock; none
    /// for long ago.
    pub fn started_ms(&mut self, worker: &WorkerId, born_ms: f64, now_ms: f64) -> Option<f64> {
        if born_ms <= 0.0 {
            self.known.remove(worker);
            return None;
        }
        if let Some(start) = self.known.get(worker).filter(|start| start.born_ms == born_ms) {
            return Some(start.started_ms);
        }
        let candidates = self.offsets_ms.iter().map(|offset_ms| born_ms - offset_ms);
        let not_ahead = candidates.filter(|started_ms| *started_ms <= now_ms + AHEAD_MS);
        let latest = not_ahead.max_by(f64::total_cmp);
        let started_ms = latest.map_or(now_ms, |started_ms| started_ms.min(now_ms));
        self.known.insert(worker.clone(), Start { born_ms, started_ms });
        Some(started_ms)
    }

    /// A server is off the list.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.known.remove(worker);
    }

    /// A whole list was read: all others are off it.
    pub fn keep_only(&mut self, listed: &BTreeSet<&WorkerId>) {
        self.known.retain(|worker, _| listed.contains(worker));
    }
}

#[cfg(test)]
mod tests;
