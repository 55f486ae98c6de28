//! The document of a day, a scripted scenario: routers, a fleet of model servers, clients and the troubles
//! (scripted faults) that they meet.

use std::path::Path;

use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};

use crate::day_failover::{self, ExpectedPlan, FailoverMode};
use crate::failover;
use crate::fleet::{fleet, FleetSettings};
use crate::process_faults::{self, Fault};
use crate::reader::{Block, Count, Millis, Problems, Share, Source};
use crate::router::{router, RouterSettings, Switch, SWITCHES};
use crate::{read_text, Error};

#[derive(Clone, Debug)]
pub struct DaySettings {
    pub name: String,
    pub length_ms: f64,
    /// Time after the last request in which open completions may still finish.
    pub rest_ms: f64,
    pub seed: u64,
    pub routers: usize,
    /// Time within which a router must stop sending to a server after the list reported it as draining, in
    /// ms.
    pub drain_grace_ms: f64,
    /// The template of every router; its own number, zone and addresses are set when the day starts.
    pub router: RouterSettings,
    /// The nodes of the template, from which each router's document is made.
    router_nodes: KdlDocument,
    /// Routers whose rules differ from the template's.
    pub shapes: Vec<Shape>,
    pub fleet: FleetSettings,
    pub clients: Vec<ClientLoad>,
    /// One-way latency between a router and a server, within a zone and between zones, in ms. Used only in
    /// virtual time.
    pub network_ms: (f64, f64),
    pub troubles: Vec<Trouble>,
    /// Shares of sessions that the failover plans are expected to move.
    pub expected_plans: Vec<ExpectedPlan>,
}

/// Routers that run with some of the template's boolean rules set differently.
#[derive(Clone, Debug)]
pub struct Shape {
    pub name: String,
    pub routers: Vec<usize>,
    switches: Vec<(&'static str, Switch, bool)>,
}

/// Name of the shape of routers that run with the template's own rules.
pub const TEMPLATE: &str = "template";

/// One stream of requests: sessions of `turns` turns, each turn a request.
#[derive(Clone, Debug)]
pub struct ClientLoad {
    pub model: String,
    pub key: String,
    /// Sessions started per second.
    pub sessions_per_s: f64,
    pub turns: usize,
    /// Time between an answer and the next turn.
    pub think_ms: f64,
    /// Tokens of the shared prompt prefix (0: none), and the number of different prefixes.
    pub shared_tokens: usize,
    pub prefix_count: usize,
    /// Exponent of the Zipf distribution by which prefixes are drawn; 0: all are equally likely.
    pub zipf: f64,
    /// Prompt tokens that each turn adds.
    pub adds_tokens: usize,
    pub answer_tokens: usize,
    pub client_timeout_ms: f64,
    pub retries: usize,
    /// Delay before a retry.
    pub retry_after_ms: f64,
    pub stream: bool,
    /// Path of the API to which the requests are sent.
    pub path: String,
    /// Share of the requests whose client disconnects early.
    pub leaves: f64,
}

impl ClientLoad {
    /// The prefix that a draw from 0 to below 1 selects.
    pub fn prefix_at(&self, draw: f64) -> usize {
        let weight = |number: usize| (number as f64 + 1.0).powf(-self.zipf);
        let mut rest = draw * (0..self.prefix_count).map(weight).sum::<f64>();
        for number in 0..self.prefix_count {
            rest -= weight(number);
            if rest < 0.0 {
                return number;
            }
        }
        self.prefix_count.saturating_sub(1)
    }
}

/// A scripted fault.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub at_ms: f64,
    /// Duration in ms; 0: the trouble is over at once.
    pub for_ms: f64,
    /// For a trouble that repeats at random: mean gap between two occurrences, in ms.
    pub every_ms: Option<f64>,
    pub kind: TroubleKind,
}

/// How connections to a dead server fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureMode {
    /// Connections are refused.
    Refuse,
    /// Connections are accepted and reset.
    Reset,
    /// Connections are never established.
    Unreachable,
}

