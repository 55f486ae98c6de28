//! Tests of the module `events`.

use super::*;
use proptest::prelude::*;

const STREAM: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n\
    data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5120,\"completion_tokens\":200,\
    \"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n: Srv-Load: TEXT queue=3\n\ndata: [DONE]\n\n";

#[test]
fn events_go_out_as_they_came_however_they_are_cut() {
    for step in 1..STREAM.len() {
        let (mut events, mut out) = (Events::default(), Vec::new());
        for part in STREAM.as_bytes().chunks(step) {
            events.buffer().extend_from_slice(part);
            let whole = events.take().unwrap();
            assert!(whole.is_empty() || whole.ends_with(b"\n"));
            out.extend_from_slice(&whole);
        }
        assert_eq!(String::from_utf8(out).unwrap(), STREAM);
        assert!(events.complete());
        assert_eq!((events.events, events.cached_tokens), (3, 4096.0));
        assert_eq!(events.load.unwrap().queue, Some(3.0));
    }
}

#[test]
fn noise_is_spoilt() {
    for noise in [
        "\u{1}\u{2}noise\n",
        "data: {\"choices\":[\n\n",
        "1a\n",
        "data: [DONE]\n\ndata: {}\n\n",
        "data: 7\n\n",
    ] {
        let mut events = Events::default();
        events.buffer().extend_from_slice(noise.as_bytes());
        assert!(events.take().is_err(), "{noise:?}");
    }
    let mut events = Events::default();
    events.buffer().extend_from_slice(&vec![b'a'; EVENT_BYTES + 1]);
    assert!(events.take().is_err());
    let mut events = Events::default();
    events.buffer().extend_from_slice(b": Srv-Load: TEXT queue=\x80\n\ndata: {}\n\ndata: {\"ch");
    assert_eq!(&events.take().unwrap()[..], b": Srv-Load: TEXT queue=\x80\n\ndata: {}\n\n");
    assert_eq!(events.load, None);
    assert!(!events.complete(), "half an event is left over");
}

proptest! {
    #[test]
    fn no_body_panics(parts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..80), 0..8)) {
        let mut events = Events::default();
        for part in parts {
            events.buffer().extend_from_slice(&part);
            if events.take().is_err() {
                break;
            }
        }
    }
}
