//! Connects the failover controller to the router: it is shared by the core and the peer task, fed with the
//! results of dispatches, and exchanges data with the peers. Also reads and writes the file of operator
//! commands. Which sessions move to which zone is decided in `paddleproxy-failover`.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;

use paddleproxy::interface::{Arrival, LoadReport, Settings, WorkerId};
use paddleproxy_engine::Refusal;
use paddleproxy_failover::evidence::represented_routers;
use paddleproxy_failover::{
    DispatchOutcome, EvidenceRow, FailoverController, OperatorCommand, Rules, StampedCommand, Verdict, Zone,
};
use paddleproxy_peers::allocation::MAX_EXTRA_BYTES;
use paddleproxy_peers::status::ClusterReport;
use paddleproxy_peers::{Peers, RouterInfo};
use paddleproxy_routing::SocketEnd;
use paddleproxy_settings::router::RouterSettings;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tracing::{info, warn};

use crate::clock::Clock;
use crate::files::write_atomic;
use crate::steady_clock::SteadyClock;

pub type SharedController = Rc<RefCell<FailoverController>>;

const FILE: &str = "zone-words.json";

/// The controller, if the settings have `failover` and `peers`.
pub fn controller(settings: &RouterSettings, clock: Clock) -> Option<SharedController> {
    let (failover, peers) = settings.failover.as_ref().zip(settings.peers.as_ref())?;
    let decisions = &settings.decisions;
    let rules = Rules {
        topology: failover.topology.clone(),
        own_zone: Zone(decisions.zone.map_or(0, |zone| zone.0 as u8)),
        router_index: decisions.own_number as u16,
        lease_ms: peers.lease_ms,
        reserve: failover.reserve,
        max_step_out: failover.max_step_out,
        max_step_back: failover.max_step_back,
        weights_act: decisions.weights_act,
        own_evidence_only: failover.own_evidence_only,
        commands_only: failover.commands_only,
        roles: decisions.kinds.iter().map(|kind| kind.role).collect(),
    };
    Some(Rc::new(RefCell::new(FailoverController::new(clock.now_ms(), rules))))
}

/// The latency target of a completion's first token.
pub fn first_token_target_ms(settings: &Settings, arrival: &Arrival) -> f64 {
    let workload = settings.workloads.get(arrival.workload.0);
    workload
        .map_or(f64::INFINITY, |row| row.latency_target_ms + row.target_per_token_ms * arrival.prompt_tokens)
}

/// The outcome that a dispatch's first event records for the zone of its server.
pub fn first_event_outcome(target_ms: Option<&f64>, took_ms: f64) -> Option<DispatchOutcome> {
    target_ms.map(
        |target_ms| if took_ms <= *target_ms { DispatchOutcome::InTarget } else { DispatchOutcome::Late },
    )
}

/// The outcome that the end of a dispatch records for the zone of its server. None for a finished answer,
/// which was counted at its first event, and for an end that shows nothing about the zone, such as a
/// cancellation by this router.
pub fn end_outcome(target_ms: Option<&f64>, took_ms: f64, end: &SocketEnd) -> Option<DispatchOutcome> {
    use SocketEnd::*;
    match end {
        ConnectRefused | Unreachable | NoAddress => Some(DispatchOutcome::Refused),
        ConnectTimedOut | TimedOut => Some(DispatchOutcome::TimedOut),
        TurnedAway(Refusal::Full) => Some(DispatchOutcome::Full),
        ErrorStatus(_) | BrokeBeforeAnswer | BrokeWithinAnswer | BrokeAfterFirst | Stalled => {
            Some(DispatchOutcome::Broken)
        }
        ReadDone => first_event_outcome(target_ms, took_ms),
        NoRoom | NeverWritten | Withdrawn(_) | TurnedAway(_) | Stopped | Nonsense(_) | AnswerDone => None,
    }
}

/// Share of a server's slots in use by its report; at least 1 with requests queued.
pub fn utilization(load: &LoadReport) -> Option<f64> {
    let queued = load.queue.is_some_and(|queue| queue >= 1.0);
    load.slots_share.map(|share| if queued { share.max(1.0) } else { share })
}

/// What to send to the peers, and which workers to probe.
pub struct ExchangeData {
    /// This router's observations, sent with its state.
    pub row: Vec<u8>,
    /// Plan to propose with the next allocation.
    pub allocation: Vec<u8>,
    /// Number of the allocation that the proposed one replaces.
    pub after: u64,
    pub probes: Vec<WorkerId>,
    /// The peers sent operator commands that were unknown here.
    pub new_commands: bool,
}

