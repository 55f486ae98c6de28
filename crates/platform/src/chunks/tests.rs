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

/// Guards against data that is skipped as trailers because its chunk was given the size 0.
#[test]
fn data_behind_a_chunk_of_size_0_is_an_error() {
    for data in [
        "data: {\"choices\":[]}\n\n",
        "data: {\"choices\":[]}\n",
        "\n",
        "{\"cached_tokens\":4096}\r\n0\r\n\r\n",
        "{}\r\n\r\n",
        "two words: 1\r\n\r\n",
        ": Srv-Load: TEXT queue=3\r\n\r\n",
        "5\r\nabcde\r\n0\r\n\r\n",
        "a: b\r\nc: d\n\r\n",
        "a: b\r\n c\r\n\r\n",
    ] {
        for size in ["0", "00", "0;x"] {
            let text = format!("3\r\nabc\r\n{size}\r\n{data}");
            for step in [1, 2, 7, text.len()] {
                let decoded = decode(text.as_bytes(), step);
                assert_eq!(decoded.unwrap_err(), ChunkError::Trailers, "{text:?} in steps of {step}");
            }
        }
    }
}

/// Trailers up to the limits are skipped, and nothing of what follows them is taken.
#[test]
fn trailers_end_with_an_empty_line() {
    let long = |count: usize| format!("a: {}\r\n\r\n", "x".repeat(count - "a: \r\n\r\n".len()));
    let many = |count: usize| "a: b\r\n".repeat(count) + "\r\n";
    for trailers in ["\r\n".to_owned(), many(1), many(MAX_HEAD_FIELDS), long(100), long(MAX_TRAILER_BYTES)] {
        for rest in ["", "HTTP/1.1 200 OK\r\n", "\n"] {
            let text = format!("3\r\nabc\r\n0\r\n{trailers}{rest}");
            for step in [1, 3, text.len()] {
                let decoded = decode(text.as_bytes(), step).unwrap();
                assert_eq!(decoded, (true, b"abc".to_vec(), rest.len()), "{text:?} in steps of {step}");
            }
        }
    }
    for trailers in [many(MAX_HEAD_FIELDS + 1), long(MAX_TRAILER_BYTES + 1)] {
        for step in [1, 5000] {
            let text = format!("0\r\n{trailers}");
            assert_eq!(decode(text.as_bytes(), step).unwrap_err(), ChunkError::Trailers, "{text:?}");
        }
    }
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
