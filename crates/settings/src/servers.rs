//! The operators' own list of servers. Its end says what it should hold, so that the first half of one is none.

use paddleproxy_engine::{ServerEntry, ServerList};

use crate::reader::{Block, Count, Problems, Source};

/// Parses a list.
///
/// # Errors
/// All problems found; a list that does not end as it should is one.
pub fn parse(file: &str, text: &str) -> Result<ServerList, Problems> {
    Source::read(file, text, |top| {
        let version = top.need::<Count>("version").0;
        let servers: Vec<_> = top.blocks("server").into_iter().map(server).collect();
        let Some(end) = top.block("end") else {
            top.problem("the list has no 'end'; it was not written whole");
            return None;
        };
        let (count, of) = (end.need_property::<Count>("count").0, end.need_property::<Count>("version").0);
        end.done();
        if count as usize != servers.len() {
            end.problem(format!("'end' says {count} servers, there are {}", servers.len()));
        }
        if of != version {
            end.problem(format!("'end' is of version {of}, the list of version {version}"));
        }
        // A file has no starts to count its versions anew from, and is always whole.
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
    block.done();
    server
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIST: &str = r#"version 7
server "a" address="127.0.0.1:9001" zone="north" kind="mixed" cell=0 weight=0.5
server "b" address="127.0.0.1:9002" zone="north" kind="mixed" cell=0 draining=#true
end count=2 version=7
"#;

    #[test]
    fn no_part_of_a_list_is_a_list() {
        let whole = parse("servers.kdl", LIST).unwrap();
        assert_eq!((whole.version, whole.servers.len()), (7, 2));
        assert_eq!((whole.servers[0].weight, whole.servers[1].readiness.as_str()), (0.5, "draining"));
        // Its last characters are a line end and the last digit of a version that then says something else.
        for cut in 0..LIST.len() - 2 {
            assert!(parse("servers.kdl", &LIST[..cut]).is_err(), "cut at {cut}: {}", &LIST[..cut]);
        }
    }

    #[test]
    fn what_is_wrong_has_a_line() {
        let text = LIST.replace("count=2", "count=3").replace("weight=0.5", "weight=-1");
        let wrong = parse("servers.kdl", &text).unwrap_err().to_string();
        assert!(wrong.contains("servers.kdl:2:") && wrong.contains("servers.kdl:4:"), "{wrong}");
    }
}
