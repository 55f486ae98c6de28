//! What goes wrong in a play, and when: drawn from a seed, or read from a script.

use std::time::Duration;

use anyhow::{bail, Result};
use paddleproxy_faults::Fault;
use serde::{Deserialize, Serialize};

use crate::configuration::{kill_after_s, Allowed, LONGEST_DEADLINE_S};

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Kind {
    /// One router is told to end and started again.
    RouterRestart,
    /// Routers are told to end one after another, with further signals around that, while clients go on.
    RouterSeries,
    /// A third of the routers is told to end at once and started again.
    RouterBatch,
    /// Routers are killed and started again.
    RouterKill,
    /// New configurations in a row, with SIGHUP.
    RouterReload,
    /// A new configuration, and the word to end right after it.
    ReloadThenStop,
    /// Routers are stopped for up to 0.15 s, again and again.
    RouterStall,
    /// Routers are stopped for more than a second.
    RouterFreeze,
    /// Discovery is silent and learns nothing.
    DiscoveryDown,
    /// Discovery takes long to answer.
    DiscoverySlow,
    /// Open watches are reset.
    WatchesReset,
    /// Agents fall silent towards their routers.
    WatchesSilent,
    /// Servers begin to drain, go, and come back as new.
    Drains,
    /// New servers join cold.
    Join,
    /// The wall clock of all machines is stepped by some seconds, back or ahead.
    WallStep,
    /// The wall clock of all machines is stepped back by an hour.
    WallBackAnHour,
    /// The wall clock of all machines is stepped ahead by an hour.
    WallAheadAnHour,
    /// Servers take requests and never answer.
    ServersHang,
    /// Servers stop within their streams.
    ServersHangMidway,
    /// Servers go on with their streams for as long as this lasts.
    ServersLong,
    /// Servers turn everything away.
    ServersDecline,
    /// Servers answer 500.
    ServersFail,
    /// Servers break connections under requests.
    ServersBreak,
    /// Servers break connections within streams.
    ServersBreakMidway,
    /// Servers say what is no answer.
    ServersBabble,
    /// Servers close idle connections after a few ms.
    ServersCloseIdle,
    /// Servers die and start again under their addresses.
    ServersRestart,
    /// Servers take no connections; they come up late.
    ServersDeaf,
    /// Servers take many times their time.
    ServersSlow,
    /// Links to servers are slow.
    LinkDelay,
    /// Links to servers fall silent without an error.
    LinkSilent,
    /// Links to servers reset.
    LinkReset,
    /// Answers come byte by byte.
    LinkTrickle,
    /// The last byte of what servers say is held back.
    LinkLastByte,
    /// Clients leave early.
    ClientsLeave,
    /// Clients stop in the middle of a request and stay.
    ClientsHalf,
    /// Requests come in pieces.
    ClientsPieces,
    /// Requests have very little time.
    ClientsHurried,
    /// Idle connections of clients fill the descriptors.
    ClientsIdle,
    /// A system call of routers fails now and then.
    System(Fault),
}

const NAMES: [(Kind, &str); 39] = [
    (Kind::RouterRestart, "router-restart"),
    (Kind::RouterSeries, "router-series"),
    (Kind::RouterBatch, "router-batch"),
    (Kind::RouterKill, "router-kill"),
    (Kind::RouterReload, "router-reload"),
    (Kind::ReloadThenStop, "reload-then-stop"),
    (Kind::RouterStall, "router-stall"),
    (Kind::RouterFreeze, "router-freeze"),
    (Kind::DiscoveryDown, "discovery-down"),
    (Kind::DiscoverySlow, "discovery-slow"),
    (Kind::WatchesReset, "watches-reset"),
    (Kind::WatchesSilent, "watches-silent"),
    (Kind::Drains, "drains"),
    (Kind::Join, "join"),
    (Kind::WallStep, "wall-step"),
    (Kind::WallBackAnHour, "wall-back-an-hour"),
    (Kind::WallAheadAnHour, "wall-ahead-an-hour"),
    (Kind::ServersHang, "servers-hang"),
    (Kind::ServersHangMidway, "servers-hang-midway"),
    (Kind::ServersLong, "servers-long"),
    (Kind::ServersDecline, "servers-decline"),
    (Kind::ServersFail, "servers-fail"),
    (Kind::ServersBreak, "servers-break"),
    (Kind::ServersBreakMidway, "servers-break-midway"),
    (Kind::ServersBabble, "servers-babble"),
    (Kind::ServersCloseIdle, "servers-close-idle"),
    (Kind::ServersRestart, "servers-restart"),
    (Kind::ServersDeaf, "servers-deaf"),
    (Kind::ServersSlow, "servers-slow"),
    (Kind::LinkDelay, "link-delay"),
    (Kind::LinkSilent, "link-silent"),
    (Kind::LinkReset, "link-reset"),
    (Kind::LinkTrickle, "link-trickle"),
    (Kind::LinkLastByte, "link-last-byte"),
    (Kind::ClientsLeave, "clients-leave"),
    (Kind::ClientsHalf, "clients-half"),
    (Kind::ClientsPieces, "clients-pieces"),
    (Kind::ClientsHurried, "clients-hurried"),
    (Kind::ClientsIdle, "clients-idle"),
];

