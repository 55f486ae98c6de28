//! The event stream of a completion's response: split into events that are forwarded unchanged, while usage
//! and load reports are extracted.

use bytes::{Buf, Bytes, BytesMut};
use paddleproxy::interface::LoadReport;
use serde::de::IgnoredAny;
use serde::Deserialize;

use crate::report;

/// Longest event that is accepted.
const MAX_EVENT_BYTES: usize = 64 * 1024;

#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    #[allow(dead_code)]
    choices: Option<Vec<IgnoredAny>>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens_details: Option<Details>,
}

#[derive(Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: Option<f64>,
}

/// Tokens of the prompt that a read found in the server's cache; None where its response holds no valid
/// number.
pub fn parse_cached_tokens(body: &[u8]) -> Option<f64> {
    let details: Details = serde_json::from_slice(body).ok()?;
    details.cached_tokens.filter(|cached| cached.is_finite() && *cached >= 0.0)
}

/// Why a body is not a valid event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidStream(pub &'static str);

/// Splits one stream into its events.
#[derive(Debug, Default)]
pub struct Events {
    bytes: BytesMut,
    /// Bytes scanned, and how many of them belong to complete events.
    scanned: usize,
    complete_bytes: usize,
    /// The event being scanned has data.
    has_data: bool,
    /// `[DONE]` was received, which ends a stream.
    done: bool,
    /// Number of complete events.
    pub events: usize,
    /// Tokens of the prompt that the server found in its cache.
    pub cached_tokens: f64,
    pub load: Option<LoadReport>,
}

impl Events {
    /// The buffer to which the body's next bytes are appended.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }

    /// Takes the complete events, byte for byte as they were received; empty if there is none.
    ///
    /// # Errors
    /// A line that is not part of an event stream, data that is not JSON, data after `[DONE]`, and an event
    /// that is too long.
    pub fn take(&mut self) -> Result<Bytes, InvalidStream> {
        while let Some(end) = self.bytes[self.scanned..].iter().position(|byte| *byte == b'\n') {
            let line = &self.bytes[self.scanned..self.scanned + end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let (ends_event, comment) = (line.is_empty(), line.first() == Some(&b':'));
            if let Some(text) = line.strip_prefix(b": Srv-Load:") {
                let load = std::str::from_utf8(text).ok().and_then(report::parse);
                self.load = load.or(self.load);
            } else if let Some(data) = line.strip_prefix(b"data:") {
                let data = data.trim_ascii();
                if self.done {
                    return Err(InvalidStream("data after the end of the stream"));
                } else if data == b"[DONE]" {
                    self.done = true;
                } else {
                    let event: Event = serde_json::from_slice(data)
                        .map_err(|_| InvalidStream("the data of an event is not valid JSON"))?;
                    let cached = event.usage.and_then(|usage| usage.prompt_tokens_details);
                    let cached = cached.and_then(|details| details.cached_tokens);
                    self.cached_tokens = cached.filter(|cached| *cached >= 0.0).unwrap_or(self.cached_tokens);
                }
                self.has_data = true;
            } else if !ends_event && !comment && !is_known_field(line) {
                return Err(InvalidStream("a line is not part of an event stream"));
            }
            self.scanned += end + 1;
            if ends_event || comment && !self.has_data {
                self.events += usize::from(self.has_data);
                self.complete_bytes = self.scanned;
                self.has_data = false;
            }
        }
        if self.bytes.len() - self.complete_bytes > MAX_EVENT_BYTES {
            return Err(InvalidStream("an event is too long"));
        }
        let taken = self.bytes.split_to(self.complete_bytes).freeze();
        self.scanned -= self.complete_bytes;
        self.complete_bytes = 0;
        Ok(taken)
    }

    /// Whether the body may end here: `[DONE]` was received, and only white space is left after the last
    /// event. The end of the body alone proves nothing, because a chunk whose size is wrongly 0 ends a body too.
    pub fn complete(&self) -> bool {
        self.done && self.bytes.chunk().trim_ascii().is_empty() && !self.has_data
    }
}

fn is_known_field(line: &[u8]) -> bool {
    [&b"event:"[..], b"id:", b"retry:"].iter().any(|name| line.starts_with(name))
}

#[cfg(test)]
mod tests;
