//! Judges a play from the record of its sockets and the exits of its processes alone. Free of I/O: the same record gets
//! the same verdict.

mod answers;
mod attempts;
mod held;
mod processes;
mod shutdowns;
mod slow_start;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::record::{Attempt, Observations, Request, RouterProcess};

pub use shutdowns::ShutdownCounts;

/// What was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request that was taken had no final answer.
    Lost,
    /// It had one, too late.
    Late,
    /// Work took effect twice, or could have.
    Duplicate,
    /// A second copy ran beside the first where that is not allowed.
    SecondCopy,
    /// Work went to a server long after its drain was told.
    Drain,
    /// A server that had just started was pushed over.
    SlowStart,
    /// A state was left held.
    Held,
    /// A request that came late in the shutdown of its router was sent to a server: whether its answer would be whole at the
    /// kill was left to luck.
    TakenLate,
    /// An attempt began after its client had gone.
    ClientGone,
    /// A server was told more time than was left.
    DeadlineTold,
    /// Half a request had neither error nor close in time.
    HalfRequest,
    /// Events of too many streams were held back.
    EventsHeld,
    /// A process ended by itself.
    Crash,
    /// A process was not ready in time.
    Readiness,
    /// Descriptors or memory did not come back, or a router does not serve after all has healed.
    NotHealed,
}

/// One broken rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When, in ms of the play.
    pub at_ms: f64,
    /// The router.
    pub router: Option<usize>,
    /// The request, where there is one.
    pub request: Option<String>,
    /// What was seen.
    pub what: String,
}

/// What the judge knows beside the record.
#[derive(Clone, Copy, Debug)]
pub struct CheckParameters {
    /// Routers in the play.
    pub routers: usize,
    /// Whether second copies are allowed.
    pub second_copies: bool,
}

/// All that was broken, by time.
pub fn check(observed: &Observations, terms: &CheckParameters) -> Vec<Violation> {
    let case = Case::of(observed, terms);
    let mut found = Vec::new();
    answers::check(&case, &mut found);
    attempts::check(&case, &mut found);
    held::check(&case, &mut found);
    slow_start::check(&case, &mut found);
    processes::check(&case, &mut found);
    shutdowns::check(&case, &mut found);
    found.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    found
}

/// Always allowed for: what lies between a socket and the stamp of its time, in ms.
const STAMP_MS: f64 = 40.0;
/// Lags of the judge's own process matter for so long before and after, in ms.
const LAG_BEFORE_MS: f64 = 3000.0;
const LAG_AFTER_MS: f64 = 500.0;

/// The record, by request.
struct Case<'a> {
    observed: &'a Observations,
    terms: &'a CheckParameters,
    attempts: BTreeMap<&'a str, Vec<&'a Attempt>>,
}

impl<'a> Case<'a> {
    fn of(observed: &'a Observations, terms: &'a CheckParameters) -> Case<'a> {
        let mut attempts = BTreeMap::<&str, Vec<&Attempt>>::new();
        for attempt in &observed.attempts {
            attempts.entry(&attempt.request).or_default().push(attempt);
        }
        Case { observed, terms, attempts }
    }

    fn attempts(&self, request: &str) -> &[&'a Attempt] {
        self.attempts.get(request).map_or(&[], Vec::as_slice)
    }

    fn process(&self, request: &Request) -> Option<&'a RouterProcess> {
        self.observed.processes.get(request.router)?.get(request.generation)
    }

    /// When the last request ended.
    fn end_ms(&self) -> f64 {
        let ends = self.observed.requests.values().filter_map(|request| request.ended);
        ends.map(|(at_ms, _)| at_ms).fold(0.0, f64::max)
    }

    /// How much later than it should be something may be stamped around this time.
    fn slack_ms(&self, at_ms: f64) -> f64 {
        let near =
            |(lag_ms, _): &&(f64, f64)| (at_ms - LAG_BEFORE_MS..=at_ms + LAG_AFTER_MS).contains(lag_ms);
        let lags = self.observed.lags.iter().filter(near);
        STAMP_MS + lags.map(|(_, late_ms)| late_ms).sum::<f64>()
    }

    /// How long, from a moment on, a trouble went on that was on then, in ms.
    fn goes_on_ms(&self, troubles: &[&str], at_ms: f64) -> f64 {
        let on = |window: &&crate::record::Window| {
            troubles.contains(&window.trouble.as_str()) && window.from_ms <= at_ms && window.to_ms >= at_ms
        };
        self.observed.windows.iter().filter(on).map(|window| window.to_ms - at_ms).fold(0.0, f64::max)
    }

    /// Whether a trouble was on at some moment between two times.
    fn was_on(&self, troubles: &[&str], from_ms: f64, to_ms: f64) -> bool {
        let on = |window: &&crate::record::Window| {
            troubles.contains(&window.trouble.as_str()) && window.from_ms <= to_ms && window.to_ms >= from_ms
        };
        self.observed.windows.iter().any(|window| on(&window))
    }
}

fn violation(rule: Rule, at_ms: f64, request: (&str, &Request), what: String) -> Violation {
    Violation { rule, at_ms, router: Some(request.1.router), request: Some(request.0.to_owned()), what }
}
