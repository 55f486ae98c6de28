//! Which servers exist, from the versions of the list service and the saved list of an earlier run.
//! Versions only go forward; changes build on the version we have, else the whole is asked for; a version with an
//! entry that can't be understood is refused whole, and the one before stands.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use paddleproxy::interface::{CellId, KindId, ListKind, Listing, Readiness, Role, WorkerId, ZoneId};
use paddleproxy_engine::{ServerEntry, ServerList};
use serde::{Deserialize, Serialize};

/// What an answer of the list service comes to.
#[derive(Clone, Debug)]
pub enum Heard {
    /// To be told to the decisions.
    Listed { kind: ListKind, rows: Arc<[Listing]> },
    /// Nothing new.
    Same,
    /// Changes on a version that we do not have: the whole is needed.
    AskWhole,
}

/// A version that is not taken, and why.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("version {got} is older than version {have}, which stands")]
    Older { got: u64, have: u64 },
    #[error("server '{server}': {what}")]
    Entry { server: String, what: String },
    #[error("a list without any server")]
    Empty,
}

/// The list as it is kept for the next start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Saved {
    #[serde(default)]
    pub epoch: u64,
    pub version: u64,
    /// Wall clock at which it was saved, in ms since 1970; ages count from there.
    pub saved_at_ms: f64,
    pub servers: Vec<ServerEntry>,
}

struct Row {
    entry: ServerEntry,
    address: SocketAddr,
    listing: Listing,
}

/// Lives as long as the router.
pub struct Membership {
    zones: Vec<String>,
    kinds: Vec<(String, Role)>,
    epoch: u64,
    version: Option<u64>,
    rows: BTreeMap<WorkerId, Row>,
}

impl Membership {
    pub fn new(zones: Vec<String>, kinds: Vec<(String, Role)>) -> Self {
        Membership { zones, kinds, epoch: 0, version: None, rows: BTreeMap::new() }
    }

    /// The version that stands.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// What to ask the list service on from: its epoch and version; None for the whole.
    pub fn known(&self) -> Option<(u64, u64)> {
        Some((self.epoch, self.version?))
    }

