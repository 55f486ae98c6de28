//! What each word does to the list that is acted on: versions, drains, held removals, flapping, restarts.

use std::sync::Arc;

use paddleproxy::interface::{ListKind, Readiness, Role, WorkerId};
use paddleproxy_engine::{ServerEntry, ServerList};
use paddleproxy_membership::{
    ListUpdate, Membership, OperatorCommand, Phase, Rules, SavedList, SourceId, VersionError,
};

const RULES: Rules = Rules {
    stale_ms: 30_000.0,
    hold_ms: 8_000.0,
    most_removed: 0.5,
    flaps: 2,
    flap_window_ms: 60_000.0,
    quarantine_ms: 5_000.0,
};

fn entry(name: &str, readiness: &str) -> ServerEntry {
    // Each name has an address of its own.
    let number = name.bytes().fold(0u32, |sum, byte| sum * 31 + u32::from(byte)) % 250 + 1;
    ServerEntry {
        name: name.into(),
        address: format!("127.0.1.{number}:9"),
        zone: "z".into(),
        kind: if name.starts_with('r') { "reader" } else { "mixed" }.into(),
        cell: 0,
        readiness: readiness.into(),
        weight: 1.0,
        start: 1,
        age_ms: Some(1e6),
    }
}

fn all(names: &[&str]) -> Vec<ServerEntry> {
    names.iter().map(|name| entry(name, "ready")).collect()
}

fn list(version: u64, after: Option<u64>, servers: Vec<ServerEntry>) -> ServerList {
    ServerList { epoch: 1, version, after, servers }
}

fn membership() -> Membership {
    let kinds = vec![("mixed".into(), Role::Mixed), ("reader".into(), Role::Reader)];
    Membership::new(vec!["z".into()], kinds, RULES)
}

fn id(name: &str) -> WorkerId {
    WorkerId(Arc::from(name))
}

/// What the decisions believe after all that they were told.
#[derive(Default)]
struct Decisions(std::collections::BTreeMap<String, Readiness>);

impl Decisions {
    fn hear(&mut self, heard: ListUpdate) {
        if let ListUpdate::Listed { kind, rows } = heard {
            if kind != ListKind::Changes {
                self.0.values_mut().for_each(|readiness| *readiness = Readiness::Gone);
            }
            for row in rows.iter() {
                self.0.insert(row.worker.0.to_string(), row.readiness);
            }
        }
    }

    fn ready(&self) -> String {
        let ready = self.0.iter().filter(|(_, readiness)| **readiness == Readiness::Ready);
        ready.map(|(name, _)| name.as_str()).collect::<Vec<_>>().join(" ")
    }
}

const FIVE: [&str; 5] = ["a", "b", "c", "d", "e"];

fn started() -> (Membership, Decisions) {
    let (mut m, mut d) = (membership(), Decisions::default());
    d.hear(m.apply_version(0.0, SourceId::Service, &list(1, None, all(&FIVE))).unwrap());
    assert_eq!(d.ready(), "a b c d e");
    (m, d)
}

#[test]
fn versions_only_go_forward_and_gaps_ask_for_the_whole() {
    let (mut m, _) = started();
    m.apply_version(0.0, SourceId::Service, &list(5, Some(1), vec![entry("f", "ready")])).unwrap();
    let older = m.apply_version(1.0, SourceId::Service, &list(4, None, all(&["b"])));
    assert_eq!(older.unwrap_err(), VersionError::Older { got: 4, have: 5 });
    assert!(matches!(
        m.apply_version(1.0, SourceId::Service, &list(5, None, vec![])),
        Ok(ListUpdate::Unchanged)
    ));
    let gap = m.apply_version(2.0, SourceId::Service, &list(8, Some(7), vec![entry("a", "gone")]));
    assert!(matches!(gap, Ok(ListUpdate::WholeNeeded)));
    assert_eq!((m.version(), m.len(), m.known_version(SourceId::Service)), (Some(5), 6, Some((1, 5))));
    let status = m.status(3.0, 1e4);
    assert_eq!((status.sources[0].refused, status.sources[0].version), (1, Some(5)));
}

