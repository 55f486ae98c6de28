//! Measures a router on loopback against direct requests to a simulated server, in one run on the local
//! machine. Absolute figures depend on the machine and on the simulated servers; ratios within a run are more
//! meaningful.

mod decisions;
mod drains;
mod list_updates;
mod load;
mod process;
mod report;
mod stores;

use std::net::SocketAddr;
use std::path::Path;

use anyhow::{Context, Result};

pub use crate::drains::DrainDelay;
pub use crate::list_updates::{BlockedTime, ListUpdateCost};
use crate::load::{Load, Measured, Target};
use crate::process::Program;
pub use crate::report::{AddedLatency, Allocations, ApiCost, DecisionCost, Memory, RejectionRate, Report};
pub use crate::stores::{DurableWrites, StoreCost};

/// Durations, rates and sizes to measure.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Duration of each load, in ms.
    pub load_ms: f64,
    /// Requests per second at which the added latency is measured.
    pub rate: f64,
    /// Rates that are tried in turn until the added p99 exceeds [`ADDED_LIMIT_MS`].
    pub ramp_rates: Vec<f64>,
    /// Numbers of open streams for which the memory is measured.
    pub streams: Vec<usize>,
    /// How long slow clients read, in ms.
    pub slow_readers_ms: f64,
    /// Numbers of listed servers.
    pub servers: Vec<usize>,
    /// Number of drains by edits of the operators' servers file.
    pub edits: usize,
    /// Sizes of the store, in entries.
    pub store_entries: Vec<usize>,
    /// Number of durable writes.
    pub durable_writes: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            load_ms: 4000.0,
            rate: 1000.0,
            ramp_rates: vec![500.0, 1000.0, 1500.0, 2000.0, 2500.0, 3000.0, 4000.0, 5000.0, 6000.0, 8000.0],
            streams: vec![1000, 5000],
            slow_readers_ms: 20_000.0,
            servers: vec![10, 100, 1000],
            edits: 200,
            store_entries: vec![10_000, 100_000, 1_000_000],
            durable_writes: 2000,
        }
    }
}

impl Plan {
    /// A short run that checks that every measurement works.
    pub fn quick() -> Self {
        let ramp_rates = vec![500.0, 1000.0];
        Plan {
            load_ms: 1000.0,
            rate: 500.0,
            ramp_rates,
            streams: vec![200],
            slow_readers_ms: 2000.0,
            servers: vec![10, 100],
            edits: 5,
            store_entries: vec![1000],
            durable_writes: 64,
        }
    }
}

/// Added p99 above which a rate counts as too high, in ms.
pub const ADDED_LIMIT_MS: f64 = 5.0;
/// Lengths of answers, in tokens. The difference between the two gives the cost of an event.
const SHORT_TOKENS: u32 = 4;
const LONG_TOKENS: u32 = 68;
/// Time per token for streams whose clients read slower than the server writes.
const SLOW_TOKEN_MS: f64 = 200.0;

/// A router and a fleet, each in a process of its own.
struct Deployment {
    router: Program,
    fleet: Program,
    clients: SocketAddr,
    admin: SocketAddr,
    server: SocketAddr,
    _dir: tempfile::TempDir,
}

impl Deployment {
    async fn start(program: &Path, servers: usize, token_ms: f64) -> Result<Deployment> {
        Deployment::start_with(program, servers, token_ms, 20_000).await
    }

    async fn start_with(
        program: &Path,
        servers: usize,
        token_ms: f64,
        max_completions: usize,
    ) -> Result<Deployment> {
        let dir = tempfile::tempdir()?;
        let fleet =
            Program::start(program, "fleet", &process::fleet_config(servers, token_ms), dir.path()).await?;
        let list: SocketAddr = fleet.startup["list"]
            .as_str()
            .context("the startup line of the fleet has no list address")?
            .parse()?;
        let router = Program::start(
            program,
            "serve",
            &process::router_config(list, dir.path(), max_completions),
            dir.path(),
        )
        .await?;
        let clients = router.startup["listening"]
            .as_str()
            .context("the startup line of the router has no client address")?
            .parse()?;
        let admin = router.startup["admin"]
            .as_str()
            .context("the startup line of the router has no admin address")?
            .parse()?;
        process::wait_until_ready(admin).await?;
        let server = process::first_server(list).await?;
        Ok(Deployment { router, fleet, clients, admin, server, _dir: dir })
    }

    fn router_target(&self) -> Target {
        Target::Router(self.clients, load::MESSAGES)
    }

    async fn stop(self) {
        self.router.stop().await;
        self.fleet.stop().await;
    }
}

