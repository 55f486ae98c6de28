//! Plays a day of `days/` with the program under test.

use std::path::Path;

use paddleproxy_day::report::{report, Report};

/// Plays the day with this file name and returns the checker's report.
pub fn play_day(name: &str) -> Report {
    let day = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name);
    let day = paddleproxy_settings::day::load(&day).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_paddleproxy"));
    let dir = tempfile::tempdir().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    let played = local.block_on(&runtime, paddleproxy_day::play::play(day, program, dir.path()));
    let (facts, lines) = played.unwrap();
    report(&facts, &lines)
}
