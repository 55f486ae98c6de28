//! What the routers' way is measured beside: heartbeats from all to all, and plain probes by which one missed answer
//! is a failure. Both as small as they can be; links, pauses and clocks as for the real machine.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::net::{Links, HEADS};

/// Which baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plain {
    /// Each tells each other in every period; five missed are a failure.
    Heartbeats,
    /// Each asks one other in every period, by chance; no answer is a failure, told with every datagram.
    Probes,
}

/// Heartbeats that may be missed.
const MISSED: f64 = 5.0;
/// Bytes of a plain datagram, and of one failure told in it.
const BYTES: u64 = 12;
const TOLD: u64 = 4;
/// Failures told in one datagram at most, and how often each is told for each tenfold of routers.
const TOLD_MOST: usize = 20;
const TELLS: f64 = 4.0;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ev {
    Period { node: usize },
    Arrives { to: usize, from: usize, ack: bool, told: Vec<(usize, u32)> },
    Judge { node: usize, of: usize, seq: u64 },
    Wake { node: usize },
}

struct Node {
    up: bool,
    stopped_until_ms: f64,
    heard_ms: Vec<f64>,
    /// Incarnation by which each is held for failed; none: alive.
    failed: Vec<Option<u32>>,
    incarnation: u32,
    telling: Vec<(usize, u32, u32)>,
    answered: u64,
    asked: u64,
    bytes: u64,
}

/// One play of a baseline.
pub struct Play {
    pub now_ms: f64,
    nodes: Vec<Node>,
    links: Links,
    period_ms: f64,
    plain: Plain,
    queue: BinaryHeap<Reverse<(u64, u64, Ev)>>,
    next: u64,
    rng: fastrand::Rng,
    /// Times at which somebody called a running router failed.
    pub false_failures: u64,
}

impl Play {
    pub fn new(plain: Plain, routers: usize, period_ms: f64, links: Links, seed: u64) -> Play {
        let mut rng = fastrand::Rng::with_seed(seed);
        let node = |_| Node {
            up: true,
            stopped_until_ms: 0.0,
            heard_ms: vec![0.0; routers],
            failed: vec![None; routers],
            incarnation: 0,
            telling: Vec::new(),
            answered: 0,
            asked: 0,
            bytes: 0,
        };
        let nodes = (0..routers).map(node).collect();
        let starts: Vec<f64> = (0..routers).map(|_| rng.f64() * period_ms).collect();
        let mut play = Play {
            now_ms: 0.0,
            nodes,
            links,
            period_ms,
            plain,
            queue: BinaryHeap::new(),
            next: 0,
            rng,
            false_failures: 0,
        };
        starts.into_iter().enumerate().for_each(|(node, in_ms)| play.push(in_ms, Ev::Period { node }));
        play
    }

    fn push(&mut self, in_ms: f64, event: Ev) {
        self.next += 1;
        // Rounded up: what waits for a moment comes after it.
        let at_us = ((self.now_ms + in_ms) * 1e3).ceil() as u64 + 1;
        self.queue.push(Reverse((at_us, self.next, event)));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
    }

    pub fn pause(&mut self, node: usize, for_ms: f64) {
        self.nodes[node].stopped_until_ms = self.now_ms + for_ms;
        self.push(for_ms, Ev::Wake { node });
    }

    pub fn know_down(&self, of: usize) -> usize {
        self.nodes.iter().enumerate().filter(|(at, n)| *at != of && n.up && n.failed[of].is_some()).count()
    }

    /// Bytes that a router sent on average.
    pub fn bytes(&self) -> f64 {
        self.nodes.iter().map(|node| node.bytes as f64).sum::<f64>() / self.nodes.len() as f64
    }

    pub fn play(&mut self, until_ms: f64) {
        while let Some(Reverse((at_us, _, _))) = self.queue.peek() {
            if *at_us as f64 / 1e3 > until_ms {
                break;
            }
            let Some(Reverse((at_us, _, event))) = self.queue.pop() else { break };
            self.now_ms = self.now_ms.max(at_us as f64 / 1e3);
            self.step(event);
        }
        self.now_ms = until_ms;
    }

