//! Time as it is kept in files: in ms since 1970, and going on evenly while the wall clock is stepped.
//!
//! Within one boot of the machine the system counts time that no step changes, the same for every process. A file in
//! the state directory says which boot it was and how far that count was from the wall clock when the directory was
//! first used in it; each start goes on from there. After a reboot, and where the system does not say which boot it is,
//! the wall clock is all there is.

use std::path::Path;

use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use tracing::warn;

use crate::clock::wall_ms;
use crate::files::write_atomic;

const FILE: &str = "clock.json";
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// What the file holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Anchor {
    boot: String,
    /// Ms since 1970 less ms since the boot.
    offset_ms: f64,
}

impl Anchor {
    /// The anchor to go by in this boot: the one that was kept, if it is of this boot.
    fn of(kept: Option<Anchor>, boot: &str, wall_ms: f64, since_boot_ms: f64) -> Anchor {
        let kept = kept.filter(|kept| kept.boot == boot && !boot.is_empty() && kept.offset_ms.is_finite());
        // Whole: a fraction may be read back off by its last place, and two starts would go by different clocks.
        let offset_ms = (wall_ms - since_boot_ms).round();
        kept.unwrap_or_else(|| Anchor { boot: boot.to_owned(), offset_ms })
    }
}

/// Ms since the machine was booted, in suspension too.
fn since_boot_ms() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

/// The clock of one state directory.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    offset_ms: f64,
}

impl SteadyClock {
    /// Goes on from what the directory says, or begins with the wall clock as it is now.
    pub fn open(dir: &Path) -> SteadyClock {
        let file = dir.join(FILE);
        let kept = std::fs::read(&file).ok().and_then(|bytes| serde_json::from_slice::<Anchor>(&bytes).ok());
        let boot = std::fs::read_to_string(BOOT_ID).unwrap_or_default();
        let anchor = Anchor::of(kept.clone(), boot.trim(), wall_ms(), since_boot_ms());
        if kept.as_ref() != Some(&anchor) {
            let written = serde_json::to_vec(&anchor).map_err(std::io::Error::from);
            if let Err(cause) = written.and_then(|bytes| write_atomic(&file, &bytes)) {
                warn!(%cause, file = FILE, "the clock is not kept; the next start goes by the wall clock");
            }
        }
        SteadyClock { offset_ms: anchor.offset_ms }
    }

    /// Ms since 1970, but for steps of the wall clock.
    pub fn now_ms(&self) -> f64 {
        since_boot_ms() + self.offset_ms
    }
}

#[cfg(test)]
mod tests;
