//! Requests that carry a key: what this router knows of an earlier try with the same one. At most one try with a key
//! runs here at a time; a finished answer is given again; one that was lost may only be tried where servers drop
//! repeats. Tries at another router are unknown here: there the servers' own memory of keys is what holds.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use paddleproxy::interface::CustomerId;
use paddleproxy_messages::Answer;
use xxhash_rust::xxh3::xxh3_64;

/// A key belongs to the customer who gave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    pub customer: Option<CustomerId>,
    pub text: Rc<str>,
}

/// What to do with a request that carries a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyDecision {
    /// No try is known, or none that ran.
    Proceed,
    /// The answer of the first try.
    Replay(Rc<Answer>),
    /// A try with this key is under way.
    Running,
    /// A try with this key may have run, its answer is lost, and servers do not drop repeats of this work.
    Unknown,
    /// The key was used for another request.
    Differs,
    /// Too many keys are remembered to take another one safely.
    Full,
}

#[derive(Clone, Debug)]
enum Fate {
    Running,
    Answered(Rc<Answer>),
    Lost,
}

#[derive(Clone, Debug)]
struct Known {
    fate: Fate,
    wish: u64,
    since_ms: f64,
    /// Until when it is remembered.
    window_ms: f64,
}

/// Lives as long as the router.
pub struct IdempotencyKeys {
    known: BTreeMap<Key, Known>,
    /// Keys in the order in which their tries ended, for forgetting.
    ended: VecDeque<(f64, Key)>,
    answer_bytes: usize,
    most_bytes: usize,
    most_keys: usize,
}

impl IdempotencyKeys {
    /// Remembers at most so many keys, and so many bytes of answers.
    pub fn new(most_keys: usize, most_bytes: usize) -> Self {
        IdempotencyKeys {
            known: BTreeMap::new(),
            ended: VecDeque::new(),
            answer_bytes: 0,
            most_bytes,
            most_keys,
        }
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// A request with a key has come. `wish` is all that it asks for; `may_repeat` where another try is harmless
    /// although the first may have run.
    pub fn begin(
        &mut self,
        now_ms: f64,
        key: &Key,
        wish: &[u8],
        window_ms: f64,
        may_repeat: bool,
    ) -> KeyDecision {
        self.forget(now_ms);
        let wish = xxh3_64(wish);
        if let Some(known) = self.known.get_mut(key) {
            if known.wish != wish {
                return KeyDecision::Differs;
            }
            match &known.fate {
                Fate::Running => return KeyDecision::Running,
                Fate::Answered(answer) => return KeyDecision::Replay(answer.clone()),
                Fate::Lost if !may_repeat => return KeyDecision::Unknown,
                // Servers count from the first try, so its time stays.
                Fate::Lost => known.fate = Fate::Running,
            }
            return KeyDecision::Proceed;
        }
        if self.known.len() >= self.most_keys {
            return KeyDecision::Full;
        }
        self.known.insert(key.clone(), Known { fate: Fate::Running, wish, since_ms: now_ms, window_ms });
        KeyDecision::Proceed
    }

    /// What a request asks for, as it is compared.
    pub fn fingerprint(body: &[u8]) -> u64 {
        xxh3_64(body)
    }

    /// A try of an earlier run that may have run, and how long it still matters, in ms.
    pub fn recover(&mut self, now_ms: f64, key: Key, wish: u64, left_ms: f64) {
        if self.known.len() < self.most_keys && !self.known.contains_key(&key) {
            let known = Known { fate: Fate::Lost, wish, since_ms: now_ms, window_ms: left_ms };
            self.known.insert(key.clone(), known);
            self.ended.push_back((now_ms + left_ms, key));
        }
    }

    /// The try with this key finished. An answer too large to remember counts as lost.
    pub fn answered(&mut self, key: &Key, answer: Answer) {
        let bytes = answer.text.len();
        if bytes > self.most_bytes {
            return self.lost(key);
        }
        while self.answer_bytes + bytes > self.most_bytes && self.let_go_of_one() {}
        if let Some(known) = self.known.get_mut(key) {
            self.answer_bytes += bytes;
            known.fate = Fate::Answered(Rc::new(answer));
            self.ended.push_back((known.since_ms + known.window_ms, key.clone()));
        }
    }

    /// It may have run, and its answer is lost.
    pub fn lost(&mut self, key: &Key) {
        if let Some(known) = self.known.get_mut(key) {
            known.fate = Fate::Lost;
            self.ended.push_back((known.since_ms + known.window_ms, key.clone()));
        }
    }

    /// It surely did not run: the key is as new.
    pub fn never_ran(&mut self, key: &Key) {
        self.known.remove(key);
    }

    /// The oldest answer is let go of; its key is remembered as lost.
    fn let_go_of_one(&mut self) -> bool {
        for (_, key) in &self.ended {
            if let Some(known) = self.known.get_mut(key) {
                if let Fate::Answered(answer) = &known.fate {
                    self.answer_bytes -= answer.text.len();
                    known.fate = Fate::Lost;
                    return true;
                }
            }
        }
        false
    }

    /// Forgets what is past its window.
    fn forget(&mut self, now_ms: f64) {
        while let Some((until_ms, key)) = self.ended.front() {
            if *until_ms > now_ms {
                return;
            }
            let over = |known: &Known| known.since_ms + known.window_ms <= now_ms;
            let running = |known: &Known| matches!(known.fate, Fate::Running);
            if self.known.get(key).is_some_and(|known| over(known) && !running(known)) {
                if let Some(Known { fate: Fate::Answered(answer), .. }) = self.known.remove(key) {
                    self.answer_bytes -= answer.text.len();
                }
            }
            self.ended.pop_front();
        }
    }
}
