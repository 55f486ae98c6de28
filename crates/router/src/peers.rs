//! I/O between peer routers: datagrams and TCP calls on one port, timers, and the file that holds this
//! router's generation. The protocol itself is in `paddleproxy-peers`.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use paddleproxy::interface::Settings;
use paddleproxy_peers::{wire, Action, Event, Generation, Granted, Peers, RouterIndex, RouterInfo, Rules};
use paddleproxy_routing::Admission;
use paddleproxy_settings::peers::PeerSettings;
use paddleproxy_settings::router::RouterSettings;
use paddleproxy_sockets::{bind as listen_on, Stream};
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, Instant};
use tracing::{info, warn};

use crate::clock::{duration, Clock};
use crate::events::{CoreEvent, CoreSender};
use crate::failover::{self, CommandRequest, SharedController};
use crate::files::write_atomic;
use crate::steady_clock::SteadyClock;

/// Calls that may be open at once in each direction; further incoming ones are closed, and their callers
/// retry.
const MAX_CALLS: usize = 8;
const MAX_CALL_PACKETS: usize = 256;
const MAX_CALL_BYTES: usize = 4 << 20;
/// A call times out after this many probe intervals, but not before `MIN_CALL_TIMEOUT_MS`.
const CALL_TIMEOUT_PROBES: f64 = 10.0;
const MIN_CALL_TIMEOUT_MS: f64 = 500.0;
/// Rejected packets are logged at most this often.
const REJECTED_LOG_INTERVAL_MS: f64 = 10_000.0;
/// Weight of the newest measurement in the moving average of this router's demand.
const NEWEST_WEIGHT: f64 = 0.3;
const GENERATION_FILE: &str = "life";

/// Requests to the peer task.
pub enum PeerRequest {
    /// The document of `/peers`.
    View(oneshot::Sender<Value>),
    /// Announce that this router leaves; answered once that is sent.
    Leave(oneshot::Sender<()>),
    /// The document of `/failover`; `None` if the settings have no `failover`.
    Failover(oneshot::Sender<Option<Value>>),
    /// An operator's zone command; answered with its result or an error message.
    Command(CommandRequest, oneshot::Sender<Result<Value, String>>),
}

pub type PeerSender = mpsc::Sender<PeerRequest>;

enum CallEvent {
    Received { packets: Vec<Vec<u8>>, reply: oneshot::Sender<Vec<Vec<u8>>> },
    Answered { to: SocketAddr, packets: Option<Vec<Vec<u8>>> },
}

/// Sockets for the peers, bound but not yet used.
pub struct PeerSockets {
    datagrams: UdpSocket,
    calls: TcpListener,
    pub address: SocketAddr,
}

/// Binds a UDP and a TCP socket to the same port.
///
/// # Errors
/// The address is in use; with port 0, sixteen attempts found no port that is free for both.
pub async fn bind(settings: &PeerSettings) -> Result<PeerSockets> {
    let mut tries = 0;
    loop {
        tries += 1;
        let calls = listen_on(settings.listen);
        let calls = calls.await.with_context(|| format!("peer calls on {}", settings.listen))?;
        let address = calls.local_addr()?;
        match UdpSocket::bind(address).await {
            Ok(datagrams) => return Ok(PeerSockets { datagrams, calls, address }),
            Err(_) if settings.listen.port() == 0 && tries < 16 => {}
            Err(cause) => return Err(cause).with_context(|| format!("peer datagrams on {address}")),
        }
    }
}

/// The rules of the protocol, and what this router may use before it has heard from any peer.
pub fn initial_grant(settings: &RouterSettings, peers: &PeerSettings) -> (Rules, Granted) {
    let decisions = &settings.decisions;
    let router_count = decisions.routers;
    let resources = 1 + decisions.customers.len().min(paddleproxy_peers::allocation::MAX_RESOURCES - 1);
    let rules = Rules {
        deployment: peers.deployment.clone(),
        router_count,
        own: RouterIndex(decisions.own_number as u16),
        probe_ms: peers.probe_ms,
        lease_ms: peers.lease_ms,
        floor: peers.floor,
        remember_ms: peers.remember_ms,
        resources,
        slow_start_permits: paddleproxy::control::slow_start_router_limit(decisions, router_count),
    };
    let info = router_info(settings, peers, peers.listen);
    let alone = Peers::new(0.0, rules.clone(), info, Vec::new(), Generation(1), 0);
    (rules, alone.floor())
}

