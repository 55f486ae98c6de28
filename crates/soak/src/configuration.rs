//! The configuration of the routers in a play, and the classes of requests that it defines.

use std::net::SocketAddr;

use serde_json::{json, Value};

use crate::record::Idempotency;

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// Its name on the wire.
    pub name: &'static str,
    /// Whether its work may run again.
    pub idempotency: Idempotency,
    /// Deadline for the first byte of a response, as a share of the longest deadline of the play.
    pub deadline_share: f64,
    /// Window within which servers drop repeats with the same key, in s.
    pub window_s: f64,
}

/// One class for each kind of idempotency.
pub const CLASSES: [RequestClass; 3] = [
    RequestClass { name: "chat", idempotency: Idempotency::Repeatable, deadline_share: 1.0, window_s: 0.0 },
    RequestClass { name: "notice", idempotency: Idempotency::ByKey, deadline_share: 0.8, window_s: 0.5 },
    RequestClass { name: "ledger", idempotency: Idempotency::Once, deadline_share: 1.0, window_s: 0.0 },
];

/// The longest deadline of plays whose script does not set one, in s.
pub const LONGEST_DEADLINE_S: f64 = 2.5;
/// The latency target of a class, in s; it is lower if this exceeds [`TARGET_SHARE`] of the deadline.
const TARGET_S: f64 = 0.5;
const TARGET_SHARE: f64 = 0.4;

/// Requests that arrive later than this after SIGTERM, in s, are refused: they must be answered before
/// SIGKILL, which comes no earlier than this time plus the longest deadline, of which 3 s count at most.
pub const REFUSED_AFTER_S: f64 = 0.7;
const MAX_COUNTED_DEADLINE_S: f64 = 3.0;

/// The earliest time at which the platform kills a router, in s after SIGTERM.
pub fn kill_after_s(longest_deadline_s: f64) -> f64 {
    REFUSED_AFTER_S + longest_deadline_s.min(MAX_COUNTED_DEADLINE_S)
}

/// How long a server may hold a state without an attempt, in ms.
pub const HELD_LIMIT_MS: f64 = 500.0;
/// Grace period of drains, in ms; the shortest of any deployment.
pub const DRAIN_GRACE_MS: f64 = 250.0;
/// A server in slow start is overloaded by [`OVERLOAD_MULTIPLE`] times its current capacity within this time,
/// in ms.
pub const OVERLOAD_WINDOW_MS: f64 = 2000.0;
/// Capacity of a server that has just started, as a share of its full capacity.
pub const SLOW_START_SHARE: f64 = 0.3;
/// Time after which a server has its full capacity, in ms.
pub const SLOW_START_MS: f64 = 12_000.0;
/// See [`OVERLOAD_WINDOW_MS`].
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// Servers close connections that are idle for so long, in s.
pub const IDLE_S: f64 = 4.0;

/// Zones by name.
pub const ZONES: [&str; 2] = ["a", "b"];
/// Kinds of the initial servers of each zone.
pub const SERVER_KINDS: [&str; 5] = ["prefill", "decode", "combined", "combined", "combined"];
/// Number of initial servers; those that join later have higher indices.
pub const INITIAL_SERVERS: usize = SERVER_KINDS.len() * ZONES.len();

/// The kind of a server by its index.
pub fn kind_of(server: usize) -> &'static str {
    let index = server % SERVER_KINDS.len();
    if server < INITIAL_SERVERS {
        SERVER_KINDS[index]
    } else {
        "combined"
    }
}

/// What the settings of the routers allow in a play.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Allowed {
    /// Probes of servers.
    pub probes: bool,
    /// Cancelling an attempt.
    pub cancel: bool,
    /// A second attempt while another is in flight.
    pub second_copies: bool,
}

/// The values in which the configurations of routers differ.
#[derive(Clone, Debug)]
pub struct RouterParameters<'a> {
    /// Index of the router.
    pub router: usize,
    /// Number of routers.
    pub routers: usize,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Address of its discovery agent.
    pub discovery: SocketAddr,
    /// Zones by name.
    pub zones: &'a [&'a str],
    /// The server list that it starts with.
    pub known: Value,
    /// What the settings allow.
    pub allowed: Allowed,
    /// Seed of its random numbers.
    pub seed: u64,
    /// The longest deadline of its classes, in s.
    pub longest_deadline_s: f64,
}

/// The configuration of a router as JSON.
pub fn configuration(parameters: &RouterParameters) -> Value {
    let services: Vec<_> = CLASSES
        .iter()
        .map(|class| {
            let idempotency = match class.idempotency {
                Idempotency::Repeatable => "repeatable",
                Idempotency::ByKey => "by_key",
                Idempotency::Once => "once",
            };
            let deadline_s = class.deadline_share * parameters.longest_deadline_s;
            let target_s = TARGET_S.min(TARGET_SHARE * deadline_s);
            json!({ "name": class.name, "slo_s": target_s, "deadline_s": deadline_s,
                    "idempotency": idempotency, "dedup_scope": "all", "window_s": class.window_s,
                    "importance": 1.0, "stream": true })
        })
        .collect();
    json!({
        "name": format!("n{}", parameters.router), "listen": parameters.listen.to_string(),
        "discovery": parameters.discovery.to_string(), "seed": format!("{:x}", parameters.seed),
        "limits": { "cores": 1.0, "memory_mb": 128, "sockets": 512 },
        "known": parameters.known,
        "settings": {
            "balancers": parameters.routers, "slot_no": parameters.router,
            "my_zone": parameters.zones[parameters.router % parameters.zones.len()],
            "localities": parameters.zones,
            "machine_types": ["prefill", "decode", "combined"], "services": services,
            "tenants": [{ "name": "acme", "quota_per_s": 10000.0, "portion": 1.0 }],
            "discovery": "subscribe",
            "caps": { "cancel": parameters.allowed.cancel, "second_copies": parameters.allowed.second_copies,
                      "retry_after": true, "max_retry_after_s": 0.5, "max_attempts": 4, "conn_idle_s": IDLE_S,
                      "connect_timeout_s": 0.25, "probes": parameters.allowed.probes },
            "report": { "how": "answers", "names": ["util", "queue", "x0"] },
            "family_info": { "aim_us_per_1000_prompt_tokens": [0.0, 0.0, 0.0], "holds_allowed": true,
                             "kv_tokens": [400000.0, 400000.0, 400000.0], "pin_limit_s": HELD_LIMIT_MS / 1e3,
                             "role_by_kind": ["read", "write", "both"], "self_prefill": true },
            "invariants": { "answer_slack_s": 0.008, "cold_s": SLOW_START_MS / 1e3,
                            "cold_share": SLOW_START_SHARE, "fall_multiple": OVERLOAD_MULTIPLE,
                            "fall_s": OVERLOAD_WINDOW_MS / 1e3, "must_ask_in_s": 10.0 },
            "resolution_s": 0.002
        }
    })
}
