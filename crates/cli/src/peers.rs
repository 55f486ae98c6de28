//! What routers say of each other, side by side.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use hyper::Method;
use serde_json::{json, Value};

use crate::operators::request;
use crate::PeersCommand;

/// How often `watch` looks.
const EVERY: Duration = Duration::from_millis(500);

type Views = Vec<(SocketAddr, Result<Value>)>;

fn views(routers: &[SocketAddr]) -> Views {
    routers.iter().map(|router| (*router, request(*router, Method::GET, "/peers"))).collect()
}

pub fn run(
    what: PeersCommand,
    name: Option<&str>,
    routers: &[SocketAddr],
    for_s: f64,
    as_json: bool,
) -> Result<bool> {
    match what {
        PeersCommand::List => {
            let views = views(routers);
            if as_json {
                views.iter().for_each(|(router, view)| println!("{}", line(*router, view)));
            } else {
                print!("{}", table(&views));
            }
            Ok(views.iter().all(|(_, view)| view.is_ok()))
        }
        PeersCommand::Watch => watch(routers, for_s, as_json),
        PeersCommand::Explain => {
            let name = name.context("which router? give its name or its place")?;
            let views = views(routers);
            let told = explain(&views, name);
            if as_json {
                told.iter().for_each(|row| println!("{row}"));
            } else {
                print!("{}", explained(&told));
            }
            anyhow::ensure!(!told.is_empty(), "none of these routers knows a fellow named '{name}'");
            Ok(views.iter().all(|(_, view)| view.is_ok()))
        }
    }
}

