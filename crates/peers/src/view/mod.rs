//! The machine: probes its fellows, passes words on, keeps the view, and says what may be used.

mod allocate;
mod exchange;
mod probe;
mod receive;
mod send;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::allocation::{Allocation, TOTAL_PARTS};
use crate::consensus::{voters, Consensus};
use crate::gossip::GossipQueue;
use crate::member::{Change, Member, RouterInfo, State, Suspicion};
use crate::shares::{is_worth_proposing, split, Granted, Needs};
use crate::status::{cluster_status, ClusterReport, ClusterStatus};
use crate::wire::{
    decode, deployment, encode, size, DecodeError, Generation, Message, Packet, RouterIndex, Row,
    StateUpdate, MAX_DATAGRAM_BYTES, MAX_EXCHANGE_PACKET_BYTES,
};
use crate::Rules;

/// Of the time between two probes: when fellows are asked to probe too.
const INDIRECT_PROBE_AFTER: f64 = 0.4;
/// Fellows asked for that, and witnesses who shorten a suspicion to its least.
const INDIRECT_PROBE_HELPERS: usize = 3;
const MAX_WITNESSES: f64 = 3.0;
/// Least time of a suspicion in probes, for each tenfold of routers; the most is so many times that.
const SUSPICION_MIN_PROBES: f64 = 2.0;
const SUSPICION_MAX_FACTOR: f64 = 6.0;
/// How far a router that misses its own deadlines stretches its probes.
const MAX_HEALTH_SCORE: u32 = 8;
/// Probes between two asks of one that failed, between two looks at a seed, and between two comparisons of views.
const PROBE_FAILED_EVERY_PROBES: f64 = 4.0;
const CONTACT_SEED_EVERY_PROBES: f64 = 50.0;
const COMPARE_VIEWS_EVERY_PROBES: f64 = 25.0;
/// Probes after which a change of the view has gone round, and a digest that differs is worth an exchange.
const VIEW_SETTLE_PROBES: f64 = 5.0;
/// Direct probes in a row without an answer after which a fellow that others hear is called unheard.
const NOT_HEARING_AFTER_PROBES: u32 = 2;
/// Room that a letter's own fields need, in bytes.
const PACKET_OVERHEAD_BYTES: usize = 48;
/// Leases between two pages at least.
const MIN_PROPOSAL_LEASES: f64 = 1.5;
/// Letters of one exchange at most.
const MAX_EXCHANGE_PACKETS: usize = 256;

/// What the machine is told.
#[derive(Debug)]
pub enum Event<'a> {
    Datagram {
        from: SocketAddr,
        bytes: &'a [u8],
    },
    /// Somebody called over TCP with these letters; answered by [`Action::Reply`].
    CallReceived {
        packets: &'a [Vec<u8>],
    },
    /// What the one that was called said.
    CallAnswered {
        to: SocketAddr,
        packets: &'a [Vec<u8>],
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
    SetExtra {
        row: Vec<u8>,
        allocation: Vec<u8>,
        after: u64,
    },
    /// Settings count other places now.
    RouterCount(usize),
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
        packets: Vec<Vec<u8>>,
    },
    Reply {
        packets: Vec<Vec<u8>>,
    },
    /// A member's state changed.
    Changed {
        router: RouterIndex,
        change: Change,
    },
    /// The own life was raised above what fellows remember.
    GenerationRaised {
        generation: Generation,
    },
    /// Another process holds this place.
    Displaced {
        by: SocketAddr,
    },
    /// Another page is gone by.
    AllocationAdopted {
        number: u64,
    },
}

/// Figures for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    pub calls: u64,
    pub call_bytes: u64,
    pub probes: u64,
    pub unanswered: u64,
    pub suspected: u64,
    pub failed: u64,
    pub refuted: u64,
    pub late_ticks: u64,
    pub rejected: BTreeMap<DecodeError, u64>,
}

/// A probe that is out.
#[derive(Clone, Debug)]
struct Probe {
    target: RouterIndex,
    seq: u32,
    indirect_ms: f64,
    end_ms: f64,
    indirect_requested: bool,
    direct_ack: bool,
    answered: bool,
    /// Helpers that said that the target did not answer them either.
    failed_helpers: usize,
}

/// A probe made for a fellow.
#[derive(Clone, Debug)]
struct RelayedProbe {
    requester: RouterIndex,
    requester_seq: u32,
    target: RouterIndex,
    end_ms: f64,
}

