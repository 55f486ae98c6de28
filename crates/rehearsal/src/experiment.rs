//! Plays a grid of variations of one day, each with several seeds, over all cores. Each run is a line of a CSV file;
//! what stands there already is not played again.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

use anyhow::{bail, Context, Result};
use paddleproxy_day::audit::Facts;
use paddleproxy_day::report::report;
use paddleproxy_emulator::{run, Options, Policy, StoreRecovery};
use paddleproxy_settings::day::DaySettings;
use paddleproxy_settings::experiment::ExperimentSettings;
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::phases::rehearsal;

/// One point of the grid: the knobs that are varied, by name, as they are written.
pub type Point = Vec<(&'static str, String)>;

/// The figures of one run, in the order of `FIGURES`.
pub const FIGURES: [&str; 7] =
    ["service", "worst_during", "recovered_ms", "finished", "refused", "wasted", "rules_broken"];

/// What a run of one point and seed came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub point: String,
    pub seed: u64,
    pub figures: [f64; FIGURES.len()],
}

/// All points of the grid.
pub fn points(settings: &ExperimentSettings) -> Vec<Point> {
    let text = |values: &[f64]| values.iter().map(f64::to_string).collect::<Vec<_>>();
    let whole = |values: &[usize]| values.iter().map(usize::to_string).collect::<Vec<_>>();
    let knobs: [(&'static str, Vec<String>); 10] = [
        ("memory", settings.memory.clone()),
        ("policy", settings.policies.clone()),
        ("routers", whole(&settings.routers)),
        ("fleets", whole(&settings.fleets)),
        ("load", text(&settings.load)),
        ("retries", whole(&settings.retries)),
        ("max_retry_after_ms", text(&settings.max_retry_after_ms)),
        ("list_delay_ms", text(&settings.list_delay_ms)),
        ("cold_ms", text(&settings.cold_ms)),
        ("most_removed", text(&settings.most_removed)),
    ];
    let mut grid: Vec<Point> = vec![Vec::new()];
    for (name, values) in knobs.into_iter().filter(|(_, values)| !values.is_empty()) {
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

/// A point's name: its knobs as they are set.
pub fn title(point: &Point) -> String {
    let parts: Vec<_> = point.iter().map(|(name, value)| format!("{name}={value}")).collect();
    if parts.is_empty() {
        "as it is".into()
    } else {
        parts.join(" ")
    }
}

/// Plays one point with one seed.
fn play(day: &Path, point: &Point, seed: u64) -> Result<[f64; FIGURES.len()]> {
    let mut day: DaySettings = paddleproxy_settings::day::load(day)?;
    let mut options = Options { seed, ..Options::default() };
    for (name, value) in point {
        let number = || value.parse::<f64>().with_context(|| format!("{name}={value}"));
        match *name {
            "policy" => {
                let found = Policy::ALL.iter().find(|(known, _)| known == value);
                options.policy = found.with_context(|| format!("there is no policy '{value}'"))?.1;
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
                options.recovery = found.with_context(|| format!("there is no memory '{value}'"))?.1;
            }
            "most_removed" => day.router.membership.most_removed = number()?,
            other => bail!("there is no knob '{other}'"),
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
        // Dispatches that servers worked on for nobody.
        run.balance[3] as f64 / (run.balance[0] as f64).max(1.0),
        report.rules.iter().filter(|rule| !rule.broken.is_empty()).count() as f64,
    ])
}

/// Plays what `csv` does not hold yet and appends it; all rows of the experiment.
///
/// # Errors
/// A day that can't be read, a knob or policy that isn't there, or a file that can't be written.
pub fn experiment(
    settings: &ExperimentSettings,
    csv: &Path,
    done: impl Fn(usize, usize),
) -> Result<Vec<Row>> {
    let mut rows = read(csv)?;
    let all: Vec<_> = points(settings)
        .into_iter()
        .flat_map(|point| (1..=settings.seeds).map(move |seed| (point.clone(), seed)))
        .collect();
    let known: std::collections::BTreeSet<_> = rows.iter().map(|row| (row.point.clone(), row.seed)).collect();
    let open: Vec<_> = all.iter().filter(|(point, seed)| !known.contains(&(title(point), *seed))).collect();
    // Written anew from what was understood: a line that was cut off must not stay.
    let mut out = std::fs::File::create(csv)?;
    writeln!(out, "point,seed,{}", FIGURES.join(","))?;
    for row in &rows {
        writeln!(out, "{}", line(row))?;
    }
    let next = AtomicUsize::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(open.len().max(1));
    done(all.len() - open.len(), all.len());
    std::thread::scope(|scope| -> Result<()> {
        // Each thread takes the next run; a bounded channel brings the rows to the one that writes.
        let (sender, receiver) = mpsc::sync_channel(threads);
        for _ in 0..threads {
            let (sender, next, open) = (sender.clone(), &next, &open);
            scope.spawn(move || {
                while let Some((point, seed)) = open.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let played = play(&settings.day, point, *seed);
                    let row = played.map(|figures| Row { point: title(point), seed: *seed, figures });
                    if sender.send(row).is_err() {
                        return;
                    }
                }
            });
        }
        drop(sender);
        let mut count = all.len() - open.len();
        for row in receiver {
            let row = row?;
            writeln!(out, "{}", line(&row))?;
            out.flush()?;
            rows.push(row);
            count += 1;
            done(count, all.len());
        }
        Ok(())
    })?;
    let wanted: std::collections::BTreeSet<_> =
        all.iter().map(|(point, seed)| (title(point), *seed)).collect();
    rows.retain(|row| wanted.contains(&(row.point.clone(), row.seed)));
    rows.sort_by(|a, b| (&a.point, a.seed).cmp(&(&b.point, b.seed)));
    Ok(rows)
}

fn line(row: &Row) -> String {
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
            // The last line of a run that was cut off is played again.
            None if number + 1 == text.lines().count() => {}
            None => bail!("{}:{}: not a row of this experiment", csv.display(), number + 1),
        }
    }
    Ok(rows)
}

/// Mean, and half the width of its 95% confidence interval by Student's t.
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

/// A table of means with their intervals, and of each point's service against the first one's, seed by seed.
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
        let back: Vec<f64> = of.iter().map(|of| of.figures[2]).collect();
        let never = back.iter().filter(|ms| ms.is_infinite()).count();
        let longest = back.iter().copied().filter(|ms| ms.is_finite()).fold(0.0, f64::max) / 1e3;
        let back = if never > 0 {
            format!("not in {never} of {}", back.len())
        } else {
            format!("at most {longest:.1}")
        };
        let broken: f64 = of.iter().map(|of| of.figures[6]).sum();
        let (service, against, worst) = (with(service), with(against), with(worst));
        let _ = writeln!(
            text,
            "| {name} | {service} | {against} | {worst} | {back} | {refused:.3} | {wasted:.3} | {broken:.0} |"
        );
    }
    text
}

#[cfg(test)]
mod tests;
