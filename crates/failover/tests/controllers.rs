//! Failover controllers of several routers that share one allocation, in virtual time.

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
const WORKERS_PER_ZONE: usize = 4;

fn name(zone: usize, worker: usize) -> WorkerId {
    WorkerId(Arc::from(format!("z{zone}-m{worker}")))
}

fn listing(zone: usize, worker: usize) -> Listing {
    Listing {
        worker: name(zone, worker),
        zone: ZoneId(zone),
        kind: KindId(0),
        cell: CellId(zone as u32),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_ms: None,
    }
}

fn all() -> Vec<Listing> {
    (0..ZONES * WORKERS_PER_ZONE).map(|row| listing(row / WORKERS_PER_ZONE, row % WORKERS_PER_ZONE)).collect()
}

fn rules(router_index: usize) -> Rules {
    let costs = vec![vec![0.0, 1.0, 5.0], vec![1.0, 0.0, 5.0], vec![5.0, 5.0, 0.0]];
    Rules {
        topology: Topology { regions: vec![0, 0, 1], costs },
        own_zone: Zone((router_index % ZONES) as u8),
        router_index: router_index as u16,
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

/// Routers that receive each other's rows and follow one allocation.
struct Cluster {
    controllers: Vec<FailoverController>,
    now_ms: f64,
    allocation: (u64, Vec<u8>),
    /// Whether workers report their load.
    reports_load: bool,
    /// Times at which a new plan changed moves, in ms.
    change_times_ms: Vec<f64>,
}

impl Cluster {
    fn new() -> Cluster {
        let controller = |router_index| {
            let mut controller = FailoverController::new(0.0, rules(router_index));
            controller.apply_list(ListKind::Whole, &all());
            controller
        };
        Cluster {
            controllers: (0..9).map(controller).collect(),
            now_ms: 0.0,
            allocation: (1, Vec::new()),
            reports_load: true,
            change_times_ms: Vec::new(),
        }
    }

    /// Simulates half a second: ten completions at each router, then an exchange of rows, then a new
    /// allocation if one is due. The outcome of a dispatch is `outcome(from, to)`.
    fn step(&mut self, outcome: impl Fn(Zone, usize) -> DispatchOutcome) {
        self.now_ms += 500.0;
        let now_ms = self.now_ms;
        for (router_index, controller) in self.controllers.iter_mut().enumerate() {
            let own = Zone((router_index % ZONES) as u8);
            for n in 0..10u64 {
                let session = SessionId(
                    (now_ms as u64 * 31 + n * 17 + router_index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
                );
                let home = controller.moved_home(now_ms, session);
                let zone = home.map_or((n as usize + router_index) % ZONES, |zone| zone.0);
                let worker = name(zone, n as usize % WORKERS_PER_ZONE);
                controller.record_outcome(now_ms, &worker, outcome(own, zone));
                if self.reports_load {
                    controller.record_load(now_ms, &worker, 0.2);
                }
            }
            for worker in controller.probe_targets(now_ms as u64) {
                let zone =
                    (0..ZONES).find(|zone| (0..WORKERS_PER_ZONE).any(|s| name(*zone, s) == worker)).unwrap();
                let probe_outcome = match outcome(own, zone) {
                    DispatchOutcome::InTarget | DispatchOutcome::Late => DispatchOutcome::ProbeAnswered,
                    other => other,
                };
                controller.record_outcome(now_ms, &worker, probe_outcome);
            }
        }
        let rows: Vec<EvidenceRow> = self
            .controllers
            .iter_mut()
            .map(|controller| EvidenceRow::read(&controller.own_row(now_ms, Some(1.0)).bytes()).unwrap())
            .collect();
        for controller in &mut self.controllers {
            controller.merge_commands(now_ms, &rows);
        }
        let reporting_zones: Vec<Zone> = (0..ZONES as u8).map(Zone).collect();
        let proposals: Vec<Vec<u8>> = self
            .controllers
            .iter_mut()
            .map(|controller| controller.propose(now_ms, &self.allocation.1.clone(), &rows, &reporting_zones))
            .collect();
        // The same rows, commands and previous allocation give the same proposal. Not checked around the
        // expiry of a command, since commands expire on each router's own clock.
        let recently_active = self
            .controllers
            .iter()
            .any(|controller| controller.commands.active(now_ms - 1000.0).next().is_some());
        assert!(
            recently_active || proposals.iter().all(|proposal| *proposal == proposals[0]),
            "at {now_ms} ms"
        );
        if proposals[0] != self.allocation.1 && (now_ms as u64).is_multiple_of(2500) {
            self.allocation = (self.allocation.0 + 1, proposals[0].clone());
            let (number, extra) = (self.allocation.0, self.allocation.1.clone());
            let moved = self
                .controllers
                .iter_mut()
                .map(|controller| controller.apply_allocation(Some((number, &extra))))
                .fold(false, |a, b| a | b);
            if moved {
                self.change_times_ms.push(now_ms);
            }
        }
    }

    fn moved(&self, zone: u8) -> u16 {
        self.controllers[0].agreed().map_or(0, |agreed| agreed.plan.moved(Zone(zone)))
    }
}

fn healthy(_: Zone, _: usize) -> DispatchOutcome {
    DispatchOutcome::InTarget
}

fn zone_2_lost(_: Zone, to: usize) -> DispatchOutcome {
    if to == 2 {
        DispatchOutcome::Refused
    } else {
        DispatchOutcome::InTarget
    }
}

#[test]
fn lost_zone_is_evacuated_and_returns_step_by_step() {
    let mut cluster = Cluster::new();
    (0..20).for_each(|_| cluster.step(healthy));
    assert_eq!(cluster.allocation.0, 1, "without faults the allocation stays the same");
    (0..40).for_each(|_| cluster.step(zone_2_lost));
    assert_eq!(cluster.moved(2), WHOLE_SHARE);
    assert_eq!(cluster.controllers[0].last_assessment.verdicts[2], Verdict::Lost);
    let out = cluster.change_times_ms.len();
    assert_eq!(out, 2, "moved out in two steps of a half");
    let back_ms = cluster.now_ms;
    (0..100).for_each(|_| cluster.step(healthy));
    assert_eq!(cluster.moved(2), 0);
    assert_eq!(cluster.change_times_ms.len() - out, 10);
    let first = cluster.change_times_ms[out] - back_ms;
    assert!(first >= 6000.0, "must be healthy for four leases first, came back after {first} ms");
}

#[test]
fn cut_path_moves_no_sessions() {
    let mut cluster = Cluster::new();
    (0..20).for_each(|_| cluster.step(healthy));
    let cut = |from: Zone, to: usize| {
        if to == 2 && from != Zone(2) {
            DispatchOutcome::TimedOut
        } else {
            DispatchOutcome::InTarget
        }
    };
    (0..80).for_each(|_| cluster.step(cut));
    assert_eq!(cluster.allocation.0, 1);
    assert!(matches!(cluster.controllers[4].last_assessment.verdicts[2], Verdict::CutPath(_)));
}

#[test]
fn flapping_zone_is_evacuated_at_once_and_stays_evacuated() {
    let mut cluster = Cluster::new();
    (0..20).for_each(|_| cluster.step(healthy));
    for _ in 0..10 {
        (0..6).for_each(|_| cluster.step(zone_2_lost));
        (0..6).for_each(|_| cluster.step(healthy));
    }
    // One minute of flapping: the two steps out are expected, a third change is tolerated.
    assert!(cluster.change_times_ms.len() <= 3, "{:?}", cluster.change_times_ms);
    assert!(cluster.moved(2) >= WHOLE_SHARE / 2);
}

#[test]
fn no_sessions_move_if_every_zone_is_unreachable() {
    let mut cluster = Cluster::new();
    (0..20).for_each(|_| cluster.step(healthy));
    (0..40).for_each(|_| cluster.step(|_, _| DispatchOutcome::TimedOut));
    assert_eq!(cluster.allocation.0, 1);
    assert!(cluster.controllers[0]
        .last_assessment
        .verdicts
        .iter()
        .all(|verdict| *verdict == Verdict::Unknown));
}

#[test]
fn one_router_that_reaches_nothing_moves_no_sessions() {
    let mut cluster = Cluster::new();
    (0..20).for_each(|_| cluster.step(healthy));
    for _ in 0..40 {
        let now_ms = cluster.now_ms;
        for worker in 0..200 {
            cluster.controllers[4].record_outcome(
                now_ms,
                &name(worker % ZONES, worker % WORKERS_PER_ZONE),
                DispatchOutcome::TimedOut,
            );
        }
        cluster.step(healthy);
    }
    assert_eq!(cluster.allocation.0, 1);
}

#[test]
fn zones_without_load_reports_receive_no_sessions() {
    let mut cluster = Cluster::new();
    // No worker reports its load.
    cluster.reports_load = false;
    (0..60).for_each(|_| cluster.step(zone_2_lost));
    assert_eq!(cluster.controllers[0].last_assessment.verdicts[2], Verdict::Lost);
    assert_eq!(cluster.moved(2), 0);
}

#[test]
fn operator_command_overrides_evidence_reaches_all_routers_and_expires() {
    let mut cluster = Cluster::new();
    (0..20).for_each(|_| cluster.step(healthy));
    let now_ms = cluster.now_ms;
    cluster.controllers[7].commands.issue(now_ms, 7, 1, OperatorCommand::Drain, 20_000.0);
    (0..24).for_each(|_| cluster.step(healthy));
    assert_eq!(cluster.moved(1), WHOLE_SHARE, "a command evacuates a healthy zone");
    (0..120).for_each(|_| cluster.step(healthy));
    assert_eq!(cluster.moved(1), 0, "sessions return after the command expired");
    // On hold, the sessions of a lost zone stay.
    let now_ms = cluster.now_ms;
    cluster.controllers[3].commands.issue(now_ms, 3, 2, OperatorCommand::Hold, 600_000.0);
    (0..40).for_each(|_| cluster.step(zone_2_lost));
    assert_eq!(cluster.moved(2), 0);
}

#[test]
fn expired_lease_restores_homes_by_hash() {
    let mut cluster = Cluster::new();
    (0..20).for_each(|_| cluster.step(healthy));
    (0..40).for_each(|_| cluster.step(zone_2_lost));
    let now_ms = cluster.now_ms;
    let controller = &mut cluster.controllers[1];
    let sessions: Vec<SessionId> =
        (0..500u64).map(|n| SessionId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))).collect();
    let away = |controller: &mut FailoverController| {
        sessions.iter().filter(|s| controller.moved_home(now_ms, **s).is_some()).count()
    };
    assert!(away(controller) > 100);
    assert!(controller.apply_allocation(None));
    assert_eq!(away(controller), 0);
    assert_eq!(controller.allocation_number(), None);
}

#[test]
fn newest_stamp_wins_in_command_registers() {
    let (mut a, mut b) = (CommandRegister::default(), CommandRegister::default());
    let first = a.issue(0.0, 4, 1, OperatorCommand::Drain, 1000.0);
    assert!(b.merge(50.0, first, f64::from(first.for_ms)));
    assert!(!b.merge(60.0, first, f64::from(first.for_ms)), "already known");
    let second = b.issue(100.0, 2, 1, OperatorCommand::Return, 5000.0);
    assert!(second.stamp > first.stamp);
    assert!(a.merge(110.0, second, f64::from(second.for_ms)));
    assert!(!a.merge(120.0, first, 1000.0), "an older command is never accepted again");
    assert_eq!(a.commands(120.0), b.commands(120.0));
    // A command expires on each router's own clock, and is not accepted again from a router where it is
    // active.
    assert!(b.commands(5101.0).is_empty());
    assert!(!b.merge(5105.0, second, f64::from(second.for_ms)));
    assert!(b.commands(5106.0).is_empty());
    // Two commands issued at the same time: the same one wins everywhere, in either order.
    let (one, two) = (
        a.issue(6000.0, 4, 1, OperatorCommand::Hold, 1e6),
        b.issue(6000.0, 2, 1, OperatorCommand::Drain, 1e6),
    );
    a.merge(6010.0, two, 1e6);
    b.merge(6010.0, one, 1e6);
    assert_eq!(a.commands(6020.0), b.commands(6020.0));
    assert_eq!(a.commands(6020.0), BTreeMap::from([(1, OperatorCommand::Hold)]));
    let invalid = StampedCommand { for_ms: f32::NAN, ..one };
    assert!(!CommandRegister::default().merge(0.0, invalid, 5.0));
}

/// Bytes of an allocation come from a quorum of voters. Whatever they are, sessions have a home and the
/// next plan is computed without a panic.
#[test]
fn corrupt_allocation_bytes_are_handled() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut cluster = Cluster::new();
    (0..4).for_each(|_| cluster.step(healthy));
    let mut controller = cluster.controllers.pop().unwrap();
    let rows: Vec<EvidenceRow> = Vec::new();
    let moves = BTreeMap::from([(2u8, vec![(0u8, 4000u16), (1, 3000)]), (1, vec![(0, 500)])]);
    let plan = paddleproxy_failover::Plan { number: 9, moves };
    let history = paddleproxy_failover::FlapHistory {
        flaps: BTreeMap::from([(2, 3)]),
        returning: BTreeMap::from([(2, true)]),
    };
    let valid = postcard::to_stdvec(&paddleproxy_failover::AgreedPlan { plan, history }).unwrap();
    let mut plans = 0;
    for round in 0..20_000u64 {
        let mut bytes = valid.clone();
        for _ in 0..rng.usize(..4) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        bytes.truncate(rng.usize(bytes.len() / 2..=bytes.len()));
        controller.apply_allocation(Some((round + 2, &bytes)));
        plans += u64::from(controller.agreed().is_some_and(|agreed| !agreed.plan.moves.is_empty()));
        controller.moved_home(1e6, SessionId(rng.u64(..)));
        controller.propose(1e6, &bytes, &rows, &[Zone(0)]);
        controller.probe_targets(round);
    }
    assert!(plans > 100, "{plans} inputs decoded to plans");
    let most = paddleproxy_failover::AgreedPlan {
        plan: paddleproxy_failover::Plan { number: u64::MAX, ..Default::default() },
        ..Default::default()
    };
    controller.propose(1e6, &postcard::to_stdvec(&most).unwrap(), &rows, &[]);
}

