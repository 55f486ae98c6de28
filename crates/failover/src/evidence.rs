//! What routers saw of zones: fading counts of what their own dispatches met, summed by who saw it from where.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::operator_commands::StampedCommand;
use crate::verdict::{sight, Sight};
use crate::Zone;

/// What dispatches to one zone met, in dispatches of late; halves in a time that the caller sets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Small", into = "Small")]
pub struct ZoneCounts {
    /// First tokens in target, and after it.
    pub in_target: f32,
    pub late: f32,
    /// Connects that were refused or timed out, answers that broke off, and those that never came.
    pub refused: f32,
    pub timed_out: f32,
    pub broken: f32,
    /// Turned away for want of room.
    pub full: f32,
    /// Answers to mere questions, asked where no dispatch goes.
    pub probe_answers: f32,
    /// Share of their room that its servers say is in use, of the role that has least left; 0 where none said.
    pub load: f32,
    /// Servers listed, and those of them that may be used. None listed: there were some, and the list has dropped all.
    pub listed: u16,
    pub usable: u16,
}

impl ZoneCounts {
    pub fn attempts(&self) -> f32 {
        self.in_target
            + self.late
            + self.refused
            + self.timed_out
            + self.broken
            + self.full
            + self.probe_answers
    }

    /// That nobody was there, or nothing came.
    pub fn failed(&self) -> f32 {
        self.refused + self.timed_out + self.broken
    }

    pub fn scale(&mut self, by: f32) {
        for count in [
            &mut self.in_target,
            &mut self.late,
            &mut self.refused,
            &mut self.timed_out,
            &mut self.broken,
            &mut self.full,
            &mut self.probe_answers,
        ] {
            *count *= by;
        }
    }

    fn add(&mut self, other: &ZoneCounts) {
        self.in_target += other.in_target;
        self.late += other.late;
        self.refused += other.refused;
        self.timed_out += other.timed_out;
        self.broken += other.broken;
        self.full += other.full;
        self.probe_answers += other.probe_answers;
        // What is listed is the same for all; the most that anyone knows of.
        self.listed = self.listed.max(other.listed);
        self.usable = self.usable.max(other.usable);
    }

    /// No number that is not one, none below 0, none beyond what a router could have tried.
    fn sound(&self) -> bool {
        let ZoneCounts { in_target, late, refused, timed_out, broken, full, probe_answers, load, .. } = *self;
        let counts = [in_target, late, refused, timed_out, broken, full, probe_answers, load];
        counts.iter().all(|count| count.is_finite() && (0.0..=COUNT_MAX).contains(count))
    }
}

/// How it stands on the wire: counts by their logarithm, a byte each, so that 30 zones fit a datagram and what hardly
/// changed stays the same.
#[derive(Serialize, Deserialize)]
struct Small([u8; 8], u16, u16);

/// Steps of a count for each doubling.
const STEPS: f32 = 6.0;

fn small(count: f32) -> u8 {
    (STEPS * (1.0 + count.max(0.0)).log2()).round().min(255.0) as u8
}

fn large(step: u8) -> f32 {
    (f32::from(step) / STEPS).exp2() - 1.0
}

impl From<ZoneCounts> for Small {
    fn from(seen: ZoneCounts) -> Self {
        let ZoneCounts {
            in_target,
            late,
            refused,
            timed_out,
            broken,
            full,
            probe_answers,
            load,
            listed,
            usable,
        } = seen;
        let counts = [in_target, late, refused, timed_out, broken, full, probe_answers].map(small);
        let [a, b, c, d, e, f, g] = counts;
        Small([a, b, c, d, e, f, g, (load.clamp(0.0, 2.0) * 100.0).round() as u8], listed, usable)
    }
}

impl From<Small> for ZoneCounts {
    fn from(Small([a, b, c, d, e, f, g, load], listed, usable): Small) -> Self {
        let [in_target, late, refused, timed_out, broken, full, probe_answers] =
            [a, b, c, d, e, f, g].map(large);
        let load = f32::from(load) / 100.0;
        ZoneCounts { in_target, late, refused, timed_out, broken, full, probe_answers, load, listed, usable }
    }
}

/// Dispatches of late beyond which a count is not believed.
const COUNT_MAX: f32 = 1e7;
/// Most routers that one may stand for.
const TIMES_MAX: f32 = 4096.0;
/// Most zones of a row.
const ZONES_MAX: usize = 64;

