//! The document of a fleet of emulated model servers and of the discovery service that lists them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use paddleproxy::interface::{Group, Role};

use crate::reader::{Block, Count, LoopbackAddress, Millis, Problems, Share, Source};
use crate::router::ROLES;

#[derive(Clone, Debug)]
pub struct FleetSettings {
    pub seed: u64,
    /// Address of the list service.
    pub list: SocketAddr,
    /// Delay after which the list reports a change, in ms.
    pub list_delay_ms: f64,
    /// Longest time for which the list service holds a poll until there is a change.
    pub list_hold_ms: f64,
    /// Capacity of a server just after its start, as a fraction of its full capacity.
    pub cold_share: f64,
    /// Length of slow start: the time from a server's start to its full capacity.
    pub cold_ms: f64,
    /// A server in slow start fails once it receives more than this multiple of its present capacity within
    /// `fall_ms`.
    pub fall_multiple: f64,
    pub fall_ms: f64,
    /// Transfer rate of states between two servers of one cell, and of different cells.
    pub near_tokens_per_s: f64,
    pub far_tokens_per_s: f64,
    /// Interval of the servers' load reports.
    pub report_every_ms: f64,
    /// Each value of a load report is off by up to this fraction.
    pub report_noise: f64,
    /// A state that no writer fetches is released after this time, in ms.
    pub lease_ms: f64,
    /// Whether a server stops work that nobody waits for any more.
    pub cancel_stops: bool,
    pub dedup_rules: Vec<DedupRule>,
    pub kinds: Vec<ServerKind>,
    pub servers: Vec<ServerRow>,
}

/// Which servers deduplicate a model's tokened completions among themselves, and for how long.
#[derive(Clone, Debug)]
pub struct DedupRule {
    pub model: String,
    pub group: Group,
    pub window_ms: f64,
}

#[derive(Clone, Debug)]
pub struct ServerKind {
    pub name: String,
    pub role: Role,
    pub slots: usize,
    pub queue: usize,
    pub memory_tokens: f64,
    /// Prompt tokens read per second.
    pub read_tokens_per_s: f64,
    /// Time for one token of an answer, in ms.
    pub token_ms: f64,
    /// Limit of open connections; further ones are closed immediately.
    pub connections: Option<usize>,
}

#[derive(Clone, Debug)]
pub struct ServerRow {
    pub name: String,
    pub kind: usize,
    pub zone: String,
    pub cell: u32,
}

pub fn parse(file: &str, text: &str) -> Result<FleetSettings, Problems> {
    Source::read(file, text, |top| {
        let block = top.need_block("fleet")?;
        let fleet = fleet(&block);
        block.reject_unknown();
        fleet
    })
}

pub(crate) fn fleet(top: &Block) -> Option<FleetSettings> {
    let list = top.need_block("list");
    let list = list.map(|block| {
        let read = (
            block.need::<LoopbackAddress>("listen").0,
            block.need::<Millis>("delay").0,
            block.need::<Millis>("hold").0,
        );
        block.reject_unknown();
        read
    });
    let cold = top.need_block("cold");
    let cold = cold.map(|block| {
        let read = (block.need_property::<Share>("share").0, block.need_property::<Millis>("time").0);
        block.reject_unknown();
        read
    });
    let fall = top.need_block("fall");
    let fall = fall.map(|block| {
        let read = (block.need_property::<f64>("multiple"), block.need_property::<Millis>("after").0);
        block.reject_unknown();
        read
    });
    let links = top.need_block("links");
    let links = links.map(|block| {
        let read = (block.need_property::<Count>("near").0, block.need_property::<Count>("far").0);
        if read.0 == 0 || read.1 == 0 {
            block.problem("a link must carry at least 1 token a second");
        }
        block.reject_unknown();
        read
    });
    let kinds: Vec<_> = top.blocks("kind").into_iter().map(server_kind).collect();
    let dedup_rules = top.blocks("repeats").into_iter().map(dedup_rule).collect();
    let mut servers = Vec::new();
    for block in top.blocks("servers") {
        let prefix: String = block.argument().unwrap_or_default();
        let kind_name: String = block.need_property("kind");
        let zone: String = block.need_property("zone");
        let cell = block.need_property::<Count>("cell").0 as u32;
        let count = block.property::<Count>("count").map_or(1, |count| count.0);
        block.reject_unknown();
        let Some(kind) = kinds.iter().position(|kind: &ServerKind| kind.name == kind_name) else {
            block.problem(format!("kind=\"{kind_name}\" is not among the kinds of this fleet"));
            continue;
        };
        if count > 4096 {
            block.problem("count is above 4096");
            continue;
        }
        for number in 1..=count {
            servers.push(ServerRow { name: format!("{prefix}{number}"), kind, zone: zone.clone(), cell });
        }
    }
    let mut names = BTreeSet::new();
    if let Some(duplicate) = servers.iter().find(|row| !names.insert(&row.name)) {
        top.problem(format!("two servers are named \"{}\"", duplicate.name));
    }
    if servers.is_empty() {
        top.problem("there are no 'servers'");
    }
    let (list, list_delay_ms, list_hold_ms) = list?;
    let (cold_share, cold_ms) = cold?;
    let (fall_multiple, fall_ms) = fall?;
    let (near, far) = links?;
    Some(FleetSettings {
        seed: top.need::<Count>("seed").0,
        list,
        list_delay_ms,
        list_hold_ms,
        cold_share,
        cold_ms,
        fall_multiple,
        fall_ms,
        near_tokens_per_s: near as f64,
        far_tokens_per_s: far as f64,
        report_every_ms: top.need::<Millis>("report-every").0,
        report_noise: top.optional::<Share>("report-noise").map_or(0.0, |share| share.0),
        lease_ms: top.need::<Millis>("state-lease").0,
        cancel_stops: top.need("cancel-stops-work"),
        dedup_rules,
        kinds,
        servers,
    })
}

fn server_kind(block: Block) -> ServerKind {
    let at_least_one = |name: &'static str| {
        let value = block.need::<Count>(name).0;
        if value == 0 {
            block.problem_of(name, format!("'{name}' must be at least 1"));
        }
        value.max(1)
    };
    let kind = ServerKind {
        name: block.argument().unwrap_or_default(),
        role: block.choice("role", ROLES, None).unwrap_or(Role::Mixed),
        slots: at_least_one("slots") as usize,
        queue: block.need::<Count>("queue").0 as usize,
        memory_tokens: at_least_one("memory") as f64,
        read_tokens_per_s: at_least_one("read-rate") as f64,
        token_ms: block.need::<Millis>("token-time").0,
        connections: block.optional::<Count>("connections").map(|count| count.0.max(1) as usize),
    };
    block.reject_unknown();
    kind
}

fn dedup_rule(block: Block) -> DedupRule {
    let groups = [("all", Group::All), ("zone", Group::Zone), ("cell", Group::Cell)];
    let rule = DedupRule {
        model: block.argument().unwrap_or_default(),
        group: block.choice("group", &groups, None).unwrap_or(Group::All),
        window_ms: block.need::<Millis>("window").0,
    };
    block.reject_unknown();
    rule
}
