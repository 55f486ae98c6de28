//! The core: a single task that owns the ledger of requests and the addresses of the servers. All other tasks
//! send it events over one bounded channel; it carries out the effects that the ledger returns by starting
//! attempts, probes and releases and by answering clients.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use paddleproxy::interface::*;
use paddleproxy_engine::StateReference;
use paddleproxy_platform::{report, List, PlatformSettings};
use paddleproxy_router::clock::Clock;
use paddleproxy_router::pending_answer::PendingAnswer;
use paddleproxy_router::timed_ledger::TimedLedger;
use paddleproxy_routing::{Effect, Input, Ledger, OutgoingDispatch, SocketEnd, Withdrawal};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::{debug, info, warn};

use crate::attempt::{stream_channel, Attempt};
use crate::discovery::Refetch;
use crate::messages::{AttemptCommand, AttemptEnd, ClientRequest, CoreEvent, CoreSender, Reply};
use crate::pool::Pool;
use crate::servers::{hold_path, Releases, ServerDirectory};

/// Lives as long as the router.
pub struct Core {
    ledger: TimedLedger,
    platform_settings: Rc<PlatformSettings>,
    pool: Rc<Pool>,
    /// Answers that clients wait for. Each is consumed by giving it.
    pending_answers: BTreeMap<CompletionId, PendingAnswer<Reply>>,
    requests: BTreeMap<CompletionId, Rc<ClientRequest>>,
    /// Commands to the running attempts.
    commands: BTreeMap<(CompletionId, Seq), mpsc::Sender<AttemptCommand>>,
    /// Addresses of the listed servers, and which of them answered recently.
    directory: Rc<RefCell<ServerDirectory>>,
    /// How many attempts ended in each way.
    attempt_ends: BTreeMap<&'static str, u64>,
    releases: Rc<Releases>,
    /// The sender of the core's own channel, for the tasks that it starts.
    events: CoreSender,
    /// Requests to the discovery task to fetch the whole list.
    refetches: mpsc::Sender<Refetch>,
}

impl Core {
    pub fn new(
        platform_settings: Rc<PlatformSettings>,
        clock: Clock,
        seed: u64,
        pool: Rc<Pool>,
        events: CoreSender,
        refetches: mpsc::Sender<Refetch>,
    ) -> Self {
        let ledger = Ledger::new(platform_settings.settings.clone(), platform_settings.answer_slack_ms, seed);
        let directory = Rc::new(RefCell::new(ServerDirectory::new(platform_settings.settings.zone)));
        let releases = Rc::new(Releases::new(pool.clone(), directory.clone(), clock, seed));
        Core {
            ledger: TimedLedger::new(clock, ledger),
            platform_settings,
            pool,
            pending_answers: BTreeMap::new(),
            requests: BTreeMap::new(),
            commands: BTreeMap::new(),
            directory,
            attempt_ends: BTreeMap::new(),
            releases,
            events,
            refetches,
        }
    }

    pub async fn run(mut self, mut events: mpsc::Receiver<CoreEvent>) {
        loop {
            tokio::select! {
                biased;
                due = self.ledger.due() => self.handle_input(Input::TimerFired(due)),
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
            }
        }
    }