#[test]
fn entries_that_cannot_be_believed_refuse_their_version_whole() {
    type Spoils = fn(&mut Vec<ServerEntry>);
    let wrong: [(&str, Spoils); 9] = [
        ("'f': address '10.0.0.1:80' is not on the loopback range", |s| s[5].address = "10.0.0.1:80".into()),
        ("'f': weight NaN is not from 0 to 1000000", |s| s[5].weight = f64::NAN),
        ("'f': weight -1 is not from 0 to 1000000", |s| s[5].weight = -1.0),
        ("'f': an age must not be negative", |s| s[5].age_ms = Some(-1.0)),
        ("'f': readiness 'up' is none of ready, draining, gone", |s| s[5].readiness = "up".into()),
        ("'f': zone 'y' is not in the settings", |s| s[5].zone = "y".into()),
        ("'a': named twice", |s| s[5].name = "a".into()),
        ("'f': has the address of 'a'", |s| s[5].address = s[0].address.clone()),
        ("every usable server has weight 0", |s| s.iter_mut().for_each(|s| s.weight = 0.0)),
    ];
    for (text, spoil) in wrong {
        let (mut m, d) = started();
        let mut servers = all(&["a", "b", "c", "d", "e", "f"]);
        spoil(&mut servers);
        let refused =
            m.apply_version(1.0, SourceId::Service, &list(2, None, servers)).unwrap_err().to_string();
        assert!(refused.contains(text), "{refused}");
        assert_eq!((m.version(), d.ready().as_str()), (Some(1), "a b c d e"));
    }
    let (mut m, _) = started();
    assert_eq!(
        m.apply_version(1.0, SourceId::Service, &list(2, None, vec![])).unwrap_err(),
        VersionError::Empty
    );
}

#[test]
fn a_mass_removal_is_held_until_another_word_and_its_drains_count_at_once() {
    let (mut m, mut d) = started();
    let lies = vec![entry("a", "ready"), entry("b", "draining")];
    d.hear(m.apply_version(1.0, SourceId::Service, &list(2, None, lies)).unwrap());
    // c, d and e would go; b drains already.
    assert_eq!(d.ready(), "a c d e");
    let why = m.held().unwrap().reason.to_string();
    assert_eq!(why, "it takes away 3 of the 5 usable servers of role mixed at once");
    assert_eq!(m.due_probes(1.0), [id("c"), id("d"), id("e")]);
    // They answer, so that time alone is no word.
    for at in [2.0, 4000.0, 8000.0, 12000.0] {
        for name in ["c", "d", "e"] {
            d.hear(m.observe(at, &id(name), true));
        }
        d.hear(m.tick(at));
        assert_eq!(d.ready(), "a c d e", "at {at}");
    }
    // Nobody answers any more: after the time to hold it is believed.
    d.hear(m.tick(21_000.0));
    assert_eq!((d.ready().as_str(), m.held().is_some()), ("a", false));
}

#[test]
fn the_sockets_another_source_or_the_operators_are_a_second_word() {
    let lies = || list(2, None, all(&["a", "b"]));
    // The sockets: one connection refused brings the rest under the share.
    let (mut m, mut d) = started();
    d.hear(m.apply_version(1.0, SourceId::Service, &lies()).unwrap());
    assert_eq!(d.ready(), "a b c d e");
    d.hear(m.observe(2.0, &id("d"), false));
    assert_eq!(d.ready(), "a b");
    // The operators.
    let (mut m, mut d) = started();
    d.hear(m.apply_version(1.0, SourceId::Service, &lies()).unwrap());
    d.hear(m.accept_held(2.0).unwrap());
    assert_eq!((d.ready().as_str(), m.accept_held(3.0).is_none()), ("a b", true));
    // Another source.
    let (mut m, mut d) = started();
    d.hear(m.apply_version(0.5, SourceId::File, &list(1, None, all(&FIVE))).unwrap());
    d.hear(m.apply_version(1.0, SourceId::File, &list(2, None, all(&["a", "b"]))).unwrap());
    assert_eq!(d.ready(), "a b c d e");
    d.hear(m.apply_version(2.0, SourceId::Service, &lies()).unwrap());
    assert_eq!(d.ready(), "a b");
    // The same source that takes it back.
    let (mut m, mut d) = started();
    d.hear(m.apply_version(1.0, SourceId::Service, &lies()).unwrap());
    d.hear(m.apply_version(2.0, SourceId::Service, &list(3, None, all(&FIVE))).unwrap());
    assert_eq!((d.ready().as_str(), m.held().is_some(), m.version()), ("a b c d e", false, Some(3)));
}

