//! Tests of the module `head`.

use super::*;
use proptest::prelude::*;

fn rejection_status(text: &str) -> u16 {
    parse_request(text.as_bytes()).unwrap_err().status
}

#[test]
fn request_heads_are_parsed_with_their_fields() {
    let text =
        "POST /v1/chat/completions?a=1 HTTP/1.1\r\nHost: backend.local\r\nreq-id: 9b1f\r\nReq-Kind: chat\r\n\
                Req-Deadline: 4.800\r\nContent-Length: 2\r\nConnection: keep-alive, Close\r\n\r\n{}";
    let head = parse_request(text.as_bytes()).unwrap().unwrap();
    assert_eq!((head.method.as_str(), head.target.as_str()), ("POST", "/v1/chat/completions?a=1"));
    assert_eq!((head.framing, head.close, head.bytes), (Framing::Length(2), true, text.len() - 2));
    assert_eq!(head.fields.id.as_deref(), Some("9b1f"));
    assert_eq!(head.fields.deadline.as_deref(), Some("4.800"));
    for cut in 0..text.len() - 2 {
        assert_eq!(parse_request(&text.as_bytes()[..cut]), Ok(None), "cut at {cut}");
    }
}

#[test]
fn ambiguous_request_heads_are_rejected() {
    let with_fields = |fields: &str| format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n");
    for fields in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "Content-Length: 5\r\nContent-Length: 5",
        "Content-Length: 5, 5",
        "Content-Length: -1",
        "Content-Length: +5",
        "Content-Length: 0x10",
        "Content-Length:",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding : chunked",
        "Req-Id: a\r\nReq-Id: b",
        "Req-Id: \u{e9}\r\n folded: x",
    ] {
        assert_eq!(rejection_status(&with_fields(fields)), 400, "{fields}");
    }
    assert_eq!(rejection_status(&with_fields("Content-Length: 62914560")), 413);
    assert_eq!(rejection_status(&with_fields("Content-Length: 99999999999999999999999")), 413);
    assert_eq!(rejection_status("\u{1}\u{2}noise\r\n\r\n"), 400);
    assert_eq!(rejection_status("GET / HTTP/1.0\r\n\r\n"), 505);
    assert_eq!(rejection_status(&with_fields(&"X: y\r\n".repeat(80))), 431);
    assert_eq!(rejection_status(&format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(MAX_HEAD_BYTES))), 431);
}

#[test]
fn interim_responses_are_skipped() {
    let mut bytes = bytes::BytesMut::from(
        &b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 503 No\r\nSrv-Declined: 1\r\n\
           Srv-Load: TEXT queue=2\r\nContent-Length: 0\r\n\r\nrest"[..],
    );
    let head = parse_response(&mut bytes).unwrap().unwrap();
    assert_eq!((head.status, head.declined, head.framing), (503, true, Framing::Length(0)));
    assert_eq!(head.load.unwrap().queue, Some(2.0));
    assert_eq!(&bytes[..], b"rest");
    let mut invalid_report =
        bytes::BytesMut::from(&b"HTTP/1.1 200 OK\r\nSrv-Load: \x80 \x01\x7f what\r\n\r\n"[..]);
    assert_eq!(
        parse_response(&mut invalid_report).unwrap().unwrap().load,
        None,
        "an invalid load report does not invalidate the response"
    );
}

#[test]
fn endless_and_invalid_response_heads_are_rejected() {
    let mut bytes = bytes::BytesMut::from(&b"HTTP/1.1 100 Continue\r\n\r\n".repeat(1000)[..]);
    assert!(parse_response(&mut bytes).is_err());
    assert!(parse_response(&mut bytes::BytesMut::from(&[7u8; 40][..])).is_err());
}

proptest! {
    #[test]
    fn no_head_panics(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse_request(&bytes);
        let _ = parse_response(&mut bytes::BytesMut::from(&bytes[..]));
        let mut long = b"POST / HTTP/1.1\r\n".to_vec();
        long.extend(&bytes);
        let _ = parse_request(&long);
    }
}
