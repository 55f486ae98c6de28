//! Failover's part of the edge: the desk that the core and the fellows' task share, operators' words and their file.
//! What moves where is decided in `paddleproxy-failover`.

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
use crate::files::write_whole;
use crate::steady::SteadyClock;

pub type Desked = Rc<RefCell<FailoverController>>;

const FILE: &str = "zone-words.json";

/// The desk, where settings have `failover` and `peers`.
pub fn desk(settings: &RouterSettings, clock: Clock) -> Option<Desked> {
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

/// The time in which a completion's first token is in target.
pub fn target_ms(settings: &Settings, arrival: &Arrival) -> f64 {
    let workload = settings.workloads.get(arrival.workload.0);
    workload
        .map_or(f64::INFINITY, |row| row.latency_target_ms + row.target_per_token_ms * arrival.prompt_tokens)
}

/// What a first event says of its server's zone.
pub fn began(target_ms: Option<&f64>, took_ms: f64) -> Option<DispatchOutcome> {
    target_ms.map(
        |target_ms| if took_ms <= *target_ms { DispatchOutcome::InTarget } else { DispatchOutcome::Late },
    )
}

/// What an end says of it; an answer that began has spoken already, and one that we called off says nothing.
pub fn ended(target_ms: Option<&f64>, took_ms: f64, end: &SocketEnd) -> Option<DispatchOutcome> {
    use SocketEnd::*;
    match end {
        ConnectRefused | Unreachable | NoAddress => Some(DispatchOutcome::Refused),
        ConnectTimedOut | TimedOut => Some(DispatchOutcome::TimedOut),
        TurnedAway(Refusal::Full) => Some(DispatchOutcome::Full),
        ErrorStatus(_) | BrokeBeforeAnswer | BrokeWithinAnswer | BrokeAfterFirst | Stalled => {
            Some(DispatchOutcome::Broken)
        }
        ReadDone => began(target_ms, took_ms),
        NoRoom | NeverWritten | Withdrawn(_) | TurnedAway(_) | Stopped | Nonsense(_) | AnswerDone => None,
    }
}

/// Share of its room that a server says is in use.
pub fn share(load: &LoadReport) -> Option<f64> {
    let queued = load.queue.is_some_and(|queue| queue >= 1.0);
    load.slots_share.map(|share| if queued { share.max(1.0) } else { share })
}

/// What goes to the fellows, and what is to be asked.
pub struct Carried {
    pub row: Vec<u8>,
    pub page: Vec<u8>,
    pub after: u64,
    pub asks: Vec<WorkerId>,
    /// Operators' words that were not known here.
    pub news: bool,
}

/// Reads what fellows carry and works out what to carry.
pub fn carry(desk: &mut FailoverController, peers: &Peers, now_ms: f64) -> Carried {
    let mut rows: Vec<EvidenceRow> =
        peers.peer_extras().filter_map(|(_, bytes)| EvidenceRow::read(bytes).ok()).collect();
    let news = desk.merge_commands(now_ms, &rows);
    // Of many routers of a zone the lowest tell what it sees, each for its part.
    let (zone, place) = (peers.info().zone, peers.rules().own);
    let fellows = || peers.members().filter(|member| member.state.is_running() && member.info.zone == zone);
    let rank = fellows().filter(|member| member.router < place).count();
    let own = desk.own_row(now_ms, represented_routers(rank, fellows().count() + 1));
    let row = own.bytes();
    // As fellows read it: counts on the wire are rounded.
    let own_row = EvidenceRow::read(&row).unwrap_or_default();
    rows.push(own_row.clone());
    let mut speaking: Vec<Zone> = peers
        .members()
        .filter(|member| member.state.is_running())
        .map(|member| Zone(member.info.zone))
        .collect();
    let own_zone = Zone(peers.info().zone);
    speaking.push(own_zone);
    speaking.sort();
    speaking.dedup();
    if desk.rules().own_evidence_only {
        // Its own plan, from its own row, in force at once.
        let own = [own_row];
        let before = desk.own_plan();
        let page = desk.propose(now_ms, &before, &own, &[own_zone]);
        desk.apply_own_plan(&page);
        return Carried { row, page: Vec::new(), after: 0, asks: desk.probe_targets(now_ms as u64), news };
    }
    let (after, before) =
        peers.consensus().allocation().map_or((0, &[][..]), |page| (page.number, page.extra.as_slice()));
    let page = desk.propose(now_ms, before, &rows, &speaking);
    // What no page carries is no plan: the one that stands goes on.
    let page = if page.len() > MAX_EXTRA_BYTES { before.to_vec() } else { page };
    Carried { row, page, after, asks: desk.probe_targets(now_ms as u64), news }
}

/// An operator's word as it comes in.
pub struct WordFor {
    pub zone: String,
    pub word: OperatorCommand,
    pub for_ms: f64,
}

#[derive(Serialize, Deserialize)]
struct SavedWord {
    zone: String,
    saying: StampedCommand,
    left_ms: f64,
    saved_at_ms: f64,
}

/// Operators' words on disk: they survive a restart, and the time in between counts.
pub struct Words {
    file: PathBuf,
    zones: Vec<String>,
    steady: SteadyClock,
}

impl Words {
    pub fn new(settings: &RouterSettings, steady: SteadyClock) -> Self {
        Words { file: settings.state_dir.join(FILE), zones: settings.names.zones.clone(), steady }
    }

    pub fn recover(&self, desk: &mut FailoverController, now_ms: f64) {
        let Ok(bytes) = std::fs::read(&self.file) else { return };
        let saved: Vec<SavedWord> = match serde_json::from_slice(&bytes) {
            Ok(saved) => saved,
            Err(cause) => {
                warn!(%cause, file = FILE, "operators' words can't be read; fellows will tell those that hold");
                return;
            }
        };
        for row in saved {
            // By name: settings may count zones otherwise now. A clock that went back makes no word longer.
            let Some(zone) = self.zones.iter().position(|zone| *zone == row.zone) else { continue };
            let left_ms = row.left_ms - (self.steady.now_ms() - row.saved_at_ms).max(0.0);
            desk.commands.merge(now_ms, StampedCommand { zone: zone as u8, ..row.saying }, left_ms);
        }
    }

    pub fn keep(&self, desk: &FailoverController, now_ms: f64) {
        let saved: Vec<SavedWord> = desk
            .commands
            .active(now_ms)
            .filter_map(|(saying, left_ms)| {
                let zone = self.zones.get(usize::from(saying.zone))?.clone();
                Some(SavedWord { zone, saying, left_ms, saved_at_ms: self.steady.now_ms() })
            })
            .collect();
        let written = serde_json::to_vec(&saved).map_err(std::io::Error::from);
        if let Err(cause) = written.and_then(|bytes| write_whole(&self.file, &bytes)) {
            warn!(%cause, file = FILE, "operators' words are not kept; fellows know them");
        }
    }

    /// Takes a word that is said here.
    pub fn say(
        &self,
        desk: &mut FailoverController,
        zones: &[String],
        said: &WordFor,
        now_ms: f64,
    ) -> Result<Value, String> {
        let zone = zones.iter().position(|zone| *zone == said.zone);
        let zone = zone.ok_or_else(|| format!("zone '{:.64}' is none of {}", said.zone, zones.join(", ")))?;
        let place = desk.rules().router_index;
        let saying = desk.commands.issue(now_ms, place, zone as u8, said.word, said.for_ms);
        info!(zone = said.zone, word = ?said.word, for_ms = said.for_ms, "an operator's word on a zone");
        self.keep(desk, now_ms);
        Ok(
            json!({ "zone": said.zone, "word": name(said.word), "for_ms": saying.for_ms, "stamp": saying.stamp }),
        )
    }
}

fn name(word: OperatorCommand) -> &'static str {
    match word {
        OperatorCommand::Hold => "hold",
        OperatorCommand::Drain => "drain-zone",
        OperatorCommand::Return => "return",
    }
}

