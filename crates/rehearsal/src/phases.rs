//! Service over time and around each trouble, computed from the record of a day.

use std::collections::BTreeMap;

use paddleproxy_day::checker::Facts;
use paddleproxy_emulator::record::{Line, What};
use serde::Serialize;

/// Length of the periods before and after a trouble with which it is compared, in ms.
const COMPARISON_MS: f64 = 10_000.0;
/// Length of the windows in which recovery is detected, in ms, and the fraction of the service before the
/// trouble that counts as recovered.
const RECOVERY_WINDOW_MS: f64 = 2000.0;
const RECOVERED_SHARE: f64 = 0.95;
/// Approximate number of points on a plot.
const PLOT_POINTS: f64 = 150.0;

#[derive(Clone, Debug, Serialize)]
pub struct Rehearsal {
    pub troubles: Vec<Phase>,
    /// Service over time, by workload.
    pub points: BTreeMap<String, Vec<Point>>,
    pub refused_per_s: Vec<(f64, f64)>,
    pub broken_per_s: Vec<(f64, f64)>,
    pub step_ms: f64,
}

/// Time span of a trouble.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Span {
    pub name: String,
    pub from_ms: f64,
    pub to_ms: f64,
}

/// Service around one trouble: by workload, the share in target of the operations that started before, during
/// and after it.
#[derive(Clone, Debug, Serialize)]
pub struct Phase {
    pub span: Span,
    pub workloads: BTreeMap<String, [Option<f64>; 3]>,
    /// Time from its end until service is back at 95% of the level before it; None if that is not within the
    /// day.
    pub recovered_after_ms: Option<f64>,
}

#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    pub at_ms: f64,
    pub in_target: f64,
    pub first_ms: f64,
}

struct Operation<'a> {
    workload: &'a str,
    asked_ms: f64,
    target_ms: f64,
    first_ms: Option<f64>,
    finished: bool,
    left: bool,
}

impl Operation<'_> {
    fn in_target(&self) -> bool {
        self.finished && self.first_ms.is_some_and(|first| first - self.asked_ms <= self.target_ms)
    }
}

pub fn rehearsal(facts: &Facts, lines: &[Line]) -> Rehearsal {
    let mut operations: BTreeMap<&str, Operation> = BTreeMap::new();
    let mut open: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    let mut spans = Vec::new();
    let (mut refused, mut broken) = (Vec::new(), Vec::new());
    let mut end_ms: f64 = 1.0;
    for line in lines {
        match &line.what {
            What::Asked { op, attempt: 0, model, target_ms, .. } => {
                let workload = facts.workloads.iter().find(|row| row.models.contains(model));
                let workload = workload.map_or("", |row| row.name.as_str());
                let (asked_ms, target_ms) = (line.at_ms, *target_ms);
                let operation =
                    Operation { workload, asked_ms, target_ms, first_ms: None, finished: false, left: false };
                operations.insert(op, operation);
                end_ms = end_ms.max(line.at_ms);
            }
            What::First { op, .. } => {
                update(&mut operations, op, |operation| operation.first_ms = Some(line.at_ms))
            }
            What::Final { op, how, .. } => {
                update(&mut operations, op, |operation| operation.finished = how == "finished");
                if how == "rate-limited" {
                    refused.push(line.at_ms);
                }
            }
            What::Broke { .. } => broken.push(line.at_ms),
            What::Left { op, .. } => update(&mut operations, op, |operation| operation.left = true),
            What::Trouble { name, begins: true } => open.entry(name).or_default().push(line.at_ms),
            What::Trouble { name, begins: false } => {
                let began = open.get_mut(name.as_str()).filter(|began| !began.is_empty());
                if let Some(from_ms) = began.map(|began| began.remove(0)) {
                    spans.push(Span { name: name.clone(), from_ms, to_ms: line.at_ms });
                }
            }
            _ => {}
        }
    }
    let operations: Vec<_> = operations.into_values().filter(|operation| !operation.left).collect();
    spans.sort_by(|a, b| a.from_ms.total_cmp(&b.from_ms));
    let troubles = spans.into_iter().map(|span| phase(span, &operations, end_ms)).collect();
    let step_ms = (end_ms / PLOT_POINTS).max(500.0);
    let mut points: BTreeMap<String, Vec<Point>> = BTreeMap::new();
    for workload in facts.workloads.iter().map(|row| row.name.as_str()) {
        let mut at_ms = 0.0;
        while at_ms < end_ms {
            let in_step: Vec<_> = operations
                .iter()
                .filter(|operation| {
                    operation.workload == workload && (at_ms..at_ms + step_ms).contains(&operation.asked_ms)
                })
                .collect();
            let mut first_token_ms: Vec<_> = in_step
                .iter()
                .filter_map(|operation| operation.first_ms.map(|first| first - operation.asked_ms))
                .collect();
            first_token_ms.sort_by(f64::total_cmp);
            if !in_step.is_empty() {
                let in_target = in_step.iter().filter(|operation| operation.in_target()).count() as f64
                    / in_step.len() as f64;
                let first_ms = first_token_ms.get(first_token_ms.len() * 9 / 10).copied().unwrap_or(f64::NAN);
                let point = Point { at_ms: at_ms + step_ms / 2.0, in_target, first_ms };
                points.entry(workload.to_owned()).or_default().push(point);
            }
            at_ms += step_ms;
        }
    }
    let (refused_per_s, broken_per_s) =
        (rates_per_s(&refused, step_ms, end_ms), rates_per_s(&broken, step_ms, end_ms));
    Rehearsal { troubles, points, refused_per_s, broken_per_s, step_ms }
}

