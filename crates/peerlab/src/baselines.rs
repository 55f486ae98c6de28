//! What the routers' way is measured beside: heartbeats from all to all, and plain probes by which one missed answer
//! is a failure. Both as small as they can be; links, pauses and clocks as for the real machine.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::simulation::{LinkConditions, DATAGRAM_HEADER_BYTES};

/// Which baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// Each tells each other in every period; five missed are a failure.
    Heartbeats,
    /// Each asks one other in every period, by chance; no answer is a failure, told with every datagram.
    Probes,
}

/// Heartbeats that may be missed.
const MISSED_HEARTBEATS: f64 = 5.0;
/// Bytes of a plain datagram, and of one failure told in it.
const DATAGRAM_BYTES: u64 = 12;
const FAILURE_NOTICE_BYTES: u64 = 4;
/// Failures told in one datagram at most, and how often each is failures for each tenfold of routers.
const MAX_NOTICES_PER_DATAGRAM: usize = 20;
const NOTICE_SENDS_PER_DECADE: f64 = 4.0;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Period { node: usize },
    Arrives { to: usize, from: usize, ack: bool, failures: Vec<(usize, u32)> },
    ProbeDeadline { node: usize, of: usize, seq: u64 },
    Resume { node: usize },
}

struct Node {
    up: bool,
    paused_until_ms: f64,
    last_received_ms: Vec<f64>,
    /// Incarnation by which each is held for failed; none: alive.
    failed: Vec<Option<u32>>,
    incarnation: u32,
    notices: Vec<(usize, u32, u32)>,
    last_answered_probe: u64,
    probes_sent: u64,
    bytes: u64,
}

/// One play of a baseline.
pub struct BaselineSimulation {
    pub now_ms: f64,
    nodes: Vec<Node>,
    links: LinkConditions,
    period_ms: f64,
    baseline: Baseline,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_sequence: u64,
    rng: fastrand::Rng,
    /// Times at which somebody called a running router failed.
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
        // Rounded up: what waits for a moment comes after it.
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

    pub fn count_seeing_down(&self, of: usize) -> usize {
        self.nodes.iter().enumerate().filter(|(at, n)| *at != of && n.up && n.failed[of].is_some()).count()
    }

    /// Bytes that a router sent on average.
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

    fn mark_failed(&mut self, at: usize, of: usize, incarnation: u32) {
        if self.nodes[at].failed[of].is_some_and(|known| known >= incarnation) {
            return;
        }
        self.false_failures += u64::from(self.nodes[of].up);
        self.nodes[at].failed[of] = Some(incarnation);
        self.nodes[at].notices.push((of, incarnation, 0));
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
                        for of in (0..all).filter(|of| *of != node) {
                            if self.now_ms - self.nodes[node].last_received_ms[of] > late_ms {
                                self.mark_failed(node, of, 0);
                            }
                        }
                    }
                    Baseline::Probes => {
                        let of = (node + 1 + self.rng.usize(..all - 1)) % all;
                        self.nodes[node].probes_sent += 1;
                        let seq = self.nodes[node].probes_sent;
                        let failures = self.take_notices(node);
                        self.send(node, of, false, failures);
                        self.schedule(self.period_ms * 0.9, Event::ProbeDeadline { node, of, seq });
                    }
                }
                self.schedule(self.period_ms, Event::Period { node });
            }
            Event::ProbeDeadline { node, of, seq } => {
                // Without doubt of itself it judges as soon as it runs again.
                if self.nodes[node].up
                    && self.nodes[node].probes_sent == seq
                    && self.nodes[node].last_answered_probe != seq
                {
                    let incarnation = self.nodes[node].failed[of].unwrap_or(0);
                    self.mark_failed(node, of, incarnation.max(self.nodes[of].incarnation));
                }
            }
            Event::Arrives { to, from, ack, failures } => {
                if !self.nodes[to].up {
                    return;
                }
                if self.paused(to) {
                    let in_ms = self.nodes[to].paused_until_ms - self.now_ms;
                    self.schedule(in_ms, Event::Arrives { to, from, ack, failures });
                    return;
                }
                self.nodes[to].last_received_ms[from] = self.now_ms;
                self.nodes[to].failed[from] = None;
                for (of, incarnation) in failures {
                    if of == to {
                        // It says that it lives; a newer word undoes the old at whoever hears it first-hand.
                        self.nodes[to].incarnation = self.nodes[to].incarnation.max(incarnation + 1);
                    } else {
                        self.mark_failed(to, of, incarnation);
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
            .map(|(of, incarnation, _)| (*of, *incarnation))
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
        self.schedule(in_ms, Event::Arrives { to, from, ack, failures });
    }
}
