//! The troubles of a day as they come, for virtual time and for sockets.

use paddleproxy_settings::day::{DaySettings, Trouble};

use crate::random::{seed, RandomStream};

/// Times that one trouble comes again at most.
const AGAIN_MAX: usize = 10_000;

/// Sessions of a key that grow evenly to a multiple over a time.
#[derive(Clone, Debug)]
pub struct Ramp {
    pub key: String,
    pub from_ms: f64,
    pub for_ms: f64,
    /// At its end.
    pub factor: f64,
}

impl Ramp {
    /// The multiple of a key's sessions at a time.
    pub fn at(&self, now_ms: f64, key: &str) -> f64 {
        let part = ((now_ms - self.from_ms) / self.for_ms.max(1.0)).clamp(0.0, 1.0);
        if self.key == key {
            1.0 + (self.factor - 1.0) * part
        } else {
            1.0
        }
    }
}

/// Whether a list that leaves out a share of the servers leaves out this one.
pub fn omits_server(name: &str, share: f64) -> bool {
    let mixed = name.bytes().fold(7, |mixed, byte| seed(mixed, 3, u64::from(byte)));
    ((mixed >> 11) as f64 / (1u64 << 53) as f64) < share
}

/// The troubles of a day as they come: those that come again by chance at each of their times.
pub fn expand_recurring(day: &DaySettings, of: u64) -> Vec<Trouble> {
    let mut all = Vec::new();
    for (row, trouble) in day.troubles.iter().enumerate() {
        all.push(trouble.clone());
        let Some(every_ms) = trouble.every_ms else { continue };
        let mut chance = RandomStream::new(seed(day.seed, 8, of), 9, row as u64);
        let mut at_ms = trouble.at_ms;
        for _ in 0..AGAIN_MAX {
            // Never while the last one lasts.
            at_ms += trouble.for_ms + chance.gap_ms(1e3 / every_ms);
            if at_ms > day.length_ms {
                break;
            }
            all.push(Trouble { at_ms, ..trouble.clone() });
        }
    }
    all
}
