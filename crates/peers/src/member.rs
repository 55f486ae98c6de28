//! One router as another router knows it.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::wire::{Generation, RouterIndex, Row, StateUpdate};

/// State of a router in another one's view, in order of severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    Alive,
    /// Did not answer a probe; has until the suspicion expires to refute it.
    Suspect,
    Failed,
    /// Announced by the router itself.
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

    /// Whether the router counts as running.
    pub fn is_running(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// What does not change within one generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterInfo {
    pub name: String,
    /// For datagrams as well as for TCP exchanges.
    pub address: SocketAddr,
    pub zone: u8,
    pub region: String,
    pub format: u8,
}

/// One change of a member's state, at a time of the own clock. `reporter` is the router that observed it.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub at_ms: f64,
    pub generation: Generation,
    pub incarnation: u32,
    pub from: Option<State>,
    pub to: State,
    pub reporter: RouterIndex,
}

/// A running suspicion.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    pub since_ms: f64,
    /// Every router that observed it first-hand, the first one included.
    pub reporters: BTreeSet<RouterIndex>,
}

/// Most changes kept for each member.
const MAX_HISTORY: usize = 12;

/// Kept as long as the router is remembered.
#[derive(Clone, Debug)]
pub struct Member {
    pub router: RouterIndex,
    pub generation: Generation,
    pub incarnation: u32,
    pub state: State,
    pub info: RouterInfo,
    pub suspicion: Option<Suspicion>,
    /// When the state last changed, and when a packet of the router itself last arrived (`None`: never).
    pub since_ms: f64,
    pub last_heard_ms: Option<f64>,
    /// Until when its report that it receives nothing from us is valid.
    pub cannot_hear_us_until_ms: f64,
    /// Digest of its view and number of its allocation, as it last reported.
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

    /// Whether a report is newer than what is known. Within one generation and incarnation the more severe
    /// state wins; a router that left does not come back within its generation.
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
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        let (generation, incarnation, to) = (self.generation, self.incarnation, self.state);
        self.history.push_back(Change { at_ms: now_ms, generation, incarnation, from, to, reporter });
    }

    /// An update that reports this state.
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

    /// Contribution to the digest of a view. A suspected router counts as alive: a suspicion alone is not a
    /// difference.
    pub fn digest(&self) -> u32 {
        let state = if self.state == State::Suspect { State::Alive } else { self.state };
        let mut bytes = [0; 11];
        bytes[..2].copy_from_slice(&self.router.0.to_le_bytes());
        bytes[2..10].copy_from_slice(&self.generation.0.to_le_bytes());
        bytes[10] = state as u8;
        crc32fast::hash(&bytes)
    }
}
