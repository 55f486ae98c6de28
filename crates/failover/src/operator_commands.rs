//! Operators' words on zones, as every router comes to know them: one register for each zone, the newest stamp wins, and
//! a word ends after its time on the clock of each who knows it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::plan::OperatorCommand;

/// Most zones of which words are kept, and the longest time that one holds, in ms.
const ZONES_MAX: usize = 64;
pub const MAX_COMMAND_MS: f64 = 24.0 * 3_600_000.0;

/// One word as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedCommand {
    pub zone: u8,
    #[serde(rename = "word")]
    pub command: OperatorCommand,
    /// Higher than any on this zone that its first hearer knew, then that one's place: no clock of the wall.
    pub stamp: (u32, u16),
    /// How long it holds at each who hears of it, in ms.
    pub for_ms: f32,
}

/// What one router knows of them.
#[derive(Clone, Debug, Default)]
pub struct CommandRegister {
    /// By zone, with the own clock's time at which it ends.
    known: BTreeMap<u8, (StampedCommand, f64)>,
}

impl CommandRegister {
    /// An operator says it here.
    pub fn issue(
        &mut self,
        now_ms: f64,
        place: u16,
        zone: u8,
        word: OperatorCommand,
        for_ms: f64,
    ) -> StampedCommand {
        let last = self.known.get(&zone).map_or(0, |(saying, _)| saying.stamp.0);
        let for_ms = for_ms.clamp(0.0, MAX_COMMAND_MS);
        let saying = StampedCommand {
            zone,
            command: word,
            stamp: (last.saturating_add(1), place),
            for_ms: for_ms as f32,
        };
        self.known.insert(zone, (saying, now_ms + for_ms));
        saying
    }

    /// A fellow tells it, or a file of the own earlier run with `left_ms` to go. Whether it is news. A stamp that is
    /// known never comes back, however late it is told: what has ended stays so.
    pub fn merge(&mut self, now_ms: f64, saying: StampedCommand, left_ms: f64) -> bool {
        let good = saying.for_ms.is_finite() && (0.0..=MAX_COMMAND_MS as f32).contains(&saying.for_ms);
        let newer = self.known.get(&saying.zone).is_none_or(|(known, _)| saying.stamp > known.stamp);
        let room = self.known.len() < ZONES_MAX || self.known.contains_key(&saying.zone);
        let news = good && newer && room;
        if news {
            let left_ms = left_ms.clamp(0.0, f64::from(saying.for_ms));
            self.known.insert(saying.zone, (saying, now_ms + left_ms));
        }
        news
    }

    /// Those that hold, with the time that they have left.
    pub fn active(&self, now_ms: f64) -> impl Iterator<Item = (StampedCommand, f64)> + '_ {
        let left = move |(saying, until): &(StampedCommand, f64)| (*saying, until - now_ms);
        self.known.values().map(left).filter(|(_, left)| *left > 0.0)
    }

    /// The words in force, by zone.
    pub fn commands(&self, now_ms: f64) -> BTreeMap<u8, OperatorCommand> {
        self.active(now_ms).map(|(saying, _)| (saying.zone, saying.command)).collect()
    }
}
