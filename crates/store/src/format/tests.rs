use super::*;

#[test]
fn every_flipped_bit_and_truncation_is_detected() {
    let op = Op::Put { key: Key::new(Kind::Kept, b"key"), value: b"value".to_vec() };
    let mut bytes = Vec::new();
    assert!(encode(7, &op, &mut bytes));
    let expected = Decoded::Record { seq: 7, op, bytes: bytes.len() };
    assert_eq!(decode(&bytes), expected);
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(!matches!(decode(&flipped), Decoded::Record { .. }), "bit {bit}");
    }
    for cut in 1..bytes.len() {
        assert_eq!(decode(&bytes[..cut]), Decoded::Truncated, "cut at {cut}");
    }
    let header = SegmentHeader { version: VERSION, snapshot: true, router: 3, number: 9 };
    let bytes = header.encode();
    assert_eq!(SegmentHeader::decode(&bytes), Ok(header));
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes;
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(SegmentHeader::decode(&flipped).is_err(), "bit {bit}");
    }
}
