//! Model-based tests with random histories of inputs, and with all histories up to a length. After each step:
//! the effective list was reported by some source in a valid version, no drain is ended by an older version
//! or command, and versions only increase.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use paddleproxy::interface::{ListKind, Readiness, Role, WorkerId};
use paddleproxy_engine::{ServerEntry, ServerList};
use paddleproxy_membership::{ListUpdate, Membership, OperatorCommand, Rules, SavedList, SourceId};
use proptest::prelude::*;

const RULES: Rules = Rules {
    stale_ms: 3_000.0,
    hold_ms: 800.0,
    most_removed: 0.5,
    flaps: 1000,
    flap_window_ms: 1.0,
    quarantine_ms: 1.0,
};
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// What a source reports of each server: 0 omitted, 1 ready, 2 draining, 3 gone.
type Reported = [u8; NAMES.len()];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A whole version of the file or the service. Its number is the last one plus `version_step`; 0 repeats
    /// it.
    Whole {
        file: bool,
        version_step: i8,
        reported: Reported,
    },
    /// A delta by the service to the version that the router knows.
    Changes {
        reported: Reported,
    },
    /// The service restarts in a new epoch and counts from version 1.
    ServiceRestart {
        reported: Reported,
    },
    /// A version with an invalid entry.
    Invalid {
        file: bool,
    },
    Command {
        server: usize,
        command: u8,
    },
    Observed {
        server: usize,
        reachable: bool,
    },
    Accept,
    Wait {
        ms: u16,
    },
    RouterRestart,
}

fn entries(reported: &Reported) -> Vec<ServerEntry> {
    let rows = NAMES.iter().zip(reported).enumerate().filter(|(_, (_, reported))| **reported != 0);
    rows.map(|(row, (name, reported))| ServerEntry {
        name: (*name).into(),
        address: format!("127.0.0.{}:9", row + 1),
        zone: "z".into(),
        kind: "k".into(),
        cell: 0,
        readiness: ["", "ready", "draining", "gone"][usize::from(*reported)].into(),
        weight: 1.0,
        start: 1,
        age_ms: Some(1e6),
    })
    .collect()
}

/// The effective list, rebuilt from the published updates.
#[derive(Default)]
struct Published {
    rows: BTreeMap<String, Readiness>,
}

struct Run {
    membership: Membership,
    now_ms: f64,
    published: Published,
    file: u64,
    service: (u64, u64),
    /// Every set of servers that were not gone in some accepted or held valid version.
    reported_sets: BTreeSet<BTreeSet<String>>,
    /// For each source, its latest valid version.
    latest: BTreeMap<SourceId, BTreeMap<String, u8>>,
    /// Drains that their source has not ended, with their start.
    drains: BTreeMap<(SourceId, String), f64>,
    commands: BTreeMap<String, (OperatorCommand, f64)>,
    revision: u64,
    steps: u64,
}

fn new_membership() -> Membership {
    Membership::new(vec!["z".into()], vec![("k".into(), Role::Mixed)], RULES)
}

impl Run {
    fn new() -> Self {
        Run {
            membership: new_membership(),
            now_ms: 0.0,
            published: Published::default(),
            file: 0,
            service: (1, 0),
            reported_sets: BTreeSet::new(),
            latest: BTreeMap::new(),
            drains: BTreeMap::new(),
            commands: BTreeMap::new(),
            revision: 0,
            steps: 0,
        }
    }

    fn update(&mut self, update: ListUpdate) {
        if let ListUpdate::Listed { kind, rows } = update {
            if kind != ListKind::Changes {
                self.published.rows.values_mut().for_each(|readiness| *readiness = Readiness::Gone);
            }
            for row in rows.iter() {
                self.published.rows.insert(row.worker.0.to_string(), row.readiness);
            }
        }
    }

