//! The forms in which clients speak, by path, and their encoders.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde_json::json;

use crate::error::{ApiError, ErrorKind};
use crate::request::Request;
use crate::{chat, messages, request, Answer, StreamItem};

/// The events of the published messages API, in the order in which they come.
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

/// Other names for the events of the messages API. An event without one keeps its own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventNames {
    /// None where the event is left out.
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

/// One form of the API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dialect {
    Messages(Rc<EventNames>),
    Chat,
}

impl Dialect {
    pub fn published() -> Self {
        Dialect::Messages(Rc::default())
    }

    /// Parses a body.
    ///
    /// # Errors
    /// `invalid_request_error` with what was wrong and, for JSON, where.
    pub fn parse(&self, body: &[u8]) -> Result<Request, ApiError> {
        match self {
            Dialect::Messages(_) => request::parse(body, false),
            Dialect::Chat => chat::parse(body),
        }
    }

    /// Parses a body of which only the tokens are to be counted.
    ///
    /// # Errors
    /// As for `parse`.
    pub fn parse_to_count(&self, body: &[u8]) -> Result<Request, ApiError> {
        request::parse(body, true)
    }

    pub fn status(&self, kind: ErrorKind) -> u16 {
        match self {
            Dialect::Messages(_) => kind.status(),
            Dialect::Chat => kind.chat_status(),
        }
    }

    /// The body of an answer that is an error.
    pub fn error(&self, error: &ApiError, request_id: &str) -> String {
        match self {
            Dialect::Messages(_) => {
                json!({ "type": "error", "error": error.detail(), "request_id": request_id }).to_string()
            }
            Dialect::Chat => json!({ "error": error.chat_detail() }).to_string(),
        }
    }
}

/// Encodes one answer.
#[derive(Clone, Debug)]
pub struct Encoder {
    pub dialect: Dialect,
    /// The answer's name, without the form's own prefix.
    pub id: Rc<str>,
    pub model: Rc<str>,
    /// Seconds since 1970.
    pub created: u64,
    pub include_usage: bool,
}

impl Encoder {
    fn head(&self) -> chat::Head<'_> {
        chat::Head {
            id: &self.id,
            model: &self.model,
            created: self.created,
            include_usage: self.include_usage,
        }
    }

    /// The body of a whole answer.
    pub fn encode_answer(&self, answer: &Answer) -> String {
        match &self.dialect {
            Dialect::Messages(_) => messages::whole(&self.id, &self.model, answer).to_string(),
            Dialect::Chat => chat::whole(&self.head(), answer).to_string(),
        }
    }

    /// The events of one piece of a stream.
    pub fn encode_item(&self, piece: &StreamItem) -> String {
        match &self.dialect {
            Dialect::Messages(names) => messages::piece(names, &self.id, &self.model, piece),
            Dialect::Chat => chat::piece(&self.head(), piece),
        }
    }
}
