//! Cost of list updates for the core task.

use std::sync::Arc;
use std::time::Instant;

use hdrhistogram::Histogram;
use paddleproxy::interface::*;
use paddleproxy::Control;
use paddleproxy_engine::{ServerEntry, ServerList};
use paddleproxy_membership::{ListUpdate, Membership, SourceId};
use serde::Serialize;

/// Time for which an update blocks the core task, by kind of update.
#[derive(Clone, Debug, Serialize)]
pub struct ListUpdateCost {
    pub servers: usize,
    /// A version that changes one server.
    pub one: BlockedTime,
    /// A version with the whole list.
    pub whole: BlockedTime,
    /// A reload of the settings.
    pub settings: BlockedTime,
}

#[derive(Clone, Copy, Debug, Serialize)]
pub struct BlockedTime {
    pub p50_us: f64,
    pub p99_us: f64,
    pub worst_us: f64,
}

const REPETITIONS: usize = 500;

fn measure_blocked(mut operation: impl FnMut(usize)) -> BlockedTime {
    let Ok(mut blocked_ns) = Histogram::<u64>::new(3) else {
        return BlockedTime { p50_us: 0.0, p99_us: 0.0, worst_us: 0.0 };
    };
    for number in 0..REPETITIONS {
        let began = Instant::now();
        operation(number);
        // The histogram resizes itself, so recording can't fail.
        let _ = blocked_ns.record(began.elapsed().as_nanos() as u64);
    }
    let us = |nanos: u64| nanos as f64 / 1e3;
    BlockedTime {
        p50_us: us(blocked_ns.value_at_quantile(0.5)),
        p99_us: us(blocked_ns.value_at_quantile(0.99)),
        worst_us: us(blocked_ns.max()),
    }
}

/// Measures the cost with `servers` listed servers; `None` if the settings of the measurement are invalid.
pub fn cost(servers: usize) -> Option<ListUpdateCost> {
    let text = crate::process::router_config(([127, 0, 0, 1], 1).into(), std::path::Path::new("state"), 1000);
    let settings = paddleproxy_settings::router::parse("bench", &text).ok()?;
    let kinds =
        settings.names.kinds.iter().cloned().zip(settings.decisions.kinds.iter().map(|kind| kind.role));
    let mut membership = Membership::new(settings.names.zones.clone(), kinds.collect(), settings.membership);
    let mut control = Control::new(settings.decisions.clone(), 7);
    let entry = |number: usize, readiness: &str| ServerEntry {
        name: format!("c{}-{}", number / 10, number % 10 + 1),
        address: format!("127.0.{}.{}:9", number / 200, number % 200 + 1),
        zone: settings.names.zones[0].clone(),
        kind: "mixed".into(),
        cell: number as u32 / 10,
        readiness: readiness.into(),
        weight: 1.0,
        start: 1,
        age_ms: None,
    };
    let all: Vec<_> = (0..servers).map(|number| entry(number, "ready")).collect();
    let mut version = 0;
    let mut now_ms = 0.0;
    let mut apply_list = |servers: Vec<ServerEntry>, whole: bool| {
        now_ms += 1.0;
        let after = (!whole).then_some(version);
        version += 1;
        let list = ServerList { epoch: 1, version, after, servers };
        if let Ok(ListUpdate::Listed { kind, rows }) =
            membership.apply_version(now_ms, SourceId::Service, &list)
        {
            let rows: Arc<[Listing]> = rows;
            control.handle(now_ms, &Event::Listed { kind, rows }, &mut Vec::new());
        }
    };
    apply_list(all.clone(), true);
    let one = measure_blocked(|number| {
        let readiness = if number % 2 == 0 { "draining" } else { "ready" };
        apply_list(vec![entry(number / 2 % servers, readiness)], false);
    });
    let whole = measure_blocked(|_| apply_list(all.clone(), true));
    let changed = Event::Settings(Box::new(settings.decisions.clone()));
    let settings = measure_blocked(|_| control.handle(now_ms, &changed, &mut Vec::new()));
    Some(ListUpdateCost { servers, one, whole, settings })
}
