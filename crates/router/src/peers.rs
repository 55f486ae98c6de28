//! The sockets of a router's fellows: datagrams and calls on one port, timers, and the file that remembers its life. What
//! is said and believed is decided in `paddleproxy-peers`.

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
use crate::failover::{self, Desked, WordFor};
use crate::files::write_whole;
use crate::steady::SteadyClock;

/// Calls that may be open at once; further ones are closed, and their callers come again.
const CALLS: usize = 8;
/// Letters in one call, and the bytes of all of them.
const LETTERS: usize = 256;
const CALL_BYTES: usize = 4 << 20;
/// Time in which a call has to be over, as probes, and the least, in ms.
const CALL_PROBES: f64 = 10.0;
const CALL_LEAST_MS: f64 = 500.0;
/// Bad bytes are told of at most this often, in ms.
const WRONG_EVERY_MS: f64 = 10_000.0;
/// Weight of the newest count in what a router wants.
const NEWEST: f64 = 0.3;
const LIFE: &str = "life";

/// Questions to the task that knows the fellows.
pub enum Ask {
    View(oneshot::Sender<Value>),
    /// Say goodbye; answered once that is sent.
    Leave(oneshot::Sender<()>),
    /// All of failover; none where settings have none.
    Failover(oneshot::Sender<Option<Value>>),
    /// An operator's word on a zone, or why it is none.
    Word(WordFor, oneshot::Sender<Result<Value, String>>),
}

pub type ToFellows = mpsc::Sender<Ask>;

enum Inside {
    Called { letters: Vec<Vec<u8>>, reply: oneshot::Sender<Vec<Vec<u8>>> },
    Answered { to: SocketAddr, letters: Option<Vec<Vec<u8>>> },
}

/// Sockets of a router's fellows, bound but not yet used.
pub struct Bound {
    datagrams: UdpSocket,
    calls: TcpListener,
    pub address: SocketAddr,
}

/// Binds datagrams and calls to one port.
///
/// # Errors
/// An address that is taken; with port 0, sixteen tries without a port that is free for both.
pub async fn bind(settings: &PeerSettings) -> Result<Bound> {
    let mut tries = 0;
    loop {
        tries += 1;
        let calls = listen_on(settings.listen);
        let calls = calls.await.with_context(|| format!("fellows' calls on {}", settings.listen))?;
        let address = calls.local_addr()?;
        match UdpSocket::bind(address).await {
            Ok(datagrams) => return Ok(Bound { datagrams, calls, address }),
            Err(_) if settings.listen.port() == 0 && tries < 16 => {}
            Err(cause) => return Err(cause).with_context(|| format!("fellows' datagrams on {address}")),
        }
    }
}

/// What is shared out before any fellow was heard.
pub fn first(settings: &RouterSettings, peers: &PeerSettings) -> (Rules, Granted) {
    let decisions = &settings.decisions;
    let places = decisions.routers;
    let things = 1 + decisions.customers.len().min(paddleproxy_peers::allocation::MAX_RESOURCES - 1);
    let rules = Rules {
        deployment: peers.deployment.clone(),
        router_count: places,
        own: RouterIndex(decisions.own_number as u16),
        probe_ms: peers.probe_ms,
        lease_ms: peers.lease_ms,
        floor: peers.floor,
        remember_ms: peers.remember_ms,
        resources: things,
        slow_start_permits: paddleproxy::control::slow_start_router_limit(decisions, places),
    };
    let about = about(settings, peers, peers.listen);
    let alone = Peers::new(0.0, rules.clone(), about, Vec::new(), Generation(1), 0);
    (rules, alone.floor())
}

fn about(settings: &RouterSettings, peers: &PeerSettings, address: SocketAddr) -> RouterInfo {
    RouterInfo {
        name: peers.name.clone(),
        address: peers.advertise.unwrap_or(address),
        zone: settings.decisions.zone.map_or(0, |zone| zone.0 as u8),
        region: peers.region.clone(),
        format: wire::FORMAT_VERSION,
    }
}

