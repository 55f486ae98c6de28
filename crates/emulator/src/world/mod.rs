//! The simulated deployment: servers, routers with the production ledger, membership and admission code, the
//! server list, and the messages between them.

mod clients;
mod dispatches;
mod list;
mod routers;
mod server_lifecycle;
mod servers;
mod transfers;
mod troubles;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use paddleproxy::interface::{CacheEntry, CompletionId, ListKind, LoadReport, Role, Seq, WorkerId};
use paddleproxy_engine::{Refusal, ServerEntry, ServerList, StateReference};
use paddleproxy_membership::{ListUpdate, Membership, SavedList, SourceId};
use paddleproxy_routing::{
    Admission, AdmissionLimits, Counts, Decisions, Effect, Input, Ledger, OutgoingDispatch, Permit,
    SocketEnd, Stage,
};
use paddleproxy_settings::day::{DaySettings, FailureMode, Trouble};
use paddleproxy_store::retention::{self, Text};

use crate::deduplication::{self, SeenEffects};
use crate::event_queue::EventQueue;
use crate::links::Link;
use crate::policies::{Policy, TrueLoads};
use crate::random::{mix_seed, RandomStream};
use crate::record::{Line, What};
use crate::server::{ActiveFaults, Kind, Load, Server, ServerEvent, Work};
use crate::troubles::{expand_recurring, omits_server};

use clients::{Operation, Session};

/// Parameters and limits of a run.
#[derive(Clone, Debug)]
pub struct Options {
    pub policy: Policy,
    pub seed: u64,
    /// Number of routers; `None` uses the day's setting.
    pub routers: Option<usize>,
    /// Factor on the session rates of the day.
    pub load: f64,
    /// Copies of the day's fleet. Each copy has cells of its own.
    pub fleets: usize,
    /// One-way network latency in ms between clients and routers, and of control messages: cancels, releases
    /// and probes. Dispatches use the day's latency between a router and a server.
    pub net_ms: f64,
    /// Event limit. A run that reaches it ends early with `Run::cut_short` set.
    pub max_events: u64,
    pub keep_record: bool,
    /// What a restarted router recovers from its store.
    pub recovery: StoreRecovery,
}

/// What a router recovers from its store of cache entries when it restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreRecovery {
    /// Nothing: the cache table is empty.
    Empty,
    /// All stored entries.
    #[default]
    Intact,
    /// All stored entries, an hour older than they are.
    HourOld,
    /// All stored entries, each attributed to another server.
    WrongServers,
}

