//! A router's status within the cluster, with the reason, in one value.

use crate::wire::RouterIndex;

/// Status of a router within the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClusterStatus {
    /// Has not joined yet.
    Joining,
    /// Hears a majority of the routers in the last allocation.
    Majority,
    /// Hears some of them, but no majority.
    Minority,
    /// Hears no other router.
    Isolated,
    /// Another process runs under the same index with a higher generation; this one takes no part any more.
    Displaced,
    /// Has announced that it leaves.
    Leaving,
}

impl ClusterStatus {
    pub fn name(self) -> &'static str {
        match self {
            ClusterStatus::Joining => "new",
            ClusterStatus::Majority => "whole",
            ClusterStatus::Minority => "part",
            ClusterStatus::Isolated => "alone",
            ClusterStatus::Displaced => "displaced",
            ClusterStatus::Leaving => "leaving",
        }
    }
}

/// Status of a router, and how many peers share its view.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterReport {
    pub status: ClusterStatus,
    pub reason: String,
    /// Number of routers in the last allocation, or configured if there was none, and how many of them it
    /// hears.
    pub roster: usize,
    pub heard: usize,
    /// Of the peers heard since the view last changed: how many have the same view, out of how many, and the
    /// first few that differ.
    pub same_view: usize,
    pub compared: usize,
    pub differing: Vec<RouterIndex>,
    /// Peers that it receives nothing from although others do, and peers that report receiving nothing from
    /// it.
    pub not_hearing: Vec<RouterIndex>,
    pub not_heard_by: Vec<RouterIndex>,
}

/// Status of a router that hears `heard` of `roster` routers, itself included. The reasons are part of the
/// status documents for operators, so their wording is kept (`place`: router index, `fellow`: peer).
pub fn cluster_status(
    joined: bool,
    displaced: bool,
    leaving: bool,
    heard: usize,
    roster: usize,
) -> (ClusterStatus, String) {
    let (status, reason) = match () {
        () if displaced => (ClusterStatus::Displaced, "another process runs under this place".to_owned()),
        () if leaving => (ClusterStatus::Leaving, "it was told to stop".to_owned()),
        () if !joined && roster > 1 => (ClusterStatus::Joining, "no fellow has let it in yet".to_owned()),
        () if 2 * heard > roster => {
            (ClusterStatus::Majority, format!("hears {heard} of {roster}, a majority"))
        }
        () if heard > 1 => (ClusterStatus::Minority, format!("hears {heard} of {roster}, no majority")),
        () => (ClusterStatus::Isolated, format!("hears none of the other {}", roster - 1)),
    };
    (status, reason)
}
