//! The document of one router.

use std::net::SocketAddr;
use std::path::PathBuf;

use paddleproxy::interface as house;
use paddleproxy_messages::EVENTS;

use crate::failover::{self, FailoverSettings};
use crate::peers::{self, PeerSettings};
use crate::reader::{Block, Count, LoopbackAddress, Millis, Problems, Share, Source};

/// What one router is told at its start.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    pub listen: SocketAddr,
    /// Health and metrics; not served where absent.
    pub admin: Option<SocketAddr>,
    pub list: ListSettings,
    pub state_dir: PathBuf,
    /// Start of all chance; drawn anew at each start where absent.
    pub seed: Option<u64>,
    pub decisions: house::Settings,
    pub names: Names,
    pub rules: RequestRules,
    pub front: FrontSettings,
    pub engines: EngineSettings,
    pub dialects: Vec<DialectSettings>,
    pub membership: MembershipRules,
    /// The operators' own list of servers; not watched where absent.
    pub servers_file: Option<PathBuf>,
    /// What is logged, as `level` or `target=level,...`; as the command line says where absent.
    pub log: Option<String>,
    /// Row in the decisions' settings of each workload: its own, until settings change.
    pub workload_rows: Vec<usize>,
    /// Whether what servers say of their load is heard.
    pub reports: bool,
    /// How it finds and watches its fellows; it knows of none where absent.
    pub peers: Option<PeerSettings>,
    /// How sessions move between zones by what fellows agree; they do not where absent.
    pub failover: Option<FailoverSettings>,
}

/// A switch of `rules`.
pub(crate) type Switch = fn(&mut RouterSettings) -> &mut bool;

/// What may differ between routers before the same servers. The figures of the rules are one for all, for they are
/// judged by one measure.
pub(crate) const SWITCHES: [(&str, Switch); 5] = [
    ("probes", |router| &mut router.decisions.probes_allowed),
    ("reports", |router| &mut router.reports),
    ("weights", |router| &mut router.decisions.weights_act),
    ("second-copies", |router| &mut router.decisions.second_copies),
    ("holds", |router| &mut router.decisions.holds_allowed),
];

/// When a word on the list of servers is believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipRules {
    /// A source that said nothing for so long is stale, in ms.
    pub stale_ms: f64,
    /// How long a version that takes away too much waits for another word, in ms.
    pub hold_ms: f64,
    /// Share of a role's or a cell's usable servers that one version may take away.
    pub most_removed: f64,
    /// A server that comes back more often than this within the window is set aside.
    pub flaps: usize,
    pub flap_window_ms: f64,
    pub quarantine_ms: f64,
}

#[derive(Clone, Debug)]
pub struct ListSettings {
    pub service: SocketAddr,
    pub poll_ms: f64,
    pub retry_ms: f64,
}

/// The names of the rows in `house::Settings`, in their order.
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
    /// Model names by which requests belong to it.
    pub models: Vec<String>,
    /// How long a client waits, in ms, where the request does not say.
    pub client_timeout_ms: f64,
    /// Row of the decisions' settings for its requests that carry a key; absent where servers drop no repeats of it.
    pub keyed: Option<usize>,
    /// Whether its keys are on the disk before anything is sent.
    pub remembered: bool,
}

#[derive(Clone, Debug, Default)]
pub struct CustomerNames {
    pub name: String,
    pub keys: Vec<String>,
    pub limits: CustomerLimits,
}

/// What bounds one customer by itself; absent: nothing but its share when places run short.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerLimits {
    pub open: Option<usize>,
    pub requests_per_s: Option<f64>,
    pub tokens_per_s: Option<f64>,
    /// How much of either may come at once, as time of the rate, in ms.
    pub burst_ms: f64,
}

/// The messages API on a path of its own, with other names for its events.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DialectSettings {
    pub name: String,
    pub path: String,
    /// Each event's other name, or none where it is left out.
    pub events: Vec<(String, Option<String>)>,
}

/// Where in a request its facts stand.
#[derive(Clone, Debug)]
pub struct RequestRules {
    /// Header that names the session, in lower case; else `metadata.user_id`; else the first words spoken.
    pub session_header: String,
    /// Header with the time in ms that the client still waits.
    pub timeout_header: String,
    /// Bytes of text that count as one token.
    pub bytes_per_token: f64,
    /// Shortest system text, in tokens, that counts as a beginning others may share.
    pub shared_from_tokens: f64,
    /// Whether a request without a known key is answered.
    pub keys_required: bool,
}

