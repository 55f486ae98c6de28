//! Checks the five rules of a day against its record alone: what clients and model servers saw on their
//! sockets, and what the list service sent. These rules read nothing that a router reports about itself.

use std::collections::{BTreeMap, BTreeSet};

use paddleproxy::interface::{Effect, Group};
use paddleproxy_fleet::record::{Line, What};
use paddleproxy_fleet::server::completion_of;
use paddleproxy_settings::day::DaySettings;
use serde::{Deserialize, Serialize};

use crate::failover_rules::{self, FailoverFacts};
use crate::peer_rules::{self, PeerFacts};

/// Settings of a day that the checker needs, stored with its record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    pub day: String,
    /// Time after the client timeout by which the head of an answer may still arrive.
    pub answer_slack_ms: f64,
    /// Time from sending "not ready" to a router until the last new dispatch from it may reach the server.
    pub drain_grace_ms: f64,
    /// Longest time for which a prefill state may be held while no dispatch of its completion is in flight.
    pub pin_limit_ms: f64,
    /// Connection timeout: time for which a dispatch to an unreachable server may be in flight although no
    /// server saw it.
    pub connect_ms: f64,
    /// Work that a server in slow start may get in any window of `fall_ms`, as a multiple of its capacity.
    pub fall_multiple: f64,
    pub fall_ms: f64,
    /// Share of its full capacity that a server has at its start; it grows linearly to 1 over `cold_ms`.
    pub cold_share: f64,
    pub cold_ms: f64,
    pub workloads: Vec<WorkloadFacts>,
    /// Name of each router's shape (settings variant), by router index; empty if all routers have the
    /// same one.
    #[serde(default)]
    pub shapes: Vec<String>,
    /// Set if the routers are configured with peers.
    #[serde(default, rename = "fellows")]
    pub peers: Option<PeerFacts>,
    /// Set if failover between zones is configured.
    #[serde(default, rename = "zones")]
    pub failover: Option<FailoverFacts>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkloadFacts {
    pub name: String,
    pub models: Vec<String>,
    /// `idempotent`, `tokened` or `non-idempotent`. For `tokened`, `group` and `window_ms` say which servers
    /// drop repeats, and for how long.
    pub effect: String,
    pub group: String,
    pub window_ms: f64,
    pub value: f64,
}

impl Facts {
    pub fn of(day: &DaySettings) -> Facts {
        let s = &day.router.decisions;
        let rows = s.workloads.iter().zip(&day.router.names.workloads);
        let workload = |(rules, names): (&paddleproxy::interface::WorkloadSettings, _)| {
            let names: &paddleproxy_settings::router::WorkloadNames = names;
            WorkloadFacts {
                name: names.name.clone(),
                models: names.models.clone(),
                effect: match rules.effect {
                    Effect::Idempotent => "idempotent",
                    Effect::Tokened => "tokened",
                    Effect::NonIdempotent => "non-idempotent",
                }
                .into(),
                group: match rules.group {
                    Group::All => "all",
                    Group::Zone => "zone",
                    Group::Cell => "cell",
                }
                .into(),
                window_ms: rules.window_ms,
                value: rules.value,
            }
        };
        Facts {
            day: day.name.clone(),
            answer_slack_ms: day.router.front.answer_slack_ms,
            drain_grace_ms: day.drain_grace_ms,
            pin_limit_ms: s.pin_limit_ms,
            connect_ms: day.router.engines.connect_ms,
            fall_multiple: s.fall_multiple,
            fall_ms: s.fall_ms,
            cold_share: s.cold_share,
            cold_ms: s.cold_ms,
            workloads: rows.map(workload).collect(),
            shapes: (0..day.routers)
                .filter(|_| !day.shapes.is_empty())
                .map(|router| day.shape_of(router).to_owned())
                .collect(),
            failover: day.router.failover.as_ref().map(|failover| FailoverFacts {
                expects: day.expected_plans.clone(),
                reserve: failover.reserve,
                common: !failover.own_evidence_only,
            }),
            peers: day.router.peers.as_ref().map(|peers| PeerFacts {
                routers: day.routers,
                heals_ms: 5000.0,
                asks_ms: crate::process_faults::POLL_ROUND_MS,
                blamed_ms: 5000.0 + peers.lease_ms,
                limits: day
                    .router
                    .names
                    .customers
                    .iter()
                    .filter_map(|row| {
                        Some((row.name.clone(), row.limits.requests_per_s?, row.limits.burst_ms))
                    })
                    .collect(),
            }),
        }
    }

