//! Heads of requests and answers. Read strictly: what two parties could read in two ways is refused.

use crate::{report, MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEAD_FIELDS};
use paddleproxy::interface::LoadReport;

/// What is wrong with a request, as the status that says so.
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

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    /// Only an answer: with its connection.
    Close,
}

/// The platform's own fields and the key for repeats, as they were sent.
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
    /// By which servers drop repeats of a keyed class.
    pub idempotency_key: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub framing: Framing,
    /// The client closes after the answer.
    pub close: bool,
    /// The client waits to be told to send its body.
    pub expects_continue: bool,
    pub fields: Fields,
    /// Length of the head itself, in bytes.
    pub bytes: usize,
}

/// Fields that say where a body ends, gathered over a head.
#[derive(Default)]
struct Lengths {
    length: Option<usize>,
    chunked: bool,
}

const BOTH: RequestError = RequestError::new(400, "both Content-Length and Transfer-Encoding");
const LENGTH: RequestError = RequestError::new(400, "Content-Length is no length");
const CODING: RequestError = RequestError::new(400, "Transfer-Encoding is not chunked");
const TWICE: RequestError = RequestError::new(400, "a field is there twice");
const NO_HEAD: RequestError = RequestError::new(400, "not the head of an HTTP/1.1 request");

impl Lengths {
    fn take(&mut self, name: &str, value: &[u8]) -> Result<(), RequestError> {
        if name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(value).map_err(|_| LENGTH)?.trim();
            if text.is_empty() || !text.bytes().all(|digit| digit.is_ascii_digit()) {
                return Err(LENGTH);
            }
            // A number beyond any size is only too large.
            let length = text.parse().unwrap_or(usize::MAX);
            if self.length.replace(length).is_some() {
                return Err(LENGTH);
            }
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if self.chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(CODING);
            }
            self.chunked = true;
        }
        if self.chunked && self.length.is_some() {
            return Err(BOTH);
        }
        Ok(())
    }
}

fn closes(name: &str, value: &[u8]) -> bool {
    let close = |part: &[u8]| part.trim_ascii().eq_ignore_ascii_case(b"close");
    name.eq_ignore_ascii_case("connection") && value.split(|byte| *byte == b',').any(close)
}

/// Reads the head of a request; None while it has not all come.
///
/// # Errors
/// What can't be read, or could be read in two ways, and what is past a bound.
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
        Err(_) => return Err(NO_HEAD),
    };
    if head.version != Some(1) {
        return Err(RequestError::new(505, "HTTP/1.1 is spoken here"));
    }
    let (mut lengths, mut close, mut expects_continue, mut own) =
        (Lengths::default(), false, false, Fields::default());
    for field in head.headers.iter() {
        lengths.take(field.name, field.value)?;
        close |= closes(field.name, field.value);
        expects_continue |= field.name.eq_ignore_ascii_case("expect");
        let slot = match field.name.to_ascii_lowercase().as_str() {
            "req-id" => &mut own.id,
            "req-kind" => &mut own.kind,
            "req-owner" => &mut own.owner,
            "req-key" => &mut own.key,
            "req-deadline" => &mut own.deadline,
            "req-extra" => &mut own.extra,
            "req-retry" => &mut own.retry,
            "req-cost" => &mut own.cost,
            "idempotency-key" => &mut own.idempotency_key,
            _ => continue,
        };
        let text = std::str::from_utf8(field.value).map_err(|_| NO_HEAD)?;
        if slot.replace(text.trim().to_owned()).is_some() {
            return Err(TWICE);
        }
    }
    let framing = match lengths {
        Lengths { chunked: true, .. } => Framing::Chunked,
        Lengths { length, .. } => Framing::Length(length.unwrap_or(0)),
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
        fields: own,
        bytes: length,
    }))
}

#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    pub status: u16,
    pub framing: Framing,
    pub close: bool,
    /// The worker says that it turned the request away: it never ran.
    pub declined: bool,
    pub load: Option<LoadReport>,
}

impl ResponseHead {
    /// Whether its connection can serve again once the body has been read.
    pub fn connection_reusable(&self) -> bool {
        !self.close && self.framing != Framing::Close
    }
}

/// Takes the head of an answer off the front of `bytes`, with any interim answers before it; None while it has not
/// all come.
///
/// # Errors
/// What is no head, or longer than [`MAX_HEAD_BYTES`], interim answers included.
pub fn parse_response(bytes: &mut bytes::BytesMut) -> Result<Option<ResponseHead>, &'static str> {
    let mut from = 0;
    // A line that can't be read, a report with noise in it for one, spoils no answer whose status and framing can be.
    let mut lenient = httparse::ParserConfig::default();
    lenient.ignore_invalid_headers_in_responses(true);
    loop {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
        let mut head = httparse::Response::new(&mut fields);
        let text = &bytes[from..bytes.len().min(MAX_HEAD_BYTES)];
        let length = match lenient.parse_response(&mut head, text) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
            Ok(httparse::Status::Partial) => return Err("the head of the answer does not end"),
            Err(_) => return Err("the head of the answer can't be read"),
        };
        from += length;
        let status = head.code.unwrap_or_default();
        if (100..200).contains(&status) && status != 101 {
            continue;
        }
        let (mut lengths, mut close, mut declined, mut load) = (Lengths::default(), false, false, None);
        for field in head.headers.iter() {
            lengths.take(field.name, field.value).map_err(|fault| fault.why)?;
            close |= closes(field.name, field.value);
            declined |= field.name.eq_ignore_ascii_case("srv-declined") && field.value == b"1";
            if field.name.eq_ignore_ascii_case("srv-load") {
                load = std::str::from_utf8(field.value).ok().and_then(report::parse);
            }
        }
        let framing = match lengths {
            _ if matches!(status, 204 | 304) => Framing::Length(0),
            Lengths { chunked: true, .. } => Framing::Chunked,
            Lengths { length: Some(length), .. } => Framing::Length(length),
            Lengths { length: None, .. } => Framing::Close,
        };
        bytes::Buf::advance(bytes, from);
        return Ok(Some(ResponseHead { status, framing, close, declined, load }));
    }
}

#[cfg(test)]
mod tests;
