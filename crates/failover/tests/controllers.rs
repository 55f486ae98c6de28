//! Desks of several routers with one page between them, in virtual time.

#[path = "../../../tests/helpers/mod.rs"]
mod helpers;

use std::collections::BTreeMap;
use std::sync::Arc;

use paddleproxy::interface::*;
use paddleproxy_failover::plan::WHOLE_SHARE;
use paddleproxy_failover::{
    CommandRegister, DispatchOutcome, EvidenceRow, FailoverController, Homes, OperatorCommand, Rules,
    StampedCommand, Topology, Verdict, Zone,
};

const ZONES: usize = 3;
const EACH: usize = 4;

fn name(zone: usize, server: usize) -> WorkerId {
    WorkerId(Arc::from(format!("z{zone}-m{server}")))
}

fn listing(zone: usize, server: usize) -> Listing {
    Listing {
        worker: name(zone, server),
        zone: ZoneId(zone),
        kind: KindId(0),
        cell: CellId(zone as u32),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_ms: None,
    }
}

fn all() -> Vec<Listing> {
    (0..ZONES * EACH).map(|row| listing(row / EACH, row % EACH)).collect()
}

fn rules(place: usize) -> Rules {
    let costs = vec![vec![0.0, 1.0, 5.0], vec![1.0, 0.0, 5.0], vec![5.0, 5.0, 0.0]];
    Rules {
        topology: Topology { regions: vec![0, 0, 1], costs },
        own_zone: Zone((place % ZONES) as u8),
        router_index: place as u16,
        lease_ms: 1500.0,
        reserve: 0.25,
        max_step_out: 0.5,
        max_step_back: 0.1,
        weights_act: true,
        own_evidence_only: false,
        commands_only: false,
        roles: vec![Role::Mixed],
    }
}

/// Routers that hear each other and go by one page; what a dispatch meets is `meets(from, to)`.
struct Fleet {
    desks: Vec<FailoverController>,
    now_ms: f64,
    page: (u64, Vec<u8>),
    /// Whether servers say what room they have.
    reports: bool,
    /// Plans that moved somebody or brought somebody back, and when.
    changes: Vec<f64>,
}

impl Fleet {
    fn new() -> Fleet {
        let desk = |place| {
            let mut desk = FailoverController::new(0.0, rules(place));
            desk.apply_list(ListKind::Whole, &all());
            desk
        };
        Fleet {
            desks: (0..9).map(desk).collect(),
            now_ms: 0.0,
            page: (1, Vec::new()),
            reports: true,
            changes: Vec::new(),
        }
    }