    pub(crate) fn workload(&self, model: &str) -> Option<&WorkloadFacts> {
        self.workloads.iter().find(|row| row.models.iter().any(|known| known == model))
    }
}

/// Result of one rule: the number of cases checked, and the violations.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Rule {
    pub name: &'static str,
    pub cases: usize,
    pub broken: Vec<String>,
}

impl Rule {
    pub(crate) fn new(name: &'static str) -> Self {
        Rule { name, ..Rule::default() }
    }

    /// A rule without any case is reported as "not seen", not as kept.
    pub fn verdict(&self) -> &'static str {
        match (self.broken.is_empty(), self.cases) {
            (false, _) => "BROKEN",
            (true, 0) => "not seen",
            (true, _) => "kept",
        }
    }
}

/// Results of the five rules, then of the failover and peer rules if the day has them.
pub fn rules(facts: &Facts, lines: &[Line]) -> Vec<Rule> {
    let mut lines = lines.to_vec();
    lines.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    let mut rules = vec![
        answers(facts, &lines),
        effects(facts, &lines),
        drains(facts, &lines),
        slow_start(facts, &lines),
        pins(facts, &lines),
    ];
    rules.extend(facts.failover.iter().flat_map(|facts| failover_rules::rules(facts, &lines)));
    rules.extend(facts.peers.iter().flat_map(|facts| peer_rules::rules(facts, &lines)));
    rules
}

/// Times at which each router went down.
fn downtimes(lines: &[Line]) -> BTreeMap<usize, Vec<f64>> {
    let mut downtimes: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for line in lines {
        if let What::RouterDown { router } = line.what {
            downtimes.entry(router).or_default().push(line.at_ms);
        }
    }
    downtimes
}

fn went_down_within(downtimes: &BTreeMap<usize, Vec<f64>>, router: usize, from_ms: f64, to_ms: f64) -> bool {
    downtimes.get(&router).is_some_and(|at| at.iter().any(|at| (from_ms..=to_ms).contains(at)))
}

#[derive(Default)]
struct Attempt {
    asked_ms: f64,
    router: usize,
    deadline_ms: f64,
    head_ms: Option<f64>,
    /// Time and kind of each final answer.
    finals: Vec<(f64, String)>,
    /// Whether anything came after the final answer.
    more: bool,
    /// Time at which the connection ended without a final answer, and whether it had been established.
    broke: Option<(f64, bool)>,
    /// Whether the client left before the end.
    left: bool,
}

/// A request sent within this time before its router's process was stopped (SIGSTOP) may not have been read,
/// in ms.
const UNREAD_MS: f64 = 50.0;

/// Rule 1: each request that a running router accepted gets one final answer, in time, and nothing after it.
fn answers(facts: &Facts, lines: &[Line]) -> Rule {
    let mut rule = Rule::new("one final answer, in time");
    let mut attempts: BTreeMap<(&str, u32), Attempt> = BTreeMap::new();
    for line in lines {
        let at_ms = line.at_ms;
        match &line.what {
            What::Asked { op, attempt, router, deadline_ms, .. } => {
                let (router, deadline_ms) = (*router, *deadline_ms);
                attempts.insert(
                    (op, *attempt),
                    Attempt { asked_ms: at_ms, router, deadline_ms, ..Attempt::default() },
                );
            }
            What::Head { op, attempt, .. } => {
                attempts.entry((op, *attempt)).or_default().head_ms = Some(at_ms);
            }
            What::Final { op, attempt, how } => {
                attempts.entry((op, *attempt)).or_default().finals.push((at_ms, how.clone()));
            }
            What::More { op, attempt } => attempts.entry((op, *attempt)).or_default().more = true,
            What::Broke { op, attempt, connected } => {
                attempts.entry((op, *attempt)).or_default().broke = Some((at_ms, *connected));
            }
            What::Left { op, attempt } => attempts.entry((op, *attempt)).or_default().left = true,
            _ => {}
        }
    }
    let downtimes = downtimes(lines);
    let spans = peer_rules::spans(lines);
    for ((op, attempt), outcome) in &attempts {
        let never_connected = matches!(outcome.broke, Some((_, false)));
        let until_ms = outcome.broke.map_or(f64::INFINITY, |(at, _)| at + 50.0);
        let unanswered = outcome.finals.is_empty();
        let killed = unanswered && went_down_within(&downtimes, outcome.router, outcome.asked_ms, until_ms);
        if never_connected || killed || outcome.left {
            continue;
        }
        rule.cases += 1;
        let mut broken = |what: String| rule.broken.push(format!("{op}/{attempt}: {what}"));
        if outcome.finals.len() != 1 {
            broken(format!("{} final answers", outcome.finals.len()));
        }
        if outcome.more {
            broken("something came after the final answer".into());
        }
        // A stopped process must answer as soon as it runs again. For requests that arrived while it was
        // stopped it has the whole client timeout from then on: it reads them only then, and can't know how
        // long they have already waited.
        let until_ms = outcome.head_ms.unwrap_or(f64::INFINITY);
        let stops = spans.iter().filter(|span| span.stopped(outcome.router, outcome.asked_ms, until_ms));
        let due = |span: &peer_rules::Span| match outcome.asked_ms >= span.from_ms - UNREAD_MS {
            true => span.to_ms + outcome.deadline_ms - outcome.asked_ms,
            false => span.to_ms,
        };
        let due_ms = stops.map(due).fold(outcome.deadline_ms, f64::max);
        let late_ms = until_ms - due_ms;
        if late_ms > facts.answer_slack_ms && !unanswered {
            broken(format!("answered {late_ms:.0} ms after the client timeout"));
        }
    }
    rule
}

