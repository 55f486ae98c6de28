//! Who the routers are, who of them has failed, how common that view is, and what is shared out among them. Decisions
//! only: told what came and what time it is, [`Peers`] returns what to send. No socket, clock, log or chance of its own.
//!
//! `docs/design/peers.md` tells what was weighed and what each state may do.

pub mod keepers;
pub mod member;
pub mod mind;
pub mod page;
pub mod rumours;
pub mod shares;
pub mod view;
pub mod words;

pub use keepers::Keeping;
pub use member::{About, Change, Member, State};
pub use mind::{Mind, Stand};
pub use page::{Page, Seat};
pub use shares::{Granted, Needs};
pub use view::{Action, Counts, Event, Peers};
pub use words::{Life, Place, Wrong};

/// What a router is told of its fellows at the start. Times in ms.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Name of the deployment; words of another one are dropped.
    pub deployment: String,
    /// Places that are configured, and the own one among them.
    pub places: usize,
    pub own: Place,
    /// Time between two probes; every other time of detection is a ratio to it.
    pub probe_ms: f64,
    /// How long a share stays valid at its holder without being confirmed anew.
    pub lease_ms: f64,
    /// Part of each thing shared out that is split evenly over all places and never lent.
    pub floor: f64,
    /// How long one that failed or left is remembered.
    pub remember_ms: f64,
    /// Things shared out that are split by need.
    pub things: usize,
    /// Pieces of the first thing, the right to send to fresh workers, that may be held at once.
    pub pieces: usize,
}
