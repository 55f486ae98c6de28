//! What operators request of running routers and say to them, over the admin port.

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

const WITHIN: Duration = Duration::from_secs(5);

/// One short question to an admin port.
pub fn request(router: SocketAddr, method: Method, path: &str) -> Result<Value> {
    ensure!(router.ip().is_loopback(), "{router} is not on the loopback range");
    block_on_local_set(async move {
        let answer = timeout(WITHIN, exchange(router, method, path)).await;
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
    let good = answer.status() == StatusCode::OK;
    let body = answer.into_body().collect().await.with_context(|| format!("hearing {router}"))?.to_bytes();
    let value: Value = serde_json::from_slice(&body)
        .with_context(|| format!("{router} answered '{}'", String::from_utf8_lossy(&body)))?;
    ensure!(good, "{router}: {}", value["error"].as_str().unwrap_or_default());
    Ok(value)
}

pub fn check_name(name: &str) -> Result<&str> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.+:".contains(&byte);
    ensure!(!name.is_empty() && name.bytes().all(plain), "'{name}' is no name");
    Ok(name)
}

pub fn workers(
    what: WorkersCommand,
    name: Option<&str>,
    routers: &[SocketAddr],
    as_json: bool,
) -> Result<bool> {
    let path = match (what, name) {
        (WorkersCommand::List, None) => return list(routers, as_json, false),
        (WorkersCommand::Accept, None) => "/list/accept".to_owned(),
        (WorkersCommand::List | WorkersCommand::Accept, Some(_)) => bail!("this takes no name"),
        (_, None) => bail!("which server? give its name"),
        (WorkersCommand::Drain, Some(name)) => format!("/workers/drain?name={}", check_name(name)?),
        (WorkersCommand::Undrain, Some(name)) => format!("/workers/undrain?name={}", check_name(name)?),
        (WorkersCommand::Quarantine, Some(name)) => format!("/workers/quarantine?name={}", check_name(name)?),
    };
    let mut good = true;
    for router in routers {
        // One router that can't be reached must not keep the others from hearing.
        match request(*router, Method::POST, &path) {
            Ok(answer) if as_json => {
                println!("{}", json!({ "router": router, "revision": answer["revision"] }))
            }
            Ok(answer) => println!("{router}: list revision {}", answer["revision"]),
            Err(cause) => {
                good = false;
                eprintln!("{cause:#}");
            }
        }
    }
    Ok(good)
}

pub fn status(routers: &[SocketAddr], as_json: bool) -> Result<bool> {
    list(routers, as_json, true)
}

fn list(routers: &[SocketAddr], as_json: bool, sources: bool) -> Result<bool> {
    let mut good = true;
    for router in routers {
        match request(*router, Method::GET, "/status") {
            Ok(answer) if as_json => println!("{}", json!({ "router": router, "status": answer })),
            Ok(answer) => print!("{}", text(*router, &answer, sources)),
            Err(cause) => {
                good = false;
                eprintln!("{cause:#}");
            }
        }
    }
    Ok(good)
}

fn seconds(value: &Value) -> String {
    value.as_f64().map_or("-".into(), |ms| format!("{:.1} s", ms / 1e3))
}

fn text(router: SocketAddr, status: &Value, sources: bool) -> String {
    let word = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let list = &status["list"];
    let mut text = format!("{router}: list revision {}\n", list["revision"]);
    if sources {
        for row in list["sources"].as_array().into_iter().flatten() {
            let leads = if row["leads"] == true { ", leads" } else { "" };
            let stale = if row["stale"] == true { ", stale" } else { "" };
            let silent = seconds(&row["silent_ms"]);
            let (name, version, refused) = (word(&row["name"]), &row["version"], &row["refused"]);
            text += &format!(
                "  source {name}: version {version}, heard {silent} ago{leads}{stale}, {refused} refused\n"
            );
            if let Some(why) = row["last_refused"].as_str() {
                text += &format!("    last refused: {}\n", why.replace('\n', "\n      "));
            }
        }
        if let [why, since] = list["held"].as_array().map_or(&[][..], Vec::as_slice) {
            text += &format!("  held for {}: {}\n", seconds(since), word(why));
        }
        let stands = &status["peers"];
        if let Some(mind) = stands["mind"].as_str() {
            text += &format!(
                "  fellows: {mind}, {}; same view as {} of {}, page {}\n",
                word(&stands["why"]),
                stands["same"],
                stands["of"],
                stands["page"]
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
        let (name, phase, by) = (word(&row["name"]), word(&row["phase"]), word(&row["by"]));
        let (address, weight, since) = (word(&row["address"]), &row["weight"], seconds(&row["for_ms"]));
        text +=
            &format!("  {name:<16} {phase:<12} by {by:<9} for {since:<10} weight {weight:<6} {address}\n");
    }
    text
}
