//! Segments of a store: no panic, and what is recovered is what the good records say, in order.
#![no_main]

use libfuzzer_sys::fuzz_target;
use paddleproxy_store::format::{decode, encode, Decoded, SegmentHeader, HEADER_BYTES, VERSION};
use paddleproxy_store::recovery::{recover, segment_name, Segment};

fuzz_target!(|data: &[u8]| {
    // As it is, and behind a good head, with the records' checksums made to fit so that what is inside is reached.
    drop(recover(vec![Segment { name: segment_name(0), bytes: data.to_vec() }]));
    let mut bytes = SegmentHeader { version: VERSION, snapshot: data.first().is_some_and(|byte| byte & 1 == 1), router: 1, number: 0 }
        .encode()
        .to_vec();
    let mut seq = 0;
    for part in data.chunks(40) {
        let mut record = part.to_vec();
        if record.len() > 20 {
            let inner = (record.len() - 8) as u32;
            record[..4].copy_from_slice(&inner.to_le_bytes());
            record[8..16].copy_from_slice(&u64::to_le_bytes(seq));
            let sum = crc32fast::hash(&[&record[..4], &record[8..]].concat());
            record[4..8].copy_from_slice(&sum.to_le_bytes());
            seq += 1;
        }
        if let Decoded::Record { seq, op, bytes } = decode(&record) {
            let mut again = Vec::new();
            assert!(encode(seq, &op, &mut again));
            assert!(bytes == record.len() && again.len() <= record.len());
        }
        bytes.extend_from_slice(&record);
    }
    let found = recover(vec![Segment { name: segment_name(0), bytes: bytes.clone() }]);
    assert!(found.used.iter().all(|(_, good)| *good >= HEADER_BYTES as u64 && *good <= bytes.len() as u64));
    assert!(found.entries.len() as u64 <= found.next_seq.max(1));
});
