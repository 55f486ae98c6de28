//! Measures detection time, traffic and false failures of the peer protocol and of the baselines, in one run.

use paddleproxy_peers::{RouterIndex, Rules};
use serde::Serialize;

use crate::baselines::{Baseline, BaselineSimulation};
use crate::simulation::{LinkConditions, Simulation};

/// Measurements of one protocol at one cluster size, with simulated links and clocks.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    #[serde(rename = "way")]
    pub protocol: &'static str,
    pub routers: usize,
    /// Time until the first, half, 99% (`most_ms`) and all of the other routers see a killed router as down,
    /// in ms; `None` if that takes more than 30 s.
    pub first_ms: Option<f64>,
    pub half_ms: Option<f64>,
    pub most_ms: Option<f64>,
    pub all_ms: Option<f64>,
    /// Bytes per second that a router sends in datagrams, headers included, and in calls while the cluster is
    /// stable.
    pub bytes_per_s: f64,
    pub call_bytes_per_s: f64,
    /// False failures per hour, summed over all observers: a running router that is marked failed. Each entry
    /// has the share of lost datagrams, whether a tenth of the routers is paused for up to a second at times,
    /// and the rate.
    pub false_an_hour: Vec<(f64, bool, f64)>,
    /// Time in which the cluster converges after a partition into halves for 10 s, in ms.
    pub heal_ms: Option<f64>,
    /// Largest sum of granted shares, for each resource.
    pub worst_sums: Vec<f64>,
}

/// Sizes, loss rates and durations to measure.
#[derive(Clone, Debug)]
pub struct Plan {
    pub sizes: Vec<usize>,
    pub losses: Vec<f64>,
    /// Virtual time in which false failures are counted, in ms.
    pub false_ms: f64,
    pub kills: usize,
    pub seed: u64,
}

impl Plan {
    pub fn full() -> Plan {
        Plan {
            sizes: vec![10, 100, 300, 1000],
            losses: vec![0.0, 0.05, 0.2],
            false_ms: 120_000.0,
            kills: 10,
            seed: 1,
        }
    }

    pub fn quick() -> Plan {
        Plan { sizes: vec![10, 100], losses: vec![0.0, 0.05], false_ms: 20_000.0, kills: 3, seed: 1 }
    }
}

/// Protocol settings of all measurements.
pub fn rules() -> Rules {
    Rules {
        deployment: "lab".into(),
        router_count: 0,
        own: RouterIndex(0),
        probe_ms: 200.0,
        lease_ms: 1500.0,
        floor: 0.5,
        remember_ms: 600_000.0,
        resources: 2,
        slow_start_permits: 4,
    }
}

/// Interval at which the views are sampled, in ms.
const SAMPLE_MS: f64 = 20.0;
const MAX_WAIT_MS: f64 = 30_000.0;

pub fn measure(plan: &Plan, mut report: impl FnMut(&Row)) -> Vec<Row> {
    let mut rows = Vec::new();
    for routers in &plan.sizes {
        for protocol in ["fellows", "heartbeats", "probes"] {
            let row = match protocol {
                "fellows" => measure_peers(plan, *routers),
                "heartbeats" => measure_baseline(plan, Baseline::Heartbeats, protocol, *routers),
                _ => measure_baseline(plan, Baseline::Probes, protocol, *routers),
            };
            report(&row);
            rows.push(row);
        }
    }
    rows
}

fn median(mut times: Vec<f64>) -> Option<f64> {
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied()
}

/// Numbers of routers that must see a router as down: the first, half, 99% and all of the others.
fn thresholds(others: usize) -> [usize; 4] {
    [1, others.div_ceil(2), (others * 99).div_ceil(100), others]
}