    /// Half a second: ten completions at each router, then rows, then perhaps another page.
    fn step(&mut self, meets: impl Fn(Zone, usize) -> DispatchOutcome) {
        self.now_ms += 500.0;
        let now_ms = self.now_ms;
        for (place, desk) in self.desks.iter_mut().enumerate() {
            let own = Zone((place % ZONES) as u8);
            for n in 0..10u64 {
                let session = SessionId(
                    (now_ms as u64 * 31 + n * 17 + place as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
                );
                let home = desk.moved_home(now_ms, session);
                let zone = home.map_or((n as usize + place) % ZONES, |zone| zone.0);
                let server = name(zone, n as usize % EACH);
                desk.record_outcome(now_ms, &server, meets(own, zone));
                if self.reports {
                    desk.record_load(now_ms, &server, 0.2);
                }
            }
            for server in desk.probe_targets(now_ms as u64) {
                let zone = (0..ZONES).find(|zone| (0..EACH).any(|s| name(*zone, s) == server)).unwrap();
                let met = match meets(own, zone) {
                    DispatchOutcome::InTarget | DispatchOutcome::Late => DispatchOutcome::ProbeAnswered,
                    other => other,
                };
                desk.record_outcome(now_ms, &server, met);
            }
        }
        let rows: Vec<EvidenceRow> = self
            .desks
            .iter_mut()
            .map(|desk| EvidenceRow::read(&desk.own_row(now_ms, Some(1.0)).bytes()).unwrap())
            .collect();
        for desk in &mut self.desks {
            desk.merge_commands(now_ms, &rows);
        }
        let speaking: Vec<Zone> = (0..ZONES as u8).map(Zone).collect();
        let pages: Vec<Vec<u8>> = self
            .desks
            .iter_mut()
            .map(|desk| desk.propose(now_ms, &self.page.1.clone(), &rows, &speaking))
            .collect();
        // Who has the same rows, words and page before makes the same page after; words end at each by its own clock.
        let said = self.desks.iter().any(|desk| desk.commands.active(now_ms - 1000.0).next().is_some());
        assert!(said || pages.iter().all(|page| *page == pages[0]), "at {now_ms} ms");
        if pages[0] != self.page.1 && (now_ms as u64).is_multiple_of(2500) {
            self.page = (self.page.0 + 1, pages[0].clone());
            let (number, extra) = (self.page.0, self.page.1.clone());
            let moved = self
                .desks
                .iter_mut()
                .map(|desk| desk.apply_allocation(Some((number, &extra))))
                .fold(false, |a, b| a | b);
            if moved {
                self.changes.push(now_ms);
            }
        }
    }

    fn moved(&self, zone: u8) -> u16 {
        self.desks[0].agreed().map_or(0, |agreed| agreed.plan.moved(Zone(zone)))
    }
}

fn well(_: Zone, _: usize) -> DispatchOutcome {
    DispatchOutcome::InTarget
}

fn lost(_: Zone, to: usize) -> DispatchOutcome {
    if to == 2 {
        DispatchOutcome::Refused
    } else {
        DispatchOutcome::InTarget
    }
}

#[test]
fn a_lost_zone_is_left_and_comes_back_step_by_step() {
    let mut fleet = Fleet::new();
    (0..20).for_each(|_| fleet.step(well));
    assert_eq!(fleet.page.0, 1, "calm days change no page");
    (0..40).for_each(|_| fleet.step(lost));
    assert_eq!(fleet.moved(2), WHOLE_SHARE);
    assert_eq!(fleet.desks[0].last_assessment.verdicts[2], Verdict::Lost);
    let out = fleet.changes.len();
    assert_eq!(out, 2, "in two steps of a half");
    let back_ms = fleet.now_ms;
    (0..100).for_each(|_| fleet.step(well));
    assert_eq!(fleet.moved(2), 0);
    assert_eq!(fleet.changes.len() - out, 10);
    let first = fleet.changes[out] - back_ms;
    assert!(first >= 6000.0, "well for four leases first, came back after {first} ms");
}

#[test]
fn a_cut_path_moves_nobody() {
    let mut fleet = Fleet::new();
    (0..20).for_each(|_| fleet.step(well));
    let cut = |from: Zone, to: usize| {
        if to == 2 && from != Zone(2) {
            DispatchOutcome::TimedOut
        } else {
            DispatchOutcome::InTarget
        }
    };
    (0..80).for_each(|_| fleet.step(cut));
    assert_eq!(fleet.page.0, 1);
    assert!(matches!(fleet.desks[4].last_assessment.verdicts[2], Verdict::CutPath(_)));
}

#[test]
fn a_zone_that_flaps_goes_out_at_once_and_stays_out() {
    let mut fleet = Fleet::new();
    (0..20).for_each(|_| fleet.step(well));
    for _ in 0..10 {
        (0..6).for_each(|_| fleet.step(lost));
        (0..6).for_each(|_| fleet.step(well));
    }
    // A minute of it: at most the two steps out.
    assert!(fleet.changes.len() <= 3, "{:?}", fleet.changes);
    assert!(fleet.moved(2) >= WHOLE_SHARE / 2);
}

#[test]
fn everything_dead_everywhere_moves_nobody() {
    let mut fleet = Fleet::new();
    (0..20).for_each(|_| fleet.step(well));
    (0..40).for_each(|_| fleet.step(|_, _| DispatchOutcome::TimedOut));
    assert_eq!(fleet.page.0, 1);
    assert!(fleet.desks[0].last_assessment.verdicts.iter().all(|verdict| *verdict == Verdict::Unknown));
}

#[test]
fn one_router_that_finds_everything_dead_moves_nobody() {
    let mut fleet = Fleet::new();
    (0..20).for_each(|_| fleet.step(well));
    for _ in 0..40 {
        let now_ms = fleet.now_ms;
        for server in 0..200 {
            fleet.desks[4].record_outcome(
                now_ms,
                &name(server % ZONES, server % EACH),
                DispatchOutcome::TimedOut,
            );
        }
        fleet.step(well);
    }
    assert_eq!(fleet.page.0, 1);
}

#[test]
fn what_nobody_measured_takes_nothing() {
    let mut fleet = Fleet::new();
    // As if no server said anything of its room.
    fleet.reports = false;
    (0..60).for_each(|_| fleet.step(lost));
    assert_eq!(fleet.desks[0].last_assessment.verdicts[2], Verdict::Lost);
    assert_eq!(fleet.moved(2), 0);
}

#[test]
fn an_operators_word_wins_is_told_to_all_and_ends() {
    let mut fleet = Fleet::new();
    (0..20).for_each(|_| fleet.step(well));
    let now_ms = fleet.now_ms;
    fleet.desks[7].commands.issue(now_ms, 7, 1, OperatorCommand::Drain, 20_000.0);
    (0..24).for_each(|_| fleet.step(well));
    assert_eq!(fleet.moved(1), WHOLE_SHARE, "a healthy zone moves by a word");
    (0..120).for_each(|_| fleet.step(well));
    assert_eq!(fleet.moved(1), 0, "and comes back once it has ended");
    // Held, a lost zone's sessions stay.
    let now_ms = fleet.now_ms;
    fleet.desks[3].commands.issue(now_ms, 3, 2, OperatorCommand::Hold, 600_000.0);
    (0..40).for_each(|_| fleet.step(lost));
    assert_eq!(fleet.moved(2), 0);
}

#[test]
fn a_lease_that_lapses_leaves_homes_where_hashes_say() {
    let mut fleet = Fleet::new();
    (0..20).for_each(|_| fleet.step(well));
    (0..40).for_each(|_| fleet.step(lost));
    let now_ms = fleet.now_ms;
    let desk = &mut fleet.desks[1];
    let sessions: Vec<SessionId> =
        (0..500u64).map(|n| SessionId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))).collect();
    let away = |desk: &mut FailoverController| {
        sessions.iter().filter(|s| desk.moved_home(now_ms, **s).is_some()).count()
    };
    assert!(away(desk) > 100);
    assert!(desk.apply_allocation(None));
    assert_eq!(away(desk), 0);
    assert_eq!(desk.allocation_number(), None);
}

