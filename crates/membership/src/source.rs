//! What one source states, version by version.

use std::collections::BTreeMap;
use std::sync::Arc;

use paddleproxy::interface::{Readiness, WorkerId};
use paddleproxy_engine::ServerList;
use serde::{Deserialize, Serialize};

use crate::entry::{self, Checks, View};
use crate::{SavedDrain, VersionError};

/// Who states which servers exist, the one that leads first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SourceId {
    /// The operators' watched file.
    File,
    /// The list service.
    Service,
    /// The list of an earlier run.
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

/// A drain that a source stated.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    pub since_ms: f64,
    pub epoch: u64,
    pub version: u64,
    /// Since when a word that may be older says otherwise.
    doubted_ms: Option<f64>,
    /// A word of its own version or an older one says otherwise, which never ends it.
    denied: bool,
}

impl Drain {
    /// Whether its source has said otherwise since.
    pub fn denied(&self) -> bool {
        self.denied || self.doubted_ms.is_some()
    }
}

/// How the answer of a source was understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOutcome {
    New {
        whole: bool,
    },
    Unchanged,
    /// Changes on a version that we do not have.
    WholeNeeded,
}

/// Lives as long as the router.
#[derive(Debug, Default)]
pub struct Source {
    pub epoch: u64,
    pub version: Option<u64>,
    /// When it last said anything at all.
    pub heard_ms: f64,
    /// All that it states, held versions included.
    pub states: View,
    /// What the guard has let through of it.
    pub stands: View,
    pub stands_version: (u64, u64),
    pub drains: BTreeMap<WorkerId, Drain>,
    /// Of the text that its last version was read from.
    pub fingerprint: Option<u64>,
    pub refused: u64,
    pub last_refused: Option<String>,
}

impl Source {
    pub fn known_version(&self) -> Option<(u64, u64)> {
        Some((self.epoch, self.version?))
    }

    /// Takes in one version. Numbers only go forward within an epoch; a service that started anew counts them anew, and
    /// its whole list is taken, however low. Harm: a stray old service is heard; what its list takes away is held, and
    /// the drains that stood stay doubted for a while.
    ///
    /// # Errors
    /// ExcessRemoval the version is refused; what was stated before still is.
    pub fn state(
        &mut self,
        checks: &Checks,
        now_ms: f64,
        list: &ServerList,
        fingerprint: Option<u64>,
    ) -> Result<VersionOutcome, VersionError> {
        self.heard_ms = now_ms;
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
        let rows = entry::rows(checks, now_ms, &list.servers, &self.states)
            .map_err(|(server, what)| VersionError::Entry { server, what })?;
        let changed: Vec<_> = rows.iter().map(|row| row.listing.worker.clone()).collect();
        let mut states = if whole { View::new() } else { self.states.clone() };
        states.extend(rows.into_iter().map(|row| (row.listing.worker.clone(), Arc::new(row))));
        if let Some((one, other)) = entry::same_address(&states, (!whole).then_some(&changed[..])) {
            let what = format!("has the address of '{:.64}'", one.0);
            return Err(VersionError::Entry { server: other.0.to_string(), what });
        }
        if states.values().all(|row| row.gone()) {
            return Err(VersionError::Empty);
        }
        if states.values().filter(|row| row.usable()).all(|row| row.listing.weight <= 0.0)
            && states.values().any(|row| row.usable())
        {
            return Err(VersionError::NoWeight);
        }
        self.drains_of(now_ms, &states, (list.epoch, list.version));
        (self.epoch, self.version) = (list.epoch, Some(list.version));
        self.states = states;
        self.fingerprint = fingerprint;
        Ok(VersionOutcome::New { whole })
    }

    /// Drains begin with the word; they end with a newer word of the same source, with another process under the name,
    /// or with one that may be older only once it was doubted long enough.
    fn drains_of(&mut self, now_ms: f64, next: &View, (epoch, version): (u64, u64)) {
        let (old, stands) = (&self.states, &self.stands);
        self.drains.retain(|worker, drain| {
            // Left out: what was said of it stands as long as it is acted on.
            let Some(row) = next.get(worker) else { return stands.contains_key(worker) };
            let another = old
                .get(worker)
                .is_some_and(|old| (old.entry.start, old.address) != (row.entry.start, row.address));
            match row.listing.readiness {
                // Who is called gone by name gets no new work either, whatever becomes of the version.
                Readiness::Draining | Readiness::Gone => {
                    // Another word than before, or the same after it said otherwise: this is a drain anew.
                    let other =
                        old.get(worker).is_none_or(|old| old.listing.readiness != row.listing.readiness);
                    if drain.denied() || other {
                        drain.since_ms = now_ms;
                    }
                    (drain.epoch, drain.version) = (epoch, version);
                    (drain.doubted_ms, drain.denied) = (None, false);
                    true
                }
                Readiness::Ready if another => false,
                Readiness::Ready if epoch == drain.epoch => {
                    drain.denied = true;
                    version <= drain.version
                }
                Readiness::Ready if version > drain.version => false,
                Readiness::Ready => {
                    drain.doubted_ms.get_or_insert(now_ms);
                    true
                }
            }
        });
        for (worker, _) in next.iter().filter(|(_, row)| !row.usable()) {
            self.drains.entry(worker.clone()).or_insert(Drain {
                since_ms: now_ms,
                epoch,
                version,
                doubted_ms: None,
                denied: false,
            });
        }
    }

    /// A drain of before the start.
    pub fn drained_before(&mut self, worker: WorkerId, since_ms: f64, saved: &SavedDrain) {
        let SavedDrain { epoch, version, contradicted, .. } = *saved;
        self.drains
            .insert(worker, Drain { since_ms, epoch, version, doubted_ms: None, denied: contradicted });
    }

    /// Ends drains that were doubted for so long.
    pub fn doubts(&mut self, now_ms: f64, hold_ms: f64) {
        self.drains.retain(|_, drain| drain.doubted_ms.is_none_or(|since| now_ms < since + hold_ms));
    }

    /// When the next of them ends.
    pub fn doubts_end_ms(&self, hold_ms: f64) -> Option<f64> {
        self.drains
            .values()
            .filter_map(|drain| drain.doubted_ms)
            .map(|since| since + hold_ms)
            .min_by(f64::total_cmp)
    }
}
