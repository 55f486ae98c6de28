//! The ledger of a router: open completions, their dispatches, and prefilled states that wait at a reader.
//! Translates what the sockets observed into events for the decision module, and its actions into effects for
//! the sockets.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use paddleproxy::interface::{self, *};
use paddleproxy::shutdown::retry_after_ms;
use paddleproxy::Control;
use paddleproxy_engine::StateReference;

use crate::outcomes::{never_ran, outcome, SocketEnd};
use crate::repeat_guard::{self, Breach, Location, MayHaveRun};

/// The work that a dispatch requests from its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Read the prompt (prefill) and hold the state for a writer.
    Read,
    /// Fetch the state from its reader and generate the answer.
    Write,
    /// Read the prompt and generate the answer on one server.
    Whole,
}

/// An input of the ledger: what a socket, the server list, a timer or the router itself reported.
#[derive(Debug)]
pub enum Input {
    Arrived {
        arrival: Arrival,
        streamed: bool,
    },
    /// The first event of a streamed answer has arrived; the dispatch waits for `Effect::Grant` or
    /// `Effect::Stop`.
    Began {
        completion: CompletionId,
        seq: Seq,
        took_ms: f64,
    },
    Ended {
        completion: CompletionId,
        seq: Seq,
        took_ms: f64,
        end: SocketEnd,
        cached_tokens: f64,
        state: Option<StateReference>,
    },
    /// The client disconnected.
    Left {
        completion: CompletionId,
    },
    Reported {
        worker: WorkerId,
        load: LoadReport,
    },
    Listed {
        kind: ListKind,
        rows: Arc<[Listing]>,
    },
    Probed {
        worker: WorkerId,
        answered: bool,
        took_ms: f64,
    },
    HoldAnswered {
        completion: CompletionId,
        seq: Seq,
        worker: WorkerId,
        held: bool,
    },
    TimerFired(LedgerTimer),
    /// Cache entries that an earlier run of this router stored.
    Recovered(Vec<CacheEntry>),
    /// Replaces the settings; open completions keep the workload settings under which they arrived.
    Settings {
        settings: Box<Settings>,
        answer_slack_ms: f64,
    },
    /// The shutdown's grace period is over: every open completion ends now. `streams` says whether running
    /// streams are cut off as well.
    Stop {
        streams: bool,
    },
}

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerTimer {
    /// A timer of the decision module.
    Decisions(Timer),
    /// The client timeout and the answer slack have passed.
    Overdue(CompletionId),
    /// A state has been pinned for most of the pin limit.
    Pinned(CompletionId),
}

/// A dispatch that the sockets are to send.
#[derive(Clone, Debug)]
pub struct OutgoingDispatch {
    pub completion: CompletionId,
    pub seq: Seq,
    pub worker: WorkerId,
    pub stage: Stage,
    /// Clock time at which the dispatch times out, unless a streamed answer has begun.
    pub until_ms: f64,
    pub state: Option<Rc<StateReference>>,
    /// Prompt tokens that the read of that state found in its worker's cache.
    pub read_cached_tokens: f64,
    /// Clock time by which the request has to be written if it fetches a state: while a connection is not
    /// established the holder of the state sees no dispatch, so the state's time limit keeps running.
    pub write_by_ms: f64,
    /// Clock time by which a repeat has to be completely written: after its workload's deduplication window
    /// it could take effect a second time. Infinite where no earlier dispatch may have run.
    pub repeat_by_ms: f64,
}

