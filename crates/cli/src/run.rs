//! Subcommands that run routers, servers, days and measurements.
//!
//! `Ok(false)` means that the command ran but its verdict is negative.

use std::future::Future;
use std::io::Write;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use paddleproxy_day::{checker, play, report};
use paddleproxy_faults::{Control, Fault, CONTROL_VARIABLE};
use paddleproxy_fleet::record::Record;
use paddleproxy_fleet::Fleet;
use paddleproxy_settings as settings;
use paddleproxy_settings::day_failover::FailoverMode;
use serde_json::json;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// Runs a future to completion on a single-threaded runtime, in a `LocalSet` for tasks that are not `Send`.
pub fn block_on_local_set<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, work)
}

/// The returned value becomes true at SIGTERM or SIGINT.
fn stop_signal() -> Result<watch::Receiver<bool>> {
    let (sender, receiver) = watch::channel(false);
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        sender.send_replace(true);
    });
    Ok(receiver)
}

/// Prints one line of JSON on standard output: the addresses of what has started.
fn print_line(line: &serde_json::Value) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

pub fn serve(config: &Path, log: paddleproxy_router::LogSetter) -> Result<bool> {
    let text = settings::read_text(config)?;
    let settings = settings::router::parse(&config.display().to_string(), &text)?;
    block_on_local_set(async move {
        let stop = stop_signal()?;
        let ready = |addresses: paddleproxy_router::Listening| {
            print_line(&json!({
                "listening": addresses.clients, "admin": addresses.admin, "peers": addresses.peers,
            }));
        };
        if let Some(filter) = &settings.log {
            log(filter).map_err(|error| anyhow::anyhow!("'log': {error}"))?;
        }
        let watched = paddleproxy_router::WatchedSettings { file: config.to_owned(), log };
        paddleproxy_router::serve(settings, Some(watched), ready, stop).await
    })?;
    Ok(true)
}

/// Runs one router on the platform, with the given configuration or the one that `EDGE_CONFIG` names.
pub fn platform(config: Option<PathBuf>) -> Result<bool> {
    let from_environment = || std::env::var_os("EDGE_CONFIG").map(PathBuf::from);
    let config = config
        .or_else(from_environment)
        .context("no configuration: neither EDGE_CONFIG nor --config is set")?;
    block_on_local_set(async move { paddleproxy_gateway::run(&config).await })?;
    Ok(true)
}

pub fn check(files: &[PathBuf], as_json: bool) -> Result<bool> {
    let mut all_valid = true;
    let mut rows = Vec::new();
    for file in files {
        let checked = settings::check(file);
        all_valid &= checked.is_ok();
        if as_json {
            let problems = match &checked {
                Ok(_) => Vec::new(),
                Err(settings::Error::Invalid(problems)) => {
                    let row = |p: &settings::Problem| {
                        json!({
                            "file": p.file, "line": p.line, "column": p.column, "message": p.message,
                        })
                    };
                    problems.list.iter().map(row).collect()
                }
                Err(error) => vec![json!({ "message": error.to_string() })],
            };
            rows.push(json!({ "file": file, "good": checked.is_ok(), "problems": problems }));
        } else {
            match checked {
                Ok(kind) => {
                    println!("{}: a good {} document", file.display(), format!("{kind:?}").to_lowercase())
                }
                Err(error) => println!("{error}"),
            }
        }
    }
    if as_json {
        println!("{}", json!({ "files": rows }));
    }
    // An error, not a negative verdict: the command that would load the document exits with 2 as well.
    anyhow::ensure!(all_valid, "not all documents are valid");
    Ok(true)
}

pub fn fleet(config: &Path) -> Result<bool> {
    let text = settings::read_text(config)?;
    let settings = settings::fleet::parse(&config.display().to_string(), &text)?;
    block_on_local_set(async move {
        let mut stop = stop_signal()?;
        let fleet = Fleet::start(settings, Record::clock_only()).await.context("starting the fleet")?;
        print_line(&json!({ "list": fleet.list_address, "servers": fleet.names().count() }));
        while !*stop.borrow_and_update() && stop.changed().await.is_ok() {}
        Ok(true)
    })
}