/// Lives as long as the router.
#[derive(Clone)]
pub struct Peers {
    pub(crate) rules: Rules,
    info: RouterInfo,
    seeds: Vec<SocketAddr>,
    rng: fastrand::Rng,
    deployment: u32,
    now_ms: f64,
    generation: Generation,
    incarnation: u32,
    joined: bool,
    /// Somebody was told that this life runs.
    announced: bool,
    displaced: bool,
    leaving: bool,
    members: BTreeMap<RouterIndex, Member>,
    probe_order: Vec<RouterIndex>,
    missed_direct_probes: BTreeMap<RouterIndex, u32>,
    probe: Option<Probe>,
    relayed_probes: BTreeMap<u32, RelayedProbe>,
    next_seq: u32,
    health: u32,
    gossip: GossipQueue,
    consensus: Consensus,
    needs: Needs,
    /// Bytes that the own row carries, and those for the page after that one.
    row_extra: Vec<u8>,
    allocation_extra: (u64, Vec<u8>),
    row_version: u32,
    last_proposal_ms: f64,
    pending_call: Option<(SocketAddr, f64)>,
    /// A process elsewhere that was said to hold this place, and until when it may answer.
    duplicate: Option<(SocketAddr, Generation, f64)>,
    next_probe_ms: f64,
    next_failed_probe_ms: f64,
    next_seed_ms: f64,
    next_compare_ms: f64,
    pub counts: Counts,
    actions: Vec<Action>,
    /// Digest of the view as it last was; none where the view changed since.
    cached_digest: std::cell::Cell<Option<u32>>,
    /// When it last changed: digests that were heard before say nothing of it.
    view_changed_ms: f64,
}

impl Peers {
    /// A router that starts now. `life` is one above the last that it knows of itself, from 1.
    pub fn new(
        now_ms: f64,
        rules: Rules,
        info: RouterInfo,
        seeds: Vec<SocketAddr>,
        generation: Generation,
        seed: u64,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let spread = |rng: &mut fastrand::Rng, probes: f64| now_ms + rules.probe_ms * probes * rng.f64();
        let consensus = Consensus::new(now_ms, rules.own, rules.router_count, rules.lease_ms);
        Peers {
            deployment: deployment(&rules.deployment),
            info,
            seeds,
            now_ms,
            generation: generation.max(Generation(1)),
            incarnation: 0,
            joined: false,
            announced: false,
            displaced: false,
            leaving: false,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            missed_direct_probes: BTreeMap::new(),
            probe: None,
            relayed_probes: BTreeMap::new(),
            next_seq: 0,
            health: 0,
            gossip: GossipQueue::default(),
            consensus,
            needs: Vec::new(),
            row_extra: Vec::new(),
            allocation_extra: (0, Vec::new()),
            row_version: 0,
            last_proposal_ms: f64::NEG_INFINITY,
            pending_call: None,
            duplicate: None,
            next_probe_ms: spread(&mut rng, 1.0),
            next_failed_probe_ms: spread(&mut rng, PROBE_FAILED_EVERY_PROBES),
            next_seed_ms: now_ms,
            next_compare_ms: spread(&mut rng, COMPARE_VIEWS_EVERY_PROBES),
            counts: Counts::default(),
            actions: Vec::new(),
            cached_digest: std::cell::Cell::new(None),
            view_changed_ms: now_ms,
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
                self.counts.received += 1;
                self.counts.received_bytes += bytes.len() as u64;
                if let Some(packet) = self.read(bytes, MAX_DATAGRAM_BYTES) {
                    self.datagram(from, packet);
                }
            }
            Event::CallReceived { packets } => self.handle_call(packets),
            Event::CallAnswered { to, packets } => {
                self.pending_call = self.pending_call.filter(|(at, _)| *at != to);
                self.handle_call_answer(packets);
            }
            Event::CallFailed { to } => self.pending_call = self.pending_call.filter(|(at, _)| *at != to),
            Event::Tick => self.tick(),
            Event::Need(needs) => self.update_needs(needs),
            Event::SetExtra { row, allocation, after } => self.set_extra(row, allocation, after),
            Event::RouterCount(router_count) => {
                if router_count != self.rules.router_count && router_count > usize::from(self.rules.own.0) {
                    self.rules.router_count = router_count;
                    self.consensus.reconfigure(self.now_ms, router_count);
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
        let mut times =
            vec![self.next_probe_ms, self.next_seed_ms, self.next_compare_ms, self.next_failed_probe_ms];
        times.extend(
            self.probe
                .as_ref()
                .filter(|probe| !probe.indirect_requested && !probe.answered)
                .map(|probe| probe.indirect_ms),
        );
        let doubted = || self.members.values().filter(|member| member.suspicion.is_some());
        if doubted().next().is_some() {
            let running = self.running_routers();
            times.extend(doubted().filter_map(|member| self.suspicion_ends_ms(member, running)));
        }
        times.extend(self.duplicate.map(|(_, _, until)| until));
        if self.joined && self.consensus.allocation().is_some() {
            times.push(self.consensus.renew_ms);
        }
        times.extend(self.consensus.next_change_ms(self.now_ms));
        times.into_iter().fold(f64::INFINITY, f64::min)
    }
}

fn member_address(members: &BTreeMap<RouterIndex, Member>, router: RouterIndex) -> Option<SocketAddr> {
    members.get(&router).filter(|member| member.state.is_running()).map(|member| member.info.address)
}
