//! Decides where each completion is read and written. A caller gives every event of one router to
//! `Control::handle` with the clock and carries out the actions in order (`src/interface.rs`). The design
//! decides the ordinary path: `plan`, `read_at` and `write_at`. Beside it stand (docs/design.md):
//! 1. distrust: a fading score per worker; the share of sessions that pass it by follows the score.
//! 2. turns: routers take turns at a fresh worker by their own number, within a budget by its age.
//! 3. strain: a crowded or busy worker, by our own counts and by what it says, is passed by; where all are,
//!    the completion is rate-limited. A worker that was not heard from of late is asked first.
//! 4. patience: a dispatch that hangs far past its latency target is tried elsewhere.
//! 5. effect guard: what may run again, where, and what may be rate-limited.
//! 6. letting go: a timer before the client timeout answers; what is over is cancelled and released.

use std::{cmp::Ordering, cmp::Reverse, collections::BTreeMap};

use crate::decay::{Decaying, DecayingCounts, MovingMeans, SmoothedCount};
use crate::hash::rank;
use crate::interface::*;

/// Of the design: the share kept at home for which it reads and writes.
const COVERED: f64 = 0.95;
/// Tokens that a completion in a reported queue counts for before any read is known, and the part by which
/// each read moves that to what it found uncovered.
const QUEUED_TOKENS: f64 = 2000.0;
const READ_WEIGHT: f64 = 0.1;
/// Life of an entry in the table, of the design, and how many it holds at most.
const ENTRY_LIFE_MS: f64 = 120_000.0;
const ENTRIES_MAX: usize = 1 << 16;
/// All routers' waiting tokens at a reader that turn completions away, as a share of the reader's memory.
const READER_BOUND: f64 = 1.0 / 16.0;
/// Factor of a reader's bounds: the first for a prompt of which it keeps nothing, the sum for one it keeps.
const EASE_COLD: f64 = 0.5;
const EASE_KEPT: f64 = 1.5;
/// A prompt of over so many times its workload's mean is long.
const LONG: f64 = 1.5;
/// Distrust halves in this share of the time in which a cold worker warms, never grows past the second, the
/// third part of it is left by a good answer, and beyond the fourth, one blame, it is held to be silent.
const DISTRUST_HALVES: f64 = 0.33;
const DISTRUST_MAX: f64 = 2.0;
const FORGIVEN: f64 = 0.8;
const SILENT: f64 = 0.5;
/// Latency targets that a dispatch may take before another worker is tried.
const PATIENCE: f64 = 2.0;
/// Share of the target after which a dispatch is lost at an idle worker; slots in use below which it is idle.
const HUNG: f64 = 0.5;
const IDLE_SHARE: f64 = 0.5;
/// Share of the way to full capacity that time alone is trusted to bring; some workers warm by work.
const WARMING: f64 = 0.5;
/// What a worker said of its load halves in this share of the time in which a cold one falls over, and it is
/// asked anew once less than the second is left of it.
const SAID_HALVES: f64 = 0.5;
const ASK_BELOW: f64 = 0.7;
/// Our own counts are averaged over so many times the time in which a cold worker falls over.
const MEAN_OVER: f64 = 4.0;
/// The bound at a worker that writes, as a share of a reader's: it reads and fetches among its streams.
const WRITER_BOUND: f64 = 0.25;
/// Share of the latency target that a probe may take; probes of a completion for each dispatch it may have.
const ASKING: f64 = 0.04;
const ASKED_MAX: usize = 2;
/// Readers of other cells that a text may go to.
const SPILL: usize = 2;
/// Part of the limit on what is held after which a state without a dispatch is given up.
const HELD: f64 = 0.75;
/// Share of its memory held at which a worker that writes counts as full.
const MEMORY_FULL: f64 = 0.75;
/// Share of the load that topples a cold worker which all routers together may send it.
const FALL_SHARE: f64 = 0.5;
/// Times its share that a router whose turn it is at a fresh worker may come to send there.
const BURST: f64 = 4.0;

/// Read at a reader; fetch the state and write; or both at one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Read,
    Write,
    Whole,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Planned,
    Out,
    Cancelled,
    Streaming,
    Ended,
}

/// Lives for one dispatch.
struct Dispatch {
    worker: WorkerId,
    stage: Stage,
    wanted: bool,
    phase: Phase,
    sent_ms: f64,
    timeout_ms: f64,
    /// Tokens that we count as waiting at the worker meanwhile, and those held to be kept there.
    tokens: f64,
    believed: f64,
    may_have_run: bool,
}

/// Lives until a completion is answered and its last dispatch has ended.
struct Completion {
    facts: Arrival,
    /// As the settings were when it came: later ones may name other workloads.
    workload: WorkloadSettings,
    target_ms: f64,
    /// Factor of all bounds: the root of its workload's value over the mean of the values. Guards against
    /// strain that takes the same share of every workload. Harm: the cheapest is refused most.
    merit: f64,
    /// Its least where writing is: 1 for a long prompt, lest a cheap workload is left with its short ones.
    least: f64,
    dispatches: Vec<Dispatch>,
    avoid: Vec<WorkerId>,
    /// The reader at which a state waits, since when nothing sent is out, whether one is let go; the final
    /// answer, and whether that is given.
    state_at: Option<WorkerId>,
    idle_ms: f64,
    let_go: bool,
    answer: Option<Action>,
    over: bool,
    /// Workers asked before the next dispatch, how many were in all, and until when an answer counts.
    asking: Vec<WorkerId>,
    asked: usize,
    ask_until_ms: f64,
    /// Clock time at which a final answer is due, and for which a timer was last asked.
    wake_ms: f64,
    armed_ms: f64,
}

