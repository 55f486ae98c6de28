//! Paths, headers and bodies of the calls between routers, servers and the list service.
//!
//! With disaggregated prefill, a reader prefills a prompt and keeps the state (its KV cache) until a writer
//! fetches it and decodes the answer.

use serde::{Deserialize, Serialize};

/// Paths. `/v1/completions` is published; the others are specific to this project.
pub const COMPLETIONS: &str = "/v1/completions";
/// Health check of a server.
pub const PROBE: &str = "/x/probe";
/// See [`ReleaseRequest`].
pub const RELEASE: &str = "/x/release";
/// See [`HoldRequest`].
pub const HOLD: &str = "/x/hold";
/// See [`TakeRequest`].
pub const TAKE: &str = "/x/take";
/// The list service's path; see [`ServerList`].
pub const SERVERS: &str = "/v1/servers";

/// Headers. `x-request-id` identifies the dispatch; the client's own id and idempotency key are forwarded
/// unchanged.
pub const REQUEST_ID: &str = "x-request-id";
pub const CLIENT_REQUEST_ID: &str = "x-client-request-id";
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    pub model: String,
    pub prompt: String,
    pub max_tokens: u32,
    #[serde(default)]
    pub stream: bool,
    /// Stop sequences: the answer ends before the first of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_transfer_params: Option<StateReference>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    pub include_usage: bool,
}

/// The published `kv_transfer_params`: requests that a reader keeps the state, or references a kept state for
/// a writer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateReference {
    #[serde(default)]
    pub do_remote_decode: bool,
    #[serde(default)]
    pub do_remote_prefill: bool,
    #[serde(default)]
    pub remote_engine_id: Option<String>,
    #[serde(default)]
    pub remote_block_ids: Option<Vec<u64>>,
    #[serde(default)]
    pub remote_host: Option<String>,
    #[serde(default)]
    pub remote_port: Option<u16>,
}

impl StateReference {
    /// Requests that the reader keeps the state for another server.
    pub fn request_remote_decode() -> Self {
        StateReference { do_remote_decode: true, ..StateReference::default() }
    }

    /// Whether this references a state that a writer can fetch. Limits the size of the reference, since the
    /// router stores it.
    pub fn usable(&self) -> bool {
        self.do_remote_prefill
            && self.remote_engine_id.as_ref().is_some_and(|id| !id.is_empty() && id.len() <= 256)
            && self.remote_block_ids.as_ref().is_some_and(|ids| !ids.is_empty() && ids.len() <= 1 << 16)
            && self.remote_host.as_ref().is_some_and(|host| host.len() <= 256)
            && self.remote_port.is_some()
    }
}

/// A whole answer or one chunk of a stream; both have the same fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    #[serde(default)]
    pub id: String,
    #[serde(default)]
    pub choices: Vec<Choice>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_transfer_params: Option<StateReference>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    #[serde(default)]
    pub index: u32,
    #[serde(default)]
    pub text: String,
    #[serde(default)]
    pub finish_reason: Option<String>,
    /// If `finish_reason` is `stop`: the stop sequence that was found, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stop_reason: Option<String>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    #[serde(default)]
    pub prompt_tokens: u64,
    #[serde(default)]
    pub completion_tokens: u64,
    #[serde(default)]
    pub prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptDetails {
    #[serde(default)]
    pub cached_tokens: u64,
}

impl Usage {
    /// Cached tokens of the prompt, at most all of them.
    pub fn cached(&self) -> u64 {
        self.prompt_tokens_details.map_or(0, |details| details.cached_tokens).min(self.prompt_tokens)
    }
}

/// An error in the published format; its `code` is that of a [`Refusal`] if the work certainly did not run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    pub error: ErrorDetail,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    pub message: String,
    #[serde(default, rename = "type")]
    pub kind: String,
    #[serde(default)]
    pub code: Option<String>,
}

/// Rejections that prove that the work did not run, each with its own code and a fixed status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The server has no free capacity.
    Full,
    Draining,
    /// The state that the dispatch references no longer exists.
    StateGone,
}

impl Refusal {
    pub const ALL: [Refusal; 3] = [Refusal::Full, Refusal::Draining, Refusal::StateGone];

    pub fn code(self) -> &'static str {
        match self {
            Refusal::Full => "full",
            Refusal::Draining => "draining",
            Refusal::StateGone => "state_gone",
        }
    }

    pub fn status(self) -> u16 {
        match self {
            Refusal::Full | Refusal::Draining => 503,
            Refusal::StateGone => 409,
        }
    }

    /// The refusal that a response stands for; None unless both its code and its status match.
    pub fn of(status: u16, body: &[u8]) -> Option<Refusal> {
        let body: ErrorBody = serde_json::from_slice(body).ok()?;
        let code = body.error.code?;
        Refusal::ALL.into_iter().find(|refusal| refusal.code() == code && refusal.status() == status)
    }

    /// The body of the response.
    pub fn body(self) -> String {
        error_body(self.code(), "not taken; nothing ran", Some(self.code()))
    }
}

/// The body of an error response.
pub fn error_body(kind: &str, message: &str, code: Option<&str>) -> String {
    let error =
        ErrorDetail { message: message.to_owned(), kind: kind.to_owned(), code: code.map(str::to_owned) };
    serde_json::to_string(&ErrorBody { error }).unwrap_or_default()
}

/// Releases the state and the slot of a dispatch. Specific to this project.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    pub request_id: String,
}

/// Reserves a slot and memory at a writer while a reader prefills the dispatch. Specific to this project.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRequest {
    pub request_id: String,
    pub tokens: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldReply {
    pub held: bool,
}

/// Fetches a state, which the reader then releases; sent between servers. Specific to this project.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeRequest {
    pub block: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeReply {
    pub tokens: u64,
}

/// The response of the list service: the whole list, or the changes since the requested version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerList {
    /// Identifies the start of the service: version numbers restart with it.
    #[serde(default)]
    pub epoch: u64,
    pub version: u64,
    /// The version to which the changes apply; absent for a whole list.
    #[serde(default)]
    pub after: Option<u64>,
    pub servers: Vec<ServerEntry>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    /// `ready`, `draining` or `gone`.
    pub readiness: String,
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Identifies the server's process; a new process has an empty cache.
    pub start: u64,
    /// Time since that process started; absent if it was long ago.
    #[serde(default)]
    pub age_ms: Option<f64>,
}

fn default_weight() -> f64 {
    1.0
}
