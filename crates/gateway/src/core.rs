//! The core: one task that owns the book and where workers are reached. Everything else sends it what happened over
//! one bounded channel; it says what the sockets do.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use paddleproxy::interface::*;
use paddleproxy_engine::StateReference;
use paddleproxy_platform::{report, List, Provision};
use paddleproxy_router::book::Book;
use paddleproxy_router::clock::Clock;
use paddleproxy_router::duty::Duty;
use paddleproxy_routing::{Effect, Input, Ledger, OutgoingDispatch, SocketEnd, Withdrawal};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::{debug, info, warn};

use crate::attempt::{pieces, Attempt};
use crate::discovery::Refetch;
use crate::messages::{AttemptCommand, AttemptEnd, ClientRequest, CoreEvent, CoreSender, Reply};
use crate::pool::Pool;
use crate::servers::{room, Releases, ServerDirectory};

pub struct Core {
    book: Book,
    provision: Rc<Provision>,
    pool: Rc<Pool>,
    owed: BTreeMap<CompletionId, Duty<Reply>>,
    requests: BTreeMap<CompletionId, Rc<ClientRequest>>,
    words: BTreeMap<(CompletionId, Seq), mpsc::Sender<AttemptCommand>>,
    /// Where the listed workers are reached, and who answered of late.
    fleet: Rc<RefCell<ServerDirectory>>,
    outcomes: BTreeMap<&'static str, u64>,
    releases: Rc<Releases>,
    own: CoreSender,
    lists: mpsc::Sender<Refetch>,
}

impl Core {
    pub fn new(
        provision: Rc<Provision>,
        clock: Clock,
        seed: u64,
        pool: Rc<Pool>,
        own: CoreSender,
        lists: mpsc::Sender<Refetch>,
    ) -> Self {
        let ledger = Ledger::new(provision.settings.clone(), provision.answer_slack_ms, seed);
        let fleet = Rc::new(RefCell::new(ServerDirectory::new(provision.settings.zone)));
        let releases = Rc::new(Releases::new(pool.clone(), fleet.clone(), clock, seed));
        Core {
            book: Book::new(clock, ledger),
            provision,
            pool,
            owed: BTreeMap::new(),
            requests: BTreeMap::new(),
            words: BTreeMap::new(),
            fleet,
            outcomes: BTreeMap::new(),
            releases,
            own,
            lists,
        }
    }

    pub async fn run(mut self, mut told: mpsc::Receiver<CoreEvent>) {
        loop {
            tokio::select! {
                biased;
                due = self.book.due() => self.handle(Input::TimerFired(due)),
                next = told.recv() => match next {
                    Some(next) => self.take(next),
                    None => return,
                },
            }
        }
    }

    fn take(&mut self, told: CoreEvent) {
        match told {
            CoreEvent::Arrived { arrival, request, duty } => {
                debug!(
                    completion = arrival.completion.0,
                    id = %request.id,
                    workload = arrival.workload.0,
                    prompt = arrival.prompt_tokens,
                    session = arrival.session.0,
                    prefix = arrival.prefix.map(|prefix| prefix.0),
                    prefix_tokens = arrival.prefix_tokens,
                    "arrived"
                );
                self.owed.insert(arrival.completion, duty);
                self.requests.insert(arrival.completion, request);
                self.handle(Input::Arrived { arrival, streamed: true });
            }
            CoreEvent::Began { completion, seq, took_ms } => {
                debug!(completion = completion.0, seq = seq.0, took_ms, "began");
                if let Some(worker) = self.book.worker(completion, seq) {
                    self.fleet.borrow_mut().hearing.record_answer(worker, self.book.clock.now_ms());
                }
                self.handle(Input::Began { completion, seq, took_ms })
            }
            CoreEvent::Ended { completion, seq, took_ms, end } => self.ended(completion, seq, took_ms, end),
            CoreEvent::Left { completion } => {
                debug!(completion = completion.0, "the client left");
                // Nobody waits for an answer any more, so none is lost.
                self.owed.remove(&completion).into_iter().for_each(Duty::void);
                self.handle(Input::Left { completion });
            }
            CoreEvent::Probed { worker, load, answered, took_ms } => {
                self.fleet.borrow_mut().heard(&worker, answered, self.book.clock.now_ms());
                self.reported(&worker, load);
                self.handle(Input::Probed { worker, answered, took_ms });
            }
            CoreEvent::HoldAnswered { completion, seq, worker, request, held } => {
                // A place that is no longer wanted is let go of by the same id.
                let over = !self.requests.contains_key(&completion);
                self.requests.entry(completion).or_insert(request);
                self.handle(Input::HoldAnswered { completion, seq, worker, held });
                if over {
                    self.requests.remove(&completion);
                }
            }
            CoreEvent::Listed(list) => {
                let kind = if list.whole { ListKind::Whole } else { ListKind::Changes };
                self.listed(list, kind);
            }
            CoreEvent::Settings(provision) => {
                self.provision = provision;
                self.fleet.borrow_mut().hearing.set_own_zone(self.provision.settings.zone);
                let settings = Box::new(self.provision.settings.clone());
                let answer_slack_ms = self.provision.answer_slack_ms;
                self.handle(Input::Settings { settings, answer_slack_ms });
            }
            CoreEvent::LastAnswers => self.handle(Input::Stop { streams: false }),
            CoreEvent::Tell(to) => {
                let figures = format!(
                    "{:?}; owed {}, outcomes {:?}, releases {}, connections {} held and {} opened",
                    self.book.counts(),
                    self.owed.len(),
                    self.outcomes,
                    self.releases.figures(),
                    self.pool.held(),
                    self.pool.opened.get(),
                );
                let _ = to.send((self.book.open() + self.releases.out(), figures));
            }
        }
    }

