//! The core: one task that owns the ledger with its `Control`, the server list and the timers. All other
//! tasks send it events over one bounded channel.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::FutureExt;
use hyper::Method;
use paddleproxy::interface::*;
use paddleproxy_engine as wire;
use paddleproxy_engine::Load;
use paddleproxy_failover::DispatchOutcome;
use paddleproxy_membership::{ListUpdate, Membership, SavedList, SourceId};
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

use crate::answer::PendingReply;
use crate::clock::{duration, Clock};
use crate::dispatch::{request_id, Dispatch};
use crate::engines::Engines;
use crate::events::{
    ClientRequest, CoreEvent, CoreSender, CoreStatus, DispatchCommand, DispatchEnd, ListPosition,
};
use crate::failover::{self, SharedController};
use crate::list::ListRequest;
use crate::peers;
use crate::release::{self, CallResult};
use crate::state::{RecoveredState, State};
use crate::timed_ledger::TimedLedger;

/// State of the core task.
pub struct Core {
    settings: Rc<RouterSettings>,
    /// Start time of this process; distinguishes its dispatches from those of earlier runs.
    boot: u64,
    ledger: TimedLedger,
    membership: Membership,
    engines: Rc<Engines>,
    pending_replies: BTreeMap<CompletionId, PendingReply>,
    requests: BTreeMap<CompletionId, Rc<ClientRequest>>,
    /// Channels to the dispatches in flight.
    commands: BTreeMap<(CompletionId, Seq), mpsc::Sender<DispatchCommand>>,
    /// Complete answers that are not streamed, until the ledger orders their delivery.
    whole_answers: BTreeMap<(CompletionId, Seq), Answer>,
    /// Sends events to this task itself; cloned for the tasks that it spawns.
    event_sender: CoreSender,
    list_requests: mpsc::Sender<ListRequest>,
    saved_lists: watch::Sender<Option<SavedList>>,
    state: Rc<State>,
    /// When the list next changes without a new version, for example at the end of a hold time.
    membership_due: Option<Instant>,
    /// Settings of the decision core without the shares that the peers agreed on.
    base_settings: Settings,
    /// What this router may use at present of the resources that all routers share.
    granted: Option<Granted>,
    /// What this router may use once its lease has ended.
    floor: Option<Granted>,
    /// When the lease on `granted` ends.
    lease_end: Option<Instant>,
    undelivered_releases: Rc<UndeliveredReleases>,
    /// Decides on failover between zones.
    controller: Option<SharedController>,
    /// Latency targets of open completions; used by the failover controller only.
    latency_targets_ms: BTreeMap<CompletionId, f64>,
}

