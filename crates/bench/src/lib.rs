//! Measures a router on loopback against going to a stand-in directly, in one run, on the machine at hand.
//! Figures are of this machine and of simulated servers; ratios within a run say more than the figures.

mod changes;
mod drains;
mod load;
mod module;
mod process;
mod report;
mod stores;

use std::net::SocketAddr;
use std::path::Path;

use anyhow::{Context, Result};

pub use crate::changes::{Change, Pause};
pub use crate::drains::Drains;
use crate::load::{Load, Measured, Target};
use crate::process::Program;
pub use crate::report::{Added, Allocations, Form, Memory, ModuleShare, Refusals, Report};
pub use crate::stores::{Durable, StoreCost};

/// How long and how hard to measure.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Length of each load, in ms.
    pub each_ms: f64,
    /// Requests a second at which the added latency is compared.
    pub rate: f64,
    /// Rates tried in turn until the added p99 is too high.
    pub ramp: Vec<f64>,
    pub streams: Vec<usize>,
    /// How long slow readers read, in ms.
    pub slow_ms: f64,
    pub servers: Vec<usize>,
    /// Edits of the operators' list.
    pub edits: usize,
    /// Entries of a store, and durable writes.
    pub entries: Vec<usize>,
    pub durable: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            each_ms: 4000.0,
            rate: 1000.0,
            ramp: vec![500.0, 1000.0, 1500.0, 2000.0, 2500.0, 3000.0, 4000.0, 5000.0, 6000.0, 8000.0],
            streams: vec![1000, 5000],
            slow_ms: 20_000.0,
            servers: vec![10, 100, 1000],
            edits: 200,
            entries: vec![10_000, 100_000, 1_000_000],
            durable: 2000,
        }
    }
}

impl Plan {
    /// A short run that shows that everything works.
    pub fn quick() -> Self {
        let ramp = vec![500.0, 1000.0];
        Plan {
            each_ms: 1000.0,
            rate: 500.0,
            ramp,
            streams: vec![200],
            slow_ms: 2000.0,
            servers: vec![10, 100],
            edits: 5,
            entries: vec![1000],
            durable: 64,
        }
    }
}

/// The added p99 at which a rate counts as too high, in ms.
pub const ADDED_LIMIT_MS: f64 = 5.0;
/// Answers of so many tokens; the longer ones tell the cost of an event.
const SHORT: u32 = 4;
const LONG: u32 = 68;
/// Time of a token for readers that take in less than is written.
const SLOW_TOKEN_MS: f64 = 200.0;

/// A router and a fleet as processes of their own.
struct Pair {
    router: Program,
    fleet: Program,
    clients: SocketAddr,
    admin: SocketAddr,
    server: SocketAddr,
    _dir: tempfile::TempDir,
}

impl Pair {
    async fn start(program: &Path, servers: usize, token_ms: f64) -> Result<Pair> {
        Pair::start_with(program, servers, token_ms, 20_000).await
    }

    async fn start_with(program: &Path, servers: usize, token_ms: f64, places: usize) -> Result<Pair> {
        let dir = tempfile::tempdir()?;
        let fleet = Program::start(program, "fleet", &process::fleet(servers, token_ms), dir.path()).await?;
        let list: SocketAddr = fleet.said["list"].as_str().context("no list")?.parse()?;
        let router =
            Program::start(program, "serve", &process::router(list, dir.path(), places), dir.path()).await?;
        let clients = router.said["listening"].as_str().context("no address")?.parse()?;
        let admin = router.said["admin"].as_str().context("no admin address")?.parse()?;
        process::ready(admin).await?;
        let server = process::first_server(list).await?;
        Ok(Pair { router, fleet, clients, admin, server, _dir: dir })
    }

    fn through(&self) -> Target {
        Target::Router(self.clients, load::MESSAGES)
    }

    async fn end(self) {
        self.router.end().await;
        self.fleet.end().await;
    }
}

