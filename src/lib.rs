//! paddleproxy: schedules prompts and answers over pools of model servers.
//!
//! `interface` defines the events that the scheduler receives and the actions that it returns; `control`
//! makes the decisions. `shutdown` is the schedule of a graceful shutdown.

pub mod control;
mod decay;
pub mod hash;
pub mod interface;
pub mod shutdown;

pub use control::Control;
