use serde::{Deserialize, Serialize};

/// Paths. The first two are published; those under `/x/` are ours.
pub const COMPLETIONS: &str = "/v1/completions";
pub const PROBE: &str = "/x/probe";
pub const RELEASE: &str = "/x/release";
pub const HOLD: &str = "/x/hold";
pub const TAKE: &str = "/x/take";
pub const SERVERS: &str = "/v1/servers";

/// Headers. `x-request-id` names the dispatch; the client's own id and key are handed on as they came.
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
    /// The answer ends before the first of these.
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

/// The published `kv_transfer_params`: asks a reader to keep the state, or tells a writer where it waits.
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
    pub fn request_remote_decode() -> Self {
        StateReference { do_remote_decode: true, ..StateReference::default() }
    }

    /// Whether this names a state that a writer can fetch, of a size that is worth keeping here.
    pub fn usable(&self) -> bool {
        self.do_remote_prefill
            && self.remote_engine_id.as_ref().is_some_and(|id| !id.is_empty() && id.len() <= 256)
            && self.remote_block_ids.as_ref().is_some_and(|ids| !ids.is_empty() && ids.len() <= 1 << 16)
            && self.remote_host.as_ref().is_some_and(|host| host.len() <= 256)
            && self.remote_port.is_some()
    }
}

/// A whole answer or one chunk of a stream; both have the same form.
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
    /// With the reason `stop`: which of the request's stop texts it was, if any.
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
    pub fn cached(&self) -> u64 {
        self.prompt_tokens_details.map_or(0, |details| details.cached_tokens).min(self.prompt_tokens)
    }
}

/// The published form of an error; `code` holds one of ours where the work surely never ran.
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

/// The codes that prove that nothing ran, with the status that must come with each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    Full,
    Draining,
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

    pub fn of(status: u16, body: &[u8]) -> Option<Refusal> {
        let body: ErrorBody = serde_json::from_slice(body).ok()?;
        let code = body.error.code?;
        Refusal::ALL.into_iter().find(|refusal| refusal.code() == code && refusal.status() == status)
    }

    pub fn body(self) -> String {
        error_body(self.code(), "not taken; nothing ran", Some(self.code()))
    }
}

pub fn error_body(kind: &str, message: &str, code: Option<&str>) -> String {
    let error =
        ErrorDetail { message: message.to_owned(), kind: kind.to_owned(), code: code.map(str::to_owned) };
    serde_json::to_string(&ErrorBody { error }).unwrap_or_default()
}

/// Ours: lets go of the state and the place that a dispatch asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    pub request_id: String,
}

/// Ours: asks a writer to keep a slot and memory for a dispatch that is being read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRequest {
    pub request_id: String,
    pub tokens: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldReply {
    pub held: bool,
}

/// Ours, between servers: fetches a state, after which the reader has let go of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeRequest {
    pub block: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeReply {
    pub tokens: u64,
}

/// What the list service answers: the whole list, or what changed after the version asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerList {
    /// Names the service's own start: versions count anew with each.
    #[serde(default)]
    pub epoch: u64,
    pub version: u64,
    /// The version that changes build on; absent where the whole list is given.
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
    #[serde(default = "one")]
    pub weight: f64,
    /// Number of its process; another one has kept nothing.
    pub start: u64,
    /// Time since that process started, in ms; absent: long ago.
    #[serde(default)]
    pub age_ms: Option<f64>,
}

fn one() -> f64 {
    1.0
}
