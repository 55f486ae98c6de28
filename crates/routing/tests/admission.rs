//! Traces of the two admission checks, checked against the snapshots in `snapshots/`; and tests of
//! idempotency keys.

use std::fmt::Write;
use std::rc::Rc;

use paddleproxy::interface::{CustomerId, WorkloadId};
use paddleproxy_messages::Answer;
use paddleproxy_routing::{
    Admission, AdmissionLimits, CustomerLimits, IdempotencyKeys, Key, KeyDecision, Permit, Rejection,
};

const APP: Option<CustomerId> = Some(CustomerId(0));
const SUPPORT: Option<CustomerId> = Some(CustomerId(1));

struct Harness {
    admission: Admission,
    now_ms: f64,
    permits: Vec<Permit>,
    trace: String,
}

impl Harness {
    /// Two customers, the first with three quarters of the quota; the second workload has a quarter of the
    /// first's value.
    fn new(open_completions: usize, limits: CustomerLimits) -> Self {
        let customers = vec![(30.0, CustomerLimits::default()), (10.0, limits)];
        let admission_limits = AdmissionLimits {
            open_completions,
            prompt_bytes: 1000,
            customers,
            workload_values: vec![4.0, 1.0],
        };
        Harness {
            admission: Admission::new(admission_limits),
            now_ms: 0.0,
            permits: Vec::new(),
            trace: String::new(),
        }
    }

    fn advance(&mut self, ms: f64) -> &mut Self {
        self.now_ms += ms;
        self
    }

    /// Sends `times` requests at once; the admitted ones stay open.
    fn send(&mut self, name: &str, customer: Option<CustomerId>, times: usize, bytes: usize) -> &mut Self {
        self.send_workload(name, customer, times, 0, bytes)
    }

