//! Checks that no server is left holding the state or the slot of a request that has no attempt in flight.

use super::{CheckContext, Rule, Violation};
use crate::configuration::HELD_LIMIT_MS;
use crate::record::{Attempt, HeldState};

/// Tolerance beyond the limit of the settings, in ms, with up to [`FEW_ROUTERS`] routers and with more.
const TOLERANCE_MS: f64 = 300.0;
const MANY_ROUTERS_TOLERANCE_MS: f64 = 1000.0;
const FEW_ROUTERS: usize = 12;
const ROUTER_FROZEN: [&str; 1] = ["router-freeze"];

pub(super) fn check(context: &CheckContext, found: &mut Vec<Violation>) {
    let tolerance_ms =
        if context.parameters.routers > FEW_ROUTERS { MANY_ROUTERS_TOLERANCE_MS } else { TOLERANCE_MS };
    let end_ms = context.observed.held.iter().filter_map(|held| held.until_ms).fold(0.0, f64::max);
    for held in &context.observed.held {
        let Some(request) = context.observed.requests.get(&held.request) else { continue };
        let until_ms = held.until_ms.unwrap_or(end_ms);
        let killed = context.process(request).is_some_and(|process| process.killed_ms.is_some());
        let crashed =
            context.process(request).and_then(|process| process.ended).is_some_and(|(_, code)| code != Ok(0));
        if killed || crashed || context.trouble_active(&ROUTER_FROZEN, held.from_ms, until_ms) {
            continue;
        }
        let unattended_since_ms = unattended_since_ms(context, held, until_ms);
        let unattended_ms = until_ms - unattended_since_ms;
        if unattended_ms > HELD_LIMIT_MS + tolerance_ms + context.slack_ms(until_ms) {
            let what = format!(
                "a state at server {} was held for {unattended_ms:.0} ms with no attempt in flight",
                held.server
            );
            let (router, request) = (Some(request.router), Some(held.request.clone()));
            found.push(Violation { rule: Rule::Held, at_ms: unattended_since_ms, router, request, what });
        }
    }
}

/// Since when the state was held with no attempt of its request in flight.
fn unattended_since_ms(context: &CheckContext, held: &HeldState, until_ms: f64) -> f64 {
    let begun = |attempt: &&&Attempt| attempt.first_byte_ms <= until_ms;
    let attempts = context.attempts(&held.request).iter().filter(begun);
    let ends = attempts.map(|attempt| attempt.ended_ms.unwrap_or(until_ms).min(until_ms));
    ends.fold(held.from_ms, f64::max)
}
