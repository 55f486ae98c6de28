//! Tests of the module `format`.

use super::*;

#[test]
fn no_flipped_bit_goes_unseen() {
    let op = Op::Put { key: Key::new(Kind::Kept, b"key"), value: b"value".to_vec() };
    let mut bytes = Vec::new();
    assert!(encode(7, &op, &mut bytes));
    let whole = Decoded::Record { seq: 7, op, bytes: bytes.len() };
    assert_eq!(decode(&bytes), whole);
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(!matches!(decode(&flipped), Decoded::Record { .. }), "bit {bit}");
    }
    for cut in 1..bytes.len() {
        assert_eq!(decode(&bytes[..cut]), Decoded::Short, "cut at {cut}");
    }
    let head = SegmentHeader { version: VERSION, snapshot: true, router: 3, number: 9 };
    let bytes = head.encode();
    assert_eq!(SegmentHeader::decode(&bytes), Ok(head));
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes;
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(SegmentHeader::decode(&flipped).is_err(), "bit {bit}");
    }
}
