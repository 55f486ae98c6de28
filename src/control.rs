//! Decides where each completion is read and written. The caller passes every event of one router to
//! `Control::handle` together with the clock and executes the returned actions in order (`src/interface.rs`).
//! The ordinary path is `plan`, `read_at` and `write_at`. It is guarded by (docs/design.md):
//! 1. Failure score: a decaying score per worker, which is also the share of sessions that avoid the worker.
//! 2. Slow start: routers take turns, by their index, at a worker that just started, within a budget that
//!    follows its age.
//! 3. Load: a crowded or busy worker, by our own counts and by its reports, is skipped. Where all are, the
//!    completion is rate-limited. A worker without a recent report is probed first.
//! 4. Attempt timeout: a dispatch that exceeds its latency target by far is retried at another worker.
//! 5. Effects: what may run again and where, and what may be rate-limited.
//! 6. Release: a timer before the client timeout sends the final answer; the dispatches of a finished
//!    completion are cancelled and its state is released.

mod cache;
mod load;
mod placement;
mod probing;
mod ranking;
mod roster;
mod slow_start;

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use crate::decay::{Decaying, DecayingCounts, MovingMeans, SmoothedCount};
use crate::hash::NameHash;
use crate::interface::*;

use roster::Roster;

/// Home reads and writes a prompt of which it has at least this share cached. Fixed by the design.
const HOME_CACHED_SHARE: f64 = 0.95;
/// Tokens assumed per queued completion of a load report until the first read reports its uncached tokens.
const INITIAL_UNCACHED_TOKENS: f64 = 2000.0;
/// Weight of a new sample in the moving means of uncached tokens and of prompt lengths.
const MEAN_WEIGHT: f64 = 0.1;
/// Lifetime of an entry of the expected-cache table, fixed by the design.
const ENTRY_LIFE_MS: f64 = 120_000.0;
const ENTRIES_MAX: usize = 1 << 16;
/// Limit on the tokens that wait at a reader, from all routers together, as a share of the reader's memory.
const READER_LIMIT_SHARE: f64 = 1.0 / 16.0;
/// Factor of a reader's limit for a prompt of which it has nothing cached.
const UNCACHED_LIMIT_FACTOR: f64 = 0.5;
/// Added to `UNCACHED_LIMIT_FACTOR` in proportion to the cached share of the prompt.
const CACHED_LIMIT_FACTOR: f64 = 1.5;
/// A prompt is long if it exceeds its workload's mean by this factor.
const LONG_PROMPT_FACTOR: f64 = 1.5;
/// Half-life of the failure score, as a share of the slow-start time.
const FAILURE_HALF_LIFE_SHARE: f64 = 0.33;
const FAILURE_SCORE_MAX: f64 = 2.0;
/// Factor by which a success reduces the failure score.
const SUCCESS_FACTOR: f64 = 0.8;
/// A worker above this score counts as unresponsive: one failed connection or unanswered probe suffices.
const UNRESPONSIVE_SCORE: f64 = 0.5;
/// Timeout of a dispatch in latency targets, after which another worker is tried.
const ATTEMPT_TIMEOUT_TARGETS: f64 = 2.0;
/// Share of the latency target after which a dispatch at a worker that reports idle counts as hung.
const HUNG_TARGET_SHARE: f64 = 0.5;
/// Share of slots in use below which a worker is idle.
const IDLE_SLOTS_SHARE: f64 = 0.5;
/// Part of the warm-up that is credited to elapsed time alone: some workers warm up only by working.
const WARMUP_TRUST: f64 = 0.5;
/// Half-life of a load report's weight, as a share of the overload window (`Settings::fall_ms`).
const REPORT_HALF_LIFE_SHARE: f64 = 0.5;
/// A worker is probed once the weight of its last report is below this.
const PROBE_BELOW_WEIGHT: f64 = 0.7;
/// Averaging time of our own counts, in overload windows.
const MEAN_WINDOWS: f64 = 4.0;
/// Limit at a worker that writes, as a share of a reader's: it reads and fetches beside its streams.
const WRITER_LIMIT_SHARE: f64 = 0.25;
/// Share of the latency target that a probe may take.
const PROBE_TARGET_SHARE: f64 = 0.04;
/// Probes of a completion, for each dispatch that it may have.
const PROBES_PER_DISPATCH: usize = 2;
/// Number of readers of other cells that a prompt may overflow to.
const OVERFLOW_READERS: usize = 2;
/// Share of the pin limit after which an unused state is released.
const UNUSED_STATE_SHARE: f64 = 0.75;
/// Share of its memory in use at which a worker that writes counts as full.
const MEMORY_FULL_SHARE: f64 = 0.75;
/// Share of the load that overloads a worker in slow start which all routers together may send it.
const OVERLOAD_BUDGET_SHARE: f64 = 0.5;
/// Factor by which a router may exceed its even share during its turn at a worker in slow start.
const BURST_FACTOR: f64 = 4.0;

