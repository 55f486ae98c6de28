//! Plays a day: starts the fleet here and each router as a process of its own, lets clients and troubles loose, and
//! writes down what the sockets carried.

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

use crate::audit::Facts;
use crate::load::Clients;
use crate::rig;
pub use crate::stage::Program;
use crate::stage::Stage;
use crate::troubles::befall;

/// The files of a recorded day.
pub const RECORD: &str = "record.jsonl";
pub const FACTS: &str = "facts.json";

/// Plays a day with `program` as the router; its record goes to `dir` as well.
///
/// # Errors
/// What could not be started or written.
pub async fn play(day: DaySettings, program: impl Into<Program>, dir: &Path) -> Result<(Facts, Vec<Line>)> {
    let day = Rc::new(day);
    let stage = Stage::start(day.clone(), program.into(), dir).await?;
    let record = stage.record.clone();
    // The day's clock starts once all are up.
    record.restart();
    let began = stage.used();
    let clients = Clients::new(
        day.clone(),
        record.clone(),
        stage.mood.clone(),
        stage.addresses.clone(),
        stage.mesh.clone(),
    );
    let clients = Rc::new(clients);
    let loads: Vec<_> =
        (0..day.clients.len()).map(|row| tokio::task::spawn_local(clients.clone().run(row))).collect();
    let troubles: Vec<_> = paddleproxy_emulator::troubles::expand_recurring(&day, 1)
        .into_iter()
        .map(|trouble| tokio::task::spawn_local(befall(stage.clone(), trouble)))
        .collect();
    let asking = Rc::new(Cell::new(stage.mesh.is_some()));
    let asks: Vec<_> = (0..day.routers)
        .map(|router| tokio::task::spawn_local(rig::ask(stage.clone(), router, asking.clone())))
        .collect();
    for task in loads.into_iter().chain(troubles) {
        task.await?;
    }
    let rest = async {
        while clients.open.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
        // States of the last answers get the time that the rules give them.
        sleep(Duration::from_secs_f64(2.0 * day.router.decisions.pin_limit_ms / 1e3)).await;
    };
    let _ = timeout(Duration::from_secs_f64(day.rest_ms / 1e3), rest).await;
    asking.set(false);
    for task in asks {
        task.await?;
    }
    stage.check()?;
    stage.end(&began).await;
    let (facts, lines) = (Facts::of(&day), record.lines());
    write(dir, &facts, &lines)?;
    Ok((facts, lines))
}

/// Keeps the fleet and the routers of a day running, without its clients and troubles, until `stop` turns true.
///
/// # Errors
/// What could not be started.
pub async fn keep(
    day: DaySettings,
    program: &Path,
    dir: &Path,
    ready: impl FnOnce(&[SocketAddr]),
    mut stop: tokio::sync::watch::Receiver<bool>,
) -> Result<()> {
    let stage = Stage::start(Rc::new(day), program.into(), dir).await?;
    ready(&stage.addresses.borrow());
    while !*stop.borrow_and_update() && stop.changed().await.is_ok() {}
    for router in 0..stage.day.routers {
        stage.stop_router(router).await;
    }
    stage.check()
}

/// Writes the record of a day into a folder that is there.
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
/// A file that can't be read or a line that is none.
pub fn read(dir: &Path) -> Result<(Facts, Vec<Line>)> {
    let open = |name: &str| {
        let path = dir.join(name);
        std::fs::read_to_string(&path).with_context(|| format!("reading {}", path.display()))
    };
    let facts = serde_json::from_str(&open(FACTS)?).with_context(|| FACTS.to_owned())?;
    let lines = open(RECORD)?;
    let parse = |(row, line): (usize, &str)| {
        serde_json::from_str(line).with_context(|| format!("{RECORD}: line {}", row + 1))
    };
    Ok((facts, lines.lines().enumerate().map(parse).collect::<Result<_>>()?))
}
