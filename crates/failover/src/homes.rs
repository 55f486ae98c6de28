//! Zone of a session's home while no plan is in force: that of the highest-ranked worker with the mixed
//! role, by the hash that the routing decisions use. The workers of a zone that drops off the list are
//! remembered, so the origin of its sessions stays the same.

use std::collections::BTreeMap;

use paddleproxy::hash::rank;
use paddleproxy::interface::{KindId, ListKind, Listing, Readiness, SessionId, WorkerId};

use crate::Zone;

#[derive(Clone, Copy, Debug)]
struct KnownWorker {
    zone: Zone,
    weight: f64,
    listed: bool,
}

/// Most workers that are remembered. Further ones never determine a session's origin, so they never cause a
/// move.
const MAX_WORKERS: usize = 16_384;

/// Workers at which sessions have their homes; exists as long as the router runs.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    workers: BTreeMap<WorkerId, KnownWorker>,
    weights_act: bool,
}

impl Homes {
    /// `weights_act`: whether the hash that ranks workers is weighted by the worker's weight.
    pub fn new(weights_act: bool) -> Self {
        Homes { workers: BTreeMap::new(), weights_act }
    }

    /// Takes in an update of the worker list, in the form in which the routing decisions receive it.
    /// `mixed`: the kinds of workers at which sessions have their homes.
    pub fn apply_list(&mut self, kind: ListKind, rows: &[Listing], mixed: impl Fn(KindId) -> bool) {
        if kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Changes {
            self.workers.values_mut().for_each(|worker| worker.listed = false);
        }
        for row in rows.iter().filter(|row| mixed(row.kind)) {
            let listed = row.readiness != Readiness::Gone;
            let worker = KnownWorker { zone: Zone(row.zone.0 as u8), weight: row.weight, listed };
            let has_room = self.workers.len() < MAX_WORKERS;
            match self.workers.get_mut(&row.worker) {
                // A worker that is gone keeps its last known zone and weight.
                Some(known) if !listed => known.listed = false,
                Some(known) => *known = worker,
                None if listed && has_room => {
                    self.workers.insert(row.worker.clone(), worker);
                }
                None => {}
            }
        }
        // Unlisted workers are forgotten while at least half of their zone's workers are listed. Otherwise
        // the zone counts as lost and they are remembered.
        let mut zones: BTreeMap<Zone, (usize, usize)> = BTreeMap::new();
        for worker in self.workers.values() {
            let (listed, all) = zones.entry(worker.zone).or_default();
            *listed += usize::from(worker.listed);
            *all += 1;
        }
        let mostly_listed = |zone: &Zone| zones.get(zone).is_some_and(|(listed, all)| 2 * listed >= *all);
        self.workers.retain(|_, worker| worker.listed || !mostly_listed(&worker.zone));
    }

    /// Whether workers of a zone are remembered.
    pub fn knows_zone(&self, zone: Zone) -> bool {
        self.workers.values().any(|worker| worker.zone == zone)
    }

    /// The zone of a session's home; none if no mixed worker is known.
    pub fn origin(&self, session: SessionId) -> Option<Zone> {
        let ranked = self.workers.iter().map(|(id, worker)| (rank(id, session.0), id, worker));
        if !self.weights_act {
            let first = ranked.max_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(a.1)));
            return first.map(|(_, _, worker)| worker.zone);
        }
        // Same weighting as in the routing decisions.
        let score = |rank: u64, weight: f64| {
            let part = (rank as f64 + 0.5) / u64::MAX as f64;
            part.min(1.0 - f64::EPSILON).ln() / weight.max(f64::MIN_POSITIVE)
        };
        let scored = ranked.map(|(rank, id, worker)| (score(rank, worker.weight), rank, id, worker));
        let first = scored.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(b.2.cmp(a.2)));
        first.map(|(_, _, _, worker)| worker.zone)
    }
}
