//! Routers that know each other, played in virtual time: the very machine of `paddleproxy-peers`, clocks that differ,
//! links that lose, double, delay and cut, processes that stop, wake, die and start again. What must hold at every
//! instant is checked at every step; what it costs and how long it takes is measured beside baselines.

pub mod baselines;
pub mod enumerate;
pub mod faults;
pub mod measure;
pub mod simulation;
pub mod zones;

pub use faults::{random_script, Fault, ScheduledFault, Script};
pub use simulation::{LinkConditions, Simulation, Violation};
