//! The machine: probes its fellows, passes words on, keeps the view, and says what may be used.

mod calling;
mod hearing;
mod probing;
mod saying;
mod sharing;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::keepers::{keepers, Keeping};
use crate::member::{About, Change, Doubt, Member, State};
use crate::mind::{mind, Mind, Stand};
use crate::page::{Page, WHOLE};
use crate::rumours::Rumours;
use crate::shares::{differs, split, Granted, Needs};
use crate::words::{
    decode, deployment, encode, size, Letter, Life, Place, Row, Rumour, Word, Wrong, DATAGRAM, PAGE,
};
use crate::Rules;

/// Of the time between two probes: when fellows are asked to probe too.
const INDIRECT: f64 = 0.4;
/// Fellows asked for that, and witnesses who shorten a suspicion to its least.
const HELPERS: usize = 3;
const WITNESSES: f64 = 3.0;
/// Least time of a suspicion in probes, for each tenfold of routers; the most is so many times that.
const DOUBT: f64 = 2.0;
const DOUBT_MOST: f64 = 6.0;
/// How far a router that misses its own deadlines stretches its probes.
const HEALTH_MAX: u32 = 8;
/// Probes between two asks of one that failed, between two looks at a seed, and between two comparisons of views.
const ASK_FAILED: f64 = 4.0;
const ASK_SEED: f64 = 50.0;
const COMPARE: f64 = 25.0;
/// Probes after which a change of the view has gone round, and a digest that differs is worth an exchange.
const SETTLES: f64 = 5.0;
/// Direct probes in a row without an answer after which a fellow that others hear is called unheard.
const UNHEARD: u32 = 2;
/// Room that a letter's own fields need, in bytes.
const LETTER: usize = 48;
/// Leases between two pages at least.
const PAGES: f64 = 1.5;
/// Letters of one exchange at most.
const LETTERS_MAX: usize = 256;

/// What the machine is told.
#[derive(Debug)]
pub enum Event<'a> {
    Datagram {
        from: SocketAddr,
        bytes: &'a [u8],
    },
    /// Somebody called over TCP with these letters; answered by [`Action::Reply`].
    Called {
        letters: &'a [Vec<u8>],
    },
    /// What the one that was called said.
    Answered {
        to: SocketAddr,
        letters: &'a [Vec<u8>],
    },
    CallFailed {
        to: SocketAddr,
    },
    /// It is [`Peers::next_ms`] or later.
    Tick,
    /// What this router wants of each thing.
    Need(Needs),
    /// What the own row carries for others beside its needs, and what the page after that number is to carry if this
    /// router puts it to the keepers.
    Carry {
        row: Vec<u8>,
        page: Vec<u8>,
        after: u64,
    },
    /// Settings count other places now.
    Places(usize),
    Leave,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Letters over TCP; what comes back is told by [`Event::Answered`].
    Call {
        to: SocketAddr,
        letters: Vec<Vec<u8>>,
    },
    Reply {
        letters: Vec<Vec<u8>>,
    },
    /// A member's state changed.
    Changed {
        place: Place,
        change: Change,
    },
    /// The own life was raised above what fellows remember.
    Lived {
        life: Life,
    },
    /// Another process holds this place.
    Displaced {
        by: SocketAddr,
    },
    /// Another page is gone by.
    Paged {
        number: u64,
    },
}

/// Figures for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    pub heard_bytes: u64,
    pub calls: u64,
    pub call_bytes: u64,
    pub probes: u64,
    pub unanswered: u64,
    pub suspected: u64,
    pub failed: u64,
    pub refuted: u64,
    pub late_ticks: u64,
    pub wrong: BTreeMap<Wrong, u64>,
}

/// A probe that is out.
#[derive(Clone, Debug)]
struct Probe {
    target: Place,
    seq: u32,
    ask_ms: f64,
    end_ms: f64,
    asked: bool,
    direct: bool,
    answered: bool,
    /// Helpers that said that the target did not answer them either.
    nays: usize,
}

/// A probe made for a fellow.
#[derive(Clone, Debug)]
struct Errand {
    for_place: Place,
    for_seq: u32,
    target: Place,
    end_ms: f64,
}

