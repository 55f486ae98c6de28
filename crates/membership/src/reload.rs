//! Which settings may change while a router runs, and how new workload rows coexist with those of completions
//! that started before the change.

use paddleproxy::interface::Settings;
use paddleproxy_settings::router::RouterSettings;

/// A setting that can only be changed by a restart.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{name}' can't change while the router runs; {instead}")]
pub struct FixedSetting {
    pub name: &'static str,
    pub instead: &'static str,
}

const RESTART: &str = "stop this router and start it with the new settings";

/// The result of applying new settings.
#[derive(Clone, Debug)]
pub struct Applied {
    /// For the client side, admission and the log from now on. Its workload rows refer to those of
    /// `decisions`.
    pub settings: RouterSettings,
    /// For the scheduling core. Workload rows that open completions may still refer to are unchanged.
    pub decisions: Settings,
    /// The new settings equal the current ones.
    pub unchanged: bool,
}

/// Maximum number of workload rows, old ones included. A change beyond it is refused: a restart is cheap,
/// memory is not.
const WORKLOAD_ROWS_MAX: usize = 4096;

/// Checks new settings against the current ones.
///
/// # Errors
/// All differences that need a restart.
pub fn apply(
    current: &RouterSettings,
    decisions: &Settings,
    new: &RouterSettings,
) -> Result<Applied, Vec<FixedSetting>> {
    let mut fixed = Vec::new();
    let mut require = |name, unchanged: bool, instead| {
        if !unchanged {
            fixed.push(FixedSetting { name, instead });
        }
    };
    let (old, next) = (&current.decisions, &new.decisions);
    require("number", old.own_number == next.own_number, "a router keeps its number; start another one");
    require("routers", old.routers == next.routers, RESTART);
    require("zone", old.zone == next.zone, RESTART);
    require("zones", current.names.zones == new.names.zones, RESTART);
    require("listen", current.listen == new.listen, "clients know this address; start another router there");
    require("admin", current.admin == new.admin, RESTART);
    require("state-dir", current.state_dir == new.state_dir, RESTART);
    require("seed", current.seed == new.seed, RESTART);
    require("peers", current.peers == new.peers, RESTART);
    require("servers-file", current.servers_file == new.servers_file, RESTART);
    require("list", equal(&current.list, &new.list) && old.must_subscribe == next.must_subscribe, RESTART);
    require("kind", equal(&current.names.kinds, &new.names.kinds) && equal(&old.kinds, &next.kinds), RESTART);
    require("dialect", current.dialects == new.dialects, RESTART);
    require("front", equal(&current.front, &new.front), RESTART);
    require("engines", equal(&current.engines, &new.engines), RESTART);
    require("requests", equal(&current.rules, &new.rules), RESTART);
    require("membership", current.membership == new.membership, RESTART);
    require(
        "rules",
        equal(&routing_rules(old), &routing_rules(next)) && current.reports == new.reports,
        RESTART,
    );
    let names = |settings: &RouterSettings| {
        settings.names.customers.iter().map(|row| row.name.clone()).collect::<Vec<_>>()
    };
    // Customers are identified by row: new ones may be appended, existing ones keep their rows.
    let old_names = names(current);
    require(
        "customer",
        names(new).starts_with(&old_names),
        "give a customer no keys to end its access; its row stays",
    );
    if !fixed.is_empty() {
        return Err(fixed);
    }
    let mut applied = new.clone();
    let mut rows = decisions.workloads.clone();
    // For each workload of the new settings, its row among all rows so far.
    let workload_rows: Vec<usize> = next
        .workloads
        .iter()
        .enumerate()
        .map(|(row, workload)| {
            let current_row = current.workload_rows.get(row).copied();
            let same_row = current_row.filter(|row| equal(&rows[*row], workload));
            // Reuses the newest equal row, so that alternating between two settings does not add rows
            // forever.
            let found = same_row.or_else(|| rows.iter().rposition(|old| equal(old, workload)));
            found.unwrap_or_else(|| {
                rows.push(workload.clone());
                rows.len() - 1
            })
        })
        .collect();
    if rows.len() > WORKLOAD_ROWS_MAX {
        return Err(vec![FixedSetting {
            name: "workload",
            instead: "it has changed too often; restart the router",
        }]);
    }
    applied.workload_rows = workload_rows;
    let unchanged = equal(current, &applied);
    let decisions = Settings { workloads: rows, ..next.clone() };
    Ok(Applied { settings: applied, decisions, unchanged })
}

/// Compares through `Debug`, which prints every field: settings are plain data.
fn equal<T: std::fmt::Debug>(one: &T, other: &T) -> bool {
    format!("{one:?}") == format!("{other:?}")
}

/// All settings except those that are compared by name above.
fn routing_rules(settings: &Settings) -> Settings {
    Settings { workloads: Vec::new(), customers: Vec::new(), kinds: Vec::new(), ..settings.clone() }
}