/// What the caller is to do on the sockets.
#[derive(Clone, Debug)]
pub enum Effect {
    Send(OutgoingDispatch),
    /// Close the connection of a dispatch in flight.
    Stop {
        completion: CompletionId,
        seq: Seq,
    },
    /// Forward the stream of this dispatch to the client as the answer.
    Grant {
        completion: CompletionId,
        seq: Seq,
    },
    /// Send the complete answer of this dispatch to the client.
    Deliver {
        completion: CompletionId,
        seq: Seq,
    },
    RateLimit {
        completion: CompletionId,
        retry_after_ms: f64,
    },
    Abort {
        completion: CompletionId,
    },
    /// No further effect follows for this completion; free what the caller holds for it.
    Forget {
        completion: CompletionId,
    },
    Arm {
        in_ms: f64,
        timer: LedgerTimer,
    },
    /// Release the state or the reserved slot that this dispatch left, or will leave, at a server.
    Release {
        worker: WorkerId,
        completion: CompletionId,
        seq: Seq,
    },
    /// Release a state for which a dispatch was sent that has not responded since, but only if no dispatch
    /// has arrived to fetch it. No effect on platforms whose protocol has no such request.
    ReleaseUnclaimed {
        worker: WorkerId,
        completion: CompletionId,
        seq: Seq,
    },
    Hold {
        worker: WorkerId,
        completion: CompletionId,
        seq: Seq,
        tokens: f64,
    },
    Probe {
        worker: WorkerId,
    },
    CloseIdle {
        worker: WorkerId,
    },
    /// A server now has this completion's text, and its shared prefix, in its cache.
    CacheUpdated {
        worker: WorkerId,
        session: SessionId,
        tokens: f64,
        prefix: Option<(PrefixId, f64)>,
    },
    Subscribe,
    FetchList,
    /// A message for the log: an action that the settings forbid, or a text of the decision module.
    Note(String),
}

/// Counts since the start. The fault counts `lost_streams`, `overdue`, `unpinned`, `ended_twice` and
/// `breaches` stay 0 in normal operation; `moot` and `late_first` do not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub arrived: u64,
    pub finished: u64,
    pub rate_limited: u64,
    pub aborted: u64,
    pub left: u64,
    pub lost_streams: u64,
    pub dispatches: u64,
    /// Dispatches not sent because they were pointless when decided, as after the final answer or the
    /// deadline.
    pub moot: u64,
    /// First events of dispatches that were cancelled or whose completion was already done.
    pub late_first: u64,
    /// Completions aborted by the ledger because the decision module had missed the client timeout.
    pub overdue: u64,
    /// States that the ledger released because the decision module had not.
    pub unpinned: u64,
    /// Ends reported for a dispatch that had already ended.
    pub ended_twice: u64,
    /// Dispatches that the decision module requested against the repeat rule; they were not sent.
    pub breaches: u64,
}

struct Dispatch {
    worker: WorkerId,
    stage: Stage,
    in_flight: bool,
    /// Cancelled by the decision module, which then receives only the event of its end.
    cancelled: bool,
    uses_state: bool,
    /// Clock time of the decision while the dispatch may have run; otherwise none.
    may_have_run_ms: Option<f64>,
}

/// A prefilled state that waits at its reader for a writer.
struct WaitingState {
    worker: WorkerId,
    seq: Seq,
    reference: Rc<StateReference>,
    cached_tokens: f64,
    /// Since when no written dispatch is in flight; the end of each one restarts the time limit.
    since_ms: f64,
}

/// An open completion: kept until it is answered and its last dispatch has ended.
struct Entry {
    streamed: bool,
    deadline_ms: f64,
    /// The workload's settings at arrival; none if the settings had no such workload.
    workload: Option<WorkloadSettings>,
    prompt_tokens: f64,
    session: SessionId,
    prefix: Option<(PrefixId, f64)>,
    /// The client still needs a final answer and no stream is running.
    answer_pending: bool,
    /// The dispatch whose stream is the answer, while it runs.
    stream: Option<Seq>,
    dispatches: Vec<Dispatch>,
    state: Option<WaitingState>,
    /// A slot reserved ahead at a writer, and the dispatch in whose name it is reserved.
    reserved_slot: Option<(WorkerId, Seq)>,
    /// A dispatch that can have an effect is in flight, or ended without proof that it never ran.
    may_have_run: bool,
    /// At least one such dispatch ended without that proof.
    ended_without_proof: bool,
    /// Clock time at which the first such dispatch was decided.
    first_run_ms: Option<f64>,
}

impl Entry {
    fn in_flight(&self) -> bool {
        self.dispatches.iter().any(|dispatch| dispatch.in_flight)
    }

    fn is_done(&self) -> bool {
        !self.answer_pending && self.stream.is_none()
    }

    /// Clock time until which a repeat may be written: servers deduplicate by key only within the workload's
    /// window.
    fn repeat_by_ms(&self) -> f64 {
        let keyed = self.workload.as_ref().filter(|workload| workload.effect == interface::Effect::Tokened);
        let window_end =
            keyed.zip(self.first_run_ms).map(|(workload, first_ms)| first_ms + workload.window_ms);
        window_end.unwrap_or(f64::INFINITY)
    }
}

