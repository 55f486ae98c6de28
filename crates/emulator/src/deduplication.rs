//! Deduplication of effects: groups of servers drop repeats of an idempotency key.

use std::collections::BTreeMap;

use paddleproxy::interface::Group;

/// The time of each effect, by group and key.
#[derive(Debug, Default)]
pub struct SeenEffects {
    effects: BTreeMap<(String, String), f64>,
}

/// Name of the deduplication group of a server in this zone and cell.
pub fn group_name(of: Group, zone: &str, cell: u32) -> String {
    match of {
        Group::All => "all".to_owned(),
        Group::Zone => format!("zone {zone}"),
        Group::Cell => format!("cell {cell}"),
    }
}

impl SeenEffects {
    /// Returns whether work that is about to take effect is a repeat, and records its effect otherwise. The
    /// window of a key is compared with the arrival of the dispatch: a dispatch that arrived within it is
    /// dropped however late it runs.
    pub fn check_and_record(
        &mut self,
        group: String,
        key: &str,
        arrived_ms: f64,
        now_ms: f64,
        window_ms: f64,
    ) -> bool {
        let effect = self.effects.entry((group, key.to_owned()));
        let mut new = false;
        let at = effect.or_insert_with(|| {
            new = true;
            now_ms
        });
        if new {
            return false;
        }
        if arrived_ms - *at < window_ms {
            return true;
        }
        *at = now_ms;
        false
    }
}

#[cfg(test)]
mod tests;
