//! Checks that all routers together do not overload a server that has just started.

use std::collections::BTreeMap;

use super::{CheckContext, Rule, Violation};
use crate::configuration::{kind_of, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_MS, SLOW_START_MS, SLOW_START_SHARE};
use crate::record::{ServerId, Start};

/// Quantile of the load of warm servers that stands for the capacity of one.
const BUSY_QUANTILE: f64 = 0.9;
/// Below this many allowed requests, the limit is that for small numbers.
const SMALL_COUNT: f64 = 30.0;

pub(super) fn check(context: &CheckContext, found: &mut Vec<Violation>) {
    let mut arrivals = BTreeMap::<ServerId, Vec<f64>>::new();
    for attempt in &context.observed.attempts {
        arrivals.entry(attempt.server).or_default().push(attempt.received_ms);
    }
    arrivals.values_mut().for_each(|times| times.sort_by(f64::total_cmp));
    for start in &context.observed.starts {
        let warm_load = warm_load(context, &arrivals, kind_of(start.server));
        let times = arrivals.get(&start.server).map_or(&[][..], Vec::as_slice);
        let worst_window = worst_window(start, times, warm_load);
        if let Some((at_ms, received, limit)) = worst_window.filter(|(_, received, limit)| received > limit) {
            let what = format!(
                "server {} started at {:.0} ms and got {received:.0} requests in \
                 {OVERLOAD_WINDOW_MS:.0} ms, limit {limit:.0}",
                start.server, start.at_ms
            );
            found.push(Violation { rule: Rule::SlowStart, at_ms, router: None, request: None, what });
        }
    }
}

/// Requests that a warm server of a kind gets within [`OVERLOAD_WINDOW_MS`] at a busy moment.
fn warm_load(context: &CheckContext, arrivals: &BTreeMap<ServerId, Vec<f64>>, kind: &str) -> f64 {
    let in_slow_start = |server: ServerId, at_ms: f64| {
        let recent =
            |start: &&Start| start.server == server && (0.0..SLOW_START_MS).contains(&(at_ms - start.at_ms));
        context.observed.starts.iter().any(|start| recent(&start))
    };
    let mut counts = Vec::new();
    for (server, times) in arrivals.iter().filter(|(server, _)| kind_of(**server) == kind) {
        let mut buckets = BTreeMap::<u64, f64>::new();
        times.iter().filter(|at_ms| !in_slow_start(*server, **at_ms)).for_each(|at_ms| {
            *buckets.entry((at_ms / OVERLOAD_WINDOW_MS) as u64).or_default() += 1.0;
        });
        counts.extend(buckets.into_values());
    }
    counts.sort_by(f64::total_cmp);
    let index = (counts.len() as f64 * BUSY_QUANTILE) as usize;
    counts.get(index).copied().unwrap_or(0.0)
}

/// The limit for an allowed number of requests: two or three standard deviations of a Poisson count are
/// added, so that chance alone does not break the rule.
fn limit(allowed: f64) -> f64 {
    match allowed < SMALL_COUNT {
        true => allowed + 3.0 * allowed.sqrt() + 3.0,
        false => allowed + 2.0 * allowed.sqrt() + 2.0,
    }
}

/// The window in which the server exceeded its limit most: its start, its requests and the limit.
fn worst_window(start: &Start, times: &[f64], warm_load: f64) -> Option<(f64, f64, f64)> {
    let within = |at_ms: &&f64| (start.at_ms..start.at_ms + SLOW_START_MS).contains(*at_ms);
    let arrivals_within = times.iter().enumerate().filter(|(_, at_ms)| within(at_ms));
    let windows = arrivals_within.map(|(index, at_ms)| {
        let received =
            times[index..].iter().take_while(|later_ms| **later_ms < at_ms + OVERLOAD_WINDOW_MS).count()
                as f64;
        let capacity = SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * (at_ms - start.at_ms) / SLOW_START_MS;
        (*at_ms, received, limit(OVERLOAD_MULTIPLE * capacity * warm_load))
    });
    windows.max_by(|a, b| (a.1 - a.2).total_cmp(&(b.1 - b.2)))
}
