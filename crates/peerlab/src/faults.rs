//! Fault scripts, written by hand or generated from a seed. A script that violates an invariant can be
//! shrunk.

use serde::{Deserialize, Serialize};

use crate::simulation::{LinkConditions, Simulation, Violation};

/// A fault, or an event that ends one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fault {
    Kill {
        node: usize,
    },
    /// Kills the process and loses the content of its state directory.
    KillAndForget {
        node: usize,
    },
    Start {
        node: usize,
    },
    Leave {
        node: usize,
    },
    /// Pauses the process, as SIGSTOP does.
    #[serde(rename = "Stop")]
    Pause {
        node: usize,
    },
    #[serde(rename = "Wake")]
    Resume {
        node: usize,
    },
    /// Cuts the link in one direction; with `calls_only`, datagrams still pass.
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
    /// Cuts these routers off from all others, in both directions.
    #[serde(rename = "Part")]
    Partition {
        nodes: Vec<usize>,
    },
    /// Sets the conditions of all links; see [`LinkConditions`].
    #[serde(rename = "Weather")]
    LinkConditions {
        loss: f64,
        #[serde(rename = "twice")]
        duplicated: f64,
        #[serde(rename = "spoilt")]
        corrupted: f64,
        #[serde(rename = "late")]
        late_share: f64,
        late_ms: f64,
    },
    /// Sets the router's demand for every resource.
    Need {
        node: usize,
        need: f64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    pub at_ms: f64,
    pub fault: Fault,
}

/// Faults in order of time, for a cluster of `routers` routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Script {
    pub routers: usize,
    pub seed: u64,
    pub faults: Vec<ScheduledFault>,
    pub end_ms: f64,
    /// After `end_ms` all links are healed and all routers resumed and started; they must converge within
    /// this time.
    #[serde(rename = "heals_ms")]
    pub converge_within_ms: f64,
}

impl Script {
    /// Runs the script. Returns the violated invariants and the simulation at its end.
    pub fn run(&self, rules: &paddleproxy_peers::Rules) -> (Vec<Violation>, Simulation) {
        let mut sim = Simulation::new(rules.clone(), self.routers, 3, self.seed);
        (0..self.routers).for_each(|node| sim.start(node));
        sim.run_until(4.0 * rules.lease_ms);
        let faults_from_ms = sim.now_ms;
        for scheduled in &self.faults {
            sim.run_until(faults_from_ms + scheduled.at_ms);
            apply_fault(&mut sim, &scheduled.fault);
        }
        sim.run_until(faults_from_ms + self.end_ms);
        sim.heal_all();
        sim.links = LinkConditions::default();
        for node in 0..self.routers {
            sim.resume(node);
            if !sim.running(node) {
                sim.start(node);
            }
        }
        if !sim.run_until_condition(self.converge_within_ms, 50.0, Simulation::converged) {
            let differences = sim.view_differences();
            let description = format!(
                "routers did not converge {:.0} ms after all faults were healed: {differences:?}",
                self.converge_within_ms
            );
            sim.violations.push(Violation { at_ms: sim.now_ms, description });
        }
        (sim.violations.clone(), sim)
    }

    /// Removes the faults without which the script still violates an invariant.
    pub fn shrink(&self, rules: &paddleproxy_peers::Rules) -> Script {
        let mut smallest = self.clone();
        let mut index = 0;
        while index < smallest.faults.len() {
            let mut candidate = smallest.clone();
            candidate.faults.remove(index);
            if candidate.run(rules).0.is_empty() {
                index += 1;
            } else {
                smallest = candidate;
            }
        }
        smallest
    }
}