fn update(operations: &mut BTreeMap<&str, Operation>, op: &str, change: impl FnOnce(&mut Operation)) {
    if let Some(operation) = operations.get_mut(op) {
        change(operation);
    }
}

fn rates_per_s(times: &[f64], step_ms: f64, end_ms: f64) -> Vec<(f64, f64)> {
    let mut counts = vec![0.0; (end_ms / step_ms).ceil() as usize + 1];
    for at in times.iter().filter(|at| (0.0..end_ms).contains(*at)) {
        counts[(at / step_ms) as usize] += 1e3 / step_ms;
    }
    counts.into_iter().enumerate().map(|(row, rate)| ((row as f64 + 0.5) * step_ms, rate)).collect()
}

/// Share in target of the operations that started in a period; None if there were none.
fn service(operations: &[Operation], workload: Option<&str>, from_ms: f64, to_ms: f64) -> Option<f64> {
    let selected = |operation: &&Operation| {
        workload.is_none_or(|name| name == operation.workload)
            && operation.asked_ms >= from_ms
            && operation.asked_ms < to_ms
    };
    let total = operations.iter().filter(selected).count();
    let in_target = operations.iter().filter(selected).filter(|operation| operation.in_target()).count();
    (total > 0).then(|| in_target as f64 / total as f64)
}

fn phase(span: Span, operations: &[Operation], end_ms: f64) -> Phase {
    let mut names: Vec<_> = operations.iter().map(|operation| operation.workload).collect();
    names.sort_unstable();
    names.dedup();
    let before = (span.from_ms - COMPARISON_MS).max(0.0);
    let times =
        [(before, span.from_ms), (span.from_ms, span.to_ms), (span.to_ms, span.to_ms + COMPARISON_MS)];
    let row = |name: &str| times.map(|(from, to)| service(operations, Some(name), from, to));
    let workloads = names.into_iter().map(|name| (name.to_owned(), row(name))).collect();
    let baseline = service(operations, None, before, span.from_ms).unwrap_or(1.0);
    let mut from_ms = span.to_ms;
    let mut recovered_after_ms = None;
    while recovered_after_ms.is_none() && from_ms + RECOVERY_WINDOW_MS <= end_ms {
        let now = service(operations, None, from_ms, from_ms + RECOVERY_WINDOW_MS);
        if now.is_some_and(|now| now >= RECOVERED_SHARE * baseline) {
            recovered_after_ms = Some(from_ms - span.to_ms);
        }
        from_ms += RECOVERY_WINDOW_MS / 8.0;
    }
    Phase { span, workloads, recovered_after_ms }
}
