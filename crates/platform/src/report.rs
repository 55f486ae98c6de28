//! Load reports of workers: named values, by the names of the settings or of the sockets.

use paddleproxy::interface::LoadReport;

/// Takes one named value; unknown names say nothing.
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

/// Reads `TEXT inflight=7, queue=2, util=0.61`. None where it can't be read: a wrong report says nothing at all,
/// and so does one without a value that is known here.
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
