//! Plays a grid of variations of one day, each with several seeds, on all cores. Each run is a line of a CSV
//! file; runs that the file already holds are not played again.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

use anyhow::{bail, Context, Result};
use paddleproxy_day::checker::Facts;
use paddleproxy_day::report::report;
use paddleproxy_emulator::{run, Options, Policy, StoreRecovery};
use paddleproxy_settings::day::DaySettings;
use paddleproxy_settings::experiment::ExperimentSettings;
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::phases::rehearsal;

/// One point of the grid: the varied parameters as name and value.
pub type Point = Vec<(&'static str, String)>;

/// Names of the figures of one run; the columns of the CSV file have the same order.
pub const FIGURES: [&str; 7] =
    ["service", "worst_during", "recovered_ms", "finished", "refused", "wasted", "rules_broken"];

/// Result of the run of one point and seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub point: String,
    pub seed: u64,
    pub figures: [f64; FIGURES.len()],
}

/// All points of the grid.
pub fn points(settings: &ExperimentSettings) -> Vec<Point> {
    let numbers = |values: &[f64]| values.iter().map(f64::to_string).collect::<Vec<_>>();
    let integers = |values: &[usize]| values.iter().map(usize::to_string).collect::<Vec<_>>();
    let parameters: [(&'static str, Vec<String>); 10] = [
        ("memory", settings.memory.clone()),
        ("policy", settings.policies.clone()),
        ("routers", integers(&settings.routers)),
        ("fleets", integers(&settings.fleets)),
        ("load", numbers(&settings.load)),
        ("retries", integers(&settings.retries)),
        ("max_retry_after_ms", numbers(&settings.max_retry_after_ms)),
        ("list_delay_ms", numbers(&settings.list_delay_ms)),
        ("cold_ms", numbers(&settings.cold_ms)),
        ("most_removed", numbers(&settings.most_removed)),
    ];
    let mut grid: Vec<Point> = vec![Vec::new()];
    for (name, values) in parameters.into_iter().filter(|(_, values)| !values.is_empty()) {
        let with = |point: &Point, value: &String| {
            let mut point = point.clone();
            point.push((name, value.clone()));
            point
        };
        grid = grid
            .iter()
            .flat_map(|point| values.iter().map(|value| with(point, value)).collect::<Vec<_>>())
            .collect();
    }
    grid
}

/// Name of a point: its parameters with their values.
pub fn title(point: &Point) -> String {
    let parts: Vec<_> = point.iter().map(|(name, value)| format!("{name}={value}")).collect();
    if parts.is_empty() {
        "as it is".into()
    } else {
        parts.join(" ")
    }
}

/// Plays the day at one point of the grid with one seed; returns its figures.
fn play(day: &Path, point: &Point, seed: u64) -> Result<[f64; FIGURES.len()]> {
    let mut day: DaySettings = paddleproxy_settings::day::load(day)?;
    let mut options = Options { seed, ..Options::default() };
    for (name, value) in point {
        let number = || value.parse::<f64>().with_context(|| format!("{name}={value}"));
        match *name {
            "policy" => {
                let found = Policy::ALL.iter().find(|(known, _)| known == value);
                options.policy = found.with_context(|| format!("unknown policy '{value}'"))?.1;
            }
            "routers" => options.routers = Some(number()? as usize),
            "fleets" => options.fleets = number()? as usize,
            "load" => options.load = number()?,
            "retries" => {
                let retries = number()? as usize;
                day.clients.iter_mut().for_each(|load| load.retries = retries);
            }
            "max_retry_after_ms" => day.router.decisions.max_retry_after_ms = number()?,
            "list_delay_ms" => day.fleet.list_delay_ms = number()?,
            "cold_ms" => (day.fleet.cold_ms, day.router.decisions.cold_ms) = (number()?, number()?),
            "memory" => {
                let found = StoreRecovery::ALL.iter().find(|(known, _)| known == value);
                options.recovery = found.with_context(|| format!("unknown memory model '{value}'"))?.1;
            }
            "most_removed" => day.router.membership.most_removed = number()?,
            other => bail!("unknown parameter '{other}'"),
        }
    }
    let day = Rc::new(day);
    let run = run(&day, &options);
    let facts = Facts::of(&day);
    let (report, over_time) = (report(&facts, &run.lines), rehearsal(&facts, &run.lines));
    let values: BTreeMap<&str, f64> =
        facts.workloads.iter().map(|row| (row.name.as_str(), row.value)).collect();
    let value = |name: &str| values.get(name).copied().unwrap_or(1.0);
    let sum = |of: &dyn Fn(&paddleproxy_day::report::Service) -> f64| -> f64 {
        report.workloads.iter().map(|row| of(row) * value(&row.name)).sum()
    };
    let asked = sum(&|row| (row.asked - row.left) as f64).max(1.0);
    let during =
        over_time.troubles.iter().flat_map(|phase| phase.workloads.values().filter_map(|around| around[1]));
    let recovered = over_time.troubles.iter().map(|phase| phase.recovered_after_ms.unwrap_or(f64::INFINITY));
    Ok([
        sum(&|row| row.in_target * (row.asked - row.left) as f64) / asked,
        during.fold(1.0, f64::min),
        recovered.fold(0.0, f64::max),
        sum(&|row| row.finished as f64) / asked,
        sum(&|row| row.rate_limited as f64) / asked,
        // Wasted: dispatches that servers worked on although their result was not used.
        run.balance[3] as f64 / (run.balance[0] as f64).max(1.0),
        report.rules.iter().filter(|rule| !rule.broken.is_empty()).count() as f64,
    ])
}

/// Plays the runs that `csv` does not hold yet and appends them; returns all rows of the experiment.
///
/// # Errors
/// A day that can't be read, an unknown parameter or policy, or a file that can't be written.
pub fn experiment(
    settings: &ExperimentSettings,
    csv: &Path,
    on_progress: impl Fn(usize, usize),
) -> Result<Vec<Row>> {
    let mut rows = read(csv)?;
    let all: Vec<_> = points(settings)
        .into_iter()
        .flat_map(|point| (1..=settings.seeds).map(move |seed| (point.clone(), seed)))
        .collect();
    let known: std::collections::BTreeSet<_> = rows.iter().map(|row| (row.point.clone(), row.seed)).collect();
    let pending: Vec<_> =
        all.iter().filter(|(point, seed)| !known.contains(&(title(point), *seed))).collect();
    // The file is rewritten from the rows that were parsed, so that an incomplete last line does not stay.
    let mut file = std::fs::File::create(csv)?;
    writeln!(file, "point,seed,{}", FIGURES.join(","))?;
    for row in &rows {
        writeln!(file, "{}", csv_line(row))?;
    }
    let next = AtomicUsize::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(pending.len().max(1));
    on_progress(all.len() - pending.len(), all.len());
    std::thread::scope(|scope| -> Result<()> {
        // Each thread takes the next run; a bounded channel passes the rows to this thread, which writes
        // them.
        let (sender, receiver) = mpsc::sync_channel(threads);
        for _ in 0..threads {
            let (sender, next, pending) = (sender.clone(), &next, &pending);
            scope.spawn(move || {
                while let Some((point, seed)) = pending.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let played = play(&settings.day, point, *seed);
                    let row = played.map(|figures| Row { point: title(point), seed: *seed, figures });
                    if sender.send(row).is_err() {
                        return;
                    }
                }
            });
        }
        drop(sender);
        let mut count = all.len() - pending.len();
        for row in receiver {
            let row = row?;
            writeln!(file, "{}", csv_line(&row))?;
            file.flush()?;
            rows.push(row);
            count += 1;
            on_progress(count, all.len());
        }
        Ok(())
    })?;
    let wanted: std::collections::BTreeSet<_> =
        all.iter().map(|(point, seed)| (title(point), *seed)).collect();
    rows.retain(|row| wanted.contains(&(row.point.clone(), row.seed)));
    rows.sort_by(|a, b| (&a.point, a.seed).cmp(&(&b.point, b.seed)));
    Ok(rows)
}

