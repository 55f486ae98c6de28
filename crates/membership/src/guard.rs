//! Guard against list versions that remove too many servers at once.

use std::collections::{BTreeMap, BTreeSet};

use paddleproxy::interface::{CellId, Role, WorkerId};

use crate::entry::{merge_join, ConfiguredNames, Row, View};

/// Why a version is held: it removes too many usable servers of one role or cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExcessRemoval {
    /// A role or a cell, by name.
    pub group: String,
    pub usable: usize,
    pub removed: usize,
}

impl std::fmt::Display for ExcessRemoval {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ExcessRemoval { group, usable, removed } = self;
        write!(f, "it takes away {removed} of the {usable} usable servers of {group} at once")
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Role(u8),
    Cell(CellId),
}

fn role(names: &ConfiguredNames, row: &Row) -> Role {
    names.kinds.get(row.listing.kind.0).map_or(Role::Mixed, |(_, role)| *role)
}

fn groups(names: &ConfiguredNames, row: &Row) -> [Group; 2] {
    [Group::Role(role(names, row) as u8), Group::Cell(row.listing.cell)]
}

fn group_name(group: Group) -> String {
    match group {
        Group::Role(role) if role == Role::Reader as u8 => "role reader".into(),
        Group::Role(role) if role == Role::Writer as u8 => "role writer".into(),
        Group::Role(_) => "role mixed".into(),
        Group::Cell(cell) => format!("cell {}", cell.0),
    }
}

/// Usable servers in `accepted` that `next` omits. A server that `next` reports as gone is named explicitly,
/// which takes effect at once like a drain, so it does not count here; nor does one that was draining before.
pub fn removed(accepted: &View, next: &View) -> BTreeSet<WorkerId> {
    let pairs = merge_join(accepted, next).filter_map(|(was, now)| {
        let was = was.filter(|was| was.usable() && now.is_none())?;
        Some(was.listing.worker.clone())
    });
    pairs.collect()
}

/// Guards against a faulty list: at once it removes more than a share of a role's or a cell's servers, or the
/// last usable server of a role, and nothing else confirms it. `removed` are the servers that `next` omits;
/// those in `confirmed` are known to be gone from elsewhere and don't count. The cost is that dead servers
/// stay listed until the removal is confirmed, and cost one refused connection each.
pub fn excess_removal(
    names: &ConfiguredNames,
    accepted: &View,
    next: &View,
    removed: &BTreeSet<WorkerId>,
    confirmed: &BTreeSet<WorkerId>,
    max_share: f64,
) -> Option<ExcessRemoval> {
    // A share of 1 disables the guard.
    if removed.is_empty() || max_share >= 1.0 {
        return None;
    }
    let mut counts: BTreeMap<Group, (usize, usize, usize)> = BTreeMap::new();
    for (worker, row) in accepted.iter().filter(|(_, row)| row.usable()) {
        for group in groups(names, row) {
            let count = counts.entry(group).or_default();
            count.0 += 1;
            count.1 += usize::from(removed.contains(worker) && !confirmed.contains(worker));
        }
    }
    for row in next.values().filter(|row| row.usable()) {
        for group in groups(names, row) {
            counts.entry(group).or_default().2 += 1;
        }
    }
    let found = counts.into_iter().find(|(group, (usable, removed, remaining))| {
        let above_share = *removed as f64 > max_share * *usable as f64;
        // A single server of many in a cell may be removed; the last one of a role may not.
        let last_of_role = matches!(group, Group::Role(_)) && *remaining == 0;
        *removed > 0 && (above_share && *removed > 1 || last_of_role)
    });
    found.map(|(group, (usable, removed, _))| ExcessRemoval { group: group_name(group), usable, removed })
}
