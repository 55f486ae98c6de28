//! Tests of the module `progress`: every order of what may come on a watch.

use super::*;
use crate::limits::ASK_AGAIN_MS;
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
    List { version, whole, rows: vec![Row { listing, dial: None }; rows], unknown: 0 }
}

/// What discovery does with one call.
#[derive(Clone, Copy, Debug)]
enum Does {
    /// Answers the call that it was asked.
    Answers,
    /// Answers with the whole list whatever it was asked.
    AnswersWhole,
    /// Sends what can't be read.
    Garbles,
    /// An answer that was under way for long.
    AnswersLate,
    /// Says nothing, or breaks off.
    Silent,
}

const ALL: [Does; 5] = [Does::Answers, Does::AnswersWhole, Does::Garbles, Does::AnswersLate, Does::Silent];

/// A discovery whose list changes with every call, and what a router knows of it.
#[derive(Default)]
struct Play {
    progress: Progress,
    /// The version that discovery has, and up to which the router was told without a gap.
    has: u64,
    told: u64,
}

impl Play {
    fn call(&mut self, does: Does) {
        self.has += 1;
        let watched = self.progress.watched();
        let answer = match does {
            Does::Silent => return,
            Does::Garbles => return self.progress.mark_unreadable(),
            Does::AnswersWhole => list(self.has, true, 1),
            Does::AnswersLate => list(self.has.saturating_sub(2), watched.is_none(), 1),
            Does::Answers => list(self.has, watched.is_none(), 1),
        };
        if self.progress.apply(&answer) == ListUpdate::Changed {
            // Changes build on what the call said that it knows; no version goes back.
            assert!(answer.whole || watched == Some(self.told), "a gap after {}", self.told);
            assert!(answer.version >= self.told, "{} after {}", answer.version, self.told);
            self.told = answer.version;
        }
    }
}

/// Whatever came before in whatever order, one good answer brings the router up to date.
#[test]
fn after_any_four_calls_one_good_answer_tells_all() {
    for case in 0..ALL.len().pow(4) {
        let mut play = Play::default();
        for place in 0..4 {
            play.call(ALL[case / ALL.len().pow(place) % ALL.len()]);
        }
        play.call(Does::Answers);
        assert_eq!(play.told, play.has, "case {case}");
    }
}

#[test]
fn a_discovery_that_moves_is_asked_for_the_whole_and_may_count_lower() {
    let mut progress = Progress::default();
    assert_eq!(progress.apply(&list(900, true, 1)), ListUpdate::Changed);
    assert!(progress.path().contains("from=900"));
    progress.reset();
    assert_eq!(progress.path(), "/catalog/members");
    assert_eq!(progress.apply(&list(3, true, 1)), ListUpdate::Changed);
}

#[test]
fn what_can_not_be_read_is_asked_for_as_a_whole_list() {
    let mut progress = Progress::default();
    progress.apply(&list(4, true, 1));
    progress.mark_unreadable();
    assert_eq!(progress.path(), "/catalog/members");
    assert_eq!(progress.apply(&list(3, true, 1)), ListUpdate::Unusable, "older than what is known");
    assert_eq!(progress.path(), "/catalog/members");
    assert_eq!(progress.apply(&list(5, true, 1)), ListUpdate::Changed);
    assert!(progress.path().contains("from=5"));
}

#[test]
fn what_is_older_or_builds_on_nothing_changes_nothing() {
    let mut progress = Progress::default();
    assert_eq!(progress.apply(&list(5, false, 1)), ListUpdate::Unusable, "changes without a list");
    assert_eq!(progress.apply(&list(5, true, 1)), ListUpdate::Changed);
    assert_eq!(progress.apply(&list(4, true, 1)), ListUpdate::Unusable);
    assert_eq!(progress.apply(&list(5, false, 0)), ListUpdate::Unchanged);
    assert!(progress.path().contains("from=5"));
}

/// A watch that falls silent as it opens, then one refused call, then the answer: all within the 6 s after which a change
/// counts as told.
#[test]
fn a_silent_watch_is_opened_anew_in_time() {
    let mut progress = Progress::default();
    let asked_whole_ms = progress.timeout_ms();
    progress.apply(&list(1, true, 1));
    let silent_ms = progress.timeout_ms() + ASK_AGAIN_MS;
    assert!(silent_ms + ASK_AGAIN_MS + asked_whole_ms < 6000.0, "{silent_ms} and {asked_whole_ms}");
    // A call that may wait: 2 s after its wait is over.
    assert!(silent_ms < WATCH_MS + 2000.0);
}

#[test]
fn a_slow_discovery_is_waited_for_and_a_silent_one_asked_at_once() {
    let mut progress = Progress::default();
    assert_eq!(progress.timeout_ms(), WATCH_SLACK_MS);
    progress.timed_out();
    progress.timed_out();
    progress.timed_out();
    assert_eq!(progress.timeout_ms(), WATCH_SLACK_MOST_MS, "it grows, but not without end");
    progress.answered(1600.0);
    assert!(progress.timeout_ms() > 1600.0, "an answer as slow comes in time");
    progress.reset();
    assert!(progress.timeout_ms() > 1600.0, "a new configuration makes discovery no quicker");
    let list = List { version: 7, whole: true, ..List::default() };
    progress.apply(&list);
    assert!(progress.path().ends_with("from=7&hold_ms=2000"), "{}", progress.path());
    progress.timed_out();
    assert!(progress.path().ends_with("from=7&hold_ms=100"), "what was missed: {}", progress.path());
    progress.answered(130.0);
    assert_eq!(progress.timeout_ms(), WATCH_MS + WATCH_SLACK_MS);
}
