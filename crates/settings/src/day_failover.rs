//! Failover between zones in a day: how the routers decide on it, and which plans the day expects.

use serde::{Deserialize, Serialize};

use crate::reader::{Block, Millis, Share};

/// The share of a zone's sessions that the plans in force have to move throughout a time, at all routers in
/// contact with a majority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExpectedPlan {
    pub zone: String,
    pub from_ms: f64,
    pub to_ms: f64,
    pub least: f64,
    pub most: f64,
}

/// How the routers of a day decide on failover. All modes but the first serve for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverMode {
    /// By the day's settings.
    Configured,
    /// Routers run without `failover`.
    NoFailover,
    /// Routers run without `failover` and without `peers`, and with no relays between them.
    NoPeers,
    /// Each router decides alone, from its own evidence.
    OwnEvidence,
    /// Operator commands report the true state of every zone, one exchange late; the routers ignore their
    /// evidence.
    TrueState,
}

pub(crate) fn expect(block: Block) -> ExpectedPlan {
    let share = |name, otherwise| block.property::<Share>(name).map_or(otherwise, |share| share.0);
    let plan = ExpectedPlan {
        zone: block.need_property("zone"),
        from_ms: block.need_property::<Millis>("from").0,
        to_ms: block.need_property::<Millis>("to").0,
        least: share("least", 0.0),
        most: share("most", 1.0),
    };
    if plan.to_ms <= plan.from_ms || plan.most < plan.least {
        block.problem("'expect' needs 'from' before 'to' and 'least' up to 'most'");
    }
    block.reject_unknown();
    plan
}
