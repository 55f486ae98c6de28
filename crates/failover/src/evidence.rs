//! Evidence on zones: decaying counts of the outcomes of each router's own dispatches, summed by observing
//! and observed zone.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::operator_commands::StampedCommand;
use crate::verdict::{reachability, Reachability};
use crate::Zone;

/// Recent outcomes of dispatches to one zone; the counts decay with a half-life that the caller sets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "EncodedCounts", into = "EncodedCounts")]
pub struct ZoneCounts {
    /// First tokens within the latency target.
    pub in_target: f32,
    /// First tokens after the latency target.
    pub late: f32,
    /// Workers that could not be reached, e.g. refused connections.
    pub refused: f32,
    /// Connections or answers that did not come in time.
    pub timed_out: f32,
    /// Answers that failed, broke off or stalled.
    pub broken: f32,
    /// Rejections for lack of capacity.
    pub full: f32,
    /// Answers to probes, which are sent to zones that get no dispatches.
    pub probe_answers: f32,
    /// Share of its capacity in use, as reported by its workers, of the role that has least left; 0 without
    /// reports.
    pub load: f32,
    /// Workers listed. 0 means that workers of the zone were known and the list has dropped all of them.
    pub listed: u16,
    /// Listed workers that can be used.
    pub usable: u16,
}

impl ZoneCounts {
    /// All dispatches and answered probes.
    pub fn attempts(&self) -> f32 {
        self.in_target
            + self.late
            + self.refused
            + self.timed_out
            + self.broken
            + self.full
            + self.probe_answers
    }

    /// Attempts that did not reach a worker or got no complete answer.
    pub fn failed(&self) -> f32 {
        self.refused + self.timed_out + self.broken
    }

    /// Multiplies the counts of outcomes.
    pub fn scale(&mut self, factor: f32) {
        for count in [
            &mut self.in_target,
            &mut self.late,
            &mut self.refused,
            &mut self.timed_out,
            &mut self.broken,
            &mut self.full,
            &mut self.probe_answers,
        ] {
            *count *= factor;
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
        // The list is the same for all routers; the highest number that any of them knows is taken.
        self.listed = self.listed.max(other.listed);
        self.usable = self.usable.max(other.usable);
    }

    /// Whether all counts are finite, not negative and not above what a router can have counted.
    fn is_valid(&self) -> bool {
        let ZoneCounts { in_target, late, refused, timed_out, broken, full, probe_answers, load, .. } = *self;
        let counts = [in_target, late, refused, timed_out, broken, full, probe_answers, load];
        counts.iter().all(|count| count.is_finite() && (0.0..=MAX_COUNT).contains(count))
    }
}

/// Counts as sent: one byte each for the rounded logarithm, so that 30 zones fit into a datagram and a
/// count that hardly changed is encoded the same.
#[derive(Serialize, Deserialize)]
struct EncodedCounts([u8; 8], u16, u16);

/// Steps of the encoding for each doubling of a count.
const STEPS_PER_DOUBLING: f32 = 6.0;

fn encode_count(count: f32) -> u8 {
    (STEPS_PER_DOUBLING * (1.0 + count.max(0.0)).log2()).round().min(255.0) as u8
}

fn decode_count(step: u8) -> f32 {
    (f32::from(step) / STEPS_PER_DOUBLING).exp2() - 1.0
}

impl From<ZoneCounts> for EncodedCounts {
    fn from(counts: ZoneCounts) -> Self {
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
        } = counts;
        let counts = [in_target, late, refused, timed_out, broken, full, probe_answers].map(encode_count);
        let [a, b, c, d, e, f, g] = counts;
        EncodedCounts([a, b, c, d, e, f, g, (load.clamp(0.0, 2.0) * 100.0).round() as u8], listed, usable)
    }
}

impl From<EncodedCounts> for ZoneCounts {
    fn from(EncodedCounts([a, b, c, d, e, f, g, load], listed, usable): EncodedCounts) -> Self {
        let [in_target, late, refused, timed_out, broken, full, probe_answers] =
            [a, b, c, d, e, f, g].map(decode_count);
        let load = f32::from(load) / 100.0;
        ZoneCounts { in_target, late, refused, timed_out, broken, full, probe_answers, load, listed, usable }
    }
}

/// Highest count that is accepted from a peer.
const MAX_COUNT: f32 = 1e7;
/// Most routers that one row may represent.
const MAX_REPRESENTED_ROUTERS: f32 = 4096.0;
/// Most zones in a row.
const MAX_ZONES: usize = 64;