#[derive(Clone, Debug)]
pub struct FrontSettings {
    pub open_completions: usize,
    pub connections: usize,
    pub body_bytes: usize,
    /// Of the prompts of all open completions.
    pub prompt_bytes: usize,
    /// Keys of clients' requests that are remembered, bytes of their answers, and for how long where the workload
    /// does not say.
    pub keys: usize,
    pub answer_memory_bytes: usize,
    pub keys_ms: f64,
    pub header_ms: f64,
    pub body_ms: f64,
    /// Pieces of an answer that may wait for a client who reads slowly.
    pub pieces_waiting: usize,
    /// Time after which a client who takes nothing of its answer is cut.
    pub slow_client_ms: f64,
    /// Time that open answers get to end after the word to stop.
    pub stop_ms: f64,
    /// Time past the client timeout in which a final answer still counts.
    pub answer_slack_ms: f64,
}

#[derive(Clone, Debug)]
pub struct EngineSettings {
    pub connect_ms: f64,
    pub idle_ms: f64,
    pub probe_ms: f64,
    /// Longest silence within an answer before it counts as broken.
    pub stall_ms: f64,
    /// Silence within an answer after which its client gets a ping.
    pub ping_ms: f64,
    pub line_bytes: usize,
    pub answer_bytes: usize,
    /// How often in each pin limit a server is told to let go of a state, for 16 limits.
    pub release_tries: usize,
}

pub fn parse(file: &str, text: &str) -> Result<RouterSettings, Problems> {
    Source::read(file, text, router)
}

