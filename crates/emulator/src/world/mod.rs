//! The deployment: servers, routers with their real books and gates, the list, and what travels between them.

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
use paddleproxy_settings::day::{DaySettings, Dead, Trouble};
use paddleproxy_store::retention::{self, Text};

use crate::deduplication::{self, SeenEffects};
use crate::event_queue::EventQueue;
use crate::links::Link;
use crate::policies::{Policy, TrueLoads};
use crate::random::{seed, RandomStream};
use crate::record::{Line, What};
use crate::server::{ActiveFaults, Kind, Load, Server, ServerEvent, Work};
use crate::troubles::{expand_recurring, omits_server};

use clients::{Op, Session};

/// What a run is bounded and varied by.
#[derive(Clone, Debug)]
pub struct Options {
    pub policy: Policy,
    pub seed: u64,
    /// Routers; the day's own number where absent.
    pub routers: Option<usize>,
    /// Sessions begun a second, times the day's.
    pub load: f64,
    /// Copies of the day's fleet, each with cells of its own.
    pub fleets: usize,
    /// Network between clients and routers and whatever else is near, one way, in ms.
    pub net_ms: f64,
    /// Events after which a run ends and says so.
    pub max_events: u64,
    pub keep_record: bool,
    pub recovery: StoreRecovery,
}

/// What a router's store gives back at its next start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreRecovery {
    /// Nothing: the table is empty.
    Empty,
    #[default]
    Intact,
    /// What it kept, an hour later.
    HourOld,
    /// What it kept, each of another server.
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

/// What a run left.
#[derive(Debug, Default)]
pub struct Run {
    pub lines: Vec<Line>,
    pub events: u64,
    pub ended_ms: f64,
    /// The bound on events was reached before the day's end.
    pub cut_short: bool,
    /// Sums over all routers.
    pub arrived: u64,
    pub dispatches: u64,
    pub overdue: u64,
    pub unpinned: u64,
    pub rejected: u64,
    /// Law of Little at the servers: mean number in hand, and arrivals times mean time.
    pub mean_in_system: f64,
    pub rate_times_sojourn: f64,
    /// Dispatches that arrived at servers, and those done, refused, lost, still open at the end: the first is the sum.
    pub balance: [u64; 5],
}