    fn list(&mut self, source: SourceId, list: ServerList) {
        let before = self.membership.known_version(source);
        let update = self.membership.apply_version(self.now_ms, source, &list);
        let whole = list.after.is_none();
        let applied = matches!(&update, Ok(ListUpdate::Listed { .. } | ListUpdate::Unchanged))
            && before.is_none_or(|(epoch, version)| epoch != list.epoch || list.version > version);
        if applied {
            assert!(self.membership.known_version(source) == Some((list.epoch, list.version)));
            let latest = self.latest.entry(source).or_default();
            if whole {
                latest.clear();
            }
            for entry in &list.servers {
                let reported = match entry.readiness.as_str() {
                    "ready" => 1,
                    "draining" => 2,
                    _ => 3,
                };
                latest.insert(entry.name.clone(), reported);
            }
            let not_gone =
                latest.iter().filter(|(_, reported)| **reported != 3).map(|(name, _)| name.clone()).collect();
            self.reported_sets.insert(not_gone);
            let previous_epoch = before.map(|(epoch, _)| epoch);
            for name in NAMES {
                let key = (source, name.to_owned());
                match latest.get(name) {
                    Some(2) => drop(self.drains.entry(key).or_insert(self.now_ms)),
                    // Ended by the same source. A restarted service, whose version may be older, is handled
                    // in its step.
                    Some(1) if previous_epoch == Some(list.epoch) || before.is_none() => {
                        self.drains.remove(&key);
                    }
                    Some(1) => drop(self.drains.remove(&key)),
                    _ => drop(self.drains.remove(&key)),
                }
            }
        } else if let (Some((epoch, version)), Some((epoch_after, version_after))) =
            (before, self.membership.known_version(source))
        {
            // Refused or repeated: the known version stays.
            assert!((epoch, version) == (epoch_after, version_after));
        }
        if let Ok(update) = update {
            self.update(update);
        }
    }

    fn step(&mut self, step: &Step) {
        self.steps += 1;
        self.now_ms += 1.0;
        match step {
            Step::Whole { file: true, version_step, reported } => {
                let version = self.file.saturating_add_signed(i64::from(*version_step));
                self.file = self.file.max(version);
                self.list(
                    SourceId::File,
                    ServerList { epoch: 0, version, after: None, servers: entries(reported) },
                );
            }
            Step::Whole { file: false, version_step, reported } => {
                let version = self.service.1.saturating_add_signed(i64::from(*version_step));
                self.service.1 = self.service.1.max(version);
                let list =
                    ServerList { epoch: self.service.0, version, after: None, servers: entries(reported) };
                self.list(SourceId::Service, list);
            }
            Step::Changes { reported } => {
                let Some((epoch, after)) = self.membership.known_version(SourceId::Service) else { return };
                if epoch != self.service.0 {
                    return;
                }
                self.service.1 = self.service.1.max(after) + 1;
                let list = ServerList {
                    epoch,
                    version: self.service.1,
                    after: Some(after),
                    servers: entries(reported),
                };
                self.list(SourceId::Service, list);
            }
            Step::ServiceRestart { reported } => {
                self.service = (self.service.0 + 1, 1);
                // The new epoch may be older than drains that it contradicts; the model no longer checks
                // those.
                let still_draining = |name: &str| {
                    NAMES.iter().zip(reported).any(|(listed, reported)| *listed == name && *reported == 2)
                };
                let before = self.drains.clone();
                self.drains.retain(|(source, name), _| *source != SourceId::Service || still_draining(name));
                let list =
                    ServerList { epoch: self.service.0, version: 1, after: None, servers: entries(reported) };
                self.list(SourceId::Service, list);
                if self.membership.known_version(SourceId::Service) != Some(self.service) {
                    // The version was refused.
                    self.drains = before;
                }
            }
            Step::Invalid { file } => {
                let (source, epoch, version) = match file {
                    true => (SourceId::File, 0, self.file + 1),
                    false => (SourceId::Service, self.service.0, self.service.1 + 1),
                };
                let mut servers = entries(&[1, 1, 1, 1]);
                servers[3].weight = f64::NAN;
                let before = (self.membership.known_version(source), self.membership.revision());
                assert!(self
                    .membership
                    .apply_version(self.now_ms, source, &ServerList { epoch, version, after: None, servers })
                    .is_err());
                assert_eq!(before, (self.membership.known_version(source), self.membership.revision()));
            }
            Step::Command { server, command } => {
                let command = [OperatorCommand::Drain, OperatorCommand::Undrain, OperatorCommand::Quarantine]
                    [usize::from(*command) % 3];
                if let Some(update) = self.membership.apply_command(self.now_ms, NAMES[*server], command) {
                    self.commands.insert(NAMES[*server].to_owned(), (command, self.now_ms));
                    self.update(update);
                }
            }
            Step::Observed { server, reachable } => {
                let update =
                    self.membership.observe(self.now_ms, &WorkerId(Arc::from(NAMES[*server])), *reachable);
                self.update(update);
            }
            Step::Accept => {
                let update = self.membership.accept_held(self.now_ms);
                update.into_iter().for_each(|update| self.update(update));
            }
            Step::Wait { ms } => {
                self.now_ms += f64::from(*ms);
                let update = self.membership.tick(self.now_ms);
                self.update(update);
            }
            Step::RouterRestart => {
                let Some(saved) = self.membership.save(self.now_ms, 1e6 + self.now_ms) else { return };
                let saved: SavedList = serde_json::from_str(&serde_json::to_string(&saved).unwrap()).unwrap();
                let old = self.published.rows.clone();
                (self.membership, self.published, self.revision) =
                    (new_membership(), Published::default(), 0);
                let update = self.membership.recover(self.now_ms, 1e6 + self.now_ms, &saved);
                if let Ok(update) = update {
                    self.update(update);
                }
                // The source that led resumes from its saved version; the others report the whole list again.
                let source = if saved.file.is_some() { SourceId::File } else { SourceId::Service };
                let reported = |readiness: &str| match readiness {
                    "draining" => 2,
                    "gone" => 3,
                    _ => 1,
                };
                let latest =
                    saved.servers.iter().map(|entry| (entry.name.clone(), reported(&entry.readiness)));
                self.latest = BTreeMap::from([(source, latest.collect())]);
                // The same servers are in effect as before the restart, drains and operator commands
                // included.
                let not_gone = |rows: &BTreeMap<String, Readiness>| {
                    rows.iter()
                        .filter(|(_, r)| **r != Readiness::Gone)
                        .map(|(n, r)| (n.clone(), *r))
                        .collect::<Vec<_>>()
                };
                assert_eq!(not_gone(&old), not_gone(&self.published.rows), "after a restart");
            }
        }
        self.check();
    }

