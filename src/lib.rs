//! paddleproxy: schedules prompts and answers over pools of model servers.
//!
//! `interface` holds what a caller tells the decisions and what they ask for; `control` decides. `shutdown`
//! says what a router that was told to end still takes.

pub mod control;
mod decay;
pub mod hash;
pub mod interface;
pub mod shutdown;

pub use control::Control;
