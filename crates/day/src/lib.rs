//! Plays a scripted day with real router processes, emulated model servers and emulated clients. Records what
//! the sockets carried and checks the rules of the day against that record alone.

pub mod checker;
pub mod client;
pub mod failover_rules;
mod load;
mod mesh;
pub mod peer_rules;
pub mod play;
mod process_faults;
pub mod random;
pub mod report;
mod scenario;
mod troubles;

/// Resident memory in MiB of a process, by its id or "self", on systems with procfs.
pub fn resident_mib(process: &str) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix(" kB")?.parse::<f64>().ok().map(|kib| kib / 1024.0)
}