/// The fault and its targets. Servers are named as in the fleet.
#[derive(Clone, Debug)]
pub enum TroubleKind {
    Dead {
        servers: Vec<String>,
        how: FailureMode,
        /// Whether the servers return under another name.
        back_as_new: bool,
    },
    /// Servers stop answering, but keep their connections.
    Silent {
        servers: Vec<String>,
    },
    Slow {
        servers: Vec<String>,
        factor: f64,
    },
    /// Servers become slower by `factor` each second.
    Ageing {
        servers: Vec<String>,
        factor: f64,
    },
    /// Servers answer a share of the requests with an error; only those for `model`, if it is named.
    Erring {
        servers: Vec<String>,
        share: f64,
        model: Option<String>,
    },
    /// Servers do the work, but a share of the answers is lost.
    AnswerLost {
        servers: Vec<String>,
        share: f64,
    },
    /// Servers stop for `pause_ms` in every `every_ms`.
    Pausing {
        servers: Vec<String>,
        pause_ms: f64,
        every_ms: f64,
    },
    /// Servers lose their cached tokens.
    Flush {
        servers: Vec<String>,
    },
    /// Servers are listed as draining; their processes end after `notice_ms`.
    Drain {
        servers: Vec<String>,
        notice_ms: f64,
    },
    /// Transfers of states from the readers of a cell become slower.
    Links {
        cell: u32,
        factor: f64,
    },
    /// All servers of a zone become unreachable.
    ZoneLost {
        zone: String,
        /// Whether the zone's routers are killed too.
        routers: bool,
    },
    /// The list service reports changes later than usual.
    ListBehind {
        by_ms: f64,
    },
    ListDown,
    /// The list service restarts and omits a share of the servers although they run.
    ListLies {
        share: f64,
    },
    /// A router is killed without notice.
    RouterKilled {
        router: usize,
    },
    /// A router is requested to stop and shuts down gracefully.
    RouterStopped {
        router: usize,
    },
    /// The sessions of an API key are multiplied.
    Burst {
        key: String,
        factor: f64,
    },
    /// The sessions of an API key grow linearly to a multiple over the trouble's duration, then fall back.
    Ramp {
        key: String,
        factor: f64,
    },
    /// A share of the prompts is longer by `factor`.
    LongPrompts {
        share: f64,
        factor: f64,
    },
    /// A share of the sessions starts with one and the same prefix.
    HotPrefix {
        share: f64,
        tokens: usize,
    },
    /// Clients of a share of the requests disconnect early.
    GiveUp {
        share: f64,
    },
    /// A fault of links or router processes; played on real processes only.
    ProcessFault(Fault),
}

impl TroubleKind {
    /// The trouble's name in the document, in tables and in records.
    pub fn name(&self) -> &'static str {
        match self {
            TroubleKind::Dead { .. } => "dead",
            TroubleKind::Silent { .. } => "silent",
            TroubleKind::Slow { .. } => "slow",
            TroubleKind::Ageing { .. } => "ageing",
            TroubleKind::Erring { .. } => "erring",
            TroubleKind::AnswerLost { .. } => "answer-lost",
            TroubleKind::Pausing { .. } => "pausing",
            TroubleKind::Flush { .. } => "flush",
            TroubleKind::Drain { .. } => "drain",
            TroubleKind::Links { .. } => "links",
            TroubleKind::ZoneLost { .. } => "zone-lost",
            TroubleKind::ListBehind { .. } => "list-behind",
            TroubleKind::ListDown => "list-down",
            TroubleKind::ListLies { .. } => "list-lies",
            TroubleKind::RouterKilled { .. } => "router-killed",
            TroubleKind::RouterStopped { .. } => "router-stopped",
            TroubleKind::Burst { .. } => "burst",
            TroubleKind::Ramp { .. } => "ramp",
            TroubleKind::LongPrompts { .. } => "long-prompts",
            TroubleKind::HotPrefix { .. } => "hot-beginning",
            TroubleKind::GiveUp { .. } => "give-up",
            TroubleKind::ProcessFault(fault) => fault.name(),
        }
    }
}

