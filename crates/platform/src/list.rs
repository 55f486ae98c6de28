//! Lists of discovery: the whole or the changes since a version.

use std::net::SocketAddr;

use paddleproxy::interface::{CellId, KindId, Listing, Readiness, WorkerId, ZoneId};
use serde::Deserialize;

use crate::settings::PlatformSettings;
use crate::start_times::StartTimes;

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
    pub address: Option<SocketAddr>,
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
    /// Reads an answer of discovery that came at `now_ms` on the router's clock.
    ///
    /// # Errors
    /// What is no list, with the path to the field.
    pub fn parse(
        text: &[u8],
        provision: &PlatformSettings,
        starts: &mut StartTimes,
        now_ms: f64,
    ) -> Result<List, String> {
        let hosts: Hosts = crate::json("list", text)?;
        Ok(hosts.list(provision, starts, now_ms))
    }
}

impl Hosts {
    pub(crate) fn list(self, provision: &PlatformSettings, starts: &mut StartTimes, now_ms: f64) -> List {
        let mut list = List { version: self.seq, whole: self.whole, ..List::default() };
        for host in self.hosts {
            let born_ms = host.born_ms;
            let Some(mut row) = row(host, provision) else {
                list.unknown += 1;
                continue;
            };
            match row.listing.readiness {
                Readiness::Gone => starts.forget(&row.listing.worker),
                _ => row.listing.started_ms = starts.started_ms(&row.listing.worker, born_ms, now_ms),
            }
            list.rows.push(row);
        }
        if list.whole {
            starts.keep_only(&list.rows.iter().map(|row| &row.listing.worker).collect());
        }
        list
    }
}

/// What a host is, but for its start.
fn row(host: Host, provision: &PlatformSettings) -> Option<Row> {
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
        started_ms: None,
    };
    sound.then(|| Row { listing, address: host.dial.parse().ok() })
}
