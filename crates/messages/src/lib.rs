//! The APIs that clients use, for text: the published messages API, dialects of it with different event
//! names, and the published chat completions API. Encoding and decoding only, without I/O or routing
//! decisions.
//!
//! A request of any API is parsed into a [`Request`]; an answer is an [`Answer`] or a sequence of
//! [`StreamItem`]s, which an [`Encoder`] encodes for the API of the request.

mod chat;
mod dialect;
mod error;
mod messages;
mod request;

pub use dialect::{Dialect, Encoder, EventNames, EVENTS};
pub use error::{ApiError, ErrorKind};
pub use request::{Request, Role, Turn};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt, cached ones included.
    pub input_tokens: u64,
    /// Tokens of the prompt that were found in the server's cache.
    pub cached_tokens: u64,
    pub output_tokens: u64,
}

/// Why an answer ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Stop {
    #[default]
    EndTurn,
    MaxTokens,
    /// At this stop sequence of the request, which is not part of the answer's text.
    Sequence(String),
}

/// One item of a streamed answer: a start, then texts and pings, then one end or error.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem<'a> {
    Start(Usage),
    Text(&'a str),
    Ping,
    End(&'a Stop, Usage),
    /// The end of an answer that failed after its start.
    Error(&'a ApiError),
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    pub text: String,
    pub stop: Stop,
    pub usage: Usage,
}
