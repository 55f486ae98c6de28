//! Relays on every directed link, so that faults can be put between processes: routers' datagrams and calls to each
//! other, routers to servers and to the list service. Clients ask it before they connect.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use paddleproxy_settings::rig::{Cut, EndpointSelector, LinkCondition, Traffic};
use tokio::io::Interest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// One end of a link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Router(usize),
    Worker { name: String, zone: String },
    List,
    Clients,
}

/// A fault of links that is on.
struct On {
    id: u64,
    from: Vec<EndpointSelector>,
    to: Vec<EndpointSelector>,
    both: bool,
    carries: Traffic,
    weather: LinkCondition,
}

/// The place of a process in the mesh: a router, or a namesake of one after all routers.
struct Node {
    /// Where fellows reach it.
    relay: Rc<UdpSocket>,
    calls: RefCell<Option<TcpListener>>,
    address: SocketAddr,
    /// Its own address, by which its datagrams and calls are known.
    ip: Ipv4Addr,
    /// Where it listens now.
    real: Cell<Option<SocketAddr>>,
    /// Until when its links from each other node are busy with what was sent, where bytes are capped.
    busy: RefCell<BTreeMap<usize, Instant>>,
}

pub struct Mesh {
    nodes: Vec<Node>,
    routers: usize,
    zones: Vec<String>,
    on: RefCell<Vec<On>>,
    next: Cell<u64>,
    changed: Notify,
    rng: RefCell<fastrand::Rng>,
}

/// Processes beside the routers.
const EXTRAS: usize = 2;
/// How often a connection that is not made yet is looked at, in ms.
const CLOSED_EVERY_MS: f64 = 5.0;
/// What a segment lost on the way costs a connection, in ms.
const AGAIN_MS: f64 = 200.0;

fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}

/// Passes once the other end of a connection has closed it, read or unread.
async fn closed(stream: &TcpStream) {
    while !stream.ready(Interest::READABLE).await.is_ok_and(|ready| ready.is_read_closed()) {
        // Bytes that nobody reads yet keep it ready.
        sleep(duration(CLOSED_EVERY_MS)).await;
    }
}