/// A dispatch that a server received and did not reject.
struct Dispatched<'a> {
    at_ms: f64,
    server: &'a str,
}

/// Rule 2: no effect happens twice, and no client gets "rate-limited" after its completion may have run,
/// unless a retry is harmless.
fn effects(facts: &Facts, lines: &[Line]) -> Rule {
    let mut rule = Rule::new("no effect twice");
    let mut server_groups: BTreeMap<&str, (String, u32)> = BTreeMap::new();
    let rejected: BTreeSet<&str> = lines
        .iter()
        .filter_map(|line| match &line.what {
            What::Rejected { request, .. } => Some(request.as_str()),
            _ => None,
        })
        .collect();
    // By completion: the client's request, its workload, and the dispatches that may have run.
    let mut dispatched: BTreeMap<&str, (&str, &WorkloadFacts, Vec<Dispatched>)> = BTreeMap::new();
    let mut effect_counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut rate_limited: BTreeMap<String, f64> = BTreeMap::new();
    for line in lines {
        match &line.what {
            What::Started { server, zone, cell, .. } => {
                server_groups.insert(server, (zone.clone(), *cell));
            }
            What::Dispatch { server, request, client, model, writes: true, .. }
                if !rejected.contains(request.as_str()) =>
            {
                let Some(workload) = facts.workload(model).filter(|row| row.effect != "idempotent") else {
                    continue;
                };
                let row = dispatched.entry(completion_of(request)).or_insert((client, workload, Vec::new()));
                row.2.push(Dispatched { at_ms: line.at_ms, server });
            }
            What::Effect { key, repeat: false, .. } => *effect_counts.entry(key).or_default() += 1,
            What::Final { op, attempt, how } if how == "rate-limited" => {
                rate_limited.insert(format!("{op}/{attempt}"), line.at_ms);
            }
            _ => {}
        }
    }
    for (completion, (client, workload, dispatched)) in &dispatched {
        rule.cases += 1;
        let name = &workload.name;
        let mut broken = |what: String| rule.broken.push(format!("{client} ({completion}, {name}): {what}"));
        let same_group =
            |a: &str, b: &str| match (server_groups.get(a), server_groups.get(b), workload.group.as_str()) {
                (_, _, "all") => true,
                (Some(a), Some(b), "zone") => a.0 == b.0,
                (Some(a), Some(b), "cell") => a.1 == b.1,
                _ => false,
            };
        for again in dispatched.iter().skip(1) {
            let first = &dispatched[0];
            let after_ms = again.at_ms - first.at_ms;
            if workload.effect == "non-idempotent" {
                broken(format!(
                    "dispatched again to {} after it may have run at {}",
                    again.server, first.server
                ));
            } else if !same_group(first.server, again.server) {
                broken(format!(
                    "dispatched to {}, which does not drop repeats of {}",
                    again.server, first.server
                ));
            } else if after_ms >= workload.window_ms {
                broken(format!("dispatched again after {after_ms:.0} ms, past the window"));
            }
        }
        let retry_is_harmless = workload.effect == "tokened" && workload.group == "all";
        if rate_limited
            .get(*client)
            .is_some_and(|at| !retry_is_harmless && dispatched.iter().any(|dispatch| dispatch.at_ms < *at))
        {
            broken("rate-limited although it may have run".into());
        }
    }
    let guarded_ops: BTreeSet<&str> =
        dispatched.values().map(|(client, _, _)| client.split('/').next().unwrap_or(client)).collect();
    for op in guarded_ops {
        let times = effect_counts.get(op).copied().unwrap_or(0);
        if times > 1 {
            rule.broken.push(format!("{op}: its effect happened {times} times"));
        }
    }
    rule
}

