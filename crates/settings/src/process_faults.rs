//! Faults of the links between processes and of the routers' processes, as the script of a day names them.

use crate::reader::{Block, Count, Millis, Share};

/// Selects processes at one end of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointSelector {
    All,
    Routers,
    Workers,
    List,
    Clients,
    Router(usize),
    /// Routers and servers of a zone.
    Zone(String),
    /// Routers of a zone.
    RoutersOf(String),
    /// Servers of a zone.
    WorkersOf(String),
    Server(String),
}

/// The kind of traffic that a fault of a link concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Traffic {
    All,
    /// Datagrams between routers.
    Datagrams,
    /// Calls (TCP) between routers.
    Calls,
    /// Routers to servers.
    Work,
    /// Routers to the list service.
    List,
    /// Clients to routers.
    Clients,
}

/// How a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Data is dropped silently; connections stay open.
    Silent,
    /// Connections are reset; datagrams are lost.
    Reset,
}

/// What a link does to its traffic. `loss`, `duplicated` and `corrupted` are probabilities.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    pub loss: f64,
    pub duplicated: f64,
    pub corrupted: f64,
    pub delay_ms: f64,
    pub jitter_ms: f64,
    pub bytes_per_s: Option<f64>,
    pub cut: Option<Cut>,
}

impl LinkCondition {
    /// The combined effect of two faults of one link.
    pub fn and(self, other: LinkCondition) -> LinkCondition {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        LinkCondition {
            loss: either(self.loss, other.loss),
            duplicated: either(self.duplicated, other.duplicated),
            corrupted: either(self.corrupted, other.corrupted),
            delay_ms: self.delay_ms + other.delay_ms,
            jitter_ms: self.jitter_ms + other.jitter_ms,
            bytes_per_s: match (self.bytes_per_s, other.bytes_per_s) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            },
            cut: match (self.cut, other.cut) {
                (Some(Cut::Reset), _) | (_, Some(Cut::Reset)) => Some(Cut::Reset),
                (a, b) => a.or(b),
            },
        }
    }
}

/// The state directory with which a killed router restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartState {
    Own,
    Empty,
    /// That of the router with the next number.
    Others,
}

/// A fault of links or router processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Link {
        from: Vec<EndpointSelector>,
        to: Vec<EndpointSelector>,
        /// Whether the fault applies in both directions.
        both: bool,
        carries: Traffic,
        condition: LinkCondition,
    },
    /// Routers are killed without notice and started again at the end.
    Killed { routers: Vec<usize>, state: RestartState },
    /// Routers are suspended with SIGSTOP and resumed at the end.
    Paused { routers: Vec<usize> },
    /// Routers run only for `runs_ms` in every `of_ms`.
    Starved { routers: Vec<usize>, runs_ms: f64, of_ms: f64 },
    /// Routers are shut down gracefully and started again, one after the other, with `router_count` in their
    /// settings if it is given.
    Restarted { routers: Vec<usize>, every_ms: f64, router_count: Option<usize> },
    /// A second process with the number of a running router, in another directory.
    DuplicateRouter { router: usize },
    /// An operator command for a zone, sent to any router that runs. It holds for `for_ms`.
    OperatorCommand { zone: String, command: String, for_ms: f64 },
    /// Datagrams of random bytes, `per_s` a second, sent to the ports on which routers listen for peers.
    Noise { routers: Vec<usize>, per_s: f64 },
}

impl Fault {
    pub fn name(&self) -> &'static str {
        match self {
            Fault::Link { .. } => "link",
            Fault::Killed { .. } => "routers-killed",
            Fault::Paused { .. } => "routers-paused",
            Fault::Starved { .. } => "routers-starved",
            Fault::Restarted { .. } => "routers-restarted",
            Fault::DuplicateRouter { .. } => "namesake",
            Fault::Noise { .. } => "noise",
            Fault::OperatorCommand { .. } => "said",
        }
    }

    /// The routers that the fault names. The ends of a link are resolved when the day is played.
    pub fn routers(&self) -> &[usize] {
        match self {
            Fault::Link { .. } | Fault::OperatorCommand { .. } => &[],
            Fault::Killed { routers, .. }
            | Fault::Paused { routers }
            | Fault::Starved { routers, .. }
            | Fault::Restarted { routers, .. }
            | Fault::Noise { routers, .. } => routers,
            Fault::DuplicateRouter { router } => std::slice::from_ref(router),
        }
    }
}

pub(crate) const FAULT_NAMES: [&str; 8] = [
    "link",
    "routers-killed",
    "routers-paused",
    "routers-starved",
    "routers-restarted",
    "namesake",
    "noise",
    "said",
];

