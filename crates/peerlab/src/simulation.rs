//! Simulated network, clocks and router processes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

use paddleproxy_peers::{Action, Event, Generation, Peers, RouterIndex, RouterInfo, Rules, State};

/// Conditions of all links. Loss, duplication and corruption apply to datagrams; calls over TCP are delayed
/// or fail.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkConditions {
    /// Shares of datagrams that are lost, duplicated and corrupted.
    pub loss: f64,
    pub duplicated: f64,
    pub corrupted: f64,
    /// Minimum and maximum delay, in ms.
    pub delay_ms: (f64, f64),
    /// Share of messages that are delayed by a further `late_ms`.
    pub late_share: f64,
    pub late_ms: f64,
}

impl Default for LinkConditions {
    fn default() -> Self {
        LinkConditions {
            loss: 0.0,
            duplicated: 0.0,
            corrupted: 0.0,
            delay_ms: (0.3, 2.0),
            late_share: 0.0,
            late_ms: 0.0,
        }
    }
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub at_ms: f64,
    pub description: String,
}

/// One router's process.
pub struct Node {
    pub peers: Option<Peers>,
    /// Generation of the last start, as stored in the state directory; `None` without a state directory.
    persisted_generation: Option<u64>,
    /// Reading of its clock at virtual time 0, and the rate of the clock relative to virtual time.
    clock_offset_ms: f64,
    clock_rate: f64,
    /// A paused process handles nothing, as after SIGSTOP.
    pub paused: bool,
    /// Messages that arrived while the process was paused.
    inbox: Vec<Delivery>,
    /// Virtual time of the timer that counts; earlier ones in the queue are ignored.
    armed_ms: f64,
    started_ms: f64,
    /// Demand for each resource.
    pub need: Vec<f64>,
    pub start_count: u64,
}

enum Delivery {
    Datagram { from: SocketAddr, bytes: Vec<u8> },
    CallRequest { from: usize, packets: Vec<Vec<u8>> },
    CallReply { to: SocketAddr, packets: Vec<Vec<u8>> },
    CallFailed { to: SocketAddr },
}

enum Scheduled {
    Deliver { to: usize, delivery: Delivery },
    Timer { node: usize, armed_ms: f64 },
    ReportNeed { node: usize, start: u64 },
}

struct QueuedEvent {
    at_ms: f64,
    sequence: u64,
    event: Scheduled,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at_ms.total_cmp(&other.at_ms).then(self.sequence.cmp(&other.sequence))
    }
}

/// A change of one router's state in the view of another.
#[derive(Clone, Debug, PartialEq)]
pub struct StateChange {
    pub at_ms: f64,
    pub observer: usize,
    pub subject: usize,
    pub generation: Generation,
    pub to: State,
}

/// Time after which an unanswered call fails, in ms.
const CALL_TIMEOUT_MS: f64 = 1000.0;
/// IP and UDP headers of one datagram, in bytes.
pub const DATAGRAM_HEADER_BYTES: u64 = 28;

/// A simulated cluster: routers, links and the queue of events, in virtual time.
pub struct Simulation {
    pub now_ms: f64,
    pub rules: Rules,
    pub nodes: Vec<Node>,
    pub links: LinkConditions,
    /// Directed links on which datagrams are dropped.
    cut_links: BTreeSet<(usize, usize)>,
    /// Directed links on which calls fail.
    cut_calls: BTreeSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    next_sequence: u64,
    pub rng: fastrand::Rng,
    pub state_changes: Vec<StateChange>,
    pub violations: Vec<Violation>,
    /// Largest sum of granted shares so far, for each resource.
    pub largest_share_sums: Vec<f64>,
    /// Whether the share sums are checked after each step, which is slow with many routers.
    pub check_every_step: bool,
    pub steps: u64,
    pub zones: usize,
}

pub fn address(node: usize) -> SocketAddr {
    let (high, low) = ((node / 250) as u8, (node % 250) as u8);
    SocketAddr::from((Ipv4Addr::new(127, 9, high, low + 1), 7946))
}