/// Reads a day from name and text of its file and of the file that it includes, if any.
///
/// # Errors
/// All problems found, each with its file, line and column.
pub fn parse(parts: &[(String, String)]) -> Result<DaySettings, Problems> {
    Source::read_parts(parts, day)
}

/// Reads a day's file and the file that it includes. The path of the latter is relative to the day's
/// directory.
///
/// # Errors
/// A file that can't be read, or all problems found.
pub fn load(path: &Path) -> Result<DaySettings, Error> {
    let text = read_text(path)?;
    let document = KdlDocument::parse(&text).ok();
    let include = document.and_then(|document| Some(document.get_arg("include")?.as_string()?.to_owned()));
    let mut parts = vec![(path.display().to_string(), text)];
    if let Some(name) = include {
        let other = path.parent().unwrap_or(Path::new("")).join(name);
        parts.push((other.display().to_string(), read_text(&other)?));
    }
    Ok(parse(&parts)?)
}

/// The settings of one router that replace the template's.
#[derive(Clone, Debug)]
pub struct RouterOverrides<'a> {
    pub number: usize,
    pub zone: &'a str,
    pub list: &'a str,
    pub listen: &'a str,
    pub admin: Option<&'a str>,
    pub state_dir: &'a str,
    pub seed: u64,
    /// Addresses for peers: where the router listens, where they reach it if that differs, and the seeds.
    /// `None` if the routers of the day have no peers.
    pub peers: Option<(String, Option<String>, Vec<String>)>,
    /// Number of routers in its settings, if not the day's.
    pub router_count: Option<usize>,
}

/// Duration of one exchange between routers: the delay after which the true state is reported, in ms.
const EXCHANGE_MS: f64 = 200.0;

impl DaySettings {
    /// Changes how the day's routers decide on failover. Expected plans hold only for the configured mode.
    pub fn set_failover_mode(&mut self, mode: FailoverMode) {
        if mode == FailoverMode::NoPeers {
            self.router_nodes
                .nodes_mut()
                .retain(|node| !["peers", "failover"].contains(&node.name().value()));
            (self.router.peers, self.router.failover) = (None, None);
            self.expected_plans.clear();
            return;
        }
        let block = self.router_nodes.get_mut("failover").and_then(|block| block.children_mut().as_mut());
        match (mode, block) {
            (FailoverMode::Configured | FailoverMode::NoPeers, _) | (_, None) => return,
            (FailoverMode::NoFailover, _) => {
                self.router_nodes.nodes_mut().retain(|node| node.name().value() != "failover");
                self.router.failover = None;
            }
            (FailoverMode::OwnEvidence, Some(block)) => set(block, "decides", "alone"),
            (FailoverMode::TrueState, Some(block)) => {
                set(block, "decides", "told");
                set(block, "out", 1.0);
                let commands: Vec<Trouble> =
                    self.troubles.iter().flat_map(|trouble| self.true_state_commands(trouble)).collect();
                self.troubles.extend(commands);
            }
        }
        self.expected_plans.clear();
    }

    /// Operator commands that state the effect of a trouble on whole zones, at its start and at its end.
    fn true_state_commands(&self, trouble: &Trouble) -> Vec<Trouble> {
        let affects_all = |zone: &String| {
            let mut servers = self.fleet.servers.iter().filter(|row| row.zone == *zone);
            match &trouble.kind {
                TroubleKind::ZoneLost { zone: lost, .. } => lost == zone,
                TroubleKind::Dead { servers: of, .. }
                | TroubleKind::Silent { servers: of }
                | TroubleKind::Slow { servers: of, .. } => servers.all(|row| of.contains(&row.name)),
                _ => false,
            }
        };
        let command_at = |zone: &String, at_ms: f64, command: &str| {
            let fault =
                Fault::OperatorCommand { zone: zone.clone(), command: command.to_owned(), for_ms: 600_000.0 };
            Trouble {
                at_ms: at_ms + EXCHANGE_MS,
                for_ms: 0.0,
                every_ms: None,
                kind: TroubleKind::ProcessFault(fault),
            }
        };
        let zones = self.router.names.zones.iter().filter(|zone| affects_all(zone));
        let commands = zones.flat_map(|zone| {
            let (from_ms, to_ms) = (trouble.at_ms, trouble.at_ms + trouble.for_ms);
            [command_at(zone, from_ms, "drain-zone"), command_at(zone, to_ms, "return")]
        });
        commands.collect()
    }

