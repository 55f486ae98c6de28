//! Checks, from the record alone, what routers reported about each other and its effect on the sockets.

use std::collections::{BTreeMap, BTreeSet};

use paddleproxy_fleet::record::{Line, What};
use serde::{Deserialize, Serialize};

use crate::checker::Rule;

/// Settings of a day that the peer rules need, stored with its record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerFacts {
    pub routers: usize,
    /// Time after the last fault within which all routers must have the same view, in ms.
    pub heals_ms: f64,
    /// Time within which each running router has been polled once and has answered, in ms.
    #[serde(default)]
    pub asks_ms: f64,
    /// Time after a fault for which a router may still be considered failed because of it, in ms.
    pub blamed_ms: f64,
    /// By customer: limit in requests a second, and the burst allowed on top, as time at that rate in ms.
    pub limits: Vec<(String, f64, f64)>,
}

struct PeerReport<'a> {
    asked_ms: f64,
    received_ms: f64,
    router: usize,
    /// Cluster status of the router (`mind` in the record), such as "whole" or "displaced".
    status: &'a str,
    /// The router's share of each common limit.
    shares: &'a [f64],
    /// Checksum of the router's view; equal views have equal checksums.
    digest: u32,
    /// Indices of the other routers reported alive or suspect.
    alive: &'a [usize],
    /// Routers reported failed: index and generation (`life` in the record).
    failed: &'a [(usize, u64)],
}

/// Results of the rules on routers with peers.
pub fn rules(facts: &PeerFacts, lines: &[Line]) -> Vec<Rule> {
    let reports: Vec<PeerReport> = lines
        .iter()
        .filter_map(|line| match &line.what {
            What::PeerStatus { router, asked_ms, status, shares, digest, alive, failed, .. } => {
                Some(PeerReport {
                    asked_ms: *asked_ms,
                    received_ms: line.at_ms,
                    router: *router,
                    status,
                    shares,
                    digest: *digest,
                    alive,
                    failed,
                })
            }
            _ => None,
        })
        .collect();
    let spans = spans(lines);
    vec![
        false_failures(facts, &reports, &spans),
        common_shares(&reports, &spans),
        convergence(facts, &reports, &spans, lines),
        customer_limits(facts, lines),
    ]
}

/// Time span of a fault, and the routers that it affects. A router that is down counts as a fault too.
#[derive(Debug)]
pub(crate) struct Span {
    name: String,
    routers: Vec<usize>,
    pub(crate) from_ms: f64,
    pub(crate) to_ms: f64,
}

impl Span {
    /// Whether this fault stopped that router's process at some time within the interval.
    pub(crate) fn stopped(&self, router: usize, from_ms: f64, to_ms: f64) -> bool {
        matches!(self.name.as_str(), "routers-paused" | "routers-starved")
            && self.touches(router, from_ms, to_ms)
    }

    /// Whether this fault affected links of that router at some time within the interval, so that it may have
    /// been unable to reach a server that holds a state.
    pub(crate) fn cut(&self, router: usize, from_ms: f64, to_ms: f64) -> bool {
        self.name == "link" && self.touches(router, from_ms, to_ms)
    }

    fn touches(&self, router: usize, from_ms: f64, to_ms: f64) -> bool {
        self.routers.contains(&router) && self.from_ms <= to_ms && from_ms <= self.to_ms
    }
}

pub(crate) fn spans(lines: &[Line]) -> Vec<Span> {
    let mut spans: Vec<Span> = Vec::new();
    for line in lines {
        let (name, routers, begins) = match &line.what {
            What::Fault { name, routers, begins } => (name.clone(), routers.clone(), *begins),
            What::RouterDown { router } => ("down".to_owned(), vec![*router], true),
            What::RouterUp { router } => ("down".to_owned(), vec![*router], false),
            _ => continue,
        };
        let open =
            |span: &&mut Span| span.name == name && span.routers == routers && span.to_ms.is_infinite();
        match (begins, spans.iter_mut().find(open)) {
            (true, None) => spans.push(Span { name, routers, from_ms: line.at_ms, to_ms: f64::INFINITY }),
            (false, Some(span)) => span.to_ms = line.at_ms,
            _ => {}
        }
    }
    spans
}

/// No router is reported failed unless it or the reporting router was affected by a fault.
fn false_failures(facts: &PeerFacts, reports: &[PeerReport], spans: &[Span]) -> Rule {
    let mut rule = Rule::new("none called failed without cause");
    // By router: the peers that it reported failed at its last poll. Only additions are checked.
    let mut known_failed: BTreeMap<usize, BTreeSet<(usize, u64)>> = BTreeMap::new();
    for report in reports {
        rule.cases += report.alive.len();
        let now: BTreeSet<_> = report.failed.iter().copied().collect();
        let before = known_failed.insert(report.router, now.clone()).unwrap_or_default();
        for (of, generation) in now.difference(&before) {
            let touches = |span: &&Span| {
                let affected = span.routers.contains(of) || span.routers.contains(&report.router);
                affected && span.name != "noise" && span.from_ms <= report.received_ms
            };
            let close = |span: &Span| report.asked_ms <= span.to_ms + facts.blamed_ms;
            if !spans.iter().filter(touches).any(close) {
                rule.broken.push(format!(
                    "router {} called router {of} (life {generation}) failed at {:.0} ms",
                    report.router, report.received_ms
                ));
            }
        }
    }
    rule
}

