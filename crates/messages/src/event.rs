use serde_json::{json, Value};

use crate::error::ApiError;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt, and those of them found kept.
    pub input_tokens: u64,
    pub cached_tokens: u64,
    pub output_tokens: u64,
}

impl Usage {
    fn input(&self) -> Value {
        let fresh = self.input_tokens.saturating_sub(self.cached_tokens);
        json!({
            "input_tokens": fresh,
            "cache_read_input_tokens": self.cached_tokens,
            "cache_creation_input_tokens": 0,
            "output_tokens": self.output_tokens,
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    EndTurn,
    MaxTokens,
}

impl StopReason {
    fn name(self) -> &'static str {
        match self {
            StopReason::EndTurn => "end_turn",
            StopReason::MaxTokens => "max_tokens",
        }
    }
}

/// A whole answer, for clients who did not ask for a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub id: String,
    pub model: String,
    pub text: String,
    pub stop: StopReason,
    pub usage: Usage,
}

impl Answer {
    pub fn body(&self) -> String {
        json!({
            "id": self.id,
            "type": "message",
            "role": "assistant",
            "model": self.model,
            "content": [{ "type": "text", "text": self.text }],
            "stop_reason": self.stop.name(),
            "stop_sequence": null,
            "usage": self.usage.input(),
        })
        .to_string()
    }
}

/// Encodes one streamed answer; each method gives the bytes of the events due at that moment.
pub struct StreamEncoder {
    id: String,
    model: String,
}

fn event(name: &str, data: &Value) -> String {
    format!("event: {name}\ndata: {data}\n\n")
}

impl StreamEncoder {
    pub fn new(id: impl Into<String>, model: impl Into<String>) -> Self {
        StreamEncoder { id: id.into(), model: model.into() }
    }

    pub fn start(&self, usage: Usage) -> String {
        let message = json!({
            "id": self.id,
            "type": "message",
            "role": "assistant",
            "model": self.model,
            "content": [],
            "stop_reason": null,
            "stop_sequence": null,
            "usage": usage.input(),
        });
        let block = json!({ "type": "text", "text": "" });
        let start = event("message_start", &json!({ "type": "message_start", "message": message }));
        let data = json!({ "type": "content_block_start", "index": 0, "content_block": block });
        start + &event("content_block_start", &data)
    }

    pub fn text(&self, text: &str) -> String {
        let delta = json!({ "type": "text_delta", "text": text });
        event("content_block_delta", &json!({ "type": "content_block_delta", "index": 0, "delta": delta }))
    }

    pub fn ping(&self) -> String {
        event("ping", &json!({ "type": "ping" }))
    }

    pub fn finish(&self, stop: StopReason, usage: Usage) -> String {
        let delta = json!({ "stop_reason": stop.name(), "stop_sequence": null });
        let usage = json!({ "output_tokens": usage.output_tokens });
        event("content_block_stop", &json!({ "type": "content_block_stop", "index": 0 }))
            + &event("message_delta", &json!({ "type": "message_delta", "delta": delta, "usage": usage }))
            + &event("message_stop", &json!({ "type": "message_stop" }))
    }

    /// The last event of a stream that broke.
    pub fn error(&self, error: &ApiError) -> String {
        let inner = json!({ "type": error.kind.name(), "message": error.message });
        event("error", &json!({ "type": "error", "error": inner }))
    }
}
