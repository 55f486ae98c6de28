//! Power cuts, torn and lost writes, full disks and flipped bits: what is recovered is always the state after some number
//! of writes, nothing acknowledged is missing, and no wrong value is ever read.

use std::collections::BTreeMap;

use fastrand::Rng;
use paddleproxy_store::format::{Key, Kind, Op};
use paddleproxy_store::memory::{Faults, Memory};
use paddleproxy_store::store::{inspect, Options, Store};
use paddleproxy_store::{Error, Medium};

type State = BTreeMap<Key, Vec<u8>>;

const OPTIONS: Options = Options { router: 3, segment_bytes: 400, dead_factor: 2.0 };

fn state<M: Medium>(store: &Store<M>) -> State {
    let kinds = [Kind::List, Kind::Kept, Kind::Tokened, Kind::Word];
    let of = |kind| store.entries_of(kind).map(move |(key, value)| (Key::new(kind, key), value.to_vec()));
    kinds.into_iter().flat_map(of).collect()
}

fn apply(state: &mut State, op: &Op) {
    match op {
        Op::Put { key, value } => drop(state.insert(key.clone(), value.clone())),
        Op::Delete { key } => drop(state.remove(key)),
        Op::SnapshotEnds => {}
    }
}

fn op(chance: &mut Rng) -> Op {
    let kind = [Kind::List, Kind::Kept, Kind::Tokened, Kind::Word][chance.usize(..4)];
    let key = Key::new(kind, [chance.u8(..6)]);
    if chance.u8(..4) == 0 {
        return Op::Delete { key };
    }
    let length = chance.usize(..40);
    let value = std::iter::repeat_with(|| chance.u8(..)).take(length).collect();
    Op::Put { key, value }
}

/// A small store with some history, and its state after each number of writes.
fn grown(writes: usize, seed: u64, compacts: bool) -> (Memory, Vec<State>) {
    let (memory, mut chance) = (Memory::new(), Rng::with_seed(seed));
    let mut store = Store::open(memory.clone(), OPTIONS).unwrap();
    let mut states = vec![State::new()];
    for _ in 0..writes {
        let op = op(&mut chance);
        let mut next = states.last().unwrap().clone();
        apply(&mut next, &op);
        states.push(next);
        store.write(&[op]).unwrap();
        if compacts && store.should_compact() {
            store.compact().unwrap();
        }
    }
    store.commit().unwrap();
    (memory, states)
}

/// Opens what is there; the number of writes that its state contains.
fn reopened(memory: &Memory, states: &[State]) -> (Store<Memory>, usize) {
    let store = Store::open(memory.clone(), OPTIONS).unwrap();
    let count = store.stats().next_seq as usize;
    assert!(count < states.len(), "{count} writes of {}", states.len() - 1);
    assert_eq!(state(&store), states[count], "after {count} writes");
    (store, count)
}

#[test]
fn cut_at_every_byte_the_state_is_one_of_before() {
    let (memory, states) = grown(60, 1, false);
    let names = memory.clone().names().unwrap();
    let last = names.last().unwrap().clone();
    let (mut cuts, mut fewest) = (0, usize::MAX);
    for name in &names {
        let whole = memory.clone().read(name).unwrap().len();
        for cut in 0..whole {
            let copy = memory.copy();
            copy.modify(name, |bytes| bytes.truncate(cut));
            let (mut store, count) = reopened(&copy, &states);
            // It goes on from there, and a second opening finds the same.
            let more = Op::Put { key: Key::new(Kind::Word, b"after"), value: b"cut".to_vec() };
            store.write(&[more]).unwrap();
            store.commit().unwrap();
            drop(store);
            let again = Store::open(copy.clone(), OPTIONS).unwrap();
            assert_eq!(again.get(&Key::new(Kind::Word, b"after")), Some(&b"cut"[..]), "{name} cut at {cut}");
            assert_eq!(again.stats().next_seq as usize, count + 1);
            if *name == last {
                fewest = fewest.min(count);
            }
            cuts += 1;
        }
    }
    println!("{cuts} cuts; the last segment alone takes no more than {} writes", states.len() - 1 - fewest);
    assert!(cuts > 1000 && fewest > 0);
}

