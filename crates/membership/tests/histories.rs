//! Histories of words by chance and, for small ones, all that there are: what is acted on was always stated by some
//! source and passed the checks, no drain is undone by an older word, and versions only go forward.

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

/// What a source says of one server: absent, ready, draining, gone.
type Says = [u8; NAMES.len()];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A whole version of a source: the file or the service, so many on from its last one; 0 repeats it.
    Whole {
        file: bool,
        on: i8,
        says: Says,
    },
    /// Changes by the service on the version that the router knows.
    Changes {
        says: Says,
    },
    /// The service starts anew from an old version.
    Anew {
        says: Says,
    },
    /// An entry in it can't be believed.
    Broken {
        file: bool,
    },
    OperatorCommand {
        server: usize,
        word: u8,
    },
    Seen {
        server: usize,
        there: bool,
    },
    Accept,
    Passes {
        ms: u16,
    },
    Restart,
}

fn entries(says: &Says) -> Vec<ServerEntry> {
    let rows = NAMES.iter().zip(says).enumerate().filter(|(_, (_, says))| **says != 0);
    rows.map(|(row, (name, says))| ServerEntry {
        name: (*name).into(),
        address: format!("127.0.0.{}:9", row + 1),
        zone: "z".into(),
        kind: "k".into(),
        cell: 0,
        readiness: ["", "ready", "draining", "gone"][usize::from(*says)].into(),
        weight: 1.0,
        start: 1,
        age_ms: Some(1e6),
    })
    .collect()
}

/// A router's list beside what a plain model of the rules remembers of it.
#[derive(Default)]
struct Told {
    rows: BTreeMap<String, Readiness>,
}

struct Run {
    m: Membership,
    now_ms: f64,
    told: Told,
    file: u64,
    service: (u64, u64),
    /// Every set of names that some source stated as not gone, in a version that passed the checks.
    stated: BTreeSet<BTreeSet<String>>,
    /// By source: what it stated last.
    view: BTreeMap<SourceId, BTreeMap<String, u8>>,
    /// Drains that stand by the newest word of the one who stated them.
    drained: BTreeMap<(SourceId, String), f64>,
    words: BTreeMap<String, (OperatorCommand, f64)>,
    revision: u64,
    steps: u64,
}

fn membership() -> Membership {
    Membership::new(vec!["z".into()], vec![("k".into(), Role::Mixed)], RULES)
}

impl Run {
    fn new() -> Self {
        Run {
            m: membership(),
            now_ms: 0.0,
            told: Told::default(),
            file: 0,
            service: (1, 0),
            stated: BTreeSet::new(),
            view: BTreeMap::new(),
            drained: BTreeMap::new(),
            words: BTreeMap::new(),
            revision: 0,
            steps: 0,
        }
    }

    fn heard(&mut self, heard: ListUpdate) {
        if let ListUpdate::Listed { kind, rows } = heard {
            if kind != ListKind::Changes {
                self.told.rows.values_mut().for_each(|readiness| *readiness = Readiness::Gone);
            }
            for row in rows.iter() {
                self.told.rows.insert(row.worker.0.to_string(), row.readiness);
            }
        }
    }

    fn list(&mut self, of: SourceId, list: ServerList) {
        let before = self.m.known_version(of);
        let heard = self.m.apply_version(self.now_ms, of, &list);
        let whole = list.after.is_none();
        let taken = matches!(&heard, Ok(ListUpdate::Listed { .. } | ListUpdate::Unchanged))
            && before.is_none_or(|(epoch, version)| epoch != list.epoch || list.version > version);
        if taken {
            assert!(self.m.known_version(of) == Some((list.epoch, list.version)));
            let view = self.view.entry(of).or_default();
            if whole {
                view.clear();
            }
            for entry in &list.servers {
                let says = match entry.readiness.as_str() {
                    "ready" => 1,
                    "draining" => 2,
                    _ => 3,
                };
                view.insert(entry.name.clone(), says);
            }
            let alive = view.iter().filter(|(_, says)| **says != 3).map(|(name, _)| name.clone()).collect();
            self.stated.insert(alive);
            let known_epoch = before.map(|(epoch, _)| epoch);
            for name in NAMES {
                let key = (of, name.to_owned());
                match view.get(name) {
                    Some(2) => drop(self.drained.entry(key).or_insert(self.now_ms)),
                    // A newer word of the same source; one of another epoch may be older and is not asked here.
                    Some(1) if known_epoch == Some(list.epoch) || before.is_none() => {
                        self.drained.remove(&key);
                    }
                    Some(1) => drop(self.drained.remove(&key)),
                    _ => drop(self.drained.remove(&key)),
                }
            }
        } else if let (Some((epoch, version)), Some((now, at))) = (before, self.m.known_version(of)) {
            // VersionError or repeated: nothing went back.
            assert!((epoch, version) == (now, at));
        }
        if let Ok(heard) = heard {
            self.heard(heard);
        }
    }

