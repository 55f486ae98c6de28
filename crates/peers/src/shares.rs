//! What is shared out: who needs how much, and how the next page splits it.
//!
//! The first thing is the right to send to fresh workers. It is lent in whole pieces, since less than one dispatch
//! is none, and has no floor. Each further thing is split by need beyond a floor that every configured place keeps.

use std::collections::BTreeMap;

use crate::allocation::{Allocation, AllocationEntry, TOTAL_PARTS};
use crate::wire::{Generation, RouterIndex};

/// What one router wants of each thing, in units a second that all routers count alike.
pub type Needs = Vec<f64>;

/// What a router may use now.
#[derive(Clone, Debug, PartialEq)]
pub struct Granted {
    /// Routers to reckon with, and the own rank among them.
    pub routers: usize,
    pub rank: usize,
    /// Of each thing, as a share of the whole, floor included.
    pub shares: Vec<f64>,
    /// Until when on the own clock that holds without another word; then the floor alone does.
    pub until_ms: f64,
    pub allocation: u64,
}

/// Part of the way to what need asks for that one page goes. Guards against shares that swing with every gust of
/// traffic. Harm: who suddenly needs more waits for some pages.
const STEP_FRACTION: f64 = 0.5;
/// Need that everyone is held to have, as a part of the mean: nobody is lent nothing.
const MIN_NEED_FRACTION: f64 = 0.1;

/// Splits all things among those seated.
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

/// Evenly as far as it goes; the rest to those who hold one already, then to those who need most.
fn split_permits(
    entries: &[AllocationEntry],
    slow_start_permits: usize,
    need: impl Fn(&AllocationEntry) -> f64,
    old: impl Fn(&AllocationEntry) -> u16,
) -> Vec<u16> {
    let all = entries.len().max(1);
    let (each, rest) = (slow_start_permits / all, slow_start_permits % all);
    let mut order: Vec<usize> = (0..entries.len()).collect();
    let holds = |row: &usize| usize::from(old(&entries[*row])) > each;
    order.sort_by(|a, b| {
        let by_need = need(&entries[*b]).total_cmp(&need(&entries[*a]));
        holds(b).cmp(&holds(a)).then(by_need).then(a.cmp(b))
    });
    let mut parts = vec![each as u16; entries.len()];
    order.iter().take(rest).for_each(|row| parts[*row] += 1);
    parts
}

fn split_by_need(
    entries: &[AllocationEntry],
    need: impl Fn(&AllocationEntry) -> f64,
    old: impl Fn(&AllocationEntry) -> u16,
    has_previous: bool,
) -> Vec<u16> {
    let mean = entries.iter().map(&need).sum::<f64>() / entries.len().max(1) as f64;
    let wanted_needs: Vec<f64> =
        entries.iter().map(|entry| need(entry).max(MIN_NEED_FRACTION * mean).max(1e-9)).collect();
    let sum: f64 = wanted_needs.iter().sum();
    let held: f64 = entries.iter().map(|entry| f64::from(old(entry))).sum();
    let whole = f64::from(TOTAL_PARTS);
    let mut parts: Vec<f64> = entries
        .iter()
        .zip(wanted_needs)
        .map(|(entry, want)| {
            let target = whole * want / sum;
            let from = f64::from(old(entry));
            if has_previous {
                from + STEP_FRACTION * (target - from)
            } else {
                target
            }
        })
        .collect();
    // What those who are gone held goes to the others at once.
    let now: f64 = parts.iter().sum();
    if held < whole && now > 0.0 {
        parts.iter_mut().for_each(|part| *part *= whole / now);
    }
    parts.into_iter().map(|part| part.floor().clamp(0.0, whole) as u16).collect()
}

/// Whether another page is worth its while: somebody came, went or started anew, or a share is off by an eighth of
/// an even one and more, or what it carries for others is another.
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
