//! Plays a day: starts the fleet in this process and each router as a child process, runs the clients and the
//! troubles, and records what the sockets carried.

use std::cell::Cell;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use paddleproxy_fleet::record::Line;
use paddleproxy_settings::day::DaySettings;
use tokio::time::{sleep, timeout};

use crate::checker::Facts;
use crate::load::Clients;
use crate::process_faults;
pub use crate::scenario::Program;
use crate::scenario::RunningScenario;
use crate::troubles::run_trouble;

/// File names of a recorded day.
pub const RECORD: &str = "record.jsonl";
pub const FACTS: &str = "facts.json";

/// Plays a day with `program` as the router; returns its record and also writes it to `dir`.
///
/// # Errors
/// A process that can't be started, or a file that can't be written.
pub async fn play(day: DaySettings, program: impl Into<Program>, dir: &Path) -> Result<(Facts, Vec<Line>)> {
    let day = Rc::new(day);
    let scenario = RunningScenario::start(day.clone(), program.into(), dir).await?;
    let record = scenario.record.clone();
    // The day's clock starts once all routers are up.
    record.restart();
    let cpu_at_start = scenario.cpu_times();
    let clients = Clients::new(
        day.clone(),
        record.clone(),
        scenario.conditions.clone(),
        scenario.client_addresses.clone(),
        scenario.mesh.clone(),
    );
    let clients = Rc::new(clients);
    let loads: Vec<_> =
        (0..day.clients.len()).map(|row| tokio::task::spawn_local(clients.clone().run(row))).collect();
    let troubles: Vec<_> = paddleproxy_emulator::troubles::expand_recurring(&day, 1)
        .into_iter()
        .map(|trouble| tokio::task::spawn_local(run_trouble(scenario.clone(), trouble)))
        .collect();
    let polling = Rc::new(Cell::new(scenario.mesh.is_some()));
    let pollers: Vec<_> = (0..day.routers)
        .map(|router| {
            tokio::task::spawn_local(process_faults::poll_router(scenario.clone(), router, polling.clone()))
        })
        .collect();
    for task in loads.into_iter().chain(troubles) {
        task.await?;
    }
    let wait_for_sessions = async {
        while clients.open.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
        // Prefill states of the last completions get the time within which the rules require their release.
        sleep(Duration::from_secs_f64(2.0 * day.router.decisions.pin_limit_ms / 1e3)).await;
    };
    let _ = timeout(Duration::from_secs_f64(day.rest_ms / 1e3), wait_for_sessions).await;
    polling.set(false);
    for task in pollers {
        task.await?;
    }
    scenario.check()?;
    scenario.stop_all(&cpu_at_start).await;
    let (facts, lines) = (Facts::of(&day), record.lines());
    write(dir, &facts, &lines)?;
    Ok((facts, lines))
}

/// Runs the fleet and the routers of a day, without its clients and troubles, until `stop` turns true.
///
/// # Errors
/// A process that can't be started.
pub async fn run_until_stopped(
    day: DaySettings,
    program: &Path,
    dir: &Path,
    ready: impl FnOnce(&[SocketAddr]),
    mut stop: tokio::sync::watch::Receiver<bool>,
) -> Result<()> {
    let scenario = RunningScenario::start(Rc::new(day), program.into(), dir).await?;
    ready(&scenario.client_addresses.borrow());
    while !*stop.borrow_and_update() && stop.changed().await.is_ok() {}
    for router in 0..scenario.day.routers {
        scenario.stop_router(router).await;
    }
    scenario.check()
}

/// Writes the record of a day into an existing directory.
///
/// # Errors
/// A file that can't be written.
pub fn write(dir: &Path, facts: &Facts, lines: &[Line]) -> Result<()> {
    std::fs::write(dir.join(FACTS), serde_json::to_vec_pretty(facts)?)?;
    let mut out = std::io::BufWriter::new(std::fs::File::create(dir.join(RECORD))?);
    for line in lines {
        serde_json::to_writer(&mut out, line)?;
        out.write_all(b"\n")?;
    }
    out.flush()?;
    Ok(())
}

/// Reads a recorded day.
///
/// # Errors
/// A file that can't be read, or a line that is not valid.
pub fn read(dir: &Path) -> Result<(Facts, Vec<Line>)> {
    let open = |name: &str| {
        let path = dir.join(name);
        std::fs::read_to_string(&path).with_context(|| format!("reading {}", path.display()))
    };
    let facts = serde_json::from_str(&open(FACTS)?).with_context(|| format!("parsing {FACTS}"))?;
    let lines = open(RECORD)?;
    let parse = |(row, line): (usize, &str)| {
        serde_json::from_str(line).with_context(|| format!("{RECORD}: line {}", row + 1))
    };
    Ok((facts, lines.lines().enumerate().map(parse).collect::<Result<_>>()?))
}
