//! Which effects a group of servers has seen, so that it drops repeats of a key.

use std::collections::BTreeMap;

use paddleproxy::interface::Group;

/// Effects by group and key, with the time of each.
#[derive(Debug, Default)]
pub struct SeenEffects {
    effects: BTreeMap<(String, String), f64>,
}

/// The name of the servers that drop repeats together with one in this zone and cell.
pub fn group_name(of: Group, zone: &str, cell: u32) -> String {
    match of {
        Group::All => "all".to_owned(),
        Group::Zone => format!("zone {zone}"),
        Group::Cell => format!("cell {cell}"),
    }
}

impl SeenEffects {
    /// Whether work that is about to take effect is a repeat; else its effect is noted. A key is remembered for the
    /// window as seen by the dispatch's arrival: one that came in time and was slow is dropped however late it runs.
    pub fn check_and_record(
        &mut self,
        group: String,
        key: &str,
        arrived_ms: f64,
        now_ms: f64,
        window_ms: f64,
    ) -> bool {
        let effect = self.effects.entry((group, key.to_owned()));
        let mut fresh = false;
        let at = effect.or_insert_with(|| {
            fresh = true;
            now_ms
        });
        if fresh {
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