#[test]
fn a_flipped_bit_anywhere_is_found() {
    for compacts in [false, true] {
        let (memory, states) = grown(60, 2, compacts);
        let mut flips = 0;
        for name in memory.clone().names().unwrap() {
            let whole = memory.clone().read(&name).unwrap().len();
            for at in 0..whole {
                let copy = memory.copy();
                copy.modify(&name, |bytes| bytes[at] ^= 1 << (at % 8));
                let found = inspect(&mut copy.clone()).unwrap();
                let last = found.next_seq as usize == states.len() - 1;
                assert!(
                    !found.findings.is_empty() || found.obsolete.contains(&name),
                    "{name}: byte {at} goes unseen"
                );
                let store = Store::open(copy.clone(), OPTIONS);
                match store {
                    Ok(store) => {
                        let count = store.stats().next_seq as usize;
                        // Where a snapshot is lost and the log before it is gone, nothing is left of it.
                        let empty = compacts && store.is_empty();
                        assert!(empty || state(&store) == states[count], "{name}: byte {at}");
                        assert!(!last || state(&store) == states[states.len() - 1]);
                    }
                    Err(Error::OtherRouter { .. }) => panic!("{name}: byte {at}: a checksum must fail first"),
                    Err(other) => panic!("{name}: byte {at}: {other}"),
                }
                flips += 1;
            }
        }
        println!("{flips} flipped bits, all found");
        assert!(flips > 500);
    }
}

/// Random work with a crash at a random call, again and again, against a model in memory.
fn crashes(ops: usize, seed: u64) -> (usize, usize) {
    let mut chance = Rng::with_seed(seed);
    let memory = Memory::new();
    let mut states = vec![State::new()];
    let (mut done, mut crashes, mut acknowledged) = (0, 0, 0usize);
    // States that a write which failed may have left: never acknowledged, and cut off by the next that succeeds.
    let mut maybe: Vec<State> = Vec::new();
    while done < ops {
        let faults = match chance.u8(..4) {
            0 => Faults { full_after: Some(chance.u64(1..60)), ..Faults::default() },
            1 => Faults { sync_fails_after: Some(chance.u64(1..60)), ..Faults::default() },
            _ => Faults { power_loss_after: Some(chance.u64(1..80)), ..Faults::default() },
        };
        // Opening itself may be cut off, also twice in a row.
        if chance.u8(..4) == 0 {
            memory.set_faults(Faults { power_loss_after: Some(chance.u64(1..12)), ..Faults::default() });
            drop(Store::open(memory.clone(), OPTIONS));
            memory.crash(&mut chance);
            crashes += 1;
        }
        memory.set_faults(Faults::default());
        let mut store = Store::open(memory.clone(), OPTIONS).unwrap();
        let count = store.stats().next_seq as usize;
        states.append(&mut maybe);
        assert!(count >= acknowledged, "{acknowledged} writes were acknowledged, {count} are there");
        assert!(count < states.len(), "{count} of {}", states.len() - 1);
        assert!(state(&store) == states[count], "the state after {count} writes is another");
        assert!(!store.findings.iter().any(|finding| !finding.torn) || crashes > 0);
        states.truncate(count + 1);
        acknowledged = count;
        memory.set_faults(faults);
        for _ in 0..chance.usize(1..60) {
            let ops: Vec<_> = (0..chance.usize(1..4)).map(|_| op(&mut chance)).collect();
            match store.write(&ops) {
                Ok(()) => {
                    maybe.clear();
                    for op in &ops {
                        let mut next = states.last().unwrap().clone();
                        apply(&mut next, op);
                        states.push(next);
                    }
                    done += ops.len();
                }
                // What failed may be there in part after a crash; it was never acknowledged, and a later write in
                // the same life starts after what is good.
                Err(Error::Poisoned) => break,
                Err(_) => {
                    maybe.clear();
                    for op in &ops {
                        let mut next = maybe.last().or(states.last()).unwrap().clone();
                        apply(&mut next, op);
                        maybe.push(next);
                    }
                    if chance.bool() {
                        break;
                    }
                    continue;
                }
            }
            if chance.u8(..3) == 0 && store.commit().is_ok() {
                acknowledged = states.len() - 1;
            }
            if store.should_compact() && store.compact().is_err() && chance.bool() {
                break;
            }
            assert!(state(&store) == *states.last().unwrap());
        }
        drop(store);
        memory.crash(&mut chance);
        crashes += 1;
    }
    (done, crashes)
}

