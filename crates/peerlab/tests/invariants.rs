//! What must hold at every instant, in virtual time.

use paddleproxy_peerlab::measure::rules;
use paddleproxy_peerlab::{random, Net};
use paddleproxy_peers::{ClusterStatus, RouterIndex, State};

fn started(routers: usize, seed: u64) -> Net {
    let mut net = Net::new(rules(), routers, 3, seed);
    (0..routers).for_each(|node| net.start(node));
    net
}

#[test]
fn nine_routers_come_to_one_view_and_share_the_whole() {
    let mut net = started(9, 1);
    assert!(net.play_until(5000.0, 20.0, Net::one_view), "no one view in 5 s");
    let shared = |net: &Net| {
        (0..9)
            .filter_map(|n| net.peers(n))
            .all(|p| p.consensus().allocation().is_some_and(|p| p.entries.len() == 9))
    };
    assert!(net.play_until(8000.0, 50.0, shared), "no page that seats all");
    net.play(net.now_ms + 4000.0);
    assert!(net.broken.is_empty(), "{:?}", net.broken);
    assert!(
        net.worst[0] > 0.99 && net.worst[1] > 0.99,
        "the whole is lent once pages are ripe: {:?}",
        net.worst
    );
    for node in 0..9 {
        assert_eq!(net.peers(node).unwrap().cluster_report().status, ClusterStatus::Majority);
    }
}

#[test]
fn random_scripts_break_nothing() {
    let count = std::env::var("SCRIPTS").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    let from = std::env::var("FROM").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    for seed in from..from + count {
        let script = random(seed, 3 + (seed as usize % 7), 10, 20_000.0);
        let (broken, _) = script.play(&rules());
        if !broken.is_empty() {
            let least = script.shrink(&rules());
            panic!(
                "seed {seed}: {:?}\nthe least script that breaks: {least:#?}\n{:?}",
                broken,
                least.play(&rules()).0
            );
        }
    }
}

#[test]
fn who_leaves_is_gone_in_a_second_and_who_is_killed_fails() {
    let mut net = started(9, 3);
    assert!(net.play_until(5000.0, 20.0, Net::one_view));
    net.leave(4);
    assert!(net.play_until(1000.0, 20.0, |net| net.know_down(4) == 8));
    let left = |p: &paddleproxy_peers::Peers| {
        p.members().any(|m| m.router == RouterIndex(4) && m.state == State::Left)
    };
    assert!((0..9).filter_map(|n| net.peers(n)).all(left));
    net.kill(5);
    assert!(net.play_until(6000.0, 20.0, |net| net.know_down(5) == 7));
    assert!(net.broken.is_empty(), "{:?}", net.broken);
}

/// `DEPTH` and `STATES` go further; the first figures here take some seconds.
#[test]
fn every_order_of_what_befalls_three_routers_keeps_the_whole() {
    let number = |name: &str, otherwise: u64| {
        std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(otherwise)
    };
    let (depth, most) = (number("DEPTH", 4), number("STATES", 20_000));
    let mut worst = 0.0f64;
    // From just before, within and after the first page, and from a calm fleet.
    for calm_ms in [400.0, 2000.0, 2400.0, 3000.0, 3800.0, 5000.0, 9000.0] {
        let found = paddleproxy_peerlab::enumerate::enumerate(&rules(), calm_ms, depth as usize, most);
        println!("after {calm_ms} ms, {depth} deep: {} states, worst sums {:?}", found.states, found.worst);
        assert_eq!(found.broken, None);
        worst = worst.max(found.worst[1]);
    }
    assert!(worst > 0.9, "something was lent: {worst}");
}
