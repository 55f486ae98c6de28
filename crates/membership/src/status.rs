//! Status for operators: each source, each server, and what determined the server's phase.

use paddleproxy::interface::Readiness;
use serde::Serialize;

use crate::{IssuedCommand, Membership, OperatorCommand, SourceId};

/// Life cycle phase of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Listed, but it has not answered this router yet.
    Listed,
    /// Its process is younger than the slow-start period.
    #[serde(rename = "fresh")]
    SlowStart,
    Ready,
    Draining,
    /// Taken out of use by an operator, or because it returned too often.
    Quarantined,
    Gone,
}

#[derive(Clone, Debug, Serialize)]
pub struct SourceStatus {
    pub name: &'static str,
    pub leads: bool,
    pub epoch: u64,
    pub version: Option<u64>,
    /// Time since its last response, in ms; None if there was none since the start of the router.
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
    /// What determined the phase: a source, `operator` or `damping`.
    pub by: &'static str,
    /// How long the phase has lasted, in ms, where that is known. For `Ready` the age of the process.
    pub for_ms: Option<f64>,
    pub weight: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Status {
    pub revision: u64,
    pub sources: Vec<SourceStatus>,
    /// The held version with the reason, and how long it has been held, in ms.
    pub held: Option<(String, f64)>,
    pub held_total: u64,
    pub servers: Vec<ServerStatus>,
}

impl Membership {
    pub fn status(&self, now_ms: f64, slow_start_ms: f64) -> Status {
        let sources = self.sources.iter().map(|(id, source)| {
            let silent_ms = Some(now_ms - source.last_contact_ms).filter(|silent| silent.is_finite());
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
            let text = format!("{} version {epoch}.{version}: {}", held.source.name(), held.reason);
            (text, now_ms - held.since_ms)
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
            let issued = server.and_then(|server| server.command);
            let quarantined = server.is_some_and(|server| server.damping.is_quarantined(now_ms));
            let reachable = server.is_some_and(|server| server.reachable_ms.is_some());
            let started_recently = row.listing.started_ms.filter(|started| now_ms - started < slow_start_ms);
            let (phase, by, since) = match (row.listing.readiness, issued) {
                (Readiness::Gone, _) => (Phase::Gone, lead, None),
                (_, Some(IssuedCommand { command: OperatorCommand::Quarantine, at_ms })) => {
                    (Phase::Quarantined, "operator", Some(at_ms))
                }
                (Readiness::Draining, Some(IssuedCommand { command: OperatorCommand::Drain, at_ms })) => {
                    (Phase::Draining, "operator", Some(at_ms))
                }
                (Readiness::Draining, _) => match self.drained_ms(worker) {
                    Some(since) => (Phase::Draining, self.drained_by(worker), Some(since)),
                    None if quarantined => (Phase::Quarantined, "damping", None),
                    None => (Phase::Draining, lead, None),
                },
                (Readiness::Ready, _) => match started_recently {
                    Some(started) => (Phase::SlowStart, lead, Some(started)),
                    None if reachable => (Phase::Ready, lead, row.listing.started_ms),
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
        self.active.iter().map(row).collect()
    }

    fn drained_by(&self, worker: &paddleproxy::interface::WorkerId) -> &'static str {
        let found = self.sources.iter().find(|(_, source)| source.drains.contains_key(worker));
        found.map_or("nobody", |(id, _)| id.name())
    }
}