    fn handle_event(&mut self, event: CoreEvent) {
        match event {
            CoreEvent::Arrived { arrival, request, pending_answer } => {
                debug!(
                    completion = arrival.completion.0,
                    id = %request.id,
                    workload = arrival.workload.0,
                    prompt = arrival.prompt_tokens,
                    session = arrival.session.0,
                    prefix = arrival.prefix.map(|prefix| prefix.0),
                    prefix_tokens = arrival.prefix_tokens,
                    "request arrived"
                );
                self.pending_answers.insert(arrival.completion, pending_answer);
                self.requests.insert(arrival.completion, request);
                self.handle_input(Input::Arrived { arrival, streamed: true });
            }
            CoreEvent::Began { completion, seq, took_ms } => {
                debug!(completion = completion.0, seq = seq.0, took_ms, "first event received");
                if let Some(worker) = self.ledger.worker(completion, seq) {
                    self.directory
                        .borrow_mut()
                        .reachability
                        .record_answer(worker, self.ledger.clock.now_ms());
                }
                self.handle_input(Input::Began { completion, seq, took_ms })
            }
            CoreEvent::Ended { completion, seq, took_ms, end } => {
                self.attempt_ended(completion, seq, took_ms, end)
            }
            CoreEvent::Left { completion } => {
                debug!(completion = completion.0, "client disconnected");
                // Nobody waits for this answer any more, so it must not be counted as dropped.
                self.pending_answers.remove(&completion).into_iter().for_each(PendingAnswer::cancel);
                self.handle_input(Input::Left { completion });
            }
            CoreEvent::Probed { worker, load, answered, took_ms } => {
                self.directory.borrow_mut().record_call(&worker, answered, self.ledger.clock.now_ms());
                self.report_load(&worker, load);
                self.handle_input(Input::Probed { worker, answered, took_ms });
            }
            CoreEvent::HoldAnswered { completion, seq, worker, request, held } => {
                // A slot that is no longer wanted is released under the same request id, so the request is
                // kept until the ledger has handled the answer.
                let finished = !self.requests.contains_key(&completion);
                self.requests.entry(completion).or_insert(request);
                self.handle_input(Input::HoldAnswered { completion, seq, worker, held });
                if finished {
                    self.requests.remove(&completion);
                }
            }
            CoreEvent::Listed(list) => {
                let kind = if list.whole { ListKind::Whole } else { ListKind::Changes };
                self.apply_list(list, kind);
            }
            CoreEvent::Settings(platform_settings) => {
                self.platform_settings = platform_settings;
                self.directory.borrow_mut().reachability.set_own_zone(self.platform_settings.settings.zone);
                let settings = Box::new(self.platform_settings.settings.clone());
                let answer_slack_ms = self.platform_settings.answer_slack_ms;
                self.handle_input(Input::Settings { settings, answer_slack_ms });
            }
            CoreEvent::LastAnswers => self.handle_input(Input::Stop { streams: false }),
            CoreEvent::QueryStats(to) => {
                let stats = format!(
                    "{:?}; pending answers {}, attempt ends {:?}, releases {}, \
                     connections {} open and {} opened",
                    self.ledger.counts(),
                    self.pending_answers.len(),
                    self.attempt_ends,
                    self.releases.stats(),
                    self.pool.open_connections(),
                    self.pool.opened.get(),
                );
                let _ = to.send((self.ledger.open() + self.releases.in_flight(), stats));
            }
        }
    }

    pub fn apply_list(&mut self, list: List, kind: ListKind) {
        if list.unknown > 0 {
            warn!(
                version = list.version,
                unknown = list.unknown,
                "list has entries with names that the settings lack"
            );
        }
        debug!(version = list.version, ?kind, rows = list.rows.len(), "list received");
        let rows = self.directory.borrow_mut().apply_list(list, kind);
        for row in rows.iter() {
            let Listing { worker, zone, kind, cell, readiness, .. } = row;
            debug!(worker = %worker.0, zone = zone.0, kind = kind.0, cell = cell.0, ?readiness, "list entry");
        }
        self.handle_input(Input::Listed { kind, rows });
    }

