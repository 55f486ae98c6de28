//! A small store for the state that a router needs after a restart: an append-only log in segments, an index
//! in memory, compaction by snapshots, and recovery that uses only data with valid checksums.
//! `docs/operators/state.md` describes the format byte by byte.
//!
//! - `format`: encoding of records and segment headers; no I/O.
//! - `recovery`: rebuilds the state from a directory's segments; no I/O.
//! - `retention`: what is stored about cached tokens and idempotent requests, how long it is kept, and what
//!   of it a restart uses; no I/O.
//! - `medium`: the file operations of a store as a trait; `memory` implements it with injected faults.
//! - `store`: the log itself; `writer`: a thread that owns it, behind bounded channels.

pub mod format;
pub mod medium;
pub mod memory;
pub mod recovery;
pub mod retention;
pub mod store;
pub mod writer;

pub use format::{Key, Kind};
pub use medium::{Disk, Medium};
pub use store::{Options, Stats, Store};
pub use writer::{Acknowledged, Handle};

/// Errors of a store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{what}: {cause}")]
    Io { what: String, cause: std::io::Error },
    /// A sync failed: writes before it may or may not be on the disk, and no later write is acknowledged.
    #[error("a sync failed earlier; nothing more is acknowledged until the store is reopened")]
    Poisoned,
    #[error("a record of {bytes} bytes exceeds the limit of {max_bytes}")]
    TooLong { bytes: usize, max_bytes: usize },
    #[error("the store belongs to router {found}; this is router {own}")]
    OtherRouter { found: u32, own: u32 },
    #[error("{segment} at byte {offset}: {what}")]
    Damaged { segment: String, offset: u64, what: String },
    #[error("another process holds the store")]
    Locked,
    #[error("the writer thread has ended")]
    Ended,
}

impl Error {
    pub(crate) fn io(what: &str, cause: std::io::Error) -> Self {
        Error::Io { what: what.to_owned(), cause }
    }
}
