//! Measures the cost of the emulator itself as deployments grow.

use std::fmt::Write;
use std::rc::Rc;
use std::time::Instant;

use anyhow::Result;
use paddleproxy_day::resident_mib;
use paddleproxy_emulator::{run, Options};
use paddleproxy_settings::day::DaySettings;
use serde::Serialize;

use crate::curves::{draw, Axes, Curve, HEAD};

/// Cost of one deployment size. The load grows with the number of servers.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Size {
    pub servers: usize,
    pub routers: usize,
    pub events: u64,
    pub dispatches: u64,
    pub virtual_s: f64,
    pub took_s: f64,
    /// Resident memory of the process after the run, in MiB, on systems with procfs.
    pub memory_mib: Option<f64>,
}

/// Plays the day once for each number of copies of its fleet, smallest first; `on_size` gets each result.
pub fn sizes(day: &Rc<DaySettings>, fleets: &[usize], routers: usize, on_size: impl Fn(&Size)) -> Vec<Size> {
    let mut all = Vec::new();
    for fleets in fleets {
        let options = Options {
            fleets: *fleets,
            routers: Some(routers),
            load: *fleets as f64,
            keep_record: false,
            ..Options::default()
        };
        let started = Instant::now();
        let run = run(day, &options);
        let size = Size {
            servers: day.fleet.servers.len() * fleets,
            routers,
            events: run.events,
            dispatches: run.dispatches,
            virtual_s: run.ended_ms / 1e3,
            took_s: started.elapsed().as_secs_f64(),
            memory_mib: resident_mib("self"),
        };
        on_size(&size);
        all.push(size);
    }
    all
}

/// An HTML page with plots of the sizes.
///
/// # Errors
/// An error of the drawing library.
pub fn page(sizes: &[Size]) -> Result<String> {
    let curve = |name: &str, of: &dyn Fn(&Size) -> f64| Curve {
        name: name.to_owned(),
        points: sizes.iter().map(|size| (size.servers as f64, of(size), 0.0)).collect(),
    };
    let plots = [
        ("Wall time of a second of virtual time", "ms", curve("wall", &|s| s.took_s * 1e3 / s.virtual_s)),
        ("Cost of a dispatch", "us", curve("wall", &|s| s.took_s * 1e6 / s.dispatches.max(1) as f64)),
        ("Events a second", "thousands", curve("events", &|s| s.events as f64 / s.took_s / 1e3)),
        ("Memory afterwards", "MiB", curve("memory", &|s| s.memory_mib.unwrap_or(f64::NAN))),
    ];
    let mut page =
        format!("{HEAD}<h1>What the emulator costs</h1><p>One thread; the load grows with the servers.</p>");
    for (title, unit, curve) in plots {
        let axes = Axes { title, x: "servers", y: unit, labels: None };
        let _ = write!(page, "<p>{}</p>", draw(&axes, &[curve])?);
    }
    page.push_str("</html>");
    Ok(page)
}
