//! Tests of the module `chunks`.

use super::*;
use proptest::prelude::*;

fn decode(text: &[u8], step: usize) -> Result<(bool, Vec<u8>, usize), ChunkError> {
    let (mut chunks, mut input, mut output) = (Chunks::new(64), BytesMut::new(), BytesMut::new());
    let mut done = false;
    for part in text.chunks(step.max(1)) {
        input.extend_from_slice(part);
        done = chunks.take(&mut input, &mut output)?;
    }
    Ok((done, output.to_vec(), input.len()))
}

#[test]
fn bodies_decode_alike_at_any_split() {
    let text = b"3\r\nabc\r\n4;x=1\r\nde\r\n\r\n0\r\nsome: trailer\r\n\r\nHTTP/1.1 200 OK";
    for step in 1..text.len() {
        let (done, data, rest_bytes) = decode(text, step).unwrap();
        assert!(done);
        assert_eq!((data.as_slice(), rest_bytes), (b"abcde\r\n".as_slice(), 15), "in steps of {step}");
    }
}

#[test]
fn invalid_bodies_are_rejected_with_the_reason() {
    for (text, expected) in [
        (&b"xyz\r\n"[..], ChunkError::Size),
        (b"\r\nabc", ChunkError::Size),
        (b"-3\r\nabc", ChunkError::Size),
        (b"ffffffffffffffffff\r\n", ChunkError::Size),
        (b"b2d05e00\r\nabc", ChunkError::TooLarge),
        (b"41\r\n", ChunkError::TooLarge),
        (b"3\r\nabcd\r\n", ChunkError::End),
        (b"3\r\nabc\n0\r\n", ChunkError::End),
    ] {
        assert_eq!(decode(text, 64).unwrap_err(), expected, "{:?}", String::from_utf8_lossy(text));
    }
    assert_eq!(decode(&[b'0'; 400], 400).unwrap_err(), ChunkError::Size);
    let endless = [b"0\r\n".as_slice(), &[b'a'; 5000]].concat();
    assert_eq!(decode(&endless, 100).unwrap_err(), ChunkError::Trailers);
}

proptest! {
    #[test]
    fn no_input_panics_or_expands(
        text in proptest::collection::vec(any::<u8>(), 0..600),
        step in 1usize..70,
    ) {
        if let Ok((_, data, _)) = decode(&text, step) {
            prop_assert!(data.len() <= text.len());
        }
    }

    #[test]
    fn encoded_data_decodes_to_itself(
        parts in proptest::collection::vec("[a-z\r\n]{1,60}", 0..9),
        step in 1usize..70,
    ) {
        let mut text = String::new();
        for part in &parts {
            text += &format!("{:x}\r\n{part}\r\n", part.len());
        }
        text += "0\r\n\r\n";
        let (done, data, rest_bytes) = decode(text.as_bytes(), step).unwrap();
        prop_assert!(done && rest_bytes == 0);
        prop_assert_eq!(data, parts.concat().into_bytes());
    }
}
