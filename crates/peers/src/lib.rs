//! Who the routers are, who of them has failed, how common that view is, and what is shared out among them. Decisions
//! only: told what came and what time it is, [`Peers`] returns what to send. No socket, clock, log or chance of its own.
//!
//! `docs/design/peers.md` tells what was weighed and what each state may do.

pub mod allocation;
pub mod consensus;
pub mod gossip;
pub mod member;
pub mod shares;
pub mod status;
pub mod view;
pub mod wire;

pub use allocation::{Allocation, AllocationEntry};
pub use consensus::Consensus;
pub use member::{Change, Member, RouterInfo, State};
pub use shares::{Granted, Needs};
pub use status::{ClusterReport, ClusterStatus};
pub use view::{Action, Counts, Event, Peers};
pub use wire::{DecodeError, Generation, RouterIndex};

/// What a router is told of its fellows at the start. Times in ms.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Name of the deployment; words of another one are dropped.
    pub deployment: String,
    /// Places that are configured, and the own one among them.
    pub router_count: usize,
    pub own: RouterIndex,
    /// Time between two probes; every other time of detection is a ratio to it.
    pub probe_ms: f64,
    /// How long a share stays valid at its holder without being confirmed anew.
    pub lease_ms: f64,
    /// Part of each thing shared out that is split evenly over all places and never lent.
    pub floor: f64,
    /// How long one that failed or left is remembered.
    pub remember_ms: f64,
    /// Things shared out that are split by need.
    pub resources: usize,
    /// Pieces of the first thing, the right to send to fresh workers, that may be held at once.
    pub slow_start_permits: usize,
}