pub(crate) enum Ev {
    Session {
        load: usize,
    },
    Turn {
        session: usize,
    },
    Attempt {
        op: usize,
    },
    AtRouter {
        op: usize,
        attempt: u32,
    },
    Leaves {
        op: usize,
        attempt: u32,
    },
    Sees {
        op: usize,
        attempt: u32,
        what: Sees,
    },
    Arrive {
        dispatch: usize,
    },
    Cancel {
        dispatch: usize,
    },
    Release {
        server: usize,
        start: u64,
        dispatch: usize,
    },
    Probe {
        server: Option<usize>,
        router: usize,
        boot: u64,
        worker: WorkerId,
    },
    Tell {
        router: usize,
        boot: u64,
        input: Box<Input>,
    },
    End {
        dispatch: usize,
        end: SocketEnd,
    },
    Step {
        server: usize,
        start: u64,
    },
    LinkEnds {
        link: usize,
        version: u64,
    },
    Lease {
        server: usize,
        start: u64,
        dispatch: usize,
    },
    News {
        router: usize,
        boot: u64,
    },
    /// A router's list changes by itself.
    List {
        router: usize,
        boot: u64,
    },
    /// A server answers, or does not, whether it is there.
    There {
        router: usize,
        boot: u64,
        worker: WorkerId,
        there: bool,
    },
    Trouble {
        row: usize,
        begins: bool,
    },
    Dies {
        row: usize,
    },
    StopEnds {
        router: usize,
        boot: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Sees {
    First,
    Finished,
    RateLimited { retry_after_ms: f64 },
    Aborted,
    Broke { connected: bool },
}

pub(crate) struct Node {
    pub model: Server,
    pub name: String,
    pub first_name: String,
    pub zone: String,
    pub kind: usize,
    pub cell: u32,
    pub up: bool,
    pub mode: Dead,
    pub start: u64,
    pub started_ms: Option<f64>,
    pub erring: (f64, Option<String>),
    pub answer_lost: f64,
    chance: RandomStream,
    in_hand_since_ms: f64,
    in_hand_area: f64,
    arrivals: u64,
    stay_ms: f64,
}

pub(crate) struct RouterNode {
    pub up: bool,
    pub boot: u64,
    pub zone: usize,
    /// Whether it hears what servers say of their load.
    reports: bool,
    ledger: Ledger<Box<dyn Decisions>>,
    membership: Membership,
    admission: Admission,
    saved: Option<SavedList>,
    /// What its store holds of kept texts.
    kept: BTreeMap<(Text, WorkerId), retention::StoredCacheEntry>,
    next: u32,
    asked: BTreeMap<CompletionId, Asked>,
    /// Dispatches that are out, and all of open completions, by completion and number.
    out: BTreeMap<(CompletionId, Seq), usize>,
    sent: BTreeMap<(CompletionId, Seq), usize>,
    news_ms: f64,
}

struct Asked {
    op: usize,
    attempt: u32,
    place: Option<Permit>,
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
    /// The dispatch whose state it fetches.
    state: Option<usize>,
    tokens: f64,
    sent_ms: f64,
    /// Network between its router and its server, one way.
    net_ms: f64,
    arrived_ms: Option<f64>,
    ended: bool,
    granted: bool,
    lost: bool,
    begun: bool,
    kept: f64,
    unwanted: bool,
}

pub(crate) struct World {
    pub day: Rc<DaySettings>,
    /// The day's troubles as they come.
    pub troubles: Rc<[Trouble]>,
    pub options: Options,
    pub queue: EventQueue<Ev>,
    pub now_ms: f64,
    pub nodes: Vec<Node>,
    by_name: BTreeMap<String, usize>,
    pub routers: Vec<RouterNode>,
    dispatches: Vec<Dispatch>,
    /// For each cell the link inside it and the one out of it.
    links: Vec<Link>,
    transfers: BTreeMap<u64, (usize, usize)>,
    list: Vec<(f64, ServerEntry, Option<f64>)>,
    pub behind_ms: f64,
    pub list_down: bool,
    /// Start of the list service, and the share of the servers that it leaves out.
    list_epoch: u64,
    lies: f64,
    seen_effects: SeenEffects,
    true_loads: TrueLoads,
    pub sessions: Vec<Session>,
    pub ops: Vec<Op>,
    pub open_sessions: usize,
    pub load_chance: Vec<RandomStream>,
    pub mood: clients::Mood,
    lines: Vec<Line>,
    run: Run,
}

/// Plays a day in virtual time.
pub fn run(day: &Rc<DaySettings>, options: &Options) -> Run {
    let mut world = World::new(day.clone(), options.clone());
    world.begin();
    let end_ms = day.length_ms + day.rest_ms;
    while let Some((at_ms, event)) = world.queue.take() {
        if at_ms > end_ms {
            break;
        }
        if world.queue.count() > options.max_events {
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
                nodes.push(Node {
                    model,
                    first_name: row.name.clone(),
                    name,
                    zone: row.zone.clone(),
                    kind: row.kind,
                    cell: row.cell + copy * cells,
                    up: true,
                    mode: Dead::Refuse,
                    start: 0,
                    started_ms: None,
                    erring: (0.0, None),
                    answer_lost: 0.0,
                    chance: RandomStream::new(options.seed, 1, nodes.len() as u64),
                    in_hand_since_ms: 0.0,
                    in_hand_area: 0.0,
                    arrivals: 0,
                    stay_ms: 0.0,
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
            kept: BTreeMap::new(),
            next: 0,
            asked: BTreeMap::new(),
            out: BTreeMap::new(),
            sent: BTreeMap::new(),
            news_ms: 0.0,
        };
        let routers = (0..routers).map(router).collect();
        let by_name = nodes.iter().enumerate().map(|(row, node)| (node.name.clone(), row)).collect();
        let load_chance =
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
            behind_ms: 0.0,
            list_down: false,
            list_epoch: 1,
            lies: 0.0,
            seen_effects: SeenEffects::default(),
            true_loads,
            sessions: Vec::new(),
            ops: Vec::new(),
            open_sessions: 0,
            load_chance,
            mood: clients::Mood::default(),
            lines: Vec::new(),
            run: Run::default(),
            troubles: expand_recurring(&day, options.seed).into(),
            day,
            options,
        }
    }

    fn begin(&mut self) {
        for row in 0..self.nodes.len() {
            self.list_change(row, "ready");
            self.node_started(row, false);
        }
        for router in 0..self.routers.len() {
            self.start_router(router);
        }
        for load in 0..self.day.clients.len() {
            let (rate, chance) = (self.rate(load), &mut self.load_chance[load]);
            let at_ms = chance.gap_ms(rate);
            self.queue.put(at_ms, Ev::Session { load });
        }
        for (row, trouble) in self.troubles.clone().iter().enumerate() {
            self.queue.put(trouble.at_ms, Ev::Trouble { row, begins: true });
            self.queue.put(trouble.at_ms + trouble.for_ms, Ev::Trouble { row, begins: false });
        }
    }

    fn finish(mut self) -> Run {
        let end_ms = self.now_ms.max(1.0);
        let mut run = std::mem::take(&mut self.run);
        let (mut area, mut stay, mut open) = (0.0, 0.0, 0);
        for node in &mut self.nodes {
            area += node.in_hand_area + node.model.open() as f64 * (end_ms - node.in_hand_since_ms);
            stay += node.stay_ms;
        }
        for dispatch in &self.dispatches {
            if let (Some(at), false) = (dispatch.arrived_ms, dispatch.ended) {
                stay += end_ms - at;
                open += 1;
            }
        }
        run.mean_in_system = area / end_ms;
        run.rate_times_sojourn = stay / end_ms;
        run.balance[4] = open;
        for router in &self.routers {
            add(&mut run, router.ledger.counts());
        }
        run.events = self.queue.count();
        run.ended_ms = self.now_ms;
        run.lines = self.lines;
        run
    }

    pub fn record(&mut self, what: What) {
        if self.options.keep_record {
            self.lines.push(Line { at_ms: self.now_ms, what });
        }
    }

    fn handle(&mut self, event: Ev) {
        match event {
            Ev::Session { load } => self.session(load),
            Ev::Turn { session } => self.turn(session),
            Ev::Attempt { op } => self.attempt(op),
            Ev::AtRouter { op, attempt } => self.at_router(op, attempt),
            Ev::Leaves { op, attempt } => self.leaves(op, attempt),
            Ev::Sees { op, attempt, what } => self.sees(op, attempt, what),
            Ev::Arrive { dispatch } => self.arrive(dispatch),
            Ev::Cancel { dispatch } => self.cancel(dispatch),
            Ev::Release { server, start, dispatch } => self.release(server, start, dispatch),
            Ev::Probe { server, router, boot, worker } => self.probed(server, router, boot, worker),
            Ev::Tell { router, boot, input } => self.tell(router, boot, *input),
            Ev::End { dispatch, end } => self.end(dispatch, end),
            Ev::Step { server, start } => self.step(server, start),
            Ev::LinkEnds { link, version } => self.link_ends(link, version),
            Ev::Lease { server, start, dispatch } => {
                if self.nodes[server].start == start {
                    self.let_go(server, dispatch, "lease");
                }
            }
            Ev::News { router, boot } => self.news(router, boot),
            Ev::List { router, boot } => self.list_passes(router, boot),
            Ev::There { router, boot, worker, there } => self.seen(router, boot, &worker, there),
            Ev::Trouble { row, begins } => self.trouble(row, begins),
            Ev::Dies { row } => self.drain_ends(row),
            Ev::StopEnds { router, boot } => self.stop_ends(router, boot),
        }
    }

    // Routers.
}

/// A router's counts go to the sums when its process ends.
fn add(run: &mut Run, counts: Counts) {
    run.arrived += counts.arrived;
    run.dispatches += counts.dispatches;
    run.overdue += counts.overdue;
    run.unpinned += counts.unpinned;
}

fn request_name(router: usize, boot: u64, completion: CompletionId, seq: Seq) -> String {
    format!("{router}.{boot:x}.{}.{}", completion.0, seq.0)
}

fn report_of(load: &Load) -> LoadReport {
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
        options.policy.decisions(&settings, seed(options.seed, 100 + boot, number as u64), true_loads);
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
