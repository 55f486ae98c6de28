//! Enumerates every order of events at three routers, up to a given depth: packets that are delivered in any
//! order, lost or duplicated, timers, time that passes, a router that is paused and resumed, and a router
//! that is killed and restarted with or without its state directory.

use std::net::SocketAddr;

use paddleproxy_peers::{Action, Event, Generation, Peers, RouterIndex, RouterInfo, Rules};

use crate::simulation::address;

const ROUTERS: usize = 3;

/// A message that was sent and not yet delivered.
#[derive(Clone)]
enum InFlight {
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    Call { from: usize, to: usize, packets: Vec<Vec<u8>> },
    Reply { from: usize, to: usize, packets: Vec<Vec<u8>> },
}

#[derive(Clone)]
struct ClusterState {
    now_ms: f64,
    peers: [Option<Peers>; ROUTERS],
    generations: [u64; ROUTERS],
    paused: [bool; ROUTERS],
    in_flight: Vec<InFlight>,
    /// How many pauses, kills and duplicated messages may still occur.
    pauses_left: u8,
    kills_left: u8,
    duplicates_left: u8,
    seed: u64,
}

/// One possible next event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The earliest timer of all running routers fires.
    Timer,
    /// Half a lease passes in which no router runs.
    HalfLease,
    /// `Deliver`, `Drop` and `Duplicate` take the index of a message in flight, the other steps a router.
    Deliver(usize),
    Drop(usize),
    Duplicate(usize),
    Pause(usize),
    Resume(usize),
    Kill(usize),
    /// Restarts a router; whether its state directory is intact.
    Start(usize, bool),
}

/// Result of the enumeration.
#[derive(Clone, Debug, Default)]
pub struct Exploration {
    pub states: u64,
    /// Largest sum of granted shares, for each resource.
    pub largest_share_sums: [f64; 2],
    /// Steps that lead to the first state that violates the invariant, and a description of the violation.
    pub violation: Option<(Vec<Step>, String)>,
}

/// Number of messages in flight, oldest first, of which the next one to deliver, drop or duplicate is chosen.
const MAX_DELIVERABLE: usize = 2;

impl ClusterState {
    fn start(&mut self, rules: &Rules, node: usize, keeps_state: bool) {
        self.generations[node] = if keeps_state { self.generations[node] + 1 } else { 1 };
        self.seed += 1;
        let info = RouterInfo {
            name: format!("router-{node}"),
            address: address(node),
            zone: 0,
            region: "r".into(),
            format: 2,
        };
        let rules = Rules { own: RouterIndex(node as u16), router_count: ROUTERS, ..rules.clone() };
        let seeds = (0..ROUTERS).map(address).collect();
        let generation = Generation(self.generations[node]);
        self.peers[node] = Some(Peers::new(self.now_ms, rules, info, seeds, generation, self.seed));
    }

