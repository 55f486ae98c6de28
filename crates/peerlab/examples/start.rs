//! How a herd of so many routers that start at once comes to one view: `--example start SIZE`.

use paddleproxy_peerlab::measure::rules;
use paddleproxy_peerlab::Net;

fn main() {
    let routers = std::env::args().nth(1).and_then(|word| word.parse().ok()).unwrap_or(100);
    let mut net = Net::new(rules(), routers, 6, 1);
    net.checks = false;
    (0..routers).for_each(|node| net.start(node));
    let began = std::time::Instant::now();
    for second in 1..=40 {
        net.play(f64::from(second) * 1000.0);
        let knows = |node| {
            net.peers(node).map_or(0, |peers| peers.members().filter(|m| m.state.is_running()).count())
        };
        let (least, most) = ((0..routers).map(knows).min(), (0..routers).map(knows).max());
        let bytes = net.bytes();
        let (sent, called) = bytes.values().fold((0, 0), |sum, row| (sum.0 + row.0, sum.1 + row.1));
        let failed: u64 = (0..routers).filter_map(|n| net.peers(n)).map(|p| p.counts.failed).sum();
        let pages = net.peers(0).map_or(0, |p| p.consensus().number());
        let one = net.one_view();
        println!(
            "{second} s: knows {least:?} to {most:?}, one view {one}, page {pages}, {failed} called failed, \
             {} steps, {} KB sent, {} KB in calls, {:.1} s real",
            net.steps,
            sent / 1000,
            called / 1000,
            began.elapsed().as_secs_f64()
        );
        if second % 5 != 0 {
            continue;
        }
        let sum = |of: &dyn Fn(&paddleproxy_peers::Peers) -> u64| {
            (0..routers).filter_map(|n| net.peers(n)).map(of).sum::<u64>()
        };
        println!(
            "   rumours that wait {}, calls {}, letters {}, probes {}, refuted {}",
            sum(&|p| p.queued_gossip() as u64),
            sum(&|p| p.counts.calls),
            sum(&|p| p.counts.sent),
            sum(&|p| p.counts.probes),
            sum(&|p| p.counts.refuted)
        );
    }
}
