//! Whether one version may take away so many servers at once.

use std::collections::{BTreeMap, BTreeSet};

use paddleproxy::interface::{CellId, Role, WorkerId};

use crate::entry::{merge_join, Checks, Row, View};

/// ExcessRemoval a version is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExcessRemoval {
    /// A role, or a cell.
    pub of: String,
    pub usable: usize,
    pub taken: usize,
}

impl std::fmt::Display for ExcessRemoval {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ExcessRemoval { of, usable, taken } = self;
        write!(f, "it takes away {taken} of the {usable} usable servers of {of} at once")
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Part {
    Role(u8),
    Cell(CellId),
}

fn role(checks: &Checks, row: &Row) -> Role {
    checks.kinds.get(row.listing.kind.0).map_or(Role::Mixed, |(_, role)| *role)
}

fn parts(checks: &Checks, row: &Row) -> [Part; 2] {
    [Part::Role(role(checks, row) as u8), Part::Cell(row.listing.cell)]
}

fn name(part: Part) -> String {
    match part {
        Part::Role(role) if role == Role::Reader as u8 => "role reader".into(),
        Part::Role(role) if role == Role::Writer as u8 => "role writer".into(),
        Part::Role(_) => "role mixed".into(),
        Part::Cell(cell) => format!("cell {}", cell.0),
    }
}

/// What `next` takes away of what `stands` has: usable servers that it leaves out. One that it calls gone is spoken of by
/// name, and that counts at once like a drain; so does one that drained before.
pub fn taken(stands: &View, next: &View) -> BTreeSet<WorkerId> {
    let pairs = merge_join(stands, next).filter_map(|(was, now)| {
        let was = was.filter(|was| was.usable() && now.is_none())?;
        Some(was.listing.worker.clone())
    });
    pairs.collect()
}

/// Guards against a list that lost its mind: more than a share of a role's or a cell's servers, or a role's last usable
/// one, leave at once although nobody else knows of it. `taken` is what `next` takes away; the `known` of
/// them, of which another word says the same, don't count. Harm: dead servers stay listed until that word comes, and cost a refused connection each.
pub fn too_much(
    checks: &Checks,
    stands: &View,
    next: &View,
    taken: &BTreeSet<WorkerId>,
    known: &BTreeSet<WorkerId>,
    most: f64,
) -> Option<ExcessRemoval> {
    // A share of 1 is all: nothing is ever too much.
    if taken.is_empty() || most >= 1.0 {
        return None;
    }
    let mut counts: BTreeMap<Part, (usize, usize, usize)> = BTreeMap::new();
    for (worker, row) in stands.iter().filter(|(_, row)| row.usable()) {
        for part in parts(checks, row) {
            let count = counts.entry(part).or_default();
            count.0 += 1;
            count.1 += usize::from(taken.contains(worker) && !known.contains(worker));
        }
    }
    for row in next.values().filter(|row| row.usable()) {
        for part in parts(checks, row) {
            counts.entry(part).or_default().2 += 1;
        }
    }
    let found = counts.into_iter().find(|(part, (usable, taken, left))| {
        let share = *taken as f64 > most * *usable as f64;
        // A single server of many cells may go; the last one of a role may not.
        let last = matches!(part, Part::Role(_)) && *left == 0;
        *taken > 0 && (share && *taken > 1 || last)
    });
    found.map(|(part, (usable, taken, _))| ExcessRemoval { of: name(part), usable, taken })
}