#[test]
fn no_crash_loses_what_was_acknowledged() {
    let wanted = std::env::var("STORE_OPS").ok().and_then(|ops| ops.parse().ok()).unwrap_or(6000usize);
    let (mut ops, mut crashed) = (0, 0);
    for seed in 0..(wanted / 2000).max(1) as u64 {
        let (done, times) = crashes(2000, seed);
        (ops, crashed) = (ops + done, crashed + times);
    }
    println!("{ops} operations, {crashed} crashes");
    assert!(crashed > 50);
}

#[test]
fn a_full_disk_is_no_end_and_a_failed_sync_is_one() {
    let memory = Memory::new();
    let mut store = Store::open(memory.clone(), OPTIONS).unwrap();
    let put = |number: u8| Op::Put { key: Key::new(Kind::Word, [number]), value: vec![number; 9] };
    store.write(&[put(1)]).unwrap();
    memory.set_faults(Faults { full_after: Some(0), ..Faults::default() });
    assert!(matches!(store.write(&[put(2)]), Err(Error::Io { .. })));
    memory.set_faults(Faults::default());
    store.write(&[put(3)]).unwrap();
    store.commit().unwrap();
    memory.set_faults(Faults { sync_fails_after: Some(0), ..Faults::default() });
    store.write(&[put(4)]).unwrap();
    assert!(store.commit().is_err());
    memory.set_faults(Faults::default());
    assert!(matches!(store.commit(), Err(Error::Poisoned)));
    assert!(matches!(store.write(&[put(5)]), Err(Error::Poisoned)));
    drop(store);
    memory.crash(&mut Rng::with_seed(1));
    let store = Store::open(memory, OPTIONS).unwrap();
    let has = |number: u8| store.get(&Key::new(Kind::Word, [number])).is_some();
    assert!(has(1) && !has(2) && has(3) && !has(5));
}

#[test]
fn another_router_s_store_and_too_long_a_record_are_refused() {
    let memory = Memory::new();
    let mut store = Store::open(memory.clone(), OPTIONS).unwrap();
    let long = Op::Put { key: Key::new(Kind::Word, b"long"), value: vec![0; 65 << 20] };
    assert!(matches!(store.write(&[long]), Err(Error::TooLong { .. })));
    let big = Op::Put { key: Key::new(Kind::Word, b"big"), value: vec![7; 16 << 20] };
    store.write(std::slice::from_ref(&big)).unwrap();
    store.commit().unwrap();
    drop(store);
    let other = Store::open(memory.clone(), Options { router: 4, ..OPTIONS });
    assert!(matches!(other, Err(Error::OtherRouter { found: 3, own: 4 })));
    let store = Store::open(memory, OPTIONS).unwrap();
    assert_eq!(store.get(&Key::new(Kind::Word, b"big")).map(<[u8]>::len), Some(16 << 20));
}

#[test]
fn a_store_of_the_version_before_is_read() {
    let (memory, states) = grown(20, 5, false);
    for name in memory.clone().names().unwrap() {
        memory.modify(&name, |bytes| {
            // Version 1 had the same records and a head without flags.
            bytes[8] = 1;
            let sum = crc32fast::hash(&bytes[..24]);
            bytes[24..28].copy_from_slice(&sum.to_le_bytes());
        });
    }
    let (_, count) = reopened(&memory, &states);
    assert_eq!(count, 20);
}
