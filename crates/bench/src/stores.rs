//! Cost of a store on the local disk.

use std::time::Instant;

use anyhow::Result;
use hdrhistogram::Histogram;
use paddleproxy_store::format::{Kind, Op};
use paddleproxy_store::retention::{self, StoredCacheEntry, Text};
use paddleproxy_store::store::{Options, Store};
use paddleproxy_store::{Disk, Handle, Key};
use serde::Serialize;

/// Cost of a store of one size.
#[derive(Clone, Debug, Serialize)]
pub struct StoreCost {
    pub entries: usize,
    /// Writes per second without waiting for durability.
    pub behind_per_s: f64,
    pub log_mib: f64,
    pub compacted_mib: f64,
    pub compact_ms: f64,
    /// Time to open the store again.
    pub open_ms: f64,
    /// Time to recover the cache entries from it.
    pub weigh_ms: f64,
}

/// Writes that wait until they are on disk, `at_once` of them concurrently.
#[derive(Clone, Debug, Serialize)]
pub struct DurableWrites {
    pub at_once: usize,
    pub per_s: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

fn cache_entry(number: usize) -> Op {
    let server = format!("north-m{}", number % 100);
    let value = StoredCacheEntry { tokens: 1234.0 + number as f64, at_ms: 1.7e12, start: 1 };
    let key = retention::cache_entry_key(Text::Session(number as u64 * 7919), &server);
    Op::Put { key, value: serde_json::to_vec(&value).unwrap_or_default() }
}

const MIB: f64 = (1 << 20) as f64;

/// Measures a store of `entries` entries, each written twice.
pub fn cost(entries: usize) -> Result<StoreCost> {
    let dir = tempfile::tempdir()?;
    let options = Options { dead_factor: f64::INFINITY, ..Options::default() };
    let mut store = Store::open(Disk::open(dir.path())?, options)?;
    let began = Instant::now();
    for _ in 0..2 {
        for from in (0..entries).step_by(100) {
            let ops: Vec<_> = (from..entries.min(from + 100)).map(cache_entry).collect();
            store.write(&ops)?;
        }
    }
    store.commit()?;
    let behind_per_s = 2.0 * entries as f64 / began.elapsed().as_secs_f64();
    let log_mib = store.stats().log_bytes as f64 / MIB;
    let began = Instant::now();
    store.compact()?;
    let compact_ms = began.elapsed().as_secs_f64() * 1e3;
    let compacted_mib = store.stats().log_bytes as f64 / MIB;
    drop(store);
    let began = Instant::now();
    let store = Store::open(Disk::open(dir.path())?, options)?;
    let open_ms = began.elapsed().as_secs_f64() * 1e3;
    let starts = (0..100).map(|number| (format!("north-m{number}"), 1)).collect();
    let began = Instant::now();
    let recovered = retention::recover_cache_entries(
        1.7e12,
        &retention::CACHE_RECOVERY_LIMITS,
        &starts,
        retention::stored_cache_entries(store.entries_of(Kind::Kept)),
    );
    let weigh_ms = began.elapsed().as_secs_f64() * 1e3;
    anyhow::ensure!(store.len() == entries && !recovered.is_empty(), "the store lost entries");
    Ok(StoreCost { entries, behind_per_s, log_mib, compacted_mib, compact_ms, open_ms, weigh_ms })
}

/// Measures durable writes by `at_once` concurrent writers, each of which waits for its own write.
pub async fn durable(at_once: usize, writes: usize) -> Result<DurableWrites> {
    let dir = tempfile::tempdir()?;
    let store = Store::open(Disk::open(dir.path())?, Options::default())?;
    let (handle, _) = Handle::start(store)?;
    let began = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for task in 0..at_once {
        let handle = handle.clone();
        tasks.spawn_local(async move {
            let mut latencies_us = Vec::new();
            for number in 0..writes / at_once {
                let began = Instant::now();
                let key = Key::new(Kind::Tokened, format!("app\0{task}-{number}"));
                let acknowledged = handle.write_durable(vec![Op::Put { key, value: vec![b'1'; 60] }])?;
                acknowledged.await?.map_err(anyhow::Error::msg)?;
                latencies_us.push(began.elapsed().as_micros() as u64);
            }
            anyhow::Ok(latencies_us)
        });
    }
    let mut histogram_us = Histogram::<u64>::new(3)?;
    while let Some(latencies_us) = tasks.join_next().await {
        for latency_us in latencies_us?? {
            histogram_us.record(latency_us)?;
        }
    }
    let per_s = histogram_us.len() as f64 / began.elapsed().as_secs_f64();
    let ms = |quantile| histogram_us.value_at_quantile(quantile) as f64 / 1e3;
    Ok(DurableWrites { at_once, per_s, p50_ms: ms(0.5), p99_ms: ms(0.99) })
}