#[test]
fn the_last_of_a_role_is_not_taken_away_by_one_word() {
    let (mut m, mut d) = (membership(), Decisions::default());
    d.hear(m.apply_version(0.0, SourceId::Service, &list(1, None, all(&["a", "b", "c", "r"]))).unwrap());
    d.hear(m.apply_version(1.0, SourceId::Service, &list(2, None, all(&["a", "b", "c"]))).unwrap());
    assert_eq!((d.ready().as_str(), m.held().unwrap().reason.usable), ("a b c r", 1));
    // One of many may go at once, and so may one that drained before.
    let (mut m, mut d) = started();
    d.hear(m.apply_version(1.0, SourceId::Service, &list(2, Some(1), vec![entry("a", "gone")])).unwrap());
    assert_eq!(d.ready(), "b c d e");
    let drains = ["b", "c", "d"].map(|name| entry(name, "draining")).to_vec();
    d.hear(m.apply_version(2.0, SourceId::Service, &list(3, Some(2), drains)).unwrap());
    let gone = ["b", "c", "d"].map(|name| entry(name, "gone")).to_vec();
    d.hear(m.apply_version(3.0, SourceId::Service, &list(4, Some(3), gone)).unwrap());
    assert_eq!((d.ready().as_str(), m.held().is_some()), ("e", false));
}

#[test]
fn drains_of_any_source_count_and_only_newer_words_end_them() {
    let (mut m, mut d) = started();
    d.hear(m.apply_version(1.0, SourceId::File, &list(1, None, all(&FIVE))).unwrap());
    // The service drains although the file leads.
    d.hear(m.apply_version(2.0, SourceId::Service, &list(2, Some(1), vec![entry("a", "draining")])).unwrap());
    assert_eq!(d.ready(), "b c d e");
    // The file has nothing to say against it.
    d.hear(m.apply_version(3.0, SourceId::File, &list(2, None, all(&FIVE))).unwrap());
    assert_eq!(d.ready(), "b c d e");
    // A service that came back from an old snapshot does not undo it at once.
    let anew = |version, servers| ServerList { epoch: 2, version, after: None, servers };
    d.hear(m.apply_version(4.0, SourceId::Service, &anew(1, all(&FIVE))).unwrap());
    assert_eq!(d.ready(), "b c d e");
    d.hear(m.tick(4000.0));
    assert_eq!(d.ready(), "b c d e");
    d.hear(m.tick(8005.0));
    assert_eq!(d.ready(), "a b c d e");
    // Within one epoch the next version does.
    d.hear(
        m.apply_version(
            9000.0,
            SourceId::Service,
            &anew(2, vec![entry("a", "draining"), entry("b", "ready")]),
        )
        .unwrap(),
    );
    d.hear(m.apply_version(9001.0, SourceId::Service, &anew(3, all(&FIVE))).unwrap());
    assert_eq!(d.ready(), "a b c d e");
}

