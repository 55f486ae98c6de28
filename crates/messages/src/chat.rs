//! The published chat completions form: how it writes a request and an answer.

use serde::Deserialize;
use serde_json::{json, Value};

use crate::error::ApiError;
use crate::request::{flat, json, most_tokens, stops, Content, Request, Role, Turn};
use crate::{Answer, Stop, StreamItem, Usage};

#[derive(Deserialize)]
struct Raw {
    model: String,
    messages: Vec<RawTurn>,
    #[serde(default)]
    max_tokens: Option<i64>,
    #[serde(default)]
    max_completion_tokens: Option<i64>,
    #[serde(default)]
    stop: Option<Stops>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    n: Option<i64>,
    #[serde(default)]
    user: Option<String>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct RawTurn {
    role: ChatRole,
    #[serde(default)]
    content: Option<Content>,
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ChatRole {
    System,
    Developer,
    User,
    Assistant,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Stops {
    One(String),
    Many(Vec<String>),
}

/// Answers of a request that sets no bound.
const MAX_TOKENS: u32 = 4096;

pub(crate) fn parse(body: &[u8]) -> Result<Request, ApiError> {
    let raw: Raw = json(body)?;
    if raw.n.is_some_and(|n| n != 1) {
        return Err(ApiError::invalid("n: only 1 answer is given"));
    }
    let mut system = String::new();
    let mut turns = Vec::with_capacity(raw.messages.len());
    for (row, turn) in raw.messages.into_iter().enumerate() {
        let place = format!("messages.{row}.content");
        let text = turn.content.ok_or_else(|| ApiError::invalid(format!("{place}: field required")))?;
        let text = flat(text, &place)?;
        match turn.role {
            ChatRole::System | ChatRole::Developer => system.push_str(&text),
            ChatRole::User => turns.push(Turn { role: Role::User, text }),
            ChatRole::Assistant => turns.push(Turn { role: Role::Assistant, text }),
        }
    }
    if turns.is_empty() {
        return Err(ApiError::invalid("messages: at least one message of a user is required"));
    }
    let max_tokens = match (raw.max_completion_tokens, raw.max_tokens) {
        (Some(tokens), _) => most_tokens("max_completion_tokens", tokens)?,
        (None, Some(tokens)) => most_tokens("max_tokens", tokens)?,
        (None, None) => MAX_TOKENS,
    };
    let given = match raw.stop {
        None => Vec::new(),
        Some(Stops::One(stop)) => vec![stop],
        Some(Stops::Many(stops)) => stops,
    };
    Ok(Request {
        model: raw.model,
        max_tokens,
        system,
        turns,
        stop_sequences: stops("stop", given)?,
        stream: raw.stream.unwrap_or(false),
        stream_usage: raw.stream_options.is_some_and(|options| options.include_usage),
        user_id: raw.user,
    })
}

fn finish_reason(stop: &Stop) -> &'static str {
    match stop {
        Stop::EndTurn | Stop::Sequence(_) => "stop",
        Stop::MaxTokens => "length",
    }
}

fn usage_of(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.input_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.input_tokens + usage.output_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}

/// What every object of one answer begins with.
pub(crate) struct Head<'a> {
    pub id: &'a str,
    pub model: &'a str,
    /// Seconds since 1970.
    pub created: u64,
    pub include_usage: bool,
}

pub(crate) fn whole(head: &Head, answer: &Answer) -> Value {
    let message = json!({ "role": "assistant", "content": answer.text, "refusal": null });
    let finish = finish_reason(&answer.stop);
    json!({
        "id": format!("chatcmpl-{}", head.id),
        "object": "chat.completion",
        "created": head.created,
        "model": head.model,
        "choices": [{ "index": 0, "message": message, "logprobs": null, "finish_reason": finish }],
        "usage": usage_of(answer.usage),
    })
}

fn chunk(head: &Head, choices: Value, usage: Option<Usage>) -> String {
    let mut chunk = json!({
        "id": format!("chatcmpl-{}", head.id),
        "object": "chat.completion.chunk",
        "created": head.created,
        "model": head.model,
        "choices": choices,
    });
    if head.include_usage {
        chunk["usage"] = usage.map_or(Value::Null, usage_of);
    }
    format!("data: {chunk}\n\n")
}

fn delta(head: &Head, delta: Value, finish: Option<&str>) -> String {
    chunk(head, json!([{ "index": 0, "delta": delta, "logprobs": null, "finish_reason": finish }]), None)
}

pub(crate) fn piece(head: &Head, piece: &StreamItem) -> String {
    match piece {
        StreamItem::Start(_) => delta(head, json!({ "role": "assistant", "content": "" }), None),
        StreamItem::Text(text) => delta(head, json!({ "content": text }), None),
        // A remark keeps the connection alive; this form has no event for it.
        StreamItem::Ping => ": ping\n\n".to_owned(),
        StreamItem::End(stop, usage) => {
            let mut text = delta(head, json!({}), Some(finish_reason(stop)));
            if head.include_usage {
                text.push_str(&chunk(head, json!([]), Some(*usage)));
            }
            text + "data: [DONE]\n\n"
        }
        // Without the end that the form has for whole answers: this one is not.
        StreamItem::Error(error) => format!("data: {}\n\n", json!({ "error": error.chat_detail() })),
    }
}
