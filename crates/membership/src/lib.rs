//! Decides which servers exist and which of them may receive work. Inputs are list versions from several
//! sources, operator commands, and connection results. The output is one effective server list, as rows for
//! the scheduling core.
//!
//! Rules in short (`docs/design/membership.md` discusses the alternatives):
//! - Versions of a source only increase. A version with an invalid entry is refused as a whole.
//! - The file leads where there is one, else the list service, else the saved list. A lead that goes silent
//!   is reported as stale, but stays the lead until another source has servers and is not stale.
//! - Drains of every source and of the operators take effect at once. Only a newer version of the same
//!   source, a new process under the server's name, or an operator ends them.
//! - A version that removes too many servers at once is held until it is confirmed: by another source, by
//!   failed connections, by an operator, or by a period in which none of the removed servers answered.
//! - A server that returns too often is quarantined for a while.

pub mod backoff;
mod damping;
mod entry;
mod guard;
pub mod reload;
mod source;
mod status;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use paddleproxy::interface::{ListKind, Listing, Readiness, Role, WorkerId};
use paddleproxy_engine::{ServerEntry, ServerList};
pub use paddleproxy_settings::router::MembershipRules as Rules;
use serde::{Deserialize, Serialize};

use crate::damping::Damping;
use crate::entry::{ConfiguredNames, Row, View};
use crate::source::Source;
pub use crate::source::{SourceId, VersionOutcome};
pub use crate::status::{Phase, ServerStatus, SourceStatus, Status};

/// The effect of an input on the effective list.
#[derive(Clone, Debug)]
pub enum ListUpdate {
    /// Rows for the scheduling core.
    Listed { kind: ListKind, rows: Arc<[Listing]> },
    /// Nothing changed.
    Unchanged,
    /// The version is a delta to a version that is not known here: the whole list is needed.
    WholeNeeded,
}

/// Why a version was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VersionError {
    #[error("version {got} is older than version {have}, which is already known")]
    Older { got: u64, have: u64 },
    #[error("server '{server}': {what}")]
    Entry { server: String, what: String },
    #[error("the list contains no servers")]
    Empty,
    #[error("version {version} was read before with different content; a change needs a higher version")]
    Changed { version: u64 },
    #[error("every usable server has weight 0")]
    NoWeight,
}

/// What an operator may command for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OperatorCommand {
    Drain,
    Undrain,
    Quarantine,
}

/// A command and when it was issued, in ms on the router's clock.
#[derive(Clone, Copy, Debug)]
struct IssuedCommand {
    command: OperatorCommand,
    at_ms: f64,
}

/// An operator command as saved for the next start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SavedCommand {
    pub server: String,
    #[serde(rename = "word")]
    pub command: OperatorCommand,
    /// Time since it was issued, in ms.
    pub ago_ms: f64,
}

/// A drain reported by a source, as saved for the next start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SavedDrain {
    pub server: String,
    pub source: SourceId,
    pub epoch: u64,
    pub version: u64,
    /// Time since it was reported, in ms.
    pub ago_ms: f64,
    /// The source has since reported another readiness, in a version that may be older or that was held.
    #[serde(default, rename = "denied")]
    pub contradicted: bool,
}

/// The server list as saved for the next start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SavedList {
    #[serde(default)]
    pub epoch: u64,
    pub version: u64,
    /// Wall clock time of saving, in ms since 1970; the saved ages are relative to it.
    pub saved_at_ms: f64,
    pub servers: Vec<ServerEntry>,
    /// Operator commands.
    #[serde(default, rename = "words")]
    pub commands: Vec<SavedCommand>,
    /// Drains reported by any source.
    #[serde(default)]
    pub drains: Vec<SavedDrain>,
    /// Version of the servers file, if the file was the lead.
    #[serde(default)]
    pub file: Option<u64>,
    /// Fingerprint of the text of that file.
    #[serde(default)]
    pub fingerprint: Option<u64>,
}

