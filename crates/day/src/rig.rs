//! Brings about faults between processes, and asks routers what they say of their fellows.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use paddleproxy_fleet::record::What as Line;
use paddleproxy_settings::day::Trouble;
use paddleproxy_settings::rig::{Fault, State};
use rustix::process::Signal;
use serde_json::Value;
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::stage::Stage;

/// How often each router is asked, and how long an answer may take, in ms.
const ASKS_MS: f64 = 150.0;
const WITHIN_MS: f64 = 400.0;
/// In which each router is asked and answers, however late in its round the time begins: two questions and an answer.
pub const ROUND_MS: f64 = 3.0 * WITHIN_MS;
/// How long an operator tries to say something to anybody, in ms.
const TOLD_WITHIN_MS: f64 = 5000.0;

fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}

/// One fault, from its beginning to its end.
pub async fn befall(stage: &Rc<Stage>, trouble: &Trouble, fault: &Fault) {
    let Some(mesh) = stage.mesh.clone() else { return };
    let routers = match fault {
        Fault::Link { from, to, carries, .. } => mesh.touched(from, to, *carries),
        fault => fault.routers().to_vec(),
    };
    let note = |begins| {
        let (name, routers) = (fault.name().to_owned(), routers.clone());
        stage.record.add(Line::Fault { name, routers, begins });
    };
    note(true);
    let ends = Instant::now() + duration(trouble.for_ms);
    match fault {
        Fault::Link { from, to, both, carries, weather } => {
            let id = mesh.begin(from, to, *both, *carries, *weather);
            sleep_until(ends).await;
            mesh.end(id);
        }
        Fault::Killed { routers, state } => {
            for router in routers {
                stage.kill_router(*router).await;
            }
            sleep_until(ends).await;
            for router in routers {
                stage.with_state(*router, *state);
                stage.start_router(*router).await;
            }
        }
        Fault::Paused { routers } => {
            routers.iter().for_each(|router| stage.signal(*router, Signal::STOP));
            sleep_until(ends).await;
            routers.iter().for_each(|router| stage.signal(*router, Signal::CONT));
        }
        Fault::Starved { routers, runs_ms, of_ms } => {
            while Instant::now() < ends {
                routers.iter().for_each(|router| stage.signal(*router, Signal::STOP));
                sleep(duration(of_ms - runs_ms)).await;
                routers.iter().for_each(|router| stage.signal(*router, Signal::CONT));
                sleep(duration(*runs_ms)).await;
            }
        }
        Fault::Restarted { routers, every_ms, places } => {
            for router in routers {
                let next = Instant::now() + duration(*every_ms);
                if places.is_some() {
                    stage.places.borrow_mut()[*router] = *places;
                }
                stage.stop_router(*router).await;
                stage.start_router(*router).await;
                sleep_until(next).await;
            }
            sleep_until(ends).await;
        }
        Fault::Namesake { router } => {
            let extra = stage.start_namesake(*router).await;
            sleep_until(ends).await;
            drop(extra);
        }
        Fault::Noise { routers, per_s } => noise(stage, routers, *per_s, ends).await,
        Fault::Said { zone, word, for_ms } => {
            let path = format!("/failover/{word}?zone={zone}&for_ms={for_ms}");
            let until = Instant::now() + duration(TOLD_WITHIN_MS);
            while !told(stage, &path).await {
                if Instant::now() >= until {
                    stage.fail(format!("nobody took '{word}' of zone '{zone}'"));
                    break;
                }
                sleep(duration(ASKS_MS)).await;
            }
        }
    }
    note(false);
}

/// Says something to the first router that takes it; whether one did.
async fn told(stage: &Stage, path: &str) -> bool {
    for at in (0..stage.day.routers).filter_map(|router| stage.admin(router)) {
        if timeout(duration(WITHIN_MS), asked(at, Method::POST, path)).await.ok().flatten().is_some() {
            return true;
        }
    }
    false
}