/// Highest rate of requests that a full router rejects without delaying the streams that fill it.
async fn rejection_rate(program: &Path, plan: &Plan) -> Result<RejectionRate> {
    const TOKEN_MS: f64 = 100.0;
    const MAX_COMPLETIONS: usize = 64;
    let mut best = RejectionRate::default();
    for rate in plan.ramp_rates.iter().map(|rate| 2.0 * rate) {
        let deployment = Deployment::start_with(program, 10, TOKEN_MS, MAX_COMPLETIONS).await?;
        let streams = load::open_streams(deployment.clients, MAX_COMPLETIONS).await;
        let open = streams.len();
        let (sender, stop) = tokio::sync::watch::channel(false);
        let silence_task = tokio::task::spawn_local(load::longest_silence(streams, stop));
        let load = Load {
            rate,
            duration_ms: plan.load_ms / 2.0,
            tokens: SHORT_TOKENS,
            targets: vec![deployment.router_target()],
        };
        let before = deployment.router.cpu_us();
        let measured = load::run(&load).await.swap_remove(0);
        let core = (deployment.router.cpu_us() - before) / (plan.load_ms / 2.0 * 1e3);
        sender.send_replace(true);
        let longest_ms = silence_task.await?;
        deployment.stop().await;
        let streams_unaffected = longest_ms <= 2.0 * TOKEN_MS && measured.rejected == measured.sent;
        if !streams_unaffected {
            break;
        }
        best =
            RejectionRate { rate, streams: open, longest_silence_ms: longest_ms, token_ms: TOKEN_MS, core };
    }
    Ok(best)
}

/// Measures the cost of list updates and of the store.
async fn lists_and_stores(plan: &Plan, report: &mut Report, progress: &impl Fn(&str)) -> Result<()> {
    progress("list updates");
    report.changes.extend(plan.servers.iter().filter_map(|servers| list_updates::cost(*servers)));
    progress("the store");
    for entries in &plan.store_entries {
        report.stores.push(stores::cost(*entries)?);
    }
    for at_once in [1, 64] {
        report.durable.push(stores::durable(at_once, plan.durable_writes).await?);
    }
    Ok(())
}

/// Runs the part of the plan that needs no router.
///
/// # Errors
/// Returns an error if the disk fails.
pub async fn run_alone(plan: &Plan, progress: impl Fn(&str)) -> Result<Report> {
    let mut report = Report::new();
    lists_and_stores(plan, &mut report, &progress).await?;
    Ok(report)
}

