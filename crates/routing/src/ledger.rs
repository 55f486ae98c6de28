//! The book of a router: completions, their dispatches, states that wait. Turns what the sockets saw into the
//! events of the decisions, and their actions into effects for the sockets.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use paddleproxy::interface::{self, *};
use paddleproxy::shutdown::retry_after_ms;
use paddleproxy::Control;
use paddleproxy_engine::StateReference;

use crate::outcomes::{never_ran, outcome, SocketEnd};
use crate::repeat_guard::{self, Breach, Location, MayHaveRun};

/// What a dispatch asks of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Read the prompt and keep the state.
    Read,
    /// Fetch the state and answer.
    Write,
    /// Read and answer.
    Whole,
}

/// What happened, as a socket, a list or the clock tells.
#[derive(Debug)]
pub enum Input {
    Arrived {
        arrival: Arrival,
        streamed: bool,
    },
    /// The first event of a streamed answer is there; the dispatch waits for `Effect::Grant` or `Effect::Stop`.
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
    /// The client is gone.
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
    /// What an earlier run knew as kept at servers.
    Recovered(Vec<Kept>),
    /// Other settings from now on; open completions keep the rows that they began under.
    Settings {
        settings: Box<Settings>,
        answer_slack_ms: f64,
    },
    /// The router stops and its time for that is over: everything still open ends now, streams that run too or not.
    Stop {
        streams: bool,
    },
}

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerTimer {
    Decisions(Timer),
    /// The client timeout and the slack have passed.
    Overdue(CompletionId),
    /// A state has waited for most of the limit.
    Pinned(CompletionId),
}

/// One dispatch to be sent.
#[derive(Clone, Debug)]
pub struct OutgoingDispatch {
    pub completion: CompletionId,
    pub seq: Seq,
    pub worker: WorkerId,
    pub stage: Stage,
    /// Clock time at which it times out, unless a streamed answer has begun.
    pub until_ms: f64,
    pub state: Option<Rc<StateReference>>,
    /// Tokens that the read of that state found kept.
    pub read_cached_tokens: f64,
    /// Clock time by which it has to be written where it takes a state: a connection that does not come up is no
    /// dispatch to whoever holds the state, whose time runs on meanwhile.
    pub write_by_ms: f64,
    /// Clock time by which a repeat has to be written whole: past its class's window it could take effect again.
    /// Infinite where nothing may have run before.
    pub repeat_by_ms: f64,
}

/// What the sockets are to do.
#[derive(Clone, Debug)]
pub enum Effect {
    Send(OutgoingDispatch),
    /// Close the connection of a dispatch that is out.
    Stop {
        completion: CompletionId,
        seq: Seq,
    },
    /// The stream of this dispatch is the answer.
    Grant {
        completion: CompletionId,
        seq: Seq,
    },
    /// The whole answer that this dispatch brought is the answer.
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
    /// Nothing more comes for it; whoever waits is let go.
    Forget {
        completion: CompletionId,
    },
    Arm {
        in_ms: f64,
        timer: LedgerTimer,
    },
    /// Let go of what this dispatch left, or will leave, at a server.
    Release {
        worker: WorkerId,
        completion: CompletionId,
        seq: Seq,
    },
    /// The same for a state that a dispatch was sent for, of which nothing was heard since: it goes only if no dispatch
    /// has come for it. Nothing where the wire knows no such word.
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
    /// A server keeps what this completion said, and the beginning that it shares.
    CacheUpdated {
        worker: WorkerId,
        session: SessionId,
        tokens: f64,
        prefix: Option<(PrefixId, f64)>,
    },
    Subscribe,
    FetchList,
    /// An action that the settings forbid, and anything that the decisions want said.
    Note(String),
}

/// What happened that should not, by kind; all stay 0 on a good day but `moot` and `late_first`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub arrived: u64,
    pub finished: u64,
    pub rate_limited: u64,
    pub aborted: u64,
    pub left: u64,
    pub lost_streams: u64,
    pub dispatches: u64,
    pub moot: u64,
    /// First events of a dispatch whose completion was over.
    pub late_first: u64,
    pub overdue: u64,
    /// States that this book let go of because the decisions had not.
    pub unpinned: u64,
    /// Reports of an end for a dispatch that had ended.
    pub ended_twice: u64,
    /// Dispatches that the decisions asked for against the rule on effects; they were not sent.
    pub breaches: u64,
}

