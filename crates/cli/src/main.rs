//! The program `paddleproxy`.

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

/// Routes completions over readers, writers and mixed model servers.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// Log lines on standard error: one JSON object each, or readable text.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    /// What is logged, as `level` or `target=level,...`.
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
    /// Says what does not fit; exit 1 where something is damaged.
    Check,
    /// Prints every live entry.
    Dump,
    /// Counts and sizes.
    Stats,
    /// Writes a snapshot in place of the log. The router must not run.
    Compact,
    /// Cuts off what is torn and keeps aside what is damaged. The router must not run.
    Repair,
}

#[derive(Clone, Copy, ValueEnum, PartialEq, Eq)]
pub enum WorkersCommand {
    /// What each router knows.
    List,
    /// No new work to it.
    Drain,
    /// Ends a drain or a quarantine.
    Undrain,
    /// Sets it aside as broken.
    Quarantine,
    /// Takes the version of the list that is held.
    Accept,
}

#[derive(Clone, Copy, ValueEnum, PartialEq, Eq)]
pub enum PeersCommand {
    /// How each stands and what it holds of the others, side by side; what differs is marked.
    List,
    /// Prints what changes.
    Watch,
    /// By what words and when each router came to what it thinks of one.
    Explain,
}

#[derive(Clone, Copy, ValueEnum, PartialEq, Eq)]
pub enum FailoverCommand {
    /// What each router sees of zones, and which plan is in force there.
    Plan,
    /// Why a zone's sessions have their homes where they have.
    Explain,
    /// The zone's sessions stay where they are now, whatever is seen.
    Hold,
    /// The zone's sessions move away, as far as others have room.
    DrainZone,
    /// The zone's sessions come back.
    Return,
}

