//! The page: the roster that was last agreed, numbered, with what is shared out among it.

use serde::{Deserialize, Serialize};

use crate::wire::{Generation, RouterIndex};

/// One router's seat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationEntry {
    pub router: RouterIndex,
    pub generation: Generation,
    /// Of each thing, in parts of [`WHOLE`] of what is lent; of the first thing, whole pieces.
    pub parts: Vec<u16>,
}

/// What all seats' parts of a thing add up to at most.
pub const TOTAL_PARTS: u16 = 60_000;
/// Most places and things that a page may have.
pub const ROUTERS_MAX: usize = 4096;
pub const RESOURCES_MAX: usize = 32;
/// Most bytes that a page may carry for others.
pub const MAX_EXTRA_BYTES: usize = 4096;

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    pub number: u64,
    /// Pieces of the first thing, as its maker's settings have it.
    pub slow_start_permits: u16,
    /// By place.
    pub entries: Vec<AllocationEntry>,
    /// What else was agreed with it, as bytes that are only carried. On the wire it stands behind the letter's words,
    /// where a version that does not know it passes over it; without any, pages of both are the same.
    #[serde(skip)]
    pub extra: Vec<u8>,
}

impl Allocation {
    /// Fingerprint by which keepers and holders know that they mean the same page. Two of one number can only come to
    /// be after a majority of the keepers started anew.
    pub fn fingerprint(&self) -> u32 {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        bytes.extend(&self.extra);
        crc32fast::hash(&bytes)
    }

    /// Whether its places are in order, its rows alike, and nothing in it adds up to more than the whole.
    pub fn is_valid(&self) -> bool {
        let resources = self.entries.first().map_or(0, |entry| entry.parts.len());
        let ordered = self.entries.windows(2).all(|pair| pair[0].router < pair[1].router);
        let alike = self.entries.iter().all(|entry| entry.parts.len() == resources);
        let sum =
            |resource: usize| self.entries.iter().map(|entry| u64::from(entry.parts[resource])).sum::<u64>();
        let most =
            |resource: usize| u64::from(if resource == 0 { self.slow_start_permits } else { TOTAL_PARTS });
        self.entries.len() <= ROUTERS_MAX
            && self.extra.len() <= MAX_EXTRA_BYTES
            && resources <= RESOURCES_MAX
            && ordered
            && alike
            && (0..resources).all(|resource| sum(resource) <= most(resource))
    }

    pub fn entry(&self, router: RouterIndex) -> Option<&AllocationEntry> {
        self.entries.binary_search_by_key(&router, |entry| entry.router).ok().map(|row| &self.entries[row])
    }

    /// Rank of a place among those seated.
    pub fn rank(&self, router: RouterIndex) -> Option<usize> {
        self.entries.binary_search_by_key(&router, |entry| entry.router).ok()
    }
}