fn node_of(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            Some(usize::from(high) * 250 + usize::from(low).checked_sub(1)?)
        }
        std::net::IpAddr::V6(_) => None,
    }
}

impl Simulation {
    /// Creates `routers` routers that are not running. Their clocks have different offsets and rates up to 2%
    /// apart.
    pub fn new(mut rules: Rules, routers: usize, zones: usize, seed: u64) -> Self {
        rules.router_count = routers;
        let mut rng = fastrand::Rng::with_seed(seed);
        let nodes = (0..routers)
            .map(|_| Node {
                peers: None,
                persisted_generation: Some(0),
                clock_offset_ms: rng.f64() * 1e6,
                clock_rate: 0.99 + 0.02 * rng.f64(),
                paused: false,
                inbox: Vec::new(),
                armed_ms: f64::INFINITY,
                started_ms: 0.0,
                need: vec![1.0; rules.resources],
                start_count: 0,
            })
            .collect();
        Simulation {
            now_ms: 0.0,
            largest_share_sums: vec![0.0; rules.resources],
            rules,
            nodes,
            links: LinkConditions::default(),
            cut_links: BTreeSet::new(),
            cut_calls: BTreeSet::new(),
            queue: BinaryHeap::new(),
            next_sequence: 0,
            rng,
            state_changes: Vec::new(),
            violations: Vec::new(),
            check_every_step: true,
            steps: 0,
            zones: zones.max(1),
        }
    }

    /// Sets the rates of all clocks to that of virtual time.
    pub fn with_equal_clock_rates(mut self) -> Self {
        self.nodes.iter_mut().for_each(|node| node.clock_rate = 1.0);
        self
    }

    fn clock(&self, node: usize) -> f64 {
        self.nodes[node].clock_offset_ms + self.now_ms * self.nodes[node].clock_rate
    }

    fn schedule(&mut self, in_ms: f64, event: Scheduled) {
        self.next_sequence += 1;
        self.queue.push(Reverse(QueuedEvent {
            at_ms: self.now_ms + in_ms.max(0.0),
            sequence: self.next_sequence,
            event,
        }));
    }