    fn shape(&self, router: usize) -> Option<&Shape> {
        self.shapes.iter().rfind(|shape| shape.routers.contains(&router))
    }

    /// Name of the shape in which a router runs.
    pub fn shape_of(&self, router: usize) -> &str {
        self.shape(router).map_or(TEMPLATE, |shape| &shape.name)
    }

    /// The settings of one router: the template's with the switches of the router's shape.
    pub fn router_of(&self, router: usize) -> RouterSettings {
        let mut settings = self.router.clone();
        for (_, switch, on) in self.shape(router).map_or(&[][..], |shape| &shape.switches) {
            *switch(&mut settings) = *on;
        }
        settings
    }

    /// The document of one router of this day.
    pub fn router_document(&self, overrides: &RouterOverrides) -> String {
        let mut document = self.router_nodes.clone();
        set(&mut document, "number", overrides.number as i128);
        set(&mut document, "routers", overrides.router_count.unwrap_or(self.routers) as i128);
        set(&mut document, "zone", overrides.zone);
        set(&mut document, "listen", overrides.listen);
        set(&mut document, "state-dir", overrides.state_dir);
        set(&mut document, "seed", i128::from(overrides.seed));
        if let Some(admin) = overrides.admin {
            set(&mut document, "admin", admin);
        }
        let mut set_in = |name, line, value: KdlValue| {
            if let Some(block) = document.get_mut(name).and_then(|block| block.children_mut().as_mut()) {
                set(block, line, value);
            }
        };
        set_in("list", "service", overrides.list.into());
        for (name, _, on) in self.shape(overrides.number).map_or(&[][..], |shape| &shape.switches) {
            set_in("rules", name, (*on).into());
        }
        if let Some((listen, advertise, seeds)) = &overrides.peers {
            set_in("peers", "listen", listen.as_str().into());
            if let Some(advertise) = advertise {
                set_in("peers", "advertise", advertise.as_str().into());
            }
            if let Some(block) = document.get_mut("peers").and_then(|block| block.children_mut().as_mut()) {
                block.nodes_mut().retain(|node| node.name().value() != "seeds");
                let mut node = KdlNode::new("seeds");
                seeds.iter().for_each(|seed| node.push(KdlEntry::new(seed.as_str())));
                block.nodes_mut().push(node);
            }
        }
        document.autoformat();
        document.to_string()
    }
}

/// Replaces the children of that name by one with the value.
fn set(block: &mut KdlDocument, name: &str, value: impl Into<KdlValue>) {
    block.nodes_mut().retain(|node| node.name().value() != name);
    let mut node = KdlNode::new(name);
    node.push(KdlEntry::new(value));
    block.nodes_mut().push(node);
}

/// One-way latency of a day without `network`, in ms.
const DEFAULT_LATENCY_MS: f64 = 0.3;

