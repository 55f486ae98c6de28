//! The repeat rule: whether work that may have run may be sent again. Every attempt passes this one check
//! before it goes to the sockets, whatever decided it. The decision module applies the same rule when it
//! chooses; attempts that it requests against the rule are not sent, and are counted.

use paddleproxy::interface::{CellId, Effect, Group, WorkloadSettings, ZoneId};

/// The location of a server, as far as the groups that share idempotency keys are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    pub zone: ZoneId,
    pub cell: CellId,
}

/// An earlier attempt of the same request that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MayHaveRun {
    /// Location of its server; none once the server is off the list.
    pub at: Option<Location>,
    /// When the attempt was decided, in ms on the router's clock.
    pub decided_ms: f64,
}

/// Why an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breach {
    /// The work must run at most once.
    RunsTwice,
    /// The target is outside the group of servers that share keys with the earlier attempt's server.
    OutsideItsGroup,
    /// The deduplication window is over: servers may have forgotten the key.
    OutsideItsWindow,
}

/// Checks one more attempt against each earlier one that may have run.
///
/// # Errors
/// Why the attempt must not be sent.
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
    let same_group = match workload.group {
        Group::All => true,
        Group::Zone => earlier.at.is_some_and(|at| at.zone == to.zone),
        Group::Cell => earlier.at.is_some_and(|at| at.cell == to.cell),
    };
    if !same_group {
        Err(Breach::OutsideItsGroup)
    } else if now_ms - earlier.decided_ms >= workload.window_ms {
        Err(Breach::OutsideItsWindow)
    } else {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
