//! Events that the scheduler receives and actions that it requests. Types only: no behaviour, no tuned
//! values, no I/O. Times are fractional milliseconds on the caller's clock.

use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CompletionId(pub u32);
/// A worker's name, as listed by the discovery service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub Arc<str>);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);
/// A prompt prefix that several sessions share. Prompts without one carry no `PrefixId`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixId(pub u64);
/// Index into `Settings::workloads`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkloadId(pub usize);
/// Index into `Settings::customers`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub usize);
/// Index into `Settings::kinds`: workers of a kind share role and memory size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);
/// Sequence number of a dispatch within its completion, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Seq(pub u32);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts (prefill) and keeps their state until a writer fetches it.
    Reader,
    /// Fetches states and writes answers (decode).
    Writer,
    /// Reads and writes.
    Mixed,
}

/// Whether a completion may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    /// Carries an idempotency key: workers of one [`Group`] drop repeats within the workload's window.
    Tokened,
    NonIdempotent,
}

/// The workers that deduplicate repeats of a tokened completion among themselves.
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
    /// How long workers recognise repeats of a tokened completion.
    pub window_ms: f64,
    /// Relative value of a completion: more valuable workloads are admitted at higher load.
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
    /// Index of this router among `routers`, from 0.
    pub own_number: usize,
    /// Zone of this router, if known.
    pub zone: Option<ZoneId>,
    pub workloads: Vec<WorkloadSettings>,
    pub kinds: Vec<KindSettings>,
    pub customers: Vec<CustomerSettings>,
    /// Value of a completion beyond its customer's share, as a fraction of its workload's value.
    pub over_share_value: f64,
    /// Whether changes of the worker list arrive only after a subscription.
    pub must_subscribe: bool,
    /// After a failed list, the subscription has to be renewed within this time.
    pub must_ask_in_ms: f64,
    /// Whether a slot may be reserved at a worker while the prompt is still being read elsewhere.
    pub holds_allowed: bool,
    /// Whether workers of the role `Writer` can read prompts too.
    pub writers_read: bool,
    pub probes_allowed: bool,
    pub cancel_allowed: bool,
    /// Whether a completion may have a further dispatch while an earlier one is in flight.
    pub second_copies: bool,
    /// Whether rejected clients get a time for their retry.
    pub retry_after: bool,
    pub max_retry_after_ms: f64,
    pub max_dispatches: usize,
    /// Resolution of the caller's timers.
    pub resolution_ms: f64,
    /// How long a reader keeps the state of a prompt for the writer.
    pub pin_limit_ms: f64,
    /// A worker in slow start fails once it receives more than this multiple of its present capacity within
    /// `fall_ms`.
    pub fall_multiple: f64,
    /// Length of the overload window, in ms: what is sent within it counts towards `fall_multiple`.
    pub fall_ms: f64,
    /// Capacity of a worker just after its start, as a fraction of its full capacity.
    pub cold_share: f64,
    /// Length of slow start: the time from a worker's start to its full capacity.
    pub cold_ms: f64,
    /// Whether a worker's weight sets its share of the session homes. Otherwise weights are ignored.
    pub weights_act: bool,
    /// This router's agreed part of what all routers together may send to workers in slow start; `None`:
    /// routers use the slow-start rotation.
    pub slow_start_share: Option<f64>,
    /// Distance rank of each zone (column) from each zone (row): overflow goes to the nearest zone first.
    /// Empty: all zones are equally far.
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
    /// Clock time of its last start; `None`: it started long ago.
    pub started_ms: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the rows that changed.
    Changes,
    /// The complete list: workers that it lacks are gone.
    Whole,
    /// The complete list that an earlier run saved.
    Saved,
    /// The list could not be fetched.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Finished,
    Error,
    /// Rejected: slots and queue are full, or the worker is draining.
    Full,
    /// Rejected: there was no state to fetch.
    NoState,
    TimedOut,
    ConnectFailed,
    /// Not sent, for a reason on the side of the router or the client: no evidence about the worker.
    Unsent,
    Broken,
    Cancelled,
    /// Not sent: at that time it was obsolete or beyond a limit.
    Moot,
    /// The prompt was read; its state waits at the reader.
    Read,
}

