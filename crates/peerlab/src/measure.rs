//! How long it takes, what it costs, how often it errs; beside the baselines, in one run.

use paddleproxy_peers::{RouterIndex, Rules};
use serde::Serialize;

use crate::baselines::{Plain, Play};
use crate::net::{Links, Net};

/// Figures of one way of knowing each other at one size. Simulated links and clocks.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub way: &'static str,
    pub routers: usize,
    /// Time until a killed router is known to the first, half, 99 in 100 and all, in ms; none within 30 s.
    pub first_ms: Option<f64>,
    pub half_ms: Option<f64>,
    pub most_ms: Option<f64>,
    pub all_ms: Option<f64>,
    /// Bytes a second that a router sends while nothing happens, heads of datagrams included; and by calls.
    pub bytes_per_s: f64,
    pub call_bytes_per_s: f64,
    /// Routers called failed that ran, an hour, over all who called them so; by share of datagrams lost, with and
    /// without a tenth of the routers pausing for up to a second.
    pub false_an_hour: Vec<(f64, bool, f64)>,
    /// Time from the end of a cut into halves of 10 s to one view of all, in ms.
    pub heal_ms: Option<f64>,
    /// Largest sum of what all may use, of each thing.
    pub worst_sums: Vec<f64>,
}

/// How long and how often is measured.
#[derive(Clone, Debug)]
pub struct Plan {
    pub sizes: Vec<usize>,
    pub losses: Vec<f64>,
    /// Virtual time over which false failures are counted, in ms.
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

/// Settings that the measurements are made with.
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

/// Step of the clock at which times are read, in ms.
const STEP_MS: f64 = 20.0;
const LONGEST_MS: f64 = 30_000.0;

pub fn measure(plan: &Plan, mut say: impl FnMut(&Row)) -> Vec<Row> {
    let mut rows = Vec::new();
    for routers in &plan.sizes {
        for way in ["fellows", "heartbeats", "probes"] {
            let row = match way {
                "fellows" => fellows(plan, *routers),
                "heartbeats" => plain(plan, Plain::Heartbeats, way, *routers),
                _ => plain(plan, Plain::Probes, way, *routers),
            };
            say(&row);
            rows.push(row);
        }
    }
    rows
}

fn median(mut times: Vec<f64>) -> Option<f64> {
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied()
}

/// Shares of the others at which times are read.
fn marks(others: usize) -> [usize; 4] {
    [1, others.div_ceil(2), (others * 99).div_ceil(100), others]
}

fn fellows(plan: &Plan, routers: usize) -> Row {
    let start = |seed: u64| {
        let mut net = Net::new(rules(), routers, 6, seed);
        net.checks = routers <= 10;
        (0..routers).for_each(|node| net.start(node));
        // A herd's start is not measured here.
        net.play_until(60_000.0, 100.0, Net::one_view);
        net.play(net.now_ms + 10_000.0);
        net
    };
    let mut net = start(plan.seed);
    let before = net.bytes();
    let from_ms = net.now_ms;
    net.play(from_ms + 20_000.0);
    let over_s = (net.now_ms - from_ms) / 1e3;
    let (mut sent, mut called) = (0, 0);
    for (node, (bytes, calls)) in net.bytes() {
        let (old, old_calls) = before.get(&node).copied().unwrap_or_default();
        (sent, called) = (sent + bytes - old, called + calls - old_calls);
    }
    let each = |sum: u64| sum as f64 / over_s / routers as f64;
    let mut times: [Vec<f64>; 4] = Default::default();
    for kill in 0..plan.kills {
        let victim = (kill * 7919 + 3) % routers;
        net.kill(victim);
        let from_ms = net.now_ms;
        let mut row = 0;
        let marks = marks(routers - 1);
        while row < 4 && net.now_ms < from_ms + LONGEST_MS {
            net.play(net.now_ms + STEP_MS);
            let know = net.know_down(victim);
            while row < 4 && know >= marks[row] {
                times[row].push(net.now_ms - from_ms);
                row += 1;
            }
        }
        net.start(victim);
        net.play_until(20_000.0, 100.0, Net::one_view);
    }
    let worst_small = net.worst.clone();
    // A cut into halves, then healed.
    let half: Vec<usize> = (0..routers / 2).collect();
    for inside in &half {
        for outside in routers / 2..routers {
            net.cut(*inside, outside, false);
            net.cut(outside, *inside, false);
        }
    }
    net.play(net.now_ms + 10_000.0);
    net.heal_all();
    let healed_ms = net.now_ms;
    let heal_ms =
        net.play_until(LONGEST_MS, 50.0, Net::one_view).then_some(()).map(|()| net.now_ms - healed_ms);
    let worst_sums = net.worst.iter().zip(&worst_small).map(|(a, b)| a.max(*b)).collect();
    let mut false_an_hour = Vec::new();
    for (row, loss) in plan.losses.iter().enumerate() {
        for pauses in [false, true] {
            let mut net = start(plan.seed + 10 + row as u64);
            net.links = Links { loss: *loss, ..Links::default() };
            net.seen.clear();
            let from_ms = net.now_ms;
            while net.now_ms < from_ms + plan.false_ms {
                if pauses {
                    // A tenth is stopped for up to a second, every five.
                    for _ in 0..routers.div_ceil(10) {
                        let node = net.rng.usize(..routers);
                        net.stop(node);
                    }
                    let for_ms = 200.0 + 800.0 * net.rng.f64();
                    net.play(net.now_ms + for_ms);
                    (0..routers).for_each(|node| net.wake(node));
                }
                net.play(net.now_ms + if pauses { 4000.0 } else { 5000.0 });
            }
            let failed = net.seen.iter().filter(|seen| seen.to == paddleproxy_peers::State::Failed).count();
            false_an_hour.push((*loss, pauses, failed as f64 * 3.6e6 / plan.false_ms));
        }
    }
    let [first, half, most, all] = times.map(median);
    Row {
        way: "fellows",
        routers,
        first_ms: first,
        half_ms: half,
        most_ms: most,
        all_ms: all,
        bytes_per_s: each(sent),
        call_bytes_per_s: each(called),
        false_an_hour,
        heal_ms,
        worst_sums,
    }
}

fn plain(plan: &Plan, plain: Plain, way: &'static str, routers: usize) -> Row {
    let period_ms = rules().probe_ms;
    let mut times: [Vec<f64>; 4] = Default::default();
    let mut bytes_per_s = 0.0;
    for kill in 0..plan.kills {
        let seed = plan.seed + kill as u64;
        let mut play = Play::new(plain, routers, period_ms, Links::default(), seed);
        play.play(4000.0);
        bytes_per_s = play.bytes() / 4.0;
        let victim = (kill * 7919 + 3) % routers;
        play.kill(victim);
        let mut row = 0;
        let marks = marks(routers - 1);
        while row < 4 && play.now_ms < 4000.0 + LONGEST_MS {
            play.play(play.now_ms + STEP_MS);
            let know = play.know_down(victim);
            while row < 4 && know >= marks[row] {
                times[row].push(play.now_ms - 4000.0);
                row += 1;
            }
        }
        // All to all among many is too dear to be played often.
        if plain == Plain::Heartbeats && routers > 100 {
            break;
        }
    }
    let mut false_an_hour = Vec::new();
    let false_ms =
        if plain == Plain::Heartbeats && routers > 100 { 10_000.0 } else { plan.false_ms.min(60_000.0) };
    for (row, loss) in plan.losses.iter().enumerate() {
        for pauses in [false, true] {
            let links = Links { loss: *loss, ..Links::default() };
            let mut play = Play::new(plain, routers, period_ms, links, plan.seed + 10 + row as u64);
            play.play(2000.0);
            play.false_failures = 0;
            let mut rng = fastrand::Rng::with_seed(plan.seed);
            while play.now_ms < 2000.0 + false_ms {
                if pauses {
                    for _ in 0..routers.div_ceil(10) {
                        play.pause(rng.usize(..routers), 200.0 + 800.0 * rng.f64());
                    }
                }
                play.play(play.now_ms + 5000.0);
            }
            false_an_hour.push((*loss, pauses, play.false_failures as f64 * 3.6e6 / false_ms));
        }
    }
    let [first, half, most, all] = times.map(median);
    Row {
        way,
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

/// A table of the rows.
pub fn text(rows: &[Row]) -> String {
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
        let wrong: Vec<_> = row
            .false_an_hour
            .iter()
            .map(|(loss, pauses, count)| format!("{loss}{}: {count:.0}", if *pauses { "p" } else { "" }))
            .collect();
        let sums: Vec<_> = row.worst_sums.iter().map(|sum| format!("{sum:.3}")).collect();
        out += &format!(
            "{:<11} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8.0} {:>8.0} {:>8}  {:<14} {}\n",
            row.way,
            row.routers,
            ms(row.first_ms),
            ms(row.half_ms),
            ms(row.most_ms),
            ms(row.all_ms),
            row.bytes_per_s,
            row.call_bytes_per_s,
            ms(row.heal_ms),
            sums.join(" "),
            wrong.join(", ")
        );
    }
    out
}