    fn step(&mut self, step: &Step) {
        self.steps += 1;
        self.now_ms += 1.0;
        match step {
            Step::Whole { file: true, on, says } => {
                let version = self.file.saturating_add_signed(i64::from(*on));
                self.file = self.file.max(version);
                self.list(
                    SourceId::File,
                    ServerList { epoch: 0, version, after: None, servers: entries(says) },
                );
            }
            Step::Whole { file: false, on, says } => {
                let version = self.service.1.saturating_add_signed(i64::from(*on));
                self.service.1 = self.service.1.max(version);
                let list = ServerList { epoch: self.service.0, version, after: None, servers: entries(says) };
                self.list(SourceId::Service, list);
            }
            Step::Changes { says } => {
                let Some((epoch, after)) = self.m.known_version(SourceId::Service) else { return };
                if epoch != self.service.0 {
                    return;
                }
                self.service.1 = self.service.1.max(after) + 1;
                let list =
                    ServerList { epoch, version: self.service.1, after: Some(after), servers: entries(says) };
                self.list(SourceId::Service, list);
            }
            Step::Anew { says } => {
                self.service = (self.service.0 + 1, 1);
                // What it says otherwise may be older than drains that stand: those are not asked for afterwards.
                let still = |name: &str| NAMES.iter().zip(says).any(|(of, says)| *of == name && *says == 2);
                let before = self.drained.clone();
                self.drained.retain(|(of, name), _| *of != SourceId::Service || still(name));
                let list =
                    ServerList { epoch: self.service.0, version: 1, after: None, servers: entries(says) };
                self.list(SourceId::Service, list);
                if self.m.known_version(SourceId::Service) != Some(self.service) {
                    // It was refused.
                    self.drained = before;
                }
            }
            Step::Broken { file } => {
                let (of, epoch, version) = match file {
                    true => (SourceId::File, 0, self.file + 1),
                    false => (SourceId::Service, self.service.0, self.service.1 + 1),
                };
                let mut servers = entries(&[1, 1, 1, 1]);
                servers[3].weight = f64::NAN;
                let before = (self.m.known_version(of), self.m.revision());
                assert!(self
                    .m
                    .apply_version(self.now_ms, of, &ServerList { epoch, version, after: None, servers })
                    .is_err());
                assert_eq!(before, (self.m.known_version(of), self.m.revision()));
            }
            Step::OperatorCommand { server, word } => {
                let word = [OperatorCommand::Drain, OperatorCommand::Undrain, OperatorCommand::Quarantine]
                    [usize::from(*word) % 3];
                if let Some(heard) = self.m.apply_command(self.now_ms, NAMES[*server], word) {
                    self.words.insert(NAMES[*server].to_owned(), (word, self.now_ms));
                    self.heard(heard);
                }
            }
            Step::Seen { server, there } => {
                let heard = self.m.observe(self.now_ms, &WorkerId(Arc::from(NAMES[*server])), *there);
                self.heard(heard);
            }
            Step::Accept => {
                let heard = self.m.accept_held(self.now_ms);
                heard.into_iter().for_each(|heard| self.heard(heard));
            }
            Step::Passes { ms } => {
                self.now_ms += f64::from(*ms);
                let heard = self.m.tick(self.now_ms);
                self.heard(heard);
            }
            Step::Restart => {
                let Some(saved) = self.m.save(self.now_ms, 1e6 + self.now_ms) else { return };
                let saved: SavedList = serde_json::from_str(&serde_json::to_string(&saved).unwrap()).unwrap();
                let old = self.told.rows.clone();
                (self.m, self.told, self.revision) = (membership(), Told::default(), 0);
                let heard = self.m.recover(self.now_ms, 1e6 + self.now_ms, &saved);
                if let Ok(heard) = heard {
                    self.heard(heard);
                }
                // The source that led goes on from the version that was saved; the others state the whole again.
                let of = if saved.file.is_some() { SourceId::File } else { SourceId::Service };
                let says = |readiness: &str| match readiness {
                    "draining" => 2,
                    "gone" => 3,
                    _ => 1,
                };
                let view = saved.servers.iter().map(|entry| (entry.name.clone(), says(&entry.readiness)));
                self.view = BTreeMap::from([(of, view.collect())]);
                // What was acted on is acted on again, drains and words included.
                let live = |rows: &BTreeMap<String, Readiness>| {
                    rows.iter()
                        .filter(|(_, r)| **r != Readiness::Gone)
                        .map(|(n, r)| (n.clone(), *r))
                        .collect::<Vec<_>>()
                };
                assert_eq!(live(&old), live(&self.told.rows), "after a restart");
            }
        }
        self.check();
    }