/// What one router says: where it stands, and of each zone that it tried what it saw. Bounded by zones, never by servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceRow {
    pub from: u8,
    /// Routers of its zone that it stands for: where a zone has many, some of them tell for all.
    pub represented_routers: f32,
    pub counts: Vec<(u8, ZoneCounts)>,
    /// Completions of late whose sessions have their home in a zone while no plan is in force.
    pub completions_by_home: Vec<(u8, f32)>,
    /// Operators' words that it knows of.
    pub commands: Vec<StampedCommand>,
}

impl Default for EvidenceRow {
    fn default() -> Self {
        EvidenceRow {
            from: 0,
            represented_routers: 1.0,
            counts: Vec::new(),
            completions_by_home: Vec::new(),
            commands: Vec::new(),
        }
    }
}

/// Routers of a zone that tell what it sees; of more the lowest places do, each for its part of all. Keeps evidence at a
/// thousand routers to some hundreds of rows. Harm: who tells stands for those whose traffic may differ.
pub const MAX_REPORTERS_PER_ZONE: usize = 9;

/// For how many routers one tells that has so many of its zone below it, itself not counted, of so many; none where
/// others do.
pub fn represented_routers(rank: usize, all: usize) -> Option<f32> {
    (rank < MAX_REPORTERS_PER_ZONE).then(|| all.max(1) as f32 / all.clamp(1, MAX_REPORTERS_PER_ZONE) as f32)
}

/// Bytes that are no row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a row of evidence")]
pub struct EvidenceError;

impl EvidenceRow {
    /// Writing plain values to memory can't fail; an empty row is refused by its reader.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a row.
    ///
    /// # Errors
    /// Bytes that are none, or figures that no router could have counted.
    pub fn read(bytes: &[u8]) -> Result<EvidenceRow, EvidenceError> {
        let row: EvidenceRow = postcard::from_bytes(bytes).map_err(|_| EvidenceError)?;
        let ordered = row.counts.windows(2).all(|pair| pair[0].0 < pair[1].0);
        let counted = |(_, count): &(u8, f32)| count.is_finite() && (0.0..=COUNT_MAX).contains(count);
        let sound = row.counts.len().max(row.completions_by_home.len()).max(row.commands.len()) <= ZONES_MAX
            && ordered
            && row.represented_routers.is_finite()
            && (1.0..=TIMES_MAX).contains(&row.represented_routers)
            && row.counts.iter().all(|(_, seen)| seen.sound())
            && row.completions_by_home.iter().all(counted);
        if sound {
            Ok(row)
        } else {
            Err(EvidenceError)
        }
    }
}

/// Who saw what from where: observing zone and observed zone, with the number of routers behind each.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Matrix {
    pub observations: BTreeMap<(Zone, Zone), ZoneObservation>,
    /// Completions of late by the home of their sessions, and the load of each zone as the middle one heard of it.
    pub completions_by_home: BTreeMap<Zone, f64>,
    pub loads: BTreeMap<Zone, f64>,
    /// Zones of which most routers that know of servers there have none on their list.
    pub unlisted: BTreeSet<Zone>,
}

/// What the routers of one zone saw of one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneObservation {
    pub sum: ZoneCounts,
    pub routers: usize,
    /// Shares as the middle router has them, of two middle ones the better: of what was tried that met nobody; of what
    /// was answered or broke off that was in target; of that and what was turned away that was.
    pub failed_share: f32,
    pub in_target_share: f32,
    pub full_share: f32,
}

/// Dispatches of late from which a router's share of one zone counts.
const OWN_LEAST: f32 = 1.0;

impl ZoneObservation {
    fn of(sum: ZoneCounts, all: &[ZoneCounts]) -> ZoneObservation {
        let shares = |part: fn(&ZoneCounts) -> f32, whole: fn(&ZoneCounts) -> f32| {
            let mut shares: Vec<f32> = all
                .iter()
                .filter(|seen| whole(seen) >= OWN_LEAST)
                .map(|seen| part(seen) / whole(seen))
                .collect();
            shares.sort_by(f32::total_cmp);
            shares
        };
        let answered = |seen: &ZoneCounts| seen.in_target + seen.late + seen.failed();
        let dead = shares(ZoneCounts::failed, ZoneCounts::attempts);
        let good = shares(|seen| seen.in_target, answered);
        let full = shares(|seen| seen.full, |seen| seen.in_target + seen.late + seen.failed() + seen.full);
        // Of an even number the better of the middle two: one of two routers alone says nothing against a zone.
        let low = |shares: &[f32]| shares.get(shares.len().saturating_sub(1) / 2).copied().unwrap_or(0.0);
        let high = |shares: &[f32]| shares.get(shares.len() / 2).copied().unwrap_or(1.0);
        ZoneObservation {
            sum,
            routers: all.len(),
            failed_share: low(&dead),
            in_target_share: high(&good),
            full_share: low(&full),
        }
    }
}