/// The origin of a session is the zone of the worker to which the routing decisions send it.
#[test]
fn origins_match_the_homes_of_the_routing_decisions() {
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
        let sent = helpers::first_dispatches(rows, settings, 300, 100.0, None, 0.0);
        assert_eq!(sent.len(), 300);
        for (session, worker) in sent {
            let zone = homes.origin(SessionId(session)).unwrap();
            assert!(worker.starts_with(&format!("z{}", zone.0)), "session {session}");
        }
    }
}

#[test]
fn unlisted_zone_is_remembered_and_a_shrunk_one_is_not() {
    let mut homes = Homes::new(false);
    homes.apply_list(ListKind::Whole, &all(), |_| true);
    let sessions: Vec<SessionId> = (0..600u64).map(|n| SessionId(n * 7919)).collect();
    let origins = |homes: &Homes| sessions.iter().map(|s| homes.origin(*s)).collect::<Vec<_>>();
    let before = origins(&homes);
    let gone = |zone: usize, workers: std::ops::Range<usize>| -> Vec<Listing> {
        workers.map(|s| Listing { readiness: Readiness::Gone, ..listing(zone, s) }).collect()
    };
    homes.apply_list(ListKind::Changes, &gone(2, 0..WORKERS_PER_ZONE), |_| true);
    assert_eq!(origins(&homes), before, "sessions keep their origin while the zone is off the list");
    let without: Vec<Listing> = all().into_iter().filter(|row| row.zone != ZoneId(2)).collect();
    homes.apply_list(ListKind::Whole, &without, |_| true);
    assert_eq!(origins(&homes), before);
    homes.apply_list(ListKind::Whole, &all(), |_| true);
    assert_eq!(origins(&homes), before);
    homes.apply_list(ListKind::Changes, &gone(1, 0..1), |_| true);
    assert_ne!(origins(&homes), before, "one worker less is not a lost zone: its sessions get other homes");
}
