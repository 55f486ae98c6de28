//! Datagrams and calls of other routers: whatever the bytes, nothing panics, nothing grows past its bound.
#![no_main]

use std::net::SocketAddr;

use libfuzzer_sys::fuzz_target;
use paddleproxy_peers::words::{deployment, Life, Place, DATAGRAM, FORMAT};
use paddleproxy_peers::{About, Action, Event, Peers, Rules};

fuzz_target!(|bytes: &[u8]| {
    let rules = Rules {
        deployment: "fuzz".into(),
        places: 3,
        own: Place(0),
        probe_ms: 200.0,
        lease_ms: 1500.0,
        floor: 0.5,
        remember_ms: 60_000.0,
        things: 2,
        pieces: 2,
    };
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let about = About { name: "a".into(), address: address(7000), zone: 0, region: "r".into(), format: FORMAT };
    let mut peers = Peers::new(0.0, rules, about, vec![address(7001)], Life(1), 1);
    // With a head that fits, so that the words behind it are reached.
    let mut letter = vec![0xb7, FORMAT];
    letter.extend(deployment("fuzz").to_le_bytes());
    letter.extend([0; 4]);
    letter.extend(bytes);
    let mut sum = crc32fast::Hasher::new();
    sum.update(&letter[..6]);
    sum.update(&letter[10..]);
    letter[6..10].copy_from_slice(&sum.finalize().to_le_bytes());
    let mut actions = peers.handle(1.0, Event::Datagram { from: address(7002), bytes: &letter });
    let letters = [letter];
    actions.extend(peers.handle(2.0, Event::Called { letters: &letters }));
    actions.extend(peers.handle(3.0, Event::Answered { to: address(7001), letters: &letters }));
    for _ in 0..20 {
        let now_ms = peers.next_ms();
        actions.extend(peers.handle(now_ms, Event::Tick));
    }
    assert!(peers.members().count() <= 12);
    for action in actions {
        if let Action::Send { bytes, .. } = action {
            assert!(bytes.len() <= DATAGRAM);
        }
    }
});
