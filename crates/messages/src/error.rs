//! Errors that are reported to clients, in the terms of both APIs.

use serde_json::{json, Value};

/// The kinds of errors that the router reports, after the types of the published messages API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ErrorKind {
    InvalidRequest,
    Authentication,
    NotFound,
    Conflict,
    TooLarge,
    RateLimited,
    Overloaded,
    Timeout,
    Api,
}

impl ErrorKind {
    pub const ALL: [ErrorKind; 9] = [
        ErrorKind::InvalidRequest,
        ErrorKind::Authentication,
        ErrorKind::NotFound,
        ErrorKind::Conflict,
        ErrorKind::TooLarge,
        ErrorKind::RateLimited,
        ErrorKind::Overloaded,
        ErrorKind::Timeout,
        ErrorKind::Api,
    ];

    /// HTTP status in the messages API.
    pub fn status(self) -> u16 {
        match self {
            ErrorKind::InvalidRequest => 400,
            ErrorKind::Authentication => 401,
            ErrorKind::NotFound => 404,
            ErrorKind::Conflict => 409,
            ErrorKind::TooLarge => 413,
            ErrorKind::RateLimited => 429,
            ErrorKind::Api => 500,
            ErrorKind::Timeout => 504,
            ErrorKind::Overloaded => 529,
        }
    }

    /// HTTP status in the chat completions API, which has no 529.
    pub fn chat_status(self) -> u16 {
        match self {
            ErrorKind::Overloaded => 503,
            other => other.status(),
        }
    }

    /// The `type` in the messages API.
    pub fn name(self) -> &'static str {
        match self {
            ErrorKind::InvalidRequest | ErrorKind::Conflict => "invalid_request_error",
            ErrorKind::Authentication => "authentication_error",
            ErrorKind::NotFound => "not_found_error",
            ErrorKind::TooLarge => "request_too_large",
            ErrorKind::RateLimited => "rate_limit_error",
            ErrorKind::Api => "api_error",
            ErrorKind::Timeout => "timeout_error",
            ErrorKind::Overloaded => "overloaded_error",
        }
    }

    /// The `type` and the `code` in the chat completions API.
    fn chat_names(self) -> (&'static str, Option<&'static str>) {
        match self {
            ErrorKind::InvalidRequest | ErrorKind::Conflict | ErrorKind::TooLarge => {
                ("invalid_request_error", None)
            }
            ErrorKind::Authentication => ("invalid_request_error", Some("invalid_api_key")),
            ErrorKind::NotFound => ("invalid_request_error", Some("model_not_found")),
            ErrorKind::RateLimited => ("requests", Some("rate_limit_exceeded")),
            ErrorKind::Overloaded => ("server_error", Some("overloaded")),
            ErrorKind::Timeout => ("server_error", Some("timeout")),
            ErrorKind::Api => ("server_error", None),
        }
    }
}

/// An error response.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}: {message}", kind.name())]
pub struct ApiError {
    pub kind: ErrorKind,
    pub message: String,
    /// Time after which the client may retry; only set if a retry is harmless.
    pub retry_after_ms: Option<f64>,
}

impl ApiError {
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        ApiError { kind, message: message.into(), retry_after_ms: None }
    }

    pub fn invalid(message: impl Into<String>) -> Self {
        ApiError::new(ErrorKind::InvalidRequest, message)
    }

    pub fn with_retry(self, after_ms: f64) -> Self {
        ApiError { retry_after_ms: Some(after_ms), ..self }
    }

    /// The `error` object of the messages API.
    pub(crate) fn detail(&self) -> Value {
        json!({ "type": self.kind.name(), "message": self.message })
    }

    /// The `error` object of the chat completions API.
    pub(crate) fn chat_detail(&self) -> Value {
        let (kind, code) = self.kind.chat_names();
        json!({ "message": self.message, "type": kind, "param": null, "code": code })
    }
}