impl Core {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        settings: Rc<RouterSettings>,
        clock: Clock,
        boot: u64,
        seed: u64,
        engines: Rc<Engines>,
        event_sender: CoreSender,
        list_requests: mpsc::Sender<ListRequest>,
        saved_lists: watch::Sender<Option<SavedList>>,
        state: Rc<State>,
    ) -> Self {
        let decisions = &settings.decisions;
        let roles = decisions.kinds.iter().map(|kind| kind.role);
        let kinds = settings.names.kinds.iter().cloned().zip(roles).collect();
        Core {
            ledger: TimedLedger::new(
                clock,
                Ledger::new(decisions.clone(), settings.front.answer_slack_ms, seed),
            ),
            membership: Membership::new(settings.names.zones.clone(), kinds, settings.membership),
            boot,
            engines,
            pending_replies: BTreeMap::new(),
            requests: BTreeMap::new(),
            commands: BTreeMap::new(),
            whole_answers: BTreeMap::new(),
            event_sender,
            list_requests,
            saved_lists,
            state,
            membership_due: None,
            base_settings: settings.decisions.clone(),
            granted: None,
            floor: None,
            lease_end: None,
            undelivered_releases: Rc::default(),
            controller: None,
            latency_targets_ms: BTreeMap::new(),
            settings,
        }
    }

    pub fn set_failover_controller(&mut self, controller: SharedController) {
        self.controller = Some(controller);
    }

    /// Applies what a router without a lease may use, until the peers grant a lease.
    pub fn start_without_lease(&mut self, floor: Granted) {
        (self.granted, self.floor) = (Some(floor.clone()), Some(floor));
        self.apply_settings();
    }

    /// Restores the list and the cache entries of an earlier run, if there are any. Returns the list position
    /// from which to continue polling. The decision core always gets a saved list, even an empty one: it
    /// starts with that input, and subscribes to changes where the settings require it.
    pub fn recover(&mut self, saved: Option<SavedList>, recovered_state: &RecoveredState) -> ListPosition {
        let mut rows: std::sync::Arc<[Listing]> = [].into();
        if let Some(saved) = saved {
            match self.membership.recover(
                self.ledger.clock.now_ms(),
                self.state.steady_clock.now_ms(),
                &saved,
            ) {
                Ok(ListUpdate::Listed { rows: recovered, .. }) => rows = recovered,
                Ok(_) => {}
                Err(cause) => warn!(%cause, "saved list refused; starting without one"),
            }
        }
        info!(servers = rows.len(), "saved list loaded");
        if let Some(controller) = &self.controller {
            controller.borrow_mut().apply_list(ListKind::Saved, &rows);
        }
        self.handle_input(Input::Listed { kind: ListKind::Saved, rows });
        let cache_entries =
            recovered_state.usable_cache_entries(self.state.steady_clock.now_ms(), &self.membership.starts());
        info!(entries = cache_entries.len(), "cache entries of the earlier run restored");
        self.handle_input(Input::Recovered(cache_entries));
        self.membership.known_version(SourceId::Service)
    }

    pub async fn run(mut self, mut events: mpsc::Receiver<CoreEvent>) {
        loop {
            let membership_due = self.membership_due;
            tokio::select! {
                biased;
                _ = sleep_until(self.lease_end.unwrap_or_else(Instant::now)), if self.lease_end.is_some() => {
                    self.end_expired_lease();
                }
                due = self.ledger.due() => {
                    self.end_expired_lease();
                    self.handle_input(Input::TimerFired(due));
                }
                _ = sleep_until(membership_due.unwrap_or_else(Instant::now)), if membership_due.is_some() => {
                    let change = self.membership.tick(self.ledger.clock.now_ms());
                    self.apply_membership_change(change);
                }
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
            }
        }
    }

    /// Returns to the floor of the shares if the lease has ended by the router's own clock. Runs before any
    /// queued event is handled, so that a process that was suspended sends nothing under an expired lease.
    fn end_expired_lease(&mut self) {
        if self.lease_end.is_some_and(|at| Instant::now() >= at) {
            self.lease_end = None;
            self.granted = self.floor.clone();
            self.controller.iter().for_each(|controller| {
                controller.borrow_mut().apply_allocation(None);
            });
            self.apply_settings();
        }
    }

    /// Passes the settings to the decision core, with the granted shares in place of the configured ones.
    fn apply_settings(&mut self) {
        let decisions = match &self.granted {
            Some(granted) => peers::settings_with_grant(&self.base_settings, granted),
            None => self.base_settings.clone(),
        };
        let answer_slack_ms = self.settings.front.answer_slack_ms;
        self.handle_input(Input::Settings { settings: Box::new(decisions), answer_slack_ms });
    }

    fn handle_event(&mut self, event: CoreEvent) {
        self.end_expired_lease();
        match event {
            CoreEvent::Arrived { completion, facts, received_ms, request, pending_reply } => {
                let mut arrival = facts.arrival(completion, received_ms);
                if let Some(controller) = &self.controller {
                    arrival.home_zone =
                        controller.borrow_mut().moved_home(self.ledger.clock.now_ms(), arrival.session);
                    let target_ms = failover::first_token_target_ms(&self.base_settings, &arrival);
                    self.latency_targets_ms.insert(completion, target_ms);
                }
                let streamed = request.streamed;
                self.pending_replies.insert(completion, pending_reply);
                self.requests.insert(completion, request);
                self.handle_input(Input::Arrived { arrival, streamed });
            }
            CoreEvent::Began { completion, seq, took_ms } => {
                self.record_zone_outcome(
                    completion,
                    seq,
                    failover::first_event_outcome(self.latency_targets_ms.get(&completion), took_ms),
                );
                self.handle_input(Input::Began { completion, seq, took_ms })
            }
            CoreEvent::Ended { completion, seq, took_ms, end } => {
                debug!(completion = completion.0, seq = seq.0, end = ?end.end, took_ms, "dispatch ended");
                self.commands.remove(&(completion, seq));
                if let Some(answer) = end.answer {
                    self.whole_answers.insert((completion, seq), answer);
                }
                let DispatchEnd { end, cached_tokens, state, .. } = end;
                self.record_reachability(completion, seq, &end);
                self.record_zone_outcome(
                    completion,
                    seq,
                    failover::end_outcome(self.latency_targets_ms.get(&completion), took_ms, &end),
                );
                self.handle_input(Input::Ended { completion, seq, took_ms, end, cached_tokens, state });
                self.whole_answers.remove(&(completion, seq));
            }
            CoreEvent::ClientLeft { completion } => {
                // The client no longer waits, so the missing answer doesn't count as dropped.
                self.pending_replies.remove(&completion).into_iter().for_each(PendingReply::discard);
                self.handle_input(Input::Left { completion });
            }
            CoreEvent::LoadReported { worker, load } => self.record_load(worker, &load),
            CoreEvent::Probed { worker, load, answered, took_ms } => {
                if let Some(load) = load {
                    self.record_load(worker.clone(), &load);
                }
                self.record_probe(&worker, answered);
                self.handle_input(Input::Probed { worker, answered, took_ms });
            }
            CoreEvent::HoldAnswered { completion, seq, worker, held } => {
                self.handle_input(Input::HoldAnswered { completion, seq, worker, held });
            }
            CoreEvent::ListReceived { source, list, fingerprint, next } => {
                let _ = next.send(self.receive_list(source, &list, fingerprint));
            }
            CoreEvent::ListUnchanged { source } => {
                self.membership.source_unchanged(self.ledger.clock.now_ms(), source)
            }
            CoreEvent::ListInvalid { source, why } => {
                warn!(source = source.name(), why, "list refused");
                self.membership.source_unreadable(source, &why);
            }
            CoreEvent::OperatorCommand { server, command, done } => {
                let change = self.membership.apply_command(self.ledger.clock.now_ms(), &server, command);
                let known = change.is_some();
                info!(server, word = ?command, known, "operator command");
                change.into_iter().for_each(|change| self.apply_membership_change(change));
                let _ = done.send(known.then(|| self.membership.revision()));
            }
            CoreEvent::AcceptHeldList { done } => {
                let change = self.membership.accept_held(self.ledger.clock.now_ms());
                let held = change.is_some();
                change.into_iter().for_each(|change| self.apply_membership_change(change));
                let _ = done.send(held.then(|| self.membership.revision()));
            }
            CoreEvent::GetMembership { status } => {
                let cold_ms = self.settings.decisions.cold_ms;
                let _ = status.send(self.membership.status(self.ledger.clock.now_ms(), cold_ms));
            }
            CoreEvent::ReachabilityChecked { worker, reachable } => {
                self.record_probe(&worker, reachable);
                let change = self.membership.observe(self.ledger.clock.now_ms(), &worker, reachable);
                self.apply_membership_change(change);
            }
            CoreEvent::CheckReachability { workers } => {
                workers.into_iter().for_each(|worker| self.check_reachability(worker))
            }
            CoreEvent::SettingsChanged { decisions } => {
                self.base_settings = *decisions;
                self.apply_settings();
            }
            CoreEvent::SharesGranted { granted, floor } => {
                self.lease_end = peers::expires_at(self.ledger.clock, &granted);
                (self.granted, self.floor) = (Some(granted), Some(floor));
                self.apply_settings();
                self.end_expired_lease();
            }
            CoreEvent::ListFailed => {
                self.handle_input(Input::Listed { kind: ListKind::Failed, rows: [].into() })
            }
            CoreEvent::Stop => self.handle_input(Input::Stop { streams: true }),
            CoreEvent::GetStatus { status } => {
                let _ = status.send(CoreStatus {
                    counts: self.ledger.counts(),
                    open: self.ledger.open(),
                    servers: self.membership.len(),
                    version: self.membership.version(),
                    revision: self.membership.revision(),
                    held_total: self.membership.held_total(),
                    refused_total: self.membership.refused_total(),
                    undelivered_releases: self.undelivered_releases.counts(),
                    router_count: self
                        .granted
                        .as_ref()
                        .map_or(self.base_settings.routers, |granted| granted.routers),
                });
            }
        }
    }

    fn receive_list(
        &mut self,
        source: SourceId,
        list: &wire::ServerList,
        fingerprint: Option<u64>,
    ) -> ListPosition {
        let held = self.membership.held().is_some();
        match self.membership.apply_version_from_text(self.ledger.clock.now_ms(), source, list, fingerprint) {
            Ok(ListUpdate::WholeNeeded) => return None,
            Ok(change) => self.apply_membership_change(change),
            Err(cause) => warn!(%cause, source = source.name(), version = list.version, "list refused"),
        }
        if let Some(version) = self.membership.held().filter(|_| !held) {
            warn!(source = version.source.name(), why = %version.reason, "list held until it is confirmed");
        }
        self.membership.known_version(source)
    }

    /// Passes a changed list to the decision core, saves it for the next start, and probes the servers whose
    /// presence decides on a held version.
    fn apply_membership_change(&mut self, change: ListUpdate) {
        let now_ms = self.ledger.clock.now_ms();
        if let ListUpdate::Listed { kind, rows } = change {
            info!(revision = self.membership.revision(), ?kind, rows = rows.len(), "list applied");
            if let Some(controller) = &self.controller {
                controller.borrow_mut().apply_list(kind, &rows);
            }
            self.handle_input(Input::Listed { kind, rows });
            self.saved_lists.send_replace(self.membership.save(now_ms, self.state.steady_clock.now_ms()));
        }
        let to_check = self.membership.due_probes(now_ms);
        self.membership_due =
            self.membership.next_wake_ms(now_ms).map(|at| Instant::now() + duration(at - now_ms));
        to_check.into_iter().for_each(|worker| self.check_reachability(worker));
    }

    /// Probes a server and reports only whether it is reachable.
    fn check_reachability(&self, worker: WorkerId) {
        let Some(address) = self.membership.address(&worker) else { return };
        let (engines, core) = (self.engines.clone(), self.event_sender.clone());
        tokio::task::spawn_local(async move {
            let timeout_ms = engines.settings.probe_ms;
            let response =
                engines.call(address, Method::GET, wire::PROBE, String::new(), timeout_ms, 4096).await;
            let _ = core.send(CoreEvent::ReachabilityChecked { worker, reachable: response.is_ok() }).await;
        });
    }

    /// Reports the result of a probe to the failover controller.
    fn record_probe(&self, worker: &WorkerId, answered: bool) {
        if let Some(controller) = &self.controller {
            let outcome = if answered { DispatchOutcome::ProbeAnswered } else { DispatchOutcome::TimedOut };
            controller.borrow_mut().record_outcome(self.ledger.clock.now_ms(), worker, outcome);
        }
    }

    /// Reports the outcome of a dispatch to the failover controller.
    fn record_zone_outcome(&mut self, completion: CompletionId, seq: Seq, outcome: Option<DispatchOutcome>) {
        let (Some(controller), Some(outcome)) = (&self.controller, outcome) else { return };
        if let Some(worker) = self.ledger.worker(completion, seq) {
            controller.borrow_mut().record_outcome(self.ledger.clock.now_ms(), worker, outcome);
        }
    }

    /// Reports to the membership whether a dispatch reached its server.
    fn record_reachability(&mut self, completion: CompletionId, seq: Seq, end: &SocketEnd) {
        let reachable = match end {
            SocketEnd::ConnectRefused | SocketEnd::ConnectTimedOut => false,
            SocketEnd::ReadDone | SocketEnd::AnswerDone => true,
            _ => return,
        };
        if let Some(worker) = self.ledger.worker(completion, seq).cloned() {
            let change = self.membership.observe(self.ledger.clock.now_ms(), &worker, reachable);
            if matches!(change, ListUpdate::Listed { .. }) {
                self.apply_membership_change(change);
            }
        }
    }

    fn record_load(&mut self, worker: WorkerId, load: &Load) {
        // Servers may send load reports even where the settings disable their use.
        if !self.settings.reports {
            return;
        }
        let load = LoadReport {
            active_requests: load.metric(wire::RUNNING_REQUESTS),
            queue: load.metric(wire::WAITING_REQUESTS),
            slots_share: load.application_utilization,
            latency_ms: None,
            memory_share: load.mem_utilization,
            waiting_kilotokens: load.metric(wire::WAITING_TOKENS).map(|tokens| tokens / 1e3),
        };
        if let Some((controller, share)) = self.controller.as_ref().zip(failover::utilization(&load)) {
            controller.borrow_mut().record_load(self.ledger.clock.now_ms(), &worker, share);
        }
        self.handle_input(Input::Reported { worker, load });
    }

    fn handle_input(&mut self, input: Input) {
        for effect in self.ledger.handle(input) {
            self.perform_effect(effect);
        }
    }

    fn perform_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send(outgoing) => self.send_dispatch(outgoing),
            Effect::Stop { completion, seq } => {
                if let Some(commands) = self.commands.get(&(completion, seq)) {
                    // The channel has room for one grant and one stop; a second stop changes nothing.
                    let _ = commands.try_send(DispatchCommand::Stop);
                }
            }
            Effect::Grant { completion, seq } => {
                let Some(reply) = self.pending_replies.remove(&completion) else { return };
                if let Some(commands) = self.commands.get(&(completion, seq)) {
                    let _ = commands.try_send(DispatchCommand::Grant(reply.start_stream()));
                }
            }
            Effect::Deliver { completion, seq } => {
                let answer = self.whole_answers.remove(&(completion, seq));
                if let (Some(reply), Some(answer)) = (self.pending_replies.remove(&completion), answer) {
                    reply.complete(answer);
                }
            }
            Effect::RateLimit { completion, retry_after_ms } => {
                debug!(completion = completion.0, retry_after_ms, "rate-limited");
                let mut error =
                    ApiError::new(ErrorKind::Overloaded, "no server can take this now; come again");
                error.retry_after_ms = Some(retry_after_ms);
                self.pending_replies
                    .remove(&completion)
                    .into_iter()
                    .for_each(|reply| reply.rate_limit(error.clone()));
            }
            Effect::Abort { completion } => {
                debug!(completion = completion.0, "aborted");
                let error = ApiError::new(ErrorKind::Api, "the answer was lost; it may have run");
                self.pending_replies
                    .remove(&completion)
                    .into_iter()
                    .for_each(|reply| reply.abort(error.clone()));
            }
            Effect::Forget { completion } => {
                self.pending_replies.remove(&completion);
                self.requests.remove(&completion);
                self.latency_targets_ms.remove(&completion);
            }
            // `TimedLedger` has set the timer already.
            Effect::Arm { .. } => {}
            Effect::Release { worker, completion, seq } => self.release(worker, completion, seq),
            // This protocol has only the unconditional release, which would remove the state although a
            // dispatch may still arrive to fetch it.
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
                    self.state.record_cached(&worker, start, session, tokens, prefix);
                }
            }
            Effect::Subscribe => self.request_list(ListRequest::Subscribe),
            Effect::FetchList => self.request_list(ListRequest::Fetch),
            Effect::Note(text) => debug!(text, "decision note"),
        }
    }

    fn request_list(&self, request: ListRequest) {
        // A list task with a full queue is about to poll anyway.
        let _ = self.list_requests.try_send(request);
    }

    fn dispatch_request_id(&self, completion: CompletionId, seq: Seq) -> String {
        request_id(self.settings.decisions.own_number, self.boot, completion, seq)
    }

    fn send_dispatch(&mut self, outgoing: OutgoingDispatch) {
        let (completion, seq) = (outgoing.completion, outgoing.seq);
        let Some(request) = self.requests.get(&completion).cloned() else { return };
        let (sender, commands) = mpsc::channel(2);
        self.commands.insert((completion, seq), sender);
        debug!(completion = completion.0, seq = seq.0, worker = %outgoing.worker.0, stage = ?outgoing.stage,
            "dispatch");
        let dispatch = Dispatch {
            address: self.membership.address(&outgoing.worker),
            request_id: self.dispatch_request_id(completion, seq),
            outgoing,
            request,
            commands,
            engines: self.engines.clone(),
            clock: self.ledger.clock,
            core: self.event_sender.clone(),
        };
        tokio::task::spawn_local(dispatch.run());
    }

    /// Sends a release, with retries: a state that is not released occupies memory of its reader.
    fn release(&self, worker: WorkerId, completion: CompletionId, seq: Seq) {
        let Some(address) = self.membership.address(&worker) else { return };
        let request_id = self.dispatch_request_id(completion, seq);
        let (engines, clock, undelivered) =
            (self.engines.clone(), self.ledger.clock, self.undelivered_releases.clone());
        let limit_ms = self.settings.decisions.pin_limit_ms;
        let tries = engines.settings.release_tries;
        tokio::task::spawn_local(async move {
            let body = serde_json::to_string(&wire::ReleaseRequest { request_id }).unwrap_or_default();
            let call = |worker| {
                let answer = engines.call(address, Method::POST, wire::RELEASE, body.clone(), limit_ms, 4096);
                answer.map(|answer| match answer {
                    Ok((status, _, _)) if status < 500 => (worker, CallResult::Acknowledged),
                    // A server that refuses connections doesn't run, so it holds no state.
                    Err(SocketEnd::ConnectRefused) => {
                        (worker, CallResult::NothingHeld(DeliveryFailure::Refused))
                    }
                    Ok(_) => (worker, CallResult::Failed(DeliveryFailure::Refused)),
                    Err(_) => (worker, CallResult::Failed(DeliveryFailure::Silent)),
                })
            };
            // Only the holder of a state can release it here, so no other worker needs to be tried.
            let reachability = Reachability::new(None);
            let now_ms = clock.now_ms();
            let mut delivery =
                ReleaseDelivery::new(worker.clone(), ReleaseRoute::HolderOnly, 0, limit_ms, tries, now_ms);
            let next = |delivery: &mut ReleaseDelivery, now_ms| delivery.next_step(now_ms, &reachability);
            if release::deliver(&mut delivery, clock, next, call).await.is_none() {
                let cause = delivery.worst_failure().unwrap_or(DeliveryFailure::NoWay);
                if undelivered.record(cause, clock.now_ms()) {
                    let (cause, calls, counts) = (cause.name(), delivery.calls(), undelivered.counts());
                    warn!(worker = %worker.0, cause, calls, unheard = ?counts, "release was not delivered");
                }
            }
        });
    }

    fn hold(&self, worker: WorkerId, completion: CompletionId, seq: Seq, tokens: f64) {
        let Some(address) = self.membership.address(&worker) else { return };
        let request = wire::HoldRequest {
            request_id: self.dispatch_request_id(completion, seq),
            tokens: tokens as u64,
        };
        let (engines, core) = (self.engines.clone(), self.event_sender.clone());
        tokio::task::spawn_local(async move {
            let body = serde_json::to_string(&request).unwrap_or_default();
            let timeout_ms = engines.settings.probe_ms;
            let answer = engines.call(address, Method::POST, wire::HOLD, body, timeout_ms, 4096).await;
            // A server that can't be reached produces no event, as on the test bench.
            if let Ok((200, _, body)) = answer {
                if let Ok(reply) = serde_json::from_slice::<wire::HoldReply>(&body) {
                    let event = CoreEvent::HoldAnswered { completion, seq, worker, held: reply.held };
                    let _ = core.send(event).await;
                }
            }
        });
    }

    fn probe(&self, worker: WorkerId) {
        let address = self.membership.address(&worker);
        let (engines, core) = (self.engines.clone(), self.event_sender.clone());
        tokio::task::spawn_local(async move {
            let start = tokio::time::Instant::now();
            let answer = match address {
                Some(address) => {
                    let timeout_ms = engines.settings.probe_ms;
                    engines
                        .call(address, Method::GET, wire::PROBE, String::new(), timeout_ms, 4096)
                        .await
                        .ok()
                }
                None => None,
            };
            let took_ms = start.elapsed().as_secs_f64() * 1e3;
            let answered = matches!(answer, Some((200, _, _)));
            let load = answer.and_then(|(_, load, _): (u16, Option<Load>, Bytes)| load);
            let _ = core.send(CoreEvent::Probed { worker, load, answered, took_ms }).await;
        });
    }
}

#[cfg(test)]
#[path = "core_tests.rs"]
mod tests;
