//! A discrete-event model of a whole deployment: model servers, links, the list, clients, and the real decisions of
//! the routers between them, in virtual time. No I/O, no clock, no chance without its seed: the same scenario and
//! seed give the same record. Simulated; `docs/design/emulator.md` names what it leaves out.

mod chance;
mod heap;
pub mod links;
pub mod policies;
pub mod record;
pub mod repeats;
pub mod server;
pub mod troubles;
mod world;

pub use policies::Policy;
pub use world::{run, Memory, Options, Run};
