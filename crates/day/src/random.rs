//! Random scripts for routers with peers: generated from a seed, played, and on a broken rule shrunk until no
//! trouble can be left out.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use paddleproxy_settings::day::{self, DaySettings};

use crate::play::play;
use crate::report::{report, Report};

/// A generated day: its parameters, and its troubles as lines of the script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script {
    pub seed: u64,
    pub length_s: u64,
    pub failover: bool,
    pub troubles: Vec<String>,
}

/// Routers, zones and servers that generated scripts refer to.
pub struct Topology {
    pub routers: usize,
    pub zones: Vec<String>,
    pub servers: Vec<String>,
}

impl Topology {
    pub fn of(day: &DaySettings) -> Topology {
        Topology {
            routers: day.routers,
            zones: day.router.names.zones.clone(),
            servers: day.fleet.servers.iter().map(|row| row.name.clone()).collect(),
        }
    }
}

/// Number of troubles of one script, their start times and durations, and the length of the day, in s. Every
/// trouble is scheduled to end by 20 s, so that the rest of the day remains for recovery.
const TROUBLE_COUNT: std::ops::RangeInclusive<usize> = 2..=6;
const START_S: std::ops::Range<f64> = 3.0..15.0;
const DURATION_S: std::ops::Range<f64> = 0.5..5.0;
const LENGTH_S: u64 = 32;

/// Generates the script of a seed; the same seed and topology give the same script.
pub fn draw(seed: u64, topology: &Topology) -> Script {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = rng.usize(TROUBLE_COUNT);
    let troubles = (0..count).map(|_| trouble(&mut rng, topology)).collect();
    Script { seed, length_s: LENGTH_S, failover: rng.bool(), troubles }
}

fn trouble(rng: &mut fastrand::Rng, topology: &Topology) -> String {
    let between = |rng: &mut fastrand::Rng, range: &std::ops::Range<f64>| {
        range.start + (range.end - range.start) * rng.f64()
    };
    let at = format!("at=\"{:.1}s\" for=\"{:.1}s\"", between(rng, &START_S), between(rng, &DURATION_S));
    let zone = |rng: &mut fastrand::Rng| topology.zones[rng.usize(..topology.zones.len())].clone();
    let server = |rng: &mut fastrand::Rng| topology.servers[rng.usize(..topology.servers.len())].clone();
    let routers = |rng: &mut fastrand::Rng, most: usize| {
        let mut all: Vec<usize> = (0..topology.routers).collect();
        rng.shuffle(&mut all);
        let some = rng.usize(1..=most.min(topology.routers).max(1));
        all[..some].iter().map(usize::to_string).collect::<Vec<_>>().join(" ")
    };
    let end = |rng: &mut fastrand::Rng| match rng.usize(..5) {
        0 => format!("router:{}", rng.usize(..topology.routers)),
        1 => format!("routers:{}", zone(rng)),
        2 => format!("workers:{}", zone(rng)),
        3 => format!("zone:{}", zone(rng)),
        _ => "routers".to_owned(),
    };
    match rng.usize(..14) {
        0..=2 => {
            let (from, to) = (end(rng), end(rng));
            let both = rng.bool();
            let cut = if rng.bool() { "silent" } else { "reset" };
            format!("trouble \"link\" {at} from=\"{from}\" to=\"{to}\" both=#{both} cut=\"{cut}\"")
        }
        3 => {
            let (loss, twice) = (0.3 * rng.f64(), 0.3 * rng.f64());
            let (delay, jitter) = (rng.u32(..200), rng.u32(..300));
            format!(
                "trouble \"link\" {at} from=\"routers\" to=\"routers\" both=#true carries=\"datagrams\" loss={loss:.2} \
                 twice={twice:.2} delay=\"{delay}ms\" jitter=\"{jitter}ms\""
            )
        }
        4 | 5 => {
            let state = ["own", "empty", "others"][rng.usize(..3)];
            format!("trouble \"routers-killed\" {at} which=\"{}\" state=\"{state}\"", routers(rng, 4))
        }
        6 => format!("trouble \"routers-paused\" {at} which=\"{}\"", routers(rng, 3)),
        7 => {
            let which = routers(rng, 3);
            format!("trouble \"routers-starved\" {at} which=\"{which}\" runs=\"20ms\" of=\"120ms\"")
        }
        8 => format!("trouble \"routers-restarted\" {at} which=\"{}\" every=\"800ms\"", routers(rng, 3)),
        9 => format!("trouble \"zone-lost\" {at} zone=\"{}\" routers=#{}", zone(rng), rng.bool()),
        10 => format!(
            "trouble \"dead\" \"{}\" \"{}\" {at} back-as-new=#{}",
            server(rng),
            server(rng),
            rng.bool()
        ),
        11 => format!("trouble \"slow\" \"{}\" {at} factor={}", server(rng), rng.usize(2..8)),
        12 => format!("trouble \"list-behind\" {at} by=\"{}s\"", rng.usize(1..6)),
        _ => format!("trouble \"drain\" \"{}\" {at} notice=\"1s\"", server(rng)),
    }
}