/// State of one server. Kept while the server is listed, and for a limited time after.
#[derive(Debug, Default)]
struct Server {
    command: Option<IssuedCommand>,
    damping: Damping,
    /// When a dispatch or probe last failed to connect since the last answer, and when one last succeeded.
    unreachable_ms: Option<f64>,
    reachable_ms: Option<f64>,
    /// When it left the list.
    delisted_ms: Option<f64>,
}

/// A version that is held until it is confirmed.
#[derive(Clone, Debug)]
pub struct HeldVersion {
    pub source: SourceId,
    pub version: (u64, u64),
    pub reason: guard::ExcessRemoval,
    pub since_ms: f64,
    removed: BTreeSet<WorkerId>,
    probed_ms: f64,
}

/// Maximum number of unlisted servers whose state is kept.
const DELISTED_SERVERS_MAX: usize = 4096;

/// The server list of one router.
pub struct Membership {
    names: ConfiguredNames,
    rules: Rules,
    sources: BTreeMap<SourceId, Source>,
    lead: Option<SourceId>,
    /// Source that the saved list came from.
    saved_source: Option<SourceId>,
    servers: BTreeMap<WorkerId, Server>,
    /// The effective list as last published to the scheduling core. Also resolves addresses.
    active: BTreeMap<WorkerId, Arc<Row>>,
    held: Option<HeldVersion>,
    held_total: u64,
    /// Increases with each change of the effective list.
    revision: u64,
}

impl Membership {
    pub fn new(zones: Vec<String>, kinds: Vec<(String, Role)>, rules: Rules) -> Self {
        Membership {
            names: ConfiguredNames { zones, kinds },
            rules,
            sources: BTreeMap::new(),
            lead: None,
            saved_source: None,
            servers: BTreeMap::new(),
            active: BTreeMap::new(),
            held: None,
            held_total: 0,
            revision: 0,
        }
    }

    /// The latest version of a source, from which the next delta is requested; None requests the whole list.
    pub fn known_version(&self, source: SourceId) -> Option<(u64, u64)> {
        self.sources.get(&source)?.known_version()
    }

