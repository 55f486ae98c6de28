//! What a play came to, in figures.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::oracle::{check, CheckParameters, Rule, ShutdownCounts, Violation};
use crate::play::Played;
use crate::record::Ending;

/// The figures of one play.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Requests sent.
    pub requests: usize,
    /// Those answered with a whole stream.
    pub served: usize,
    /// Attempts that reached servers.
    pub attempts: usize,
    /// Router processes started.
    pub processes: usize,
    /// Injected faults of system calls by name, those that came at all.
    pub injected: BTreeMap<String, u64>,
    /// Troubles by name.
    pub troubles: BTreeMap<String, usize>,
    /// Pairs of troubles that were on at once.
    pub pairs: Vec<(String, String)>,
    /// Longest time for which the judge's own process was held up, in ms.
    pub longest_lag_ms: f64,
    /// What was crossed at the ends of processes.
    pub shutdowns: ShutdownCounts,
    /// What was broken.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Judges a play and counts what was in it.
    pub fn of(played: &Played) -> Report {
        let terms = CheckParameters {
            routers: played.plan.routers,
            second_copies: played.plan.allowed.second_copies,
        };
        let observed = &played.observed;
        let whole = |ending: &Ending| *ending == Ending::Whole { status: 200 };
        let served =
            observed.requests.values().filter(|request| request.ended.is_some_and(|(_, end)| whole(&end)));
        let mut troubles = BTreeMap::new();
        for trouble in &played.plan.troubles {
            *troubles.entry(trouble.kind.name().to_owned()).or_default() += 1;
        }
        let injected = played.injected.iter().filter(|(_, count)| *count > 0);
        let pairs = played.plan.pairs().into_iter();
        Report {
            seed: played.plan.seed,
            requests: observed.requests.values().filter(|request| request.sent_ms.is_some()).count(),
            served: served.count(),
            attempts: observed.attempts.len(),
            processes: observed.processes.iter().map(Vec::len).sum(),
            injected: injected.map(|(fault, count)| (fault.name().to_owned(), *count)).collect(),
            troubles,
            pairs: pairs.map(|(one, other)| (one.name().to_owned(), other.name().to_owned())).collect(),
            longest_lag_ms: observed.lags.iter().map(|(_, late_ms)| *late_ms).fold(0.0, f64::max),
            shutdowns: ShutdownCounts::of(observed),
            violations: check(observed, &terms),
        }
    }

    /// Whether nothing was broken.
    pub fn kept(&self) -> bool {
        self.violations.is_empty()
    }

    /// Whether system calls were to fail.
    fn plans_failures(&self) -> bool {
        self.troubles.keys().any(|name| paddleproxy_faults::Fault::named(name).is_some())
    }

    /// Broken rules, each once.
    pub fn rules(&self) -> Vec<Rule> {
        let mut rules: Vec<_> = self.violations.iter().map(|violation| violation.rule).collect();
        rules.sort();
        rules.dedup();
        rules
    }

    /// A line of figures, and one for each of the first violations.
    pub fn text(&self) -> String {
        const SHOWN: usize = 12;
        let verdict = if self.kept() { "kept".to_owned() } else { format!("BROKEN {:?}", self.rules()) };
        let troubles: Vec<_> = self.troubles.keys().map(String::as_str).collect();
        let injected: u64 = self.injected.values().sum();
        let ends = &self.shutdowns;
        let mut text = format!(
            "seed {}: {verdict}; {} requests, {} served, {} attempts, {} processes; {injected} system calls failed{}; \
             {} told to end, {} of them killed, {} requests after SIGTERM, {} over 0.7 s after it ({} served, \
             {} refused, {} failed, {} closed upon, {} unanswered); lag {:.0} ms; {}\n",
            self.seed,
            self.requests,
            self.served,
            self.attempts,
            self.processes,
            if injected == 0 && self.plans_failures() { " (NONE INJECTED)" } else { "" },
            ends.told,
            ends.killed,
            ends.requests,
            ends.late,
            ends.late_served,
            ends.late_refused,
            ends.late_failed,
            ends.late_closed,
            ends.late_unanswered,
            self.longest_lag_ms,
            troubles.join(" ")
        );
        for violation in self.violations.iter().take(SHOWN) {
            let Violation { rule, at_ms, router, request, what } = violation;
            let router = router.map_or("-".to_owned(), |router| router.to_string());
            let request = request.as_deref().unwrap_or("-");
            text += &format!("  {rule:?} at {at_ms:.0} ms, router {router}, request {request}: {what}\n");
        }
        if self.violations.len() > SHOWN {
            text += &format!("  and {} more\n", self.violations.len() - SHOWN);
        }
        text
    }
}
