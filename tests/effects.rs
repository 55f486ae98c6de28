//! The rule on effects, on generated traffic: once an attempt may have run, a tokened request is retried only
//! within its group and window, and a non-idempotent request not at all. Reads are attempts too.

mod helpers;

use std::collections::BTreeMap;

use helpers::{arrival, row, settings, worker};
use paddleproxy::interface::*;
use paddleproxy::Control;

const FLEET: [&str; 12] =
    ["m0a", "m0b", "r0a", "w0a", "m1a", "m1b", "r1a", "w1a", "m2a", "r2a", "r2b", "w2a"];
const WINDOW_MS: f64 = 700.0;

/// Cells 0 and 1 share a zone.
fn listing(name: &str) -> Listing {
    let cell = row(name).cell;
    Listing { zone: ZoneId(usize::from(cell.0 == 2)), ..row(name) }
}

fn workload(effect: Effect, group: Group) -> WorkloadSettings {
    WorkloadSettings { effect, group, window_ms: WINDOW_MS, ..settings().workloads[0].clone() }
}

/// One attempt as the test records it.
struct Attempt {
    at: Listing,
    sent_ms: f64,
    may_have_run: bool,
}

/// A request and its attempts so far.
struct Request {
    effect: Effect,
    group: Group,
    attempts: Vec<Attempt>,
    rate_limited: bool,
}

impl Request {
    fn allows(&self, next: &Listing, now_ms: f64) -> bool {
        self.attempts.iter().filter(|earlier| earlier.may_have_run).all(|earlier| {
            let same = match self.group {
                Group::All => true,
                Group::Zone => earlier.at.zone == next.zone,
                Group::Cell => earlier.at.cell == next.cell,
            };
            self.effect == Effect::Tokened && same && now_ms - earlier.sent_ms < WINDOW_MS
        })
    }
}

/// Runs generated traffic and returns the number of retries after an attempt that may have run.
fn simulate(seed: u64, effect: Effect, group: Group) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let settings = Settings { workloads: vec![workload(effect, group)], second_copies: false, ..settings() };
    let mut control = Control::new(settings, seed);
    let rows: Vec<_> = FLEET.iter().map(|name| listing(name)).collect();
    let mut actions = Vec::new();
    let whole = Event::Listed { kind: ListKind::Whole, rows: rows.clone().into() };
    control.handle(0.0, &whole, &mut actions);
    let mut requests = BTreeMap::<CompletionId, Request>::new();
    let mut ends: Vec<(f64, Event)> = Vec::new();
    let (mut now_ms, mut arrived, mut retries) = (0.0, 0, 0);
    while arrived < 60 || !ends.is_empty() {
        let next = (0..ends.len()).min_by(|a, b| ends[*a].0.total_cmp(&ends[*b].0));
        let event = match next.filter(|next| arrived == 60 || ends[*next].0 < now_ms + 40.0) {
            Some(next) => {
                let (at_ms, event) = ends.swap_remove(next);
                now_ms = at_ms;
                event
            }
            None => {
                now_ms += 40.0;
                arrived += 1;
                let tokens = if rng.bool() { 800.0 } else { 7000.0 };
                let arrival = Arrival {
                    client_timeout_ms: now_ms + 4000.0,
                    ..arrival(arrived, u64::from(arrived) * 7919, tokens, None)
                };
                let request = Request { effect, group, attempts: Vec::new(), rate_limited: false };
                requests.insert(arrival.completion, request);
                Event::Arrived(arrival)
            }
        };
        if let Event::Ended { completion, seq, outcome, .. } = &event {
            let attempt = &mut requests.get_mut(completion).unwrap().attempts[seq.0 as usize];
            use Outcome::*;
            attempt.may_have_run &= !matches!(outcome, Full | NoState | ConnectFailed | Moot | Read);
        }
        actions.clear();
        control.handle(now_ms, &event, &mut actions);
        for action in std::mem::take(&mut actions) {
            match action {
                Action::Dispatch { completion, worker: to, .. } => {
                    let at = rows.iter().find(|row| row.worker == to).unwrap().clone();
                    let request = requests.get_mut(&completion).unwrap();
                    assert!(
                        request.allows(&at, now_ms),
                        "seed {seed}, {effect:?} {group:?}: {completion:?} retried at {at:?}, {now_ms} ms"
                    );
                    retries += usize::from(request.attempts.iter().any(|earlier| earlier.may_have_run));
                    let reads = at.kind == KindId(0);
                    request.attempts.push(Attempt { at, sent_ms: now_ms, may_have_run: !reads });
                    let seq = Seq(request.attempts.len() as u32 - 1);
                    let (in_ms, outcome) = random_outcome(&mut rng, reads);
                    let ended = Event::Ended {
                        completion,
                        seq,
                        took_ms: in_ms,
                        done: outcome == Outcome::Finished,
                        outcome,
                        cached_tokens: 0.0,
                    };
                    ends.push((now_ms + in_ms, ended));
                }
                Action::RateLimit { completion, .. } => {
                    let request = requests.get_mut(&completion).unwrap();
                    let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run);
                    let anywhere = effect == Effect::Tokened && group == Group::All;
                    assert!(!may_have_run || anywhere, "seed {seed}: {completion:?} is rate-limited");
                    assert!(!std::mem::replace(&mut request.rate_limited, true));
                }
                _ => {}
            }
        }
    }
    retries
}

