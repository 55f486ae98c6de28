//! The settings document of one router.

use std::net::SocketAddr;
use std::path::PathBuf;

use paddleproxy::interface as scheduler;
use paddleproxy_messages::EVENTS;

use crate::failover::{self, FailoverSettings};
use crate::peers::{self, PeerSettings};
use crate::reader::{Block, Count, LoopbackAddress, Millis, Problems, Share, Source};

/// The settings of one router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    pub listen: SocketAddr,
    /// Address for health checks and metrics; they are not served if it is absent.
    pub admin: Option<SocketAddr>,
    pub list: ListSettings,
    pub state_dir: PathBuf,
    /// Seed of all random choices; each start draws a new one if it is absent.
    pub seed: Option<u64>,
    /// Settings of the scheduler, which decides on dispatches.
    pub decisions: scheduler::Settings,
    pub names: Names,
    pub rules: RequestRules,
    pub front: FrontSettings,
    pub engines: EngineSettings,
    pub dialects: Vec<DialectSettings>,
    pub membership: MembershipRules,
    /// File with the operators' own list of servers; none is watched if it is absent.
    pub servers_file: Option<PathBuf>,
    /// Log filter, as `level` or `target=level,...`; the command line's applies if it is absent.
    pub log: Option<String>,
    /// Row of each workload in the scheduler's settings: its position, until a reload changes a workload,
    /// which gets another row then.
    pub workload_rows: Vec<usize>,
    /// Whether the load reports of servers are used.
    pub reports: bool,
    /// How the router finds and monitors its peers; without it, the router has none.
    pub peers: Option<PeerSettings>,
    /// How sessions move between zones by the plan that the routers agree on; without it, they do not move.
    pub failover: Option<FailoverSettings>,
}

/// Access to one boolean rule of the block `rules`.
pub(crate) type Switch = fn(&mut RouterSettings) -> &mut bool;

/// The rules in which routers of one day may differ. All other rules are the same for all routers, because
/// the checker applies the same values to every router.
pub(crate) const SWITCHES: [(&str, Switch); 5] = [
    ("probes", |router| &mut router.decisions.probes_allowed),
    ("reports", |router| &mut router.reports),
    ("weights", |router| &mut router.decisions.weights_act),
    ("second-copies", |router| &mut router.decisions.second_copies),
    ("holds", |router| &mut router.decisions.holds_allowed),
];

/// When a version of the server list is applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipRules {
    /// A source of the list is stale after this time without an answer, in ms.
    pub stale_ms: f64,
    /// How long a version that removes too many servers waits for a confirmation, in ms.
    pub hold_ms: f64,
    /// Share of a role's or a cell's usable servers that one version may remove.
    pub most_removed: f64,
    /// A server that returns more often than this within the window is quarantined.
    pub flaps: usize,
    pub flap_window_ms: f64,
    pub quarantine_ms: f64,
}

/// Access to the discovery service, which lists the servers.
#[derive(Clone, Debug)]
pub struct ListSettings {
    pub service: SocketAddr,
    pub poll_ms: f64,
    pub retry_ms: f64,
}

/// Names for the rows of `scheduler::Settings`, in the same order.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub workloads: Vec<WorkloadNames>,
    pub customers: Vec<CustomerNames>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

#[derive(Clone, Debug, Default)]
pub struct WorkloadNames {
    pub name: String,
    /// Requests for these models belong to the workload.
    pub models: Vec<String>,
    /// How long a client waits if its request does not state it, in ms.
    pub client_timeout_ms: f64,
    /// Row of the scheduler's settings for requests with an idempotency key; absent if the servers do not
    /// deduplicate them.
    pub keyed: Option<usize>,
    /// Whether an idempotency key is stored on disk before anything is sent.
    pub remembered: bool,
}

#[derive(Clone, Debug, Default)]
pub struct CustomerNames {
    pub name: String,
    /// API keys.
    pub keys: Vec<String>,
    pub limits: CustomerLimits,
}

/// Limits of one customer. Where a limit is absent, only the customer's share applies, once capacity runs
/// short.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerLimits {
    /// Open completions.
    pub open: Option<usize>,
    pub requests_per_s: Option<f64>,
    pub tokens_per_s: Option<f64>,
    /// Burst allowance of either rate: as much as the rate admits in this time, in ms.
    pub burst_ms: f64,
}

