//! The deployment: servers, routers with their real books and gates, the list, and what travels between them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use paddleproxy::interface::{CompletionId, Kept, ListKind, LoadReport, Role, Seq, WorkerId};
use paddleproxy_engine::{Refusal, ServerEntry, ServerList, StateReference};
use paddleproxy_membership::{Heard, Membership, Saved, SourceId};
use paddleproxy_routing::{
    Admission, Bounds, Counts, Decisions, Effect, Input, Ledger, Place, Sending, SocketEnd, Stage,
};
use paddleproxy_settings::day::{DaySettings, Dead, Trouble};
use paddleproxy_store::retention::{self, Text};

use crate::chance::{seed, Chance};
use crate::clients::{Op, Session};
use crate::heap::Heap;
use crate::links::Link;
use crate::policies::{Policy, Truth};
use crate::record::{Line, What};
use crate::repeats::{self, Seen};
use crate::server::{Befalls, Did, Kind, Load, Server, Work};
use crate::troubles::{left_out, spread};

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
    pub most_events: u64,
    pub keep_record: bool,
    pub memory: Memory,
}

/// What a router's store gives back at its next start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Memory {
    /// Nothing: the table is empty.
    Nothing,
    #[default]
    Kept,
    /// What it kept, an hour later.
    HourOld,
    /// What it kept, each of another server.
    Lies,
}