fn router_info(settings: &RouterSettings, peers: &PeerSettings, address: SocketAddr) -> RouterInfo {
    RouterInfo {
        name: peers.name.clone(),
        address: peers.advertise.unwrap_or(address),
        zone: settings.decisions.zone.map_or(0, |zone| zone.0 as u8),
        region: peers.region.clone(),
        format: wire::FORMAT_VERSION,
    }
}

/// The decisions' settings with the grant applied: number of active routers, own rank among them, and share
/// of workers in slow start.
pub fn settings_with_grant(base: &Settings, granted: &Granted) -> Settings {
    Settings {
        routers: granted.routers.max(1),
        own_number: granted.rank.min(granted.routers.max(1) - 1),
        slow_start_share: Some(granted.shares.first().copied().unwrap_or(0.0)),
        ..base.clone()
    }
}

/// Everything that the peer task is built from.
pub struct PeerTaskParts {
    pub sockets: PeerSockets,
    pub rules: Rules,
    pub settings: Rc<RouterSettings>,
    pub peers: PeerSettings,
    pub seed: u64,
    pub clock: Clock,
    pub steady_clock: SteadyClock,
    pub core: CoreSender,
    pub admission: Rc<RefCell<Admission>>,
    pub controller: Option<SharedController>,
}

struct Task {
    peers: Peers,
    datagrams: Rc<UdpSocket>,
    own_address: SocketAddr,
    call_timeout_ms: f64,
    clock: Clock,
    core: CoreSender,
    admission: Rc<RefCell<Admission>>,
    call_events: mpsc::Sender<CallEvent>,
    generation_file: PathBuf,
    zones: Vec<String>,
    last_granted: Option<Granted>,
    rejected_logged_ms: f64,
    rejected_logged: u64,
    /// Time and result of the last count of requests: those without a key, then those of each customer.
    request_counts: (f64, Vec<u64>),
    /// Completions per second as a moving average: in total, then of each customer.
    demand: Vec<f64>,
    outgoing_calls: Rc<std::cell::Cell<usize>>,
    controller: Option<SharedController>,
    commands: failover::CommandStore,
}