    fn handle_event(&mut self, node: usize, event: Event) {
        let now_ms = self.now_ms;
        let Some(peers) = self.peers[node].as_mut() else { return };
        let actions = peers.handle(now_ms, event);
        let to_node = |to: SocketAddr| (0..ROUTERS).find(|node| address(*node) == to);
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    self.in_flight.extend(to_node(to).map(|to| InFlight::Datagram { from: node, to, bytes }));
                }
                Action::Call { to, packets } => {
                    self.in_flight.extend(to_node(to).map(|to| InFlight::Call { from: node, to, packets }));
                }
                Action::GenerationRaised { generation } => self.generations[node] = generation.0,
                _ => {}
            }
        }
    }

    fn deliver(&mut self, message: InFlight) {
        match message {
            InFlight::Datagram { from, to, bytes } if !self.paused[to] => {
                self.handle_event(to, Event::Datagram { from: address(from), bytes: &bytes });
            }
            InFlight::Call { from, to, packets } if !self.paused[to] => {
                let now_ms = self.now_ms;
                let Some(peers) = self.peers[to].as_mut() else { return };
                for action in peers.handle(now_ms, Event::CallReceived { packets: &packets }) {
                    if let Action::Reply { packets } = action {
                        self.in_flight.push(InFlight::Reply { from: to, to: from, packets });
                    }
                }
            }
            InFlight::Reply { from, to, packets } if !self.paused[to] => {
                self.handle_event(to, Event::CallAnswered { to: address(from), packets: &packets });
            }
            // The operating system would hold the message until the router is resumed; here it counts as
            // lost.
            _ => {}
        }
    }

    fn run_next_timer(&mut self) {
        let due = |node: &usize| {
            let peers = self.peers[*node].as_ref().filter(|_| !self.paused[*node]);
            peers.map(|peers| peers.next_ms())
        };
        let next = (0..ROUTERS).filter_map(|node| Some((due(&node)?, node)));
        if let Some((at_ms, node)) = next.min_by(|a, b| a.0.total_cmp(&b.0)).filter(|(at, _)| at.is_finite())
        {
            self.now_ms = self.now_ms.max(at_ms);
            self.handle_event(node, Event::Tick);
            self.handle_event(node, Event::Need(vec![1.0 + node as f64, 1.0]));
        }
    }

    /// Delivers all messages in order and runs timers in between.
    fn run_without_faults(&mut self, for_ms: f64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            while !self.in_flight.is_empty() {
                let message = self.in_flight.remove(0);
                self.deliver(message);
            }
            self.run_next_timer();
        }
    }

    fn possible_steps(&self) -> Vec<Step> {
        let mut choices = vec![Step::Timer, Step::HalfLease];
        for message in 0..self.in_flight.len().min(MAX_DELIVERABLE) {
            choices.extend([Step::Deliver(message), Step::Drop(message)]);
            if self.duplicates_left > 0 {
                choices.push(Step::Duplicate(message));
            }
        }
        for node in 0..ROUTERS {
            match (&self.peers[node], self.paused[node]) {
                (Some(_), true) => choices.push(Step::Resume(node)),
                (Some(_), false) => {
                    choices.extend((self.pauses_left > 0).then_some(Step::Pause(node)));
                    choices.extend((self.kills_left > 0).then_some(Step::Kill(node)));
                }
                (None, _) => choices.extend([Step::Start(node, true), Step::Start(node, false)]),
            }
        }
        choices
    }

    fn apply(&mut self, rules: &Rules, step: Step) {
        match step {
            Step::Timer => self.run_next_timer(),
            Step::HalfLease => self.now_ms += rules.lease_ms / 2.0,
            Step::Deliver(message) => {
                let message = self.in_flight.remove(message);
                self.deliver(message);
            }
            Step::Drop(message) => drop(self.in_flight.remove(message)),
            Step::Duplicate(message) => {
                self.duplicates_left -= 1;
                let message = self.in_flight[message].clone();
                self.deliver(message);
            }
            Step::Pause(node) => {
                self.pauses_left -= 1;
                self.paused[node] = true;
            }
            Step::Resume(node) => {
                self.paused[node] = false;
                self.handle_event(node, Event::Tick);
            }
            Step::Kill(node) => {
                self.kills_left -= 1;
                self.peers[node] = None;
            }
            Step::Start(node, keeps_state) => self.start(rules, node, keeps_state),
        }
    }

    fn share_sums(&self) -> [f64; 2] {
        let mut sums = [0.0; 2];
        for node in (0..ROUTERS).filter(|node| !self.paused[*node]) {
            let Some(peers) = &self.peers[node] else { continue };
            let granted = peers.granted(self.now_ms);
            sums.iter_mut().zip(&granted.shares).for_each(|(sum, share)| *sum += share);
        }
        sums
    }
}

/// Explores every sequence of `depth` steps, starting from routers that ran without faults for `warmup_ms`.
/// Stops after `max_states` states.
pub fn enumerate(rules: &Rules, warmup_ms: f64, depth: usize, max_states: u64) -> Exploration {
    let mut state = ClusterState {
        now_ms: 0.0,
        peers: [None, None, None],
        generations: [0; ROUTERS],
        paused: [false; ROUTERS],
        in_flight: Vec::new(),
        pauses_left: 1,
        kills_left: 1,
        duplicates_left: 1,
        seed: 0,
    };
    (0..ROUTERS).for_each(|node| state.start(rules, node, true));
    state.run_without_faults(warmup_ms);
    let mut found = Exploration::default();
    explore(rules, &state, depth, max_states, &mut Vec::new(), &mut found);
    found
}

fn explore(
    rules: &Rules,
    state: &ClusterState,
    depth: usize,
    max_states: u64,
    path: &mut Vec<Step>,
    found: &mut Exploration,
) {
    found.states += 1;
    let sums = state.share_sums();
    for (largest, sum) in found.largest_share_sums.iter_mut().zip(sums) {
        *largest = largest.max(sum);
    }
    if sums.iter().any(|sum| *sum > 1.0 + 1e-6) && found.violation.is_none() {
        found.violation = Some((path.clone(), format!("granted shares sum to {sums:?}")));
    }
    if depth == 0 || found.violation.is_some() || found.states >= max_states {
        return;
    }
    for step in state.possible_steps() {
        let mut after = state.clone();
        after.apply(rules, step);
        path.push(step);
        explore(rules, &after, depth - 1, max_states, path, found);
        path.pop();
    }
}
