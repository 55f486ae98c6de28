//! Admission does not starve the longest prompts of a class: over generated loads they keep their part of the answers that
//! their class gets. Servers here read one prompt after the other at a fixed rate.

mod helpers;

use std::collections::BTreeMap;

use helpers::{facts, row, settings, worker};
use paddleproxy::interface::*;
use paddleproxy::Control;

const FLEET: [&str; 8] = ["m0a", "m0b", "r0a", "w0a", "m1a", "m1b", "r1a", "w1a"];
/// Prompt tokens that a server reads in a ms, and how long an answer runs, in ms.
const READS_PER_MS: f64 = 12.0;
const ANSWER_MS: f64 = 400.0;
const LASTS_MS: f64 = 40_000.0;
/// Tokens that a server holds: so few that the bounds that follow from it refuse.
const MEMORY: f64 = 8_000.0;
/// Reads that the whole fleet can do, in tokens a ms: readers and combined servers.
const CAPACITY: f64 = 6.0 * READS_PER_MS;

/// The classes: value, and the median prompt in tokens.
const CLASSES: [(f64, f64); 3] = [(1.0, 300.0), (1.0, 1500.0), (4.0, 600.0)];

struct Asked {
    class: usize,
    prompt_tokens: f64,
    answered: bool,
    /// What its reads have still to do, by attempt.
    attempts: u32,
}

/// What of each class was answered: all, and the tenth with the longest prompts.
fn shares(load: f64, seed: u64) -> Vec<(f64, f64)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let workloads = CLASSES
        .iter()
        .map(|(value, _)| WorkloadSettings { value: *value, ..settings().workloads[0].clone() });
    let mut settings =
        Settings { workloads: workloads.collect(), routers: 1, writers_read: true, ..settings() };
    settings.kinds.iter_mut().for_each(|kind| kind.memory_tokens = MEMORY);
    let mut control = Control::new(settings, seed);
    let rows: Vec<_> = FLEET.iter().map(|name| row(name)).collect();
    control.handle(0.0, &Event::Listed { kind: ListKind::Whole, rows: rows.into() }, &mut Vec::new());
    let mut free_at = BTreeMap::<WorkerId, f64>::new();
    let mut asked = Vec::<Asked>::new();
    let mut due = BTreeMap::<(u64, u64), Event>::new();
    let (mut next_ms, mut order) = (0.0_f64, 0_u64);
    // A lognormal prompt has a mean of its median times e to half its variance.
    let sigma = 0.8_f64;
    let mean_tokens =
        CLASSES.iter().map(|(_, median)| median).sum::<f64>() / 3.0 * (sigma * sigma / 2.0).exp();
    loop {
        let first = due.keys().next().copied();
        let first_ms = first.map_or(f64::INFINITY, |(at_us, _)| at_us as f64 / 1e3);
        if next_ms >= LASTS_MS && first.is_none() {
            break;
        }
        let (now_ms, event) = match first.filter(|_| first_ms <= next_ms || next_ms >= LASTS_MS) {
            Some(key) => (first_ms, due.remove(&key).unwrap()),
            None => {
                let now_ms = next_ms;
                next_ms += -rng.f64().max(1e-9).ln() * mean_tokens / (load * CAPACITY);
                let class = rng.usize(..CLASSES.len());
                let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
                let prompt_tokens = (CLASSES[class].1 * (sigma * normal).exp()).clamp(20.0, 12_000.0);
                let id = asked.len() as u32;
                asked.push(Asked { class, prompt_tokens, answered: false, attempts: 0 });
                let arrival = Arrival {
                    workload: WorkloadId(class),
                    client_timeout_ms: now_ms + 4000.0,
                    ..facts(id, rng.u64(..), prompt_tokens, None)
                };
                (now_ms, Event::Arrived(arrival))
            }
        };
        if let Event::Began { completion, .. } = &event {
            asked[completion.0 as usize].answered = true;
        }
        let mut actions = Vec::new();
        control.handle(now_ms, &event, &mut actions);
        for action in actions {
            let Action::Dispatch { completion, worker: to, .. } = action else { continue };
            let request = &mut asked[completion.0 as usize];
            let seq = Seq(request.attempts);
            request.attempts += 1;
            let mut at = |at_ms: f64, event: Event| {
                order += 1;
                due.insert(((at_ms * 1e3) as u64, order), event);
            };
            let ended = |outcome, over, took_ms| Event::Ended {
                completion,
                seq,
                took_ms,
                done: over,
                outcome,
                cached_tokens: 0.0,
            };
            let reads = to.0.starts_with('r');
            // A writer that takes a state only streams.
            let read_before = request.attempts > 1 && !reads;
            let work_ms = if read_before { 5.0 } else { request.prompt_tokens / READS_PER_MS };
            let free = free_at.entry(to).or_default();
            *free = free.max(now_ms) + work_ms;
            let done_ms = *free;
            if reads {
                at(done_ms, ended(Outcome::Read, false, done_ms - now_ms));
            } else {
                at(done_ms, Event::Began { completion, seq, took_ms: done_ms - now_ms });
                at(done_ms + ANSWER_MS, ended(Outcome::Finished, true, done_ms + ANSWER_MS - now_ms));
            }
        }
    }
    assert!(asked.len() > 300);
    (0..CLASSES.len())
        .map(|class| {
            let mut of: Vec<_> = asked.iter().filter(|request| request.class == class).collect();
            of.sort_by(|a, b| b.prompt_tokens.total_cmp(&a.prompt_tokens));
            let share = |of: &[&Asked]| of.iter().filter(|r| r.answered).count() as f64 / of.len() as f64;
            (share(&of), share(&of[..of.len().div_ceil(10)]))
        })
        .collect()
}