#[test]
fn operators_words_stand_over_restarts_and_the_newest_wins() {
    let (mut m, mut d) = started();
    d.hear(m.apply_command(1.0, "a", OperatorCommand::Drain).unwrap());
    d.hear(m.apply_command(1.0, "b", OperatorCommand::Quarantine).unwrap());
    assert!(m.apply_command(1.0, "nobody", OperatorCommand::Drain).is_none());
    assert_eq!((d.ready().as_str(), m.revision()), ("c d e", 3));
    // Drained and undrained within a tick: the last word stands.
    d.hear(m.apply_command(2.0, "c", OperatorCommand::Drain).unwrap());
    d.hear(m.apply_command(2.0, "c", OperatorCommand::Undrain).unwrap());
    assert_eq!(d.ready(), "c d e");
    // A drain by the list that is newer than the operators' word counts again.
    d.hear(m.apply_version(3.0, SourceId::Service, &list(2, Some(1), vec![entry("c", "draining")])).unwrap());
    assert_eq!(d.ready(), "d e");
    d.hear(m.apply_command(4.0, "c", OperatorCommand::Undrain).unwrap());
    assert_eq!(d.ready(), "c d e");
    let saved = m.save(10.0, 5e6).unwrap();
    let saved: SavedList = serde_json::from_str(&serde_json::to_string(&saved).unwrap()).unwrap();
    let (mut next, mut d) = (membership(), Decisions::default());
    d.hear(next.recover(0.0, 5e6 + 50.0, &saved).unwrap());
    assert_eq!(d.ready(), "c d e");
    // What the service stated before is not stated anew, and its next version goes on from there.
    assert_eq!(next.known_version(SourceId::Service), Some((1, 2)));
    d.hear(
        next.apply_version(1.0, SourceId::Service, &list(3, Some(2), vec![entry("d", "draining")])).unwrap(),
    );
    assert_eq!(d.ready(), "c e");
    d.hear(next.apply_command(2.0, "b", OperatorCommand::Undrain).unwrap());
    assert_eq!(d.ready(), "b c e");
}

#[test]
fn a_server_that_comes_back_too_often_is_set_aside() {
    let (mut m, mut d) = started();
    let mut version = 1;
    let mut flap = |m: &mut Membership, d: &mut Decisions, at: f64| {
        for readiness in ["gone", "ready"] {
            let after = Some(version);
            version += 1;
            let changes = list(version, after, vec![entry("a", readiness)]);
            d.hear(m.apply_version(at, SourceId::Service, &changes).unwrap());
        }
    };
    for at in [100.0, 200.0] {
        flap(&mut m, &mut d, at);
        assert_eq!(d.ready(), "a b c d e");
    }
    flap(&mut m, &mut d, 300.0);
    assert_eq!(d.ready(), "b c d e");
    let aside = m.status(300.0, 1e4).servers.into_iter().find(|row| row.name == "a").unwrap();
    assert_eq!((aside.phase, aside.by), (Phase::Quarantined, "damping"));
    assert_eq!(m.next_wake_ms(300.0), Some(5300.0));
    d.hear(m.tick(5300.0));
    assert_eq!(d.ready(), "a b c d e");
}

#[test]
fn names_and_addresses_that_move_are_other_processes() {
    let (mut m, _) = started();
    // Back under its name at another address, with the start that it had: another process all the same.
    let mut moved = entry("a", "ready");
    (moved.address, moved.age_ms) = ("127.0.2.1:9".into(), None);
    match m.apply_version(5000.0, SourceId::Service, &list(2, Some(1), vec![moved])).unwrap() {
        ListUpdate::Listed { rows, .. } => assert_eq!(rows[0].started_ms, Some(5000.0)),
        other => panic!("{other:?}"),
    }
    // New under an old address, the old name still listed: a contradiction; with the old one gone: fine.
    let mut heir = entry("f", "ready");
    heir.address = entry("b", "ready").address;
    let refused = m.apply_version(5001.0, SourceId::Service, &list(3, Some(2), vec![heir.clone()]));
    assert_eq!(refused.unwrap_err().to_string(), "server 'f': has the address of 'b'");
    let both = vec![entry("b", "gone"), heir];
    assert!(m.apply_version(5002.0, SourceId::Service, &list(3, Some(2), both)).is_ok());
    // A drain was of the old process; the new one under the name is not drained.
    let (mut m, mut d) = started();
    d.hear(m.apply_version(1.0, SourceId::Service, &list(2, Some(1), vec![entry("a", "draining")])).unwrap());
    let anew = ServerEntry { start: 2, ..entry("a", "ready") };
    let snapshot = ServerList {
        epoch: 3,
        version: 1,
        after: None,
        servers: [vec![anew], all(&["b", "c", "d", "e"])].concat(),
    };
    d.hear(m.apply_version(2.0, SourceId::Service, &snapshot).unwrap());
    assert_eq!(d.ready(), "a b c d e");
}

