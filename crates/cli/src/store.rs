//! What a person does with a router's store.

use std::path::Path;

use anyhow::{Context, Result};
use paddleproxy_store::format::Kind;
use paddleproxy_store::recovery::Recovered;
use paddleproxy_store::store::{inspect, Options, Store};
use paddleproxy_store::{retention, Disk, Key};
use serde_json::json;

use crate::StoreCommand;

pub fn run(what: StoreCommand, dir: &Path, as_json: bool) -> Result<bool> {
    anyhow::ensure!(dir.is_dir(), "{} is no directory", dir.display());
    let found = inspect(&mut Disk::open_read_only(dir))?;
    match what {
        StoreCommand::Check => Ok(check(&found, as_json)),
        StoreCommand::Dump => {
            for (key, entry) in &found.entries {
                let (kind, bytes) = (key.kind.name(), entry.value.len());
                let value = serde_json::from_slice::<serde_json::Value>(&entry.value).ok();
                match as_json {
                    true => println!(
                        "{}",
                        json!({ "kind": kind, "key": name(key), "value": value, "bytes": bytes })
                    ),
                    false => println!(
                        "{kind} {} {}",
                        name(key),
                        value.unwrap_or_else(|| json!(format!("{bytes} bytes")))
                    ),
                }
            }
            Ok(true)
        }
        StoreCommand::Stats => {
            let mut kinds = std::collections::BTreeMap::<String, usize>::new();
            found.entries.keys().for_each(|key| *kinds.entry(key.kind.name()).or_default() += 1);
            let live: u64 = found.entries.values().map(|entry| entry.bytes).sum();
            let (entries, segments, writes) = (found.entries.len(), found.used.len(), found.next_seq);
            if as_json {
                let kinds = json!(kinds);
                println!(
                    "{}",
                    json!({ "entries": entries, "by_kind": kinds, "live_bytes": live, "log_bytes": found.bytes, "segments": segments, "writes": writes })
                );
            } else {
                println!(
                    "{entries} entries, {live} bytes live of {} in {segments} segments, {writes} writes",
                    found.bytes
                );
                kinds.iter().for_each(|(kind, count)| println!("  {kind}: {count}"));
            }
            Ok(true)
        }
        StoreCommand::Compact | StoreCommand::Repair => {
            let router = found.router.context("there is nothing that could be read")?;
            let disk = Disk::open(dir).context("opening it; the router must not run")?;
            let mut store = Store::open(disk, Options { router, ..Options::default() })?;
            for finding in &store.findings {
                println!("{} at byte {}: {}: mended", finding.segment, finding.offset, finding.what);
            }
            if what == StoreCommand::Compact {
                store.compact()?;
            }
            let stats = store.stats();
            println!("{} entries, {} bytes in {} segments", stats.entries, stats.log_bytes, stats.segments);
            Ok(true)
        }
    }
}

fn check(found: &Recovered, as_json: bool) -> bool {
    for finding in &found.findings {
        let (segment, offset, what) = (&finding.segment, finding.offset, &finding.what);
        let kind = if finding.torn { "torn" } else { "DAMAGED" };
        match as_json {
            true => println!(
                "{}",
                json!({ "segment": segment, "offset": offset, "what": what, "torn": finding.torn })
            ),
            false => println!("{segment} at byte {offset}: {kind}: {what}"),
        }
    }
    if !as_json {
        println!("{} entries after {} writes can be read", found.entries.len(), found.next_seq);
    }
    !found.damaged()
}

fn name(key: &Key) -> String {
    let kept = retention::parse_cache_entry_key(&key.bytes).filter(|_| key.kind == Kind::Kept);
    let tokened = retention::parse_idempotency_key(&key.bytes).filter(|_| key.kind == Kind::Tokened);
    match (kept, tokened) {
        (Some((text, server)), _) => format!("{text:?}@{server}"),
        (_, Some((customer, key))) => format!("{customer}/{key}"),
        _ => String::from_utf8_lossy(&key.bytes).into_owned(),
    }
}
