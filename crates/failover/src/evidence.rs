//! What routers saw of zones: fading counts of what their own dispatches met, summed by who saw it from where.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Zone;

/// What dispatches to one zone met, in dispatches of late; halves in a time that the caller sets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// First tokens in target, and after it.
    pub in_target: f32,
    pub late: f32,
    /// Connects that were refused or stayed silent, answers that broke off, and those that never came.
    pub refused: f32,
    pub silent: f32,
    pub broken: f32,
    /// Turned away for want of room.
    pub full: f32,
    /// Servers listed, and those of them that may be used.
    pub listed: u16,
    pub usable: u16,
}

impl Seen {
    pub fn tried(&self) -> f32 {
        self.in_target + self.late + self.refused + self.silent + self.broken + self.full
    }

    /// That nobody was there, or nothing came.
    pub fn dead(&self) -> f32 {
        self.refused + self.silent + self.broken
    }

    pub fn fade(&mut self, by: f32) {
        for count in [
            &mut self.in_target,
            &mut self.late,
            &mut self.refused,
            &mut self.silent,
            &mut self.broken,
            &mut self.full,
        ] {
            *count *= by;
        }
    }

    fn add(&mut self, other: &Seen) {
        self.in_target += other.in_target;
        self.late += other.late;
        self.refused += other.refused;
        self.silent += other.silent;
        self.broken += other.broken;
        self.full += other.full;
        // What is listed is the same for all; the most that anyone knows of.
        self.listed = self.listed.max(other.listed);
        self.usable = self.usable.max(other.usable);
    }

    /// No number that is not one, none below 0, none beyond what a router could have tried.
    fn sound(&self) -> bool {
        let counts = [self.in_target, self.late, self.refused, self.silent, self.broken, self.full];
        counts.iter().all(|count| count.is_finite() && (0.0..=COUNT_MAX).contains(count))
    }
}

/// Dispatches of late beyond which a count is not believed.
const COUNT_MAX: f32 = 1e6;
/// Most zones of a row.
const ZONES_MAX: usize = 64;

/// What one router says: where it stands, and of each zone that it tried what it saw. Bounded by zones, never by servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub from: u8,
    pub seen: Vec<(u8, Seen)>,
}

/// Bytes that are no row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a row of evidence")]
pub struct NoRow;

impl Row {
    /// Writing plain values to memory can't fail; an empty row is refused by its reader.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a row.
    ///
    /// # Errors
    /// Bytes that are none, or figures that no router could have counted.
    pub fn read(bytes: &[u8]) -> Result<Row, NoRow> {
        let row: Row = postcard::from_bytes(bytes).map_err(|_| NoRow)?;
        let ordered = row.seen.windows(2).all(|pair| pair[0].0 < pair[1].0);
        let sound = row.seen.len() <= ZONES_MAX && ordered && row.seen.iter().all(|(_, seen)| seen.sound());
        if sound {
            Ok(row)
        } else {
            Err(NoRow)
        }
    }
}

/// Who saw what from where: observing zone and observed zone, with the number of routers behind each.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Matrix {
    pub seen: BTreeMap<(Zone, Zone), (Seen, usize)>,
}

/// Most that one router counts for, as a part of what all saw from its zone: the median of the others' dispatches by
/// so much. Guards against one that lies, or stopped long ago, moving anything by itself. Harm: in a zone with few
/// routers the busiest counts for less than it saw.
const ONE_MOST: f32 = 2.0;

impl Matrix {
    /// The sum of all rows, whatever their order.
    pub fn of<'a>(rows: impl IntoIterator<Item = &'a Row>) -> Matrix {
        let mut by: BTreeMap<(Zone, Zone), Vec<Seen>> = BTreeMap::new();
        for row in rows {
            for (of, seen) in &row.seen {
                by.entry((Zone(row.from), Zone(*of))).or_default().push(*seen);
            }
        }
        let mut matrix = Matrix::default();
        for (key, mut all) in by {
            // Sorted by all they hold, so that sums of fractions come out the same everywhere.
            all.sort_by(|a, b| {
                let figures = |seen: &Seen| {
                    [seen.in_target, seen.late, seen.refused, seen.silent, seen.broken, seen.full]
                        .map(f32::to_bits)
                };
                figures(a).cmp(&figures(b)).then((a.listed, a.usable).cmp(&(b.listed, b.usable)))
            });
            let mut tried: Vec<f32> = all.iter().map(Seen::tried).collect();
            tried.sort_by(f32::total_cmp);
            let most =
                if tried.len() > 2 { ONE_MOST * tried[tried.len() / 2].max(1.0) } else { f32::INFINITY };
            let mut sum = Seen::default();
            for mut seen in all.iter().copied() {
                let tried = seen.tried();
                if tried > most {
                    seen.fade(most / tried);
                }
                sum.add(&seen);
            }
            matrix.seen.insert(key, (sum, all.len()));
        }
        matrix
    }

    /// From which zones anybody says anything.
    pub fn observers(&self) -> Vec<Zone> {
        let mut zones: Vec<Zone> = self.seen.keys().map(|(from, _)| *from).collect();
        zones.dedup();
        zones
    }
}