/// Most that one router counts for, as a part of what all saw from its zone: the median of the others' dispatches by
/// so much. Guards against one that lies, or stopped long ago, moving anything by itself. Harm: in a zone with few
/// routers the busiest counts for less than it saw.
const ONE_MOST: f32 = 2.0;

impl Matrix {
    /// The sum of all rows, whatever their order.
    pub fn from_rows<'a>(rows: impl IntoIterator<Item = &'a EvidenceRow>) -> Matrix {
        let mut by: BTreeMap<(Zone, Zone), Vec<ZoneCounts>> = BTreeMap::new();
        let mut homes: BTreeMap<Zone, Vec<f64>> = BTreeMap::new();
        let mut loads: BTreeMap<Zone, Vec<f64>> = BTreeMap::new();
        let mut lists: BTreeMap<Zone, (usize, usize)> = BTreeMap::new();
        for row in rows {
            for (of, seen) in &row.counts {
                let mut all = *seen;
                all.scale(row.represented_routers);
                by.entry((Zone(row.from), Zone(*of))).or_default().push(all);
                let (none, all) = lists.entry(Zone(*of)).or_default();
                (*none, *all) = (*none + usize::from(seen.listed == 0), *all + 1);
                if seen.load > 0.0 {
                    loads.entry(Zone(*of)).or_default().push(f64::from(seen.load));
                }
            }
            for (of, count) in &row.completions_by_home {
                homes.entry(Zone(*of)).or_default().push(f64::from(*count * row.represented_routers));
            }
        }
        // Sorted, so that sums come out the same in whatever order the rows came.
        let sorted = |mut all: Vec<f64>| {
            all.sort_by(f64::total_cmp);
            all
        };
        let mut matrix = Matrix {
            completions_by_home: homes
                .into_iter()
                .map(|(zone, all)| (zone, sorted(all).iter().sum()))
                .collect(),
            unlisted: lists
                .into_iter()
                .filter(|(_, (none, all))| 2 * none > *all)
                .map(|(zone, _)| zone)
                .collect(),
            loads: loads.into_iter().map(|(zone, all)| (zone, sorted(all.clone())[all.len() / 2])).collect(),
            ..Matrix::default()
        };
        for (key, mut all) in by {
            // Sorted by all they hold, so that sums of fractions come out the same everywhere.
            all.sort_by(|a, b| {
                let figures = |seen: &ZoneCounts| {
                    let ZoneCounts {
                        in_target, late, refused, timed_out, broken, full, probe_answers, ..
                    } = *seen;
                    [in_target, late, refused, timed_out, broken, full, probe_answers].map(f32::to_bits)
                };
                figures(a).cmp(&figures(b)).then((a.listed, a.usable).cmp(&(b.listed, b.usable)))
            });
            let mut tried: Vec<f32> = all.iter().map(ZoneCounts::attempts).collect();
            tried.sort_by(f32::total_cmp);
            let most =
                if tried.len() > 2 { ONE_MOST * tried[tried.len() / 2].max(1.0) } else { f32::INFINITY };
            let mut sum = ZoneCounts::default();
            for mut seen in all.iter().copied() {
                let tried = seen.attempts();
                if tried > most {
                    seen.scale(most / tried);
                }
                sum.add(&seen);
            }
            matrix.observations.insert(key, ZoneObservation::of(sum, &all));
        }
        matrix
    }

    /// Whether anybody finds a zone dead.
    pub fn unreachable_from_any(&self, of: Zone) -> bool {
        let rows = self.observations.iter().filter(|((_, zone), _)| *zone == of);
        rows.into_iter().any(|(_, row)| sight(Some(row)) == Sight::Dead)
    }

    /// Dispatches to a zone of late that were answered, from everywhere.
    pub fn answered_dispatches(&self, of: Zone) -> f64 {
        let seen = self.observations.iter().filter(|((_, zone), _)| *zone == of);
        seen.map(|(_, saw)| f64::from(saw.sum.in_target + saw.sum.late)).sum()
    }
}