fn day(top: &Block) -> Option<DaySettings> {
    let header = top.need_block("day")?;
    top.skip("include");
    let name = header.argument().unwrap_or_default();
    let length_ms = header.need::<Millis>("length").0;
    let rest_ms = header.need::<Millis>("rest").0;
    let seed = header.need::<Count>("seed").0;
    let routers = header.need::<Count>("routers").0 as usize;
    let drain_grace_ms = header.need::<Millis>("drain-grace").0;
    header.reject_unknown();
    if routers == 0 || routers > 64 {
        header.problem("'routers' must be from 1 to 64");
    }
    let template = top.need_block("router");
    let mut router_nodes = template.as_ref().and_then(|block| block.node()?.children().cloned());
    let mut read_router = template.and_then(|block| {
        let read = router(&block);
        block.reject_unknown();
        read
    });
    // 'failover' belongs to the day, since one template serves days with and without it.
    if let (Some(block), Some(router)) = (top.block("failover"), &mut read_router) {
        let read = failover::read(&block, &router.names.zones);
        block.reject_unknown();
        router.decisions.zone_distances = read.topology.distance_ranks();
        router.failover = Some(read);
        router_nodes.iter_mut().for_each(|nodes| nodes.nodes_mut().extend(block.node().cloned()));
        if router.peers.is_none() {
            block.problem("'failover' needs 'peers' in the routers' settings");
        }
    }
    let read_fleet = top.need_block("fleet").and_then(|block| {
        let read = fleet(&block);
        block.reject_unknown();
        read
    });
    let network = top.block("network").map(|block| {
        let read = (block.need_property::<Millis>("near").0, block.need_property::<Millis>("far").0);
        block.reject_unknown();
        read
    });
    let shapes: Vec<_> = top.blocks("shape").into_iter().map(|block| shape(&block, routers)).collect();
    let clients: Vec<_> = top.blocks("clients").into_iter().map(client_load).collect();
    let troubles: Vec<_> = top.blocks("trouble").into_iter().filter_map(trouble).collect();
    let settings = DaySettings {
        name,
        length_ms,
        rest_ms,
        seed,
        routers,
        drain_grace_ms,
        router: read_router?,
        router_nodes: router_nodes?,
        shapes,
        fleet: read_fleet?,
        clients,
        network_ms: network.unwrap_or((DEFAULT_LATENCY_MS, DEFAULT_LATENCY_MS)),
        troubles,
        expected_plans: top.blocks("expect").into_iter().map(day_failover::expect).collect(),
    };
    check_references(top, &settings);
    Some(settings)
}

fn shape(block: &Block, routers: usize) -> Shape {
    let numbers = block.need_block("routers").map_or(Vec::new(), |line| {
        let numbers: Vec<usize> =
            line.arguments::<Count>().into_iter().map(|count| count.0 as usize).collect();
        line.reject_unknown();
        numbers
    });
    if numbers.is_empty() || numbers.iter().any(|number| *number >= routers) {
        let last = routers.saturating_sub(1);
        block.problem_of("routers", format!("'routers' names some of the day's, from 0 to {last}"));
    }
    let switch = |(name, switch)| block.optional::<bool>(name).map(|on| (name, switch, on));
    let switches = SWITCHES.into_iter().filter_map(switch).collect();
    let name = block.argument().unwrap_or_default();
    block.reject_unknown();
    Shape { name, routers: numbers, switches }
}

/// Reports references from one part of the day to another that do not resolve.
fn check_references(top: &Block, day: &DaySettings) {
    for (row, kind) in day.fleet.kinds.iter().enumerate() {
        let known = day.router.names.kinds.iter().position(|name| *name == kind.name);
        match known.map(|at| day.router.decisions.kinds[at].role) {
            None => top.problem(format!("the fleet's kind \"{}\" is not known to the routers", kind.name)),
            Some(role) if role != day.fleet.kinds[row].role => {
                top.problem(format!(
                    "kind \"{}\" has one role in the fleet, another at the routers",
                    kind.name
                ));
            }
            _ => {}
        }
    }
    for server in &day.fleet.servers {
        if !day.router.names.zones.contains(&server.zone) {
            top.problem(format!(
                "server \"{}\" is in zone \"{}\", unknown to the routers",
                server.name, server.zone
            ));
        }
    }
    for load in &day.clients {
        if !day.router.names.workloads.iter().any(|workload| workload.models.contains(&load.model)) {
            top.problem(format!(
                "clients ask for model \"{}\", which no workload of the routers has",
                load.model
            ));
        }
    }
    for trouble in &day.troubles {
        let servers = match &trouble.kind {
            TroubleKind::Dead { servers, .. }
            | TroubleKind::Silent { servers }
            | TroubleKind::Slow { servers, .. }
            | TroubleKind::Ageing { servers, .. }
            | TroubleKind::Erring { servers, .. }
            | TroubleKind::AnswerLost { servers, .. }
            | TroubleKind::Pausing { servers, .. }
            | TroubleKind::Flush { servers }
            | TroubleKind::Drain { servers, .. } => servers.as_slice(),
            TroubleKind::RouterKilled { router } | TroubleKind::RouterStopped { router }
                if *router >= day.routers =>
            {
                top.problem(format!(
                    "trouble '{}' names router {router}, which is not there",
                    trouble.kind.name()
                ));
                continue;
            }
            TroubleKind::ProcessFault(fault) => {
                check_fault_references(top, day, fault);
                continue;
            }
            _ => continue,
        };
        for server in servers {
            if !day.fleet.servers.iter().any(|row| row.name == *server) {
                top.problem(format!(
                    "trouble '{}' names \"{server}\", which is not there",
                    trouble.kind.name()
                ));
            }
        }
    }
}

