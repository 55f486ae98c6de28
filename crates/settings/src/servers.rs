//! The operators' own list of servers. Its last node states the version and the number of servers, so that a
//! truncated list is rejected.

use paddleproxy_engine::{ServerEntry, ServerList};

use crate::reader::{Block, Count, Problems, Source};

/// Parses a list.
///
/// # Errors
/// All problems found; a missing or inconsistent last node is one.
pub fn parse(file: &str, text: &str) -> Result<ServerList, Problems> {
    Source::read(file, text, |top| {
        let version = top.need::<Count>("version").0;
        let servers: Vec<_> = top.blocks("server").into_iter().map(server).collect();
        let Some(end) = top.block("end") else {
            top.problem("the list has no 'end'; it was not written whole");
            return None;
        };
        let (count, end_version) =
            (end.need_property::<Count>("count").0, end.need_property::<Count>("version").0);
        end.reject_unknown();
        if count as usize != servers.len() {
            end.problem(format!("'end' says {count} servers, there are {}", servers.len()));
        }
        if end_version != version {
            end.problem(format!("'end' is of version {end_version}, the list of version {version}"));
        }
        // A file needs no epoch, since its versions never restart, and it always holds the whole list.
        Some(ServerList { epoch: 0, version, after: None, servers })
    })
}

fn server(block: Block) -> ServerEntry {
    let draining = block.property::<bool>("draining").unwrap_or(false);
    let weight = block.property::<f64>("weight").unwrap_or(1.0);
    if !(weight.is_finite() && weight >= 0.0) {
        block.problem("a weight must be a number from 0");
    }
    let server = ServerEntry {
        name: block.argument().unwrap_or_default(),
        address: block.need_property("address"),
        zone: block.need_property("zone"),
        kind: block.need_property("kind"),
        cell: block.need_property::<Count>("cell").0 as u32,
        readiness: if draining { "draining" } else { "ready" }.to_owned(),
        weight,
        start: block.property::<Count>("start").map_or(0, |start| start.0),
        age_ms: None,
    };
    block.reject_unknown();
    server
}

#[cfg(test)]
mod tests;
