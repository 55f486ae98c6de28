//! `peers`: what routers know of each other, side by side.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use hyper::Method;
use serde_json::{json, Value};

use crate::operators::request;
use crate::PeersCommand;

/// How often `watch` queries the routers.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// The answer of each router to `GET /peers`.
type Views = Vec<(SocketAddr, Result<Value>)>;

fn views(routers: &[SocketAddr]) -> Views {
    routers.iter().map(|router| (*router, request(*router, Method::GET, "/peers"))).collect()
}

pub fn run(
    command: PeersCommand,
    name: Option<&str>,
    routers: &[SocketAddr],
    for_s: f64,
    as_json: bool,
) -> Result<bool> {
    match command {
        PeersCommand::List => {
            let views = views(routers);
            if as_json {
                views.iter().for_each(|(router, view)| println!("{}", view_json(*router, view)));
            } else {
                print!("{}", table(&views));
            }
            Ok(views.iter().all(|(_, view)| view.is_ok()))
        }
        PeersCommand::Watch => watch(routers, for_s, as_json),
        PeersCommand::Explain => {
            let name = name.context("a router name or index is required")?;
            let views = views(routers);
            let rows = explain(&views, name);
            if as_json {
                rows.iter().for_each(|row| println!("{row}"));
            } else {
                print!("{}", explanation_text(&rows));
            }
            anyhow::ensure!(!rows.is_empty(), "none of these routers knows a peer named '{name}'");
            Ok(views.iter().all(|(_, view)| view.is_ok()))
        }
    }
}