/// The short day that `demo` plays, and the document that it includes.
const DEMO: [(&str, &str); 2] = [
    ("days/short.kdl", include_str!("../../../days/short.kdl")),
    ("days/common.kdl", include_str!("../../../days/common.kdl")),
];

pub fn demo(as_json: bool) -> Result<bool> {
    let parts = DEMO.map(|(file, text)| (file.to_owned(), text.to_owned()));
    let day = settings::day::parse(&parts)?;
    let dir = std::env::temp_dir().join(format!("paddleproxy-demo-{}", std::process::id()));
    std::fs::create_dir_all(&dir).with_context(|| format!("making {}", dir.display()))?;
    let control = Control::create(&dir.join("faults"), day.seed)?;
    let kept = play_day(day, &[], &control, &dir, as_json)?;
    if kept {
        std::fs::remove_dir_all(&dir).with_context(|| format!("removing {}", dir.display()))?;
    } else {
        eprintln!("the record is kept in {}", dir.display());
    }
    Ok(kept)
}

/// Runs the demo's routers and emulated servers for manual tests, until SIGTERM or SIGINT.
pub fn keep_demo_running() -> Result<bool> {
    let parts = DEMO.map(|(file, text)| (file.to_owned(), text.to_owned()));
    let day = settings::day::parse(&parts)?;
    let dir = std::env::temp_dir().join(format!("paddleproxy-demo-{}", std::process::id()));
    let program = std::env::current_exe().context("finding this program")?;
    let names = &day.router.names;
    let models: Vec<_> = names.workloads.iter().flat_map(|row| row.models.clone()).collect();
    let keys: Vec<_> = names.customers.iter().flat_map(|row| row.keys.clone()).collect();
    let result = block_on_local_set(async {
        let stop = stop_signal()?;
        let ready = |routers: &[std::net::SocketAddr]| {
            print_line(&json!({ "routers": routers, "models": models, "keys": keys }));
        };
        play::run_until_stopped(day.clone(), program.as_path(), &dir, ready, stop).await
    });
    std::fs::remove_dir_all(&dir).with_context(|| format!("removing {}", dir.display()))?;
    result.map(|()| true)
}

/// Options that override the day's document.
pub struct DayOptions {
    pub out: Option<PathBuf>,
    pub failover_mode: FailoverMode,
    /// Faults of the routers' system calls, each with the fraction of calls that fail.
    pub faults: Vec<(Fault, f64)>,
}

/// Parses `NAME=PART`: a system call fault and the fraction of calls that fail.
pub fn parse_fault(text: &str) -> Result<(Fault, f64), String> {
    let (name, part) = text.split_once('=').ok_or_else(|| format!("'{text}' is not NAME=PART"))?;
    let known = || Fault::ALL.map(Fault::name).join(", ");
    let fault =
        Fault::named(name).ok_or_else(|| format!("unknown fault '{name}'; known faults: {}", known()))?;
    let part = part.parse().ok().filter(|part| (0.0..=1.0).contains(part));
    part.map(|part| (fault, part)).ok_or_else(|| format!("'{text}': PART is not a number from 0 to 1"))
}

/// The program with the fault injection library preloaded into its processes.
fn with_faults(program: PathBuf, faults: &[(Fault, f64)], control: &Control) -> Result<play::Program> {
    const MAX_STALL_MS: f64 = 140.0;
    let library = paddleproxy_faults::library()
        .context("the fault injection library was not found near this program")?;
    control.set_stall_ms(MAX_STALL_MS)?;
    faults.iter().try_for_each(|(fault, part)| control.set_rate(*fault, *part))?;
    let environment = vec![
        ("LD_PRELOAD".to_owned(), library.into_os_string()),
        (CONTROL_VARIABLE.to_owned(), control.path().as_os_str().to_owned()),
    ];
    Ok(play::Program { path: program, environment })
}