/// A fault of links or router processes needs routers with peers, and targets that exist.
fn check_fault_references(top: &Block, day: &DaySettings, fault: &Fault) {
    let name = fault.name();
    if day.router.peers.is_none() {
        top.problem(format!("trouble '{name}' needs 'peers' in the routers' settings"));
    }
    if let Some(router) = fault.routers().iter().find(|router| **router >= day.routers) {
        top.problem(format!("trouble '{name}' names router {router}, which is not there"));
    }
    if matches!(fault, Fault::OperatorCommand { zone, .. } if !day.router.names.zones.contains(zone)) {
        top.problem("trouble 'said' names a zone that is not there");
    }
    if matches!(fault, Fault::OperatorCommand { .. }) && day.router.failover.is_none() {
        top.problem("trouble 'said' needs the day's 'failover'");
    }
    if let Fault::Link { from, to, .. } = fault {
        for end in from.iter().chain(to) {
            let zone = |zone: &String| day.router.names.zones.contains(zone);
            let exists = match end {
                process_faults::EndpointSelector::Router(router) => *router < day.routers,
                process_faults::EndpointSelector::Zone(of)
                | process_faults::EndpointSelector::RoutersOf(of)
                | process_faults::EndpointSelector::WorkersOf(of) => zone(of),
                process_faults::EndpointSelector::Server(server) => {
                    day.fleet.servers.iter().any(|row| row.name == *server)
                }
                _ => true,
            };
            if !exists {
                top.problem(format!("trouble 'link' names {end:?}, which is not there"));
            }
        }
    }
}

fn client_load(block: Block) -> ClientLoad {
    let load = ClientLoad {
        model: block.need("model"),
        key: block.need("key"),
        sessions_per_s: block.need("sessions-per-s"),
        turns: block.need::<Count>("turns").0.max(1) as usize,
        think_ms: block.need::<Millis>("think").0,
        shared_tokens: block.need::<Count>("shared").0 as usize,
        prefix_count: block.optional::<Count>("beginnings").map_or(1, |count| count.0.max(1)) as usize,
        zipf: block.optional::<f64>("zipf").unwrap_or(0.0).clamp(0.0, 10.0),
        adds_tokens: block.need::<Count>("adds").0.max(1) as usize,
        answer_tokens: block.need::<Count>("answer").0.max(1) as usize,
        client_timeout_ms: block.need::<Millis>("client-timeout").0,
        retries: block.need::<Count>("retries").0 as usize,
        retry_after_ms: block.need::<Millis>("retry-wait").0,
        stream: block.need("stream"),
        path: block.optional("path").unwrap_or_else(|| "/v1/messages".into()),
        leaves: block.optional::<Share>("leaves").map_or(0.0, |share| share.0),
    };
    block.reject_unknown();
    load
}

