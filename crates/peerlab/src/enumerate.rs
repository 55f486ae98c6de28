//! Three routers, every order of what can happen next, as deep as asked: letters delivered in any order, lost, doubled,
//! timers, time that passes, a router that stops and wakes, one that dies and starts anew with or without its memory.

use std::net::SocketAddr;

use paddleproxy_peers::{Action, Event, Generation, Peers, RouterIndex, RouterInfo, Rules};

use crate::net::address;

const ROUTERS: usize = 3;

/// A letter on its way.
#[derive(Clone)]
enum Way {
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    Call { from: usize, to: usize, letters: Vec<Vec<u8>> },
    Answer { from: usize, to: usize, letters: Vec<Vec<u8>> },
}

#[derive(Clone)]
struct World {
    now_ms: f64,
    peers: [Option<Peers>; ROUTERS],
    lives: [u64; ROUTERS],
    stopped: [bool; ROUTERS],
    ways: Vec<Way>,
    /// Stops, deaths and doubled letters that may still come.
    stops: u8,
    deaths: u8,
    doubles: u8,
    seed: u64,
}

/// One thing that may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The earliest timer of a router that runs.
    Timer,
    /// Half a lease passes before anybody does anything.
    Passes,
    Arrives(usize),
    Lost(usize),
    Twice(usize),
    Stops(usize),
    Wakes(usize),
    Dies(usize),
    Starts(usize, bool),
}

/// What was looked at.
#[derive(Clone, Debug, Default)]
pub struct Found {
    pub states: u64,
    /// Largest sum of shares by thing.
    pub worst: [f64; 2],
    /// The way to the first state in which something was broken.
    pub broken: Option<(Vec<Next>, String)>,
}

/// Letters on their way of which the next is chosen; the first come first.
const CHOICES: usize = 2;

impl World {
    fn start(&mut self, rules: &Rules, node: usize, remembers: bool) {
        self.lives[node] = if remembers { self.lives[node] + 1 } else { 1 };
        self.seed += 1;
        let about = RouterInfo {
            name: format!("router-{node}"),
            address: address(node),
            zone: 0,
            region: "r".into(),
            format: 2,
        };
        let rules = Rules { own: RouterIndex(node as u16), router_count: ROUTERS, ..rules.clone() };
        let seeds = (0..ROUTERS).map(address).collect();
        let life = Generation(self.lives[node]);
        self.peers[node] = Some(Peers::new(self.now_ms, rules, about, seeds, life, self.seed));
    }