/// A variant of the messages API: its own path, and other names for the events.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DialectSettings {
    pub name: String,
    pub path: String,
    /// Published name of an event and its name in the dialect; `None`: the event is omitted.
    pub events: Vec<(String, Option<String>)>,
}

/// How the properties of a request are found.
#[derive(Clone, Debug)]
pub struct RequestRules {
    /// Header that names the session, in lower case. Without it, `metadata.user_id` identifies the session;
    /// without that, its system prompt and first turn.
    pub session_header: String,
    /// Header with the client's remaining timeout in ms.
    pub timeout_header: String,
    /// Bytes of text that count as one token.
    pub bytes_per_token: f64,
    /// Shortest system prompt, in tokens, that counts as a prefix which sessions may share.
    pub shared_from_tokens: f64,
    /// Whether requests need a known API key.
    pub keys_required: bool,
}

/// Limits and timeouts on the client side.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    pub open_completions: usize,
    pub connections: usize,
    /// Size of one request body.
    pub body_bytes: usize,
    /// Total size of the prompts of all open completions.
    pub prompt_bytes: usize,
    /// Number of idempotency keys that are remembered.
    pub keys: usize,
    /// Memory for the answers that are remembered with their keys.
    pub answer_memory_bytes: usize,
    /// How long a key is remembered if its workload has no window.
    pub keys_ms: f64,
    /// Time in which a request's head has to arrive.
    pub header_ms: f64,
    /// Time in which a request's body has to arrive.
    pub body_ms: f64,
    /// Chunks of an answer that are buffered for a client that reads slowly.
    pub pieces_waiting: usize,
    /// A client that reads nothing of its answer for this time is disconnected.
    pub slow_client_ms: f64,
    /// Time that open completions have to finish after a request to stop the router.
    pub stop_ms: f64,
    /// Time after the client timeout in which a final answer still counts as given.
    pub answer_slack_ms: f64,
}

/// Limits and timeouts of the connections to the model servers.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Connect timeout.
    pub connect_ms: f64,
    /// How long an unused connection stays open.
    pub idle_ms: f64,
    /// Timeout of a probe.
    pub probe_ms: f64,
    /// Longest pause within an answer; a longer one makes it fail.
    pub stall_ms: f64,
    /// Pause within an answer after which its client gets a ping.
    pub ping_ms: f64,
    /// Longest line of an answer.
    pub line_bytes: usize,
    /// Size of a whole answer.
    pub answer_bytes: usize,
    /// Attempts per pin limit to release a state at a server; they continue for 16 pin limits.
    pub release_tries: usize,
}

pub fn parse(file: &str, text: &str) -> Result<RouterSettings, Problems> {
    Source::read(file, text, router)
}

