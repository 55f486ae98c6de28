//! Relays on every directed link, so that faults can be injected between processes: datagrams and calls
//! between routers, and connections from routers to servers and to the list service. Clients connect to
//! routers directly and query the state of their link first.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use paddleproxy_settings::process_faults::{Cut, EndpointSelector, LinkCondition, Traffic};
use tokio::io::Interest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// One end of a link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Router(usize),
    Worker { name: String, zone: String },
    List,
    Clients,
}

/// A link fault that is active now.
struct ActiveFault {
    id: u64,
    from: Vec<EndpointSelector>,
    to: Vec<EndpointSelector>,
    both: bool,
    carries: Traffic,
    condition: LinkCondition,
}

/// A process in the mesh. Routers come first; after them follow spare nodes for second processes with a
/// router's index.
struct Node {
    /// Receives the datagrams that other routers send to this node.
    relay: Rc<UdpSocket>,
    /// Accepts the calls of other routers to this node, until its relay task takes it.
    calls: RefCell<Option<TcpListener>>,
    /// Address of both relay sockets; the process advertises it to its peers.
    address: SocketAddr,
    /// Source address of its datagrams and calls; identifies the sender.
    ip: Ipv4Addr,
    /// Address at which the process listens now; changes with each start.
    target: Cell<Option<SocketAddr>>,
    /// By sender: time until which a link with limited bandwidth is busy with earlier datagrams.
    busy_until: RefCell<BTreeMap<usize, Instant>>,
}

/// The relays of a day and the link faults that are active.
pub struct Mesh {
    nodes: Vec<Node>,
    routers: usize,
    zones: Vec<String>,
    active_faults: RefCell<Vec<ActiveFault>>,
    next_id: Cell<u64>,
    /// Notified when a fault starts or ends.
    changed: Notify,
    rng: RefCell<fastrand::Rng>,
}

/// Nodes for processes that are not among the day's routers.
const SPARE_NODES: usize = 2;
/// Interval at which a client connection that still waits for its upstream is checked for a close, in ms.
const CLOSE_POLL_MS: f64 = 5.0;
/// Delay of a connection by one lost segment, like a TCP retransmission, in ms.
const RETRANSMIT_DELAY_MS: f64 = 200.0;

fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}

/// Returns once the peer has closed the connection, whether or not its data was read.
async fn wait_for_close(stream: &TcpStream) {
    while !stream.ready(Interest::READABLE).await.is_ok_and(|ready| ready.is_read_closed()) {
        // Unread bytes keep the socket ready, so without this sleep the loop would spin.
        sleep(duration(CLOSE_POLL_MS)).await;
    }
}

