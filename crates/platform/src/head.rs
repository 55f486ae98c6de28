//! Parsers of request and response heads. They are strict: a head whose framing two parties could interpret
//! differently is rejected, which prevents request smuggling.

use crate::{report, MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEAD_FIELDS};
use paddleproxy::interface::LoadReport;

/// Why a request is rejected, with the HTTP status of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{status}: {why}")]
pub struct RequestError {
    pub status: u16,
    pub why: &'static str,
}

impl RequestError {
    pub const fn new(status: u16, why: &'static str) -> Self {
        RequestError { status, why }
    }
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    /// The body ends with its connection; only in responses.
    Close,
}

/// The platform's own header fields and the idempotency key, unparsed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    pub id: Option<String>,
    pub kind: Option<String>,
    pub owner: Option<String>,
    pub key: Option<String>,
    pub deadline: Option<String>,
    pub extra: Option<String>,
    pub retry: Option<String>,
    pub cost: Option<String>,
    /// Servers use it to discard repeated requests of a workload that is idempotent by key.
    pub idempotency_key: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub framing: Framing,
    /// The client closes the connection after the response.
    pub close: bool,
    /// The client waits for `100 Continue` before it sends its body.
    pub expects_continue: bool,
    pub fields: Fields,
    /// Length of the head.
    pub bytes: usize,
}

/// The fields of a head that determine its body's framing.
#[derive(Default)]
struct FramingFields {
    length: Option<usize>,
    chunked: bool,
}

const BOTH_FRAMINGS: RequestError = RequestError::new(400, "both Content-Length and Transfer-Encoding");
const INVALID_LENGTH: RequestError = RequestError::new(400, "Content-Length is no length");
const UNSUPPORTED_CODING: RequestError = RequestError::new(400, "Transfer-Encoding is not chunked");
const DUPLICATE_FIELD: RequestError = RequestError::new(400, "a field is there twice");
const INVALID_HEAD: RequestError = RequestError::new(400, "not the head of an HTTP/1.1 request");

impl FramingFields {
    fn take(&mut self, name: &str, value: &[u8]) -> Result<(), RequestError> {
        if name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(value).map_err(|_| INVALID_LENGTH)?.trim();
            if text.is_empty() || !text.bytes().all(|digit| digit.is_ascii_digit()) {
                return Err(INVALID_LENGTH);
            }
            // A number that overflows counts as the largest length, so that it is rejected as too long.
            let length = text.parse().unwrap_or(usize::MAX);
            if self.length.replace(length).is_some() {
                return Err(INVALID_LENGTH);
            }
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if self.chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(UNSUPPORTED_CODING);
            }
            self.chunked = true;
        }
        if self.chunked && self.length.is_some() {
            return Err(BOTH_FRAMINGS);
        }
        Ok(())
    }
}

fn closes_connection(name: &str, value: &[u8]) -> bool {
    let is_close = |part: &[u8]| part.trim_ascii().eq_ignore_ascii_case(b"close");
    name.eq_ignore_ascii_case("connection") && value.split(|byte| *byte == b',').any(is_close)
}

