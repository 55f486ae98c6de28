//! Tests of the module `sse`.

use super::*;

#[test]
fn events_are_read_alike_at_any_split() {
    let text = b"data: {\"a\":1}\r\n\r\n: remark\n\ndata: [DONE]\n\n";
    for cut in 0..text.len() {
        let mut reader = SseReader::new(64);
        let mut read = Vec::new();
        for part in [&text[..cut], &text[cut..]] {
            reader.push(part);
            while let Some(data) = reader.next_event().unwrap() {
                read.push(data);
            }
        }
        assert_eq!(read, [SseData::Json("{\"a\":1}".into()), SseData::Done], "cut at {cut}");
    }
}

#[test]
fn an_endless_line_is_an_error() {
    let mut reader = SseReader::new(16);
    reader.push(&[b'x'; 64]);
    assert_eq!(reader.next_event().unwrap_err(), "a line longer than 16 bytes");
}
