//! The report of a play in figures.

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
    /// Requests that got a complete response with status 200.
    pub served: usize,
    /// Attempts that reached servers.
    pub attempts: usize,
    /// Router processes started.
    pub processes: usize,
    /// Number of injected system call faults by name; those that were injected at least once.
    pub injected: BTreeMap<String, u64>,
    /// Number of troubles by name.
    pub troubles: BTreeMap<String, usize>,
    /// Pairs of troubles that overlapped.
    pub pairs: Vec<(String, String)>,
    /// Longest scheduling lag of this process, in ms.
    pub longest_lag_ms: f64,
    /// Shutdowns of routers and requests during them.
    pub shutdowns: ShutdownCounts,
    /// Violations of rules.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Checks a play and counts what it contained.
    pub fn of(played: &Played) -> Report {
        let parameters = CheckParameters {
            routers: played.plan.routers,
            second_copies: played.plan.allowed.second_copies,
        };
        let observed = &played.observed;
        let complete = |ending: &Ending| *ending == Ending::Whole { status: 200 };
        let served =
            observed.requests.values().filter(|request| request.ended.is_some_and(|(_, end)| complete(&end)));
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
            violations: check(observed, &parameters),
        }
    }

    /// Whether all rules were kept.
    pub fn kept(&self) -> bool {
        self.violations.is_empty()
    }

    /// Whether the plan had system calls fail.
    fn plans_system_call_faults(&self) -> bool {
        self.troubles.keys().any(|name| paddleproxy_faults::Fault::named(name).is_some())
    }

    /// The broken rules, each once.
    pub fn rules(&self) -> Vec<Rule> {
        let mut rules: Vec<_> = self.violations.iter().map(|violation| violation.rule).collect();
        rules.sort();
        rules.dedup();
        rules
    }

    /// The report as text: a line of figures, and a line for each of the first violations.
    pub fn text(&self) -> String {
        const MAX_SHOWN: usize = 12;
        let verdict = if self.kept() { "kept".to_owned() } else { format!("BROKEN {:?}", self.rules()) };
        let troubles: Vec<_> = self.troubles.keys().map(String::as_str).collect();
        let injected: u64 = self.injected.values().sum();
        let shutdowns = &self.shutdowns;
        let mut text = format!(
            "seed {}: {verdict}; {} requests, {} served, {} attempts, {} processes; \
             {injected} system calls failed{}; {} sent SIGTERM, {} of them killed, \
             {} requests after SIGTERM, {} over 0.7 s after it ({} served, {} refused, \
             {} failed, {} closed, {} unanswered); lag {:.0} ms; {}\n",
            self.seed,
            self.requests,
            self.served,
            self.attempts,
            self.processes,
            if injected == 0 && self.plans_system_call_faults() { " (NONE INJECTED)" } else { "" },
            shutdowns.told,
            shutdowns.killed,
            shutdowns.requests,
            shutdowns.late,
            shutdowns.late_served,
            shutdowns.late_refused,
            shutdowns.late_failed,
            shutdowns.late_closed,
            shutdowns.late_unanswered,
            self.longest_lag_ms,
            troubles.join(" ")
        );
        for violation in self.violations.iter().take(MAX_SHOWN) {
            let Violation { rule, at_ms, router, request, what } = violation;
            let router = router.map_or("-".to_owned(), |router| router.to_string());
            let request = request.as_deref().unwrap_or("-");
            text += &format!("  {rule:?} at {at_ms:.0} ms, router {router}, request {request}: {what}\n");
        }
        if self.violations.len() > MAX_SHOWN {
            text += &format!("  and {} more\n", self.violations.len() - MAX_SHOWN);
        }
        text
    }
}
