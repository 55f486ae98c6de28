//! The words between the tasks and the core: what the core is told and what it says to a dispatch. Tasks and core import
//! these, not each other.

use std::rc::Rc;

use paddleproxy::interface::*;
use paddleproxy_engine as wire;
use paddleproxy_engine::{Load, StateReference};
use paddleproxy_membership::{OperatorCommand as ListSays, SourceId, Status as ListStatus};
use paddleproxy_messages::Answer;
use paddleproxy_peers::Granted;
use paddleproxy_routing::{Counts, RequestFacts, SocketEnd};
use tokio::sync::{mpsc, oneshot};

use crate::answer::{AnswerStream, PendingReply};

/// What the core is told.
pub enum Told {
    Arrived {
        completion: CompletionId,
        facts: RequestFacts,
        received_ms: f64,
        ask: Rc<Ask>,
        owed: PendingReply,
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
        end: End,
    },
    Left {
        completion: CompletionId,
    },
    Reported {
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
    List {
        source: SourceId,
        list: wire::ServerList,
        fingerprint: Option<u64>,
        next: oneshot::Sender<Known>,
    },
    ListFailed,
    /// A source is there and has nothing new.
    ListSpoke {
        source: SourceId,
    },
    /// A version that could not even be read.
    ListUnreadable {
        source: SourceId,
        why: String,
    },
    /// An operator's word on a server; the revision that results goes back, none where there is no such server.
    Say {
        server: String,
        word: ListSays,
        done: oneshot::Sender<Option<u64>>,
    },
    /// An operator takes a held version.
    Accept {
        done: oneshot::Sender<Option<u64>>,
    },
    Members {
        status: oneshot::Sender<ListStatus>,
    },
    /// A server was asked whether it is there.
    There {
        worker: WorkerId,
        there: bool,
    },
    /// Servers to ask whether they are there: no dispatch goes to their zone.
    Look {
        workers: Vec<WorkerId>,
    },
    /// Other settings for the decisions from now on.
    Settings {
        decisions: Box<Settings>,
    },
    /// What this router may use of what all share, and what is left to it once that lapses.
    Shared {
        granted: Granted,
        floor: Granted,
    },
    /// All completions still open end now.
    Stop,
    Ask {
        status: oneshot::Sender<Status>,
    },
}

/// Epoch and version of the list to ask on from; None for the whole.
pub type Known = Option<(u64, u64)>;

pub type ToCore = mpsc::Sender<Told>;

/// Figures for the admin port.
pub struct Status {
    pub counts: Counts,
    pub open: usize,
    pub servers: usize,
    pub version: Option<u64>,
    pub revision: u64,
    /// Versions of the list that were held, and refused.
    pub held_total: u64,
    pub refused: u64,
    /// Releases that their server did not hear, by cause.
    pub unheard: [(&'static str, u64); 3],
    /// Routers reckoned with.
    pub reckoned: usize,
}

/// What a client asked for, as the servers need it.
pub struct Ask {
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
pub enum Word {
    Grant(AnswerStream),
    Stop,
}

/// How it ended, with what it brought.
pub struct End {
    pub end: SocketEnd,
    pub kept_tokens: f64,
    pub state: Option<StateReference>,
    pub whole: Option<Answer>,
}

impl From<SocketEnd> for End {
    fn from(end: SocketEnd) -> Self {
        End { end, kept_tokens: 0.0, state: None, whole: None }
    }
}