/// Lives as long as the router.
#[derive(Clone)]
pub struct Peers {
    pub(crate) rules: Rules,
    about: About,
    seeds: Vec<SocketAddr>,
    rng: fastrand::Rng,
    deployment: u32,
    now_ms: f64,
    life: Life,
    incarnation: u32,
    joined: bool,
    /// Somebody was told that this life runs.
    told_of: bool,
    displaced: bool,
    leaving: bool,
    members: BTreeMap<Place, Member>,
    order: Vec<Place>,
    silent: BTreeMap<Place, u32>,
    probe: Option<Probe>,
    errands: BTreeMap<u32, Errand>,
    next_seq: u32,
    health: u32,
    rumours: Rumours,
    keeping: Keeping,
    needs: Needs,
    /// Bytes that the own row carries, and those for the page after that one.
    row_extra: Vec<u8>,
    page_extra: (u64, Vec<u8>),
    row_version: u32,
    proposed_ms: f64,
    calling: Option<(SocketAddr, f64)>,
    /// A process elsewhere that was said to hold this place, and until when it may answer.
    rival: Option<(SocketAddr, Life, f64)>,
    probe_ms: f64,
    failed_ms: f64,
    seed_ms: f64,
    compare_ms: f64,
    pub counts: Counts,
    actions: Vec<Action>,
    /// Digest of the view as it last was; none where the view changed since.
    known_digest: std::cell::Cell<Option<u32>>,
    /// When it last changed: digests that were heard before say nothing of it.
    changed_ms: f64,
}

impl Peers {
    /// A router that starts now. `life` is one above the last that it knows of itself, from 1.
    pub fn new(
        now_ms: f64,
        rules: Rules,
        about: About,
        seeds: Vec<SocketAddr>,
        life: Life,
        seed: u64,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let spread = |rng: &mut fastrand::Rng, probes: f64| now_ms + rules.probe_ms * probes * rng.f64();
        let keeping = Keeping::new(now_ms, rules.own, rules.places, rules.lease_ms);
        Peers {
            deployment: deployment(&rules.deployment),
            about,
            seeds,
            now_ms,
            life: life.max(Life(1)),
            incarnation: 0,
            joined: false,
            told_of: false,
            displaced: false,
            leaving: false,
            members: BTreeMap::new(),
            order: Vec::new(),
            silent: BTreeMap::new(),
            probe: None,
            errands: BTreeMap::new(),
            next_seq: 0,
            health: 0,
            rumours: Rumours::default(),
            keeping,
            needs: Vec::new(),
            row_extra: Vec::new(),
            page_extra: (0, Vec::new()),
            row_version: 0,
            proposed_ms: f64::NEG_INFINITY,
            calling: None,
            rival: None,
            probe_ms: spread(&mut rng, 1.0),
            failed_ms: spread(&mut rng, ASK_FAILED),
            seed_ms: now_ms,
            compare_ms: spread(&mut rng, COMPARE),
            counts: Counts::default(),
            actions: Vec::new(),
            known_digest: std::cell::Cell::new(None),
            changed_ms: now_ms,
            rules,
            rng,
        }
    }

    /// Told what happened, at `now_ms` of the own monotonic clock; what to do follows in order.
    pub fn handle(&mut self, now_ms: f64, event: Event) -> Vec<Action> {
        self.now_ms = self.now_ms.max(now_ms);
        if self.displaced {
            return Vec::new();
        }
        match event {
            Event::Datagram { from, bytes } => {
                self.counts.heard += 1;
                self.counts.heard_bytes += bytes.len() as u64;
                if let Some(letter) = self.read(bytes, DATAGRAM) {
                    self.datagram(from, letter);
                }
            }
            Event::Called { letters } => self.called(letters),
            Event::Answered { to, letters } => {
                self.calling = self.calling.filter(|(at, _)| *at != to);
                self.answered(letters);
            }
            Event::CallFailed { to } => self.calling = self.calling.filter(|(at, _)| *at != to),
            Event::Tick => self.tick(),
            Event::Need(needs) => self.need(needs),
            Event::Carry { row, page, after } => self.carry(row, page, after),
            Event::Places(places) => {
                if places != self.rules.places && places > usize::from(self.rules.own.0) {
                    self.rules.places = places;
                    self.keeping.resettle(self.now_ms, places);
                }
            }
            Event::Leave => self.leave(),
        }
        std::mem::take(&mut self.actions)
    }

    /// When [`Event::Tick`] is due.
    pub fn next_ms(&self) -> f64 {
        if self.displaced || self.leaving {
            return f64::INFINITY;
        }
        let mut times = vec![self.probe_ms, self.seed_ms, self.compare_ms, self.failed_ms];
        times.extend(
            self.probe.as_ref().filter(|probe| !probe.asked && !probe.answered).map(|probe| probe.ask_ms),
        );
        let doubted = || self.members.values().filter(|member| member.doubt.is_some());
        if doubted().next().is_some() {
            let here = self.here();
            times.extend(doubted().filter_map(|member| self.doubt_ends_ms(member, here)));
        }
        times.extend(self.rival.map(|(_, _, until)| until));
        if self.joined && self.keeping.page().is_some() {
            times.push(self.keeping.renew_ms);
        }
        times.extend(self.keeping.turns_ms(self.now_ms));
        times.into_iter().fold(f64::INFINITY, f64::min)
    }
}

fn member_address(members: &BTreeMap<Place, Member>, place: Place) -> Option<SocketAddr> {
    members.get(&place).filter(|member| member.state.here()).map(|member| member.about.address)
}