/// What a dispatch does: read the prompt at a reader, fetch the state and write, or both at one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Read,
    Write,
    Whole,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Planned,
    InFlight,
    Cancelled,
    Streaming,
    Ended,
}

/// One attempt of a completion at a worker.
struct Dispatch {
    worker: WorkerId,
    stage: Stage,
    /// Cleared once the dispatch is to be cancelled.
    wanted: bool,
    phase: Phase,
    sent_ms: f64,
    timeout_ms: f64,
    /// Tokens counted as waiting at the worker until the answer begins.
    waiting_tokens: f64,
    /// Prompt tokens that the worker was expected to have cached.
    expected_cached: f64,
    may_have_run: bool,
}

/// A completion, kept until it is answered and its last dispatch has ended.
struct Completion {
    arrival: Arrival,
    /// As of its arrival: later settings may define the workload differently.
    workload: WorkloadSettings,
    target_ms: f64,
    /// Factor of all load limits: the square root of the workload's value relative to the mean value. Guards
    /// against overload that takes the same share of every workload. Cost: the cheapest is rejected most.
    limit_factor: f64,
    /// Lower bound of that factor at workers that write: 1 for long prompts, so that a cheap workload is not
    /// served with its short prompts only.
    min_write_factor: f64,
    dispatches: Vec<Dispatch>,
    /// Workers that further dispatches skip.
    excluded: Vec<WorkerId>,
    /// The reader at which the state waits.
    state_at: Option<WorkerId>,
    /// Time of the last outcome of a dispatch that was sent: the state has been unused since then.
    state_idle_since_ms: f64,
    /// Whether the state is to be released.
    release_state: bool,
    /// The final answer, and whether the completion needs no further one.
    final_answer: Option<Action>,
    done: bool,
    /// Workers whose probe answers the next dispatch waits for.
    probing: Vec<WorkerId>,
    probes_sent: usize,
    /// Clock time after which a probe counts as unanswered.
    probe_deadline_ms: f64,
    /// Clock time at which the final answer is due, and for which a timer was last armed.
    answer_due_ms: f64,
    armed_for_ms: f64,
}

/// A worker, kept while it is listed or has dispatches in flight.
struct Worker {
    listing: Listing,
    name_hash: NameHash,
    role: Role,
    memory_tokens: f64,
    failure_score: Decaying,
    /// Our recent dispatches without the rejected ones.
    sent: Decaying,
    /// Tokens of our dispatches in flight that are not yet read or fetched.
    waiting: SmoothedCount,
    /// Prompt tokens of our dispatches that write or wait to write, and the number of those dispatches.
    held: SmoothedCount,
    streams: f64,
    /// Its last reported load as a share of the limit, and the time of that report or of its last answer.
    reported_load: Decaying,
    /// Whether it last reported few slots in use and an empty queue.
    reported_idle: bool,
    probe_in_flight: bool,
    /// Cache entries of this worker that are older than this are invalid.
    cache_valid_from_ms: f64,
}

impl Worker {
    /// Counts the load that one of our dispatches adds, or with negative values removes.
    fn count(&mut self, settings: &Settings, now_ms: f64, waiting: f64, streams: f64, prompt_tokens: f64) {
        let over_ms = settings.fall_ms * MEAN_WINDOWS;
        self.waiting.add(waiting, now_ms, over_ms);
        self.held.add(streams * prompt_tokens, now_ms, over_ms);
        self.streams += streams;
    }
}

/// Key of a cached text: a session's history, or a prefix that sessions share.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CacheKey {
    Session(SessionId),
    Prefix(PrefixId),
}