/// Who decides on failover in a day.
#[derive(Clone, Copy, ValueEnum, PartialEq, Eq)]
enum DayFailover {
    /// The routers in common, as the day's settings say.
    Common,
    /// Nobody: routers without `failover`.
    Off,
    /// Nobody, and routers don't know each other: without `peers`, and without relays between them.
    Strangers,
    /// Each router by its own evidence.
    Alone,
    /// Operators' words tell the true state one exchange late.
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
    /// Runs one router until it is told to stop.
    Serve {
        #[arg(long)]
        config: PathBuf,
    },
    /// Runs one router on the operators' platform, by the configuration that EDGE_CONFIG names, until SIGTERM.
    Platform {
        /// Instead of the file that EDGE_CONFIG names.
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// What routers know of their servers, and where they have it from.
    Status {
        /// Admin addresses of routers.
        #[arg(long = "router", required = true)]
        routers: Vec<std::net::SocketAddr>,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Lists servers at routers, or says something of one.
    Workers {
        #[arg(value_enum)]
        what: WorkersCommand,
        /// The server; not for `list` and `accept`.
        name: Option<String>,
        /// Admin addresses of routers.
        #[arg(long = "router", required = true)]
        routers: Vec<std::net::SocketAddr>,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// What routers know of each other.
    Peers {
        #[arg(value_enum)]
        what: PeersCommand,
        /// The fellow by its name or place; for `explain`.
        name: Option<String>,
        /// Admin addresses of routers.
        #[arg(long = "router", required = true)]
        routers: Vec<std::net::SocketAddr>,
        /// How long `watch` goes on, in seconds.
        #[arg(long = "for", default_value_t = 3600.0)]
        for_s: f64,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Failover between zones: what routers see and agreed, and operators' words on a zone.
    Failover {
        #[arg(value_enum)]
        what: FailoverCommand,
        /// The zone; not for `plan`.
        zone: Option<String>,
        /// Admin addresses of routers; a word is said to the first that answers, and told to all by it.
        #[arg(long = "router", required = true)]
        routers: Vec<std::net::SocketAddr>,
        /// How long a word holds, in minutes.
        #[arg(long = "for", default_value_t = 60.0)]
        for_min: f64,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Looks at a router's store, or mends it. `check`, `dump` and `stats` change nothing.
    Store {
        #[arg(value_enum)]
        what: StoreCommand,
        /// The directory `store` under a router's `state-dir`.
        dir: PathBuf,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Checks KDL documents of any kind and explains what is wrong.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Plays the short day that comes with the program: 3 routers, 12 stand-ins, some troubles; prints the verdict.
    Demo {
        /// Plays nothing, but keeps the routers and stand-ins running until it is told to stop, and says where.
        #[arg(long)]
        keep: bool,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Plays a scripted day and judges the five rules from what the sockets carried.
    Day {
        file: PathBuf,
        /// Where the record goes; a new folder for temporary files where absent.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Who decides on failover, where the day has it.
        #[arg(long, value_enum, default_value_t = DayFailover::Common)]
        failover: DayFailover,
        /// System calls of routers that fail, as NAME=PART of their calls.
        #[arg(long, value_delimiter = ',', value_parser = run::parse_fault)]
        faults: Vec<(paddleproxy_faults::Fault, f64)>,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Plays several days, each in every way of deciding on failover that is named, and prints one table.
    Days {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long, value_enum, value_delimiter = ',', default_value = "common")]
        failover: Vec<DayFailover>,
        /// Days played at once.
        #[arg(long, default_value_t = 3)]
        at_once: usize,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Plays random scripts of faults between processes; one that breaks a rule is made smaller and printed.
    Scripts {
        /// The document that every script includes.
        #[arg(long, default_value = "days/fellows-common.kdl")]
        common: PathBuf,
        /// Seed of the first.
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 10)]
        count: u64,
        /// Where scripts go, and records of those that broke a rule.
        #[arg(long)]
        out: PathBuf,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Plays random overlapping faults on real router processes of the platform and judges what the sockets carried.
    Soak {
        /// Seed of the first play.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Plays, each with the next seed.
        #[arg(long, default_value_t = 1)]
        count: u64,
        /// How long clients come in each play, in seconds.
        #[arg(long = "for", default_value = "30s", value_parser = soak::parse_duration_s)]
        for_s: f64,
        /// Router processes of each play; drawn from the seed where absent.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=40))]
        processes: Option<u16>,
        /// Troubles that may come, by name, or `all`.
        #[arg(long, value_delimiter = ',', default_value = "all")]
        troubles: Vec<String>,
        /// Plays this script instead of drawing one.
        #[arg(long)]
        script: Vec<PathBuf>,
        /// The program whose `platform` command is the router; this one where absent.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Where scripts and logs of broken plays go.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Makes a broken play smaller before it is kept.
        #[arg(long)]
        shrink: bool,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Judges a recorded day again, from its record alone.
    Audit {
        dir: PathBuf,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Plays a day in virtual time: the real decisions of all routers, servers, links, list and clients as a model.
    Rehearse {
        file: PathBuf,
        /// Routers instead of the day's.
        #[arg(long)]
        routers: Option<usize>,
        /// Copies of the day's fleet, each with cells of its own.
        #[arg(long, default_value_t = 1)]
        fleets: usize,
        /// Sessions begun, times the day's.
        #[arg(long, default_value_t = 1.0)]
        load: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Who decides: `design`, or one of the baselines.
        #[arg(long, default_value = "design")]
        policy: String,
        /// Writes a page with plots over time.
        #[arg(long)]
        html: Option<PathBuf>,
        /// Writes the record, for `audit`.
        #[arg(long)]
        out: Option<PathBuf>,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Plays a grid of variations of a day in virtual time over all cores; goes on where it was cut off.
    Experiment {
        file: PathBuf,
        /// A line for each run; what stands there is not played again.
        #[arg(long)]
        csv: PathBuf,
        /// Writes a page with plots.
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// Plays a day in virtual time with more and more servers and says what that costs.
    Cost {
        file: PathBuf,
        /// Copies of the day's fleet, in turn.
        #[arg(long, value_delimiter = ',', default_values_t = [1, 2, 4, 8, 16, 33])]
        fleets: Vec<usize>,
        #[arg(long, default_value_t = 24)]
        routers: usize,
        /// Writes a page with plots.
        #[arg(long)]
        html: Option<PathBuf>,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Loads a router on loopback: added latency, CPU a completion, memory.
    Bench {
        /// Only what needs no router: changes of the list, and the store.
        #[arg(long)]
        alone: bool,
        /// A few seconds in all instead of a few minutes.
        #[arg(long)]
        quick: bool,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Runs stand-in model servers and their list service until it is told to stop.
    Fleet {
        #[arg(long)]
        config: PathBuf,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let filter = match tracing_subscriber::EnvFilter::try_new(&arguments.log) {
        Ok(filter) => filter,
        Err(cause) => {
            eprintln!("paddleproxy: --log: {cause}");
            return ExitCode::from(2);
        }
    };
    // A line that can't be written is lost; telling of it would panic where standard error itself is what fails.
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .log_internal_errors(false);
    let set_log = match arguments.log_format {
        LogFormat::Text => {
            let logs = logs.with_filter_reloading();
            let handle = logs.reload_handle();
            logs.init();
            log_setter(move |filter| handle.reload(filter).map_err(|cause| cause.to_string()))
        }
        LogFormat::Json => {
            let logs = logs.json().with_filter_reloading();
            let handle = logs.reload_handle();
            logs.init();
            log_setter(move |filter| handle.reload(filter).map_err(|cause| cause.to_string()))
        }
    };
    let done = match arguments.command {
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
            let varied = run::DayOptions { out, failover_mode: failover.mode(), faults };
            run::day(&file, varied, format == Format::Json)
        }
        Command::Days { files, failover, at_once, format } => {
            let ways: Vec<_> = failover.into_iter().map(DayFailover::name).collect();
            days::table(&files, &ways, at_once, format == Format::Json)
        }
        Command::Scripts { common, from, count, out, format } => {
            days::scripts(&common, from, count, &out, format == Format::Json)
        }
        Command::Failover { what, zone, routers, for_min, format } => {
            failover::run(what, zone.as_deref(), &routers, for_min, format == Format::Json)
        }
        Command::Soak { seed, count, for_s, processes, troubles, script, program, out, shrink, format } => {
            let processes = processes.map(usize::from);
            let wanted =
                soak::SoakOptions { seed, count, for_s, processes, troubles, script, program, out, shrink };
            soak::run(&wanted, format == Format::Json)
        }
        Command::Audit { dir, format } => run::audit(&dir, format == Format::Json),
        Command::Bench { alone, quick, format } => run::bench(alone, quick, format == Format::Json),
        Command::Rehearse { file, routers, fleets, load, seed, policy, html, out, format } => {
            let varied = run::RehearsalOptions { routers, fleets, load, seed, policy };
            run::rehearse(&file, &varied, html.as_deref(), out.as_deref(), format == Format::Json)
        }
        Command::Experiment { file, csv, html } => run::experiment(&file, &csv, html.as_deref()),
        Command::Cost { file, fleets, routers, html, format } => {
            run::cost(&file, &fleets, routers, html.as_deref(), format == Format::Json)
        }
        Command::Fleet { config } => run::fleet(&config),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(cause) => {
            let _ = writeln!(std::io::stderr(), "paddleproxy: {cause:#}");
            ExitCode::from(2)
        }
    }
}

/// Changes what is logged while the program runs.
fn log_setter(
    reload: impl Fn(tracing_subscriber::EnvFilter) -> Result<(), String> + 'static,
) -> paddleproxy_router::LogSetter {
    Box::new(move |wanted: &str| {
        reload(tracing_subscriber::EnvFilter::try_new(wanted).map_err(|cause| cause.to_string())?)
    })
}