/// Lives for one dispatch.
struct Dispatch {
    worker: WorkerId,
    stage: Stage,
    out: bool,
    /// Called off by the decisions, which are told of its end only.
    cancelled: bool,
    uses_state: bool,
    /// When it was decided, as long as it may have run.
    may_have_run_ms: Option<f64>,
}

struct Waiting {
    worker: WorkerId,
    seq: Seq,
    reference: Rc<StateReference>,
    cached_tokens: f64,
    /// Since when no dispatch that was sent is out; each that ends starts its time anew.
    since_ms: f64,
}

/// Lives until a completion is answered and its last dispatch has ended.
struct Entry {
    streamed: bool,
    deadline_ms: f64,
    /// As the settings were when it came; none where they did not name its class.
    workload: Option<WorkloadSettings>,
    prompt_tokens: f64,
    session: SessionId,
    prefix: Option<(PrefixId, f64)>,
    /// A final answer is owed and none is under way.
    owed: bool,
    /// The dispatch whose stream is the answer, while it runs.
    stream: Option<Seq>,
    dispatches: Vec<Dispatch>,
    state: Option<Waiting>,
    /// A place held ahead: where, and by the name of which dispatch.
    place: Option<(WorkerId, Seq)>,
    /// A dispatch that can have an effect is out, or ended without proof that it never ran.
    may_have_run: bool,
    /// One of those that ended was without that proof.
    ran_before: bool,
    /// When the first of those was decided.
    first_run_ms: Option<f64>,
}

impl Entry {
    fn out(&self) -> bool {
        self.dispatches.iter().any(|dispatch| dispatch.out)
    }

    fn over(&self) -> bool {
        !self.owed && self.stream.is_none()
    }

    /// Until when an attempt that may take effect again can be written. Servers drop repeats by key for so long only.
    fn repeat_by_ms(&self) -> f64 {
        let keyed = self.workload.as_ref().filter(|workload| workload.effect == interface::Effect::Tokened);
        let window_end =
            keyed.zip(self.first_run_ms).map(|(workload, first_ms)| first_ms + workload.window_ms);
        window_end.unwrap_or(f64::INFINITY)
    }
}

/// Part of the limit on pinned states after which this book lets go by itself.
const PIN_PATIENCE: f64 = 0.8;

/// Who decides: the module, or a baseline to measure it against.
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

/// Lives as long as the router.
pub struct Ledger<D = Control> {
    control: D,
    settings: Settings,
    answer_slack_ms: f64,
    /// Role and place of each listed server.
    listed: BTreeMap<WorkerId, (Role, Location)>,
    open: BTreeMap<CompletionId, Entry>,
    events: VecDeque<Event>,
    touched: BTreeSet<CompletionId>,
    counts: Counts,
    /// The last answers were given.
    stopped: bool,
}

impl Ledger {
    pub fn new(settings: Settings, answer_slack_ms: f64, seed: u64) -> Self {
        Ledger::with_decisions(Control::new(settings.clone(), seed), settings, answer_slack_ms)
    }
}

impl<D: Decisions> Ledger<D> {
    /// A book whose decisions are another's than the module's.
    pub fn with_decisions(decisions: D, settings: Settings, answer_slack_ms: f64) -> Self {
        Ledger {
            control: decisions,
            settings,
            answer_slack_ms,
            listed: BTreeMap::new(),
            open: BTreeMap::new(),
            events: VecDeque::new(),
            touched: BTreeSet::new(),
            counts: Counts::default(),
            stopped: false,
        }
    }

