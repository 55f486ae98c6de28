//! Messages between the core and the other tasks: events for the core, commands for a dispatch. Tasks and
//! core import these types instead of each other.

use std::rc::Rc;

use paddleproxy::interface::*;
use paddleproxy_engine as wire;
use paddleproxy_engine::{Load, StateReference};
use paddleproxy_membership::{OperatorCommand, SourceId, Status as MembershipStatus};
use paddleproxy_messages::Answer;
use paddleproxy_peers::Granted;
use paddleproxy_routing::{Counts, RequestFacts, SocketEnd};
use tokio::sync::{mpsc, oneshot};

use crate::answer::{AnswerStream, PendingReply};

/// An event or a request that another task sends to the core.
pub enum CoreEvent {
    Arrived {
        completion: CompletionId,
        facts: RequestFacts,
        received_ms: f64,
        request: Rc<ClientRequest>,
        pending_reply: PendingReply,
    },
    /// The first event of a streamed answer arrived; the dispatch waits for a grant.
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
    /// A source sent a version of the list. The reply is the position from which to continue polling; None
    /// requests the complete list.
    ListReceived {
        source: SourceId,
        list: wire::ServerList,
        fingerprint: Option<u64>,
        next: oneshot::Sender<ListPosition>,
    },
    /// The subscription to the list service failed.
    ListFailed,
    /// A source is reachable and has no new version.
    ListUnchanged {
        source: SourceId,
    },
    /// A source sent a version that can't be parsed.
    ListInvalid {
        source: SourceId,
        why: String,
    },
    /// An operator's command on a server. The reply is the resulting revision of the list, None for an
    /// unknown server.
    OperatorCommand {
        server: String,
        command: OperatorCommand,
        done: oneshot::Sender<Option<u64>>,
    },
    /// An operator accepts the held version. The reply is the resulting revision, None if no version is held.
    AcceptHeldList {
        done: oneshot::Sender<Option<u64>>,
    },
    GetMembership {
        status: oneshot::Sender<MembershipStatus>,
    },
    /// Result of a reachability check of a server.
    ReachabilityChecked {
        worker: WorkerId,
        reachable: bool,
    },
    /// Servers to check for reachability, because no dispatch goes to their zone.
    CheckReachability {
        workers: Vec<WorkerId>,
    },
    /// New settings for the decision core.
    SettingsChanged {
        decisions: Box<Settings>,
    },
    /// What this router may use of the resources that all routers share, and what it may use once that lease
    /// ends.
    SharesGranted {
        granted: Granted,
        floor: Granted,
    },
    /// Ends all open completions now.
    Stop,
    GetStatus {
        status: oneshot::Sender<CoreStatus>,
    },
}

/// Epoch and version of the list from which to continue polling; None requests the complete list.
pub type ListPosition = Option<(u64, u64)>;

pub type CoreSender = mpsc::Sender<CoreEvent>;

/// Figures for the admin port.
pub struct CoreStatus {
    pub counts: Counts,
    pub open: usize,
    pub servers: usize,
    pub version: Option<u64>,
    pub revision: u64,
    /// List versions that were held back for confirmation.
    pub held_total: u64,
    /// List versions that were refused.
    pub refused_total: u64,
    /// Releases that could not be delivered to their server, by cause.
    pub undelivered_releases: [(&'static str, u64); 3],
    /// Number of routers that the decision core assumes.
    pub router_count: usize,
}

/// A client's request in the form that dispatches send to servers.
pub struct ClientRequest {
    pub model: String,
    pub prompt: String,
    pub max_tokens: u32,
    pub stop: Vec<String>,
    /// Estimated tokens of the prompt, until the server reports the count.
    pub prompt_tokens: u64,
    pub streamed: bool,
    pub client_id: Option<String>,
    pub effect_key: Option<String>,
}

/// A command from the core to a dispatch in flight.
pub enum DispatchCommand {
    /// The stream that began becomes the answer to the client.
    Grant(AnswerStream),
    Stop,
}

/// How a dispatch ended, with its results.
pub struct DispatchEnd {
    pub end: SocketEnd,
    pub cached_tokens: f64,
    pub state: Option<StateReference>,
    /// The complete answer, where it was not streamed to the client.
    pub answer: Option<Answer>,
}

impl From<SocketEnd> for DispatchEnd {
    fn from(end: SocketEnd) -> Self {
        DispatchEnd { end, cached_tokens: 0.0, state: None, answer: None }
    }
}
