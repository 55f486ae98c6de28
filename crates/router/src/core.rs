//! The core: one task that owns the ledger with its `Control`, the list and the timers. Everything else sends it
//! what happened over one bounded channel.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::FutureExt;
use hyper::Method;
use paddleproxy::interface::*;
use paddleproxy_engine as wire;
use paddleproxy_engine::Load;
use paddleproxy_failover::Met;
use paddleproxy_membership::{Heard, Membership, Saved, SourceId};
use paddleproxy_messages::{Answer, ApiError, ErrorKind};
use paddleproxy_peers::Granted;
use paddleproxy_routing::{
    DeliveryFailure, Effect, Input, Ledger, OutgoingDispatch, Reachability, ReleaseDelivery, ReleaseRoute,
    SocketEnd, UndeliveredReleases,
};
use paddleproxy_settings::router::RouterSettings;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};
use tracing::{debug, info, warn};

use crate::answer::Owed;
use crate::clock::{duration, Clock};
use crate::dispatch::{request_id, Dispatch};
use crate::engines::Engines;
use crate::events::{
    ClientRequest, CoreEvent, CoreSender, CoreStatus, DispatchCommand, DispatchEnd, ListPosition,
};
use crate::failover::{self, Desked};
use crate::list::ListRequest;
use crate::peers;
use crate::release::{self, CallResult};
use crate::state::{Left, State};
use crate::timed_ledger::TimedLedger;

pub struct Core {
    settings: Rc<RouterSettings>,
    boot: u64,
    book: TimedLedger,
    membership: Membership,
    engines: Rc<Engines>,
    owed: BTreeMap<CompletionId, Owed>,
    asks: BTreeMap<CompletionId, Rc<ClientRequest>>,
    words: BTreeMap<(CompletionId, Seq), mpsc::Sender<DispatchCommand>>,
    /// Whole answers that wait for the ledger's word.
    wholes: BTreeMap<(CompletionId, Seq), Answer>,
    own: CoreSender,
    list: mpsc::Sender<ListRequest>,
    saves: watch::Sender<Option<Saved>>,
    state: Rc<State>,
    /// When the list changes by itself.
    wakes: Option<Instant>,
    /// The decisions' settings without what fellows agreed, that, and what is left once it lapses, and when it does.
    base: Settings,
    shared: Option<Granted>,
    floor: Option<Granted>,
    lapses: Option<Instant>,
    unheard: Rc<UndeliveredReleases>,
    /// Where failover between zones is decided, and the latency targets of open completions for it.
    desk: Option<Desked>,
    targets: BTreeMap<CompletionId, f64>,
}

