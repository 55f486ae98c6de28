//! Which servers exist and what they may get. Versions of several sources, the operators' words and what the sockets
//! saw go in; the one list that the router acts on comes out, as rows for the decisions.
//!
//! Rules, in short (`docs/design/membership.md` has the options):
//! - Each source's versions only go forward. A version with an entry that can't be believed is refused whole.
//! - The file leads where there is one, else the service, else the saved list; a silent lead keeps the lead, and is
//!   said to be stale, until another source that is not stale has something to say.
//! - Drains of every source and of the operators count at once; only a newer word of the same source, another process
//!   under the name, or the operators end them.
//! - A version that takes away too much at once is held until another word says the same: another source, the
//!   sockets, the operators, or time in which no server that it takes away answered.
//! - A server that comes back too often is set aside for a while.

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
use crate::entry::{Checks, Row, View};
use crate::source::Source;
pub use crate::source::{SourceId, VersionOutcome};
pub use crate::status::{Phase, ServerStatus, SourceStatus, Status};

/// What a word comes to.
#[derive(Clone, Debug)]
pub enum ListUpdate {
    /// To be told to the decisions.
    Listed { kind: ListKind, rows: Arc<[Listing]> },
    /// Nothing new to act on.
    Unchanged,
    /// Changes on a version that we do not have: the whole is needed.
    WholeNeeded,
}

/// A version that is not taken, and why.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VersionError {
    #[error("version {got} is older than version {have}, which stands")]
    Older { got: u64, have: u64 },
    #[error("server '{server}': {what}")]
    Entry { server: String, what: String },
    #[error("a list without any server")]
    Empty,
    #[error("version {version} says something else than before; a change needs a higher version")]
    Changed { version: u64 },
    #[error("every usable server has weight 0")]
    NoWeight,
}

/// What operators may say of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OperatorCommand {
    Drain,
    Undrain,
    Quarantine,
}

/// A word and when it was said, in ms on the router's clock.
#[derive(Clone, Copy, Debug)]
struct Said {
    word: OperatorCommand,
    at_ms: f64,
}

/// A word as it is kept for the next start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SavedCommand {
    pub server: String,
    #[serde(rename = "word")]
    pub command: OperatorCommand,
    /// How long ago it was said, in ms.
    pub ago_ms: f64,
}

/// A drain that a source stated, as it is kept for the next start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SavedDrain {
    pub server: String,
    pub source: SourceId,
    pub epoch: u64,
    pub version: u64,
    /// How long ago it was stated, in ms.
    pub ago_ms: f64,
    /// Its source has said otherwise since, by a word that may be older or in a version that was held.
    #[serde(default, rename = "denied")]
    pub contradicted: bool,
}

/// The list as it is kept for the next start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SavedList {
    #[serde(default)]
    pub epoch: u64,
    pub version: u64,
    /// Wall clock at which it was saved, in ms since 1970; ages count from there.
    pub saved_at_ms: f64,
    pub servers: Vec<ServerEntry>,
    /// The operators' words.
    #[serde(default, rename = "words")]
    pub commands: Vec<SavedCommand>,
    /// Drains of all sources.
    #[serde(default)]
    pub drains: Vec<SavedDrain>,
    /// The version of the file that led, if one did.
    #[serde(default)]
    pub file: Option<u64>,
    /// Fingerprint of that file's text.
    #[serde(default)]
    pub fingerprint: Option<u64>,
}

/// Lives as long as a server is listed.
#[derive(Debug, Default)]
struct Server {
    said: Option<Said>,
    damping: Damping,
    /// Dispatches or probes that found nobody there, or somebody, and when.
    missing_ms: Option<f64>,
    answered_ms: Option<f64>,
    /// Since when it is off the list.
    gone_ms: Option<f64>,
}

/// A version that waits for a second word.
#[derive(Clone, Debug)]
pub struct HeldVersion {
    pub source: SourceId,
    pub version: (u64, u64),
    pub reason: guard::ExcessRemoval,
    pub since_ms: f64,
    taken: BTreeSet<WorkerId>,
    asked_ms: f64,
}

/// Servers that left of which something is remembered.
const LEFT_MAX: usize = 4096;

