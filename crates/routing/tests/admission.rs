//! Traces of the two gates and of keys. Read by people, kept in `snapshots/`.

use std::fmt::Write;
use std::rc::Rc;

use paddleproxy::interface::{CustomerId, WorkloadId};
use paddleproxy_messages::Answer;
use paddleproxy_routing::{
    Admission, AdmissionLimits, CustomerLimits, IdempotencyKeys, Key, KeyDecision, Permit, Rejection,
};

const APP: Option<CustomerId> = Some(CustomerId(0));
const DESK: Option<CustomerId> = Some(CustomerId(1));

struct Gate {
    admission: Admission,
    now_ms: f64,
    places: Vec<Permit>,
    trace: String,
}

impl Gate {
    /// Two customers, the first with three quarters of the traffic; the second workload is worth a quarter.
    fn new(open_completions: usize, limits: CustomerLimits) -> Self {
        let customers = vec![(30.0, CustomerLimits::default()), (10.0, limits)];
        let bounds = AdmissionLimits {
            open_completions,
            prompt_bytes: 1000,
            customers,
            workload_values: vec![4.0, 1.0],
        };
        Gate { admission: Admission::new(bounds), now_ms: 0.0, places: Vec::new(), trace: String::new() }
    }

    fn pass(&mut self, ms: f64) -> &mut Self {
        self.now_ms += ms;
        self
    }

    /// So many requests at once; those taken stay.
    fn ask(&mut self, name: &str, customer: Option<CustomerId>, times: usize, bytes: usize) -> &mut Self {
        self.ask_for(name, customer, times, 0, bytes)
    }

    fn ask_for(
        &mut self,
        name: &str,
        customer: Option<CustomerId>,
        times: usize,
        workload: usize,
        bytes: usize,
    ) -> &mut Self {
        let mut taken = 0;
        let mut away: Vec<Rejection> = Vec::new();
        for _ in 0..times {
            match self.try_one(customer, workload, bytes) {
                Ok(place) => {
                    taken += 1;
                    self.places.push(place);
                }
                Err(turned) => away.push(turned),
            }
        }
        let _ = write!(self.trace, "{:>6} {name} asks {times} times: {taken} taken", self.now_ms);
        if let (Some(first), Some(last)) = (away.first(), away.last()) {
            let (reason, count) = (first.reason.name(), away.len());
            let _ = write!(
                self.trace,
                ", {count} {reason}, back in {:.0} to {:.0} ms",
                first.retry_after_ms, last.retry_after_ms
            );
        }
        self.trace.push('\n');
        self
    }

    fn try_one(
        &mut self,
        customer: Option<CustomerId>,
        workload: usize,
        bytes: usize,
    ) -> Result<Permit, Rejection> {
        let mut place = self.admission.enter(self.now_ms, customer)?;
        match self.admission.admit(self.now_ms, &mut place, WorkloadId(workload), bytes, bytes as f64) {
            Ok(()) => Ok(place),
            Err(turned) => {
                self.admission.release(self.now_ms, place);
                Err(turned)
            }
        }
    }

    fn end(&mut self, times: usize) -> &mut Self {
        for place in self.places.drain(..times) {
            self.admission.release(self.now_ms, place);
        }
        let _ = writeln!(self.trace, "{:>6} {times} end, {} open", self.now_ms, self.admission.open());
        self
    }
}

#[test]
fn a_burst_of_one_leaves_room_for_the_other_inside_its_share() {
    let mut gate = Gate::new(64, CustomerLimits::default());
    gate.ask("app", APP, 4, 1).pass(10.0).ask("desk", DESK, 100, 1).pass(10.0).ask("app", APP, 44, 1);
    gate.ask("nobody", None, 1, 1).ask("app", APP, 20, 1);
    insta::assert_snapshot!(gate.trace);
}

#[test]
fn what_an_idle_customer_does_not_use_is_lent() {
    let mut gate = Gate::new(64, CustomerLimits::default());
    gate.ask("app", APP, 1, 1).end(1).pass(3000.0).ask("desk", DESK, 100, 1);
    gate.pass(10.0).ask("app", APP, 8, 1).pass(500.0).end(32).ask("app", APP, 48, 1);
    insta::assert_snapshot!(gate.trace);
}

#[test]
fn own_limits_hold_however_much_is_free() {
    let limits = CustomerLimits {
        open: Some(6),
        requests_per_s: Some(10.0),
        tokens_per_s: Some(100.0),
        burst_ms: 500.0,
    };
    let mut gate = Gate::new(64, limits);
    gate.ask("desk", DESK, 9, 5).pass(100.0).ask("desk", DESK, 3, 5).pass(400.0).ask("desk", DESK, 9, 1);
    gate.end(6).pass(500.0).ask("desk", DESK, 2, 60).pass(800.0).ask("desk", DESK, 1, 10);
    insta::assert_snapshot!(gate.trace);
}

