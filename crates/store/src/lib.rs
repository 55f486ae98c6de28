//! A small store for what a router must know after a restart: an append-only log in segments, an index in memory,
//! compaction by a snapshot, and recovery that believes nothing whose checksum does not fit. `docs/operators/state.md`
//! describes the format byte by byte.
//!
//! - `format`: records and heads of segments as bytes; no I/O.
//! - `recovery`: what a directory's segments say together; no I/O.
//! - `retention`: what is worth its bytes, how old it may be, and what a restart may believe of it; no I/O.
//! - `medium`: the little file work that there is, behind a trait; `memory` is one that can fail in every way.
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

/// What can go wrong.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{what}: {cause}")]
    Io { what: String, cause: std::io::Error },
    /// A sync failed: what was written before it may or may not be there, and nothing more is acknowledged.
    #[error("a sync failed earlier; nothing more is acknowledged until the store is opened anew")]
    Poisoned,
    #[error("a record of {bytes} bytes is longer than {most}")]
    TooLong { bytes: usize, most: usize },
    #[error("the store is of router {found}, this is router {own}")]
    OtherRouter { found: u32, own: u32 },
    #[error("{segment} at byte {offset}: {what}")]
    Damaged { segment: String, offset: u64, what: String },
    #[error("another process holds the store")]
    Locked,
    #[error("the writer has ended")]
    Ended,
}

impl Error {
    pub(crate) fn io(what: &str, cause: std::io::Error) -> Self {
        Error::Io { what: what.to_owned(), cause }
    }
}
