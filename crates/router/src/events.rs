//! The words between the tasks and the core: what the core is told and what it says to a dispatch. Tasks and core import
//! these, not each other.

use std::rc::Rc;

use paddleproxy::interface::*;
use paddleproxy_engine as wire;
use paddleproxy_engine::{Load, StateReference};
use paddleproxy_membership::{SourceId, Status as MembershipStatus, Word as OperatorCommand};
use paddleproxy_messages::Answer;
use paddleproxy_peers::Granted;
use paddleproxy_routing::{Counts, RequestFacts, SocketEnd};
use tokio::sync::{mpsc, oneshot};

use crate::answer::{Owed, Stream};

/// What the core is told.
pub enum CoreEvent {
    Arrived {
        completion: CompletionId,
        facts: RequestFacts,
        received_ms: f64,
        request: Rc<ClientRequest>,
        pending_reply: Owed,
    },
    Began {
        completion: CompletionId,
        seq: Seq,
        took_ms: f64,
    },
    Ended {
        completion: CompletionId,
        seq: Seq,
        took_ms: f64,
        end: DispatchEnd,
    },
    ClientLeft {
        completion: CompletionId,
    },
    LoadReported {
        worker: WorkerId,
        load: Load,
    },
    Probed {
        worker: WorkerId,
        load: Option<Load>,
        answered: bool,
        took_ms: f64,
    },
    HoldAnswered {
        completion: CompletionId,
        seq: Seq,
        worker: WorkerId,
        held: bool,
    },
    /// A version of a source; the one to ask on from goes back, none for the whole.
    ListReceived {
        source: SourceId,
        list: wire::ServerList,
        fingerprint: Option<u64>,
        next: oneshot::Sender<ListPosition>,
    },
    ListFailed,
    /// A source is there and has nothing new.
    ListUnchanged {
        source: SourceId,
    },
    /// A version that could not even be read.
    ListInvalid {
        source: SourceId,
        why: String,
    },
    /// An operator's word on a server; the revision that results goes back, none where there is no such server.
    OperatorCommand {
        server: String,
        command: OperatorCommand,
        done: oneshot::Sender<Option<u64>>,
    },
    /// An operator takes a held version.
    AcceptHeldList {
        done: oneshot::Sender<Option<u64>>,
    },
    GetMembership {
        status: oneshot::Sender<MembershipStatus>,
    },
    /// A server was asked whether it is there.
    ReachabilityChecked {
        worker: WorkerId,
        reachable: bool,
    },
    /// Servers to ask whether they are there: no dispatch goes to their zone.
    CheckReachability {
        workers: Vec<WorkerId>,
    },
    /// Other settings for the decisions from now on.
    SettingsChanged {
        decisions: Box<Settings>,
    },
    /// What this router may use of what all share, and what is left to it once that lapses.
    SharesGranted {
        granted: Granted,
        floor: Granted,
    },
    /// All completions still open end now.
    Stop,
    GetStatus {
        status: oneshot::Sender<CoreStatus>,
    },
}

/// Epoch and version of the list to ask on from; None for the whole.
pub type ListPosition = Option<(u64, u64)>;

pub type CoreSender = mpsc::Sender<CoreEvent>;

/// Figures for the admin port.
pub struct CoreStatus {
    pub counts: Counts,
    pub open: usize,
    pub servers: usize,
    pub version: Option<u64>,
    pub revision: u64,
    /// Versions of the list that were held, and refused.
    pub held_total: u64,
    pub refused_total: u64,
    /// Releases that their server did not hear, by cause.
    pub undelivered_releases: [(&'static str, u64); 3],
    /// Routers reckoned with.
    pub router_count: usize,
}

/// What a client asked for, as the servers need it.
pub struct ClientRequest {
    pub model: String,
    pub prompt: String,
    pub max_tokens: u32,
    pub stop: Vec<String>,
    /// What the prompt is taken to hold until its server says so.
    pub prompt_tokens: u64,
    pub streamed: bool,
    pub client_id: Option<String>,
    pub effect_key: Option<String>,
}

/// What the core tells a dispatch that is out.
pub enum DispatchCommand {
    Grant(Stream),
    Stop,
}

/// How it ended, with what it brought.
pub struct DispatchEnd {
    pub end: SocketEnd,
    pub cached_tokens: f64,
    pub state: Option<StateReference>,
    pub answer: Option<Answer>,
}

impl From<SocketEnd> for DispatchEnd {
    fn from(end: SocketEnd) -> Self {
        DispatchEnd { end, cached_tokens: 0.0, state: None, answer: None }
    }
}
