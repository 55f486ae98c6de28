//! `failover`: shows the routers' failover plan and sends operator commands for a zone.

use std::net::SocketAddr;

use anyhow::{bail, ensure, Context, Result};
use hyper::Method;
use serde_json::{json, Value};

use crate::operators::{check_name, request};
use crate::FailoverCommand;

const MINUTE_MS: f64 = 60_000.0;

pub fn run(
    command: FailoverCommand,
    zone: Option<&str>,
    routers: &[SocketAddr],
    for_min: f64,
    as_json: bool,
) -> Result<bool> {
    let path_segment = match (command, zone) {
        (FailoverCommand::Plan, None) => return plan(routers, None, as_json),
        (FailoverCommand::Plan, Some(_)) => bail!("'plan' takes no zone; 'explain' does"),
        (FailoverCommand::Explain, zone) => {
            let zone = zone.context("a zone name is required")?;
            return plan(routers, Some(zone), as_json);
        }
        (FailoverCommand::Hold, _) => "hold",
        (FailoverCommand::DrainZone, _) => "drain-zone",
        (FailoverCommand::Return, _) => "return",
    };
    let zone = check_name(zone.context("a zone name is required")?)?;
    ensure!(for_min.is_finite() && for_min >= 0.0, "--for must be a finite number of minutes, 0 or more");
    let path = format!("/failover/{path_segment}?zone={zone}&for_ms={}", for_min * MINUTE_MS);
    // One router is enough: it passes the command on to the others. Sending it to a second router would issue
    // another command with a stamp of its own.
    let mut last_error = None;
    for router in routers {
        match request(*router, Method::POST, &path) {
            Ok(answer) => {
                match as_json {
                    true => println!("{}", json!({ "router": router, "said": answer })),
                    false => println!("{router}: {path_segment} {zone}, for {for_min} minutes"),
                }
                return Ok(true);
            }
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.context("no router was named")?)
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn plan(routers: &[SocketAddr], zone: Option<&str>, as_json: bool) -> Result<bool> {
    let mut all_answered = true;
    let mut allocations = Vec::new();
    for router in routers {
        match request(*router, Method::GET, "/failover") {
            Ok(view) if as_json => println!("{}", json!({ "router": router, "failover": view })),
            Ok(view) => {
                allocations.push(view["page"].clone());
                print!("{}", plan_text(*router, &view, zone)?);
            }
            Err(error) => {
                all_answered = false;
                match as_json {
                    true => println!("{}", json!({ "router": router, "error": format!("{error:#}") })),
                    false => println!("{router}: {error:#}"),
                }
            }
        }
    }
    if allocations.windows(2).any(|pair| pair[0] != pair[1]) {
        println!("* they go by different pages; within a lease that is how a new one comes about");
    }
    Ok(all_answered)
}

/// One router's plan as text; `only` limits it to one zone and adds the observations of that zone.
fn plan_text(router: SocketAddr, view: &Value, only: Option<&str>) -> Result<String> {
    let allocation = match view["page"].as_u64() {
        Some(number) => format!("page {number}, plan {}", view["plan"].as_u64().unwrap_or(0)),
        None => "no page in force: homes are where hashes say".to_owned(),
    };
    let (moved, completions) =
        (view["moved"].as_f64().unwrap_or(0.0), view["completions"].as_f64().unwrap_or(0.0));
    let mut out = format!(
        "{} at {router} ({}): {}, {}; {allocation}; {:.4} of its completions had their home near\n",
        text(&view["name"]),
        text(&view["zone"]),
        text(&view["mind"]),
        text(&view["why"]),
        1.0 - moved / completions.max(1.0),
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
        if let Some(command) = row["word"]["word"].as_str() {
            let left_min = row["word"]["left_ms"].as_f64().unwrap_or(0.0) / MINUTE_MS;
            out += &format!("; operators said {command}, {left_min:.1} minutes left");
        }
        if let Some(flaps) = row["flaps"].as_u64().filter(|flaps| *flaps > 0) {
            out += &format!("; went out {flaps} times while it came back, so it comes back slower");
        }
        out.push('\n');
        if only.is_some() {
            out += &observations_text(row);
        }
    }
    Ok(out)
}

/// What the routers of each zone recently observed in this zone.
fn observations_text(row: &Value) -> String {
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
    for observed in row["seen"].as_array().into_iter().flatten() {
        let count = |name: &str| format!("{:.1}", observed[name].as_f64().unwrap_or(0.0));
        out += &format!(
            "    {:<10} {:>7} {:>9} {:>6} {:>8} {:>7} {:>7} {:>6} {:>9} {:>7}\n",
            text(&observed["from"]),
            observed["routers"],
            count("in_target"),
            count("late"),
            count("refused"),
            count("silent"),
            count("broken"),
            count("full"),
            count("answered"),
            format!("{}/{}", observed["usable"], observed["listed"]),
        );
    }
    out
}
