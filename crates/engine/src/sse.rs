//! Reader of server-sent events.

use bytes::BytesMut;
use tokio_util::codec::{Decoder, LinesCodec, LinesCodecError};

/// The data of one server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SseData {
    Json(String),
    /// `[DONE]`, which ends a stream.
    Done,
}

/// Splits a byte stream into the data of its events; the length of a line and of an event's data is limited.
pub struct SseReader {
    lines: LinesCodec,
    buffer: BytesMut,
    data: String,
    max_bytes: usize,
}

impl SseReader {
    pub fn new(max_bytes: usize) -> Self {
        SseReader {
            lines: LinesCodec::new_with_max_length(max_bytes),
            buffer: BytesMut::new(),
            data: String::new(),
            max_bytes,
        }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete event, if any.
    ///
    /// # Errors
    /// A line or an event that exceeds the limit, or text that is not UTF-8.
    pub fn next_event(&mut self) -> Result<Option<SseData>, String> {
        loop {
            let line = self.lines.decode(&mut self.buffer).map_err(|cause| match cause {
                LinesCodecError::MaxLineLengthExceeded => {
                    format!("a line longer than {} bytes", self.max_bytes)
                }
                LinesCodecError::Io(cause) => cause.to_string(),
            })?;
            let Some(line) = line else { return Ok(None) };
            if line.is_empty() {
                if !self.data.is_empty() {
                    let data = std::mem::take(&mut self.data);
                    return Ok(Some(if data == "[DONE]" { SseData::Done } else { SseData::Json(data) }));
                }
            } else if let Some(data) = line.strip_prefix("data:") {
                if self.data.len() + data.len() > self.max_bytes {
                    return Err(format!("an event longer than {} bytes", self.max_bytes));
                }
                self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
            }
        }
    }
}

#[cfg(test)]
mod tests;
