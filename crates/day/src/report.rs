//! The report of a day: results of the rules, and service by workload and customer.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use paddleproxy_fleet::record::{Line, What};
use paddleproxy_settings::day::TEMPLATE;
use serde::Serialize;

use crate::checker::{rules, Facts, Rule};
use crate::failover_rules::{planned, Planned};

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub schema: &'static str,
    pub day: String,
    pub rules: Vec<Rule>,
    pub kept: bool,
    pub workloads: Vec<Service>,
    pub customers: Vec<Service>,
    /// By the shape (settings variant) of the router that got the first attempt; empty if all routers have
    /// the same.
    pub shapes: Vec<Service>,
    /// By phase of the day, relative to its troubles, in which the operation started; only for routers with
    /// peers.
    pub phases: Vec<Service>,
    /// Processor time in ms per request sent to a router, over the routers that ran throughout.
    pub cpu_ms: Option<f64>,
    /// Effects of the failover plans; only if failover between zones is configured.
    pub planned: Option<Planned>,
    /// Troubles by name, with how often each began.
    pub troubles: BTreeMap<String, usize>,
}

/// Outcomes of client operations; retries count with the first attempt. The servers are simulated.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    pub name: String,
    pub asked: usize,
    /// Share of the operations, without those that left, that got the first token within the latency target,
    /// counted from the first attempt.
    pub in_target: f64,
    pub finished: usize,
    pub rate_limited: usize,
    pub aborted: usize,
    /// Connection lost with a killed router, or no router reachable.
    pub broke: usize,
    pub left: usize,
    /// Time from the first attempt to the first token of finished operations, in ms.
    pub first_p50_ms: f64,
    pub first_p90_ms: f64,
    pub first_p99_ms: f64,
}

#[derive(Default)]
struct Op<'a> {
    model: &'a str,
    router: usize,
    customer: &'a str,
    asked_ms: f64,
    target_ms: f64,
    first_ms: Option<f64>,
    outcome: &'a str,
}

pub fn report(facts: &Facts, lines: &[Line]) -> Report {
    let mut ops: BTreeMap<&str, Op> = BTreeMap::new();
    let mut troubles = BTreeMap::new();
    for line in lines {
        match &line.what {
            What::Asked { op, attempt: 0, router, model, customer, target_ms, .. } => {
                let (asked_ms, target_ms) = (line.at_ms, *target_ms);
                ops.insert(op, Op { model, router: *router, customer, asked_ms, target_ms, ..Op::default() });
            }
            What::First { op, .. } => {
                if let Some(op) = ops.get_mut(op.as_str()) {
                    op.first_ms = Some(line.at_ms);
                }
            }
            What::Final { op, how, .. } => set_outcome(&mut ops, op, how),
            What::Broke { op, .. } => set_outcome(&mut ops, op, "broke"),
            What::Left { op, .. } => set_outcome(&mut ops, op, "left"),
            What::Trouble { name, begins: true } => *troubles.entry(name.clone()).or_default() += 1,
            _ => {}
        }
    }
    let workload = |op: &Op| facts.workload(op.model).map_or(String::new(), |row| row.name.clone());
    let rules = rules(facts, lines);
    Report {
        schema: "paddleproxy.day.v1",
        day: facts.day.clone(),
        kept: rules.iter().all(|rule| rule.broken.is_empty()),
        rules,
        workloads: services_by(ops.values(), workload),
        customers: services_by(ops.values(), |op| op.customer.to_owned()),
        shapes: match facts.shapes.is_empty() {
            true => Vec::new(),
            // If a day is emulated with more routers than it has, the additional ones use the template's
            // settings.
            false => services_by(ops.values(), |op| {
                facts.shapes.get(op.router).map_or(TEMPLATE, |name| name).to_owned()
            }),
        },
        phases: match facts.peers {
            None => Vec::new(),
            Some(_) => {
                let (first_ms, last_ms) = trouble_span(lines);
                // Customers with a request limit are left out: rejections for exceeding it say nothing about
                // the routers.
                let limited =
                    |name: &str| facts.peers.iter().flat_map(|f| &f.limits).any(|row| row.0 == name);
                let without_limit = ops.values().filter(|op| !limited(op.customer));
                services_by(without_limit, |op| {
                    let phase = match op.asked_ms {
                        at if at < first_ms => "1 before",
                        at if at < first_ms + PLAN_SETTLE_MS => "2 first 3 s",
                        at if at < last_ms => "3 during",
                        _ => "4 after",
                    };
                    phase.to_owned()
                })
            }
        },
        cpu_ms: cpu_ms(lines),
        planned: facts.failover.as_ref().map(|_| planned(lines)),
        troubles,
    }
}

fn cpu_ms(lines: &[Line]) -> Option<f64> {
    let (mut used, mut asked): (BTreeMap<usize, f64>, BTreeMap<usize, usize>) = Default::default();
    for line in lines {
        match &line.what {
            What::CpuUsed { router, cpu_ms } => drop(used.insert(*router, *cpu_ms)),
            What::Asked { router, .. } => *asked.entry(*router).or_default() += 1,
            _ => {}
        }
    }
    let all: usize = used.keys().filter_map(|router| asked.get(router)).sum();
    (all > 0).then(|| used.values().sum::<f64>() / all as f64)
}

/// Time after the first trouble within which routers may still be agreeing on a plan, in ms.
const PLAN_SETTLE_MS: f64 = 3000.0;