/// Index of the router that sent a request; its id starts with it.
fn router_of(request: &str) -> Option<usize> {
    request.split('.').next()?.parse().ok()
}

/// Rule 3: once the list service has sent a router that a server is draining or gone, no new dispatch from
/// that router reaches the server later than the drain grace.
fn drains(facts: &Facts, lines: &[Line]) -> Rule {
    let mut rule = Rule::new("drains kept");
    let mut not_ready_since: BTreeMap<(usize, &str), f64> = BTreeMap::new();
    for line in lines {
        match &line.what {
            What::ListSent { router, server, readiness, .. } if readiness == "ready" => {
                not_ready_since.remove(&(*router, server.as_str()));
            }
            What::ListSent { router, server, .. } => {
                rule.cases += usize::from(!not_ready_since.contains_key(&(*router, server.as_str())));
                not_ready_since.entry((*router, server)).or_insert(line.at_ms);
            }
            What::RouterDown { router } | What::RouterUp { router } => {
                not_ready_since.retain(|(of, _), _| of != router)
            }
            What::Dispatch { server, request, .. } => {
                let Some(router) = router_of(request) else { continue };
                let Some(at) = not_ready_since.get(&(router, server.as_str())) else { continue };
                let late_ms = line.at_ms - at;
                if late_ms > facts.drain_grace_ms {
                    rule.broken.push(format!(
                        "{request} reached {server} {late_ms:.0} ms after router {router} was told"
                    ));
                }
            }
            _ => {}
        }
    }
    rule
}

/// Rule 4: in every window, a server in slow start gets at most its budget of work. A violation counts only
/// if at least two thirds of that work came from routers that had been sent its start.
fn slow_start(facts: &Facts, lines: &[Line]) -> Rule {
    let mut rule = Rule::new("cold servers not pushed over");
    let mut servers: BTreeMap<&str, SlowStart> = BTreeMap::new();
    for line in lines {
        let now_ms = line.at_ms;
        match &line.what {
            What::Started { server, cold: true, .. } => {
                servers.insert(server, SlowStart { started_ms: now_ms, ..SlowStart::default() });
            }
            What::Died { server } => {
                servers.remove(server.as_str());
            }
            What::ListSent { router, server, cold: true, readiness } if readiness == "ready" => {
                servers.get_mut(server.as_str()).into_iter().for_each(|row| row.notified.push(*router));
            }
            What::Dispatch { server, request, work_ms, .. } => {
                let Some(row) = servers.get_mut(server.as_str()) else { continue };
                let age = (now_ms - row.started_ms) / facts.cold_ms;
                if age >= 1.0 {
                    continue;
                }
                rule.cases += usize::from(row.work.is_empty());
                let notified = router_of(request).is_some_and(|router| row.notified.contains(&router));
                row.work.push((now_ms, *work_ms, notified));
                let window = || row.work.iter().filter(|(at, _, _)| *at >= now_ms - facts.fall_ms);
                let sum: f64 = window().map(|(_, work, _)| work).sum();
                let from_notified: f64 =
                    window().filter(|(_, _, notified)| *notified).map(|(_, work, _)| work).sum();
                let capacity = facts.cold_share + (1.0 - facts.cold_share) * age;
                let budget = facts.fall_multiple * capacity * facts.fall_ms;
                if sum > budget
                    && from_notified >= sum * 2.0 / 3.0
                    && !std::mem::replace(&mut row.over_budget, true)
                {
                    let after_ms = now_ms - row.started_ms;
                    rule.broken.push(format!(
                        "{server} got {sum:.0} ms of work, its budget was {budget:.0} ms, \
                         {after_ms:.0} ms after its start"
                    ));
                }
            }
            _ => {}
        }
    }
    rule
}

#[derive(Default)]
struct SlowStart {
    started_ms: f64,
    /// Routers to which the list service has sent the start.
    notified: Vec<usize>,
    /// Dispatches so far: time, work in ms, and whether their router had been sent the start.
    work: Vec<(f64, f64, bool)>,
    over_budget: bool,
}