    fn check(&mut self) {
        assert!(self.membership.revision() >= self.revision);
        self.revision = self.membership.revision();
        let not_gone: BTreeSet<String> = self
            .published
            .rows
            .iter()
            .filter(|(_, r)| **r != Readiness::Gone)
            .map(|(name, _)| name.clone())
            .collect();
        assert!(
            not_gone.is_empty() || self.reported_sets.contains(&not_gone),
            "{not_gone:?} is in effect, which no source reported"
        );
        for (name, readiness) in &self.published.rows {
            if *readiness != Readiness::Ready {
                continue;
            }
            let command = self.commands.get(name);
            assert!(
                !matches!(command, Some((OperatorCommand::Drain | OperatorCommand::Quarantine, _))),
                "{name} is withdrawn by an operator but ready"
            );
            for source in [SourceId::File, SourceId::Service] {
                let Some(since) = self.drains.get(&(source, name.clone())) else { continue };
                let undrained = matches!(command, Some((OperatorCommand::Undrain, at)) if at >= since);
                assert!(undrained, "{name} is drained by {} since {since} but is ready", source.name());
            }
        }
    }
}

fn any_report() -> impl Strategy<Value = Reported> {
    prop::array::uniform4(prop_oneof![1 => Just(0u8), 4 => Just(1u8), 2 => Just(2u8), 1 => Just(3u8)])
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (any::<bool>(), -2i8..3, any_report()).prop_map(
            |(file, version_step, reported)| Step::Whole { file, version_step, reported }
        ),
        4 => any_report().prop_map(|reported| Step::Changes { reported }),
        1 => any_report().prop_map(|reported| Step::ServiceRestart { reported }),
        1 => any::<bool>().prop_map(|file| Step::Invalid { file }),
        2 => (0..NAMES.len(), 0u8..3).prop_map(|(server, command)| Step::Command { server, command }),
        2 => (0..NAMES.len(), any::<bool>())
            .prop_map(|(server, reachable)| Step::Observed { server, reachable }),
        1 => Just(Step::Accept),
        2 => (0u16..2000).prop_map(|ms| Step::Wait { ms }),
        1 => Just(Step::RouterRestart),
    ]
}

