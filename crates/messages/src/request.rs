//! The request as all forms share it, and how the messages API writes it.

use serde::Deserialize;

use crate::error::ApiError;

/// What a client asks for, in whatever form. Fields of the forms that are unknown are passed over: the published APIs
/// grow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    pub model: String,
    /// The most tokens of the answer; at least 1.
    pub max_tokens: u32,
    pub system: String,
    /// At least one.
    pub turns: Vec<Turn>,
    pub stop_sequences: Vec<String>,
    pub stream: bool,
    /// Whether a streamed answer's last chunk tells its usage (chat completions form).
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

/// Stop sequences of a request and bytes of each, at most.
const STOPS_MAX: usize = 16;
const STOP_BYTES: usize = 512;

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

/// The body as text that is UTF-8, parsed.
pub(crate) fn json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, ApiError> {
    let text = std::str::from_utf8(body).map_err(|cause| {
        ApiError::invalid(format!("the body is not UTF-8 at byte {}", cause.valid_up_to()))
    })?;
    serde_json::from_str(text).map_err(|cause| ApiError::invalid(format!("body: {cause}")))
}

/// Parses the body of a request of the messages API; `counts_only` where no answer is asked for.
pub(crate) fn parse(body: &[u8], counts_only: bool) -> Result<Request, ApiError> {
    let raw: Raw = json(body)?;
    if raw.messages.is_empty() {
        return Err(ApiError::invalid("messages: at least one message is required"));
    }
    if raw.messages[0].role != Role::User {
        return Err(ApiError::invalid("messages.0.role: the first message must be of role 'user'"));
    }
    let max_tokens = match raw.max_tokens {
        None if counts_only => 1,
        None => return Err(ApiError::invalid("max_tokens: field required")),
        Some(tokens) => most_tokens("max_tokens", tokens)?,
    };
    let system = raw.system.map_or(Ok(String::new()), |system| flat(system, "system"))?;
    let mut turns = Vec::with_capacity(raw.messages.len());
    for (row, turn) in raw.messages.into_iter().enumerate() {
        turns.push(Turn { role: turn.role, text: flat(turn.content, &format!("messages.{row}.content"))? });
    }
    Ok(Request {
        model: raw.model,
        max_tokens,
        system,
        turns,
        stop_sequences: stops("stop_sequences", raw.stop_sequences.unwrap_or_default())?,
        stream: raw.stream.unwrap_or(false),
        stream_usage: true,
        user_id: raw.metadata.and_then(|metadata| metadata.user_id),
    })
}

pub(crate) fn most_tokens(name: &str, tokens: i64) -> Result<u32, ApiError> {
    u32::try_from(tokens)
        .ok()
        .filter(|tokens| *tokens > 0)
        .ok_or_else(|| ApiError::invalid(format!("{name}: {tokens} is not between 1 and {}", u32::MAX)))
}

pub(crate) fn stops(name: &str, stops: Vec<String>) -> Result<Vec<String>, ApiError> {
    if stops.len() > STOPS_MAX {
        return Err(ApiError::invalid(format!(
            "{name}: {} are given, at most {STOPS_MAX} are taken",
            stops.len()
        )));
    }
    if let Some(row) = stops.iter().position(|stop| stop.is_empty() || stop.len() > STOP_BYTES) {
        return Err(ApiError::invalid(format!("{name}.{row}: a stop sequence has 1 to {STOP_BYTES} bytes")));
    }
    Ok(stops)
}

pub(crate) fn flat(content: Content, place: &str) -> Result<String, ApiError> {
    let blocks = match content {
        Content::Text(text) => return Ok(text),
        Content::Blocks(blocks) => blocks,
    };
    let mut whole = String::new();
    for (row, block) in blocks.into_iter().enumerate() {
        match (block.kind.as_str(), block.text) {
            ("text", Some(text)) => whole.push_str(&text),
            ("text", None) => return Err(ApiError::invalid(format!("{place}.{row}.text: field required"))),
            (other, _) => {
                let message =
                    format!("{place}.{row}.type: '{other:.64}' is not supported; allowed is 'text'");
                return Err(ApiError::invalid(message));
            }
        }
    }
    Ok(whole)
}

impl Request {
    /// The prompt as one text, of which each turn's is a beginning of the next one's.
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