    fn tell(&mut self, node: usize, event: Event) {
        let now_ms = self.now_ms;
        let Some(peers) = self.peers[node].as_mut() else { return };
        let actions = peers.handle(now_ms, event);
        let to_node = |to: SocketAddr| (0..ROUTERS).find(|node| address(*node) == to);
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    self.ways.extend(to_node(to).map(|to| Way::Datagram { from: node, to, bytes }));
                }
                Action::Call { to, packets: letters } => {
                    self.ways.extend(to_node(to).map(|to| Way::Call { from: node, to, letters }));
                }
                Action::GenerationRaised { generation: life } => self.lives[node] = life.0,
                _ => {}
            }
        }
    }

    fn arrive(&mut self, way: Way) {
        match way {
            Way::Datagram { from, to, bytes } if !self.stopped[to] => {
                self.tell(to, Event::Datagram { from: address(from), bytes: &bytes });
            }
            Way::Call { from, to, letters } if !self.stopped[to] => {
                let now_ms = self.now_ms;
                let Some(peers) = self.peers[to].as_mut() else { return };
                for action in peers.handle(now_ms, Event::CallReceived { packets: &letters }) {
                    if let Action::Reply { packets: letters } = action {
                        self.ways.push(Way::Answer { from: to, to: from, letters });
                    }
                }
            }
            Way::Answer { from, to, letters } if !self.stopped[to] => {
                self.tell(to, Event::CallAnswered { to: address(from), packets: &letters });
            }
            // Kept by the system until it runs again; here the same as lost.
            _ => {}
        }
    }

    fn timer(&mut self) {
        let due = |node: &usize| {
            let peers = self.peers[*node].as_ref().filter(|_| !self.stopped[*node]);
            peers.map(|peers| peers.next_ms())
        };
        let next = (0..ROUTERS).filter_map(|node| Some((due(&node)?, node)));
        if let Some((at_ms, node)) = next.min_by(|a, b| a.0.total_cmp(&b.0)).filter(|(at, _)| at.is_finite())
        {
            self.now_ms = self.now_ms.max(at_ms);
            self.tell(node, Event::Tick);
            self.tell(node, Event::Need(vec![1.0 + node as f64, 1.0]));
        }
    }

    /// Everything arrives in order, timers in between.
    fn calm(&mut self, for_ms: f64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            while !self.ways.is_empty() {
                let way = self.ways.remove(0);
                self.arrive(way);
            }
            self.timer();
        }
    }

    fn choices(&self) -> Vec<Next> {
        let mut choices = vec![Next::Timer, Next::Passes];
        for way in 0..self.ways.len().min(CHOICES) {
            choices.extend([Next::Arrives(way), Next::Lost(way)]);
            if self.doubles > 0 {
                choices.push(Next::Twice(way));
            }
        }
        for node in 0..ROUTERS {
            match (&self.peers[node], self.stopped[node]) {
                (Some(_), true) => choices.push(Next::Wakes(node)),
                (Some(_), false) => {
                    choices.extend((self.stops > 0).then_some(Next::Stops(node)));
                    choices.extend((self.deaths > 0).then_some(Next::Dies(node)));
                }
                (None, _) => choices.extend([Next::Starts(node, true), Next::Starts(node, false)]),
            }
        }
        choices
    }

    fn take(&mut self, rules: &Rules, next: Next) {
        match next {
            Next::Timer => self.timer(),
            Next::Passes => self.now_ms += rules.lease_ms / 2.0,
            Next::Arrives(way) => {
                let way = self.ways.remove(way);
                self.arrive(way);
            }
            Next::Lost(way) => drop(self.ways.remove(way)),
            Next::Twice(way) => {
                self.doubles -= 1;
                let way = self.ways[way].clone();
                self.arrive(way);
            }
            Next::Stops(node) => {
                self.stops -= 1;
                self.stopped[node] = true;
            }
            Next::Wakes(node) => {
                self.stopped[node] = false;
                self.tell(node, Event::Tick);
            }
            Next::Dies(node) => {
                self.deaths -= 1;
                self.peers[node] = None;
            }
            Next::Starts(node, remembers) => self.start(rules, node, remembers),
        }
    }

    fn sums(&self) -> [f64; 2] {
        let mut sums = [0.0; 2];
        for node in (0..ROUTERS).filter(|node| !self.stopped[*node]) {
            let Some(peers) = &self.peers[node] else { continue };
            let granted = peers.granted(self.now_ms);
            sums.iter_mut().zip(&granted.shares).for_each(|(sum, share)| *sum += share);
        }
        sums
    }
}

/// Goes through every order of so many steps, from routers that have run in calm for `calm_ms`, up to a count of states.
pub fn enumerate(rules: &Rules, calm_ms: f64, depth: usize, most: u64) -> Found {
    let mut world = World {
        now_ms: 0.0,
        peers: [None, None, None],
        lives: [0; ROUTERS],
        stopped: [false; ROUTERS],
        ways: Vec::new(),
        stops: 1,
        deaths: 1,
        doubles: 1,
        seed: 0,
    };
    (0..ROUTERS).for_each(|node| world.start(rules, node, true));
    world.calm(calm_ms);
    let mut found = Found::default();
    go(rules, &world, depth, most, &mut Vec::new(), &mut found);
    found
}

fn go(rules: &Rules, world: &World, depth: usize, most: u64, way: &mut Vec<Next>, found: &mut Found) {
    found.states += 1;
    let sums = world.sums();
    for (worst, sum) in found.worst.iter_mut().zip(sums) {
        *worst = worst.max(sum);
    }
    if sums.iter().any(|sum| *sum > 1.0 + 1e-6) && found.broken.is_none() {
        found.broken = Some((way.clone(), format!("{sums:?} of the whole is given out")));
    }
    if depth == 0 || found.broken.is_some() || found.states >= most {
        return;
    }
    for next in world.choices() {
        let mut after = world.clone();
        after.take(rules, next);
        way.push(next);
        go(rules, &after, depth - 1, most, way, found);
        way.pop();
    }
}
