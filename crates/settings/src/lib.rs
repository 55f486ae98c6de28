//! The KDL documents: a router, a fleet of emulated model servers, a scripted day, an experiment and a list
//! of servers. Each is read as a whole. Every problem in it is reported with file, line and column, and a
//! document with any problem is rejected.

pub mod day;
pub mod day_failover;
pub mod experiment;
pub mod failover;
pub mod fleet;
pub mod peers;
pub mod process_faults;
pub mod reader;
pub mod router;
pub mod servers;

use std::path::Path;

pub use reader::{Block, Count, LoopbackAddress, Millis, Problem, Problems, Share, Source, Value};

/// Why a document cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{file}: cannot be read: {cause}")]
    Unreadable { file: String, cause: std::io::Error },
    #[error("{0}")]
    Invalid(#[from] Problems),
}

/// The kind of a document, which follows from the names of its top-level nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Router,
    Fleet,
    Day,
    Experiment,
    Servers,
}

impl Kind {
    /// A text that is not valid KDL counts as a router's document; parsing it then reports the problems.
    pub fn of(text: &str) -> Kind {
        let names = kdl::KdlDocument::parse(text).ok();
        let has = |name| names.as_ref().is_some_and(|document| document.get(name).is_some());
        if has("version") || has("end") {
            return Kind::Servers;
        }
        if has("experiment") {
            return Kind::Experiment;
        }
        match (has("day"), has("fleet")) {
            (true, _) => Kind::Day,
            (false, true) => Kind::Fleet,
            _ => Kind::Router,
        }
    }
}

/// Reads a file of at most 4 MiB.
pub fn read_text(path: &Path) -> Result<String, Error> {
    let file = path.display().to_string();
    let fail = |cause| Error::Unreadable { file: file.clone(), cause };
    if std::fs::metadata(path).map_err(fail)?.len() > 4 << 20 {
        return Err(fail(std::io::Error::other("larger than 4 MiB")));
    }
    std::fs::read_to_string(path).map_err(fail)
}

/// Checks a document of any kind and returns the kind.
pub fn check(path: &Path) -> Result<Kind, Error> {
    let text = read_text(path)?;
    let file = path.display().to_string();
    let kind = Kind::of(&text);
    match kind {
        Kind::Router => router::parse(&file, &text).map(drop)?,
        Kind::Fleet => fleet::parse(&file, &text).map(drop)?,
        Kind::Day => day::load(path).map(drop)?,
        Kind::Experiment => experiment::load(path).map(drop)?,
        Kind::Servers => servers::parse(&file, &text).map(drop)?,
    }
    Ok(kind)
}
