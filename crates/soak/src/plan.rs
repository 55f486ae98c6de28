//! The plan of a play: which troubles occur and when, drawn from a seed or read from a script.

use std::time::Duration;

use anyhow::{bail, Result};
use paddleproxy_faults::Fault;
use serde::{Deserialize, Serialize};

use crate::configuration::{kill_after_s, Allowed, LONGEST_DEADLINE_S};

/// A kind of trouble. Scripts and reports use the names of `NAMES`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Kind {
    /// Up to two routers get SIGTERM and are started again.
    RouterRestart,
    /// Routers get SIGTERM one after another, with further signals around it, while clients continue.
    RouterSeries,
    /// Up to half of the routers get SIGTERM at once and are started again.
    RouterBatch,
    /// Routers get SIGKILL and are started again.
    RouterKill,
    /// Routers reload new configurations (SIGHUP) in quick succession.
    RouterReload,
    /// Routers get a new configuration with SIGHUP and SIGTERM right after it.
    ReloadThenStop,
    /// Routers are stopped (SIGSTOP) for up to 0.15 s, repeatedly.
    RouterStall,
    /// Routers are stopped (SIGSTOP) for more than a second.
    RouterFreeze,
    /// Discovery neither answers nor receives changes.
    DiscoveryDown,
    /// Discovery answers slowly.
    DiscoverySlow,
    /// Open watches of discovery are reset.
    WatchesReset,
    /// Discovery agents stop answering their routers.
    WatchesSilent,
    /// Servers drain, leave and come back as newly started.
    Drains,
    /// New servers join, just started.
    Join,
    /// The wall clock of all machines is stepped by some seconds, back or ahead.
    WallStep,
    /// The wall clock of all machines is stepped back by an hour.
    WallBackAnHour,
    /// The wall clock of all machines is stepped ahead by an hour.
    WallAheadAnHour,
    /// Servers accept requests and never answer.
    ServersHang,
    /// Servers stop writing in the middle of their streams.
    ServersHangMidway,
    /// Servers continue their streams for as long as this lasts.
    ServersLong,
    /// Servers decline every request.
    ServersDecline,
    /// Servers answer 500.
    ServersFail,
    /// Servers reset connections that carry a request.
    ServersBreak,
    /// Servers reset connections in the middle of streams.
    ServersBreakMidway,
    /// Servers send invalid HTTP responses.
    ServersBabble,
    /// Servers close idle connections after a few ms.
    ServersCloseIdle,
    /// Servers crash and start again at the same addresses.
    ServersRestart,
    /// Servers do not accept connections until this ends.
    ServersDeaf,
    /// Servers take many times as long as usual.
    ServersSlow,
    /// Links to servers delay what they carry.
    LinkDelay,
    /// Links to servers carry nothing, without an error.
    LinkSilent,
    /// Links to servers reset connections.
    LinkReset,
    /// Responses arrive byte by byte.
    LinkTrickle,
    /// The last byte of each write of a server is delayed.
    LinkLastByte,
    /// Clients close their connections before the response is complete.
    ClientsLeave,
    /// Clients stop in the middle of a request and keep the connection open.
    ClientsHalf,
    /// Requests arrive in pieces.
    ClientsPieces,
    /// Requests have very short deadlines.
    ClientsHurried,
    /// Idle client connections use up the descriptors of routers.
    ClientsIdle,
    /// A share of some system call of routers fails.
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

/// Faults of files other than reads: routers of the platform write no files, they only read their
/// configuration.
const FILE_FAULTS: [Fault; 5] =
    [Fault::FileWriteFails, Fault::FileWriteShort, Fault::SyncFails, Fault::SyncSlow, Fault::RenameFails];

impl Kind {
    /// All kinds that a random plan draws from.
    pub fn all() -> Vec<Kind> {
        let faults = Fault::ALL.into_iter().filter(|fault| !FILE_FAULTS.contains(fault)).map(Kind::System);
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
        let listed = NAMES.iter().find(|(_, known)| *known == name).map(|(kind, _)| *kind);
        listed.or_else(|| Fault::named(name).map(Kind::System))
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
        Kind::named(&name).ok_or_else(|| format!("unknown trouble '{name}'"))
    }
}

/// One trouble of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trouble {
    /// Its kind.
    pub kind: Kind,
    /// When it begins, in s since clients began.
    pub at_s: f64,
    /// How long it lasts, in s.
    pub for_s: f64,
    /// Seed for which routers or servers it affects and how severely; 0 affects the maximum number.
    pub pick: u64,
}

/// A plan of a play. It repeats the same play every time, as far as timing on the machine allows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Seed for clients, routers and failing system calls.
    pub seed: u64,
    /// How long clients send requests, in s.
    pub length_s: f64,
    /// Number of routers.
    pub routers: usize,
    /// What the settings of the routers allow.
    pub allowed: Allowed,
    /// The longest deadline of requests, in s: a router is killed 0.7 s plus this time (at most 3 s) after
    /// SIGTERM.
    #[serde(default = "longest_deadline_s")]
    pub longest_deadline_s: f64,
    /// The troubles.
    pub troubles: Vec<Trouble>,
}

