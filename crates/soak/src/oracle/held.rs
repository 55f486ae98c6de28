//! Nothing is left held.

use super::{Case, Rule, Violation};
use crate::configuration::HELD_LIMIT_MS;
use crate::record::{Attempt, HeldState};

/// Beyond the settings' limit, with few routers and with more than [`FEW`], in ms.
const EXTRA_MS: f64 = 300.0;
const EXTRA_MANY_MS: f64 = 1000.0;
const FEW: usize = 12;
const FROZEN: [&str; 1] = ["router-freeze"];

pub(super) fn check(case: &Case, found: &mut Vec<Violation>) {
    let extra_ms = if case.terms.routers > FEW { EXTRA_MANY_MS } else { EXTRA_MS };
    let end_ms = case.observed.held.iter().filter_map(|held| held.until_ms).fold(0.0, f64::max);
    for held in &case.observed.held {
        let Some(request) = case.observed.requests.get(&held.request) else { continue };
        let until_ms = held.until_ms.unwrap_or(end_ms);
        let killed = case.process(request).is_some_and(|process| process.killed_ms.is_some());
        let crashed =
            case.process(request).and_then(|process| process.ended).is_some_and(|(_, code)| code != Ok(0));
        if killed || crashed || case.was_on(&FROZEN, held.from_ms, until_ms) {
            continue;
        }
        let base_ms = alone_since_ms(case, held, until_ms);
        let stood_ms = until_ms - base_ms;
        if stood_ms > HELD_LIMIT_MS + extra_ms + case.slack_ms(until_ms) {
            let what = format!("a state at server {} was left for {stood_ms:.0} ms", held.server);
            let (router, request) = (Some(request.router), Some(held.request.clone()));
            found.push(Violation { rule: Rule::Held, at_ms: base_ms, router, request, what });
        }
    }
}

/// Since when no attempt of its request was out while it was held.
fn alone_since_ms(case: &Case, held: &HeldState, until_ms: f64) -> f64 {
    let out = |attempt: &&&Attempt| attempt.first_byte_ms <= until_ms;
    let attempts = case.attempts(&held.request).iter().filter(out);
    let ends = attempts.map(|attempt| attempt.ended_ms.unwrap_or(until_ms).min(until_ms));
    ends.fold(held.from_ms, f64::max)
}
