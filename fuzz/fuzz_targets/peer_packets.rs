//! Datagrams and calls from other routers: whatever the bytes, nothing panics and nothing grows past its
//! limit.
#![no_main]

use std::net::SocketAddr;

use libfuzzer_sys::fuzz_target;
use paddleproxy_peers::wire::{deployment, Generation, RouterIndex, FORMAT_VERSION, MAX_DATAGRAM_BYTES};
use paddleproxy_peers::{Action, Event, Peers, RouterInfo, Rules};

fuzz_target!(|bytes: &[u8]| {
    let rules = Rules {
        deployment: "fuzz".into(),
        router_count: 3,
        own: RouterIndex(0),
        probe_ms: 200.0,
        lease_ms: 1500.0,
        floor: 0.5,
        remember_ms: 60_000.0,
        resources: 2,
        slow_start_permits: 2,
    };
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let info = RouterInfo {
        name: "a".into(),
        address: address(7000),
        zone: 0,
        region: "r".into(),
        format: FORMAT_VERSION,
    };
    let mut peers = Peers::new(0.0, rules, info, vec![address(7001)], Generation(1), 1);
    // A valid header, so that the fuzzer reaches the decoding of the messages behind it.
    let mut packet = vec![0xb7, FORMAT_VERSION];
    packet.extend(deployment("fuzz").to_le_bytes());
    packet.extend([0; 4]);
    packet.extend(bytes);
    let mut sum = crc32fast::Hasher::new();
    sum.update(&packet[..6]);
    sum.update(&packet[10..]);
    packet[6..10].copy_from_slice(&sum.finalize().to_le_bytes());
    let mut actions = peers.handle(1.0, Event::Datagram { from: address(7002), bytes: &packet });
    let packets = [packet];
    actions.extend(peers.handle(2.0, Event::CallReceived { packets: &packets }));
    actions.extend(peers.handle(3.0, Event::CallAnswered { to: address(7001), packets: &packets }));
    for _ in 0..20 {
        let now_ms = peers.next_ms();
        actions.extend(peers.handle(now_ms, Event::Tick));
    }
    assert!(peers.members().count() <= 12);
    for action in actions {
        if let Action::Send { bytes, .. } = action {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        }
    }
});
