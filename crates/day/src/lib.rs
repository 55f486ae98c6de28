//! Plays a scripted day: real router processes, stand-in servers, clients of our own; records what the sockets
//! carried, and judges the five rules from that record alone.

pub mod audit;
pub mod client;
mod load;
pub mod play;
pub mod report;
mod troubles;