/// Share of the pin limit after which the ledger releases a state by itself.
const RELEASE_AT_LIMIT_SHARE: f64 = 0.8;

/// Makes the routing decisions: `Control`, or a baseline that it is measured against.
pub trait Decisions {
    fn handle(&mut self, now_ms: f64, event: &Event, actions: &mut Vec<Action>);
}

impl Decisions for Control {
    fn handle(&mut self, now_ms: f64, event: &Event, actions: &mut Vec<Action>) {
        Control::handle(self, now_ms, event, actions);
    }
}

impl<D: Decisions + ?Sized> Decisions for Box<D> {
    fn handle(&mut self, now_ms: f64, event: &Event, actions: &mut Vec<Action>) {
        (**self).handle(now_ms, event, actions);
    }
}

/// The state machine between sockets and decisions; there is one per router, for its whole run.
pub struct Ledger<D = Control> {
    decisions: D,
    settings: Settings,
    answer_slack_ms: f64,
    /// Role and location of each listed server.
    listed_workers: BTreeMap<WorkerId, (Role, Location)>,
    open: BTreeMap<CompletionId, Entry>,
    events: VecDeque<Event>,
    changed_completions: BTreeSet<CompletionId>,
    counts: Counts,
    /// `Input::Stop` was handled: new completions are rejected.
    stopped: bool,
}

impl Ledger {
    pub fn new(settings: Settings, answer_slack_ms: f64, seed: u64) -> Self {
        Ledger::with_decisions(Control::new(settings.clone(), seed), settings, answer_slack_ms)
    }
}

impl<D: Decisions> Ledger<D> {
    /// A ledger whose decisions come from something else than `Control`.
    pub fn with_decisions(decisions: D, settings: Settings, answer_slack_ms: f64) -> Self {
        Ledger {
            decisions,
            settings,
            answer_slack_ms,
            listed_workers: BTreeMap::new(),
            open: BTreeMap::new(),
            events: VecDeque::new(),
            changed_completions: BTreeSet::new(),
            counts: Counts::default(),
            stopped: false,
        }
    }

    /// The worker of a dispatch of an open completion.
    pub fn worker(&self, completion: CompletionId, seq: Seq) -> Option<&WorkerId> {
        let entry = self.open.get(&completion)?;
        entry.dispatches.get(seq.0 as usize).map(|dispatch| &dispatch.worker)
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of completions that are not done or still have a dispatch in flight.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Handles one input and appends the resulting effects, in order.
    pub fn handle(&mut self, now_ms: f64, input: Input, effects: &mut Vec<Effect>) {
        self.apply_input(now_ms, input, effects);
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.decisions.handle(now_ms, &event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(now_ms, action, effects);
            }
        }
        for completion in std::mem::take(&mut self.changed_completions) {
            self.remove_if_done(completion, effects);
        }
    }