impl StoreRecovery {
    pub const ALL: [(&'static str, StoreRecovery); 4] = [
        ("nothing", StoreRecovery::Empty),
        ("kept", StoreRecovery::Intact),
        ("hour-old", StoreRecovery::HourOld),
        ("lies", StoreRecovery::WrongServers),
    ];
}

impl Default for Options {
    fn default() -> Self {
        Options {
            policy: Policy::Design,
            seed: 1,
            routers: None,
            load: 1.0,
            fleets: 1,
            net_ms: 0.3,
            max_events: 2_000_000_000,
            keep_record: true,
            recovery: StoreRecovery::default(),
        }
    }
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct Run {
    pub lines: Vec<Line>,
    pub events: u64,
    pub ended_ms: f64,
    /// The event limit was reached before the end of the day.
    pub cut_short: bool,
    /// Sums of the routers' counters; see [`Counts`] for their meaning.
    pub arrived: u64,
    pub dispatches: u64,
    pub overdue: u64,
    pub unpinned: u64,
    /// Requests rejected by admission control.
    pub rejected: u64,
    /// Both sides of Little's law at the servers: the mean number of dispatches running or queued, and the
    /// arrival rate times the mean time at a server.
    pub mean_in_system: f64,
    pub rate_times_sojourn: f64,
    /// Counts of dispatches: arrived at servers, served, rejected, failed or cancelled, and still open at the
    /// end. The first is the sum of the others.
    pub balance: [u64; 5],
}

/// An event of the simulation. `load` indexes the day's client loads, `op` the operations, `dispatch` the
/// dispatches. `start` of a server and `boot` of a router identify the process that an event is meant for.
pub(crate) enum SimEvent {
    SessionArrival {
        load: usize,
    },
    /// The client's think time before the next turn of its session has passed.
    NextTurn {
        session: usize,
    },
    /// The client retries the operation.
    Attempt {
        op: usize,
    },
    RequestAtRouter {
        op: usize,
        attempt: u32,
    },
    /// The client closes its connection before the answer.
    ClientLeaves {
        op: usize,
        attempt: u32,
    },
    ClientObserves {
        op: usize,
        attempt: u32,
        what: ClientObservation,
    },
    ArriveAtServer {
        dispatch: usize,
    },
    CancelAtServer {
        dispatch: usize,
    },
    ReleaseAtServer {
        server: usize,
        start: u64,
        dispatch: usize,
    },
    /// A probe requested by the decision module ends; `server` is the one that answered.
    WorkerProbeEnd {
        server: Option<usize>,
        router: usize,
        boot: u64,
        worker: WorkerId,
    },
    RouterInput {
        router: usize,
        boot: u64,
        input: Box<Input>,
    },
    DispatchEnd {
        dispatch: usize,
        end: SocketEnd,
    },
    StepEnd {
        server: usize,
        start: u64,
    },
    /// The next transfer on the link ends, unless the link has changed since `version`.
    TransferEnd {
        link: usize,
        version: u64,
    },
    /// The lease of a state that no writer fetched expires.
    LeaseExpired {
        server: usize,
        start: u64,
        dispatch: usize,
    },
    /// The list service sends the router the changes it lacks. `boot` 0 means the current process.
    ListDelivery {
        router: usize,
        boot: u64,
    },
    /// A timer of the router's membership module fires.
    MembershipTick {
        router: usize,
        boot: u64,
    },
    /// A probe requested by the router's membership module ends.
    MembershipProbeEnd {
        router: usize,
        boot: u64,
        worker: WorkerId,
        reachable: bool,
    },
    Trouble {
        row: usize,
        begins: bool,
    },
    /// The notice period of a drain ends.
    DrainDeadline {
        row: usize,
    },
    /// The time that a stopping router has for its open answers ends.
    StopDeadline {
        router: usize,
        boot: u64,
    },
}

/// What a client receives for an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ClientObservation {
    /// The head of the answer and its first event.
    First,
    Finished,
    RateLimited {
        retry_after_ms: f64,
    },
    Aborted,
    /// The connection broke or, if not `connected`, could not be made.
    Broke {
        connected: bool,
    },
}

pub(crate) struct ServerNode {
    pub model: Server,
    pub name: String,
    /// Name in the day's fleet; `name` has a suffix in copies of the fleet and after a restart as a new
    /// server.
    pub configured_name: String,
    pub zone: String,
    pub kind: usize,
    pub cell: u32,
    pub up: bool,
    /// How connection attempts fail while the server is down.
    pub down_mode: FailureMode,
    /// Grows with each end and each start of the server's process.
    pub start: u64,
    /// Time of the last start; `None` for a process that runs since before the day.
    pub started_ms: Option<f64>,
    /// Share of dispatches answered with an error status, and the model they are limited to.
    pub erring: (f64, Option<String>),
    /// Share of answers that are lost after their work is done.
    pub answer_lost: f64,
    rng: RandomStream,
    /// Integral over time of the number of dispatches running or queued, up to `in_system_since_ms`.
    in_system_since_ms: f64,
    in_system_area: f64,
    arrivals: u64,
    /// Sum of the times that finished dispatches spent here.
    sojourn_ms: f64,
}

pub(crate) struct RouterNode {
    pub up: bool,
    /// Number of the current process, from 1.
    pub boot: u64,
    pub zone: usize,
    /// Whether the router receives load reports of servers.
    reports: bool,
    ledger: Ledger<Box<dyn Decisions>>,
    membership: Membership,
    admission: Admission,
    saved: Option<SavedList>,
    /// Cache entries in the router's store.
    stored_entries: BTreeMap<(Text, WorkerId), retention::StoredCacheEntry>,
    next: u32,
    pending: BTreeMap<CompletionId, PendingRequest>,
    /// Dispatches in flight, by completion and sequence number.
    in_flight: BTreeMap<(CompletionId, Seq), usize>,
    /// All dispatches of open completions, finished ones included.
    sent: BTreeMap<(CompletionId, Seq), usize>,
    /// Time of the latest scheduled list delivery, so that a shorter delay does not reorder deliveries.
    list_due_ms: f64,
}

/// A client request that a router has accepted and not yet finished.
struct PendingRequest {
    op: usize,
    attempt: u32,
    permit: Option<Permit>,
}

struct Dispatch {
    router: usize,
    boot: u64,
    completion: CompletionId,
    seq: Seq,
    server: usize,
    start: u64,
    name: String,
    op: usize,
    attempt: u32,
    stage: Stage,
    /// For a writer: the dispatch whose state it fetches.
    state: Option<usize>,
    tokens: f64,
    sent_ms: f64,
    /// One-way network latency between router and server.
    net_ms: f64,
    arrived_ms: Option<f64>,
    /// Done at the server.
    ended: bool,
    /// Its answer is passed on to the client.
    streaming: bool,
    /// The answer does not reach the router.
    answer_lost: bool,
    first_token_sent: bool,
    cached_tokens: f64,
    /// Cancelled or released; its state is dropped as soon as it exists.
    unneeded: bool,
}

pub(crate) struct World {
    pub day: Rc<DaySettings>,
    /// The day's troubles, with recurring ones expanded.
    pub troubles: Rc<[Trouble]>,
    pub options: Options,
    pub queue: EventQueue<SimEvent>,
    pub now_ms: f64,
    pub nodes: Vec<ServerNode>,
    by_name: BTreeMap<String, usize>,
    pub routers: Vec<RouterNode>,
    dispatches: Vec<Dispatch>,
    /// For each cell, the link inside it and the link to other cells.
    links: Vec<Link>,
    /// Dispatch that fetches a state, and link that carries it, by the dispatch that read the state.
    transfers: BTreeMap<u64, (usize, usize)>,
    /// All changes of the server list: time, entry, and time of the server's start.
    list: Vec<(f64, ServerEntry, Option<f64>)>,
    /// Additional delay of the list service.
    pub list_lag_ms: f64,
    pub list_down: bool,
    /// Changes with each restart of the list service.
    list_epoch: u64,
    /// Share of the servers that the list service wrongly omits.
    omitted_share: f64,
    seen_effects: SeenEffects,
    true_loads: TrueLoads,
    pub sessions: Vec<Session>,
    pub ops: Vec<Operation>,
    pub open_sessions: usize,
    pub load_rngs: Vec<RandomStream>,
    pub conditions: clients::ClientConditions,
    lines: Vec<Line>,
    run: Run,
}

/// Plays a day in virtual time.
pub fn run(day: &Rc<DaySettings>, options: &Options) -> Run {
    let mut world = World::new(day.clone(), options.clone());
    world.schedule_start();
    let end_ms = day.length_ms + day.rest_ms;
    while let Some((at_ms, event)) = world.queue.pop() {
        if at_ms > end_ms {
            break;
        }
        if world.queue.pushed() > options.max_events {
            world.run.cut_short = true;
            break;
        }
        world.now_ms = at_ms;
        world.handle(event);
    }
    world.finish()
}

impl World {
    fn new(day: Rc<DaySettings>, options: Options) -> Self {
        let fleet = &day.fleet;
        let routers = options.routers.unwrap_or(day.routers);
        let mut nodes = Vec::new();
        let cells = fleet.servers.iter().map(|row| row.cell + 1).max().unwrap_or(1);
        for copy in 0..options.fleets.max(1) as u32 {
            for row in &fleet.servers {
                let kind = &fleet.kinds[row.kind];
                let model = Server::new(Kind::of(fleet, kind));
                let name = if copy == 0 { row.name.clone() } else { format!("{}+{copy}", row.name) };
                nodes.push(ServerNode {
                    model,
                    configured_name: row.name.clone(),
                    name,
                    zone: row.zone.clone(),
                    kind: row.kind,
                    cell: row.cell + copy * cells,
                    up: true,
                    down_mode: FailureMode::Refuse,
                    start: 0,
                    started_ms: None,
                    erring: (0.0, None),
                    answer_lost: 0.0,
                    rng: RandomStream::new(options.seed, 1, nodes.len() as u64),
                    in_system_since_ms: 0.0,
                    in_system_area: 0.0,
                    arrivals: 0,
                    sojourn_ms: 0.0,
                });
            }
        }
        let mut links = Vec::new();
        for _ in 0..cells * options.fleets.max(1) as u32 {
            links.push(Link::new(fleet.near_tokens_per_s));
            links.push(Link::new(fleet.far_tokens_per_s));
        }
        let true_loads = TrueLoads::default();
        let zones = day.router.names.zones.len().max(1);
        let router = |number: usize| RouterNode {
            up: false,
            boot: 0,
            zone: number % zones,
            reports: day.router_of(number).reports,
            ledger: ledger(&day, &options, number, routers, 0, &true_loads),
            membership: membership(&day),
            admission: admission(&day),
            saved: None,
            stored_entries: BTreeMap::new(),
            next: 0,
            pending: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent: BTreeMap::new(),
            list_due_ms: 0.0,
        };
        let routers = (0..routers).map(router).collect();
        let by_name = nodes.iter().enumerate().map(|(row, node)| (node.name.clone(), row)).collect();
        let load_rngs =
            (0..day.clients.len()).map(|row| RandomStream::new(options.seed, 2, row as u64)).collect();
        World {
            queue: EventQueue::default(),
            now_ms: 0.0,
            nodes,
            by_name,
            routers,
            dispatches: Vec::new(),
            links,
            transfers: BTreeMap::new(),
            list: Vec::new(),
            list_lag_ms: 0.0,
            list_down: false,
            list_epoch: 1,
            omitted_share: 0.0,
            seen_effects: SeenEffects::default(),
            true_loads,
            sessions: Vec::new(),
            ops: Vec::new(),
            open_sessions: 0,
            load_rngs,
            conditions: clients::ClientConditions::default(),
            lines: Vec::new(),
            run: Run::default(),
            troubles: expand_recurring(&day, options.seed).into(),
            day,
            options,
        }
    }

