//! The versions and drains reported by one source.

use std::collections::BTreeMap;
use std::sync::Arc;

use paddleproxy::interface::{Readiness, WorkerId};
use paddleproxy_engine::ServerList;
use serde::{Deserialize, Serialize};

use crate::entry::{self, ConfiguredNames, View};
use crate::{SavedDrain, VersionError};

/// The sources of server lists, in the order in which they lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SourceId {
    /// The servers file that operators edit.
    File,
    /// The list service.
    Service,
    /// The list saved by an earlier run.
    Saved,
}

impl SourceId {
    pub const ALL: [SourceId; 3] = [SourceId::File, SourceId::Service, SourceId::Saved];

    pub fn name(self) -> &'static str {
        match self {
            SourceId::File => "file",
            SourceId::Service => "service",
            SourceId::Saved => "saved",
        }
    }
}

/// A drain reported by a source.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    pub since_ms: f64,
    pub epoch: u64,
    pub version: u64,
    /// Since when a version of another epoch, which may be older, reports the server as ready.
    contradicted_ms: Option<f64>,
    /// A version of the same epoch that is not newer reported the server as ready. That never ends a drain.
    contradicted: bool,
}

impl Drain {
    /// Whether the source has since reported the server as ready.
    pub fn is_contradicted(&self) -> bool {
        self.contradicted || self.contradicted_ms.is_some()
    }
}

/// How a source's version was understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOutcome {
    New {
        whole: bool,
    },
    Unchanged,
    /// A delta to a version that is not known here.
    WholeNeeded,
}

/// State of one source, kept as long as the router runs.
#[derive(Debug, Default)]
pub struct Source {
    pub epoch: u64,
    pub version: Option<u64>,
    /// Time of the last response, with or without a new version.
    pub last_contact_ms: f64,
    /// All servers of the latest version, even if that version is held.
    pub reported: View,
    /// The servers of the latest version that was not held, and its number.
    pub accepted: View,
    pub accepted_version: (u64, u64),
    pub drains: BTreeMap<WorkerId, Drain>,
    /// Fingerprint of the text that the latest version was read from.
    pub fingerprint: Option<u64>,
    pub refused: u64,
    pub last_refused: Option<String>,
}

impl Source {
    pub fn known_version(&self) -> Option<(u64, u64)> {
        Some((self.epoch, self.version?))
    }

    /// Applies one version. Within an epoch version numbers only increase. A restarted service starts a new
    /// epoch and counts anew, so its whole list is accepted however low its number is. The cost is that a
    /// stray old service is accepted too: the servers that its list removes are held, and drains that it
    /// contradicts stay for the hold time.
    ///
    /// # Errors
    /// Why the version is refused; the previous version stays.
    pub fn apply(
        &mut self,
        names: &ConfiguredNames,
        now_ms: f64,
        list: &ServerList,
        fingerprint: Option<u64>,
    ) -> Result<VersionOutcome, VersionError> {
        self.last_contact_ms = now_ms;
        if let Some(have) = self.version.filter(|_| self.epoch == list.epoch) {
            if list.version < have {
                return Err(VersionError::Older { got: list.version, have });
            }
            if list.version == have {
                let changed =
                    fingerprint.is_some() && self.fingerprint.is_some() && fingerprint != self.fingerprint;
                if changed {
                    return Err(VersionError::Changed { version: have });
                }
                return Ok(VersionOutcome::Unchanged);
            }
        }
        let whole = match list.after {
            None => true,
            Some(after) if Some(after) == self.version && self.epoch == list.epoch => false,
            Some(_) => return Ok(VersionOutcome::WholeNeeded),
        };
        if whole && list.servers.is_empty() {
            return Err(VersionError::Empty);
        }
        let rows = entry::parse_rows(names, now_ms, &list.servers, &self.reported)
            .map_err(|(server, what)| VersionError::Entry { server, what })?;
        let changed: Vec<_> = rows.iter().map(|row| row.listing.worker.clone()).collect();
        let mut reported = if whole { View::new() } else { self.reported.clone() };
        reported.extend(rows.into_iter().map(|row| (row.listing.worker.clone(), Arc::new(row))));
        if let Some((one, other)) = entry::same_address(&reported, (!whole).then_some(&changed[..])) {
            let what = format!("has the address of '{:.64}'", one.0);
            return Err(VersionError::Entry { server: other.0.to_string(), what });
        }
        if reported.values().all(|row| row.gone()) {
            return Err(VersionError::Empty);
        }
        if reported.values().filter(|row| row.usable()).all(|row| row.listing.weight <= 0.0)
            && reported.values().any(|row| row.usable())
        {
            return Err(VersionError::NoWeight);
        }
        self.update_drains(now_ms, &reported, (list.epoch, list.version));
        (self.epoch, self.version) = (list.epoch, Some(list.version));
        self.reported = reported;
        self.fingerprint = fingerprint;
        Ok(VersionOutcome::New { whole })
    }

