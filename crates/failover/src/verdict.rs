//! What the joined evidence says of each zone.

use serde::Serialize;

use crate::evidence::{Matrix, ZoneObservation};
use crate::{Topology, Zone};

/// How a zone is.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Verdict {
    #[serde(rename = "Well")]
    Healthy,
    /// Its own routers find it well; these zones can't reach it. Each side serves its own, nobody evacuates.
    CutPath(Vec<Zone>),
    /// Nobody reaches it, its own routers included where there are any.
    Lost,
    /// Slow or failing for all; the share that it still carries.
    Impaired(f64),
    /// No room: overflow moves, homes stay.
    Full,
    /// Too little was seen, or everything is bad everywhere: a fleet that believes all is lost has lost its eyes.
    Unknown,
}

/// Dispatches of late below which nothing is said of a zone.
pub const MIN_ATTEMPTS: f32 = 4.0;
/// Share of dispatches that met nobody from which a zone counts as dead, and below which as reached.
const DEAD: f32 = 0.8;
/// Share of what was answered in target below which a zone is impaired.
const GOOD: f32 = 0.7;
/// Share turned away from which a zone is full.
const FULL: f32 = 0.3;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Sight {
    Nothing,
    Dead,
    Reached,
}

pub(crate) fn sight(saw: Option<&ZoneObservation>) -> Sight {
    match saw {
        Some(saw) if saw.sum.attempts() >= MIN_ATTEMPTS => {
            if saw.failed_share >= DEAD {
                Sight::Dead
            } else {
                Sight::Reached
            }
        }
        _ => Sight::Nothing,
    }
}

/// What to think of each zone. `speaking`: zones of which some router is in the agreed roster and heard.
pub fn judge(map: &Topology, matrix: &Matrix, speaking: &[Zone]) -> Vec<Verdict> {
    let mut verdicts: Vec<Verdict> = map.zones().map(|zone| of(map, matrix, speaking, zone)).collect();
    let seen = |verdict: &Verdict| !matches!(verdict, Verdict::Unknown);
    let bad = |verdict: &Verdict| matches!(verdict, Verdict::Lost);
    // With nothing left standing anywhere it is the eyes that are bad, and traffic stays where it is.
    if verdicts.iter().any(seen) && verdicts.iter().filter(|verdict| seen(verdict)).all(bad) {
        verdicts.fill(Verdict::Unknown);
    }
    verdicts
}

fn of(map: &Topology, matrix: &Matrix, speaking: &[Zone], zone: Zone) -> Verdict {
    let from = |observer: Zone| matrix.observations.get(&(observer, zone));
    // The list, as sockets let it stand, has none of its servers any more.
    if matrix.unlisted.contains(&zone) {
        return Verdict::Lost;
    }
    let own = if speaking.contains(&zone) { sight(from(zone)) } else { Sight::Nothing };
    let others: Vec<Zone> = map.zones().filter(|other| *other != zone && speaking.contains(other)).collect();
    let which =
        |wanted: Sight| others.iter().copied().filter(|o| sight(from(*o)) == wanted).collect::<Vec<_>>();
    let (dead, reached) = (which(Sight::Dead), which(Sight::Reached));
    match own {
        // A zone that its own routers find well is not lost, whatever the others meet on their way.
        Sight::Reached if !dead.is_empty() => return Verdict::CutPath(dead),
        Sight::Dead if reached.is_empty() => return Verdict::Lost,
        Sight::Dead => return Verdict::Impaired(0.5),
        // Its own routers can speak and have not looked: they are about to, since somebody finds it dead.
        Sight::Nothing if !dead.is_empty() && speaking.contains(&zone) => return Verdict::Unknown,
        // A step away from near needs witnesses of two zones, or of all that can still speak.
        Sight::Nothing if !dead.is_empty() && reached.is_empty() => {
            let enough = dead.len() >= 2 || dead.len() == others.len();
            return if enough { Verdict::Lost } else { Verdict::Unknown };
        }
        Sight::Nothing if !dead.is_empty() => return Verdict::CutPath(dead),
        Sight::Nothing if reached.is_empty() => return Verdict::Unknown,
        _ => {}
    }
    // Slow or failing for all: its own routers among them, where any speak. Who sees it well from anywhere sees that it
    // is the way there that is bad.
    let share = |observer: Zone| {
        let saw = from(observer)?;
        let answered = saw.sum.in_target + saw.sum.late + saw.sum.failed();
        (answered + saw.sum.full >= MIN_ATTEMPTS).then_some((saw.in_target_share, saw.full_share))
    };
    let all: Vec<(f32, f32)> = others.iter().chain([&zone]).filter_map(|observer| share(*observer)).collect();
    let unheard = speaking.contains(&zone) && share(zone).is_none();
    if all.is_empty() {
        // Mere questions were answered and hardly a dispatch went there: it is there, and nothing speaks against it.
        Verdict::Healthy
    } else if all.iter().all(|(_, full)| *full >= FULL) {
        Verdict::Full
    } else if !all.iter().all(|(good, _)| *good < GOOD) {
        Verdict::Healthy
    } else if unheard {
        Verdict::Unknown
    } else {
        Verdict::Impaired(f64::from(all.iter().map(|(good, _)| *good).fold(0.0, f32::max)))
    }
}
