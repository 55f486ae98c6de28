//! Idempotency keys: what this router knows of earlier attempts with the same key. At most one attempt with a
//! key runs here at a time; a finished answer is replayed; after a lost answer a new attempt is allowed only
//! where servers deduplicate repeats. Attempts at other routers are unknown here; against those only the
//! servers' deduplication by key protects.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use paddleproxy::interface::CustomerId;
use paddleproxy_messages::Answer;
use xxhash_rust::xxh3::xxh3_64;

/// An idempotency key. It is scoped to the customer that sent it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    pub customer: Option<CustomerId>,
    pub text: Rc<str>,
}

/// What to do with a request that carries a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyDecision {
    /// No attempt is known, or a further one is allowed: send it.
    Proceed,
    /// Replay the answer of the first attempt.
    Replay(Rc<Answer>),
    /// An attempt with this key is running.
    Running,
    /// An attempt with this key may have run, its answer is lost, and servers do not deduplicate this work.
    Unknown,
    /// The key was used for a different request.
    Differs,
    /// Too many keys are remembered to accept another one safely.
    Full,
}

#[derive(Clone, Debug)]
enum AttemptState {
    Running,
    Answered(Rc<Answer>),
    Lost,
}

#[derive(Clone, Debug)]
struct KeyRecord {
    state: AttemptState,
    fingerprint: u64,
    since_ms: f64,
    /// How long the key is remembered from `since_ms`.
    window_ms: f64,
}

/// The keys that this router remembers. There is one store per router, for its whole run.
pub struct IdempotencyKeys {
    known: BTreeMap<Key, KeyRecord>,
    /// Keys in the order in which their attempts ended, each with the time until which it is remembered.
    ended: VecDeque<(f64, Key)>,
    answer_bytes: usize,
    max_bytes: usize,
    max_keys: usize,
}

impl IdempotencyKeys {
    /// Remembers at most `max_keys` keys and `max_bytes` bytes of answers.
    pub fn new(max_keys: usize, max_bytes: usize) -> Self {
        IdempotencyKeys {
            known: BTreeMap::new(),
            ended: VecDeque::new(),
            answer_bytes: 0,
            max_bytes,
            max_keys,
        }
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Handles a request with a key. `request` holds all that it requests and must equal that of the first
    /// attempt; `may_repeat` says whether another attempt is harmless although the first may have run.
    pub fn begin(
        &mut self,
        now_ms: f64,
        key: &Key,
        request: &[u8],
        window_ms: f64,
        may_repeat: bool,
    ) -> KeyDecision {
        self.remove_expired(now_ms);
        let fingerprint = xxh3_64(request);
        if let Some(known) = self.known.get_mut(key) {
            if known.fingerprint != fingerprint {
                return KeyDecision::Differs;
            }
            match &known.state {
                AttemptState::Running => return KeyDecision::Running,
                AttemptState::Answered(answer) => return KeyDecision::Replay(answer.clone()),
                AttemptState::Lost if !may_repeat => return KeyDecision::Unknown,
                // Servers count the window from the first attempt, so `since_ms` stays.
                AttemptState::Lost => known.state = AttemptState::Running,
            }
            return KeyDecision::Proceed;
        }
        if self.known.len() >= self.max_keys {
            return KeyDecision::Full;
        }
        self.known.insert(
            key.clone(),
            KeyRecord { state: AttemptState::Running, fingerprint, since_ms: now_ms, window_ms },
        );
        KeyDecision::Proceed
    }

    /// Hash by which requests with the same key are compared.
    pub fn fingerprint(request: &[u8]) -> u64 {
        xxh3_64(request)
    }

    /// Restores an attempt of an earlier run of the router that may have run; `left_ms` is the rest of its
    /// window, in ms.
    pub fn recover(&mut self, now_ms: f64, key: Key, fingerprint: u64, left_ms: f64) {
        if self.known.len() < self.max_keys && !self.known.contains_key(&key) {
            let known =
                KeyRecord { state: AttemptState::Lost, fingerprint, since_ms: now_ms, window_ms: left_ms };
            self.known.insert(key.clone(), known);
            self.ended.push_back((now_ms + left_ms, key));
        }
    }

    /// Records the answer of the attempt with this key. An answer too large to remember counts as lost.
    pub fn answered(&mut self, key: &Key, answer: Answer) {
        let bytes = answer.text.len();
        if bytes > self.max_bytes {
            return self.lost(key);
        }
        while self.answer_bytes + bytes > self.max_bytes && self.evict_oldest_answer() {}
        if let Some(known) = self.known.get_mut(key) {
            self.answer_bytes += bytes;
            known.state = AttemptState::Answered(Rc::new(answer));
            self.ended.push_back((known.since_ms + known.window_ms, key.clone()));
        }
    }

    /// Records that the attempt may have run and that its answer is lost.
    pub fn lost(&mut self, key: &Key) {
        if let Some(known) = self.known.get_mut(key) {
            known.state = AttemptState::Lost;
            self.ended.push_back((known.since_ms + known.window_ms, key.clone()));
        }
    }

    /// Records that the attempt certainly did not run; the key is forgotten.
    pub fn never_ran(&mut self, key: &Key) {
        self.known.remove(key);
    }

    /// Evicts the oldest answer; its key is remembered as lost. Returns false if there is no answer.
    fn evict_oldest_answer(&mut self) -> bool {
        for (_, key) in &self.ended {
            if let Some(known) = self.known.get_mut(key) {
                if let AttemptState::Answered(answer) = &known.state {
                    self.answer_bytes -= answer.text.len();
                    known.state = AttemptState::Lost;
                    return true;
                }
            }
        }
        false
    }

    /// Removes keys whose window is over.
    fn remove_expired(&mut self, now_ms: f64) {
        while let Some((until_ms, key)) = self.ended.front() {
            if *until_ms > now_ms {
                return;
            }
            let expired = |record: &KeyRecord| record.since_ms + record.window_ms <= now_ms;
            let running = |known: &KeyRecord| matches!(known.state, AttemptState::Running);
            if self.known.get(key).is_some_and(|known| expired(known) && !running(known)) {
                if let Some(KeyRecord { state: AttemptState::Answered(answer), .. }) = self.known.remove(key)
                {
                    self.answer_bytes -= answer.text.len();
                }
            }
            self.ended.pop_front();
        }
    }
}