/// When the first trouble began and the last one ended, in ms. Operator commands and bursts of clients do not
/// count.
fn trouble_span(lines: &[Line]) -> (f64, f64) {
    let times = |wanted: bool| {
        lines.iter().filter_map(move |line| match &line.what {
            What::Trouble { name, begins }
                if *begins == wanted && !["said", "burst"].contains(&name.as_str()) =>
            {
                Some(line.at_ms)
            }
            _ => None,
        })
    };
    (times(true).fold(f64::INFINITY, f64::min), times(false).fold(f64::NEG_INFINITY, f64::max))
}

fn set_outcome<'a>(ops: &mut BTreeMap<&'a str, Op<'a>>, op: &str, how: &'a str) {
    if let Some(op) = ops.get_mut(op) {
        op.outcome = how;
    }
}

fn services_by<'a>(ops: impl Iterator<Item = &'a Op<'a>>, name: impl Fn(&Op) -> String) -> Vec<Service> {
    let mut rows: BTreeMap<String, (Service, usize, Option<Histogram<u64>>)> = BTreeMap::new();
    for op in ops {
        let row = rows.entry(name(op)).or_insert_with(|| (Service::default(), 0, Histogram::new(3).ok()));
        row.0.asked += 1;
        match op.outcome {
            "finished" => row.0.finished += 1,
            "rate-limited" => row.0.rate_limited += 1,
            "aborted" => row.0.aborted += 1,
            "left" => row.0.left += 1,
            _ => row.0.broke += 1,
        }
        if let Some(first_ms) = op.first_ms.filter(|_| op.outcome == "finished") {
            let took_ms = first_ms - op.asked_ms;
            row.1 += usize::from(took_ms <= op.target_ms);
            // An auto-resizing histogram accepts any value.
            let _ = row.2.as_mut().map(|histogram| histogram.record((took_ms * 1e3) as u64));
        }
    }
    let service =
        |(name, (mut service, in_target, histogram)): (String, (Service, usize, Option<Histogram<u64>>))| {
            let quantile = |q| histogram.as_ref().map_or(0.0, |h| h.value_at_quantile(q) as f64 / 1e3);
            // Clients that left on their own do not count in the service.
            service.in_target = in_target as f64 / service.asked.saturating_sub(service.left).max(1) as f64;
            (service.first_p50_ms, service.first_p90_ms) = (quantile(0.5), quantile(0.9));
            service.first_p99_ms = quantile(0.99);
            Service { name, ..service }
        };
    rows.into_iter().map(service).collect()
}

impl Report {
    pub fn text(&self) -> String {
        let mut text = format!("day {}: simulated servers, real routers on local sockets\n\n", self.day);
        // Writing to a String does not fail.
        let _ = writeln!(text, "{:<34} {:>9} {:>7}", "rule", "verdict", "cases");
        for rule in &self.rules {
            let _ = writeln!(text, "{:<34} {:>9} {:>7}", rule.name, rule.verdict(), rule.cases);
            for what in rule.broken.iter().take(5) {
                let _ = writeln!(text, "    {what}");
            }
            if rule.broken.len() > 5 {
                let _ = writeln!(text, "    and {} more", rule.broken.len() - 5);
            }
        }
        let tables = [
            ("workload", &self.workloads),
            ("customer", &self.customers),
            ("shape", &self.shapes),
            ("phase", &self.phases),
        ];
        for (title, rows) in tables.into_iter().filter(|(_, rows)| !rows.is_empty()) {
            let _ = writeln!(
                text,
                "\n{title:<16} {:>6} {:>9} {:>8} {:>7} {:>7} {:>5} {:>4} {:>9} {:>9} {:>9}",
                "asked",
                "in target",
                "finished",
                "limited",
                "aborted",
                "broke",
                "left",
                "p50 ms",
                "p90 ms",
                "p99 ms"
            );
            for row in rows {
                let _ = writeln!(
                    text,
                    "{:<16} {:>6} {:>9.3} {:>8} {:>7} {:>7} {:>5} {:>4} {:>9.0} {:>9.0} {:>9.0}",
                    row.name,
                    row.asked,
                    row.in_target,
                    row.finished,
                    row.rate_limited,
                    row.aborted,
                    row.broke,
                    row.left,
                    row.first_p50_ms,
                    row.first_p90_ms,
                    row.first_p99_ms
                );
            }
        }
        if let Some(cpu_ms) = self.cpu_ms {
            let _ = writeln!(text, "\na router used {cpu_ms:.2} ms of a processor for a completion");
        }
        if let Some(planned) = &self.planned {
            let _ = writeln!(
                text,
                "\nplans: {} changes, {:.4} of completions had their home near",
                planned.changes, planned.near
            );
            for (zone, most, first_ms, back_ms) in &planned.zones {
                let back = back_ms.map_or("not back".to_owned(), |ms| format!("back at {:.1} s", ms / 1e3));
                let _ = writeln!(
                    text,
                    "    {zone}: at most {most:.2} moved, first at {:.1} s, {back}",
                    first_ms / 1e3
                );
            }
        }
        let names: Vec<_> = self.troubles.iter().map(|(name, times)| format!("{name} x{times}")).collect();
        let _ =
            writeln!(text, "\ntroubles: {}", if names.is_empty() { "none".into() } else { names.join(", ") });
        text
    }
}
