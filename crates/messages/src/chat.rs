//! The published chat completions API: parsing of its requests, encoding of its responses.

use serde::Deserialize;
use serde_json::{json, Value};

use crate::error::ApiError;
use crate::request::{flatten, parse_json, token_limit, validate_stops, Content, Request, Role, Turn};
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

/// Used if a request sets no limit on the tokens of its answer.
const DEFAULT_MAX_TOKENS: u32 = 4096;

pub(crate) fn parse(body: &[u8]) -> Result<Request, ApiError> {
    let raw: Raw = parse_json(body)?;
    if raw.n.is_some_and(|n| n != 1) {
        return Err(ApiError::invalid("n: only 1 answer is given"));
    }
    let mut system = String::new();
    let mut turns = Vec::with_capacity(raw.messages.len());
    for (row, turn) in raw.messages.into_iter().enumerate() {
        let path = format!("messages.{row}.content");
        let text = turn.content.ok_or_else(|| ApiError::invalid(format!("{path}: field required")))?;
        let text = flatten(text, &path)?;
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
        (Some(tokens), _) => token_limit("max_completion_tokens", tokens)?,
        (None, Some(tokens)) => token_limit("max_tokens", tokens)?,
        (None, None) => DEFAULT_MAX_TOKENS,
    };
    let sequences = match raw.stop {
        None => Vec::new(),
        Some(Stops::One(stop)) => vec![stop],
        Some(Stops::Many(stops)) => stops,
    };
    Ok(Request {
        model: raw.model,
        max_tokens,
        system,
        turns,
        stop_sequences: validate_stops("stop", sequences)?,
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

/// The fields that all objects of one response share.
pub(crate) struct ResponseMeta<'a> {
    pub id: &'a str,
    pub model: &'a str,
    /// Seconds since 1970.
    pub created: u64,
    pub include_usage: bool,
}

pub(crate) fn encode_answer(meta: &ResponseMeta, answer: &Answer) -> Value {
    let message = json!({ "role": "assistant", "content": answer.text, "refusal": null });
    let finish = finish_reason(&answer.stop);
    json!({
        "id": format!("chatcmpl-{}", meta.id),
        "object": "chat.completion",
        "created": meta.created,
        "model": meta.model,
        "choices": [{ "index": 0, "message": message, "logprobs": null, "finish_reason": finish }],
        "usage": usage_of(answer.usage),
    })
}

fn chunk(meta: &ResponseMeta, choices: Value, usage: Option<Usage>) -> String {
    let mut chunk = json!({
        "id": format!("chatcmpl-{}", meta.id),
        "object": "chat.completion.chunk",
        "created": meta.created,
        "model": meta.model,
        "choices": choices,
    });
    if meta.include_usage {
        chunk["usage"] = usage.map_or(Value::Null, usage_of);
    }
    format!("data: {chunk}\n\n")
}

fn delta(meta: &ResponseMeta, delta: Value, finish: Option<&str>) -> String {
    chunk(meta, json!([{ "index": 0, "delta": delta, "logprobs": null, "finish_reason": finish }]), None)
}

pub(crate) fn encode_item(meta: &ResponseMeta, item: &StreamItem) -> String {
    match item {
        StreamItem::Start(_) => delta(meta, json!({ "role": "assistant", "content": "" }), None),
        StreamItem::Text(text) => delta(meta, json!({ "content": text }), None),
        // This API has no event for a keep-alive, so it is sent as a comment.
        StreamItem::Ping => ": ping\n\n".to_owned(),
        StreamItem::End(stop, usage) => {
            let mut text = delta(meta, json!({}), Some(finish_reason(stop)));
            if meta.include_usage {
                text.push_str(&chunk(meta, json!([]), Some(*usage)));
            }
            text + "data: [DONE]\n\n"
        }
        // No `[DONE]` follows: it would mark the answer as complete.
        StreamItem::Error(error) => format!("data: {}\n\n", json!({ "error": error.chat_detail() })),
    }
}
