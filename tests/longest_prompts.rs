//! Admission does not starve the longest prompts of a workload: under generated load they get their part of
//! the answers that their workload gets. Workers here read one prompt after the other at a fixed rate.

mod helpers;

use std::collections::BTreeMap;

use helpers::{arrival, row, settings, worker};
use paddleproxy::interface::*;
use paddleproxy::Control;

const FLEET: [&str; 8] = ["m0a", "m0b", "r0a", "w0a", "m1a", "m1b", "r1a", "w1a"];
/// Prompt tokens that a worker reads per ms, and how long an answer streams.
const READ_TOKENS_PER_MS: f64 = 12.0;
const ANSWER_MS: f64 = 400.0;
const DURATION_MS: f64 = 40_000.0;
/// Memory of a worker in tokens: small enough that the limits derived from it reject some requests.
const MEMORY_TOKENS: f64 = 8_000.0;
/// Read capacity of the fleet: readers and mixed workers.
const CAPACITY_TOKENS_PER_MS: f64 = 6.0 * READ_TOKENS_PER_MS;

/// The workloads: value, and median prompt length in tokens.
const WORKLOADS: [(f64, f64); 3] = [(1.0, 300.0), (1.0, 1500.0), (4.0, 600.0)];

struct Request {
    workload: usize,
    prompt_tokens: f64,
    answered: bool,
    /// Number of attempts so far.
    attempts: u32,
}