    /// Drains start with the version that reports them. They end with a newer version of the same source or
    /// with another process under the server's name. A version of another epoch with no higher number may be
    /// older, so a drain that it contradicts ends only after the hold time.
    fn update_drains(&mut self, now_ms: f64, next: &View, (epoch, version): (u64, u64)) {
        let (old, accepted) = (&self.reported, &self.accepted);
        self.drains.retain(|worker, drain| {
            // Omitted by this version: a drain stays as long as its server is in the accepted list.
            let Some(row) = next.get(worker) else { return accepted.contains_key(worker) };
            let new_process = old
                .get(worker)
                .is_some_and(|old| (old.entry.start, old.address) != (row.entry.start, row.address));
            match row.listing.readiness {
                // A server reported as gone gets no new work either, even if the version is held.
                Readiness::Draining | Readiness::Gone => {
                    // A different readiness than before, or the same after a contradiction, starts a new
                    // drain.
                    let readiness_changed =
                        old.get(worker).is_none_or(|old| old.listing.readiness != row.listing.readiness);
                    if drain.is_contradicted() || readiness_changed {
                        drain.since_ms = now_ms;
                    }
                    (drain.epoch, drain.version) = (epoch, version);
                    (drain.contradicted_ms, drain.contradicted) = (None, false);
                    true
                }
                Readiness::Ready if new_process => false,
                Readiness::Ready if epoch == drain.epoch => {
                    drain.contradicted = true;
                    version <= drain.version
                }
                Readiness::Ready if version > drain.version => false,
                Readiness::Ready => {
                    drain.contradicted_ms.get_or_insert(now_ms);
                    true
                }
            }
        });
        for (worker, _) in next.iter().filter(|(_, row)| !row.usable()) {
            self.drains.entry(worker.clone()).or_insert(Drain {
                since_ms: now_ms,
                epoch,
                version,
                contradicted_ms: None,
                contradicted: false,
            });
        }
    }

    /// Restores a drain from an earlier run.
    pub fn restore_drain(&mut self, worker: WorkerId, since_ms: f64, saved: &SavedDrain) {
        let SavedDrain { epoch, version, contradicted, .. } = *saved;
        self.drains.insert(worker, Drain { since_ms, epoch, version, contradicted_ms: None, contradicted });
    }

    /// Ends drains that have been contradicted for the hold time.
    pub fn end_contradicted_drains(&mut self, now_ms: f64, hold_ms: f64) {
        self.drains.retain(|_, drain| drain.contradicted_ms.is_none_or(|since| now_ms < since + hold_ms));
    }

    /// When the next contradicted drain ends.
    pub fn next_drain_end_ms(&self, hold_ms: f64) -> Option<f64> {
        self.drains
            .values()
            .filter_map(|drain| drain.contradicted_ms)
            .map(|since| since + hold_ms)
            .min_by(f64::total_cmp)
    }
}