impl Core {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        settings: Rc<RouterSettings>,
        clock: Clock,
        boot: u64,
        seed: u64,
        engines: Rc<Engines>,
        own: CoreSender,
        list: mpsc::Sender<ListRequest>,
        saves: watch::Sender<Option<Saved>>,
        state: Rc<State>,
    ) -> Self {
        let decisions = &settings.decisions;
        let roles = decisions.kinds.iter().map(|kind| kind.role);
        let kinds = settings.names.kinds.iter().cloned().zip(roles).collect();
        Core {
            book: TimedLedger::new(
                clock,
                Ledger::new(decisions.clone(), settings.front.answer_slack_ms, seed),
            ),
            membership: Membership::new(settings.names.zones.clone(), kinds, settings.membership),
            boot,
            engines,
            owed: BTreeMap::new(),
            asks: BTreeMap::new(),
            words: BTreeMap::new(),
            wholes: BTreeMap::new(),
            own,
            list,
            saves,
            state,
            wakes: None,
            base: settings.decisions.clone(),
            shared: None,
            floor: None,
            lapses: None,
            unheard: Rc::default(),
            desk: None,
            targets: BTreeMap::new(),
            settings,
        }
    }

    pub fn set_failover_controller(&mut self, desk: Desked) {
        self.desk = Some(desk);
    }

    /// Before any fellow was heard: what is left to a router without a lease.
    pub fn start_without_lease(&mut self, floor: Granted) {
        (self.shared, self.floor) = (Some(floor.clone()), Some(floor));
        self.resettle();
    }

    /// Takes in the list of an earlier run, if there is one; the version to ask on from. The decisions always get a
    /// saved list, if an empty one: with it they begin, and subscribe where that is theirs to do.
    pub fn recover(&mut self, saved: Option<Saved>, left: &Left) -> ListPosition {
        let mut rows: std::sync::Arc<[Listing]> = [].into();
        if let Some(saved) = saved {
            match self.membership.recover(self.book.clock.now_ms(), self.state.steady.now_ms(), &saved) {
                Ok(Heard::Listed { rows: recovered, .. }) => rows = recovered,
                Ok(_) => {}
                Err(cause) => warn!(%cause, "saved list refused; starting without one"),
            }
        }
        info!(servers = rows.len(), "saved list taken");
        if let Some(desk) = &self.desk {
            desk.borrow_mut().listed(ListKind::Saved, &rows);
        }
        self.handle(Input::Listed { kind: ListKind::Saved, rows });
        let kept = left.believed(self.state.steady.now_ms(), &self.membership.starts());
        info!(entries = kept.len(), "kept texts of the earlier run believed");
        self.handle(Input::Recovered(kept));
        self.membership.known(SourceId::Service)
    }

    pub async fn run(mut self, mut told: mpsc::Receiver<CoreEvent>) {
        loop {
            let wakes = self.wakes;
            tokio::select! {
                biased;
                _ = sleep_until(self.lapses.unwrap_or_else(Instant::now)), if self.lapses.is_some() => self.lapse(),
                due = self.book.due() => {
                    self.lapse();
                    self.handle(Input::TimerFired(due));
                }
                _ = sleep_until(wakes.unwrap_or_else(Instant::now)), if wakes.is_some() => {
                    let heard = self.membership.tick(self.book.clock.now_ms());
                    self.heard(heard);
                }
                next = told.recv() => match next {
                    Some(next) => self.take(next),
                    None => return,
                },
            }
        }
    }

    /// What was lent is over by the own clock, whatever waits to be handled: a process that was stopped finds it so
    /// before it sends anything.
    fn lapse(&mut self) {
        if self.lapses.is_some_and(|at| Instant::now() >= at) {
            self.lapses = None;
            self.shared = self.floor.clone();
            self.desk.iter().for_each(|desk| {
                desk.borrow_mut().force(None);
            });
            self.resettle();
        }
    }

    /// The decisions' settings with what fellows agreed laid over them.
    fn resettle(&mut self) {
        let decisions = match &self.shared {
            Some(granted) => peers::overlaid(&self.base, granted),
            None => self.base.clone(),
        };
        let answer_slack_ms = self.settings.front.answer_slack_ms;
        self.handle(Input::Settings { settings: Box::new(decisions), answer_slack_ms });
    }

    fn take(&mut self, told: CoreEvent) {
        self.lapse();
        match told {
            CoreEvent::Arrived { completion, facts, received_ms, request: ask, pending_reply: owed } => {
                let mut arrival = facts.arrival(completion, received_ms);
                if let Some(desk) = &self.desk {
                    arrival.home_zone = desk.borrow_mut().near(self.book.clock.now_ms(), arrival.session);
                    let target_ms = failover::target_ms(&self.base, &arrival);
                    self.targets.insert(completion, target_ms);
                }
                let streamed = ask.streamed;
                self.owed.insert(completion, owed);
                self.asks.insert(completion, ask);
                self.handle(Input::Arrived { arrival, streamed });
            }
            CoreEvent::Began { completion, seq, took_ms } => {
                self.met(completion, seq, failover::began(self.targets.get(&completion), took_ms));
                self.handle(Input::Began { completion, seq, took_ms })
            }
            CoreEvent::Ended { completion, seq, took_ms, end } => {
                debug!(completion = completion.0, seq = seq.0, end = ?end.end, took_ms, "dispatch ended");
                self.words.remove(&(completion, seq));
                if let Some(whole) = end.answer {
                    self.wholes.insert((completion, seq), whole);
                }
                let DispatchEnd { end, cached_tokens, state, .. } = end;
                self.saw(completion, seq, &end);
                self.met(completion, seq, failover::ended(self.targets.get(&completion), took_ms, &end));
                self.handle(Input::Ended { completion, seq, took_ms, end, cached_tokens, state });
                self.wholes.remove(&(completion, seq));
            }
            CoreEvent::ClientLeft { completion } => {
                // Nobody waits for an answer any more, so none is lost.
                self.owed.remove(&completion).into_iter().for_each(Owed::void);
                self.handle(Input::Left { completion });
            }
            CoreEvent::LoadReported { worker, load } => self.reported(worker, &load),
            CoreEvent::Probed { worker, load, answered, took_ms } => {
                if let Some(load) = load {
                    self.reported(worker.clone(), &load);
                }
                self.asked(&worker, answered);
                self.handle(Input::Probed { worker, answered, took_ms });
            }
            CoreEvent::HoldAnswered { completion, seq, worker, held } => {
                self.handle(Input::HoldAnswered { completion, seq, worker, held });
            }
            CoreEvent::ListReceived { source, list, fingerprint, next } => {
                let _ = next.send(self.hear(source, &list, fingerprint));
            }
            CoreEvent::ListUnchanged { source } => self.membership.spoke(self.book.clock.now_ms(), source),
            CoreEvent::ListInvalid { source, why } => {
                warn!(source = source.name(), why, "list refused");
                self.membership.unreadable(source, &why);
            }
            CoreEvent::OperatorCommand { server, command: word, done } => {
                let heard = self.membership.say(self.book.clock.now_ms(), &server, word);
                let known = heard.is_some();
                info!(server, ?word, known, "an operator's word");
                heard.into_iter().for_each(|heard| self.heard(heard));
                let _ = done.send(known.then(|| self.membership.revision()));
            }
            CoreEvent::AcceptHeldList { done } => {
                let heard = self.membership.accept(self.book.clock.now_ms());
                let held = heard.is_some();
                heard.into_iter().for_each(|heard| self.heard(heard));
                let _ = done.send(held.then(|| self.membership.revision()));
            }
            CoreEvent::GetMembership { status } => {
                let cold_ms = self.settings.decisions.cold_ms;
                let _ = status.send(self.membership.status(self.book.clock.now_ms(), cold_ms));
            }
            CoreEvent::ReachabilityChecked { worker, reachable: there } => {
                self.asked(&worker, there);
                let heard = self.membership.observe(self.book.clock.now_ms(), &worker, there);
                self.heard(heard);
            }
            CoreEvent::CheckReachability { workers } => {
                workers.into_iter().for_each(|worker| self.look(worker))
            }
            CoreEvent::SettingsChanged { decisions } => {
                self.base = *decisions;
                self.resettle();
            }
            CoreEvent::SharesGranted { granted, floor } => {
                self.lapses = peers::lapses(self.book.clock, &granted);
                (self.shared, self.floor) = (Some(granted), Some(floor));
                self.resettle();
                self.lapse();
            }
            CoreEvent::ListFailed => self.handle(Input::Listed { kind: ListKind::Failed, rows: [].into() }),
            CoreEvent::Stop => self.handle(Input::Stop { streams: true }),
            CoreEvent::GetStatus { status } => {
                let _ = status.send(CoreStatus {
                    counts: self.book.counts(),
                    open: self.book.open(),
                    servers: self.membership.len(),
                    version: self.membership.version(),
                    revision: self.membership.revision(),
                    held_total: self.membership.held_total(),
                    refused_total: self.membership.refused_total(),
                    undelivered_releases: self.unheard.counts(),
                    router_count: self.shared.as_ref().map_or(self.base.routers, |granted| granted.routers),
                });
            }
        }
    }

    fn hear(&mut self, source: SourceId, list: &wire::ServerList, fingerprint: Option<u64>) -> ListPosition {
        let held = self.membership.held().is_some();
        match self.membership.hear_text(self.book.clock.now_ms(), source, list, fingerprint) {
            Ok(Heard::AskWhole) => return None,
            Ok(heard) => self.heard(heard),
            Err(cause) => warn!(%cause, source = source.name(), version = list.version, "list refused"),
        }
        if let Some(now) = self.membership.held().filter(|_| !held) {
            warn!(source = now.source.name(), why = %now.why, "list held until another word says the same");
        }
        self.membership.known(source)
    }

    /// What the list came to is told to the decisions, kept for the next start, and asked after.
    fn heard(&mut self, heard: Heard) {
        let now_ms = self.book.clock.now_ms();
        if let Heard::Listed { kind, rows } = heard {
            info!(revision = self.membership.revision(), ?kind, rows = rows.len(), "list taken");
            if let Some(desk) = &self.desk {
                desk.borrow_mut().listed(kind, &rows);
            }
            self.handle(Input::Listed { kind, rows });
            self.saves.send_replace(self.membership.save(now_ms, self.state.steady.now_ms()));
        }
        let asks = self.membership.asks(now_ms);
        self.wakes = self.membership.wakes_ms(now_ms).map(|at| Instant::now() + duration(at - now_ms));
        asks.into_iter().for_each(|worker| self.look(worker));
    }

    /// Asks a server whether it is there.
    fn look(&self, worker: WorkerId) {
        let Some(address) = self.membership.address(&worker) else { return };
        let (engines, core) = (self.engines.clone(), self.own.clone());
        tokio::task::spawn_local(async move {
            let within_ms = engines.settings.probe_ms;
            let answer =
                engines.call(address, Method::GET, wire::PROBE, String::new(), within_ms, 4096).await;
            let _ = core.send(CoreEvent::ReachabilityChecked { worker, reachable: answer.is_ok() }).await;
        });
    }

    /// What a mere question says of its zone.
    fn asked(&self, worker: &WorkerId, answered: bool) {
        if let Some(desk) = &self.desk {
            let met = if answered { Met::Answered } else { Met::Silent };
            desk.borrow_mut().met(self.book.clock.now_ms(), worker, met);
        }
    }

    /// What a dispatch says of its zone.
    fn met(&mut self, completion: CompletionId, seq: Seq, met: Option<Met>) {
        let (Some(desk), Some(met)) = (&self.desk, met) else { return };
        if let Some(worker) = self.book.worker(completion, seq) {
            desk.borrow_mut().met(self.book.clock.now_ms(), worker, met);
        }
    }

    /// What a dispatch says of its server: somebody is there, or nobody.
    fn saw(&mut self, completion: CompletionId, seq: Seq, end: &SocketEnd) {
        let there = match end {
            SocketEnd::ConnectRefused | SocketEnd::ConnectTimedOut => false,
            SocketEnd::ReadDone | SocketEnd::AnswerDone => true,
            _ => return,
        };
        if let Some(worker) = self.book.worker(completion, seq).cloned() {
            let heard = self.membership.observe(self.book.clock.now_ms(), &worker, there);
            if matches!(heard, Heard::Listed { .. }) {
                self.heard(heard);
            }
        }
    }

    fn reported(&mut self, worker: WorkerId, load: &Load) {
        // A report that nobody asked for is no fault.
        if !self.settings.reports {
            return;
        }
        let load = LoadReport {
            active_requests: load.metric(wire::IN_HAND),
            queue: load.metric(wire::QUEUE),
            slots_share: load.application_utilization,
            latency_ms: None,
            memory_share: load.mem_utilization,
            waiting_kilotokens: load.metric(wire::WAITING_TOKENS).map(|tokens| tokens / 1e3),
        };
        if let Some((desk, share)) = self.desk.as_ref().zip(failover::share(&load)) {
            desk.borrow_mut().reported(self.book.clock.now_ms(), &worker, share);
        }
        self.handle(Input::Reported { worker, load });
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
                    let _ = words.try_send(DispatchCommand::Stop);
                }
            }
            Effect::Grant { completion, seq } => {
                let Some(owed) = self.owed.remove(&completion) else { return };
                if let Some(words) = self.words.get(&(completion, seq)) {
                    let _ = words.try_send(DispatchCommand::Grant(owed.begin()));
                }
            }
            Effect::Deliver { completion, seq } => {
                let whole = self.wholes.remove(&(completion, seq));
                if let (Some(owed), Some(whole)) = (self.owed.remove(&completion), whole) {
                    owed.whole(whole);
                }
            }
            Effect::RateLimit { completion, retry_after_ms } => {
                debug!(completion = completion.0, retry_after_ms, "rate-limited");
                let mut error =
                    ApiError::new(ErrorKind::Overloaded, "no server can take this now; come again");
                error.retry_after_ms = Some(retry_after_ms);
                self.owed.remove(&completion).into_iter().for_each(|owed| owed.rate_limit(error.clone()));
            }
            Effect::Abort { completion } => {
                debug!(completion = completion.0, "aborted");
                let error = ApiError::new(ErrorKind::Api, "the answer was lost; it may have run");
                self.owed.remove(&completion).into_iter().for_each(|owed| owed.abort(error.clone()));
            }
            Effect::Forget { completion } => {
                self.owed.remove(&completion);
                self.asks.remove(&completion);
                self.targets.remove(&completion);
            }
            // The book has set its timers.
            Effect::Arm { .. } => {}
            Effect::Release { worker, completion, seq } => self.release(worker, completion, seq),
            // The word of this wire would take the state from under the dispatch that comes for it.
            Effect::ReleaseUnclaimed { .. } => {}
            Effect::Hold { worker, completion, seq, tokens } => self.hold(worker, completion, seq, tokens),
            Effect::Probe { worker } => self.probe(worker),
            Effect::CloseIdle { worker } => {
                self.membership
                    .address(&worker)
                    .into_iter()
                    .for_each(|address| self.engines.close_idle(address));
            }
            Effect::CacheUpdated { worker, session, tokens, prefix } => {
                if let Some(start) = self.membership.start(&worker) {
                    self.state.keeps(&worker, start, session, tokens, prefix);
                }
            }
            Effect::Subscribe => self.list_word(ListRequest::Subscribe),
            Effect::FetchList => self.list_word(ListRequest::Fetch),
            Effect::Note(text) => debug!(text, "decisions"),
        }
    }

    fn list_word(&self, word: ListRequest) {
        // A list task with that many words waiting is about to ask anyway.
        let _ = self.list.try_send(word);
    }

    fn name(&self, completion: CompletionId, seq: Seq) -> String {
        request_id(self.settings.decisions.own_number, self.boot, completion, seq)
    }

    fn send(&mut self, sending: OutgoingDispatch) {
        let (completion, seq) = (sending.completion, sending.seq);
        let Some(ask) = self.asks.get(&completion).cloned() else { return };
        let (sender, words) = mpsc::channel(2);
        self.words.insert((completion, seq), sender);
        debug!(completion = completion.0, seq = seq.0, worker = %sending.worker.0, stage = ?sending.stage, "dispatch");
        let dispatch = Dispatch {
            address: self.membership.address(&sending.worker),
            request_id: self.name(completion, seq),
            sending,
            ask,
            words,
            engines: self.engines.clone(),
            clock: self.book.clock,
            core: self.own.clone(),
        };
        tokio::task::spawn_local(dispatch.run());
    }

    /// CoreEvent a few times if need be: a state that is not let go of costs its reader memory.
    fn release(&self, worker: WorkerId, completion: CompletionId, seq: Seq) {
        let Some(address) = self.membership.address(&worker) else { return };
        let request_id = self.name(completion, seq);
        let (engines, clock, unheard) = (self.engines.clone(), self.book.clock, self.unheard.clone());
        let limit_ms = self.settings.decisions.pin_limit_ms;
        let tries = engines.settings.release_tries;
        tokio::task::spawn_local(async move {
            let body = serde_json::to_string(&wire::ReleaseRequest { request_id }).unwrap_or_default();
            let call = |worker| {
                let answer = engines.call(address, Method::POST, wire::RELEASE, body.clone(), limit_ms, 4096);
                answer.map(|answer| match answer {
                    Ok((status, _, _)) if status < 500 => (worker, CallResult::Acknowledged),
                    // Who refuses connections does not run, and holds nothing.
                    Err(SocketEnd::ConnectRefused) => {
                        (worker, CallResult::NothingHeld(DeliveryFailure::Refused))
                    }
                    Ok(_) => (worker, CallResult::Failed(DeliveryFailure::Refused)),
                    Err(_) => (worker, CallResult::Failed(DeliveryFailure::Silent)),
                })
            };
            // Here only the holder can let go, so there is nobody to spread over.
            let hearing = Reachability::new(None);
            let now_ms = clock.now_ms();
            let mut telling =
                ReleaseDelivery::new(worker.clone(), ReleaseRoute::HolderOnly, 0, limit_ms, tries, now_ms);
            let next = |telling: &mut ReleaseDelivery, now_ms| telling.next_step(now_ms, &hearing);
            if release::deliver(&mut telling, clock, next, call).await.is_none() {
                let cause = telling.worst_failure().unwrap_or(DeliveryFailure::NoWay);
                if unheard.record(cause, clock.now_ms()) {
                    let (cause, calls, unheard) = (cause.name(), telling.calls(), unheard.counts());
                    warn!(worker = %worker.0, cause, calls, ?unheard, "nobody heard what is let go of");
                }
            }
        });
    }

    fn hold(&self, worker: WorkerId, completion: CompletionId, seq: Seq, tokens: f64) {
        let Some(address) = self.membership.address(&worker) else { return };
        let request = wire::HoldRequest { request_id: self.name(completion, seq), tokens: tokens as u64 };
        let (engines, core) = (self.engines.clone(), self.own.clone());
        tokio::task::spawn_local(async move {
            let body = serde_json::to_string(&request).unwrap_or_default();
            let within_ms = engines.settings.probe_ms;
            let answer = engines.call(address, Method::POST, wire::HOLD, body, within_ms, 4096).await;
            // A server that can't be heard gives no answer, as on the bench.
            if let Ok((200, _, body)) = answer {
                if let Ok(reply) = serde_json::from_slice::<wire::HoldReply>(&body) {
                    let told = CoreEvent::HoldAnswered { completion, seq, worker, held: reply.held };
                    let _ = core.send(told).await;
                }
            }
        });
    }

    fn probe(&self, worker: WorkerId) {
        let address = self.membership.address(&worker);
        let (engines, core) = (self.engines.clone(), self.own.clone());
        tokio::task::spawn_local(async move {
            let began = tokio::time::Instant::now();
            let answer = match address {
                Some(address) => {
                    let within_ms = engines.settings.probe_ms;
                    engines.call(address, Method::GET, wire::PROBE, String::new(), within_ms, 4096).await.ok()
                }
                None => None,
            };
            let took_ms = began.elapsed().as_secs_f64() * 1e3;
            let answered = matches!(answer, Some((200, _, _)));
            let load = answer.and_then(|(_, load, _): (u16, Option<Load>, Bytes)| load);
            let _ = core.send(CoreEvent::Probed { worker, load, answered, took_ms }).await;
        });
    }
}

#[cfg(test)]
#[path = "core_tests.rs"]
mod tests;