/// A worker's report of its own load. Reports are delayed and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub active_requests: Option<f64>,
    /// Requests that wait for a slot.
    pub queue: Option<f64>,
    /// Fraction of the slots (or of the processor) in use.
    pub slots_share: Option<f64>,
    pub latency_ms: Option<f64>,
    pub memory_share: Option<f64>,
    /// Prompt tokens that wait to be read, in thousands.
    pub waiting_kilotokens: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Arrival {
    pub completion: CompletionId,
    pub workload: WorkloadId,
    pub session: SessionId,
    pub prefix: Option<PrefixId>,
    pub customer: Option<CustomerId>,
    /// Clock time at which the client abandons this attempt.
    pub client_timeout_ms: f64,
    pub prompt_tokens: f64,
    /// Length of the shared prefix; 0 without one.
    pub prefix_tokens: f64,
    pub max_tokens: f64,
    /// The client's estimate of how long the answer takes.
    pub answer_hint_ms: Option<f64>,
    /// Zone that the session's home was moved to by agreement of the routers; `None`: the hash alone decides.
    pub home_zone: Option<ZoneId>,
    /// Whether this is a retry by the client.
    pub client_retry: bool,
    pub resumed: bool,
}

/// An expected entry of a worker's cache: tokens of a session or a prefix that it has read.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheEntry {
    pub worker: WorkerId,
    /// Exactly one of `session` and `prefix` is set.
    pub session: Option<SessionId>,
    pub prefix: Option<PrefixId>,
    pub tokens: f64,
    /// Time since the entry was last observed, in ms.
    pub age_ms: f64,
}

/// Identifies a timer of the scheduler; passed back unchanged when it fires.
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
    /// The worker began to stream the answer.
    Began {
        completion: CompletionId,
        seq: Seq,
        took_ms: f64,
    },
    Ended {
        completion: CompletionId,
        seq: Seq,
        took_ms: f64,
        /// Whether the completion as a whole is finished.
        done: bool,
        outcome: Outcome,
        /// Prompt tokens that the worker found in its cache.
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
    /// The outcome of an [`Action::Hold`].
    HoldAnswered {
        completion: CompletionId,
        seq: Seq,
        worker: WorkerId,
        held: bool,
    },
    /// The client has left or has its final answer: no further outcome is needed.
    Expired {
        completion: CompletionId,
    },
    TimerFired(Timer),
    PeerMessage {
        peer: PeerId,
        payload: Vec<u8>,
    },
    /// Expected cache entries at workers that are listed now, recovered from an earlier run; their token
    /// counts are already discounted by age.
    Recovered(Vec<CacheEntry>),
    /// New settings. Existing rows keep their position and meaning; further rows may follow them.
    Settings(Box<Settings>),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends the completion to the worker. Its role, and whether a state waits to be fetched, determine what
    /// it does: read, write, or both.
    Dispatch {
        completion: CompletionId,
        worker: WorkerId,
        timeout_ms: f64,
    },
    Cancel {
        completion: CompletionId,
        seq: Seq,
    },
    /// Reserves a slot at the worker while the prompt is still being read elsewhere.
    Hold {
        completion: CompletionId,
        worker: WorkerId,
    },
    /// Releases the state that waits at a reader and the reserved slot, if no dispatch in flight needs them.
    Release {
        completion: CompletionId,
    },
    /// Final answer: a retry by the client is safe. A `retry_after_ms` of 0 gives no time for it.
    RateLimit {
        completion: CompletionId,
        retry_after_ms: f64,
    },
    /// Final answer: the completion failed, and a retry could run it a second time.
    Abort {
        completion: CompletionId,
    },
    /// Starts a timer; [`Event::TimerFired`] follows.
    Arm {
        in_ms: f64,
        timer: Timer,
    },
    /// Subscribes to changes of the worker list, or renews the subscription.
    Subscribe,
    FetchList,
    Probe {
        worker: WorkerId,
    },
    /// Closes the idle connections to the worker.
    CloseIdle {
        worker: WorkerId,
    },
    /// Continues a running stream at another worker.
    MoveStream {
        completion: CompletionId,
    },
    /// Sends a message to one router, or to all for `None`.
    SendToPeer {
        peer: Option<PeerId>,
        payload: Vec<u8>,
    },
    Log(String),
}