    fn schedule_start(&mut self) {
        for row in 0..self.nodes.len() {
            self.change_list(row, "ready");
            self.record_start(row, false);
        }
        for router in 0..self.routers.len() {
            self.start_router(router);
        }
        for load in 0..self.day.clients.len() {
            let (rate, rng) = (self.session_rate(load), &mut self.load_rngs[load]);
            let at_ms = rng.gap_ms(rate);
            self.queue.push(at_ms, SimEvent::SessionArrival { load });
        }
        for (row, trouble) in self.troubles.clone().iter().enumerate() {
            self.queue.push(trouble.at_ms, SimEvent::Trouble { row, begins: true });
            self.queue.push(trouble.at_ms + trouble.for_ms, SimEvent::Trouble { row, begins: false });
        }
    }

    fn finish(mut self) -> Run {
        let end_ms = self.now_ms.max(1.0);
        let mut run = std::mem::take(&mut self.run);
        let (mut area, mut sojourn_sum_ms, mut open) = (0.0, 0.0, 0);
        for node in &mut self.nodes {
            area += node.in_system_area + node.model.open() as f64 * (end_ms - node.in_system_since_ms);
            sojourn_sum_ms += node.sojourn_ms;
        }
        for dispatch in &self.dispatches {
            if let (Some(at), false) = (dispatch.arrived_ms, dispatch.ended) {
                sojourn_sum_ms += end_ms - at;
                open += 1;
            }
        }
        run.mean_in_system = area / end_ms;
        run.rate_times_sojourn = sojourn_sum_ms / end_ms;
        run.balance[4] = open;
        for router in &self.routers {
            add_counts(&mut run, router.ledger.counts());
        }
        run.events = self.queue.pushed();
        run.ended_ms = self.now_ms;
        run.lines = self.lines;
        run
    }