/// Runs the whole plan with `program` as router and fleet.
///
/// # Errors
/// Returns an error if a process can't be started or a request fails.
pub async fn run(program: &Path, plan: &Plan, progress: impl Fn(&str)) -> Result<Report> {
    let mut report = Report::new();
    progress("added latency");
    let deployment = Deployment::start(program, 10, 0.0).await?;
    let warm_up = Load {
        rate: plan.rate / 2.0,
        duration_ms: 1000.0,
        tokens: SHORT_TOKENS,
        targets: vec![deployment.router_target(), Target::Server(deployment.server)],
    };
    load::run(&warm_up).await;
    let both = Load { rate: 2.0 * plan.rate, duration_ms: plan.load_ms, ..warm_up.clone() };
    let measured = load::run(&both).await;
    report.added = Some(AddedLatency::of(plan.rate, &measured[0], &measured[1]));
    progress("highest rate");
    for rate in &plan.ramp_rates {
        let direct = Load {
            rate: *rate,
            duration_ms: plan.load_ms / 2.0,
            tokens: SHORT_TOKENS,
            targets: vec![Target::Server(deployment.server)],
        };
        let through = Load { targets: vec![deployment.router_target()], ..direct.clone() };
        let direct = load::run(&direct).await.swap_remove(0);
        let before = deployment.router.cpu_us();
        let routed = load::run(&through).await.swap_remove(0);
        let core = (deployment.router.cpu_us() - before) / (plan.load_ms / 2.0 * 1e3);
        let added = AddedLatency::of(*rate, &routed, &direct).with_cpu(core);
        let acceptable = added.p99_ms <= ADDED_LIMIT_MS
            && routed.failed == 0
            && routed.done as f64 >= 0.95 * routed.sent as f64;
        report.ramp.push(added);
        if !acceptable {
            break;
        }
    }
    progress("CPU of a completion and of an event");
    let cost = |tokens| {
        let load = Load {
            rate: 500.0,
            duration_ms: plan.load_ms,
            tokens,
            targets: vec![deployment.router_target()],
        };
        let router = &deployment.router;
        async move {
            let before = router.cpu_us();
            let done = load::run(&load).await.swap_remove(0);
            (
                (router.cpu_us() - before) / done.done.max(1) as f64,
                done.events as f64 / done.done.max(1) as f64,
            )
        }
    };
    let ((short_us, short_events), (long_us, long_events)) =
        (cost(SHORT_TOKENS).await, cost(LONG_TOKENS).await);
    report.event_us = (long_us - short_us) / (long_events - short_events).max(1.0);
    report.completion_us = short_us;
    for path in [load::MESSAGES, "/v1/chat/completions", "/desk/messages"] {
        progress(&format!("API at {path}"));
        let through = Target::Router(deployment.clients, path);
        let targets = vec![through, Target::Server(deployment.server)];
        let both = Load { rate: plan.rate, duration_ms: plan.load_ms, tokens: SHORT_TOKENS, targets };
        let measured = load::run(&both).await;
        let added = AddedLatency::of(plan.rate / 2.0, &measured[0], &measured[1]);
        let targets = vec![through, Target::Server(deployment.server)];
        let long = Load { rate: plan.rate / 2.0, duration_ms: plan.load_ms, tokens: LONG_TOKENS, targets };
        let both = load::run(&long).await;
        let event_us = |measured: &Measured| measured.event_ns.value_at_quantile(0.5) as f64 / 1e3;
        let added_event_us = event_us(&both[0]) - event_us(&both[1]);
        let (mut cost, mut allocations_per_completion) = (Vec::new(), Vec::new());
        for tokens in [SHORT_TOKENS, LONG_TOKENS] {
            let load = Load { rate: 500.0, duration_ms: plan.load_ms / 2.0, tokens, targets: vec![through] };
            let allocated_before = process::allocations(deployment.admin).await;
            let before = deployment.router.cpu_us();
            let done = load::run(&load).await.swap_remove(0);
            let completions = done.done.max(1) as f64;
            let now = process::allocations(deployment.admin).await;
            allocations_per_completion
                .extend(allocated_before.zip(now).map(|(before, now)| (now - before) / completions));
            cost.push((
                (deployment.router.cpu_us() - before) / completions,
                done.events as f64 / completions,
            ));
        }
        let event_us = (cost[1].0 - cost[0].0) / (cost[1].1 - cost[0].1).max(1.0);
        let further_events = (cost[1].1 - cost[0].1).max(1.0);
        let allocations = match allocations_per_completion[..] {
            [short, long] => Some(Allocations { completion: short, event: (long - short) / further_events }),
            _ => None,
        };
        report.forms.push(ApiCost { path: path.to_owned(), added, added_event_us, event_us, allocations });
    }
    deployment.stop().await;
    progress("rejections while streams run");
    report.refusals = Some(rejection_rate(program, plan).await?);
    for streams in &plan.streams {
        progress(&format!("memory with {streams} streams"));
        let deployment = Deployment::start(program, 10, 1000.0).await?;
        let empty = deployment.router.memory_mib()?;
        let open = load::open_streams(deployment.clients, *streams).await;
        let mib = deployment.router.memory_mib()?;
        report.memory.push(Memory { streams: open.len(), reads: "nothing", empty_mib: empty, mib });
        drop(open);
        deployment.stop().await;
        progress(&format!("memory with {streams} slow readers"));
        let deployment = Deployment::start(program, 10, SLOW_TOKEN_MS).await?;
        let empty = deployment.router.memory_mib()?;
        let router = &deployment.router;
        let (open, mib) =
            load::read_slowly(deployment.clients, *streams, plan.slow_readers_ms, || router.memory_mib())
                .await?;
        report.memory.push(Memory { streams: open, reads: "slowly", empty_mib: empty, mib });
        deployment.stop().await;
    }
    lists_and_stores(plan, &mut report, &progress).await?;
    progress(&format!("{} drains by the servers file", plan.edits));
    report.drains = Some(drains::measure(program, plan.edits).await?);
    for servers in &plan.servers {
        progress(&format!("the decisions with {servers} servers"));
        let module_us = decisions::cost_us(*servers);
        let deployment = Deployment::start(program, *servers, 0.0).await?;
        let load = Load {
            rate: 200.0,
            duration_ms: plan.load_ms,
            tokens: SHORT_TOKENS,
            targets: vec![deployment.router_target()],
        };
        let before = deployment.router.cpu_us();
        let done: Measured = load::run(&load).await.swap_remove(0);
        let router_us = (deployment.router.cpu_us() - before) / done.done.max(1) as f64;
        report.module.push(DecisionCost { servers: *servers, module_us, router_us });
        deployment.stop().await;
    }
    Ok(report)
}
