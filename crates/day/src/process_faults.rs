//! Injects faults into router processes and the links between them, and polls the routers' admin ports for
//! what they report about their peers and the failover plan.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use paddleproxy_fleet::record::What as RecordWhat;
use paddleproxy_settings::day::Trouble;
use paddleproxy_settings::process_faults::{Fault, RestartState};
use rustix::process::Signal;
use serde_json::Value;
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::scenario::RunningScenario;

/// Interval at which each router is polled, and the timeout of one admin request, in ms.
const POLL_INTERVAL_MS: f64 = 150.0;
const REQUEST_TIMEOUT_MS: f64 = 400.0;
/// Time within which each running router is polled and has answered, whenever that time starts within its
/// polling round: two requests of the round that is already running, and the first request of the next one.
pub const POLL_ROUND_MS: f64 = 3.0 * REQUEST_TIMEOUT_MS;
/// Time for which an operator command is retried until a router accepts it, in ms.
const COMMAND_TIMEOUT_MS: f64 = 5000.0;

fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}

/// Runs one fault from its start to its end and records both.
pub async fn run_fault(scenario: &Rc<RunningScenario>, trouble: &Trouble, fault: &Fault) {
    let Some(mesh) = scenario.mesh.clone() else { return };
    let routers = match fault {
        Fault::Link { from, to, carries, .. } => mesh.affected_routers(from, to, *carries),
        fault => fault.routers().to_vec(),
    };
    let record_fault = |begins| {
        let (name, routers) = (fault.name().to_owned(), routers.clone());
        scenario.record.add(RecordWhat::Fault { name, routers, begins });
    };
    record_fault(true);
    let end = Instant::now() + duration(trouble.for_ms);
    match fault {
        Fault::Link { from, to, both, carries, condition } => {
            let id = mesh.add_fault(from, to, *both, *carries, *condition);
            sleep_until(end).await;
            mesh.remove_fault(id);
        }
        Fault::Killed { routers, state } => {
            for router in routers {
                scenario.kill_router(*router).await;
            }
            sleep_until(end).await;
            for router in routers {
                scenario.set_state_dir(*router, *state);
                scenario.start_router(*router).await;
            }
        }
        Fault::Paused { routers } => {
            routers.iter().for_each(|router| scenario.signal(*router, Signal::STOP));
            sleep_until(end).await;
            routers.iter().for_each(|router| scenario.signal(*router, Signal::CONT));
        }
        Fault::Starved { routers, runs_ms, of_ms } => {
            while Instant::now() < end {
                routers.iter().for_each(|router| scenario.signal(*router, Signal::STOP));
                sleep(duration(of_ms - runs_ms)).await;
                routers.iter().for_each(|router| scenario.signal(*router, Signal::CONT));
                sleep(duration(*runs_ms)).await;
            }
        }
        Fault::Restarted { routers, every_ms, router_count } => {
            for router in routers {
                let next = Instant::now() + duration(*every_ms);
                if router_count.is_some() {
                    scenario.router_counts.borrow_mut()[*router] = *router_count;
                }
                scenario.stop_router(*router).await;
                scenario.start_router(*router).await;
                sleep_until(next).await;
            }
            sleep_until(end).await;
        }
        Fault::DuplicateRouter { router } => {
            let second_process = scenario.start_duplicate_router(*router).await;
            sleep_until(end).await;
            drop(second_process);
        }
        Fault::Noise { routers, per_s } => send_noise(scenario, routers, *per_s, end).await,
        Fault::OperatorCommand { zone, command, for_ms } => {
            let path = format!("/failover/{command}?zone={zone}&for_ms={for_ms}");
            let until = Instant::now() + duration(COMMAND_TIMEOUT_MS);
            while !send_command(scenario, &path).await {
                if Instant::now() >= until {
                    scenario.record_failure(format!(
                        "no router accepted the operator command '{command}' for zone '{zone}'"
                    ));
                    break;
                }
                sleep(duration(POLL_INTERVAL_MS)).await;
            }
        }
    }
    record_fault(false);
}

/// Sends an operator command to the routers in turn until one accepts it; false if none did.
async fn send_command(scenario: &RunningScenario, path: &str) -> bool {
    for address in (0..scenario.day.routers).filter_map(|router| scenario.admin(router)) {
        if timeout(duration(REQUEST_TIMEOUT_MS), admin_request(address, Method::POST, path))
            .await
            .ok()
            .flatten()
            .is_some()
        {
            return true;
        }
    }
    false
}

