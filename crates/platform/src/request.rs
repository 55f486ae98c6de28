//! Converts a client's request into an [`Arrival`] for the routing decisions, and the status of a server's
//! response into the [`SocketEnd`] that it stands for.

use paddleproxy::interface::{Arrival, CompletionId, CustomerId, PrefixId, SessionId, WorkloadId};
use paddleproxy_engine::Refusal;
use paddleproxy_routing::SocketEnd;
use xxhash_rust::xxh3::xxh3_64;

use crate::head::{Fields, RequestError};
use crate::settings::PlatformSettings;

/// Bytes of a prompt per token, as defined by the platform's protocol.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Longest id of a request.
const MAX_ID_BYTES: usize = 128;

/// The value of a hexadecimal key, and the hash of any other text.
fn parse_key(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
}

/// The id under which servers know the request. It becomes part of a path, so only letters, digits and `-_.`
/// are allowed, and no dot at the front.
///
/// # Errors
/// 400 if it is missing or invalid.
pub fn id(fields: &Fields) -> Result<&str, RequestError> {
    let id = fields.id.as_deref().ok_or(RequestError::new(400, "Req-Id is missing"))?;
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(allowed) || id.starts_with('.') {
        return Err(RequestError::new(400, "Req-Id can't be read"));
    }
    Ok(id)
}

fn parse_amount(text: &str, why: &'static str) -> Result<f64, RequestError> {
    let error = RequestError::new(400, why);
    let value: f64 = text.trim().parse().map_err(|_| error)?;
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(error)
    }
}

/// Converts the header fields and the body of a request.
///
/// # Errors
/// 400 for an unknown workload or customer, an invalid time, length or cost, and a body that is not JSON.
pub fn arrival(
    settings: &PlatformSettings,
    fields: &Fields,
    body: &[u8],
    completion: CompletionId,
    now_ms: f64,
) -> Result<Arrival, RequestError> {
    let index_of = |names: &[String], name: &str| names.iter().position(|entry| entry == name);
    let kind = fields.kind.as_deref().ok_or(RequestError::new(400, "Req-Kind is missing"))?;
    let workload =
        index_of(&settings.workloads, kind).ok_or(RequestError::new(400, "Req-Kind is not known"))?;
    let customer = match fields.owner.as_deref() {
        None => None,
        Some(owner) => Some(
            index_of(&settings.customers, owner).ok_or(RequestError::new(400, "Req-Owner is not known"))?,
        ),
    };
    let deadline = fields.deadline.as_deref().ok_or(RequestError::new(400, "Req-Deadline is missing"))?;
    let wait_ms = parse_amount(deadline, "Req-Deadline is no time")? * 1e3;
    if wait_ms <= 0.0 {
        return Err(RequestError::new(400, "Req-Deadline is no time"));
    }
    if serde_json::from_slice::<serde::de::IgnoredAny>(body).is_err() {
        return Err(RequestError::new(400, "the body is no JSON"));
    }
    let (mut prefix, mut prompt_tokens, mut prefix_tokens, mut max_tokens) = (None, None, 0.0, 0.0);
    for pair in fields.extra.as_deref().unwrap_or("").split(',').filter(|pair| !pair.trim().is_empty()) {
        let invalid = RequestError::new(400, "Req-Extra can't be read");
        let (name, value) = pair.split_once('=').ok_or(invalid)?;
        let parse_length = || parse_amount(value, "a length in Req-Extra is none");
        match name.trim() {
            "prefix" => prefix = Some(value.trim()).filter(|value| !value.is_empty()),
            "prompt_len" => prompt_tokens = Some(parse_length()?),
            "prefix_len" => prefix_tokens = parse_length()?,
            "max_out" => max_tokens = parse_length()?,
            _ => {}
        }
    }
    let cost_ms = match fields.cost.as_deref() {
        None => None,
        Some(cost) => Some(parse_amount(cost, "Req-Cost is no amount")? / 1e3),
    };
    let retry = fields.retry.as_deref();
    Ok(Arrival {
        completion,
        workload: WorkloadId(workload),
        session: SessionId(parse_key(fields.key.as_deref().or(fields.id.as_deref()).unwrap_or_default())),
        prefix: prefix.map(parse_key).filter(|prefix| *prefix != 0).map(PrefixId),
        customer: customer.map(CustomerId),
        // The settings limit the time of all attempts of a request together.
        client_timeout_ms: now_ms + wait_ms.min(settings.client_timeouts_ms[workload]),
        prompt_tokens: prompt_tokens.unwrap_or((body.len() as f64 / BYTES_PER_TOKEN).ceil()),
        prefix_tokens,
        max_tokens,
        answer_hint_ms: cost_ms,
        home_zone: None,
        client_retry: retry == Some("1"),
        resumed: retry == Some("again"),
    })
}

/// The outcome of a response whose status alone determines it; None for a stream of events (200) and a
/// completed read (202).
pub fn refusal(status: u16, declined: bool) -> Option<SocketEnd> {
    match status {
        200 | 202 => None,
        503 | 504 if declined => Some(SocketEnd::TurnedAway(Refusal::Full)),
        410 if declined => Some(SocketEnd::TurnedAway(Refusal::StateGone)),
        other => Some(SocketEnd::ErrorStatus(other)),
    }
}
