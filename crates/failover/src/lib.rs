//! Failover between zones and regions. Routers exchange evidence on each zone ([`EvidenceRow`]), derive a
//! verdict on each zone from it ([`judge`]), and agree on the share of a zone's sessions that has its home
//! in another zone ([`Plan`]). The crate only makes decisions: it uses no sockets, clocks, logs or random
//! numbers.
//!
//! [`FailoverController`] holds the state of one router: it records the outcomes of dispatches, takes in
//! the evidence of its peers and returns the zone to which the home of a session moved. Evidence and plans
//! travel as bytes with `paddleproxy-peers`; `docs/design/failover.md` describes the alternatives and has
//! the tables.

pub mod controller;
pub mod evidence;
pub mod homes;
pub mod operator_commands;
pub mod plan;
pub mod verdict;

pub use controller::{AgreedPlan, DispatchOutcome, FailoverController, Rules};
pub use evidence::{EvidenceRow, Matrix, ZoneCounts, ZoneObservation};
pub use homes::Homes;
pub use operator_commands::{CommandRegister, StampedCommand};
pub use plan::{FlapHistory, OperatorCommand, Plan, PlanLimits};
pub use verdict::{judge, Verdict};

use serde::{Deserialize, Serialize};

/// Index of a zone in the `zones` of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Zone(pub u8);

/// Region of each zone and cost of each pair of zones, as configured; holds no measured values.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    /// Region of each zone.
    pub regions: Vec<u8>,
    /// Cost from each zone (outer index) to each zone (inner index).
    pub costs: Vec<Vec<f64>>,
}

impl Topology {
    pub fn zones(&self) -> impl Iterator<Item = Zone> {
        (0..self.regions.len()).map(|zone| Zone(zone as u8))
    }

    pub fn same_region(&self, a: Zone, b: Zone) -> bool {
        self.regions.get(usize::from(a.0)) == self.regions.get(usize::from(b.0))
    }

    /// Rank of each zone as seen from each: 0 is the zone itself, the others follow in the order in which its
    /// overflow goes to them.
    pub fn distance_ranks(&self) -> Vec<Vec<u8>> {
        let ranks_from = |from: Zone| {
            let mut ranks = vec![0; self.regions.len()];
            for (position, to) in self.failover_order(from).into_iter().enumerate() {
                ranks[usize::from(to.0)] = position as u8 + 1;
            }
            ranks
        };
        self.zones().map(ranks_from).collect()
    }

    /// The other zones in the order in which sessions of `from` move there: those of its region by cost,
    /// then the rest by cost.
    pub fn failover_order(&self, from: Zone) -> Vec<Zone> {
        let cost = |to: &Zone| {
            let cost = self.costs.get(usize::from(from.0)).and_then(|costs| costs.get(usize::from(to.0)));
            (!self.same_region(from, *to), cost.copied().unwrap_or(f64::INFINITY))
        };
        let mut others: Vec<Zone> = self.zones().filter(|zone| *zone != from).collect();
        others.sort_by(|a, b| {
            let (a_other_region, a_cost) = cost(a);
            let (b_other_region, b_cost) = cost(b);
            a_other_region.cmp(&b_other_region).then(a_cost.total_cmp(&b_cost)).then(a.cmp(b))
        });
        others
    }
}
