//! Effects of each input on the effective list: versions, drains, held removals, flapping and restarts.

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

fn ready_entries(names: &[&str]) -> Vec<ServerEntry> {
    names.iter().map(|name| entry(name, "ready")).collect()
}

fn list(version: u64, after: Option<u64>, servers: Vec<ServerEntry>) -> ServerList {
    ServerList { epoch: 1, version, after, servers }
}

fn new_membership() -> Membership {
    let kinds = vec![("mixed".into(), Role::Mixed), ("reader".into(), Role::Reader)];
    Membership::new(vec!["z".into()], kinds, RULES)
}

fn id(name: &str) -> WorkerId {
    WorkerId(Arc::from(name))
}

/// The list that the scheduling core has after all published updates.
#[derive(Default)]
struct Published(std::collections::BTreeMap<String, Readiness>);

impl Published {
    fn apply(&mut self, update: ListUpdate) {
        if let ListUpdate::Listed { kind, rows } = update {
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

fn with_five_servers() -> (Membership, Published) {
    let (mut membership, mut published) = (new_membership(), Published::default());
    published.apply(
        membership.apply_version(0.0, SourceId::Service, &list(1, None, ready_entries(&FIVE))).unwrap(),
    );
    assert_eq!(published.ready(), "a b c d e");
    (membership, published)
}

#[test]
fn versions_only_increase_and_a_gap_requests_the_whole_list() {
    let (mut membership, _) = with_five_servers();
    membership.apply_version(0.0, SourceId::Service, &list(5, Some(1), vec![entry("f", "ready")])).unwrap();
    let older = membership.apply_version(1.0, SourceId::Service, &list(4, None, ready_entries(&["b"])));
    assert_eq!(older.unwrap_err(), VersionError::Older { got: 4, have: 5 });
    assert!(matches!(
        membership.apply_version(1.0, SourceId::Service, &list(5, None, vec![])),
        Ok(ListUpdate::Unchanged)
    ));
    let gap = membership.apply_version(2.0, SourceId::Service, &list(8, Some(7), vec![entry("a", "gone")]));
    assert!(matches!(gap, Ok(ListUpdate::WholeNeeded)));
    assert_eq!(
        (membership.version(), membership.len(), membership.known_version(SourceId::Service)),
        (Some(5), 6, Some((1, 5)))
    );
    let status = membership.status(3.0, 1e4);
    assert_eq!((status.sources[0].refused, status.sources[0].version), (1, Some(5)));
}

#[test]
fn an_invalid_entry_refuses_the_whole_version() {
    type Corrupt = fn(&mut Vec<ServerEntry>);
    let cases: [(&str, Corrupt); 9] = [
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
    for (text, corrupt) in cases {
        let (mut membership, published) = with_five_servers();
        let mut servers = ready_entries(&["a", "b", "c", "d", "e", "f"]);
        corrupt(&mut servers);
        let refused = membership
            .apply_version(1.0, SourceId::Service, &list(2, None, servers))
            .unwrap_err()
            .to_string();
        assert!(refused.contains(text), "{refused}");
        assert_eq!((membership.version(), published.ready().as_str()), (Some(1), "a b c d e"));
    }
    let (mut membership, _) = with_five_servers();
    assert_eq!(
        membership.apply_version(1.0, SourceId::Service, &list(2, None, vec![])).unwrap_err(),
        VersionError::Empty
    );
}

#[test]
fn a_mass_removal_is_held_until_confirmed_and_its_drains_take_effect_at_once() {
    let (mut membership, mut published) = with_five_servers();
    let removal = vec![entry("a", "ready"), entry("b", "draining")];
    published.apply(membership.apply_version(1.0, SourceId::Service, &list(2, None, removal)).unwrap());
    // c, d and e would be removed; b's drain takes effect at once.
    assert_eq!(published.ready(), "a c d e");
    let reason = membership.held().unwrap().reason.to_string();
    assert_eq!(reason, "it takes away 3 of the 5 usable servers of role mixed at once");
    assert_eq!(membership.due_probes(1.0), [id("c"), id("d"), id("e")]);
    // The removed servers still answer, so the hold time does not confirm their removal.
    for at in [2.0, 4000.0, 8000.0, 12000.0] {
        for name in ["c", "d", "e"] {
            published.apply(membership.observe(at, &id(name), true));
        }
        published.apply(membership.tick(at));
        assert_eq!(published.ready(), "a c d e", "at {at}");
    }
    // They no longer answer: after the hold time the removal is accepted.
    published.apply(membership.tick(21_000.0));
    assert_eq!((published.ready().as_str(), membership.held().is_some()), ("a", false));
}

#[test]
fn failed_connections_another_source_or_an_operator_confirm_a_removal() {
    let removal = || list(2, None, ready_entries(&["a", "b"]));
    // Connections: one refused connection brings the unconfirmed removals below the share.
    let (mut membership, mut published) = with_five_servers();
    published.apply(membership.apply_version(1.0, SourceId::Service, &removal()).unwrap());
    assert_eq!(published.ready(), "a b c d e");
    published.apply(membership.observe(2.0, &id("d"), false));
    assert_eq!(published.ready(), "a b");
    // An operator.
    let (mut membership, mut published) = with_five_servers();
    published.apply(membership.apply_version(1.0, SourceId::Service, &removal()).unwrap());
    published.apply(membership.accept_held(2.0).unwrap());
    assert_eq!((published.ready().as_str(), membership.accept_held(3.0).is_none()), ("a b", true));
    // Another source.
    let (mut membership, mut published) = with_five_servers();
    published
        .apply(membership.apply_version(0.5, SourceId::File, &list(1, None, ready_entries(&FIVE))).unwrap());
    published.apply(
        membership.apply_version(1.0, SourceId::File, &list(2, None, ready_entries(&["a", "b"]))).unwrap(),
    );
    assert_eq!(published.ready(), "a b c d e");
    published.apply(membership.apply_version(2.0, SourceId::Service, &removal()).unwrap());
    assert_eq!(published.ready(), "a b");
    // The same source restores the servers.
    let (mut membership, mut published) = with_five_servers();
    published.apply(membership.apply_version(1.0, SourceId::Service, &removal()).unwrap());
    published.apply(
        membership.apply_version(2.0, SourceId::Service, &list(3, None, ready_entries(&FIVE))).unwrap(),
    );
    assert_eq!(
        (published.ready().as_str(), membership.held().is_some(), membership.version()),
        ("a b c d e", false, Some(3))
    );
}

#[test]
fn the_last_server_of_a_role_is_not_removed_without_confirmation() {
    let (mut membership, mut published) = (new_membership(), Published::default());
    published.apply(
        membership
            .apply_version(0.0, SourceId::Service, &list(1, None, ready_entries(&["a", "b", "c", "r"])))
            .unwrap(),
    );
    published.apply(
        membership
            .apply_version(1.0, SourceId::Service, &list(2, None, ready_entries(&["a", "b", "c"])))
            .unwrap(),
    );
    assert_eq!((published.ready().as_str(), membership.held().unwrap().reason.usable), ("a b c r", 1));
    // One of many may be removed at once, and so may servers that were draining before.
    let (mut membership, mut published) = with_five_servers();
    published.apply(
        membership
            .apply_version(1.0, SourceId::Service, &list(2, Some(1), vec![entry("a", "gone")]))
            .unwrap(),
    );
    assert_eq!(published.ready(), "b c d e");
    let drains = ["b", "c", "d"].map(|name| entry(name, "draining")).to_vec();
    published.apply(membership.apply_version(2.0, SourceId::Service, &list(3, Some(2), drains)).unwrap());
    let gone = ["b", "c", "d"].map(|name| entry(name, "gone")).to_vec();
    published.apply(membership.apply_version(3.0, SourceId::Service, &list(4, Some(3), gone)).unwrap());
    assert_eq!((published.ready().as_str(), membership.held().is_some()), ("e", false));
}

#[test]
fn drains_of_any_source_take_effect_and_only_newer_versions_end_them() {
    let (mut membership, mut published) = with_five_servers();
    published
        .apply(membership.apply_version(1.0, SourceId::File, &list(1, None, ready_entries(&FIVE))).unwrap());
    // The service drains a server although the file leads.
    published.apply(
        membership
            .apply_version(2.0, SourceId::Service, &list(2, Some(1), vec![entry("a", "draining")]))
            .unwrap(),
    );
    assert_eq!(published.ready(), "b c d e");
    // The file reports the server as ready, which does not end the service's drain.
    published
        .apply(membership.apply_version(3.0, SourceId::File, &list(2, None, ready_entries(&FIVE))).unwrap());
    assert_eq!(published.ready(), "b c d e");
    // A service restored from an old snapshot does not end its drain before the hold time.
    let second_epoch = |version, servers| ServerList { epoch: 2, version, after: None, servers };
    published.apply(
        membership.apply_version(4.0, SourceId::Service, &second_epoch(1, ready_entries(&FIVE))).unwrap(),
    );
    assert_eq!(published.ready(), "b c d e");
    published.apply(membership.tick(4000.0));
    assert_eq!(published.ready(), "b c d e");
    published.apply(membership.tick(8005.0));
    assert_eq!(published.ready(), "a b c d e");
    // Within one epoch the next version ends it.
    published.apply(
        membership
            .apply_version(
                9000.0,
                SourceId::Service,
                &second_epoch(2, vec![entry("a", "draining"), entry("b", "ready")]),
            )
            .unwrap(),
    );
    published.apply(
        membership.apply_version(9001.0, SourceId::Service, &second_epoch(3, ready_entries(&FIVE))).unwrap(),
    );
    assert_eq!(published.ready(), "a b c d e");
}

#[test]
fn operator_commands_survive_restarts_and_the_newest_applies() {
    let (mut membership, mut published) = with_five_servers();
    published.apply(membership.apply_command(1.0, "a", OperatorCommand::Drain).unwrap());
    published.apply(membership.apply_command(1.0, "b", OperatorCommand::Quarantine).unwrap());
    assert!(membership.apply_command(1.0, "nobody", OperatorCommand::Drain).is_none());
    assert_eq!((published.ready().as_str(), membership.revision()), ("c d e", 3));
    // Drained and undrained at the same time: the last command applies.
    published.apply(membership.apply_command(2.0, "c", OperatorCommand::Drain).unwrap());
    published.apply(membership.apply_command(2.0, "c", OperatorCommand::Undrain).unwrap());
    assert_eq!(published.ready(), "c d e");
    // A drain by the list after the operator's undrain takes effect.
    published.apply(
        membership
            .apply_version(3.0, SourceId::Service, &list(2, Some(1), vec![entry("c", "draining")]))
            .unwrap(),
    );
    assert_eq!(published.ready(), "d e");
    published.apply(membership.apply_command(4.0, "c", OperatorCommand::Undrain).unwrap());
    assert_eq!(published.ready(), "c d e");
    let saved = membership.save(10.0, 5e6).unwrap();
    let saved: SavedList = serde_json::from_str(&serde_json::to_string(&saved).unwrap()).unwrap();
    let (mut next, mut published) = (new_membership(), Published::default());
    published.apply(next.recover(0.0, 5e6 + 50.0, &saved).unwrap());
    assert_eq!(published.ready(), "c d e");
    // The service's version survives the restart, so its next delta applies to it.
    assert_eq!(next.known_version(SourceId::Service), Some((1, 2)));
    published.apply(
        next.apply_version(1.0, SourceId::Service, &list(3, Some(2), vec![entry("d", "draining")])).unwrap(),
    );
    assert_eq!(published.ready(), "c e");
    published.apply(next.apply_command(2.0, "b", OperatorCommand::Undrain).unwrap());
    assert_eq!(published.ready(), "b c e");
}

#[test]
fn a_server_that_returns_too_often_is_quarantined() {
    let (mut membership, mut published) = with_five_servers();
    let mut version = 1;
    let mut flap = |membership: &mut Membership, published: &mut Published, at: f64| {
        for readiness in ["gone", "ready"] {
            let after = Some(version);
            version += 1;
            let changes = list(version, after, vec![entry("a", readiness)]);
            published.apply(membership.apply_version(at, SourceId::Service, &changes).unwrap());
        }
    };
    for at in [100.0, 200.0] {
        flap(&mut membership, &mut published, at);
        assert_eq!(published.ready(), "a b c d e");
    }
    flap(&mut membership, &mut published, 300.0);
    assert_eq!(published.ready(), "b c d e");
    let quarantined = membership.status(300.0, 1e4).servers.into_iter().find(|row| row.name == "a").unwrap();
    assert_eq!((quarantined.phase, quarantined.by), (Phase::Quarantined, "damping"));
    assert_eq!(membership.next_wake_ms(300.0), Some(5300.0));
    published.apply(membership.tick(5300.0));
    assert_eq!(published.ready(), "a b c d e");
}

#[test]
fn a_name_at_another_address_is_another_process() {
    let (mut membership, _) = with_five_servers();
    // Back under its name at another address with the same start number: a different process all the same.
    let mut moved = entry("a", "ready");
    (moved.address, moved.age_ms) = ("127.0.2.1:9".into(), None);
    match membership.apply_version(5000.0, SourceId::Service, &list(2, Some(1), vec![moved])).unwrap() {
        ListUpdate::Listed { rows, .. } => assert_eq!(rows[0].started_ms, Some(5000.0)),
        other => panic!("{other:?}"),
    }
    // A new server at the address of a listed one is refused, unless the same version reports the old one
    // gone.
    let mut successor = entry("f", "ready");
    successor.address = entry("b", "ready").address;
    let refused =
        membership.apply_version(5001.0, SourceId::Service, &list(3, Some(2), vec![successor.clone()]));
    assert_eq!(refused.unwrap_err().to_string(), "server 'f': has the address of 'b'");
    let both = vec![entry("b", "gone"), successor];
    assert!(membership.apply_version(5002.0, SourceId::Service, &list(3, Some(2), both)).is_ok());
    // A drain belongs to a process; a new process under the same name is not drained.
    let (mut membership, mut published) = with_five_servers();
    published.apply(
        membership
            .apply_version(1.0, SourceId::Service, &list(2, Some(1), vec![entry("a", "draining")]))
            .unwrap(),
    );
    let restarted = ServerEntry { start: 2, ..entry("a", "ready") };
    let snapshot = ServerList {
        epoch: 3,
        version: 1,
        after: None,
        servers: [vec![restarted], ready_entries(&["b", "c", "d", "e"])].concat(),
    };
    published.apply(membership.apply_version(2.0, SourceId::Service, &snapshot).unwrap());
    assert_eq!(published.ready(), "a b c d e");
}

#[test]
fn a_silent_lead_is_stale_and_yields_only_to_a_responding_source() {
    let (mut membership, mut published) = with_five_servers();
    published.apply(
        membership
            .apply_version(1.0, SourceId::File, &list(1, None, ready_entries(&["a", "b", "c", "d"])))
            .unwrap(),
    );
    assert_eq!(published.ready(), "a b c d");
    // The file is gone. No other source responds, so the file keeps the lead.
    published.apply(membership.tick(40_000.0));
    let status = membership.status(40_000.0, 1e4);
    assert!(status.sources[0].stale && status.sources[0].leads && published.ready() == "a b c d");
    // The service responds, takes the lead, and its list is in effect.
    published.apply(
        membership
            .apply_version(40_001.0, SourceId::Service, &list(2, None, ready_entries(&["a", "b", "c", "e"])))
            .unwrap(),
    );
    assert_eq!(published.ready(), "a b c e");
    // The file is back with its old version.
    membership.source_unchanged(40_002.0, SourceId::File);
    published.apply(membership.tick(40_003.0));
    assert_eq!(published.ready(), "a b c d");
}

#[test]
fn a_saved_list_ages_by_the_downtime_and_never_gets_younger() {
    let (mut membership, _) = with_five_servers();
    membership
        .apply_version(
            1000.0,
            SourceId::Service,
            &list(2, Some(1), vec![ServerEntry { start: 2, age_ms: Some(200.0), ..entry("a", "ready") }]),
        )
        .unwrap();
    let saved = membership.save(1500.0, 1e6).unwrap();
    let start = |wall_ms: f64| match new_membership().recover(40.0, wall_ms, &saved).unwrap() {
        ListUpdate::Listed { kind: ListKind::Saved, rows } => rows[0].started_ms,
        other => panic!("{other:?}"),
    };
    assert_eq!(start(1e6 + 3000.0), Some(40.0 - 700.0 - 3000.0));
    // The wall clock was set back.
    assert_eq!(start(1e6 - 9000.0), Some(40.0 - 700.0));
}

#[test]
fn a_server_reported_gone_gets_no_work_even_if_the_version_is_held_or_another_source_leads() {
    // Nearly all of a role reported as gone by name: takes effect at once, without confirmation.
    let (mut membership, mut published) = with_five_servers();
    let gone = FIVE.map(|name| entry(name, if name == "e" { "ready" } else { "gone" })).to_vec();
    published.apply(membership.apply_version(1.0, SourceId::Service, &list(2, Some(1), gone)).unwrap());
    assert_eq!((published.ready().as_str(), membership.held().is_some()), ("e", false));
    // Reported gone in a version that is held because of the servers that it omits.
    let (mut membership, mut published) = with_five_servers();
    let some = vec![entry("a", "ready"), entry("b", "gone")];
    published.apply(membership.apply_version(1.0, SourceId::Service, &list(2, None, some)).unwrap());
    assert_eq!((published.ready().as_str(), membership.held().is_some()), ("a c d e", true));
    // A drain outlives a held version that omits its server.
    let (mut membership, mut published) = with_five_servers();
    published.apply(
        membership
            .apply_version(1.0, SourceId::Service, &list(2, Some(1), vec![entry("c", "draining")]))
            .unwrap(),
    );
    published.apply(
        membership.apply_version(2.0, SourceId::Service, &list(3, None, ready_entries(&["a"]))).unwrap(),
    );
    assert_eq!((published.ready().as_str(), membership.held().is_some()), ("a b d e", true));
    // By the service while the file leads.
    let (mut membership, mut published) = with_five_servers();
    published
        .apply(membership.apply_version(1.0, SourceId::File, &list(1, None, ready_entries(&FIVE))).unwrap());
    published.apply(
        membership
            .apply_version(2.0, SourceId::Service, &list(2, Some(1), vec![entry("a", "gone")]))
            .unwrap(),
    );
    assert_eq!(published.ready(), "b c d e");
}