    /// The lead's version that is in effect.
    pub fn version(&self) -> Option<u64> {
        let lead = self.sources.get(&self.lead?)?;
        lead.version.map(|_| lead.accepted_version.1)
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn address(&self, worker: &WorkerId) -> Option<SocketAddr> {
        self.active.get(worker).map(|row| row.address)
    }

    /// The start number of the process at each server, as counted by its source.
    pub fn starts(&self) -> BTreeMap<String, u64> {
        self.active.iter().map(|(worker, row)| (worker.0.to_string(), row.entry.start)).collect()
    }

    pub fn start(&self, worker: &WorkerId) -> Option<u64> {
        self.active.get(worker).map(|row| row.entry.start)
    }

    pub fn len(&self) -> usize {
        self.active.len()
    }

    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Versions held since the start of the router.
    pub fn held_total(&self) -> u64 {
        self.held_total
    }

    /// Versions of all sources refused since the start of the router.
    pub fn refused_total(&self) -> u64 {
        self.sources.values().map(|source| source.refused).sum()
    }

    pub fn held(&self) -> Option<&HeldVersion> {
        self.held.as_ref()
    }

    /// Applies one version of a source.
    ///
    /// # Errors
    /// Why the version is refused; the previous version stays in effect.
    pub fn apply_version(
        &mut self,
        now_ms: f64,
        source_id: SourceId,
        list: &ServerList,
    ) -> Result<ListUpdate, VersionError> {
        self.apply_version_from_text(now_ms, source_id, list, None)
    }

    /// Applies a version that was read from a text. The fingerprint detects a text that changed under the
    /// same version.
    ///
    /// # Errors
    /// As for `apply_version`, and a text that changed without a higher version.
    pub fn apply_version_from_text(
        &mut self,
        now_ms: f64,
        source_id: SourceId,
        list: &ServerList,
        fingerprint: Option<u64>,
    ) -> Result<ListUpdate, VersionError> {
        let source = self.sources.entry(source_id).or_default();
        match source.apply(&self.names, now_ms, list, fingerprint) {
            Ok(VersionOutcome::New { whole }) => {
                let kind = if whole { ListKind::Whole } else { ListKind::Changes };
                Ok(self.reconcile(now_ms, kind))
            }
            Ok(VersionOutcome::Unchanged) => Ok(self.reconcile(now_ms, ListKind::Changes)),
            Ok(VersionOutcome::WholeNeeded) => Ok(ListUpdate::WholeNeeded),
            Err(refused) => {
                source.refused += 1;
                source.last_refused = Some(refused.to_string());
                Err(refused)
            }
        }
    }

    /// A source responded without a new version.
    pub fn source_unchanged(&mut self, now_ms: f64, source_id: SourceId) {
        if let Some(source) = self.sources.get_mut(&source_id) {
            source.last_contact_ms = now_ms;
        }
    }

    /// A source delivered a list that could not be parsed.
    pub fn source_unreadable(&mut self, source_id: SourceId, why: &str) {
        let source = self.sources.entry(source_id).or_default();
        source.refused += 1;
        source.last_refused = Some(why.to_owned());
    }

    /// Restores the list saved by an earlier run, which may be old.
    ///
    /// # Errors
    /// Why it is refused; the router then starts without a list.
    pub fn recover(
        &mut self,
        now_ms: f64,
        wall_ms: f64,
        saved: &SavedList,
    ) -> Result<ListUpdate, VersionError> {
        // A wall clock that was set back must not make processes younger.
        let downtime_ms = (wall_ms - saved.saved_at_ms).max(0.0);
        let aged = |entry: &ServerEntry| ServerEntry {
            age_ms: entry.age_ms.map(|age| age + downtime_ms),
            ..entry.clone()
        };
        let servers = saved.servers.iter().map(aged).collect();
        let list = ServerList { epoch: saved.epoch, version: saved.version, after: None, servers };
        let source = self.sources.entry(SourceId::Saved).or_default();
        source.apply(&self.names, now_ms, &list, None)?;
        for saved_command in &saved.commands {
            let worker = WorkerId(Arc::from(saved_command.server.as_str()));
            let at_ms = now_ms - downtime_ms - saved_command.ago_ms.max(0.0);
            self.servers.entry(worker).or_default().command =
                Some(IssuedCommand { command: saved_command.command, at_ms });
        }
        // Restores the version of the original source, so that the same version received again is not applied
        // as new.
        let (lead, epoch, version) = match saved.file {
            Some(version) => (SourceId::File, 0, version),
            None => (SourceId::Service, saved.epoch, saved.version),
        };
        let reported = self.sources[&SourceId::Saved].reported.clone();
        let silent = || Source { last_contact_ms: f64::NEG_INFINITY, ..Source::default() };
        let fingerprint = saved.fingerprint.filter(|_| saved.file.is_some());
        let restored = Source { epoch, version: Some(version), reported, fingerprint, ..silent() };
        self.sources.insert(lead, restored);
        self.saved_source = Some(lead);
        for drain in &saved.drains {
            let worker = WorkerId(Arc::from(drain.server.as_str()));
            let since_ms = now_ms - downtime_ms - drain.ago_ms.max(0.0);
            let source = self.sources.entry(drain.source).or_insert_with(silent);
            source.restore_drain(worker, since_ms, drain);
        }
        if let Some(source) = self.sources.get_mut(&SourceId::Saved) {
            // Each drain is restored with the source that reported it.
            source.drains.clear();
        }
        Ok(self.reconcile(now_ms, ListKind::Saved))
    }

    /// The accepted list, for the next start.
    pub fn save(&self, now_ms: f64, wall_ms: f64) -> Option<SavedList> {
        let lead = self.lead?;
        let source = self.sources.get(&lead)?;
        let entry = |row: &Arc<Row>| ServerEntry {
            age_ms: row.listing.started_ms.map(|started| (now_ms - started).max(0.0)),
            ..row.entry.clone()
        };
        let servers = source.accepted.values().map(entry).collect();
        let saved_command = |(worker, server): (&WorkerId, &Server)| {
            let issued = server.command?;
            Some(SavedCommand {
                server: worker.0.to_string(),
                command: issued.command,
                ago_ms: (now_ms - issued.at_ms).max(0.0),
            })
        };
        let commands = self.servers.iter().filter_map(saved_command).collect();
        let source_id = if lead == SourceId::Saved { self.saved_source } else { Some(lead) };
        let accepted = &source.accepted;
        let drain = |(id, source): (&SourceId, &Source)| {
            // The next start resumes from the accepted list and does not know the held version. If the held
            // version reports another readiness, the same drain reported after the restart is a new drain,
            // which an earlier undrain by an operator does not end.
            let contradicted_in_held = |worker: &WorkerId| {
                let reported_readiness = |view: &View| view.get(worker).map(|row| row.listing.readiness);
                source_id == Some(*id) && reported_readiness(&source.reported) != reported_readiness(accepted)
            };
            let rows = source.drains.iter().map(|(worker, drain)| SavedDrain {
                server: worker.0.to_string(),
                source: *id,
                epoch: drain.epoch,
                version: drain.version,
                ago_ms: (now_ms - drain.since_ms).max(0.0),
                contradicted: drain.is_contradicted() || contradicted_in_held(worker),
            });
            rows.collect::<Vec<_>>()
        };
        let drains = self.sources.iter().flat_map(drain).collect();
        let (epoch, version) = source.accepted_version;
        let file = (source_id == Some(SourceId::File)).then_some(version);
        Some(SavedList {
            epoch,
            version,
            saved_at_ms: wall_ms,
            servers,
            commands,
            drains,
            file,
            fingerprint: source_id
                .and_then(|source_id| self.sources.get(&source_id))
                .and_then(|source| source.fingerprint)
                .filter(|_| file.is_some()),
        })
    }

    /// Applies an operator command; None if there is no such server.
    pub fn apply_command(
        &mut self,
        now_ms: f64,
        server: &str,
        command: OperatorCommand,
    ) -> Option<ListUpdate> {
        let worker = WorkerId(Arc::from(server));
        if !self.active.contains_key(&worker) && !self.servers.contains_key(&worker) {
            return None;
        }
        self.servers.entry(worker).or_default().command = Some(IssuedCommand { command, at_ms: now_ms });
        Some(self.reconcile(now_ms, ListKind::Changes))
    }

    /// Accepts the held version on an operator's command; None if no version is held.
    pub fn accept_held(&mut self, now_ms: f64) -> Option<ListUpdate> {
        let held = self.held.take()?;
        self.accept_latest(held.source);
        Some(self.reconcile(now_ms, ListKind::Whole))
    }

    /// Records whether a dispatch or probe could connect to the server.
    pub fn observe(&mut self, now_ms: f64, worker: &WorkerId, reachable: bool) -> ListUpdate {
        let Some(server) = self.servers.get_mut(worker) else { return ListUpdate::Unchanged };
        match reachable {
            true => (server.reachable_ms, server.unreachable_ms) = (Some(now_ms), None),
            false => server.unreachable_ms = Some(now_ms),
        }
        let awaited = self.held.as_ref().is_some_and(|held| held.removed.contains(worker));
        if awaited {
            self.reconcile(now_ms, ListKind::Changes)
        } else {
            ListUpdate::Unchanged
        }
    }

    /// Re-evaluates what depends on time; due when `next_wake_ms` says so.
    pub fn tick(&mut self, now_ms: f64) -> ListUpdate {
        self.reconcile(now_ms, ListKind::Changes)
    }

    /// When time alone next changes something.
    pub fn next_wake_ms(&self, now_ms: f64) -> Option<f64> {
        let held = self.held.as_ref().map(|held| held.probed_ms + self.probe_interval_ms());
        let quarantined = self
            .servers
            .values()
            .map(|server| server.damping.quarantined_until_ms())
            .filter(|at| *at > now_ms);
        let drain_ends =
            self.sources.values().filter_map(|source| source.next_drain_end_ms(self.rules.hold_ms));
        let all = held.into_iter().chain(quarantined).chain(drain_ends);
        // At least 1 ms ahead, so that an overdue deadline can't cause a busy loop.
        all.map(|at| at.max(now_ms + 1.0)).min_by(f64::total_cmp)
    }

    fn probe_interval_ms(&self) -> f64 {
        self.rules.hold_ms / 8.0
    }

    /// Removed servers of the held version that should be probed now; at most once per probe interval.
    pub fn due_probes(&mut self, now_ms: f64) -> Vec<WorkerId> {
        let interval_ms = self.probe_interval_ms();
        match &mut self.held {
            Some(held) if now_ms >= held.probed_ms + interval_ms => {
                held.probed_ms = now_ms;
                held.removed.iter().cloned().collect()
            }
            _ => Vec::new(),
        }
    }

    fn accept_latest(&mut self, source_id: SourceId) {
        let source = self.sources.get_mut(&source_id);
        if let Some(source) = source.filter(|source| {
            Some(source.accepted_version) != source.known_version() || source.accepted.is_empty()
        }) {
            source.accepted = source.reported.clone();
            source.accepted_version = source.known_version().unwrap_or_default();
        }
    }

    /// The first source that has servers and is not stale; without one, the current lead stays.
    fn leader(&self, now_ms: f64) -> Option<SourceId> {
        let stale = |source: &Source| now_ms - source.last_contact_ms > self.rules.stale_ms;
        let has_servers = |source: &Source| source.reported.values().any(|row| !row.gone());
        let live = self.sources.iter().filter(|(id, _)| **id != SourceId::Saved);
        let live = live.filter(|(_, source)| has_servers(source) && !stale(source)).map(|(id, _)| *id).next();
        live.or(self.lead).or_else(|| self.sources.contains_key(&SourceId::Saved).then_some(SourceId::Saved))
    }

    /// Removed servers that are confirmed gone by failed connections or by another source.
    fn confirmed_gone(
        &self,
        now_ms: f64,
        source_id: SourceId,
        removed: &BTreeSet<WorkerId>,
    ) -> BTreeSet<WorkerId> {
        let oldest_ms = now_ms - self.rules.hold_ms;
        let unreachable = |worker: &&WorkerId| {
            let server = self.servers.get(*worker);
            server.and_then(|server| server.unreachable_ms).is_some_and(|at| at >= oldest_ms)
        };
        let others = || {
            let others = self.sources.iter().filter(|(id, _)| **id != source_id && **id != SourceId::Saved);
            others.filter(|(_, source)| {
                now_ms - source.last_contact_ms <= self.rules.stale_ms && !source.reported.is_empty()
            })
        };
        let reported_gone = |worker: &&WorkerId| {
            others().any(|(_, source)| source.reported.get(*worker).is_none_or(|row| row.gone()))
        };
        removed.iter().filter(|worker| unreachable(worker) || reported_gone(worker)).cloned().collect()
    }

    /// Whether the hold time confirms the removal: it has passed, and no removed server answered within it.
    fn hold_expired(&self, now_ms: f64, held: &HeldVersion) -> bool {
        let answered = |worker: &WorkerId| {
            let at = self.servers.get(worker).and_then(|server| server.reachable_ms);
            at.is_some_and(|at| at > now_ms - self.rules.hold_ms)
        };
        now_ms >= held.since_ms + self.rules.hold_ms && !held.removed.iter().any(answered)
    }

    /// Whether a version removes too many accepted servers, and which servers it removes.
    fn excess_removal(
        &self,
        now_ms: f64,
        source_id: SourceId,
    ) -> Option<(guard::ExcessRemoval, BTreeSet<WorkerId>)> {
        let source = self.sources.get(&source_id)?;
        let accepted = &self.sources.get(&self.lead?)?.accepted;
        if self.lead == Some(source_id)
            && source.accepted_version == source.known_version().unwrap_or_default()
        {
            return None;
        }
        let removed = guard::removed(accepted, &source.reported);
        let confirmed = self.confirmed_gone(now_ms, source_id, &removed);
        let max_share = self.rules.most_removed;
        let reason =
            guard::excess_removal(&self.names, accepted, &source.reported, &removed, &confirmed, max_share)?;
        Some((reason, removed))
    }

    /// Re-evaluates the lead and the held version, and publishes what changed.
    fn reconcile(&mut self, now_ms: f64, kind: ListKind) -> ListUpdate {
        for source in self.sources.values_mut() {
            source.end_contradicted_drains(now_ms, self.rules.hold_ms);
        }
        let Some(lead) = self.leader(now_ms) else { return ListUpdate::Unchanged };
        match self.excess_removal(now_ms, lead) {
            None => {
                self.held = None;
                self.accept_latest(lead);
                self.lead = Some(lead);
            }
            Some((reason, removed)) => {
                let version = self.sources.get(&lead).and_then(Source::known_version).unwrap_or_default();
                let before = self.held.take().filter(|held| held.source == lead);
                self.held_total += u64::from(before.is_none());
                let since_ms = before.as_ref().map_or(now_ms, |held| held.since_ms);
                let probed_ms = before.map_or(f64::NEG_INFINITY, |held| held.probed_ms);
                let held = HeldVersion { source: lead, version, reason, since_ms, removed, probed_ms };
                if self.hold_expired(now_ms, &held) {
                    self.accept_latest(lead);
                    self.lead = Some(lead);
                } else {
                    self.held = Some(held);
                    // Meanwhile the previous lead stays in effect, under the same check.
                    let before = self.lead.filter(|before| *before != lead);
                    if let Some(before) =
                        before.filter(|before| self.excess_removal(now_ms, *before).is_none())
                    {
                        self.accept_latest(before);
                    }
                }
            }
        }
        self.publish(now_ms, kind)
    }

    /// The effective list: the lead's accepted list with all drains and operator commands applied.
    fn effective_view(&self, now_ms: f64) -> View {
        let accepted = self.lead.and_then(|lead| self.sources.get(&lead)).map(|source| &source.accepted);
        let mut view = View::new();
        for (worker, row) in accepted.into_iter().flatten() {
            let readiness = self.readiness(now_ms, worker, row);
            let row = if readiness == row.listing.readiness {
                row.clone()
            } else {
                let listing = Listing { readiness, ..row.listing.clone() };
                Arc::new(Row { listing, ..Row::clone(row) })
            };
            view.insert(worker.clone(), row);
        }
        view
    }

    /// Start of the latest drain among all sources that drain the server.
    fn drained_ms(&self, worker: &WorkerId) -> Option<f64> {
        let drains = self.sources.values().filter_map(|source| source.drains.get(worker));
        drains.map(|drain| drain.since_ms).max_by(f64::total_cmp)
    }

    fn readiness(&self, now_ms: f64, worker: &WorkerId, row: &Row) -> Readiness {
        if row.gone() {
            return Readiness::Gone;
        }
        let server = self.servers.get(worker);
        let issued = server.and_then(|server| server.command);
        let quarantined = server.is_some_and(|server| server.damping.is_quarantined(now_ms));
        let drained_ms = self.drained_ms(worker);
        match issued {
            Some(IssuedCommand { command: OperatorCommand::Drain | OperatorCommand::Quarantine, .. }) => {
                Readiness::Draining
            }
            // Issued after every drain reported by a source.
            Some(IssuedCommand { command: OperatorCommand::Undrain, at_ms })
                if drained_ms.is_none_or(|since| at_ms >= since) =>
            {
                Readiness::Ready
            }
            _ if drained_ms.is_some() || quarantined => Readiness::Draining,
            _ => Readiness::Ready,
        }
    }

    /// Compares the effective list with the published one and returns the changes.
    fn publish(&mut self, now_ms: f64, kind: ListKind) -> ListUpdate {
        let mut next = self.effective_view(now_ms);
        // A return that exceeds the flap limit quarantines the server before it receives any work.
        if self.record_returns(now_ms, &next) {
            next = self.effective_view(now_ms);
        }
        let (mut rows, mut changed, mut listed_set_changed): (Vec<Listing>, bool, bool) =
            (Vec::new(), false, false);
        for (was, now) in entry::merge_join(&self.active, &next) {
            listed_set_changed |= was.is_none() || now.is_none();
            match (was, now) {
                (_, Some(now)) => {
                    let unchanged = was.is_some_and(|was| rows_equal(was, now));
                    changed |= !unchanged;
                    if kind != ListKind::Changes || !unchanged {
                        rows.push(now.listing.clone());
                    }
                }
                (Some(was), None) => {
                    changed = true;
                    if !was.gone() {
                        rows.push(Listing { readiness: Readiness::Gone, ..was.listing.clone() });
                    }
                }
                (None, None) => {}
            }
        }
        if changed {
            self.revision += 1;
            // The address of a gone server is kept until a whole list omits the server, since a dispatch may
            // still be in flight.
            self.active = next;
        }
        if listed_set_changed {
            self.prune_servers(now_ms);
        }
        if rows.is_empty() || !changed && kind == ListKind::Changes {
            return ListUpdate::Unchanged;
        }
        ListUpdate::Listed { kind, rows: rows.into() }
    }

    /// Counts returns of servers that were gone; true if one of them is quarantined for it. The end of a
    /// drain is intended and does not count as a return.
    fn record_returns(&mut self, now_ms: f64, next: &View) -> bool {
        let returned = entry::merge_join(&self.active, next).filter_map(|(was, now)| {
            let now = now.filter(|now| now.usable())?;
            let worker = &now.listing.worker;
            let was_delisted = || self.servers.get(worker).is_some_and(|server| server.delisted_ms.is_some());
            was.map_or_else(was_delisted, |was| was.gone()).then(|| worker.clone())
        });
        let mut quarantined = false;
        for worker in returned.collect::<Vec<_>>() {
            let server = self.servers.entry(worker).or_default();
            server.delisted_ms = None;
            if !server.damping.is_quarantined(now_ms) {
                let Rules { flaps, flap_window_ms, quarantine_ms, .. } = self.rules;
                server.damping.record_return(now_ms, flaps, flap_window_ms, quarantine_ms);
                quarantined |= server.damping.is_quarantined(now_ms);
            }
        }
        quarantined
    }

    /// Aligns the server states with the effective list. The state of a server that left is kept while it
    /// matters, so that its quarantine survives a return. The number of kept states is limited, since names
    /// may change without end.
    fn prune_servers(&mut self, now_ms: f64) {
        let (active, flap_window_ms) = (&self.active, self.rules.flap_window_ms);
        let mut remaining = DELISTED_SERVERS_MAX;
        self.servers.retain(|worker, server| {
            if active.contains_key(worker) {
                server.delisted_ms = None;
                return true;
            }
            server.delisted_ms.get_or_insert(now_ms);
            let withdrawn = matches!(
                server.command,
                Some(IssuedCommand { command: OperatorCommand::Drain | OperatorCommand::Quarantine, .. })
            );
            let recent = server.delisted_ms.is_some_and(|since| now_ms - since < flap_window_ms);
            let keep = (withdrawn || recent || server.damping.is_quarantined(now_ms)) && remaining > 0;
            remaining -= usize::from(keep);
            keep
        });
        for worker in self.active.keys() {
            self.servers.entry(worker.clone()).or_default();
        }
    }
}

/// Whether two rows are equal for the scheduling core and for connections.
fn rows_equal(old: &Arc<Row>, new: &Arc<Row>) -> bool {
    let bits = |row: &Row| (row.listing.weight.to_bits(), row.listing.started_ms.map(f64::to_bits));
    let (a, b) = (&old.listing, &new.listing);
    Arc::ptr_eq(old, new)
        || (a.zone, a.kind, a.cell, a.readiness) == (b.zone, b.kind, b.cell, b.readiness)
            && bits(old) == bits(new)
            && old.address == new.address
}
