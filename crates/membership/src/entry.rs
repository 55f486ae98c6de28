//! What one entry of a version must be to be believed.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use paddleproxy::interface::{CellId, KindId, Listing, Readiness, Role, WorkerId, ZoneId};
use paddleproxy_engine::ServerEntry;

/// The zones and kinds that the settings know.
#[derive(Clone, Debug)]
pub struct Checks {
    pub zones: Vec<String>,
    pub kinds: Vec<(String, Role)>,
}

/// One server as a source states it.
#[derive(Clone, Debug)]
pub struct Row {
    pub entry: ServerEntry,
    pub address: SocketAddr,
    pub listing: Listing,
}

impl Row {
    /// Whether work may be sent there, as far as its source says.
    pub fn usable(&self) -> bool {
        self.listing.readiness == Readiness::Ready
    }

    pub fn gone(&self) -> bool {
        self.listing.readiness == Readiness::Gone
    }
}

/// All servers that a source states, gone ones included until a whole version leaves them out.
pub type View = BTreeMap<WorkerId, Arc<Row>>;

/// Longest name, in bytes, and the highest weight.
const NAME_BYTES: usize = 128;
const WEIGHT_MAX: f64 = 1e6;

/// Parses the entries of one version; `known` is what its source stated before.
///
/// # Errors
/// The first entry that can't be believed, and why.
pub fn rows(
    checks: &Checks,
    now_ms: f64,
    entries: &[ServerEntry],
    known: &View,
) -> Result<Vec<Row>, (String, String)> {
    let mut seen = BTreeSet::new();
    let mut rows = Vec::with_capacity(entries.len());
    for entry in entries {
        let wrong = |what: String| (entry.name.chars().take(64).collect::<String>(), what);
        let row = row(checks, now_ms, entry, known).map_err(wrong)?;
        if !seen.insert(row.listing.worker.clone()) {
            return Err(wrong("named twice".into()));
        }
        rows.push(row);
    }
    Ok(rows)
}

/// Both rows of each worker that either view has, in the order of their names. One pass: views of a thousand servers are
/// compared at every change.
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

/// Two servers at one address, if there are: among all, or of those that changed and any other.
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
    let twice = all.windows(2).find(|pair| pair[0].0 == pair[1].0)?;
    Some((twice[0].1.clone(), twice[1].1.clone()))
}

fn row(checks: &Checks, now_ms: f64, entry: &ServerEntry, known: &View) -> Result<Row, String> {
    if entry.name.is_empty() || entry.name.len() > NAME_BYTES {
        return Err(format!("a name has 1 to {NAME_BYTES} bytes"));
    }
    let worker = WorkerId(Arc::from(entry.name.as_str()));
    let address: SocketAddr =
        entry.address.parse().map_err(|_| format!("address '{:.64}' is none", entry.address))?;
    if !address.ip().is_loopback() {
        return Err(format!("address '{address}' is not on the loopback range"));
    }
    let zone = checks.zones.iter().position(|zone| *zone == entry.zone);
    let zone = zone.ok_or_else(|| format!("zone '{:.64}' is not in the settings", entry.zone))?;
    let kind = checks.kinds.iter().position(|(kind, _)| *kind == entry.kind);
    let kind = kind.ok_or_else(|| format!("kind '{:.64}' is not in the settings", entry.kind))?;
    let readiness = match entry.readiness.as_str() {
        "ready" => Readiness::Ready,
        "draining" => Readiness::Draining,
        "gone" => Readiness::Gone,
        other => return Err(format!("readiness '{other:.64}' is none of ready, draining, gone")),
    };
    let good = |value: f64, most: f64| value.is_finite() && (0.0..=most).contains(&value);
    if !good(entry.weight, WEIGHT_MAX) {
        return Err(format!("weight {} is not from 0 to {WEIGHT_MAX}", entry.weight));
    }
    if !entry.age_ms.is_none_or(|age| good(age, f64::MAX)) {
        return Err("an age must not be negative".into());
    }
    // The same process keeps the start that was first heard, whatever the answers' delays. One that comes back under
    // its name at another address is another process, whatever it says of its start.
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
