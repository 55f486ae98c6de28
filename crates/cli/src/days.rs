//! `days` plays several days and prints one table; `scripts` plays random fault scripts.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use anyhow::{Context, Result};
use paddleproxy_day::random::{draw, ScriptRunner};
use serde_json::{json, Value};

use crate::run::block_on_local_set;

/// Result of one day with one failover mode.
struct Row {
    day: String,
    failover_mode: &'static str,
    report: Value,
}

/// Plays each day with each failover mode and prints a line for each.
///
/// Each day is a process of its own; up to `at_once` of them run at the same time.
pub fn table(
    files: &[PathBuf],
    failover_modes: &[&'static str],
    at_once: usize,
    as_json: bool,
) -> Result<bool> {
    let program = std::env::current_exe().context("finding this program")?;
    let plays: Vec<(&PathBuf, &'static str)> =
        files.iter().flat_map(|file| failover_modes.iter().map(move |mode| (file, *mode))).collect();
    if !as_json {
        println!("{}", table_header());
    }
    let mut all_kept = true;
    for batch in plays.chunks(at_once.max(1)) {
        let started: Vec<_> = batch
            .iter()
            .map(|(file, mode)| {
                let dir = temp_dir(file, mode);
                let child = Command::new(&program)
                    .arg("day")
                    .arg(file)
                    .args(["--format", "json", "--failover", mode, "--out"])
                    .arg(&dir)
                    .stdout(Stdio::piped())
                    .stderr(Stdio::null())
                    .spawn();
                (file, mode, dir, child)
            })
            .collect();
        for (file, mode, dir, child) in started {
            let output = child.context("starting a day")?.wait_with_output()?;
            let Ok(report) = serde_json::from_slice::<Value>(&output.stdout) else {
                all_kept = false;
                eprintln!(
                    "{} ({mode}) could not be played; its files are in {}",
                    file.display(),
                    dir.display()
                );
                continue;
            };
            let kept = report["kept"] == true;
            all_kept &= kept;
            if kept {
                std::fs::remove_dir_all(&dir).ok();
            }
            let day = report["day"].as_str().unwrap_or_default().to_owned();
            let row = Row { day, failover_mode: mode, report };
            match as_json {
                true => {
                    println!("{}", json!({ "day": row.day, "way": row.failover_mode, "report": row.report }))
                }
                false => print!("{}", table_row(&row, &dir)),
            }
        }
    }
    Ok(all_kept)
}

fn temp_dir(file: &Path, failover_mode: &str) -> PathBuf {
    let name = file.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
    std::env::temp_dir().join(format!("paddleproxy-days-{}-{name}-{failover_mode}", std::process::id()))
}

fn table_header() -> String {
    format!(
        "{:<24} {:<7} {:>6} {:>7} {:>9} {:>7} {:>7} {:>7} {:>7} {:>6} {:>8} {:>8}  \
         simulated servers; in target by phase",
        "day",
        "decides",
        "broken",
        "before",
        "first 3 s",
        "during",
        "after",
        "near",
        "changes",
        "moved",
        "first",
        "back"
    )
}

fn table_row(row: &Row, dir: &Path) -> String {
    let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let rules = list(&row.report["rules"]);
    let broken: Vec<&Value> = rules.iter().filter(|rule| !list(&rule["broken"]).is_empty()).collect();
    let phases = list(&row.report["phases"]);
    let in_target = |number: &str| {
        let found =
            phases.iter().find(|phase| phase["name"].as_str().is_some_and(|name| name.starts_with(number)));
        found
            .and_then(|phase| phase["in_target"].as_f64())
            .map_or("-".to_owned(), |share| format!("{share:.3}"))
    };
    let planned = &row.report["planned"];
    let zones = list(&planned["zones"]);
    let max_moved = zones.iter().filter_map(|zone| zone[1].as_f64()).fold(0.0, f64::max);
    let first_ms = zones.iter().filter_map(|zone| zone[2].as_f64()).fold(f64::INFINITY, f64::min);
    let back_ms = zones.iter().map(|zone| zone[3].as_f64().unwrap_or(f64::INFINITY)).fold(0.0, f64::max);
    let seconds =
        |ms: f64| if ms.is_finite() && ms > 0.0 { format!("{:.1} s", ms / 1e3) } else { "-".to_owned() };
    let mut text = format!(
        "{:<24} {:<7} {:>6} {:>7} {:>9} {:>7} {:>7} {:>7} {:>7} {:>6.2} {:>8} {:>8}\n",
        row.day,
        row.failover_mode,
        broken.len(),
        in_target("1"),
        in_target("2"),
        in_target("3"),
        in_target("4"),
        planned["near"].as_f64().map_or("-".to_owned(), |near| format!("{near:.4}")),
        planned["changes"].as_u64().map_or("-".to_owned(), |changes| changes.to_string()),
        max_moved,
        seconds(first_ms),
        seconds(back_ms),
    );
    for rule in broken {
        let first = list(&rule["broken"]).first().and_then(|violation| violation.as_str().map(str::to_owned));
        text += &format!("    {}: {}\n", rule["name"].as_str().unwrap_or("-"), first.unwrap_or_default());
        text += &format!("    its record: {}\n", dir.display());
    }
    text
}

/// Plays random scripts; one that breaks a rule is minimized and printed.
pub fn scripts(common: &Path, from: u64, count: u64, dir: &Path, as_json: bool) -> Result<bool> {
    let program = std::env::current_exe().context("finding this program")?;
    let script_runner = ScriptRunner { program: &program, common, dir };
    let targets = script_runner.topology()?;
    let mut all_kept = true;
    for seed in from..from.saturating_add(count) {
        let played =
            block_on_local_set(script_runner.play(&draw(seed, &targets), &format!("script-{seed}")))?;
        let kept = played.report.kept;
        let troubles = played.script.troubles.len();
        match as_json {
            true => println!("{}", json!({ "seed": seed, "troubles": troubles, "kept": kept })),
            false => println!("script {seed}: {troubles} troubles, {}", if kept { "kept" } else { "BROKEN" }),
        }
        if !kept {
            all_kept = false;
            let minimized = block_on_local_set(script_runner.shrink(played))?;
            let broken = minimized.report.rules.iter().filter(|rule| !rule.broken.is_empty());
            for rule in broken {
                println!("  {}: {}", rule.name, rule.broken.first().map_or("", String::as_str));
            }
            println!("  the least that still breaks it, {}:", minimized.file.display());
            println!("{}", std::fs::read_to_string(&minimized.file)?);
        }
    }
    Ok(all_kept)
}
