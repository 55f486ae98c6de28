//! Recovery of segments: no panic, and the recovered state contains only valid records, in order.
#![no_main]

use libfuzzer_sys::fuzz_target;
use paddleproxy_store::format::{decode, encode, Decoded, SegmentHeader, HEADER_BYTES, VERSION};
use paddleproxy_store::recovery::{recover, segment_name, Segment};

fuzz_target!(|data: &[u8]| {
    // The data as a segment of its own, then as records behind a valid header with corrected checksums, so
    // that decoding gets past the checksum.
    drop(recover(vec![Segment { name: segment_name(0), bytes: data.to_vec() }]));
    let mut bytes = SegmentHeader {
        version: VERSION,
        snapshot: data.first().is_some_and(|byte| byte & 1 == 1),
        router: 1,
        number: 0,
    }
    .encode()
    .to_vec();
    let mut seq = 0;
    for part in data.chunks(40) {
        let mut record = part.to_vec();
        if record.len() > 20 {
            let length = (record.len() - 8) as u32;
            record[..4].copy_from_slice(&length.to_le_bytes());
            record[8..16].copy_from_slice(&u64::to_le_bytes(seq));
            let checksum = crc32fast::hash(&[&record[..4], &record[8..]].concat());
            record[4..8].copy_from_slice(&checksum.to_le_bytes());
            seq += 1;
        }
        if let Decoded::Record { seq, op, bytes } = decode(&record) {
            let mut again = Vec::new();
            assert!(encode(seq, &op, &mut again));
            assert!(bytes == record.len() && again.len() <= record.len());
        }
        bytes.extend_from_slice(&record);
    }
    let recovered = recover(vec![Segment { name: segment_name(0), bytes: bytes.clone() }]);
    assert!(recovered
        .used
        .iter()
        .all(|(_, valid)| *valid >= HEADER_BYTES as u64 && *valid <= bytes.len() as u64));
    assert!(recovered.entries.len() as u64 <= recovered.next_seq.max(1));
});