/// The peer task; runs as long as the router does.
pub async fn run(parts: PeerTaskParts, mut requests: mpsc::Receiver<PeerRequest>) {
    let PeerTaskParts {
        sockets,
        rules,
        settings,
        peers,
        seed,
        clock,
        steady_clock,
        core,
        admission,
        controller,
    } = parts;
    let generation_file = settings.state_dir.join(GENERATION_FILE);
    let generation = next_generation(&generation_file);
    let info = router_info(&settings, &peers, sockets.address);
    info!(name = info.name, address = %info.address, life = generation.0, "starting peer protocol");
    let (call_events, mut incoming_events) = mpsc::channel(4 * MAX_CALLS);
    let datagrams = Rc::new(sockets.datagrams);
    let demand_interval_ms = rules.lease_ms / 3.0;
    let mut task = Task {
        call_timeout_ms: (CALL_TIMEOUT_PROBES * rules.probe_ms).max(MIN_CALL_TIMEOUT_MS),
        peers: Peers::new(clock.now_ms(), rules, info, peers.seeds.clone(), generation, seed),
        datagrams: datagrams.clone(),
        own_address: sockets.address,
        clock,
        core,
        admission,
        call_events: call_events.clone(),
        generation_file,
        zones: settings.names.zones.clone(),
        last_granted: None,
        rejected_logged_ms: f64::NEG_INFINITY,
        rejected_logged: 0,
        request_counts: (clock.now_ms(), Vec::new()),
        demand: Vec::new(),
        outgoing_calls: Rc::default(),
        commands: failover::CommandStore::new(&settings, steady_clock),
        controller,
    };
    if let Some(controller) = &task.controller {
        task.commands.recover(&mut controller.borrow_mut(), clock.now_ms());
    }
    let open_calls = Rc::new(std::cell::Cell::new(0usize));
    let mut demand_timer = tokio::time::interval(duration(demand_interval_ms));
    demand_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut bytes = vec![0; 2048];
    loop {
        let next_ms = task.peers.next_ms();
        let due = task.clock.at(next_ms.min(task.clock.now_ms() + 60_000.0));
        tokio::select! {
            biased;
            _ = sleep_until(due) => task.handle(Event::Tick).await,
            request = requests.recv() => match request {
                Some(PeerRequest::View(answer)) => drop(answer.send(task.view())),
                Some(PeerRequest::Leave(done)) => {
                    task.handle(Event::Leave).await;
                    let _ = done.send(());
                }
                Some(PeerRequest::Failover(answer)) => drop(answer.send(task.failover_view())),
                Some(PeerRequest::Command(command, answer)) => {
                    drop(answer.send(task.execute_command(&command)))
                }
                None => return,
            },
            _ = demand_timer.tick() => {
                let demand = task.measure_demand();
                task.exchange().await;
                task.handle(Event::Need(demand)).await;
            }
            Some(event) = incoming_events.recv() => match event {
                CallEvent::Received { packets, reply } => task.receive_call(packets, reply).await,
                CallEvent::Answered { to, packets: Some(packets) } => {
                    task.handle(Event::CallAnswered { to, packets: &packets }).await;
                }
                CallEvent::Answered { to, packets: None } => task.handle(Event::CallFailed { to }).await,
            },
            datagram = datagrams.recv_from(&mut bytes) => match datagram {
                Ok((count, from)) => {
                    let bytes = bytes[..count].to_vec();
                    task.handle(Event::Datagram { from, bytes: &bytes }).await;
                }
                // An ICMP error of a peer's closed port is reported on this socket, which stays usable.
                Err(_) => tokio::task::yield_now().await,
            },
            accepted = sockets.calls.accept() => match accepted {
                Ok((stream, _)) if open_calls.get() < MAX_CALLS => {
                    open_calls.set(open_calls.get() + 1);
                    let (open_calls, call_events, call_timeout) =
                        (open_calls.clone(), call_events.clone(), duration(task.call_timeout_ms));
                    tokio::task::spawn_local(async move {
                        let _ = timeout(call_timeout, serve_call(stream.into(), call_events)).await;
                        open_calls.set(open_calls.get() - 1);
                    });
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(duration(10.0)).await,
            },
        }
    }
}

impl Task {
    async fn handle(&mut self, event: Event<'_>) {
        let actions = self.peers.handle(self.clock.now_ms(), event);
        self.perform(actions).await;
    }

    async fn receive_call(&mut self, packets: Vec<Vec<u8>>, reply: oneshot::Sender<Vec<Vec<u8>>>) {
        let mut actions = self.peers.handle(self.clock.now_ms(), Event::CallReceived { packets: &packets });
        let index = actions.iter().position(|action| matches!(action, Action::Reply { .. }));
        if let Some(Action::Reply { packets }) = index.map(|index| actions.remove(index)) {
            let _ = reply.send(packets);
        }
        self.perform(actions).await;
    }

    async fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                // With a full send buffer the datagram is lost, which the protocol tolerates anyway.
                Action::Send { to, bytes } => drop(self.datagrams.try_send_to(&bytes, to)),
                Action::Call { to, packets } => self.call(to, packets),
                Action::Changed { router, change } => {
                    let (from, to) = (change.from.map(|state| state.name()), change.to.name());
                    info!(
                        place = router.0,
                        life = change.generation.0,
                        from,
                        to,
                        by = change.reporter.0,
                        "peer state changed"
                    );
                }
                Action::GenerationRaised { generation } => {
                    info!(life = generation.0, "generation raised: peers remember a higher one");
                    save_generation(&self.generation_file, generation);
                }
                Action::Displaced { by } => {
                    tracing::error!(
                        %by,
                        "another process runs with this router's number; this one has left the cluster \
                        and uses no shared resources"
                    );
                }
                Action::AllocationAdopted { number } => info!(number, "allocation adopted"),
                Action::Reply { .. } => {}
            }
        }
        self.apply_grant().await;
        let rejected: u64 = self.peers.counts.rejected.values().sum();
        let now_ms = self.clock.now_ms();
        if rejected > self.rejected_logged && now_ms >= self.rejected_logged_ms + REJECTED_LOG_INTERVAL_MS {
            (self.rejected_logged, self.rejected_logged_ms) = (rejected, now_ms);
            warn!(
                wrong = rejected,
                kinds = ?self.peers.counts.rejected,
                "dropped packets that are invalid or not from peers"
            );
        }
    }

    /// Passes failover's data to the protocol: observations for this router's state, a plan for the next
    /// allocation.
    async fn exchange(&mut self) {
        let Some(controller) = &self.controller else { return };
        let now_ms = self.clock.now_ms();
        let data = {
            let controller = &mut *controller.borrow_mut();
            let data = failover::exchange(controller, &self.peers, now_ms);
            if data.new_commands {
                self.commands.save(controller, now_ms);
            }
            data
        };
        if !data.probes.is_empty() {
            // If the core's queue is full, these probes can be skipped.
            let _ = self.core.try_send(CoreEvent::CheckReachability { workers: data.probes });
        }
        let event = Event::SetExtra { row: data.row, allocation: data.allocation, after: data.after };
        self.handle(event).await;
    }

    fn failover_view(&self) -> Option<Value> {
        let controller = self.controller.as_ref()?.borrow();
        Some(failover::view(
            &controller,
            &self.zones,
            self.peers.info(),
            self.peers.cluster_report(),
            self.clock.now_ms(),
        ))
    }

    fn execute_command(&mut self, command: &CommandRequest) -> Result<Value, String> {
        let controller = self.controller.as_ref().ok_or("this router has no 'failover' in its settings")?;
        self.commands.execute(&mut controller.borrow_mut(), &self.zones, command, self.clock.now_ms())
    }

    /// Passes a changed grant to the core and to admission, and a newly agreed plan to the failover
    /// controller.
    async fn apply_grant(&mut self) {
        if let Some(controller) =
            self.controller.as_ref().filter(|controller| !controller.borrow().rules().own_evidence_only)
        {
            let agreed = self.peers.agreed_extra(self.clock.now_ms());
            let mut controller = controller.borrow_mut();
            if controller.apply_allocation(agreed) {
                let plan = controller.agreed().map(|agreed| &agreed.plan);
                info!(page = agreed.map(|(number, _)| number), number = plan.map(|plan| plan.number),
                    moves = ?plan.map(|plan| &plan.moves), "plan in force");
            }
        }
        let granted = self.peers.granted(self.clock.now_ms());
        if self.last_granted.as_ref() == Some(&granted) {
            return;
        }
        let floor = self.peers.floor();
        let until_ms = granted.until_ms;
        self.admission.borrow_mut().set_shares(&granted.shares[1..], &floor.shares[1..], until_ms);
        let event = CoreEvent::SharesGranted { granted: granted.clone(), floor };
        if self.core.send(event).await.is_ok() {
            self.last_granted = Some(granted);
        }
    }

    /// Measures this router's demand: completions per second in total and per customer, as a moving average.
    fn measure_demand(&mut self) -> Vec<f64> {
        let now_ms = self.clock.now_ms();
        let counts = self.admission.borrow().request_counts();
        let (before_ms, before) = std::mem::replace(&mut self.request_counts, (now_ms, counts.clone()));
        let over_s = ((now_ms - before_ms) / 1e3).max(1e-3);
        let new =
            |row: usize| counts[row].saturating_sub(before.get(row).copied().unwrap_or(0)) as f64 / over_s;
        let resources = self.peers.rules().resources;
        let customers = (0..resources - 1).map(|row| if row + 1 < counts.len() { new(row + 1) } else { 0.0 });
        let now: Vec<f64> = std::iter::once((0..counts.len()).map(new).sum()).chain(customers).collect();
        self.demand.resize(resources, 0.0);
        // Rounded, so that tiny changes cause no update.
        let blend = |(old, new): (&f64, f64)| ((old + NEWEST_WEIGHT * (new - old)) * 16.0).round() / 16.0;
        self.demand = self.demand.iter().zip(now).map(blend).collect();
        self.demand.clone()
    }

    fn call(&mut self, to: SocketAddr, packets: Vec<Vec<u8>>) {
        let call_events = self.call_events.clone();
        if self.outgoing_calls.get() >= MAX_CALLS {
            return;
        }
        let (own, call_timeout) = (SocketAddr::new(self.own_address.ip(), 0), duration(self.call_timeout_ms));
        let outgoing_calls = self.outgoing_calls.clone();
        outgoing_calls.set(outgoing_calls.get() + 1);
        tokio::task::spawn_local(async move {
            let packets = timeout(call_timeout, call(own, to, &packets)).await.ok().and_then(Result::ok);
            outgoing_calls.set(outgoing_calls.get() - 1);
            let _ = call_events.send(CallEvent::Answered { to, packets }).await;
        });
    }

    /// The document of `/peers`.
    fn view(&self) -> Value {
        let (peers, now_ms) = (&self.peers, self.clock.now_ms());
        let report = peers.cluster_report();
        let indices = |list: &[RouterIndex]| list.iter().map(|router| router.0).collect::<Vec<_>>();
        let digest = peers.digest();
        let zone = |zone: u8| self.zones.get(usize::from(zone)).cloned().unwrap_or_default();
        let rows: Vec<Value> = peers
            .members()
            .map(|m| {
                let history = m.history.iter().map(|c| {
                    json!({
                        "ago_ms": now_ms - c.at_ms, "life": c.generation.0, "incarnation": c.incarnation,
                        "from": c.from.map(|state| state.name()), "to": c.to.name(), "by": c.reporter.0,
                    })
                });
                json!({
                    "place": m.router.0, "name": m.info.name, "state": m.state.name(), "life": m.generation.0,
                    "incarnation": m.incarnation, "zone": zone(m.info.zone), "region": m.info.region,
                    "address": m.info.address, "format": m.info.format, "for_ms": now_ms - m.since_ms,
                    "heard_ms": m.last_heard_ms.map(|at| now_ms - at), "same_view": m.digest == digest,
                    "page": m.allocation, "places": m.router_count,
                    "deaf_to": report.not_hearing.contains(&m.router),
                    "unheard_by": report.not_heard_by.contains(&m.router),
                    "doubted_by": m
                        .suspicion
                        .iter()
                        .flat_map(|suspicion| &suspicion.reporters)
                        .map(|router| router.0)
                        .collect::<Vec<_>>(),
                    "history": history.collect::<Vec<_>>(),
                })
            })
            .collect();
        let granted = peers.granted(now_ms);
        let consensus = peers.consensus();
        let entries = consensus.allocation().map(|allocation| {
            let rows = allocation
                .entries
                .iter()
                .map(|entry| json!([entry.router.0, entry.generation.0, entry.parts]));
            rows.collect::<Vec<_>>()
        });
        let counts = &peers.counts;
        json!({
            "schema": "paddleproxy.peers.v1",
            "place": peers.rules().own.0, "name": peers.info().name, "life": peers.generation().0,
            "incarnation": peers.incarnation(), "zone": zone(peers.info().zone), "region": peers.info().region,
            "address": peers.info().address, "places": peers.rules().router_count, "clock_ms": now_ms,
            "mind": report.status.name(), "why": report.reason, "roster": report.roster, "hears": report.heard,
            "same": report.same_view, "of": report.compared, "differ": indices(&report.differing),
            "deaf_to": indices(&report.not_hearing), "unheard_by": indices(&report.not_heard_by),
            "digest": digest, "health": peers.health(), "rumours": peers.queued_gossip(),
            "page": {
                "number": consensus.number(), "seats": entries, "keeper": consensus.is_voter(),
                "kept": consensus.accepted_number(),
                "silent_ms": (consensus.abstains_until_ms() - now_ms).max(0.0),
            },
            "shares": {
                "routers": granted.routers, "rank": granted.rank, "of": granted.shares,
                "for_ms": granted.until_ms.is_finite().then_some(granted.until_ms - now_ms),
            },
            "counts": {
                "sent": counts.sent, "sent_bytes": counts.sent_bytes, "heard": counts.received,
                "heard_bytes": counts.received_bytes, "calls": counts.calls, "call_bytes": counts.call_bytes,
                "probes": counts.probes, "unanswered": counts.unanswered, "suspected": counts.suspected,
                "failed": counts.failed, "refuted": counts.refuted, "late_ticks": counts.late_ticks,
                "wrong": counts.rejected.values().sum::<u64>(),
            },
            "members": rows,
        })
    }
}

