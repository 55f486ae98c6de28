//! The request that all dialects share, and parsing of requests of the messages API.

use serde::Deserialize;

use crate::error::ApiError;

/// A client's request, whatever its API. Unknown fields of a request are ignored, since the published APIs
/// add new ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    pub model: String,
    /// Limit on the tokens of the answer; at least 1.
    pub max_tokens: u32,
    pub system: String,
    /// Never empty.
    pub turns: Vec<Turn>,
    pub stop_sequences: Vec<String>,
    pub stream: bool,
    /// Whether the last chunk of a streamed answer holds its usage (chat completions API).
    pub stream_usage: bool,
    pub user_id: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Turn {
    pub role: Role,
    pub text: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    User,
    Assistant,
}

/// Most stop sequences of a request, and most bytes of each.
const MAX_STOPS: usize = 16;
const MAX_STOP_BYTES: usize = 512;

#[derive(Deserialize)]
struct Raw {
    model: String,
    #[serde(default)]
    max_tokens: Option<i64>,
    messages: Vec<RawTurn>,
    #[serde(default)]
    system: Option<Content>,
    #[serde(default)]
    stop_sequences: Option<Vec<String>>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    metadata: Option<Metadata>,
}

#[derive(Deserialize)]
struct Metadata {
    #[serde(default)]
    user_id: Option<String>,
}

#[derive(Deserialize)]
struct RawTurn {
    role: Role,
    content: Content,
}

#[derive(Deserialize)]
#[serde(untagged)]
pub(crate) enum Content {
    Text(String),
    Blocks(Vec<Block>),
}

#[derive(Deserialize)]
pub(crate) struct Block {
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    text: Option<String>,
}

/// Parses a JSON body, which must be UTF-8.
pub(crate) fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, ApiError> {
    let text = std::str::from_utf8(body).map_err(|cause| {
        ApiError::invalid(format!("the body is not UTF-8 at byte {}", cause.valid_up_to()))
    })?;
    serde_json::from_str(text).map_err(|cause| ApiError::invalid(format!("body: {cause}")))
}

/// Parses the body of a request of the messages API. With `count_only` the request only counts tokens, and
/// `max_tokens` is optional.
pub(crate) fn parse(body: &[u8], count_only: bool) -> Result<Request, ApiError> {
    let raw: Raw = parse_json(body)?;
    if raw.messages.is_empty() {
        return Err(ApiError::invalid("messages: at least one message is required"));
    }
    if raw.messages[0].role != Role::User {
        return Err(ApiError::invalid("messages.0.role: the first message must be of role 'user'"));
    }
    let max_tokens = match raw.max_tokens {
        None if count_only => 1,
        None => return Err(ApiError::invalid("max_tokens: field required")),
        Some(tokens) => token_limit("max_tokens", tokens)?,
    };
    let system = raw.system.map_or(Ok(String::new()), |system| flatten(system, "system"))?;
    let mut turns = Vec::with_capacity(raw.messages.len());
    for (row, turn) in raw.messages.into_iter().enumerate() {
        turns
            .push(Turn { role: turn.role, text: flatten(turn.content, &format!("messages.{row}.content"))? });
    }
    Ok(Request {
        model: raw.model,
        max_tokens,
        system,
        turns,
        stop_sequences: validate_stops("stop_sequences", raw.stop_sequences.unwrap_or_default())?,
        stream: raw.stream.unwrap_or(false),
        stream_usage: true,
        user_id: raw.metadata.and_then(|metadata| metadata.user_id),
    })
}

pub(crate) fn token_limit(name: &str, tokens: i64) -> Result<u32, ApiError> {
    u32::try_from(tokens)
        .ok()
        .filter(|tokens| *tokens > 0)
        .ok_or_else(|| ApiError::invalid(format!("{name}: {tokens} is not between 1 and {}", u32::MAX)))
}

pub(crate) fn validate_stops(name: &str, stops: Vec<String>) -> Result<Vec<String>, ApiError> {
    if stops.len() > MAX_STOPS {
        return Err(ApiError::invalid(format!(
            "{name}: {} are given, at most {MAX_STOPS} are taken",
            stops.len()
        )));
    }
    if let Some(row) = stops.iter().position(|stop| stop.is_empty() || stop.len() > MAX_STOP_BYTES) {
        return Err(ApiError::invalid(format!(
            "{name}.{row}: a stop sequence has 1 to {MAX_STOP_BYTES} bytes"
        )));
    }
    Ok(stops)
}

pub(crate) fn flatten(content: Content, path: &str) -> Result<String, ApiError> {
    let blocks = match content {
        Content::Text(text) => return Ok(text),
        Content::Blocks(blocks) => blocks,
    };
    let mut flattened = String::new();
    for (row, block) in blocks.into_iter().enumerate() {
        match (block.kind.as_str(), block.text) {
            ("text", Some(text)) => flattened.push_str(&text),
            ("text", None) => return Err(ApiError::invalid(format!("{path}.{row}.text: field required"))),
            (other, _) => {
                let message = format!("{path}.{row}.type: '{other:.64}' is not supported; allowed is 'text'");
                return Err(ApiError::invalid(message));
            }
        }
    }
    Ok(flattened)
}

impl Request {
    /// The prompt as one text. The prompt of each turn of a conversation is a prefix of the next one's, so
    /// that servers can reuse their cache.
    pub fn prompt(&self) -> String {
        let length =
            self.system.len() + self.turns.iter().map(|turn| turn.text.len() + 16).sum::<usize>() + 16;
        let mut prompt = String::with_capacity(length);
        prompt.push_str(&self.system);
        for turn in &self.turns {
            prompt.push_str(match turn.role {
                Role::User => "\n\nHuman: ",
                Role::Assistant => "\n\nAssistant: ",
            });
            prompt.push_str(&turn.text);
        }
        prompt.push_str("\n\nAssistant:");
        prompt
    }
}

#[cfg(test)]
mod tests;
