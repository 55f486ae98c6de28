//! Validation of the entries of a list version.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use paddleproxy::interface::{CellId, KindId, Listing, Readiness, Role, WorkerId, ZoneId};
use paddleproxy_engine::ServerEntry;

/// Names of the zones and kinds in the settings, and each kind's role.
#[derive(Clone, Debug)]
pub struct ConfiguredNames {
    pub zones: Vec<String>,
    pub kinds: Vec<(String, Role)>,
}

/// A validated entry of one server, as reported by its source.
#[derive(Clone, Debug)]
pub struct Row {
    pub entry: ServerEntry,
    pub address: SocketAddr,
    pub listing: Listing,
}

impl Row {
    /// Whether the server may receive work as far as its source reports.
    pub fn usable(&self) -> bool {
        self.listing.readiness == Readiness::Ready
    }

    pub fn gone(&self) -> bool {
        self.listing.readiness == Readiness::Gone
    }
}

/// All servers that a source reports. Gone servers stay until a whole version omits them.
pub type View = BTreeMap<WorkerId, Arc<Row>>;

/// Maximum length of a server name in bytes, and the maximum weight.
const NAME_MAX_BYTES: usize = 128;
const WEIGHT_MAX: f64 = 1e6;

/// Parses the entries of one version; `known` is what the source reported before.
///
/// # Errors
/// The name of the first invalid entry, and what is wrong with it.
pub fn parse_rows(
    names: &ConfiguredNames,
    now_ms: f64,
    entries: &[ServerEntry],
    known: &View,
) -> Result<Vec<Row>, (String, String)> {
    let mut names_seen = BTreeSet::new();
    let mut rows = Vec::with_capacity(entries.len());
    for entry in entries {
        let invalid = |what: String| (entry.name.chars().take(64).collect::<String>(), what);
        let row = parse_row(names, now_ms, entry, known).map_err(invalid)?;
        if !names_seen.insert(row.listing.worker.clone()) {
            return Err(invalid("named twice".into()));
        }
        rows.push(row);
    }
    Ok(rows)
}

/// Pairs the rows of both views by worker, in the order of the names. Merges in a single pass, since views of
/// a thousand servers are compared at every change.
pub fn merge_join<'a>(
    old: &'a View,
    new: &'a View,
) -> impl Iterator<Item = (Option<&'a Arc<Row>>, Option<&'a Arc<Row>>)> {
    let (mut old, mut new) = (old.iter().peekable(), new.iter().peekable());
    std::iter::from_fn(move || {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return None,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some((a, _)), Some((b, _))) => a.cmp(b),
        };
        let was = if order == Ordering::Greater { None } else { old.next() };
        let now = if order == Ordering::Less { None } else { new.next() };
        Some((was.map(|(_, row)| row), now.map(|(_, row)| row)))
    })
}

/// Finds two servers with the same address: among all servers, or between a changed one and any other.
pub fn same_address(view: &View, changed: Option<&[WorkerId]>) -> Option<(WorkerId, WorkerId)> {
    let live = || view.iter().filter(|(_, row)| !row.gone());
    if let Some(changed) = changed {
        return changed.iter().find_map(|worker| {
            let row = view.get(worker).filter(|row| !row.gone())?;
            let other = live().find(|(other, at)| at.address == row.address && *other != worker)?;
            Some((other.0.clone(), worker.clone()))
        });
    }
    let mut all: Vec<_> = live().map(|(worker, row)| (row.address, worker)).collect();
    all.sort_unstable();
    let duplicate = all.windows(2).find(|pair| pair[0].0 == pair[1].0)?;
    Some((duplicate[0].1.clone(), duplicate[1].1.clone()))
}

fn parse_row(names: &ConfiguredNames, now_ms: f64, entry: &ServerEntry, known: &View) -> Result<Row, String> {
    if entry.name.is_empty() || entry.name.len() > NAME_MAX_BYTES {
        return Err(format!("a name has 1 to {NAME_MAX_BYTES} bytes"));
    }
    let worker = WorkerId(Arc::from(entry.name.as_str()));
    let address: SocketAddr = entry
        .address
        .parse()
        .map_err(|_| format!("address '{:.64}' is not an IP address with a port", entry.address))?;
    if !address.ip().is_loopback() {
        return Err(format!("address '{address}' is not on the loopback range"));
    }
    let zone = names.zones.iter().position(|zone| *zone == entry.zone);
    let zone = zone.ok_or_else(|| format!("zone '{:.64}' is not in the settings", entry.zone))?;
    let kind = names.kinds.iter().position(|(kind, _)| *kind == entry.kind);
    let kind = kind.ok_or_else(|| format!("kind '{:.64}' is not in the settings", entry.kind))?;
    let readiness = match entry.readiness.as_str() {
        "ready" => Readiness::Ready,
        "draining" => Readiness::Draining,
        "gone" => Readiness::Gone,
        other => return Err(format!("readiness '{other:.64}' is none of ready, draining, gone")),
    };
    let in_range = |value: f64, max: f64| value.is_finite() && (0.0..=max).contains(&value);
    if !in_range(entry.weight, WEIGHT_MAX) {
        return Err(format!("weight {} is not from 0 to {WEIGHT_MAX}", entry.weight));
    }
    if !entry.age_ms.is_none_or(|age| in_range(age, f64::MAX)) {
        return Err("an age must not be negative".into());
    }
    // The same process keeps the start time that was computed first, however long later responses took. A
    // server that returns under its name at another address is another process, whatever start number it
    // reports.
    let known = known.get(&worker);
    let same = known.filter(|row| row.entry.start == entry.start && row.address == address);
    let started_ms = match (same, known) {
        (Some(row), _) => row.listing.started_ms,
        (None, Some(row)) if row.entry.start == entry.start && entry.age_ms.is_none() => Some(now_ms),
        _ => entry.age_ms.map(|age| now_ms - age),
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
