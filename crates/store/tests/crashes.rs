//! Power losses, torn and lost writes, full disks and flipped bits: the recovered state is always the one
//! after some number of writes, no acknowledged write is missing, and no wrong value is read.

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
    let entries_of =
        |kind| store.entries_of(kind).map(move |(key, value)| (Key::new(kind, key), value.to_vec()));
    kinds.into_iter().flat_map(entries_of).collect()
}

fn apply(state: &mut State, op: &Op) {
    match op {
        Op::Put { key, value } => drop(state.insert(key.clone(), value.clone())),
        Op::Delete { key } => drop(state.remove(key)),
        Op::SnapshotEnds => {}
    }
}

fn random_op(rng: &mut Rng) -> Op {
    let kind = [Kind::List, Kind::Kept, Kind::Tokened, Kind::Word][rng.usize(..4)];
    let key = Key::new(kind, [rng.u8(..6)]);
    if rng.u8(..4) == 0 {
        return Op::Delete { key };
    }
    let length = rng.usize(..40);
    let value = std::iter::repeat_with(|| rng.u8(..)).take(length).collect();
    Op::Put { key, value }
}

/// A small store with some writes, and its expected state after each number of writes.
fn store_with_writes(writes: usize, seed: u64, compacts: bool) -> (Memory, Vec<State>) {
    let (memory, mut rng) = (Memory::new(), Rng::with_seed(seed));
    let mut store = Store::open(memory.clone(), OPTIONS).unwrap();
    let mut states = vec![State::new()];
    for _ in 0..writes {
        let op = random_op(&mut rng);
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

/// Opens the store; returns it with the number of writes in its state.
fn reopened(memory: &Memory, states: &[State]) -> (Store<Memory>, usize) {
    let store = Store::open(memory.clone(), OPTIONS).unwrap();
    let count = store.stats().next_seq as usize;
    assert!(count < states.len(), "{count} writes of {}", states.len() - 1);
    assert_eq!(state(&store), states[count], "after {count} writes");
    (store, count)
}

#[test]
fn truncation_at_any_byte_recovers_an_earlier_state() {
    let (memory, states) = store_with_writes(60, 1, false);
    let names = memory.clone().names().unwrap();
    let last = names.last().unwrap().clone();
    let (mut cuts, mut fewest) = (0, usize::MAX);
    for name in &names {
        let whole = memory.clone().read(name).unwrap().len();
        for cut in 0..whole {
            let copy = memory.copy();
            copy.modify(name, |bytes| bytes.truncate(cut));
            let (mut store, count) = reopened(&copy, &states);
            // The store can be written to afterwards, and opening it again finds the same.
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
fn every_flipped_bit_is_detected() {
    for compacts in [false, true] {
        let (memory, states) = store_with_writes(60, 2, compacts);
        let mut flips = 0;
        for name in memory.clone().names().unwrap() {
            let whole = memory.clone().read(&name).unwrap().len();
            for at in 0..whole {
                let copy = memory.copy();
                copy.modify(&name, |bytes| bytes[at] ^= 1 << (at % 8));
                let found = inspect(&mut copy.clone()).unwrap();
                let complete = found.next_seq as usize == states.len() - 1;
                assert!(
                    !found.findings.is_empty() || found.obsolete.contains(&name),
                    "{name}: byte {at} is not detected"
                );
                let store = Store::open(copy.clone(), OPTIONS);
                match store {
                    Ok(store) => {
                        let count = store.stats().next_seq as usize;
                        // If the snapshot is lost and the log before it was removed, the store is empty.
                        let empty = compacts && store.is_empty();
                        assert!(empty || state(&store) == states[count], "{name}: byte {at}");
                        assert!(!complete || state(&store) == states[states.len() - 1]);
                    }
                    Err(Error::OtherRouter { .. }) => panic!("{name}: byte {at}: a checksum must fail first"),
                    Err(other) => panic!("{name}: byte {at}: {other}"),
                }
                flips += 1;
            }
        }
        println!("{flips} flipped bits, all detected");
        assert!(flips > 500);
    }
}

/// Random operations with a crash at a random call, repeated, checked against a model in memory.
fn run_with_crashes(ops: usize, seed: u64) -> (usize, usize) {
    let mut rng = Rng::with_seed(seed);
    let memory = Memory::new();
    let mut states = vec![State::new()];
    let (mut done, mut crashes, mut acknowledged) = (0, 0, 0usize);
    // States that a failed write may have left. They are never acknowledged, and the next successful write
    // cuts them off.
    let mut failed_write_states: Vec<State> = Vec::new();
    while done < ops {
        let faults = match rng.u8(..4) {
            0 => Faults { full_after: Some(rng.u64(1..60)), ..Faults::default() },
            1 => Faults { sync_fails_after: Some(rng.u64(1..60)), ..Faults::default() },
            _ => Faults { power_loss_after: Some(rng.u64(1..80)), ..Faults::default() },
        };
        // Opening may crash too, also twice in a row.
        if rng.u8(..4) == 0 {
            memory.set_faults(Faults { power_loss_after: Some(rng.u64(1..12)), ..Faults::default() });
            drop(Store::open(memory.clone(), OPTIONS));
            memory.crash(&mut rng);
            crashes += 1;
        }
        memory.set_faults(Faults::default());
        let mut store = Store::open(memory.clone(), OPTIONS).unwrap();
        let count = store.stats().next_seq as usize;
        states.append(&mut failed_write_states);
        assert!(count >= acknowledged, "{acknowledged} writes were acknowledged, {count} are there");
        assert!(count < states.len(), "{count} of {}", states.len() - 1);
        assert!(state(&store) == states[count], "the state after {count} writes differs from the model");
        assert!(!store.findings.iter().any(|finding| !finding.torn) || crashes > 0);
        states.truncate(count + 1);
        acknowledged = count;
        memory.set_faults(faults);
        for _ in 0..rng.usize(1..60) {
            let ops: Vec<_> = (0..rng.usize(1..4)).map(|_| random_op(&mut rng)).collect();
            match store.write(&ops) {
                Ok(()) => {
                    failed_write_states.clear();
                    for op in &ops {
                        let mut next = states.last().unwrap().clone();
                        apply(&mut next, op);
                        states.push(next);
                    }
                    done += ops.len();
                }
                // The operations of a failed write may be there in part after a crash; they were never
                // acknowledged. A later write to the same open store starts after the valid part.
                Err(Error::Poisoned) => break,
                Err(_) => {
                    failed_write_states.clear();
                    for op in &ops {
                        let mut next = failed_write_states.last().or(states.last()).unwrap().clone();
                        apply(&mut next, op);
                        failed_write_states.push(next);
                    }
                    if rng.bool() {
                        break;
                    }
                    continue;
                }
            }
            if rng.u8(..3) == 0 && store.commit().is_ok() {
                acknowledged = states.len() - 1;
            }
            if store.should_compact() && store.compact().is_err() && rng.bool() {
                break;
            }
            assert!(state(&store) == *states.last().unwrap());
        }
        drop(store);
        memory.crash(&mut rng);
        crashes += 1;
    }
    (done, crashes)
}

#[test]
fn crashes_lose_no_acknowledged_write() {
    let total_ops = std::env::var("STORE_OPS").ok().and_then(|ops| ops.parse().ok()).unwrap_or(6000usize);
    let (mut ops, mut crashed) = (0, 0);
    for seed in 0..(total_ops / 2000).max(1) as u64 {
        let (done, count) = run_with_crashes(2000, seed);
        (ops, crashed) = (ops + done, crashed + count);
    }
    println!("{ops} operations, {crashed} crashes");
    assert!(crashed > 50);
}

#[test]
fn a_store_survives_a_full_disk_but_not_a_failed_sync() {
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
fn a_store_of_another_router_and_an_oversized_record_are_refused() {
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
fn a_store_of_the_previous_format_version_is_read() {
    let (memory, states) = store_with_writes(20, 5, false);
    for name in memory.clone().names().unwrap() {
        memory.modify(&name, |bytes| {
            // Version 1 has the same records and a header without flags.
            bytes[8] = 1;
            let sum = crc32fast::hash(&bytes[..24]);
            bytes[24..28].copy_from_slice(&sum.to_le_bytes());
        });
    }
    let (_, count) = reopened(&memory, &states);
    assert_eq!(count, 20);
}
