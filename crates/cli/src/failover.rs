//! Failover between zones, as operators see it and speak of it.

use std::net::SocketAddr;

use anyhow::{bail, ensure, Context, Result};
use hyper::Method;
use serde_json::{json, Value};

use crate::operators::{check_name, request};
use crate::FailoverCommand;

const MINUTE_MS: f64 = 60_000.0;

pub fn run(
    what: FailoverCommand,
    zone: Option<&str>,
    routers: &[SocketAddr],
    for_min: f64,
    as_json: bool,
) -> Result<bool> {
    let word = match (what, zone) {
        (FailoverCommand::Plan, None) => return plan(routers, None, as_json),
        (FailoverCommand::Plan, Some(_)) => bail!("'plan' takes no zone; 'explain' does"),
        (FailoverCommand::Explain, zone) => {
            let zone = zone.context("which zone? give its name")?;
            return plan(routers, Some(zone), as_json);
        }
        (FailoverCommand::Hold, _) => "hold",
        (FailoverCommand::DrainZone, _) => "drain-zone",
        (FailoverCommand::Return, _) => "return",
    };
    let zone = check_name(zone.context("which zone? give its name")?)?;
    ensure!(for_min.is_finite() && for_min >= 0.0, "--for is a time in minutes from 0");
    let path = format!("/failover/{word}?zone={zone}&for_ms={}", for_min * MINUTE_MS);
    // One is enough: it tells the others. A second would say it anew, under a stamp of its own.
    let mut last = None;
    for router in routers {
        match request(*router, Method::POST, &path) {
            Ok(said) => {
                match as_json {
                    true => println!("{}", json!({ "router": router, "said": said })),
                    false => println!("{router}: {word} {zone}, for {for_min} minutes"),
                }
                return Ok(true);
            }
            Err(cause) => last = Some(cause),
        }
    }
    Err(last.context("no router was named")?)
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn plan(routers: &[SocketAddr], zone: Option<&str>, as_json: bool) -> Result<bool> {
    let mut good = true;
    let mut pages = Vec::new();
    for router in routers {
        match request(*router, Method::GET, "/failover") {
            Ok(view) if as_json => println!("{}", json!({ "router": router, "failover": view })),
            Ok(view) => {
                pages.push(view["page"].clone());
                print!("{}", told(*router, &view, zone)?);
            }
            Err(cause) => {
                good = false;
                match as_json {
                    true => println!("{}", json!({ "router": router, "error": format!("{cause:#}") })),
                    false => println!("{router}: {cause:#}"),
                }
            }
        }
    }
    if pages.windows(2).any(|pair| pair[0] != pair[1]) {
        println!("* they go by different pages; within a lease that is how a new one comes about");
    }
    Ok(good)
}

fn told(router: SocketAddr, view: &Value, only: Option<&str>) -> Result<String> {
    let page = match view["page"].as_u64() {
        Some(page) => format!("page {page}, plan {}", view["plan"].as_u64().unwrap_or(0)),
        None => "no page in force: homes are where hashes say".to_owned(),
    };
    let (moved, all) = (view["moved"].as_f64().unwrap_or(0.0), view["completions"].as_f64().unwrap_or(0.0));
    let mut out = format!(
        "{} at {router} ({}): {}, {}; {page}; {:.4} of its completions had their home near\n",
        text(&view["name"]),
        text(&view["zone"]),
        text(&view["mind"]),
        text(&view["why"]),
        1.0 - moved / all.max(1.0),
    );
    let rows = view["zones"].as_array().into_iter().flatten();
    let rows: Vec<&Value> = rows.filter(|row| only.is_none_or(|only| row["zone"] == only)).collect();
    ensure!(!rows.is_empty(), "{router} knows no zone '{}'", only.unwrap_or_default());
    for row in rows {
        let moves = row["moves"].as_array().into_iter().flatten();
        let moves: Vec<_> = moves
            .map(|to| format!("{:.0}% to {}", to["share"].as_f64().unwrap_or(0.0) * 100.0, text(&to["to"])))
            .collect();
        let verdict = match row["verdict"]["is"].as_str() {
            Some("cut path") => format!("cut path from {}", row["verdict"]["from"]),
            Some("impaired") => {
                format!("impaired, carries {:.2}", row["verdict"]["carries"].as_f64().unwrap_or(0.0))
            }
            other => other.unwrap_or("-").to_owned(),
        };
        let number = |name: &str| row[name].as_f64().map_or("-".to_owned(), |value| format!("{value:.1}"));
        out += &format!(
            "  {:<10} {verdict}; asks {}/s, can {}/s; {}",
            text(&row["zone"]),
            number("demand_per_s"),
            number("capacity_per_s"),
            if moves.is_empty() { "homes are near".to_owned() } else { moves.join(", ") },
        );
        if let Some(word) = row["word"]["word"].as_str() {
            let left = row["word"]["left_ms"].as_f64().unwrap_or(0.0) / MINUTE_MS;
            out += &format!("; operators said {word}, {left:.1} minutes left");
        }
        if let Some(flaps) = row["flaps"].as_u64().filter(|flaps| *flaps > 0) {
            out += &format!("; went out {flaps} times while it came back, so it comes back slower");
        }
        out.push('\n');
        if only.is_some() {
            out += &seen(row);
        }
    }
    Ok(out)
}

/// What routers of each zone met there of late.
fn seen(row: &Value) -> String {
    let mut out = format!(
        "    {:<10} {:>7} {:>9} {:>6} {:>8} {:>7} {:>7} {:>6} {:>9} {:>7}\n",
        "seen from",
        "routers",
        "in target",
        "late",
        "refused",
        "silent",
        "broken",
        "full",
        "answered",
        "usable"
    );
    for seen in row["seen"].as_array().into_iter().flatten() {
        let count = |name: &str| format!("{:.1}", seen[name].as_f64().unwrap_or(0.0));
        out += &format!(
            "    {:<10} {:>7} {:>9} {:>6} {:>8} {:>7} {:>7} {:>6} {:>9} {:>7}\n",
            text(&seen["from"]),
            seen["routers"],
            count("in_target"),
            count("late"),
            count("refused"),
            count("silent"),
            count("broken"),
            count("full"),
            count("answered"),
            format!("{}/{}", seen["usable"], seen["listed"]),
        );
    }
    out
}