/// Reads a fault; `name` is one of [`FAULT_NAMES`].
pub(crate) fn read(block: &Block, name: &str) -> Option<Fault> {
    let routers = || {
        let text: String = block.need_property("which");
        let parse = |word: &str| match word.parse::<usize>() {
            Ok(router) => Some(router),
            Err(_) => {
                block.problem(format!(
                    "which=\"{text}\"; allowed are numbers of routers, separated by spaces"
                ));
                None
            }
        };
        text.split_whitespace().filter_map(parse).collect::<Vec<_>>()
    };
    Some(match name {
        "link" => link(block),
        "routers-killed" => {
            let state = match block.property::<String>("state").as_deref() {
                None | Some("own") => RestartState::Own,
                Some("empty") => RestartState::Empty,
                Some("others") => RestartState::Others,
                Some(other) => {
                    block.problem(format!("state=\"{other}\"; allowed is own, empty, others"));
                    RestartState::Own
                }
            };
            Fault::Killed { routers: routers(), state }
        }
        "routers-paused" => Fault::Paused { routers: routers() },
        "routers-starved" => Fault::Starved {
            routers: routers(),
            runs_ms: block.need_property::<Millis>("runs").0.max(1.0),
            of_ms: block.need_property::<Millis>("of").0.max(2.0),
        },
        "routers-restarted" => Fault::Restarted {
            routers: routers(),
            every_ms: block.need_property::<Millis>("every").0,
            router_count: block.property::<Count>("places").map(|count| count.0 as usize),
        },
        "namesake" => Fault::DuplicateRouter { router: block.need_property::<Count>("router").0 as usize },
        "noise" => Fault::Noise { routers: routers(), per_s: block.need_property("per-s") },
        "said" => Fault::OperatorCommand {
            zone: block.need_property("zone"),
            command: block.need_property("word"),
            for_ms: block.need_property::<Millis>("holds").0,
        },
        _ => return None,
    })
}

fn link(block: &Block) -> Fault {
    let ends = |name: &'static str| {
        let text: String = block.need_property(name);
        text.split_whitespace().filter_map(|word| endpoint(block, name, word)).collect::<Vec<_>>()
    };
    let share = |name: &'static str| block.property::<Share>(name).map_or(0.0, |share| share.0);
    let time = |name: &'static str| block.property::<Millis>(name).map_or(0.0, |time| time.0);
    let cut = match block.property::<String>("cut").as_deref() {
        None => None,
        Some("silent") => Some(Cut::Silent),
        Some("reset") => Some(Cut::Reset),
        Some(other) => {
            block.problem(format!("cut=\"{other}\"; allowed is silent, reset"));
            None
        }
    };
    let carries = match block.property::<String>("carries").as_deref() {
        None | Some("all") => Traffic::All,
        Some("datagrams") => Traffic::Datagrams,
        Some("calls") => Traffic::Calls,
        Some("work") => Traffic::Work,
        Some("list") => Traffic::List,
        Some("clients") => Traffic::Clients,
        Some(other) => {
            block.problem(format!(
                "carries=\"{other}\"; allowed is all, datagrams, calls, work, list, clients"
            ));
            Traffic::All
        }
    };
    let condition = LinkCondition {
        loss: share("loss"),
        duplicated: share("twice"),
        corrupted: share("spoilt"),
        delay_ms: time("delay"),
        jitter_ms: time("jitter"),
        bytes_per_s: block.property::<Count>("bytes-per-s").map(|count| (count.0 as f64).max(1.0)),
        cut,
    };
    if condition == LinkCondition::default() {
        block.problem("a link's fault needs one of cut, loss, twice, spoilt, delay, jitter, bytes-per-s");
    }
    let both = block.property::<bool>("both").unwrap_or(false);
    Fault::Link { from: ends("from"), to: ends("to"), both, carries, condition }
}

fn endpoint(block: &Block, name: &str, word: &str) -> Option<EndpointSelector> {
    let prefixed = word.split_once(':');
    let selector = match (word, prefixed) {
        ("all", _) => Some(EndpointSelector::All),
        ("routers", _) => Some(EndpointSelector::Routers),
        ("workers", _) => Some(EndpointSelector::Workers),
        ("list", _) => Some(EndpointSelector::List),
        ("clients", _) => Some(EndpointSelector::Clients),
        (_, Some(("router", number))) => number.parse().ok().map(EndpointSelector::Router),
        (_, Some(("zone", zone))) => Some(EndpointSelector::Zone(zone.to_owned())),
        (_, Some(("routers", zone))) => Some(EndpointSelector::RoutersOf(zone.to_owned())),
        (_, Some(("workers", zone))) => Some(EndpointSelector::WorkersOf(zone.to_owned())),
        (_, Some(("server", server))) => Some(EndpointSelector::Server(server.to_owned())),
        _ => None,
    };
    if selector.is_none() {
        block.problem(format!(
            "{name}=\"{word}\"; allowed is all, routers, workers, list, clients, router:N, zone:Z, \
             routers:Z, workers:Z, server:S"
        ));
    }
    selector
}
