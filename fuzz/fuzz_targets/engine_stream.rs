//! Parses streams of a model server: the events are the same at any split of the bytes, and no input panics.
#![no_main]

use libfuzzer_sys::fuzz_target;
use paddleproxy_engine::{Completion, Load, Refusal, SseData, SseReader};

fn events(parts: &[&[u8]]) -> (Vec<SseData>, Option<String>) {
    let mut reader = SseReader::new(256);
    let mut read = Vec::new();
    for part in parts {
        reader.push(part);
        loop {
            match reader.next_event() {
                Ok(Some(data)) => read.push(data),
                Ok(None) => break,
                Err(cause) => return (read, Some(cause)),
            }
        }
    }
    (read, None)
}

fuzz_target!(|data: &[u8]| {
    let Some((split, stream)) = data.split_first() else { return };
    let at = usize::from(*split).min(stream.len());
    let whole = events(&[stream]);
    let halves = events(&[&stream[..at], &stream[at..]]);
    let bytes: Vec<_> = stream.chunks(1).collect();
    let singly = events(&bytes);
    assert_eq!(whole, halves);
    assert_eq!(whole, singly);
    for data in whole.0 {
        if let SseData::Json(text) = data {
            let _ = serde_json::from_str::<Completion>(&text)
                .map(|completion| completion.usage.map(|usage| usage.cached()));
        }
    }
    if let Ok(text) = std::str::from_utf8(stream) {
        let _ = Load::from_header(text).map(|load| load.to_header());
    }
    let _ = Refusal::of(503, stream);
});
