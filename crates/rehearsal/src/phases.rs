use std::collections::BTreeMap;

use paddleproxy_day::checker::Facts;
use paddleproxy_emulator::record::{Line, What};
use serde::Serialize;

/// Time before and after a trouble that it is compared with, in ms.
const AROUND_MS: f64 = 10_000.0;
/// Length of the windows in which recovery is looked for, and the part of the service before that counts as
/// recovered.
const WINDOW_MS: f64 = 2000.0;
const RECOVERED: f64 = 0.95;
/// Points on a plot, about.
const POINTS: f64 = 150.0;

#[derive(Clone, Debug, Serialize)]
pub struct Rehearsal {
    pub troubles: Vec<Phase>,
    /// By workload, over time.
    pub points: BTreeMap<String, Vec<Point>>,
    pub refused_per_s: Vec<(f64, f64)>,
    pub broken_per_s: Vec<(f64, f64)>,
    pub step_ms: f64,
}

/// When a trouble lasted.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Span {
    pub name: String,
    pub from_ms: f64,
    pub to_ms: f64,
}

/// Service around one trouble, by workload: share of wishes in target that were asked before, during and
/// after it.
#[derive(Clone, Debug, Serialize)]
pub struct Phase {
    pub span: Span,
    pub workloads: BTreeMap<String, [Option<f64>; 3]>,
    /// Time after its end until service is back at 95% of before; None where it is not within the day.
    pub recovered_after_ms: Option<f64>,
}

#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    pub at_ms: f64,
    pub in_target: f64,
    pub first_ms: f64,
}

struct Wish<'a> {
    workload: &'a str,
    asked_ms: f64,
    target_ms: f64,
    first_ms: Option<f64>,
    finished: bool,
    left: bool,
}

impl Wish<'_> {
    fn in_target(&self) -> bool {
        self.finished && self.first_ms.is_some_and(|first| first - self.asked_ms <= self.target_ms)
    }
}

pub fn rehearsal(facts: &Facts, lines: &[Line]) -> Rehearsal {
    let mut wishes: BTreeMap<&str, Wish> = BTreeMap::new();
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
                let wish =
                    Wish { workload, asked_ms, target_ms, first_ms: None, finished: false, left: false };
                wishes.insert(op, wish);
                end_ms = end_ms.max(line.at_ms);
            }
            What::First { op, .. } => set(&mut wishes, op, |wish| wish.first_ms = Some(line.at_ms)),
            What::Final { op, how, .. } => {
                set(&mut wishes, op, |wish| wish.finished = how == "finished");
                if how == "rate-limited" {
                    refused.push(line.at_ms);
                }
            }
            What::Broke { .. } => broken.push(line.at_ms),
            What::Left { op, .. } => set(&mut wishes, op, |wish| wish.left = true),
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
    let wishes: Vec<_> = wishes.into_values().filter(|wish| !wish.left).collect();
    spans.sort_by(|a, b| a.from_ms.total_cmp(&b.from_ms));
    let troubles = spans.into_iter().map(|span| phase(span, &wishes, end_ms)).collect();
    let step_ms = (end_ms / POINTS).max(500.0);
    let mut points: BTreeMap<String, Vec<Point>> = BTreeMap::new();
    for workload in facts.workloads.iter().map(|row| row.name.as_str()) {
        let mut at_ms = 0.0;
        while at_ms < end_ms {
            let there: Vec<_> = wishes
                .iter()
                .filter(|wish| wish.workload == workload && (at_ms..at_ms + step_ms).contains(&wish.asked_ms))
                .collect();
            let mut firsts: Vec<_> =
                there.iter().filter_map(|wish| wish.first_ms.map(|first| first - wish.asked_ms)).collect();
            firsts.sort_by(f64::total_cmp);
            if !there.is_empty() {
                let in_target =
                    there.iter().filter(|wish| wish.in_target()).count() as f64 / there.len() as f64;
                let first_ms = firsts.get(firsts.len() * 9 / 10).copied().unwrap_or(f64::NAN);
                let point = Point { at_ms: at_ms + step_ms / 2.0, in_target, first_ms };
                points.entry(workload.to_owned()).or_default().push(point);
            }
            at_ms += step_ms;
        }
    }
    let (refused_per_s, broken_per_s) = (rates(&refused, step_ms, end_ms), rates(&broken, step_ms, end_ms));
    Rehearsal { troubles, points, refused_per_s, broken_per_s, step_ms }
}

fn set(wishes: &mut BTreeMap<&str, Wish>, op: &str, change: impl FnOnce(&mut Wish)) {
    if let Some(wish) = wishes.get_mut(op) {
        change(wish);
    }
}

fn rates(times: &[f64], step_ms: f64, end_ms: f64) -> Vec<(f64, f64)> {
    let mut counts = vec![0.0; (end_ms / step_ms).ceil() as usize + 1];
    for at in times.iter().filter(|at| (0.0..end_ms).contains(*at)) {
        counts[(at / step_ms) as usize] += 1e3 / step_ms;
    }
    counts.into_iter().enumerate().map(|(row, rate)| ((row as f64 + 0.5) * step_ms, rate)).collect()
}

/// Share in target of those asked in a time, if any were.
fn service(wishes: &[Wish], workload: Option<&str>, from_ms: f64, to_ms: f64) -> Option<f64> {
    let of = |wish: &&Wish| {
        workload.is_none_or(|name| name == wish.workload) && wish.asked_ms >= from_ms && wish.asked_ms < to_ms
    };
    let all = wishes.iter().filter(of).count();
    let good = wishes.iter().filter(of).filter(|wish| wish.in_target()).count();
    (all > 0).then(|| good as f64 / all as f64)
}

fn phase(span: Span, wishes: &[Wish], end_ms: f64) -> Phase {
    let mut names: Vec<_> = wishes.iter().map(|wish| wish.workload).collect();
    names.sort_unstable();
    names.dedup();
    let before = (span.from_ms - AROUND_MS).max(0.0);
    let times = [(before, span.from_ms), (span.from_ms, span.to_ms), (span.to_ms, span.to_ms + AROUND_MS)];
    let row = |name: &str| times.map(|(from, to)| service(wishes, Some(name), from, to));
    let workloads = names.into_iter().map(|name| (name.to_owned(), row(name))).collect();
    let usual = service(wishes, None, before, span.from_ms).unwrap_or(1.0);
    let mut from_ms = span.to_ms;
    let mut recovered_after_ms = None;
    while recovered_after_ms.is_none() && from_ms + WINDOW_MS <= end_ms {
        let now = service(wishes, None, from_ms, from_ms + WINDOW_MS);
        if now.is_some_and(|now| now >= RECOVERED * usual) {
            recovered_after_ms = Some(from_ms - span.to_ms);
        }
        from_ms += WINDOW_MS / 8.0;
    }
    Phase { span, workloads, recovered_after_ms }
}