/// Time without troubles after the clients begin and, so that everything can recover, before they end, in s.
const QUIET_START_S: f64 = 3.0;
const QUIET_END_S: f64 = 4.0;
/// Time from one group of troubles to the next, in s.
const GROUP_INTERVAL_S: f64 = 5.5;
/// Number of troubles in a group; they overlap.
const GROUP_SIZE: std::ops::RangeInclusive<usize> = 2..=3;
/// Number of routers in a random plan.
const ROUTER_COUNT: std::ops::RangeInclusive<usize> = 10..=14;

fn longest_deadline_s() -> f64 {
    LONGEST_DEADLINE_S
}

/// Values of `longest_deadline_s` that a random plan draws from.
const LONGEST_DEADLINES_S: [f64; 5] = [0.4, 0.8, 1.5, 2.5, 5.0];
/// Troubles of which one accompanies a series of shutdowns, and the probability that idle clients use up the
/// descriptors of routers as well.
const SERVER_TROUBLES_AT_SHUTDOWN: [Kind; 5] =
    [Kind::ServersLong, Kind::ServersLong, Kind::ServersHangMidway, Kind::ServersSlow, Kind::ServersHang];
const IDLE_CLIENTS_PROBABILITY: f64 = 0.35;
/// Duration of a series of shutdowns, in s.
const SHUTDOWN_SERIES_S: f64 = 4.0;

/// A series of shutdowns and the troubles that accompany it.
fn shutdowns(rng: &mut fastrand::Rng) -> Vec<Trouble> {
    let mut kinds =
        vec![Kind::RouterSeries, SERVER_TROUBLES_AT_SHUTDOWN[rng.usize(..SERVER_TROUBLES_AT_SHUTDOWN.len())]];
    if rng.f64() < IDLE_CLIENTS_PROBABILITY {
        kinds.push(Kind::ClientsIdle);
    }
    let at_s = QUIET_START_S + rng.f64();
    let trouble = |kind| Trouble { kind, at_s, for_s: SHUTDOWN_SERIES_S, pick: rng.u64(1..1 << 32) };
    kinds.into_iter().map(trouble).collect()
}

impl Plan {
    /// Draws the plan of a seed from these kinds of trouble.
    pub fn draw(seed: u64, length_s: f64, routers: Option<usize>, kinds: &[Kind]) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x51ab);
        let routers = routers.unwrap_or_else(|| rng.usize(ROUTER_COUNT));
        let allowed = Allowed { probes: rng.bool(), cancel: rng.f64() < 0.8, second_copies: rng.bool() };
        let longest_deadline_s = LONGEST_DEADLINES_S[rng.usize(..LONGEST_DEADLINES_S.len())];
        let has_series = kinds.contains(&Kind::RouterSeries);
        let mut troubles = if has_series { shutdowns(&mut rng) } else { Vec::new() };
        let mut at_s = QUIET_START_S;
        while !kinds.is_empty() && at_s + GROUP_INTERVAL_S + QUIET_END_S <= length_s + 2.0 {
            for _ in 0..rng.usize(GROUP_SIZE) {
                troubles.push(Trouble {
                    kind: kinds[rng.usize(..kinds.len())],
                    at_s: at_s + rng.f64(),
                    for_s: 1.0 + 2.5 * rng.f64(),
                    pick: rng.u64(1..1 << 32),
                });
            }
            at_s += GROUP_INTERVAL_S;
        }
        Plan { seed, length_s, routers, allowed, longest_deadline_s, troubles }
    }

    /// Reads a script.
    ///
    /// # Errors
    /// The text is not a plan, or a value is out of range.
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
            let valid_time = |time_s: f64| time_s.is_finite() && (0.0..=3600.0).contains(&time_s);
            if !valid_time(trouble.at_s) || !valid_time(trouble.for_s) {
                bail!("'{}' has at_s or for_s outside 0 to 3600", trouble.kind.name());
            }
        }
        Ok(plan)
    }

    /// How long after SIGTERM a router is killed: the earliest time that the platform allows.
    pub fn kill_after(&self) -> Duration {
        Duration::from_secs_f64(kill_after_s(self.longest_deadline_s))
    }

    /// Pairs of kinds that overlap.
    pub fn pairs(&self) -> Vec<(Kind, Kind)> {
        let mut pairs = Vec::new();
        for (index, one) in self.troubles.iter().enumerate() {
            for other in &self.troubles[index + 1..] {
                let apart = one.at_s + one.for_s < other.at_s || other.at_s + other.for_s < one.at_s;
                if !apart {
                    pairs.push((one.kind.min(other.kind), one.kind.max(other.kind)));
                }
            }
        }
        pairs
    }
}

/// Maximum number of routers in a plan.
pub const MAX_ROUTERS: usize = 40;
