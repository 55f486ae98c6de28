//! paddleproxy: schedules prompts and answers over pools of model servers.
//!
//! `interface` holds what a caller tells the decisions and what they ask for; `control` decides. `shutdown`
//! is the schedule of a graceful shutdown.

pub mod control;
mod decay;
pub mod hash;
pub mod interface;
pub mod shutdown;

pub use control::Control;
