//! Which zone a session's home is in while no plan is in force: the first of all mixed servers by the hash that the
//! decisions use. A zone that goes off the list takes no sessions' origin with it: its servers are remembered.

use std::collections::BTreeMap;

use paddleproxy::hash::rank;
use paddleproxy::interface::{KindId, ListKind, Listing, Readiness, SessionId, WorkerId};

use crate::Zone;

#[derive(Clone, Copy, Debug)]
struct Server {
    zone: Zone,
    weight: f64,
    listed: bool,
}

/// Most servers that are remembered; further ones are homes that never move.
const SERVERS_MAX: usize = 16_384;

/// Lives as long as the router.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    servers: BTreeMap<WorkerId, Server>,
    weights_act: bool,
}

impl Homes {
    pub fn new(weights_act: bool) -> Self {
        Homes { servers: BTreeMap::new(), weights_act }
    }

    /// Takes in what the decisions are told of the list; `mixed`: the kinds at which sessions have their homes.
    pub fn apply_list(&mut self, kind: ListKind, rows: &[Listing], mixed: impl Fn(KindId) -> bool) {
        if kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Changes {
            self.servers.values_mut().for_each(|server| server.listed = false);
        }
        for row in rows.iter().filter(|row| mixed(row.kind)) {
            let listed = row.readiness != Readiness::Gone;
            let server = Server { zone: Zone(row.zone.0 as u8), weight: row.weight, listed };
            let room = self.servers.len() < SERVERS_MAX;
            match self.servers.get_mut(&row.worker) {
                // Who is gone is remembered as it was.
                Some(known) if !listed => known.listed = false,
                Some(known) => *known = server,
                None if listed && room => {
                    self.servers.insert(row.worker.clone(), server);
                }
                None => {}
            }
        }
        // One that leaves a zone that stands is forgotten; a zone that lost most of its own is out, and remembered.
        let mut zones: BTreeMap<Zone, (usize, usize)> = BTreeMap::new();
        for server in self.servers.values() {
            let (listed, all) = zones.entry(server.zone).or_default();
            *listed += usize::from(server.listed);
            *all += 1;
        }
        let stands = |zone: &Zone| zones.get(zone).is_some_and(|(listed, all)| 2 * listed >= *all);
        self.servers.retain(|_, server| server.listed || !stands(&server.zone));
    }

    /// Whether servers of a zone are remembered.
    pub fn knows_zone(&self, zone: Zone) -> bool {
        self.servers.values().any(|server| server.zone == zone)
    }

    /// The zone of a session's home; None where no mixed server is known.
    pub fn origin(&self, session: SessionId) -> Option<Zone> {
        let ranked = self.servers.iter().map(|(worker, server)| (rank(worker, session.0), worker, server));
        if !self.weights_act {
            let first = ranked.max_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(a.1)));
            return first.map(|(_, _, server)| server.zone);
        }
        // As the decisions weigh their ranks.
        let pull = |rank: u64, weight: f64| {
            let part = (rank as f64 + 0.5) / u64::MAX as f64;
            part.min(1.0 - f64::EPSILON).ln() / weight.max(f64::MIN_POSITIVE)
        };
        let pulled = ranked.map(|(rank, worker, server)| (pull(rank, server.weight), rank, worker, server));
        let first = pulled.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(b.2.cmp(a.2)));
        first.map(|(_, _, _, server)| server.zone)
    }
}