impl Mesh {
    /// Relays between so many routers, of which each is in one of the zones.
    ///
    /// # Errors
    /// No loopback address that is free.
    pub async fn start(zones: Vec<String>, seed: u64) -> Result<Rc<Mesh>> {
        let routers = zones.len();
        let net = fastrand::Rng::with_seed(u64::from(std::process::id()) ^ seed.rotate_left(17)).u8(2..250);
        let mut nodes = Vec::new();
        for node in 0..routers + EXTRAS {
            let calls = TcpListener::bind("127.0.0.1:0").await.context("a relay's port")?;
            let address = calls.local_addr()?;
            let relay = UdpSocket::bind(address).await.context("a relay's port for datagrams")?;
            nodes.push(Node {
                relay: Rc::new(relay),
                calls: RefCell::new(Some(calls)),
                address,
                ip: Ipv4Addr::new(127, net, 200 + (node / 200) as u8, (node % 200 + 1) as u8),
                real: Cell::new(None),
                busy: RefCell::default(),
            });
        }
        let mesh = Rc::new(Mesh {
            nodes,
            routers,
            zones,
            on: RefCell::default(),
            next: Cell::new(0),
            changed: Notify::new(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
        });
        for node in 0..mesh.nodes.len() {
            tokio::task::spawn_local(mesh.clone().datagrams(node));
            if let Some(calls) = mesh.nodes[node].calls.take() {
                tokio::task::spawn_local(mesh.clone().calls(node, calls));
            }
        }
        Ok(mesh)
    }

    /// The first place for a process that is no router of the day.
    pub fn extra(&self) -> usize {
        self.routers
    }

    /// Where a node listens for fellows, where they reach it, and whom it asks first.
    pub fn own(&self, node: usize) -> (String, Option<String>, Vec<String>) {
        let seeds = (0..self.routers.min(3)).map(|router| self.nodes[router].address.to_string());
        (format!("{}:0", self.nodes[node].ip), Some(self.nodes[node].address.to_string()), seeds.collect())
    }

    pub fn listens(&self, node: usize, at: Option<SocketAddr>) {
        self.nodes[node].real.set(at);
    }

    pub fn real(&self, node: usize) -> Option<SocketAddr> {
        self.nodes[node].real.get()
    }

    pub fn begin(
        &self,
        from: &[EndpointSelector],
        to: &[EndpointSelector],
        both: bool,
        carries: Traffic,
        weather: LinkCondition,
    ) -> u64 {
        let id = self.next.replace(self.next.get() + 1);
        let (from, to) = (from.to_vec(), to.to_vec());
        self.on.borrow_mut().push(On { id, from, to, both, carries, weather });
        self.changed.notify_waiters();
        id
    }

    pub fn end(&self, id: u64) {
        self.on.borrow_mut().retain(|on| on.id != id);
        self.changed.notify_waiters();
    }

    fn is(&self, end: &End, who: &EndpointSelector) -> bool {
        let zone = |router: usize| self.zones.get(router % self.routers.max(1)).map(String::as_str);
        match (who, end) {
            (EndpointSelector::All, _) => true,
            (EndpointSelector::Routers, End::Router(_)) | (EndpointSelector::Workers, End::Worker { .. }) => {
                true
            }
            (EndpointSelector::List, End::List) | (EndpointSelector::Clients, End::Clients) => true,
            (EndpointSelector::Router(number), End::Router(router)) => number == router,
            (EndpointSelector::Zone(of) | EndpointSelector::RoutersOf(of), End::Router(router)) => {
                zone(*router) == Some(of)
            }
            (EndpointSelector::Zone(of) | EndpointSelector::WorkersOf(of), End::Worker { zone, .. }) => {
                zone == of
            }
            (EndpointSelector::Server(of), End::Worker { name, .. }) => name == of,
            _ => false,
        }
    }

    /// Routers that fellows may come to think gone by a fault between such ends.
    pub fn touched(
        &self,
        from: &[EndpointSelector],
        to: &[EndpointSelector],
        carries: Traffic,
    ) -> Vec<usize> {
        if !matches!(carries, Traffic::All | Traffic::Datagrams | Traffic::Calls) {
            return Vec::new();
        }
        let named = |router: &usize| {
            let end = End::Router(*router);
            from.iter().chain(to).any(|who| self.is(&end, who))
        };
        (0..self.routers).filter(named).collect()
    }

    /// What the link does now to that kind of traffic.
    pub fn weather(&self, from: &End, to: &End, what: Traffic) -> LinkCondition {
        let any = |ends: &[EndpointSelector], end: &End| ends.iter().any(|who| self.is(end, who));
        let on = self.on.borrow();
        let fits = |on: &&On| {
            let forth = any(&on.from, from) && any(&on.to, to);
            let back = on.both && any(&on.from, to) && any(&on.to, from);
            (on.carries == Traffic::All || on.carries == what) && (forth || back)
        };
        on.iter().filter(fits).fold(LinkCondition::default(), |sum, on| sum.and(on.weather))
    }

    fn node_of(&self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else { return None };
        self.nodes.iter().position(|node| node.ip == ip)
    }

    fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.rng.borrow_mut().f64() < share
    }

    fn late_ms(&self, weather: &LinkCondition) -> f64 {
        weather.delay_ms + weather.jitter_ms * self.rng.borrow_mut().f64()
    }

    async fn datagrams(self: Rc<Self>, to: usize) {
        let own = self.nodes[to].relay.clone();
        let mut bytes = vec![0; 65536];
        loop {
            let Ok((count, source)) = own.recv_from(&mut bytes).await else {
                tokio::task::yield_now().await;
                continue;
            };
            let Some(from) = self.node_of(source) else { continue };
            let weather = self.weather(&End::Router(from), &End::Router(to), Traffic::Datagrams);
            if weather.cut.is_some() || self.chance(weather.loss) {
                continue;
            }
            let mut letter = bytes[..count].to_vec();
            if self.chance(weather.corrupted) && !letter.is_empty() {
                let at = self.rng.borrow_mut().usize(..letter.len());
                letter[at] ^= 1 << self.rng.borrow_mut().u8(..8);
            }
            let mut wait_ms = self.late_ms(&weather);
            if let Some(per_s) = weather.bytes_per_s {
                let mut busy = self.nodes[to].busy.borrow_mut();
                let free = busy.get(&from).copied().unwrap_or_else(Instant::now).max(Instant::now());
                let until = free + duration(count as f64 / per_s * 1e3);
                busy.insert(from, until);
                wait_ms += until.duration_since(Instant::now()).as_secs_f64() * 1e3;
            }
            let times = 1 + usize::from(self.chance(weather.duplicated));
            for time in 0..times {
                // Sent on from where the sender is known, so that the answer finds the way back.
                let relay = self.nodes[from].relay.clone();
                let Some(real) = self.nodes[to].real.get() else { continue };
                let wait_ms = if time == 0 { wait_ms } else { wait_ms + self.late_ms(&weather) };
                if wait_ms <= 0.0 {
                    let _ = relay.try_send_to(&letter, real);
                    continue;
                }
                let letter = letter.clone();
                tokio::task::spawn_local(async move {
                    sleep(duration(wait_ms)).await;
                    let _ = relay.send_to(&letter, real).await;
                });
            }
        }
    }