    /// Where a dispatch that is out went.
    pub fn worker(&self, completion: CompletionId, seq: Seq) -> Option<&WorkerId> {
        let entry = self.open.get(&completion)?;
        entry.dispatches.get(seq.0 as usize).map(|dispatch| &dispatch.worker)
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Completions that are not over or still have a dispatch out.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Takes in what happened and appends what is to be done, in order.
    pub fn handle(&mut self, now_ms: f64, input: Input, effects: &mut Vec<Effect>) {
        self.take_in(now_ms, input, effects);
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.control.handle(now_ms, &event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now_ms, action, effects);
            }
        }
        for completion in std::mem::take(&mut self.touched) {
            self.settle(completion, effects);
        }
    }

    fn take_in(&mut self, now_ms: f64, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Arrived { arrival, .. } if self.stopped => self.refuse(arrival.completion, effects),
            Input::Arrived { arrival, streamed } => {
                self.counts.arrived += 1;
                let entry = Entry {
                    streamed,
                    deadline_ms: arrival.client_timeout_ms,
                    workload: self.settings.workloads.get(arrival.workload.0).cloned(),
                    prompt_tokens: arrival.prompt_tokens,
                    session: arrival.session,
                    prefix: arrival.prefix.map(|prefix| (prefix, arrival.prefix_tokens)),
                    owed: true,
                    stream: None,
                    dispatches: Vec::new(),
                    state: None,
                    place: None,
                    may_have_run: false,
                    ran_before: false,
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
                    self.listed.clear();
                }
                for row in rows.iter() {
                    match self.settings.kinds.get(row.kind.0) {
                        Some(kind) if row.readiness != Readiness::Gone => {
                            let at = Location { zone: row.zone, cell: row.cell };
                            self.listed.insert(row.worker.clone(), (kind.role, at));
                        }
                        // Nothing is sent to who is gone, and names never come back for ever.
                        _ => {
                            self.listed.remove(&row.worker);
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
            Input::Recovered(kept) => self.events.push_back(Event::Recovered(kept)),
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
                // Guards against decisions that miss the client timeout. Harm: none that the miss has not done.
                if let Some(entry) = self.open.get_mut(&completion).filter(|entry| entry.owed) {
                    entry.owed = false;
                    self.counts.overdue += 1;
                    self.counts.aborted += 1;
                    effects.push(Effect::Abort { completion });
                    self.events.push_back(Event::Expired { completion });
                    self.touched.insert(completion);
                }
            }
            Input::TimerFired(LedgerTimer::Pinned(completion)) => {
                let early_ms = self.settings.resolution_ms / 2.0;
                let since_ms = now_ms - self.held_ms() + early_ms;
                let Some(entry) = self.open.get_mut(&completion) else { return };
                let Some(state) = entry.state.as_ref().filter(|state| state.since_ms <= since_ms) else {
                    return;
                };
                let (worker, seq) = (state.worker.clone(), state.seq);
                if entry.out() {
                    // Guards against a dispatch that never reached anybody, as into a cut that no socket has told of:
                    // its state waits with nobody coming. Harm: a call more for each answer that is slow to begin.
                    effects.push(Effect::ReleaseUnclaimed { worker, completion, seq });
                } else {
                    // Guards against a state that waits while nothing is out, whatever holds the decision up.
                    // Harm: the prompt is read anew.
                    entry.state = None;
                    self.counts.unpinned += 1;
                    effects.push(Effect::Release { worker, completion, seq });
                }
            }
        }
    }

    /// How long a state may wait before this book lets go of it, in ms.
    fn held_ms(&self) -> f64 {
        self.settings.pin_limit_ms * PIN_PATIENCE
    }

    fn began(&mut self, completion: CompletionId, seq: Seq, took_ms: f64, effects: &mut Vec<Effect>) {
        let entry = self.open.get_mut(&completion);
        // Guards against a first event that crosses the word to stop: its dispatch meets that word first and ends, so a
        // stream granted to it would be cut off before its client. Harm: an answer that had begun is not used.
        let runs = |sent: &Dispatch| sent.out && !sent.cancelled;
        let runs = |entry: &&mut Entry| entry.dispatches.get(seq.0 as usize).is_some_and(runs);
        let Some(entry) = entry.filter(|entry| entry.owed && entry.streamed && runs(entry)) else {
            self.counts.late_first += 1;
            effects.push(Effect::Stop { completion, seq });
            return;
        };
        entry.owed = false;
        entry.stream = Some(seq);
        effects.push(Effect::Grant { completion, seq });
        // A stream that has begun lets go of the rest; what the dispatch itself fetched is gone from its reader.
        let used = entry.dispatches[seq.0 as usize].uses_state;
        let rest = entry.state.take().filter(|_| !used).map(|state| (state.worker, state.seq));
        let taken = &entry.dispatches[seq.0 as usize].worker;
        let place = entry.place.take().filter(|(worker, _)| worker != taken);
        for (worker, seq) in rest.into_iter().chain(place) {
            effects.push(Effect::Release { worker, completion, seq });
        }
        self.events.push_back(Event::Began { completion, seq, took_ms });
        self.touched.insert(completion);
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
        let held_ms = self.held_ms();
        let Some(entry) = self.open.get_mut(&completion) else { return };
        let Some(dispatch) = entry.dispatches.get_mut(seq.0 as usize).filter(|dispatch| dispatch.out) else {
            self.counts.ended_twice += 1;
            return;
        };
        dispatch.out = false;
        let (worker, stage, used) = (dispatch.worker.clone(), dispatch.stage, dispatch.uses_state);
        let mut result = outcome(end);
        match (result, state) {
            (Outcome::Read, Some(reference)) => {
                let waiting = Waiting {
                    worker: worker.clone(),
                    seq,
                    reference: Rc::new(reference),
                    cached_tokens,
                    since_ms: now_ms,
                };
                if let Some(old) = entry.state.replace(waiting) {
                    effects.push(Effect::Release { worker: old.worker, completion, seq: old.seq });
                }
                effects.push(Effect::Arm { in_ms: held_ms, timer: LedgerTimer::Pinned(completion) });
            }
            // Without a reference there is nothing that a writer could fetch.
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
        // Guards against a state that a reader keeps for an answer which never reached us. Harm: one call more.
        if stage == Stage::Read && !never_ran(result) {
            effects.push(Effect::Release { worker: worker.clone(), completion, seq });
        }
        if matches!(result, Outcome::Finished | Outcome::NoState) && used {
            let state = entry.state.take().filter(|_| result == Outcome::NoState);
            // Guards against a writer that says a state is gone because it can't reach it: nobody fetches it any more,
            // and it waits on. Harm: a call more where it was gone.
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
        } else if result == Outcome::Finished && entry.owed {
            entry.owed = false;
            self.counts.finished += 1;
            effects.push(Effect::Deliver { completion, seq });
        }
        let writing = entry.out();
        if let Some(state) = entry.state.as_mut().filter(|_| !writing && result != Outcome::Read) {
            // What was never sent is no end of a dispatch to whoever holds the state: its time has run on.
            if !matches!(result, Outcome::ConnectFailed | Outcome::Unsent) {
                state.since_ms = now_ms;
            }
            let in_ms = state.since_ms + held_ms - now_ms;
            effects.push(Effect::Arm { in_ms: in_ms.max(0.0), timer: LedgerTimer::Pinned(completion) });
        }
        // With one dispatch at a time its proof clears the completion; a second copy leaves it in doubt.
        if stage != Stage::Read && never_ran(result) && entry.dispatches.iter().all(|d| !d.out) {
            entry.may_have_run = entry.ran_before;
            entry.first_run_ms = entry.first_run_ms.filter(|_| entry.ran_before);
        }
        entry.ran_before |= stage != Stage::Read && !never_ran(result);
        let over = entry.over();
        self.events.push_back(Event::Ended {
            completion,
            seq,
            took_ms,
            over,
            outcome: result,
            kept_tokens: cached_tokens,
        });
        self.touched.insert(completion);
    }

    /// What comes after the last answers: nobody would be there for its own.
    fn refuse(&mut self, completion: CompletionId, effects: &mut Vec<Effect>) {
        self.counts.arrived += 1;
        self.counts.rate_limited += 1;
        effects.push(Effect::RateLimit { completion, retry_after_ms: self.stop_retry_after_ms() });
        effects.push(Effect::Forget { completion });
    }

    fn stop_retry_after_ms(&self) -> f64 {
        retry_after_ms(self.settings.retry_after, self.settings.max_retry_after_ms)
    }

    /// Each completion is answered by what is known of it: one that surely never ran may be tried at another router. With
    /// a read out that is sure only of a workload that may run again anywhere.
    fn stop(&mut self, streams: bool, effects: &mut Vec<Effect>) {
        self.stopped = true;
        let retry_after_ms = self.stop_retry_after_ms();
        for (completion, entry) in &mut self.open {
            let completion = *completion;
            if entry.owed {
                entry.owed = false;
                let anywhere = entry.workload.as_ref().is_some_and(|workload| match workload.effect {
                    interface::Effect::Idempotent => true,
                    interface::Effect::Tokened => workload.group == Group::All,
                    interface::Effect::NonIdempotent => false,
                });
                if !entry.may_have_run && (anywhere || !entry.out()) {
                    self.counts.rate_limited += 1;
                    effects.push(Effect::RateLimit { completion, retry_after_ms });
                } else {
                    self.counts.aborted += 1;
                    effects.push(Effect::Abort { completion });
                }
                self.events.push_back(Event::Expired { completion });
            }
            for (row, _) in entry.dispatches.iter().enumerate().filter(|(_, dispatch)| dispatch.out) {
                let seq = Seq(row as u32);
                if streams || entry.stream != Some(seq) {
                    effects.push(Effect::Stop { completion, seq });
                }
            }
            self.touched.insert(completion);
        }
    }

    fn left(&mut self, completion: CompletionId, effects: &mut Vec<Effect>) {
        let Some(entry) = self.open.get_mut(&completion) else { return };
        if !entry.owed && entry.stream.is_none() {
            return;
        }
        self.counts.left += 1;
        entry.owed = false;
        if let Some(seq) = entry.stream {
            effects.push(Effect::Stop { completion, seq });
        }
        self.events.push_back(Event::Expired { completion });
        self.touched.insert(completion);
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
            entry.owed
                && entry.dispatches.get(seq.0 as usize).is_some_and(|d| d.out && d.stage == Stage::Read)
        });
        match reading {
            Some(entry) => {
                if held {
                    if let Some((old, seq)) = entry.place.replace((worker.clone(), seq)) {
                        effects.push(Effect::Release { worker: old, completion, seq });
                    }
                }
                self.events.push_back(Event::HoldAnswered { completion, seq, worker, held });
            }
            // Too late to be of use: the place goes at once.
            None if held => effects.push(Effect::Release { worker, completion, seq }),
            None => {}
        }
    }

    fn carry_out(&mut self, now_ms: f64, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::Dispatch { completion, worker, timeout_ms } => {
                self.dispatch(now_ms, completion, worker, timeout_ms, effects);
            }
            Action::Cancel { completion, seq } => {
                if !self.settings.cancel_allowed {
                    effects.push(Effect::Note("a cancel is not allowed by the settings".into()));
                    return;
                }
                let entry = self.open.get_mut(&completion).filter(|entry| entry.stream != Some(seq));
                let sent = entry.and_then(|entry| entry.dispatches.get_mut(seq.0 as usize));
                if let Some(sent) = sent.filter(|sent| sent.out) {
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
                if let Some(entry) = self.open.get_mut(&completion).filter(|entry| entry.owed) {
                    entry.owed = false;
                    self.counts.rate_limited += 1;
                    effects.push(Effect::RateLimit { completion, retry_after_ms });
                    self.touched.insert(completion);
                }
            }
            Action::Abort { completion } => {
                if let Some(entry) = self.open.get_mut(&completion).filter(|entry| entry.owed) {
                    entry.owed = false;
                    self.counts.aborted += 1;
                    effects.push(Effect::Abort { completion });
                    self.touched.insert(completion);
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
                effects.push(Effect::Note("a probe is not allowed by the settings".into()))
            }
            Action::CloseIdle { worker } => effects.push(Effect::CloseIdle { worker }),
            Action::MoveStream { .. } => {
                effects
                    .push(Effect::Note("a running stream can't be moved: no server here resumes one".into()));
            }
            Action::Tell { .. } => {
                effects.push(Effect::Note("nothing is told to other routers: they share nothing".into()));
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
        let (role, to) = self.listed.get(&worker).copied().unzip();
        let breach = self.breach(now_ms, completion, to);
        let held_ms = self.held_ms();
        let Some(entry) = self.open.get_mut(&completion) else {
            self.counts.moot += 1;
            let (seq, outcome) = (Seq(0), Outcome::Moot);
            let ended = Event::Ended { completion, seq, took_ms: 0.0, over: true, outcome, kept_tokens: 0.0 };
            self.events.push_back(ended);
            return;
        };
        let seq = Seq(entry.dispatches.len() as u32);
        let second = entry.out() && !self.settings.second_copies;
        let beyond = entry.dispatches.len() >= self.settings.max_dispatches;
        self.counts.breaches += u64::from(breach.is_some());
        let moot = !entry.owed || now_ms >= entry.deadline_ms || second || beyond || role.is_none();
        let moot = moot || breach.is_some();
        let has_state = entry.state.is_some();
        let stage = match role {
            Some(Role::Reader) => Stage::Read,
            _ if has_state => Stage::Write,
            _ => Stage::Whole,
        };
        // A writer that can't read has nothing to do without a state: known here, without asking it.
        let stateless = role == Some(Role::Writer) && !has_state && !self.settings.writers_read;
        let uses_state = stage == Stage::Write;
        let out = !moot && !stateless;
        let may_have_run_ms = Some(now_ms).filter(|_| out && stage != Stage::Read);
        let worker_at = worker.clone();
        let dispatch =
            Dispatch { worker: worker_at, stage, out, cancelled: false, uses_state, may_have_run_ms };
        entry.dispatches.push(dispatch);
        if !out {
            if let Some(breach) = breach {
                effects.push(Effect::Note(format!(
                    "a dispatch against the rule on effects is not sent: {breach:?}"
                )));
            }
            self.counts.moot += u64::from(moot);
            let outcome = if moot { Outcome::Moot } else { Outcome::NoState };
            let over = entry.over();
            let ended = Event::Ended { completion, seq, took_ms: 0.0, over, outcome, kept_tokens: 0.0 };
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
        // A place held elsewhere is of no use once the answer is asked for here; one held here is taken.
        if stage != Stage::Read {
            if let Some((at, by)) = entry.place.take().filter(|(at, _)| *at != worker) {
                effects.push(Effect::Release { worker: at, completion, seq: by });
            }
        }
        let used = entry.state.as_ref().filter(|_| uses_state);
        let (state, read_cached_tokens) =
            (used.map(|state| state.reference.clone()), used.map_or(0.0, |s| s.cached_tokens));
        let until_ms = limit_ms.min(entry.deadline_ms);
        let write_by_ms = used.map_or(until_ms, |state| until_ms.min(state.since_ms + held_ms));
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

    /// Why one more dispatch of a completion must not be sent there, if so.
    fn breach(&self, now_ms: f64, completion: CompletionId, to: Option<Location>) -> Option<Breach> {
        let entry = self.open.get(&completion)?;
        let may_have_run = |dispatch: &Dispatch| {
            let at = self.listed.get(&dispatch.worker).map(|(_, at)| *at);
            Some(MayHaveRun { at, decided_ms: dispatch.may_have_run_ms? })
        };
        let earlier = entry.dispatches.iter().filter_map(may_have_run);
        repeat_guard::check(entry.workload.as_ref()?, earlier, to?, now_ms).err()
    }

    fn hold(&mut self, completion: CompletionId, worker: WorkerId, effects: &mut Vec<Effect>) {
        if !self.settings.holds_allowed {
            effects.push(Effect::Note("a place held ahead is not allowed by the settings".into()));
            return;
        }
        let Some(entry) = self.open.get(&completion) else { return };
        let reading = entry.dispatches.iter().rposition(|d| d.out && d.stage == Stage::Read);
        if let Some(seq) = reading.map(|row| Seq(row as u32)) {
            effects.push(Effect::Hold { worker, completion, seq, tokens: entry.prompt_tokens });
        }
    }

    /// Drops what is over; what it still holds is let go.
    fn settle(&mut self, completion: CompletionId, effects: &mut Vec<Effect>) {
        let Some(entry) = self.open.get_mut(&completion) else { return };
        if !entry.over() || entry.out() {
            return;
        }
        // Guards against decisions that forgot a state. Harm: none, a release may be told twice.
        if entry.state.is_some() || entry.place.is_some() {
            self.counts.unpinned += 1;
            release(entry, completion, effects);
        }
        self.open.remove(&completion);
        effects.push(Effect::Forget { completion });
    }
}

/// Lets go of every state and place that no dispatch waits for.
fn release(entry: &mut Entry, completion: CompletionId, effects: &mut Vec<Effect>) {
    if entry.dispatches.iter().any(|dispatch| dispatch.out && dispatch.stage != Stage::Read) {
        return;
    }
    let state = entry.state.take().map(|state| (state.worker, state.seq));
    for (worker, seq) in state.into_iter().chain(entry.place.take()) {
        effects.push(Effect::Release { worker, completion, seq });
    }
}
