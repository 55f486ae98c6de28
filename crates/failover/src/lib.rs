//! Failover between zones and regions: what each router saw of each zone ([`Row`]), what that comes to ([`judge`]), and
//! which share of a zone's sessions has its home where ([`Plan`]). Pure: no socket, clock, log or chance.
//!
//! [`FailoverController`] holds all of one router: it is told what dispatches met and what fellows' rows say, and says which zone a
//! session's home moved to. Rows and plans travel as bytes with `paddleproxy-peers`; `docs/design/failover.md` has the
//! options and tables.

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

/// Row in the settings' zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Zone(pub u8);

/// Which zone is in which region, and what each pair costs; nothing that could be measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    /// Region of each zone.
    pub regions: Vec<u8>,
    /// Cost from each zone to each.
    pub costs: Vec<Vec<f64>>,
}

impl Topology {
    pub fn zones(&self) -> impl Iterator<Item = Zone> {
        (0..self.regions.len()).map(|zone| Zone(zone as u8))
    }

    pub fn same_region(&self, a: Zone, b: Zone) -> bool {
        self.regions.get(usize::from(a.0)) == self.regions.get(usize::from(b.0))
    }

    /// How far each zone is from each: 0 is itself, then the order in which its overflow goes.
    pub fn distance_ranks(&self) -> Vec<Vec<u8>> {
        let of = |from: Zone| {
            let mut far = vec![0; self.regions.len()];
            for (row, to) in self.failover_order(from).into_iter().enumerate() {
                far[usize::from(to.0)] = row as u8 + 1;
            }
            far
        };
        self.zones().map(of).collect()
    }

    /// Other zones in the order in which sessions of one go there: its region by cost, then the others by cost.
    pub fn failover_order(&self, from: Zone) -> Vec<Zone> {
        let cost = |to: &Zone| {
            let row = self.costs.get(usize::from(from.0)).and_then(|row| row.get(usize::from(to.0)));
            (!self.same_region(from, *to), row.copied().unwrap_or(f64::INFINITY))
        };
        let mut others: Vec<Zone> = self.zones().filter(|zone| *zone != from).collect();
        others.sort_by(|a, b| {
            let (a_far, a_cost) = cost(a);
            let (b_far, b_cost) = cost(b);
            a_far.cmp(&b_far).then(a_cost.total_cmp(&b_cost)).then(a.cmp(b))
        });
        others
    }
}