/// Share of the requests that were answered, by workload: of all, and of the tenth with the longest prompts.
fn shares(load: f64, seed: u64) -> Vec<(f64, f64)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let workloads = WORKLOADS
        .iter()
        .map(|(value, _)| WorkloadSettings { value: *value, ..settings().workloads[0].clone() });
    let mut settings =
        Settings { workloads: workloads.collect(), routers: 1, writers_read: true, ..settings() };
    settings.kinds.iter_mut().for_each(|kind| kind.memory_tokens = MEMORY_TOKENS);
    let mut control = Control::new(settings, seed);
    let rows: Vec<_> = FLEET.iter().map(|name| row(name)).collect();
    control.handle(0.0, &Event::Listed { kind: ListKind::Whole, rows: rows.into() }, &mut Vec::new());
    let mut free_at = BTreeMap::<WorkerId, f64>::new();
    let mut requests = Vec::<Request>::new();
    let mut due = BTreeMap::<(u64, u64), Event>::new();
    let (mut next_ms, mut order) = (0.0_f64, 0_u64);
    // The mean of a lognormal distribution is its median times exp(variance / 2).
    let sigma = 0.8_f64;
    let mean_tokens =
        WORKLOADS.iter().map(|(_, median)| median).sum::<f64>() / 3.0 * (sigma * sigma / 2.0).exp();
    loop {
        let first = due.keys().next().copied();
        let first_ms = first.map_or(f64::INFINITY, |(at_us, _)| at_us as f64 / 1e3);
        if next_ms >= DURATION_MS && first.is_none() {
            break;
        }
        let (now_ms, event) = match first.filter(|_| first_ms <= next_ms || next_ms >= DURATION_MS) {
            Some(key) => (first_ms, due.remove(&key).unwrap()),
            None => {
                let now_ms = next_ms;
                next_ms += -rng.f64().max(1e-9).ln() * mean_tokens / (load * CAPACITY_TOKENS_PER_MS);
                let workload = rng.usize(..WORKLOADS.len());
                let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
                let prompt_tokens = (WORKLOADS[workload].1 * (sigma * normal).exp()).clamp(20.0, 12_000.0);
                let id = requests.len() as u32;
                requests.push(Request { workload, prompt_tokens, answered: false, attempts: 0 });
                let arrival = Arrival {
                    workload: WorkloadId(workload),
                    client_timeout_ms: now_ms + 4000.0,
                    ..arrival(id, rng.u64(..), prompt_tokens, None)
                };
                (now_ms, Event::Arrived(arrival))
            }
        };
        if let Event::Began { completion, .. } = &event {
            requests[completion.0 as usize].answered = true;
        }
        let mut actions = Vec::new();
        control.handle(now_ms, &event, &mut actions);
        for action in actions {
            let Action::Dispatch { completion, worker: to, .. } = action else { continue };
            let request = &mut requests[completion.0 as usize];
            let seq = Seq(request.attempts);
            request.attempts += 1;
            let mut at = |at_ms: f64, event: Event| {
                order += 1;
                due.insert(((at_ms * 1e3) as u64, order), event);
            };
            let ended = |outcome, done, took_ms| Event::Ended {
                completion,
                seq,
                took_ms,
                done,
                outcome,
                cached_tokens: 0.0,
            };
            let reads = to.0.starts_with('r');
            // A writer that fetches a state has nothing to read.
            let read_before = request.attempts > 1 && !reads;
            let work_ms = if read_before { 5.0 } else { request.prompt_tokens / READ_TOKENS_PER_MS };
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
    assert!(requests.len() > 300);
    (0..WORKLOADS.len())
        .map(|workload| {
            let mut of: Vec<_> = requests.iter().filter(|request| request.workload == workload).collect();
            of.sort_by(|a, b| b.prompt_tokens.total_cmp(&a.prompt_tokens));
            let share = |of: &[&Request]| of.iter().filter(|r| r.answered).count() as f64 / of.len() as f64;
            (share(&of), share(&of[..of.len().div_ceil(10)]))
        })
        .collect()
}

fn check_longest(load: f64, part: f64) {
    let mut rejected = false;
    for seed in 0..12 {
        for (workload, (all, longest)) in shares(load, seed).into_iter().enumerate() {
            rejected |= all < 1.0;
            let message = format!("load {load}, seed {seed}, workload {workload}: {longest:.2} of {all:.2}");
            assert!(longest >= part * all, "{message}");
        }
    }
    assert!(rejected, "nothing is rejected at load {load}: the test is not effective");
}

#[test]
fn at_low_load_the_longest_prompts_get_two_thirds_of_their_workload_s_share() {
    for load in [0.3, 0.5] {
        check_longest(load, 2.0 / 3.0);
    }
}

#[test]
fn under_overload_the_longest_prompts_get_half_of_their_workload_s_share() {
    check_longest(0.9, 0.5);
}

/// Of two prompts of the same length, the one that is long for its workload is written by a worker that is
/// over the limit for the other.
#[test]
fn a_prompt_that_is_long_for_its_workload_gets_the_full_limit_of_a_writer() {
    let dispatched = |workload_mean_tokens: f64| {
        let workload = |value| WorkloadSettings { value, ..settings().workloads[0].clone() };
        // Gives the first workload a limit factor of 0.71.
        let workloads = vec![workload(1.0), workload(3.0)];
        let mut control = Control::new(Settings { routers: 1, workloads, ..settings() }, 7);
        let rows: Vec<_> = ["r0a", "w0a"].map(row).into();
        let mut handle = |now_ms: f64, event: Event| {
            let mut actions = Vec::new();
            control.handle(now_ms, &event, &mut actions);
            actions
        };
        handle(0.0, Event::Listed { kind: ListKind::Whole, rows: rows.into() });
        let arrived = |id: u32, tokens: f64| Event::Arrived(arrival(id, u64::from(id) * 7919, tokens, None));
        let ended = |id: u32, seq: u32, outcome| Event::Ended {
            completion: CompletionId(id),
            seq: Seq(seq),
            took_ms: 5.0,
            done: outcome == Outcome::Finished,
            outcome,
            cached_tokens: 0.0,
        };
        for id in 0..8 {
            handle(10.0, arrived(id, workload_mean_tokens));
            handle(11.0, ended(id, 0, Outcome::Read));
            handle(12.0, ended(id, 1, Outcome::Finished));
        }
        // 0.64 of its memory is in use: 0.85 of the share at which a writer counts as full.
        let load = LoadReport { memory_share: Some(0.64), ..LoadReport::default() };
        handle(13.0, Event::Reported { worker: worker("w0a"), load });
        let actions = handle(13.0, arrived(101, 5000.0));
        actions.iter().any(|action| matches!(action, Action::Dispatch { .. }))
    };
    assert_eq!((dispatched(2500.0), dispatched(5000.0)), (true, false));
}