/// This process's generation: one more than the file holds, saved before any peer learns of it.
fn next_generation(file: &Path) -> Generation {
    let last = std::fs::read_to_string(file).ok().and_then(|text| text.trim().parse::<u64>().ok());
    let generation = Generation(last.unwrap_or(0).saturating_add(1));
    save_generation(file, generation);
    generation
}

fn save_generation(file: &Path, generation: Generation) {
    if let Err(cause) = write_atomic(file, format!("{}\n", generation.0).as_bytes()) {
        warn!(%cause, file = %file.display(), "could not save the generation; peers will send it");
    }
}

/// Serves an incoming call: passes its packets to the protocol and writes the reply.
async fn serve_call(mut stream: Stream, call_events: mpsc::Sender<CallEvent>) -> Result<()> {
    let packets = read_packets(&mut stream).await?;
    let (reply, answer) = oneshot::channel();
    call_events.send(CallEvent::Received { packets, reply }).await.ok().context("the router stops")?;
    write_packets(&mut stream, &answer.await?).await
}

async fn call(own: SocketAddr, to: SocketAddr, packets: &[Vec<u8>]) -> Result<Vec<Vec<u8>>> {
    let socket = TcpSocket::new_v4()?;
    // From the address that peers know, so that whoever observes the link can tell which router this is.
    socket.bind(own)?;
    let mut stream = Stream::from(socket.connect(to).await?);
    write_packets(&mut stream, packets).await?;
    read_packets(&mut stream).await
}

