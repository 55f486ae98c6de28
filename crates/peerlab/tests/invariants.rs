//! Invariants of the peer protocol in virtual time: granted shares never sum to more than the whole, views
//! converge.

use paddleproxy_peerlab::measure::rules;
use paddleproxy_peerlab::{random_script, Simulation};
use paddleproxy_peers::{ClusterStatus, RouterIndex, State};

fn started(routers: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::new(rules(), routers, 3, seed);
    (0..routers).for_each(|node| sim.start(node));
    sim
}

#[test]
fn nine_routers_converge_and_share_the_whole() {
    let mut sim = started(9, 1);
    assert!(sim.run_until_condition(5000.0, 20.0, Simulation::converged), "not converged in 5 s");
    let shared = |sim: &Simulation| {
        (0..9)
            .filter_map(|n| sim.peers(n))
            .all(|p| p.consensus().allocation().is_some_and(|allocation| allocation.entries.len() == 9))
    };
    assert!(sim.run_until_condition(8000.0, 50.0, shared), "no allocation with an entry for each router");
    sim.run_until(sim.now_ms + 4000.0);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    assert!(
        sim.largest_share_sums[0] > 0.99 && sim.largest_share_sums[1] > 0.99,
        "granted shares must reach the whole once allocations take effect: {:?}",
        sim.largest_share_sums
    );
    for node in 0..9 {
        assert_eq!(sim.peers(node).unwrap().cluster_report().status, ClusterStatus::Majority);
    }
}

/// The environment variables `FROM` and `SCRIPTS` select the seeds.
#[test]
fn random_scripts_violate_no_invariant() {
    let count = std::env::var("SCRIPTS").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    let from = std::env::var("FROM").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    for seed in from..from + count {
        let script = random_script(seed, 3 + (seed as usize % 7), 10, 20_000.0);
        let (violations, _) = script.run(&rules());
        if !violations.is_empty() {
            let smallest = script.shrink(&rules());
            panic!(
                "seed {seed}: {:?}\nthe smallest script that violates an invariant: {smallest:#?}\n{:?}",
                violations,
                smallest.run(&rules()).0
            );
        }
    }
}

#[test]
fn leaving_is_known_in_one_second_and_a_killed_router_is_seen_down() {
    let mut sim = started(9, 3);
    assert!(sim.run_until_condition(5000.0, 20.0, Simulation::converged));
    sim.leave(4);
    assert!(sim.run_until_condition(1000.0, 20.0, |sim| sim.count_seeing_down(4) == 8));
    let has_left = |p: &paddleproxy_peers::Peers| {
        p.members().any(|m| m.router == RouterIndex(4) && m.state == State::Left)
    };
    assert!((0..9).filter_map(|n| sim.peers(n)).all(has_left));
    sim.kill(5);
    assert!(sim.run_until_condition(6000.0, 20.0, |sim| sim.count_seeing_down(5) == 7));
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

/// The environment variables `DEPTH` and `STATES` extend the enumeration; the defaults take some seconds.
#[test]
fn every_order_of_events_at_three_routers_keeps_the_share_sum_at_most_one() {
    let env_number =
        |name: &str, default: u64| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default);
    let (depth, max_states) = (env_number("DEPTH", 4), env_number("STATES", 20_000));
    let mut largest = 0.0f64;
    // Starts just before, during and after the first allocation, and in a stable cluster.
    for warmup_ms in [400.0, 2000.0, 2400.0, 3000.0, 3800.0, 5000.0, 9000.0] {
        let found =
            paddleproxy_peerlab::enumerate::enumerate(&rules(), warmup_ms, depth as usize, max_states);
        println!(
            "after {warmup_ms} ms, depth {depth}: {} states, largest share sums {:?}",
            found.states, found.largest_share_sums
        );
        assert_eq!(found.violation, None);
        largest = largest.max(found.largest_share_sums[1]);
    }
    assert!(largest > 0.9, "no share was granted: {largest}");
}
