//! The configuration of a router on the platform, and the classes of requests that it names.

use std::net::SocketAddr;

use serde_json::{json, Value};

use crate::record::Idempotency;

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// Its name on the wire.
    pub name: &'static str,
    /// What may happen when it runs again.
    pub idempotency: Idempotency,
    /// How long its clients wait for the first byte, as a part of the longest deadline of the play.
    pub deadline_share: f64,
    /// In which its servers drop repeats by key, in s.
    pub window_s: f64,
}

/// One of each kind.
pub const CLASSES: [RequestClass; 3] = [
    RequestClass { name: "chat", idempotency: Idempotency::Repeatable, deadline_share: 1.0, window_s: 0.0 },
    RequestClass { name: "notice", idempotency: Idempotency::ByKey, deadline_share: 0.8, window_s: 0.5 },
    RequestClass { name: "ledger", idempotency: Idempotency::Once, deadline_share: 1.0, window_s: 0.0 },
];

/// The longest deadline of plays that name none, in s.
pub const LONGEST_DEADLINE_S: f64 = 2.5;
/// The latency target of all classes: this, in s, and no more than a part of the deadline.
const TARGET_S: f64 = 0.5;
const TARGET_SHARE: f64 = 0.4;

/// What comes later than this after SIGTERM, in s, has to be answered before SIGKILL, which comes no earlier than this and the
/// longest deadline, counted as the second at most.
pub const REFUSED_AFTER_S: f64 = 0.7;
const KILL_LONGEST_S: f64 = 3.0;

/// When the platform kills a router at the earliest, in s after SIGTERM.
pub fn kill_after_s(longest_deadline_s: f64) -> f64 {
    REFUSED_AFTER_S + longest_deadline_s.min(KILL_LONGEST_S)
}

/// The limit on what is held, in ms.
pub const HELD_LIMIT_MS: f64 = 500.0;
/// The grace of drains, in ms: the shortest that a deployment has.
pub const DRAIN_GRACE_MS: f64 = 250.0;
/// In which a server that just started can be pushed over, in ms; how warm it begins; when it is warm, in ms; how many
/// times what it can do then topples it.
pub const OVERLOAD_WINDOW_MS: f64 = 2000.0;
/// See [`FALL_MS`].
pub const SLOW_START_SHARE: f64 = 0.3;
/// See [`FALL_MS`].
pub const SLOW_START_MS: f64 = 12_000.0;
/// See [`FALL_MS`].
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// Servers close what rests for so long, in s.
pub const IDLE_S: f64 = 4.0;

/// Zones by name.
pub const ZONES: [&str; 2] = ["a", "b"];
/// Kinds of the servers of each zone at the beginning.
pub const SERVER_KINDS: [&str; 5] = ["prefill", "decode", "combined", "combined", "combined"];
/// Servers at the beginning; those that join later follow.
pub const INITIAL_SERVERS: usize = SERVER_KINDS.len() * ZONES.len();

/// The kind of a server by its row.
pub fn kind_of(server: usize) -> &'static str {
    let row = server % SERVER_KINDS.len();
    if server < INITIAL_SERVERS {
        SERVER_KINDS[row]
    } else {
        "combined"
    }
}

/// What the settings of a play allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Allowed {
    /// Probes.
    pub probes: bool,
    /// Calling an attempt off.
    pub cancel: bool,
    /// A second copy beside one that is out.
    pub second_copies: bool,
}

/// What a configuration differs in.
#[derive(Clone, Debug)]
pub struct RouterParameters<'a> {
    /// The router's row.
    pub router: usize,
    /// Routers in all.
    pub routers: usize,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its discovery.
    pub discovery: SocketAddr,
    /// Zones by name.
    pub zones: &'a [&'a str],
    /// The list that it begins with.
    pub known: Value,
    /// What the settings allow.
    pub allowed: Allowed,
    /// The seed of its chance.
    pub seed: u64,
    /// The longest deadline of its classes, in s.
    pub longest_deadline_s: f64,
}

/// The whole object.
pub fn configuration(wanted: &RouterParameters) -> Value {
    let services: Vec<_> = CLASSES
        .iter()
        .map(|class| {
            let idempotency = match class.idempotency {
                Idempotency::Repeatable => "repeatable",
                Idempotency::ByKey => "by_key",
                Idempotency::Once => "once",
            };
            let deadline_s = class.deadline_share * wanted.longest_deadline_s;
            let target_s = TARGET_S.min(TARGET_SHARE * deadline_s);
            json!({ "name": class.name, "slo_s": target_s, "deadline_s": deadline_s, "idempotency": idempotency,
                    "dedup_scope": "all", "window_s": class.window_s, "importance": 1.0, "stream": true })
        })
        .collect();
    json!({
        "name": format!("n{}", wanted.router), "listen": wanted.listen.to_string(),
        "discovery": wanted.discovery.to_string(), "seed": format!("{:x}", wanted.seed),
        "limits": { "cores": 1.0, "memory_mb": 128, "sockets": 512 },
        "known": wanted.known,
        "settings": {
            "balancers": wanted.routers, "slot_no": wanted.router,
            "my_zone": wanted.zones[wanted.router % wanted.zones.len()], "localities": wanted.zones,
            "machine_types": ["prefill", "decode", "combined"], "services": services,
            "tenants": [{ "name": "acme", "quota_per_s": 10000.0, "portion": 1.0 }],
            "discovery": "subscribe",
            "caps": { "cancel": wanted.allowed.cancel, "second_copies": wanted.allowed.second_copies,
                      "retry_after": true, "max_retry_after_s": 0.5, "max_attempts": 4, "conn_idle_s": IDLE_S,
                      "connect_timeout_s": 0.25, "probes": wanted.allowed.probes },
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
