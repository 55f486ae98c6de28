//! Network partition: a router gets no probe answers from the other zones but still serves in its own.

mod helpers;

use helpers::{arrival, row, settings};
use paddleproxy::interface::*;
use paddleproxy::Control;

const ZONES: usize = 3;

fn workers() -> Vec<Listing> {
    let names = (0..ZONES).flat_map(|zone| {
        "abcdefgh".chars().flat_map(move |id| ["m", "r", "w"].map(|role| format!("{role}{zone}{id}")))
    });
    names.map(|name| row(&name)).collect()
}

/// Runs completions 3 s apart; returns the number of dispatches to each zone and the number of probes.
/// `answers` selects the workers that answer a probe; probes of the others time out after 250 ms.
fn simulate(prompt_tokens: f64, answers: impl Fn(&Listing) -> bool) -> ([usize; ZONES], usize) {
    let rows = workers();
    let listed = |worker: &WorkerId| rows.iter().find(|row| row.worker == *worker).unwrap();
    let mut control = Control::new(Settings { probes_allowed: true, ..settings() }, 7);
    let mut actions = Vec::new();
    let whole = Event::Listed { kind: ListKind::Whole, rows: rows.clone().into() };
    control.handle(0.0, &whole, &mut actions);
    let (mut zones, mut probes) = ([0; ZONES], 0);
    for id in (1..=60).map(CompletionId) {
        let mut now_ms = f64::from(id.0) * 3000.0;
        let mut arrival = arrival(id.0, u64::from(id.0) * 7919, prompt_tokens, None);
        arrival.client_timeout_ms += now_ms;
        control.handle(now_ms, &Event::Arrived(arrival), &mut actions);
        let (mut unanswered, mut due_ms, mut open) = (Vec::new(), now_ms, true);
        while open {
            let mut answered = Vec::new();
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Probe { worker } => {
                        probes += 1;
                        if answers(listed(&worker)) { &mut answered } else { &mut unanswered }.push(worker);
                    }
                    Action::Arm { in_ms, .. } => due_ms = now_ms + in_ms,
                    Action::Dispatch { worker, .. } => {
                        zones[listed(&worker).zone.0] += 1;
                        (now_ms, open) = (now_ms + 50.0, false);
                        let (seq, outcome) = (Seq(0), Outcome::Finished);
                        let cached_tokens = 0.0;
                        let (completion, took_ms, done) = (id, 50.0, true);
                        let ended = Event::Ended { completion, seq, took_ms, done, outcome, cached_tokens };
                        control.handle(now_ms, &ended, &mut Vec::new());
                    }
                    Action::RateLimit { .. } | Action::Abort { .. } => open = false,
                    _ => {}
                }
            }
            if open && answered.is_empty() {
                now_ms = due_ms;
                control.handle(now_ms, &Event::TimerFired(Timer::Completion(id)), &mut actions);
            }
            for worker in answered {
                let probed = Event::Probed { worker, answered: true, took_ms: 1.0 };
                control.handle(now_ms, &probed, &mut actions);
            }
        }
        for worker in unanswered {
            let probed = Event::Probed { worker, answered: false, took_ms: 250.0 };
            control.handle(f64::from(id.0) * 3000.0 + 600.0, &probed, &mut actions);
        }
    }
    (zones, probes)
}

#[test]
fn a_router_cut_off_from_two_of_three_zones_serves_in_its_own() {
    let own = |row: &Listing| row.zone == ZoneId(ZONES - 1);
    for prompt_tokens in [9000.0, 500.0] {
        let (zones, probes) = simulate(prompt_tokens, own);
        assert_eq!(zones, [0, 0, 60], "{prompt_tokens} tokens, {probes} probes");
    }
}

#[test]
fn single_silent_workers_leave_their_zones_in_use() {
    // One worker in eight of every kind and zone answers no probes.
    let (zones, _) = simulate(9000.0, |row| !row.worker.0.ends_with('c'));
    assert_eq!(zones.iter().sum::<usize>(), 60);
    assert!(zones.iter().all(|zone| *zone >= 10), "sent by zone: {zones:?}");
}

#[test]
fn without_any_probe_answer_nothing_is_dispatched() {
    let (zones, probes) = simulate(9000.0, |_| false);
    assert_eq!(zones, [0, 0, 0], "{probes} probes");
}