fn holds(load: f64, part: f64) {
    let mut refused = false;
    for seed in 0..12 {
        for (class, (all, longest)) in shares(load, seed).into_iter().enumerate() {
            refused |= all < 1.0;
            let said = format!("load {load}, seed {seed}, class {class}: {longest:.2} of {all:.2}");
            assert!(longest >= part * all, "{said}");
        }
    }
    assert!(refused, "nothing is refused at load {load}: this shows nothing");
}

#[test]
fn on_a_quiet_day_the_longest_prompts_get_two_thirds_of_their_class_s_share() {
    for load in [0.3, 0.5] {
        holds(load, 2.0 / 3.0);
    }
}

#[test]
fn under_strain_the_longest_prompts_get_half_of_their_class_s_share() {
    holds(0.9, 0.5);
}

/// Of two prompts of the same length the one that is long for its class is written by a server that is past the bound for
/// the other.
#[test]
fn a_prompt_that_is_long_for_its_class_keeps_the_whole_bound_of_who_writes() {
    let goes = |usual_tokens: f64| {
        let class = |value| WorkloadSettings { value, ..settings().workloads[0].clone() };
        // A factor of 0.71 for the first class.
        let workloads = vec![class(1.0), class(3.0)];
        let mut control = Control::new(Settings { routers: 1, workloads, ..settings() }, 7);
        let rows: Vec<_> = ["r0a", "w0a"].map(row).into();
        let mut told = |now_ms: f64, event: Event| {
            let mut actions = Vec::new();
            control.handle(now_ms, &event, &mut actions);
            actions
        };
        told(0.0, Event::Listed { kind: ListKind::Whole, rows: rows.into() });
        let arrived = |id: u32, tokens: f64| Event::Arrived(facts(id, u64::from(id) * 7919, tokens, None));
        let ended = |id: u32, seq: u32, outcome| Event::Ended {
            completion: CompletionId(id),
            seq: Seq(seq),
            took_ms: 5.0,
            done: outcome == Outcome::Finished,
            outcome,
            cached_tokens: 0.0,
        };
        for id in 0..8 {
            told(10.0, arrived(id, usual_tokens));
            told(11.0, ended(id, 0, Outcome::Read));
            told(12.0, ended(id, 1, Outcome::Finished));
        }
        // It holds 0.64 of its memory: 0.85 of what makes a server that writes full.
        let load = LoadReport { memory_share: Some(0.64), ..LoadReport::default() };
        told(13.0, Event::Reported { worker: worker("w0a"), load });
        let actions = told(13.0, arrived(101, 5000.0));
        actions.iter().any(|action| matches!(action, Action::Dispatch { .. }))
    };
    assert_eq!((goes(2500.0), goes(5000.0)), (true, false));
}
