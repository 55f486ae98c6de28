//! Checks a play against the rules, from the record of its sockets and the exits of its processes alone. It
//! does no I/O: the same record always gives the same violations.

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

/// A rule of the platform that a play can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// An accepted request got no final response.
    Lost,
    /// A final response came too late.
    Late,
    /// Work that must not be repeated ran twice, or may have.
    Duplicate,
    /// A second attempt ran beside the first although the settings do not allow that.
    SecondCopy,
    /// A request was sent to a server after the grace period of its drain.
    Drain,
    /// A server that had just started was overloaded.
    SlowStart,
    /// A server was left holding a state that no attempt used.
    Held,
    /// A request that arrived late in the shutdown of its router was sent to a server, although the kill
    /// might cut its response.
    TakenLate,
    /// An attempt began after its client had left.
    ClientGone,
    /// The deadline sent to a server exceeded the remaining time.
    DeadlineTold,
    /// An incomplete request got neither an error nor a close in time.
    HalfRequest,
    /// Too many streams had delayed events.
    EventsHeld,
    /// A router process ended unexpectedly.
    Crash,
    /// Too many router processes were not ready in time.
    Readiness,
    /// After all troubles had ended, a router held more descriptors or memory than before, or did not serve.
    NotHealed,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The broken rule.
    pub rule: Rule,
    /// When, in ms since the start of the play.
    pub at_ms: f64,
    /// The router, where one is concerned.
    pub router: Option<usize>,
    /// The request, where one is concerned.
    pub request: Option<String>,
    /// A description of what was observed.
    pub what: String,
}

/// Facts about the play that the record does not hold.
#[derive(Clone, Copy, Debug)]
pub struct CheckParameters {
    /// Number of routers.
    pub routers: usize,
    /// Whether the settings allow a second attempt beside one in flight.
    pub second_copies: bool,
}

/// All violations, sorted by time.
pub fn check(observed: &Observations, parameters: &CheckParameters) -> Vec<Violation> {
    let context = CheckContext::of(observed, parameters);
    let mut found = Vec::new();
    answers::check(&context, &mut found);
    attempts::check(&context, &mut found);
    held::check(&context, &mut found);
    slow_start::check(&context, &mut found);
    processes::check(&context, &mut found);
    shutdowns::check(&context, &mut found);
    found.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    found
}

/// Tolerance for the time between an event on a socket and its timestamp, in ms.
const TIMESTAMP_TOLERANCE_MS: f64 = 40.0;
/// A lag of this process affects timestamps from so long before it to so long after it, in ms.
const LAG_EFFECT_BEFORE_MS: f64 = 3000.0;
const LAG_EFFECT_AFTER_MS: f64 = 500.0;

/// The record and its attempts by request.
struct CheckContext<'a> {
    observed: &'a Observations,
    parameters: &'a CheckParameters,
    attempts: BTreeMap<&'a str, Vec<&'a Attempt>>,
}

impl<'a> CheckContext<'a> {
    fn of(observed: &'a Observations, parameters: &'a CheckParameters) -> CheckContext<'a> {
        let mut attempts = BTreeMap::<&str, Vec<&Attempt>>::new();
        for attempt in &observed.attempts {
            attempts.entry(&attempt.request).or_default().push(attempt);
        }
        CheckContext { observed, parameters, attempts }
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

    /// By how much a timestamp around this time may be late.
    fn slack_ms(&self, at_ms: f64) -> f64 {
        let near = |(lag_ms, _): &&(f64, f64)| {
            (at_ms - LAG_EFFECT_BEFORE_MS..=at_ms + LAG_EFFECT_AFTER_MS).contains(lag_ms)
        };
        let lags = self.observed.lags.iter().filter(near);
        TIMESTAMP_TOLERANCE_MS + lags.map(|(_, late_ms)| late_ms).sum::<f64>()
    }

    /// How much longer the troubles that were active at a time lasted, in ms; 0 if none was.
    fn trouble_remaining_ms(&self, troubles: &[&str], at_ms: f64) -> f64 {
        let active = |window: &&crate::record::Window| {
            troubles.contains(&window.trouble.as_str()) && window.from_ms <= at_ms && window.to_ms >= at_ms
        };
        self.observed.windows.iter().filter(active).map(|window| window.to_ms - at_ms).fold(0.0, f64::max)
    }

    /// Whether one of the troubles was active at any moment between two times.
    fn trouble_active(&self, troubles: &[&str], from_ms: f64, to_ms: f64) -> bool {
        let active = |window: &&crate::record::Window| {
            troubles.contains(&window.trouble.as_str()) && window.from_ms <= to_ms && window.to_ms >= from_ms
        };
        self.observed.windows.iter().any(|window| active(&window))
    }
}

fn violation(rule: Rule, at_ms: f64, request: (&str, &Request), what: String) -> Violation {
    Violation { rule, at_ms, router: Some(request.1.router), request: Some(request.0.to_owned()), what }
}