    fn stopped(&self, node: usize) -> bool {
        self.now_ms < self.nodes[node].stopped_until_ms
    }

    fn fails(&mut self, at: usize, of: usize, incarnation: u32) {
        if self.nodes[at].failed[of].is_some_and(|known| known >= incarnation) {
            return;
        }
        self.false_failures += u64::from(self.nodes[of].up);
        self.nodes[at].failed[of] = Some(incarnation);
        self.nodes[at].telling.push((of, incarnation, 0));
    }

    fn step(&mut self, event: Ev) {
        match event {
            Ev::Wake { .. } => {}
            Ev::Period { node } => {
                if !self.nodes[node].up {
                    return;
                }
                if self.stopped(node) {
                    let in_ms = self.nodes[node].stopped_until_ms - self.now_ms;
                    self.push(in_ms, Ev::Period { node });
                    return;
                }
                let all = self.nodes.len();
                match self.plain {
                    Plain::Heartbeats => {
                        for to in (0..all).filter(|to| *to != node) {
                            self.send(node, to, false, Vec::new());
                        }
                        let late_ms = MISSED * self.period_ms;
                        for of in (0..all).filter(|of| *of != node) {
                            if self.now_ms - self.nodes[node].heard_ms[of] > late_ms {
                                self.fails(node, of, 0);
                            }
                        }
                    }
                    Plain::Probes => {
                        let of = (node + 1 + self.rng.usize(..all - 1)) % all;
                        self.nodes[node].asked += 1;
                        let seq = self.nodes[node].asked;
                        let told = self.tells(node);
                        self.send(node, of, false, told);
                        self.push(self.period_ms * 0.9, Ev::Judge { node, of, seq });
                    }
                }
                self.push(self.period_ms, Ev::Period { node });
            }
            Ev::Judge { node, of, seq } => {
                // Without doubt of itself it judges as soon as it runs again.
                if self.nodes[node].up && self.nodes[node].asked == seq && self.nodes[node].answered != seq {
                    let incarnation = self.nodes[node].failed[of].unwrap_or(0);
                    self.fails(node, of, incarnation.max(self.nodes[of].incarnation));
                }
            }
            Ev::Arrives { to, from, ack, told } => {
                if !self.nodes[to].up {
                    return;
                }
                if self.stopped(to) {
                    let in_ms = self.nodes[to].stopped_until_ms - self.now_ms;
                    self.push(in_ms, Ev::Arrives { to, from, ack, told });
                    return;
                }
                self.nodes[to].heard_ms[from] = self.now_ms;
                self.nodes[to].failed[from] = None;
                for (of, incarnation) in told {
                    if of == to {
                        // It says that it lives; a newer word undoes the old at whoever hears it first-hand.
                        self.nodes[to].incarnation = self.nodes[to].incarnation.max(incarnation + 1);
                    } else {
                        self.fails(to, of, incarnation);
                    }
                }
                if self.plain == Plain::Probes {
                    if ack {
                        self.nodes[to].answered = self.nodes[to].asked;
                    } else {
                        let told = self.tells(to);
                        self.send(to, from, true, told);
                    }
                }
            }
        }
    }

    fn tells(&mut self, node: usize) -> Vec<(usize, u32)> {
        let most = (TELLS * (self.nodes.len() as f64 + 1.0).log10()).ceil() as u32;
        let telling = &mut self.nodes[node].telling;
        telling.retain(|(_, _, times)| *times < most);
        telling.iter_mut().take(TOLD_MOST).for_each(|(_, _, times)| *times += 1);
        telling.iter().take(TOLD_MOST).map(|(of, incarnation, _)| (*of, *incarnation)).collect()
    }

    fn send(&mut self, from: usize, to: usize, ack: bool, told: Vec<(usize, u32)>) {
        self.nodes[from].bytes += BYTES + HEADS + TOLD * told.len() as u64;
        if self.rng.f64() < self.links.loss {
            return;
        }
        let (least, most) = self.links.delay_ms;
        let in_ms = least + (most - least) * self.rng.f64();
        self.push(in_ms, Ev::Arrives { to, from, ack, told });
    }
}
