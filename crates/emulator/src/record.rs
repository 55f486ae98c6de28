//! What sockets carried, or would have carried, on one clock. The judge of a day reads nothing else.

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Time since the day began, in ms.
    pub at_ms: f64,
    #[serde(flatten)]
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum What {
    /// A server's process started; a cold one is not yet warm.
    Started {
        server: String,
        zone: String,
        cell: u32,
        cold: bool,
    },
    Died {
        server: String,
    },
    FellOver {
        server: String,
    },
    /// A dispatch arrived whole at a server. Work is in ms of the warm server's time; `writes` where it can have an
    /// effect.
    Dispatch {
        server: String,
        request: String,
        client: String,
        model: String,
        work_ms: f64,
        writes: bool,
    },
    /// It was turned away; nothing ran.
    #[serde(rename = "turned")]
    Rejected {
        server: String,
        request: String,
        code: String,
    },
    /// Its connection is done with it, in whatever way.
    Ended {
        server: String,
        request: String,
    },
    /// Work took its effect, or was dropped as a repeat.
    Effect {
        server: String,
        request: String,
        key: String,
        repeat: bool,
    },
    State {
        server: String,
        request: String,
    },
    StateGone {
        server: String,
        request: String,
        why: String,
    },
    /// The list service sent a router this word of a server.
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
    Trouble {
        name: String,
        begins: bool,
    },
    /// A fault between processes begins or ends, and which routers it may make others think gone.
    Fault {
        name: String,
        routers: Vec<usize>,
        begins: bool,
    },
    /// What a router said of its fellows, asked at that time and heard at the line's.
    #[serde(rename = "fellows")]
    PeerStatus {
        router: usize,
        asked_ms: f64,
        #[serde(rename = "life")]
        generation: u64,
        #[serde(rename = "mind")]
        status: String,
        /// Of each thing shared out, and for how long without another word; none: its floor.
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
    /// What a router said of failover, asked at that time and heard at the line's: the page and plan in force, which share
    /// of which zone's sessions has its home where, what it makes of each zone, and what each asks for and can take.
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
    /// Time that a router's process was on a processor from the day's start to its end.
    #[serde(rename = "used")]
    CpuUsed {
        router: usize,
        cpu_ms: f64,
    },
    /// A client's request left whole; it waits until the deadline.
    Asked {
        op: String,
        attempt: u32,
        router: usize,
        model: String,
        customer: String,
        deadline_ms: f64,
        target_ms: f64,
    },
    /// The first byte of an answer's head, and the first event of a stream.
    Head {
        op: String,
        attempt: u32,
        status: u16,
    },
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
    /// Something more came after a final answer.
    More {
        op: String,
        attempt: u32,
    },
    /// The connection ended without a final answer, or could not be made at all.
    Broke {
        op: String,
        attempt: u32,
        connected: bool,
    },
    /// The client itself gave up.
    Left {
        op: String,
        attempt: u32,
    },
}
