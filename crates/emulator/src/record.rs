//! Record of what passed over the sockets, real or simulated, on one clock. The checker of a day reads
//! nothing else.

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Time since the start of the day, in ms.
    pub at_ms: f64,
    #[serde(flatten)]
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum What {
    /// A server process started; `cold` if it is in slow start.
    Started {
        server: String,
        zone: String,
        cell: u32,
        cold: bool,
    },
    /// A server process ended.
    Died {
        server: String,
    },
    /// A server in slow start hung under too much work.
    FellOver {
        server: String,
    },
    /// A dispatch arrived completely at a server. `work_ms` is its time on a warm server; `writes` if it can
    /// have an effect.
    Dispatch {
        server: String,
        request: String,
        client: String,
        model: String,
        work_ms: f64,
        writes: bool,
    },
    /// A server rejected a dispatch; nothing ran.
    #[serde(rename = "turned")]
    Rejected {
        server: String,
        request: String,
        code: String,
    },
    /// The server is done with a dispatch, whatever the outcome.
    Ended {
        server: String,
        request: String,
    },
    /// The work of a dispatch took effect or, if `repeat`, was dropped as a repeat.
    Effect {
        server: String,
        request: String,
        key: String,
        repeat: bool,
    },
    /// A reader holds the state of a dispatch for a writer.
    State {
        server: String,
        request: String,
    },
    /// A reader no longer holds a state: `taken` by a writer, `released`, `lease` expired, `unwanted` or
    /// `died`.
    StateGone {
        server: String,
        request: String,
        why: String,
    },
    /// The list service sent a router this entry of a server.
    #[serde(rename = "told")]
    ListSent {
        router: usize,
        server: String,
        readiness: String,
        cold: bool,
    },
    RouterUp {
        router: usize,
    },
    RouterDown {
        router: usize,
    },
    /// A scripted trouble begins or ends.
    Trouble {
        name: String,
        begins: bool,
    },
    /// A fault of router processes or their connections begins or ends. `routers` are those that others may
    /// consider failed because of it.
    Fault {
        name: String,
        routers: Vec<usize>,
        begins: bool,
    },
    /// A router's view of its peers, requested at `asked_ms` and received at the time of the line.
    #[serde(rename = "fellows")]
    PeerStatus {
        router: usize,
        asked_ms: f64,
        #[serde(rename = "life")]
        generation: u64,
        #[serde(rename = "mind")]
        status: String,
        /// Share that the router may use of each resource divided among the routers, floor included.
        shares: Vec<f64>,
        #[serde(rename = "page")]
        allocation: u64,
        digest: u32,
        alive: Vec<usize>,
        failed: Vec<(usize, u64)>,
        #[serde(rename = "deaf_to")]
        not_hearing: Vec<usize>,
        #[serde(rename = "unheard_by")]
        not_heard_by: Vec<usize>,
    },
    /// A router's view of failover, requested at `asked_ms` and received at the time of the line: the
    /// allocation and plan in force, which share of a zone's sessions has its home in which other zone, the
    /// verdict on each zone, and the demand and capacity of each zone.
    Plan {
        router: usize,
        asked_ms: f64,
        #[serde(rename = "mind")]
        status: String,
        #[serde(rename = "page")]
        allocation: u64,
        plan: u64,
        moves: Vec<(String, String, f64)>,
        verdicts: Vec<(String, String)>,
        #[serde(rename = "rooms")]
        capacities: Vec<(String, f64, f64)>,
        completions: u64,
        moved: u64,
    },
    /// Processor time that a router process used during the day.
    #[serde(rename = "used")]
    CpuUsed {
        router: usize,
        cpu_ms: f64,
    },
    /// A client sent an attempt of a request completely; it waits until the deadline.
    Asked {
        op: String,
        attempt: u32,
        router: usize,
        model: String,
        customer: String,
        deadline_ms: f64,
        target_ms: f64,
    },
    /// The first byte of an answer's head.
    Head {
        op: String,
        attempt: u32,
        status: u16,
    },
    /// The first event of an answer's stream.
    First {
        op: String,
        attempt: u32,
    },
    /// A final answer: `finished`, `rate-limited` or `aborted`.
    Final {
        op: String,
        attempt: u32,
        how: String,
    },
    /// Further data arrived after a final answer.
    More {
        op: String,
        attempt: u32,
    },
    /// The connection ended without a final answer or, if not `connected`, could not be made.
    Broke {
        op: String,
        attempt: u32,
        connected: bool,
    },
    /// The client left before the end of its attempt.
    Left {
        op: String,
        attempt: u32,
    },
}
