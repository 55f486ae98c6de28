//! What clients speak, for text: the published messages API, the published chat completions form beside it, and
//! dialects that name the events of the former otherwise. Encoding and decoding only; no I/O, no decision.
//!
//! A request of any form becomes a [`Request`]; an answer is a run of [`StreamItem`]s, which an [`Encoder`] turns into the
//! bytes of its form.

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
    /// Tokens of the prompt, and those of them found kept.
    pub input_tokens: u64,
    pub cached_tokens: u64,
    pub output_tokens: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Stop {
    #[default]
    EndTurn,
    MaxTokens,
    /// One of the request's stop sequences, which is not part of the text.
    Sequence(String),
}

/// One piece of a streamed answer: a start, texts and pings, and one end.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem<'a> {
    Start(Usage),
    Text(&'a str),
    Ping,
    End(&'a Stop, Usage),
    /// The end of an answer that broke.
    Error(&'a ApiError),
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    pub text: String,
    pub stop: Stop,
    pub usage: Usage,
}