/// Lives as long as a worker is known.
struct Worker {
    listing: Listing,
    role: Role,
    memory_tokens: f64,
    distrust: Decaying,
    /// Our dispatches of late, those turned away left out.
    sent: Decaying,
    /// Of our dispatches out: tokens not yet read, tokens of those that write or wait to, and their number.
    waiting: SmoothedCount,
    held: SmoothedCount,
    streams: f64,
    /// What it last said of its load, as a share of the bound, whether that was little and nothing waited,
    /// and whether a probe is out.
    said: Decaying,
    idle: bool,
    probed: bool,
    /// What the table held of this worker before then is void.
    forgot_ms: f64,
}

impl Worker {
    /// Counts what a dispatch of ours brings here; what it takes away again is below 0.
    fn count(&mut self, settings: &Settings, now_ms: f64, waiting: f64, streams: f64, prompt_tokens: f64) {
        let over_ms = settings.fall_ms * MEAN_OVER;
        self.waiting.add(waiting, now_ms, over_ms);
        self.held.add(streams * prompt_tokens, now_ms, over_ms);
        self.streams += streams;
    }
}

/// A text that workers keep: what a session has said so far, or a beginning that sessions share.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Text {
    Session(SessionId),
    Prefix(PrefixId),
}

/// Lives as long as the router.
pub struct Control {
    settings: Settings,
    rng: fastrand::Rng,
    now_ms: f64,
    workers: BTreeMap<WorkerId, Worker>,
    completions: BTreeMap<CompletionId, Completion>,
    /// Tokens of a text kept at a worker.
    table: BTreeMap<(Text, WorkerId), Decaying>,
    /// Arrivals of late, in all and by prefix, the usual prompt by workload, and what reads found uncovered.
    arrivals: Decaying,
    prefixes: DecayingCounts<PrefixId>,
    usual: MovingMeans<WorkloadId>,
    read_tokens: f64,
}

/// Routers that may send to a worker that just started at the same time, of so many.
pub fn at_once(s: &Settings, routers: usize) -> usize {
    (s.cold_share * FALL_SHARE * s.fall_multiple / BURST * routers as f64).max(1.0) as usize
}

