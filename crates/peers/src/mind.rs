//! How a router stands among its fellows, with the reason, in one value.

use crate::words::Place;

/// How a router stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mind {
    /// Has not heard enough yet to say.
    New,
    /// Hears a majority of the roster that was last agreed.
    Whole,
    /// Hears some of it.
    Part,
    /// Hears nobody.
    Alone,
    /// Another process runs under its place with a higher life; it has no part in the common view any more.
    Displaced,
    /// Said that it goes.
    Leaving,
}

impl Mind {
    pub fn name(self) -> &'static str {
        match self {
            Mind::New => "new",
            Mind::Whole => "whole",
            Mind::Part => "part",
            Mind::Alone => "alone",
            Mind::Displaced => "displaced",
            Mind::Leaving => "leaving",
        }
    }
}

/// How a router stands and how common its view is.
#[derive(Clone, Debug, PartialEq)]
pub struct Stand {
    pub mind: Mind,
    pub why: String,
    /// Of the roster last agreed, or of the places configured where none was: how many, and how many it hears.
    pub roster: usize,
    pub hears: usize,
    /// Of the fellows heard: how many have the same view, and the first few that differ.
    pub same: usize,
    pub of: usize,
    pub differ: Vec<Place>,
    /// Fellows that it can't hear though others do, and those that say so of it.
    pub deaf_to: Vec<Place>,
    pub unheard_by: Vec<Place>,
}

/// Says how a router stands that hears `hears` of `roster`, itself included.
pub fn mind(joined: bool, displaced: bool, leaving: bool, hears: usize, roster: usize) -> (Mind, String) {
    let (mind, why) = match () {
        () if displaced => (Mind::Displaced, "another process runs under this place".to_owned()),
        () if leaving => (Mind::Leaving, "it was told to stop".to_owned()),
        () if !joined && roster > 1 => (Mind::New, "no fellow has let it in yet".to_owned()),
        () if 2 * hears > roster => (Mind::Whole, format!("hears {hears} of {roster}, a majority")),
        () if hears > 1 => (Mind::Part, format!("hears {hears} of {roster}, no majority")),
        () => (Mind::Alone, format!("hears none of the other {}", roster - 1)),
    };
    (mind, why)
}
