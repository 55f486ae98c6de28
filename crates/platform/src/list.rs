//! Lists of discovery: the whole or the changes since a version.

use std::net::SocketAddr;

use paddleproxy::interface::{CellId, KindId, Listing, Readiness, WorkerId, ZoneId};
use serde::Deserialize;

use crate::settings::Provision;

#[derive(Default, Deserialize)]
pub(crate) struct Hosts {
    seq: u64,
    #[serde(default)]
    whole: bool,
    hosts: Vec<Host>,
}

#[derive(Deserialize)]
struct Host {
    host: String,
    #[serde(default)]
    dial: String,
    #[serde(default)]
    site: String,
    #[serde(default)]
    class: String,
    #[serde(default)]
    block: u32,
    health: String,
    #[serde(default = "one")]
    share: f64,
    #[serde(default)]
    born_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// A worker as discovery tells it, and where this router reaches it.
#[derive(Clone, Debug)]
pub struct Row {
    pub listing: Listing,
    pub dial: Option<SocketAddr>,
}

#[derive(Clone, Debug, Default)]
pub struct List {
    pub version: u64,
    pub whole: bool,
    pub rows: Vec<Row>,
    /// Entries that name what the settings don't know; they are left out.
    pub unknown: usize,
}

impl List {
    /// Reads an answer of discovery; `zero_ms` is the Unix time at which the router's clock showed 0, in ms.
    ///
    /// # Errors
    /// What is no list, with the path to the field.
    pub fn parse(text: &[u8], provision: &Provision, zero_ms: f64) -> Result<List, String> {
        let hosts: Hosts = crate::json("list", text)?;
        Ok(hosts.list(provision, zero_ms))
    }
}

impl Hosts {
    pub(crate) fn list(self, provision: &Provision, zero_ms: f64) -> List {
        let mut list = List { version: self.seq, whole: self.whole, ..List::default() };
        for host in self.hosts {
            match row(host, provision, zero_ms) {
                Some(row) => list.rows.push(row),
                None => list.unknown += 1,
            }
        }
        list
    }
}

fn row(host: Host, provision: &Provision, zero_ms: f64) -> Option<Row> {
    let readiness = match host.health.as_str() {
        "ready" => Readiness::Ready,
        "draining" => Readiness::Draining,
        "gone" => Readiness::Gone,
        _ => return None,
    };
    let find = |known: &[String], name: &str| known.iter().position(|entry| entry == name);
    // Of who is gone, only the name counts.
    let gone = Some(0).filter(|_| readiness == Readiness::Gone);
    let zone = find(&provision.zones, &host.site).or(gone)?;
    let kind = find(&provision.kinds, &host.class).or(gone)?;
    let sound = !host.host.is_empty() && host.share.is_finite() && host.born_ms.is_finite();
    let listing = Listing {
        worker: WorkerId(host.host.into()),
        zone: ZoneId(zone),
        kind: KindId(kind),
        cell: CellId(host.block),
        readiness,
        weight: host.share,
        started_ms: Some(host.born_ms).filter(|born| *born > 0.0).map(|born| born - zero_ms),
    };
    sound.then(|| Row { listing, dial: host.dial.parse().ok() })
}
