//! The report, as text and as JSON.

use std::fmt::Write;

use serde::Serialize;

use crate::drains::DrainDelay;
use crate::list_updates::ListUpdateCost;
use crate::load::Measured;
use crate::stores::{DurableWrites, StoreCost};

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub schema: &'static str,
    pub added: Option<AddedLatency>,
    /// Added latency at rising rates.
    pub ramp: Vec<AddedLatency>,
    /// CPU time of the router for one completion of few events, and for each further event, in microseconds.
    pub completion_us: f64,
    pub event_us: f64,
    /// By API.
    pub forms: Vec<ApiCost>,
    pub refusals: Option<RejectionRate>,
    pub memory: Vec<Memory>,
    /// By number of listed servers.
    pub module: Vec<DecisionCost>,
    pub stores: Vec<StoreCost>,
    pub durable: Vec<DurableWrites>,
    pub drains: Option<DrainDelay>,
    /// Cost of list updates, by number of listed servers.
    pub changes: Vec<ListUpdateCost>,
}

/// Time to the first event that the router adds, compared with direct requests to the server.
#[derive(Clone, Debug, Serialize)]
pub struct AddedLatency {
    pub rate: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub direct_p50_ms: f64,
    pub direct_p99_ms: f64,
    pub asked: usize,
    pub done: usize,
    /// Share of one core that the router used.
    pub core: Option<f64>,
}

impl AddedLatency {
    pub(crate) fn of(rate: f64, through: &Measured, direct: &Measured) -> AddedLatency {
        let difference_ms = |quantile| through.quantile_ms(quantile) - direct.quantile_ms(quantile);
        AddedLatency {
            rate,
            p50_ms: difference_ms(0.5),
            p99_ms: difference_ms(0.99),
            direct_p50_ms: direct.quantile_ms(0.5),
            direct_p99_ms: direct.quantile_ms(0.99),
            asked: through.sent,
            done: through.done,
            core: None,
        }
    }

    pub(crate) fn with_cpu(self, core: f64) -> AddedLatency {
        AddedLatency { core: Some(core), ..self }
    }
}

/// Cost of one API of the router.
#[derive(Clone, Debug, Serialize)]
pub struct ApiCost {
    pub path: String,
    pub added: AddedLatency,
    /// Additional time per event compared with the engine's own stream, for answers without pauses, in
    /// microseconds.
    pub added_event_us: f64,
    /// CPU time of the router for each further event, in microseconds.
    pub event_us: f64,
    /// `None` if the router was built without counting them.
    pub allocations: Option<Allocations>,
}

/// Memory allocations of the router for a completion of few events, and for each further event.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Allocations {
    pub completion: f64,
    pub event: f64,
}

/// Highest tried rate at which a full router rejected every request and no stream that filled it was silent
/// for longer than the time of two tokens.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RejectionRate {
    pub rate: f64,
    pub streams: usize,
    pub longest_silence_ms: f64,
    pub token_ms: f64,
    /// Share of one core that the router used.
    pub core: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Memory {
    /// Number of open streams.
    pub streams: usize,
    /// How the clients read.
    pub reads: &'static str,
    /// Memory without streams, and with them.
    pub empty_mib: f64,
    pub mib: f64,
}

/// CPU time of the decisions and of the whole router for one completion, in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct DecisionCost {
    pub servers: usize,
    pub module_us: f64,
    pub router_us: f64,
}

impl Report {
    pub(crate) fn new() -> Report {
        Report {
            schema: "paddleproxy.bench.v1",
            added: None,
            ramp: Vec::new(),
            completion_us: 0.0,
            event_us: 0.0,
            forms: Vec::new(),
            refusals: None,
            memory: Vec::new(),
            module: Vec::new(),
            stores: Vec::new(),
            durable: Vec::new(),
            drains: None,
            changes: Vec::new(),
        }
    }

