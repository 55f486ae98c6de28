//! The listed workers by role, each role in the order of names, with what every decision looks at of all of
//! them, closely packed: a decision looks through whole roles several times, and a list may be long.

use super::*;

/// What is looked at of each worker.
pub(super) struct Slot {
    pub id: WorkerId,
    pub name_hash: NameHash,
    pub weight: f64,
    pub started_ms: Option<f64>,
    pub cell: CellId,
    pub zone: ZoneId,
    pub kind: KindId,
    pub ready: bool,
    /// Whether it may be distrusted; if not, it is not.
    pub doubted: bool,
}

/// Which workers of a role are looked through.
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

/// Made anew with each list.
#[derive(Default)]
pub(super) struct Roster {
    slots: ByRole<Vec<Slot>>,
    /// Rows of each cell's workers.
    cells: BTreeMap<CellId, ByRole<Vec<usize>>>,
    /// Ready workers that write: how many started long ago, and when the others did.
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
                doubted: w.distrust.value != 0.0,
            });
        }
        roster
    }

    /// Those of a role and a scope, by name.
    pub fn each(&self, role: Role, scope: Scope) -> impl Iterator<Item = &Slot> {
        let slots = self.slots.get(role);
        let (all, cell) = match scope {
            Scope::All => (slots.as_slice(), None),
            Scope::Cell(cell) => (&[][..], self.cells.get(&cell)),
        };
        all.iter().chain(cell.into_iter().flat_map(move |rows| rows.get(role)).map(|row| &slots[*row]))
    }

    /// All, by name.
    pub fn all(&self) -> Vec<&Slot> {
        let mut all: Vec<_> = self.slots.0.iter().flatten().collect();
        all.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        all
    }

    /// Ready workers that write, without those that are fresh.
    pub fn warm_writers(&self, is_fresh: impl Fn(f64) -> bool) -> usize {
        let started = self.started_writers.iter().filter(|started_ms| !is_fresh(**started_ms));
        self.settled_writers + started.count()
    }

    /// The worker may be distrusted from now on.
    pub fn doubt(&mut self, id: &WorkerId) {
        for slots in &mut self.slots.0 {
            if let Ok(row) = slots.binary_search_by(|slot| slot.id.cmp(id)) {
                slots[row].doubted = true;
            }
        }
    }
}
