//! How a router stands among its fellows, with the reason, in one value.

use crate::wire::RouterIndex;

/// How a router stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClusterStatus {
    /// Has not heard enough yet to say.
    Joining,
    /// Hears a majority of the roster that was last agreed.
    Majority,
    /// Hears some of it.
    Minority,
    /// Hears nobody.
    Isolated,
    /// Another process runs under its place with a higher life; it has no part in the common view any more.
    Displaced,
    /// Said that it goes.
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

/// How a router stands and how common its view is.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterReport {
    pub status: ClusterStatus,
    pub reason: String,
    /// Of the roster last agreed, or of the places configured where none was: how many, and how many it hears.
    pub roster: usize,
    pub heard: usize,
    /// Of the fellows heard: how many have the same view, and the first few that differ.
    pub same_view: usize,
    pub compared: usize,
    pub differing: Vec<RouterIndex>,
    /// Fellows that it can't hear though others do, and those that say so of it.
    pub not_hearing: Vec<RouterIndex>,
    pub not_heard_by: Vec<RouterIndex>,
}

/// Says how a router stands that hears `hears` of `roster`, itself included.
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