#[test]
fn a_silent_lead_is_stale_by_name_and_yields_only_to_one_that_speaks() {
    let (mut m, mut d) = started();
    d.hear(m.apply_version(1.0, SourceId::File, &list(1, None, all(&["a", "b", "c", "d"]))).unwrap());
    assert_eq!(d.ready(), "a b c d");
    // The file is gone. Nobody else speaks: it keeps the lead.
    d.hear(m.tick(40_000.0));
    let status = m.status(40_000.0, 1e4);
    assert!(status.sources[0].stale && status.sources[0].leads && d.ready() == "a b c d");
    // The service speaks: it leads, and its list is acted on.
    d.hear(m.apply_version(40_001.0, SourceId::Service, &list(2, None, all(&["a", "b", "c", "e"]))).unwrap());
    assert_eq!(d.ready(), "a b c e");
    // The file is back where it was.
    m.source_unchanged(40_002.0, SourceId::File);
    d.hear(m.tick(40_003.0));
    assert_eq!(d.ready(), "a b c d");
}

#[test]
fn a_saved_list_ages_by_the_time_the_router_was_down_and_never_gets_younger() {
    let (mut m, _) = started();
    m.apply_version(
        1000.0,
        SourceId::Service,
        &list(2, Some(1), vec![ServerEntry { start: 2, age_ms: Some(200.0), ..entry("a", "ready") }]),
    )
    .unwrap();
    let saved = m.save(1500.0, 1e6).unwrap();
    let start = |wall_ms: f64| match membership().recover(40.0, wall_ms, &saved).unwrap() {
        ListUpdate::Listed { kind: ListKind::Saved, rows } => rows[0].started_ms,
        other => panic!("{other:?}"),
    };
    assert_eq!(start(1e6 + 3000.0), Some(40.0 - 700.0 - 3000.0));
    // The wall clock went back.
    assert_eq!(start(1e6 - 9000.0), Some(40.0 - 700.0));
}

#[test]
fn who_is_called_gone_by_name_gets_no_work_even_where_a_version_is_held_or_another_leads() {
    // All of a cell by name: each is a word that counts at once, answered probes or not.
    let (mut m, mut d) = started();
    let gone = FIVE.map(|name| entry(name, if name == "e" { "ready" } else { "gone" })).to_vec();
    d.hear(m.apply_version(1.0, SourceId::Service, &list(2, Some(1), gone)).unwrap());
    assert_eq!((d.ready().as_str(), m.held().is_some()), ("e", false));
    // In a version that is held for those that it leaves out.
    let (mut m, mut d) = started();
    let some = vec![entry("a", "ready"), entry("b", "gone")];
    d.hear(m.apply_version(1.0, SourceId::Service, &list(2, None, some)).unwrap());
    assert_eq!((d.ready().as_str(), m.held().is_some()), ("a c d e", true));
    // A drain outlives a version that leaves its server out and is held.
    let (mut m, mut d) = started();
    d.hear(m.apply_version(1.0, SourceId::Service, &list(2, Some(1), vec![entry("c", "draining")])).unwrap());
    d.hear(m.apply_version(2.0, SourceId::Service, &list(3, None, all(&["a"]))).unwrap());
    assert_eq!((d.ready().as_str(), m.held().is_some()), ("a b d e", true));
    // By the service while the file leads.
    let (mut m, mut d) = started();
    d.hear(m.apply_version(1.0, SourceId::File, &list(1, None, all(&FIVE))).unwrap());
    d.hear(m.apply_version(2.0, SourceId::Service, &list(2, Some(1), vec![entry("a", "gone")])).unwrap());
    assert_eq!(d.ready(), "b c d e");
}
