//! A router's configuration file: one JSON object, read at startup and at each SIGHUP.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::list::{Hosts, List};
use crate::settings::{convert, Conf, PlatformSettings};
use crate::start_times::StartTimes;

/// Resources that a router may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    #[serde(default = "default_cores")]
    pub cores: f64,
    pub memory_mb: f64,
    pub sockets: usize,
}

fn default_cores() -> f64 {
    1.0
}

/// The configuration as it is written in the file.
#[derive(Deserialize)]
struct ConfigFile {
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
    /// The last list of servers that this router had; may be outdated.
    pub known: List,
    pub settings: PlatformSettings,
}

impl Config {
    /// Parses a configuration; `now_ms` is the current time on the router's clock.
    ///
    /// # Errors
    /// The path to the field that is missing or invalid, and the reason.
    pub fn parse(text: &[u8], start_times: &mut StartTimes, now_ms: f64) -> Result<Config, String> {
        let file: ConfigFile = crate::parse_json("configuration", text)?;
        let invalid = |field: &str, what: &str| Err(format!("configuration: {field}: {what}"));
        if !(file.limits.memory_mb.is_finite() && file.limits.memory_mb >= 1.0) {
            return invalid("limits.memory_mb", "must be a finite number of MB, at least 1");
        }
        if file.limits.sockets < MIN_SOCKETS {
            return invalid(
                "limits.sockets",
                &format!("at least {MIN_SOCKETS} descriptors are needed to serve clients"),
            );
        }
        // A seed that is not a hexadecimal number is hashed: any value can seed the random generator.
        let seed = u64::from_str_radix(&file.seed, 16)
            .unwrap_or_else(|_| xxhash_rust::xxh3::xxh3_64(file.seed.as_bytes()));
        let settings = convert(file.settings).map_err(|cause| format!("configuration: {cause}"))?;
        let known = file.known.unwrap_or_default().list(&settings, start_times, now_ms);
        let (name, listen, discovery, limits) = (file.name, file.listen, file.discovery, file.limits);
        Ok(Config { name, listen, discovery, seed, limits, known, settings })
    }
}

/// With fewer descriptors than this, none are left for clients besides those that the process itself needs.
const MIN_SOCKETS: usize = 48;
