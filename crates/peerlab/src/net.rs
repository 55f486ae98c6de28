//! The network and its routers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

use paddleproxy_peers::{Action, Event, Generation, Peers, RouterIndex, RouterInfo, Rules, State};

/// What links do to datagrams. Calls over TCP come through late or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct Links {
    /// Shares of datagrams.
    pub loss: f64,
    pub twice: f64,
    pub spoilt: f64,
    /// Delay from the first to the second, in ms.
    pub delay_ms: (f64, f64),
    /// Share that is late by so much more.
    pub late: f64,
    pub late_ms: f64,
}

impl Default for Links {
    fn default() -> Self {
        Links { loss: 0.0, twice: 0.0, spoilt: 0.0, delay_ms: (0.3, 2.0), late: 0.0, late_ms: 0.0 }
    }
}

/// Something that must never be was.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub at_ms: f64,
    pub what: String,
}

/// One router's process.
pub struct Node {
    pub peers: Option<Peers>,
    /// What its state directory says of its last life; none where it has no such directory.
    kept_life: Option<u64>,
    /// Its clock: shown at virtual time 0, and how fast it runs.
    offset_ms: f64,
    rate: f64,
    pub stopped: bool,
    waiting: Vec<Waits>,
    armed_ms: f64,
    started_ms: f64,
    pub need: Vec<f64>,
    pub starts: u64,
}

enum Waits {
    Datagram { from: SocketAddr, bytes: Vec<u8> },
    Called { from: usize, letters: Vec<Vec<u8>> },
    Answered { to: SocketAddr, letters: Vec<Vec<u8>> },
    Failed { to: SocketAddr },
}

enum What {
    Arrives { to: usize, waits: Waits },
    Due { at: usize, armed_ms: f64 },
    Need { at: usize, start: u64 },
}

struct Timed {
    at_ms: f64,
    number: u64,
    what: What,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at_ms.total_cmp(&other.at_ms).then(self.number.cmp(&other.number))
    }
}

/// A state of one router in another's view that changed, as it was seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub at_ms: f64,
    pub at: usize,
    pub of: usize,
    pub life: Generation,
    pub to: State,
}

/// A time after which no call is waited for, in ms.
const CALL_MS: f64 = 1000.0;
/// Bytes of heads that each datagram costs beside its own.
pub const HEADS: u64 = 28;

pub struct Net {
    pub now_ms: f64,
    pub rules: Rules,
    pub nodes: Vec<Node>,
    pub links: Links,
    /// Directed links that carry nothing.
    cut: BTreeSet<(usize, usize)>,
    /// Directed links that carry no calls.
    cut_calls: BTreeSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<Timed>>,
    next: u64,
    pub rng: fastrand::Rng,
    pub seen: Vec<Seen>,
    pub broken: Vec<Broken>,
    /// Largest sum of shares that was seen, by thing.
    pub worst: Vec<f64>,
    /// Whether sums are looked at after each step; costs time with many routers.
    pub checks: bool,
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

impl Net {
    /// So many routers that are all down. Clocks show different times and run up to 2% apart.
    pub fn new(mut rules: Rules, routers: usize, zones: usize, seed: u64) -> Self {
        rules.router_count = routers;
        let mut rng = fastrand::Rng::with_seed(seed);
        let nodes = (0..routers)
            .map(|_| Node {
                peers: None,
                kept_life: Some(0),
                offset_ms: rng.f64() * 1e6,
                rate: 0.99 + 0.02 * rng.f64(),
                stopped: false,
                waiting: Vec::new(),
                armed_ms: f64::INFINITY,
                started_ms: 0.0,
                need: vec![1.0; rules.resources],
                starts: 0,
            })
            .collect();
        Net {
            now_ms: 0.0,
            worst: vec![0.0; rules.resources],
            rules,
            nodes,
            links: Links::default(),
            cut: BTreeSet::new(),
            cut_calls: BTreeSet::new(),
            queue: BinaryHeap::new(),
            next: 0,
            rng,
            seen: Vec::new(),
            broken: Vec::new(),
            checks: true,
            steps: 0,
            zones: zones.max(1),
        }
    }

    /// As new, with clocks that all run alike.
    pub fn even_clocks(mut self) -> Self {
        self.nodes.iter_mut().for_each(|node| node.rate = 1.0);
        self
    }

    fn clock(&self, node: usize) -> f64 {
        self.nodes[node].offset_ms + self.now_ms * self.nodes[node].rate
    }