    pub fn listed(&mut self, list: List, kind: ListKind) {
        if list.unknown > 0 {
            warn!(
                version = list.version,
                unknown = list.unknown,
                "entries that name what the settings don't"
            );
        }
        debug!(version = list.version, ?kind, rows = list.rows.len(), "list");
        let rows = self.fleet.borrow_mut().listed(list, kind);
        for row in rows.iter() {
            let Listing { worker, zone, kind, cell, readiness, .. } = row;
            debug!(worker = %worker.0, zone = zone.0, kind = kind.0, cell = cell.0, ?readiness, "listed");
        }
        self.handle(Input::Listed { kind, rows });
    }

    fn ended(&mut self, completion: CompletionId, seq: Seq, took_ms: f64, end: AttemptEnd) {
        let AttemptEnd { end, kept_tokens, load } = end;
        self.words.remove(&(completion, seq));
        let worker = self.book.worker(completion, seq).cloned();
        debug!(
            completion = completion.0,
            seq = seq.0,
            worker = worker.as_ref().map_or("", |worker| &worker.0),
            ?end,
            took_ms,
            kept_tokens,
            ?load,
            "ended"
        );
        *self.outcomes.entry(name(&end)).or_default() += 1;
        if let Some(worker) = worker {
            self.fleet.borrow_mut().hearing.record_dispatch_end(&worker, &end, self.book.clock.now_ms());
            self.reported(&worker, load);
        }
        // Workers know a state by the id of its completion alone, so the reference has nothing to tell.
        let state = (end == SocketEnd::ReadDone).then(StateReference::default);
        self.handle(Input::Ended { completion, seq, took_ms, end, cached_tokens: kept_tokens, state });
    }

    fn reported(&mut self, worker: &WorkerId, load: Option<LoadReport>) {
        if let Some(load) = load.filter(|_| self.provision.reports) {
            self.handle(Input::Reported { worker: worker.clone(), load });
        }
    }

