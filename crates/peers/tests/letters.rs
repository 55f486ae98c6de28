//! Letters of routers: what is written is read, and nothing else is.

use std::net::SocketAddr;

use paddleproxy_peers::words::{
    decode, deployment, encode, Letter, Life, Place, Rumour, Word, Wrong, DATAGRAM,
};
use paddleproxy_peers::{About, Action, Event, Page, Peers, Rules, Seat, State};
use proptest::prelude::*;

fn about(port: u16) -> About {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    About { name: "a".into(), address, zone: 0, region: "r".into(), format: 2 }
}

fn letter() -> Letter {
    let rumour = Rumour {
        place: Place(3),
        life: Life(7),
        incarnation: 2,
        state: State::Suspect,
        by: Place(1),
        about: Some(about(9)),
    };
    let seat = |place| Seat { place: Place(place), life: Life(1), parts: vec![1, 30_000] };
    let page = Page { number: 5, pieces: 2, seats: vec![seat(0), seat(1)], extra: vec![7; 9] };
    let words = vec![Word::Ping { seq: 9, deaf: true }, Word::Rumour(rumour), Word::Chosen { page }];
    Letter { from: Place(1), life: Life(4), incarnation: 1, places: 9, digest: 77, page: 5, words }
}

#[test]
fn a_letter_is_read_as_written_and_any_flipped_bit_is_found() {
    let ours = deployment("paris");
    let bytes = encode(ours, &letter());
    assert_eq!(decode(ours, &bytes, DATAGRAM), Ok(letter()));
    for bit in 0..bytes.len() * 8 {
        let mut spoilt = bytes.clone();
        spoilt[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(ours, &spoilt, DATAGRAM).is_err(), "bit {bit}");
    }
    for cut in 0..bytes.len() {
        assert!(decode(ours, &bytes[..cut], DATAGRAM).is_err(), "cut at {cut}");
    }
    assert_eq!(decode(deployment("lyon"), &bytes, DATAGRAM), Err(Wrong::Deployment));
}

#[test]
fn formats_have_a_version_and_bounds_are_kept() {
    let ours = deployment("paris");
    let resum = |mut bytes: Vec<u8>| {
        let mut sum = crc32fast::Hasher::new();
        sum.update(&bytes[..6]);
        sum.update(&bytes[10..]);
        bytes[6..10].copy_from_slice(&sum.finalize().to_le_bytes());
        bytes
    };
    let mut older = encode(ours, &letter());
    older[1] = 1;
    assert_eq!(decode(ours, &resum(older), DATAGRAM), Ok(letter()), "the format before is read");
    let mut newer = encode(ours, &letter());
    newer[1] = 3;
    assert_eq!(decode(ours, &resum(newer), DATAGRAM), Err(Wrong::Format));
    let mut longer = encode(ours, &letter());
    longer.extend([1, 2, 3]);
    assert_eq!(decode(ours, &resum(longer), DATAGRAM), Ok(letter()), "what a newer one adds is passed over");
    let mut far = letter();
    if let Word::Rumour(rumour) = &mut far.words[1] {
        rumour.about.as_mut().unwrap().address = "8.8.8.8:1".parse().unwrap();
    }
    assert_eq!(decode(ours, &encode(ours, &far), DATAGRAM), Err(Wrong::Bounds));
    let mut much = letter();
    if let Word::Chosen { page } = &mut much.words[2] {
        page.seats[0].parts[1] = 60_000;
    }
    assert_eq!(decode(ours, &encode(ours, &much), DATAGRAM), Err(Wrong::Bounds), "more than the whole");
}

fn machine() -> Peers {
    let rules = Rules {
        deployment: "paris".into(),
        places: 3,
        own: Place(0),
        probe_ms: 200.0,
        lease_ms: 1500.0,
        floor: 0.5,
        remember_ms: 60_000.0,
        things: 2,
        pieces: 2,
    };
    Peers::new(0.0, rules, about(7000), vec![SocketAddr::from(([127, 0, 0, 1], 7001))], Life(1), 1)
}

proptest! {
    /// Random bytes are counted and dropped; nothing is sent for them and no member comes of them.
    #[test]
    fn random_bytes_do_nothing(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        let mut peers = machine();
        let from = SocketAddr::from(([127, 0, 0, 1], 7002));
        let actions = peers.handle(1.0, Event::Datagram { from, bytes: &bytes });
        prop_assert_eq!(actions, Vec::<Action>::new());
        prop_assert_eq!(peers.members().count(), 0);
        prop_assert_eq!(peers.counts.wrong.values().sum::<u64>(), 1);
    }

    /// Well-formed letters of any content never make it send a datagram that is too long, nor hold more members than
    /// places allow.
    #[test]
    fn letters_of_any_content_stay_bounded(
        rows in proptest::collection::vec((any::<u16>(), any::<u64>(), any::<u32>(), 0..4u8, any::<u16>()), 1..20),
        ticks in 1..50u32,
    ) {
        let mut peers = machine();
        let from = SocketAddr::from(([127, 0, 0, 1], 7002));
        let mut sent = Vec::new();
        for (place, life, incarnation, state, port) in rows {
            let state = [State::Alive, State::Suspect, State::Failed, State::Left][usize::from(state)];
            let about = Some(about(port.max(1)));
            let rumour = Rumour { place: Place(place), life: Life(life), incarnation, state, by: Place(1), about };
            let words = vec![Word::Rumour(rumour), Word::Ping { seq: 1, deaf: false }];
            let letter = Letter { from: Place(1), life: Life(life), incarnation, places: 3, digest: 0, page: life, words };
            let bytes = encode(deployment("paris"), &letter);
            sent.extend(peers.handle(1.0, Event::Datagram { from, bytes: &bytes }));
        }
        for tick in 0..ticks {
            let now_ms = peers.next_ms().max(f64::from(tick));
            sent.extend(peers.handle(now_ms, Event::Tick));
        }
        prop_assert!(peers.members().count() <= 12);
        for action in sent {
            if let Action::Send { bytes, .. } = action {
                prop_assert!(bytes.len() <= DATAGRAM);
            }
        }
    }
}
