//! Which settings may change while a router runs, and how new ones stand beside those that open completions began
//! under.

use paddleproxy::interface::Settings;
use paddleproxy_settings::router::RouterSettings;

/// One thing that only a new start can change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{name}' can't change while the router runs; {instead}")]
pub struct FixedSetting {
    pub name: &'static str,
    pub instead: &'static str,
}

const RESTART: &str = "stop this router and start it with the new settings";

/// What new settings come to.
#[derive(Clone, Debug)]
pub struct Applied {
    /// For the front, the gates and the logs from now on. Workload rows are those of `decisions`.
    pub settings: RouterSettings,
    /// For the decisions. Rows that open completions may still have stay as they were.
    pub decisions: Settings,
    /// Nothing differs.
    pub unchanged: bool,
}

/// Rows of workloads that may stand beside each other. Beyond it a change is refused: restarts are cheap, memory is not.
const ROWS_MAX: usize = 4096;

/// Checks new settings against those at the start and those that stand.
///
/// # Errors
/// All that only a new start can change.
pub fn apply(
    stands: &RouterSettings,
    decisions: &Settings,
    new: &RouterSettings,
) -> Result<Applied, Vec<FixedSetting>> {
    let mut fixed = Vec::new();
    let mut keep = |name, same: bool, instead| {
        if !same {
            fixed.push(FixedSetting { name, instead });
        }
    };
    let (old, next) = (&stands.decisions, &new.decisions);
    keep("number", old.own_number == next.own_number, "a router keeps its number; start another one");
    keep("routers", old.routers == next.routers, RESTART);
    keep("zone", old.zone == next.zone, RESTART);
    keep("zones", stands.names.zones == new.names.zones, RESTART);
    keep("listen", stands.listen == new.listen, "clients know this address; start another router there");
    keep("admin", stands.admin == new.admin, RESTART);
    keep("state-dir", stands.state_dir == new.state_dir, RESTART);
    keep("seed", stands.seed == new.seed, RESTART);
    keep("peers", stands.peers == new.peers, RESTART);
    keep("servers-file", stands.servers_file == new.servers_file, RESTART);
    keep("list", same(&stands.list, &new.list) && old.must_subscribe == next.must_subscribe, RESTART);
    keep("kind", same(&stands.names.kinds, &new.names.kinds) && same(&old.kinds, &next.kinds), RESTART);
    keep("dialect", stands.dialects == new.dialects, RESTART);
    keep("front", same(&stands.front, &new.front), RESTART);
    keep("engines", same(&stands.engines, &new.engines), RESTART);
    keep("requests", same(&stands.rules, &new.rules), RESTART);
    keep("membership", stands.membership == new.membership, RESTART);
    keep("rules", same(&rules_of(old), &rules_of(next)) && stands.reports == new.reports, RESTART);
    let names = |settings: &RouterSettings| {
        settings.names.customers.iter().map(|row| row.name.clone()).collect::<Vec<_>>()
    };
    // Customers are counted by row: further ones may follow, those that are there stay where they are.
    let before = names(stands);
    keep(
        "customer",
        names(new).starts_with(&before),
        "give a customer no keys to end its access; its row stays",
    );
    if !fixed.is_empty() {
        return Err(fixed);
    }
    let mut applied = new.clone();
    let mut rows = decisions.workloads.clone();
    // The row of each workload of the new settings among all rows that there ever were.
    let place: Vec<usize> = next
        .workloads
        .iter()
        .enumerate()
        .map(|(row, workload)| {
            let now = stands.workload_rows.get(row).copied();
            let kept = now.filter(|now| same(&rows[*now], workload));
            // The newest equal one serves; so going back and forth does not grow without end.
            let found = kept.or_else(|| rows.iter().rposition(|old| same(old, workload)));
            found.unwrap_or_else(|| {
                rows.push(workload.clone());
                rows.len() - 1
            })
        })
        .collect();
    if rows.len() > ROWS_MAX {
        return Err(vec![FixedSetting {
            name: "workload",
            instead: "it has changed too often; restart the router",
        }]);
    }
    applied.workload_rows = place;
    let unchanged = same(stands, &applied);
    let decisions = Settings { workloads: rows, ..next.clone() };
    Ok(Applied { settings: applied, decisions, unchanged })
}

/// Settings are plain data: their form for people tells all of it.
fn same<T: std::fmt::Debug>(one: &T, other: &T) -> bool {
    format!("{one:?}") == format!("{other:?}")
}

/// All but the rows and what is checked by name.
fn rules_of(settings: &Settings) -> Settings {
    Settings { workloads: Vec::new(), customers: Vec::new(), kinds: Vec::new(), ..settings.clone() }
}
