//! Writes to a client: answers other than streams, and the time that a client has to accept what is written.

use paddleproxy_router::clock::duration;
use paddleproxy_sockets::Stream;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

use crate::limits::CLIENT_WRITE_TIMEOUT_MS;

/// The client has closed its connection, or did not accept the bytes in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientGone;

/// Status and content of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    pub status: u16,
    pub reason: &'a str,
    /// Further header fields, each with its line end.
    pub fields: &'a str,
    /// A JSON document.
    pub body: &'a str,
    /// Whether the connection is announced to close.
    pub close: bool,
}

/// Writes all bytes within [`CLIENT_WRITE_TIMEOUT_MS`].
///
/// # Errors
/// See [`ClientGone`].
pub async fn write(stream: &mut Stream, bytes: &[u8]) -> Result<(), ClientGone> {
    match timeout(duration(CLIENT_WRITE_TIMEOUT_MS), stream.write_all(bytes)).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(ClientGone),
    }
}

/// Writes a complete answer.
///
/// # Errors
/// See [`ClientGone`].
pub async fn write_answer(stream: &mut Stream, answer: Answer<'_>) -> Result<(), ClientGone> {
    let Answer { status, reason, fields, body, close } = answer;
    let close = if close { "Connection: close\r\n" } else { "" };
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\n{fields}{close}\r\n{body}"
    );
    write(stream, text.as_bytes()).await
}

/// The `Retry-After` field for this delay; empty for 0.
pub fn retry_after_field(delay_ms: f64) -> String {
    if delay_ms > 0.0 {
        format!("Retry-After: {:.3}\r\n", delay_ms / 1e3)
    } else {
        String::new()
    }
}

/// The body of an error answer. `why` must need no escaping in JSON.
pub fn error_body(why: &str) -> String {
    format!("{{\"error\":{{\"message\":\"{why}\"}}}}")
}