fn csv_line(row: &Row) -> String {
    let figures: Vec<_> = row.figures.iter().map(f64::to_string).collect();
    format!("{},{},{}", row.point, row.seed, figures.join(","))
}

fn read(csv: &Path) -> Result<Vec<Row>> {
    let text = match std::fs::read_to_string(csv) {
        Ok(text) => text,
        Err(cause) if cause.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(cause) => return Err(cause).with_context(|| format!("reading {}", csv.display())),
    };
    let mut rows = Vec::new();
    for (number, line) in text.lines().enumerate().skip(1) {
        let parts: Vec<_> = line.split(',').collect();
        let row = || -> Option<Row> {
            let figures: Vec<f64> = parts.get(2..)?.iter().filter_map(|part| part.parse().ok()).collect();
            let (point, seed) = ((*parts.first()?).to_owned(), parts.get(1)?.parse().ok()?);
            Some(Row { point, seed, figures: figures.try_into().ok()? })
        };
        match row() {
            Some(row) => rows.push(row),
            // The last line may be incomplete after an interrupted experiment; its run is played again.
            None if number + 1 == text.lines().count() => {}
            None => bail!("{}:{}: not a valid row of an experiment", csv.display(), number + 1),
        }
    }
    Ok(rows)
}

/// Mean, and half the width of its 95% confidence interval (Student's t).
pub fn interval(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    if values.len() < 2 || !mean.is_finite() {
        return (mean, f64::NAN);
    }
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
    let t = StudentsT::new(0.0, 1.0, count - 1.0).map_or(f64::NAN, |student| student.inverse_cdf(0.975));
    (mean, t * (variance / count).sqrt())
}

