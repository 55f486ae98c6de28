//! Shows how a cluster of SIZE routers that start at the same time converges:
//! `cargo run --release -p paddleproxy-peerlab --example start SIZE`.

use paddleproxy_peerlab::measure::rules;
use paddleproxy_peerlab::Simulation;

fn main() {
    let routers = std::env::args().nth(1).and_then(|arg| arg.parse().ok()).unwrap_or(100);
    let mut sim = Simulation::new(rules(), routers, 6, 1);
    sim.check_every_step = false;
    (0..routers).for_each(|node| sim.start(node));
    let began = std::time::Instant::now();
    for second in 1..=40 {
        sim.run_until(f64::from(second) * 1000.0);
        let running_peers = |node| {
            sim.peers(node).map_or(0, |peers| peers.members().filter(|m| m.state.is_running()).count())
        };
        let (min, max) = ((0..routers).map(running_peers).min(), (0..routers).map(running_peers).max());
        let bytes = sim.sent_bytes();
        let (sent, called) = bytes.values().fold((0, 0), |sum, row| (sum.0 + row.0, sum.1 + row.1));
        let failed: u64 = (0..routers).filter_map(|n| sim.peers(n)).map(|p| p.counts.failed).sum();
        let allocation = sim.peers(0).map_or(0, |p| p.consensus().number());
        let converged = sim.converged();
        println!(
            "{second} s: peers known: {min:?} to {max:?}, converged: {converged}, allocation {allocation}, \
             {failed} marked failed, {} steps, {} KB sent, {} KB in calls, {:.1} s wall time",
            sim.steps,
            sent / 1000,
            called / 1000,
            began.elapsed().as_secs_f64()
        );
        if second % 5 != 0 {
            continue;
        }
        let sum = |counter: &dyn Fn(&paddleproxy_peers::Peers) -> u64| {
            (0..routers).filter_map(|n| sim.peers(n)).map(counter).sum::<u64>()
        };
        println!(
            "   queued gossip {}, calls {}, packets {}, probes {}, refuted {}",
            sum(&|p| p.queued_gossip() as u64),
            sum(&|p| p.counts.calls),
            sum(&|p| p.counts.sent),
            sum(&|p| p.counts.probes),
            sum(&|p| p.counts.refuted)
        );
    }
}