    pub fn text(&self) -> String {
        let mut text = String::from("simulated servers, loopback, this machine\n\n");
        // Writing to a String can't fail.
        let _ = writeln!(
            text,
            "{:>8} {:>10} {:>10} {:>11} {:>11} {:>7} {:>7} {:>6}",
            "rate/s", "added p50", "added p99", "direct p50", "direct p99", "asked", "done", "core"
        );
        for row in self.added.iter().chain(&self.ramp) {
            let core = row.core.map_or("-".into(), |core| format!("{core:.2}"));
            let _ = writeln!(
                text,
                "{:>8.0} {:>10.3} {:>10.3} {:>11.3} {:>11.3} {:>7} {:>7} {core:>6}",
                row.rate, row.p50_ms, row.p99_ms, row.direct_p50_ms, row.direct_p99_ms, row.asked, row.done
            );
        }
        if self.completion_us > 0.0 {
            let _ = writeln!(
                text,
                "\nCPU: {:.0} us a completion, {:.1} us a further event",
                self.completion_us, self.event_us
            );
        }
        for ApiCost { path, added, added_event_us, event_us, allocations } in &self.forms {
            let (p50, p99) = (added.p50_ms, added.p99_ms);
            let _ = writeln!(
                text,
                "{path}: {p50:.3} ms added at p50, {p99:.3} at p99, {added_event_us:.1} us an event; \
                 {event_us:.1} us of CPU an event"
            );
            if let Some(Allocations { completion, event }) = allocations {
                let _ = writeln!(text, "    {completion:.0} allocations a completion, {event:.1} an event");
            }
        }
        if let Some(row) = &self.refusals {
            let _ = writeln!(
                text,
                "refusals: {:.0} a second beside {} streams, whose longest silence was {:.0} ms \
                 at {:.0} ms a token; {:.2} core",
                row.rate, row.streams, row.longest_silence_ms, row.token_ms, row.core
            );
        }
        for row in &self.memory {
            let Memory { streams, reads, empty_mib, mib } = row;
            let _ = writeln!(
                text,
                "memory: {mib:.1} MiB with {streams} streams whose clients read {reads}, \
                 {empty_mib:.1} MiB with none"
            );
        }
        for row in &self.stores {
            let StoreCost { entries, behind_per_s, log_mib, compacted_mib, compact_ms, open_ms, weigh_ms } =
                row;
            let _ = writeln!(
                text,
                "store of {entries}: {behind_per_s:.0} writes/s behind, {log_mib:.1} MiB, \
                 {compacted_mib:.1} after a snapshot of {compact_ms:.0} ms, opened in {open_ms:.0} ms, \
                 weighed in {weigh_ms:.0}"
            );
        }
        for DurableWrites { at_once, per_s, p50_ms, p99_ms } in &self.durable {
            let _ = writeln!(
                text,
                "durable writes, {at_once} at once: {per_s:.0}/s, {p50_ms:.2} ms at p50, {p99_ms:.2} at p99"
            );
        }
        if let Some(DrainDelay { edits, p50_ms, worst_ms, asked, done }) = &self.drains {
            let _ = writeln!(
                text,
                "drains by file: last new work {p50_ms:.0} ms after the edit at p50, {worst_ms:.0} at worst, \
                 of {edits}; {done} of {asked} answered"
            );
        }
        for ListUpdateCost { servers, one, whole, settings } in &self.changes {
            let _ = writeln!(
                text,
                "{servers} servers: a change holds the core up for {:.0} us at p99 ({:.0} at worst), \
                 a whole list {:.0} ({:.0}), settings {:.0} ({:.0})",
                one.p99_us, one.worst_us, whole.p99_us, whole.worst_us, settings.p99_us, settings.worst_us
            );
        }
        for row in &self.module {
            let (servers, module, router) = (row.servers, row.module_us, row.router_us);
            let share = 100.0 * module / router.max(1e-9);
            let _ = writeln!(
                text,
                "{servers} servers: decisions {module:.0} us of {router:.0} us a completion ({share:.0}%)"
            );
        }
        text
    }
}