/// Evidence of one router: its zone, and what it observed of each zone. Its size grows with the number of
/// zones, not of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceRow {
    /// Zone of the router.
    pub from: u8,
    /// Number of routers of its zone that the row stands for: in a zone with many routers, some report for
    /// all.
    pub represented_routers: f32,
    /// Observed zones, in ascending order.
    pub counts: Vec<(u8, ZoneCounts)>,
    /// Recent completions by the origin zone of their sessions, which is their home while no plan is in
    /// force.
    pub completions_by_home: Vec<(u8, f32)>,
    /// Operator commands that the router knows of.
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

/// Routers of a zone that report what they observe. With more routers, those with the lowest indices
/// report, each for an equal part of all. Limits the evidence of a thousand routers to some hundreds of
/// rows; the price is that the reporters stand for routers whose traffic may differ.
pub const MAX_REPORTERS_PER_ZONE: usize = 9;

/// Number of routers that a router represents; none if others report for it. `rank`: routers of its zone
/// with a lower index; `all`: routers of its zone, itself included.
pub fn represented_routers(rank: usize, all: usize) -> Option<f32> {
    (rank < MAX_REPORTERS_PER_ZONE).then(|| all.max(1) as f32 / all.clamp(1, MAX_REPORTERS_PER_ZONE) as f32)
}

/// The bytes are not a valid row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid evidence row")]
pub struct EvidenceError;

impl EvidenceRow {
    /// Encodes the row. Writing plain values to memory can't fail; a reader rejects an empty result.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a row.
    ///
    /// # Errors
    /// The bytes are not a row, or it contains counts that no router can have.
    pub fn read(bytes: &[u8]) -> Result<EvidenceRow, EvidenceError> {
        let row: EvidenceRow = postcard::from_bytes(bytes).map_err(|_| EvidenceError)?;
        let ordered = row.counts.windows(2).all(|pair| pair[0].0 < pair[1].0);
        let count_is_valid = |(_, count): &(u8, f32)| count.is_finite() && (0.0..=MAX_COUNT).contains(count);
        let valid = row.counts.len().max(row.completions_by_home.len()).max(row.commands.len()) <= MAX_ZONES
            && ordered
            && row.represented_routers.is_finite()
            && (1.0..=MAX_REPRESENTED_ROUTERS).contains(&row.represented_routers)
            && row.counts.iter().all(|(_, counts)| counts.is_valid())
            && row.completions_by_home.iter().all(count_is_valid);
        if valid {
            Ok(row)
        } else {
            Err(EvidenceError)
        }
    }
}

/// The evidence of all routers by observing and observed zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Matrix {
    /// Keyed by observing zone, then observed zone.
    pub observations: BTreeMap<(Zone, Zone), ZoneObservation>,
    /// Recent completions by the origin zone of their sessions.
    pub completions_by_home: BTreeMap<Zone, f64>,
    /// Load of each zone: the median over the rows.
    pub loads: BTreeMap<Zone, f64>,
    /// Zones of which most of the routers that know workers there have none on their list.
    pub unlisted: BTreeSet<Zone>,
}

/// What the routers of one zone observed of another, or of their own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneObservation {
    pub sum: ZoneCounts,
    /// Number of rows behind the sum.
    pub routers: usize,
    /// Share of attempts that failed. This share and the next two are medians over the routers; of the two
    /// middle values of an even number, the better one.
    pub failed_share: f32,
    /// Share within the latency target of the dispatches that were answered or failed.
    pub in_target_share: f32,
    /// Share rejected for lack of capacity of the dispatches that were answered, failed or were rejected.
    pub full_share: f32,
}

/// Attempts from which a router's share for one zone counts.
const MIN_ROUTER_ATTEMPTS: f32 = 1.0;