    pub fn record(&mut self, what: What) {
        if self.options.keep_record {
            self.lines.push(Line { at_ms: self.now_ms, what });
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::SessionArrival { load } => self.start_session(load),
            SimEvent::NextTurn { session } => self.start_turn(session),
            SimEvent::Attempt { op } => self.send_attempt(op),
            SimEvent::RequestAtRouter { op, attempt } => self.receive_request(op, attempt),
            SimEvent::ClientLeaves { op, attempt } => self.client_leaves(op, attempt),
            SimEvent::ClientObserves { op, attempt, what } => self.client_observes(op, attempt, what),
            SimEvent::ArriveAtServer { dispatch } => self.arrive_at_server(dispatch),
            SimEvent::CancelAtServer { dispatch } => self.cancel_dispatch(dispatch),
            SimEvent::ReleaseAtServer { server, start, dispatch } => {
                self.release_dispatch(server, start, dispatch)
            }
            SimEvent::WorkerProbeEnd { server, router, boot, worker } => {
                self.worker_probe_ended(server, router, boot, worker)
            }
            SimEvent::RouterInput { router, boot, input } => self.router_input(router, boot, *input),
            SimEvent::DispatchEnd { dispatch, end } => self.end_dispatch(dispatch, end),
            SimEvent::StepEnd { server, start } => self.end_step(server, start),
            SimEvent::TransferEnd { link, version } => self.transfers_ended(link, version),
            SimEvent::LeaseExpired { server, start, dispatch } => {
                if self.nodes[server].start == start {
                    self.drop_state(server, dispatch, "lease");
                }
            }
            SimEvent::ListDelivery { router, boot } => self.deliver_list(router, boot),
            SimEvent::MembershipTick { router, boot } => self.tick_membership(router, boot),
            SimEvent::MembershipProbeEnd { router, boot, worker, reachable } => {
                self.observe_worker(router, boot, &worker, reachable)
            }
            SimEvent::Trouble { row, begins } => self.apply_trouble(row, begins),
            SimEvent::DrainDeadline { row } => self.end_drain(row),
            SimEvent::StopDeadline { router, boot } => self.end_stop(router, boot),
        }
    }
}

/// Adds the counters of a router process to the totals.
fn add_counts(run: &mut Run, counts: Counts) {
    run.arrived += counts.arrived;
    run.dispatches += counts.dispatches;
    run.overdue += counts.overdue;
    run.unpinned += counts.unpinned;
}

fn request_name(router: usize, boot: u64, completion: CompletionId, seq: Seq) -> String {
    format!("{router}.{boot:x}.{}.{}", completion.0, seq.0)
}

fn load_report(load: &Load) -> LoadReport {
    LoadReport {
        active_requests: Some(load.active_requests),
        queue: Some(load.queue),
        slots_share: Some(load.slots_share),
        latency_ms: None,
        memory_share: Some(load.memory_share),
        waiting_kilotokens: Some(load.waiting_tokens / 1e3),
    }
}

fn ledger(
    day: &DaySettings,
    options: &Options,
    number: usize,
    routers: usize,
    boot: u64,
    true_loads: &TrueLoads,
) -> Ledger<Box<dyn Decisions>> {
    let zones = day.router.names.zones.len().max(1);
    let settings = paddleproxy::interface::Settings {
        routers,
        own_number: number,
        zone: Some(paddleproxy::interface::ZoneId(number % zones)),
        ..day.router_of(number).decisions
    };
    let decisions =
        options.policy.decisions(&settings, mix_seed(options.seed, 100 + boot, number as u64), true_loads);
    Ledger::with_decisions(decisions, settings, day.router.front.answer_slack_ms)
}

fn membership(day: &DaySettings) -> Membership {
    let roles = day.router.decisions.kinds.iter().map(|kind| kind.role);
    let kinds = day.router.names.kinds.iter().cloned().zip(roles).collect();
    Membership::new(day.router.names.zones.clone(), kinds, day.router.membership)
}

fn admission(day: &DaySettings) -> Admission {
    Admission::new(AdmissionLimits::from_settings(&day.router))
}
