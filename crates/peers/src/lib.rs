//! Cluster membership of the routers, failure detection, gossip, and the allocation of shared resources. This
//! crate decides only: given an event and the current time, [`Peers`] returns the actions to take. It has no
//! socket, clock, log or source of randomness of its own.
//!
//! `docs/design/peers.md` describes the alternatives that were weighed and what each state permits.

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

/// Configuration of [`Peers`]. Times in ms.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Name of the deployment; packets of other deployments are dropped.
    pub deployment: String,
    /// Number of configured routers, and the index of this one among them.
    pub router_count: usize,
    pub own: RouterIndex,
    /// Probe interval; every other time of failure detection is a multiple of it.
    pub probe_ms: f64,
    /// How long a share stays valid at its holder without being confirmed again.
    pub lease_ms: f64,
    /// Fraction of each resource that is split evenly over all configured routers and never allocated by
    /// need.
    pub floor: f64,
    /// How long a router that failed or left is remembered.
    pub remember_ms: f64,
    /// Number of shared resources, the slow-start permits (resource 0) included.
    pub resources: usize,
    /// Resource 0: how many permits to send to workers in slow start may be held at once in the whole
    /// cluster.
    pub slow_start_permits: usize,
}