/// Rule 5: a prefill state is not held longer than the limit while no dispatch of its completion is in
/// flight.
fn pins(facts: &Facts, lines: &[Line]) -> Rule {
    let mut rule = Rule::new("nothing left pinned");
    let end_ms = lines.last().map_or(0.0, |line| line.at_ms);
    let (downtimes, faults) = (downtimes(lines), peer_rules::spans(lines));
    let mut in_flight: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    let mut open_dispatches: BTreeMap<&str, f64> = BTreeMap::new();
    let mut sent_at: BTreeMap<&str, f64> = BTreeMap::new();
    let mut held: BTreeMap<(&str, &str), f64> = BTreeMap::new();
    let mut states = Vec::new();
    let mut unreachable: Vec<(f64, f64)> = Vec::new();
    let mut unreachable_since: Vec<f64> = Vec::new();
    let mut deadlines: BTreeMap<&str, f64> = BTreeMap::new();
    let mut deadline_of: BTreeMap<&str, f64> = BTreeMap::new();
    for line in lines {
        match &line.what {
            What::Asked { op, deadline_ms, .. } => drop(deadlines.insert(op, *deadline_ms)),
            What::Dispatch { request, client, .. } => {
                open_dispatches.insert(request, line.at_ms);
                sent_at.insert(request, line.at_ms);
                let op = client.split('/').next().unwrap_or(client);
                deadline_of.insert(completion_of(request), deadlines.get(op).copied().unwrap_or(0.0));
            }
            What::Ended { request, .. } => {
                if let Some(from) = open_dispatches.remove(request.as_str()) {
                    in_flight.entry(completion_of(request)).or_default().push((from, line.at_ms));
                }
            }
            What::State { server, request } => {
                held.insert((server, request), line.at_ms);
            }
            What::StateGone { server, request, .. } => {
                if let Some(from) = held.remove(&(server.as_str(), request.as_str())) {
                    states.push((request.as_str(), server.as_str(), from, line.at_ms));
                }
            }
            What::Trouble { name, begins } if name == "unreachable" || name == "zone-lost" => match begins {
                true => unreachable_since.push(line.at_ms),
                false => unreachable.extend(unreachable_since.pop().map(|from| (from, line.at_ms))),
            },
            _ => {}
        }
    }
    unreachable.extend(unreachable_since.into_iter().map(|from| (from, end_ms)));
    for (request, from) in open_dispatches {
        in_flight.entry(completion_of(request)).or_default().push((from, end_ms));
    }
    states.extend(held.into_iter().map(|((server, request), from)| (request, server, from, end_ms)));
    for (request, server, from_ms, to_ms) in states {
        // If the router was killed while the prefill was in flight or its state was held, no process is left
        // to release it.
        let sent_ms = sent_at.get(request).map_or(from_ms, |sent| sent.min(from_ms));
        let router = router_of(request);
        if router.is_some_and(|router| went_down_within(&downtimes, router, sent_ms, to_ms)) {
            continue;
        }
        // A router whose process was stopped meanwhile could not release it.
        if router.is_some_and(|router| faults.iter().any(|span| span.stopped(router, sent_ms, to_ms))) {
            continue;
        }
        rule.cases += 1;
        // A dispatch to an unreachable server is in flight although no server sees it.
        let was_unreachable =
            unreachable.iter().any(|(from, to)| *from < to_ms && from_ms < *to + facts.connect_ms);
        // Through a relay the connection is made at once, so the last dispatch may be in flight until the
        // client's deadline.
        let deadline_ms = deadline_of.get(completion_of(request)).copied().unwrap_or(0.0);
        let in_flight_ms = match facts.peers {
            Some(_) => facts.connect_ms.max(deadline_ms - from_ms),
            None => facts.connect_ms,
        };
        let mut limit_ms = facts.pin_limit_ms + if was_unreachable { in_flight_ms } else { 0.0 };
        let mut spans = in_flight.get(completion_of(request)).cloned().unwrap_or_default();
        // While its links are cut, a router may be unable to reach any server. Its limit starts anew when the
        // cut ends, and a dispatch that was sent during the cut may be in flight until the client's deadline.
        let cuts = faults.iter().filter(|span| router.is_some_and(|router| span.cut(router, from_ms, to_ms)));
        for span in cuts {
            let heals_ms = span.to_ms + facts.connect_ms;
            spans.push((span.from_ms, heals_ms.max(deadline_ms.min(to_ms))));
            limit_ms = limit_ms.max(facts.pin_limit_ms + facts.connect_ms);
        }
        spans.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free_from = from_ms;
        let mut longest: f64 = 0.0;
        for (begin, end) in spans {
            longest = longest.max(begin.min(to_ms) - free_from);
            free_from = free_from.max(end);
        }
        longest = longest.max(to_ms - free_from);
        if longest > limit_ms {
            rule.broken
                .push(format!("{request} at {server}: held for {longest:.0} ms while nothing was out"));
        }
    }
    rule
}