fn trouble(block: Block) -> Option<Trouble> {
    let name: String = block.argument()?;
    let at_ms = block.need_property::<Millis>("at").0;
    let for_ms = block.property::<Millis>("for").map_or(0.0, |time| time.0);
    let factor = || block.need_property::<f64>("factor").max(1.0);
    let share = || block.need_property::<Share>("share").0;
    let servers = || {
        let names: Vec<String> = block.arguments();
        if names.is_empty() {
            block.problem("this trouble needs the names of its servers");
        }
        names
    };
    let kind = match name.as_str() {
        "dead" => {
            let how = match block.property::<String>("how").as_deref() {
                None | Some("refuse") => FailureMode::Refuse,
                Some("reset") => FailureMode::Reset,
                Some("unreachable") => FailureMode::Unreachable,
                Some(other) => {
                    block.problem(format!("how=\"{other}\"; allowed is refuse, reset, unreachable"));
                    FailureMode::Refuse
                }
            };
            let back_as_new = block.property::<bool>("back-as-new").unwrap_or(false);
            TroubleKind::Dead { servers: servers(), how, back_as_new }
        }
        "silent" => TroubleKind::Silent { servers: servers() },
        "slow" => TroubleKind::Slow { servers: servers(), factor: factor() },
        "ageing" => TroubleKind::Ageing { servers: servers(), factor: factor() },
        "erring" => {
            TroubleKind::Erring { servers: servers(), share: share(), model: block.property("model") }
        }
        "answer-lost" => TroubleKind::AnswerLost { servers: servers(), share: share() },
        "pausing" => TroubleKind::Pausing {
            servers: servers(),
            pause_ms: block.need_property::<Millis>("pause").0,
            every_ms: block.need_property::<Millis>("every").0.max(1.0),
        },
        "flush" => TroubleKind::Flush { servers: servers() },
        "drain" => {
            TroubleKind::Drain { servers: servers(), notice_ms: block.need_property::<Millis>("notice").0 }
        }
        "links" => {
            TroubleKind::Links { cell: block.need_property::<Count>("cell").0 as u32, factor: factor() }
        }
        "zone-lost" => TroubleKind::ZoneLost {
            zone: block.need_property("zone"),
            routers: block.property("routers").unwrap_or(false),
        },
        "list-behind" => TroubleKind::ListBehind { by_ms: block.need_property::<Millis>("by").0 },
        "list-down" => TroubleKind::ListDown,
        "list-lies" => TroubleKind::ListLies { share: share() },
        "router-killed" => {
            TroubleKind::RouterKilled { router: block.need_property::<Count>("router").0 as usize }
        }
        "router-stopped" => {
            TroubleKind::RouterStopped { router: block.need_property::<Count>("router").0 as usize }
        }
        "burst" => TroubleKind::Burst { key: block.need_property("key"), factor: factor() },
        "ramp" => TroubleKind::Ramp { key: block.need_property("key"), factor: factor() },
        "long-prompts" => TroubleKind::LongPrompts { share: share(), factor: factor() },
        "hot-beginning" => TroubleKind::HotPrefix {
            share: share(),
            tokens: block.need_property::<Count>("tokens").0 as usize,
        },
        "give-up" => TroubleKind::GiveUp { share: share() },
        other if process_faults::FAULT_NAMES.contains(&other) => {
            TroubleKind::ProcessFault(process_faults::read(&block, other)?)
        }
        other => {
            block.problem(format!("trouble \"{other}\" is not known; known are {TROUBLE_NAMES}"));
            return None;
        }
    };
    let every_ms = block.property::<Millis>("every-about").map(|time| time.0.max(1.0));
    block.reject_unknown();
    Some(Trouble { at_ms, for_ms, every_ms, kind })
}

const TROUBLE_NAMES: &str =
    "dead, silent, slow, ageing, erring, answer-lost, pausing, flush, drain, links, zone-lost, \
    list-behind, list-down, list-lies, router-killed, router-stopped, burst, ramp, long-prompts, \
    hot-beginning, give-up, link, routers-killed, routers-paused, routers-starved, routers-restarted, \
    namesake, noise, said";