/// Applies a fault to the simulation.
pub fn apply_fault(sim: &mut Simulation, fault: &Fault) {
    match fault {
        Fault::Kill { node } => sim.kill(*node),
        Fault::KillAndForget { node } => {
            sim.kill(*node);
            sim.forget(*node);
        }
        Fault::Start { node } if !sim.running(*node) => sim.start(*node),
        Fault::Start { .. } => {}
        Fault::Leave { node } => sim.leave(*node),
        Fault::Pause { node } => sim.pause(*node),
        Fault::Resume { node } => sim.resume(*node),
        Fault::Cut { from, to, calls_only } => sim.cut(*from, *to, *calls_only),
        Fault::Heal { from, to } => sim.heal(*from, *to),
        Fault::HealAll => sim.heal_all(),
        Fault::Partition { nodes } => {
            for inside in nodes {
                for outside in (0..sim.nodes.len()).filter(|node| !nodes.contains(node)) {
                    sim.cut(*inside, outside, false);
                    sim.cut(outside, *inside, false);
                }
            }
        }
        Fault::LinkConditions { loss, duplicated, corrupted, late_share, late_ms } => {
            let (loss, duplicated, corrupted, late_share, late_ms) =
                (*loss, *duplicated, *corrupted, *late_share, *late_ms);
            sim.links = LinkConditions {
                loss,
                duplicated,
                corrupted,
                late_share,
                late_ms,
                ..LinkConditions::default()
            };
        }
        Fault::Need { node, need } => sim.nodes[*node].need.iter_mut().for_each(|own| *own = *need),
    }
}

/// A random script, the same for the same seed.
pub fn random_script(seed: u64, routers: usize, faults: usize, end_ms: f64) -> Script {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut scheduled_faults = Vec::new();
    for _ in 0..faults {
        let at_ms = rng.f64() * end_ms;
        let node = rng.usize(..routers);
        let other = (node + 1 + rng.usize(..routers - 1)) % routers;
        let lasts_ms = 100.0 * 100f64.powf(rng.f64());
        let mut pair = |first: Fault, then: Option<Fault>| {
            scheduled_faults.push(ScheduledFault { at_ms, fault: first });
            scheduled_faults
                .extend(then.map(|fault| ScheduledFault { at_ms: (at_ms + lasts_ms).min(end_ms), fault }));
        };
        match rng.u8(..11) {
            0 => pair(Fault::Kill { node }, Some(Fault::Start { node })),
            1 => pair(Fault::KillAndForget { node }, Some(Fault::Start { node })),
            2 => pair(Fault::Leave { node }, Some(Fault::Start { node })),
            3 | 4 => pair(Fault::Pause { node }, Some(Fault::Resume { node })),
            5 => {
                let calls_only = rng.bool();
                let heal = Fault::Heal { from: node, to: other };
                pair(Fault::Cut { from: node, to: other, calls_only }, Some(heal));
            }
            6 | 7 => {
                let nodes = (0..routers).filter(|_| rng.bool()).collect();
                pair(Fault::Partition { nodes }, Some(Fault::HealAll));
            }
            8 => {
                let impaired = Fault::LinkConditions {
                    loss: rng.f64() * 0.4,
                    duplicated: rng.f64() * 0.3,
                    corrupted: rng.f64() * 0.1,
                    late_share: rng.f64() * 0.3,
                    late_ms: rng.f64() * 1500.0,
                };
                let unimpaired = Fault::LinkConditions {
                    loss: 0.0,
                    duplicated: 0.0,
                    corrupted: 0.0,
                    late_share: 0.0,
                    late_ms: 0.0,
                };
                pair(impaired, Some(unimpaired));
            }
            9 => pair(Fault::Need { node, need: rng.f64() * 20.0 }, None),
            _ => {
                // Kills all routers at once, or each with a probability of a third.
                let share = if rng.bool() { 1.0 } else { 0.33 };
                for node in (0..routers).filter(|_| rng.f64() < share).collect::<Vec<_>>() {
                    pair(Fault::Kill { node }, Some(Fault::Start { node }));
                }
            }
        }
    }
    scheduled_faults.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    Script { routers, seed, faults: scheduled_faults, end_ms, converge_within_ms: 8000.0 }
}