/// Reads the settings of a router from a block: a whole document, or the `router` node of a day.
pub(crate) fn router(top: &Block) -> Option<RouterSettings> {
    let zones: Vec<String> =
        top.need_block("zones").map(|block| read_whole(block, Block::arguments)).unwrap_or_default();
    let zone_name: Option<String> = top.optional("zone");
    let zone = zone_name.and_then(|name| {
        let row = zones.iter().position(|zone| *zone == name);
        if row.is_none() {
            top.problem_of("zone", format!("'zone' is \"{name}\", which 'zones' does not name"));
        }
        row
    });
    let listen = top.need::<LoopbackAddress>("listen").0;
    let admin = top.optional::<LoopbackAddress>("admin").map(|local| local.0);
    let state_dir = PathBuf::from(top.need::<String>("state-dir"));
    let seed = top.optional::<Count>("seed").map(|count| count.0);
    let list = top.need_block("list");
    let mut subscribe = (false, 0.0);
    let list = list.map(|block| {
        let service = block.need::<LoopbackAddress>("service").0;
        let modes = [("automatic", false), ("subscribe", true)];
        subscribe.0 = block.choice("changes", &modes, Some(false)).unwrap_or(false);
        subscribe.1 = block.optional::<Millis>("must-ask-in").map_or(0.0, |time| time.0);
        if subscribe.0 && subscribe.1 <= 0.0 {
            block.problem("'changes' is \"subscribe\", which needs 'must-ask-in' above \"0ms\"");
        }
        let settings = ListSettings {
            service,
            poll_ms: block.need::<Millis>("poll").0,
            retry_ms: block.need::<Millis>("retry").0,
        };
        block.reject_unknown();
        settings
    });
    let (workloads, workload_names) = workloads(top);
    let dialects = dialects(top);
    let membership = top.block("membership").map(|block| read_whole(block, membership));
    let servers_file = top.optional::<String>("servers-file").map(PathBuf::from);
    let (customers, customer_names) = customers(top);
    let (kinds, kind_names) = kinds(top);
    let rules_block = top.need_block("rules")?;
    let mut decisions = scheduler::Settings {
        routers: top.need::<Count>("routers").0 as usize,
        own_number: top.need::<Count>("number").0 as usize,
        zone: zone.map(scheduler::ZoneId),
        workloads,
        kinds,
        customers,
        over_share_value: top.optional::<Share>("over-share-value").map_or(1.0, |share| share.0),
        must_subscribe: subscribe.0,
        must_ask_in_ms: subscribe.1,
        holds_allowed: rules_block.need("holds"),
        writers_read: rules_block.need("writers-read"),
        probes_allowed: rules_block.need("probes"),
        cancel_allowed: rules_block.need("cancel"),
        second_copies: rules_block.need("second-copies"),
        retry_after: rules_block.need("retry-after"),
        max_retry_after_ms: rules_block.need::<Millis>("max-retry-after").0,
        max_dispatches: rules_block.need::<Count>("max-dispatches").0 as usize,
        resolution_ms: rules_block.need::<Millis>("resolution").0,
        pin_limit_ms: rules_block.need::<Millis>("pin-limit").0,
        fall_multiple: rules_block.need("fall-multiple"),
        fall_ms: rules_block.need::<Millis>("fall-after").0,
        cold_share: rules_block.need::<Share>("cold-share").0,
        cold_ms: rules_block.need::<Millis>("cold").0,
        weights_act: rules_block.optional("weights").unwrap_or(true),
        slow_start_share: None,
        zone_distances: Vec::new(),
    };
    let reports = rules_block.optional("reports").unwrap_or(true);
    let roles: Vec<_> = decisions.kinds.iter().map(|kind| kind.role).collect();
    if roles.contains(&scheduler::Role::Reader) && decisions.max_dispatches == 1 {
        rules_block
            .problem_of("max-dispatches", "a reader and a writer take two dispatches; allow 2 at least");
    }
    for (name, invalid) in [
        ("max-dispatches", decisions.max_dispatches == 0),
        ("fall-multiple", decisions.fall_multiple <= 0.0),
        ("pin-limit", decisions.pin_limit_ms <= 0.0),
        ("resolution", decisions.resolution_ms <= 0.0),
        ("fall-after", decisions.fall_ms <= 0.0),
        ("cold", decisions.cold_ms <= 0.0),
    ] {
        if invalid {
            rules_block.problem_of(name, format!("'{name}' must be above 0"));
        }
    }
    if decisions.routers == 0 {
        top.problem_of("routers", "'routers' counts this one too and must be from 1");
    } else if decisions.own_number >= decisions.routers {
        top.problem_of(
            "number",
            format!(
                "'number' is {}; with {} 'routers' it runs from 0 to {}",
                decisions.own_number,
                decisions.routers,
                decisions.routers.saturating_sub(1)
            ),
        );
    }
    let answer_slack_ms = rules_block.need::<Millis>("answer-slack").0;
    rules_block.reject_unknown();
    let peers = top.block("peers").map(|block| read_whole(block, |block| peers::read(block, &decisions)));
    if peers.is_some() && zone.is_none() {
        top.problem_of("peers", "'peers' needs 'zone': a router tells its peers in which zone it is");
    }
    let failover =
        top.block("failover").map(|block| read_whole(block, |block| failover::read(block, &zones)));
    if failover.is_some() && peers.is_none() {
        top.problem_of("failover", "'failover' needs 'peers': a plan is agreed on between peers");
    }
    if let Some(failover) = &failover {
        decisions.zone_distances = failover.topology.distance_ranks();
    }
    let request_rules = top.need_block("requests").map(|block| read_whole(block, requests));
    let front = top.need_block("front").map(|block| read_whole(block, |block| front(block, answer_slack_ms)));
    let engines = top.need_block("engines").map(|block| read_whole(block, engines));
    if decisions.probes_allowed && engines.as_ref().is_some_and(|engines| engines.probe_ms <= 0.0) {
        top.problem_of("engines", "'probes' is #true in 'rules', which needs 'probe' above \"0ms\"");
    }
    let workload_rows = (0..decisions.workloads.len()).collect();
    Some(RouterSettings {
        listen,
        admin,
        list: list?,
        state_dir,
        seed,
        decisions,
        names: Names { workloads: workload_names, customers: customer_names, zones, kinds: kind_names },
        rules: request_rules?,
        front: front?,
        engines: engines?,
        dialects,
        membership: membership.unwrap_or(DEFAULT_MEMBERSHIP),
        servers_file,
        log: top.optional("log"),
        workload_rows,
        reports,
        peers,
        failover,
    })
}

