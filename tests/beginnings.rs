//! Sessions that begin with the same text share homes, and what a queue is worth follows from what reads found.

mod helpers;

use std::collections::BTreeSet;

use helpers::{facts, row, settings, worker};
use paddleproxy::interface::*;
use paddleproxy::Control;

const HOMES: [&str; 8] = ["m0a", "m0b", "m1a", "m1b", "m2a", "m2b", "m3a", "m3b"];

/// One router to which events are told directly.
struct Router {
    control: Control,
    now_ms: f64,
    completions: u32,
}

impl Router {
    fn new(settings: Settings, workers: &[&str]) -> Self {
        let mut control = Control::new(settings, 7);
        let rows = workers.iter().map(|name| row(name)).collect();
        control.handle(0.0, &Event::Listed { kind: ListKind::Whole, rows }, &mut Vec::new());
        Router { control, now_ms: 0.0, completions: 0 }
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.control.handle(self.now_ms, &event, &mut actions);
        actions
    }

    /// A completion arrives; where its first dispatch goes, if anywhere.
    fn arrives(&mut self, session: u64, prefix: Option<u64>, prompt_tokens: f64) -> Option<String> {
        self.completions += 1;
        let arrival = Arrival {
            prefix: prefix.map(PrefixId),
            client_timeout_ms: self.now_ms + 4000.0,
            ..facts(self.completions, session, prompt_tokens, None)
        };
        let actions = self.tell(Event::Arrived(arrival));
        actions.into_iter().find_map(|action| match action {
            Action::Dispatch { worker, .. } => Some(worker.0.to_string()),
            _ => None,
        })
    }

    fn ended(&mut self, outcome: Outcome, kept_tokens: f64) {
        let (completion, seq) = (CompletionId(self.completions), Seq(0));
        let over = outcome == Outcome::Finished;
        self.tell(Event::Ended {
            completion,
            seq,
            took_ms: 1.0,
            done: over,
            outcome,
            cached_tokens: kept_tokens,
        });
        self.tell(Event::Expired { completion });
        let (seq, outcome) = (Seq(1), Outcome::Cancelled);
        self.tell(Event::Ended { completion, seq, took_ms: 1.0, done: true, outcome, cached_tokens: 0.0 });
    }

    /// A completion that is over at once; where it went.
    fn passes(&mut self, session: u64, prefix: Option<u64>) -> String {
        let went = self.arrives(session, prefix, 1000.0).expect("an idle home takes it");
        self.ended(Outcome::Finished, 0.0);
        self.now_ms += 50.0;
        went
    }
}

/// Homes of twelve sessions that begin with `prefix`, each at a router that saw `share` of so many arrivals begin so.
fn homes(prefix: u64, alike: u64, others: u64) -> BTreeSet<String> {
    let home = |session: u64| {
        let mut router = Router::new(settings(), &HOMES);
        for other in 0..others {
            router.passes(1000 + other, Some(5000 + other));
        }
        for same in 0..alike {
            router.passes(2000 + same, Some(prefix));
        }
        router.passes(session, Some(prefix))
    };
    (1..=12).map(home).collect()
}

/// A text that is a small part of what arrives has one home, at every router alike: spread over all of them it was read anew
/// at each, and none kept it until the next came.
#[test]
fn sessions_of_a_rare_beginning_share_one_home() {
    for prefix in 1..=5 {
        assert_eq!(homes(prefix, 0, 16).len(), 1);
        assert_eq!(homes(prefix, 0, 16), homes(prefix, 1, 30), "whatever else a router saw");
    }
}

/// One that is half of what arrives needs half of the homes, all of it all.
#[test]
fn a_common_beginning_has_as_many_homes_as_its_part_of_the_arrivals() {
    let half = homes(1, 16, 16);
    assert!((2..=5).contains(&half.len()), "{half:?}");
    assert!(half.is_superset(&homes(1, 0, 16)), "more homes are further ones");
    assert!(homes(1, 16, 0).len() >= 5);
}

/// Without a beginning in common, the session's own hash decides.
#[test]
fn sessions_without_a_common_beginning_spread() {
    let mut router = Router::new(settings(), &HOMES);
    let homes: BTreeSet<String> = (1..=40).map(|session| router.passes(session, None)).collect();
    assert_eq!(homes.len(), HOMES.len());
}

/// Three that wait at a reader bar the way where reads find 9,000 tokens uncovered, and not where they find 500.
#[test]
fn a_queue_weighs_as_much_as_what_reads_of_late_found_uncovered() {
    let goes = |kept_tokens: f64| {
        let mut router = Router::new(settings(), &["m0a", "r0a", "w0a"]);
        for session in 1..=30 {
            assert_eq!(router.arrives(session, None, 10_000.0).as_deref(), Some("r0a"));
            router.ended(Outcome::Read, kept_tokens);
            router.now_ms += 10_000.0;
        }
        let load = LoadReport { queue: Some(3.0), ..LoadReport::default() };
        router.tell(Event::Reported { worker: worker("r0a"), load });
        router.arrives(99, None, 3000.0)
    };
    assert_eq!(goes(9500.0).as_deref(), Some("r0a"));
    assert_ne!(goes(1000.0).as_deref(), Some("r0a"));
}
