//! As much of HTTP/1.1 as stand-ins need.

use std::io::{ErrorKind, Result};

use tokio::io::{AsyncRead, AsyncReadExt};

/// The head of a message and what it says of its body.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    fields: Vec<(String, String)>,
}

impl Head {
    /// A field's value, by its lower-case name.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Length of the body, where it is told.
    pub fn length(&self) -> usize {
        self.field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    /// Whether the body comes in chunks.
    pub fn chunked(&self) -> bool {
        self.field("transfer-encoding") == Some("chunked")
    }

    /// Whether the connection ends after this message.
    pub fn closes(&self) -> bool {
        self.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Bytes read and not yet used.
#[derive(Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
}

impl ReadBuffer {
    /// Whether nothing is left unused.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reads more; 0 at the end of the connection.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn read_more(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> Result<usize> {
        let mut part = [0; 8192];
        let read = stream.read(&mut part).await?;
        self.bytes.extend_from_slice(&part[..read]);
        Ok(read)
    }

    fn line(&self, from: usize) -> Option<usize> {
        self.bytes[from..].windows(2).position(|end| end == b"\r\n").map(|at| from + at)
    }

    /// Takes a head off the front, if it is whole.
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

    /// Takes a body of a known length, if it is whole.
    pub fn take_body(&mut self, length: usize) -> Option<Vec<u8>> {
        (self.bytes.len() >= length).then(|| self.bytes.drain(..length).collect())
    }

    /// Takes one chunk, if it is whole; an empty one is the last.
    ///
    /// # Errors
    /// What is no chunk.
    pub fn take_chunk(&mut self) -> Result<Option<Vec<u8>>> {
        let Some(end) = self.line(0) else { return Ok(None) };
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

/// One chunk on the wire.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// An answer whose body has a known length.
pub fn response(status: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}
