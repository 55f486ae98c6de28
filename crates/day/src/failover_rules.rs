//! Checks the plans that routers agreed on for failover between zones, from what their admin ports reported.

use std::collections::{BTreeMap, BTreeSet};

use paddleproxy_fleet::record::{Line, What};
use paddleproxy_settings::day_failover::ExpectedPlan;
use serde::{Deserialize, Serialize};

use crate::checker::Rule;

/// Settings of a day that the failover rules need, stored with its record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FailoverFacts {
    /// Shares of moved sessions that the script expects of zones.
    pub expects: Vec<ExpectedPlan>,
    /// Share of a zone's spare capacity that plans leave unused.
    pub reserve: f64,
    /// False if each router decides alone: such days serve for comparison, and only the rule on flapping
    /// applies.
    pub common: bool,
}

/// Limit on how often the sessions of a zone may start to move away within a minute.
const MAX_LEAVES_PER_MINUTE: usize = 3;
/// Tolerance for spare capacity: how much one router's estimate may differ from the one that the proposer of
/// an allocation made a moment before.
const ESTIMATE_TOLERANCE: f64 = 1.25;
/// Time before an allocation is first reported within which its proposer may have made its estimate, in ms.
const ESTIMATE_AGE_MS: f64 = 3000.0;

/// Moved sessions: from zone, to zone, share of the sessions of the former.
type Moves<'a> = &'a [(String, String, f64)];

struct PlanReport<'a> {
    at_ms: f64,
    /// Cluster status of the router (`mind` in the record), such as "whole".
    status: &'a str,
    /// Number of the allocation ("page" in the record), preceded by how often a majority of the routers had
    /// been down when the reporting router started: voters that all start anew count from 1 again.
    allocation: (usize, u64),
    moves: Moves<'a>,
    /// By zone: demand and capacity, per second.
    zones: &'a [(String, f64, f64)],
}

impl PlanReport<'_> {
    fn moved(&self, zone: &str) -> f64 {
        self.moves.iter().filter(|(from, ..)| from == zone).map(|(.., share)| share).sum()
    }

    fn received_demand(&self, zone: &str) -> f64 {
        let demand = |of: &str| self.zones.iter().find(|(name, ..)| name == of).map_or(0.0, |zone| zone.1);
        self.moves.iter().filter(|(_, to, _)| to == zone).map(|(from, _, share)| share * demand(from)).sum()
    }
}

fn plan_reports(lines: &[Line]) -> Vec<PlanReport<'_>> {
    let routers = lines.iter().filter_map(|line| match &line.what {
        What::Plan { router, .. } => Some(router + 1),
        _ => None,
    });
    let routers = routers.max().unwrap_or(0);
    let (mut down, mut majority_losses, mut reports) = (BTreeSet::new(), 0, Vec::new());
    // By router: how often a majority had been down when its process started.
    let mut started: BTreeMap<usize, usize> = BTreeMap::new();
    for line in lines {
        match &line.what {
            What::RouterDown { router } => {
                let before = 2 * down.len() > routers;
                down.insert(*router);
                majority_losses += usize::from(!before && 2 * down.len() > routers);
            }
            What::RouterUp { router } => {
                down.remove(router);
                started.insert(*router, majority_losses);
            }
            What::Plan { router, status, allocation, moves, capacities, .. } => {
                let majority_losses = started.get(router).copied().unwrap_or(0);
                reports.push(PlanReport {
                    at_ms: line.at_ms,
                    status,
                    allocation: (majority_losses, *allocation),
                    moves,
                    zones: capacities,
                });
            }
            _ => {}
        }
    }
    reports
}

/// The first report of each allocation, in their order.
fn first_reports<'a>(
    reports: impl Iterator<Item = &'a PlanReport<'a>>,
) -> BTreeMap<(usize, u64), &'a PlanReport<'a>> {
    let mut allocations = BTreeMap::new();
    reports.for_each(|report| {
        allocations.entry(report.allocation).or_insert(report);
    });
    allocations
}