/// Lives as long as the router.
pub struct Membership {
    checks: Checks,
    rules: Rules,
    sources: BTreeMap<SourceId, Source>,
    lead: Option<SourceId>,
    /// Whose list the saved one is.
    recovered_of: Option<SourceId>,
    servers: BTreeMap<WorkerId, Server>,
    /// What was last told to the decisions, and the addresses of all that were.
    acted: BTreeMap<WorkerId, Arc<Row>>,
    held: Option<HeldVersion>,
    held_total: u64,
    /// Grows with each change of what is acted on.
    revision: u64,
}

impl Membership {
    pub fn new(zones: Vec<String>, kinds: Vec<(String, Role)>, rules: Rules) -> Self {
        Membership {
            checks: Checks { zones, kinds },
            rules,
            sources: BTreeMap::new(),
            lead: None,
            recovered_of: None,
            servers: BTreeMap::new(),
            acted: BTreeMap::new(),
            held: None,
            held_total: 0,
            revision: 0,
        }
    }

    /// The version that a source last stated, to ask on from; None for the whole.
    pub fn known_version(&self, source: SourceId) -> Option<(u64, u64)> {
        self.sources.get(&source)?.known_version()
    }

    /// The version of the lead that is acted on.
    pub fn version(&self) -> Option<u64> {
        let lead = self.sources.get(&self.lead?)?;
        lead.version.map(|_| lead.stands_version.1)
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn address(&self, worker: &WorkerId) -> Option<SocketAddr> {
        self.acted.get(worker).map(|row| row.address)
    }

    /// The process that runs at each server, by its source's count.
    pub fn starts(&self) -> BTreeMap<String, u64> {
        self.acted.iter().map(|(worker, row)| (worker.0.to_string(), row.entry.start)).collect()
    }

    pub fn start(&self, worker: &WorkerId) -> Option<u64> {
        self.acted.get(worker).map(|row| row.entry.start)
    }

    pub fn len(&self) -> usize {
        self.acted.len()
    }

    pub fn is_empty(&self) -> bool {
        self.acted.is_empty()
    }

    /// Versions that were held since the start.
    pub fn held_total(&self) -> u64 {
        self.held_total
    }

    /// Versions of all sources that were refused since the start.
    pub fn refused_total(&self) -> u64 {
        self.sources.values().map(|source| source.refused).sum()
    }

    pub fn held(&self) -> Option<&HeldVersion> {
        self.held.as_ref()
    }

    /// Takes in one version of a source, at our clock.
    ///
    /// # Errors
    /// ExcessRemoval the version is refused; what stood before still stands.
    pub fn apply_version(
        &mut self,
        now_ms: f64,
        of: SourceId,
        list: &ServerList,
    ) -> Result<ListUpdate, VersionError> {
        self.apply_version_from_text(now_ms, of, list, None)
    }

    /// The same for a version that was read from a text, whose fingerprint tells whether it is still the same text.
    ///
    /// # Errors
    /// As for `hear`, and a text that changed under its version.
    pub fn apply_version_from_text(
        &mut self,
        now_ms: f64,
        of: SourceId,
        list: &ServerList,
        fingerprint: Option<u64>,
    ) -> Result<ListUpdate, VersionError> {
        let source = self.sources.entry(of).or_default();
        match source.state(&self.checks, now_ms, list, fingerprint) {
            Ok(VersionOutcome::New { whole }) => {
                let kind = if whole { ListKind::Whole } else { ListKind::Changes };
                Ok(self.settle(now_ms, kind))
            }
            Ok(VersionOutcome::Unchanged) => Ok(self.settle(now_ms, ListKind::Changes)),
            Ok(VersionOutcome::WholeNeeded) => Ok(ListUpdate::WholeNeeded),
            Err(refused) => {
                source.refused += 1;
                source.last_refused = Some(refused.to_string());
                Err(refused)
            }
        }
    }

    /// A source is there and has nothing new to say.
    pub fn source_unchanged(&mut self, now_ms: f64, of: SourceId) {
        if let Some(source) = self.sources.get_mut(&of) {
            source.heard_ms = now_ms;
        }
    }

    /// A source stated what could not even be read.
    pub fn source_unreadable(&mut self, of: SourceId, why: &str) {
        let source = self.sources.entry(of).or_default();
        source.refused += 1;
        source.last_refused = Some(why.to_owned());
    }

    /// Takes in the list of an earlier run, which may be old.
    ///
    /// # Errors
    /// ExcessRemoval it is refused; the router then starts with no list.
    pub fn recover(
        &mut self,
        now_ms: f64,
        wall_ms: f64,
        saved: &SavedList,
    ) -> Result<ListUpdate, VersionError> {
        // A clock that went back makes it no younger.
        let gone_by = (wall_ms - saved.saved_at_ms).max(0.0);
        let aged = |entry: &ServerEntry| ServerEntry {
            age_ms: entry.age_ms.map(|age| age + gone_by),
            ..entry.clone()
        };
        let servers = saved.servers.iter().map(aged).collect();
        let list = ServerList { epoch: saved.epoch, version: saved.version, after: None, servers };
        let source = self.sources.entry(SourceId::Saved).or_default();
        source.state(&self.checks, now_ms, &list, None)?;
        for word in &saved.commands {
            let worker = WorkerId(Arc::from(word.server.as_str()));
            let at_ms = now_ms - gone_by - word.ago_ms.max(0.0);
            self.servers.entry(worker).or_default().said = Some(Said { word: word.command, at_ms });
        }
        // What a source stated before the start is not stated again as if it were new.
        let (led, epoch, version) = match saved.file {
            Some(version) => (SourceId::File, 0, version),
            None => (SourceId::Service, saved.epoch, saved.version),
        };
        let states = self.sources[&SourceId::Saved].states.clone();
        let silent = || Source { heard_ms: f64::NEG_INFINITY, ..Source::default() };
        let fingerprint = saved.fingerprint.filter(|_| saved.file.is_some());
        let before = Source { epoch, version: Some(version), states, fingerprint, ..silent() };
        self.sources.insert(led, before);
        self.recovered_of = Some(led);
        for drain in &saved.drains {
            let worker = WorkerId(Arc::from(drain.server.as_str()));
            let since_ms = now_ms - gone_by - drain.ago_ms.max(0.0);
            let source = self.sources.entry(drain.source).or_insert_with(silent);
            source.drained_before(worker, since_ms, drain);
        }
        if let Some(source) = self.sources.get_mut(&SourceId::Saved) {
            // Each drain stands with the source that stated it.
            source.drains.clear();
        }
        Ok(self.settle(now_ms, ListKind::Saved))
    }

    /// The list as it stands, for the next start.
    pub fn save(&self, now_ms: f64, wall_ms: f64) -> Option<SavedList> {
        let lead = self.lead?;
        let source = self.sources.get(&lead)?;
        let entry = |row: &Arc<Row>| ServerEntry {
            age_ms: row.listing.started_ms.map(|started| (now_ms - started).max(0.0)),
            ..row.entry.clone()
        };
        let servers = source.stands.values().map(entry).collect();
        let word = |(worker, server): (&WorkerId, &Server)| {
            let said = server.said?;
            Some(SavedCommand {
                server: worker.0.to_string(),
                command: said.word,
                ago_ms: (now_ms - said.at_ms).max(0.0),
            })
        };
        let words = self.servers.iter().filter_map(word).collect();
        let of = if lead == SourceId::Saved { self.recovered_of } else { Some(lead) };
        let stands = &source.stands;
        let drain = |(id, source): (&SourceId, &Source)| {
            // The next start goes on from what stands and knows nothing of a held version: where that says otherwise of a
            // server, the same drain stated after it is a drain anew, and not what an operator's word has ended.
            let otherwise = |worker: &WorkerId| {
                let said = |view: &View| view.get(worker).map(|row| row.listing.readiness);
                of == Some(*id) && said(&source.states) != said(stands)
            };
            let rows = source.drains.iter().map(|(worker, drain)| SavedDrain {
                server: worker.0.to_string(),
                source: *id,
                epoch: drain.epoch,
                version: drain.version,
                ago_ms: (now_ms - drain.since_ms).max(0.0),
                contradicted: drain.denied() || otherwise(worker),
            });
            rows.collect::<Vec<_>>()
        };
        let drains = self.sources.iter().flat_map(drain).collect();
        let (epoch, version) = source.stands_version;
        let file = (of == Some(SourceId::File)).then_some(version);
        Some(SavedList {
            epoch,
            version,
            saved_at_ms: wall_ms,
            servers,
            commands: words,
            drains,
            file,
            fingerprint: of
                .and_then(|of| self.sources.get(&of))
                .and_then(|of| of.fingerprint)
                .filter(|_| file.is_some()),
        })
    }

    /// An operator's word on a server; None where there is no such server.
    pub fn apply_command(&mut self, now_ms: f64, server: &str, word: OperatorCommand) -> Option<ListUpdate> {
        let worker = WorkerId(Arc::from(server));
        if !self.acted.contains_key(&worker) && !self.servers.contains_key(&worker) {
            return None;
        }
        self.servers.entry(worker).or_default().said = Some(Said { word, at_ms: now_ms });
        Some(self.settle(now_ms, ListKind::Changes))
    }

    /// An operator takes a held version; None where none is held.
    pub fn accept_held(&mut self, now_ms: f64) -> Option<ListUpdate> {
        let held = self.held.take()?;
        self.let_through(held.source);
        Some(self.settle(now_ms, ListKind::Whole))
    }

    /// What a dispatch or a probe found: somebody, or nobody to connect to.
    pub fn observe(&mut self, now_ms: f64, worker: &WorkerId, there: bool) -> ListUpdate {
        let Some(server) = self.servers.get_mut(worker) else { return ListUpdate::Unchanged };
        match there {
            true => (server.answered_ms, server.missing_ms) = (Some(now_ms), None),
            false => server.missing_ms = Some(now_ms),
        }
        let waits = self.held.as_ref().is_some_and(|held| held.taken.contains(worker));
        if waits {
            self.settle(now_ms, ListKind::Changes)
        } else {
            ListUpdate::Unchanged
        }
    }

    /// Time passes; to be called when `next_wake_ms` says so.
    pub fn tick(&mut self, now_ms: f64) -> ListUpdate {
        self.settle(now_ms, ListKind::Changes)
    }

    /// When something changes by itself.
    pub fn next_wake_ms(&self, now_ms: f64) -> Option<f64> {
        let held = self.held.as_ref().map(|held| held.asked_ms + self.probe_interval_ms());
        let aside = self.servers.values().map(|server| server.damping.until_ms()).filter(|at| *at > now_ms);
        let doubts = self.sources.values().filter_map(|source| source.doubts_end_ms(self.rules.hold_ms));
        let all = held.into_iter().chain(aside).chain(doubts);
        // Not in a tight loop whatever is due.
        all.map(|at| at.max(now_ms + 1.0)).min_by(f64::total_cmp)
    }

    fn probe_interval_ms(&self) -> f64 {
        self.rules.hold_ms / 8.0
    }

    /// Servers of a held version that should be asked whether they are there; at most once in a while.
    pub fn due_probes(&mut self, now_ms: f64) -> Vec<WorkerId> {
        let every_ms = self.probe_interval_ms();
        match &mut self.held {
            Some(held) if now_ms >= held.asked_ms + every_ms => {
                held.asked_ms = now_ms;
                held.taken.iter().cloned().collect()
            }
            _ => Vec::new(),
        }
    }

    fn let_through(&mut self, of: SourceId) {
        let source = self.sources.get_mut(&of);
        if let Some(source) = source.filter(|source| {
            Some(source.stands_version) != source.known_version() || source.stands.is_empty()
        }) {
            source.stands = source.states.clone();
            source.stands_version = source.known_version().unwrap_or_default();
        }
    }

    /// Who leads: the first that spoke of late; a silent lead keeps it until such a one is there.
    fn leader(&self, now_ms: f64) -> Option<SourceId> {
        let stale = |source: &Source| now_ms - source.heard_ms > self.rules.stale_ms;
        let states = |source: &Source| source.states.values().any(|row| !row.gone());
        let live = self.sources.iter().filter(|(id, _)| **id != SourceId::Saved);
        let live = live.filter(|(_, source)| states(source) && !stale(source)).map(|(id, _)| *id).next();
        live.or(self.lead).or_else(|| self.sources.contains_key(&SourceId::Saved).then_some(SourceId::Saved))
    }

    /// Servers that another word than the source's own says are not there.
    fn known_gone(&self, now_ms: f64, of: SourceId, taken: &BTreeSet<WorkerId>) -> BTreeSet<WorkerId> {
        let late_ms = now_ms - self.rules.hold_ms;
        let seen = |worker: &&WorkerId| {
            let server = self.servers.get(*worker);
            server.and_then(|server| server.missing_ms).is_some_and(|at| at >= late_ms)
        };
        let others = || {
            let others = self.sources.iter().filter(|(id, _)| **id != of && **id != SourceId::Saved);
            others.filter(|(_, source)| {
                now_ms - source.heard_ms <= self.rules.stale_ms && !source.states.is_empty()
            })
        };
        let said = |worker: &&WorkerId| {
            others().any(|(_, source)| source.states.get(*worker).is_none_or(|row| row.gone()))
        };
        taken.iter().filter(|worker| seen(worker) || said(worker)).cloned().collect()
    }

    /// Whether time is word enough: nobody that would go has answered since the version came, and that is long enough.
    fn time_says(&self, now_ms: f64, held: &HeldVersion) -> bool {
        let answered = |worker: &WorkerId| {
            let at = self.servers.get(worker).and_then(|server| server.answered_ms);
            at.is_some_and(|at| at > now_ms - self.rules.hold_ms)
        };
        now_ms >= held.since_ms + self.rules.hold_ms && !held.taken.iter().any(answered)
    }

    /// Whether what a source states takes away too much of what stands; of that, what would go.
    fn too_much(&self, now_ms: f64, of: SourceId) -> Option<(guard::ExcessRemoval, BTreeSet<WorkerId>)> {
        let source = self.sources.get(&of)?;
        let stands = &self.sources.get(&self.lead?)?.stands;
        if self.lead == Some(of) && source.stands_version == source.known_version().unwrap_or_default() {
            return None;
        }
        let taken = guard::taken(stands, &source.states);
        let known = self.known_gone(now_ms, of, &taken);
        let most = self.rules.most_removed;
        let why = guard::too_much(&self.checks, stands, &source.states, &taken, &known, most)?;
        Some((why, taken))
    }

    /// Works out anew what to act on, and what of it is news.
    fn settle(&mut self, now_ms: f64, kind: ListKind) -> ListUpdate {
        for source in self.sources.values_mut() {
            source.doubts(now_ms, self.rules.hold_ms);
        }
        let Some(lead) = self.leader(now_ms) else { return ListUpdate::Unchanged };
        match self.too_much(now_ms, lead) {
            None => {
                self.held = None;
                self.let_through(lead);
                self.lead = Some(lead);
            }
            Some((why, taken)) => {
                let version = self.sources.get(&lead).and_then(Source::known_version).unwrap_or_default();
                let before = self.held.take().filter(|held| held.source == lead);
                self.held_total += u64::from(before.is_none());
                let since_ms = before.as_ref().map_or(now_ms, |held| held.since_ms);
                let asked_ms = before.map_or(f64::NEG_INFINITY, |held| held.asked_ms);
                let held = HeldVersion { source: lead, version, reason: why, since_ms, taken, asked_ms };
                if self.time_says(now_ms, &held) {
                    self.let_through(lead);
                    self.lead = Some(lead);
                } else {
                    self.held = Some(held);
                    // Whoever led before goes on leading meanwhile, by the same rule.
                    let before = self.lead.filter(|before| *before != lead);
                    if let Some(before) = before.filter(|before| self.too_much(now_ms, *before).is_none()) {
                        self.let_through(before);
                    }
                }
            }
        }
        self.tell(now_ms, kind)
    }

    /// The list as it is to be acted on: what stands of the lead, under the drains and words of all.
    fn acting(&self, now_ms: f64) -> View {
        let stands = self.lead.and_then(|lead| self.sources.get(&lead)).map(|source| &source.stands);
        let mut view = View::new();
        for (worker, row) in stands.into_iter().flatten() {
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

    /// Since when sources drain a server, the latest of them.
    fn drained_ms(&self, worker: &WorkerId) -> Option<f64> {
        let drains = self.sources.values().filter_map(|source| source.drains.get(worker));
        drains.map(|drain| drain.since_ms).max_by(f64::total_cmp)
    }

    fn readiness(&self, now_ms: f64, worker: &WorkerId, row: &Row) -> Readiness {
        if row.gone() {
            return Readiness::Gone;
        }
        let server = self.servers.get(worker);
        let said = server.and_then(|server| server.said);
        let aside = server.is_some_and(|server| server.damping.aside(now_ms));
        let drained = self.drained_ms(worker);
        match said {
            Some(Said { word: OperatorCommand::Drain | OperatorCommand::Quarantine, .. }) => {
                Readiness::Draining
            }
            // Newer than any drain that a source stated.
            Some(Said { word: OperatorCommand::Undrain, at_ms })
                if drained.is_none_or(|since| at_ms >= since) =>
            {
                Readiness::Ready
            }
            _ if drained.is_some() || aside => Readiness::Draining,
            _ => Readiness::Ready,
        }
    }

    /// Compares with what the decisions know, and says what is new to them.
    fn tell(&mut self, now_ms: f64, kind: ListKind) -> ListUpdate {
        let mut next = self.acting(now_ms);
        // A return that is one too many sets the server aside before it gets anything.
        if self.returns(now_ms, &next) {
            next = self.acting(now_ms);
        }
        let (mut rows, mut changed, mut others): (Vec<Listing>, bool, bool) = (Vec::new(), false, false);
        for (was, now) in entry::merge_join(&self.acted, &next) {
            others |= was.is_none() || now.is_none();
            match (was, now) {
                (_, Some(now)) => {
                    let same = was.is_some_and(|was| same(was, now));
                    changed |= !same;
                    if kind != ListKind::Changes || !same {
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
            // The address of what is gone stays until a whole list leaves it out: a dispatch may still be out.
            self.acted = next;
        }
        if others {
            self.follow(now_ms);
        }
        if rows.is_empty() || !changed && kind == ListKind::Changes {
            return ListUpdate::Unchanged;
        }
        ListUpdate::Listed { kind, rows: rows.into() }
    }

    /// Notes servers that are usable again after they were gone; true where one is set aside for it. Who drains a server
    /// and ends that means it: only being gone counts.
    fn returns(&mut self, now_ms: f64, next: &View) -> bool {
        let back = entry::merge_join(&self.acted, next).filter_map(|(was, now)| {
            let now = now.filter(|now| now.usable())?;
            let worker = &now.listing.worker;
            let off = || self.servers.get(worker).is_some_and(|server| server.gone_ms.is_some());
            was.map_or_else(off, |was| was.gone()).then(|| worker.clone())
        });
        let mut aside = false;
        for worker in back.collect::<Vec<_>>() {
            let server = self.servers.entry(worker).or_default();
            server.gone_ms = None;
            if !server.damping.aside(now_ms) {
                let Rules { flaps, flap_window_ms, quarantine_ms, .. } = self.rules;
                server.damping.returned(now_ms, flaps, flap_window_ms, quarantine_ms);
                aside |= server.damping.aside(now_ms);
            }
        }
        aside
    }

    /// Lets what is remembered of servers follow who is listed. A server that left and comes back is still set aside if
    /// it was; bounded, lest names without end pile up.
    fn follow(&mut self, now_ms: f64) {
        let (acted, within_ms) = (&self.acted, self.rules.flap_window_ms);
        let mut room = LEFT_MAX;
        self.servers.retain(|worker, server| {
            if acted.contains_key(worker) {
                server.gone_ms = None;
                return true;
            }
            server.gone_ms.get_or_insert(now_ms);
            let word = matches!(
                server.said,
                Some(Said { word: OperatorCommand::Drain | OperatorCommand::Quarantine, .. })
            );
            let late = server.gone_ms.is_some_and(|since| now_ms - since < within_ms);
            let kept = (word || late || server.damping.aside(now_ms)) && room > 0;
            room -= usize::from(kept);
            kept
        });
        for worker in self.acted.keys() {
            self.servers.entry(worker.clone()).or_default();
        }
    }
}

/// Whether a row says the same to the decisions and to the sockets.
fn same(old: &Arc<Row>, new: &Arc<Row>) -> bool {
    let bits = |row: &Row| (row.listing.weight.to_bits(), row.listing.started_ms.map(f64::to_bits));
    let (a, b) = (&old.listing, &new.listing);
    Arc::ptr_eq(old, new)
        || (a.zone, a.kind, a.cell, a.readiness) == (b.zone, b.kind, b.cell, b.readiness)
            && bits(old) == bits(new)
            && old.address == new.address
}
