//! What a day says of failover between zones: the block that all routers get, and what their plans are expected to say.

use serde::{Deserialize, Serialize};

use crate::reader::{Block, Millis, Share};

/// What share of a zone's sessions the plans in force move, at all routers that hear a majority, throughout a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExpectedPlan {
    pub zone: String,
    pub from_ms: f64,
    pub to_ms: f64,
    pub least: f64,
    pub most: f64,
}

/// Who decides in a day, beside the design.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverMode {
    /// As the settings say.
    Configured,
    /// Routers have no `failover` at all: as before there was one.
    NoFailover,
    /// Nor `peers`: they don't know each other, and no relays stand between them.
    NoPeers,
    /// Each router by its own evidence.
    OwnEvidence,
    /// The true state of every zone, told as operators' words one exchange late.
    TrueState,
}

pub(crate) fn expect(block: Block) -> ExpectedPlan {
    let share = |name, otherwise| block.property::<Share>(name).map_or(otherwise, |share| share.0);
    let expect = ExpectedPlan {
        zone: block.need_property("zone"),
        from_ms: block.need_property::<Millis>("from").0,
        to_ms: block.need_property::<Millis>("to").0,
        least: share("least", 0.0),
        most: share("most", 1.0),
    };
    if expect.to_ms <= expect.from_ms || expect.most < expect.least {
        block.problem("'expect' needs 'from' before 'to' and 'least' up to 'most'");
    }
    block.reject_unknown();
    expect
}