/// The scheduler of one router.
pub struct Control {
    settings: Settings,
    rng: fastrand::Rng,
    now_ms: f64,
    workers: BTreeMap<WorkerId, Worker>,
    roster: Roster,
    completions: BTreeMap<CompletionId, Completion>,
    /// Tokens of each text that a worker is expected to have cached.
    cache: BTreeMap<(CacheKey, WorkerId), Decaying>,
    /// Recent arrivals, in all and by prefix.
    arrivals: Decaying,
    prefix_arrivals: DecayingCounts<PrefixId>,
    /// Mean prompt length by workload, and mean number of uncached tokens that reads found.
    mean_prompts: MovingMeans<WorkloadId>,
    mean_uncached_tokens: f64,
    /// Statistics over all workers, each computed at most once per plan.
    plan_figures: PlanFigures,
}

/// Statistics memoised for one plan, in which neither the time nor any worker changes.
#[derive(Default)]
struct PlanFigures {
    median_streams: Cell<Option<f64>>,
    /// Mean number of recent dispatches to warm workers, by kind.
    warm_mean_sent: RefCell<BTreeMap<KindId, f64>>,
}

/// The number of routers, out of `routers`, that may send to a newly started worker at the same time.
pub fn slow_start_router_limit(s: &Settings, routers: usize) -> usize {
    (s.cold_share * OVERLOAD_BUDGET_SHARE * s.fall_multiple / BURST_FACTOR * routers as f64).max(1.0) as usize
}

