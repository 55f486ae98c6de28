//! Operator commands on zones, replicated to every router: a last-writer-wins register for each zone, in
//! which the highest stamp wins. A command expires after its duration on the clock of each router that
//! knows it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::plan::OperatorCommand;

/// Most zones for which commands are kept.
const MAX_ZONES: usize = 64;
/// Longest time for which a command holds, in ms.
pub const MAX_COMMAND_MS: f64 = 24.0 * 3_600_000.0;

/// A command as it is sent to peers and saved.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedCommand {
    pub zone: u8,
    #[serde(rename = "word")]
    pub command: OperatorCommand,
    /// Counter higher than any that the accepting router knew for this zone, then the index of that router
    /// as a tie-breaker. Does not depend on wall clocks.
    pub stamp: (u32, u16),
    /// How long it holds at each router from the time at which that router learns of it, in ms.
    pub for_ms: f32,
}

/// The commands that one router knows.
#[derive(Clone, Debug, Default)]
pub struct CommandRegister {
    /// By zone, with the expiry time on the router's own clock.
    known: BTreeMap<u8, (StampedCommand, f64)>,
}

impl CommandRegister {
    /// Accepts a command that an operator issues at this router.
    pub fn issue(
        &mut self,
        now_ms: f64,
        router_index: u16,
        zone: u8,
        command: OperatorCommand,
        for_ms: f64,
    ) -> StampedCommand {
        let last = self.known.get(&zone).map_or(0, |(stamped, _)| stamped.stamp.0);
        let for_ms = for_ms.clamp(0.0, MAX_COMMAND_MS);
        let stamped = StampedCommand {
            zone,
            command,
            stamp: (last.saturating_add(1), router_index),
            for_ms: for_ms as f32,
        };
        self.known.insert(zone, (stamped, now_ms + for_ms));
        stamped
    }

    /// Takes in a command from a peer, or from a file of an earlier run, with `left_ms` until it expires.
    /// Returns whether it is new. A known stamp is never accepted again, however late it arrives, so an
    /// expired command stays expired.
    pub fn merge(&mut self, now_ms: f64, stamped: StampedCommand, left_ms: f64) -> bool {
        let valid = stamped.for_ms.is_finite() && (0.0..=MAX_COMMAND_MS as f32).contains(&stamped.for_ms);
        let newer = self.known.get(&stamped.zone).is_none_or(|(known, _)| stamped.stamp > known.stamp);
        let has_room = self.known.len() < MAX_ZONES || self.known.contains_key(&stamped.zone);
        let accepted = valid && newer && has_room;
        if accepted {
            let left_ms = left_ms.clamp(0.0, f64::from(stamped.for_ms));
            self.known.insert(stamped.zone, (stamped, now_ms + left_ms));
        }
        accepted
    }

    /// Commands that have not expired, with the time left in ms.
    pub fn active(&self, now_ms: f64) -> impl Iterator<Item = (StampedCommand, f64)> + '_ {
        let left = move |(stamped, until_ms): &(StampedCommand, f64)| (*stamped, until_ms - now_ms);
        self.known.values().map(left).filter(|(_, left_ms)| *left_ms > 0.0)
    }

    /// The commands in force, by zone.
    pub fn commands(&self, now_ms: f64) -> BTreeMap<u8, OperatorCommand> {
        self.active(now_ms).map(|(stamped, _)| (stamped.zone, stamped.command)).collect()
    }
}
