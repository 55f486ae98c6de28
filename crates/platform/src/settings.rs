//! Converts the platform's settings object into the settings of the routing decisions. The object has the
//! same names and units on the drill's protocol and in a router's configuration.

use paddleproxy::interface;
use serde::Deserialize;

/// The settings of the routing decisions, the platform's names for their numbered rows, and the settings that
/// only the network code needs.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    pub settings: interface::Settings,
    /// Names by the row that the routing decisions use as their id; likewise the next three.
    pub workloads: Vec<String>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Longest time that a client waits, by workload.
    pub client_timeouts_ms: Vec<f64>,
    /// Time past the client timeout in which a final response still counts.
    pub answer_slack_ms: f64,
    /// A connection that is not established within this time has failed.
    pub connect_timeout_ms: f64,
    /// Servers close connections that are idle for this long.
    pub server_idle_timeout_ms: f64,
    /// Whether servers report their load.
    pub reports: bool,
}

/// The settings object under the platform's names; [`convert`] maps them to the project's terms.
#[derive(Deserialize)]
pub(crate) struct Conf {
    balancers: usize,
    slot_no: usize,
    my_zone: String,
    localities: Vec<String>,
    machine_types: Vec<String>,
    services: Vec<Service>,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default = "default_over_share_worth")]
    over_share_worth: f64,
    #[serde(default)]
    discovery: String,
    caps: Caps,
    family_info: Family,
    invariants: Invariants,
    resolution_s: f64,
    #[serde(default)]
    report: Report,
}

#[derive(Default, Deserialize)]
struct Report {
    #[serde(default)]
    how: String,
}

fn default_over_share_worth() -> f64 {
    1.0
}

#[derive(Deserialize)]
struct Service {
    name: String,
    slo_s: f64,
    idempotency: String,
    dedup_scope: String,
    window_s: f64,
    importance: f64,
    #[serde(default)]
    deadline_s: Option<f64>,
}

