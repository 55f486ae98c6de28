//! The block `peers` of a router: how it finds and monitors its peers, and how they divide shared limits.

use std::net::SocketAddr;

use paddleproxy::interface::Settings;

use crate::reader::{Block, LoopbackAddress, Millis, Share};

#[derive(Clone, Debug, PartialEq)]
pub struct PeerSettings {
    /// Name of the deployment; packets of other deployments are dropped.
    pub deployment: String,
    pub name: String,
    pub region: String,
    /// Address for datagrams and for calls (TCP) alike.
    pub listen: SocketAddr,
    /// Address at which peers reach the router, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Peers that the router contacts first.
    pub seeds: Vec<SocketAddr>,
    /// Probe interval.
    pub probe_ms: f64,
    /// How long a share stays valid at its holder without being confirmed again.
    pub lease_ms: f64,
    /// Fraction of each resource that is split evenly over all configured routers.
    pub floor: f64,
    /// How long a router that failed or left is remembered.
    pub remember_ms: f64,
}

/// Probe intervals that must fit into a lease, so that after one failed probe round the next one can still
/// succeed.
const MIN_PROBES_PER_LEASE: f64 = 4.0;
const MAX_SEEDS: usize = 1024;
/// Most routers that a deployment may have.
const MAX_ROUTERS: usize = 4096;

pub(crate) fn read(block: &Block, decisions: &Settings) -> PeerSettings {
    let seeds = block.need_block("seeds").map(|seeds| {
        let addresses = seeds.arguments::<LoopbackAddress>();
        seeds.reject_unknown();
        addresses
    });
    let settings = PeerSettings {
        deployment: block.need("deployment"),
        name: block.optional("name").unwrap_or_else(|| format!("router-{}", decisions.own_number)),
        region: block.optional("region").unwrap_or_else(|| "region".to_owned()),
        listen: block.need::<LoopbackAddress>("listen").0,
        advertise: block.optional::<LoopbackAddress>("advertise").map(|address| address.0),
        seeds: seeds.unwrap_or_default().into_iter().map(|seed| seed.0).collect(),
        probe_ms: block.optional::<Millis>("probe").map_or(200.0, |time| time.0),
        lease_ms: block.optional::<Millis>("lease").map_or(1500.0, |time| time.0),
        floor: block.optional::<Share>("floor").map_or(0.5, |share| share.0),
        remember_ms: block.optional::<Millis>("remember").map_or(600_000.0, |time| time.0),
    };
    for (name, text) in [("name", &settings.name), ("region", &settings.region)] {
        if text.len() > 64 {
            block.problem_of(name, format!("'{name}' has more than 64 bytes"));
        }
    }
    if settings.probe_ms < 10.0 {
        block.problem_of("probe", "'probe' must be at least \"10ms\"");
    } else if settings.lease_ms < MIN_PROBES_PER_LEASE * settings.probe_ms {
        let min_lease_ms = MIN_PROBES_PER_LEASE * settings.probe_ms;
        block.problem_of(
            "lease",
            format!("'lease' is shorter than {MIN_PROBES_PER_LEASE} times 'probe', {min_lease_ms} ms"),
        );
    }
    if settings.remember_ms < settings.lease_ms {
        block.problem_of("remember", "'remember' is shorter than 'lease'");
    }
    if settings.seeds.len() > MAX_SEEDS || settings.seeds.iter().any(|seed| seed.port() == 0) {
        block.problem_of("seeds", format!("at most {MAX_SEEDS} seeds, each with its port"));
    }
    if settings.advertise.is_some_and(|address| address.port() == 0) {
        block.problem_of("advertise", "'advertise' needs its port");
    }
    if decisions.routers > MAX_ROUTERS {
        block.problem(format!("'routers' is above {MAX_ROUTERS}, the most that can be peers"));
    }
    settings
}
