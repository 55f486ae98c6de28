//! A session does not depend on a failing home: while there is capacity elsewhere, its turns are served
//! there.

mod helpers;

use std::collections::{BTreeMap, BTreeSet};

use helpers::{arrival, row, settings, worker};
use paddleproxy::interface::*;
use paddleproxy::Control;

const FLEET: [&str; 9] = ["m0a", "m0b", "r0a", "w0a", "m1a", "m1b", "r1a", "m2a", "r2a"];
const SESSIONS: u64 = 60;
const TURNS: u32 = 5;

/// Runs some turns of each session while the `failing` workers end every attempt with `outcome`; returns the
/// sessions without any served turn.
fn never_served(failing: &[&str], outcome: Outcome, tokens: f64) -> BTreeSet<u64> {
    let mut control = Control::new(Settings { writers_read: true, ..settings() }, 7);
    let rows: Vec<_> = FLEET.iter().map(|name| row(name)).collect();
    control.handle(0.0, &Event::Listed { kind: ListKind::Whole, rows: rows.into() }, &mut Vec::new());
    let failing: Vec<_> = failing.iter().map(|name| worker(name)).collect();
    let (mut served, mut id, mut now_ms) = (BTreeMap::<u64, u32>::new(), 0, 0.0);
    for _ in 0..TURNS {
        for session in 0..SESSIONS {
            id += 1;
            now_ms += 120.0;
            let arrival =
                Arrival { client_timeout_ms: now_ms + 4000.0, ..arrival(id, session * 7919, tokens, None) };
            let mut events = vec![Event::Arrived(arrival)];
            let mut seq = 0;
            while let Some(event) = events.pop() {
                let mut actions = Vec::new();
                control.handle(now_ms, &event, &mut actions);
                for action in actions {
                    let Action::Dispatch { completion, worker, .. } = action else { continue };
                    let reads = worker.0.starts_with('r');
                    let success = if reads { Outcome::Read } else { Outcome::Finished };
                    let outcome = if failing.contains(&worker) { outcome } else { success };
                    now_ms += 5.0;
                    *served.entry(session).or_default() += u32::from(outcome == Outcome::Finished);
                    events.push(Event::Ended {
                        completion,
                        seq: Seq(seq),
                        took_ms: 5.0,
                        done: outcome == Outcome::Finished,
                        outcome,
                        cached_tokens: 0.0,
                    });
                    seq += 1;
                }
            }
        }
    }
    (0..SESSIONS).filter(|session| !served.contains_key(session) || served[session] == 0).collect()
}

#[test]
fn with_any_one_worker_failing_every_session_is_served() {
    for name in FLEET {
        for outcome in [Outcome::Full, Outcome::Error, Outcome::ConnectFailed, Outcome::Broken] {
            for tokens in [300.0, 7000.0] {
                let unserved = never_served(&[name], outcome, tokens);
                assert!(
                    unserved.is_empty(),
                    "{name} {outcome:?}, {tokens} tokens: never served {unserved:?}"
                );
            }
        }
    }
}

#[test]
fn with_a_whole_cell_failing_every_session_is_served() {
    for cell in ["0", "1", "2"] {
        let failing: Vec<_> = FLEET.into_iter().filter(|name| &name[1..2] == cell).collect();
        for outcome in [Outcome::Full, Outcome::ConnectFailed] {
            for tokens in [300.0, 7000.0] {
                let unserved = never_served(&failing, outcome, tokens);
                assert!(
                    unserved.is_empty(),
                    "cell {cell} {outcome:?}, {tokens} tokens: never served {unserved:?}"
                );
            }
        }
    }
}
