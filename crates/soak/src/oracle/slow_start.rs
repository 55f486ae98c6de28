//! A server that has just started is not pushed over, by all routers together.

use std::collections::BTreeMap;

use super::{Case, Rule, Violation};
use crate::configuration::{kind_of, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_MS, SLOW_START_MS, SLOW_START_SHARE};
use crate::record::{ServerId, Start};

/// The part of the usual load's distribution that stands for what a warm server can do.
const USUAL: f64 = 0.9;
/// Below this a bound is that of small numbers.
const SMALL: f64 = 30.0;

pub(super) fn check(case: &Case, found: &mut Vec<Violation>) {
    let mut arrivals = BTreeMap::<ServerId, Vec<f64>>::new();
    for attempt in &case.observed.attempts {
        arrivals.entry(attempt.server).or_default().push(attempt.received_ms);
    }
    arrivals.values_mut().for_each(|times| times.sort_by(f64::total_cmp));
    for start in &case.observed.starts {
        let usual = usual(case, &arrivals, kind_of(start.server));
        let times = arrivals.get(&start.server).map_or(&[][..], Vec::as_slice);
        let most = worst(start, times, usual);
        if let Some((at_ms, came, bound)) = most.filter(|(_, came, bound)| came > bound) {
            let what = format!(
                "server {} started at {:.0} ms and got {came:.0} in {OVERLOAD_WINDOW_MS:.0} ms, of {bound:.0} at most",
                start.server, start.at_ms
            );
            found.push(Violation { rule: Rule::SlowStart, at_ms, router: None, request: None, what });
        }
    }
}

/// What a warm server of a kind gets in the time in which a cold one falls, at a busy moment.
fn usual(case: &Case, arrivals: &BTreeMap<ServerId, Vec<f64>>, kind: &str) -> f64 {
    let cold = |server: ServerId, at_ms: f64| {
        let fresh =
            |start: &&Start| start.server == server && (0.0..SLOW_START_MS).contains(&(at_ms - start.at_ms));
        case.observed.starts.iter().any(|start| fresh(&start))
    };
    let mut counts = Vec::new();
    for (server, times) in arrivals.iter().filter(|(server, _)| kind_of(**server) == kind) {
        let mut buckets = BTreeMap::<u64, f64>::new();
        times.iter().filter(|at_ms| !cold(*server, **at_ms)).for_each(|at_ms| {
            *buckets.entry((at_ms / OVERLOAD_WINDOW_MS) as u64).or_default() += 1.0;
        });
        counts.extend(buckets.into_values());
    }
    counts.sort_by(f64::total_cmp);
    let row = (counts.len() as f64 * USUAL) as usize;
    counts.get(row).copied().unwrap_or(0.0)
}

/// What so many requests may come to before a server falls, chance allowed for.
fn bound(allowed: f64) -> f64 {
    match allowed < SMALL {
        true => allowed + 3.0 * allowed.sqrt() + 3.0,
        false => allowed + 2.0 * allowed.sqrt() + 2.0,
    }
}

/// The time at which it got most beyond its bound: when, how much, and the bound.
fn worst(start: &Start, times: &[f64], usual: f64) -> Option<(f64, f64, f64)> {
    let within = |at_ms: &&f64| (start.at_ms..start.at_ms + SLOW_START_MS).contains(*at_ms);
    let rows = times.iter().enumerate().filter(|(_, at_ms)| within(at_ms));
    let windows = rows.map(|(row, at_ms)| {
        let came =
            times[row..].iter().take_while(|later_ms| **later_ms < at_ms + OVERLOAD_WINDOW_MS).count() as f64;
        let share = SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * (at_ms - start.at_ms) / SLOW_START_MS;
        (*at_ms, came, bound(OVERLOAD_MULTIPLE * share * usual))
    });
    windows.max_by(|a, b| (a.1 - a.2).total_cmp(&(b.1 - b.2)))
}
