//! Faults between processes, as a day's script names them: what links carry, what befalls routers' processes.

use crate::reader::{Block, Count, Millis, Share};

/// One end of a link, or some of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Who {
    All,
    Routers,
    Workers,
    List,
    Clients,
    Router(usize),
    /// A zone's routers and servers, or only the ones.
    Zone(String),
    RoutersOf(String),
    WorkersOf(String),
    Server(String),
}

/// What kind of traffic of a link a fault is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carries {
    All,
    /// Routers' datagrams to each other, and their calls.
    Datagrams,
    Calls,
    /// Routers to servers, to the list service, and clients to routers.
    Work,
    List,
    Clients,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// What is sent is swallowed.
    Silent,
    /// Connections are reset; datagrams are lost.
    Reset,
}

/// What a link does to what it carries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Weather {
    pub loss: f64,
    pub twice: f64,
    pub spoilt: f64,
    pub delay_ms: f64,
    pub jitter_ms: f64,
    pub bytes_per_s: Option<f64>,
    pub cut: Option<Cut>,
}

impl Weather {
    /// Both at once.
    pub fn and(self, other: Weather) -> Weather {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Weather {
            loss: either(self.loss, other.loss),
            twice: either(self.twice, other.twice),
            spoilt: either(self.spoilt, other.spoilt),
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

/// With which state directory a router comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Own,
    Empty,
    /// The next router's, by number.
    Others,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Link {
        from: Vec<Who>,
        to: Vec<Who>,
        both: bool,
        carries: Carries,
        weather: Weather,
    },
    /// Killed outright; started again at the end.
    Killed {
        routers: Vec<usize>,
        state: State,
    },
    /// Stopped for the time (SIGSTOP) and woken.
    Paused {
        routers: Vec<usize>,
    },
    /// Runs for so long in each so long.
    Starved {
        routers: Vec<usize>,
        runs_ms: f64,
        of_ms: f64,
    },
    /// Told to stop and started again, one after the other.
    Restarted {
        routers: Vec<usize>,
        every_ms: f64,
        places: Option<usize>,
    },
    /// A second process under the place of a router, from another directory.
    Namesake {
        router: usize,
    },
    /// An operator says something of a zone, to any router that is up.
    Said {
        zone: String,
        word: String,
        for_ms: f64,
    },
    /// Bytes that mean nothing, to a router's port for its fellows.
    Noise {
        routers: Vec<usize>,
        per_s: f64,
    },
}

impl Fault {
    pub fn name(&self) -> &'static str {
        match self {
            Fault::Link { .. } => "link",
            Fault::Killed { .. } => "routers-killed",
            Fault::Paused { .. } => "routers-paused",
            Fault::Starved { .. } => "routers-starved",
            Fault::Restarted { .. } => "routers-restarted",
            Fault::Namesake { .. } => "namesake",
            Fault::Noise { .. } => "noise",
            Fault::Said { .. } => "said",
        }
    }

    /// Routers that it names; a link's ends are found where the day is played.
    pub fn routers(&self) -> &[usize] {
        match self {
            Fault::Link { .. } | Fault::Said { .. } => &[],
            Fault::Killed { routers, .. }
            | Fault::Paused { routers }
            | Fault::Starved { routers, .. }
            | Fault::Restarted { routers, .. }
            | Fault::Noise { routers, .. } => routers,
            Fault::Namesake { router } => std::slice::from_ref(router),
        }
    }
}

pub(crate) const KINDS: [&str; 8] = [
    "link",
    "routers-killed",
    "routers-paused",
    "routers-starved",
    "routers-restarted",
    "namesake",
    "noise",
    "said",
];

/// Reads a fault; `kind` is one of [`KINDS`].
pub(crate) fn read(block: &Block, kind: &str) -> Option<Fault> {
    let routers = || {
        let text: String = block.need_property("which");
        let each = |word: &str| match word.parse::<usize>() {
            Ok(router) => Some(router),
            Err(_) => {
                block
                    .problem(format!("which=\"{text}\"; allowed are numbers of routers with blanks between"));
                None
            }
        };
        text.split_whitespace().filter_map(each).collect::<Vec<_>>()
    };
    Some(match kind {
        "link" => link(block),
        "routers-killed" => {
            let state = match block.property::<String>("state").as_deref() {
                None | Some("own") => State::Own,
                Some("empty") => State::Empty,
                Some("others") => State::Others,
                Some(other) => {
                    block.problem(format!("state=\"{other}\"; allowed is own, empty, others"));
                    State::Own
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
            places: block.property::<Count>("places").map(|count| count.0 as usize),
        },
        "namesake" => Fault::Namesake { router: block.need_property::<Count>("router").0 as usize },
        "noise" => Fault::Noise { routers: routers(), per_s: block.need_property("per-s") },
        "said" => Fault::Said {
            zone: block.need_property("zone"),
            word: block.need_property("word"),
            for_ms: block.need_property::<Millis>("holds").0,
        },
        _ => return None,
    })
}

fn link(block: &Block) -> Fault {
    let ends = |name: &'static str| {
        let text: String = block.need_property(name);
        text.split_whitespace().filter_map(|word| who(block, name, word)).collect::<Vec<_>>()
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
        None | Some("all") => Carries::All,
        Some("datagrams") => Carries::Datagrams,
        Some("calls") => Carries::Calls,
        Some("work") => Carries::Work,
        Some("list") => Carries::List,
        Some("clients") => Carries::Clients,
        Some(other) => {
            block.problem(format!(
                "carries=\"{other}\"; allowed is all, datagrams, calls, work, list, clients"
            ));
            Carries::All
        }
    };
    let weather = Weather {
        loss: share("loss"),
        twice: share("twice"),
        spoilt: share("spoilt"),
        delay_ms: time("delay"),
        jitter_ms: time("jitter"),
        bytes_per_s: block.property::<Count>("bytes-per-s").map(|count| (count.0 as f64).max(1.0)),
        cut,
    };
    if weather == Weather::default() {
        block.problem("a link's fault needs one of cut, loss, twice, spoilt, delay, jitter, bytes-per-s");
    }
    let both = block.property::<bool>("both").unwrap_or(false);
    Fault::Link { from: ends("from"), to: ends("to"), both, carries, weather }
}

fn who(block: &Block, name: &str, word: &str) -> Option<Who> {
    let named = word.split_once(':');
    let who = match (word, named) {
        ("all", _) => Some(Who::All),
        ("routers", _) => Some(Who::Routers),
        ("workers", _) => Some(Who::Workers),
        ("list", _) => Some(Who::List),
        ("clients", _) => Some(Who::Clients),
        (_, Some(("router", number))) => number.parse().ok().map(Who::Router),
        (_, Some(("zone", zone))) => Some(Who::Zone(zone.to_owned())),
        (_, Some(("routers", zone))) => Some(Who::RoutersOf(zone.to_owned())),
        (_, Some(("workers", zone))) => Some(Who::WorkersOf(zone.to_owned())),
        (_, Some(("server", server))) => Some(Who::Server(server.to_owned())),
        _ => None,
    };
    if who.is_none() {
        block.problem(format!(
            "{name}=\"{word}\"; allowed is all, routers, workers, list, clients, router:N, zone:Z, routers:Z, \
             workers:Z, server:S"
        ));
    }
    who
}
