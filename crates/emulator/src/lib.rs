//! A discrete-event model of a whole deployment: model servers, links, the list, clients, and the real decisions of
//! the routers between them, in virtual time. No I/O, no clock, no chance without its seed: the same scenario and
//! seed give the same record. Simulated; `docs/design/emulator.md` names what it leaves out.

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
