//! How far this router has followed discovery, free of I/O: which call comes next, and what its answer is worth.

use paddleproxy_platform::List;

use crate::limits::{WATCH_AFTER_SILENCE_MS, WATCH_MS, WATCH_SLACK_MOST_MS, WATCH_SLACK_MS};

/// What a list that was read is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The decisions are told.
    Changed,
    /// Nothing has changed.
    Unchanged,
    /// Older than what is known, or changes without a list that they build on.
    Unusable,
}

/// How long an answer may take beyond its wait, in ms: it grows with each call that was silent, and follows what answers
/// took. Guards against a discovery that is slow or crowded, whose answers would all be given up just before they come.
/// Harm: one that is gone is asked less often; the bound leaves time for a call that begins just before it is back.
#[derive(Debug)]
struct Patience {
    slack_ms: f64,
    silent: bool,
}

impl Default for Patience {
    fn default() -> Self {
        Patience { slack_ms: WATCH_SLACK_MS, silent: false }
    }
}

impl Patience {
    fn timed_out(&mut self) {
        self.silent = true;
        self.slack_ms = (2.0 * self.slack_ms).min(WATCH_SLACK_MOST_MS);
    }

    /// An answer came so long after it was due.
    fn answered(&mut self, late_ms: f64) {
        self.silent = false;
        self.slack_ms = (2.0 * late_ms).clamp(WATCH_SLACK_MS, WATCH_SLACK_MOST_MS);
    }
}

/// Lives as long as discovery is followed.
#[derive(Debug, Default)]
pub struct Progress {
    patience: Patience,
    /// The last version that was told.
    version: Option<u64>,
    /// The last answer could not be read. The same watch may bring it again; the whole list holds what it told.
    unreadable: bool,
}

impl Progress {
    /// Versions of one discovery say nothing of another's, and rows are read by the settings: all begins anew.
    pub fn reset(&mut self) {
        *self = Progress { patience: std::mem::take(&mut self.patience), ..Progress::default() };
    }

    /// No answer came within the time.
    pub fn timed_out(&mut self) {
        self.patience.timed_out();
    }

    /// An answer came after so many ms.
    pub fn answered(&mut self, took_ms: f64) {
        self.patience.answered(took_ms - self.hold_ms());
    }

    /// How long the next call waits for news. After silence it does not wait: what was missed is asked for at once.
    fn hold_ms(&self) -> f64 {
        match self.watched() {
            None => 0.0,
            Some(_) if self.patience.silent => WATCH_AFTER_SILENCE_MS,
            Some(_) => WATCH_MS,
        }
    }

    /// The answer was no list.
    pub fn mark_unreadable(&mut self) {
        self.unreadable = true;
    }

    /// The version from which the next call watches; none where it requests for the whole list.
    fn watched(&self) -> Option<u64> {
        self.version.filter(|_| !self.unreadable)
    }

    pub fn path(&self) -> String {
        match self.watched() {
            None => "/catalog/members".to_owned(),
            Some(version) => format!("/catalog/members?from={version}&hold_ms={}", self.hold_ms()),
        }
    }

    /// After so many ms without an answer the call counts as silent.
    pub fn timeout_ms(&self) -> f64 {
        self.patience.slack_ms + self.hold_ms()
    }

    /// Takes in a list that was read. An older version of one discovery never takes the place of a newer one.
    pub fn apply(&mut self, list: &List) -> ListUpdate {
        let older = self.version.is_some_and(|known| known > list.version);
        if older || !list.whole && self.version.is_none() {
            return ListUpdate::Unusable;
        }
        let news = list.whole || !list.rows.is_empty();
        (self.version, self.unreadable) = (Some(list.version), false);
        if news {
            ListUpdate::Changed
        } else {
            ListUpdate::Unchanged
        }
    }
}

#[cfg(test)]
mod tests;