    fn push(&mut self, in_ms: f64, what: What) {
        self.next += 1;
        self.queue.push(Reverse(Timed { at_ms: self.now_ms + in_ms.max(0.0), number: self.next, what }));
    }

    /// Starts a router's process. The first three places are the seeds that all know.
    pub fn start(&mut self, node: usize) {
        let now_ms = self.clock(node);
        let rules = Rules { own: RouterIndex(node as u16), ..self.rules.clone() };
        let zone = (node % self.zones) as u8;
        let about = RouterInfo {
            name: format!("router-{node}"),
            address: address(node),
            zone,
            region: format!("region-{}", zone / 3),
            format: 2,
        };
        let seeds = (0..self.nodes.len().min(3)).map(address).collect();
        let (started_ms, seed) = (self.now_ms, self.rng.u64(..));
        let own = &mut self.nodes[node];
        let life = Generation(own.kept_life.map_or(1, |life| life + 1));
        own.kept_life = own.kept_life.map(|_| life.0);
        own.peers = Some(Peers::new(now_ms, rules, about, seeds, life, seed));
        (own.stopped, own.armed_ms, own.started_ms) = (false, f64::INFINITY, started_ms);
        own.starts += 1;
        own.waiting.clear();
        let start = own.starts;
        self.push(0.0, What::Need { at: node, start });
        self.arm(node);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].peers = None;
        self.nodes[node].waiting.clear();
    }

    /// Loses what its state directory holds.
    pub fn forget(&mut self, node: usize) {
        self.nodes[node].kept_life = None;
    }

    pub fn leave(&mut self, node: usize) {
        self.tell(node, |_| Event::Leave);
        self.kill(node);
    }

    /// Its process is stopped; what comes for it waits. Its clock goes on.
    pub fn stop(&mut self, node: usize) {
        self.nodes[node].stopped = true;
    }

    pub fn wake(&mut self, node: usize) {
        if !std::mem::replace(&mut self.nodes[node].stopped, false) {
            return;
        }
        let waiting = std::mem::take(&mut self.nodes[node].waiting);
        // Timers and what waits become ready together.
        self.tell(node, |_| Event::Tick);
        for waits in waiting {
            self.hand(node, waits);
        }
    }

    pub fn cut(&mut self, from: usize, to: usize, calls_only: bool) {
        if !calls_only {
            self.cut.insert((from, to));
        }
        self.cut_calls.insert((from, to));
    }

    pub fn heal(&mut self, from: usize, to: usize) {
        self.cut.remove(&(from, to));
        self.cut_calls.remove(&(from, to));
    }

    pub fn heal_all(&mut self) {
        self.cut.clear();
        self.cut_calls.clear();
    }

    pub fn running(&self, node: usize) -> bool {
        self.nodes[node].peers.is_some()
    }

    pub fn peers(&self, node: usize) -> Option<&Peers> {
        self.nodes[node].peers.as_ref()
    }

