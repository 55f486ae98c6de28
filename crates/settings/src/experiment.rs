//! The document of an experiment: one day, played in virtual time for each point of a grid and each seed.

use std::path::{Path, PathBuf};

use crate::reader::{Block, Count, Millis, Problems, Share, Source};
use crate::{read_text, Error};

#[derive(Clone, Debug)]
pub struct ExperimentSettings {
    pub name: String,
    pub question: String,
    /// From the folder of the document.
    pub day: PathBuf,
    pub seeds: u64,
    pub policies: Vec<String>,
    pub routers: Vec<usize>,
    pub fleets: Vec<usize>,
    pub load: Vec<f64>,
    /// Retries of every client.
    pub retries: Vec<usize>,
    /// The longest time that a rate-limit asks clients to stay away, in ms.
    pub max_retry_after_ms: Vec<f64>,
    /// How late the list is, in ms.
    pub list_delay_ms: Vec<f64>,
    /// In which time a cold server is warm, in ms.
    pub cold_ms: Vec<f64>,
    /// Share of a role's servers that one version of the list may take away.
    pub most_removed: Vec<f64>,
    /// What a router's store gives back at its next start.
    pub memory: Vec<String>,
}

/// Points of a grid at most, seeds apart.
const POINTS_MAX: usize = 2000;

pub fn parse(file: &str, text: &str) -> Result<ExperimentSettings, Problems> {
    Source::read(file, text, |top| {
        let block = top.need_block("experiment")?;
        let read = experiment(&block);
        block.reject_unknown();
        Some(read)
    })
}

/// Reads an experiment's file; its day is named from the file's own folder.
///
/// # Errors
/// A file that can't be read, or all problems found.
pub fn load(path: &Path) -> Result<ExperimentSettings, Error> {
    let read = parse(&path.display().to_string(), &read_text(path)?)?;
    let day = path.parent().unwrap_or(Path::new("")).join(&read.day);
    Ok(ExperimentSettings { day, ..read })
}

fn list<T, V: crate::Value>(block: &Block, name: &'static str, of: impl Fn(V) -> T) -> Vec<T> {
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
        policies: list(block, "policies", |name: String| name),
        routers: list(block, "routers", count),
        fleets: list(block, "fleets", count),
        load: list(block, "load", |load: f64| load),
        retries: list(block, "retries", count),
        max_retry_after_ms: list(block, "max-retry-after", time),
        list_delay_ms: list(block, "list-delay", time),
        cold_ms: list(block, "cold", time),
        memory: list(block, "memory", |name: String| name),
        most_removed: list(block, "most-removed", |share: Share| share.0),
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
    if points > POINTS_MAX {
        block.problem(format!("the grid has {points} points; at most {POINTS_MAX} are played"));
    }
    read
}