impl Control {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let (rng, read_tokens) = (fastrand::Rng::with_seed(seed), QUEUED_TOKENS);
        let (now_ms, workers, completions, table, arrivals, prefixes, usual) = Default::default();
        Control { settings, rng, now_ms, workers, completions, table, arrivals, prefixes, usual, read_tokens }
    }

    pub fn handle(&mut self, now_ms: f64, event: &Event, actions: &mut Vec<Action>) {
        self.now_ms = now_ms;
        match event {
            Event::Listed { kind, rows } => self.listed(*kind, rows, actions),
            Event::Arrived(facts) => self.arrived(facts, actions),
            Event::Began { completion, seq, .. } => self.began(*completion, *seq, actions),
            Event::Ended { completion, seq, over, outcome, kept_tokens, .. } => {
                let at = self.completions.get(completion).and_then(|c| c.dispatches.get(seq.0 as usize));
                let at = at.map(|d| d.worker.clone());
                self.ended(*completion, *seq, *over, *outcome, *kept_tokens);
                self.reconcile(*completion, actions);
                at.into_iter().for_each(|worker| self.call_back(&worker, actions));
            }
            Event::Expired { completion } => {
                self.completions.get_mut(completion).into_iter().for_each(|c| c.over = true);
                self.reconcile(*completion, actions);
            }
            Event::TimerFired(Timer::Completion(completion)) => {
                let Some(c) = self.completions.get(completion) else { return };
                let early_ms = self.settings.resolution_ms / 2.0;
                let begun = c.dispatches.iter().any(|d| d.phase == Phase::Streaming);
                if now_ms >= c.wake_ms - early_ms && !c.over && !begun {
                    self.give_up(*completion);
                } else if now_ms >= c.ask_until_ms - early_ms && !c.asking.is_empty() {
                    self.heard_back(*completion, None, false);
                }
                self.reconcile(*completion, actions);
            }
            Event::Reported { worker, load } => self.reported(worker, load),
            Event::Probed { worker, answered, .. } => {
                if let Some(w) = self.workers.get_mut(worker) {
                    w.probed = false;
                    w.said.at_ms = if *answered { now_ms } else { w.said.at_ms };
                }
                let waits = |(id, c): (&CompletionId, &Completion)| c.asking.contains(worker).then_some(*id);
                for id in self.completions.iter().filter_map(waits).collect::<Vec<_>>() {
                    self.heard_back(id, Some(worker), *answered);
                    self.reconcile(id, actions);
                }
                self.judge(worker, if *answered { 0.0 } else { 0.6 }, false);
                self.call_back(worker, actions);
            }
            Event::TimerFired(Timer::Subscribe) => actions.push(Action::Subscribe),
            Event::Recovered(kept) => kept.iter().for_each(|kept| self.recover(kept)),
            Event::Settings(settings) => self.settings = (**settings).clone(),
            _ => {}
        }
    }

    fn listed(&mut self, kind: ListKind, rows: &[Listing], actions: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            let in_ms = self.settings.must_ask_in_ms * (0.1 + 0.1 * self.rng.f64());
            actions.push(Action::Arm { in_ms, timer: Timer::Subscribe });
            return;
        }
        let subscribes = kind == ListKind::Saved && self.settings.must_subscribe;
        actions.extend(subscribes.then_some(Action::Subscribe));
        let missing = self.workers.values_mut().filter(|_| kind != ListKind::Changes);
        missing.for_each(|w| w.listing.readiness = Readiness::Gone);
        for row in rows {
            let Some(kind) = self.settings.kinds.get(row.kind.0) else { continue };
            let worker = self.workers.entry(row.worker.clone()).or_insert_with(|| Worker {
                listing: row.clone(),
                role: kind.role,
                memory_tokens: kind.memory_tokens,
                distrust: Decaying::default(),
                sent: Decaying::default(),
                waiting: SmoothedCount::default(),
                held: SmoothedCount::default(),
                streams: 0.0,
                said: Decaying { value: 0.0, at_ms: f64::NEG_INFINITY },
                idle: false,
                probed: false,
                forgot_ms: 0.0,
            });
            if row.started_ms != worker.listing.started_ms {
                // A new process has kept nothing and carries no blame.
                (worker.forgot_ms, worker.distrust) = (self.now_ms, Decaying::default());
            }
            (worker.listing, worker.role, worker.memory_tokens) =
                (row.clone(), kind.role, kind.memory_tokens);
        }
        self.workers
            .retain(|_, w| w.listing.readiness != Readiness::Gone || w.streams + w.waiting.value > 0.0);
    }

    fn arrived(&mut self, facts: &Arrival, actions: &mut Vec<Action>) {
        let workloads = &self.settings.workloads;
        let Some(workload) = workloads.get(facts.workload.0) else { return };
        let mean = workloads.iter().map(|w| w.value).sum::<f64>() / workloads.len() as f64;
        let share = if mean > 0.0 { workload.value / mean } else { 1.0 };
        let usual_tokens = self.usual.take(facts.workload, facts.prompt_tokens, READ_WEIGHT);
        let target_ms = workload.latency_target_ms + workload.target_per_token_ms * facts.prompt_tokens;
        let completion = Completion {
            facts: facts.clone(),
            workload: workload.clone(),
            target_ms,
            merit: share.sqrt(),
            least: if facts.prompt_tokens > LONG * usual_tokens { 1.0 } else { 0.0 },
            dispatches: Vec::new(),
            avoid: Vec::new(),
            state_at: None,
            idle_ms: 0.0,
            let_go: false,
            asking: Vec::new(),
            asked: 0,
            ask_until_ms: 0.0,
            answer: None,
            over: false,
            // The last moment at which a final answer surely is in time, if every outcome stays away.
            wake_ms: facts.client_timeout_ms - 2.0 * self.settings.resolution_ms,
            armed_ms: 0.0,
        };
        self.completions.insert(facts.completion, completion);
        self.arrivals.count(self.now_ms, ENTRY_LIFE_MS);
        facts.prefix.into_iter().for_each(|it| self.prefixes.count(it, self.now_ms, ENTRY_LIFE_MS));
        self.plan(facts.completion);
        self.reconcile(facts.completion, actions);
    }

    fn reported(&mut self, id: &WorkerId, load: &LoadReport) {
        let Some(w) = self.workers.get(id) else { return };
        let queued = load.queue.map(|queue| queue * self.read_tokens);
        let tokens = load.waiting_kilotokens.map(|thousands| thousands * 1e3).or(queued).unwrap_or(0.0);
        let held = load.memory_share.filter(|_| w.role != Role::Reader).unwrap_or(0.0) * w.memory_tokens;
        let said = Decaying { value: self.strain(w, tokens, held), at_ms: self.now_ms };
        let idle = load.queue == Some(0.0) && load.slots_share.is_some_and(|share| share < IDLE_SHARE);
        self.workers.entry(id.clone()).and_modify(|w| (w.said, w.idle) = (said, idle));
    }

    /// Guards against a worker that has lost what we sent, or never ends it, and serves others: it has just
    /// said that it is idle while a dispatch of ours is out there. Harm: a late report calls back what runs.
    fn call_back(&mut self, id: &WorkerId, actions: &mut Vec<Action>) {
        let now_ms = self.now_ms;
        let idle = |w: &Worker| w.idle && w.said.at_ms >= now_ms - self.settings.resolution_ms;
        let Some(true) = self.workers.get(id).map(idle) else { return };
        let mut hung = Vec::new();
        for (completion, c) in self.completions.iter_mut().filter(|(_, c)| !c.over && c.answer.is_none()) {
            let late_ms = now_ms - HUNG * c.target_ms;
            let lost = |d: &&mut Dispatch| d.worker == *id && d.phase == Phase::Out && d.sent_ms < late_ms;
            if let Some(d) = c.dispatches.iter_mut().find(lost) {
                d.wanted = false;
                c.avoid.push(id.clone());
                hung.push(*completion);
            }
        }
        for completion in hung {
            self.judge(id, 0.4, false);
            self.reconcile(completion, actions);
        }
    }

    /// Tokens that wait there to be read or fetched, or those held where it writes, as a share of what makes
    /// it strained.
    fn strain(&self, w: &Worker, waiting: f64, held: f64) -> f64 {
        (waiting / self.bound(w)).max(held / (w.memory_tokens * MEMORY_FULL).max(1.0))
    }

    /// Tokens waiting to be read or fetched beyond which a worker is strained.
    fn bound(&self, w: &Worker) -> f64 {
        let part = if w.role == Role::Reader { 1.0 } else { WRITER_BOUND };
        (w.memory_tokens * READER_BOUND * part).max(1.0)
    }

    /// Who gave no answer in time is passed by; with the last one the decision goes on.
    fn heard_back(&mut self, id: CompletionId, worker: Option<&WorkerId>, answered: bool) {
        let Some(c) = self.completions.get_mut(&id) else { return };
        let (done, left): (Vec<_>, Vec<_>) =
            c.asking.drain(..).partition(|asked| worker.is_none_or(|worker| worker == asked));
        c.asking = left;
        c.avoid.extend(done.into_iter().filter(|_| !answered));
        if c.asking.is_empty() && !c.over && c.answer.is_none() {
            self.plan(id);
        }
    }

    fn began(&mut self, id: CompletionId, seq: Seq, actions: &mut Vec<Action>) {
        let Some(c) = self.completions.get_mut(&id) else { return };
        let Some(d) = c.dispatches.get_mut(seq.0 as usize) else { return };
        d.phase = Phase::Streaming;
        c.state_at = None;
        let (worker, facts) = (d.worker.clone(), c.facts.clone());
        let tokens = std::mem::take(&mut d.tokens);
        if let Some(w) = self.workers.get_mut(&worker) {
            w.count(&self.settings, self.now_ms, -tokens, 0.0, 0.0);
            if w.role == Role::Mixed {
                self.remember(&facts, &worker);
            }
        }
        self.judge(&worker, 0.0, true);
        self.reconcile(id, actions);
    }

    fn ended(&mut self, id: CompletionId, seq: Seq, over: bool, outcome: Outcome, kept: f64) {
        let Some(c) = self.completions.get_mut(&id) else { return };
        let Some(d) = c.dispatches.get_mut(seq.0 as usize) else { return };
        use Outcome::*;
        let (began, wanted) = (d.phase == Phase::Streaming, d.wanted);
        let (worker, stage, believed, sent_ms) = (d.worker.clone(), d.stage, d.believed, d.sent_ms);
        (d.phase, d.wanted) = (Phase::Ended, false);
        d.may_have_run &= !matches!(outcome, Full | NoState | ConnectFailed | Moot | Read);
        let tokens = std::mem::take(&mut d.tokens);
        c.over |= over;
        if let Some(w) = self.workers.get_mut(&worker) {
            let streams = f64::from(stage != Stage::Read);
            w.count(&self.settings, self.now_ms, -tokens, -streams, c.facts.prompt_tokens);
            // What was turned away is no sign of what a worker carries.
            w.sent.value = (w.sent.value - f64::from(outcome == Full)).max(0.0);
        }
        // What was never sent leaves a state's time running. Guards against writers that can't be reached by
        // its end, and that call gone what they can't reach. Harm: a prompt read anew.
        let unsent = outcome == ConnectFailed && self.now_ms >= c.idle_ms + HELD * self.settings.pin_limit_ms;
        c.let_go |= c.state_at.is_some() && (unsent || outcome == NoState);
        c.idle_ms = if outcome == ConnectFailed { c.idle_ms } else { self.now_ms };
        c.state_at = match outcome {
            Read => Some(worker.clone()),
            Finished | NoState => None,
            _ => c.state_at.take().filter(|_| !unsent),
        };
        if matches!(outcome, Full | Error | Broken | ConnectFailed | TimedOut) {
            c.avoid.push(worker.clone());
        }
        let blame = match outcome {
            ConnectFailed | Broken => 0.6,
            // A dispatch cut short by the client's own timeout says little of the worker.
            TimedOut if wanted && !c.over && self.now_ms < c.wake_ms => 0.4,
            Error => 0.3,
            _ => 0.0,
        };
        let owed = !c.over && c.answer.is_none();
        // A read that ran out of patience is late wherever it is done anew, and takes what others still need.
        let late = outcome == TimedOut && stage == Stage::Read;
        let lost = began || late || outcome == Moot || self.now_ms >= c.wake_ms;
        let none_out = c.dispatches.iter().all(|d| d.phase == Phase::Ended);
        let prompt_tokens = c.facts.prompt_tokens;
        let facts = Some(c.facts.clone()).filter(|_| outcome == Read);
        facts.into_iter().for_each(|facts| self.remember(&facts, &worker));
        // Guards against a flush, whatever emptied the worker: what else we hold as kept there is void.
        // Harm: a single text pushed out of a full memory voids the others too.
        let read = outcome == Read || outcome == Finished && stage == Stage::Whole;
        self.read_tokens += if read { READ_WEIGHT * (prompt_tokens - kept - self.read_tokens) } else { 0.0 };
        let void = self.workers.get_mut(&worker).filter(|_| read && kept < believed / 2.0);
        void.into_iter().for_each(|w| w.forgot_ms = w.forgot_ms.max(sent_ms));
        self.judge(&worker, blame, matches!(outcome, Read | Finished));
        if owed && lost {
            self.give_up(id);
        } else if owed && none_out {
            self.plan(id);
        }
    }

    /// What should be out next for a completion that has nothing out.
    fn plan(&mut self, id: CompletionId) {
        let dark = self.completions.get(&id).filter(|c| !c.avoid.is_empty()).map_or(vec![], |c| self.dark(c));
        self.completions.entry(id).and_modify(|c| c.avoid.extend(dark));
        let Some(c) = self.completions.get(&id) else { return };
        let next = match c.state_at {
            Some(_) => self.write_at(c).map(|worker| (worker, Stage::Write)),
            None => self.read_at(c),
        };
        let tries_left = c.dispatches.len() < self.settings.max_dispatches;
        let Some((worker, stage)) = next.filter(|_| tries_left) else { return self.give_up(id) };
        let asking = self.to_ask(c, &worker, stage);
        if !asking.is_empty() {
            if c.asked >= ASKED_MAX * self.settings.max_dispatches {
                return self.give_up(id);
            }
            let each_ms = self.settings.pin_limit_ms / (2.0 * self.settings.max_dispatches.max(1) as f64);
            let until_ms = self.now_ms + each_ms.min(ASKING * c.target_ms);
            let Some(c) = self.completions.get_mut(&id) else { return };
            (c.ask_until_ms, c.asked, c.asking) = (until_ms, c.asked + asking.len(), asking);
            return;
        }
        let believed = self.believed(c, &worker);
        // Guards against workers that went silent. Harm: tries in a shared jam.
        let patience =
            if c.dispatches.len() + 2 < self.settings.max_dispatches { PATIENCE } else { f64::INFINITY };
        let dispatch = Dispatch {
            stage,
            wanted: true,
            phase: Phase::Planned,
            sent_ms: self.now_ms,
            timeout_ms: (patience * c.target_ms).min(c.facts.client_timeout_ms - self.now_ms),
            tokens: c.facts.prompt_tokens - if stage == Stage::Write { 0.0 } else { believed },
            believed,
            may_have_run: stage != Stage::Read,
            worker,
        };
        self.completions.entry(id).and_modify(|c| c.dispatches.push(dispatch));
    }

    /// Zones that a completion passes by while another is left: two workers there that it passed by owe an
    /// answer or are to blame, and nobody of it was heard of late. Guards against asking one by one in a zone
    /// that is cut off until no try is left. Harm: two that hang together send it out of its zone.
    fn dark(&self, c: &Completion) -> Vec<WorkerId> {
        let owes = |w: &Worker| w.probed || self.distrust(w) > SILENT;
        let mut zones = BTreeMap::<ZoneId, (usize, bool)>::new();
        for (id, w) in &self.workers {
            let (silent, heard) = zones.entry(w.listing.zone).or_default();
            *silent += usize::from(owes(w) && c.avoid.contains(id));
            *heard |= self.heard(w) >= ASK_BELOW;
        }
        let dark = |w: &Worker| matches!(zones[&w.listing.zone], (2.., false));
        let left = self.workers.values().any(|w| !dark(w) && w.listing.readiness == Readiness::Ready);
        let dark = self.workers.iter().filter(|(id, w)| left && dark(w) && !c.avoid.contains(id));
        dark.map(|(id, _)| id.clone()).collect()
    }

    /// Those named that were not heard from of late.
    fn to_ask(&self, c: &Completion, worker: &WorkerId, stage: Stage) -> Vec<WorkerId> {
        if !self.settings.probes_allowed || stage == Stage::Write && c.asked > self.settings.max_dispatches {
            return Vec::new();
        }
        let writer = (stage == Stage::Read).then(|| self.writer_near(c, worker, false)).flatten();
        let unsure = |id: &WorkerId| self.workers.get(id).is_some_and(|w| self.heard(w) < ASK_BELOW);
        [Some(worker.clone()), writer].into_iter().flatten().filter(unsure).collect()
    }

    fn heard(&self, w: &Worker) -> f64 {
        Decaying { value: 1.0, at_ms: w.said.at_ms }.at(self.now_ms, self.settings.fall_ms * SAID_HALVES)
    }

    /// Home: a mixed server by session hash; the next in hash order stands in for one that can't be used. The
    /// exception: a session that routers agreed to move has it in that zone while the zone has a usable one.
    fn home(&self, c: &Completion) -> Option<WorkerId> {
        let off = |id: &WorkerId| c.facts.near.is_some_and(|near| near != self.workers[id].listing.zone);
        let few = self.homes_of_beginning(c);
        let homes = self.by_hash(c, c.facts.session.0, |w| w.role == Role::Mixed).into_iter();
        homes.min_by_key(|id| (off(id), !few.contains(id)))
    }

    /// Sessions that begin alike share homes: the first by hash of the beginning, as many as its part of the
    /// arrivals fills. Guards against texts read anew everywhere, where none stays kept. Harm: uneven homes.
    fn homes_of_beginning(&self, c: &Completion) -> Vec<WorkerId> {
        let Some(prefix) = c.facts.prefix else { return Vec::new() };
        let mut homes = self.by_hash(c, prefix.0, |w| w.role == Role::Mixed);
        let seen = self.prefixes.at(&prefix, self.now_ms, ENTRY_LIFE_MS);
        // This arrival is left out of both, so that a text seen once is not held to be a large part of few.
        let others = (self.arrivals.at(self.now_ms, ENTRY_LIFE_MS) - 1.0).max(1.0);
        let part = ((seen - 1.0) / others).clamp(0.0, 1.0);
        homes.truncate((part * homes.len() as f64).ceil().max(1.0) as usize);
        homes
    }

    /// Read at home what it keeps for the most part, or what is short; else at a reader of home's cell, and
    /// where that cell has none, at any. The exception: a home that is strained counts as full, and a cell in
    /// which nothing writes unstrained hands the whole path to the next cell by session hash.
    fn read_at(&self, c: &Completion) -> Option<(WorkerId, Stage)> {
        let home = self.home(c);
        let home_easy = home.clone().filter(|home| !c.avoid.contains(home) && !self.strained(c, home, false));
        let uncovered = c.facts.prompt_tokens - home.as_ref().map_or(0.0, |home| self.believed(c, home));
        // What alone would not strain home is short there: figures of one kind of server do not fit another.
        let own_bound = home.as_ref().map_or(0.0, |home| self.bound(&self.workers[home]));
        let short = uncovered < (1.0 - COVERED) * c.facts.prompt_tokens || uncovered < own_bound;
        if let Some(home) = home_easy.clone().filter(|_| short) {
            return Some((home, Stage::Whole));
        }
        let key = c.facts.prefix.map_or(c.facts.session.0, |prefix| prefix.0);
        let mut all = self.by_hash(c, key, |w| w.role == Role::Reader);
        all.retain(|reader| !c.avoid.contains(reader));
        // Guards against the relay loop: a turn that home has not kept goes first to the reader that read the
        // session's last one, so that it is not read from its beginning. Harm: hot sessions stay together.
        let own = |reader: &WorkerId| self.believed(c, reader) > c.facts.prefix_tokens;
        let home_cell = home.as_ref().and_then(|home| self.cell(home));
        let zone = |id: &WorkerId| self.workers[id].listing.zone.0;
        let far = |id: &WorkerId| self.settings.far.get(zone(home.as_ref()?))?.get(zone(id));
        // Guards against few readers beside many homes, unseen by who sent under one dispatch of late: what
        // is beyond their even part goes elsewhere, by session. Harm: the history is kept there.
        let count = |role, cell: Option<CellId>| {
            let of = |w: &&Worker| w.role == role && cell.is_none_or(|cell| cell == w.listing.cell);
            let ready = self.workers.values().filter(|w| w.listing.readiness == Readiness::Ready);
            ready.filter(of).count() as f64
        };
        let homes = || count(Role::Mixed, home_cell) * count(Role::Reader, None);
        let part = || count(Role::Reader, home_cell) * count(Role::Mixed, None) / homes().max(1.0);
        let drawn = home.as_ref().map_or(0.0, |id| rank(id, !c.facts.session.0) as f64 / u64::MAX as f64);
        let sent: f64 = self.workers.values().map(|w| w.sent.at(self.now_ms, self.settings.fall_ms)).sum();
        let away = sent < 1.0 && drawn > part();
        all.sort_by_key(|reader| (away == (self.cell(reader) == home_cell), far(reader), !own(reader)));
        // Guards against thrashing: in a jam each text would spill everywhere, pushing out what readers keep.
        // Harm: a completion can be refused while a reader elsewhere is idle.
        let near = all.iter().filter(|reader| self.cell(reader) == home_cell).count();
        all.truncate(near + SPILL);
        // What finds little kept costs the readers most and is passed on or refused first, lest shared texts
        // are crowded out. Harm: under strain a text that no reader keeps waits longest.
        let share = |reader: &WorkerId| self.believed(c, reader) / c.facts.prompt_tokens.max(1.0);
        let ease = |reader: &WorkerId| c.merit * (EASE_COLD + EASE_KEPT * share(reader));
        let free = |reader: &&WorkerId| !self.busy(c, &self.workers[*reader], ease(reader));
        let free: Vec<_> = all.iter().filter(free).collect();
        let writes = |reader: &&&WorkerId, fits| self.writer_near(c, reader, fits).is_some();
        let found = free.iter().find(|reader| writes(reader, false));
        let found = found.or_else(|| free.iter().find(|reader| writes(reader, true)));
        if let Some(reader) = found {
            return Some(((*reader).clone(), Stage::Read));
        }
        // Every reader exceeds the bound: home reads, unless that would only be late too.
        if home_easy.is_some() || !all.is_empty() {
            return home_easy.map(|home| (home, Stage::Whole));
        }
        // No reader, no home: any worker that reads by itself.
        let reads = |role| role == Role::Mixed || role == Role::Writer && self.settings.writers_read;
        let alone = self.fewest(c, |w| reads(w.role)).filter(|worker| !self.strained(c, worker, true));
        alone.zip(Some(Stage::Whole))
    }

    /// Write at home; if it answered full or holds more of our streams than the median, at the pure writer
    /// of its cell with fewest of our streams. A state read in another cell is written there.
    fn write_at(&self, c: &Completion) -> Option<WorkerId> {
        let at = c.state_at.as_ref()?;
        self.writer_near(c, at, false)
            .or_else(|| self.writer_near(c, at, true))
            .or_else(|| self.fewest(c, |w| w.role != Role::Reader && Some(w.listing.cell) == self.cell(at)))
            .or_else(|| self.fewest(c, |w| w.role != Role::Reader))
    }

    /// The writer for a state at a reader: of home's cell if that has no reader, else of the reader's cell.
    fn writer_near(&self, c: &Completion, at: &WorkerId, fits: bool) -> Option<WorkerId> {
        let home = self.home(c);
        let home_cell = home.as_ref().and_then(|home| self.cell(home));
        let reads = |w: &Worker| w.role == Role::Reader && Some(w.listing.cell) == home_cell;
        let has_reader = self.workers.values().any(reads);
        // Last: guards against refusing what home's cell could write, read elsewhere. Harm: far moves.
        let cells = [home_cell.filter(|_| !has_reader), self.cell(at), home_cell];
        let home = home.filter(|home| !c.avoid.contains(home) && !self.strained(c, home, false));
        cells.into_iter().flatten().find_map(|cell| {
            let home = home.as_ref().filter(|home| self.cell(home) == Some(cell));
            let first = home.filter(|home| self.workers[*home].streams <= self.median_streams()).cloned();
            let easy = |worker: &WorkerId| !self.strained(c, worker, fits);
            let of = |role| self.fewest(c, |w| w.role == role && w.listing.cell == cell).filter(easy);
            first.or_else(|| of(Role::Writer)).or_else(|| home.cloned()).or_else(|| of(Role::Mixed))
        })
    }

    fn fewest(&self, c: &Completion, of: impl Fn(&Worker) -> bool) -> Option<WorkerId> {
        let mut found = self.by_hash(c, c.facts.session.0, of);
        found.retain(|id| !c.avoid.contains(id));
        let order = |id: &WorkerId| (self.strained(c, id, true), self.workers[id].streams);
        found.into_iter().min_by(|a, b| order(a).partial_cmp(&order(b)).unwrap_or(Ordering::Equal))
    }

    fn cell(&self, id: &WorkerId) -> Option<CellId> {
        self.workers.get(id).map(|w| w.listing.cell)
    }

    /// Guards against a writer that jams, whatever the cause: it holds more of our streams than the median
    /// and one, or is busy. Harm: histories spread. Crowded only compares: it is no reason to refuse.
    fn strained(&self, c: &Completion, id: &WorkerId, crowded_fits: bool) -> bool {
        let Some(w) = self.workers.get(id) else { return true };
        let crowded = w.streams > self.median_streams() + 1.0;
        crowded && !crowded_fits || self.busy(c, w, c.merit.max(c.least))
    }

    /// By what it says and by our counts: ours now, and the mean of ours for each other router, since among
    /// many the count of one moment says nothing of theirs. Guards against strain that no report tells. Harm:
    /// late, and noisy where we send little. A fetch of ours as long as its own excuses a pure writer.
    fn busy(&self, c: &Completion, w: &Worker, ease: f64) -> bool {
        let over_ms = self.settings.fall_ms * MEAN_OVER;
        let others = self.settings.routers.max(1) as f64 - 1.0;
        let all = |ours: &SmoothedCount| ours.value + others * ours.mean(self.now_ms, over_ms);
        let excused = if w.role == Role::Writer { c.facts.prompt_tokens } else { 0.0 };
        let waiting = all(&w.waiting) - w.waiting.value.min(excused);
        let heard = self.heard(w);
        let guess = (1.0 - heard / 2.0) * self.strain(w, waiting, all(&w.held));
        (heard * w.said.value).max(guess) > ease * self.fresh_share(w).unwrap_or(1.0)
    }

    /// Of those that write and are not fresh.
    fn median_streams(&self) -> f64 {
        let ready = |w: &&Worker| w.role != Role::Reader && w.listing.readiness == Readiness::Ready;
        let ready = self.workers.values().filter(ready).filter(|w| self.fresh_share(w).is_none());
        let mut streams: Vec<_> = ready.map(|w| w.streams).collect();
        streams.sort_by(f64::total_cmp);
        streams.get(streams.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
    }

    /// Tokens of the prompt that the table holds as kept at a worker.
    fn believed(&self, c: &Completion, worker: &WorkerId) -> f64 {
        let Some(w) = self.workers.get(worker) else { return 0.0 };
        let oldest_ms = w.forgot_ms.max(self.now_ms - ENTRY_LIFE_MS);
        let entry = |text| self.table.get(&(text, worker.clone())).filter(|kept| kept.at_ms >= oldest_ms);
        let session = entry(Text::Session(c.facts.session)).map_or(0.0, |kept| kept.value);
        let prefix = c.facts.prefix.filter(|_| w.role == Role::Reader);
        let prefix = prefix.and_then(|prefix| entry(Text::Prefix(prefix))).map_or(0.0, |kept| kept.value);
        session.max(prefix).min(c.facts.prompt_tokens)
    }

    /// An entry of an earlier run; it never counts as newer than what this one saw of the worker.
    fn recover(&mut self, kept: &Kept) {
        let text = kept.session.map(Text::Session).or(kept.prefix.map(Text::Prefix));
        let Some((text, w)) = text.zip(self.workers.get(&kept.worker)) else { return };
        let at_ms = (self.now_ms - kept.age_ms).max(w.forgot_ms);
        self.table.entry((text, kept.worker.clone())).or_insert(Decaying { value: kept.tokens, at_ms });
    }

    fn remember(&mut self, facts: &Arrival, worker: &WorkerId) {
        let at_ms = self.now_ms;
        if self.table.len() >= ENTRIES_MAX {
            self.table.retain(|_, kept| kept.at_ms >= at_ms - ENTRY_LIFE_MS / 4.0);
        }
        let session = (Text::Session(facts.session), facts.prompt_tokens);
        let prefix = facts.prefix.map(|prefix| (Text::Prefix(prefix), facts.prefix_tokens));
        for (text, tokens) in [Some(session), prefix].into_iter().flatten() {
            self.table.insert((text, worker.clone()), Decaying { value: tokens, at_ms });
        }
    }

    /// Usable workers in hash order. Where distrust leaves none, the distrusted ones.
    fn by_hash(&self, c: &Completion, key: u64, of: impl Fn(&Worker) -> bool) -> Vec<WorkerId> {
        let ready = |w: &Worker| w.listing.readiness == Readiness::Ready;
        let open = |w: &Worker| ready(w) && self.our_turn(w) && self.may_run_again(c, w);
        let usable = |trusted: bool| {
            let fits = |id: &WorkerId, w: &Worker| !trusted || self.trusted(c, id, w);
            let found = self.workers.iter().filter(|(id, w)| of(w) && open(w) && fits(id, w));
            let mut found: Vec<_> = found.map(|(id, w)| (Reverse(rank(id, key)), id.clone(), w)).collect();
            found.sort_by(|a, b| (&a.0, &a.1).cmp(&(&b.0, &b.1)));
            // Weighted rendezvous: each gets its weight's share of sessions. Equal weights change nothing.
            let weight = |w: &Worker| w.listing.weight.max(f64::MIN_POSITIVE);
            let even = found.windows(2).all(|pair| weight(pair[0].2) == weight(pair[1].2));
            if self.settings.weights_act && !even {
                let pull = |(rank, _, w): &(Reverse<u64>, WorkerId, &Worker)| {
                    ((rank.0 as f64 + 0.5) / u64::MAX as f64).min(1.0 - f64::EPSILON).ln() / weight(w)
                };
                found.sort_by(|a, b| pull(b).total_cmp(&pull(a)));
            }
            found.into_iter().map(|(_, id, _)| id).collect::<Vec<_>>()
        };
        Some(usable(true)).filter(|found| !found.is_empty()).unwrap_or_else(|| usable(false))
    }

    /// Turns at a fresh worker: routers, by their number, send together what it can do by its age, judged by
    /// what its kind's others get, or all where those are fresh too; at once as many as can't send more.
    /// Guards against pushing over what just started. Harm: stand-ins spread its sessions.
    fn our_turn(&self, w: &Worker) -> bool {
        let s = &self.settings;
        let Some(share) = self.fresh_share(w) else { return true };
        let routers = s.routers.max(1);
        let turn = (self.now_ms / s.fall_ms.max(1.0)) as usize;
        let warm = |o: &&Worker| self.fresh_share(o).is_none() && o.listing.readiness == Readiness::Ready;
        let of = |same: bool| {
            let fits = |o: &&Worker| !same || o.listing.kind == w.listing.kind;
            let all = self.workers.values().filter(warm).filter(fits);
            all.map(|o| o.sent.at(self.now_ms, s.fall_ms)).collect::<Vec<_>>()
        };
        let sent = Some(of(true)).filter(|sent| !sent.is_empty()).unwrap_or_else(|| of(false));
        let mean = sent.iter().sum::<f64>() / sent.len().max(1) as f64;
        let allowed = share * FALL_SHARE * s.fall_multiple;
        let budget = mean * allowed * routers as f64;
        // Where routers agreed who holds which part, no clock decides: those with none send nothing.
        if let Some(part) = s.fresh_part {
            return part > 0.0 && w.sent.at(self.now_ms, s.fall_ms) + 1.0 <= (budget * part).max(1.0);
        }
        // Who sends under one dispatch in a turn can't send its share four times over; but a text that
        // many share, or what others turn away, can bring one more than others, unseen where nobody is asked.
        // What few add up to by chance, three deviations, has to stay under what topples it.
        let crowd = if s.probes_allowed { (BURST * mean).clamp(1.0, BURST) } else { BURST };
        let calm = ((9.0 + 4.0 * budget / FALL_SHARE).sqrt() - 3.0) / 2.0;
        let at_once = (budget.min(calm * calm) / (mean * crowd).max(1e-9)).clamp(1.0, routers as f64).floor();
        (turn * at_once as usize + s.own_number) % routers < at_once as usize
            && w.sent.at(self.now_ms, s.fall_ms) + 1.0 <= (budget / at_once).max(1.0)
    }

    /// The part of its capacity that a worker surely has when it started not long ago.
    fn fresh_share(&self, w: &Worker) -> Option<f64> {
        let s = &self.settings;
        let age = (self.now_ms - w.listing.started_ms?) / s.cold_ms.max(1.0);
        (age < 1.0).then(|| s.cold_share + (1.0 - s.cold_share) * age.max(0.0) * WARMING)
    }

    /// The share of sessions that passes a worker by is its distrust.
    fn trusted(&self, c: &Completion, id: &WorkerId, w: &Worker) -> bool {
        self.distrust(w) <= (rank(id, !c.facts.session.0) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn distrust(&self, w: &Worker) -> f64 {
        w.distrust.at(self.now_ms, self.settings.cold_ms * DISTRUST_HALVES)
    }

    /// Blame adds to distrust; a good answer takes of it.
    fn judge(&mut self, id: &WorkerId, blame: f64, good: bool) {
        let value = self.workers.get(id).map_or(0.0, |w| (self.distrust(w) + blame).min(DISTRUST_MAX));
        let distrust = Decaying { value: value * if good { FORGIVEN } else { 1.0 }, at_ms: self.now_ms };
        self.workers.entry(id.clone()).and_modify(|w| w.distrust = distrust);
    }

    /// The rule on effects: it binds each further dispatch, a read too, to where an earlier one may have run.
    fn may_run_again(&self, c: &Completion, w: &Worker) -> bool {
        let workload = &c.workload;
        match workload.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => c.dispatches.iter().all(|d| !d.may_have_run),
            Effect::Tokened => c.dispatches.iter().filter(|d| d.may_have_run).all(|d| {
                let there = self.workers.get(&d.worker).map(|o| &o.listing);
                let same = match workload.group {
                    Group::All => true,
                    Group::Zone => there.is_some_and(|o| o.zone == w.listing.zone),
                    Group::Cell => there.is_some_and(|o| o.cell == w.listing.cell),
                };
                same && self.now_ms - d.sent_ms < workload.window_ms
            }),
        }
    }

    fn give_up(&mut self, id: CompletionId) {
        let Some(c) = self.completions.get(&id) else { return };
        let workload = &c.workload;
        let harmless = |d: &Dispatch| !d.may_have_run && matches!(d.phase, Phase::Planned | Phase::Ended);
        let harmless = workload.effect == Effect::Idempotent
            || workload.effect == Effect::Tokened && workload.group == Group::All
            || c.dispatches.iter().all(harmless);
        let limit_ms = Some(self.settings.max_retry_after_ms).filter(|_| self.settings.retry_after);
        let retry_after_ms = workload.latency_target_ms.min(limit_ms.unwrap_or(0.0));
        let Some(c) = self.completions.get_mut(&id) else { return };
        let come_back = Action::RateLimit { completion: id, retry_after_ms };
        c.answer = Some(if harmless { come_back } else { Action::Abort { completion: id } });
        c.dispatches.iter_mut().for_each(|d| d.wanted = false);
    }

    /// Emits what turns the present state of a completion into the wanted one.
    fn reconcile(&mut self, id: CompletionId, actions: &mut Vec<Action>) {
        let Some(c) = self.completions.get_mut(&id) else { return };
        if let Some(answer) = c.answer.clone().filter(|_| !c.over) {
            actions.push(answer);
            c.over = true;
        }
        actions.extend(std::mem::take(&mut c.let_go).then_some(Action::Release { completion: id }));
        for (seq, d) in c.dispatches.iter_mut().enumerate() {
            match d.phase {
                Phase::Planned if d.wanted && !c.over => {
                    let (worker, timeout_ms) = (d.worker.clone(), d.timeout_ms);
                    actions.push(Action::Dispatch { completion: id, worker, timeout_ms });
                    d.phase = Phase::Out;
                    if let Some(w) = self.workers.get_mut(&d.worker) {
                        w.sent.count(self.now_ms, self.settings.fall_ms);
                        let (streams, prompt) = (f64::from(d.stage != Stage::Read), c.facts.prompt_tokens);
                        w.count(&self.settings, self.now_ms, d.tokens, streams, prompt);
                    }
                }
                Phase::Planned => d.phase = Phase::Ended,
                Phase::Out if (!d.wanted || c.over) && self.settings.cancel_allowed => {
                    actions.push(Action::Cancel { completion: id, seq: Seq(seq as u32) });
                    d.phase = Phase::Cancelled;
                }
                _ => {}
            }
        }
        let out = c.dispatches.iter().any(|d| d.phase != Phase::Ended);
        // Again with the last outcome: a dispatch that waited for the state may have kept it from going.
        if c.state_at.is_some() && c.over {
            actions.push(Action::Release { completion: id });
        }
        for id in c.asking.iter().filter(|_| !c.over) {
            if let Some(w) = self.workers.get_mut(id).filter(|w| !w.probed) {
                actions.push(Action::Probe { worker: id.clone() });
                w.probed = true;
            }
        }
        let wake_ms = if c.asking.is_empty() { c.wake_ms } else { c.wake_ms.min(c.ask_until_ms) };
        if c.over && !out {
            self.completions.remove(&id);
        } else if !c.over && c.armed_ms != wake_ms {
            c.armed_ms = wake_ms;
            actions
                .push(Action::Arm { in_ms: (wake_ms - self.now_ms).max(0.0), timer: Timer::Completion(id) });
        }
    }
}