/// Reads the rows of the peers, and computes this router's own row and the plan to propose.
pub fn exchange(controller: &mut FailoverController, peers: &Peers, now_ms: f64) -> ExchangeData {
    let mut rows: Vec<EvidenceRow> =
        peers.peer_extras().filter_map(|(_, bytes)| EvidenceRow::read(bytes).ok()).collect();
    let new_commands = controller.merge_commands(now_ms, &rows);
    // In a zone with many routers only those with the lowest indices report, each for its share of the zone.
    let (zone, own_index) = (peers.info().zone, peers.rules().own);
    let zone_peers =
        || peers.members().filter(|member| member.state.is_running() && member.info.zone == zone);
    let rank = zone_peers().filter(|member| member.router < own_index).count();
    let encoded = controller.own_row(now_ms, represented_routers(rank, zone_peers().count() + 1));
    let row = encoded.bytes();
    // Decoded again, as the peers see it: counts are rounded when encoded.
    let own_row = EvidenceRow::read(&row).unwrap_or_default();
    rows.push(own_row.clone());
    let mut reporting: Vec<Zone> = peers
        .members()
        .filter(|member| member.state.is_running())
        .map(|member| Zone(member.info.zone))
        .collect();
    let own_zone = Zone(peers.info().zone);
    reporting.push(own_zone);
    reporting.sort();
    reporting.dedup();
    if controller.rules().own_evidence_only {
        // Without agreement: a plan from the own row alone, in force at once.
        let own_rows = [own_row];
        let before = controller.own_plan();
        let allocation = controller.propose(now_ms, &before, &own_rows, &[own_zone]);
        controller.apply_own_plan(&allocation);
        return ExchangeData {
            row,
            allocation: Vec::new(),
            after: 0,
            probes: controller.probe_targets(now_ms as u64),
            new_commands,
        };
    }
    let (after, before) = peers
        .consensus()
        .allocation()
        .map_or((0, &[][..]), |agreed| (agreed.number, agreed.extra.as_slice()));
    let allocation = controller.propose(now_ms, before, &rows, &reporting);
    // A plan too large for an allocation can't be agreed: the current one stays in force.
    let allocation = if allocation.len() > MAX_EXTRA_BYTES { before.to_vec() } else { allocation };
    ExchangeData { row, allocation, after, probes: controller.probe_targets(now_ms as u64), new_commands }
}

/// An operator's zone command as received on the admin port.
pub struct CommandRequest {
    pub zone: String,
    pub command: OperatorCommand,
    pub for_ms: f64,
}

#[derive(Serialize, Deserialize)]
struct SavedCommand {
    zone: String,
    #[serde(rename = "saying")]
    command: StampedCommand,
    left_ms: f64,
    saved_at_ms: f64,
}

/// The file of operator commands. They survive a restart, and the time in between counts against their
/// duration.
pub struct CommandStore {
    file: PathBuf,
    zones: Vec<String>,
    steady_clock: SteadyClock,
}

impl CommandStore {
    pub fn new(settings: &RouterSettings, steady_clock: SteadyClock) -> Self {
        CommandStore {
            file: settings.state_dir.join(FILE),
            zones: settings.names.zones.clone(),
            steady_clock,
        }
    }

    pub fn recover(&self, controller: &mut FailoverController, now_ms: f64) {
        let Ok(bytes) = std::fs::read(&self.file) else { return };
        let saved: Vec<SavedCommand> = match serde_json::from_slice(&bytes) {
            Ok(saved) => saved,
            Err(cause) => {
                warn!(%cause, file = FILE, "can't read operator commands; peers will send those in force");
                return;
            }
        };
        for row in saved {
            // By name: the settings may number zones differently now. A clock that went back must not extend
            // a command.
            let Some(zone) = self.zones.iter().position(|zone| *zone == row.zone) else { continue };
            let left_ms = row.left_ms - (self.steady_clock.now_ms() - row.saved_at_ms).max(0.0);
            controller.commands.merge(now_ms, StampedCommand { zone: zone as u8, ..row.command }, left_ms);
        }
    }

    pub fn save(&self, controller: &FailoverController, now_ms: f64) {
        let saved: Vec<SavedCommand> = controller
            .commands
            .active(now_ms)
            .filter_map(|(command, left_ms)| {
                let zone = self.zones.get(usize::from(command.zone))?.clone();
                Some(SavedCommand { zone, command, left_ms, saved_at_ms: self.steady_clock.now_ms() })
            })
            .collect();
        let written = serde_json::to_vec(&saved).map_err(std::io::Error::from);
        if let Err(cause) = written.and_then(|bytes| write_atomic(&self.file, &bytes)) {
            warn!(%cause, file = FILE, "could not save operator commands; only peers have them");
        }
    }