/// All zones named in any report.
fn zones<'a>(reports: &[PlanReport<'a>]) -> BTreeSet<&'a String> {
    reports.iter().flat_map(|report| report.zones.iter().map(|zone| &zone.0)).collect()
}

/// Results of the rules on plans. Where each router decides alone, only the rule on flapping applies.
pub fn rules(facts: &FailoverFacts, lines: &[Line]) -> Vec<Rule> {
    let reports = plan_reports(lines);
    if !facts.common {
        return vec![leave_limit(&reports)];
    }
    vec![
        one_plan_per_allocation(&reports),
        within_spare_capacity(facts, &reports),
        leave_limit(&reports),
        expected_shares(facts, &reports),
    ]
}

/// All routers that report the same allocation report the same plan.
fn one_plan_per_allocation(reports: &[PlanReport]) -> Rule {
    let mut rule = Rule::new("one plan to a page");
    let mut known: BTreeMap<(usize, u64), Moves> = BTreeMap::new();
    for report in reports.iter().filter(|report| report.allocation.1 > 0) {
        rule.cases += 1;
        let first = known.entry(report.allocation).or_insert(report.moves);
        if *first != report.moves {
            rule.broken
                .push(format!("page {} moves {:?} and {:?}", report.allocation.1, first, report.moves));
        }
    }
    rule
}

/// When a plan moves more sessions to a zone than the previous allocation did, they fit the spare capacity
/// that the zone had then.
fn within_spare_capacity(facts: &FailoverFacts, reports: &[PlanReport]) -> Rule {
    let mut rule = Rule::new("no zone beyond its room by plan");
    let allocations = first_reports(reports.iter().filter(|report| report.allocation.1 > 0));
    let mut before: Option<&PlanReport> = None;
    // The largest spare capacity that any router reported shortly before: estimates differ, and the proposer
    // used one of them.
    let max_spare = |zone: &String, at_ms: f64| {
        let recent =
            reports.iter().filter(|report| (at_ms - ESTIMATE_AGE_MS..=at_ms).contains(&report.at_ms));
        let spare = |report: &PlanReport| {
            report.zones.iter().find(|row| row.0 == *zone).map_or(0.0, |row| row.2 - row.1)
        };
        recent.map(spare).fold(0.0, f64::max)
    };
    for report in allocations.values() {
        for (zone, demand, capacity) in report.zones {
            let received = report.received_demand(zone);
            let share = |report: &PlanReport| -> f64 {
                report.moves.iter().filter(|(_, to, _)| to == zone).map(|(.., share)| share).sum()
            };
            let more = share(report) > before.map_or(0.0, share) + 1e-9;
            let limit = max_spare(zone, report.at_ms) * (1.0 - facts.reserve) * ESTIMATE_TOLERANCE;
            rule.cases += 1;
            if more && received > limit + 1.0 {
                rule.broken.push(format!(
                    "page {} at {:.0} ms gives {zone} {received:.1}/s; \
                     {capacity:.1}/s less its own {demand:.1}/s are there",
                    report.allocation.1, report.at_ms
                ));
            }
        }
        before = Some(report);
    }
    rule
}

/// Times at which the sessions of each zone started to move away, by the first router that reported it.
fn leave_times(reports: &[PlanReport]) -> BTreeMap<String, Vec<f64>> {
    let allocations = first_reports(reports.iter());
    let mut leaves: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for zone in zones(reports) {
        let (mut before, mut growing) = (0.0, false);
        for report in allocations.values() {
            let now = report.moved(zone);
            if now > before + 1e-9 && !growing {
                leaves.entry(zone.clone()).or_default().push(report.at_ms);
            }
            if (now - before).abs() > 1e-9 {
                growing = now > before;
            }
            before = now;
        }
    }
    leaves
}