/// A table of means with their confidence intervals, and of the difference between each point's service and
/// that of the first point, paired by seed.
pub fn summary(settings: &ExperimentSettings, rows: &[Row]) -> String {
    let mut text = format!("{}: {}\n\n", settings.name, settings.question);
    let mut by_point: BTreeMap<&str, Vec<&Row>> = BTreeMap::new();
    rows.iter().for_each(|row| by_point.entry(&row.point).or_default().push(row));
    // Writing to a String does not fail.
    let _ = writeln!(
        text,
        "| point | service | against the first | worst during | recovered, s | refused | wasted | rules broken |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    let order = points(settings);
    let first = order.first().and_then(|point| by_point.get(title(point).as_str()));
    for point in &order {
        let name = title(point);
        let Some(of) = by_point.get(name.as_str()) else { continue };
        let figure = |row: usize| interval(&of.iter().map(|of| of.figures[row]).collect::<Vec<_>>());
        let paired: Vec<f64> = first.map_or(Vec::new(), |first| {
            let service = |seed| first.iter().find(|row| row.seed == seed).map(|row| row.figures[0]);
            of.iter().filter_map(|row| Some(row.figures[0] - service(row.seed)?)).collect()
        });
        let with = |(mean, half): (f64, f64)| format!("{mean:.3} ± {half:.3}");
        let ((service, against), worst, refused, wasted) =
            ((figure(0), interval(&paired)), figure(1), figure(4).0, figure(5).0);
        let recovery_ms: Vec<f64> = of.iter().map(|of| of.figures[2]).collect();
        let never = recovery_ms.iter().filter(|ms| ms.is_infinite()).count();
        let longest = recovery_ms.iter().copied().filter(|ms| ms.is_finite()).fold(0.0, f64::max) / 1e3;
        let recovery = if never > 0 {
            format!("not in {never} of {}", recovery_ms.len())
        } else {
            format!("at most {longest:.1}")
        };
        let broken: f64 = of.iter().map(|of| of.figures[6]).sum();
        let (service, against, worst) = (with(service), with(against), with(worst));
        let _ = writeln!(
            text,
            "| {name} | {service} | {against} | {worst} | {recovery} | \
             {refused:.3} | {wasted:.3} | {broken:.0} |"
        );
    }
    text
}

#[cfg(test)]
mod tests;