/// Values for documents without `membership`.
const DEFAULT_MEMBERSHIP: MembershipRules = MembershipRules {
    stale_ms: 30_000.0,
    hold_ms: 10_000.0,
    most_removed: 0.5,
    flaps: 3,
    flap_window_ms: 60_000.0,
    quarantine_ms: 10_000.0,
};

fn membership(block: &Block) -> MembershipRules {
    let time = |name, otherwise| block.optional::<Millis>(name).map_or(otherwise, |time| time.0);
    let rules = MembershipRules {
        stale_ms: time("stale-after", DEFAULT_MEMBERSHIP.stale_ms),
        hold_ms: time("hold", DEFAULT_MEMBERSHIP.hold_ms),
        most_removed: block
            .optional::<Share>("most-removed")
            .map_or(DEFAULT_MEMBERSHIP.most_removed, |share| share.0),
        flaps: block.optional::<Count>("flaps").map_or(DEFAULT_MEMBERSHIP.flaps, |count| count.0 as usize),
        flap_window_ms: time("flap-window", DEFAULT_MEMBERSHIP.flap_window_ms),
        quarantine_ms: time("quarantine", DEFAULT_MEMBERSHIP.quarantine_ms),
    };
    for (name, value) in [("stale-after", rules.stale_ms), ("hold", rules.hold_ms)] {
        if value <= 0.0 {
            block.problem_of(name, format!("'{name}' must be above 0"));
        }
    }
    rules
}

/// Reads a block and reports what in it is unknown.
fn read_whole<'a, T>(block: Block<'a>, read: impl FnOnce(&Block<'a>) -> T) -> T {
    let value = read(&block);
    block.reject_unknown();
    value
}

