//! Baseline failure detectors that the peer protocol is measured against: heartbeats from every router to
//! every other, and probes for which one missed answer is a failure. Both are minimal; links, pauses and
//! clocks are as in the simulation of the real protocol.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::simulation::{LinkConditions, DATAGRAM_HEADER_BYTES};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// Each router sends a heartbeat to every other in every period; five missed heartbeats are a failure.
    Heartbeats,
    /// Each router probes one other, drawn at random, in every period; a missed answer is a failure. Failures
    /// are spread with every datagram.
    Probes,
}

/// Number of periods without a heartbeat after which a router is marked failed.
const MISSED_HEARTBEATS: f64 = 5.0;
/// Size of a datagram without failure notices, and of one failure notice in it, in bytes.
const DATAGRAM_BYTES: u64 = 12;
const FAILURE_NOTICE_BYTES: u64 = 4;
/// Maximum number of failure notices in one datagram.
const MAX_NOTICES_PER_DATAGRAM: usize = 20;
/// How often a notice is sent, for each factor of ten in the number of routers.
const NOTICE_SENDS_PER_DECADE: f64 = 4.0;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Period { node: usize },
    Deliver { to: usize, from: usize, ack: bool, failures: Vec<(usize, u32)> },
    ProbeDeadline { node: usize, target: usize, seq: u64 },
    Resume { node: usize },
}

struct Node {
    up: bool,
    paused_until_ms: f64,
    last_received_ms: Vec<f64>,
    /// Incarnation in which each router is marked failed; `None` if it is alive.
    failed: Vec<Option<u32>>,
    incarnation: u32,
    /// Failure notices to spread: router, incarnation and how often the notice was sent.
    notices: Vec<(usize, u32, u32)>,
    last_answered_probe: u64,
    probes_sent: u64,
    bytes: u64,
}

/// One simulation of a baseline.
pub struct BaselineSimulation {
    pub now_ms: f64,
    nodes: Vec<Node>,
    links: LinkConditions,
    period_ms: f64,
    baseline: Baseline,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_sequence: u64,
    rng: fastrand::Rng,
    /// How often a running router was marked failed, over all observers.
    pub false_failures: u64,
}

