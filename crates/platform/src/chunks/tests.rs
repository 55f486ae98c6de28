//! Tests of the module `chunks`.

use super::*;
use proptest::prelude::*;

fn read(text: &[u8], step: usize) -> Result<(bool, Vec<u8>, usize), ChunkError> {
    let (mut chunks, mut from, mut into) = (Chunks::new(64), BytesMut::new(), BytesMut::new());
    let mut done = false;
    for part in text.chunks(step.max(1)) {
        from.extend_from_slice(part);
        done = chunks.take(&mut from, &mut into)?;
    }
    Ok((done, into.to_vec(), from.len()))
}

#[test]
fn bodies_are_read_however_they_are_cut() {
    let text = b"3\r\nabc\r\n4;x=1\r\nde\r\n\r\n0\r\nsome: trailer\r\n\r\nHTTP/1.1 200 OK";
    for step in 1..text.len() {
        let (done, data, behind) = read(text, step).unwrap();
        assert!(done);
        assert_eq!((data.as_slice(), behind), (b"abcde\r\n".as_slice(), 15), "in steps of {step}");
    }
}

#[test]
fn what_does_not_fit_is_named() {
    for (text, why) in [
        (&b"xyz\r\n"[..], ChunkError::Size),
        (b"\r\nabc", ChunkError::Size),
        (b"-3\r\nabc", ChunkError::Size),
        (b"ffffffffffffffffff\r\n", ChunkError::Size),
        (b"b2d05e00\r\nabc", ChunkError::Large),
        (b"41\r\n", ChunkError::Large),
        (b"3\r\nabcd\r\n", ChunkError::End),
        (b"3\r\nabc\n0\r\n", ChunkError::End),
    ] {
        assert_eq!(read(text, 64).unwrap_err(), why, "{:?}", String::from_utf8_lossy(text));
    }
    assert_eq!(read(&[b'0'; 400], 400).unwrap_err(), ChunkError::Size);
    let endless = [b"0\r\n".as_slice(), &[b'a'; 5000]].concat();
    assert_eq!(read(&endless, 100).unwrap_err(), ChunkError::Trailers);
}

proptest! {
    #[test]
    fn no_input_panics_or_grows(text in proptest::collection::vec(any::<u8>(), 0..600), step in 1usize..70) {
        if let Ok((_, data, _)) = read(&text, step) {
            prop_assert!(data.len() <= text.len());
        }
    }

    #[test]
    fn data_comes_out_as_it_went_in(parts in proptest::collection::vec("[a-z\r\n]{1,60}", 0..9), step in 1usize..70) {
        let mut text = String::new();
        for part in &parts {
            text += &format!("{:x}\r\n{part}\r\n", part.len());
        }
        text += "0\r\n\r\n";
        let (done, data, behind) = read(text.as_bytes(), step).unwrap();
        prop_assert!(done && behind == 0);
        prop_assert_eq!(data, parts.concat().into_bytes());
    }
}