    /// Plays until a time.
    pub fn play(&mut self, until_ms: f64) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at_ms > until_ms {
                break;
            }
            let Some(Reverse(timed)) = self.queue.pop() else { break };
            self.now_ms = self.now_ms.max(timed.at_ms);
            self.step(timed.what);
        }
        self.now_ms = self.now_ms.max(until_ms);
        self.look();
    }

    /// Plays until something holds, at most so long; whether it came to hold.
    pub fn play_until(&mut self, within_ms: f64, every_ms: f64, holds: impl Fn(&Net) -> bool) -> bool {
        let end_ms = self.now_ms + within_ms;
        while self.now_ms < end_ms {
            if holds(self) {
                return true;
            }
            let next_ms = (self.now_ms + every_ms).min(end_ms);
            self.play(next_ms);
        }
        holds(self)
    }

    fn step(&mut self, what: What) {
        self.steps += 1;
        match what {
            What::Arrives { to, waits } => {
                if self.nodes[to].peers.is_none() {
                    return;
                }
                if self.nodes[to].stopped {
                    // As a socket does that nobody reads.
                    if self.nodes[to].waiting.len() < 4096 {
                        self.nodes[to].waiting.push(waits);
                    }
                    return;
                }
                self.hand(to, waits);
            }
            What::Due { at, armed_ms } => {
                let clock = self.clock(at);
                let node = &mut self.nodes[at];
                // Only the one that was armed last is a timer.
                if node.armed_ms != armed_ms {
                    return;
                }
                node.armed_ms = f64::INFINITY;
                if node.stopped {
                    return;
                }
                if node.peers.as_ref().is_some_and(|peers| clock >= peers.next_ms() - 1e-6) {
                    self.tell(at, |_| Event::Tick);
                } else {
                    self.arm(at);
                }
            }
            What::Need { at, start } => {
                if self.nodes[at].starts != start || self.nodes[at].peers.is_none() {
                    return;
                }
                if !self.nodes[at].stopped {
                    let need = self.nodes[at].need.clone();
                    self.tell(at, |_| Event::Need(need.clone()));
                }
                let every_ms = self.rules.lease_ms / 3.0;
                self.push(every_ms, What::Need { at, start });
            }
        }
        if self.checks {
            self.look();
        }
    }

    fn hand(&mut self, node: usize, waits: Waits) {
        match waits {
            Waits::Datagram { from, bytes } => self.tell(node, |_| Event::Datagram { from, bytes: &bytes }),
            Waits::Answered { to, letters } => {
                self.tell(node, |_| Event::CallAnswered { to, packets: &letters })
            }
            Waits::Failed { to } => self.tell(node, |_| Event::CallFailed { to }),
            Waits::Called { from, letters } => {
                let clock = self.clock(node);
                let Some(peers) = self.nodes[node].peers.as_mut() else { return };
                let mut actions = peers.handle(clock, Event::CallReceived { packets: &letters });
                let reply = actions.iter().position(|action| matches!(action, Action::Reply { .. }));
                if let Some(Action::Reply { packets: letters }) = reply.map(|row| actions.remove(row)) {
                    let waits = Waits::Answered { to: address(node), letters };
                    let late_ms = self.delay();
                    if self.cut_calls.contains(&(node, from)) {
                        self.push(
                            CALL_MS,
                            What::Arrives { to: from, waits: Waits::Failed { to: address(node) } },
                        );
                    } else {
                        self.push(late_ms, What::Arrives { to: from, waits });
                    }
                }
                self.act(node, actions);
            }
        }
    }

    fn tell<'a>(&mut self, node: usize, event: impl Fn(&Net) -> Event<'a>) {
        let clock = self.clock(node);
        let event = event(self);
        let Some(peers) = self.nodes[node].peers.as_mut() else { return };
        let actions = peers.handle(clock, event);
        self.act(node, actions);
    }

    fn delay(&mut self) -> f64 {
        let (least, most) = self.links.delay_ms;
        let late = if self.rng.f64() < self.links.late { self.links.late_ms } else { 0.0 };
        least + (most - least) * self.rng.f64() + late
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.send(node, to, bytes),
                Action::Call { to, packets: letters } => {
                    let target = node_of(to).filter(|to| *to < self.nodes.len());
                    let reached = target.filter(|to| {
                        let through =
                            !self.cut_calls.contains(&(node, *to)) && !self.cut_calls.contains(&(*to, node));
                        through && self.running(*to)
                    });
                    match reached {
                        // The way to make a connection and back, then the letters.
                        Some(target) => {
                            let in_ms = self.delay() + self.delay() + self.delay();
                            let waits = Waits::Called { from: node, letters };
                            self.push(in_ms, What::Arrives { to: target, waits });
                        }
                        None => self.push(CALL_MS, What::Arrives { to: node, waits: Waits::Failed { to } }),
                    }
                }
                Action::Changed { router: place, change } => {
                    let (at_ms, of) = (self.now_ms, usize::from(place.0));
                    self.seen.push(Seen { at_ms, at: node, of, life: change.generation, to: change.to });
                }
                Action::GenerationRaised { generation: life } => {
                    let kept = &mut self.nodes[node].kept_life;
                    *kept = kept.map(|_| life.0);
                }
                Action::Reply { .. } | Action::Displaced { .. } | Action::AllocationAdopted { .. } => {}
            }
        }
        self.arm(node);
    }

    fn send(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        if bytes.len() > 1200 {
            let what = format!("router {from} sent a datagram of {} bytes", bytes.len());
            self.broken.push(Broken { at_ms: self.now_ms, what });
        }
        let Some(target) = node_of(to).filter(|to| *to < self.nodes.len()) else { return };
        if self.cut.contains(&(from, target)) || self.rng.f64() < self.links.loss {
            return;
        }
        if self.links.spoilt > 0.0 && self.rng.f64() < self.links.spoilt {
            let at = self.rng.usize(..bytes.len());
            bytes[at] ^= 1 << self.rng.u8(..8);
        }
        let times = if self.links.twice > 0.0 && self.rng.f64() < self.links.twice { 2 } else { 1 };
        for _ in 0..times {
            let in_ms = self.delay();
            let waits = Waits::Datagram { from: address(from), bytes: bytes.clone() };
            self.push(in_ms, What::Arrives { to: target, waits });
        }
    }

    fn arm(&mut self, node: usize) {
        let own = &self.nodes[node];
        let Some(peers) = own.peers.as_ref() else { return };
        let at_ms = (peers.next_ms() - own.offset_ms) / own.rate;
        if !at_ms.is_finite() || at_ms >= own.armed_ms - 1e-9 && own.armed_ms > self.now_ms {
            return;
        }
        let armed_ms = at_ms.max(self.now_ms);
        self.nodes[node].armed_ms = armed_ms;
        self.push((at_ms - self.now_ms).max(1e-3), What::Due { at: node, armed_ms });
    }

    /// What all running processes may use together is at most the whole.
    fn look(&mut self) {
        let mut sums = vec![0.0; self.rules.resources];
        for node in 0..self.nodes.len() {
            if self.nodes[node].stopped {
                continue;
            }
            let clock = self.clock(node);
            let Some(peers) = self.nodes[node].peers.as_ref() else { continue };
            let granted = peers.granted(clock);
            sums.iter_mut().zip(&granted.shares).for_each(|(sum, share)| *sum += share);
        }
        for (thing, sum) in sums.iter().enumerate() {
            self.worst[thing] = self.worst[thing].max(*sum);
            if *sum > 1.0 + 1e-6 && self.broken.len() < 16 {
                let what = format!("thing {thing}: {sum:.4} of the whole is given out");
                self.broken.push(Broken { at_ms: self.now_ms, what });
            }
        }
    }

    /// Whether all running routers that are not stopped have one view with exactly these in it as running.
    pub fn one_view(&self) -> bool {
        let up: Vec<usize> =
            (0..self.nodes.len()).filter(|n| self.running(*n) && !self.nodes[*n].stopped).collect();
        let whole = |node: &usize| {
            let Some(peers) = self.peers(*node) else { return false };
            let here: BTreeSet<usize> =
                peers.members().filter(|m| m.state.is_running()).map(|m| usize::from(m.router.0)).collect();
            let wanted: BTreeSet<usize> = up.iter().copied().filter(|other| other != node).collect();
            here == wanted
        };
        let digests: BTreeSet<u32> = up.iter().filter_map(|n| self.peers(*n)).map(Peers::digest).collect();
        up.iter().all(whole) && digests.len() <= 1
    }

    /// Who of the running routers holds what of whom, where that is not so.
    pub fn differences(&self) -> Vec<String> {
        let mut told = Vec::new();
        for node in (0..self.nodes.len()).filter(|node| self.running(*node) && !self.nodes[*node].stopped) {
            let Some(peers) = self.peers(node) else { continue };
            for of in (0..self.nodes.len()).filter(|of| *of != node) {
                let truth = self.peers(of).map(|peers| (peers.generation(), peers.incarnation()));
                let held = peers.members().find(|m| usize::from(m.router.0) == of);
                let same = match (truth, held) {
                    (Some((life, _)), Some(m)) => m.state.is_running() && m.generation == life,
                    (None, held) => held.is_none_or(|m| !m.state.is_running()),
                    (Some(_), None) => false,
                };
                if !same {
                    let held = held.map(|m| (m.state, m.generation, m.incarnation));
                    told.push(format!(
                        "{node} ({:?}) holds {of} as {held:?}, it is {truth:?}",
                        peers.cluster_report().status
                    ));
                }
            }
        }
        told
    }

    /// How many running routers hold one for failed or gone.
    pub fn know_down(&self, node: usize) -> usize {
        let here =
            |peers: &Peers| peers.members().any(|m| usize::from(m.router.0) == node && !m.state.is_running());
        (0..self.nodes.len())
            .filter(|n| *n != node)
            .filter_map(|n| self.peers(n))
            .filter(|peers| here(peers))
            .count()
    }

    /// Bytes that each running router sent, datagrams with their heads, and by calls.
    pub fn bytes(&self) -> BTreeMap<usize, (u64, u64)> {
        let of = |node: usize| {
            let counts = &self.peers(node)?.counts;
            Some((node, (counts.sent_bytes + HEADS * counts.sent, counts.call_bytes)))
        };
        (0..self.nodes.len()).filter_map(of).collect()
    }
}
