//! The API dialects that clients use, selected by path, and their encoders.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde_json::json;

use crate::error::{ApiError, ErrorKind};
use crate::request::Request;
use crate::{chat, messages, request, Answer, StreamItem};

/// The events of the published messages API, in the order in which they occur.
pub const EVENTS: [&str; 8] = [
    "message_start",
    "content_block_start",
    "content_block_delta",
    "content_block_stop",
    "message_delta",
    "message_stop",
    "ping",
    "error",
];

/// Different names for events of the messages API. An event without an entry keeps its own name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventNames {
    /// By the published name; None if the event is omitted.
    pub overrides: BTreeMap<&'static str, Option<String>>,
}

impl EventNames {
    pub(crate) fn name_of<'a>(&'a self, event: &'static str) -> Option<&'a str> {
        match self.overrides.get(event) {
            None => Some(event),
            Some(other) => other.as_deref(),
        }
    }
}

/// An API that clients use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// The messages API, with the names of its events.
    Messages(Rc<EventNames>),
    /// The chat completions API.
    Chat,
}

impl Dialect {
    /// The messages API with its published event names.
    pub fn published() -> Self {
        Dialect::Messages(Rc::default())
    }

    /// Parses the body of a request.
    ///
    /// # Errors
    /// `invalid_request_error` with the reason and, for JSON, the position.
    pub fn parse(&self, body: &[u8]) -> Result<Request, ApiError> {
        match self {
            Dialect::Messages(_) => request::parse(body, false),
            Dialect::Chat => chat::parse(body),
        }
    }

    /// Parses the body of a request that only counts the tokens of its prompt.
    ///
    /// # Errors
    /// As for [`Dialect::parse`].
    pub fn parse_to_count(&self, body: &[u8]) -> Result<Request, ApiError> {
        request::parse(body, true)
    }

    /// The HTTP status of an error.
    pub fn status(&self, kind: ErrorKind) -> u16 {
        match self {
            Dialect::Messages(_) => kind.status(),
            Dialect::Chat => kind.chat_status(),
        }
    }

    /// The body of an error response.
    pub fn error(&self, error: &ApiError, request_id: &str) -> String {
        match self {
            Dialect::Messages(_) => {
                json!({ "type": "error", "error": error.detail(), "request_id": request_id }).to_string()
            }
            Dialect::Chat => json!({ "error": error.chat_detail() }).to_string(),
        }
    }
}

/// Encodes one answer, whole or as a stream.
#[derive(Clone, Debug)]
pub struct Encoder {
    pub dialect: Dialect,
    /// The answer's id, without the prefix that the API adds.
    pub id: Rc<str>,
    pub model: Rc<str>,
    /// Seconds since 1970.
    pub created: u64,
    /// Whether a stream of the chat completions API ends with a usage chunk.
    pub include_usage: bool,
}

impl Encoder {
    fn meta(&self) -> chat::ResponseMeta<'_> {
        chat::ResponseMeta {
            id: &self.id,
            model: &self.model,
            created: self.created,
            include_usage: self.include_usage,
        }
    }

    /// The body of a response that isn't streamed.
    pub fn encode_answer(&self, answer: &Answer) -> String {
        match &self.dialect {
            Dialect::Messages(_) => messages::encode_answer(&self.id, &self.model, answer).to_string(),
            Dialect::Chat => chat::encode_answer(&self.meta(), answer).to_string(),
        }
    }

    /// The events that stand for one item of a stream.
    pub fn encode_item(&self, item: &StreamItem) -> String {
        match &self.dialect {
            Dialect::Messages(names) => messages::encode_item(names, &self.id, &self.model, item),
            Dialect::Chat => chat::encode_item(&self.meta(), item),
        }
    }
}
