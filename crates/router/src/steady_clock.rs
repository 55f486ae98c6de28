//! Clock for stored times: ms since 1970, unaffected by steps of the wall clock.
//!
//! The system's boot-time clock is never stepped and is the same for all processes until the next reboot. A
//! file in the state directory holds the boot id and the offset of the wall clock from the boot-time clock
//! when the directory was first used in that boot; later starts use the same offset. After a reboot, or if
//! the system has no boot id, the offset is taken from the current wall clock.

use std::path::Path;

use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use tracing::warn;

use crate::clock::wall_ms;
use crate::files::write_atomic;

const FILE: &str = "clock.json";
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// Content of the clock file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Anchor {
    boot: String,
    /// Ms since 1970 minus ms since boot.
    offset_ms: f64,
}

impl Anchor {
    /// The saved anchor if it is valid and of this boot, else a new one from the wall clock.
    fn for_boot(saved: Option<Anchor>, boot: &str, wall_ms: f64, since_boot_ms: f64) -> Anchor {
        let saved =
            saved.filter(|saved| saved.boot == boot && !boot.is_empty() && saved.offset_ms.is_finite());
        // Rounded: a fraction may change in its last digit when it is read back, and two starts would have
        // different clocks.
        let offset_ms = (wall_ms - since_boot_ms).round();
        saved.unwrap_or_else(|| Anchor { boot: boot.to_owned(), offset_ms })
    }
}

/// Ms since boot, including time suspended.
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
    /// Uses the offset saved in the directory if it is of this boot, else saves a new one from the wall
    /// clock.
    pub fn open(dir: &Path) -> SteadyClock {
        let file = dir.join(FILE);
        let saved = std::fs::read(&file).ok().and_then(|bytes| serde_json::from_slice::<Anchor>(&bytes).ok());
        let boot = std::fs::read_to_string(BOOT_ID).unwrap_or_default();
        let anchor = Anchor::for_boot(saved.clone(), boot.trim(), wall_ms(), since_boot_ms());
        if saved.as_ref() != Some(&anchor) {
            let written = serde_json::to_vec(&anchor).map_err(std::io::Error::from);
            if let Err(cause) = written.and_then(|bytes| write_atomic(&file, &bytes)) {
                warn!(%cause, file = FILE, "can't save the clock offset; the next start uses the wall clock");
            }
        }
        SteadyClock { offset_ms: anchor.offset_ms }
    }

    /// Ms since 1970, without later steps of the wall clock.
    pub fn now_ms(&self) -> f64 {
        since_boot_ms() + self.offset_ms
    }
}

#[cfg(test)]
mod tests;
