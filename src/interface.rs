//! What the decisions are told and what they ask for. Types only: no behaviour, no tuned value, no wire.
//! Times are milliseconds with fractions on the clock of the caller.

use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CompletionId(pub u32);
/// A worker's own name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub Arc<str>);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);
/// A beginning that sessions share; absent where a prompt shares none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixId(pub u64);
/// Row in `Settings::workloads`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkloadId(pub usize);
/// Row in `Settings::customers`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub usize);
/// Row in `Settings::kinds`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);
/// Number of a dispatch within its completion, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Seq(pub u32);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Reader,
    Writer,
    Mixed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Tokened,
    NonIdempotent,
}

/// Which workers together drop repeats of a tokened completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct WorkloadSettings {
    pub effect: Effect,
    pub group: Group,
    pub window_ms: f64,
    pub value: f64,
    pub latency_target_ms: f64,
    /// Added to the latency target for each prompt token.
    pub target_per_token_ms: f64,
}

#[derive(Clone, Debug)]
pub struct KindSettings {
    pub role: Role,
    pub memory_tokens: f64,
}

#[derive(Clone, Debug)]
pub struct CustomerSettings {
    pub quota_per_s: f64,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub routers: usize,
    pub own_number: usize,
    pub zone: Option<ZoneId>,
    pub workloads: Vec<WorkloadSettings>,
    pub kinds: Vec<KindSettings>,
    pub customers: Vec<CustomerSettings>,
    /// What a completion beyond its customer's share is worth, as a share of its value.
    pub over_share_value: f64,
    pub must_subscribe: bool,
    pub must_ask_in_ms: f64,
    pub holds_allowed: bool,
    pub writers_read: bool,
    pub probes_allowed: bool,
    pub cancel_allowed: bool,
    pub second_copies: bool,
    pub retry_after: bool,
    pub max_retry_after_ms: f64,
    pub max_dispatches: usize,
    pub resolution_ms: f64,
    pub pin_limit_ms: f64,
    pub fall_multiple: f64,
    pub fall_ms: f64,
    pub cold_share: f64,
    pub cold_ms: f64,
    /// Whether a worker's weight sets its share of homes; else it says nothing here.
    pub weights_act: bool,
    /// The own part of what all routers together may send to fresh workers, as they agreed; absent: by turns.
    pub slow_start_share: Option<f64>,
    /// How far each zone is from each, as the order in which overflow goes there; empty: all the same.
    pub zone_distances: Vec<Vec<u8>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub struct Listing {
    pub worker: WorkerId,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub readiness: Readiness,
    pub weight: f64,
    /// Clock time of its last start; absent: long ago.
    pub started_ms: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Whole,
    Saved,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Finished,
    Error,
    /// Turned away: slots and queue full, or draining.
    Full,
    /// Turned away: there was no state to fetch.
    NoState,
    TimedOut,
    ConnectFailed,
    /// Not sent, for a reason of the router's own or of the client's: it says nothing of the worker.
    Unsent,
    Broken,
    Cancelled,
    /// Never sent.
    Moot,
    /// The prompt is read; its state waits at the reader.
    Read,
}

/// What a worker said of itself; late and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub active_requests: Option<f64>,
    pub queue: Option<f64>,
    pub slots_share: Option<f64>,
    pub latency_ms: Option<f64>,
    pub memory_share: Option<f64>,
    pub waiting_kilotokens: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Arrival {
    pub completion: CompletionId,
    pub workload: WorkloadId,
    pub session: SessionId,
    pub prefix: Option<PrefixId>,
    pub customer: Option<CustomerId>,
    /// Clock time at which the client gives up on this try.
    pub client_timeout_ms: f64,
    pub prompt_tokens: f64,
    pub prefix_tokens: f64,
    pub max_tokens: f64,
    pub answer_hint_ms: Option<f64>,
    /// Zone that its session's home moved to, as routers agreed; absent: home is where its hash says.
    pub home_zone: Option<ZoneId>,
    pub client_retry: bool,
    pub resumed: bool,
}

/// Tokens of a text that a worker is held to keep.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheEntry {
    pub worker: WorkerId,
    /// One of the two.
    pub session: Option<SessionId>,
    pub prefix: Option<PrefixId>,
    pub tokens: f64,
    /// How long ago it was seen, in ms.
    pub age_ms: f64,
}

/// A timer of the module's own, given back as it was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    Completion(CompletionId),
    Subscribe,
}

#[derive(Clone, Debug)]
pub enum Event {
    Listed {
        kind: ListKind,
        rows: Arc<[Listing]>,
    },
    Arrived(Arrival),
    Began {
        completion: CompletionId,
        seq: Seq,
        took_ms: f64,
    },
    Ended {
        completion: CompletionId,
        seq: Seq,
        took_ms: f64,
        done: bool,
        outcome: Outcome,
        cached_tokens: f64,
    },
    Reported {
        worker: WorkerId,
        load: LoadReport,
    },
    Probed {
        worker: WorkerId,
        answered: bool,
        took_ms: f64,
    },
    HoldAnswered {
        completion: CompletionId,
        seq: Seq,
        worker: WorkerId,
        held: bool,
    },
    Expired {
        completion: CompletionId,
    },
    TimerFired(Timer),
    PeerMessage {
        peer: PeerId,
        payload: Vec<u8>,
    },
    /// What an earlier run knew as kept at workers that are listed now, weighed already.
    Recovered(Vec<CacheEntry>),
    /// Other settings from now on. Rows that were there stay what and where they were; further ones may follow.
    Settings(Box<Settings>),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Dispatch { completion: CompletionId, worker: WorkerId, timeout_ms: f64 },
    Cancel { completion: CompletionId, seq: Seq },
    Hold { completion: CompletionId, worker: WorkerId },
    Release { completion: CompletionId },
    RateLimit { completion: CompletionId, retry_after_ms: f64 },
    Abort { completion: CompletionId },
    Arm { in_ms: f64, timer: Timer },
    Subscribe,
    FetchList,
    Probe { worker: WorkerId },
    CloseIdle { worker: WorkerId },
    MoveStream { completion: CompletionId },
    SendToPeer { peer: Option<PeerId>, payload: Vec<u8> },
    Log(String),
}