/// Bytes of random length and content, in bursts of a hundredth of a second.
async fn noise(stage: &Rc<Stage>, routers: &[usize], per_s: f64, ends: Instant) {
    let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else { return };
    let mut rng = fastrand::Rng::with_seed(stage.day.seed);
    let each = (per_s / 100.0).ceil() as usize;
    while Instant::now() < ends {
        for router in routers {
            let Some(to) = stage.mesh.as_ref().and_then(|mesh| mesh.real(*router)) else { continue };
            for _ in 0..each {
                let mut bytes = vec![0; rng.usize(..1400)];
                rng.fill(&mut bytes);
                // Some begin as a letter does.
                if let Some(first) = bytes.first_mut().filter(|_| rng.bool()) {
                    *first = 0xb7;
                }
                let _ = socket.try_send_to(&bytes, to);
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Asks one router what it says of its fellows as long as `on` holds.
pub async fn ask(stage: Rc<Stage>, router: usize, on: Rc<Cell<bool>>) {
    while on.get() {
        let next = Instant::now() + duration(ASKS_MS);
        let asked_ms = stage.record.now_ms();
        let at = stage.admin(router);
        if let Some(at) = at {
            if let Ok(Some(view)) = timeout(duration(WITHIN_MS), view(at)).await {
                if let Some(line) = said(router, asked_ms, &view) {
                    stage.record.add(line);
                }
            }
            if stage.day.router.failover.is_some() {
                let asked_ms = stage.record.now_ms();
                let plan = timeout(duration(WITHIN_MS), asked(at, Method::GET, "/failover")).await;
                if let Some(line) = plan.ok().flatten().and_then(|view| planned(router, asked_ms, &view)) {
                    stage.record.add(line);
                }
            }
        }
        sleep_until(next).await;
    }
}

pub async fn view(at: SocketAddr) -> Option<Value> {
    asked(at, Method::GET, "/peers").await
}

/// One question to an admin port; none where the answer is no.
async fn asked(at: SocketAddr, method: Method, path: &str) -> Option<Value> {
    let stream = TcpStream::connect(at).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move { drop(connection.await) });
    let request = Request::builder().method(method).uri(path).header("host", at.to_string());
    let answer = sender.send_request(request.body(Empty::<Bytes>::new()).ok()?).await.ok()?;
    let good = answer.status() == StatusCode::OK;
    let body = answer.into_body().collect().await.ok().filter(|_| good)?.to_bytes();
    serde_json::from_slice(&body).ok()
}

fn planned(router: usize, asked_ms: f64, view: &Value) -> Option<Line> {
    let zones = || view["zones"].as_array().into_iter().flatten();
    let name = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let number = |value: &Value| value.as_f64().unwrap_or(0.0);
    let moves = zones().flat_map(|row| {
        let to = row["moves"].as_array().into_iter().flatten();
        to.map(|to| (name(&row["zone"]), name(&to["to"]), number(&to["share"])))
    });
    Some(Line::Plan {
        router,
        asked_ms,
        status: name(&view["mind"]),
        allocation: view["page"].as_u64().unwrap_or(0),
        plan: view["plan"].as_u64().unwrap_or(0),
        moves: moves.collect(),
        verdicts: zones().map(|row| (name(&row["zone"]), name(&row["verdict"]["is"]))).collect(),
        capacities: zones()
            .map(|row| (name(&row["zone"]), number(&row["demand_per_s"]), number(&row["capacity_per_s"])))
            .collect(),
        completions: view["completions"].as_u64()?,
        moved: view["moved"].as_u64()?,
    })
}

fn said(router: usize, asked_ms: f64, view: &Value) -> Option<Line> {
    let members = view["members"].as_array()?;
    let place = |row: &Value| Some(row["place"].as_u64()? as usize);
    let here = |row: &&Value| row["state"] == "alive" || row["state"] == "suspect";
    let places = |name: &str| {
        let rows = view[name].as_array().into_iter().flatten();
        rows.filter_map(|place| Some(place.as_u64()? as usize)).collect()
    };
    Some(Line::PeerStatus {
        router,
        asked_ms,
        generation: view["life"].as_u64()?,
        status: view["mind"].as_str()?.to_owned(),
        shares: view["shares"]["of"].as_array()?.iter().filter_map(Value::as_f64).collect(),
        allocation: view["page"]["number"].as_u64()?,
        digest: view["digest"].as_u64()? as u32,
        alive: members.iter().filter(here).filter_map(place).collect(),
        failed: members
            .iter()
            .filter(|row| row["state"] == "failed")
            .filter_map(|row| Some((place(row)?, row["life"].as_u64()?)))
            .collect(),
        not_hearing: places("deaf_to"),
        not_heard_by: places("unheard_by"),
    })
}

impl Stage {
    pub fn signal(&self, router: usize, signal: Signal) {
        let children = self.children.borrow();
        let id = children[router].as_ref().and_then(|child| child.id());
        if let Some(pid) = id.and_then(|id| rustix::process::Pid::from_raw(id as i32)) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// What a router that is down finds in its state directory.
    fn with_state(&self, router: usize, state: State) {
        let own = self.state_dir(router);
        let replaced = match state {
            State::Own => Ok(()),
            State::Empty => std::fs::remove_dir_all(&own),
            State::Others => {
                let other = self.state_dir((router + 1) % self.day.routers);
                std::fs::copy(other.join("life"), own.join("life")).map(drop)
            }
        };
        if let Err(cause) = replaced {
            self.fail(format!("state of router {router}: {cause}"));
        }
    }
}
