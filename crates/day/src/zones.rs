//! Judges what routers agreed on failover between zones, from what they said and what clients got.

use std::collections::{BTreeMap, BTreeSet};

use paddleproxy_fleet::record::{Line, What};
use paddleproxy_settings::rooms::Expect;
use serde::{Deserialize, Serialize};

use crate::audit::Rule;

/// The figures by which plans are judged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZonesFacts {
    pub expects: Vec<Expect>,
    pub reserve: f64,
    /// Whether they agree at all; each by itself is only compared with.
    pub common: bool,
}

/// Times that a zone's sessions may begin to leave in a minute.
const LEAVES_MOST: usize = 3;
/// How much the room that one router reckons may differ from what the page's maker did a moment before.
const OTHER_LOOK: f64 = 1.25;
/// How long before a page is seen its maker may have looked, in ms.
const LOOKS_MS: f64 = 3000.0;

type Moves<'a> = &'a [(String, String, f64)];

struct Said<'a> {
    at_ms: f64,
    mind: &'a str,
    /// How often a majority had been down when that router started, and the page: keepers that start anew count from 1 again.
    page: (usize, u64),
    moves: Moves<'a>,
    rooms: &'a [(String, f64, f64)],
}

impl Said<'_> {
    fn moved(&self, zone: &str) -> f64 {
        self.moves.iter().filter(|(from, ..)| from == zone).map(|(.., share)| share).sum()
    }

    fn given(&self, zone: &str) -> f64 {
        let demand = |of: &str| self.rooms.iter().find(|(name, ..)| name == of).map_or(0.0, |room| room.1);
        self.moves.iter().filter(|(_, to, _)| to == zone).map(|(from, _, share)| share * demand(from)).sum()
    }
}

fn said(lines: &[Line]) -> Vec<Said<'_>> {
    let routers = lines.iter().filter_map(|line| match &line.what {
        What::Plan { router, .. } => Some(router + 1),
        _ => None,
    });
    let routers = routers.max().unwrap_or(0);
    let (mut down, mut times, mut said) = (BTreeSet::new(), 0, Vec::new());
    // For each router how often a majority had been down when its process started.
    let mut started: BTreeMap<usize, usize> = BTreeMap::new();
    for line in lines {
        match &line.what {
            What::RouterDown { router } => {
                let before = 2 * down.len() > routers;
                down.insert(*router);
                times += usize::from(!before && 2 * down.len() > routers);
            }
            What::RouterUp { router } => {
                down.remove(router);
                started.insert(*router, times);
            }
            What::Plan { router, status: mind, allocation: page, moves, capacities: rooms, .. } => {
                let times = started.get(router).copied().unwrap_or(0);
                said.push(Said { at_ms: line.at_ms, mind, page: (times, *page), moves, rooms });
            }
            _ => {}
        }
    }
    said
}

/// What was first said of each page, in their order.
fn firsts<'a>(said: impl Iterator<Item = &'a Said<'a>>) -> BTreeMap<(usize, u64), &'a Said<'a>> {
    let mut pages = BTreeMap::new();
    said.for_each(|said| {
        pages.entry(said.page).or_insert(said);
    });
    pages
}

/// Zones that anybody said anything of.
fn zones<'a>(said: &[Said<'a>]) -> BTreeSet<&'a String> {
    said.iter().flat_map(|said| said.rooms.iter().map(|room| &room.0)).collect()
}

/// Rules on plans; of a day in which each decides alone only what any way of deciding owes.
pub fn rules(facts: &ZonesFacts, lines: &[Line]) -> Vec<Rule> {
    let said = said(lines);
    if !facts.common {
        return vec![calm(&said)];
    }
    vec![one(&said), roomy(facts, &said), calm(&said), expected(facts, &said)]
}

/// A page carries one plan, whoever reads it.
fn one(said: &[Said]) -> Rule {
    let mut rule = Rule::new("one plan to a page");
    let mut known: BTreeMap<(usize, u64), Moves> = BTreeMap::new();
    for said in said.iter().filter(|said| said.page.1 > 0) {
        rule.cases += 1;
        let first = known.entry(said.page).or_insert(said.moves);
        if *first != said.moves {
            rule.broken.push(format!("page {} moves {:?} and {:?}", said.page.1, first, said.moves));
        }
    }
    rule
}

