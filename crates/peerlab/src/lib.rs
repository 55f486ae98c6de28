//! Simulates a cluster of routers in virtual time. The routers run the unmodified state machine of
//! `paddleproxy-peers`, with clocks that differ, links that lose, duplicate, corrupt and delay datagrams, and
//! processes that are paused, resumed, killed and restarted. Invariants are checked at every step; cost and
//! detection times are measured against baseline protocols.

pub mod baselines;
pub mod enumerate;
pub mod faults;
pub mod measure;
pub mod simulation;
pub mod zones;

pub use faults::{random_script, Fault, ScheduledFault, Script};
pub use simulation::{LinkConditions, Simulation, Violation};
