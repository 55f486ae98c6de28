//! What a person is told of the list: each source by name, each server and who says so.

use paddleproxy::interface::Readiness;
use serde::Serialize;

use crate::{Membership, OperatorCommand, Said, SourceId};

/// Where a server is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Known, and nothing was heard of it yet.
    Listed,
    /// Its process is younger than the time to warm up.
    #[serde(rename = "fresh")]
    SlowStart,
    Ready,
    Draining,
    /// Set aside, by operators or because it came back too often.
    Quarantined,
    Gone,
}

#[derive(Clone, Debug, Serialize)]
pub struct SourceStatus {
    pub name: &'static str,
    pub leads: bool,
    pub epoch: u64,
    pub version: Option<u64>,
    /// Time since it last said anything, in ms; None where it has not since the start.
    pub silent_ms: Option<f64>,
    pub stale: bool,
    pub refused: u64,
    pub last_refused: Option<String>,
}

#[derive(Clone, Debug, Serialize)]
pub struct ServerStatus {
    pub name: String,
    pub address: String,
    pub phase: Phase,
    /// Who says so.
    pub by: &'static str,
    /// For how long, in ms, where it is known.
    pub for_ms: Option<f64>,
    pub weight: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Status {
    pub revision: u64,
    pub sources: Vec<SourceStatus>,
    /// ExcessRemoval a version is held, and since when, in ms.
    pub held: Option<(String, f64)>,
    pub held_total: u64,
    pub servers: Vec<ServerStatus>,
}

impl Membership {
    pub fn status(&self, now_ms: f64, slow_start_ms: f64) -> Status {
        let sources = self.sources.iter().map(|(id, source)| {
            let silent_ms = Some(now_ms - source.heard_ms).filter(|silent| silent.is_finite());
            SourceStatus {
                name: id.name(),
                leads: self.lead == Some(*id),
                epoch: source.epoch,
                version: source.version,
                silent_ms,
                stale: silent_ms.is_none_or(|silent| silent > self.rules.stale_ms),
                refused: source.refused,
                last_refused: source.last_refused.clone(),
            }
        });
        let held = self.held.as_ref().map(|held| {
            let (epoch, version) = held.version;
            let what = format!("{} version {epoch}.{version}: {}", held.source.name(), held.reason);
            (what, now_ms - held.since_ms)
        });
        Status {
            revision: self.revision,
            sources: sources.collect(),
            held,
            held_total: self.held_total,
            servers: self.server_rows(now_ms, slow_start_ms),
        }
    }

    fn server_rows(&self, now_ms: f64, slow_start_ms: f64) -> Vec<ServerStatus> {
        let lead = self.lead.map_or("nobody", SourceId::name);
        let row = |(worker, row): (&_, &std::sync::Arc<crate::entry::Row>)| {
            let server = self.servers.get(worker);
            let said = server.and_then(|server| server.said);
            let aside = server.is_some_and(|server| server.damping.aside(now_ms));
            let heard = server.is_some_and(|server| server.answered_ms.is_some());
            let fresh = row.listing.started_ms.filter(|started| now_ms - started < slow_start_ms);
            let (phase, by, since) = match (row.listing.readiness, said) {
                (Readiness::Gone, _) => (Phase::Gone, lead, None),
                (_, Some(Said { word: OperatorCommand::Quarantine, at_ms })) => {
                    (Phase::Quarantined, "operator", Some(at_ms))
                }
                (Readiness::Draining, Some(Said { word: OperatorCommand::Drain, at_ms })) => {
                    (Phase::Draining, "operator", Some(at_ms))
                }
                (Readiness::Draining, _) => match self.drained_ms(worker) {
                    Some(since) => (Phase::Draining, self.drained_by(worker), Some(since)),
                    None if aside => (Phase::Quarantined, "damping", None),
                    None => (Phase::Draining, lead, None),
                },
                (Readiness::Ready, _) => match fresh {
                    Some(started) => (Phase::SlowStart, lead, Some(started)),
                    None if heard => (Phase::Ready, lead, row.listing.started_ms),
                    None => (Phase::Listed, lead, None),
                },
            };
            ServerStatus {
                name: worker.0.to_string(),
                address: row.address.to_string(),
                phase,
                by,
                for_ms: since.map(|since| now_ms - since),
                weight: row.listing.weight,
            }
        };
        self.acted.iter().map(row).collect()
    }

    fn drained_by(&self, worker: &paddleproxy::interface::WorkerId) -> &'static str {
        let found = self.sources.iter().find(|(_, source)| source.drains.contains_key(worker));
        found.map_or("nobody", |(id, _)| id.name())
    }
}
