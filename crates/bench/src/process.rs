//! Starts the router and the fleet as processes and reads their resource use.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use paddleproxy_engine::ServerList;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

pub struct Program {
    child: Child,
    /// The JSON line that it prints when it is ready.
    pub startup: serde_json::Value,
}

impl Program {
    pub async fn start(program: &Path, command: &str, config: &str, dir: &Path) -> Result<Program> {
        let file = dir.join(format!("{command}.kdl"));
        std::fs::write(&file, config)?;
        let mut child = Command::new(program)
            .args([command, "--config"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("starting {}", program.display()))?;
        let out = child.stdout.take().context("the program has no output pipe")?;
        let line = timeout(Duration::from_secs(20), BufReader::new(out).lines().next_line()).await??;
        let startup =
            serde_json::from_str(&line.with_context(|| format!("{command} ended without a startup line"))?)?;
        Ok(Program { child, startup })
    }

    fn read_proc(&self, name: &str) -> Result<String> {
        let pid = self.child.id().context("the process has ended")?;
        Ok(std::fs::read_to_string(format!("/proc/{pid}/{name}"))?)
    }

    /// CPU time of its main thread so far, in microseconds; 0 if the system does not report it.
    pub fn cpu_us(&self) -> f64 {
        let text = self.read_proc("schedstat").unwrap_or_default();
        text.split(' ').next().and_then(|nanos| nanos.parse::<f64>().ok()).map_or(0.0, |nanos| nanos / 1e3)
    }

    /// Resident memory, in MiB.
    pub fn memory_mib(&self) -> Result<f64> {
        let pid = self.child.id().context("the process has ended")?;
        paddleproxy_day::resident_mib(&pid.to_string()).context("/proc/PID/status has no VmRSS line")
    }

    pub async fn stop(mut self) {
        let _ = self.child.kill().await;
    }
}

const ROUTER: &str = include_str!("../../../examples/router.kdl");
const FLEET: &str = include_str!("../../../examples/fleet.kdl");

/// The example router with free ports, the given list service, and limits that the loads don't reach.
pub fn router_config(list: SocketAddr, dir: &Path, max_completions: usize) -> String {
    ROUTER
        .replace("127.0.0.1:8080", "127.0.0.1:0")
        .replace("127.0.0.1:8081", "127.0.0.1:0")
        .replace("127.0.0.1:8090", &list.to_string())
        .replace("state/router-0", &dir.join("state").display().to_string())
        .replace("open-completions 4000", &format!("open-completions {max_completions}"))
        .replace("open 3000", "open 20000")
        .replace("requests-per-s 2000", "requests-per-s 200000")
        .replace("tokens-per-s \"20M\"", "tokens-per-s \"2000M\"")
        .replace("connections 6000", "connections 20000")
}

/// A fleet of mixed servers only, practically without limits on slots, memory and read rate, with the given
/// time per token.
pub fn fleet_config(servers: usize, token_ms: f64) -> String {
    let head = FLEET.split("    servers ").next().unwrap_or_default();
    let unlimited = head
        .replace("127.0.0.1:8090", "127.0.0.1:0")
        .replace("slots 48", "slots 100000")
        .replace("memory \"200k\"", "memory \"1000M\"")
        .replace("read-rate \"10k\"", "read-rate \"1000M\"")
        .replace("token-time \"20ms\"", &format!("token-time \"{token_ms}ms\""));
    let mut text = unlimited;
    for cell in 0..servers.div_ceil(10) {
        let count = 10.min(servers - cell * 10);
        text.push_str(&format!(
            "    servers \"c{cell}-\" kind=\"mixed\" zone=\"north\" cell={cell} count={count}\n"
        ));
    }
    text + "}\n"
}

async fn get(address: SocketAddr, path: &str) -> Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream
        .write_all(format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").as_bytes())
        .await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    let (head, body) = response.split_once("\r\n\r\n").context("incomplete HTTP response")?;
    if !head.starts_with("HTTP/1.1 200") {
        bail!("{path}: {}", head.lines().next().unwrap_or_default());
    }
    Ok(body.to_owned())
}

/// Waits until a router is ready, that is, has received its list.
pub async fn wait_until_ready(admin: SocketAddr) -> Result<()> {
    for _ in 0..1000 {
        if get(admin, "/healthz").await.is_ok() {
            return Ok(());
        }
        sleep(Duration::from_millis(10)).await;
    }
    bail!("the router did not become ready in time")
}

/// Number of memory allocations of a router so far; `None` if it was built without counting them.
pub async fn allocations(admin: SocketAddr) -> Option<f64> {
    let text = get(admin, "/metrics").await.ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("paddleproxy_allocations_total "))?;
    line.parse().ok()
}

/// Address of the first server in the list.
pub async fn first_server(list: SocketAddr) -> Result<SocketAddr> {
    let list: ServerList = serde_json::from_str(&get(list, "/v1/servers?router=0&wait_ms=0").await?)?;
    Ok(list.servers.first().context("the list has no servers")?.address.parse()?)
}