pub fn day(file: &Path, options: DayOptions, as_json: bool) -> Result<bool> {
    let DayOptions { out, failover_mode, faults } = options;
    let mut day = settings::day::load(file)?;
    day.set_failover_mode(failover_mode);
    let dir =
        out.unwrap_or_else(|| std::env::temp_dir().join(format!("paddleproxy-day-{}", std::process::id())));
    std::fs::create_dir_all(&dir).with_context(|| format!("making {}", dir.display()))?;
    let control = Control::create(&dir.join("faults"), day.seed)?;
    let kept = play_day(day, &faults, &control, &dir, as_json)?;
    for (fault, _) in &faults {
        eprintln!("{}: injected {} times", fault.name(), control.injected(*fault)?);
    }
    eprintln!("record: {}", dir.display());
    Ok(kept)
}

/// Plays a day and prints its report; returns whether every rule was kept.
fn play_day(
    day: settings::day::DaySettings,
    faults: &[(Fault, f64)],
    control: &Control,
    dir: &Path,
    as_json: bool,
) -> Result<bool> {
    let program = std::env::current_exe().context("finding this program")?;
    let program = match faults.is_empty() {
        true => play::Program::from(program.as_path()),
        false => with_faults(program, faults, control)?,
    };
    let (facts, lines) = block_on_local_set(play::play(day, program, dir))?;
    Ok(print_report(&facts, &lines, as_json))
}

pub fn audit(dir: &Path, as_json: bool) -> Result<bool> {
    let (facts, lines) = play::read(dir)?;
    Ok(print_report(&facts, &lines, as_json))
}

/// Checks the rules against a record and prints the report; returns whether every rule was kept.
fn print_report(facts: &checker::Facts, lines: &[paddleproxy_fleet::record::Line], as_json: bool) -> bool {
    let report = report::report(facts, lines);
    match as_json {
        true => println!("{}", serde_json::to_string(&report).unwrap_or_default()),
        false => print!("{}", report.text()),
    }
    report.kept
}

pub fn bench(alone: bool, quick: bool, as_json: bool) -> Result<bool> {
    use paddleproxy_bench::Plan;
    let program = std::env::current_exe().context("finding this program")?;
    let plan = if quick { Plan::quick() } else { Plan::default() };
    let print_progress = |step: &str| eprintln!("measuring: {step}");
    let report = match alone {
        true => block_on_local_set(paddleproxy_bench::run_alone(&plan, print_progress))?,
        false => block_on_local_set(paddleproxy_bench::run(&program, &plan, print_progress))?,
    };
    match as_json {
        true => println!("{}", serde_json::to_string(&report)?),
        false => print!("{}", report.text()),
    }
    Ok(true)
}

/// Options of a rehearsal that override its day.
pub struct RehearsalOptions {
    pub routers: Option<usize>,
    pub fleets: usize,
    pub load: f64,
    pub seed: u64,
    pub policy: String,
}