/// Faults that concern files: routers of the platform keep none but their configuration.
const OF_FILES: [Fault; 5] =
    [Fault::FileWriteFails, Fault::FileWriteShort, Fault::SyncFails, Fault::SyncSlow, Fault::RenameFails];

impl Kind {
    /// All kinds that are drawn.
    pub fn all() -> Vec<Kind> {
        let faults = Fault::ALL.into_iter().filter(|fault| !OF_FILES.contains(fault)).map(Kind::System);
        NAMES.iter().map(|(kind, _)| *kind).chain(faults).collect()
    }

    /// Its name in scripts and reports.
    pub fn name(self) -> &'static str {
        match self {
            Kind::System(fault) => fault.name(),
            kind => NAMES.iter().find(|(known, _)| *known == kind).map_or("", |(_, name)| name),
        }
    }

    /// The kind of that name.
    pub fn named(name: &str) -> Option<Kind> {
        let own = NAMES.iter().find(|(_, known)| *known == name).map(|(kind, _)| *kind);
        own.or_else(|| Fault::named(name).map(Kind::System))
    }
}

impl From<Kind> for String {
    fn from(kind: Kind) -> String {
        kind.name().to_owned()
    }
}

impl TryFrom<String> for Kind {
    type Error = String;

    fn try_from(name: String) -> Result<Kind, String> {
        Kind::named(&name).ok_or_else(|| format!("no trouble is called '{name}'"))
    }
}

/// One trouble.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trouble {
    /// What.
    pub kind: Kind,
    /// When it begins, in s.
    pub at_s: f64,
    /// How long it lasts, in s.
    pub for_s: f64,
    /// Seed of whom it meets and how hard; 0 is as many as may be.
    pub pick: u64,
}

/// A play: the same every time as far as the machine allows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Seed of clients, routers and system calls.
    pub seed: u64,
    /// How long clients come, in s.
    pub length_s: f64,
    /// Router processes.
    pub routers: usize,
    /// What the settings allow.
    pub allowed: Allowed,
    /// The longest deadline of requests, in s: a router is killed that long and 0.7 s after SIGTERM.
    #[serde(default = "longest_deadline_s")]
    pub longest_deadline_s: f64,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
}

/// Quiet at the beginning and, so that all can heal, at the end of the time in which clients come, in s.
const FIRST_S: f64 = 3.0;
const LAST_S: f64 = 4.0;
/// Between two groups of troubles, in s.
const GROUPS_S: f64 = 5.5;
/// Troubles of one group: on at once.
const TOGETHER: std::ops::RangeInclusive<usize> = 2..=3;
/// Router processes of a play.
const ROUTERS: std::ops::RangeInclusive<usize> = 10..=14;

fn longest_deadline_s() -> f64 {
    LONGEST_DEADLINE_S
}

/// Longest deadlines that are drawn, in s.
const DEADLINES_S: [f64; 5] = [0.4, 0.8, 1.5, 2.5, 5.0];
/// What servers do while routers end, in plays where all may come; and how often a crowd is there as well.
const WHILE_ROUTERS_END: [Kind; 5] =
    [Kind::ServersLong, Kind::ServersLong, Kind::ServersHangMidway, Kind::ServersSlow, Kind::ServersHang];
