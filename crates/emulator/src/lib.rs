//! A discrete-event simulation of a whole deployment: model servers, links, the server list and clients in
//! virtual time, with the production decision code in the routers between them. There is no I/O, no system
//! clock and no unseeded randomness: the same scenario and seed give the same record.
//! `docs/design/emulator.md` lists what the simulation leaves out.

pub mod deduplication;
mod event_queue;
pub mod links;
pub mod policies;
mod random;
pub mod record;
pub mod server;
pub mod troubles;
mod world;

pub use policies::Policy;
pub use world::{run, Options, Run, StoreRecovery};