/// A number from the environment, for longer runs.
fn env_number(name: &str) -> Option<u32> {
    std::env::var(name).ok()?.parse().ok()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: env_number("HISTORY_CASES").unwrap_or(2000),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_histories_keep_the_invariants(steps in prop::collection::vec(step(), 1..40)) {
        let mut run = Run::new();
        steps.iter().for_each(|step| run.step(step));
    }
}

/// A random history after which a drained server was ready: a held version omits a draining server, a restart
/// loses that version, an operator ends the drain, and the source reports the drain again.
#[test]
fn a_drain_reported_again_after_a_restart_lost_the_held_version_counts_as_new() {
    for held in [[2, 0, 2, 0], [2, 3, 2, 0]] {
        let mut run = Run::new();
        run.step(&Step::Whole { file: false, version_step: 0, reported: [0, 2, 0, 1] });
        run.step(&Step::Whole { file: false, version_step: 1, reported: held });
        assert!(
            run.membership.held().is_some(),
            "the last usable server d may not be removed without confirmation"
        );
        run.step(&Step::RouterRestart);
        run.step(&Step::Command { server: 1, command: 1 });
        assert_eq!(run.published.rows["b"], Readiness::Ready);
        run.step(&Step::Changes { reported: [0, 2, 0, 0] });
        assert_eq!(run.published.rows["b"], Readiness::Draining);
    }
}

/// A small set of steps from which all histories up to a length are built.
fn alphabet() -> Vec<Step> {
    let (both, one, drained, all) = ([1, 1, 0, 0], [1, 0, 0, 0], [2, 1, 0, 0], [1, 1, 1, 1]);
    vec![
        Step::Whole { file: false, version_step: 1, reported: all },
        Step::Whole { file: false, version_step: 1, reported: one },
        Step::Whole { file: false, version_step: 1, reported: drained },
        Step::Whole { file: false, version_step: -1, reported: both },
        Step::Whole { file: true, version_step: 1, reported: all },
        Step::Whole { file: true, version_step: 1, reported: [2, 1, 1, 0] },
        Step::Changes { reported: [0, 2, 0, 0] },
        Step::Changes { reported: [1, 0, 3, 3] },
        Step::ServiceRestart { reported: both },
        Step::Invalid { file: false },
        Step::Command { server: 0, command: 0 },
        Step::Command { server: 0, command: 1 },
        Step::Observed { server: 1, reachable: false },
        Step::Accept,
        Step::Wait { ms: 1000 },
        Step::RouterRestart,
    ]
}

#[test]
fn all_short_histories_keep_the_invariants() {
    let depth = env_number("HISTORY_DEPTH").unwrap_or(3) as usize;
    let alphabet = alphabet();
    let (mut histories, mut steps) = (0u64, 0u64);
    let mut pending: VecDeque<Vec<usize>> = VecDeque::from([Vec::new()]);
    while let Some(history) = pending.pop_front() {
        let mut run = Run::new();
        history.iter().for_each(|row| run.step(&alphabet[*row]));
        (histories, steps) = (histories + 1, steps + run.steps);
        if history.len() < depth {
            for row in 0..alphabet.len() {
                let mut next = history.clone();
                next.push(row);
                // Depth first, so that few histories are pending at a time.
                pending.push_front(next);
            }
        }
    }
    println!("{histories} histories of up to {depth} of {} different steps, {steps} steps", alphabet.len());
    let expected: u64 = (0..=depth as u32).map(|length| (alphabet.len() as u64).pow(length)).sum();
    assert_eq!(histories, expected);
}