    /// Accepts an operator command on this router.
    pub fn execute(
        &self,
        controller: &mut FailoverController,
        zones: &[String],
        request: &CommandRequest,
        now_ms: f64,
    ) -> Result<Value, String> {
        let zone = zones.iter().position(|zone| *zone == request.zone);
        let zone =
            zone.ok_or_else(|| format!("zone '{:.64}' is none of {}", request.zone, zones.join(", ")))?;
        let own_index = controller.rules().router_index;
        let command =
            controller.commands.issue(now_ms, own_index, zone as u8, request.command, request.for_ms);
        info!(
            zone = request.zone,
            word = ?request.command,
            for_ms = request.for_ms,
            "operator command for a zone"
        );
        self.save(controller, now_ms);
        Ok(json!({
            "zone": request.zone, "word": command_name(request.command), "for_ms": command.for_ms,
            "stamp": command.stamp,
        }))
    }
}

fn command_name(command: OperatorCommand) -> &'static str {
    match command {
        OperatorCommand::Hold => "hold",
        OperatorCommand::Drain => "drain-zone",
        OperatorCommand::Return => "return",
    }
}

/// The document of `/failover`.
pub fn view(
    controller: &FailoverController,
    zones: &[String],
    info: &RouterInfo,
    report: ClusterReport,
    now_ms: f64,
) -> Value {
    let zone = |zone: Zone| zones.get(usize::from(zone.0)).cloned().unwrap_or_default();
    let (last, agreed) = (&controller.last_assessment, controller.agreed());
    let commands = controller.commands.active(now_ms).collect::<Vec<_>>();
    let rows: Vec<Value> = controller
        .rules()
        .topology
        .zones()
        .map(|this| {
            let index = usize::from(this.0);
            let verdict = last.verdicts.get(index).unwrap_or(&Verdict::Unknown);
            let moves = agreed.and_then(|agreed| agreed.plan.moves.get(&this.0)).into_iter().flatten();
            let moves =
                moves.map(|(to, share)| json!({ "to": zone(Zone(*to)), "share": f64::from(*share) / 1e4 }));
            let seen = last.matrix.observations.iter().filter(|((_, seen), _)| *seen == this);
            let seen = seen.map(|((from, _), observed)| {
                let counts = &observed.sum;
                json!({
                    "from": zone(*from), "routers": observed.routers, "dead": observed.failed_share,
                    "good": observed.in_target_share, "in_target": counts.in_target, "late": counts.late,
                    "refused": counts.refused, "silent": counts.timed_out, "broken": counts.broken,
                    "full": counts.full, "answered": counts.probe_answers, "listed": counts.listed,
                    "usable": counts.usable,
                })
            });
            let command = commands.iter().find(|(command, _)| command.zone == this.0);
            json!({
                "zone": zone(this), "region": controller.rules().topology.regions.get(index),
                "verdict": verdict_json(verdict, zones),
                "demand_per_s": last.demand.get(index), "capacity_per_s": last.capacity.get(index),
                "load": last.matrix.loads.get(&this), "moves": moves.collect::<Vec<_>>(),
                "word": command.map(|(command, left_ms)| {
                    json!({ "word": command_name(command.command), "left_ms": left_ms })
                }),
                "flaps": agreed.and_then(|agreed| agreed.history.flaps.get(&this.0)),
                "seen": seen.collect::<Vec<_>>(),
            })
        })
        .collect();
    json!({
        "schema": "paddleproxy.failover.v1",
        "name": info.name, "zone": zone(Zone(info.zone)), "mind": report.status.name(), "why": report.reason,
        "page": controller.allocation_number(), "plan": agreed.map(|agreed| agreed.plan.number),
        "speaking": last.reporting_zones.iter().map(|reporting| zone(*reporting)).collect::<Vec<_>>(),
        "completions": controller.completions_total, "moved": controller.moved_total, "zones": rows,
    })
}

fn verdict_json(verdict: &Verdict, zones: &[String]) -> Value {
    let names = |list: &[Zone]| {
        list.iter().filter_map(|zone| zones.get(usize::from(zone.0)).cloned()).collect::<Vec<_>>()
    };
    match verdict {
        Verdict::Healthy => json!({ "is": "well" }),
        Verdict::CutPath(from) => json!({ "is": "cut path", "from": names(from) }),
        Verdict::Lost => json!({ "is": "lost" }),
        Verdict::Impaired(share) => json!({ "is": "impaired", "carries": share }),
        Verdict::Full => json!({ "is": "full" }),
        Verdict::Unknown => json!({ "is": "unknown" }),
    }
}