impl BaselineSimulation {
    pub fn new(
        baseline: Baseline,
        routers: usize,
        period_ms: f64,
        links: LinkConditions,
        seed: u64,
    ) -> BaselineSimulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let node = |_| Node {
            up: true,
            paused_until_ms: 0.0,
            last_received_ms: vec![0.0; routers],
            failed: vec![None; routers],
            incarnation: 0,
            notices: Vec::new(),
            last_answered_probe: 0,
            probes_sent: 0,
            bytes: 0,
        };
        let nodes = (0..routers).map(node).collect();
        let starts: Vec<f64> = (0..routers).map(|_| rng.f64() * period_ms).collect();
        let mut sim = BaselineSimulation {
            now_ms: 0.0,
            nodes,
            links,
            period_ms,
            baseline,
            queue: BinaryHeap::new(),
            next_sequence: 0,
            rng,
            false_failures: 0,
        };
        starts.into_iter().enumerate().for_each(|(node, in_ms)| sim.schedule(in_ms, Event::Period { node }));
        sim
    }

    fn schedule(&mut self, in_ms: f64, event: Event) {
        self.next_sequence += 1;
        // Rounded up so that an event scheduled for an instant runs after that instant.
        let at_us = ((self.now_ms + in_ms) * 1e3).ceil() as u64 + 1;
        self.queue.push(Reverse((at_us, self.next_sequence, event)));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
    }

    pub fn pause(&mut self, node: usize, for_ms: f64) {
        self.nodes[node].paused_until_ms = self.now_ms + for_ms;
        self.schedule(for_ms, Event::Resume { node });
    }

    pub fn count_seeing_down(&self, target: usize) -> usize {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(observer, n)| *observer != target && n.up && n.failed[target].is_some())
            .count()
    }

    /// Bytes sent per router, averaged over all routers.
    pub fn mean_sent_bytes(&self) -> f64 {
        self.nodes.iter().map(|node| node.bytes as f64).sum::<f64>() / self.nodes.len() as f64
    }

    pub fn run_until(&mut self, until_ms: f64) {
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

    fn paused(&self, node: usize) -> bool {
        self.now_ms < self.nodes[node].paused_until_ms
    }

    fn mark_failed(&mut self, observer: usize, target: usize, incarnation: u32) {
        if self.nodes[observer].failed[target].is_some_and(|known| known >= incarnation) {
            return;
        }
        self.false_failures += u64::from(self.nodes[target].up);
        self.nodes[observer].failed[target] = Some(incarnation);
        self.nodes[observer].notices.push((target, incarnation, 0));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Resume { .. } => {}
            Event::Period { node } => {
                if !self.nodes[node].up {
                    return;
                }
                if self.paused(node) {
                    let in_ms = self.nodes[node].paused_until_ms - self.now_ms;
                    self.schedule(in_ms, Event::Period { node });
                    return;
                }
                let all = self.nodes.len();
                match self.baseline {
                    Baseline::Heartbeats => {
                        for to in (0..all).filter(|to| *to != node) {
                            self.send(node, to, false, Vec::new());
                        }
                        let late_ms = MISSED_HEARTBEATS * self.period_ms;
                        for target in (0..all).filter(|target| *target != node) {
                            if self.now_ms - self.nodes[node].last_received_ms[target] > late_ms {
                                self.mark_failed(node, target, 0);
                            }
                        }
                    }
                    Baseline::Probes => {
                        let target = (node + 1 + self.rng.usize(..all - 1)) % all;
                        self.nodes[node].probes_sent += 1;
                        let seq = self.nodes[node].probes_sent;
                        let failures = self.take_notices(node);
                        self.send(node, target, false, failures);
                        self.schedule(self.period_ms * 0.9, Event::ProbeDeadline { node, target, seq });
                    }
                }
                self.schedule(self.period_ms, Event::Period { node });
            }
            Event::ProbeDeadline { node, target, seq } => {
                // A router does not account for its own pauses, so it decides as soon as it is resumed.
                if self.nodes[node].up
                    && self.nodes[node].probes_sent == seq
                    && self.nodes[node].last_answered_probe != seq
                {
                    let incarnation = self.nodes[node].failed[target].unwrap_or(0);
                    self.mark_failed(node, target, incarnation.max(self.nodes[target].incarnation));
                }
            }
            Event::Deliver { to, from, ack, failures } => {
                if !self.nodes[to].up {
                    return;
                }
                if self.paused(to) {
                    let in_ms = self.nodes[to].paused_until_ms - self.now_ms;
                    self.schedule(in_ms, Event::Deliver { to, from, ack, failures });
                    return;
                }
                self.nodes[to].last_received_ms[from] = self.now_ms;
                self.nodes[to].failed[from] = None;
                for (target, incarnation) in failures {
                    if target == to {
                        // Refutes the failure with a higher incarnation. Routers that receive a datagram
                        // directly from this one clear the failure.
                        self.nodes[to].incarnation = self.nodes[to].incarnation.max(incarnation + 1);
                    } else {
                        self.mark_failed(to, target, incarnation);
                    }
                }
                if self.baseline == Baseline::Probes {
                    if ack {
                        self.nodes[to].last_answered_probe = self.nodes[to].probes_sent;
                    } else {
                        let failures = self.take_notices(to);
                        self.send(to, from, true, failures);
                    }
                }
            }
        }
    }

    fn take_notices(&mut self, node: usize) -> Vec<(usize, u32)> {
        let max_sends = (NOTICE_SENDS_PER_DECADE * (self.nodes.len() as f64 + 1.0).log10()).ceil() as u32;
        let notices = &mut self.nodes[node].notices;
        notices.retain(|(_, _, times)| *times < max_sends);
        notices.iter_mut().take(MAX_NOTICES_PER_DATAGRAM).for_each(|(_, _, times)| *times += 1);
        notices
            .iter()
            .take(MAX_NOTICES_PER_DATAGRAM)
            .map(|(target, incarnation, _)| (*target, *incarnation))
            .collect()
    }

    fn send(&mut self, from: usize, to: usize, ack: bool, failures: Vec<(usize, u32)>) {
        self.nodes[from].bytes +=
            DATAGRAM_BYTES + DATAGRAM_HEADER_BYTES + FAILURE_NOTICE_BYTES * failures.len() as u64;
        if self.rng.f64() < self.links.loss {
            return;
        }
        let (min_ms, max_ms) = self.links.delay_ms;
        let in_ms = min_ms + (max_ms - min_ms) * self.rng.f64();
        self.schedule(in_ms, Event::Deliver { to, from, ack, failures });
    }
}
