//! Scripts of faults: written, or drawn from a seed; a failing one is made smaller.

use serde::{Deserialize, Serialize};

use crate::net::{Broken, Links, Net};

/// One fault, and what ends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fault {
    Kill {
        node: usize,
    },
    /// Killed, and what its state directory held is lost.
    KillAndForget {
        node: usize,
    },
    Start {
        node: usize,
    },
    Leave {
        node: usize,
    },
    Stop {
        node: usize,
    },
    Wake {
        node: usize,
    },
    /// One way; `calls_only` lets datagrams through.
    Cut {
        from: usize,
        to: usize,
        calls_only: bool,
    },
    Heal {
        from: usize,
        to: usize,
    },
    HealAll,
    /// These can't be heard by the others, nor hear them.
    Part {
        nodes: Vec<usize>,
    },
    Weather {
        loss: f64,
        twice: f64,
        spoilt: f64,
        late: f64,
        late_ms: f64,
    },
    Need {
        node: usize,
        need: f64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct When {
    pub at_ms: f64,
    pub fault: Fault,
}

/// Faults in order of time, for so many routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Script {
    pub routers: usize,
    pub seed: u64,
    pub faults: Vec<When>,
    pub end_ms: f64,
    /// After the end everything is healed, woken and started, and has so long to come to one view.
    pub heals_ms: f64,
}

impl Script {
    /// Plays it; what was broken, and the net as it stood.
    pub fn play(&self, rules: &paddleproxy_peers::Rules) -> (Vec<Broken>, Net) {
        let mut net = Net::new(rules.clone(), self.routers, 3, self.seed);
        (0..self.routers).for_each(|node| net.start(node));
        net.play(4.0 * rules.lease_ms);
        let begins_ms = net.now_ms;
        for when in &self.faults {
            net.play(begins_ms + when.at_ms);
            befall(&mut net, &when.fault);
        }
        net.play(begins_ms + self.end_ms);
        net.heal_all();
        net.links = Links::default();
        for node in 0..self.routers {
            net.wake(node);
            if !net.running(node) {
                net.start(node);
            }
        }
        if !net.play_until(self.heals_ms, 50.0, Net::one_view) {
            let why = net.differences();
            let what = format!("no one view {:.0} ms after everything was healed: {why:?}", self.heals_ms);
            net.broken.push(Broken { at_ms: net.now_ms, what });
        }
        (net.broken.clone(), net)
    }

    /// Leaves out what is not needed to break it.
    pub fn shrink(&self, rules: &paddleproxy_peers::Rules) -> Script {
        let mut least = self.clone();
        let mut row = 0;
        while row < least.faults.len() {
            let mut fewer = least.clone();
            fewer.faults.remove(row);
            if fewer.play(rules).0.is_empty() {
                row += 1;
            } else {
                least = fewer;
            }
        }
        least
    }
}

pub fn befall(net: &mut Net, fault: &Fault) {
    match fault {
        Fault::Kill { node } => net.kill(*node),
        Fault::KillAndForget { node } => {
            net.kill(*node);
            net.forget(*node);
        }
        Fault::Start { node } if !net.running(*node) => net.start(*node),
        Fault::Start { .. } => {}
        Fault::Leave { node } => net.leave(*node),
        Fault::Stop { node } => net.stop(*node),
        Fault::Wake { node } => net.wake(*node),
        Fault::Cut { from, to, calls_only } => net.cut(*from, *to, *calls_only),
        Fault::Heal { from, to } => net.heal(*from, *to),
        Fault::HealAll => net.heal_all(),
        Fault::Part { nodes } => {
            for inside in nodes {
                for outside in (0..net.nodes.len()).filter(|node| !nodes.contains(node)) {
                    net.cut(*inside, outside, false);
                    net.cut(outside, *inside, false);
                }
            }
        }
        Fault::Weather { loss, twice, spoilt, late, late_ms } => {
            let (loss, twice, spoilt, late, late_ms) = (*loss, *twice, *spoilt, *late, *late_ms);
            net.links = Links { loss, twice, spoilt, late, late_ms, ..Links::default() };
        }
        Fault::Need { node, need } => net.nodes[*node].need.iter_mut().for_each(|own| *own = *need),
    }
}

/// A script drawn from a seed.
pub fn random(seed: u64, routers: usize, faults: usize, end_ms: f64) -> Script {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut rows = Vec::new();
    for _ in 0..faults {
        let at_ms = rng.f64() * end_ms;
        let node = rng.usize(..routers);
        let other = (node + 1 + rng.usize(..routers - 1)) % routers;
        let lasts_ms = 100.0 * 100f64.powf(rng.f64());
        let mut pair = |first: Fault, then: Option<Fault>| {
            rows.push(When { at_ms, fault: first });
            rows.extend(then.map(|fault| When { at_ms: (at_ms + lasts_ms).min(end_ms), fault }));
        };
        match rng.u8(..11) {
            0 => pair(Fault::Kill { node }, Some(Fault::Start { node })),
            1 => pair(Fault::KillAndForget { node }, Some(Fault::Start { node })),
            2 => pair(Fault::Leave { node }, Some(Fault::Start { node })),
            3 | 4 => pair(Fault::Stop { node }, Some(Fault::Wake { node })),
            5 => {
                let calls_only = rng.bool();
                let heal = Fault::Heal { from: node, to: other };
                pair(Fault::Cut { from: node, to: other, calls_only }, Some(heal));
            }
            6 | 7 => {
                let nodes = (0..routers).filter(|_| rng.bool()).collect();
                pair(Fault::Part { nodes }, Some(Fault::HealAll));
            }
            8 => {
                let weather = Fault::Weather {
                    loss: rng.f64() * 0.4,
                    twice: rng.f64() * 0.3,
                    spoilt: rng.f64() * 0.1,
                    late: rng.f64() * 0.3,
                    late_ms: rng.f64() * 1500.0,
                };
                let calm = Fault::Weather { loss: 0.0, twice: 0.0, spoilt: 0.0, late: 0.0, late_ms: 0.0 };
                pair(weather, Some(calm));
            }
            9 => pair(Fault::Need { node, need: rng.f64() * 20.0 }, None),
            _ => {
                // All at once, or a third.
                let share = if rng.bool() { 1.0 } else { 0.33 };
                for node in (0..routers).filter(|_| rng.f64() < share).collect::<Vec<_>>() {
                    pair(Fault::Kill { node }, Some(Fault::Start { node }));
                }
            }
        }
    }
    rows.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    Script { routers, seed, faults: rows, end_ms, heals_ms: 8000.0 }
}
