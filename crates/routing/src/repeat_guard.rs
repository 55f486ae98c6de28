//! Whether work that may have run may be sent again: the one check that every attempt passes before it is told to the
//! sockets, whoever decided it. The decisions keep the same rule when they choose; what they ask for against it is not
//! sent, and counted.

use paddleproxy::interface::{CellId, Effect, Group, WorkloadSettings, ZoneId};

/// Where an attempt goes, as far as groups of servers are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The server's zone.
    pub zone: ZoneId,
    /// The server's cell.
    pub cell: CellId,
}

/// An earlier attempt of the same request that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MayHaveRun {
    /// Where it went; none once its server is off the list.
    pub at: Option<Location>,
    /// When it was decided, in ms on the router's clock.
    pub decided_ms: f64,
}

/// Why an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breach {
    /// The work must run once.
    RunsTwice,
    /// Servers there don't know of the earlier attempt.
    OutsideItsGroup,
    /// Servers have forgotten the key by now.
    OutsideItsWindow,
}

/// Checks one more attempt against each earlier one that may have run.
///
/// # Errors
/// Why it must not be sent.
pub fn check(
    workload: &WorkloadSettings,
    earlier: impl IntoIterator<Item = MayHaveRun>,
    to: Location,
    now_ms: f64,
) -> Result<(), Breach> {
    earlier.into_iter().try_for_each(|earlier| check_one(workload, earlier, to, now_ms))
}

fn check_one(
    workload: &WorkloadSettings,
    earlier: MayHaveRun,
    to: Location,
    now_ms: f64,
) -> Result<(), Breach> {
    match workload.effect {
        Effect::Idempotent => return Ok(()),
        Effect::NonIdempotent => return Err(Breach::RunsTwice),
        Effect::Tokened => {}
    }
    let same = match workload.group {
        Group::All => true,
        Group::Zone => earlier.at.is_some_and(|at| at.zone == to.zone),
        Group::Cell => earlier.at.is_some_and(|at| at.cell == to.cell),
    };
    if !same {
        Err(Breach::OutsideItsGroup)
    } else if now_ms - earlier.decided_ms >= workload.window_ms {
        Err(Breach::OutsideItsWindow)
    } else {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
