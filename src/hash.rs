//! The rendezvous hash: every router orders workers identically by it.

use crate::interface::WorkerId;

/// FNV-1a hash of a worker's name, computed once per worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameHash(u64);

impl NameHash {
    pub fn of(worker: &WorkerId) -> NameHash {
        NameHash(worker.0.bytes().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        }))
    }

    /// The worker's score for a key; the highest ranks first.
    pub fn rank(self, key: u64) -> u64 {
        mix(self.0, key)
    }
}

/// The score of a worker for a key in rendezvous hashing: the hash of its name, mixed with the key. It is
/// the same in every process and version.
pub fn rank(worker: &WorkerId, key: u64) -> u64 {
    NameHash::of(worker).rank(key)
}

fn mix(name: u64, key: u64) -> u64 {
    let mut mixed = name ^ key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