fn line(router: SocketAddr, view: &Result<Value>) -> Value {
    match view {
        Ok(view) => json!({ "router": router, "peers": view }),
        Err(cause) => json!({ "router": router, "error": format!("{cause:#}") }),
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn seconds(value: &Value) -> String {
    value.as_f64().map_or("-".into(), |ms| format!("{:.1} s", ms / 1e3))
}

/// What one router says of each place: its state, itself included.
fn states(view: &Value) -> BTreeMap<u64, (String, String)> {
    let rows = view["members"].as_array().into_iter().flatten();
    let of = |row: &Value| {
        let state = format!("{} {}", text(&row["state"]), row["life"]);
        Some((row["place"].as_u64()?, (text(&row["name"]).to_owned(), state)))
    };
    let own = view["place"].as_u64().map(|place| {
        let name = text(&view["name"]).to_owned();
        (place, (name, format!("alive {}", view["life"])))
    });
    rows.filter_map(of).chain(own).collect()
}

fn head(router: SocketAddr, view: &Value) -> String {
    let shares = &view["shares"];
    let of = shares["of"].as_array().into_iter().flatten().filter_map(Value::as_f64);
    let of: Vec<_> = of.map(|share| format!("{share:.3}")).collect();
    let held = match shares["for_ms"].as_f64() {
        Some(ms) => format!("lent for {:.1} s", ms / 1e3),
        None => "its floor alone".to_owned(),
    };
    let mut text = format!(
        "{} at {router} ({}, life {}): {}, {}\n  same view as {} of {} heard, page {}, {} of {} routers; shares {} ({held})\n",
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
        of.join(" "),
    );
    for (name, what) in
        [("deaf_to", "can't hear"), ("unheard_by", "is not heard by"), ("differ", "differs from")]
    {
        let places: Vec<_> = view[name].as_array().into_iter().flatten().map(Value::to_string).collect();
        if !places.is_empty() {
            text += &format!("  {what} places {}\n", places.join(" "));
        }
    }
    if let Some(wrong) = view["counts"]["wrong"].as_u64().filter(|wrong| *wrong > 0) {
        text += &format!("  {wrong} letters dropped that were none\n");
    }
    text
}

/// A row for each place, a column for each router; `*` where they differ.
fn table(views: &Views) -> String {
    let mut out = String::new();
    let mut columns = Vec::new();
    for (router, view) in views {
        match view {
            Ok(view) => {
                out += &head(*router, view);
                columns.push((format!("by {}", view["place"]), states(view)));
            }
            Err(cause) => out += &format!("{router}: {cause:#}\n"),
        }
    }
    let places: BTreeSet<u64> = columns.iter().flat_map(|(_, rows)| rows.keys().copied()).collect();
    out += &format!("\n  {:<5} {:<16}", "place", "name");
    columns.iter().for_each(|(by, _)| out += &format!(" {by:<12}"));
    out.push('\n');
    for place in places {
        let cells: Vec<_> =
            columns.iter().map(|(_, rows)| rows.get(&place).map(|(_, state)| state.clone())).collect();
        let name = columns.iter().find_map(|(_, rows)| rows.get(&place)).map_or("-", |(name, _)| name);
        let differs = cells.iter().any(|cell| *cell != cells[0]);
        out += &format!("{} {place:<5} {name:<16}", if differs { "*" } else { " " });
        for cell in cells {
            out += &format!(" {:<12}", cell.unwrap_or_else(|| "unknown".into()));
        }
        out.push('\n');
    }
    out
}

/// By what words and when each router came to what it thinks of one.
fn explain(views: &Views, name: &str) -> Vec<Value> {
    let mut told = Vec::new();
    let place = name.parse::<u64>().ok();
    for (router, view) in views {
        let Ok(view) = view else { continue };
        let rows = view["members"].as_array().into_iter().flatten();
        let known = |row: &&Value| row["name"] == name || place.is_some() && row["place"].as_u64() == place;
        if let Some(row) = rows.clone().find(known) {
            let names: BTreeMap<u64, &str> =
                rows.filter_map(|row| Some((row["place"].as_u64()?, row["name"].as_str()?))).collect();
            let mut row = row.clone();
            for change in row["history"].as_array_mut().into_iter().flatten() {
                let by = change["by"].as_u64().unwrap_or(u64::MAX);
                let own = Some(by) == view["place"].as_u64();
                let by =
                    if own { text(&view["name"]) } else { names.get(&by).copied().unwrap_or("one unknown") };
                change["by_name"] = by.into();
            }
            told.push(json!({ "router": router, "by": view["name"], "member": row }));
        } else if view["name"] == name || place.is_some() && view["place"].as_u64() == place {
            told.push(json!({
                "router": router, "by": view["name"], "itself": true, "mind": view["mind"], "why": view["why"],
                "life": view["life"], "incarnation": view["incarnation"], "deaf_to": view["deaf_to"],
                "unheard_by": view["unheard_by"], "health": view["health"], "refuted": view["counts"]["refuted"],
            }));
        }
    }
    told
}

fn explained(told: &[Value]) -> String {
    let mut out = String::new();
    for row in told {
        let by = text(&row["by"]);
        if row["itself"] == true {
            out += &format!(
                "{by} says of itself: {}, {}; life {}, incarnation {}, refuted {} times, doubts itself {} of 8\n",
                text(&row["mind"]), text(&row["why"]), row["life"], row["incarnation"], row["refuted"], row["health"],
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

/// Prints what changes, until the time is over or the program is ended.
fn watch(routers: &[SocketAddr], for_s: f64, as_json: bool) -> Result<bool> {
    let began = Instant::now();
    let mut before = BTreeMap::new();
    loop {
        for (router, view) in views(routers) {
            let now = match &view {
                Ok(view) => {
                    let rows: Vec<_> = states(view)
                        .into_iter()
                        .map(|(place, (_, state))| format!("{place} {state}"))
                        .collect();
                    let page = &view["page"]["number"];
                    format!(
                        "{}, {}; page {page}; {}",
                        text(&view["mind"]),
                        text(&view["why"]),
                        rows.join(", ")
                    )
                }
                Err(cause) => format!("{cause:#}"),
            };
            if before.get(&router) != Some(&now) {
                let at_s = began.elapsed().as_secs_f64();
                match as_json {
                    true => {
                        println!("{}", json!({ "at_s": at_s, "router": router, "now": line(router, &view) }))
                    }
                    false => println!("{at_s:.1} s {router}: {now}"),
                }
                before.insert(router, now);
            }
        }
        if began.elapsed().as_secs_f64() >= for_s {
            return Ok(true);
        }
        std::thread::sleep(EVERY);
    }
}