/// Reads packets from a stream: each is preceded by its length (4 bytes, little-endian); length 0 ends the
/// sequence.
async fn read_packets(stream: &mut Stream) -> Result<Vec<Vec<u8>>> {
    let (mut packets, mut left) = (Vec::new(), MAX_CALL_BYTES);
    loop {
        let length = stream.read_u32_le().await? as usize;
        if length == 0 {
            return Ok(packets);
        }
        anyhow::ensure!(
            length <= left
                && length <= 4 * wire::MAX_EXCHANGE_PACKET_BYTES
                && packets.len() < MAX_CALL_PACKETS,
            "call exceeds the limits on packets or bytes"
        );
        left -= length;
        let mut packet = vec![0; length];
        stream.read_exact(&mut packet).await?;
        packets.push(packet);
    }
}

async fn write_packets(stream: &mut Stream, packets: &[Vec<u8>]) -> Result<()> {
    let mut bytes = Vec::new();
    for packet in packets {
        bytes.extend((packet.len() as u32).to_le_bytes());
        bytes.extend(packet);
    }
    bytes.extend([0; 4]);
    stream.write_all(&bytes).await?;
    stream.flush().await?;
    Ok(())
}

/// Announces to the peers that this router leaves, and waits until that is sent, at most 200 ms.
pub async fn announce_leave(peer_sender: &PeerSender) {
    let (done, sent) = oneshot::channel();
    if peer_sender.send(PeerRequest::Leave(done)).await.is_ok() {
        let _ = timeout(Duration::from_millis(200), sent).await;
    }
}

/// When a grant expires on this router's clock; `None` if it does not.
pub fn expires_at(clock: Clock, granted: &Granted) -> Option<Instant> {
    granted.until_ms.is_finite().then(|| clock.at(granted.until_ms))
}
