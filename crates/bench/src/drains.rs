//! Delay from an edit of the servers file that drains a server to the last new request at that server, as
//! recorded at its sockets.

use std::path::Path;
use std::time::Duration;

use anyhow::{ensure, Result};
use hdrhistogram::Histogram;
use paddleproxy_fleet::record::{Record, What};
use paddleproxy_fleet::Fleet;
use serde::Serialize;
use tokio::time::sleep;

use crate::load::{self, Load, Target};
use crate::process::{self, Program};

/// Time from an edit to the last new work at the drained server; 0 if none arrived after the edit.
#[derive(Clone, Debug, Serialize)]
pub struct DrainDelay {
    pub edits: usize,
    pub p50_ms: f64,
    pub worst_ms: f64,
    pub asked: usize,
    pub done: usize,
}

const SERVERS: usize = 10;
const REQUESTS_PER_S: f64 = 400.0;
/// Duration of a drain, and the wait before the next one.
const DRAINED_MS: u64 = 250;
const BETWEEN_MS: u64 = 120;

fn server_list(fleet: &Fleet, version: usize, draining: Option<&str>) -> String {
    let mut text = format!("version {version}\n");
    for (name, server) in fleet.names().filter_map(|name| Some((name, fleet.server(name)?))) {
        let drains = if draining == Some(name) { " draining=#true" } else { "" };
        let (address, zone, kind) = (server.address.get(), &server.row.zone, &server.kind().name);
        let cell = server.row.cell;
        text += &format!(
            "server \"{name}\" address=\"{address}\" zone=\"{zone}\" kind=\"{kind}\" cell={cell}{drains}\n"
        );
    }
    text + &format!("end count={} version={version}\n", fleet.names().count())
}

fn replace_file(path: &Path, text: &str) -> Result<()> {
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text)?;
    Ok(std::fs::rename(temporary, path)?)
}

pub async fn measure(program: &Path, edits: usize) -> Result<DrainDelay> {
    let dir = tempfile::tempdir()?;
    let record = Record::default();
    let settings = paddleproxy_settings::fleet::parse("fleet", &process::fleet_config(SERVERS, 0.0))?;
    let fleet = Fleet::start(settings, record.clone()).await?;
    let path = dir.path().join("servers.kdl");
    replace_file(&path, &server_list(&fleet, 1, None))?;
    let config = process::router_config(fleet.list_address, dir.path(), 20_000)
        + &format!("servers-file \"{}\"\n", path.display());
    let router = Program::start(program, "serve", &config, dir.path()).await?;
    let admin = router.startup["admin"].as_str().unwrap_or_default().parse()?;
    let clients = router.startup["listening"].as_str().unwrap_or_default().parse()?;
    process::wait_until_ready(admin).await?;
    let duration_ms = (edits as u64 * (DRAINED_MS + BETWEEN_MS) + 1000) as f64;
    let load = Load {
        rate: REQUESTS_PER_S,
        duration_ms,
        tokens: 4,
        targets: vec![Target::Router(clients, load::MESSAGES)],
    };
    let running = tokio::task::spawn_local(async move { load::run(&load).await });
    sleep(Duration::from_millis(500)).await;
    let names: Vec<_> = fleet.names().cloned().collect();
    let mut drain_times = Vec::new();
    for edit in 0..edits {
        let name = &names[edit % names.len()];
        let at_ms = record.now_ms();
        replace_file(&path, &server_list(&fleet, 2 * edit + 2, Some(name)))?;
        sleep(Duration::from_millis(DRAINED_MS)).await;
        let until_ms = record.now_ms();
        replace_file(&path, &server_list(&fleet, 2 * edit + 3, None))?;
        drain_times.push((name.clone(), at_ms, until_ms));
        sleep(Duration::from_millis(BETWEEN_MS)).await;
    }
    let measured = running.await?.swap_remove(0);
    router.stop().await;
    ensure!(measured.done > 0, "no request was answered");
    let mut after_us = Histogram::<u64>::new(3)?;
    for (name, at_ms, until_ms) in &drain_times {
        let dispatched_there = |what: &What| matches!(what, What::Dispatch { server, .. } if server == name);
        let lines = record.lines();
        let while_draining = lines
            .iter()
            .filter(|line| line.at_ms > *at_ms && line.at_ms < *until_ms && dispatched_there(&line.what));
        let last = while_draining.map(|line| line.at_ms - at_ms).fold(0.0, f64::max);
        after_us.record((last * 1e3) as u64)?;
    }
    Ok(DrainDelay {
        edits: drain_times.len(),
        p50_ms: after_us.value_at_quantile(0.5) as f64 / 1e3,
        worst_ms: after_us.max() as f64 / 1e3,
        asked: measured.sent,
        done: measured.done,
    })
}
