//! The page: the roster that was last agreed, numbered, with what is shared out among it.

use serde::{Deserialize, Serialize};

use crate::words::{Life, Place};

/// One router's seat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    pub place: Place,
    pub life: Life,
    /// Of each thing, in parts of [`WHOLE`] of what is lent; of the first thing, whole pieces.
    pub parts: Vec<u16>,
}

/// What all seats' parts of a thing add up to at most.
pub const WHOLE: u16 = 60_000;
/// Most places and things that a page may have.
pub const PLACES_MAX: usize = 4096;
pub const THINGS_MAX: usize = 32;
/// Most bytes that a page may carry for others.
pub const EXTRA_MAX: usize = 4096;

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    pub number: u64,
    /// Pieces of the first thing, as its maker's settings have it.
    pub pieces: u16,
    /// By place.
    pub seats: Vec<Seat>,
    /// What else was agreed with it, as bytes that are only carried. On the wire it stands behind the letter's words,
    /// where a version that does not know it passes over it; without any, pages of both are the same.
    #[serde(skip)]
    pub extra: Vec<u8>,
}

impl Page {
    /// Fingerprint by which keepers and holders know that they mean the same page. Two of one number can only come to
    /// be after a majority of the keepers started anew.
    pub fn mark(&self) -> u32 {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        bytes.extend(&self.extra);
        crc32fast::hash(&bytes)
    }

    /// Whether its places are in order, its rows alike, and nothing in it adds up to more than the whole.
    pub fn sound(&self) -> bool {
        let things = self.seats.first().map_or(0, |seat| seat.parts.len());
        let ordered = self.seats.windows(2).all(|pair| pair[0].place < pair[1].place);
        let alike = self.seats.iter().all(|seat| seat.parts.len() == things);
        let sum = |thing: usize| self.seats.iter().map(|seat| u64::from(seat.parts[thing])).sum::<u64>();
        let most = |thing: usize| u64::from(if thing == 0 { self.pieces } else { WHOLE });
        self.seats.len() <= PLACES_MAX
            && self.extra.len() <= EXTRA_MAX
            && things <= THINGS_MAX
            && ordered
            && alike
            && (0..things).all(|thing| sum(thing) <= most(thing))
    }

    pub fn seat(&self, place: Place) -> Option<&Seat> {
        self.seats.binary_search_by_key(&place, |seat| seat.place).ok().map(|row| &self.seats[row])
    }

    /// Rank of a place among those seated.
    pub fn rank(&self, place: Place) -> Option<usize> {
        self.seats.binary_search_by_key(&place, |seat| seat.place).ok()
    }
}
