//! The part of HTTP/1.1 that the simulated clients, servers and discovery agents need.

use std::io::{ErrorKind, Result};

use tokio::io::{AsyncRead, AsyncReadExt};

/// The head of an HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    fields: Vec<(String, String)>,
}

impl Head {
    /// The value of a header field, by its lower-case name.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut parts = self.line.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }

    /// Content length of the body; 0 if there is no such field.
    pub fn length(&self) -> usize {
        self.field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    /// Whether the body has chunked transfer encoding.
    pub fn chunked(&self) -> bool {
        self.field("transfer-encoding") == Some("chunked")
    }

    /// Whether the connection ends after this message.
    pub fn closes(&self) -> bool {
        self.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Bytes that were read and not yet consumed.
#[derive(Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
}

impl ReadBuffer {
    /// Whether no bytes are left.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reads more bytes and returns how many; 0 at the end of the connection.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn read_more(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> Result<usize> {
        let mut part = [0; 8192];
        let read = stream.read(&mut part).await?;
        self.bytes.extend_from_slice(&part[..read]);
        Ok(read)
    }

    fn find_line_end(&self, from: usize) -> Option<usize> {
        self.bytes[from..].windows(2).position(|end| end == b"\r\n").map(|at| from + at)
    }

    /// Consumes a head, if it is complete.
    pub fn take_head(&mut self) -> Option<Head> {
        let end = self.bytes.windows(4).position(|part| part == b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
        self.bytes.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let field = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        };
        Some(Head { line, fields: lines.filter_map(field).collect() })
    }

    /// Consumes a body of a known length, if it is complete.
    pub fn take_body(&mut self, length: usize) -> Option<Vec<u8>> {
        (self.bytes.len() >= length).then(|| self.bytes.drain(..length).collect())
    }

    /// Consumes one chunk, if it is complete; the last one is empty.
    ///
    /// # Errors
    /// The size of the chunk is invalid.
    pub fn take_chunk(&mut self) -> Result<Option<Vec<u8>>> {
        let Some(end) = self.find_line_end(0) else { return Ok(None) };
        let size = std::str::from_utf8(&self.bytes[..end]).ok();
        let size = size.and_then(|size| usize::from_str_radix(size.trim(), 16).ok());
        let size = size.ok_or(ErrorKind::InvalidData)?;
        if self.bytes.len() < end + 2 + size + 2 {
            return Ok(None);
        }
        let data = self.bytes[end + 2..end + 2 + size].to_vec();
        self.bytes.drain(..end + 2 + size + 2);
        Ok(Some(data))
    }
}

/// Encodes one chunk.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A response with a body of known length.
pub fn response(status: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}
