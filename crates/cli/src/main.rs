//! Command line of `paddleproxy`: arguments, log setup and exit codes.
//!
//! Exit code 0: success. 1: the command ran, but a check failed or a router could not be queried. 2: error.

mod days;
mod failover;
mod operators;
mod peers;
mod run;
mod soak;
mod store;

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use paddleproxy_settings::day_failover::FailoverMode;

/// Routes completions to reader, writer and mixed model servers.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// Format of log lines on standard error: one JSON object each, or readable text.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    /// Log filter, as `level` or `target=level,...`.
    #[arg(long, global = true, default_value = "warn")]
    log: String,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    Text,
    Json,
}

#[derive(Clone, Copy, ValueEnum, PartialEq, Eq)]
pub enum StoreCommand {
    /// Reports inconsistencies; exits with 1 if anything is damaged.
    Check,
    /// Prints every live entry.
    Dump,
    /// Prints counts and sizes.
    Stats,
    /// Replaces the log with a snapshot. The router must not be running.
    Compact,
    /// Truncates torn records and sets damaged files aside. The router must not be running.
    Repair,
}

#[derive(Clone, Copy, ValueEnum, PartialEq, Eq)]
pub enum WorkersCommand {
    /// Lists the servers that each router knows.
    List,
    /// Sends the server no new work.
    Drain,
    /// Ends a drain or a quarantine.
    Undrain,
    /// Takes the server out of use as broken.
    Quarantine,
    /// Accepts the version of the server list that is held back.
    Accept,
}

#[derive(Clone, Copy, ValueEnum, PartialEq, Eq)]
pub enum PeersCommand {
    /// Shows each router's status and its view of the others side by side; differences are marked.
    List,
    /// Prints changes as they occur.
    Watch,
    /// Shows the updates, with their times and senders, that led each router to its view of one peer.
    Explain,
}

#[derive(Clone, Copy, ValueEnum, PartialEq, Eq)]
pub enum FailoverCommand {
    /// Shows each router's view of the zones and the plan in force there.
    Plan,
    /// Explains why a zone's sessions have their homes where they do.
    Explain,
    /// Keeps the zone's sessions where they are now, whatever is observed.
    Hold,
    /// Moves the zone's sessions away, as far as other zones have capacity.
    DrainZone,
    /// Moves the zone's sessions back.
    Return,
}

/// How failover is decided in a day.
#[derive(Clone, Copy, ValueEnum, PartialEq, Eq)]
enum DayFailover {
    /// The routers decide together, as the day's settings say.
    Common,
    /// No failover: routers run without `failover`.
    Off,
    /// No failover and no contact between routers: they run without `peers` and without relays between them.
    Strangers,
    /// Each router decides from its own evidence.
    Alone,
    /// Operator commands report the true state one exchange late.
    Told,
}

impl DayFailover {
    fn mode(self) -> FailoverMode {
        match self {
            DayFailover::Common => FailoverMode::Configured,
            DayFailover::Off => FailoverMode::NoFailover,
            DayFailover::Strangers => FailoverMode::NoPeers,
            DayFailover::Alone => FailoverMode::OwnEvidence,
            DayFailover::Told => FailoverMode::TrueState,
        }
    }