fn measure_peers(plan: &Plan, routers: usize) -> Row {
    let start = |seed: u64| {
        let mut sim = Simulation::new(rules(), routers, 6, seed);
        sim.check_every_step = routers <= 10;
        (0..routers).for_each(|node| sim.start(node));
        // The simultaneous start of all routers is not part of the measurement.
        sim.run_until_condition(60_000.0, 100.0, Simulation::converged);
        sim.run_until(sim.now_ms + 10_000.0);
        sim
    };
    let mut sim = start(plan.seed);
    let before = sim.sent_bytes();
    let from_ms = sim.now_ms;
    sim.run_until(from_ms + 20_000.0);
    let over_s = (sim.now_ms - from_ms) / 1e3;
    let (mut sent, mut called) = (0, 0);
    for (node, (bytes, calls)) in sim.sent_bytes() {
        let (old, old_calls) = before.get(&node).copied().unwrap_or_default();
        (sent, called) = (sent + bytes - old, called + calls - old_calls);
    }
    let per_router_s = |sum: u64| sum as f64 / over_s / routers as f64;
    let mut times: [Vec<f64>; 4] = Default::default();
    for kill in 0..plan.kills {
        let victim = (kill * 7919 + 3) % routers;
        sim.kill(victim);
        let from_ms = sim.now_ms;
        let mut reached = 0;
        let thresholds = thresholds(routers - 1);
        while reached < 4 && sim.now_ms < from_ms + MAX_WAIT_MS {
            sim.run_until(sim.now_ms + SAMPLE_MS);
            let informed = sim.count_seeing_down(victim);
            while reached < 4 && informed >= thresholds[reached] {
                times[reached].push(sim.now_ms - from_ms);
                reached += 1;
            }
        }
        sim.start(victim);
        sim.run_until_condition(20_000.0, 100.0, Simulation::converged);
    }
    let sums_before_cut = sim.largest_share_sums.clone();
    // Partitions the cluster into halves, then heals all links.
    let half: Vec<usize> = (0..routers / 2).collect();
    for inside in &half {
        for outside in routers / 2..routers {
            sim.cut(*inside, outside, false);
            sim.cut(outside, *inside, false);
        }
    }
    sim.run_until(sim.now_ms + 10_000.0);
    sim.heal_all();
    let healed_ms = sim.now_ms;
    let heal_ms = sim
        .run_until_condition(MAX_WAIT_MS, 50.0, Simulation::converged)
        .then_some(())
        .map(|()| sim.now_ms - healed_ms);
    let worst_sums = sim.largest_share_sums.iter().zip(&sums_before_cut).map(|(a, b)| a.max(*b)).collect();
    let mut false_an_hour = Vec::new();
    for (row, loss) in plan.losses.iter().enumerate() {
        for pauses in [false, true] {
            let mut sim = start(plan.seed + 10 + row as u64);
            sim.links = LinkConditions { loss: *loss, ..LinkConditions::default() };
            sim.state_changes.clear();
            let from_ms = sim.now_ms;
            while sim.now_ms < from_ms + plan.false_ms {
                if pauses {
                    // Pauses a tenth of the routers for up to a second, every five seconds.
                    for _ in 0..routers.div_ceil(10) {
                        let node = sim.rng.usize(..routers);
                        sim.pause(node);
                    }
                    let for_ms = 200.0 + 800.0 * sim.rng.f64();
                    sim.run_until(sim.now_ms + for_ms);
                    (0..routers).for_each(|node| sim.resume(node));
                }
                sim.run_until(sim.now_ms + if pauses { 4000.0 } else { 5000.0 });
            }
            let failed = sim
                .state_changes
                .iter()
                .filter(|change| change.to == paddleproxy_peers::State::Failed)
                .count();
            false_an_hour.push((*loss, pauses, failed as f64 * 3.6e6 / plan.false_ms));
        }
    }
    let [first, half, most, all] = times.map(median);
    Row {
        protocol: "fellows",
        routers,
        first_ms: first,
        half_ms: half,
        most_ms: most,
        all_ms: all,
        bytes_per_s: per_router_s(sent),
        call_bytes_per_s: per_router_s(called),
        false_an_hour,
        heal_ms,
        worst_sums,
    }
}

