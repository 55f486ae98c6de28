//! Progress in following discovery, free of I/O: which call comes next, with which timeout, and whether a
//! list that was read changes anything.

use paddleproxy_platform::List;

use crate::limits::{WATCH_HOLD_AFTER_TIMEOUT_MS, WATCH_HOLD_MS, WATCH_MAX_SLACK_MS, WATCH_MIN_SLACK_MS};

/// What a list that was read means for the list that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Pass it on to the core.
    Changed,
    /// Nothing has changed.
    Unchanged,
    /// Older than the known list, or changes without the list to which they apply.
    Unusable,
}

/// The adaptive timeout of calls to discovery, beyond the time for which a watch is held: doubles with each
/// call that times out, and follows the time that answers took. Guards against a slow or overloaded
/// discovery, whose answers would all be abandoned just before they arrive. Cost: a discovery that is down is
/// called less often; the upper limit leaves time for a call that starts just before it is back.
#[derive(Debug)]
struct AdaptiveTimeout {
    slack_ms: f64,
    /// The last call timed out.
    silent: bool,
}

impl Default for AdaptiveTimeout {
    fn default() -> Self {
        AdaptiveTimeout { slack_ms: WATCH_MIN_SLACK_MS, silent: false }
    }
}

impl AdaptiveTimeout {
    fn timed_out(&mut self) {
        self.silent = true;
        self.slack_ms = (2.0 * self.slack_ms).min(WATCH_MAX_SLACK_MS);
    }

    /// An answer arrived `late_ms` after the end of its hold time.
    fn answered(&mut self, late_ms: f64) {
        self.silent = false;
        self.slack_ms = (2.0 * late_ms).clamp(WATCH_MIN_SLACK_MS, WATCH_MAX_SLACK_MS);
    }
}

/// The state between calls to discovery.
#[derive(Debug, Default)]
pub struct Progress {
    timeout: AdaptiveTimeout,
    /// The version of the list that was applied last.
    version: Option<u64>,
    /// The last answer could not be read. The same watch may return it again, so the whole list is fetched,
    /// which contains its changes.
    unreadable: bool,
}

impl Progress {
    /// Starts from the whole list again, for another discovery or new settings: versions of one discovery
    /// can't be compared with another's, and rows are parsed by the settings. The timeout is kept.
    pub fn reset(&mut self) {
        *self = Progress { timeout: std::mem::take(&mut self.timeout), ..Progress::default() };
    }

    /// A call had no answer within its timeout.
    pub fn timed_out(&mut self) {
        self.timeout.timed_out();
    }

    /// A call was answered after `took_ms`.
    pub fn answered(&mut self, took_ms: f64) {
        self.timeout.answered(took_ms - self.hold_ms());
    }

    /// How long discovery may hold the next call until there are changes, in ms. After a timeout the hold
    /// time is short, so that missed changes arrive at once.
    fn hold_ms(&self) -> f64 {
        match self.watch_from() {
            None => 0.0,
            Some(_) if self.timeout.silent => WATCH_HOLD_AFTER_TIMEOUT_MS,
            Some(_) => WATCH_HOLD_MS,
        }
    }

    /// The last answer was not a valid list.
    pub fn mark_unreadable(&mut self) {
        self.unreadable = true;
    }

    /// The version from which the next call watches for changes; none if it requests the whole list.
    fn watch_from(&self) -> Option<u64> {
        self.version.filter(|_| !self.unreadable)
    }

    /// The path of the next call.
    pub fn path(&self) -> String {
        match self.watch_from() {
            None => "/catalog/members".to_owned(),
            Some(version) => format!("/catalog/members?from={version}&hold_ms={}", self.hold_ms()),
        }
    }

    /// The timeout of the next call, in ms.
    pub fn timeout_ms(&self) -> f64 {
        self.timeout.slack_ms + self.hold_ms()
    }

    /// Checks a list that was read against the known version. An older version from the same discovery never
    /// replaces a newer one.
    pub fn apply(&mut self, list: &List) -> ListUpdate {
        let older = self.version.is_some_and(|known| known > list.version);
        if older || !list.whole && self.version.is_none() {
            return ListUpdate::Unusable;
        }
        let changed = list.whole || !list.rows.is_empty();
        (self.version, self.unreadable) = (Some(list.version), false);
        if changed {
            ListUpdate::Changed
        } else {
            ListUpdate::Unchanged
        }
    }
}

#[cfg(test)]
mod tests;