    /// Starts a router's process. The first three routers are the seeds of all routers.
    pub fn start(&mut self, node: usize) {
        let now_ms = self.clock(node);
        let rules = Rules { own: RouterIndex(node as u16), ..self.rules.clone() };
        let zone = (node % self.zones) as u8;
        let info = RouterInfo {
            name: format!("router-{node}"),
            address: address(node),
            zone,
            region: format!("region-{}", zone / 3),
            format: 2,
        };
        let seeds = (0..self.nodes.len().min(3)).map(address).collect();
        let (started_ms, seed) = (self.now_ms, self.rng.u64(..));
        let own = &mut self.nodes[node];
        let generation = Generation(own.persisted_generation.map_or(1, |generation| generation + 1));
        own.persisted_generation = own.persisted_generation.map(|_| generation.0);
        own.peers = Some(Peers::new(now_ms, rules, info, seeds, generation, seed));
        (own.paused, own.armed_ms, own.started_ms) = (false, f64::INFINITY, started_ms);
        own.start_count += 1;
        own.inbox.clear();
        let start = own.start_count;
        self.schedule(0.0, Scheduled::ReportNeed { node, start });
        self.arm(node);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].peers = None;
        self.nodes[node].inbox.clear();
    }

    /// Loses the content of its state directory.
    pub fn forget(&mut self, node: usize) {
        self.nodes[node].persisted_generation = None;
    }

    /// The router leaves the cluster and its process ends.
    pub fn leave(&mut self, node: usize) {
        self.handle_event(node, |_| Event::Leave);
        self.kill(node);
    }

    /// Pauses the process. Messages for it are queued; its clock goes on.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    pub fn resume(&mut self, node: usize) {
        if !std::mem::replace(&mut self.nodes[node].paused, false) {
            return;
        }
        let inbox = std::mem::take(&mut self.nodes[node].inbox);
        // Overdue timers and queued messages become ready at the same time.
        self.handle_event(node, |_| Event::Tick);
        for delivery in inbox {
            self.deliver(node, delivery);
        }
    }

    /// Cuts the link in one direction, with `calls_only` for calls alone.
    pub fn cut(&mut self, from: usize, to: usize, calls_only: bool) {
        if !calls_only {
            self.cut_links.insert((from, to));
        }
        self.cut_calls.insert((from, to));
    }

    pub fn heal(&mut self, from: usize, to: usize) {
        self.cut_links.remove(&(from, to));
        self.cut_calls.remove(&(from, to));
    }

    pub fn heal_all(&mut self) {
        self.cut_links.clear();
        self.cut_calls.clear();
    }

    pub fn running(&self, node: usize) -> bool {
        self.nodes[node].peers.is_some()
    }

    pub fn peers(&self, node: usize) -> Option<&Peers> {
        self.nodes[node].peers.as_ref()
    }

    /// Runs the simulation up to a virtual time.
    pub fn run_until(&mut self, until_ms: f64) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at_ms > until_ms {
                break;
            }
            let Some(Reverse(queued)) = self.queue.pop() else { break };
            self.now_ms = self.now_ms.max(queued.at_ms);
            self.step(queued.event);
        }
        self.now_ms = self.now_ms.max(until_ms);
        self.check_share_sums();
    }

    /// Runs until a condition holds, for at most `within_ms`; it is checked every `every_ms`. Returns whether
    /// it holds.
    pub fn run_until_condition(
        &mut self,
        within_ms: f64,
        every_ms: f64,
        holds: impl Fn(&Simulation) -> bool,
    ) -> bool {
        let end_ms = self.now_ms + within_ms;
        while self.now_ms < end_ms {
            if holds(self) {
                return true;
            }
            let next_ms = (self.now_ms + every_ms).min(end_ms);
            self.run_until(next_ms);
        }
        holds(self)
    }

    fn step(&mut self, event: Scheduled) {
        self.steps += 1;
        match event {
            Scheduled::Deliver { to, delivery } => {
                if self.nodes[to].peers.is_none() {
                    return;
                }
                if self.nodes[to].paused {
                    // Bounded, as the receive buffer of a socket that is not read.
                    if self.nodes[to].inbox.len() < 4096 {
                        self.nodes[to].inbox.push(delivery);
                    }
                    return;
                }
                self.deliver(to, delivery);
            }
            Scheduled::Timer { node, armed_ms } => {
                let clock = self.clock(node);
                let process = &mut self.nodes[node];
                // Ignores timers that were replaced by a later call of `arm`.
                if process.armed_ms != armed_ms {
                    return;
                }
                process.armed_ms = f64::INFINITY;
                if process.paused {
                    return;
                }
                if process.peers.as_ref().is_some_and(|peers| clock >= peers.next_ms() - 1e-6) {
                    self.handle_event(node, |_| Event::Tick);
                } else {
                    self.arm(node);
                }
            }
            Scheduled::ReportNeed { node, start } => {
                if self.nodes[node].start_count != start || self.nodes[node].peers.is_none() {
                    return;
                }
                if !self.nodes[node].paused {
                    let need = self.nodes[node].need.clone();
                    self.handle_event(node, |_| Event::Need(need.clone()));
                }
                let every_ms = self.rules.lease_ms / 3.0;
                self.schedule(every_ms, Scheduled::ReportNeed { node, start });
            }
        }
        if self.check_every_step {
            self.check_share_sums();
        }
    }

    fn deliver(&mut self, node: usize, delivery: Delivery) {
        match delivery {
            Delivery::Datagram { from, bytes } => {
                self.handle_event(node, |_| Event::Datagram { from, bytes: &bytes })
            }
            Delivery::CallReply { to, packets } => {
                self.handle_event(node, |_| Event::CallAnswered { to, packets: &packets })
            }
            Delivery::CallFailed { to } => self.handle_event(node, |_| Event::CallFailed { to }),
            Delivery::CallRequest { from, packets } => {
                let clock = self.clock(node);
                let Some(peers) = self.nodes[node].peers.as_mut() else { return };
                let mut actions = peers.handle(clock, Event::CallReceived { packets: &packets });
                let reply = actions.iter().position(|action| matches!(action, Action::Reply { .. }));
                if let Some(Action::Reply { packets }) = reply.map(|index| actions.remove(index)) {
                    let delivery = Delivery::CallReply { to: address(node), packets };
                    let late_ms = self.delay();
                    if self.cut_calls.contains(&(node, from)) {
                        self.schedule(
                            CALL_TIMEOUT_MS,
                            Scheduled::Deliver {
                                to: from,
                                delivery: Delivery::CallFailed { to: address(node) },
                            },
                        );
                    } else {
                        self.schedule(late_ms, Scheduled::Deliver { to: from, delivery });
                    }
                }
                self.perform(node, actions);
            }
        }
    }

    fn handle_event<'a>(&mut self, node: usize, event: impl Fn(&Simulation) -> Event<'a>) {
        let clock = self.clock(node);
        let event = event(self);
        let Some(peers) = self.nodes[node].peers.as_mut() else { return };
        let actions = peers.handle(clock, event);
        self.perform(node, actions);
    }

    fn delay(&mut self) -> f64 {
        let (min_ms, max_ms) = self.links.delay_ms;
        let late = if self.rng.f64() < self.links.late_share { self.links.late_ms } else { 0.0 };
        min_ms + (max_ms - min_ms) * self.rng.f64() + late
    }

    fn perform(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.send(node, to, bytes),
                Action::Call { to, packets } => {
                    let target = node_of(to).filter(|to| *to < self.nodes.len());
                    let reached = target.filter(|to| {
                        let through =
                            !self.cut_calls.contains(&(node, *to)) && !self.cut_calls.contains(&(*to, node));
                        through && self.running(*to)
                    });
                    match reached {
                        // One round trip to connect, then the delay of the request.
                        Some(target) => {
                            let in_ms = self.delay() + self.delay() + self.delay();
                            let delivery = Delivery::CallRequest { from: node, packets };
                            self.schedule(in_ms, Scheduled::Deliver { to: target, delivery });
                        }
                        None => self.schedule(
                            CALL_TIMEOUT_MS,
                            Scheduled::Deliver { to: node, delivery: Delivery::CallFailed { to } },
                        ),
                    }
                }
                Action::Changed { router, change } => {
                    let (at_ms, subject) = (self.now_ms, usize::from(router.0));
                    self.state_changes.push(StateChange {
                        at_ms,
                        observer: node,
                        subject,
                        generation: change.generation,
                        to: change.to,
                    });
                }
                Action::GenerationRaised { generation } => {
                    let persisted = &mut self.nodes[node].persisted_generation;
                    *persisted = persisted.map(|_| generation.0);
                }
                Action::Reply { .. } | Action::Displaced { .. } | Action::AllocationAdopted { .. } => {}
            }
        }
        self.arm(node);
    }

    fn send(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        if bytes.len() > 1200 {
            let description = format!("router {from} sent a datagram of {} bytes", bytes.len());
            self.violations.push(Violation { at_ms: self.now_ms, description });
        }
        let Some(target) = node_of(to).filter(|to| *to < self.nodes.len()) else { return };
        if self.cut_links.contains(&(from, target)) || self.rng.f64() < self.links.loss {
            return;
        }
        if self.links.corrupted > 0.0 && self.rng.f64() < self.links.corrupted {
            let at = self.rng.usize(..bytes.len());
            bytes[at] ^= 1 << self.rng.u8(..8);
        }
        let times = if self.links.duplicated > 0.0 && self.rng.f64() < self.links.duplicated { 2 } else { 1 };
        for _ in 0..times {
            let in_ms = self.delay();
            let delivery = Delivery::Datagram { from: address(from), bytes: bytes.clone() };
            self.schedule(in_ms, Scheduled::Deliver { to: target, delivery });
        }
    }

    /// Schedules the next timer of the router, unless an earlier one is scheduled.
    fn arm(&mut self, node: usize) {
        let own = &self.nodes[node];
        let Some(peers) = own.peers.as_ref() else { return };
        let at_ms = (peers.next_ms() - own.clock_offset_ms) / own.clock_rate;
        if !at_ms.is_finite() || at_ms >= own.armed_ms - 1e-9 && own.armed_ms > self.now_ms {
            return;
        }
        let armed_ms = at_ms.max(self.now_ms);
        self.nodes[node].armed_ms = armed_ms;
        self.schedule((at_ms - self.now_ms).max(1e-3), Scheduled::Timer { node, armed_ms });
    }

    /// Checks that the shares granted to all running processes sum to at most 1 for each resource.
    fn check_share_sums(&mut self) {
        let mut sums = vec![0.0; self.rules.resources];
        for node in 0..self.nodes.len() {
            if self.nodes[node].paused {
                continue;
            }
            let clock = self.clock(node);
            let Some(peers) = self.nodes[node].peers.as_ref() else { continue };
            let granted = peers.granted(clock);
            sums.iter_mut().zip(&granted.shares).for_each(|(sum, share)| *sum += share);
        }
        for (resource, sum) in sums.iter().enumerate() {
            self.largest_share_sums[resource] = self.largest_share_sums[resource].max(*sum);
            if *sum > 1.0 + 1e-6 && self.violations.len() < 16 {
                let description = format!("resource {resource}: granted shares sum to {sum:.4}");
                self.violations.push(Violation { at_ms: self.now_ms, description });
            }
        }
    }

    /// Whether all running routers that are not paused have the same view, with exactly these routers running
    /// in it.
    pub fn converged(&self) -> bool {
        let up: Vec<usize> =
            (0..self.nodes.len()).filter(|n| self.running(*n) && !self.nodes[*n].paused).collect();
        let complete = |node: &usize| {
            let Some(peers) = self.peers(*node) else { return false };
            let seen: BTreeSet<usize> =
                peers.members().filter(|m| m.state.is_running()).map(|m| usize::from(m.router.0)).collect();
            let expected: BTreeSet<usize> = up.iter().copied().filter(|other| other != node).collect();
            seen == expected
        };
        let digests: BTreeSet<u32> = up.iter().filter_map(|n| self.peers(*n)).map(Peers::digest).collect();
        up.iter().all(complete) && digests.len() <= 1
    }

    /// Describes each entry of a running router's view that differs from the actual state.
    pub fn view_differences(&self) -> Vec<String> {
        let mut differences = Vec::new();
        for node in (0..self.nodes.len()).filter(|node| self.running(*node) && !self.nodes[*node].paused) {
            let Some(peers) = self.peers(node) else { continue };
            for subject in (0..self.nodes.len()).filter(|subject| *subject != node) {
                let actual = self.peers(subject).map(|peers| (peers.generation(), peers.incarnation()));
                let held = peers.members().find(|m| usize::from(m.router.0) == subject);
                let same = match (actual, held) {
                    (Some((generation, _)), Some(m)) => m.state.is_running() && m.generation == generation,
                    (None, held) => held.is_none_or(|m| !m.state.is_running()),
                    (Some(_), None) => false,
                };
                if !same {
                    let held = held.map(|m| (m.state, m.generation, m.incarnation));
                    differences.push(format!(
                        "router {node} ({:?}) sees router {subject} as {held:?}; actual state: {actual:?}",
                        peers.cluster_report().status
                    ));
                }
            }
        }
        differences
    }

    /// Number of running routers that see a router as failed or left.
    pub fn count_seeing_down(&self, node: usize) -> usize {
        let sees_down =
            |peers: &Peers| peers.members().any(|m| usize::from(m.router.0) == node && !m.state.is_running());
        (0..self.nodes.len())
            .filter(|n| *n != node)
            .filter_map(|n| self.peers(n))
            .filter(|peers| sees_down(peers))
            .count()
    }

    /// Bytes that each running router sent in datagrams, headers included, and in calls.
    pub fn sent_bytes(&self) -> BTreeMap<usize, (u64, u64)> {
        let bytes_of = |node: usize| {
            let counts = &self.peers(node)?.counts;
            Some((node, (counts.sent_bytes + DATAGRAM_HEADER_BYTES * counts.sent, counts.call_bytes)))
        };
        (0..self.nodes.len()).filter_map(bytes_of).collect()
    }
}
