//! The listed workers by role, ordered by name, with the fields that every decision scans in a compact form:
//! a decision scans whole roles several times, and a list may be long.

use super::*;

/// The fields of a worker that decisions scan.
pub(super) struct Slot {
    pub id: WorkerId,
    pub name_hash: NameHash,
    pub weight: f64,
    pub started_ms: Option<f64>,
    pub cell: CellId,
    pub zone: ZoneId,
    pub kind: KindId,
    pub ready: bool,
    /// Whether its failure score may be above 0; if not set, the score is 0.
    pub has_failures: bool,
}

/// Which workers of a role are scanned.
#[derive(Clone, Copy)]
pub(super) enum Scope {
    All,
    Cell(CellId),
}

pub(super) const ROLES: [Role; 3] = [Role::Reader, Role::Writer, Role::Mixed];
/// Roles that write answers.
pub(super) const WRITING: [Role; 2] = [Role::Writer, Role::Mixed];

/// A value for each role.
#[derive(Default)]
struct ByRole<T>([T; ROLES.len()]);

impl<T> ByRole<T> {
    fn get(&self, role: Role) -> &T {
        &self.0[role as usize]
    }

    fn get_mut(&mut self, role: Role) -> &mut T {
        &mut self.0[role as usize]
    }
}

/// Rebuilt with each list.
#[derive(Default)]
pub(super) struct Roster {
    slots: ByRole<Vec<Slot>>,
    /// Indices into `slots` of each cell's workers.
    cells: BTreeMap<CellId, ByRole<Vec<usize>>>,
    /// Ready workers that write: the number without a start time, and the start times of the others.
    settled_writers: usize,
    started_writers: Vec<f64>,
}

impl Roster {
    pub fn of(workers: &BTreeMap<WorkerId, Worker>) -> Roster {
        let mut roster = Roster::default();
        for (id, w) in workers {
            let Listing { zone, kind, cell, readiness, weight, started_ms, .. } = w.listing;
            let ready = readiness == Readiness::Ready;
            if ready && WRITING.contains(&w.role) {
                roster.settled_writers += usize::from(started_ms.is_none());
                roster.started_writers.extend(started_ms);
            }
            let slots = roster.slots.get_mut(w.role);
            roster.cells.entry(cell).or_default().get_mut(w.role).push(slots.len());
            slots.push(Slot {
                id: id.clone(),
                name_hash: w.name_hash,
                weight: weight.max(f64::MIN_POSITIVE),
                started_ms,
                cell,
                zone,
                kind,
                ready,
                has_failures: w.failure_score.value != 0.0,
            });
        }
        roster
    }

    /// The workers of a role within a scope, ordered by name.
    pub fn each(&self, role: Role, scope: Scope) -> impl Iterator<Item = &Slot> {
        let slots = self.slots.get(role);
        let (all, cell) = match scope {
            Scope::All => (slots.as_slice(), None),
            Scope::Cell(cell) => (&[][..], self.cells.get(&cell)),
        };
        all.iter().chain(cell.into_iter().flat_map(move |rows| rows.get(role)).map(|row| &slots[*row]))
    }

    /// All workers, ordered by name.
    pub fn all(&self) -> Vec<&Slot> {
        let mut all: Vec<_> = self.slots.0.iter().flatten().collect();
        all.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        all
    }

    /// Number of ready workers that write and are not in slow start.
    pub fn warm_writers(&self, in_slow_start: impl Fn(f64) -> bool) -> usize {
        let started = self.started_writers.iter().filter(|started_ms| !in_slow_start(**started_ms));
        self.settled_writers + started.count()
    }

    /// Marks a worker whose failure score is above 0.
    pub fn mark_failing(&mut self, id: &WorkerId) {
        for slots in &mut self.slots.0 {
            if let Ok(row) = slots.binary_search_by(|slot| slot.id.cmp(id)) {
                slots[row].has_failures = true;
            }
        }
    }
}