/// Sends datagrams of random length and content, in bursts every 10 ms.
async fn send_noise(scenario: &Rc<RunningScenario>, routers: &[usize], per_s: f64, end: Instant) {
    let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else { return };
    let mut rng = fastrand::Rng::with_seed(scenario.day.seed);
    let burst = (per_s / 100.0).ceil() as usize;
    while Instant::now() < end {
        for router in routers {
            let Some(to) = scenario.mesh.as_ref().and_then(|mesh| mesh.listen_address(*router)) else {
                continue;
            };
            for _ in 0..burst {
                let mut bytes = vec![0; rng.usize(..1400)];
                rng.fill(&mut bytes);
                // About half of them start with the first byte of a valid packet.
                if let Some(first) = bytes.first_mut().filter(|_| rng.bool()) {
                    *first = 0xb7;
                }
                let _ = socket.try_send_to(&bytes, to);
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Polls the admin port of one router and records what it reports about its peers and the failover plan,
/// while `on` is true.
pub async fn poll_router(scenario: Rc<RunningScenario>, router: usize, on: Rc<Cell<bool>>) {
    while on.get() {
        let next = Instant::now() + duration(POLL_INTERVAL_MS);
        let asked_ms = scenario.record.now_ms();
        let address = scenario.admin(router);
        if let Some(address) = address {
            if let Ok(Some(status)) = timeout(duration(REQUEST_TIMEOUT_MS), peer_status(address)).await {
                if let Some(line) = peers_line(router, asked_ms, &status) {
                    scenario.record.add(line);
                }
            }
            if scenario.day.router.failover.is_some() {
                let asked_ms = scenario.record.now_ms();
                let plan =
                    timeout(duration(REQUEST_TIMEOUT_MS), admin_request(address, Method::GET, "/failover"))
                        .await;
                if let Some(line) =
                    plan.ok().flatten().and_then(|status| plan_line(router, asked_ms, &status))
                {
                    scenario.record.add(line);
                }
            }
        }
        sleep_until(next).await;
    }
}

pub async fn peer_status(address: SocketAddr) -> Option<Value> {
    admin_request(address, Method::GET, "/peers").await
}

/// Sends one request to an admin port; None if it fails or the status is not 200.
async fn admin_request(address: SocketAddr, method: Method, path: &str) -> Option<Value> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move { drop(connection.await) });
    let request = Request::builder().method(method).uri(path).header("host", address.to_string());
    let answer = sender.send_request(request.body(Empty::<Bytes>::new()).ok()?).await.ok()?;
    let ok = answer.status() == StatusCode::OK;
    let body = answer.into_body().collect().await.ok().filter(|_| ok)?.to_bytes();
    serde_json::from_slice(&body).ok()
}

fn plan_line(router: usize, asked_ms: f64, status: &Value) -> Option<RecordWhat> {
    let zones = || status["zones"].as_array().into_iter().flatten();
    let name = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let number = |value: &Value| value.as_f64().unwrap_or(0.0);
    let moves = zones().flat_map(|row| {
        let to = row["moves"].as_array().into_iter().flatten();
        to.map(|to| (name(&row["zone"]), name(&to["to"]), number(&to["share"])))
    });
    Some(RecordWhat::Plan {
        router,
        asked_ms,
        status: name(&status["mind"]),
        allocation: status["page"].as_u64().unwrap_or(0),
        plan: status["plan"].as_u64().unwrap_or(0),
        moves: moves.collect(),
        verdicts: zones().map(|row| (name(&row["zone"]), name(&row["verdict"]["is"]))).collect(),
        capacities: zones()
            .map(|row| (name(&row["zone"]), number(&row["demand_per_s"]), number(&row["capacity_per_s"])))
            .collect(),
        completions: status["completions"].as_u64()?,
        moved: status["moved"].as_u64()?,
    })
}

fn peers_line(router: usize, asked_ms: f64, status: &Value) -> Option<RecordWhat> {
    let members = status["members"].as_array()?;
    let router_index = |row: &Value| Some(row["place"].as_u64()? as usize);
    let alive = |row: &&Value| row["state"] == "alive" || row["state"] == "suspect";
    let router_indices = |name: &str| {
        let rows = status[name].as_array().into_iter().flatten();
        rows.filter_map(|index| Some(index.as_u64()? as usize)).collect()
    };
    Some(RecordWhat::PeerStatus {
        router,
        asked_ms,
        generation: status["life"].as_u64()?,
        status: status["mind"].as_str()?.to_owned(),
        shares: status["shares"]["of"].as_array()?.iter().filter_map(Value::as_f64).collect(),
        allocation: status["page"]["number"].as_u64()?,
        digest: status["digest"].as_u64()? as u32,
        alive: members.iter().filter(alive).filter_map(router_index).collect(),
        failed: members
            .iter()
            .filter(|row| row["state"] == "failed")
            .filter_map(|row| Some((router_index(row)?, row["life"].as_u64()?)))
            .collect(),
        not_hearing: router_indices("deaf_to"),
        not_heard_by: router_indices("unheard_by"),
    })
}

impl RunningScenario {
    pub fn signal(&self, router: usize, signal: Signal) {
        let children = self.children.borrow();
        let id = children[router].as_ref().and_then(|child| child.id());
        if let Some(pid) = id.and_then(|id| rustix::process::Pid::from_raw(id as i32)) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Prepares the state directory that a stopped router finds at its next start.
    fn set_state_dir(&self, router: usize, state: RestartState) {
        let own = self.state_dir(router);
        let replaced = match state {
            RestartState::Own => Ok(()),
            RestartState::Empty => std::fs::remove_dir_all(&own),
            RestartState::Others => {
                let other = self.state_dir((router + 1) % self.day.routers);
                std::fs::copy(other.join("life"), own.join("life")).map(drop)
            }
        };
        if let Err(cause) = replaced {
            self.record_failure(format!("preparing the state directory of router {router}: {cause}"));
        }
    }
}
