//! Requests to running routers over the admin port; the `status` and `workers` commands.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{bail, ensure, Context, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::handshake;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::run::block_on_local_set;
use crate::WorkersCommand;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends one request to a router's admin port and returns the JSON answer.
pub fn request(router: SocketAddr, method: Method, path: &str) -> Result<Value> {
    ensure!(router.ip().is_loopback(), "{router} is not on the loopback range");
    block_on_local_set(async move {
        let answer = timeout(ANSWER_TIMEOUT, exchange(router, method, path)).await;
        answer.with_context(|| format!("{router} does not answer"))?
    })
}

async fn exchange(router: SocketAddr, method: Method, path: &str) -> Result<Value> {
    let stream = TcpStream::connect(router).await.with_context(|| format!("reaching {router}"))?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move { drop(connection.await) });
    let request = Request::builder().method(method).uri(path).header("host", router.to_string());
    let answer = sender.send_request(request.body(Empty::<Bytes>::new())?).await;
    let answer = answer.with_context(|| format!("hearing {router}"))?;
    let success = answer.status() == StatusCode::OK;
    let body = answer.into_body().collect().await.with_context(|| format!("hearing {router}"))?.to_bytes();
    let value: Value = serde_json::from_slice(&body)
        .with_context(|| format!("{router} answered '{}'", String::from_utf8_lossy(&body)))?;
    ensure!(success, "{router}: {}", value["error"].as_str().unwrap_or_default());
    Ok(value)
}

/// Checks that a name can stand in a query string without escaping.
pub fn check_name(name: &str) -> Result<&str> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.+:".contains(&byte);
    ensure!(!name.is_empty() && name.bytes().all(allowed), "'{name}' is not a valid name");
    Ok(name)
}

pub fn workers(
    command: WorkersCommand,
    name: Option<&str>,
    routers: &[SocketAddr],
    as_json: bool,
) -> Result<bool> {
    let path = match (command, name) {
        (WorkersCommand::List, None) => return list(routers, as_json, false),
        (WorkersCommand::Accept, None) => "/list/accept".to_owned(),
        (WorkersCommand::List | WorkersCommand::Accept, Some(_)) => bail!("'list' and 'accept' take no name"),
        (_, None) => bail!("a server name is required"),
        (WorkersCommand::Drain, Some(name)) => format!("/workers/drain?name={}", check_name(name)?),
        (WorkersCommand::Undrain, Some(name)) => format!("/workers/undrain?name={}", check_name(name)?),
        (WorkersCommand::Quarantine, Some(name)) => format!("/workers/quarantine?name={}", check_name(name)?),
    };
    let mut all_answered = true;
    for router in routers {
        // The remaining routers still get the command if one of them can't be reached.
        match request(*router, Method::POST, &path) {
            Ok(answer) if as_json => {
                println!("{}", json!({ "router": router, "revision": answer["revision"] }))
            }
            Ok(answer) => println!("{router}: list revision {}", answer["revision"]),
            Err(error) => {
                all_answered = false;
                eprintln!("{error:#}");
            }
        }
    }
    Ok(all_answered)
}

pub fn status(routers: &[SocketAddr], as_json: bool) -> Result<bool> {
    list(routers, as_json, true)
}

fn list(routers: &[SocketAddr], as_json: bool, sources: bool) -> Result<bool> {
    let mut all_answered = true;
    for router in routers {
        match request(*router, Method::GET, "/status") {
            Ok(answer) if as_json => println!("{}", json!({ "router": router, "status": answer })),
            Ok(answer) => print!("{}", status_text(*router, &answer, sources)),
            Err(error) => {
                all_answered = false;
                eprintln!("{error:#}");
            }
        }
    }
    Ok(all_answered)
}

fn seconds(value: &Value) -> String {
    value.as_f64().map_or("-".into(), |ms| format!("{:.1} s", ms / 1e3))
}

/// One router's status as text; `sources` adds where its list comes from, its peers and its settings.
fn status_text(router: SocketAddr, status: &Value, sources: bool) -> String {
    let string = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let list = &status["list"];
    let mut text = format!("{router}: list revision {}\n", list["revision"]);
    if sources {
        for row in list["sources"].as_array().into_iter().flatten() {
            let leads = if row["leads"] == true { ", leads" } else { "" };
            let stale = if row["stale"] == true { ", stale" } else { "" };
            let silent = seconds(&row["silent_ms"]);
            let (name, version, refused) = (string(&row["name"]), &row["version"], &row["refused"]);
            text += &format!(
                "  source {name}: version {version}, heard {silent} ago{leads}{stale}, {refused} refused\n"
            );
            if let Some(why) = row["last_refused"].as_str() {
                text += &format!("    last refused: {}\n", why.replace('\n', "\n      "));
            }
        }
        if let [why, since] = list["held"].as_array().map_or(&[][..], Vec::as_slice) {
            text += &format!("  held for {}: {}\n", seconds(since), string(why));
        }
        let peers = &status["peers"];
        if let Some(cluster_status) = peers["mind"].as_str() {
            text += &format!(
                "  fellows: {cluster_status}, {}; same view as {} of {}, page {}\n",
                string(&peers["why"]),
                peers["same"],
                peers["of"],
                peers["page"]
            );
        }
        let settings = &status["settings"];
        text +=
            &format!("  settings: {} changes taken, {} refused\n", settings["taken"], settings["refused"]);
        if let Some(why) = settings["last_refused"].as_str() {
            text += &format!("    last refused: {why}\n");
        }
    }
    for row in list["servers"].as_array().into_iter().flatten() {
        let (name, phase, by) = (string(&row["name"]), string(&row["phase"]), string(&row["by"]));
        let (address, weight, since) = (string(&row["address"]), &row["weight"], seconds(&row["for_ms"]));
        text +=
            &format!("  {name:<16} {phase:<12} by {by:<9} for {since:<10} weight {weight:<6} {address}\n");
    }
    text
}