    fn handle(&mut self, input: Input) {
        for effect in self.book.handle(input) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Send(sending) => self.send(sending),
            Effect::Stop { completion, seq } => {
                if let Some(words) = self.words.get(&(completion, seq)) {
                    // Room for one grant and one stop; a second stop says nothing new.
                    let _ = words.try_send(AttemptCommand::Stop);
                }
            }
            Effect::Grant { completion, seq } => {
                let Some(duty) = self.owed.remove(&completion) else { return };
                let (sender, receiver) = pieces();
                if let Some(words) = self.words.get(&(completion, seq)) {
                    let _ = words.try_send(AttemptCommand::Grant(sender));
                }
                duty.give(Reply::Stream(receiver));
            }
            Effect::RateLimit { completion, retry_after_ms } => {
                debug!(completion = completion.0, retry_after_ms, "rate-limited");
                let owed = self.owed.remove(&completion);
                owed.into_iter().for_each(|duty| duty.give(Reply::RateLimited { retry_after_ms }));
            }
            // A whole answer is never delivered here: each is a stream that is granted.
            Effect::Abort { completion } | Effect::Deliver { completion, .. } => {
                debug!(completion = completion.0, "aborted");
                self.owed.remove(&completion).into_iter().for_each(|duty| duty.give(Reply::Aborted));
            }
            Effect::Forget { completion } => {
                self.owed.remove(&completion);
                self.requests.remove(&completion);
            }
            // What a dispatch comes for is never let go of by this word, so that it serves both.
            Effect::Release { worker, completion, .. }
            | Effect::ReleaseUnclaimed { worker, completion, .. } => {
                if let Some(request) = self.requests.get(&completion) {
                    self.releases.begin(worker, &request.id, self.provision.settings.pin_limit_ms);
                }
            }
            Effect::Hold { worker, completion, seq, .. } => self.hold(worker, completion, seq),
            Effect::Probe { worker } => self.probe(worker),
            Effect::CloseIdle { worker } => {
                self.dial(&worker).into_iter().for_each(|address| self.pool.close_idle(address));
            }
            // A discovery task with that many words waiting is about to ask anyway.
            Effect::Subscribe | Effect::FetchList => drop(self.lists.try_send(Refetch)),
            Effect::Note(text) => info!(text, "decisions"),
            // The book has set its timers; nothing is kept on a disk here.
            Effect::Arm { .. } | Effect::CacheUpdated { .. } => {}
        }
    }

    fn dial(&self, worker: &WorkerId) -> Option<SocketAddr> {
        self.fleet.borrow().dial(worker)
    }

    fn send(&mut self, sending: OutgoingDispatch) {
        let (completion, seq) = (sending.completion, sending.seq);
        let Some(request) = self.requests.get(&completion).cloned() else { return };
        let (sender, words) = mpsc::channel(2);
        self.words.insert((completion, seq), sender);
        debug!(completion = completion.0, seq = seq.0, worker = %sending.worker.0, stage = ?sending.stage, "dispatch");
        let dispatch = Attempt {
            address: self.dial(&sending.worker),
            sending,
            request,
            fleet: self.fleet.clone(),
            words,
            pool: self.pool.clone(),
            clock: self.book.clock,
            core: self.own.clone(),
            kept_tokens: 0.0,
            load: None,
        };
        tokio::task::spawn_local(dispatch.run());
    }

    fn hold(&self, worker: WorkerId, completion: CompletionId, seq: Seq) {
        let Some(request) = self.requests.get(&completion).cloned() else { return };
        let Some(address) = self.dial(&worker) else { return };
        let (pool, core) = (self.pool.clone(), self.own.clone());
        let within_ms = self.provision.settings.pin_limit_ms;
        tokio::task::spawn_local(async move {
            let status =
                pool.call(address, "POST", &room(&request.id), within_ms).await.map(|(head, _)| head.status);
            // What is not known may be held; a worker that can't be heard gives no answer.
            let held = match status {
                Ok(200 | 204) => true,
                Ok(409) => false,
                _ => return,
            };
            let _ = core.send(CoreEvent::HoldAnswered { completion, seq, worker, request, held }).await;
        });
    }

    fn probe(&self, worker: WorkerId) {
        let address = self.dial(&worker);
        let path = if self.provision.reports { "/_load" } else { "/ping" };
        let (pool, core) = (self.pool.clone(), self.own.clone());
        tokio::task::spawn_local(async move {
            let began = Instant::now();
            let answer = match address {
                Some(address) => pool.call(address, "GET", path, pool.connect_ms()).await.ok(),
                None => None,
            };
            let took_ms = began.elapsed().as_secs_f64() * 1e3;
            let answered = answer.as_ref().is_some_and(|(head, _)| head.status == 200);
            let load = answer.and_then(|(head, body)| {
                head.load.or_else(|| std::str::from_utf8(&body).ok().and_then(report::parse))
            });
            let _ = core.send(CoreEvent::Probed { worker, load, answered, took_ms }).await;
        });
    }
}

/// For the log's figures.
fn name(end: &SocketEnd) -> &'static str {
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