/// All that operators may ask for.
pub fn view(
    desk: &FailoverController,
    zones: &[String],
    about: &RouterInfo,
    stand: ClusterReport,
    now_ms: f64,
) -> Value {
    let zone = |zone: Zone| zones.get(usize::from(zone.0)).cloned().unwrap_or_default();
    let (looked, agreed) = (&desk.last_assessment, desk.agreed());
    let words = desk.commands.active(now_ms).collect::<Vec<_>>();
    let rows: Vec<Value> = desk
        .rules()
        .topology
        .zones()
        .map(|of| {
            let at = usize::from(of.0);
            let verdict = looked.verdicts.get(at).unwrap_or(&Verdict::Unknown);
            let moves = agreed.and_then(|agreed| agreed.plan.moves.get(&of.0)).into_iter().flatten();
            let moves =
                moves.map(|(to, share)| json!({ "to": zone(Zone(*to)), "share": f64::from(*share) / 1e4 }));
            let seen = looked.matrix.observations.iter().filter(|((_, seen), _)| *seen == of);
            let seen = seen.map(|((from, _), saw)| {
                let seen = &saw.sum;
                json!({
                    "from": zone(*from), "routers": saw.routers, "dead": saw.failed_share, "good": saw.in_target_share, "in_target": seen.in_target, "late": seen.late,
                    "refused": seen.refused, "silent": seen.timed_out, "broken": seen.broken, "full": seen.full,
                    "answered": seen.probe_answers, "listed": seen.listed, "usable": seen.usable,
                })
            });
            let word = words.iter().find(|(saying, _)| saying.zone == of.0);
            json!({
                "zone": zone(of), "region": desk.rules().topology.regions.get(at), "verdict": said(verdict, zones),
                "demand_per_s": looked.demand.get(at), "capacity_per_s": looked.capacity.get(at),
                "load": looked.matrix.loads.get(&of), "moves": moves.collect::<Vec<_>>(),
                "word": word.map(|(saying, left)| json!({ "word": name(saying.command), "left_ms": left })),
                "flaps": agreed.and_then(|agreed| agreed.history.flaps.get(&of.0)),
                "seen": seen.collect::<Vec<_>>(),
            })
        })
        .collect();
    json!({
        "schema": "paddleproxy.failover.v1",
        "name": about.name, "zone": zone(Zone(about.zone)), "mind": stand.status.name(), "why": stand.reason,
        "page": desk.allocation_number(), "plan": agreed.map(|agreed| agreed.plan.number),
        "speaking": looked.reporting_zones.iter().map(|speaks| zone(*speaks)).collect::<Vec<_>>(),
        "completions": desk.completions_total, "moved": desk.moved_total, "zones": rows,
    })
}

fn said(verdict: &Verdict, zones: &[String]) -> Value {
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