#[derive(Deserialize)]
struct Tenant {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
struct Caps {
    #[serde(default)]
    probes: bool,
    cancel: bool,
    second_copies: bool,
    retry_after: bool,
    max_retry_after_s: f64,
    max_attempts: usize,
    #[serde(default = "default_connect_timeout_s")]
    connect_timeout_s: f64,
    #[serde(default = "default_idle_s")]
    conn_idle_s: f64,
}

/// The drill's protocol has no connections, so its settings leave out this timeout and the next.
fn default_connect_timeout_s() -> f64 {
    0.25
}

fn default_idle_s() -> f64 {
    30.0
}

#[derive(Deserialize)]
struct Family {
    aim_us_per_1000_prompt_tokens: Vec<f64>,
    holds_allowed: bool,
    kv_tokens: Vec<f64>,
    pin_limit_s: f64,
    role_by_kind: Vec<String>,
    self_prefill: bool,
}

#[derive(Deserialize)]
struct Invariants {
    #[serde(default)]
    answer_slack_s: f64,
    #[serde(default)]
    must_ask_in_s: f64,
    cold_s: f64,
    cold_share: f64,
    fall_multiple: f64,
    fall_s: f64,
}

/// Parses the settings object.
///
/// # Errors
/// The path to the field that is missing or invalid, and the reason.
pub fn parse(text: &str) -> Result<PlatformSettings, String> {
    let conf: Conf = crate::parse_json("settings", text.as_bytes())?;
    convert(conf)
}

pub(crate) fn convert(conf: Conf) -> Result<PlatformSettings, String> {
    let mut workloads = Vec::new();
    for (row, service) in conf.services.iter().enumerate() {
        workloads.push(interface::WorkloadSettings {
            effect: match service.idempotency.as_str() {
                "repeatable" => interface::Effect::Idempotent,
                "by_key" => interface::Effect::Tokened,
                "once" => interface::Effect::NonIdempotent,
                other => return Err(format!("settings: services.idempotency is '{other}'")),
            },
            group: match service.dedup_scope.as_str() {
                "all" => interface::Group::All,
                "zone" => interface::Group::Zone,
                "cell" => interface::Group::Cell,
                other => return Err(format!("settings: services.dedup_scope is '{other}'")),
            },
            window_ms: service.window_s * 1e3,
            value: service.importance,
            latency_target_ms: service.slo_s * 1e3,
            // From microseconds per 1000 tokens to milliseconds per token.
            target_per_token_ms: conf.family_info.aim_us_per_1000_prompt_tokens.get(row).unwrap_or(&0.0)
                / 1e6,
        });
    }
    if conf.caps.max_attempts == 0 {
        return Err("settings: caps.max_attempts is 0, must be at least 1".into());
    }
    let mut kinds = Vec::new();
    for (row, kind) in conf.machine_types.iter().enumerate() {
        let role = match conf.family_info.role_by_kind.get(row).map(String::as_str) {
            Some("read") => interface::Role::Reader,
            Some("write") => interface::Role::Writer,
            Some("both") => interface::Role::Mixed,
            other => {
                return Err(format!("settings: family_info.role_by_kind for '{kind}' is {other:?}"));
            }
        };
        let memory_tokens = conf.family_info.kv_tokens.get(row).copied();
        let memory_tokens =
            memory_tokens.ok_or_else(|| format!("settings: family_info.kv_tokens lacks '{kind}'"))?;
        if !(memory_tokens.is_finite() && memory_tokens > 0.0) {
            return Err(format!(
                "settings: family_info.kv_tokens for '{kind}' is {memory_tokens}, not above 0"
            ));
        }
        kinds.push(interface::KindSettings { role, memory_tokens });
    }
    let settings = interface::Settings {
        routers: conf.balancers,
        own_number: conf.slot_no,
        zone: conf.localities.iter().position(|zone| *zone == conf.my_zone).map(interface::ZoneId),
        workloads,
        kinds,
        customers: conf
            .tenants
            .iter()
            .map(|tenant| interface::CustomerSettings { quota_per_s: tenant.quota_per_s })
            .collect(),
        over_share_value: conf.over_share_worth,
        must_subscribe: conf.discovery == "subscribe",
        must_ask_in_ms: conf.invariants.must_ask_in_s * 1e3,
        holds_allowed: conf.family_info.holds_allowed,
        writers_read: conf.family_info.self_prefill,
        probes_allowed: conf.caps.probes,
        cancel_allowed: conf.caps.cancel,
        second_copies: conf.caps.second_copies,
        retry_after: conf.caps.retry_after,
        max_retry_after_ms: conf.caps.max_retry_after_s * 1e3,
        max_dispatches: conf.caps.max_attempts,
        resolution_ms: conf.resolution_s * 1e3,
        pin_limit_ms: conf.family_info.pin_limit_s * 1e3,
        fall_multiple: conf.invariants.fall_multiple,
        fall_ms: conf.invariants.fall_s * 1e3,
        cold_share: conf.invariants.cold_share,
        cold_ms: conf.invariants.cold_s * 1e3,
        // On the platform a weight only compares servers, by size or load, and may change with each list.
        weights_act: false,
        slow_start_share: None,
        zone_distances: Vec::new(),
    };
    Ok(PlatformSettings {
        settings,
        client_timeouts_ms: conf
            .services
            .iter()
            .map(|service| service.deadline_s.map_or(f64::INFINITY, |seconds| seconds * 1e3))
            .collect(),
        answer_slack_ms: conf.invariants.answer_slack_s * 1e3,
        connect_timeout_ms: conf.caps.connect_timeout_s * 1e3,
        server_idle_timeout_ms: conf.caps.conn_idle_s * 1e3,
        reports: !matches!(conf.report.how.as_str(), "" | "none"),
        workloads: conf.services.into_iter().map(|service| service.name).collect(),
        customers: conf.tenants.into_iter().map(|tenant| tenant.name).collect(),
        zones: conf.localities,
        kinds: conf.machine_types,
    })
}