    fn send_workload(
        &mut self,
        name: &str,
        customer: Option<CustomerId>,
        times: usize,
        workload: usize,
        bytes: usize,
    ) -> &mut Self {
        let mut admitted = 0;
        let mut rejections: Vec<Rejection> = Vec::new();
        for _ in 0..times {
            match self.try_one(customer, workload, bytes) {
                Ok(permit) => {
                    admitted += 1;
                    self.permits.push(permit);
                }
                Err(rejection) => rejections.push(rejection),
            }
        }
        let _ = write!(self.trace, "{:>6} {name} sends {times} requests: {admitted} admitted", self.now_ms);
        if let (Some(first), Some(last)) = (rejections.first(), rejections.last()) {
            let (reason, count) = (first.reason.name(), rejections.len());
            let _ = write!(
                self.trace,
                ", {count} {reason}, retry after {:.0} to {:.0} ms",
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
        let mut permit = self.admission.enter(self.now_ms, customer)?;
        match self.admission.admit(self.now_ms, &mut permit, WorkloadId(workload), bytes, bytes as f64) {
            Ok(()) => Ok(permit),
            Err(rejection) => {
                self.admission.release(self.now_ms, permit);
                Err(rejection)
            }
        }
    }

    fn end(&mut self, times: usize) -> &mut Self {
        for permit in self.permits.drain(..times) {
            self.admission.release(self.now_ms, permit);
        }
        let _ = writeln!(self.trace, "{:>6} {times} end, {} open", self.now_ms, self.admission.open());
        self
    }
}

#[test]
fn a_burst_of_one_customer_leaves_room_for_the_other_within_its_share() {
    let mut harness = Harness::new(64, CustomerLimits::default());
    harness
        .send("app", APP, 4, 1)
        .advance(10.0)
        .send("support", SUPPORT, 100, 1)
        .advance(10.0)
        .send("app", APP, 44, 1);
    harness.send("no customer", None, 1, 1).send("app", APP, 20, 1);
    insta::assert_snapshot!(harness.trace);
}

#[test]
fn the_unused_share_of_an_idle_customer_may_be_used_by_others() {
    let mut harness = Harness::new(64, CustomerLimits::default());
    harness.send("app", APP, 1, 1).end(1).advance(3000.0).send("support", SUPPORT, 100, 1);
    harness.advance(10.0).send("app", APP, 8, 1).advance(500.0).end(32).send("app", APP, 48, 1);
    insta::assert_snapshot!(harness.trace);
}

#[test]
fn customer_limits_hold_however_much_is_free() {
    let limits = CustomerLimits {
        open: Some(6),
        requests_per_s: Some(10.0),
        tokens_per_s: Some(100.0),
        burst_ms: 500.0,
    };
    let mut harness = Harness::new(64, limits);
    harness
        .send("support", SUPPORT, 9, 5)
        .advance(100.0)
        .send("support", SUPPORT, 3, 5)
        .advance(400.0)
        .send("support", SUPPORT, 9, 1);
    harness
        .end(6)
        .advance(500.0)
        .send("support", SUPPORT, 2, 60)
        .advance(800.0)
        .send("support", SUPPORT, 1, 10);
    insta::assert_snapshot!(harness.trace);
}

#[test]
fn when_memory_or_permits_are_scarce_low_value_is_rejected_first() {
    let mut harness = Harness::new(16, CustomerLimits::default());
    harness.send("app", APP, 1, 900).send_workload("app, low value", APP, 1, 1, 50).send("app", APP, 1, 50);
    harness.send("app", APP, 1, 60).end(2).send_workload("app, low value", APP, 1, 1, 50);
    insta::assert_snapshot!(harness.trace);
}

#[test]
fn every_permit_can_be_released() {
    let mut harness = Harness::new(16, CustomerLimits::default());
    for _ in 0..1000 {
        harness.send("app", APP, 20, 100).advance(50.0);
        let open = harness.permits.len();
        harness.end(open);
    }
    assert_eq!(harness.admission.open(), 0);
    harness.admission.stop();
    assert_eq!(harness.try_one(APP, 0, 1).unwrap_err().reason.name(), "stopping");
}

fn key(text: &str) -> Key {
    Key { customer: APP, text: Rc::from(text) }
}

fn answer(text: &str) -> Answer {
    Answer { text: text.into(), ..Answer::default() }
}

#[test]
fn a_key_runs_once_at_a_time_and_its_answer_is_replayed() {
    let mut keys = IdempotencyKeys::new(10, 100);
    let begin = |keys: &mut IdempotencyKeys, request: &str| {
        keys.begin(0.0, &key("a"), request.as_bytes(), 1000.0, false)
    };
    assert_eq!(begin(&mut keys, "w"), KeyDecision::Proceed);
    assert_eq!(begin(&mut keys, "w"), KeyDecision::Running);
    assert_eq!(begin(&mut keys, "v"), KeyDecision::Differs);
    keys.answered(&key("a"), answer("yes"));
    assert_eq!(begin(&mut keys, "w"), KeyDecision::Replay(Rc::new(answer("yes"))));
    // The same key text of another customer is a different key.
    let other = Key { customer: SUPPORT, text: Rc::from("a") };
    assert_eq!(keys.begin(0.0, &other, b"w", 1000.0, false), KeyDecision::Proceed);
    assert_eq!(keys.begin(1000.0, &key("a"), b"v", 1000.0, false), KeyDecision::Proceed);
}

#[test]
fn what_may_have_run_is_repeated_only_where_that_is_harmless() {
    for (may_repeat, decision) in [(true, KeyDecision::Proceed), (false, KeyDecision::Unknown)] {
        let mut keys = IdempotencyKeys::new(10, 100);
        let begin = |keys: &mut IdempotencyKeys| keys.begin(0.0, &key("a"), b"w", 1000.0, may_repeat);
        assert_eq!(begin(&mut keys), KeyDecision::Proceed);
        keys.never_ran(&key("a"));
        assert_eq!(begin(&mut keys), KeyDecision::Proceed);
        keys.lost(&key("a"));
        assert_eq!(begin(&mut keys), decision);
    }
}

#[test]
fn memory_for_keys_and_answers_is_limited_and_forgets_no_uncertain_key() {
    let mut keys = IdempotencyKeys::new(3, 10);
    for text in ["a", "b", "c"] {
        assert_eq!(keys.begin(0.0, &key(text), b"w", 1000.0, false), KeyDecision::Proceed);
    }
    assert_eq!(keys.begin(0.0, &key("d"), b"w", 1000.0, false), KeyDecision::Full);
    keys.answered(&key("a"), answer("123456"));
    keys.answered(&key("b"), answer("123456"));
    keys.answered(&key("c"), answer("12345678901"));
    // The oldest answer was evicted for the next one and the last was too large: it stays unknown whether
    // both ran.
    assert_eq!(keys.begin(4.0, &key("a"), b"w", 1000.0, false), KeyDecision::Unknown);
    assert_eq!(
        keys.begin(4.0, &key("b"), b"w", 1000.0, false),
        KeyDecision::Replay(Rc::new(answer("123456")))
    );
    assert_eq!(keys.begin(4.0, &key("c"), b"w", 1000.0, false), KeyDecision::Unknown);
    assert_eq!(keys.begin(1000.0, &key("d"), b"w", 1000.0, false), KeyDecision::Proceed);
    assert_eq!(keys.len(), 1);
}
