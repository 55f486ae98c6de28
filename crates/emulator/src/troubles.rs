//! Schedule of a day's troubles, for the simulation and for runs on real sockets.

use paddleproxy_settings::day::{DaySettings, Trouble};

use crate::random::{mix_seed, RandomStream};

/// Largest number of recurrences of one trouble.
const MAX_RECURRENCES: usize = 10_000;

/// A linear increase of the session rate of one API key.
#[derive(Clone, Debug)]
pub struct Ramp {
    pub key: String,
    pub from_ms: f64,
    pub for_ms: f64,
    /// Factor on the session rate at the end.
    pub factor: f64,
}

impl Ramp {
    /// Factor on the session rate of a key at a time.
    pub fn at(&self, now_ms: f64, key: &str) -> f64 {
        let progress = ((now_ms - self.from_ms) / self.for_ms.max(1.0)).clamp(0.0, 1.0);
        if self.key == key {
            1.0 + (self.factor - 1.0) * progress
        } else {
            1.0
        }
    }
}

/// Whether a server list that omits this share of the servers omits this one.
pub fn omits_server(name: &str, share: f64) -> bool {
    let mixed = name.bytes().fold(7, |mixed, byte| mix_seed(mixed, 3, u64::from(byte)));
    ((mixed >> 11) as f64 / (1u64 << 53) as f64) < share
}

/// The troubles of a day, with each random recurrence as an entry of its own.
pub fn expand_recurring(day: &DaySettings, seed: u64) -> Vec<Trouble> {
    let mut all = Vec::new();
    for (row, trouble) in day.troubles.iter().enumerate() {
        all.push(trouble.clone());
        let Some(every_ms) = trouble.every_ms else { continue };
        let mut rng = RandomStream::new(mix_seed(day.seed, 8, seed), 9, row as u64);
        let mut at_ms = trouble.at_ms;
        for _ in 0..MAX_RECURRENCES {
            // Occurrences never overlap.
            at_ms += trouble.for_ms + rng.gap_ms(1e3 / every_ms);
            if at_ms > day.length_ms {
                break;
            }
            all.push(Trouble { at_ms, ..trouble.clone() });
        }
    }
    all
}