    async fn calls(self: Rc<Self>, to: usize, listener: TcpListener) {
        loop {
            let Ok((stream, source)) = listener.accept().await else { continue };
            let from = self.node_of(source);
            let real = self.nodes[to].real.get();
            if let (Some(from), Some(real)) = (from, real) {
                let ends = (End::Router(from), End::Router(to));
                tokio::task::spawn_local(self.clone().link(stream, real, ends, Traffic::Calls));
            }
        }
    }

    /// A relay of one directed link to a fixed address.
    ///
    /// # Errors
    /// No port that is free.
    pub async fn relay(
        self: &Rc<Self>,
        from: End,
        to: End,
        real: SocketAddr,
        what: Traffic,
    ) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context("a relay's port")?;
        let address = listener.local_addr()?;
        let mesh = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let ends = (from.clone(), to.clone());
                tokio::task::spawn_local(mesh.clone().link(stream, real, ends, what));
            }
        });
        Ok(address)
    }

    /// Waits while a link swallows what it is given; false where it resets.
    async fn open(&self, from: &End, to: &End, what: Traffic) -> bool {
        loop {
            let changed = self.changed.notified();
            match self.weather(from, to, what).cut {
                None => return true,
                Some(Cut::Reset) => return false,
                Some(Cut::Silent) => changed.await,
            }
        }
    }

    /// Passes once either way of a link is one that resets.
    async fn resets(&self, from: &End, to: &End, what: Traffic) {
        loop {
            let changed = self.changed.notified();
            let cut = |a: &End, b: &End| self.weather(a, b, what).cut == Some(Cut::Reset);
            if cut(from, to) || cut(to, from) {
                return;
            }
            changed.await;
        }
    }

    async fn link(self: Rc<Self>, client: TcpStream, real: SocketAddr, ends: (End, End), what: Traffic) {
        let (from, to) = ends;
        let _ = client.set_nodelay(true);
        let reset = |stream: &TcpStream| {
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        };
        let joined = async {
            // A handshake needs both ways.
            (self.open(&from, &to, what).await && self.open(&to, &from, what).await).then_some(())?;
            TcpStream::connect(real).await.ok()
        };
        // Whose client is gone before the other end answered is never made: no request waits here for a server's return.
        let joined = tokio::select! {
            biased;
            joined = joined => joined,
            () = closed(&client) => None,
        };
        let Some(server) = joined else {
            reset(&client);
            return;
        };
        let _ = server.set_nodelay(true);
        reset(&client);
        reset(&server);
        let ((client_in, client_out), (server_in, server_out)) = (client.into_split(), server.into_split());
        let forth = self.pipe(client_in, server_out, &from, &to, what);
        let back = self.pipe(server_in, client_out, &to, &from, what);
        // Both ends are dropped where one breaks; a half that only ended lets the other go on.
        let both = async {
            tokio::try_join!(forth, back).ok();
        };
        tokio::select! {
            () = both => {}
            () = self.resets(&from, &to, what) => {}
        }
    }

    async fn pipe(
        &self,
        mut source: OwnedReadHalf,
        mut sink: OwnedWriteHalf,
        from: &End,
        to: &End,
        what: Traffic,
    ) -> std::io::Result<()> {
        let broke = || std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        let mut bytes = vec![0; 16 << 10];
        loop {
            let count = source.read(&mut bytes).await?;
            if !self.open(from, to, what).await {
                return Err(broke());
            }
            if count == 0 {
                // An orderly end is passed on as one.
                let _ = socket2::SockRef::from(sink.as_ref()).set_linger(None);
                return sink.shutdown().await;
            }
            let weather = self.weather(from, to, what);
            let mut wait_ms = self.late_ms(&weather);
            if self.chance(weather.loss) {
                wait_ms += AGAIN_MS;
            }
            wait_ms += weather.bytes_per_s.map_or(0.0, |per_s| count as f64 / per_s * 1e3);
            if wait_ms > 0.0 {
                sleep(duration(wait_ms)).await;
                if !self.open(from, to, what).await {
                    return Err(broke());
                }
            }
            sink.write_all(&bytes[..count]).await?;
        }
    }
}
