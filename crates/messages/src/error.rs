use serde_json::json;

/// The error types of the published API that this router gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ErrorKind {
    InvalidRequest,
    Authentication,
    NotFound,
    TooLarge,
    RateLimited,
    Overloaded,
    Timeout,
    Api,
}

impl ErrorKind {
    pub const ALL: [ErrorKind; 8] = [
        ErrorKind::InvalidRequest,
        ErrorKind::Authentication,
        ErrorKind::NotFound,
        ErrorKind::TooLarge,
        ErrorKind::RateLimited,
        ErrorKind::Overloaded,
        ErrorKind::Timeout,
        ErrorKind::Api,
    ];

    /// HTTP status.
    pub fn status(self) -> u16 {
        match self {
            ErrorKind::InvalidRequest => 400,
            ErrorKind::Authentication => 401,
            ErrorKind::NotFound => 404,
            ErrorKind::TooLarge => 413,
            ErrorKind::RateLimited => 429,
            ErrorKind::Api => 500,
            ErrorKind::Timeout => 504,
            ErrorKind::Overloaded => 529,
        }
    }

    /// The `type` in the body.
    pub fn name(self) -> &'static str {
        match self {
            ErrorKind::InvalidRequest => "invalid_request_error",
            ErrorKind::Authentication => "authentication_error",
            ErrorKind::NotFound => "not_found_error",
            ErrorKind::TooLarge => "request_too_large",
            ErrorKind::RateLimited => "rate_limit_error",
            ErrorKind::Api => "api_error",
            ErrorKind::Timeout => "timeout_error",
            ErrorKind::Overloaded => "overloaded_error",
        }
    }
}

/// An answer that is an error.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}: {message}", kind.name())]
pub struct ApiError {
    pub kind: ErrorKind,
    pub message: String,
    /// Time in ms after which the client may come again; only where trying again is harmless.
    pub retry_after_ms: Option<f64>,
}

impl ApiError {
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        ApiError { kind, message: message.into(), retry_after_ms: None }
    }

    pub fn invalid(message: impl Into<String>) -> Self {
        ApiError::new(ErrorKind::InvalidRequest, message)
    }

    /// The JSON body.
    pub fn body(&self, request_id: &str) -> String {
        let error = json!({ "type": self.kind.name(), "message": self.message });
        json!({ "type": "error", "error": error, "request_id": request_id }).to_string()
    }
}