/// The routers' shares of a common limit add up to at most 1. Of each router the smaller of the shares
/// reported before and after a moment counts, so that no share counts that the router had already released.
fn common_shares(reports: &[PeerReport], spans: &[Span]) -> Rule {
    let mut rule = Rule::new("shares within the whole");
    let mut by_router: BTreeMap<usize, Vec<&PeerReport>> = BTreeMap::new();
    reports.iter().for_each(|report| by_router.entry(report.router).or_default().push(report));
    let limit_count = reports.iter().map(|report| report.shares.len()).max().unwrap_or(0);
    let mut worst = 0.0f64;
    for at in reports {
        let now_ms = at.received_ms;
        // Two processes with the same router index have one minimum share each until they learn of each
        // other.
        if spans.iter().any(|span| span.name == "namesake" && (span.from_ms..=span.to_ms).contains(&now_ms)) {
            continue;
        }
        rule.cases += 1;
        for limit in 0..limit_count {
            let of = |rows: &Vec<&PeerReport>| {
                let after = rows.partition_point(|report| report.received_ms < now_ms);
                let (before, after) = (rows.get(after.checked_sub(1)?)?, rows.get(after)?);
                let close = after.asked_ms - before.received_ms < 1000.0;
                let share = |report: &PeerReport| report.shares.get(limit).copied().unwrap_or(0.0);
                close.then(|| share(before).min(share(after)))
            };
            let sum: f64 = by_router.values().filter_map(of).sum();
            worst = worst.max(sum);
            if sum > 1.0 + 1e-6 && rule.broken.len() < 20 {
                rule.broken.push(format!("at {now_ms:.0} ms routers together had {sum:.3} of thing {limit}"));
            }
        }
    }
    rule
}

/// Some time after the last fault, all running routers have the same view, and it contains all of them.
fn convergence(facts: &PeerFacts, reports: &[PeerReport], spans: &[Span], lines: &[Line]) -> Rule {
    let mut rule = Rule::new("one view after healing");
    let end_ms = lines.iter().map(|line| line.at_ms).fold(0.0, f64::max);
    let mut fault_starts: Vec<f64> = spans.iter().map(|span| span.from_ms).collect();
    fault_starts.push(end_ms);
    fault_starts.sort_by(f64::total_cmp);
    let fault_free = |at: f64| !spans.iter().any(|span| span.from_ms <= at && at < span.to_ms);
    for from_ms in std::iter::once(0.0).chain(spans.iter().map(|span| span.to_ms)) {
        if !from_ms.is_finite() || !fault_free(from_ms + 1e-6) {
            continue;
        }
        let healed_ms = from_ms + facts.heals_ms;
        let until_ms = fault_starts.iter().copied().find(|at| *at > from_ms).unwrap_or(end_ms);
        let settled: Vec<&PeerReport> = reports
            .iter()
            .filter(|report| report.asked_ms >= healed_ms && report.received_ms < until_ms)
            .collect();
        let mut first_reports: BTreeMap<usize, &PeerReport> = BTreeMap::new();
        for report in settled {
            first_reports.entry(report.router).or_insert(report);
        }
        if first_reports.is_empty() {
            continue;
        }
        rule.cases += 1;
        let mut broken = |what: String| {
            rule.broken.push(format!("{:.1} s after {from_ms:.0} ms: {what}", facts.heals_ms / 1e3))
        };
        // A displaced process (another one took over its router index) is not part of the view.
        let displaced = first_reports.values().filter(|report| report.status == "displaced").count();
        first_reports.retain(|_, report| report.status != "displaced");
        let expected = facts.routers - displaced;
        // Missing reports count only if there was time to poll every router: the next fault may start at
        // once.
        if first_reports.len() < expected && until_ms - healed_ms >= facts.asks_ms {
            broken(format!("{} of {expected} routers say anything", first_reports.len()));
        }
        let digests: BTreeSet<u32> = first_reports.values().map(|report| report.digest).collect();
        if digests.len() > 1 {
            broken(format!("{} different views", digests.len()));
        }
        for report in first_reports.values() {
            if report.alive.len() + 1 != expected || report.status != "whole" {
                broken(format!(
                    "router {} is {} and holds {} others alive",
                    report.router,
                    report.status,
                    report.alive.len()
                ));
            }
        }
    }
    rule
}

/// Lengths of the windows in which a customer's requests are counted, in ms.
const WINDOWS_MS: [f64; 3] = [1000.0, 4000.0, 16_000.0];

/// A customer's requests at all routers together stay within its limit: in any window at most its rate, its
/// burst, and one more request for each router, since a router cannot grant a fraction of one.
fn customer_limits(facts: &PeerFacts, lines: &[Line]) -> Rule {
    let mut rule = Rule::new("customers' limits in common");
    let mut customers: BTreeMap<&str, &str> = BTreeMap::new();
    let mut dispatch_times: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    let mut counted = BTreeSet::new();
    for line in lines {
        match &line.what {
            What::Asked { op, customer, .. } => drop(customers.insert(op, customer)),
            What::Dispatch { client, .. } => {
                let op = client.split('/').next().unwrap_or(client);
                if let Some(customer) = customers.get(op).filter(|_| counted.insert(client.as_str())) {
                    dispatch_times.entry(customer).or_default().push(line.at_ms);
                }
            }
            _ => {}
        }
    }
    for (customer, per_s, burst_ms) in &facts.limits {
        let Some(times) = dispatch_times.get(customer.as_str()) else { continue };
        rule.cases += times.len();
        for window_ms in WINDOWS_MS {
            let most = per_s * (window_ms + burst_ms) / 1e3 + facts.routers as f64;
            let within = |row: usize| times.partition_point(|at| *at < times[row] + window_ms) - row;
            if let Some(row) = (0..times.len()).find(|row| within(*row) as f64 > most) {
                rule.broken.push(format!(
                    "{customer} got {} requests through in {:.0} s from {:.0} ms, {most:.0} are allowed",
                    within(row),
                    window_ms / 1e3,
                    times[row]
                ));
            }
        }
    }
    rule
}
