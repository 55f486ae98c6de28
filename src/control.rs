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

mod kept;
mod load;
mod placement;
mod ranking;
mod roster;
mod silence;
mod slow_start;

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use crate::decay::{Decaying, DecayingCounts, MovingMeans, SmoothedCount};
use crate::hash::NameHash;
use crate::interface::*;

use roster::Roster;

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
    name_hash: NameHash,
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
    roster: Roster,
    completions: BTreeMap<CompletionId, Completion>,
    /// Tokens of a text kept at a worker.
    table: BTreeMap<(Text, WorkerId), Decaying>,
    /// Arrivals of late, in all and by prefix, the usual prompt by workload, and what reads found uncovered.
    arrivals: Decaying,
    prefixes: DecayingCounts<PrefixId>,
    usual: MovingMeans<WorkloadId>,
    read_tokens: f64,
    /// Figures over all workers, each worked out at most once a plan.
    of_plan: PlanFigures,
}

/// Lives for one plan, in which neither time nor any worker changes.
#[derive(Default)]
struct PlanFigures {
    median_streams: Cell<Option<f64>>,
    /// What warm workers were sent of late in the mean, by kind.
    warm_means: RefCell<BTreeMap<KindId, f64>>,
}

/// Routers that may send to a worker that just started at the same time, of so many.
pub fn slow_start_router_limit(s: &Settings, routers: usize) -> usize {
    (s.cold_share * FALL_SHARE * s.fall_multiple / BURST * routers as f64).max(1.0) as usize
}

impl Control {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let (rng, read_tokens) = (fastrand::Rng::with_seed(seed), QUEUED_TOKENS);
        let (now_ms, workers, roster, completions, table, arrivals, prefixes, usual, of_plan) =
            Default::default();
        Control {
            settings,
            rng,
            now_ms,
            workers,
            roster,
            completions,
            table,
            arrivals,
            prefixes,
            usual,
            read_tokens,
            of_plan,
        }
    }

    pub fn handle(&mut self, now_ms: f64, event: &Event, actions: &mut Vec<Action>) {
        self.now_ms = now_ms;
        match event {
            Event::Listed { kind, rows } => self.listed(*kind, rows, actions),
            Event::Arrived(facts) => self.arrived(facts, actions),
            Event::Began { completion, seq, .. } => self.began(*completion, *seq, actions),
            Event::Ended { completion, seq, done, outcome, cached_tokens, .. } => {
                let at = self.completions.get(completion).and_then(|c| c.dispatches.get(seq.0 as usize));
                let at = at.map(|d| d.worker.clone());
                self.ended(*completion, *seq, *done, *outcome, *cached_tokens);
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
                name_hash: NameHash::of(&row.worker),
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
        self.roster = Roster::of(&self.workers);
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
        d.may_have_run &= !matches!(outcome, Full | NoState | ConnectFailed | Unsent | Moot | Read);
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
        let never_sent = matches!(outcome, ConnectFailed | Unsent);
        let unsent = never_sent && self.now_ms >= c.idle_ms + HELD * self.settings.pin_limit_ms;
        c.let_go |= c.state_at.is_some() && (unsent || outcome == NoState);
        c.idle_ms = if never_sent { c.idle_ms } else { self.now_ms };
        c.state_at = match outcome {
            Read => Some(worker.clone()),
            Finished | NoState => None,
            _ => c.state_at.take().filter(|_| !unsent),
        };
        if matches!(outcome, Full | Error | Broken | ConnectFailed | Unsent | TimedOut) {
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
        self.of_plan = PlanFigures::default();
        let Some(c) = self.completions.get(&id) else { return };
        let home = self.home(c);
        let next = match c.state_at {
            Some(_) => self.write_at(c, &home).map(|worker| (worker, Stage::Write)),
            None => self.read_at(c, &home),
        };
        let tries_left = c.dispatches.len() < self.settings.max_dispatches;
        let Some((worker, stage)) = next.filter(|_| tries_left) else { return self.give_up(id) };
        let asking = self.to_ask(c, &home, &worker, stage);
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