fn workloads(top: &Block) -> (Vec<scheduler::WorkloadSettings>, Vec<WorkloadNames>) {
    let mut rows = Vec::new();
    for block in top.blocks("workload") {
        let name: String = block.argument().unwrap_or_default();
        let effects = [
            ("idempotent", scheduler::Effect::Idempotent),
            ("tokened", scheduler::Effect::Tokened),
            ("non-idempotent", scheduler::Effect::NonIdempotent),
        ];
        let given_effect = block.choice("effect", &effects, None);
        let effect = given_effect.unwrap_or(scheduler::Effect::NonIdempotent);
        let tokened = effect == scheduler::Effect::Tokened;
        let groups = [
            ("all", scheduler::Group::All),
            ("zone", scheduler::Group::Zone),
            ("cell", scheduler::Group::Cell),
        ];
        let otherwise = Some(scheduler::Group::All).filter(|_| !tokened);
        let group = block.choice("group", &groups, otherwise).unwrap_or(scheduler::Group::All);
        block.skip("window");
        let window_ms = if tokened { block.need::<Millis>("window").0 } else { 0.0 };
        if given_effect.is_some() && !tokened && (block.has("window") || block.has("group")) {
            block.problem("'group' and 'window' belong to workloads whose effect is \"tokened\"");
        }
        let target = block.need::<Millis>("latency-target").0;
        let per_token = block.optional::<Millis>("target-per-1000-tokens").map_or(0.0, |time| time.0 / 1e3);
        let client_timeout_ms = block.need::<Millis>("client-timeout").0;
        if client_timeout_ms < target {
            block.problem_of("client-timeout", "'client-timeout' is shorter than 'latency-target'");
        }
        let models =
            block.need_block("models").map(|block| read_whole(block, Block::arguments)).unwrap_or_default();
        let value = block.need("value");
        let keyed =
            block.block("keyed").map(|keyed| read_whole(keyed, |keyed| keyed.need::<Millis>("window").0));
        if tokened && keyed.is_some() {
            block.problem_of("keyed", "a \"tokened\" workload has its 'group' and 'window' already");
        }
        let remembered = block.optional("remembered").unwrap_or(false);
        block.reject_unknown();
        let settings = scheduler::WorkloadSettings {
            effect,
            group,
            window_ms,
            value,
            latency_target_ms: target,
            target_per_token_ms: per_token,
        };
        let names = WorkloadNames { name, models, client_timeout_ms, keyed: None, remembered };
        rows.push((settings, names, keyed));
    }
    if rows.is_empty() {
        top.problem("there is no 'workload'; at least one is needed");
    }
    let mut models: Vec<_> = rows.iter().flat_map(|(_, names, _)| &names.models).collect();
    models.sort();
    if let Some(duplicate) = models.windows(2).find(|pair| pair[0] == pair[1]) {
        top.problem(format!("model \"{}\" belongs to two workloads", duplicate[0]));
    }
    // To the scheduler, a workload's requests with an idempotency key are a workload of their own: the same
    // one, but tokened among all servers.
    let (mut settings, mut names): (Vec<_>, Vec<_>) =
        rows.iter().map(|(settings, names, _)| (settings.clone(), names.clone())).unzip();
    for (row, (base, _, keyed)) in rows.into_iter().enumerate() {
        if let Some(window_ms) = keyed {
            names[row].keyed = Some(settings.len());
            let (effect, group) = (scheduler::Effect::Tokened, scheduler::Group::All);
            settings.push(scheduler::WorkloadSettings { effect, group, window_ms, ..base });
        }
    }
    (settings, names)
}

/// Events that no dialect may omit: clients need the text, the end and the failure of an answer.
const REQUIRED_EVENTS: [&str; 3] = ["content_block_delta", "message_stop", "error"];

fn dialects(top: &Block) -> Vec<DialectSettings> {
    let mut rows: Vec<DialectSettings> = Vec::new();
    for block in top.blocks("dialect") {
        let name: String = block.argument().unwrap_or_default();
        let path: String = block.need("path");
        let mut events: Vec<(String, Option<String>)> = Vec::new();
        let mut add = |node: &Block, event: String, new_name: Option<String>| {
            if !EVENTS.contains(&event.as_str()) {
                node.problem(format!("there is no event \"{event}\"; known are {}", EVENTS.join(", ")));
            } else if new_name.is_none() && REQUIRED_EVENTS.contains(&event.as_str()) {
                node.problem(format!("no answer can do without \"{event}\""));
            } else if new_name.as_ref().is_some_and(|name| name.contains(|c: char| c.is_control())) {
                node.problem("the name of an event has no control characters");
            }
            events.push((event, new_name));
        };
        for node in block.blocks("event") {
            let (event, new_name) = (node.argument::<String>(), node.argument::<String>());
            if new_name.is_none() {
                node.problem("'event' needs the published name and the name in this dialect");
            }
            add(&node, event.unwrap_or_default(), new_name.or(Some(String::new())));
            node.reject_unknown();
        }
        for node in block.blocks("omit") {
            add(&node, node.argument().unwrap_or_default(), None);
            node.reject_unknown();
        }
        block.reject_unknown();
        if !path.starts_with('/') || path.starts_with("/v1/") {
            block.problem_of(
                "path",
                format!("'path' is \"{path}\"; allowed is one that begins with / but not /v1/"),
            );
        }
        if rows.iter().any(|row| row.path == path) {
            block.problem_of("path", format!("another dialect has the path \"{path}\""));
        }
        rows.push(DialectSettings { name, path, events });
    }
    rows
}