impl Control {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let (rng, mean_uncached_tokens) = (fastrand::Rng::with_seed(seed), INITIAL_UNCACHED_TOKENS);
        let (
            now_ms,
            workers,
            roster,
            completions,
            cache,
            arrivals,
            prefix_arrivals,
            mean_prompts,
            plan_figures,
        ) = Default::default();
        Control {
            settings,
            rng,
            now_ms,
            workers,
            roster,
            completions,
            cache,
            arrivals,
            prefix_arrivals,
            mean_prompts,
            mean_uncached_tokens,
            plan_figures,
        }
    }

    pub fn handle(&mut self, now_ms: f64, event: &Event, actions: &mut Vec<Action>) {
        self.now_ms = now_ms;
        match event {
            Event::Listed { kind, rows } => self.listed(*kind, rows, actions),
            Event::Arrived(arrival) => self.arrived(arrival, actions),
            Event::Began { completion, seq, .. } => self.began(*completion, *seq, actions),
            Event::Ended { completion, seq, done, outcome, cached_tokens, .. } => {
                let sent = self.completions.get(completion).and_then(|c| c.dispatches.get(seq.0 as usize));
                let worker = sent.map(|d| d.worker.clone());
                self.ended(*completion, *seq, *done, *outcome, *cached_tokens);
                self.reconcile(*completion, actions);
                worker.into_iter().for_each(|worker| self.cancel_hung(&worker, actions));
            }
            Event::Expired { completion } => {
                self.completions.get_mut(completion).into_iter().for_each(|c| c.done = true);
                self.reconcile(*completion, actions);
            }
            Event::TimerFired(Timer::Completion(completion)) => {
                let Some(c) = self.completions.get(completion) else { return };
                let early_ms = self.settings.resolution_ms / 2.0;
                let streaming = c.dispatches.iter().any(|d| d.phase == Phase::Streaming);
                if now_ms >= c.answer_due_ms - early_ms && !c.done && !streaming {
                    self.fail(*completion);
                } else if now_ms >= c.probe_deadline_ms - early_ms && !c.probing.is_empty() {
                    self.probe_finished(*completion, None, false);
                }
                self.reconcile(*completion, actions);
            }
            Event::Reported { worker, load } => self.reported(worker, load),
            Event::Probed { worker, answered, .. } => {
                if let Some(w) = self.workers.get_mut(worker) {
                    w.probe_in_flight = false;
                    w.reported_load.at_ms = if *answered { now_ms } else { w.reported_load.at_ms };
                }
                let waits = |(id, c): (&CompletionId, &Completion)| c.probing.contains(worker).then_some(*id);
                for id in self.completions.iter().filter_map(waits).collect::<Vec<_>>() {
                    self.probe_finished(id, Some(worker), *answered);
                    self.reconcile(id, actions);
                }
                self.record_outcome(worker, if *answered { 0.0 } else { 0.6 }, false);
                self.cancel_hung(worker, actions);
            }
            Event::TimerFired(Timer::Subscribe) => actions.push(Action::Subscribe),
            Event::Recovered(entries) => entries.iter().for_each(|entry| self.recover_entry(entry)),
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
                failure_score: Decaying::default(),
                sent: Decaying::default(),
                waiting: SmoothedCount::default(),
                held: SmoothedCount::default(),
                streams: 0.0,
                reported_load: Decaying { value: 0.0, at_ms: f64::NEG_INFINITY },
                reported_idle: false,
                probe_in_flight: false,
                cache_valid_from_ms: 0.0,
            });
            if row.started_ms != worker.listing.started_ms {
                // A new process has an empty cache and no failures.
                (worker.cache_valid_from_ms, worker.failure_score) = (self.now_ms, Decaying::default());
            }
            (worker.listing, worker.role, worker.memory_tokens) =
                (row.clone(), kind.role, kind.memory_tokens);
        }
        self.workers
            .retain(|_, w| w.listing.readiness != Readiness::Gone || w.streams + w.waiting.value > 0.0);
        self.roster = Roster::of(&self.workers);
    }

    fn arrived(&mut self, arrival: &Arrival, actions: &mut Vec<Action>) {
        let workloads = &self.settings.workloads;
        let Some(workload) = workloads.get(arrival.workload.0) else { return };
        let mean = workloads.iter().map(|w| w.value).sum::<f64>() / workloads.len() as f64;
        let share = if mean > 0.0 { workload.value / mean } else { 1.0 };
        let mean_tokens = self.mean_prompts.update(arrival.workload, arrival.prompt_tokens, MEAN_WEIGHT);
        let target_ms = workload.latency_target_ms + workload.target_per_token_ms * arrival.prompt_tokens;
        let completion = Completion {
            arrival: arrival.clone(),
            workload: workload.clone(),
            target_ms,
            limit_factor: share.sqrt(),
            min_write_factor: if arrival.prompt_tokens > LONG_PROMPT_FACTOR * mean_tokens {
                1.0
            } else {
                0.0
            },
            dispatches: Vec::new(),
            excluded: Vec::new(),
            state_at: None,
            state_idle_since_ms: 0.0,
            release_state: false,
            probing: Vec::new(),
            probes_sent: 0,
            probe_deadline_ms: 0.0,
            final_answer: None,
            done: false,
            // The last moment at which a final answer still reaches the client in time if no outcome arrives.
            answer_due_ms: arrival.client_timeout_ms - 2.0 * self.settings.resolution_ms,
            armed_for_ms: 0.0,
        };
        self.completions.insert(arrival.completion, completion);
        self.arrivals.count(self.now_ms, ENTRY_LIFE_MS);
        arrival.prefix.into_iter().for_each(|it| self.prefix_arrivals.count(it, self.now_ms, ENTRY_LIFE_MS));
        self.plan(arrival.completion);
        self.reconcile(arrival.completion, actions);
    }

    fn began(&mut self, id: CompletionId, seq: Seq, actions: &mut Vec<Action>) {
        let Some(c) = self.completions.get_mut(&id) else { return };
        let Some(d) = c.dispatches.get_mut(seq.0 as usize) else { return };
        d.phase = Phase::Streaming;
        c.state_at = None;
        let (worker, arrival) = (d.worker.clone(), c.arrival.clone());
        let tokens = std::mem::take(&mut d.waiting_tokens);
        if let Some(w) = self.workers.get_mut(&worker) {
            w.count(&self.settings, self.now_ms, -tokens, 0.0, 0.0);
            if w.role == Role::Mixed {
                self.record_cached(&arrival, &worker);
            }
        }
        self.record_outcome(&worker, 0.0, true);
        self.reconcile(id, actions);
    }

    fn ended(&mut self, id: CompletionId, seq: Seq, done: bool, outcome: Outcome, cached_tokens: f64) {
        let Some(c) = self.completions.get_mut(&id) else { return };
        let Some(d) = c.dispatches.get_mut(seq.0 as usize) else { return };
        use Outcome::*;
        let (began, wanted) = (d.phase == Phase::Streaming, d.wanted);
        let (worker, stage, expected_cached, sent_ms) =
            (d.worker.clone(), d.stage, d.expected_cached, d.sent_ms);
        (d.phase, d.wanted) = (Phase::Ended, false);
        d.may_have_run &= !matches!(outcome, Full | NoState | ConnectFailed | Unsent | Moot | Read);
        let tokens = std::mem::take(&mut d.waiting_tokens);
        c.done |= done;
        if let Some(w) = self.workers.get_mut(&worker) {
            let streams = f64::from(stage != Stage::Read);
            w.count(&self.settings, self.now_ms, -tokens, -streams, c.arrival.prompt_tokens);
            // A rejected dispatch adds no load to the worker.
            w.sent.value = (w.sent.value - f64::from(outcome == Full)).max(0.0);
        }
        // A dispatch that was never sent does not extend the state's time. Guards against writers that stay
        // unreachable until the pin limit, and against writers that report a state as gone because they
        // cannot reach its reader. Cost: the prompt is read again.
        let never_sent = matches!(outcome, ConnectFailed | Unsent);
        let unsent = never_sent
            && self.now_ms >= c.state_idle_since_ms + UNUSED_STATE_SHARE * self.settings.pin_limit_ms;
        c.release_state |= c.state_at.is_some() && (unsent || outcome == NoState);
        c.state_idle_since_ms = if never_sent { c.state_idle_since_ms } else { self.now_ms };
        c.state_at = match outcome {
            Read => Some(worker.clone()),
            Finished | NoState => None,
            _ => c.state_at.take().filter(|_| !unsent),
        };
        if matches!(outcome, Full | Error | Broken | ConnectFailed | Unsent | TimedOut) {
            c.excluded.push(worker.clone());
        }
        let penalty = match outcome {
            ConnectFailed | Broken => 0.6,
            // A dispatch cut short by the client's own timeout is little evidence against the worker.
            TimedOut if wanted && !c.done && self.now_ms < c.answer_due_ms => 0.4,
            Error => 0.3,
            _ => 0.0,
        };
        let unanswered = !c.done && c.final_answer.is_none();
        // After a read timed out, a second read would be late at any reader and would take capacity that
        // other completions can still use.
        let late = outcome == TimedOut && stage == Stage::Read;
        let lost = began || late || outcome == Moot || self.now_ms >= c.answer_due_ms;
        let none_in_flight = c.dispatches.iter().all(|d| d.phase == Phase::Ended);
        let prompt_tokens = c.arrival.prompt_tokens;
        let arrival = Some(c.arrival.clone()).filter(|_| outcome == Read);
        arrival.into_iter().for_each(|arrival| self.record_cached(&arrival, &worker));
        // Guards against a flushed cache, whatever the cause: all older entries of the worker become invalid.
        // Cost: a single text evicted from a full cache invalidates the others too.
        let read = outcome == Read || outcome == Finished && stage == Stage::Whole;
        self.mean_uncached_tokens += if read {
            MEAN_WEIGHT * (prompt_tokens - cached_tokens - self.mean_uncached_tokens)
        } else {
            0.0
        };
        let flushed = self.workers.get_mut(&worker).filter(|_| read && cached_tokens < expected_cached / 2.0);
        flushed.into_iter().for_each(|w| w.cache_valid_from_ms = w.cache_valid_from_ms.max(sent_ms));
        self.record_outcome(&worker, penalty, matches!(outcome, Read | Finished));
        if unanswered && lost {
            self.fail(id);
        } else if unanswered && none_in_flight {
            self.plan(id);
        }
    }

    /// Plans the next dispatch of a completion that has none in flight, or its final answer.
    fn plan(&mut self, id: CompletionId) {
        let unreachable = self
            .completions
            .get(&id)
            .filter(|c| !c.excluded.is_empty())
            .map_or(vec![], |c| self.workers_in_silent_zones(c));
        self.completions.entry(id).and_modify(|c| c.excluded.extend(unreachable));
        self.plan_figures = PlanFigures::default();
        let Some(c) = self.completions.get(&id) else { return };
        let home = self.home(c);
        let next = match c.state_at {
            Some(_) => self.write_at(c, &home).map(|worker| (worker, Stage::Write)),
            None => self.read_at(c, &home),
        };
        let attempts_left = c.dispatches.len() < self.settings.max_dispatches;
        let Some((worker, stage)) = next.filter(|_| attempts_left) else { return self.fail(id) };
        let to_probe = self.workers_to_probe(c, &home, &worker, stage);
        if !to_probe.is_empty() {
            if c.probes_sent >= PROBES_PER_DISPATCH * self.settings.max_dispatches {
                return self.fail(id);
            }
            let each_ms = self.settings.pin_limit_ms / (2.0 * self.settings.max_dispatches.max(1) as f64);
            let until_ms = self.now_ms + each_ms.min(PROBE_TARGET_SHARE * c.target_ms);
            let Some(c) = self.completions.get_mut(&id) else { return };
            (c.probe_deadline_ms, c.probes_sent, c.probing) =
                (until_ms, c.probes_sent + to_probe.len(), to_probe);
            return;
        }
        let expected_cached = self.expected_cached(c, &worker);
        // Guards against workers that became unresponsive. Cost: retries when all workers are overloaded.
        let timeout_targets = if c.dispatches.len() + 2 < self.settings.max_dispatches {
            ATTEMPT_TIMEOUT_TARGETS
        } else {
            f64::INFINITY
        };
        let dispatch = Dispatch {
            stage,
            wanted: true,
            phase: Phase::Planned,
            sent_ms: self.now_ms,
            timeout_ms: (timeout_targets * c.target_ms).min(c.arrival.client_timeout_ms - self.now_ms),
            waiting_tokens: c.arrival.prompt_tokens
                - if stage == Stage::Write { 0.0 } else { expected_cached },
            expected_cached,
            may_have_run: stage != Stage::Read,
            worker,
        };
        self.completions.entry(id).and_modify(|c| c.dispatches.push(dispatch));
    }

    /// Ends a completion without success: rate-limited where a retry by the client is safe, otherwise
    /// aborted.
    fn fail(&mut self, id: CompletionId) {
        let Some(c) = self.completions.get(&id) else { return };
        let workload = &c.workload;
        let not_run = |d: &Dispatch| !d.may_have_run && matches!(d.phase, Phase::Planned | Phase::Ended);
        let retry_is_safe = workload.effect == Effect::Idempotent
            || workload.effect == Effect::Tokened && workload.group == Group::All
            || c.dispatches.iter().all(not_run);
        let limit_ms = Some(self.settings.max_retry_after_ms).filter(|_| self.settings.retry_after);
        let retry_after_ms = workload.latency_target_ms.min(limit_ms.unwrap_or(0.0));
        let Some(c) = self.completions.get_mut(&id) else { return };
        let rate_limit = Action::RateLimit { completion: id, retry_after_ms };
        c.final_answer = Some(if retry_is_safe { rate_limit } else { Action::Abort { completion: id } });
        c.dispatches.iter_mut().for_each(|d| d.wanted = false);
    }

    /// Emits the actions that bring a completion from its present to its planned state.
    fn reconcile(&mut self, id: CompletionId, actions: &mut Vec<Action>) {
        let Some(c) = self.completions.get_mut(&id) else { return };
        if let Some(answer) = c.final_answer.clone().filter(|_| !c.done) {
            actions.push(answer);
            c.done = true;
        }
        actions.extend(std::mem::take(&mut c.release_state).then_some(Action::Release { completion: id }));
        for (seq, d) in c.dispatches.iter_mut().enumerate() {
            match d.phase {
                Phase::Planned if d.wanted && !c.done => {
                    let (worker, timeout_ms) = (d.worker.clone(), d.timeout_ms);
                    actions.push(Action::Dispatch { completion: id, worker, timeout_ms });
                    d.phase = Phase::InFlight;
                    if let Some(w) = self.workers.get_mut(&d.worker) {
                        w.sent.count(self.now_ms, self.settings.fall_ms);
                        let (streams, prompt) = (f64::from(d.stage != Stage::Read), c.arrival.prompt_tokens);
                        w.count(&self.settings, self.now_ms, d.waiting_tokens, streams, prompt);
                    }
                }
                Phase::Planned => d.phase = Phase::Ended,
                Phase::InFlight if (!d.wanted || c.done) && self.settings.cancel_allowed => {
                    actions.push(Action::Cancel { completion: id, seq: Seq(seq as u32) });
                    d.phase = Phase::Cancelled;
                }
                _ => {}
            }
        }
        let unfinished = c.dispatches.iter().any(|d| d.phase != Phase::Ended);
        // Repeated with the last outcome: a dispatch that waited for the state may have prevented its
        // release.
        if c.state_at.is_some() && c.done {
            actions.push(Action::Release { completion: id });
        }
        for id in c.probing.iter().filter(|_| !c.done) {
            if let Some(w) = self.workers.get_mut(id).filter(|w| !w.probe_in_flight) {
                actions.push(Action::Probe { worker: id.clone() });
                w.probe_in_flight = true;
            }
        }
        let wake_ms =
            if c.probing.is_empty() { c.answer_due_ms } else { c.answer_due_ms.min(c.probe_deadline_ms) };
        if c.done && !unfinished {
            self.completions.remove(&id);
        } else if !c.done && c.armed_for_ms != wake_ms {
            c.armed_for_ms = wake_ms;
            actions
                .push(Action::Arm { in_ms: (wake_ms - self.now_ms).max(0.0), timer: Timer::Completion(id) });
        }
    }
}