#[test]
fn words_are_registers_in_which_the_newest_stamp_wins() {
    let (mut a, mut b) = (CommandRegister::default(), CommandRegister::default());
    let first = a.issue(0.0, 4, 1, OperatorCommand::Drain, 1000.0);
    assert!(b.merge(50.0, first, f64::from(first.for_ms)));
    assert!(!b.merge(60.0, first, f64::from(first.for_ms)), "known");
    let second = b.issue(100.0, 2, 1, OperatorCommand::Return, 5000.0);
    assert!(second.stamp > first.stamp);
    assert!(a.merge(110.0, second, f64::from(second.for_ms)));
    assert!(!a.merge(120.0, first, 1000.0), "an older word never comes back");
    assert_eq!(a.commands(120.0), b.commands(120.0));
    // It ends at each by its own clock, and is not heard anew from one that still holds it.
    assert!(b.commands(5101.0).is_empty());
    assert!(!b.merge(5105.0, second, f64::from(second.for_ms)));
    assert!(b.commands(5106.0).is_empty());
    // Two at once: the same one wins everywhere, in either order.
    let (one, two) = (
        a.issue(6000.0, 4, 1, OperatorCommand::Hold, 1e6),
        b.issue(6000.0, 2, 1, OperatorCommand::Drain, 1e6),
    );
    a.merge(6010.0, two, 1e6);
    b.merge(6010.0, one, 1e6);
    assert_eq!(a.commands(6020.0), b.commands(6020.0));
    assert_eq!(a.commands(6020.0), BTreeMap::from([(1, OperatorCommand::Hold)]));
    let bad = StampedCommand { for_ms: f32::NAN, ..one };
    assert!(!CommandRegister::default().merge(0.0, bad, 5.0));
}