/// Reads the nodes of a router from a block; also used for the `router` node of a day.
pub(crate) fn router(top: &Block) -> Option<RouterSettings> {
    let zones: Vec<String> =
        top.need_block("zones").map(|block| finish(block, Block::arguments)).unwrap_or_default();
    let own_zone: Option<String> = top.optional("zone");
    let zone = own_zone.and_then(|name| {
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
        let ways = [("automatic", false), ("subscribe", true)];
        subscribe.0 = block.choice("changes", &ways, Some(false)).unwrap_or(false);
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
    let membership = top.block("membership").map(|block| finish(block, membership));
    let servers_file = top.optional::<String>("servers-file").map(PathBuf::from);
    let (customers, customer_names) = customers(top);
    let (kinds, kind_names) = kinds(top);
    let limits = top.need_block("rules")?;
    let mut decisions = house::Settings {
        routers: top.need::<Count>("routers").0 as usize,
        own_number: top.need::<Count>("number").0 as usize,
        zone: zone.map(house::ZoneId),
        workloads,
        kinds,
        customers,
        over_share_value: top.optional::<Share>("over-share-value").map_or(1.0, |share| share.0),
        must_subscribe: subscribe.0,
        must_ask_in_ms: subscribe.1,
        holds_allowed: limits.need("holds"),
        writers_read: limits.need("writers-read"),
        probes_allowed: limits.need("probes"),
        cancel_allowed: limits.need("cancel"),
        second_copies: limits.need("second-copies"),
        retry_after: limits.need("retry-after"),
        max_retry_after_ms: limits.need::<Millis>("max-retry-after").0,
        max_dispatches: limits.need::<Count>("max-dispatches").0 as usize,
        resolution_ms: limits.need::<Millis>("resolution").0,
        pin_limit_ms: limits.need::<Millis>("pin-limit").0,
        fall_multiple: limits.need("fall-multiple"),
        fall_ms: limits.need::<Millis>("fall-after").0,
        cold_share: limits.need::<Share>("cold-share").0,
        cold_ms: limits.need::<Millis>("cold").0,
        weights_act: limits.optional("weights").unwrap_or(true),
        slow_start_share: None,
        zone_distances: Vec::new(),
    };
    let reports = limits.optional("reports").unwrap_or(true);
    let roles: Vec<_> = decisions.kinds.iter().map(|kind| kind.role).collect();
    if roles.contains(&house::Role::Reader) && decisions.max_dispatches == 1 {
        limits.problem_of("max-dispatches", "a reader and a writer take two dispatches; allow 2 at least");
    }
    for (name, wrong) in [
        ("max-dispatches", decisions.max_dispatches == 0),
        ("fall-multiple", decisions.fall_multiple <= 0.0),
        ("pin-limit", decisions.pin_limit_ms <= 0.0),
        ("resolution", decisions.resolution_ms <= 0.0),
        ("fall-after", decisions.fall_ms <= 0.0),
        ("cold", decisions.cold_ms <= 0.0),
    ] {
        if wrong {
            limits.problem_of(name, format!("'{name}' must be above 0"));
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
    let answer_slack_ms = limits.need::<Millis>("answer-slack").0;
    limits.reject_unknown();
    let peers = top.block("peers").map(|block| finish(block, |block| peers::read(block, &decisions)));
    if peers.is_some() && zone.is_none() {
        top.problem_of("peers", "'peers' needs 'zone': fellows ask where a router stands");
    }
    let failover = top.block("failover").map(|block| finish(block, |block| failover::read(block, &zones)));
    if failover.is_some() && peers.is_none() {
        top.problem_of("failover", "'failover' needs 'peers': a plan is what fellows agree on");
    }
    if let Some(failover) = &failover {
        decisions.zone_distances = failover.topology.distance_ranks();
    }
    let rules = top.need_block("requests").map(|block| finish(block, requests));
    let front = top.need_block("front").map(|block| finish(block, |block| front(block, answer_slack_ms)));
    let engines = top.need_block("engines").map(|block| finish(block, engines));
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
        rules: rules?,
        front: front?,
        engines: engines?,
        dialects,
        membership: membership.unwrap_or(MEMBERSHIP),
        servers_file,
        log: top.optional("log"),
        workload_rows,
        reports,
        peers,
        failover,
    })
}

/// What holds where a document has no `membership`.
const MEMBERSHIP: MembershipRules = MembershipRules {
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
        stale_ms: time("stale-after", MEMBERSHIP.stale_ms),
        hold_ms: time("hold", MEMBERSHIP.hold_ms),
        most_removed: block
            .optional::<Share>("most-removed")
            .map_or(MEMBERSHIP.most_removed, |share| share.0),
        flaps: block.optional::<Count>("flaps").map_or(MEMBERSHIP.flaps, |count| count.0 as usize),
        flap_window_ms: time("flap-window", MEMBERSHIP.flap_window_ms),
        quarantine_ms: time("quarantine", MEMBERSHIP.quarantine_ms),
    };
    for (name, value) in [("stale-after", rules.stale_ms), ("hold", rules.hold_ms)] {
        if value <= 0.0 {
            block.problem_of(name, format!("'{name}' must be above 0"));
        }
    }
    rules
}

fn finish<'a, T>(block: Block<'a>, read: impl FnOnce(&Block<'a>) -> T) -> T {
    let value = read(&block);
    block.reject_unknown();
    value
}

fn workloads(top: &Block) -> (Vec<house::WorkloadSettings>, Vec<WorkloadNames>) {
    let mut rows = Vec::new();
    for block in top.blocks("workload") {
        let name: String = block.argument().unwrap_or_default();
        let effects = [
            ("idempotent", house::Effect::Idempotent),
            ("tokened", house::Effect::Tokened),
            ("non-idempotent", house::Effect::NonIdempotent),
        ];
        let read = block.choice("effect", &effects, None);
        let effect = read.unwrap_or(house::Effect::NonIdempotent);
        let tokened = effect == house::Effect::Tokened;
        let groups = [("all", house::Group::All), ("zone", house::Group::Zone), ("cell", house::Group::Cell)];
        let otherwise = Some(house::Group::All).filter(|_| !tokened);
        let group = block.choice("group", &groups, otherwise).unwrap_or(house::Group::All);
        block.skip("window");
        let window_ms = if tokened { block.need::<Millis>("window").0 } else { 0.0 };
        if read.is_some() && !tokened && (block.has("window") || block.has("group")) {
            block.problem("'group' and 'window' belong to workloads whose effect is \"tokened\"");
        }
        let target = block.need::<Millis>("latency-target").0;
        let per_token = block.optional::<Millis>("target-per-1000-tokens").map_or(0.0, |time| time.0 / 1e3);
        let client_timeout_ms = block.need::<Millis>("client-timeout").0;
        if client_timeout_ms < target {
            block.problem_of("client-timeout", "'client-timeout' is shorter than 'latency-target'");
        }
        let models =
            block.need_block("models").map(|block| finish(block, Block::arguments)).unwrap_or_default();
        let value = block.need("value");
        let keyed = block.block("keyed").map(|keyed| finish(keyed, |keyed| keyed.need::<Millis>("window").0));
        if tokened && keyed.is_some() {
            block.problem_of("keyed", "a \"tokened\" workload has its 'group' and 'window' already");
        }
        let remembered = block.optional("remembered").unwrap_or(false);
        block.reject_unknown();
        let settings = house::WorkloadSettings {
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
    if let Some(twice) = models.windows(2).find(|pair| pair[0] == pair[1]) {
        top.problem(format!("model \"{}\" belongs to two workloads", twice[0]));
    }
    // What carries a key is a workload of its own to the decisions: the same, but tokened among all servers.
    let (mut settings, mut names): (Vec<_>, Vec<_>) =
        rows.iter().map(|(settings, names, _)| (settings.clone(), names.clone())).unzip();
    for (row, (base, _, keyed)) in rows.into_iter().enumerate() {
        if let Some(window_ms) = keyed {
            names[row].keyed = Some(settings.len());
            let (effect, group) = (house::Effect::Tokened, house::Group::All);
            settings.push(house::WorkloadSettings { effect, group, window_ms, ..base });
        }
    }
    (settings, names)
}

/// Events that every answer needs.
const NEEDED: [&str; 3] = ["content_block_delta", "message_stop", "error"];
fn dialects(top: &Block) -> Vec<DialectSettings> {
    let mut rows: Vec<DialectSettings> = Vec::new();
    for block in top.blocks("dialect") {
        let name: String = block.argument().unwrap_or_default();
        let path: String = block.need("path");
        let mut events: Vec<(String, Option<String>)> = Vec::new();
        let mut add = |node: &Block, event: String, other: Option<String>| {
            if !EVENTS.contains(&event.as_str()) {
                node.problem(format!("there is no event \"{event}\"; known are {}", EVENTS.join(", ")));
            } else if other.is_none() && NEEDED.contains(&event.as_str()) {
                node.problem(format!("no answer can do without \"{event}\""));
            } else if other.as_ref().is_some_and(|other| other.contains(|c: char| c.is_control())) {
                node.problem("the name of an event has no control characters");
            }
            events.push((event, other));
        };
        for node in block.blocks("event") {
            let (event, other) = (node.argument::<String>(), node.argument::<String>());
            if other.is_none() {
                node.problem("'event' needs the published name and the other one");
            }
            add(&node, event.unwrap_or_default(), other.or(Some(String::new())));
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

fn customers(top: &Block) -> (Vec<house::CustomerSettings>, Vec<CustomerNames>) {
    let customer = |block: Block| {
        let name = block.argument().unwrap_or_default();
        let keys = block.need_block("keys").map(|block| finish(block, Block::arguments)).unwrap_or_default();
        let quota_per_s = block.need("quota-per-s");
        let limits = block.block("limits").map(|block| finish(block, limits)).unwrap_or_default();
        block.reject_unknown();
        (house::CustomerSettings { quota_per_s }, CustomerNames { name, keys, limits })
    };
    top.blocks("customer").into_iter().map(customer).unzip()
}

fn kinds(top: &Block) -> (Vec<house::KindSettings>, Vec<String>) {
    let kind = |block: Block| {
        let name = block.argument().unwrap_or_default();
        let role = block.choice("role", ROLES, None).unwrap_or(house::Role::Mixed);
        let memory_tokens = block.need::<Count>("memory").0 as f64;
        block.reject_unknown();
        (house::KindSettings { role, memory_tokens }, name)
    };
    let rows: (Vec<_>, Vec<_>) = top.blocks("kind").into_iter().map(kind).unzip();
    if rows.0.is_empty() {
        top.problem("there is no 'kind' of server; at least one is needed");
    }
    rows
}

pub(crate) const ROLES: &[(&str, house::Role)] =
    &[("reader", house::Role::Reader), ("writer", house::Role::Writer), ("mixed", house::Role::Mixed)];

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
