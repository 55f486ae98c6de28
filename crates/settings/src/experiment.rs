//! The document of an experiment: one day, played in virtual time for each point of a parameter grid and each
//! seed.

use std::path::{Path, PathBuf};

use crate::reader::{Block, Count, Millis, Problems, Share, Source};
use crate::{read_text, Error};

#[derive(Clone, Debug)]
pub struct ExperimentSettings {
    pub name: String,
    pub question: String,
    /// Path of the day, relative to the directory of the experiment's document.
    pub day: PathBuf,
    /// Number of seeds.
    pub seeds: u64,
    // The axes of the grid; an empty one leaves the day as it is.
    pub policies: Vec<String>,
    pub routers: Vec<usize>,
    /// Copies of the day's fleet.
    pub fleets: Vec<usize>,
    /// Factors of the day's session rate.
    pub load: Vec<f64>,
    /// Retries of each client.
    pub retries: Vec<usize>,
    /// Longest retry delay that a rate limit requests of clients, in ms.
    pub max_retry_after_ms: Vec<f64>,
    /// Delay after which the list reports a change, in ms.
    pub list_delay_ms: Vec<f64>,
    /// Length of a server's slow start, in ms.
    pub cold_ms: Vec<f64>,
    /// Share of a role's servers that one version of the list may remove.
    pub most_removed: Vec<f64>,
    /// What a router's store holds when the router restarts.
    pub memory: Vec<String>,
}

/// Most points of a grid, each of which is played with every seed.
const MAX_POINTS: usize = 2000;

pub fn parse(file: &str, text: &str) -> Result<ExperimentSettings, Problems> {
    Source::read(file, text, |top| {
        let block = top.need_block("experiment")?;
        let read = experiment(&block);
        block.reject_unknown();
        Some(read)
    })
}

/// Reads an experiment's file. The path of its day is relative to the file's directory.
///
/// # Errors
/// A file that can't be read, or all problems found.
pub fn load(path: &Path) -> Result<ExperimentSettings, Error> {
    let read = parse(&path.display().to_string(), &read_text(path)?)?;
    let day = path.parent().unwrap_or(Path::new("")).join(&read.day);
    Ok(ExperimentSettings { day, ..read })
}

/// Reads the values of one axis of the grid.
fn axis<T, V: crate::Value>(block: &Block, name: &'static str, of: impl Fn(V) -> T) -> Vec<T> {
    let Some(list) = block.block(name) else { return Vec::new() };
    let values: Vec<_> = list.arguments().into_iter().map(of).collect();
    if values.is_empty() {
        list.problem(format!("'{name}' needs at least one value"));
    }
    list.reject_unknown();
    values
}

fn experiment(block: &Block) -> ExperimentSettings {
    let count = |count: Count| count.0 as usize;
    let time = |time: Millis| time.0;
    let read = ExperimentSettings {
        name: block.argument().unwrap_or_default(),
        question: block.need("question"),
        day: PathBuf::from(block.need::<String>("day")),
        seeds: block.need::<Count>("seeds").0.max(1),
        policies: axis(block, "policies", |name: String| name),
        routers: axis(block, "routers", count),
        fleets: axis(block, "fleets", count),
        load: axis(block, "load", |load: f64| load),
        retries: axis(block, "retries", count),
        max_retry_after_ms: axis(block, "max-retry-after", time),
        list_delay_ms: axis(block, "list-delay", time),
        cold_ms: axis(block, "cold", time),
        memory: axis(block, "memory", |name: String| name),
        most_removed: axis(block, "most-removed", |share: Share| share.0),
    };
    let sizes = [
        read.policies.len(),
        read.routers.len(),
        read.fleets.len(),
        read.load.len(),
        read.retries.len(),
        read.max_retry_after_ms.len(),
        read.list_delay_ms.len(),
        read.cold_ms.len(),
        read.most_removed.len(),
        read.memory.len(),
    ];
    let points: usize = sizes.iter().map(|size| (*size).max(1)).product();
    if points > MAX_POINTS {
        block.problem(format!("the grid has {points} points; at most {MAX_POINTS} are played"));
    }
    read
}