impl ZoneObservation {
    fn of(sum: ZoneCounts, all: &[ZoneCounts]) -> ZoneObservation {
        let shares = |part: fn(&ZoneCounts) -> f32, whole: fn(&ZoneCounts) -> f32| {
            let mut shares: Vec<f32> = all
                .iter()
                .filter(|counts| whole(counts) >= MIN_ROUTER_ATTEMPTS)
                .map(|counts| part(counts) / whole(counts))
                .collect();
            shares.sort_by(f32::total_cmp);
            shares
        };
        let answered = |counts: &ZoneCounts| counts.in_target + counts.late + counts.failed();
        let failed = shares(ZoneCounts::failed, ZoneCounts::attempts);
        let in_target = shares(|counts| counts.in_target, answered);
        let full = shares(
            |counts| counts.full,
            |counts| counts.in_target + counts.late + counts.failed() + counts.full,
        );
        // Of an even number the better of the two middle values: one of two routers alone is no evidence
        // against a zone.
        let lower_median =
            |shares: &[f32]| shares.get(shares.len().saturating_sub(1) / 2).copied().unwrap_or(0.0);
        let upper_median = |shares: &[f32]| shares.get(shares.len() / 2).copied().unwrap_or(1.0);
        ZoneObservation {
            sum,
            routers: all.len(),
            failed_share: lower_median(&failed),
            in_target_share: upper_median(&in_target),
            full_share: lower_median(&full),
        }
    }
}

/// Limit on the weight of one row: its attempts count up to this multiple of the median attempts from its
/// zone. Keeps one router that reports wrong figures, or that stopped long ago, from moving anything by
/// itself; the price is that in a zone with few routers the busiest one counts for less than it observed.
const MAX_MULTIPLE_OF_MEDIAN: f32 = 2.0;

impl Matrix {
    /// Sums up all rows; the result does not depend on their order.
    pub fn from_rows<'a>(rows: impl IntoIterator<Item = &'a EvidenceRow>) -> Matrix {
        let mut by_pair: BTreeMap<(Zone, Zone), Vec<ZoneCounts>> = BTreeMap::new();
        let mut homes: BTreeMap<Zone, Vec<f64>> = BTreeMap::new();
        let mut loads: BTreeMap<Zone, Vec<f64>> = BTreeMap::new();
        let mut lists: BTreeMap<Zone, (usize, usize)> = BTreeMap::new();
        for row in rows {
            for (of, counts) in &row.counts {
                let mut all = *counts;
                all.scale(row.represented_routers);
                by_pair.entry((Zone(row.from), Zone(*of))).or_default().push(all);
                let (none, all) = lists.entry(Zone(*of)).or_default();
                (*none, *all) = (*none + usize::from(counts.listed == 0), *all + 1);
                if counts.load > 0.0 {
                    loads.entry(Zone(*of)).or_default().push(f64::from(counts.load));
                }
            }
            for (of, count) in &row.completions_by_home {
                homes.entry(Zone(*of)).or_default().push(f64::from(*count * row.represented_routers));
            }
        }
        // Sorted, so that floating-point sums do not depend on the order of the rows.
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
        for (key, mut all) in by_pair {
            // Sorted by all fields, so that floating-point sums are the same at every router.
            all.sort_by(|a, b| {
                let bits = |counts: &ZoneCounts| {
                    let ZoneCounts {
                        in_target, late, refused, timed_out, broken, full, probe_answers, ..
                    } = *counts;
                    [in_target, late, refused, timed_out, broken, full, probe_answers].map(f32::to_bits)
                };
                bits(a).cmp(&bits(b)).then((a.listed, a.usable).cmp(&(b.listed, b.usable)))
            });
            let mut attempts: Vec<f32> = all.iter().map(ZoneCounts::attempts).collect();
            attempts.sort_by(f32::total_cmp);
            let max_attempts = if attempts.len() > 2 {
                MAX_MULTIPLE_OF_MEDIAN * attempts[attempts.len() / 2].max(1.0)
            } else {
                f32::INFINITY
            };
            let mut sum = ZoneCounts::default();
            for mut counts in all.iter().copied() {
                let attempts = counts.attempts();
                if attempts > max_attempts {
                    counts.scale(max_attempts / attempts);
                }
                sum.add(&counts);
            }
            matrix.observations.insert(key, ZoneObservation::of(sum, &all));
        }
        matrix
    }

    /// Whether at least one zone finds a zone unreachable.
    pub fn unreachable_from_any(&self, of: Zone) -> bool {
        let observations = self.observations.iter().filter(|((_, zone), _)| *zone == of);
        observations
            .into_iter()
            .any(|(_, observation)| reachability(Some(observation)) == Reachability::Unreachable)
    }

    /// Recent dispatches to a zone that were answered, from all zones.
    pub fn answered_dispatches(&self, of: Zone) -> f64 {
        let observations = self.observations.iter().filter(|((_, zone), _)| *zone == of);
        observations.map(|(_, observation)| f64::from(observation.sum.in_target + observation.sum.late)).sum()
    }
}