/// The sessions of a zone start to move away at most [`MAX_LEAVES_PER_MINUTE`] times in any minute, even if
/// zones fail and recover repeatedly.
fn leave_limit(reports: &[PlanReport]) -> Rule {
    let mut rule = Rule::new("zones leave seldom");
    rule.cases = reports.len();
    for (zone, times) in leave_times(reports) {
        let within = |at: f64| times.iter().filter(|time| (at..at + 60_000.0).contains(*time)).count();
        if let Some(at) = times.iter().find(|at| within(**at) > MAX_LEAVES_PER_MINUTE) {
            rule.broken.push(format!("{zone} left {} times in the minute from {at:.0} ms", within(*at)));
        }
    }
    rule
}

/// Plans move the share of each zone's sessions that the day's script expects.
fn expected_shares(facts: &FailoverFacts, reports: &[PlanReport]) -> Rule {
    let mut rule = Rule::new("plans as the day expects");
    for expect in &facts.expects {
        let span = expect.from_ms..expect.to_ms;
        let mut seen = false;
        for report in reports.iter().filter(|report| {
            span.contains(&report.at_ms) && report.status == "whole" && report.allocation.1 > 0
        }) {
            (rule.cases, seen) = (rule.cases + 1, true);
            let moved = report.moved(&expect.zone);
            if !(expect.least - 1e-6..=expect.most + 1e-6).contains(&moved) {
                rule.broken.push(format!(
                    "at {:.0} ms {:.2} of {}'s sessions are moved, expected are {} to {}",
                    report.at_ms, moved, expect.zone, expect.least, expect.most
                ));
            }
        }
        if !seen {
            rule.broken
                .push(format!("nobody said anything of {} from {:.0} ms on", expect.zone, expect.from_ms));
        }
    }
    rule
}

/// Effects of the plans over the day, for the report's table.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Planned {
    /// Allocations with other moves than the one before.
    pub changes: usize,
    /// By zone: largest share moved, and ms from the day's start to the first move and to the end of the last
    /// return (None if sessions were still moved in the last second).
    pub zones: Vec<(String, f64, f64, Option<f64>)>,
    /// Share of completions whose home zone was the one that they have without a plan.
    pub near: f64,
}

pub fn planned(lines: &[Line]) -> Planned {
    let reports = plan_reports(lines);
    let allocations = first_reports(reports.iter());
    let moves: Vec<Moves> = allocations.values().map(|report| report.moves).collect();
    let changes = moves.windows(2).filter(|pair| pair[0] != pair[1]).count();
    let names = zones(&reports);
    let zone = |name: &&String| {
        let most = reports.iter().map(|report| report.moved(name)).fold(0.0, f64::max);
        let first = reports.iter().find(|report| report.moved(name) > 0.0)?;
        let last = reports.iter().rfind(|report| report.moved(name) > 0.0)?;
        let end = reports.iter().map(|report| report.at_ms).fold(0.0, f64::max);
        let back = (last.at_ms < end - 1000.0).then_some(last.at_ms);
        Some(((*name).clone(), most, first.at_ms, back))
    };
    // Counters start anew with each process, so the last value that each process reported is added up.
    let mut counts: BTreeMap<usize, (u64, u64, u64, u64)> = BTreeMap::new();
    for line in lines {
        if let What::Plan { router, completions, moved, .. } = &line.what {
            let (all, away, last, last_away) = counts.entry(*router).or_default();
            if completions < last {
                (*all, *away) = (*all + *last, *away + *last_away);
            }
            (*last, *last_away) = (*completions, *moved);
        }
    }
    let all: u64 = counts.values().map(|(all, _, last, _)| all + last).sum();
    let away: u64 = counts.values().map(|(_, away, _, last)| away + last).sum();
    Planned {
        changes,
        zones: names.iter().filter_map(zone).collect(),
        near: 1.0 - away as f64 / all.max(1) as f64,
    }
}
