//! The stream of events that answers a completion: handed on unchanged, event by event, and looked at on the way.

use bytes::{Buf, Bytes, BytesMut};
use paddleproxy::interface::LoadReport;
use serde::de::IgnoredAny;
use serde::Deserialize;

use crate::report;

/// The most bytes of one event.
const EVENT_BYTES: usize = 64 * 1024;

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

/// Tokens of the prompt that a read found kept; None where its answer says nothing that can be read.
pub fn parse_cached_tokens(body: &[u8]) -> Option<f64> {
    let details: Details = serde_json::from_slice(body).ok()?;
    details.cached_tokens.filter(|kept| kept.is_finite() && *kept >= 0.0)
}

/// A body that is no stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidStream(pub &'static str);

/// Lives for one stream.
#[derive(Debug, Default)]
pub struct Events {
    bytes: BytesMut,
    /// Bytes looked at, and those of them that are whole events.
    seen: usize,
    whole: usize,
    /// The event being read has data.
    data: bool,
    done: bool,
    /// Events seen to their end.
    pub events: usize,
    /// Tokens of the prompt that were found kept.
    pub cached_tokens: f64,
    pub load: Option<LoadReport>,
}

impl Events {
    /// Where the body's next bytes go.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }

    /// The events that are complete, as they came; empty while there is none.
    ///
    /// # Errors
    /// A line that belongs to no event, data that is no JSON, and an event past the bound.
    pub fn take(&mut self) -> Result<Bytes, InvalidStream> {
        while let Some(end) = self.bytes[self.seen..].iter().position(|byte| *byte == b'\n') {
            let line = &self.bytes[self.seen..self.seen + end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let (ends, comment) = (line.is_empty(), line.first() == Some(&b':'));
            if let Some(said) = line.strip_prefix(b": Srv-Load:") {
                let said = std::str::from_utf8(said).ok().and_then(report::parse);
                self.load = said.or(self.load);
            } else if let Some(data) = line.strip_prefix(b"data:") {
                let data = data.trim_ascii();
                if self.done {
                    return Err(InvalidStream("data after the end of the stream"));
                } else if data == b"[DONE]" {
                    self.done = true;
                } else {
                    let event: Event = serde_json::from_slice(data)
                        .map_err(|_| InvalidStream("the data of an event is no JSON"))?;
                    let kept = event.usage.and_then(|usage| usage.prompt_tokens_details);
                    let kept = kept.and_then(|details| details.cached_tokens);
                    self.cached_tokens = kept.filter(|kept| *kept >= 0.0).unwrap_or(self.cached_tokens);
                }
                self.data = true;
            } else if !ends && !comment && !known(line) {
                return Err(InvalidStream("a line that belongs to no event"));
            }
            self.seen += end + 1;
            if ends || comment && !self.data {
                self.events += usize::from(self.data);
                self.whole = self.seen;
                self.data = false;
            }
        }
        if self.bytes.len() - self.whole > EVENT_BYTES {
            return Err(InvalidStream("an event is too long"));
        }
        let taken = self.bytes.split_to(self.whole).freeze();
        self.seen -= self.whole;
        self.whole = 0;
        Ok(taken)
    }

    /// Whether the body may end here: nothing is left over but blank space.
    pub fn complete(&self) -> bool {
        self.events > 0 && self.bytes.chunk().trim_ascii().is_empty() && !self.data
    }
}

fn known(line: &[u8]) -> bool {
    [&b"event:"[..], b"id:", b"retry:"].iter().any(|name| line.starts_with(name))
}

#[cfg(test)]
mod tests;