fn view_json(router: SocketAddr, view: &Result<Value>) -> Value {
    match view {
        Ok(view) => json!({ "router": router, "peers": view }),
        Err(error) => json!({ "router": router, "error": format!("{error:#}") }),
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn seconds(value: &Value) -> String {
    value.as_f64().map_or("-".into(), |ms| format!("{:.1} s", ms / 1e3))
}

/// Name and state of each router in one router's view, itself included, by router index.
fn states(view: &Value) -> BTreeMap<u64, (String, String)> {
    let rows = view["members"].as_array().into_iter().flatten();
    let entry = |row: &Value| {
        let state = format!("{} {}", text(&row["state"]), row["life"]);
        Some((row["place"].as_u64()?, (text(&row["name"]).to_owned(), state)))
    };
    let own_entry = view["place"].as_u64().map(|index| {
        let name = text(&view["name"]).to_owned();
        (index, (name, format!("alive {}", view["life"])))
    });
    rows.filter_map(entry).chain(own_entry).collect()
}

fn view_header(router: SocketAddr, view: &Value) -> String {
    let shares = &view["shares"];
    let each = shares["of"].as_array().into_iter().flatten().filter_map(Value::as_f64);
    let each: Vec<_> = each.map(|share| format!("{share:.3}")).collect();
    let lease = match shares["for_ms"].as_f64() {
        Some(ms) => format!("lent for {:.1} s", ms / 1e3),
        None => "its floor alone".to_owned(),
    };
    let mut text = format!(
        "{} at {router} ({}, life {}): {}, {}\n  \
         same view as {} of {} heard, page {}, {} of {} routers; shares {} ({lease})\n",
        text(&view["name"]),
        text(&view["zone"]),
        view["life"],
        text(&view["mind"]),
        text(&view["why"]),
        view["same"],
        view["of"],
        view["page"]["number"],
        shares["rank"],
        shares["routers"],
        each.join(" "),
    );
    for (field, label) in
        [("deaf_to", "can't hear"), ("unheard_by", "is not heard by"), ("differ", "differs from")]
    {
        let indexes: Vec<_> = view[field].as_array().into_iter().flatten().map(Value::to_string).collect();
        if !indexes.is_empty() {
            text += &format!("  {label} places {}\n", indexes.join(" "));
        }
    }
    if let Some(invalid) = view["counts"]["wrong"].as_u64().filter(|invalid| *invalid > 0) {
        text += &format!("  {invalid} letters dropped that were none\n");
    }
    text
}

/// Table with a row for each router and a column for each view; `*` marks rows where the views differ.
fn table(views: &Views) -> String {
    let mut out = String::new();
    let mut columns = Vec::new();
    for (router, view) in views {
        match view {
            Ok(view) => {
                out += &view_header(*router, view);
                columns.push((format!("by {}", view["place"]), states(view)));
            }
            Err(error) => out += &format!("{router}: {error:#}\n"),
        }
    }
    let indexes: BTreeSet<u64> = columns.iter().flat_map(|(_, rows)| rows.keys().copied()).collect();
    out += &format!("\n  {:<5} {:<16}", "place", "name");
    columns.iter().for_each(|(heading, _)| out += &format!(" {heading:<12}"));
    out.push('\n');
    for index in indexes {
        let cells: Vec<_> =
            columns.iter().map(|(_, rows)| rows.get(&index).map(|(_, state)| state.clone())).collect();
        let name = columns.iter().find_map(|(_, rows)| rows.get(&index)).map_or("-", |(name, _)| name);
        let differs = cells.iter().any(|cell| *cell != cells[0]);
        out += &format!("{} {index:<5} {name:<16}", if differs { "*" } else { " " });
        for cell in cells {
            out += &format!(" {:<12}", cell.unwrap_or_else(|| "unknown".into()));
        }
        out.push('\n');
    }
    out
}

/// For each router, the updates, with their times and senders, that led to its view of the named peer.
fn explain(views: &Views, name: &str) -> Vec<Value> {
    let mut explanations = Vec::new();
    let index = name.parse::<u64>().ok();
    for (router, view) in views {
        let Ok(view) = view else { continue };
        let rows = view["members"].as_array().into_iter().flatten();
        let matches = |row: &&Value| row["name"] == name || index.is_some() && row["place"].as_u64() == index;
        if let Some(row) = rows.clone().find(matches) {
            let names: BTreeMap<u64, &str> =
                rows.filter_map(|row| Some((row["place"].as_u64()?, row["name"].as_str()?))).collect();
            let mut row = row.clone();
            for change in row["history"].as_array_mut().into_iter().flatten() {
                let sender = change["by"].as_u64().unwrap_or(u64::MAX);
                let own = Some(sender) == view["place"].as_u64();
                let sender_name = if own {
                    text(&view["name"])
                } else {
                    names.get(&sender).copied().unwrap_or("one unknown")
                };
                change["by_name"] = sender_name.into();
            }
            explanations.push(json!({ "router": router, "by": view["name"], "member": row }));
        } else if view["name"] == name || index.is_some() && view["place"].as_u64() == index {
            explanations.push(json!({
                "router": router, "by": view["name"], "itself": true,
                "mind": view["mind"], "why": view["why"],
                "life": view["life"], "incarnation": view["incarnation"], "deaf_to": view["deaf_to"],
                "unheard_by": view["unheard_by"], "health": view["health"],
                "refuted": view["counts"]["refuted"],
            }));
        }
    }
    explanations
}

fn explanation_text(explanations: &[Value]) -> String {
    let mut out = String::new();
    for row in explanations {
        let by = text(&row["by"]);
        if row["itself"] == true {
            out += &format!(
                "{by} says of itself: {}, {}; life {}, incarnation {}, refuted {} times, \
                 doubts itself {} of 8\n",
                text(&row["mind"]),
                text(&row["why"]),
                row["life"],
                row["incarnation"],
                row["refuted"],
                row["health"],
            );
            continue;
        }
        let member = &row["member"];
        out += &format!(
            "{by} holds it {} for {} (life {}, incarnation {}), heard it {} ago{}\n",
            text(&member["state"]),
            seconds(&member["for_ms"]),
            member["life"],
            member["incarnation"],
            seconds(&member["heard_ms"]),
            if member["same_view"] == true { ", same view" } else { ", another view" },
        );
        for change in member["history"].as_array().into_iter().flatten() {
            let from =
                change["from"].as_str().map_or("first heard of".to_owned(), |from| format!("{from} to"));
            out += &format!(
                "  {} ago: {from} {} by {} (life {}, incarnation {})\n",
                seconds(&change["ago_ms"]),
                text(&change["to"]),
                text(&change["by_name"]),
                change["life"],
                change["incarnation"],
            );
        }
    }
    out
}

/// Prints changes of each router's view for `for_s` seconds.
fn watch(routers: &[SocketAddr], for_s: f64, as_json: bool) -> Result<bool> {
    let start = Instant::now();
    let mut last_seen = BTreeMap::new();
    loop {
        for (router, view) in views(routers) {
            let now = match &view {
                Ok(view) => {
                    let rows: Vec<_> = states(view)
                        .into_iter()
                        .map(|(index, (_, state))| format!("{index} {state}"))
                        .collect();
                    let page = &view["page"]["number"];
                    format!(
                        "{}, {}; page {page}; {}",
                        text(&view["mind"]),
                        text(&view["why"]),
                        rows.join(", ")
                    )
                }
                Err(error) => format!("{error:#}"),
            };
            if last_seen.get(&router) != Some(&now) {
                let at_s = start.elapsed().as_secs_f64();
                match as_json {
                    true => {
                        println!(
                            "{}",
                            json!({ "at_s": at_s, "router": router, "now": view_json(router, &view) })
                        )
                    }
                    false => println!("{at_s:.1} s {router}: {now}"),
                }
                last_seen.insert(router, now);
            }
        }
        if start.elapsed().as_secs_f64() >= for_s {
            return Ok(true);
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}
