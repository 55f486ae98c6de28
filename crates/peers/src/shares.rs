//! Splits the shared resources among the routers by need.
//!
//! Resource 0 is the right to send to workers in slow start. It is allocated in whole permits, since a
//! fraction of a dispatch is of no use, and has no floor. Each further resource is split by need beyond a
//! floor that every configured router keeps.

use std::collections::BTreeMap;

use crate::allocation::{Allocation, AllocationEntry, TOTAL_PARTS};
use crate::wire::{Generation, RouterIndex};

/// One router's need for each resource, in units per second that all routers measure alike.
pub type Needs = Vec<f64>;

/// What a router may use now.
#[derive(Clone, Debug, PartialEq)]
pub struct Granted {
    /// Number of routers to assume, and this router's rank among them.
    pub routers: usize,
    pub rank: usize,
    /// By resource, as a fraction of the whole, floor included.
    pub shares: Vec<f64>,
    /// Until when this holds on the own clock unless it is renewed; after that the floor alone applies.
    pub until_ms: f64,
    pub allocation: u64,
}

/// Fraction of the way from the previous share towards the share by need that one allocation moves. Keeps
/// shares from oscillating with short bursts of traffic. Drawback: a router whose need rises suddenly waits
/// for several allocations.
const STEP_FRACTION: f64 = 0.5;
/// Least need assumed for every router, as a fraction of the mean, so that no router gets nothing.
const MIN_NEED_FRACTION: f64 = 0.1;

/// Splits all resources among the routers of the roster.
pub fn split(
    number: u64,
    roster: &BTreeMap<RouterIndex, (Generation, Needs)>,
    before: Option<&Allocation>,
    resources: usize,
    slow_start_permits: usize,
) -> Allocation {
    let slow_start_permits = slow_start_permits.min(usize::from(u16::MAX));
    let mut entries: Vec<AllocationEntry> = roster
        .iter()
        .map(|(router, (generation, _))| AllocationEntry {
            router: *router,
            generation: *generation,
            parts: Vec::new(),
        })
        .collect();
    for resource in 0..resources {
        let need =
            |entry: &AllocationEntry| roster[&entry.router].1.get(resource).copied().unwrap_or(0.0).max(0.0);
        let old = |entry: &AllocationEntry| {
            let entry = before
                .and_then(|allocation| allocation.entry(entry.router))
                .filter(|old| old.generation == entry.generation);
            entry.and_then(|entry| entry.parts.get(resource)).copied().unwrap_or(0)
        };
        let parts = match resource {
            0 => split_permits(&entries, slow_start_permits, need, old),
            _ => split_by_need(&entries, need, old, before.is_some()),
        };
        entries.iter_mut().zip(parts).for_each(|(entry, part)| entry.parts.push(part));
    }
    Allocation { number, slow_start_permits: slow_start_permits as u16, entries, extra: Vec::new() }
}

/// Splits evenly as far as possible; the remainder goes first to routers that hold an extra permit already,
/// then to those with the greatest need.
fn split_permits(
    entries: &[AllocationEntry],
    slow_start_permits: usize,
    need: impl Fn(&AllocationEntry) -> f64,
    old: impl Fn(&AllocationEntry) -> u16,
) -> Vec<u16> {
    let all = entries.len().max(1);
    let (each, rest) = (slow_start_permits / all, slow_start_permits % all);
    let mut order: Vec<usize> = (0..entries.len()).collect();
    let holds = |index: &usize| usize::from(old(&entries[*index])) > each;
    order.sort_by(|a, b| {
        let by_need = need(&entries[*b]).total_cmp(&need(&entries[*a]));
        holds(b).cmp(&holds(a)).then(by_need).then(a.cmp(b))
    });
    let mut parts = vec![each as u16; entries.len()];
    order.iter().take(rest).for_each(|index| parts[*index] += 1);
    parts
}

fn split_by_need(
    entries: &[AllocationEntry],
    need: impl Fn(&AllocationEntry) -> f64,
    old: impl Fn(&AllocationEntry) -> u16,
    has_previous: bool,
) -> Vec<u16> {
    let mean = entries.iter().map(&need).sum::<f64>() / entries.len().max(1) as f64;
    let weights: Vec<f64> =
        entries.iter().map(|entry| need(entry).max(MIN_NEED_FRACTION * mean).max(1e-9)).collect();
    let sum: f64 = weights.iter().sum();
    let held: f64 = entries.iter().map(|entry| f64::from(old(entry))).sum();
    let whole = f64::from(TOTAL_PARTS);
    let mut parts: Vec<f64> = entries
        .iter()
        .zip(weights)
        .map(|(entry, weight)| {
            let target = whole * weight / sum;
            let from = f64::from(old(entry));
            if has_previous {
                from + STEP_FRACTION * (target - from)
            } else {
                target
            }
        })
        .collect();
    // The parts of routers that are gone go to the others at once.
    let now: f64 = parts.iter().sum();
    if held < whole && now > 0.0 {
        parts.iter_mut().for_each(|part| *part *= whole / now);
    }
    parts.into_iter().map(|part| part.floor().clamp(0.0, whole) as u16).collect()
}

/// Whether a new allocation is worth proposing: a router joined, left or restarted, a share differs by more
/// than an eighth of an even share, or the extra data differs.
pub fn is_worth_proposing(now: &Allocation, wanted: &Allocation) -> bool {
    let same =
        now.entries.len() == wanted.entries.len()
            && now.slow_start_permits == wanted.slow_start_permits
            && now.entries.iter().zip(&wanted.entries).all(|(a, b)| {
                (a.router, a.generation, a.parts.len()) == (b.router, b.generation, b.parts.len())
            });
    let tolerance = f64::from(TOTAL_PARTS) / now.entries.len().max(1) as f64 / 8.0;
    let off = |(a, b): (&AllocationEntry, &AllocationEntry)| {
        a.parts.iter().zip(&b.parts).skip(1).any(|(a, b)| (f64::from(*a) - f64::from(*b)).abs() > tolerance)
    };
    !same || now.extra != wanted.extra || now.entries.iter().zip(&wanted.entries).any(off)
}