fn measure_baseline(plan: &Plan, baseline: Baseline, protocol: &'static str, routers: usize) -> Row {
    let period_ms = rules().probe_ms;
    let mut times: [Vec<f64>; 4] = Default::default();
    let mut bytes_per_s = 0.0;
    for kill in 0..plan.kills {
        let seed = plan.seed + kill as u64;
        let mut sim = BaselineSimulation::new(baseline, routers, period_ms, LinkConditions::default(), seed);
        sim.run_until(4000.0);
        bytes_per_s = sim.mean_sent_bytes() / 4.0;
        let victim = (kill * 7919 + 3) % routers;
        sim.kill(victim);
        let mut reached = 0;
        let thresholds = thresholds(routers - 1);
        while reached < 4 && sim.now_ms < 4000.0 + MAX_WAIT_MS {
            sim.run_until(sim.now_ms + SAMPLE_MS);
            let informed = sim.count_seeing_down(victim);
            while reached < 4 && informed >= thresholds[reached] {
                times[reached].push(sim.now_ms - 4000.0);
                reached += 1;
            }
        }
        // With more than 100 routers, heartbeats from all to all take too long to simulate more than once.
        if baseline == Baseline::Heartbeats && routers > 100 {
            break;
        }
    }
    let mut false_an_hour = Vec::new();
    let false_ms = if baseline == Baseline::Heartbeats && routers > 100 {
        10_000.0
    } else {
        plan.false_ms.min(60_000.0)
    };
    for (row, loss) in plan.losses.iter().enumerate() {
        for pauses in [false, true] {
            let links = LinkConditions { loss: *loss, ..LinkConditions::default() };
            let mut sim =
                BaselineSimulation::new(baseline, routers, period_ms, links, plan.seed + 10 + row as u64);
            sim.run_until(2000.0);
            sim.false_failures = 0;
            let mut rng = fastrand::Rng::with_seed(plan.seed);
            while sim.now_ms < 2000.0 + false_ms {
                if pauses {
                    for _ in 0..routers.div_ceil(10) {
                        sim.pause(rng.usize(..routers), 200.0 + 800.0 * rng.f64());
                    }
                }
                sim.run_until(sim.now_ms + 5000.0);
            }
            false_an_hour.push((*loss, pauses, sim.false_failures as f64 * 3.6e6 / false_ms));
        }
    }
    let [first, half, most, all] = times.map(median);
    Row {
        protocol,
        routers,
        first_ms: first,
        half_ms: half,
        most_ms: most,
        all_ms: all,
        bytes_per_s,
        call_bytes_per_s: 0.0,
        false_an_hour,
        heal_ms: None,
        worst_sums: Vec::new(),
    }
}

/// Formats the rows as a table.
pub fn table(rows: &[Row]) -> String {
    let ms = |value: Option<f64>| value.map_or("-".to_owned(), |ms| format!("{ms:.0}"));
    let mut out = format!(
        "{:<11} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8}  {:<14} {}\n",
        "way",
        "routers",
        "first",
        "half",
        "99%",
        "all ms",
        "B/s",
        "calls",
        "heal ms",
        "worst sums",
        "false failures an hour: loss, with pauses"
    );
    for row in rows {
        let false_failures: Vec<_> = row
            .false_an_hour
            .iter()
            .map(|(loss, pauses, count)| format!("{loss}{}: {count:.0}", if *pauses { "p" } else { "" }))
            .collect();
        let sums: Vec<_> = row.worst_sums.iter().map(|sum| format!("{sum:.3}")).collect();
        out += &format!(
            "{:<11} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8.0} {:>8.0} {:>8}  {:<14} {}\n",
            row.protocol,
            row.routers,
            ms(row.first_ms),
            ms(row.half_ms),
            ms(row.most_ms),
            ms(row.all_ms),
            row.bytes_per_s,
            row.call_bytes_per_s,
            ms(row.heal_ms),
            sums.join(" "),
            false_failures.join(", ")
        );
    }
    out
}
