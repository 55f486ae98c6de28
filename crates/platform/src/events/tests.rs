//! Tests of the module `events`.

use super::*;
use proptest::prelude::*;

const STREAM: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n\
    data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5120,\"completion_tokens\":200,\
    \"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n: Srv-Load: TEXT queue=3\n\ndata: [DONE]\n\n";

#[test]
fn events_are_forwarded_unchanged_at_any_split() {
    for step in 1..STREAM.len() {
        let (mut events, mut out) = (Events::default(), Vec::new());
        for part in STREAM.as_bytes().chunks(step) {
            events.buffer().extend_from_slice(part);
            let complete = events.take().unwrap();
            assert!(complete.is_empty() || complete.ends_with(b"\n"));
            out.extend_from_slice(&complete);
        }
        assert_eq!(String::from_utf8(out).unwrap(), STREAM);
        assert!(events.complete());
        assert_eq!((events.events, events.cached_tokens), (3, 4096.0));
        assert_eq!(events.load.unwrap().queue, Some(3.0));
    }
}

/// Guards against a stream that passes for whole because its body ended between two events.
#[test]
fn a_stream_is_complete_only_once_its_end_was_received() {
    for crlf in [false, true] {
        for end in 0..=STREAM.len() {
            let whole_lines =
                if crlf { STREAM[..end].replace('\n', "\r\n") } else { STREAM[..end].to_owned() };
            let mut events = Events::default();
            events.buffer().extend_from_slice(whole_lines.as_bytes());
            events.take().unwrap();
            assert_eq!(events.complete(), end == STREAM.len(), "{end} of {}", STREAM.len());
        }
    }
    // A load report may follow the end, and more white space.
    for rest in ["", "\n", ": Srv-Load: TEXT queue=3\n", ": Srv-Load: TEXT queue=3\n\n"] {
        let mut events = Events::default();
        events.buffer().extend_from_slice(format!("{STREAM}{rest}").as_bytes());
        events.take().unwrap();
        assert!(events.complete(), "{rest:?}");
    }
    for cut in [": Srv-Load: TEXT queue=3", "da"] {
        let mut events = Events::default();
        events.buffer().extend_from_slice(format!("{STREAM}{cut}").as_bytes());
        events.take().unwrap();
        assert!(!events.complete(), "{cut:?}");
    }
}

#[test]
fn invalid_streams_are_rejected() {
    for invalid in [
        "\u{1}\u{2}noise\n",
        "data: {\"choices\":[\n\n",
        "1a\n",
        "data: [DONE]\n\ndata: {}\n\n",
        "data: 7\n\n",
    ] {
        let mut events = Events::default();
        events.buffer().extend_from_slice(invalid.as_bytes());
        assert!(events.take().is_err(), "{invalid:?}");
    }
    let mut events = Events::default();
    events.buffer().extend_from_slice(&vec![b'a'; MAX_EVENT_BYTES + 1]);
    assert!(events.take().is_err());
    let mut events = Events::default();
    events.buffer().extend_from_slice(b": Srv-Load: TEXT queue=\x80\n\ndata: {}\n\ndata: {\"ch");
    assert_eq!(&events.take().unwrap()[..], b": Srv-Load: TEXT queue=\x80\n\ndata: {}\n\n");
    assert_eq!(events.load, None);
    assert!(!events.complete(), "an incomplete event is left over");
}

proptest! {
    #[test]
    fn no_stream_panics(
        parts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..80), 0..8),
    ) {
        let mut events = Events::default();
        for part in parts {
            events.buffer().extend_from_slice(&part);
            if events.take().is_err() {
                break;
            }
        }
    }
}
