//! Lists of servers from discovery: the whole list, or the changes since a version.

use std::net::SocketAddr;

use paddleproxy::interface::{CellId, KindId, Listing, Readiness, WorkerId, ZoneId};
use serde::Deserialize;

use crate::settings::PlatformSettings;
use crate::start_times::StartTimes;

/// A list under the platform's names.
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
    #[serde(default = "default_share")]
    share: f64,
    /// Wall-clock time of the server's start in ms since 1970; 0 for long ago.
    #[serde(default)]
    born_ms: f64,
}

fn default_share() -> f64 {
    1.0
}

/// One listed server.
#[derive(Clone, Debug)]
pub struct Row {
    pub listing: Listing,
    /// The address at which this router reaches the server; None if the list holds no valid one.
    pub address: Option<SocketAddr>,
}

/// A list, or the changes since a version, with the ids that the routing decisions use.
#[derive(Clone, Debug, Default)]
pub struct List {
    pub version: u64,
    /// Whether this is the whole list rather than the changes since a version.
    pub whole: bool,
    pub rows: Vec<Row>,
    /// Number of entries left out of `rows`: a zone, kind or health that this router doesn't know, or an
    /// invalid value.
    pub unknown: usize,
}

impl List {
    /// Parses a response of discovery that was received at `now_ms` on the router's clock.
    ///
    /// # Errors
    /// A body that is not a list, with the path to the invalid field.
    pub fn parse(
        text: &[u8],
        settings: &PlatformSettings,
        start_times: &mut StartTimes,
        now_ms: f64,
    ) -> Result<List, String> {
        let hosts: Hosts = crate::parse_json("list", text)?;
        Ok(hosts.list(settings, start_times, now_ms))
    }
}

impl Hosts {
    pub(crate) fn list(self, settings: &PlatformSettings, start_times: &mut StartTimes, now_ms: f64) -> List {
        let mut list = List { version: self.seq, whole: self.whole, ..List::default() };
        for host in self.hosts {
            let born_ms = host.born_ms;
            let Some(mut row) = parse_row(host, settings) else {
                list.unknown += 1;
                continue;
            };
            match row.listing.readiness {
                Readiness::Gone => start_times.forget(&row.listing.worker),
                _ => row.listing.started_ms = start_times.started_ms(&row.listing.worker, born_ms, now_ms),
            }
            list.rows.push(row);
        }
        if list.whole {
            start_times.keep_only(&list.rows.iter().map(|row| &row.listing.worker).collect());
        }
        list
    }
}

/// Converts an entry of the list, except for its start time; None for an unknown or invalid entry.
fn parse_row(host: Host, settings: &PlatformSettings) -> Option<Row> {
    let readiness = match host.health.as_str() {
        "ready" => Readiness::Ready,
        "draining" => Readiness::Draining,
        "gone" => Readiness::Gone,
        _ => return None,
    };
    let index_of = |names: &[String], name: &str| names.iter().position(|entry| entry == name);
    // For a server that is gone only the name matters.
    let gone = Some(0).filter(|_| readiness == Readiness::Gone);
    let zone = index_of(&settings.zones, &host.site).or(gone)?;
    let kind = index_of(&settings.kinds, &host.class).or(gone)?;
    let valid = !host.host.is_empty() && host.share.is_finite() && host.born_ms.is_finite();
    let listing = Listing {
        worker: WorkerId(host.host.into()),
        zone: ZoneId(zone),
        kind: KindId(kind),
        cell: CellId(host.block),
        readiness,
        weight: host.share,
        started_ms: None,
    };
    valid.then(|| Row { listing, address: host.dial.parse().ok() })
}