/// A page's bytes come from a majority's page; whatever they are, sessions have some home and the next plan is made.
#[test]
fn bytes_of_any_page_do_no_harm() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut fleet = Fleet::new();
    (0..4).for_each(|_| fleet.step(well));
    let mut desk = fleet.desks.pop().unwrap();
    let rows: Vec<EvidenceRow> = Vec::new();
    let moves = BTreeMap::from([(2u8, vec![(0u8, 4000u16), (1, 3000)]), (1, vec![(0, 500)])]);
    let plan = paddleproxy_failover::Plan { number: 9, moves };
    let hands = paddleproxy_failover::FlapHistory {
        flaps: BTreeMap::from([(2, 3)]),
        returning: BTreeMap::from([(2, true)]),
    };
    let good = postcard::to_stdvec(&paddleproxy_failover::AgreedPlan { plan, history: hands }).unwrap();
    let mut plans = 0;
    for round in 0..20_000u64 {
        let mut bytes = good.clone();
        for _ in 0..rng.usize(..4) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        bytes.truncate(rng.usize(bytes.len() / 2..=bytes.len()));
        desk.apply_allocation(Some((round + 2, &bytes)));
        plans += u64::from(desk.agreed().is_some_and(|agreed| !agreed.plan.moves.is_empty()));
        desk.moved_home(1e6, SessionId(rng.u64(..)));
        desk.propose(1e6, &bytes, &rows, &[Zone(0)]);
        desk.probe_targets(round);
    }
    assert!(plans > 100, "{plans} were plans");
    let most = paddleproxy_failover::AgreedPlan {
        plan: paddleproxy_failover::Plan { number: u64::MAX, ..Default::default() },
        ..Default::default()
    };
    desk.propose(1e6, &postcard::to_stdvec(&most).unwrap(), &rows, &[]);
}

/// The desk's origin of a session is the zone in which the module has its home.
#[test]
fn origins_are_the_modules_homes() {
    for weights_act in [false, true] {
        let rows: Vec<Listing> = all()
            .into_iter()
            .enumerate()
            .map(|(n, row)| Listing { weight: [1.0, 0.5, 3.0][n % 3], ..row })
            .collect();
        let mut homes = Homes::new(weights_act);
        homes.apply_list(ListKind::Whole, &rows, |_| true);
        let settings = Settings {
            weights_act,
            kinds: vec![KindSettings { role: Role::Mixed, memory_tokens: 160_000.0 }],
            ..helpers::settings()
        };
        let sent = helpers::goes(rows, settings, 300, 100.0, None, 0.0);
        assert_eq!(sent.len(), 300);
        for (session, worker) in sent {
            let zone = homes.origin(SessionId(session)).unwrap();
            assert!(worker.starts_with(&format!("z{}", zone.0)), "session {session}");
        }
    }
}

#[test]
fn a_zone_off_the_list_is_remembered_and_one_that_shrinks_is_not() {
    let mut homes = Homes::new(false);
    homes.apply_list(ListKind::Whole, &all(), |_| true);
    let sessions: Vec<SessionId> = (0..600u64).map(|n| SessionId(n * 7919)).collect();
    let origins = |homes: &Homes| sessions.iter().map(|s| homes.origin(*s)).collect::<Vec<_>>();
    let before = origins(&homes);
    let gone = |zone: usize, servers: std::ops::Range<usize>| -> Vec<Listing> {
        servers.map(|s| Listing { readiness: Readiness::Gone, ..listing(zone, s) }).collect()
    };
    homes.apply_list(ListKind::Changes, &gone(2, 0..EACH), |_| true);
    assert_eq!(origins(&homes), before, "its sessions are its own while it is out");
    let without: Vec<Listing> = all().into_iter().filter(|row| row.zone != ZoneId(2)).collect();
    homes.apply_list(ListKind::Whole, &without, |_| true);
    assert_eq!(origins(&homes), before);
    homes.apply_list(ListKind::Whole, &all(), |_| true);
    assert_eq!(origins(&homes), before);
    homes.apply_list(ListKind::Changes, &gone(1, 0..1), |_| true);
    assert_ne!(origins(&homes), before, "one server less is no zone lost: its sessions have other homes");
}