fn limits(block: &Block) -> CustomerLimits {
    let rate = |count: Count| count.0 as f64;
    let limits = CustomerLimits {
        open: block.optional::<Count>("open").map(|count| count.0 as usize),
        requests_per_s: block.optional::<f64>("requests-per-s"),
        tokens_per_s: block.optional::<Count>("tokens-per-s").map(rate),
        burst_ms: block.need::<Millis>("burst").0,
    };
    for (name, value) in [("requests-per-s", limits.requests_per_s), ("tokens-per-s", limits.tokens_per_s)] {
        if value == Some(0.0) {
            block.problem_of(name, format!("'{name}' must be above 0"));
        }
    }
    limits
}

fn customers(top: &Block) -> (Vec<scheduler::CustomerSettings>, Vec<CustomerNames>) {
    let customer = |block: Block| {
        let name = block.argument().unwrap_or_default();
        let keys =
            block.need_block("keys").map(|block| read_whole(block, Block::arguments)).unwrap_or_default();
        let quota_per_s = block.need("quota-per-s");
        let limits = block.block("limits").map(|block| read_whole(block, limits)).unwrap_or_default();
        block.reject_unknown();
        (scheduler::CustomerSettings { quota_per_s }, CustomerNames { name, keys, limits })
    };
    top.blocks("customer").into_iter().map(customer).unzip()
}

fn kinds(top: &Block) -> (Vec<scheduler::KindSettings>, Vec<String>) {
    let kind = |block: Block| {
        let name = block.argument().unwrap_or_default();
        let role = block.choice("role", ROLES, None).unwrap_or(scheduler::Role::Mixed);
        let memory_tokens = block.need::<Count>("memory").0 as f64;
        block.reject_unknown();
        (scheduler::KindSettings { role, memory_tokens }, name)
    };
    let rows: (Vec<_>, Vec<_>) = top.blocks("kind").into_iter().map(kind).unzip();
    if rows.0.is_empty() {
        top.problem("there is no 'kind' of server; at least one is needed");
    }
    rows
}

pub(crate) const ROLES: &[(&str, scheduler::Role)] = &[
    ("reader", scheduler::Role::Reader),
    ("writer", scheduler::Role::Writer),
    ("mixed", scheduler::Role::Mixed),
];

fn requests(block: &Block) -> RequestRules {
    let rules = RequestRules {
        session_header: block.need::<String>("session-header").to_ascii_lowercase(),
        timeout_header: block.need::<String>("timeout-header").to_ascii_lowercase(),
        bytes_per_token: block.need("bytes-per-token"),
        shared_from_tokens: block.need::<Count>("shared-from").0 as f64,
        keys_required: block.need("keys-required"),
    };
    if rules.bytes_per_token <= 0.0 {
        block.problem_of("bytes-per-token", "'bytes-per-token' must be above 0");
    }
    rules
}

fn front(block: &Block, answer_slack_ms: f64) -> FrontSettings {
    FrontSettings {
        open_completions: at_least_one(block, "open-completions"),
        connections: at_least_one(block, "connections"),
        body_bytes: at_least_one(block, "body-bytes"),
        prompt_bytes: at_least_one(block, "prompt-bytes"),
        keys: at_least_one(block, "keys"),
        answer_memory_bytes: at_least_one(block, "answer-memory"),
        keys_ms: block.need::<Millis>("keys-for").0,
        header_ms: block.need::<Millis>("header-time").0,
        body_ms: block.need::<Millis>("body-time").0,
        pieces_waiting: at_least_one(block, "pieces-waiting"),
        slow_client_ms: block.need::<Millis>("slow-client").0,
        stop_ms: block.need::<Millis>("stop-within").0,
        answer_slack_ms,
    }
}

fn engines(block: &Block) -> EngineSettings {
    EngineSettings {
        connect_ms: block.need::<Millis>("connect").0,
        idle_ms: block.need::<Millis>("idle").0,
        probe_ms: block.need::<Millis>("probe").0,
        stall_ms: block.need::<Millis>("stall").0,
        ping_ms: block.need::<Millis>("ping").0.max(1.0),
        line_bytes: at_least_one(block, "line-bytes"),
        answer_bytes: at_least_one(block, "answer-bytes"),
        release_tries: at_least_one(block, "release-tries"),
    }
}

fn at_least_one(block: &Block, name: &'static str) -> usize {
    let count = block.need::<Count>(name).0;
    if count == 0 {
        block.problem_of(name, format!("'{name}' must be at least 1"));
    }
    count as usize
}