impl Script {
    /// The script as a KDL document; it includes the common document at the path `include`.
    pub fn text(&self, include: &str, zones: &[String]) -> String {
        let failover = match (self.failover, zones.split_first()) {
            (true, Some((far, near))) => {
                let near: Vec<_> = near.iter().map(|zone| format!("\"{zone}\"")).collect();
                format!(
                    "\nfailover {{\n    region \"near\" {}\n    region \"far\" \"{far}\"\n}}\n",
                    near.join(" ")
                )
            }
            _ => String::new(),
        };
        format!(
            "// Drawn from seed {seed}.\ninclude \"{include}\"\n\nday \"script-{seed}\" {{\n    length \"{length}s\"\n    \
             rest \"8s\"\n    seed {seed}\n    routers 9\n    drain-grace \"1s\"\n}}\n{failover}\n{troubles}\n",
            seed = self.seed,
            length = self.length_s,
            troubles = self.troubles.join("\n"),
        )
    }
}

/// Plays generated scripts.
pub struct ScriptRunner<'a> {
    pub program: &'a Path,
    /// The document that every script includes.
    pub common: &'a Path,
    pub dir: &'a Path,
}

/// A script that was played, and its report.
pub struct Played {
    pub script: Script,
    pub report: Report,
    /// The script's file, for playing it again with `paddleproxy day`.
    pub file: PathBuf,
}

impl ScriptRunner<'_> {
    fn write(&self, script: &Script, name: &str) -> Result<(DaySettings, PathBuf)> {
        let common = std::fs::canonicalize(self.common)
            .with_context(|| format!("finding {}", self.common.display()))?;
        let common_text = std::fs::read_to_string(&common)?;
        let include = common.display().to_string();
        // The zones come from the common document, which is read as part of a day without troubles.
        let without_troubles = Script { troubles: Vec::new(), failover: false, ..script.clone() };
        let parts = |text: String| vec![(name.to_owned(), text), (include.clone(), common_text.clone())];
        let zones = day::parse(&parts(without_troubles.text(&include, &[])))?.router.names.zones;
        let text = script.text(&include, &zones);
        let file = self.dir.join(format!("{name}.kdl"));
        std::fs::write(&file, &text)?;
        Ok((day::parse(&parts(text))?, file))
    }

    /// Topology of the common document.
    ///
    /// # Errors
    /// A document that can't be read.
    pub fn topology(&self) -> Result<Topology> {
        std::fs::create_dir_all(self.dir)?;
        let without_troubles = Script { seed: 0, length_s: 1, failover: false, troubles: Vec::new() };
        Ok(Topology::of(&self.write(&without_troubles, "bare")?.0))
    }

    /// Plays one script. Its directory is removed if all rules were kept.
    ///
    /// # Errors
    /// A script that can't be played.
    pub async fn play(&self, script: &Script, name: &str) -> Result<Played> {
        let (day, file) = self.write(script, name)?;
        let dir = self.dir.join(name);
        let (facts, lines) = play(day, self.program, &dir).await?;
        let report = report(&facts, &lines);
        if report.kept {
            std::fs::remove_dir_all(&dir)?;
        }
        Ok(Played { script: script.clone(), report, file })
    }

    /// Shrinks a failing script: removes one trouble after another as long as some rule is still broken.
    ///
    /// # Errors
    /// A script that can't be played.
    pub async fn shrink(&self, broken: Played) -> Result<Played> {
        let mut smallest = broken;
        let mut row = 0;
        while row < smallest.script.troubles.len() && smallest.script.troubles.len() > 1 {
            let mut fewer = smallest.script.clone();
            fewer.troubles.remove(row);
            let name = format!("script-{}-less-{}", fewer.seed, fewer.troubles.len());
            let played = self.play(&fewer, &name).await?;
            match played.report.kept {
                true => row += 1,
                false => smallest = played,
            }
        }
        Ok(smallest)
    }
}

#[cfg(test)]
mod tests;
