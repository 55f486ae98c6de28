//! Random overlapping faults on real router processes of the platform, judged by what the sockets carried.
//!
//! Discovery, model servers and clients are stand-ins in this process, on one thread and one clock; each behaves by the
//! platform's protocol until a fault says otherwise. Routers are processes of their own with the fault-injecting
//! library loaded. A plan (`plan`) is drawn from a seed and carried out (`play`); the record of the sockets (`record`) is judged by
//! `oracle`, which never asks a router.

#![deny(missing_docs)]

pub mod client;
pub mod configuration;
pub mod discovery;
pub mod http;
mod late;
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