    fn apply_input(&mut self, now_ms: f64, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Arrived { arrival, .. } if self.stopped => self.reject(arrival.completion, effects),
            Input::Arrived { arrival, streamed } => {
                self.counts.arrived += 1;
                let entry = Entry {
                    streamed,
                    deadline_ms: arrival.client_timeout_ms,
                    workload: self.settings.workloads.get(arrival.workload.0).cloned(),
                    prompt_tokens: arrival.prompt_tokens,
                    session: arrival.session,
                    prefix: arrival.prefix.map(|prefix| (prefix, arrival.prefix_tokens)),
                    answer_pending: true,
                    stream: None,
                    dispatches: Vec::new(),
                    state: None,
                    reserved_slot: None,
                    may_have_run: false,
                    ended_without_proof: false,
                    first_run_ms: None,
                };
                let completion = arrival.completion;
                let in_ms = arrival.client_timeout_ms - now_ms + self.answer_slack_ms;
                effects.push(Effect::Arm { in_ms, timer: LedgerTimer::Overdue(completion) });
                self.open.insert(completion, entry);
                self.events.push_back(Event::Arrived(arrival));
            }
            Input::Began { completion, seq, took_ms } => self.began(completion, seq, took_ms, effects),
            Input::Ended { completion, seq, took_ms, end, cached_tokens, state } => {
                self.ended(now_ms, completion, seq, took_ms, &end, cached_tokens, state, effects);
            }
            Input::Left { completion } => self.left(completion, effects),
            Input::Reported { worker, load } => self.events.push_back(Event::Reported { worker, load }),
            Input::Listed { kind, rows } => {
                if matches!(kind, ListKind::Whole | ListKind::Saved) {
                    self.listed_workers.clear();
                }
                for row in rows.iter() {
                    match self.settings.kinds.get(row.kind.0) {
                        Some(kind) if row.readiness != Readiness::Gone => {
                            let at = Location { zone: row.zone, cell: row.cell };
                            self.listed_workers.insert(row.worker.clone(), (kind.role, at));
                        }
                        // Nothing is sent to a server that is gone, and since names are not reused its row
                        // would stay forever.
                        _ => {
                            self.listed_workers.remove(&row.worker);
                        }
                    }
                }
                self.events.push_back(Event::Listed { kind, rows });
            }
            Input::Probed { worker, answered, took_ms } => {
                self.events.push_back(Event::Probed { worker, answered, took_ms });
            }
            Input::HoldAnswered { completion, seq, worker, held } => {
                self.hold_answered(completion, seq, worker, held, effects);
            }
            Input::Recovered(entries) => self.events.push_back(Event::Recovered(entries)),
            Input::Settings { settings, answer_slack_ms } => {
                self.settings = (*settings).clone();
                self.answer_slack_ms = answer_slack_ms;
                self.events.push_back(Event::Settings(settings));
            }
            Input::Stop { streams } => self.stop(streams, effects),
            Input::TimerFired(LedgerTimer::Decisions(timer)) => {
                self.events.push_back(Event::TimerFired(timer))
            }
            Input::TimerFired(LedgerTimer::Overdue(completion)) => {
                // Guards against a decision module that misses the client timeout. Cost: none beyond
                // the miss itself.
                if let Some(entry) = self.open.get_mut(&completion).filter(|entry| entry.answer_pending) {
                    entry.answer_pending = false;
                    self.counts.overdue += 1;
                    self.counts.aborted += 1;
                    effects.push(Effect::Abort { completion });
                    self.events.push_back(Event::Expired { completion });
                    self.changed_completions.insert(completion);
                }
            }
            Input::TimerFired(LedgerTimer::Pinned(completion)) => {
                let early_ms = self.settings.resolution_ms / 2.0;
                let since_ms = now_ms - self.release_after_ms() + early_ms;
                let Some(entry) = self.open.get_mut(&completion) else { return };
                let Some(state) = entry.state.as_ref().filter(|state| state.since_ms <= since_ms) else {
                    return;
                };
                let (worker, seq) = (state.worker.clone(), state.seq);
                if entry.in_flight() {
                    // Guards against a dispatch that was lost on the way, as in a partition that no socket
                    // has reported: its state would wait though no writer fetches it. Cost: one more call per
                    // answer that starts late.
                    effects.push(Effect::ReleaseUnclaimed { worker, completion, seq });
                } else {
                    // Guards against a state that waits while no dispatch is in flight, whatever delays the
                    // decision. Cost: the prompt is read again.
                    entry.state = None;
                    self.counts.unpinned += 1;
                    effects.push(Effect::Release { worker, completion, seq });
                }
            }
        }
    }

    /// How long a state may wait before the ledger releases it, in ms.
    fn release_after_ms(&self) -> f64 {
        self.settings.pin_limit_ms * RELEASE_AT_LIMIT_SHARE
    }

    fn began(&mut self, completion: CompletionId, seq: Seq, took_ms: f64, effects: &mut Vec<Effect>) {
        let entry = self.open.get_mut(&completion);
        // Guards against a first event that crosses a request to stop: its dispatch handles the stop first
        // and ends, so a stream granted to it would be cut off before the client got anything. Cost: a
        // started answer is not used.
        let runs = |sent: &Dispatch| sent.in_flight && !sent.cancelled;
        let runs = |entry: &&mut Entry| entry.dispatches.get(seq.0 as usize).is_some_and(runs);
        let Some(entry) = entry.filter(|entry| entry.answer_pending && entry.streamed && runs(entry)) else {
            self.counts.late_first += 1;
            effects.push(Effect::Stop { completion, seq });
            return;
        };
        entry.answer_pending = false;
        entry.stream = Some(seq);
        effects.push(Effect::Grant { completion, seq });
        // A stream that has begun releases the rest; a state that the dispatch fetched is no longer at its
        // reader.
        let used = entry.dispatches[seq.0 as usize].uses_state;
        let rest = entry.state.take().filter(|_| !used).map(|state| (state.worker, state.seq));
        let streaming_worker = &entry.dispatches[seq.0 as usize].worker;
        let reserved_slot = entry.reserved_slot.take().filter(|(worker, _)| worker != streaming_worker);
        for (worker, seq) in rest.into_iter().chain(reserved_slot) {
            effects.push(Effect::Release { worker, completion, seq });
        }
        self.events.push_back(Event::Began { completion, seq, took_ms });
        self.changed_completions.insert(completion);
    }

    #[allow(clippy::too_many_arguments)]
    fn ended(
        &mut self,
        now_ms: f64,
        completion: CompletionId,
        seq: Seq,
        took_ms: f64,
        end: &SocketEnd,
        cached_tokens: f64,
        state: Option<StateReference>,
        effects: &mut Vec<Effect>,
    ) {
        let release_after_ms = self.release_after_ms();
        let Some(entry) = self.open.get_mut(&completion) else { return };
        let Some(dispatch) = entry.dispatches.get_mut(seq.0 as usize).filter(|dispatch| dispatch.in_flight)
        else {
            self.counts.ended_twice += 1;
            return;
        };
        dispatch.in_flight = false;
        let (worker, stage, used) = (dispatch.worker.clone(), dispatch.stage, dispatch.uses_state);
        let mut result = outcome(end);
        match (result, state) {
            (Outcome::Read, Some(reference)) => {
                let waiting = WaitingState {
                    worker: worker.clone(),
                    seq,
                    reference: Rc::new(reference),
                    cached_tokens,
                    since_ms: now_ms,
                };
                if let Some(old) = entry.state.replace(waiting) {
                    effects.push(Effect::Release { worker: old.worker, completion, seq: old.seq });
                }
                effects.push(Effect::Arm { in_ms: release_after_ms, timer: LedgerTimer::Pinned(completion) });
            }
            // Without a reference a writer could not fetch the state.
            (Outcome::Read, None) => result = Outcome::Error,
            _ => {}
        }
        if let Some(dispatch) = entry.dispatches.get_mut(seq.0 as usize).filter(|_| never_ran(result)) {
            dispatch.may_have_run_ms = None;
        }
        if matches!(result, Outcome::Read | Outcome::Finished) {
            let (session, tokens, prefix) = (entry.session, entry.prompt_tokens, entry.prefix);
            effects.push(Effect::CacheUpdated { worker: worker.clone(), session, tokens, prefix });
        }
        // Guards against a state that a reader holds although its answer never reached this router. Cost: one
        // more call.
        if stage == Stage::Read && !never_ran(result) {
            effects.push(Effect::Release { worker: worker.clone(), completion, seq });
        }
        if matches!(result, Outcome::Finished | Outcome::NoState) && used {
            let state = entry.state.take().filter(|_| result == Outcome::NoState);
            // Guards against a writer that reports a state as gone because it can't reach the reader: nothing
            // fetches it any more, and it stays pinned. Cost: one more call where it was really gone.
            if let Some(state) = state {
                effects.push(Effect::Release { worker: state.worker, completion, seq: state.seq });
            }
        }
        if entry.stream == Some(seq) {
            entry.stream = None;
            match result {
                Outcome::Finished => self.counts.finished += 1,
                Outcome::Cancelled => {}
                _ => self.counts.lost_streams += 1,
            }
        } else if result == Outcome::Finished && entry.answer_pending {
            entry.answer_pending = false;
            self.counts.finished += 1;
            effects.push(Effect::Deliver { completion, seq });
        }
        let writing = entry.in_flight();
        if let Some(state) = entry.state.as_mut().filter(|_| !writing && result != Outcome::Read) {
            // The holder of the state never saw a dispatch that was not sent, so the time limit has kept
            // running.
            if !matches!(result, Outcome::ConnectFailed | Outcome::Unsent) {
                state.since_ms = now_ms;
            }
            let in_ms = state.since_ms + release_after_ms - now_ms;
            effects.push(Effect::Arm { in_ms: in_ms.max(0.0), timer: LedgerTimer::Pinned(completion) });
        }
        // Proof that the only dispatch in flight never ran clears the completion; with a second copy in
        // flight it does not.
        if stage != Stage::Read && never_ran(result) && entry.dispatches.iter().all(|d| !d.in_flight) {
            entry.may_have_run = entry.ended_without_proof;
            entry.first_run_ms = entry.first_run_ms.filter(|_| entry.ended_without_proof);
        }
        entry.ended_without_proof |= stage != Stage::Read && !never_ran(result);
        let done = entry.is_done();
        self.events.push_back(Event::Ended {
            completion,
            seq,
            took_ms,
            done,
            outcome: result,
            cached_tokens,
        });
        self.changed_completions.insert(completion);
    }

    /// Rejects a completion that arrives after the shutdown's last answers: its own answer could not be
    /// delivered.
    fn reject(&mut self, completion: CompletionId, effects: &mut Vec<Effect>) {
        self.counts.arrived += 1;
        self.counts.rate_limited += 1;
        effects.push(Effect::RateLimit { completion, retry_after_ms: self.stop_retry_after_ms() });
        effects.push(Effect::Forget { completion });
    }

    fn stop_retry_after_ms(&self) -> f64 {
        retry_after_ms(self.settings.retry_after, self.settings.max_retry_after_ms)
    }

    /// Ends every open completion. One that certainly never ran is rate-limited, so that the client may retry
    /// at another router; any other is aborted. With a read in flight a completion counts as never run only
    /// if its workload may be repeated on any server.
    fn stop(&mut self, streams: bool, effects: &mut Vec<Effect>) {
        self.stopped = true;
        let retry_after_ms = self.stop_retry_after_ms();
        for (completion, entry) in &mut self.open {
            let completion = *completion;
            if entry.answer_pending {
                entry.answer_pending = false;
                let anywhere = entry.workload.as_ref().is_some_and(|workload| match workload.effect {
                    interface::Effect::Idempotent => true,
                    interface::Effect::Tokened => workload.group == Group::All,
                    interface::Effect::NonIdempotent => false,
                });
                if !entry.may_have_run && (anywhere || !entry.in_flight()) {
                    self.counts.rate_limited += 1;
                    effects.push(Effect::RateLimit { completion, retry_after_ms });
                } else {
                    self.counts.aborted += 1;
                    effects.push(Effect::Abort { completion });
                }
                self.events.push_back(Event::Expired { completion });
            }
            for (row, _) in entry.dispatches.iter().enumerate().filter(|(_, dispatch)| dispatch.in_flight) {
                let seq = Seq(row as u32);
                if streams || entry.stream != Some(seq) {
                    effects.push(Effect::Stop { completion, seq });
                }
            }
            self.changed_completions.insert(completion);
        }
    }

    fn left(&mut self, completion: CompletionId, effects: &mut Vec<Effect>) {
        let Some(entry) = self.open.get_mut(&completion) else { return };
        if !entry.answer_pending && entry.stream.is_none() {
            return;
        }
        self.counts.left += 1;
        entry.answer_pending = false;
        if let Some(seq) = entry.stream {
            effects.push(Effect::Stop { completion, seq });
        }
        self.events.push_back(Event::Expired { completion });
        self.changed_completions.insert(completion);
    }

    fn hold_answered(
        &mut self,
        completion: CompletionId,
        seq: Seq,
        worker: WorkerId,
        held: bool,
        effects: &mut Vec<Effect>,
    ) {
        let entry = self.open.get_mut(&completion);
        let reading = entry.filter(|entry| {
            entry.answer_pending
                && entry.dispatches.get(seq.0 as usize).is_some_and(|d| d.in_flight && d.stage == Stage::Read)
        });
        match reading {
            Some(entry) => {
                if held {
                    if let Some((old, seq)) = entry.reserved_slot.replace((worker.clone(), seq)) {
                        effects.push(Effect::Release { worker: old, completion, seq });
                    }
                }
                self.events.push_back(Event::HoldAnswered { completion, seq, worker, held });
            }
            // The hold came too late to be used: release the slot at once.
            None if held => effects.push(Effect::Release { worker, completion, seq }),
            None => {}
        }
    }

    fn apply_action(&mut self, now_ms: f64, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::Dispatch { completion, worker, timeout_ms } => {
                self.dispatch(now_ms, completion, worker, timeout_ms, effects);
            }
            Action::Cancel { completion, seq } => {
                if !self.settings.cancel_allowed {
                    effects.push(Effect::Note("cancel ignored: the settings do not allow it".into()));
                    return;
                }
                let entry = self.open.get_mut(&completion).filter(|entry| entry.stream != Some(seq));
                let sent = entry.and_then(|entry| entry.dispatches.get_mut(seq.0 as usize));
                if let Some(sent) = sent.filter(|sent| sent.in_flight) {
                    sent.cancelled = true;
                    effects.push(Effect::Stop { completion, seq });
                }
            }
            Action::Hold { completion, worker } => self.hold(completion, worker, effects),
            Action::Release { completion } => {
                if let Some(entry) = self.open.get_mut(&completion) {
                    release(entry, completion, effects);
                }
            }
            Action::RateLimit { completion, retry_after_ms } => {
                if let Some(entry) = self.open.get_mut(&completion).filter(|entry| entry.answer_pending) {
                    entry.answer_pending = false;
                    self.counts.rate_limited += 1;
                    effects.push(Effect::RateLimit { completion, retry_after_ms });
                    self.changed_completions.insert(completion);
                }
            }
            Action::Abort { completion } => {
                if let Some(entry) = self.open.get_mut(&completion).filter(|entry| entry.answer_pending) {
                    entry.answer_pending = false;
                    self.counts.aborted += 1;
                    effects.push(Effect::Abort { completion });
                    self.changed_completions.insert(completion);
                }
            }
            Action::Arm { in_ms, timer } => {
                effects.push(Effect::Arm { in_ms, timer: LedgerTimer::Decisions(timer) })
            }
            Action::Subscribe => effects.push(Effect::Subscribe),
            Action::FetchList => effects.push(Effect::FetchList),
            Action::Probe { worker } if self.settings.probes_allowed => {
                effects.push(Effect::Probe { worker })
            }
            Action::Probe { .. } => {
                effects.push(Effect::Note("probe ignored: the settings do not allow it".into()))
            }
            Action::CloseIdle { worker } => effects.push(Effect::CloseIdle { worker }),
            Action::MoveStream { .. } => {
                effects.push(Effect::Note("stream not moved: no server here can resume one".into()));
            }
            Action::SendToPeer { .. } => {
                effects.push(Effect::Note(
                    "message to other routers not sent: routers share no state here".into(),
                ));
            }
            Action::Log(text) => effects.push(Effect::Note(text)),
        }
    }

    fn dispatch(
        &mut self,
        now_ms: f64,
        completion: CompletionId,
        worker: WorkerId,
        timeout_ms: f64,
        effects: &mut Vec<Effect>,
    ) {
        let (role, to) = self.listed_workers.get(&worker).copied().unzip();
        let breach = self.breach(now_ms, completion, to);
        let release_after_ms = self.release_after_ms();
        let Some(entry) = self.open.get_mut(&completion) else {
            self.counts.moot += 1;
            let (seq, outcome) = (Seq(0), Outcome::Moot);
            let ended =
                Event::Ended { completion, seq, took_ms: 0.0, done: true, outcome, cached_tokens: 0.0 };
            self.events.push_back(ended);
            return;
        };
        let seq = Seq(entry.dispatches.len() as u32);
        let unwanted_copy = entry.in_flight() && !self.settings.second_copies;
        let limit_reached = entry.dispatches.len() >= self.settings.max_dispatches;
        self.counts.breaches += u64::from(breach.is_some());
        let moot = !entry.answer_pending
            || now_ms >= entry.deadline_ms
            || unwanted_copy
            || limit_reached
            || role.is_none();
        let moot = moot || breach.is_some();
        let has_state = entry.state.is_some();
        let stage = match role {
            Some(Role::Reader) => Stage::Read,
            _ if has_state => Stage::Write,
            _ => Stage::Whole,
        };
        // A writer that can't read needs a state; without one the dispatch fails here, without a request to
        // it.
        let stateless = role == Some(Role::Writer) && !has_state && !self.settings.writers_read;
        let uses_state = stage == Stage::Write;
        let in_flight = !moot && !stateless;
        let may_have_run_ms = Some(now_ms).filter(|_| in_flight && stage != Stage::Read);
        let worker_at = worker.clone();
        let dispatch =
            Dispatch { worker: worker_at, stage, in_flight, cancelled: false, uses_state, may_have_run_ms };
        entry.dispatches.push(dispatch);
        if !in_flight {
            if let Some(breach) = breach {
                effects.push(Effect::Note(format!(
                    "dispatch not sent, it would break the repeat rule: {breach:?}"
                )));
            }
            self.counts.moot += u64::from(moot);
            let outcome = if moot { Outcome::Moot } else { Outcome::NoState };
            let done = entry.is_done();
            let ended = Event::Ended { completion, seq, took_ms: 0.0, done, outcome, cached_tokens: 0.0 };
            self.events.push_back(ended);
            return;
        }
        self.counts.dispatches += 1;
        let repeat_by_ms = entry.repeat_by_ms();
        if stage != Stage::Read {
            entry.may_have_run = true;
            entry.first_run_ms.get_or_insert(now_ms);
        }
        let limit_ms = if timeout_ms > 0.0 { now_ms + timeout_ms } else { entry.deadline_ms };
        // A slot reserved at another worker is not needed any more; one reserved at this worker gets used.
        if stage != Stage::Read {
            if let Some((at, by)) = entry.reserved_slot.take().filter(|(at, _)| *at != worker) {
                effects.push(Effect::Release { worker: at, completion, seq: by });
            }
        }
        let used = entry.state.as_ref().filter(|_| uses_state);
        let (state, read_cached_tokens) =
            (used.map(|state| state.reference.clone()), used.map_or(0.0, |s| s.cached_tokens));
        let until_ms = limit_ms.min(entry.deadline_ms);
        let write_by_ms = used.map_or(until_ms, |state| until_ms.min(state.since_ms + release_after_ms));
        effects.push(Effect::Send(OutgoingDispatch {
            completion,
            seq,
            worker,
            stage,
            until_ms,
            state,
            read_cached_tokens,
            write_by_ms,
            repeat_by_ms,
        }));
    }

    /// Why a further dispatch of a completion to `to` must not be sent; none if it may.
    fn breach(&self, now_ms: f64, completion: CompletionId, to: Option<Location>) -> Option<Breach> {
        let entry = self.open.get(&completion)?;
        let may_have_run = |dispatch: &Dispatch| {
            let at = self.listed_workers.get(&dispatch.worker).map(|(_, at)| *at);
            Some(MayHaveRun { at, decided_ms: dispatch.may_have_run_ms? })
        };
        let earlier = entry.dispatches.iter().filter_map(may_have_run);
        repeat_guard::check(entry.workload.as_ref()?, earlier, to?, now_ms).err()
    }

    fn hold(&mut self, completion: CompletionId, worker: WorkerId, effects: &mut Vec<Effect>) {
        if !self.settings.holds_allowed {
            effects.push(Effect::Note("hold ignored: the settings do not allow it".into()));
            return;
        }
        let Some(entry) = self.open.get(&completion) else { return };
        let reading = entry.dispatches.iter().rposition(|d| d.in_flight && d.stage == Stage::Read);
        if let Some(seq) = reading.map(|row| Seq(row as u32)) {
            effects.push(Effect::Hold { worker, completion, seq, tokens: entry.prompt_tokens });
        }
    }

    /// Removes a completion that is done and has no dispatch in flight; releases what it still holds.
    fn remove_if_done(&mut self, completion: CompletionId, effects: &mut Vec<Effect>) {
        let Some(entry) = self.open.get_mut(&completion) else { return };
        if !entry.is_done() || entry.in_flight() {
            return;
        }
        // Guards against a decision module that forgot a state. Cost: none, a release may be sent twice.
        if entry.state.is_some() || entry.reserved_slot.is_some() {
            self.counts.unpinned += 1;
            release(entry, completion, effects);
        }
        self.open.remove(&completion);
        effects.push(Effect::Forget { completion });
    }
}

/// Releases the waiting state and the reserved slot unless a dispatch in flight needs them.
fn release(entry: &mut Entry, completion: CompletionId, effects: &mut Vec<Effect>) {
    if entry.dispatches.iter().any(|dispatch| dispatch.in_flight && dispatch.stage != Stage::Read) {
        return;
    }
    let state = entry.state.take().map(|state| (state.worker, state.seq));
    for (worker, seq) in state.into_iter().chain(entry.reserved_slot.take()) {
        effects.push(Effect::Release { worker, completion, seq });
    }
}