    fn check(&mut self) {
        assert!(self.m.revision() >= self.revision);
        self.revision = self.m.revision();
        let alive: BTreeSet<String> = self
            .told
            .rows
            .iter()
            .filter(|(_, r)| **r != Readiness::Gone)
            .map(|(name, _)| name.clone())
            .collect();
        assert!(alive.is_empty() || self.stated.contains(&alive), "acted on {alive:?}, which nobody stated");
        for (name, readiness) in &self.told.rows {
            if *readiness != Readiness::Ready {
                continue;
            }
            let word = self.words.get(name);
            assert!(
                !matches!(word, Some((OperatorCommand::Drain | OperatorCommand::Quarantine, _))),
                "{name} is set aside by word"
            );
            for of in [SourceId::File, SourceId::Service] {
                let Some(since) = self.drained.get(&(of, name.clone())) else { continue };
                let undrained = matches!(word, Some((OperatorCommand::Undrain, at)) if at >= since);
                assert!(undrained, "{name} is drained by {} since {since} and gets work", of.name());
            }
        }
    }
}

fn says() -> impl Strategy<Value = Says> {
    prop::array::uniform4(prop_oneof![1 => Just(0u8), 4 => Just(1u8), 2 => Just(2u8), 1 => Just(3u8)])
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (any::<bool>(), -2i8..3, says()).prop_map(|(file, on, says)| Step::Whole { file, on, says }),
        4 => says().prop_map(|says| Step::Changes { says }),
        1 => says().prop_map(|says| Step::Anew { says }),
        1 => any::<bool>().prop_map(|file| Step::Broken { file }),
        2 => (0..NAMES.len(), 0u8..3).prop_map(|(server, word)| Step::OperatorCommand { server, word }),
        2 => (0..NAMES.len(), any::<bool>()).prop_map(|(server, there)| Step::Seen { server, there }),
        1 => Just(Step::Accept),
        2 => (0u16..2000).prop_map(|ms| Step::Passes { ms }),
        1 => Just(Step::Restart),
    ]
}

/// A whole number told in the environment, for the long forms.
fn told(name: &str) -> Option<u32> {
    std::env::var(name).ok()?.parse().ok()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: told("HISTORY_CASES").unwrap_or(2000), ..ProptestConfig::default() })]

    #[test]
    fn no_history_breaks_a_rule(steps in prop::collection::vec(step(), 1..40)) {
        let mut run = Run::new();
        steps.iter().for_each(|step| run.step(step));
    }
}

/// The history by chance that broke rule 3: a held version leaves a draining server out, a restart forgets that version, an
/// operator ends the drain, and the source states it anew.
#[test]
fn a_drain_anew_after_a_forgotten_version_is_kept() {
    for held in [[2, 0, 2, 0], [2, 3, 2, 0]] {
        let mut run = Run::new();
        run.step(&Step::Whole { file: false, on: 0, says: [0, 2, 0, 1] });
        run.step(&Step::Whole { file: false, on: 1, says: held });
        assert!(run.m.held().is_some(), "d, the last usable one, may not simply go");
        run.step(&Step::Restart);
        run.step(&Step::OperatorCommand { server: 1, word: 1 });
        assert_eq!(run.told.rows["b"], Readiness::Ready);
        run.step(&Step::Changes { says: [0, 2, 0, 0] });
        assert_eq!(run.told.rows["b"], Readiness::Draining);
    }
}

/// Few words, of which every history up to a length is played.
fn alphabet() -> Vec<Step> {
    let (both, one, drained, other) = ([1, 1, 0, 0], [1, 0, 0, 0], [2, 1, 0, 0], [1, 1, 1, 1]);
    vec![
        Step::Whole { file: false, on: 1, says: other },
        Step::Whole { file: false, on: 1, says: one },
        Step::Whole { file: false, on: 1, says: drained },
        Step::Whole { file: false, on: -1, says: both },
        Step::Whole { file: true, on: 1, says: other },
        Step::Whole { file: true, on: 1, says: [2, 1, 1, 0] },
        Step::Changes { says: [0, 2, 0, 0] },
        Step::Changes { says: [1, 0, 3, 3] },
        Step::Anew { says: both },
        Step::Broken { file: false },
        Step::OperatorCommand { server: 0, word: 0 },
        Step::OperatorCommand { server: 0, word: 1 },
        Step::Seen { server: 1, there: false },
        Step::Accept,
        Step::Passes { ms: 1000 },
        Step::Restart,
    ]
}

#[test]
fn every_short_history_keeps_the_rules() {
    let depth = told("HISTORY_DEPTH").unwrap_or(3) as usize;
    let alphabet = alphabet();
    let (mut histories, mut steps) = (0u64, 0u64);
    let mut open: VecDeque<Vec<usize>> = VecDeque::from([Vec::new()]);
    while let Some(history) = open.pop_front() {
        let mut run = Run::new();
        history.iter().for_each(|row| run.step(&alphabet[*row]));
        (histories, steps) = (histories + 1, steps + run.steps);
        if history.len() < depth {
            for row in 0..alphabet.len() {
                let mut next = history.clone();
                next.push(row);
                // Depth first, so that what is open stays small.
                open.push_front(next);
            }
        }
    }
    println!("{histories} histories of up to {depth} of {} words, {steps} steps", alphabet.len());
    let expected: u64 = (0..=depth as u32).map(|length| (alphabet.len() as u64).pow(length)).sum();
    assert_eq!(histories, expected);
}