impl Memory {
    pub const ALL: [(&'static str, Memory); 4] = [
        ("nothing", Memory::Nothing),
        ("kept", Memory::Kept),
        ("hour-old", Memory::HourOld),
        ("lies", Memory::Lies),
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
            most_events: 2_000_000_000,
            keep_record: true,
            memory: Memory::default(),
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
    pub turned_away: u64,
    /// Law of Little at the servers: mean number in hand, and arrivals times mean time.
    pub mean_in_hand: f64,
    pub rate_times_stay: f64,
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
    chance: Chance,
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
    saved: Option<Saved>,
    /// What its store holds of kept texts.
    kept: BTreeMap<(Text, WorkerId), retention::Kept>,
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
    place: Option<Place>,
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
    pub heap: Heap<Ev>,
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
    seen: Seen,
    truth: Truth,
    pub sessions: Vec<Session>,
    pub ops: Vec<Op>,
    pub open_sessions: usize,
    pub load_chance: Vec<Chance>,
    pub mood: crate::clients::Mood,
    lines: Vec<Line>,
    run: Run,
}

/// Plays a day in virtual time.
pub fn run(day: &Rc<DaySettings>, options: &Options) -> Run {
    let mut world = World::new(day.clone(), options.clone());
    world.begin();
    let end_ms = day.length_ms + day.rest_ms;
    while let Some((at_ms, event)) = world.heap.take() {
        if at_ms > end_ms {
            break;
        }
        if world.heap.count() > options.most_events {
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
                    chance: Chance::new(options.seed, 1, nodes.len() as u64),
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
        let truth = Truth::default();
        let zones = day.router.names.zones.len().max(1);
        let router = |number: usize| RouterNode {
            up: false,
            boot: 0,
            zone: number % zones,
            reports: day.router_of(number).reports,
            ledger: ledger(&day, &options, number, routers, 0, &truth),
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
            (0..day.clients.len()).map(|row| Chance::new(options.seed, 2, row as u64)).collect();
        World {
            heap: Heap::default(),
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
            seen: Seen::default(),
            truth,
            sessions: Vec::new(),
            ops: Vec::new(),
            open_sessions: 0,
            load_chance,
            mood: crate::clients::Mood::default(),
            lines: Vec::new(),
            run: Run::default(),
            troubles: spread(&day, options.seed).into(),
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
            self.heap.put(at_ms, Ev::Session { load });
        }
        for (row, trouble) in self.troubles.clone().iter().enumerate() {
            self.heap.put(trouble.at_ms, Ev::Trouble { row, begins: true });
            self.heap.put(trouble.at_ms + trouble.for_ms, Ev::Trouble { row, begins: false });
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
        run.mean_in_hand = area / end_ms;
        run.rate_times_stay = stay / end_ms;
        run.balance[4] = open;
        for router in &self.routers {
            add(&mut run, router.ledger.counts());
        }
        run.events = self.heap.count();
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

    pub fn start_router(&mut self, router: usize) {
        if self.routers[router].up {
            return;
        }
        let count = self.routers.len();
        let node = &mut self.routers[router];
        node.up = true;
        node.boot += 1;
        let boot = node.boot;
        add(&mut self.run, node.ledger.counts());
        node.ledger = ledger(&self.day, &self.options, router, count, boot, &self.truth);
        node.membership = membership(&self.day);
        node.admission = admission(&self.day);
        let mut rows = [].into();
        if let Some(saved) = &node.saved {
            // Wall clock and router clock are one here.
            if let Ok(Heard::Listed { rows: saved, .. }) =
                node.membership.recover(self.now_ms, self.now_ms, saved)
            {
                rows = saved;
            }
        }
        self.record(What::RouterUp { router });
        self.tell(router, boot, Input::Listed { kind: ListKind::Saved, rows });
        let kept = self.believed(router);
        self.tell(router, boot, Input::Recovered(kept));
        self.news(router, boot);
    }

    /// What a router that starts believes of what its store holds.
    fn believed(&self, router: usize) -> Vec<Kept> {
        const HOUR_MS: f64 = 3_600_000.0;
        let late_ms = match self.options.memory {
            Memory::Nothing => return Vec::new(),
            Memory::HourOld => HOUR_MS,
            Memory::Kept | Memory::Lies => 0.0,
        };
        let node = &self.routers[router];
        let starts = node.membership.starts();
        let names: Vec<&String> = starts.keys().collect();
        let entries = node.kept.iter().map(|((text, server), kept)| (*text, &*server.0, kept.clone()));
        let rows = retention::believe(self.now_ms + late_ms, &retention::TRUST, &starts, entries);
        let lies = |mut row: retention::Believed| {
            if self.options.memory == Memory::Lies {
                let at = names.iter().position(|name| ***name == *row.server.0).unwrap_or(0);
                row.server = WorkerId(Arc::from(names[(at + 1) % names.len()].as_str()));
            }
            row
        };
        rows.into_iter().map(lies).map(Kept::from).collect()
    }

    pub fn kill_router(&mut self, router: usize) {
        if !self.routers[router].up {
            return;
        }
        let node = &mut self.routers[router];
        node.up = false;
        let asked = std::mem::take(&mut node.asked);
        let out = std::mem::take(&mut node.out);
        node.sent.clear();
        self.record(What::RouterDown { router });
        for asked in asked.into_values() {
            self.sees(asked.op, asked.attempt, Sees::Broke { connected: true });
        }
        for dispatch in out.into_values() {
            self.heap.put(self.now_ms + self.options.net_ms, Ev::Cancel { dispatch });
        }
    }

    pub fn stop_router(&mut self, router: usize) {
        let node = &mut self.routers[router];
        if node.up {
            node.admission.stop();
            let boot = node.boot;
            self.heap.put(self.now_ms + self.day.router.front.stop_ms, Ev::StopEnds { router, boot });
        }
    }

    fn stop_ends(&mut self, router: usize, boot: u64) {
        if self.routers[router].up && self.routers[router].boot == boot {
            self.tell(router, boot, Input::Stop { streams: true });
            let node = &mut self.routers[router];
            (node.up, node.asked) = (false, BTreeMap::new());
            self.start_router(router);
        }
    }

    fn at_router(&mut self, op: usize, attempt: u32) {
        let router = self.ops[op].router;
        let (workload, tokens, prompt_bytes) = {
            let op = &self.ops[op];
            (
                op.arrival.workload,
                op.arrival.prompt_tokens + op.arrival.max_tokens,
                op.arrival.prompt_tokens as usize,
            )
        };
        let customer = self.ops[op].arrival.customer;
        let now_ms = self.now_ms;
        let node = &mut self.routers[router];
        if !node.up {
            return self.sees(op, attempt, Sees::Broke { connected: true });
        }
        let entered = node.admission.enter(now_ms, customer).and_then(|mut place| {
            let bytes = prompt_bytes * self.day.router.rules.bytes_per_token as usize;
            match node.admission.admit(now_ms, &mut place, workload, bytes, tokens) {
                Ok(()) => Ok(place),
                Err(turned) => {
                    node.admission.give(now_ms, place);
                    Err(turned)
                }
            }
        });
        let place = match entered {
            Ok(place) => Some(place),
            Err(turned) => {
                self.run.turned_away += 1;
                let what = Sees::RateLimited { retry_after_ms: turned.retry_after_ms };
                return self.send_client(op, attempt, what);
            }
        };
        let completion = CompletionId(node.next);
        node.next += 1;
        node.asked.insert(completion, Asked { op, attempt, place });
        let boot = node.boot;
        let mut arrival = self.ops[op].arrival.clone();
        arrival.completion = completion;
        arrival.client_timeout_ms = self.ops[op].deadline_ms;
        let streamed = self.ops[op].streamed;
        self.ops[op].at = Some((router, boot, completion));
        self.tell(router, boot, Input::Arrived { arrival, streamed });
    }

    /// A client's connection to its router ends.
    pub fn client_gone(&mut self, op: usize) {
        if let Some((router, boot, completion)) = self.ops[op].at.take() {
            let input = Box::new(Input::Left { completion });
            self.heap.put(self.now_ms + self.options.net_ms, Ev::Tell { router, boot, input });
        }
    }

    fn send_client(&mut self, op: usize, attempt: u32, what: Sees) {
        self.heap.put(self.now_ms + self.options.net_ms, Ev::Sees { op, attempt, what });
    }

    fn tell(&mut self, router: usize, boot: u64, input: Input) {
        let node = &mut self.routers[router];
        if !node.up || node.boot != boot {
            return;
        }
        let mut effects = Vec::new();
        node.ledger.handle(self.now_ms, input, &mut effects);
        for effect in effects {
            self.carry_out(router, boot, effect);
        }
    }

    fn answer(&mut self, router: usize, completion: CompletionId, what: Sees) {
        let Some(asked) = self.routers[router].asked.get(&completion) else { return };
        let (op, attempt) = (asked.op, asked.attempt);
        self.send_client(op, attempt, what);
    }

    fn carry_out(&mut self, router: usize, boot: u64, effect: Effect) {
        let net_ms = self.options.net_ms;
        match effect {
            Effect::Send(sending) => self.send(router, boot, sending),
            Effect::Stop { completion, seq } => {
                if let Some(dispatch) = self.routers[router].out.get(&(completion, seq)).copied() {
                    self.heap.put(self.now_ms + net_ms, Ev::Cancel { dispatch });
                    if self.dispatches[dispatch].granted {
                        self.answer(router, completion, Sees::Aborted);
                    }
                    self.heap.put(self.now_ms, Ev::End { dispatch, end: SocketEnd::Stopped });
                }
            }
            Effect::Grant { completion, seq } => {
                if let Some(dispatch) = self.routers[router].out.get(&(completion, seq)).copied() {
                    self.dispatches[dispatch].granted = true;
                    self.answer(router, completion, Sees::First);
                }
            }
            Effect::Deliver { completion, .. } => {
                self.answer(router, completion, Sees::First);
                self.answer(router, completion, Sees::Finished);
            }
            Effect::RateLimit { completion, retry_after_ms } => {
                self.answer(router, completion, Sees::RateLimited { retry_after_ms });
            }
            Effect::Abort { completion } => self.answer(router, completion, Sees::Aborted),
            Effect::Forget { completion } => {
                let now_ms = self.now_ms;
                let node = &mut self.routers[router];
                let all = (completion, Seq(0))..=(completion, Seq(u32::MAX));
                let sent: Vec<_> = node.sent.range(all).map(|(key, _)| *key).collect();
                sent.iter().for_each(|key| {
                    node.sent.remove(key);
                });
                if let Some(place) = node.asked.remove(&completion).and_then(|asked| asked.place) {
                    node.admission.give(now_ms, place);
                }
            }
            Effect::Arm { in_ms, due } => {
                let input = Box::new(Input::Due(due));
                let at_ms = self.now_ms + in_ms;
                self.heap.put(at_ms, Ev::Tell { router, boot, input });
            }
            Effect::Release { worker, completion, seq } => {
                let Some(server) = self.by_name.get(&*worker.0).copied() else { return };
                let start = self.nodes[server].start;
                if let Some(dispatch) = self.routers[router].sent.get(&(completion, seq)).copied() {
                    self.heap.put(self.now_ms + net_ms, Ev::Release { server, start, dispatch });
                }
            }
            Effect::Probe { worker } => {
                let server = self.by_name.get(&*worker.0).copied();
                let heard = server
                    .filter(|server| self.nodes[*server].up && !self.nodes[*server].model.befalls.silent);
                let after_ms = if heard.is_some() { 2.0 * net_ms } else { self.day.router.engines.probe_ms };
                self.heap.put(self.now_ms + after_ms, Ev::Probe { server: heard, router, boot, worker });
            }
            Effect::Keeps { worker, session, tokens, prefix } => {
                let at_ms = self.now_ms;
                let remembers = self.options.memory != Memory::Nothing;
                let node = &mut self.routers[router];
                if let Some(start) = node.membership.start(&worker).filter(|_| remembers) {
                    for (text, tokens) in retention::texts(session, tokens, prefix) {
                        let kept = retention::Kept { tokens, at_ms, start };
                        node.kept.insert((text, worker.clone()), kept);
                    }
                }
            }
            // No place can be held ahead here; the decisions ask for none.
            Effect::Hold { .. } | Effect::CloseIdle { .. } | Effect::Note(_) => {}
            Effect::Subscribe | Effect::FetchList => self.news(router, boot),
        }
    }

    /// Network between a router and a server, one way.
    fn net_ms(&self, router: usize, server: usize) -> f64 {
        let zone = self.day.router.names.zones.get(self.routers[router].zone);
        let (near_ms, far_ms) = self.day.network_ms;
        if zone == Some(&self.nodes[server].zone) {
            near_ms
        } else {
            far_ms
        }
    }

    fn send(&mut self, router: usize, boot: u64, sending: Sending) {
        let Some(asked) = self.routers[router].asked.get(&sending.completion) else { return };
        let (op, attempt) = (asked.op, asked.attempt);
        let Some(server) = self.by_name.get(&*sending.worker.0).copied() else { return };
        let state =
            sending.state.as_ref().and_then(|state| state.remote_block_ids.as_ref()?.first().copied());
        let dispatch = self.dispatches.len();
        let (completion, seq) = (sending.completion, sending.seq);
        self.dispatches.push(Dispatch {
            router,
            boot,
            completion,
            seq,
            server,
            start: self.nodes[server].start,
            name: request_name(router, boot, completion, seq),
            op,
            attempt,
            stage: sending.stage,
            state: state.map(|state| state as usize),
            tokens: self.ops[op].arrival.prompt_tokens,
            sent_ms: self.now_ms,
            net_ms: self.net_ms(router, server),
            arrived_ms: None,
            ended: false,
            granted: false,
            lost: false,
            begun: false,
            kept: sending.read_kept,
            unwanted: false,
        });
        self.routers[router].out.insert((completion, seq), dispatch);
        self.routers[router].sent.insert((completion, seq), dispatch);
        let net_ms = self.dispatches[dispatch].net_ms;
        let (up, mode) = (self.nodes[server].up, self.nodes[server].mode);
        match (up, mode) {
            (true, _) => self.heap.put(self.now_ms + net_ms, Ev::Arrive { dispatch }),
            (false, Dead::Unreachable) => {
                let at_ms = self.now_ms + self.day.router.engines.connect_ms;
                self.heap.put(at_ms, Ev::End { dispatch, end: SocketEnd::ConnectTimedOut });
            }
            (false, _) => {
                self.heap
                    .put(self.now_ms + 2.0 * net_ms, Ev::End { dispatch, end: SocketEnd::ConnectRefused });
            }
        }
        self.heap.put(sending.until_ms, Ev::End { dispatch, end: SocketEnd::TimedOut });
    }

    /// A dispatch ends at its router, by whatever comes first.
    fn end(&mut self, dispatch: usize, end: SocketEnd) {
        let granted = self.dispatches[dispatch].granted;
        if granted && end == SocketEnd::TimedOut {
            return;
        }
        let (router, boot, completion, seq) = {
            let d = &self.dispatches[dispatch];
            (d.router, d.boot, d.completion, d.seq)
        };
        let node = &mut self.routers[router];
        if !node.up || node.boot != boot || node.out.remove(&(completion, seq)).is_none() {
            return;
        }
        if matches!(end, SocketEnd::TimedOut | SocketEnd::Stalled) {
            self.heap.put(self.now_ms + self.options.net_ms, Ev::Cancel { dispatch });
        }
        if granted {
            let what = if end == SocketEnd::AnswerDone { Sees::Finished } else { Sees::Aborted };
            self.answer(router, completion, what);
        }
        let nobody = matches!(end, SocketEnd::ConnectRefused | SocketEnd::ConnectTimedOut);
        if nobody || matches!(end, SocketEnd::ReadDone | SocketEnd::AnswerDone) {
            let worker = WorkerId(Arc::from(self.nodes[self.dispatches[dispatch].server].name.as_str()));
            self.seen(router, boot, &worker, !nobody);
        }
        let d = &self.dispatches[dispatch];
        let (took_ms, kept_tokens, server, heard) =
            (self.now_ms - d.sent_ms, d.kept, d.server, d.arrived_ms.is_some());
        let state = (end == SocketEnd::ReadDone).then(|| StateReference {
            do_remote_prefill: true,
            remote_engine_id: Some(self.nodes[server].name.clone()),
            remote_block_ids: Some(vec![dispatch as u64]),
            ..StateReference::default()
        });
        let says =
            heard && matches!(end, SocketEnd::ReadDone | SocketEnd::AnswerDone | SocketEnd::TurnedAway(_));
        if says {
            self.report(router, boot, server);
        }
        self.tell(router, boot, Input::Ended { completion, seq, took_ms, end, kept_tokens, state });
    }

    fn report(&mut self, router: usize, boot: u64, server: usize) {
        if !self.routers[router].reports {
            return;
        }
        let every_ms = self.day.fleet.report_every_ms;
        let mut load = self.nodes[server].model.load(self.now_ms, every_ms);
        let noise = self.day.fleet.report_noise;
        if noise > 0.0 {
            let chance = &mut self.nodes[server].chance;
            for figure in [&mut load.in_hand, &mut load.queue, &mut load.waiting_tokens] {
                *figure *= 1.0 + noise * (2.0 * chance.share() - 1.0);
            }
        }
        let worker = WorkerId(Arc::from(self.nodes[server].name.as_str()));
        self.tell(router, boot, Input::Reported { worker, load: report_of(&load) });
    }

    fn probed(&mut self, server: Option<usize>, router: usize, boot: u64, worker: WorkerId) {
        if let Some(server) = server {
            self.nodes[server].model.presses(self.now_ms, 0.3);
            self.report(router, boot, server);
        }
        let took_ms = 2.0 * self.options.net_ms;
        self.tell(router, boot, Input::Probed { worker, answered: server.is_some(), took_ms });
    }

    // Servers.

    /// Keeps the mean number in hand up to date; called before each change.
    fn mark(&mut self, server: usize) {
        let node = &mut self.nodes[server];
        node.in_hand_area += node.model.open() as f64 * (self.now_ms - node.in_hand_since_ms);
        node.in_hand_since_ms = self.now_ms;
    }

    fn arrive(&mut self, dispatch: usize) {
        let (server, op, attempt) = {
            let d = &self.dispatches[dispatch];
            (d.server, d.op, d.attempt)
        };
        let net_ms = self.dispatches[dispatch].net_ms;
        if !self.nodes[server].up || self.nodes[server].start != self.dispatches[dispatch].start {
            return self.heap.put(self.now_ms + net_ms, Ev::End { dispatch, end: SocketEnd::ConnectRefused });
        }
        self.mark(server);
        let fetches =
            self.dispatches[dispatch].state.is_some() && self.dispatches[dispatch].stage == Stage::Write;
        let work = Work {
            id: dispatch as u64,
            prompt: self.ops[op].prompt.clone(),
            tokens: self.dispatches[dispatch].tokens,
            answer: self.ops[op].answer,
            fetches,
            place: None,
        };
        let work_ms = self.nodes[server].model.work_ms(&work);
        let request = self.dispatches[dispatch].name.clone();
        let model = self.ops[op].model.clone();
        let name = self.nodes[server].name.clone();
        let writes = self.nodes[server].model.kind.role != Role::Reader;
        let client = format!("op{op}/{attempt}");
        self.record(What::Dispatch {
            server: name.clone(),
            request: request.clone(),
            client,
            model: model.clone(),
            work_ms,
            writes,
        });
        self.dispatches[dispatch].arrived_ms = Some(self.now_ms);
        self.nodes[server].arrivals += 1;
        self.run.balance[0] += 1;
        if self.nodes[server].model.presses(self.now_ms, work_ms) {
            self.record(What::FellOver { server: name });
            self.nodes[server].model.befalls.silent = true;
        }
        if self.nodes[server].model.befalls.silent {
            return;
        }
        let most = self.day.fleet.kinds[self.nodes[server].kind].connections;
        if most.is_some_and(|most| self.nodes[server].model.open() >= most) {
            self.leaves_server(dispatch, 3);
            let end = SocketEnd::BrokeBeforeAnswer;
            return self.heap.put(self.now_ms + net_ms, Ev::End { dispatch, end });
        }
        let (share, of) = self.nodes[server].erring.clone();
        if of.is_none_or(|of| of == model) && self.nodes[server].chance.happens(share) {
            self.leaves_server(dispatch, 3);
            return self
                .heap
                .put(self.now_ms + net_ms, Ev::End { dispatch, end: SocketEnd::ErrorStatus(500) });
        }
        let lost = self.nodes[server].answer_lost;
        self.dispatches[dispatch].lost = writes && self.nodes[server].chance.happens(lost);
        let mut did = Vec::new();
        match self.nodes[server].model.arrive(self.now_ms, work, &mut did) {
            Ok(()) => {}
            Err(refusal) => self.refused(dispatch, refusal),
        }
        self.after(server, did);
    }

    fn refused(&mut self, dispatch: usize, refusal: Refusal) {
        let server = self.nodes[self.dispatches[dispatch].server].name.clone();
        let (request, code) = (self.dispatches[dispatch].name.clone(), refusal.code().to_owned());
        self.record(What::Turned { server, request, code });
        self.leaves_server(dispatch, 2);
        let end = SocketEnd::TurnedAway(refusal);
        let net_ms = self.dispatches[dispatch].net_ms;
        self.heap.put(self.now_ms + net_ms, Ev::End { dispatch, end });
    }

    /// A server is done with a dispatch: 1 served, 2 refused, 3 failed or not wanted any more.
    fn leaves_server(&mut self, dispatch: usize, how: usize) {
        let d = &mut self.dispatches[dispatch];
        if d.arrived_ms.is_none() || std::mem::replace(&mut d.ended, true) {
            return;
        }
        let (server, stay_ms) = (d.server, self.now_ms - d.arrived_ms.unwrap_or(self.now_ms));
        let request = d.name.clone();
        self.nodes[server].stay_ms += stay_ms;
        self.run.balance[how] += 1;
        let server = self.nodes[server].name.clone();
        self.record(What::Ended { server, request });
    }

    /// What a server did is carried on, and its next step is awaited.
    fn after(&mut self, server: usize, did: Vec<Did>) {
        for did in did {
            match did {
                Did::Fetch(id) => self.fetch(server, id as usize),
                Did::Refused { id, refusal } => self.refused(id as usize, refusal),
                Did::Read { id, kept } => {
                    let dispatch = id as usize;
                    self.dispatches[dispatch].kept = kept;
                    let (name, request) =
                        (self.nodes[server].name.clone(), self.dispatches[dispatch].name.clone());
                    self.record(What::State { server: name, request });
                    let gone = self.dispatches[dispatch].ended || self.dispatches[dispatch].unwanted;
                    self.leaves_server(dispatch, 1);
                    if gone {
                        self.let_go(server, dispatch, "unwanted");
                    } else {
                        let (start, lease_ms) = (self.nodes[server].start, self.day.fleet.lease_ms);
                        self.heap.put(self.now_ms + lease_ms, Ev::Lease { server, start, dispatch });
                        let net_ms = self.dispatches[dispatch].net_ms;
                        self.heap.put(self.now_ms + net_ms, Ev::End { dispatch, end: SocketEnd::ReadDone });
                    }
                }
                Did::Token(_) => {}
                Did::First { id, kept } => self.first(server, id as usize, kept),
                Did::Finished { id } => {
                    let dispatch = id as usize;
                    let end = if self.dispatches[dispatch].lost {
                        SocketEnd::BrokeBeforeAnswer
                    } else {
                        SocketEnd::AnswerDone
                    };
                    self.leaves_server(dispatch, 1);
                    let net_ms = self.dispatches[dispatch].net_ms;
                    self.heap.put(self.now_ms + net_ms, Ev::End { dispatch, end });
                }
            }
        }
        if let Some(at_ms) = self.nodes[server].model.wakes_ms() {
            if !self.nodes[server].model.befalls.silent {
                let start = self.nodes[server].start;
                self.heap.put(at_ms, Ev::Step { server, start });
            }
        }
        if self.options.policy == Policy::SeesAll {
            let load = self.nodes[server].model.true_load();
            let worker = WorkerId(Arc::from(self.nodes[server].name.as_str()));
            let kind = &self.nodes[server].model.kind;
            let busy =
                load.in_hand / kind.slots as f64 + load.waiting_tokens / (kind.read_tokens_per_ms * 1e3);
            self.truth.borrow_mut().insert(worker, busy);
        }
    }

    fn first(&mut self, server: usize, dispatch: usize, kept: f64) {
        let d = &mut self.dispatches[dispatch];
        if d.stage == Stage::Whole {
            d.kept = kept;
        }
        d.begun = true;
        let (router, boot, completion, seq, lost) = (d.router, d.boot, d.completion, d.seq, d.lost);
        let (op, took_ms, request) = (d.op, self.now_ms - d.sent_ms, d.name.clone());
        let key = format!("op{op}");
        let repeat = self.repeats(dispatch, &key);
        let name = self.nodes[server].name.clone();
        self.record(What::Effect { server: name, request, key, repeat });
        if self.ops[op].streamed && !lost {
            let input = Box::new(Input::Began { completion, seq, took_ms });
            let net_ms = self.dispatches[dispatch].net_ms;
            self.heap.put(self.now_ms + net_ms, Ev::Tell { router, boot, input });
        }
    }

    /// Whether servers drop this as a repeat.
    fn repeats(&mut self, dispatch: usize, key: &str) -> bool {
        let (server, op, arrived_ms) = {
            let d = &self.dispatches[dispatch];
            (d.server, d.op, d.arrived_ms.unwrap_or(self.now_ms))
        };
        let model = &self.ops[op].model;
        let Some(rule) = self.day.fleet.repeats.iter().find(|rule| rule.model == *model) else {
            return false;
        };
        let group = repeats::group(rule.group, &self.nodes[server].zone, self.nodes[server].cell);
        self.seen.repeats(group, key, arrived_ms, self.now_ms, rule.window_ms)
    }

    fn step(&mut self, server: usize, start: u64) {
        let node = &self.nodes[server];
        // A step foretold before the server's pace changed comes again at its time.
        let due = node.model.wakes_ms().is_some_and(|at| at <= self.now_ms + 1e-9);
        if !node.up || node.start != start || node.model.befalls.silent || !due {
            return;
        }
        self.mark(server);
        let mut did = Vec::new();
        self.nodes[server].model.step(self.now_ms, &mut did);
        self.after(server, did);
    }

    /// A server that hung goes on.
    pub fn wake(&mut self, server: usize) {
        self.after(server, Vec::new());
    }

    fn cancel(&mut self, dispatch: usize) {
        let server = self.dispatches[dispatch].server;
        self.dispatches[dispatch].unwanted = true;
        if !self.nodes[server].up || self.nodes[server].start != self.dispatches[dispatch].start {
            return;
        }
        if self.dispatches[dispatch].ended {
            return;
        }
        self.mark(server);
        let stops = self.day.fleet.cancel_stops;
        let mut did = Vec::new();
        self.nodes[server].model.cancel(self.now_ms, dispatch as u64, stops, &mut did);
        self.leaves_server(dispatch, 3);
        self.after(server, did);
    }

    fn release(&mut self, server: usize, start: u64, dispatch: usize) {
        self.dispatches[dispatch].unwanted = true;
        if self.nodes[server].start == start && !self.transfers.contains_key(&(dispatch as u64)) {
            self.let_go(server, dispatch, "released");
        }
    }

    fn let_go(&mut self, server: usize, dispatch: usize, why: &str) {
        self.mark(server);
        let mut did = Vec::new();
        if self.nodes[server].model.let_go(self.now_ms, dispatch as u64, &mut did) {
            let (name, request) = (self.nodes[server].name.clone(), self.dispatches[dispatch].name.clone());
            self.record(What::StateGone { server: name, request, why: why.to_owned() });
        }
        self.after(server, did);
    }

    // Links.

    fn fetch(&mut self, server: usize, dispatch: usize) {
        let from = self.dispatches[dispatch].state.unwrap_or(usize::MAX);
        let there = self.dispatches.get(from).and_then(|read| {
            let reader = &self.nodes[read.server];
            let same = reader.up && reader.start == read.start;
            reader.model.holds(from as u64).filter(|_| same && !self.transfers.contains_key(&(from as u64)))
        });
        match there {
            Some(tokens) => {
                let reader = self.dispatches[from].server;
                let near = self.nodes[reader].cell == self.nodes[server].cell;
                let link = self.nodes[reader].cell as usize * 2 + usize::from(!near);
                self.transfers.insert(from as u64, (dispatch, link));
                self.links[link].begin(self.now_ms, from as u64, tokens);
                self.await_link(link);
            }
            None => self.fetched(dispatch, false),
        }
    }

    fn await_link(&mut self, link: usize) {
        if let Some(at_ms) = self.links[link].next_ms() {
            let version = self.links[link].version;
            self.heap.put(at_ms, Ev::LinkEnds { link, version });
        }
    }

    pub fn slow_links(&mut self, cell: u32, factor: f64) {
        let cells = self.links.len() / 2 / self.options.fleets.max(1);
        for copy in 0..self.options.fleets.max(1) {
            for part in 0..2 {
                let link = (cell as usize + copy * cells) * 2 + part;
                if link < self.links.len() {
                    self.links[link].set_slow(self.now_ms, factor);
                    self.await_link(link);
                }
            }
        }
    }

    fn link_ends(&mut self, link: usize, version: u64) {
        if self.links[link].version != version {
            return;
        }
        for from in self.links[link].ended(self.now_ms) {
            let Some((dispatch, _)) = self.transfers.remove(&from) else { continue };
            let reader = self.dispatches[from as usize].server;
            let there = self.nodes[reader].model.holds(from).is_some();
            self.let_go(reader, from as usize, "taken");
            self.fetched(dispatch, there);
        }
        self.await_link(link);
    }

    fn fetched(&mut self, dispatch: usize, there: bool) {
        let server = self.dispatches[dispatch].server;
        if !self.nodes[server].up || self.nodes[server].start != self.dispatches[dispatch].start {
            return;
        }
        self.mark(server);
        let mut did = Vec::new();
        self.nodes[server].model.fetched(self.now_ms, dispatch as u64, there, &mut did);
        self.after(server, did);
    }

    // Lives of servers, and the list.

    fn node_started(&mut self, server: usize, cold: bool) {
        let node = &self.nodes[server];
        let (name, zone, cell) = (node.name.clone(), node.zone.clone(), node.cell);
        self.record(What::Started { server: name, zone, cell, cold });
    }

    fn list_change(&mut self, server: usize, readiness: &str) {
        let node = &self.nodes[server];
        let entry = ServerEntry {
            name: node.name.clone(),
            // Each has one of its own; nothing connects to it.
            address: format!("127.1.{}.{}:1", server / 256, server % 256),
            zone: node.zone.clone(),
            kind: self.day.fleet.kinds[node.kind].name.clone(),
            cell: node.cell,
            readiness: readiness.to_owned(),
            weight: 1.0,
            start: node.start,
            age_ms: None,
        };
        self.list.push((self.now_ms, entry, node.started_ms));
        let late_ms = self.day.fleet.list_delay_ms + self.behind_ms;
        for router in 0..self.routers.len() {
            let node = &mut self.routers[router];
            node.news_ms = node.news_ms.max(self.now_ms + late_ms);
            let (at_ms, boot) = (node.news_ms, node.boot);
            self.heap.put(at_ms, Ev::News { router, boot });
        }
    }

    /// The list tells a router what it may know by now.
    fn news(&mut self, router: usize, boot: u64) {
        if !self.routers[router].up {
            return;
        }
        let boot = if boot == 0 { self.routers[router].boot } else { boot };
        if self.list_down {
            return self
                .heap
                .put(self.now_ms + self.day.router.list.retry_ms.max(50.0), Ev::News { router, boot });
        }
        let late_ms = self.day.fleet.list_delay_ms;
        let until_ms = self.now_ms - late_ms - self.behind_ms;
        let first = self.nodes.len();
        let known = self.routers[router].membership.known(SourceId::Service);
        let known = known.filter(|(epoch, _)| *epoch == self.list_epoch).map(|(_, version)| version as usize);
        let seen = self.list.iter().take_while(|(at, _, _)| *at <= until_ms + 1e-6).count();
        let version = seen.max(first).max(known.unwrap_or(0)).min(self.list.len());
        if known == Some(version) {
            return;
        }
        let mut newest = BTreeMap::new();
        for (_, entry, started) in &self.list[known.unwrap_or(0)..version] {
            let age_ms = started.map(|started| (self.now_ms - started).max(0.0));
            newest.insert(entry.name.clone(), ServerEntry { age_ms, ..entry.clone() });
        }
        let servers: Vec<_> =
            newest.into_values().filter(|entry| known.is_some() || entry.readiness != "gone").collect();
        let servers: Vec<ServerEntry> =
            servers.into_iter().filter(|entry| !left_out(&entry.name, self.lies)).collect();
        for entry in &servers {
            let (server, readiness) = (entry.name.clone(), entry.readiness.clone());
            self.record(What::Told { router, server, readiness, cold: entry.age_ms.is_some() });
        }
        let after = known.map(|known| known as u64);
        let list = ServerList { epoch: self.list_epoch, version: version as u64, after, servers };
        let heard = self.routers[router].membership.hear(self.now_ms, SourceId::Service, &list);
        if let Ok(heard) = heard {
            self.heard(router, boot, heard);
        }
    }

    /// The list service starts anew and leaves out a share of the servers.
    pub fn list_anew(&mut self, share: f64) {
        (self.list_epoch, self.lies) = (self.list_epoch + 1, share);
        for router in 0..self.routers.len() {
            self.heap.put(self.now_ms, Ev::News { router, boot: 0 });
        }
    }

    /// What a router's list came to is told to its decisions, and what it wants to know is asked.
    fn heard(&mut self, router: usize, boot: u64, heard: Heard) {
        let now_ms = self.now_ms;
        let node = &mut self.routers[router];
        if let Heard::Listed { kind, rows } = heard {
            node.saved = node.membership.save(now_ms, now_ms);
            self.tell(router, boot, Input::Listed { kind, rows });
        }
        let node = &mut self.routers[router];
        let asks = node.membership.asks(now_ms);
        if let Some(at_ms) = node.membership.wakes_ms(now_ms) {
            self.heap.put(at_ms, Ev::List { router, boot });
        }
        for worker in asks {
            let server = self.by_name.get(&*worker.0).copied();
            let there = server.is_some_and(|row| self.nodes[row].up && !self.nodes[row].model.befalls.silent);
            let after_ms = if there { 2.0 * self.options.net_ms } else { self.day.router.engines.probe_ms };
            self.heap.put(now_ms + after_ms, Ev::There { router, boot, worker, there });
        }
    }

    fn list_passes(&mut self, router: usize, boot: u64) {
        let node = &mut self.routers[router];
        if node.up && node.boot == boot {
            let heard = node.membership.tick(self.now_ms);
            self.heard(router, boot, heard);
        }
    }

    fn seen(&mut self, router: usize, boot: u64, worker: &WorkerId, there: bool) {
        let node = &mut self.routers[router];
        if node.up && node.boot == boot {
            let heard = node.membership.observe(self.now_ms, worker, there);
            if matches!(heard, Heard::Listed { .. }) {
                self.heard(router, boot, heard);
            }
        }
    }

    pub fn named(&self, first_names: &[String]) -> Vec<usize> {
        let wanted: BTreeSet<&String> = first_names.iter().collect();
        // A trouble befalls the named servers of each copy of the fleet.
        let rows = self.nodes.iter().enumerate().filter(|(_, node)| wanted.contains(&node.first_name));
        rows.map(|(row, _)| row).collect()
    }

    pub fn in_zone(&self, zone: &str) -> Vec<usize> {
        let rows = self.nodes.iter().enumerate().filter(|(_, node)| node.zone == zone);
        rows.map(|(row, _)| row).collect()
    }

    pub fn befalls(&mut self, servers: &[usize], change: impl Fn(&mut Befalls)) {
        servers.iter().for_each(|row| change(&mut self.nodes[*row].model.befalls));
    }

    pub fn list_says(&mut self, server: usize, readiness: &str) {
        self.list_change(server, readiness);
    }

    pub fn kill(&mut self, server: usize, how: Dead) {
        if !self.nodes[server].up {
            return;
        }
        self.mark(server);
        self.nodes[server].up = false;
        self.nodes[server].mode = how;
        let start = self.nodes[server].start;
        let lost = self.nodes[server].model.restart(self.now_ms);
        self.nodes[server].start += 1;
        let name = self.nodes[server].name.clone();
        for state in lost {
            let request = self.dispatches[state as usize].name.clone();
            self.record(What::StateGone { server: name.clone(), request, why: "died".into() });
        }
        self.record(What::Died { server: name });
        // Its connections break; what was only on its way finds nobody there.
        let broken: Vec<_> = self
            .routers
            .iter()
            .flat_map(|router| router.out.values().copied())
            .filter(|row| self.dispatches[*row].server == server && self.dispatches[*row].start == start)
            .filter(|row| self.dispatches[*row].arrived_ms.is_some())
            .collect();
        for dispatch in broken {
            self.leaves_server(dispatch, 3);
            let end = if self.dispatches[dispatch].granted {
                SocketEnd::BrokeAfterFirst
            } else {
                SocketEnd::BrokeBeforeAnswer
            };
            self.heap.put(self.now_ms + self.options.net_ms, Ev::End { dispatch, end });
        }
        for row in 0..self.dispatches.len() {
            if self.dispatches[row].server == server && self.dispatches[row].start == start {
                self.leaves_server(row, 3);
            }
        }
        self.list_change(server, "gone");
    }

    pub fn back(&mut self, server: usize, as_new: bool) {
        if self.nodes[server].up {
            return;
        }
        self.mark(server);
        if as_new {
            let name = format!("{}-{}", self.nodes[server].name, self.nodes[server].start);
            self.nodes[server].name = name.clone();
            self.by_name.insert(name, server);
        }
        let now_ms = self.now_ms;
        let node = &mut self.nodes[server];
        node.up = true;
        node.start += 1;
        node.started_ms = Some(now_ms);
        node.model.restart(now_ms);
        self.node_started(server, true);
        self.list_change(server, "ready");
    }

    /// Streams of a server that hangs are given up after the longest silence allowed.
    pub fn stalls(&mut self, server: usize) {
        let at_ms = self.now_ms + self.day.router.engines.stall_ms;
        let granted: Vec<_> = (0..self.dispatches.len())
            .filter(|row| {
                let d = &self.dispatches[*row];
                d.server == server && d.granted && !d.ended
            })
            .collect();
        for dispatch in granted {
            self.heap.put(at_ms, Ev::End { dispatch, end: SocketEnd::Stalled });
        }
    }
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
        in_hand: Some(load.in_hand),
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
    truth: &Truth,
) -> Ledger<Box<dyn Decisions>> {
    let zones = day.router.names.zones.len().max(1);
    let settings = paddleproxy::interface::Settings {
        routers,
        own_number: number,
        zone: Some(paddleproxy::interface::ZoneId(number % zones)),
        ..day.router_of(number).decisions
    };
    let decisions = options.policy.decisions(&settings, seed(options.seed, 100 + boot, number as u64), truth);
    Ledger::with(decisions, settings, day.router.front.answer_slack_ms)
}

fn membership(day: &DaySettings) -> Membership {
    let roles = day.router.decisions.kinds.iter().map(|kind| kind.role);
    let kinds = day.router.names.kinds.iter().cloned().zip(roles).collect();
    Membership::new(day.router.names.zones.clone(), kinds, day.router.membership)
}

fn admission(day: &DaySettings) -> Admission {
    Admission::new(Bounds::of(&day.router))
}