const CROWDED: f64 = 0.35;
/// How long routers are ended one after another, in s.
const SERIES_S: f64 = 4.0;

/// Routers that end one after another, and what goes on meanwhile.
fn shutdowns(rng: &mut fastrand::Rng) -> Vec<Trouble> {
    let mut kinds = vec![Kind::RouterSeries, WHILE_ROUTERS_END[rng.usize(..WHILE_ROUTERS_END.len())]];
    if rng.f64() < CROWDED {
        kinds.push(Kind::ClientsIdle);
    }
    let at_s = FIRST_S + rng.f64();
    let trouble = |kind| Trouble { kind, at_s, for_s: SERIES_S, pick: rng.u64(1..1 << 32) };
    kinds.into_iter().map(trouble).collect()
}

impl Plan {
    /// The play of a seed.
    pub fn draw(seed: u64, length_s: f64, routers: Option<usize>, kinds: &[Kind]) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x51ab);
        let routers = routers.unwrap_or_else(|| rng.usize(ROUTERS));
        let allowed = Allowed { probes: rng.bool(), cancel: rng.f64() < 0.8, second_copies: rng.bool() };
        let longest_deadline_s = DEADLINES_S[rng.usize(..DEADLINES_S.len())];
        let ends = kinds.contains(&Kind::RouterSeries);
        let mut troubles = if ends { shutdowns(&mut rng) } else { Vec::new() };
        let mut at_s = FIRST_S;
        while !kinds.is_empty() && at_s + GROUPS_S + LAST_S <= length_s + 2.0 {
            for _ in 0..rng.usize(TOGETHER) {
                troubles.push(Trouble {
                    kind: kinds[rng.usize(..kinds.len())],
                    at_s: at_s + rng.f64(),
                    for_s: 1.0 + 2.5 * rng.f64(),
                    pick: rng.u64(1..1 << 32),
                });
            }
            at_s += GROUPS_S;
        }
        Plan { seed, length_s, routers, allowed, longest_deadline_s, troubles }
    }

    /// Reads a script.
    ///
    /// # Errors
    /// What is no plan, or one that can't be played.
    pub fn parse(text: &str) -> Result<Plan> {
        let plan: Plan = serde_json::from_str(text)?;
        if !(plan.length_s.is_finite() && (1.0..=3600.0).contains(&plan.length_s)) {
            bail!("length_s is {}, not between 1 and 3600", plan.length_s);
        }
        if !(1..=MAX_ROUTERS).contains(&plan.routers) {
            bail!("routers is {}, not between 1 and {MAX_ROUTERS}", plan.routers);
        }
        if !(0.1..=60.0).contains(&plan.longest_deadline_s) {
            bail!("longest_deadline_s is {}, not between 0.1 and 60", plan.longest_deadline_s);
        }
        for trouble in &plan.troubles {
            let timed = |time_s: f64| time_s.is_finite() && (0.0..=3600.0).contains(&time_s);
            if !timed(trouble.at_s) || !timed(trouble.for_s) {
                bail!("'{}' has a time that is none", trouble.kind.name());
            }
        }
        Ok(plan)
    }

    /// How long after SIGTERM a router is killed: as early as the platform may.
    pub fn kill_after(&self) -> Duration {
        Duration::from_secs_f64(kill_after_s(self.longest_deadline_s))
    }

    /// Pairs of kinds that were on at once.
    pub fn pairs(&self) -> Vec<(Kind, Kind)> {
        let mut pairs = Vec::new();
        for (row, one) in self.troubles.iter().enumerate() {
            for other in &self.troubles[row + 1..] {
                let apart = one.at_s + one.for_s < other.at_s || other.at_s + other.for_s < one.at_s;
                if !apart {
                    pairs.push((one.kind.min(other.kind), one.kind.max(other.kind)));
                }
            }
        }
        pairs
    }
}

/// Router processes of a play at most.
pub const MAX_ROUTERS: usize = 40;