    fn attempt_ended(&mut self, completion: CompletionId, seq: Seq, took_ms: f64, end: AttemptEnd) {
        let AttemptEnd { end, cached_tokens, load } = end;
        self.commands.remove(&(completion, seq));
        let worker = self.ledger.worker(completion, seq).cloned();
        debug!(
            completion = completion.0,
            seq = seq.0,
            worker = worker.as_ref().map_or("", |worker| &worker.0),
            ?end,
            took_ms,
            kept_tokens = cached_tokens,
            ?load,
            "attempt ended"
        );
        *self.attempt_ends.entry(end_name(&end)).or_default() += 1;
        if let Some(worker) = worker {
            self.directory.borrow_mut().reachability.record_dispatch_end(
                &worker,
                &end,
                self.ledger.clock.now_ms(),
            );
            self.report_load(&worker, load);
        }
        // Servers identify a state by its request id alone, so the reference carries no data.
        let state = (end == SocketEnd::ReadDone).then(StateReference::default);
        self.handle_input(Input::Ended { completion, seq, took_ms, end, cached_tokens, state });
    }

    fn report_load(&mut self, worker: &WorkerId, load: Option<LoadReport>) {
        if let Some(load) = load.filter(|_| self.platform_settings.reports) {
            self.handle_input(Input::Reported { worker: worker.clone(), load });
        }
    }

    fn handle_input(&mut self, input: Input) {
        for effect in self.ledger.handle(input) {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send(sending) => self.start_attempt(sending),
            Effect::Stop { completion, seq } => {
                if let Some(commands) = self.commands.get(&(completion, seq)) {
                    // The channel holds one grant and one stop; a second stop is redundant.
                    let _ = commands.try_send(AttemptCommand::Stop);
                }
            }
            Effect::Grant { completion, seq } => {
                let Some(pending) = self.pending_answers.remove(&completion) else { return };
                let (sender, receiver) = stream_channel();
                if let Some(commands) = self.commands.get(&(completion, seq)) {
                    let _ = commands.try_send(AttemptCommand::Grant(sender));
                }
                pending.send(Reply::Stream(receiver));
            }
            Effect::RateLimit { completion, retry_after_ms } => {
                debug!(completion = completion.0, retry_after_ms, "request rate-limited");
                let pending = self.pending_answers.remove(&completion);
                pending.into_iter().for_each(|answer| answer.send(Reply::RateLimited { retry_after_ms }));
            }
            // `Deliver` never occurs here: this router's answers are all streams, which are granted instead.
            Effect::Abort { completion } | Effect::Deliver { completion, .. } => {
                debug!(completion = completion.0, "request aborted");
                self.pending_answers
                    .remove(&completion)
                    .into_iter()
                    .for_each(|answer| answer.send(Reply::Aborted));
            }
            Effect::Forget { completion } => {
                self.pending_answers.remove(&completion);
                self.requests.remove(&completion);
            }
            // The platform's release call never removes a state that a dispatch has come for, so one call
            // serves both effects.
            Effect::Release { worker, completion, .. }
            | Effect::ReleaseUnclaimed { worker, completion, .. } => {
                if let Some(request) = self.requests.get(&completion) {
                    self.releases.begin(worker, &request.id, self.platform_settings.settings.pin_limit_ms);
                }
            }
            Effect::Hold { worker, completion, seq, .. } => self.request_hold(worker, completion, seq),
            Effect::Probe { worker } => self.probe(worker),
            Effect::CloseIdle { worker } => {
                self.address(&worker).into_iter().for_each(|address| self.pool.close_idle(address));
            }
            // If the channel is full, the discovery task is about to fetch the list anyway.
            Effect::Subscribe | Effect::FetchList => drop(self.refetches.try_send(Refetch)),
            Effect::Note(text) => info!(text, "note from the decision modules"),
            // The ledger has set its timers already; this router persists nothing to disk.
            Effect::Arm { .. } | Effect::CacheUpdated { .. } => {}
        }
    }

    fn address(&self, worker: &WorkerId) -> Option<SocketAddr> {
        self.directory.borrow().address(worker)
    }

