//! Judges what routers said of each other, and what came of it on the sockets, from the record alone.

use std::collections::{BTreeMap, BTreeSet};

use paddleproxy_fleet::record::{Line, What};
use serde::{Deserialize, Serialize};

use crate::audit::Rule;

/// The figures by which fellows are judged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FellowsFacts {
    pub routers: usize,
    /// Time in which all are of one view after the last fault, in ms.
    pub heals_ms: f64,
    /// Time in which each running router has been asked once and has answered, in ms.
    #[serde(default)]
    pub asks_ms: f64,
    /// How long after a fault somebody may still be thought gone for it, in ms.
    pub blamed_ms: f64,
    /// Customers' limits: requests a second, and the time of it that may come at once, in ms.
    pub limits: Vec<(String, f64, f64)>,
}

struct Said<'a> {
    asked_ms: f64,
    heard_ms: f64,
    router: usize,
    mind: &'a str,
    shares: &'a [f64],
    digest: u32,
    alive: &'a [usize],
    failed: &'a [(usize, u64)],
}

/// Rules on fellows; none where the day has none.
pub fn rules(facts: &FellowsFacts, lines: &[Line]) -> Vec<Rule> {
    let said: Vec<Said> = lines
        .iter()
        .filter_map(|line| match &line.what {
            What::PeerStatus { router, asked_ms, status: mind, shares, digest, alive, failed, .. } => {
                Some(Said {
                    asked_ms: *asked_ms,
                    heard_ms: line.at_ms,
                    router: *router,
                    mind,
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
        blamed(facts, &said, &spans),
        shared(&said, &spans),
        healed(facts, &said, &spans, lines),
        limited(facts, lines),
    ]
}

/// A fault from its beginning to its end: whom it touches. Routers that are down are one too.
#[derive(Debug)]
pub(crate) struct Span {
    name: String,
    routers: Vec<usize>,
    pub(crate) from_ms: f64,
    pub(crate) to_ms: f64,
}

impl Span {
    /// Whether that router's process was stopped by it at some time in between.
    pub(crate) fn stopped(&self, router: usize, from_ms: f64, to_ms: f64) -> bool {
        matches!(self.name.as_str(), "routers-paused" | "routers-starved")
            && self.touches(router, from_ms, to_ms)
    }

    /// Whether links of that router were at fault at some time in between: it may not have reached who holds a state.
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

/// Nobody is called failed who was not stopped, killed or cut.
fn blamed(facts: &FellowsFacts, said: &[Said], spans: &[Span]) -> Rule {
    let mut rule = Rule::new("none called failed without cause");
    // Whom each router held for failed when it was last asked: what counts is when it began to.
    let mut held: BTreeMap<usize, BTreeSet<(usize, u64)>> = BTreeMap::new();
    for said in said {
        rule.cases += said.alive.len();
        let now: BTreeSet<_> = said.failed.iter().copied().collect();
        let before = held.insert(said.router, now.clone()).unwrap_or_default();
        for (of, life) in now.difference(&before) {
            let touches = |span: &&Span| {
                let there = span.routers.contains(of) || span.routers.contains(&said.router);
                there && span.name != "noise" && span.from_ms <= said.heard_ms
            };
            let near = |span: &Span| said.asked_ms <= span.to_ms + facts.blamed_ms;
            if !spans.iter().filter(touches).any(near) {
                rule.broken.push(format!(
                    "router {} called router {of} (life {life}) failed at {:.0} ms",
                    said.router, said.heard_ms
                ));
            }
        }
    }
    rule
}

/// What all may use is at most the whole: of each router the lesser of what it said before and after, so that none is
/// counted with what it had given up.
fn shared(said: &[Said], spans: &[Span]) -> Rule {
    let mut rule = Rule::new("shares within the whole");
    let mut rows: BTreeMap<usize, Vec<&Said>> = BTreeMap::new();
    said.iter().for_each(|said| rows.entry(said.router).or_default().push(said));
    let things = said.iter().map(|said| said.shares.len()).max().unwrap_or(0);
    let mut worst = 0.0f64;
    for at in said {
        let now_ms = at.heard_ms;
        // Two processes of one place have one floor each until they hear of each other.
        if spans.iter().any(|span| span.name == "namesake" && (span.from_ms..=span.to_ms).contains(&now_ms)) {
            continue;
        }
        rule.cases += 1;
        for thing in 0..things {
            let of = |rows: &Vec<&Said>| {
                let after = rows.partition_point(|said| said.heard_ms < now_ms);
                let (before, after) = (rows.get(after.checked_sub(1)?)?, rows.get(after)?);
                let near = after.asked_ms - before.heard_ms < 1000.0;
                let share = |said: &Said| said.shares.get(thing).copied().unwrap_or(0.0);
                near.then(|| share(before).min(share(after)))
            };
            let sum: f64 = rows.values().filter_map(of).sum();
            worst = worst.max(sum);
            if sum > 1.0 + 1e-6 && rule.broken.len() < 20 {
                rule.broken.push(format!("at {now_ms:.0} ms routers together had {sum:.3} of thing {thing}"));
            }
        }
    }
    rule
}

/// Some time after the last fault all that run have one view, with all that run in it.
fn healed(facts: &FellowsFacts, said: &[Said], spans: &[Span], lines: &[Line]) -> Rule {
    let mut rule = Rule::new("one view after healing");
    let end_ms = lines.iter().map(|line| line.at_ms).fold(0.0, f64::max);
    let mut begins: Vec<f64> = spans.iter().map(|span| span.from_ms).collect();
    begins.push(end_ms);
    begins.sort_by(f64::total_cmp);
    let quiet = |at: f64| !spans.iter().any(|span| span.from_ms <= at && at < span.to_ms);
    for from_ms in std::iter::once(0.0).chain(spans.iter().map(|span| span.to_ms)) {
        if !from_ms.is_finite() || !quiet(from_ms + 1e-6) {
            continue;
        }
        let healed_ms = from_ms + facts.heals_ms;
        let until_ms = begins.iter().copied().find(|at| *at > from_ms).unwrap_or(end_ms);
        let later: Vec<&Said> =
            said.iter().filter(|said| said.asked_ms >= healed_ms && said.heard_ms < until_ms).collect();
        let mut first: BTreeMap<usize, &Said> = BTreeMap::new();
        for said in later {
            first.entry(said.router).or_insert(said);
        }
        if first.is_empty() {
            continue;
        }
        rule.cases += 1;
        let mut broken = |what: String| {
            rule.broken.push(format!("{:.1} s after {from_ms:.0} ms: {what}", facts.heals_ms / 1e3))
        };
        // Who has no part in the view any more is not looked for in it.
        let displaced = first.values().filter(|said| said.mind == "displaced").count();
        first.retain(|_, said| said.mind != "displaced");
        let wanted = facts.routers - displaced;
        // Silence tells something only where there was time to ask everybody: the next fault may come at once.
        if first.len() < wanted && until_ms - healed_ms >= facts.asks_ms {
            broken(format!("{} of {wanted} routers say anything", first.len()));
        }
        let digests: BTreeSet<u32> = first.values().map(|said| said.digest).collect();
        if digests.len() > 1 {
            broken(format!("{} different views", digests.len()));
        }
        for said in first.values() {
            if said.alive.len() + 1 != wanted || said.mind != "whole" {
                broken(format!(
                    "router {} is {} and holds {} others alive",
                    said.router,
                    said.mind,
                    said.alive.len()
                ));
            }
        }
    }
    rule
}

/// Longest and shortest time over which a customer's requests are counted, in ms.
const WINDOWS_MS: [f64; 3] = [1000.0, 4000.0, 16_000.0];

/// What a customer got through at all routers together keeps its limit: in any window its rate, its burst, and one
/// request for each router, since a part of a request is none.
fn limited(facts: &FellowsFacts, lines: &[Line]) -> Rule {
    let mut rule = Rule::new("customers' limits in common");
    let mut customers: BTreeMap<&str, &str> = BTreeMap::new();
    let mut passed: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    let mut known = BTreeSet::new();
    for line in lines {
        match &line.what {
            What::Asked { op, customer, .. } => drop(customers.insert(op, customer)),
            What::Dispatch { client, .. } => {
                let op = client.split('/').next().unwrap_or(client);
                if let Some(customer) = customers.get(op).filter(|_| known.insert(client.as_str())) {
                    passed.entry(customer).or_default().push(line.at_ms);
                }
            }
            _ => {}
        }
    }
    for (customer, per_s, burst_ms) in &facts.limits {
        let Some(times) = passed.get(customer.as_str()) else { continue };
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
