//! A client's request in the terms of the decisions, and a worker's answer as the end that it is.

use paddleproxy::interface::{Arrival, CompletionId, CustomerId, PrefixId, SessionId, WorkloadId};
use paddleproxy_engine::Refusal;
use paddleproxy_routing::SocketEnd;
use xxhash_rust::xxh3::xxh3_64;

use crate::head::{Fields, RequestError};
use crate::settings::PlatformSettings;

/// Characters of a prompt for each of its tokens, of the platform's protocol.
const TOKEN_BYTES: f64 = 4.0;
/// The most characters of an id.
const ID_BYTES: usize = 128;

/// A key is a hexadecimal number on the wire; what is not is known by its hash.
fn key(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
}

/// The id by which workers know the request: it becomes part of a path, so nothing else than a name will do.
///
/// # Errors
/// 400 where there is none or it can't be read.
pub fn id(fields: &Fields) -> Result<&str, RequestError> {
    let id = fields.id.as_deref().ok_or(RequestError::new(400, "Req-Id is missing"))?;
    let named = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if id.is_empty() || id.len() > ID_BYTES || !id.bytes().all(named) || id.starts_with('.') {
        return Err(RequestError::new(400, "Req-Id can't be read"));
    }
    Ok(id)
}

fn amount(text: &str, why: &'static str) -> Result<f64, RequestError> {
    let fault = RequestError::new(400, why);
    let value: f64 = text.trim().parse().map_err(|_| fault)?;
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(fault)
    }
}

/// Reads what a request asks for.
///
/// # Errors
/// 400 for an unknown workload or customer, and for a time or a length that is none.
pub fn arrival(
    provision: &PlatformSettings,
    fields: &Fields,
    body: &[u8],
    completion: CompletionId,
    now_ms: f64,
) -> Result<Arrival, RequestError> {
    let row = |known: &[String], name: &str| known.iter().position(|entry| entry == name);
    let kind = fields.kind.as_deref().ok_or(RequestError::new(400, "Req-Kind is missing"))?;
    let workload = row(&provision.workloads, kind).ok_or(RequestError::new(400, "Req-Kind is not known"))?;
    let customer = match fields.owner.as_deref() {
        None => None,
        Some(owner) => {
            Some(row(&provision.customers, owner).ok_or(RequestError::new(400, "Req-Owner is not known"))?)
        }
    };
    let deadline = fields.deadline.as_deref().ok_or(RequestError::new(400, "Req-Deadline is missing"))?;
    let wait_ms = amount(deadline, "Req-Deadline is no time")? * 1e3;
    if wait_ms <= 0.0 {
        return Err(RequestError::new(400, "Req-Deadline is no time"));
    }
    if serde_json::from_slice::<serde::de::IgnoredAny>(body).is_err() {
        return Err(RequestError::new(400, "the body is no JSON"));
    }
    let (mut prefix, mut prompt_tokens, mut prefix_tokens, mut max_tokens) = (None, None, 0.0, 0.0);
    for pair in fields.extra.as_deref().unwrap_or("").split(',').filter(|pair| !pair.trim().is_empty()) {
        let unreadable = RequestError::new(400, "Req-Extra can't be read");
        let (name, value) = pair.split_once('=').ok_or(unreadable)?;
        let length = || amount(value, "a length in Req-Extra is none");
        match name.trim() {
            "prefix" => prefix = Some(value.trim()).filter(|value| !value.is_empty()),
            "prompt_len" => prompt_tokens = Some(length()?),
            "prefix_len" => prefix_tokens = length()?,
            "max_out" => max_tokens = length()?,
            _ => {}
        }
    }
    let cost_ms = match fields.cost.as_deref() {
        None => None,
        Some(cost) => Some(amount(cost, "Req-Cost is no amount")? / 1e3),
    };
    let retry = fields.retry.as_deref();
    Ok(Arrival {
        completion,
        workload: WorkloadId(workload),
        session: SessionId(key(fields.key.as_deref().or(fields.id.as_deref()).unwrap_or_default())),
        prefix: prefix.map(key).filter(|prefix| *prefix != 0).map(PrefixId),
        customer: customer.map(CustomerId),
        // Nobody waits longer than the settings tell for all tries together.
        client_timeout_ms: now_ms + wait_ms.min(provision.client_timeouts_ms[workload]),
        prompt_tokens: prompt_tokens.unwrap_or((body.len() as f64 / TOKEN_BYTES).ceil()),
        prefix_tokens,
        max_tokens,
        answer_hint_ms: cost_ms,
        near: None,
        client_retry: retry == Some("1"),
        resumed: retry == Some("again"),
    })
}

/// What an answer without a stream of events means; none for those that bring one or a read.
pub fn refusal(status: u16, declined: bool) -> Option<SocketEnd> {
    match status {
        200 | 202 => None,
        503 | 504 if declined => Some(SocketEnd::TurnedAway(Refusal::Full)),
        410 if declined => Some(SocketEnd::TurnedAway(Refusal::StateGone)),
        other => Some(SocketEnd::ErrorStatus(other)),
    }
}
