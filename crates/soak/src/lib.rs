//! Random overlapping faults on real router processes of the platform, checked by what the sockets carried.
//!
//! Discovery, model servers and clients are simulated in this process, on one thread and one clock; they
//! follow the protocol of the platform except as a fault requires. Routers are processes of their own with
//! the fault-injecting library loaded. A play is one run: its plan (`plan`) is drawn from a seed or read from
//! a script, and carried out (`play`); `oracle` checks the record of the sockets (`record`) against the
//! rules, and takes no information from routers. The faults of a plan are called troubles.

#![deny(missing_docs)]

pub mod client;
pub mod configuration;
pub mod discovery;
pub mod http;
mod late_clients;
pub mod link;
pub mod oracle;
pub mod plan;
pub mod play;
pub mod process;
pub mod record;
pub mod report;
pub mod server;
pub mod shrink;
mod shutdown;
mod troubles;
