use serde::Deserialize;

use crate::error::ApiError;

/// A parsed `POST /v1/messages`. Fields that are unknown are passed over, as the published API may grow.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub model: String,
    /// The most tokens of the answer; at least 1.
    pub max_tokens: u32,
    pub system: String,
    /// At least one.
    pub turns: Vec<Turn>,
    pub stream: bool,
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

#[derive(Deserialize)]
struct Raw {
    model: String,
    max_tokens: i64,
    messages: Vec<RawTurn>,
    #[serde(default)]
    system: Option<Content>,
    #[serde(default)]
    stream: bool,
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
enum Content {
    Text(String),
    Blocks(Vec<Block>),
}

#[derive(Deserialize)]
struct Block {
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    text: Option<String>,
}

/// Parses a request's body.
///
/// # Errors
/// `invalid_request_error` with what was wrong and, for JSON, where.
pub fn parse(body: &[u8]) -> Result<Request, ApiError> {
    let text = std::str::from_utf8(body).map_err(|cause| {
        ApiError::invalid(format!("the body is not UTF-8 at byte {}", cause.valid_up_to()))
    })?;
    let raw: Raw = serde_json::from_str(text).map_err(|cause| ApiError::invalid(format!("body: {cause}")))?;
    if raw.messages.is_empty() {
        return Err(ApiError::invalid("messages: at least one message is required"));
    }
    if raw.messages[0].role != Role::User {
        return Err(ApiError::invalid("messages.0.role: the first message must be of role 'user'"));
    }
    let max_tokens = u32::try_from(raw.max_tokens).ok().filter(|tokens| *tokens > 0);
    let max_tokens = max_tokens.ok_or_else(|| {
        ApiError::invalid(format!("max_tokens: {} is not between 1 and {}", raw.max_tokens, u32::MAX))
    })?;
    let system = raw.system.map_or(Ok(String::new()), |system| flat(system, "system"))?;
    let mut turns = Vec::with_capacity(raw.messages.len());
    for (row, turn) in raw.messages.into_iter().enumerate() {
        turns.push(Turn { role: turn.role, text: flat(turn.content, &format!("messages.{row}.content"))? });
    }
    let user_id = raw.metadata.and_then(|metadata| metadata.user_id);
    Ok(Request { model: raw.model, max_tokens, system, turns, stream: raw.stream, user_id })
}

fn flat(content: Content, place: &str) -> Result<String, ApiError> {
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
                let message = format!("{place}.{row}.type: '{other}' is not supported; allowed is 'text'");
                return Err(ApiError::invalid(message));
            }
        }
    }
    Ok(whole)
}

impl Request {
    /// The prompt as one text, of which each turn's is a beginning of the next one's.
    pub fn prompt(&self) -> String {
        let mut prompt = String::with_capacity(
            self.system.len() + self.turns.iter().map(|turn| turn.text.len() + 16).sum::<usize>() + 16,
        );
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
mod tests {
    use super::*;

    #[test]
    fn each_turn_begins_with_the_one_before() {
        let first = parse(
            br#"{"model":"m","max_tokens":5,"system":[{"type":"text","text":"S"}],
            "messages":[{"role":"user","content":"a"}]}"#,
        )
        .unwrap();
        let second = parse(
            br#"{"model":"m","max_tokens":5,"system":"S","messages":[{"role":"user","content":"a"},
            {"role":"assistant","content":" b"},{"role":"user","content":[{"type":"text","text":"c"}]}]}"#,
        )
        .unwrap();
        assert_eq!(first.prompt(), "S\n\nHuman: a\n\nAssistant:");
        assert!(second.prompt().starts_with("S\n\nHuman: a\n\nAssistant:"));
    }

    #[test]
    fn wrong_bodies_say_what_and_where() {
        let wrong = |body: &[u8]| parse(body).unwrap_err().message;
        assert_eq!(wrong(b"{\"model\":\xff}"), "the body is not UTF-8 at byte 9");
        assert!(wrong(b"{").contains("line 1 column 1"));
        let no_turns = br#"{"model":"m","max_tokens":5,"messages":[]}"#;
        assert_eq!(wrong(no_turns), "messages: at least one message is required");
        let zero = br#"{"model":"m","max_tokens":0,"messages":[{"role":"user","content":"a"}]}"#;
        assert!(wrong(zero).starts_with("max_tokens: 0"));
        let image =
            br#"{"model":"m","max_tokens":1,"messages":[{"role":"user","content":[{"type":"image"}]}]}"#;
        assert!(wrong(image).starts_with("messages.0.content.0.type: 'image'"));
        let deep = format!("{}{}", "[".repeat(500), "]".repeat(500));
        assert!(wrong(deep.as_bytes()).starts_with("body: "));
    }
}
