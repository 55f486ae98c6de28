//! Measures the resources of one router of the platform as its server list grows: the same requests with 200,
//! 800 and 3,200 servers listed.
//!
//! After `cargo build --release`, run
//! `cargo run --release -p paddleproxy-soak --example size -- target/release/paddleproxy`.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use paddleproxy_soak::client::Clients;
use paddleproxy_soak::configuration::{
    configuration, kind_of, Allowed, RouterParameters, INITIAL_SERVERS, LONGEST_DEADLINE_S, ZONES,
};
use paddleproxy_soak::discovery::{Agent, Catalog, ServerEntry};
use paddleproxy_soak::process::Router;
use paddleproxy_soak::record::Record;
use paddleproxy_soak::server::Server;

const REQUESTS: usize = 1600;
const CONCURRENT_REQUESTS: usize = 8;
/// Listed servers per cell, the group that shares a fast network.
const SERVERS_PER_CELL: usize = 20;
/// Changes of the list, each of one server, made while requests are sent.
const LIST_CHANGES: usize = 100;

struct Cost {
    served: usize,
    cpu_s: f64,
    peak_mib: f64,
    descriptors: usize,
    list_bytes: usize,
}

/// Processor time of a process in seconds, and its peak memory in MiB.
fn cpu_and_peak_memory(process: u32) -> Result<(f64, f64)> {
    const TICKS_PER_S: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let fields = stat.rsplit(')').next().context("/proc/PID/stat has no process name in parentheses")?;
    let mut times = fields.split_whitespace().skip(11).take(2).map(str::parse::<f64>);
    let cpu = times.next().context("/proc/PID/stat has no processor times")??
        + times.next().context("/proc/PID/stat has no processor times")??;
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .context("/proc/PID/status has no VmHWM line")?;
    let kib: f64 = peak.trim().trim_end_matches(" kB").parse()?;
    Ok((cpu / TICKS_PER_S, kib / 1024.0))
}

async fn measure(servers: usize, program: &std::path::Path) -> Result<Cost> {
    let dir = std::env::temp_dir().join(format!("paddleproxy-size-{}-{servers}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let record = Record::default();
    record.with(|observed| observed.processes = vec![Vec::new()]);
    let catalog = Catalog::new(record.clone());
    let servers_running: Vec<Rc<Server>> = (0..INITIAL_SERVERS)
        .map(|id| Server::start(record.clone(), id, kind_of(id)))
        .collect::<Result<_, _>>()?;
    let entry = |index: usize, health| ServerEntry {
        name: format!("server-{index:05}"),
        address: servers_running[index % INITIAL_SERVERS].address,
        zone: ZONES[index / SERVERS_PER_CELL % ZONES.len()].to_owned(),
        kind: servers_running[index % INITIAL_SERVERS].kind,
        cell: (index / SERVERS_PER_CELL) as u32,
        health,
        started_ms: None,
        start_wall_ms: 0.0,
    };
    (0..servers).for_each(|index| catalog.change(index, entry(index, "ready")));
    let agent = Agent::start(catalog.clone(), 0).await?;
    let listen = std::net::SocketAddr::from(([127, 90, (servers / 256) as u8, 1], 9000));
    let router = Router::new(record.clone(), 0, listen, program, &dir, 1)?;
    let allowed = Allowed { probes: false, cancel: true, second_copies: false };
    let known = catalog.whole();
    let list_bytes = known.to_string().len();
    router.configure(&configuration(&RouterParameters {
        router: 0,
        routers: servers,
        listen,
        discovery: agent.address,
        zones: &ZONES,
        known,
        allowed,
        seed: 1,
        longest_deadline_s: LONGEST_DEADLINE_S,
    }))?;
    router.start()?;
    anyhow::ensure!(
        router.wait_until_ready(Duration::from_secs(20)).await,
        "the router was not ready within 20 s"
    );
    let clients = Clients::new(record.clone(), vec![listen], 1, LONGEST_DEADLINE_S);
    let client_tasks: Vec<_> = (0..CONCURRENT_REQUESTS)
        .map(|_| {
            let clients = clients.clone();
            tokio::task::spawn_local(async move {
                let mut served = 0;
                for _ in 0..REQUESTS / CONCURRENT_REQUESTS {
                    served += usize::from(clients.request_once(0).await);
                }
                served
            })
        })
        .collect();
    for change in 0..LIST_CHANGES {
        let health = if change % 2 == 0 { "draining" } else { "ready" };
        catalog.change(change / 2, entry(change / 2, health));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut served = 0;
    for task in client_tasks {
        served += task.await?;
    }
    let (cpu_s, peak_mib) = cpu_and_peak_memory(router.pid().context("the router has ended")?)?;
    let descriptors = router.resources().context("the router has ended")?.0;
    router.terminate(Duration::from_secs(10)).await;
    std::fs::remove_dir_all(&dir)?;
    Ok(Cost { served, cpu_s, peak_mib, descriptors, list_bytes })
}

fn main() -> Result<()> {
    let program = PathBuf::from(std::env::args().nth(1).context("the path of the program is missing")?);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    println!("servers  served of {REQUESTS}  CPU s  peak MiB  descriptors  bytes of the whole list");
    for servers in [200, 800, 3200] {
        let local = tokio::task::LocalSet::new();
        let cost = local.block_on(&runtime, measure(servers, &program))?;
        let Cost { served, cpu_s, peak_mib, descriptors, list_bytes } = cost;
        println!(
            "{servers:>7}  {served:>14}  {cpu_s:>5.2}  {peak_mib:>8.1}  {descriptors:>11}  {list_bytes:>10}"
        );
    }
    Ok(())
}