fn random_outcome(rng: &mut fastrand::Rng, reads: bool) -> (f64, Outcome) {
    let success = if reads { Outcome::Read } else { Outcome::Finished };
    let outcomes = [success, success, Outcome::Error, Outcome::Broken, Outcome::Full, Outcome::ConnectFailed];
    (rng.f64() * 500.0, outcomes[rng.usize(..outcomes.len())])
}

#[test]
fn tokened_requests_are_retried_within_their_group_and_window() {
    for group in [Group::Cell, Group::Zone, Group::All] {
        let retries: usize = (0..150).map(|seed| simulate(seed, Effect::Tokened, group)).sum();
        assert!(retries > 500, "{group:?}: {retries} retries after an attempt that may have run");
    }
}

#[test]
fn non_idempotent_requests_are_not_retried_after_a_possible_run() {
    let retries: usize = (0..150).map(|seed| simulate(seed, Effect::NonIdempotent, Group::All)).sum();
    assert_eq!(retries, 0);
}

/// Regression: the attempt of a tokened request with group `Cell` failed at home, and the prompt was read
/// again by a reader of another cell.
#[test]
fn a_read_is_bound_to_the_group_of_an_attempt_that_may_have_run() {
    let settings = Settings { workloads: vec![workload(Effect::Tokened, Group::Cell)], ..settings() };
    let mut control = Control::new(settings, 7);
    let rows: Vec<_> = ["m0a", "m0b", "r1a", "w1a"].map(listing).into();
    let mut actions = Vec::new();
    control.handle(0.0, &Event::Listed { kind: ListKind::Whole, rows: rows.into() }, &mut actions);
    // The prompt is short enough to be read at home without any cached tokens; for the next home it is long.
    control.handle(10.0, &Event::Arrived(arrival(1, 5, 2400.0, None)), &mut actions);
    let sent = |actions: &[Action]| {
        let to = actions.iter().rev().find_map(|action| match action {
            Action::Dispatch { worker, .. } => Some(worker.clone()),
            _ => None,
        });
        to.expect("an attempt")
    };
    let first = sent(&actions);
    assert!([worker("m0a"), worker("m0b")].contains(&first), "{first:?}");
    let ended = Event::Ended {
        completion: CompletionId(1),
        seq: Seq(0),
        took_ms: 5.0,
        done: false,
        outcome: Outcome::Error,
        cached_tokens: 0.0,
    };
    actions.clear();
    control.handle(15.0, &ended, &mut actions);
    let next = sent(&actions);
    assert!(next != first && next.0.starts_with("m0"), "{next:?}");
}