/// The decisions' settings as fellows agreed: how many reckon, the own place among them, the part of fresh servers.
pub fn overlaid(base: &Settings, granted: &Granted) -> Settings {
    Settings {
        routers: granted.routers.max(1),
        own_number: granted.rank.min(granted.routers.max(1) - 1),
        slow_start_share: Some(granted.shares.first().copied().unwrap_or(0.0)),
        ..base.clone()
    }
}

/// All that the task needs.
pub struct Fellows {
    pub bound: Bound,
    pub rules: Rules,
    pub settings: Rc<RouterSettings>,
    pub peers: PeerSettings,
    pub seed: u64,
    pub clock: Clock,
    pub steady: SteadyClock,
    pub core: CoreSender,
    pub admission: Rc<RefCell<Admission>>,
    pub desk: Option<Desked>,
}

struct Task {
    peers: Peers,
    datagrams: Rc<UdpSocket>,
    own_ip: SocketAddr,
    call_ms: f64,
    clock: Clock,
    core: CoreSender,
    admission: Rc<RefCell<Admission>>,
    inside: mpsc::Sender<Inside>,
    life_file: PathBuf,
    zones: Vec<String>,
    said: Option<Granted>,
    wrong_ms: f64,
    wrong_told: u64,
    asked: (f64, Vec<u64>),
    needs: Vec<f64>,
    outgoing: Rc<std::cell::Cell<usize>>,
    desk: Option<Desked>,
    words: failover::Words,
}

