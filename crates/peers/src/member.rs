//! One router as another one knows it.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::wire::{Generation, RouterIndex, Row, StateUpdate};

/// How a router stands in another's view; graver ones later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    Alive,
    /// Did not answer; has until its time runs out to say that it lives.
    Suspect,
    Failed,
    /// By its own word.
    Left,
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Failed => "failed",
            State::Left => "left",
        }
    }

    /// Whether it counts as running.
    pub fn is_running(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// What does not change within one life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterInfo {
    pub name: String,
    /// For datagrams and for exchanges alike.
    pub address: SocketAddr,
    pub zone: u8,
    pub region: String,
    pub format: u8,
}

/// One change of a member's state: from what, to what, by whose word, at what time of our clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub at_ms: f64,
    pub generation: Generation,
    pub incarnation: u32,
    pub from: Option<State>,
    pub to: State,
    pub reporter: RouterIndex,
}

/// A suspicion that runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    pub since_ms: f64,
    /// Who saw it first-hand, the first included.
    pub reporters: BTreeSet<RouterIndex>,
}

/// Changes that are kept of each member.
const HISTORY: usize = 12;

/// Lives as long as the router is remembered.
#[derive(Clone, Debug)]
pub struct Member {
    pub router: RouterIndex,
    pub generation: Generation,
    pub incarnation: u32,
    pub state: State,
    pub info: RouterInfo,
    pub suspicion: Option<Suspicion>,
    /// When the state last changed; when a letter of its own last came, none: never.
    pub since_ms: f64,
    pub last_heard_ms: Option<f64>,
    /// Until when its own word counts that it does not hear us.
    pub cannot_hear_us_until_ms: f64,
    /// Digest of its view and the page that it goes by, as it last said.
    pub digest: u32,
    pub allocation: u64,
    pub router_count: u16,
    pub row: Option<Row>,
    pub history: VecDeque<Change>,
}

impl Member {
    pub fn new(now_ms: f64, update: &StateUpdate, info: RouterInfo) -> Self {
        let mut member = Member {
            router: update.router,
            generation: update.generation,
            incarnation: update.incarnation,
            state: update.state,
            info,
            suspicion: None,
            since_ms: now_ms,
            last_heard_ms: None,
            cannot_hear_us_until_ms: f64::NEG_INFINITY,
            digest: 0,
            allocation: 0,
            router_count: 0,
            row: None,
            history: VecDeque::new(),
        };
        member.record_change(now_ms, None, update.reporter);
        member
    }

    /// Whether a word is newer than what is known. Of one life and incarnation the graver state wins; who left does
    /// not come back within its life.
    pub fn is_superseded_by(&self, generation: Generation, incarnation: u32, state: State) -> bool {
        if generation != self.generation {
            return generation > self.generation;
        }
        if self.state == State::Left {
            return false;
        }
        state == State::Left || (incarnation, state) > (self.incarnation, self.state)
    }

    pub fn record_change(&mut self, now_ms: f64, from: Option<State>, reporter: RouterIndex) {
        if self.history.len() == HISTORY {
            self.history.pop_front();
        }
        let (generation, incarnation, to) = (self.generation, self.incarnation, self.state);
        self.history.push_back(Change { at_ms: now_ms, generation, incarnation, from, to, reporter });
    }

    /// The word that says what is known.
    pub fn update(&self, reporter: RouterIndex, with_info: bool) -> StateUpdate {
        StateUpdate {
            router: self.router,
            generation: self.generation,
            incarnation: self.incarnation,
            state: self.state,
            reporter,
            info: with_info.then(|| self.info.clone()),
        }
    }

    /// Its part of the digest of a view. A suspicion is not yet a difference.
    pub fn digest(&self) -> u32 {
        let state = if self.state == State::Suspect { State::Alive } else { self.state };
        let mut bytes = [0; 11];
        bytes[..2].copy_from_slice(&self.router.0.to_le_bytes());
        bytes[2..10].copy_from_slice(&self.generation.0.to_le_bytes());
        bytes[10] = state as u8;
        crc32fast::hash(&bytes)
    }
}
