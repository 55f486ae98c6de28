//! The state machine: probes peers, gossips, keeps the view of the cluster, and computes what may be used.

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

/// Fraction of the probe interval after which other peers are asked to probe too.
const INDIRECT_PROBE_FRACTION: f64 = 0.4;
/// Peers asked for an indirect probe or notified of a join at once, and witnesses that shorten a suspicion to
/// its minimum.
const FANOUT: usize = 3;
const MAX_WITNESSES: f64 = 3.0;
/// Shortest suspicion in probe intervals, for each factor of ten in the number of routers; the longest is
/// this many times the shortest.
const SUSPICION_MIN_PROBES: f64 = 2.0;
const SUSPICION_MAX_FACTOR: f64 = 6.0;
/// Highest health score. A router that misses its own deadlines raises its score, which stretches its probe
/// interval.
const MAX_HEALTH_SCORE: u32 = 8;
/// Probe intervals between two probes of a failed router, between two contacts to a seed, and between two
/// comparisons of views.
const PROBE_FAILED_EVERY_PROBES: f64 = 4.0;
const CONTACT_SEED_EVERY_PROBES: f64 = 50.0;
const COMPARE_VIEWS_EVERY_PROBES: f64 = 25.0;
/// Probe intervals after which a change of the view has spread, so that a differing digest is worth an
/// exchange.
const VIEW_SETTLE_PROBES: f64 = 5.0;
/// Consecutive direct probes without an ack after which a peer that others hear is reported as not heard.
const NOT_HEARING_AFTER_PROBES: u32 = 2;
/// Reserve for the packet's own fields, in bytes.
const PACKET_OVERHEAD_BYTES: usize = 48;
/// Least time between two proposals, in leases.
const MIN_PROPOSAL_LEASES: f64 = 1.5;
/// Most packets read of one exchange.
const MAX_EXCHANGE_PACKETS: usize = 256;

/// Input of the state machine.
#[derive(Debug)]
pub enum Event<'a> {
    Datagram {
        from: SocketAddr,
        bytes: &'a [u8],
    },
    /// A peer called over TCP with these packets; answered by [`Action::Reply`].
    CallReceived {
        packets: &'a [Vec<u8>],
    },
    /// Answer to an [`Action::Call`].
    CallAnswered {
        to: SocketAddr,
        packets: &'a [Vec<u8>],
    },
    CallFailed {
        to: SocketAddr,
    },
    /// [`Peers::next_ms`] has passed.
    Tick,
    /// This router's need for each resource.
    Need(Needs),
    /// Sets the extra bytes of this router's row, and those of the allocation that follows number `after` if
    /// this router proposes it.
    SetExtra {
        row: Vec<u8>,
        allocation: Vec<u8>,
        after: u64,
    },
    /// The settings changed the number of configured routers.
    RouterCount(usize),
    Leave,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Sends packets over TCP; the answer comes back as [`Event::CallAnswered`].
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
    /// This router raised its generation above the one that peers remember.
    GenerationRaised {
        generation: Generation,
    },
    /// Another process runs under this router's index.
    Displaced {
        by: SocketAddr,
    },
    /// A new allocation was adopted.
    AllocationAdopted {
        number: u64,
    },
}

/// Counters for operators.
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

/// The probe in flight.
#[derive(Clone, Debug)]
struct Probe {
    target: RouterIndex,
    seq: u32,
    indirect_ms: f64,
    end_ms: f64,
    indirect_requested: bool,
    direct_ack: bool,
    answered: bool,
    /// Helpers that reported that the target did not answer them either.
    failed_helpers: usize,
}

/// A probe made on behalf of a peer.
#[derive(Clone, Debug)]
struct RelayedProbe {
    requester: RouterIndex,
    requester_seq: u32,
    target: RouterIndex,
    end_ms: f64,
}

/// Membership and allocation state of this router; kept as long as it runs.
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
    /// Some peer has been sent this generation.
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
    /// Extra bytes of this router's row, and those of the allocation that follows the given number.
    row_extra: Vec<u8>,
    allocation_extra: (u64, Vec<u8>),
    row_version: u32,
    last_proposal_ms: f64,
    pending_call: Option<(SocketAddr, f64)>,
    /// A process at another address that is reported under this router's index, with its generation and the
    /// time until which it may answer.
    duplicate: Option<(SocketAddr, Generation, f64)>,
    next_probe_ms: f64,
    next_failed_probe_ms: f64,
    next_seed_ms: f64,
    next_compare_ms: f64,
    pub counts: Counts,
    actions: Vec<Action>,
    /// Digest of the current view; `None` if the view has changed since it was computed.
    cached_digest: std::cell::Cell<Option<u32>>,
    /// When the view last changed: digests received before say nothing about it.
    view_changed_ms: f64,
}

impl Peers {
    /// A router that starts now. `generation` is one above the last one known from its own record, from 1.
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

    /// Handles an event at `now_ms` of the own monotonic clock and returns the actions to take, in order.
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
                    self.handle_datagram(from, packet);
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
        let suspected = || self.members.values().filter(|member| member.suspicion.is_some());
        if suspected().next().is_some() {
            let running = self.running_routers();
            times.extend(suspected().filter_map(|member| self.suspicion_ends_ms(member, running)));
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