/// Runs as long as the router does.
pub async fn run(fellows: Fellows, mut asks: mpsc::Receiver<Ask>) {
    let Fellows { bound, rules, settings, peers, seed, clock, steady, core, admission, desk } = fellows;
    let life_file = settings.state_dir.join(LIFE);
    let life = next_life(&life_file);
    let about = about(&settings, &peers, bound.address);
    info!(name = about.name, address = %about.address, life = life.0, "looking for fellows");
    let (inside, mut within) = mpsc::channel(4 * CALLS);
    let datagrams = Rc::new(bound.datagrams);
    let need_ms = rules.lease_ms / 3.0;
    let mut task = Task {
        call_ms: (CALL_PROBES * rules.probe_ms).max(CALL_LEAST_MS),
        peers: Peers::new(clock.now_ms(), rules, about, peers.seeds.clone(), life, seed),
        datagrams: datagrams.clone(),
        own_ip: bound.address,
        clock,
        core,
        admission,
        inside: inside.clone(),
        life_file,
        zones: settings.names.zones.clone(),
        said: None,
        wrong_ms: f64::NEG_INFINITY,
        wrong_told: 0,
        asked: (clock.now_ms(), Vec::new()),
        needs: Vec::new(),
        outgoing: Rc::default(),
        words: failover::Words::new(&settings, steady),
        desk,
    };
    if let Some(desk) = &task.desk {
        task.words.recover(&mut desk.borrow_mut(), clock.now_ms());
    }
    let open = Rc::new(std::cell::Cell::new(0usize));
    let mut need = tokio::time::interval(duration(need_ms));
    need.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut bytes = vec![0; 2048];
    loop {
        let next_ms = task.peers.next_ms();
        let due = task.clock.at(next_ms.min(task.clock.now_ms() + 60_000.0));
        tokio::select! {
            biased;
            _ = sleep_until(due) => task.tell(Event::Tick).await,
            asked = asks.recv() => match asked {
                Some(Ask::View(answer)) => drop(answer.send(task.view())),
                Some(Ask::Leave(done)) => {
                    task.tell(Event::Leave).await;
                    let _ = done.send(());
                }
                Some(Ask::Failover(answer)) => drop(answer.send(task.failover())),
                Some(Ask::Word(word, answer)) => drop(answer.send(task.word(&word))),
                None => return,
            },
            _ = need.tick() => {
                let needs = task.measured();
                task.carry().await;
                task.tell(Event::Need(needs)).await;
            }
            Some(inside) = within.recv() => match inside {
                Inside::Called { letters, reply } => task.called(letters, reply).await,
                Inside::Answered { to, letters: Some(letters) } => {
                    task.tell(Event::CallAnswered { to, packets: &letters }).await;
                }
                Inside::Answered { to, letters: None } => task.tell(Event::CallFailed { to }).await,
            },
            got = datagrams.recv_from(&mut bytes) => match got {
                Ok((count, from)) => {
                    let bytes = bytes[..count].to_vec();
                    task.tell(Event::Datagram { from, bytes: &bytes }).await;
                }
                // A fellow's closed port is told as an error of this socket; it is no end of it.
                Err(_) => tokio::task::yield_now().await,
            },
            taken = bound.calls.accept() => match taken {
                Ok((stream, _)) if open.get() < CALLS => {
                    open.set(open.get() + 1);
                    let (open, inside, within) = (open.clone(), inside.clone(), duration(task.call_ms));
                    tokio::task::spawn_local(async move {
                        let _ = timeout(within, answer(stream.into(), inside)).await;
                        open.set(open.get() - 1);
                    });
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(duration(10.0)).await,
            },
        }
    }
}

impl Task {
    async fn tell(&mut self, event: Event<'_>) {
        let actions = self.peers.handle(self.clock.now_ms(), event);
        self.act(actions).await;
    }

    async fn called(&mut self, letters: Vec<Vec<u8>>, reply: oneshot::Sender<Vec<Vec<u8>>>) {
        let mut actions = self.peers.handle(self.clock.now_ms(), Event::CallReceived { packets: &letters });
        let row = actions.iter().position(|action| matches!(action, Action::Reply { .. }));
        if let Some(Action::Reply { packets: letters }) = row.map(|row| actions.remove(row)) {
            let _ = reply.send(letters);
        }
        self.act(actions).await;
    }

    async fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                // A datagram that finds no room is lost, as it may be anywhere on its way.
                Action::Send { to, bytes } => drop(self.datagrams.try_send_to(&bytes, to)),
                Action::Call { to, packets: letters } => self.call(to, letters),
                Action::Changed { router: place, change } => {
                    let (from, to) = (change.from.map(|state| state.name()), change.to.name());
                    info!(
                        place = place.0,
                        life = change.generation.0,
                        from,
                        to,
                        by = change.reporter.0,
                        "fellow"
                    );
                }
                Action::GenerationRaised { generation: life } => {
                    info!(life = life.0, "a higher life than fellows remember");
                    keep_life(&self.life_file, life);
                }
                Action::Displaced { by } => {
                    tracing::error!(%by, "another process runs under this router's place; this one has no part in \
                        the common view any more and uses nothing that is shared out");
                }
                Action::AllocationAdopted { number } => info!(number, "page"),
                Action::Reply { .. } => {}
            }
        }
        self.share().await;
        let wrong: u64 = self.peers.counts.rejected.values().sum();
        let now_ms = self.clock.now_ms();
        if wrong > self.wrong_told && now_ms >= self.wrong_ms + WRONG_EVERY_MS {
            (self.wrong_told, self.wrong_ms) = (wrong, now_ms);
            warn!(wrong, kinds = ?self.peers.counts.rejected, "bytes that are no letters of fellows were dropped");
        }
    }

    /// What failover has to say goes with the own row, and onto the page that may be next.
    async fn carry(&mut self) {
        let Some(desk) = &self.desk else { return };
        let now_ms = self.clock.now_ms();
        let carried = {
            let desk = &mut *desk.borrow_mut();
            let carried = failover::carry(desk, &self.peers, now_ms);
            if carried.news {
                self.words.keep(desk, now_ms);
            }
            carried
        };
        if !carried.asks.is_empty() {
            // A core with that many words waiting has no time for mere questions.
            let _ = self.core.try_send(CoreEvent::CheckReachability { workers: carried.asks });
        }
        let event = Event::SetExtra { row: carried.row, allocation: carried.page, after: carried.after };
        self.tell(event).await;
    }

    fn failover(&self) -> Option<Value> {
        let desk = self.desk.as_ref()?.borrow();
        Some(failover::view(
            &desk,
            &self.zones,
            self.peers.info(),
            self.peers.cluster_report(),
            self.clock.now_ms(),
        ))
    }

    fn word(&mut self, word: &WordFor) -> Result<Value, String> {
        let desk = self.desk.as_ref().ok_or("this router has no 'failover' in its settings")?;
        self.words.say(&mut desk.borrow_mut(), &self.zones, word, self.clock.now_ms())
    }

    /// Tells the core and the gates what may be used, where that changed.
    async fn share(&mut self) {
        if let Some(desk) = self.desk.as_ref().filter(|desk| !desk.borrow().rules().alone) {
            let page = self.peers.agreed_extra(self.clock.now_ms());
            let mut desk = desk.borrow_mut();
            if desk.force(page) {
                let plan = desk.agreed().map(|agreed| &agreed.plan);
                info!(page = page.map(|(number, _)| number), number = plan.map(|plan| plan.number),
                    moves = ?plan.map(|plan| &plan.moves), "plan in force");
            }
        }
        let granted = self.peers.granted(self.clock.now_ms());
        if self.said.as_ref() == Some(&granted) {
            return;
        }
        let floor = self.peers.floor();
        let until_ms = granted.until_ms;
        self.admission.borrow_mut().set_shares(&granted.shares[1..], &floor.shares[1..], until_ms);
        let told = CoreEvent::SharesGranted { granted: granted.clone(), floor };
        if self.core.send(told).await.is_ok() {
            self.said = Some(granted);
        }
    }

    /// What this router wants: completions a second in all, and of each customer.
    fn measured(&mut self) -> Vec<f64> {
        let now_ms = self.clock.now_ms();
        let counts = self.admission.borrow().request_counts();
        let (before_ms, before) = std::mem::replace(&mut self.asked, (now_ms, counts.clone()));
        let over_s = ((now_ms - before_ms) / 1e3).max(1e-3);
        let new =
            |row: usize| counts[row].saturating_sub(before.get(row).copied().unwrap_or(0)) as f64 / over_s;
        let things = self.peers.rules().resources;
        let customers = (0..things - 1).map(|row| if row + 1 < counts.len() { new(row + 1) } else { 0.0 });
        let now: Vec<f64> = std::iter::once((0..counts.len()).map(new).sum()).chain(customers).collect();
        self.needs.resize(things, 0.0);
        // Rounded, so that what hardly changed is not told anew.
        let blend = |(old, new): (&f64, f64)| ((old + NEWEST * (new - old)) * 16.0).round() / 16.0;
        self.needs = self.needs.iter().zip(now).map(blend).collect();
        self.needs.clone()
    }

    fn call(&mut self, to: SocketAddr, letters: Vec<Vec<u8>>) {
        let inside = self.inside.clone();
        if self.outgoing.get() >= CALLS {
            return;
        }
        let (own, within) = (SocketAddr::new(self.own_ip.ip(), 0), duration(self.call_ms));
        let outgoing = self.outgoing.clone();
        outgoing.set(outgoing.get() + 1);
        tokio::task::spawn_local(async move {
            let letters = timeout(within, call(own, to, &letters)).await.ok().and_then(Result::ok);
            outgoing.set(outgoing.get() - 1);
            let _ = inside.send(Inside::Answered { to, letters }).await;
        });
    }

    /// All that operators may ask for.
    fn view(&self) -> Value {
        let (peers, now_ms) = (&self.peers, self.clock.now_ms());
        let stand = peers.cluster_report();
        let places = |list: &[RouterIndex]| list.iter().map(|place| place.0).collect::<Vec<_>>();
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
                    "deaf_to": stand.not_hearing.contains(&m.router), "unheard_by": stand.not_heard_by.contains(&m.router),
                    "doubted_by": m.suspicion.iter().flat_map(|doubt| &doubt.reporters).map(|place| place.0).collect::<Vec<_>>(),
                    "history": history.collect::<Vec<_>>(),
                })
            })
            .collect();
        let granted = peers.granted(now_ms);
        let keeping = peers.consensus();
        let seats = keeping.allocation().map(|page| {
            let rows = page.entries.iter().map(|seat| json!([seat.router.0, seat.generation.0, seat.parts]));
            rows.collect::<Vec<_>>()
        });
        let counts = &peers.counts;
        json!({
            "schema": "paddleproxy.peers.v1",
            "place": peers.rules().own.0, "name": peers.info().name, "life": peers.generation().0,
            "incarnation": peers.incarnation(), "zone": zone(peers.info().zone), "region": peers.info().region,
            "address": peers.info().address, "places": peers.rules().router_count, "clock_ms": now_ms,
            "mind": stand.status.name(), "why": stand.reason, "roster": stand.roster, "hears": stand.heard,
            "same": stand.same_view, "of": stand.compared, "differ": places(&stand.differing),
            "deaf_to": places(&stand.not_hearing), "unheard_by": places(&stand.not_heard_by),
            "digest": digest, "health": peers.health(), "rumours": peers.queued_gossip(),
            "page": {
                "number": keeping.number(), "seats": seats, "keeper": keeping.is_voter(), "kept": keeping.accepted_number(),
                "silent_ms": (keeping.abstains_until_ms() - now_ms).max(0.0),
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

/// Which start this is: one more than the file says, which is written before anybody hears of it.
fn next_life(file: &Path) -> Generation {
    let last = std::fs::read_to_string(file).ok().and_then(|text| text.trim().parse::<u64>().ok());
    let life = Generation(last.unwrap_or(0).saturating_add(1));
    keep_life(file, life);
    life
}

fn keep_life(file: &Path, life: Generation) {
    if let Err(cause) = write_whole(file, format!("{}\n", life.0).as_bytes()) {
        warn!(%cause, file = %file.display(), "the router's life is not kept; its fellows will tell it");
    }
}

/// Takes a call: its letters to the machine, the answer back.
async fn answer(mut stream: Stream, inside: mpsc::Sender<Inside>) -> Result<()> {
    let letters = read(&mut stream).await?;
    let (reply, answer) = oneshot::channel();
    inside.send(Inside::Called { letters, reply }).await.ok().context("the router stops")?;
    write(&mut stream, &answer.await?).await
}

async fn call(own: SocketAddr, to: SocketAddr, letters: &[Vec<u8>]) -> Result<Vec<Vec<u8>>> {
    let socket = TcpSocket::new_v4()?;
    // From the address that fellows know, so that who watches a link knows whose it is.
    socket.bind(own)?;
    let mut stream = Stream::from(socket.connect(to).await?);
    write(&mut stream, letters).await?;
    read(&mut stream).await
}

/// Letters on a stream: each after its length in four bytes, least first; a length of 0 ends them.
async fn read(stream: &mut Stream) -> Result<Vec<Vec<u8>>> {
    let (mut letters, mut left) = (Vec::new(), CALL_BYTES);
    loop {
        let length = stream.read_u32_le().await? as usize;
        if length == 0 {
            return Ok(letters);
        }
        anyhow::ensure!(
            length <= left && length <= 4 * wire::MAX_EXCHANGE_PACKET_BYTES && letters.len() < LETTERS,
            "a call too long"
        );
        left -= length;
        let mut letter = vec![0; length];
        stream.read_exact(&mut letter).await?;
        letters.push(letter);
    }
}

async fn write(stream: &mut Stream, letters: &[Vec<u8>]) -> Result<()> {
    let mut bytes = Vec::new();
    for letter in letters {
        bytes.extend((letter.len() as u32).to_le_bytes());
        bytes.extend(letter);
    }
    bytes.extend([0; 4]);
    stream.write_all(&bytes).await?;
    stream.flush().await?;
    Ok(())
}

/// Tells the fellows that this router goes, and waits until that is on its way; not for long.
pub async fn leave(fellows: &ToFellows) {
    let (done, said) = oneshot::channel();
    if fellows.send(Ask::Leave(done)).await.is_ok() {
        let _ = timeout(Duration::from_millis(200), said).await;
    }
}

/// When what is granted lapses on the router's own clock; none where it does not.
pub fn lapses(clock: Clock, granted: &Granted) -> Option<Instant> {
    granted.until_ms.is_finite().then(|| clock.at(granted.until_ms))
}