    pub fn address(&self, worker: &WorkerId) -> Option<SocketAddr> {
        self.rows.get(worker).map(|row| row.address)
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Takes in one answer of the list service, at our clock. A service that started anew counts its versions anew:
    /// its whole list is taken, however low the version. Harm: a stray old service could bring back an old list.
    ///
    /// # Errors
    /// Why the version is refused; what stood before still stands.
    pub fn hear(&mut self, now_ms: f64, list: &ServerList) -> Result<Heard, Refused> {
        if let Some(have) = self.version.filter(|_| self.epoch == list.epoch) {
            if list.version < have {
                return Err(Refused::Older { got: list.version, have });
            }
            if list.version == have {
                return Ok(Heard::Same);
            }
        }
        match list.after {
            None => self.take(now_ms, list, ListKind::Whole),
            Some(after) if Some(after) == self.version && self.epoch == list.epoch => {
                self.take(now_ms, list, ListKind::Changes)
            }
            Some(_) => Ok(Heard::AskWhole),
        }
    }

    /// Takes in the list of an earlier run, which may be old.
    ///
    /// # Errors
    /// Why it is refused; the router then starts with no list.
    pub fn recover(&mut self, now_ms: f64, wall_ms: f64, saved: &Saved) -> Result<Heard, Refused> {
        let gone_by = (wall_ms - saved.saved_at_ms).max(0.0);
        let aged = |entry: &ServerEntry| ServerEntry {
            age_ms: entry.age_ms.map(|age| age + gone_by),
            ..entry.clone()
        };
        let servers = saved.servers.iter().map(aged).collect();
        let list = ServerList { epoch: saved.epoch, version: saved.version, after: None, servers };
        self.take(now_ms, &list, ListKind::Saved)
    }

    /// The list as it stands, for the next start.
    pub fn save(&self, now_ms: f64, wall_ms: f64) -> Option<Saved> {
        let entry = |row: &Row| ServerEntry {
            age_ms: row.listing.started_ms.map(|started| (now_ms - started).max(0.0)),
            ..row.entry.clone()
        };
        let servers = self.rows.values().map(entry).collect();
        Some(Saved { epoch: self.epoch, version: self.version?, saved_at_ms: wall_ms, servers })
    }

    fn take(&mut self, now_ms: f64, list: &ServerList, kind: ListKind) -> Result<Heard, Refused> {
        if kind != ListKind::Changes && list.servers.is_empty() {
            return Err(Refused::Empty);
        }
        let mut seen = BTreeSet::new();
        let mut rows = Vec::with_capacity(list.servers.len());
        for entry in &list.servers {
            let row = self.row(now_ms, entry);
            let refused = |what| Refused::Entry { server: entry.name.chars().take(64).collect(), what };
            let row = row.map_err(refused)?;
            if !seen.insert(row.listing.worker.clone()) {
                return Err(refused("named twice".into()));
            }
            rows.push(row);
        }
        (self.epoch, self.version) = (list.epoch, Some(list.version));
        let listings = rows.iter().map(|row| row.listing.clone()).collect();
        if kind != ListKind::Changes {
            self.rows.clear();
        }
        for row in rows {
            self.rows.insert(row.listing.worker.clone(), row);
        }
        // What is gone stays with its address until a whole list leaves it out: a dispatch may still be out.
        Ok(Heard::Listed { kind, rows: listings })
    }

    fn row(&self, now_ms: f64, entry: &ServerEntry) -> Result<Row, String> {
        if entry.name.is_empty() || entry.name.len() > 128 {
            return Err("a name has 1 to 128 bytes".into());
        }
        let worker = WorkerId(Arc::from(entry.name.as_str()));
        let address: SocketAddr =
            entry.address.parse().map_err(|_| format!("address '{:.64}' is none", entry.address))?;
        if !address.ip().is_loopback() {
            return Err(format!("address '{address}' is not on the loopback range"));
        }
        let zone = self.zones.iter().position(|zone| *zone == entry.zone);
        let zone = zone.ok_or_else(|| format!("zone '{:.64}' is not in the settings", entry.zone))?;
        let kind = self.kinds.iter().position(|(kind, _)| *kind == entry.kind);
        let kind = kind.ok_or_else(|| format!("kind '{:.64}' is not in the settings", entry.kind))?;
        let readiness = match entry.readiness.as_str() {
            "ready" => Readiness::Ready,
            "draining" => Readiness::Draining,
            "gone" => Readiness::Gone,
            other => return Err(format!("readiness '{other:.64}' is none of ready, draining, gone")),
        };
        let good = |value: f64| value.is_finite() && value >= 0.0;
        if !good(entry.weight) || !entry.age_ms.is_none_or(good) {
            return Err("weight and age must not be negative".into());
        }
        // The same process keeps the start that was first heard, whatever the answers' delays.
        let known = self.rows.get(&worker).filter(|row| row.entry.start == entry.start);
        let started_ms = match known {
            Some(row) => row.listing.started_ms,
            None => entry.age_ms.map(|age| now_ms - age),
        };
        let listing = Listing {
            worker,
            zone: ZoneId(zone),
            kind: KindId(kind),
            cell: CellId(entry.cell),
            readiness,
            weight: entry.weight,
            started_ms,
        };
        Ok(Row { entry: entry.clone(), address, listing })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(name: &str, readiness: &str, start: u64, age_ms: f64) -> ServerEntry {
        ServerEntry {
            name: name.into(),
            address: "127.0.0.1:9".into(),
            zone: "z".into(),
            kind: "k".into(),
            cell: 0,
            readiness: readiness.into(),
            weight: 1.0,
            start,
            age_ms: Some(age_ms),
        }
    }

    fn list(version: u64, after: Option<u64>, servers: Vec<ServerEntry>) -> ServerList {
        ServerList { epoch: 1, version, after, servers }
    }

    fn membership() -> Membership {
        Membership::new(vec!["z".into()], vec![("k".into(), Role::Mixed)])
    }

    fn started(heard: Heard) -> Option<f64> {
        match heard {
            Heard::Listed { rows, .. } => rows[0].started_ms,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn versions_only_go_forward_and_gaps_ask_for_the_whole() {
        let mut m = membership();
        m.hear(0.0, &list(5, None, vec![entry("a", "ready", 1, 10.0)])).unwrap();
        let older = m.hear(1.0, &list(4, None, vec![entry("b", "ready", 1, 0.0)]));
        assert_eq!(older.unwrap_err(), Refused::Older { got: 4, have: 5 });
        assert!(matches!(m.hear(1.0, &list(5, None, vec![])), Ok(Heard::Same)));
        let gap = m.hear(2.0, &list(8, Some(7), vec![entry("a", "gone", 1, 0.0)]));
        assert!(matches!(gap, Ok(Heard::AskWhole)));
        assert_eq!((m.version(), m.len()), (Some(5), 1));
    }

    #[test]
    fn a_list_service_that_started_anew_is_believed_by_its_whole_list() {
        let mut m = membership();
        m.hear(0.0, &list(40, None, vec![entry("a", "ready", 1, 10.0)])).unwrap();
        let anew = |after| ServerList { epoch: 2, ..list(3, after, vec![entry("b", "ready", 1, 0.0)]) };
        assert!(matches!(m.hear(1.0, &anew(Some(40))), Ok(Heard::AskWhole)));
        assert!(matches!(m.hear(1.0, &anew(None)), Ok(Heard::Listed { kind: ListKind::Whole, .. })));
        assert_eq!(m.known(), Some((2, 3)));
        // The same after a restart of the router, whose saved list is of the old service.
        let saved = m.save(1.0, 0.0).unwrap();
        let mut next = membership();
        next.recover(0.0, 0.0, &saved).unwrap();
        assert_eq!(next.known(), Some((2, 3)));
    }

    #[test]
    fn a_start_is_kept_for_the_same_process_and_anew_for_another() {
        let mut m = membership();
        let first = m.hear(1000.0, &list(1, None, vec![entry("a", "ready", 1, 200.0)])).unwrap();
        assert_eq!(started(first), Some(800.0));
        let again = m.hear(2000.0, &list(2, Some(1), vec![entry("a", "ready", 1, 1300.0)])).unwrap();
        assert_eq!(started(again), Some(800.0));
        let anew = m.hear(3000.0, &list(3, Some(2), vec![entry("a", "ready", 2, 50.0)])).unwrap();
        assert_eq!(started(anew), Some(2950.0));
    }

    #[test]
    fn a_version_with_a_bad_entry_is_refused_whole() {
        let mut m = membership();
        m.hear(0.0, &list(1, None, vec![entry("a", "ready", 1, 0.0)])).unwrap();
        let mut far = entry("b", "ready", 1, 0.0);
        far.address = "10.0.0.1:80".into();
        let bad = vec![entry("a", "gone", 1, 0.0), far];
        let refused = m.hear(1.0, &list(2, Some(1), bad)).unwrap_err();
        assert_eq!(refused.to_string(), "server 'b': address '10.0.0.1:80' is not on the loopback range");
        assert_eq!(m.version(), Some(1));
        let twice = vec![entry("a", "ready", 1, 0.0), entry("a", "gone", 1, 0.0)];
        assert!(m.hear(1.0, &list(2, None, twice)).is_err());
        assert_eq!(m.hear(1.0, &list(2, None, vec![])).unwrap_err(), Refused::Empty);
    }

    #[test]
    fn a_saved_list_ages_by_the_time_the_router_was_down() {
        let mut m = membership();
        m.hear(1000.0, &list(7, None, vec![entry("a", "ready", 1, 200.0)])).unwrap();
        let saved = m.save(1500.0, 1e6).unwrap();
        let mut next = membership();
        let heard = next.recover(40.0, 1e6 + 3000.0, &saved).unwrap();
        assert_eq!(started(heard), Some(40.0 - 700.0 - 3000.0));
        assert_eq!(next.version(), Some(7));
    }
}
