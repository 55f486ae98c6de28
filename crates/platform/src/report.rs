//! Load reports of servers: named values, under the names of the settings or of the HTTP protocol.

use paddleproxy::interface::LoadReport;

/// Sets the field that a reported name stands for; unknown names are ignored.
pub fn set(load: &mut LoadReport, name: &str, value: f64) {
    match name {
        "busy_reqs" | "inflight" => load.active_requests = Some(value),
        "pending" | "queue" => load.queue = Some(value),
        "cpu_share" | "util" => load.slots_share = Some(value),
        "svc_ms" | "latency_ms" => load.latency_ms = Some(value),
        "x0" => load.memory_share = Some(value),
        "x1" => load.waiting_kilotokens = Some(value),
        _ => {}
    }
}

/// Parses `TEXT inflight=7, queue=2, util=0.61`. None if any part is invalid or no name is known.
pub fn parse(text: &str) -> Option<LoadReport> {
    let pairs = text.trim().strip_prefix("TEXT ")?;
    let mut load = LoadReport::default();
    for pair in pairs.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        let value: f64 = value.trim().parse().ok()?;
        if !value.is_finite() || value < 0.0 {
            return None;
        }
        set(&mut load, name.trim(), value);
    }
    (load != LoadReport::default()).then_some(load)
}

#[cfg(test)]
mod tests;
