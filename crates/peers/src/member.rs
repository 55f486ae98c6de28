//! One router as another one knows it.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::words::{Life, Place, Row, Rumour};

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
    pub fn here(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// What does not change within one life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct About {
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
    pub life: Life,
    pub incarnation: u32,
    pub from: Option<State>,
    pub to: State,
    pub by: Place,
}

/// A suspicion that runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Doubt {
    pub since_ms: f64,
    /// Who saw it first-hand, the first included.
    pub by: BTreeSet<Place>,
}

/// Changes that are kept of each member.
const HISTORY: usize = 12;

/// Lives as long as the router is remembered.
#[derive(Clone, Debug)]
pub struct Member {
    pub place: Place,
    pub life: Life,
    pub incarnation: u32,
    pub state: State,
    pub about: About,
    pub doubt: Option<Doubt>,
    /// When the state last changed; when a letter of its own last came, none: never.
    pub since_ms: f64,
    pub heard_ms: Option<f64>,
    /// Until when its own word counts that it does not hear us.
    pub deaf_until_ms: f64,
    /// Digest of its view and the page that it goes by, as it last said.
    pub digest: u32,
    pub page: u64,
    pub places: u16,
    pub row: Option<Row>,
    pub history: VecDeque<Change>,
}

impl Member {
    pub fn new(now_ms: f64, rumour: &Rumour, about: About) -> Self {
        let mut member = Member {
            place: rumour.place,
            life: rumour.life,
            incarnation: rumour.incarnation,
            state: rumour.state,
            about,
            doubt: None,
            since_ms: now_ms,
            heard_ms: None,
            deaf_until_ms: f64::NEG_INFINITY,
            digest: 0,
            page: 0,
            places: 0,
            row: None,
            history: VecDeque::new(),
        };
        member.note(now_ms, None, rumour.by);
        member
    }

    /// Whether a word is newer than what is known. Of one life and incarnation the graver state wins; who left does
    /// not come back within its life.
    pub fn older_than(&self, life: Life, incarnation: u32, state: State) -> bool {
        if life != self.life {
            return life > self.life;
        }
        if self.state == State::Left {
            return false;
        }
        state == State::Left || (incarnation, state) > (self.incarnation, self.state)
    }

    pub fn note(&mut self, now_ms: f64, from: Option<State>, by: Place) {
        if self.history.len() == HISTORY {
            self.history.pop_front();
        }
        let (life, incarnation, to) = (self.life, self.incarnation, self.state);
        self.history.push_back(Change { at_ms: now_ms, life, incarnation, from, to, by });
    }

    /// The word that says what is known.
    pub fn rumour(&self, by: Place, with_about: bool) -> Rumour {
        Rumour {
            place: self.place,
            life: self.life,
            incarnation: self.incarnation,
            state: self.state,
            by,
            about: with_about.then(|| self.about.clone()),
        }
    }

    /// Its part of the digest of a view. A suspicion is not yet a difference.
    pub fn digest(&self) -> u32 {
        let state = if self.state == State::Suspect { State::Alive } else { self.state };
        let mut bytes = [0; 11];
        bytes[..2].copy_from_slice(&self.place.0.to_le_bytes());
        bytes[2..10].copy_from_slice(&self.life.0.to_le_bytes());
        bytes[10] = state as u8;
        crc32fast::hash(&bytes)
    }
}