#[test]
fn when_memory_or_places_are_short_the_least_value_goes_first() {
    let mut gate = Gate::new(16, CustomerLimits::default());
    gate.ask("app", APP, 1, 900).ask_for("app, worth less", APP, 1, 1, 50).ask("app", APP, 1, 50);
    gate.ask("app", APP, 1, 60).end(2).ask_for("app, worth less", APP, 1, 1, 50);
    insta::assert_snapshot!(gate.trace);
}

#[test]
fn a_place_is_always_given_back() {
    let mut gate = Gate::new(16, CustomerLimits::default());
    for _ in 0..1000 {
        gate.ask("app", APP, 20, 100).pass(50.0);
        let open = gate.places.len();
        gate.end(open);
    }
    assert_eq!(gate.admission.open(), 0);
    gate.admission.stop();
    assert_eq!(gate.try_one(APP, 0, 1).unwrap_err().reason.name(), "stopping");
}

fn key(text: &str) -> Key {
    Key { customer: APP, text: Rc::from(text) }
}

fn said(text: &str) -> Answer {
    Answer { text: text.into(), ..Answer::default() }
}

#[test]
fn a_key_runs_once_at_a_time_and_is_answered_again() {
    let mut repeats = IdempotencyKeys::new(10, 100);
    let ask = |repeats: &mut IdempotencyKeys, wish: &str| {
        repeats.begin(0.0, &key("a"), wish.as_bytes(), 1000.0, false)
    };
    assert_eq!(ask(&mut repeats, "w"), KeyDecision::Proceed);
    assert_eq!(ask(&mut repeats, "w"), KeyDecision::Running);
    assert_eq!(ask(&mut repeats, "v"), KeyDecision::Differs);
    repeats.answered(&key("a"), said("yes"));
    assert_eq!(ask(&mut repeats, "w"), KeyDecision::Replay(Rc::new(said("yes"))));
    // Another customer's key of the same text is another key.
    let other = Key { customer: DESK, text: Rc::from("a") };
    assert_eq!(repeats.begin(0.0, &other, b"w", 1000.0, false), KeyDecision::Proceed);
    assert_eq!(repeats.begin(1000.0, &key("a"), b"v", 1000.0, false), KeyDecision::Proceed);
}

#[test]
fn what_may_have_run_goes_again_only_where_that_is_harmless() {
    for (may_repeat, verdict) in [(true, KeyDecision::Proceed), (false, KeyDecision::Unknown)] {
        let mut repeats = IdempotencyKeys::new(10, 100);
        let ask = |repeats: &mut IdempotencyKeys| repeats.begin(0.0, &key("a"), b"w", 1000.0, may_repeat);
        assert_eq!(ask(&mut repeats), KeyDecision::Proceed);
        repeats.never_ran(&key("a"));
        assert_eq!(ask(&mut repeats), KeyDecision::Proceed);
        repeats.lost(&key("a"));
        assert_eq!(ask(&mut repeats), verdict);
    }
}

#[test]
fn memory_for_keys_and_answers_is_bounded_and_forgets_no_doubt() {
    let mut repeats = IdempotencyKeys::new(3, 10);
    for text in ["a", "b", "c"] {
        assert_eq!(repeats.begin(0.0, &key(text), b"w", 1000.0, false), KeyDecision::Proceed);
    }
    assert_eq!(repeats.begin(0.0, &key("d"), b"w", 1000.0, false), KeyDecision::Full);
    repeats.answered(&key("a"), said("123456"));
    repeats.answered(&key("b"), said("123456"));
    repeats.answered(&key("c"), said("12345678901"));
    // The oldest answer made room for the next, the last was too large: both keys stay in doubt.
    assert_eq!(repeats.begin(4.0, &key("a"), b"w", 1000.0, false), KeyDecision::Unknown);
    assert_eq!(
        repeats.begin(4.0, &key("b"), b"w", 1000.0, false),
        KeyDecision::Replay(Rc::new(said("123456")))
    );
    assert_eq!(repeats.begin(4.0, &key("c"), b"w", 1000.0, false), KeyDecision::Unknown);
    assert_eq!(repeats.begin(1000.0, &key("d"), b"w", 1000.0, false), KeyDecision::Proceed);
    assert_eq!(repeats.len(), 1);
}
