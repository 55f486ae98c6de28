//! The block `peers` of a router: how it finds its fellows, and what they share out.

use std::net::SocketAddr;

use paddleproxy::interface::Settings;

use crate::reader::{Block, LoopbackAddress, Millis, Share};

#[derive(Clone, Debug, PartialEq)]
pub struct PeerSettings {
    /// Words of other deployments are dropped.
    pub deployment: String,
    pub name: String,
    pub region: String,
    /// For datagrams and for calls alike.
    pub listen: SocketAddr,
    /// Where fellows reach it, if that is not where it listens.
    pub advertise: Option<SocketAddr>,
    pub seeds: Vec<SocketAddr>,
    pub probe_ms: f64,
    pub lease_ms: f64,
    pub floor: f64,
    pub remember_ms: f64,
}

/// Probes that must fit into a lease: one round has to fail and the next one to come through.
const PROBES: f64 = 4.0;
/// Most seeds that a document may name, and most places that a deployment may have.
const SEEDS_MAX: usize = 1024;
const PLACES_MAX: usize = 4096;

pub(crate) fn read(block: &Block, decisions: &Settings) -> PeerSettings {
    let seeds = block.need_block("seeds").map(|seeds| {
        let read = seeds.arguments::<LoopbackAddress>();
        seeds.reject_unknown();
        read
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
    } else if settings.lease_ms < PROBES * settings.probe_ms {
        let least = PROBES * settings.probe_ms;
        block.problem_of("lease", format!("'lease' is shorter than {PROBES} times 'probe', {least} ms"));
    }
    if settings.remember_ms < settings.lease_ms {
        block.problem_of("remember", "'remember' is shorter than 'lease'");
    }
    if settings.seeds.len() > SEEDS_MAX || settings.seeds.iter().any(|seed| seed.port() == 0) {
        block.problem_of("seeds", format!("at most {SEEDS_MAX} seeds, each with its port"));
    }
    if settings.advertise.is_some_and(|address| address.port() == 0) {
        block.problem_of("advertise", "'advertise' needs its port");
    }
    if decisions.routers > PLACES_MAX {
        block.problem(format!("'routers' is above {PLACES_MAX}, the most that can know each other"));
    }
    settings
}