pub fn rehearse(
    file: &Path,
    overrides: &RehearsalOptions,
    html: Option<&Path>,
    out: Option<&Path>,
    as_json: bool,
) -> Result<bool> {
    use paddleproxy_emulator::{run, Options, Policy};
    let day = std::rc::Rc::new(settings::day::load(file)?);
    let policy = Policy::ALL.iter().find(|(name, _)| *name == overrides.policy);
    let names: Vec<_> = Policy::ALL.iter().map(|(name, _)| *name).collect();
    let policy = policy.with_context(|| format!("unknown --policy; known policies: {}", names.join(", ")))?.1;
    let options = Options {
        policy,
        seed: overrides.seed,
        routers: overrides.routers,
        load: overrides.load,
        fleets: overrides.fleets,
        ..Options::default()
    };
    let start = std::time::Instant::now();
    let run = run(&day, &options);
    let took_s = start.elapsed().as_secs_f64();
    let facts = checker::Facts::of(&day);
    let report = report::report(&facts, &run.lines);
    let rehearsal = paddleproxy_rehearsal::rehearsal(&facts, &run.lines);
    let routers = overrides.routers.unwrap_or(day.routers);
    let servers = day.fleet.servers.len() * overrides.fleets.max(1);
    let summary = format!(
        "Simulated: {routers} routers with {} decisions, {servers} servers, \
         {:.0} s of virtual time, seed {}.",
        overrides.policy,
        run.ended_ms / 1e3,
        overrides.seed
    );
    if let Some(dir) = out {
        std::fs::create_dir_all(dir).with_context(|| format!("making {}", dir.display()))?;
        play::write(dir, &facts, &run.lines)?;
    }
    if let Some(path) = html {
        let page = paddleproxy_rehearsal::page(&report, &rehearsal, &summary)?;
        std::fs::write(path, page).with_context(|| format!("writing {}", path.display()))?;
    }
    if as_json {
        println!("{}", json!({ "report": report, "rehearsal": rehearsal, "events": run.events }));
        return Ok(report.kept && !run.cut_short);
    }
    print!("{}", report.text().replace("real routers on local sockets", "real decisions in virtual time"));
    let share = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.3}"));
    for trouble in &rehearsal.troubles {
        let recovery =
            trouble.recovered_after_ms.map_or("not within the day".into(), |ms| format!("{:.1} s", ms / 1e3));
        let (name, from, to) = (&trouble.span.name, trouble.span.from_ms / 1e3, trouble.span.to_ms / 1e3);
        let rows = trouble.workloads.iter();
        let rows: Vec<_> =
            rows.map(|(name, around)| format!("{name} {}", around.map(share).join("/"))).collect();
        println!(
            "{name} {from:.1} to {to:.1} s, before/during/after: {}; recovered after {recovery}",
            rows.join(", ")
        );
    }
    println!("{summary}");
    println!("took {took_s:.1} s, {} events, {} dispatches", run.events, run.dispatches);
    let [arrived, completed, refused, dropped, open] = run.balance;
    println!(
        "at servers: {arrived} came = {completed} done + {refused} refused + {dropped} dropped + {open} open"
    );
    println!(
        "law of Little: {:.2} in hand, {:.2} by rate and stay",
        run.mean_in_system, run.rate_times_sojourn
    );
    if run.cut_short {
        println!("cut short: the bound on events was reached");
    }
    Ok(report.kept && !run.cut_short)
}

pub fn experiment(file: &Path, csv: &Path, html: Option<&Path>) -> Result<bool> {
    use paddleproxy_rehearsal::experiment::{experiment, summary};
    let settings = settings::experiment::load(file)?;
    let bar = indicatif::ProgressBar::new(1);
    let rows = experiment(&settings, csv, |done, total| {
        bar.set_length(total as u64);
        bar.set_position(done as u64);
    })?;
    bar.finish_and_clear();
    let summary = summary(&settings, &rows);
    print!("{summary}");
    if let Some(path) = html {
        let page = paddleproxy_rehearsal::experiment_page(&settings, &rows, &summary)?;
        std::fs::write(path, page).with_context(|| format!("writing {}", path.display()))?;
    }
    Ok(rows.iter().all(|row| row.figures[6] == 0.0))
}

pub fn cost(
    file: &Path,
    fleets: &[usize],
    routers: usize,
    html: Option<&Path>,
    as_json: bool,
) -> Result<bool> {
    use paddleproxy_rehearsal::cost;
    let day = std::rc::Rc::new(settings::day::load(file)?);
    let sizes = cost::sizes(&day, fleets, routers, |size| {
        if !as_json {
            let memory = size.memory_mib.map_or("-".into(), |mib| format!("{mib:.0}"));
            println!(
                "{} servers, {} routers: {:.0} s in {:.2} s, {} events, {} dispatches, {memory} MiB",
                size.servers, size.routers, size.virtual_s, size.took_s, size.events, size.dispatches
            );
        }
    });
    if as_json {
        println!("{}", serde_json::to_string(&sizes)?);
    }
    if let Some(path) = html {
        std::fs::write(path, cost::page(&sizes)?).with_context(|| format!("writing {}", path.display()))?;
    }
    Ok(true)
}