/// How many requests a second a full router turns away while the streams that fill it run on.
async fn refusals(program: &Path, plan: &Plan) -> Result<Refusals> {
    const TOKEN_MS: f64 = 100.0;
    const PLACES: usize = 64;
    let mut best = Refusals::default();
    for rate in plan.ramp.iter().map(|rate| 2.0 * rate) {
        let pair = Pair::start_with(program, 10, TOKEN_MS, PLACES).await?;
        let streams = load::open_streams(pair.clients, PLACES).await;
        let open = streams.len();
        let (sender, stop) = tokio::sync::watch::channel(false);
        let silence = tokio::task::spawn_local(load::longest_silence(streams, stop));
        let load = Load { rate, length_ms: plan.each_ms / 2.0, tokens: SHORT, targets: vec![pair.through()] };
        let before = pair.router.cpu_us();
        let measured = load::run(&load).await.swap_remove(0);
        let core = (pair.router.cpu_us() - before) / (plan.each_ms / 2.0 * 1e3);
        sender.send_replace(true);
        let longest_ms = silence.await?;
        pair.end().await;
        let unharmed = longest_ms <= 2.0 * TOKEN_MS && measured.turned_away == measured.asked;
        if !unharmed {
            break;
        }
        best = Refusals { rate, streams: open, longest_silence_ms: longest_ms, token_ms: TOKEN_MS, core };
    }
    Ok(best)
}

/// What changes of the list cost, and a store.
async fn lists_and_stores(plan: &Plan, report: &mut Report, say: &impl Fn(&str)) -> Result<()> {
    say("changes of the list");
    report.changes.extend(plan.servers.iter().filter_map(|servers| changes::cost(*servers)));
    say("the store");
    for entries in &plan.entries {
        report.stores.push(stores::cost(*entries)?);
    }
    for at_once in [1, 64] {
        report.durable.push(stores::durable(at_once, plan.durable).await?);
    }
    Ok(())
}

/// The part of the plan that needs no router.
///
/// # Errors
/// A disk that fails.
pub async fn run_alone(plan: &Plan, say: impl Fn(&str)) -> Result<Report> {
    let mut report = Report::new();
    lists_and_stores(plan, &mut report, &say).await?;
    Ok(report)
}

