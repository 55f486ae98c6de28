//! What a router is told at its start and at each SIGHUP: one JSON object in a file.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::list::{Hosts, List};
use crate::settings::{provision, Conf, PlatformSettings};
use crate::start_times::StartTimes;

/// What a router may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    #[serde(default = "one")]
    pub cores: f64,
    pub memory_mb: f64,
    pub sockets: usize,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
struct Wire {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Option<Hosts>,
    settings: Conf,
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    /// The workers as this router last had them; maybe old.
    pub known: List,
    pub settings: PlatformSettings,
}

impl Config {
    /// Reads a configuration, at `now_ms` on the router's clock.
    ///
    /// # Errors
    /// The path to the field that is missing or wrong, and what is wrong with it.
    pub fn parse(text: &[u8], starts: &mut StartTimes, now_ms: f64) -> Result<Config, String> {
        let wire: Wire = crate::json("configuration", text)?;
        let wrong = |field: &str, what: &str| Err(format!("configuration: {field}: {what}"));
        if !(wire.limits.memory_mb.is_finite() && wire.limits.memory_mb >= 1.0) {
            return wrong("limits.memory_mb", "not a size in MB of 1 or more");
        }
        if wire.limits.sockets < LEAST_SOCKETS {
            return wrong(
                "limits.sockets",
                &format!("under {LEAST_SOCKETS} descriptors nothing can be served"),
            );
        }
        // A seed that is no hexadecimal number is still one: chance needs no more than a start.
        let seed = u64::from_str_radix(&wire.seed, 16)
            .unwrap_or_else(|_| xxhash_rust::xxh3::xxh3_64(wire.seed.as_bytes()));
        let provision = provision(wire.settings).map_err(|cause| format!("configuration: {cause}"))?;
        let known = wire.known.unwrap_or_default().list(&provision, starts, now_ms);
        let (name, listen, discovery, limits) = (wire.name, wire.listen, wire.discovery, wire.limits);
        Ok(Config { name, listen, discovery, seed, limits, known, settings: provision })
    }
}

/// Fewer descriptors than this leave none for clients beside what the process itself holds.
const LEAST_SOCKETS: usize = 48;