/// Where a plan gives a zone more than the page before did, that is within the room that the zone then had.
fn roomy(facts: &ZonesFacts, said: &[Said]) -> Rule {
    let mut rule = Rule::new("no zone beyond its room by plan");
    let pages = firsts(said.iter().filter(|said| said.page.1 > 0));
    let mut before: Option<&Said> = None;
    // The most room that anybody saw a moment before: looks differ, and the page's maker saw one of them.
    let most = |zone: &String, at_ms: f64| {
        let near = said.iter().filter(|said| (at_ms - LOOKS_MS..=at_ms).contains(&said.at_ms));
        let room =
            |said: &Said| said.rooms.iter().find(|room| room.0 == *zone).map_or(0.0, |room| room.2 - room.1);
        near.map(room).fold(0.0, f64::max)
    };
    for said in pages.values() {
        for (zone, demand, capacity) in said.rooms {
            let given = said.given(zone);
            let share = |said: &Said| -> f64 {
                said.moves.iter().filter(|(_, to, _)| to == zone).map(|(.., share)| share).sum()
            };
            let more = share(said) > before.map_or(0.0, share) + 1e-9;
            let room = most(zone, said.at_ms) * (1.0 - facts.reserve) * OTHER_LOOK;
            rule.cases += 1;
            if more && given > room + 1.0 {
                rule.broken.push(format!(
                    "page {} at {:.0} ms gives {zone} {given:.1}/s; {capacity:.1}/s less its own {demand:.1}/s are there",
                    said.page.1, said.at_ms
                ));
            }
        }
        before = Some(said);
    }
    rule
}

/// When each zone's sessions began to leave, by the first router that says so.
fn leaving(said: &[Said]) -> BTreeMap<String, Vec<f64>> {
    let pages = firsts(said.iter());
    let mut leaves: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for zone in zones(said) {
        let (mut before, mut growing) = (0.0, false);
        for said in pages.values() {
            let now = said.moved(zone);
            if now > before + 1e-9 && !growing {
                leaves.entry(zone.clone()).or_default().push(said.at_ms);
            }
            if (now - before).abs() > 1e-9 {
                growing = now > before;
            }
            before = now;
        }
    }
    leaves
}

/// No zone's sessions set out more than so often in a minute, whatever flaps.
fn calm(said: &[Said]) -> Rule {
    let mut rule = Rule::new("zones leave seldom");
    rule.cases = said.len();
    for (zone, times) in leaving(said) {
        let within = |at: f64| times.iter().filter(|time| (at..at + 60_000.0).contains(*time)).count();
        if let Some(at) = times.iter().find(|at| within(**at) > LEAVES_MOST) {
            rule.broken.push(format!("{zone} left {} times in the minute from {at:.0} ms", within(*at)));
        }
    }
    rule
}

/// What the day expects of plans.
fn expected(facts: &ZonesFacts, said: &[Said]) -> Rule {
    let mut rule = Rule::new("plans as the day expects");
    for expect in &facts.expects {
        let span = expect.from_ms..expect.to_ms;
        let mut seen = false;
        for said in
            said.iter().filter(|said| span.contains(&said.at_ms) && said.mind == "whole" && said.page.1 > 0)
        {
            (rule.cases, seen) = (rule.cases + 1, true);
            let moved = said.moved(&expect.zone);
            if !(expect.least - 1e-6..=expect.most + 1e-6).contains(&moved) {
                rule.broken.push(format!(
                    "at {:.0} ms {:.2} of {}'s sessions are moved, expected are {} to {}",
                    said.at_ms, moved, expect.zone, expect.least, expect.most
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

/// What plans came to, for a table.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Planned {
    /// Pages that moved somebody or brought somebody back.
    pub changes: usize,
    /// By zone: largest share moved; ms from the day's start to the first move, and to the end of the last return.
    pub zones: Vec<(String, f64, f64, Option<f64>)>,
    /// Share of completions whose home stayed where it is without a plan.
    pub near: f64,
}

pub fn planned(lines: &[Line]) -> Planned {
    let said = said(lines);
    let pages = firsts(said.iter());
    let moves: Vec<Moves> = pages.values().map(|said| said.moves).collect();
    let changes = moves.windows(2).filter(|pair| pair[0] != pair[1]).count();
    let names = zones(&said);
    let zone = |name: &&String| {
        let most = said.iter().map(|said| said.moved(name)).fold(0.0, f64::max);
        let first = said.iter().find(|said| said.moved(name) > 0.0)?;
        let last = said.iter().rfind(|said| said.moved(name) > 0.0)?;
        let end = said.iter().map(|said| said.at_ms).fold(0.0, f64::max);
        let back = (last.at_ms < end - 1000.0).then_some(last.at_ms);
        Some(((*name).clone(), most, first.at_ms, back))
    };
    // Counters start anew with each process: what each said last before it was lower, added up.
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
