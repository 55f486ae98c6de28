use bytes::BytesMut;
use tokio_util::codec::{Decoder, LinesCodec, LinesCodecError};

/// One `data:` of a stream of server-sent events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SseData {
    Json(String),
    /// The published end of a stream.
    Done,
}

/// Splits a byte stream into the data of its events; no line may be longer than the bound.
pub struct SseReader {
    lines: LinesCodec,
    buffer: BytesMut,
    data: String,
    bound: usize,
}

impl SseReader {
    pub fn new(longest_line: usize) -> Self {
        SseReader {
            lines: LinesCodec::new_with_max_length(longest_line),
            buffer: BytesMut::new(),
            data: String::new(),
            bound: longest_line,
        }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next event that is complete, if any.
    ///
    /// # Errors
    /// A line or an event beyond the bound, or text that is not UTF-8.
    pub fn next_event(&mut self) -> Result<Option<SseData>, String> {
        loop {
            let line = self.lines.decode(&mut self.buffer).map_err(|cause| match cause {
                LinesCodecError::MaxLineLengthExceeded => format!("a line longer than {} bytes", self.bound),
                LinesCodecError::Io(cause) => cause.to_string(),
            })?;
            let Some(line) = line else { return Ok(None) };
            if line.is_empty() {
                if !self.data.is_empty() {
                    let data = std::mem::take(&mut self.data);
                    return Ok(Some(if data == "[DONE]" { SseData::Done } else { SseData::Json(data) }));
                }
            } else if let Some(data) = line.strip_prefix("data:") {
                if self.data.len() + data.len() > self.bound {
                    return Err(format!("an event longer than {} bytes", self.bound));
                }
                self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
            }
        }
    }
}

#[cfg(test)]
mod tests;