    fn name(self) -> &'static str {
        match self {
            DayFailover::Common => "common",
            DayFailover::Off => "off",
            DayFailover::Strangers => "strangers",
            DayFailover::Alone => "alone",
            DayFailover::Told => "told",
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Runs one router until SIGTERM or SIGINT.
    Serve {
        #[arg(long)]
        config: PathBuf,
    },
    /// Runs one router on the operators' platform, with the configuration file that EDGE_CONFIG names, until
    /// SIGTERM.
    Platform {
        /// Configuration file to use instead of the one that EDGE_CONFIG names.
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Shows what routers know of their servers, and from which sources.
    Status {
        /// Admin addresses of routers.
        #[arg(long = "router", required = true)]
        routers: Vec<std::net::SocketAddr>,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Lists the servers of routers, or sends the routers a command for one server.
    Workers {
        #[arg(value_enum)]
        what: WorkersCommand,
        /// Name of the server; not for `list` and `accept`.
        name: Option<String>,
        /// Admin addresses of routers.
        #[arg(long = "router", required = true)]
        routers: Vec<std::net::SocketAddr>,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Shows what routers know of each other.
    Peers {
        #[arg(value_enum)]
        what: PeersCommand,
        /// The peer by name or index (`place`); for `explain`.
        name: Option<String>,
        /// Admin addresses of routers.
        #[arg(long = "router", required = true)]
        routers: Vec<std::net::SocketAddr>,
        /// How long `watch` runs, in seconds.
        #[arg(long = "for", default_value_t = 3600.0)]
        for_s: f64,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Failover between zones: shows what routers observe and agreed on, or sends an operator command for a
    /// zone.
    Failover {
        #[arg(value_enum)]
        what: FailoverCommand,
        /// Name of the zone; not for `plan`.
        zone: Option<String>,
        /// Admin addresses of routers; a command goes to the first that answers, which passes it on to all.
        #[arg(long = "router", required = true)]
        routers: Vec<std::net::SocketAddr>,
        /// How long a command stays in force, in minutes.
        #[arg(long = "for", default_value_t = 60.0)]
        for_min: f64,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Inspects or repairs a router's store. `check`, `dump` and `stats` change nothing.
    Store {
        #[arg(value_enum)]
        what: StoreCommand,
        /// The directory `store` under a router's `state-dir`.
        dir: PathBuf,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Validates KDL documents of any kind and explains their errors.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Plays the short day built into the program (3 routers, 12 emulated servers, some faults); prints the
    /// verdict.
    Demo {
        /// Plays no day: starts the routers and emulated servers, prints the routers' addresses and runs
        /// until SIGTERM or SIGINT.
        #[arg(long)]
        keep: bool,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Plays a scripted day and checks the five rules against the recorded socket traffic.
    Day {
        file: PathBuf,
        /// Directory of the record; defaults to a new temporary directory.
        #[arg(long)]
        out: Option<PathBuf>,
        /// How failover is decided, if the day has it.
        #[arg(long, value_enum, default_value_t = DayFailover::Common)]
        failover: DayFailover,
        /// Faults of the routers' system calls, as NAME=PART; PART is the fraction of calls that fail.
        #[arg(long, value_delimiter = ',', value_parser = run::parse_fault)]
        faults: Vec<(paddleproxy_faults::Fault, f64)>,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Plays several days, each with every failover mode that is named, and prints one table.
    Days {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long, value_enum, value_delimiter = ',', default_value = "common")]
        failover: Vec<DayFailover>,
        /// Number of days played at once.
        #[arg(long, default_value_t = 3)]
        at_once: usize,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Plays random scripts of faults between processes; one that breaks a rule is minimized and printed.
    Scripts {
        /// Document that every script includes.
        #[arg(long, default_value = "days/fellows-common.kdl")]
        common: PathBuf,
        /// Seed of the first script.
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 10)]
        count: u64,
        /// Directory for the scripts, and for records of those that broke a rule.
        #[arg(long)]
        out: PathBuf,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Plays random overlapping faults on real router processes of the platform; checks the recorded socket
    /// traffic.
    Soak {
        /// Seed of the first run.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of runs, each with the next seed.
        #[arg(long, default_value_t = 1)]
        count: u64,
        /// How long clients send requests in each run: `30`, `30s` or `5m`; a bare number is in seconds.
        #[arg(long = "for", default_value = "30s", value_parser = soak::parse_duration_s)]
        for_s: f64,
        /// Router processes of each run; drawn from the seed by default.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=40))]
        processes: Option<u16>,
        /// Troubles (kinds of faults) that may occur, by name, or `all`.
        #[arg(long, value_delimiter = ',', default_value = "all")]
        troubles: Vec<String>,
        /// Plays this script instead of a random one.
        #[arg(long)]
        script: Vec<PathBuf>,
        /// Program whose `platform` command is the router; this one by default.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Directory for scripts and logs of runs that broke a rule.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Minimizes the script of a run that broke a rule before it is saved.
        #[arg(long)]
        shrink: bool,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Checks a recorded day again, from its record alone.
    Audit {
        dir: PathBuf,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Plays a day in virtual time: real decisions of all routers; modelled servers, links, server list and
    /// clients.
    Rehearse {
        file: PathBuf,
        /// Number of routers, instead of the day's.
        #[arg(long)]
        routers: Option<usize>,
        /// Number of copies of the day's fleet, each with cells of its own.
        #[arg(long, default_value_t = 1)]
        fleets: usize,
        /// Factor on the rate at which the day begins sessions.
        #[arg(long, default_value_t = 1.0)]
        load: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Routing policy: `design`, or one of the baselines.
        #[arg(long, default_value = "design")]
        policy: String,
        /// Writes an HTML page with plots over time to this file.
        #[arg(long)]
        html: Option<PathBuf>,
        /// Writes the record, for `audit`, to this directory.
        #[arg(long)]
        out: Option<PathBuf>,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Plays a grid of variations of a day in virtual time on all cores; resumes after an interruption.
    Experiment {
        file: PathBuf,
        /// Result file, one line for each run; runs that it already holds are not repeated.
        #[arg(long)]
        csv: PathBuf,
        /// Writes an HTML page with plots to this file.
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// Plays a day in virtual time with more and more servers; reports time, events, dispatches and memory.
    Cost {
        file: PathBuf,
        /// Numbers of copies of the day's fleet, played in turn.
        #[arg(long, value_delimiter = ',', default_values_t = [1, 2, 4, 8, 16, 33])]
        fleets: Vec<usize>,
        #[arg(long, default_value_t = 24)]
        routers: usize,
        /// Writes an HTML page with plots to this file.
        #[arg(long)]
        html: Option<PathBuf>,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Load-tests a router on loopback: added latency, CPU time per completion, memory.
    Bench {
        /// Runs only the parts that need no router: changes of the server list, and the store.
        #[arg(long)]
        alone: bool,
        /// Runs for a few seconds in all instead of a few minutes.
        #[arg(long)]
        quick: bool,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Runs emulated model servers and their list service until SIGTERM or SIGINT.
    Fleet {
        #[arg(long)]
        config: PathBuf,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let filter = match tracing_subscriber::EnvFilter::try_new(&arguments.log) {
        Ok(filter) => filter,
        Err(error) => {
            eprintln!("paddleproxy: --log: {error}");
            return ExitCode::from(2);
        }
    };
    // A log line that can't be written is dropped: reporting it would panic if standard error itself fails.
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .log_internal_errors(false);
    let set_log = match arguments.log_format {
        LogFormat::Text => {
            let logs = logs.with_filter_reloading();
            let handle = logs.reload_handle();
            logs.init();
            log_setter(move |filter| handle.reload(filter).map_err(|error| error.to_string()))
        }
        LogFormat::Json => {
            let logs = logs.json().with_filter_reloading();
            let handle = logs.reload_handle();
            logs.init();
            log_setter(move |filter| handle.reload(filter).map_err(|error| error.to_string()))
        }
    };
    let result = match arguments.command {
        Command::Serve { config } => run::serve(&config, set_log),
        Command::Platform { config } => run::platform(config),
        Command::Store { what, dir, format } => store::run(what, &dir, format == Format::Json),
        Command::Status { routers, format } => operators::status(&routers, format == Format::Json),
        Command::Peers { what, name, routers, for_s, format } => {
            peers::run(what, name.as_deref(), &routers, for_s, format == Format::Json)
        }
        Command::Workers { what, name, routers, format } => {
            operators::workers(what, name.as_deref(), &routers, format == Format::Json)
        }
        Command::Check { files, format } => run::check(&files, format == Format::Json),
        Command::Demo { keep: true, .. } => run::keep_demo_running(),
        Command::Demo { format, .. } => run::demo(format == Format::Json),
        Command::Day { file, out, failover, faults, format } => {
            let options = run::DayOptions { out, failover_mode: failover.mode(), faults };
            run::day(&file, options, format == Format::Json)
        }
        Command::Days { files, failover, at_once, format } => {
            let modes: Vec<_> = failover.into_iter().map(DayFailover::name).collect();
            days::table(&files, &modes, at_once, format == Format::Json)
        }
        Command::Scripts { common, from, count, out, format } => {
            days::scripts(&common, from, count, &out, format == Format::Json)
        }
        Command::Failover { what, zone, routers, for_min, format } => {
            failover::run(what, zone.as_deref(), &routers, for_min, format == Format::Json)
        }
        Command::Soak { seed, count, for_s, processes, troubles, script, program, out, shrink, format } => {
            let processes = processes.map(usize::from);
            let options =
                soak::SoakOptions { seed, count, for_s, processes, troubles, script, program, out, shrink };
            soak::run(&options, format == Format::Json)
        }
        Command::Audit { dir, format } => run::audit(&dir, format == Format::Json),
        Command::Bench { alone, quick, format } => run::bench(alone, quick, format == Format::Json),
        Command::Rehearse { file, routers, fleets, load, seed, policy, html, out, format } => {
            let options = run::RehearsalOptions { routers, fleets, load, seed, policy };
            run::rehearse(&file, &options, html.as_deref(), out.as_deref(), format == Format::Json)
        }
        Command::Experiment { file, csv, html } => run::experiment(&file, &csv, html.as_deref()),
        Command::Cost { file, fleets, routers, html, format } => {
            run::cost(&file, &fleets, routers, html.as_deref(), format == Format::Json)
        }
        Command::Fleet { config } => run::fleet(&config),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "paddleproxy: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Returns a function that replaces the log filter while the program runs.
fn log_setter(
    reload: impl Fn(tracing_subscriber::EnvFilter) -> Result<(), String> + 'static,
) -> paddleproxy_router::LogSetter {
    Box::new(move |filter: &str| {
        reload(tracing_subscriber::EnvFilter::try_new(filter).map_err(|error| error.to_string())?)
    })
}