/// Parses the head of a request; None while it is incomplete.
///
/// # Errors
/// A head that is invalid or ambiguous, and one that exceeds a limit.
pub fn parse_request(bytes: &[u8]) -> Result<Option<RequestHead>, RequestError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let length = match head.parse(&bytes[..bytes.len().min(MAX_HEAD_BYTES)]) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(RequestError::new(431, "the head is too long")),
        Err(httparse::Error::TooManyHeaders) => {
            return Err(RequestError::new(431, "the head has too many fields"))
        }
        Err(_) => return Err(INVALID_HEAD),
    };
    if head.version != Some(1) {
        return Err(RequestError::new(505, "HTTP/1.1 is spoken here"));
    }
    let (mut framing_fields, mut close, mut expects_continue, mut platform_fields) =
        (FramingFields::default(), false, false, Fields::default());
    for field in head.headers.iter() {
        framing_fields.take(field.name, field.value)?;
        close |= closes_connection(field.name, field.value);
        expects_continue |= field.name.eq_ignore_ascii_case("expect");
        let value = match field.name.to_ascii_lowercase().as_str() {
            "req-id" => &mut platform_fields.id,
            "req-kind" => &mut platform_fields.kind,
            "req-owner" => &mut platform_fields.owner,
            "req-key" => &mut platform_fields.key,
            "req-deadline" => &mut platform_fields.deadline,
            "req-extra" => &mut platform_fields.extra,
            "req-retry" => &mut platform_fields.retry,
            "req-cost" => &mut platform_fields.cost,
            "idempotency-key" => &mut platform_fields.idempotency_key,
            _ => continue,
        };
        let text = std::str::from_utf8(field.value).map_err(|_| INVALID_HEAD)?;
        if value.replace(text.trim().to_owned()).is_some() {
            return Err(DUPLICATE_FIELD);
        }
    }
    let framing = match framing_fields {
        FramingFields { chunked: true, .. } => Framing::Chunked,
        FramingFields { length, .. } => Framing::Length(length.unwrap_or(0)),
    };
    if matches!(framing, Framing::Length(length) if length > MAX_BODY_BYTES) {
        return Err(RequestError::new(413, "the body is too long"));
    }
    Ok(Some(RequestHead {
        method: head.method.unwrap_or_default().to_owned(),
        target: head.path.unwrap_or_default().to_owned(),
        framing,
        close,
        expects_continue,
        fields: platform_fields,
        bytes: length,
    }))
}

#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    pub status: u16,
    pub framing: Framing,
    pub close: bool,
    /// The server states that it rejected the request without running it.
    pub declined: bool,
    pub load: Option<LoadReport>,
}

impl ResponseHead {
    /// Whether its connection can carry another request once the body has been read.
    pub fn connection_reusable(&self) -> bool {
        !self.close && self.framing != Framing::Close
    }
}

/// Removes the head of a response from the front of `bytes`, with any interim responses before it; None while
/// it is incomplete.
///
/// # Errors
/// An invalid head, or one longer than [`MAX_HEAD_BYTES`] together with the interim responses.
pub fn parse_response(bytes: &mut bytes::BytesMut) -> Result<Option<ResponseHead>, &'static str> {
    let mut head_end = 0;
    // Invalid header lines, such as a load report with control characters, are skipped: the response is
    // usable as long as its status and framing are valid.
    let mut lenient = httparse::ParserConfig::default();
    lenient.ignore_invalid_headers_in_responses(true);
    loop {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
        let mut head = httparse::Response::new(&mut fields);
        let text = &bytes[head_end..bytes.len().min(MAX_HEAD_BYTES)];
        let length = match lenient.parse_response(&mut head, text) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
            Ok(httparse::Status::Partial) => return Err("the head of the response is too long"),
            Err(_) => return Err("the head of the response is invalid"),
        };
        head_end += length;
        let status = head.code.unwrap_or_default();
        if (100..200).contains(&status) && status != 101 {
            continue;
        }
        let (mut framing_fields, mut close, mut declined, mut load) =
            (FramingFields::default(), false, false, None);
        for field in head.headers.iter() {
            framing_fields.take(field.name, field.value).map_err(|error| error.why)?;
            close |= closes_connection(field.name, field.value);
            declined |= field.name.eq_ignore_ascii_case("srv-declined") && field.value == b"1";
            if field.name.eq_ignore_ascii_case("srv-load") {
                load = std::str::from_utf8(field.value).ok().and_then(report::parse);
            }
        }
        let framing = match framing_fields {
            _ if matches!(status, 204 | 304) => Framing::Length(0),
            FramingFields { chunked: true, .. } => Framing::Chunked,
            FramingFields { length: Some(length), .. } => Framing::Length(length),
            FramingFields { length: None, .. } => Framing::Close,
        };
        bytes::Buf::advance(bytes, head_end);
        return Ok(Some(ResponseHead { status, framing, close, declined, load }));
    }
}

#[cfg(test)]
mod tests;
