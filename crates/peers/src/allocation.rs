//! The allocation: the last agreed list of routers, numbered, with the parts of the shared resources that
//! each of them may use.

use serde::{Deserialize, Serialize};

use crate::wire::{Generation, RouterIndex};

/// One router's entry in an allocation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationEntry {
    pub router: RouterIndex,
    pub generation: Generation,
    /// By resource: out of [`TOTAL_PARTS`] of what is allocated by need; for resource 0, whole permits.
    pub parts: Vec<u16>,
}

/// The most that all entries' parts of a resource may add up to.
pub const TOTAL_PARTS: u16 = 60_000;
/// Most routers and resources in an allocation.
pub const MAX_ROUTERS: usize = 4096;
pub const MAX_RESOURCES: usize = 32;
/// Most extra bytes in an allocation.
pub const MAX_EXTRA_BYTES: usize = 4096;

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    pub number: u64,
    /// Number of slow-start permits (resource 0) in the proposer's settings.
    pub slow_start_permits: u16,
    /// Sorted by router index.
    pub entries: Vec<AllocationEntry>,
    /// Further data agreed with the allocation, opaque to this crate. On the wire it follows the packet's
    /// messages, where a version that does not know it ignores it; without extra data, both versions encode
    /// an allocation alike.
    #[serde(skip)]
    pub extra: Vec<u8>,
}

impl Allocation {
    /// Hash by which voters and holders check that they mean the same allocation. Two allocations with the
    /// same number are possible only after a quorum of the voters restarted.
    pub fn fingerprint(&self) -> u32 {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        bytes.extend(&self.extra);
        crc32fast::hash(&bytes)
    }

    /// Whether the entries are sorted and of equal length, and the parts of no resource add up to more than
    /// the whole.
    pub fn is_valid(&self) -> bool {
        let resources = self.entries.first().map_or(0, |entry| entry.parts.len());
        let ordered = self.entries.windows(2).all(|pair| pair[0].router < pair[1].router);
        let alike = self.entries.iter().all(|entry| entry.parts.len() == resources);
        let sum =
            |resource: usize| self.entries.iter().map(|entry| u64::from(entry.parts[resource])).sum::<u64>();
        let most =
            |resource: usize| u64::from(if resource == 0 { self.slow_start_permits } else { TOTAL_PARTS });
        self.entries.len() <= MAX_ROUTERS
            && self.extra.len() <= MAX_EXTRA_BYTES
            && resources <= MAX_RESOURCES
            && ordered
            && alike
            && (0..resources).all(|resource| sum(resource) <= most(resource))
    }

    pub fn entry(&self, router: RouterIndex) -> Option<&AllocationEntry> {
        self.entries
            .binary_search_by_key(&router, |entry| entry.router)
            .ok()
            .map(|index| &self.entries[index])
    }

    /// Rank of a router among the entries.
    pub fn rank(&self, router: RouterIndex) -> Option<usize> {
        self.entries.binary_search_by_key(&router, |entry| entry.router).ok()
    }
}
