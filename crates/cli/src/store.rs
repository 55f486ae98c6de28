//! `store`: inspects or repairs a router's store.

use std::path::Path;

use anyhow::{Context, Result};
use paddleproxy_store::format::Kind;
use paddleproxy_store::recovery::Recovered;
use paddleproxy_store::store::{inspect, Options, Store};
use paddleproxy_store::{retention, Disk, Key};
use serde_json::json;

use crate::StoreCommand;

pub fn run(command: StoreCommand, dir: &Path, as_json: bool) -> Result<bool> {
    anyhow::ensure!(dir.is_dir(), "{} is not a directory", dir.display());
    let recovered = inspect(&mut Disk::open_read_only(dir))?;
    match command {
        StoreCommand::Check => Ok(check(&recovered, as_json)),
        StoreCommand::Dump => {
            for (key, entry) in &recovered.entries {
                let (kind, bytes) = (key.kind.name(), entry.value.len());
                let value = serde_json::from_slice::<serde_json::Value>(&entry.value).ok();
                match as_json {
                    true => println!(
                        "{}",
                        json!({ "kind": kind, "key": key_text(key), "value": value, "bytes": bytes })
                    ),
                    false => println!(
                        "{kind} {} {}",
                        key_text(key),
                        value.unwrap_or_else(|| json!(format!("{bytes} bytes")))
                    ),
                }
            }
            Ok(true)
        }
        StoreCommand::Stats => {
            let mut kinds = std::collections::BTreeMap::<String, usize>::new();
            recovered.entries.keys().for_each(|key| *kinds.entry(key.kind.name()).or_default() += 1);
            let live: u64 = recovered.entries.values().map(|entry| entry.bytes).sum();
            let (entries, segments, writes) =
                (recovered.entries.len(), recovered.used.len(), recovered.next_seq);
            if as_json {
                let kinds = json!(kinds);
                println!(
                    "{}",
                    json!({
                        "entries": entries, "by_kind": kinds, "live_bytes": live,
                        "log_bytes": recovered.bytes, "segments": segments, "writes": writes,
                    })
                );
            } else {
                println!(
                    "{entries} entries, {live} bytes live of {} in {segments} segments, {writes} writes",
                    recovered.bytes
                );
                kinds.iter().for_each(|(kind, count)| println!("  {kind}: {count}"));
            }
            Ok(true)
        }
        StoreCommand::Compact | StoreCommand::Repair => {
            let router = recovered.router.context("the store holds no file with a readable header")?;
            let disk = Disk::open(dir).context("opening the store; the router must not be running")?;
            let mut store = Store::open(disk, Options { router, ..Options::default() })?;
            for finding in &store.findings {
                println!("{} at byte {}: {}: mended", finding.segment, finding.offset, finding.what);
            }
            if command == StoreCommand::Compact {
                store.compact()?;
            }
            let stats = store.stats();
            println!("{} entries, {} bytes in {} segments", stats.entries, stats.log_bytes, stats.segments);
            Ok(true)
        }
    }
}

fn check(recovered: &Recovered, as_json: bool) -> bool {
    for finding in &recovered.findings {
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
        println!("{} entries after {} writes can be read", recovered.entries.len(), recovered.next_seq);
    }
    !recovered.damaged()
}

/// A key in readable form.
fn key_text(key: &Key) -> String {
    let cache_entry = retention::parse_cache_entry_key(&key.bytes).filter(|_| key.kind == Kind::Kept);
    let idempotency_key = retention::parse_idempotency_key(&key.bytes).filter(|_| key.kind == Kind::Tokened);
    match (cache_entry, idempotency_key) {
        (Some((text, server)), _) => format!("{text:?}@{server}"),
        (_, Some((customer, key))) => format!("{customer}/{key}"),
        _ => String::from_utf8_lossy(&key.bytes).into_owned(),
    }
}
