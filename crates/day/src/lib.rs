//! Plays a scripted day: real router processes, stand-in servers, clients of our own; records what the sockets
//! carried, and judges the five rules from that record alone.

pub mod checker;
pub mod client;
pub mod failover_rules;
mod load;
mod mesh;
pub mod peer_rules;
pub mod play;
pub mod random;
pub mod report;
mod rig;
mod stage;
mod troubles;

/// Memory that a process holds, in MiB, where the system tells it; by its id, or "self".
pub fn resident_mib(process: &str) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix(" kB")?.parse::<f64>().ok().map(|kib| kib / 1024.0)
}
