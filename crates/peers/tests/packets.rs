//! Packets between routers: decoding returns what was encoded and rejects everything else.

use std::net::SocketAddr;

use paddleproxy_peers::wire::{
    decode, deployment, encode, DecodeError, Generation, Message, Packet, RouterIndex, StateUpdate,
    MAX_DATAGRAM_BYTES,
};
use paddleproxy_peers::{Action, Allocation, AllocationEntry, Event, Peers, RouterInfo, Rules, State};
use proptest::prelude::*;

fn info(port: u16) -> RouterInfo {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    RouterInfo { name: "a".into(), address, zone: 0, region: "r".into(), format: 2 }
}

fn packet() -> Packet {
    let update = StateUpdate {
        router: RouterIndex(3),
        generation: Generation(7),
        incarnation: 2,
        state: State::Suspect,
        reporter: RouterIndex(1),
        info: Some(info(9)),
    };
    let entry = |router| AllocationEntry {
        router: RouterIndex(router),
        generation: Generation(1),
        parts: vec![1, 30_000],
    };
    let allocation =
        Allocation { number: 5, slow_start_permits: 2, entries: vec![entry(0), entry(1)], extra: vec![7; 9] };
    let messages = vec![
        Message::Ping { seq: 9, silent_to_sender: true },
        Message::Update(update),
        Message::Chosen { allocation },
    ];
    Packet {
        from: RouterIndex(1),
        generation: Generation(4),
        incarnation: 1,
        router_count: 9,
        digest: 77,
        allocation: 5,
        messages,
    }
}

#[test]
fn packets_round_trip_and_any_flipped_bit_or_truncation_is_rejected() {
    let own = deployment("paris");
    let bytes = encode(own, &packet());
    assert_eq!(decode(own, &bytes, MAX_DATAGRAM_BYTES), Ok(packet()));
    for bit in 0..bytes.len() * 8 {
        let mut corrupted = bytes.clone();
        corrupted[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(own, &corrupted, MAX_DATAGRAM_BYTES).is_err(), "bit {bit}");
    }
    for cut in 0..bytes.len() {
        assert!(decode(own, &bytes[..cut], MAX_DATAGRAM_BYTES).is_err(), "cut at {cut}");
    }
    assert_eq!(decode(deployment("lyon"), &bytes, MAX_DATAGRAM_BYTES), Err(DecodeError::Deployment));
}

#[test]
fn format_versions_and_bounds_are_checked() {
    let own = deployment("paris");
    let with_checksum = |mut bytes: Vec<u8>| {
        let mut sum = crc32fast::Hasher::new();
        sum.update(&bytes[..6]);
        sum.update(&bytes[10..]);
        bytes[6..10].copy_from_slice(&sum.finalize().to_le_bytes());
        bytes
    };
    let mut older = encode(own, &packet());
    older[1] = 1;
    assert_eq!(
        decode(own, &with_checksum(older), MAX_DATAGRAM_BYTES),
        Ok(packet()),
        "the previous format is read"
    );
    let mut newer = encode(own, &packet());
    newer[1] = 3;
    assert_eq!(decode(own, &with_checksum(newer), MAX_DATAGRAM_BYTES), Err(DecodeError::Format));
    let mut longer = encode(own, &packet());
    longer.extend([1, 2, 3]);
    assert_eq!(
        decode(own, &with_checksum(longer), MAX_DATAGRAM_BYTES),
        Ok(packet()),
        "fields added by a newer version are ignored"
    );
    let mut remote = packet();
    if let Message::Update(update) = &mut remote.messages[1] {
        update.info.as_mut().unwrap().address = "8.8.8.8:1".parse().unwrap();
    }
    assert_eq!(decode(own, &encode(own, &remote), MAX_DATAGRAM_BYTES), Err(DecodeError::Bounds));
    let mut oversized = packet();
    if let Message::Chosen { allocation } = &mut oversized.messages[2] {
        allocation.entries[0].parts[1] = 60_000;
    }
    assert_eq!(
        decode(own, &encode(own, &oversized), MAX_DATAGRAM_BYTES),
        Err(DecodeError::Bounds),
        "parts add up to more than the whole"
    );
}

fn new_peers() -> Peers {
    let rules = Rules {
        deployment: "paris".into(),
        router_count: 3,
        own: RouterIndex(0),
        probe_ms: 200.0,
        lease_ms: 1500.0,
        floor: 0.5,
        remember_ms: 60_000.0,
        resources: 2,
        slow_start_permits: 2,
    };
    Peers::new(0.0, rules, info(7000), vec![SocketAddr::from(([127, 0, 0, 1], 7001))], Generation(1), 1)
}

proptest! {
    /// Random bytes are counted and dropped: nothing is sent in response and no member is added.
    #[test]
    fn random_bytes_have_no_effect(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        let mut peers = new_peers();
        let from = SocketAddr::from(([127, 0, 0, 1], 7002));
        let actions = peers.handle(1.0, Event::Datagram { from, bytes: &bytes });
        prop_assert_eq!(actions, Vec::<Action>::new());
        prop_assert_eq!(peers.members().count(), 0);
        prop_assert_eq!(peers.counts.rejected.values().sum::<u64>(), 1);
    }

    /// Well-formed packets with arbitrary content never cause a datagram above the size limit, nor more
    /// members than the number of configured routers allows.
    #[test]
    fn arbitrary_packets_stay_within_limits(
        updates in proptest::collection::vec(
            (any::<u16>(), any::<u64>(), any::<u32>(), 0..4u8, any::<u16>()),
            1..20,
        ),
        ticks in 1..50u32,
    ) {
        let mut peers = new_peers();
        let from = SocketAddr::from(([127, 0, 0, 1], 7002));
        let mut sent = Vec::new();
        for (router, generation, incarnation, state, port) in updates {
            let state = [State::Alive, State::Suspect, State::Failed, State::Left][usize::from(state)];
            let info = Some(info(port.max(1)));
            let update = StateUpdate {
                router: RouterIndex(router),
                generation: Generation(generation),
                incarnation,
                state,
                reporter: RouterIndex(1),
                info,
            };
            let messages = vec![Message::Update(update), Message::Ping { seq: 1, silent_to_sender: false }];
            let packet = Packet {
                from: RouterIndex(1),
                generation: Generation(generation),
                incarnation,
                router_count: 3,
                digest: 0,
                allocation: generation,
                messages,
            };
            let bytes = encode(deployment("paris"), &packet);
            sent.extend(peers.handle(1.0, Event::Datagram { from, bytes: &bytes }));
        }
        for tick in 0..ticks {
            let now_ms = peers.next_ms().max(f64::from(tick));
            sent.extend(peers.handle(now_ms, Event::Tick));
        }
        prop_assert!(peers.members().count() <= 12);
        for action in sent {
            if let Action::Send { bytes, .. } = action {
                prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            }
        }
    }
}
