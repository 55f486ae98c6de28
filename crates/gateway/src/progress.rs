//! How far this router has followed discovery, free of I/O: which call comes next, and what its answer is worth.

use paddleproxy_platform::List;

use crate::limits::{WATCH_MS, WATCH_SLACK_MS};

/// What a list that was read is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Worth {
    /// The decisions are told.
    News,
    /// Nothing has changed.
    Nothing,
    /// Older than what is known, or changes without a list that they build on.
    Unusable,
}

/// Lives as long as discovery is followed.
#[derive(Debug, Default)]
pub struct Progress {
    /// The last version that was told.
    version: Option<u64>,
    /// The last answer could not be read. The same watch may bring it again; the whole list holds what it told.
    unreadable: bool,
}

impl Progress {
    /// Versions of one discovery say nothing of another's, and rows are read by the settings: all begins anew.
    pub fn begin_anew(&mut self) {
        *self = Progress::default();
    }

    /// The answer was no list.
    pub fn unreadable(&mut self) {
        self.unreadable = true;
    }

    /// The version from which the next call watches; none where it requests for the whole list.
    fn watched(&self) -> Option<u64> {
        self.version.filter(|_| !self.unreadable)
    }

    pub fn path(&self) -> String {
        match self.watched() {
            None => "/catalog/members".to_owned(),
            Some(version) => format!("/catalog/members?from={version}&hold_ms={WATCH_MS}"),
        }
    }

    /// After so many ms without an answer the call counts as silent.
    pub fn within_ms(&self) -> f64 {
        WATCH_SLACK_MS + if self.watched().is_some() { WATCH_MS } else { 0.0 }
    }

    /// Takes in a list that was read. An older version of one discovery never takes the place of a newer one.
    pub fn take(&mut self, list: &List) -> Worth {
        let older = self.version.is_some_and(|known| known > list.version);
        if older || !list.whole && self.version.is_none() {
            return Worth::Unusable;
        }
        let news = list.whole || !list.rows.is_empty();
        (self.version, self.unreadable) = (Some(list.version), false);
        if news {
            Worth::News
        } else {
            Worth::Nothing
        }
    }
}

#[cfg(test)]
mod tests;
