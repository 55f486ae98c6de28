//! Sessions with a common prefix share homes; the load of a queued completion follows from recent reads.

mod helpers;

use std::collections::BTreeSet;

use helpers::{arrival, row, settings, worker};
use paddleproxy::interface::*;
use paddleproxy::Control;

const HOMES: [&str; 8] = ["m0a", "m0b", "m1a", "m1b", "m2a", "m2b", "m3a", "m3b"];

/// A router's scheduler, driven directly by events.
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

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.control.handle(self.now_ms, &event, &mut actions);
        actions
    }

    /// A completion arrives; returns the worker of its first dispatch, if any.
    fn arrive(&mut self, session: u64, prefix: Option<u64>, prompt_tokens: f64) -> Option<String> {
        self.completions += 1;
        let arrival = Arrival {
            prefix: prefix.map(PrefixId),
            client_timeout_ms: self.now_ms + 4000.0,
            ..arrival(self.completions, session, prompt_tokens, None)
        };
        let actions = self.handle(Event::Arrived(arrival));
        actions.into_iter().find_map(|action| match action {
            Action::Dispatch { worker, .. } => Some(worker.0.to_string()),
            _ => None,
        })
    }

    fn end(&mut self, outcome: Outcome, cached_tokens: f64) {
        let (completion, seq) = (CompletionId(self.completions), Seq(0));
        let done = outcome == Outcome::Finished;
        self.handle(Event::Ended { completion, seq, took_ms: 1.0, done, outcome, cached_tokens });
        self.handle(Event::Expired { completion });
        let (seq, outcome) = (Seq(1), Outcome::Cancelled);
        self.handle(Event::Ended { completion, seq, took_ms: 1.0, done: true, outcome, cached_tokens: 0.0 });
    }

    /// Runs a completion that finishes at once; returns its worker.
    fn serve(&mut self, session: u64, prefix: Option<u64>) -> String {
        let worker = self.arrive(session, prefix, 1000.0).expect("an idle home accepts the completion");
        self.end(Outcome::Finished, 0.0);
        self.now_ms += 50.0;
        worker
    }
}

/// Homes of twelve sessions with `prefix`, each at a router that saw `alike` arrivals with that prefix and
/// `others` with other prefixes.
fn homes(prefix: u64, alike: u64, others: u64) -> BTreeSet<String> {
    let home = |session: u64| {
        let mut router = Router::new(settings(), &HOMES);
        for other in 0..others {
            router.serve(1000 + other, Some(5000 + other));
        }
        for same in 0..alike {
            router.serve(2000 + same, Some(prefix));
        }
        router.serve(session, Some(prefix))
    };
    (1..=12).map(home).collect()
}

/// A prefix that is a small share of the arrivals has one home, the same at every router. Spread over all
/// homes it was read again at each, and none kept it cached until the next arrival.
#[test]
fn sessions_with_a_rare_prefix_share_one_home() {
    for prefix in 1..=5 {
        assert_eq!(homes(prefix, 0, 16).len(), 1);
        assert_eq!(homes(prefix, 0, 16), homes(prefix, 1, 30), "whatever else a router saw");
    }
}

/// A prefix of half of the arrivals needs half of the homes, a prefix of all arrivals all homes.
#[test]
fn a_common_prefix_has_homes_in_proportion_to_its_arrivals() {
    let half = homes(1, 16, 16);
    assert!((2..=5).contains(&half.len()), "{half:?}");
    assert!(half.is_superset(&homes(1, 0, 16)), "more homes are further ones");
    assert!(homes(1, 16, 0).len() >= 5);
}

/// Without a common prefix, the session's hash decides.
#[test]
fn sessions_without_a_common_prefix_spread() {
    let mut router = Router::new(settings(), &HOMES);
    let homes: BTreeSet<String> = (1..=40).map(|session| router.serve(session, None)).collect();
    assert_eq!(homes.len(), HOMES.len());
}

/// A queue of three makes a reader exceed its limit if recent reads found 9,000 uncached tokens each, but not
/// if they found 500.
#[test]
fn queued_completions_count_with_the_mean_uncached_tokens_of_recent_reads() {
    let worker_after_reads = |cached_tokens: f64| {
        let mut router = Router::new(settings(), &["m0a", "r0a", "w0a"]);
        for session in 1..=30 {
            assert_eq!(router.arrive(session, None, 10_000.0).as_deref(), Some("r0a"));
            router.end(Outcome::Read, cached_tokens);
            router.now_ms += 10_000.0;
        }
        let load = LoadReport { queue: Some(3.0), ..LoadReport::default() };
        router.handle(Event::Reported { worker: worker("r0a"), load });
        router.arrive(99, None, 3000.0)
    };
    assert_eq!(worker_after_reads(9500.0).as_deref(), Some("r0a"));
    assert_ne!(worker_after_reads(1000.0).as_deref(), Some("r0a"));
}
