//! Verdicts on zones, derived from the evidence of all routers.

use serde::Serialize;

use crate::evidence::{Matrix, ZoneObservation};
use crate::{Topology, Zone};

/// Condition of a zone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Verdict {
    #[serde(rename = "Well")]
    Healthy,
    /// Its own routers find it healthy, the listed zones can't reach it. Each side serves its own sessions,
    /// none are moved.
    CutPath(Vec<Zone>),
    /// No zone reaches it, its own routers included if there are any.
    Lost,
    /// Slow or failing for all observers; carries the share of its load that it still handles.
    Impaired(f64),
    /// No spare capacity: overflow goes elsewhere, homes stay.
    Full,
    /// Too little evidence, or every zone appears lost: then the observers are more likely at fault than
    /// all zones.
    Unknown,
}

/// Recent attempts below which an observation gives no verdict.
pub const MIN_ATTEMPTS: f32 = 4.0;
/// Share of failed attempts from which a zone counts as unreachable; below it, as reachable.
const UNREACHABLE_FAILED_SHARE: f32 = 0.8;
/// Share of dispatches in target below which a zone is impaired.
const IMPAIRED_IN_TARGET_SHARE: f32 = 0.7;
/// Share of dispatches rejected for lack of capacity from which a zone is full.
const FULL_REJECTED_SHARE: f32 = 0.3;

/// Whether the routers of one zone reach another.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Reachability {
    /// Too few attempts.
    Unobserved,
    Unreachable,
    Reachable,
}

pub(crate) fn reachability(observation: Option<&ZoneObservation>) -> Reachability {
    match observation {
        Some(observation) if observation.sum.attempts() >= MIN_ATTEMPTS => {
            if observation.failed_share >= UNREACHABLE_FAILED_SHARE {
                Reachability::Unreachable
            } else {
                Reachability::Reachable
            }
        }
        _ => Reachability::Unobserved,
    }
}

/// The verdict on each zone. `reporting_zones`: zones of which some router is in the agreed roster and
/// reachable.
pub fn judge(topology: &Topology, matrix: &Matrix, reporting_zones: &[Zone]) -> Vec<Verdict> {
    let mut verdicts: Vec<Verdict> =
        topology.zones().map(|zone| judge_zone(topology, matrix, reporting_zones, zone)).collect();
    let observed = |verdict: &Verdict| !matches!(verdict, Verdict::Unknown);
    let lost = |verdict: &Verdict| matches!(verdict, Verdict::Lost);
    // If every observed zone is lost, the observers are at fault, and traffic stays where it is.
    if verdicts.iter().any(observed) && verdicts.iter().filter(|verdict| observed(verdict)).all(lost) {
        verdicts.fill(Verdict::Unknown);
    }
    verdicts
}

fn judge_zone(topology: &Topology, matrix: &Matrix, reporting_zones: &[Zone], zone: Zone) -> Verdict {
    let from = |observer: Zone| matrix.observations.get(&(observer, zone));
    // The worker list, corrected by the results of connections to workers, no longer contains any worker of
    // the zone.
    if matrix.unlisted.contains(&zone) {
        return Verdict::Lost;
    }
    let own =
        if reporting_zones.contains(&zone) { reachability(from(zone)) } else { Reachability::Unobserved };
    let others: Vec<Zone> =
        topology.zones().filter(|other| *other != zone && reporting_zones.contains(other)).collect();
    let which = |wanted: Reachability| {
        others.iter().copied().filter(|other| reachability(from(*other)) == wanted).collect::<Vec<_>>()
    };
    let (unreachable, reachable) = (which(Reachability::Unreachable), which(Reachability::Reachable));
    match own {
        // A zone that its own routers reach is not lost, whatever happens on the paths from other zones.
        Reachability::Reachable if !unreachable.is_empty() => return Verdict::CutPath(unreachable),
        Reachability::Unreachable if reachable.is_empty() => return Verdict::Lost,
        Reachability::Unreachable => return Verdict::Impaired(0.5),
        // Its own routers report but have no observation yet. They are about to get one, since they probe a
        // zone that another one finds unreachable.
        Reachability::Unobserved if !unreachable.is_empty() && reporting_zones.contains(&zone) => {
            return Verdict::Unknown
        }
        // To evacuate a zone on remote evidence takes observers in two zones, or in all that still report.
        Reachability::Unobserved if !unreachable.is_empty() && reachable.is_empty() => {
            let enough = unreachable.len() >= 2 || unreachable.len() == others.len();
            return if enough { Verdict::Lost } else { Verdict::Unknown };
        }
        Reachability::Unobserved if !unreachable.is_empty() => return Verdict::CutPath(unreachable),
        Reachability::Unobserved if reachable.is_empty() => return Verdict::Unknown,
        _ => {}
    }
    // The zone is impaired only if it is slow or failing for all observers, its own routers included if any
    // report. If it is healthy from at least one zone, the fault is on the paths from the others.
    let shares = |observer: Zone| {
        let observation = from(observer)?;
        let answered = observation.sum.in_target + observation.sum.late + observation.sum.failed();
        (answered + observation.sum.full >= MIN_ATTEMPTS)
            .then_some((observation.in_target_share, observation.full_share))
    };
    let all: Vec<(f32, f32)> =
        others.iter().chain([&zone]).filter_map(|observer| shares(*observer)).collect();
    let own_missing = reporting_zones.contains(&zone) && shares(zone).is_none();
    if all.is_empty() {
        // Probes were answered and hardly any dispatch went there: it is reachable, and there is
        // no evidence against it.
        Verdict::Healthy
    } else if all.iter().all(|(_, full)| *full >= FULL_REJECTED_SHARE) {
        Verdict::Full
    } else if !all.iter().all(|(in_target, _)| *in_target < IMPAIRED_IN_TARGET_SHARE) {
        Verdict::Healthy
    } else if own_missing {
        Verdict::Unknown
    } else {
        Verdict::Impaired(f64::from(all.iter().map(|(in_target, _)| *in_target).fold(0.0, f32::max)))
    }
}
