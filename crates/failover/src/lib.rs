//! Failover between zones and regions: what each router saw of each zone ([`Row`]), what that comes to ([`judge`]), and
//! which share of a zone's sessions has its home where ([`Plan`]). Pure: no socket, clock, log or chance.
//!
//! Not yet wired to a running router: the plan is to travel on the page of `paddleproxy-peers` and to reach the
//! decisions through `paddleproxy-membership`. `docs/design/failover.md` says what stands and what is open.

pub mod evidence;
pub mod plan;
pub mod verdict;

pub use evidence::{Matrix, Row, Seen};
pub use plan::{Bounds, Hands, Plan, Word};
pub use verdict::{judge, Verdict};

use serde::{Deserialize, Serialize};

/// Row in the settings' zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Zone(pub u8);

/// Which zone is in which region, and what each pair costs; nothing that could be measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Map {
    /// Region of each zone.
    pub regions: Vec<u8>,
    /// Cost from each zone to each.
    pub costs: Vec<Vec<f64>>,
}

impl Map {
    pub fn zones(&self) -> impl Iterator<Item = Zone> {
        (0..self.regions.len()).map(|zone| Zone(zone as u8))
    }

    pub fn same_region(&self, a: Zone, b: Zone) -> bool {
        self.regions.get(usize::from(a.0)) == self.regions.get(usize::from(b.0))
    }

    /// Other zones in the order in which sessions of one go there: its region by cost, then the others by cost.
    pub fn order(&self, from: Zone) -> Vec<Zone> {
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
