//! Tests of `progress`, including every order of four answers that a watch may return.

use super::*;
use crate::limits::DISCOVERY_RETRY_MS;
use paddleproxy::interface::{CellId, KindId, Listing, Readiness, WorkerId, ZoneId};
use paddleproxy_platform::list::Row;

fn list(version: u64, whole: bool, rows: usize) -> List {
    let listing = Listing {
        worker: WorkerId("s-1".into()),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        readiness: Readiness::Draining,
        weight: 1.0,
        started_ms: None,
    };
    List { version, whole, rows: vec![Row { listing, address: None }; rows], unknown: 0 }
}

/// How discovery responds to one call.
#[derive(Clone, Copy, Debug)]
enum Response {
    /// The requested list or changes.
    Requested,
    /// The whole list, whatever was requested.
    Whole,
    /// Data that can't be read.
    Unreadable,
    /// An outdated version, as from an answer that was delayed.
    Outdated,
    /// No answer, or a broken connection.
    None,
}

const ALL: [Response; 5] =
    [Response::Requested, Response::Whole, Response::Unreadable, Response::Outdated, Response::None];

/// A discovery whose list changes with every call, and the router's progress in following it.
#[derive(Default)]
struct Simulation {
    progress: Progress,
    /// The version that discovery has, and the one up to which the router has all changes.
    current: u64,
    known: u64,
}

impl Simulation {
    fn call(&mut self, response: Response) {
        self.current += 1;
        let from = self.progress.watch_from();
        let answer = match response {
            Response::None => return,
            Response::Unreadable => return self.progress.mark_unreadable(),
            Response::Whole => list(self.current, true, 1),
            Response::Outdated => list(self.current.saturating_sub(2), from.is_none(), 1),
            Response::Requested => list(self.current, from.is_none(), 1),
        };
        if self.progress.apply(&answer) == ListUpdate::Changed {
            // Changes apply to the version that the call named; no version is older than the known one.
            assert!(answer.whole || from == Some(self.known), "a gap after {}", self.known);
            assert!(answer.version >= self.known, "{} after {}", answer.version, self.known);
            self.known = answer.version;
        }
    }
}

/// After any sequence of four responses, one valid answer brings the router up to date.
#[test]
fn after_any_four_responses_one_valid_answer_brings_the_router_up_to_date() {
    for case in 0..ALL.len().pow(4) {
        let mut simulation = Simulation::default();
        for position in 0..4 {
            simulation.call(ALL[case / ALL.len().pow(position) % ALL.len()]);
        }
        simulation.call(Response::Requested);
        assert_eq!(simulation.known, simulation.current, "case {case}");
    }
}

#[test]
fn after_a_change_of_discovery_the_whole_list_is_requested_and_its_version_may_be_lower() {
    let mut progress = Progress::default();
    assert_eq!(progress.apply(&list(900, true, 1)), ListUpdate::Changed);
    assert!(progress.path().contains("from=900"));
    progress.reset();
    assert_eq!(progress.path(), "/catalog/members");
    assert_eq!(progress.apply(&list(3, true, 1)), ListUpdate::Changed);
}

#[test]
fn after_an_unreadable_answer_the_whole_list_is_requested() {
    let mut progress = Progress::default();
    progress.apply(&list(4, true, 1));
    progress.mark_unreadable();
    assert_eq!(progress.path(), "/catalog/members");
    assert_eq!(progress.apply(&list(3, true, 1)), ListUpdate::Unusable, "older than the known version");
    assert_eq!(progress.path(), "/catalog/members");
    assert_eq!(progress.apply(&list(5, true, 1)), ListUpdate::Changed);
    assert!(progress.path().contains("from=5"));
}

#[test]
fn older_lists_and_changes_without_a_list_are_unusable() {
    let mut progress = Progress::default();
    assert_eq!(progress.apply(&list(5, false, 1)), ListUpdate::Unusable, "changes without a list");
    assert_eq!(progress.apply(&list(5, true, 1)), ListUpdate::Changed);
    assert_eq!(progress.apply(&list(4, true, 1)), ListUpdate::Unusable);
    assert_eq!(progress.apply(&list(5, false, 0)), ListUpdate::Unchanged);
    assert!(progress.path().contains("from=5"));
}

/// A watch that times out from its start, then one refused call, then the answer: all within the 6 s in which
/// a change must be known.
#[test]
fn a_watch_that_times_out_is_replaced_in_time() {
    let mut progress = Progress::default();
    let whole_list_ms = progress.timeout_ms();
    progress.apply(&list(1, true, 1));
    let timed_out_ms = progress.timeout_ms() + DISCOVERY_RETRY_MS;
    assert!(timed_out_ms + DISCOVERY_RETRY_MS + whole_list_ms < 6000.0, "{timed_out_ms} and {whole_list_ms}");
    // At most 2 s after the end of the call's hold time.
    assert!(timed_out_ms < WATCH_HOLD_MS + 2000.0);
}

#[test]
fn the_timeout_follows_a_slow_discovery_and_a_timeout_shortens_the_hold() {
    let mut progress = Progress::default();
    assert_eq!(progress.timeout_ms(), WATCH_MIN_SLACK_MS);
    progress.timed_out();
    progress.timed_out();
    progress.timed_out();
    assert_eq!(progress.timeout_ms(), WATCH_MAX_SLACK_MS, "the timeout grows up to its limit");
    progress.answered(1600.0);
    assert!(progress.timeout_ms() > 1600.0, "an equally slow answer arrives in time");
    progress.reset();
    assert!(progress.timeout_ms() > 1600.0, "a reset keeps the timeout");
    let list = List { version: 7, whole: true, ..List::default() };
    progress.apply(&list);
    assert!(progress.path().ends_with("from=7&hold_ms=2000"), "{}", progress.path());
    progress.timed_out();
    assert!(
        progress.path().ends_with("from=7&hold_ms=100"),
        "missed changes are requested at once: {}",
        progress.path()
    );
    progress.answered(130.0);
    assert_eq!(progress.timeout_ms(), WATCH_HOLD_MS + WATCH_MIN_SLACK_MS);
}
