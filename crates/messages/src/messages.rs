//! Encoding of responses of the messages API, with the event names of a dialect.

use serde_json::{json, Value};

use crate::dialect::EventNames;
use crate::{Answer, Stop, StreamItem, Usage};

fn usage_of(usage: Usage) -> Value {
    json!({
        "input_tokens": usage.input_tokens.saturating_sub(usage.cached_tokens),
        "cache_read_input_tokens": usage.cached_tokens,
        "cache_creation_input_tokens": 0,
        "output_tokens": usage.output_tokens,
    })
}

fn stop_reason(stop: &Stop) -> (&'static str, Option<&str>) {
    match stop {
        Stop::EndTurn => ("end_turn", None),
        Stop::MaxTokens => ("max_tokens", None),
        Stop::Sequence(text) => ("stop_sequence", Some(text)),
    }
}

fn message(id: &str, model: &str, content: Value, stop: Option<&Stop>, usage: Usage) -> Value {
    let (reason, sequence) = stop.map(stop_reason).map_or((None, None), |(name, text)| (Some(name), text));
    json!({
        "id": format!("msg_{id}"),
        "type": "message",
        "role": "assistant",
        "model": model,
        "content": content,
        "stop_reason": reason,
        "stop_sequence": sequence,
        "usage": usage_of(usage),
    })
}

pub(crate) fn encode_answer(id: &str, model: &str, answer: &Answer) -> Value {
    let content = json!([{ "type": "text", "text": answer.text }]);
    message(id, model, content, Some(&answer.stop), answer.usage)
}

/// One event under its name in the dialect; empty if the dialect omits it.
fn event(names: &EventNames, name: &'static str, mut data: Value) -> String {
    let Some(name) = names.name_of(name) else { return String::new() };
    data["type"] = Value::from(name);
    format!("event: {name}\ndata: {data}\n\n")
}

pub(crate) fn encode_item(names: &EventNames, id: &str, model: &str, item: &StreamItem) -> String {
    match item {
        StreamItem::Start(usage) => {
            let message = message(id, model, json!([]), None, *usage);
            let block = json!({ "index": 0, "content_block": { "type": "text", "text": "" } });
            event(names, "message_start", json!({ "message": message }))
                + &event(names, "content_block_start", block)
        }
        StreamItem::Text(text) => {
            let delta = json!({ "type": "text_delta", "text": text });
            event(names, "content_block_delta", json!({ "index": 0, "delta": delta }))
        }
        StreamItem::Ping => event(names, "ping", json!({})),
        StreamItem::End(stop, usage) => {
            let (reason, sequence) = stop_reason(stop);
            let delta = json!({ "stop_reason": reason, "stop_sequence": sequence });
            event(names, "content_block_stop", json!({ "index": 0 }))
                + &event(names, "message_delta", json!({ "delta": delta, "usage": usage_of(*usage) }))
                + &event(names, "message_stop", json!({}))
        }
        StreamItem::Error(error) => event(names, "error", json!({ "error": error.detail() })),
    }
}