impl Mesh {
    /// Starts the relays between routers; `zones` holds the zone of each router.
    ///
    /// # Errors
    /// No free port on the loopback interface.
    pub async fn start(zones: Vec<String>, seed: u64) -> Result<Rc<Mesh>> {
        let routers = zones.len();
        let net = fastrand::Rng::with_seed(u64::from(std::process::id()) ^ seed.rotate_left(17)).u8(2..250);
        let mut nodes = Vec::new();
        for node in 0..routers + SPARE_NODES {
            let calls = TcpListener::bind("127.0.0.1:0").await.context("binding the TCP port of a relay")?;
            let address = calls.local_addr()?;
            let relay = UdpSocket::bind(address).await.context("binding the UDP port of a relay")?;
            nodes.push(Node {
                relay: Rc::new(relay),
                calls: RefCell::new(Some(calls)),
                address,
                ip: Ipv4Addr::new(127, net, 200 + (node / 200) as u8, (node % 200 + 1) as u8),
                target: Cell::new(None),
                busy_until: RefCell::default(),
            });
        }
        let mesh = Rc::new(Mesh {
            nodes,
            routers,
            zones,
            active_faults: RefCell::default(),
            next_id: Cell::new(0),
            changed: Notify::new(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
        });
        for node in 0..mesh.nodes.len() {
            tokio::task::spawn_local(mesh.clone().relay_datagrams(node));
            if let Some(calls) = mesh.nodes[node].calls.take() {
                tokio::task::spawn_local(mesh.clone().relay_calls(node, calls));
            }
        }
        Ok(mesh)
    }

    /// The first node for a process that is not among the day's routers.
    pub fn spare_node(&self) -> usize {
        self.routers
    }

    /// Listen address of a node for its peers, the address to advertise to them, and the seeds that it
    /// contacts first.
    pub fn addresses_of(&self, node: usize) -> (String, Option<String>, Vec<String>) {
        let seeds = (0..self.routers.min(3)).map(|router| self.nodes[router].address.to_string());
        (format!("{}:0", self.nodes[node].ip), Some(self.nodes[node].address.to_string()), seeds.collect())
    }

    pub fn set_listen_address(&self, node: usize, address: Option<SocketAddr>) {
        self.nodes[node].target.set(address);
    }

    pub fn listen_address(&self, node: usize) -> Option<SocketAddr> {
        self.nodes[node].target.get()
    }

    pub fn add_fault(
        &self,
        from: &[EndpointSelector],
        to: &[EndpointSelector],
        both: bool,
        carries: Traffic,
        condition: LinkCondition,
    ) -> u64 {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let (from, to) = (from.to_vec(), to.to_vec());
        self.active_faults.borrow_mut().push(ActiveFault { id, from, to, both, carries, condition });
        self.changed.notify_waiters();
        id
    }

    pub fn remove_fault(&self, id: u64) {
        self.active_faults.borrow_mut().retain(|fault| fault.id != id);
        self.changed.notify_waiters();
    }

    fn matches(&self, end: &Endpoint, selector: &EndpointSelector) -> bool {
        let zone = |router: usize| self.zones.get(router % self.routers.max(1)).map(String::as_str);
        match (selector, end) {
            (EndpointSelector::All, _) => true,
            (EndpointSelector::Routers, Endpoint::Router(_))
            | (EndpointSelector::Workers, Endpoint::Worker { .. }) => true,
            (EndpointSelector::List, Endpoint::List) | (EndpointSelector::Clients, Endpoint::Clients) => true,
            (EndpointSelector::Router(number), Endpoint::Router(router)) => number == router,
            (EndpointSelector::Zone(of) | EndpointSelector::RoutersOf(of), Endpoint::Router(router)) => {
                zone(*router) == Some(of)
            }
            (EndpointSelector::Zone(of) | EndpointSelector::WorkersOf(of), Endpoint::Worker { zone, .. }) => {
                zone == of
            }
            (EndpointSelector::Server(of), Endpoint::Worker { name, .. }) => name == of,
            _ => false,
        }
    }

    /// Routers that their peers may take for failed because of a fault between these endpoints.
    pub fn affected_routers(
        &self,
        from: &[EndpointSelector],
        to: &[EndpointSelector],
        carries: Traffic,
    ) -> Vec<usize> {
        if !matches!(carries, Traffic::All | Traffic::Datagrams | Traffic::Calls) {
            return Vec::new();
        }
        let affected = |router: &usize| {
            let end = Endpoint::Router(*router);
            from.iter().chain(to).any(|selector| self.matches(&end, selector))
        };
        (0..self.routers).filter(affected).collect()
    }

    /// Combined effect of all active faults on this kind of traffic of a link.
    pub fn link_conditions(&self, from: &Endpoint, to: &Endpoint, traffic: Traffic) -> LinkCondition {
        let any_matches = |ends: &[EndpointSelector], end: &Endpoint| {
            ends.iter().any(|selector| self.matches(end, selector))
        };
        let faults = self.active_faults.borrow();
        let applies = |fault: &&ActiveFault| {
            let forward = any_matches(&fault.from, from) && any_matches(&fault.to, to);
            let backward = fault.both && any_matches(&fault.from, to) && any_matches(&fault.to, from);
            (fault.carries == Traffic::All || fault.carries == traffic) && (forward || backward)
        };
        faults.iter().filter(applies).fold(LinkCondition::default(), |sum, fault| sum.and(fault.condition))
    }

    fn node_of(&self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else { return None };
        self.nodes.iter().position(|node| node.ip == ip)
    }

    fn happens(&self, share: f64) -> bool {
        share > 0.0 && self.rng.borrow_mut().f64() < share
    }

    fn random_delay_ms(&self, condition: &LinkCondition) -> f64 {
        condition.delay_ms + condition.jitter_ms * self.rng.borrow_mut().f64()
    }

    async fn relay_datagrams(self: Rc<Self>, to: usize) {
        let receiver = self.nodes[to].relay.clone();
        let mut bytes = vec![0; 65536];
        loop {
            let Ok((count, source)) = receiver.recv_from(&mut bytes).await else {
                tokio::task::yield_now().await;
                continue;
            };
            let Some(from) = self.node_of(source) else { continue };
            let condition =
                self.link_conditions(&Endpoint::Router(from), &Endpoint::Router(to), Traffic::Datagrams);
            if condition.cut.is_some() || self.happens(condition.loss) {
                continue;
            }
            let mut packet = bytes[..count].to_vec();
            if self.happens(condition.corrupted) && !packet.is_empty() {
                let at = self.rng.borrow_mut().usize(..packet.len());
                packet[at] ^= 1 << self.rng.borrow_mut().u8(..8);
            }
            let mut wait_ms = self.random_delay_ms(&condition);
            if let Some(per_s) = condition.bytes_per_s {
                let mut busy_until = self.nodes[to].busy_until.borrow_mut();
                let free_at = busy_until.get(&from).copied().unwrap_or_else(Instant::now).max(Instant::now());
                let until = free_at + duration(count as f64 / per_s * 1e3);
                busy_until.insert(from, until);
                wait_ms += until.duration_since(Instant::now()).as_secs_f64() * 1e3;
            }
            let copies = 1 + usize::from(self.happens(condition.duplicated));
            for copy in 0..copies {
                // Forwarded from the sender's relay address, so that the reply goes through the relays too.
                let relay = self.nodes[from].relay.clone();
                let Some(target) = self.nodes[to].target.get() else { continue };
                let wait_ms = if copy == 0 { wait_ms } else { wait_ms + self.random_delay_ms(&condition) };
                if wait_ms <= 0.0 {
                    let _ = relay.try_send_to(&packet, target);
                    continue;
                }
                let packet = packet.clone();
                tokio::task::spawn_local(async move {
                    sleep(duration(wait_ms)).await;
                    let _ = relay.send_to(&packet, target).await;
                });
            }
        }
    }

    async fn relay_calls(self: Rc<Self>, to: usize, listener: TcpListener) {
        loop {
            let Ok((stream, source)) = listener.accept().await else { continue };
            let from = self.node_of(source);
            let target = self.nodes[to].target.get();
            if let (Some(from), Some(target)) = (from, target) {
                let ends = (Endpoint::Router(from), Endpoint::Router(to));
                tokio::task::spawn_local(self.clone().relay_connection(stream, target, ends, Traffic::Calls));
            }
        }
    }

    /// Starts a relay for connections on one directed link to a fixed address; returns the relay's address.
    ///
    /// # Errors
    /// No free port.
    pub async fn start_relay(
        self: &Rc<Self>,
        from: Endpoint,
        to: Endpoint,
        target: SocketAddr,
        traffic: Traffic,
    ) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context("binding the TCP port of a relay")?;
        let address = listener.local_addr()?;
        let mesh = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let ends = (from.clone(), to.clone());
                tokio::task::spawn_local(mesh.clone().relay_connection(stream, target, ends, traffic));
            }
        });
        Ok(address)
    }

    /// Waits while a link silently drops traffic; false if it resets connections.
    async fn wait_until_passing(&self, from: &Endpoint, to: &Endpoint, traffic: Traffic) -> bool {
        loop {
            let changed = self.changed.notified();
            match self.link_conditions(from, to, traffic).cut {
                None => return true,
                Some(Cut::Reset) => return false,
                Some(Cut::Silent) => changed.await,
            }
        }
    }

    /// Returns once either direction of a link resets connections.
    async fn wait_for_reset(&self, from: &Endpoint, to: &Endpoint, traffic: Traffic) {
        loop {
            let changed = self.changed.notified();
            let cut =
                |a: &Endpoint, b: &Endpoint| self.link_conditions(a, b, traffic).cut == Some(Cut::Reset);
            if cut(from, to) || cut(to, from) {
                return;
            }
            changed.await;
        }
    }

    async fn relay_connection(
        self: Rc<Self>,
        client: TcpStream,
        target: SocketAddr,
        ends: (Endpoint, Endpoint),
        traffic: Traffic,
    ) {
        let (from, to) = ends;
        let _ = client.set_nodelay(true);
        let reset = |stream: &TcpStream| {
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        };
        let upstream = async {
            // A TCP handshake needs both directions.
            (self.wait_until_passing(&from, &to, traffic).await
                && self.wait_until_passing(&to, &from, traffic).await)
                .then_some(())?;
            TcpStream::connect(target).await.ok()
        };
        // If the client closes before the upstream connects, no upstream connection is made: a request must
        // not wait here until a server returns.
        let upstream = tokio::select! {
            biased;
            upstream = upstream => upstream,
            () = wait_for_close(&client) => None,
        };
        let Some(server) = upstream else {
            reset(&client);
            return;
        };
        let _ = server.set_nodelay(true);
        reset(&client);
        reset(&server);
        let ((client_in, client_out), (server_in, server_out)) = (client.into_split(), server.into_split());
        let forward = self.copy_direction(client_in, server_out, &from, &to, traffic);
        let backward = self.copy_direction(server_in, client_out, &to, &from, traffic);
        // An error in one direction drops both connections; an orderly end of one direction lets the other
        // continue.
        let both = async {
            tokio::try_join!(forward, backward).ok();
        };
        tokio::select! {
            () = both => {}
            () = self.wait_for_reset(&from, &to, traffic) => {}
        }
    }

    async fn copy_direction(
        &self,
        mut source: OwnedReadHalf,
        mut sink: OwnedWriteHalf,
        from: &Endpoint,
        to: &Endpoint,
        traffic: Traffic,
    ) -> std::io::Result<()> {
        let reset_error = || std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        let mut bytes = vec![0; 16 << 10];
        loop {
            let count = source.read(&mut bytes).await?;
            if !self.wait_until_passing(from, to, traffic).await {
                return Err(reset_error());
            }
            if count == 0 {
                // Forwards an orderly close as FIN instead of a reset.
                let _ = socket2::SockRef::from(sink.as_ref()).set_linger(None);
                return sink.shutdown().await;
            }
            let condition = self.link_conditions(from, to, traffic);
            let mut wait_ms = self.random_delay_ms(&condition);
            if self.happens(condition.loss) {
                wait_ms += RETRANSMIT_DELAY_MS;
            }
            wait_ms += condition.bytes_per_s.map_or(0.0, |per_s| count as f64 / per_s * 1e3);
            if wait_ms > 0.0 {
                sleep(duration(wait_ms)).await;
                if !self.wait_until_passing(from, to, traffic).await {
                    return Err(reset_error());
                }
            }
            sink.write_all(&bytes[..count]).await?;
        }
    }
}