/// Runs the whole plan with `program` as router and fleet.
///
/// # Errors
/// What could not be started or asked.
pub async fn run(program: &Path, plan: &Plan, say: impl Fn(&str)) -> Result<Report> {
    let mut report = Report::new();
    say("added latency");
    let pair = Pair::start(program, 10, 0.0).await?;
    let warm = Load {
        rate: plan.rate / 2.0,
        length_ms: 1000.0,
        tokens: SHORT,
        targets: vec![pair.through(), Target::Server(pair.server)],
    };
    load::run(&warm).await;
    let both = Load { rate: 2.0 * plan.rate, length_ms: plan.each_ms, ..warm.clone() };
    let measured = load::run(&both).await;
    report.added = Some(Added::of(plan.rate, &measured[0], &measured[1]));
    say("highest rate");
    for rate in &plan.ramp {
        let direct = Load {
            rate: *rate,
            length_ms: plan.each_ms / 2.0,
            tokens: SHORT,
            targets: vec![Target::Server(pair.server)],
        };
        let through = Load { targets: vec![pair.through()], ..direct.clone() };
        let direct = load::run(&direct).await.swap_remove(0);
        let before = pair.router.cpu_us();
        let routed = load::run(&through).await.swap_remove(0);
        let busy = (pair.router.cpu_us() - before) / (plan.each_ms / 2.0 * 1e3);
        let added = Added::of(*rate, &routed, &direct).with_cpu(busy);
        let good = added.p99_ms <= ADDED_LIMIT_MS
            && routed.failed == 0
            && routed.done as f64 >= 0.95 * routed.asked as f64;
        report.ramp.push(added);
        if !good {
            break;
        }
    }
    say("CPU of a completion and of an event");
    let cost = |tokens| {
        let load = Load { rate: 500.0, length_ms: plan.each_ms, tokens, targets: vec![pair.through()] };
        let router = &pair.router;
        async move {
            let before = router.cpu_us();
            let done = load::run(&load).await.swap_remove(0);
            (
                (router.cpu_us() - before) / done.done.max(1) as f64,
                done.events as f64 / done.done.max(1) as f64,
            )
        }
    };
    let ((short_us, short_events), (long_us, long_events)) = (cost(SHORT).await, cost(LONG).await);
    report.event_us = (long_us - short_us) / (long_events - short_events).max(1.0);
    report.completion_us = short_us;
    for path in [load::MESSAGES, "/v1/chat/completions", "/desk/messages"] {
        say(&format!("the form at {path}"));
        let through = Target::Router(pair.clients, path);
        let targets = vec![through, Target::Server(pair.server)];
        let both = Load { rate: plan.rate, length_ms: plan.each_ms, tokens: SHORT, targets };
        let measured = load::run(&both).await;
        let added = Added::of(plan.rate / 2.0, &measured[0], &measured[1]);
        let targets = vec![through, Target::Server(pair.server)];
        let long = Load { rate: plan.rate / 2.0, length_ms: plan.each_ms, tokens: LONG, targets };
        let both = load::run(&long).await;
        let event_us = |measured: &Measured| measured.event_ns.value_at_quantile(0.5) as f64 / 1e3;
        let added_event_us = event_us(&both[0]) - event_us(&both[1]);
        let (mut cost, mut made) = (Vec::new(), Vec::new());
        for tokens in [SHORT, LONG] {
            let load = Load { rate: 500.0, length_ms: plan.each_ms / 2.0, tokens, targets: vec![through] };
            let allocated = process::allocations(pair.admin).await;
            let before = pair.router.cpu_us();
            let done = load::run(&load).await.swap_remove(0);
            let each = done.done.max(1) as f64;
            let now = process::allocations(pair.admin).await;
            made.extend(allocated.zip(now).map(|(before, now)| (now - before) / each));
            cost.push(((pair.router.cpu_us() - before) / each, done.events as f64 / each));
        }
        let event_us = (cost[1].0 - cost[0].0) / (cost[1].1 - cost[0].1).max(1.0);
        let further = (cost[1].1 - cost[0].1).max(1.0);
        let allocations = match made[..] {
            [short, long] => Some(Allocations { completion: short, event: (long - short) / further }),
            _ => None,
        };
        report.forms.push(Form { path: path.to_owned(), added, added_event_us, event_us, allocations });
    }
    pair.end().await;
    say("refusals while streams run");
    report.refusals = Some(refusals(program, plan).await?);
    for streams in &plan.streams {
        say(&format!("memory with {streams} streams"));
        let pair = Pair::start(program, 10, 1000.0).await?;
        let empty = pair.router.memory_mib()?;
        let open = load::open_streams(pair.clients, *streams).await;
        let mib = pair.router.memory_mib()?;
        report.memory.push(Memory { streams: open.len(), reads: "nothing", empty_mib: empty, mib });
        drop(open);
        pair.end().await;
        say(&format!("memory with {streams} slow readers"));
        let pair = Pair::start(program, 10, SLOW_TOKEN_MS).await?;
        let empty = pair.router.memory_mib()?;
        let router = &pair.router;
        let (open, mib) =
            load::read_slowly(pair.clients, *streams, plan.slow_ms, || router.memory_mib()).await?;
        report.memory.push(Memory { streams: open, reads: "slowly", empty_mib: empty, mib });
        pair.end().await;
    }
    lists_and_stores(plan, &mut report, &say).await?;
    say(&format!("{} drains by the operators' file", plan.edits));
    report.drains = Some(drains::measure(program, plan.edits).await?);
    for servers in &plan.servers {
        say(&format!("the decisions with {servers} servers"));
        let module_us = module::cost_us(*servers);
        let pair = Pair::start(program, *servers, 0.0).await?;
        let load =
            Load { rate: 200.0, length_ms: plan.each_ms, tokens: SHORT, targets: vec![pair.through()] };
        let before = pair.router.cpu_us();
        let done: Measured = load::run(&load).await.swap_remove(0);
        let router_us = (pair.router.cpu_us() - before) / done.done.max(1) as f64;
        report.module.push(ModuleShare { servers: *servers, module_us, router_us });
        pair.end().await;
    }
    Ok(report)
}
