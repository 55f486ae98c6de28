//! `soak`: plays random overlapping faults on real router processes, one run after the other.

use std::path::{Path, PathBuf};

use anyhow::{bail, Context, Result};
use paddleproxy_soak::plan::{Kind, Plan};
use paddleproxy_soak::play::{play, Played};
use paddleproxy_soak::report::Report;
use paddleproxy_soak::shrink::shrink;

use crate::run::block_on_local_set;

pub struct SoakOptions {
    pub seed: u64,
    pub count: u64,
    pub for_s: f64,
    pub processes: Option<usize>,
    pub troubles: Vec<String>,
    pub script: Vec<PathBuf>,
    pub program: Option<PathBuf>,
    pub out: Option<PathBuf>,
    pub shrink: bool,
}

/// The longest run.
const MAX_DURATION_S: f64 = 3600.0;

/// Parses a duration of 10 s to 60 min, such as `30`, `30s` or `5m`.
pub fn parse_duration_s(text: &str) -> Result<f64, String> {
    let (number, unit_s) = match text.strip_suffix('m') {
        Some(minutes) => (minutes, 60.0),
        None => (text.strip_suffix('s').unwrap_or(text), 1.0),
    };
    let length_s = number.parse::<f64>().ok().map(|number| number * unit_s);
    let length_s = length_s.filter(|length_s| (10.0..=MAX_DURATION_S).contains(length_s));
    length_s.ok_or_else(|| format!("'{text}' is not a duration from 10s to 60m"))
}

fn kinds(names: &[String]) -> Result<Vec<Kind>> {
    if names.iter().any(|name| name == "all") {
        return Ok(Kind::all());
    }
    let mut kinds = Vec::new();
    for name in names {
        let Some(kind) = Kind::named(name) else {
            let known: Vec<_> = Kind::all().into_iter().map(Kind::name).collect();
            bail!("--troubles: unknown trouble '{name}'; known: all, {}", known.join(", "));
        };
        kinds.push(kind);
    }
    Ok(kinds)
}

fn plans(options: &SoakOptions) -> Result<Vec<Plan>> {
    if options.script.is_empty() {
        let kinds = kinds(&options.troubles)?;
        let seeds = options.seed..options.seed.saturating_add(options.count);
        return Ok(seeds.map(|seed| Plan::draw(seed, options.for_s, options.processes, &kinds)).collect());
    }
    let mut plans = Vec::new();
    for file in &options.script {
        let text = std::fs::read_to_string(file).with_context(|| format!("reading {}", file.display()))?;
        plans.push(Plan::parse(&text).with_context(|| format!("script {}", file.display()))?);
    }
    Ok(plans)
}

/// Plays the scripts or random plans and returns whether every run kept every rule.
pub fn run(options: &SoakOptions, as_json: bool) -> Result<bool> {
    let plans = plans(options)?;
    let program = match &options.program {
        Some(program) => program.clone(),
        None => std::env::current_exe().context("finding this program")?,
    };
    let temp_dir = std::env::temp_dir().join(format!("paddleproxy-soak-{}", std::process::id()));
    let dir = options.out.clone().unwrap_or(temp_dir);
    let mut all_kept = true;
    for plan in &plans {
        let run_dir = dir.join(format!("seed-{}", plan.seed));
        let played = block_on_local_set(play(plan, &program, &run_dir))?;
        let report = Report::of(&played);
        match as_json {
            true => println!("{}", serde_json::to_string(&report)?),
            false => print!("{}", report.text()),
        }
        if report.kept() {
            std::fs::remove_dir_all(&run_dir).with_context(|| format!("removing {}", run_dir.display()))?;
        } else {
            all_kept = false;
            save_script(&played, &report, &program, options.shrink)?;
        }
    }
    if all_kept {
        // Fails, and leaves the directory in place, if it is not empty.
        let _ = std::fs::remove_dir(&dir);
    }
    Ok(all_kept)
}

/// Saves the script of a run that broke a rule, minimized on request.
fn save_script(played: &Played, report: &Report, program: &Path, minimize: bool) -> Result<()> {
    let mut plan = played.plan.clone();
    if minimize {
        let dir = played.dir.join("smaller");
        plan = block_on_local_set(shrink(plan, &report.rules(), program, &dir))?;
    }
    let script = played.dir.join("script.json");
    std::fs::write(&script, serde_json::to_string_pretty(&plan)?)?;
    eprintln!("play it again with: paddleproxy soak --script {}", script.display());
    Ok(())
}