    fn start_attempt(&mut self, sending: OutgoingDispatch) {
        let (completion, seq) = (sending.completion, sending.seq);
        let Some(request) = self.requests.get(&completion).cloned() else { return };
        let (sender, commands) = mpsc::channel(2);
        self.commands.insert((completion, seq), sender);
        debug!(
            completion = completion.0,
            seq = seq.0,
            worker = %sending.worker.0,
            stage = ?sending.stage,
            "attempt started"
        );
        let attempt = Attempt {
            address: self.address(&sending.worker),
            sending,
            request,
            directory: self.directory.clone(),
            commands,
            pool: self.pool.clone(),
            clock: self.ledger.clock,
            core: self.events.clone(),
            cached_tokens: 0.0,
            load: None,
        };
        tokio::task::spawn_local(attempt.run());
    }

    fn request_hold(&self, worker: WorkerId, completion: CompletionId, seq: Seq) {
        let Some(request) = self.requests.get(&completion).cloned() else { return };
        let Some(address) = self.address(&worker) else { return };
        let (pool, core) = (self.pool.clone(), self.events.clone());
        let timeout_ms = self.platform_settings.settings.pin_limit_ms;
        tokio::task::spawn_local(async move {
            let status = pool
                .call(address, "POST", &hold_path(&request.id), timeout_ms)
                .await
                .map(|(head, _)| head.status);
            // A hold for an id that the server does not know counts as granted. Where no usable answer comes,
            // as from a server that can't be reached, none is reported.
            let held = match status {
                Ok(200 | 204) => true,
                Ok(409) => false,
                _ => return,
            };
            let _ = core.send(CoreEvent::HoldAnswered { completion, seq, worker, request, held }).await;
        });
    }

    fn probe(&self, worker: WorkerId) {
        let address = self.address(&worker);
        let path = if self.platform_settings.reports { "/_load" } else { "/ping" };
        let (pool, core) = (self.pool.clone(), self.events.clone());
        tokio::task::spawn_local(async move {
            let started = Instant::now();
            let answer = match address {
                Some(address) => pool.call(address, "GET", path, pool.connect_timeout_ms()).await.ok(),
                None => None,
            };
            let took_ms = started.elapsed().as_secs_f64() * 1e3;
            let answered = answer.as_ref().is_some_and(|(head, _)| head.status == 200);
            let load = answer.and_then(|(head, body)| {
                head.load.or_else(|| std::str::from_utf8(&body).ok().and_then(report::parse))
            });
            let _ = core.send(CoreEvent::Probed { worker, load, answered, took_ms }).await;
        });
    }
}

/// The name of an attempt's end in the log's statistics.
fn end_name(end: &SocketEnd) -> &'static str {
    match end {
        SocketEnd::ConnectRefused => "connect-refused",
        SocketEnd::Unreachable => "unreachable",
        SocketEnd::ConnectTimedOut => "connect-timed-out",
        SocketEnd::NoAddress => "no-address",
        SocketEnd::NoRoom => "no-room",
        SocketEnd::NeverWritten => "never-written",
        SocketEnd::Withdrawn(Withdrawal::ClientGone) => "withdrawn-client-gone",
        SocketEnd::Withdrawn(Withdrawal::OutOfTime) => "withdrawn-out-of-time",
        SocketEnd::Withdrawn(Withdrawal::RepeatTooLate) => "withdrawn-repeat-too-late",
        SocketEnd::Withdrawn(Withdrawal::ServerNotReady) => "withdrawn-server-not-ready",
        SocketEnd::TurnedAway(paddleproxy_engine::Refusal::StateGone) => "state-gone",
        SocketEnd::TurnedAway(_) => "full",
        SocketEnd::ErrorStatus(_) => "error",
        SocketEnd::BrokeBeforeAnswer => "broke-before-answer",
        SocketEnd::BrokeWithinAnswer => "broke-within-answer",
        SocketEnd::BrokeAfterFirst => "broke-after-first",
        SocketEnd::Stalled => "stalled",
        SocketEnd::TimedOut => "timed-out",
        SocketEnd::Stopped => "stopped",
        SocketEnd::Nonsense(_) => "nonsense",
        SocketEnd::ReadDone => "read",
        SocketEnd::AnswerDone => "finished",
    }
}
