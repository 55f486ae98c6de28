//! The simulated model server: does prefill, fetches states, writes streams, holds the state of a prefill
//! until it is fetched or released, and misbehaves as its condition says.

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout, Instant};

use crate::configuration::IDLE_S;
use crate::http::{chunk, response, Head, ReadBuffer};
use crate::link::{reset, Link};
use crate::record::{Attempt, AttemptOutcome, HeldState, Record, ServerId, Start};

/// Number of requests in progress above which a server declines more.
const MAX_IN_PROGRESS: usize = 64;
/// Time for a prefill, for fetching a state, and between two events of a stream, in ms.
const PREFILL_MS: u64 = 25;
const FETCH_MS: u64 = 8;
const EVENT_INTERVAL_MS: u64 = 12;
/// Time between two events of a stream that is kept going, in ms.
const CONTINUED_EVENT_INTERVAL_MS: u64 = 60;
/// Backlog of the listener.
const LISTEN_BACKLOG: i32 = 1024;
/// How often a server checks whether it is to stop or to resume accepting, in ms.
const ACCEPT_CHECK_MS: u64 = 10;
/// Events of a stream before the final ones.
const EVENTS_PER_STREAM: usize = 5;

/// How a server treats connections and requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerCondition {
    /// Accepts requests and does not answer while this lasts.
    pub hangs: bool,
    /// Stops writing in the middle of its streams while this lasts.
    pub hangs_midway: bool,
    /// Continues its streams while this lasts.
    pub streams_on: bool,
    /// Declines every request.
    pub declines: bool,
    /// Answers 500.
    pub fails: bool,
    /// Resets the connection once a request has arrived.
    pub breaks: bool,
    /// Resets the connection in the middle of its streams.
    pub breaks_midway: bool,
    /// Sends an invalid HTTP response.
    pub sends_garbage: bool,
    /// Closes connections that are idle for so long, in ms.
    pub idle_ms: f64,
    /// Accepts no connections; waiting ones are established when this ends.
    pub not_accepting: bool,
    /// Factor on the usual processing times.
    pub slowdown: f64,
}

impl Default for ServerCondition {
    fn default() -> Self {
        ServerCondition {
            hangs: false,
            hangs_midway: false,
            streams_on: false,
            declines: false,
            fails: false,
            breaks: false,
            breaks_midway: false,
            sends_garbage: false,
            idle_ms: IDLE_S * 1e3,
            not_accepting: false,
            slowdown: 1.0,
        }
    }
}

/// One simulated server. Any server can fetch the states that another one holds, as over a fast network
/// between them.
pub struct Server {
    record: Record,
    /// Its index.
    pub id: ServerId,
    /// `prefill`, `decode` or `combined`.
    pub kind: &'static str,
    /// Its address, which a restart does not change.
    pub address: SocketAddr,
    /// Faults of its link.
    pub link: Link,
    /// How it treats connections and requests.
    pub condition: Cell<ServerCondition>,
    in_progress: Cell<usize>,
    connections: RefCell<JoinSet<()>>,
    accept_task: RefCell<Option<JoinHandle<()>>>,
}

/// Counts a request as in progress until dropped.
struct InProgressGuard<'a>(&'a Cell<usize>);

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn listener(address: SocketAddr) -> Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG as u32)
}

const EVENT_DATA: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n";
const FINAL_DATA: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\n\
     data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,\"prompt_tokens_details\":\
     {\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Server {
    /// Starts a server on a free address.
    ///
    /// # Errors
    /// It can't listen.
    pub fn start(record: Record, id: ServerId, kind: &'static str) -> Result<Rc<Server>> {
        let listener = listener(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let server = Rc::new(Server {
            record,
            id,
            kind,
            address: listener.local_addr()?,
            link: Link::default(),
            condition: Cell::default(),
            in_progress: Cell::new(0),
            connections: RefCell::default(),
            accept_task: RefCell::default(),
        });
        server.listen(listener);
        Ok(server)
    }

    fn listen(self: &Rc<Self>, listener: TcpListener) {
        let shared = self.clone();
        let accept_task = tokio::task::spawn_local(async move {
            loop {
                if shared.condition.get().not_accepting {
                    shared.stall_connections(&listener).await;
                }
                let accepted = timeout(Duration::from_millis(ACCEPT_CHECK_MS), listener.accept()).await;
                let Ok(Ok((stream, _))) = accepted else { continue };
                let server = shared.clone();
                let mut connections = shared.connections.borrow_mut();
                while connections.try_join_next().is_some() {}
                connections.spawn_local(async move {
                    let _ = server.serve(stream).await;
                });
            }
        });
        *self.accept_task.borrow_mut() = Some(accept_task);
    }

    /// Establishes no connection while the condition lasts: with the accept queue full, the kernel drops SYN
    /// packets, which clients send again.
    async fn stall_connections(&self, listener: &TcpListener) {
        let _ = SockRef::from(listener).listen(0);
        let filler = timeout(Duration::from_millis(ACCEPT_CHECK_MS), TcpStream::connect(self.address)).await;
        while self.condition.get().not_accepting {
            sleep(Duration::from_millis(ACCEPT_CHECK_MS)).await;
        }
        drop(filler);
        let _ = SockRef::from(listener).listen(LISTEN_BACKLOG);
    }

    /// Crashes: connections are closed, new ones refused, and held states are lost.
    pub fn crash(&self) {
        self.accept_task.borrow_mut().take().iter().for_each(JoinHandle::abort);
        self.connections.borrow_mut().abort_all();
        self.in_progress.set(0);
        let now_ms = self.record.now_ms();
        self.record.with(|observed| {
            let held =
                observed.held.iter_mut().filter(|held| held.server == self.id && held.until_ms.is_none());
            held.for_each(|held| held.until_ms = Some(now_ms));
            let open = |attempt: &&mut Attempt| attempt.server == self.id && attempt.ended_ms.is_none();
            observed.attempts.iter_mut().filter(open).for_each(|attempt| attempt.ended_ms = Some(now_ms));
        });
    }

    /// Starts again at the same address.
    ///
    /// # Errors
    /// It can't listen there.
    pub async fn restart(self: &Rc<Self>) -> Result<()> {
        for _ in 0..200 {
            if let Ok(listener) = listener(self.address) {
                self.listen(listener);
                let at_ms = self.record.now_ms();
                self.record.with(|observed| observed.starts.push(Start { server: self.id, at_ms }));
                return Ok(());
            }
            sleep(Duration::from_millis(10)).await;
        }
        Err(ErrorKind::AddrInUse.into())
    }

    async fn serve(&self, mut stream: TcpStream) -> Result<()> {
        let _ = stream.set_nodelay(true);
        let mut incoming = ReadBuffer::default();
        loop {
            let idle = Duration::from_secs_f64(self.condition.get().idle_ms / 1e3);
            let first = match incoming.is_empty() {
                false => Ok(1),
                true => match timeout(idle, incoming.read_more(&mut stream)).await {
                    Ok(read) => read,
                    Err(_) => return Ok(()),
                },
            };
            if first? == 0 {
                return Ok(());
            }
            let first_byte_ms = self.record.now_ms();
            let head = loop {
                if let Some(head) = incoming.take_head() {
                    break head;
                }
                if incoming.read_more(&mut stream).await? == 0 {
                    return Ok(());
                }
            };
            while incoming.take_body(head.length()).is_none() {
                if incoming.read_more(&mut stream).await? == 0 {
                    return Ok(());
                }
            }
            self.ensure_delivered(&stream).await?;
            self.answer(&mut stream, &mut incoming, &head, first_byte_ms).await?;
        }
    }

    /// Resets the connection if its link is silent, once the link works again: what was sent meanwhile is
    /// lost.
    ///
    /// # Errors
    /// The request was lost.
    async fn ensure_delivered(&self, stream: &TcpStream) -> Result<()> {
        if !self.link.condition().silent {
            return Ok(());
        }
        while self.link.condition().silent {
            sleep(Duration::from_millis(10)).await;
        }
        reset(stream);
        Err(ErrorKind::ConnectionReset.into())
    }

    async fn answer(
        &self,
        stream: &mut TcpStream,
        incoming: &mut ReadBuffer,
        head: &Head,
        first_byte_ms: f64,
    ) -> Result<()> {
        let (method, target) = head.method_and_target();
        match (method, target.split('?').next().unwrap_or("")) {
            ("POST", "/v1/chat/completions") => {
                let id = head.field("req-id").unwrap_or("").to_owned();
                let deadline_s = head.field("req-deadline").and_then(|value| value.parse::<f64>().ok());
                let index = self.record.add_attempt(Attempt {
                    request: id.clone(),
                    server: self.id,
                    first_byte_ms,
                    received_ms: self.record.now_ms(),
                    deadline_header_ms: deadline_s.map(|value| value * 1e3),
                    prefill_only: self.kind == "prefill",
                    outcome: AttemptOutcome::Unknown,
                    events_ms: Vec::new(),
                    ended_ms: None,
                });
                self.in_progress.set(self.in_progress.get() + 1);
                let in_progress = InProgressGuard(&self.in_progress);
                let mut peer = RouterConnection { stream, incoming };
                let done = self.process_attempt(&mut peer, &id, index).await;
                drop(in_progress);
                let now_ms = self.record.now_ms();
                self.record.with(|observed| {
                    observed.attempts[index].ended_ms.get_or_insert(now_ms);
                });
                done
            }
            ("DELETE", _) => {
                self.link.cross(stream).await?;
                // A release takes effect when it arrives, even if the response is lost.
                self.record.release(target.rsplit('/').next().unwrap_or(""));
                self.wait_while_hanging(stream, incoming).await?;
                self.link.write(stream, response("204 No Content", "", "").as_bytes()).await
            }
            ("POST", _) => self.link.write(stream, response("204 No Content", "", "").as_bytes()).await,
            ("GET", "/ping" | "/_load") => {
                self.wait_while_hanging(stream, incoming).await?;
                let status = if self.condition.get().declines { "503 Busy" } else { "200 OK" };
                self.link.write(stream, response(status, "", &self.load()).as_bytes()).await
            }
            _ => self.link.write(stream, response("404 Not Found", "", "").as_bytes()).await,
        }
    }

    fn load(&self) -> String {
        let in_progress = self.in_progress.get() as f64;
        format!("TEXT util={:.2}, queue=0, x0=0.1", (in_progress / MAX_IN_PROGRESS as f64).min(1.0))
    }

    /// Waits while the server hangs; fails if the other side closes the connection.
    async fn wait_while_hanging(&self, stream: &mut TcpStream, incoming: &mut ReadBuffer) -> Result<()> {
        while self.condition.get().hangs {
            wait_unless_closed(stream, incoming, 20).await?;
        }
        Ok(())
    }

    fn set_outcome(&self, index: usize, outcome: AttemptOutcome) {
        self.record.with(|observed| observed.attempts[index].outcome = outcome);
    }

    async fn process_attempt(&self, peer: &mut RouterConnection<'_>, id: &str, index: usize) -> Result<()> {
        self.link.cross(peer.stream).await?;
        self.wait_while_hanging(peer.stream, peer.incoming).await?;
        let condition = self.condition.get();
        if condition.breaks {
            self.set_outcome(index, AttemptOutcome::Broken);
            reset(peer.stream);
            return Err(ErrorKind::ConnectionReset.into());
        }
        if condition.fails {
            self.set_outcome(index, AttemptOutcome::Failed);
            return self.send(peer, response("500 Wrong", "", "")).await;
        }
        if condition.declines || self.in_progress.get() > MAX_IN_PROGRESS {
            self.set_outcome(index, AttemptOutcome::Declined);
            return self.send(peer, response("503 Busy", "Srv-Declined: 1\r\n", "")).await;
        }
        if condition.sends_garbage {
            self.send(peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".into()).await?;
            self.set_outcome(index, AttemptOutcome::Broken);
            return Err(ErrorKind::InvalidData.into());
        }
        match self.kind {
            "prefill" => self.prefill(peer, id, index).await,
            "decode" => {
                if !self.fetch_state(id) {
                    self.set_outcome(index, AttemptOutcome::Declined);
                    return self.send(peer, response("410 Gone", "Srv-Declined: 1\r\n", "")).await;
                }
                self.work(peer, FETCH_MS).await?;
                self.stream(peer, index).await
            }
            _ => {
                let ms = if self.fetch_state(id) { FETCH_MS } else { PREFILL_MS };
                self.work(peer, ms).await?;
                self.stream(peer, index).await
            }
        }
    }

    /// Fetches the state of a request from whichever server holds it. Returns whether there was one.
    fn fetch_state(&self, id: &str) -> bool {
        self.record.release(id)
    }

    async fn prefill(&self, peer: &mut RouterConnection<'_>, id: &str, index: usize) -> Result<()> {
        let ended = self.work(peer, PREFILL_MS).await;
        // The prefill may have finished just as its connection closed: its state is held all the same.
        let (server, from_ms) = (self.id, self.record.now_ms());
        self.record.with(|observed| {
            observed.held.push(HeldState { request: id.to_owned(), server, from_ms, until_ms: None });
            observed.attempts[index].outcome = AttemptOutcome::Read;
        });
        ended?;
        let load = format!("Srv-Load: {}\r\n", self.load());
        self.send(peer, response("202 Accepted", &load, "{\"cached_tokens\":0}")).await
    }

    async fn stream(&self, peer: &mut RouterConnection<'_>, index: usize) -> Result<()> {
        let condition = self.condition.get();
        let load = self.load();
        let head = format!("{}Srv-Load: {load}\r\n\r\n", &STREAM_HEAD[..STREAM_HEAD.len() - 2]);
        self.send(peer, head).await?;
        for event in 0..EVENTS_PER_STREAM {
            self.event(peer, index, EVENT_DATA.to_owned()).await?;
            self.work(peer, EVENT_INTERVAL_MS).await?;
            if event == EVENTS_PER_STREAM / 2 && condition.hangs_midway {
                while self.condition.get().hangs_midway {
                    wait_unless_closed(peer.stream, peer.incoming, 20).await?;
                }
            }
            if event == EVENTS_PER_STREAM / 2 && condition.breaks_midway {
                self.set_outcome(index, AttemptOutcome::Broken);
                reset(peer.stream);
                return Err(ErrorKind::ConnectionReset.into());
            }
        }
        while self.condition.get().streams_on {
            self.event(peer, index, EVENT_DATA.to_owned()).await?;
            self.work(peer, CONTINUED_EVENT_INTERVAL_MS).await?;
        }
        self.event(peer, index, FINAL_DATA.to_owned()).await?;
        self.send(peer, "0\r\n\r\n".into()).await?;
        self.set_outcome(index, AttemptOutcome::Finished);
        Ok(())
    }

    async fn event(&self, peer: &mut RouterConnection<'_>, index: usize, data: String) -> Result<()> {
        self.send(peer, chunk(&data)).await?;
        let now_ms = self.record.now_ms();
        self.record.with(|observed| observed.attempts[index].events_ms.push(now_ms));
        Ok(())
    }

    async fn send(&self, peer: &mut RouterConnection<'_>, text: String) -> Result<()> {
        self.link.write(peer.stream, text.as_bytes()).await
    }

    /// Simulates work of `ms`, scaled by the slowdown; fails at once if the other side closes the connection.
    async fn work(&self, peer: &mut RouterConnection<'_>, ms: u64) -> Result<()> {
        let done_at =
            Instant::now() + Duration::from_secs_f64(ms as f64 * self.condition.get().slowdown / 1e3);
        while Instant::now() < done_at {
            let left = done_at.saturating_duration_since(Instant::now()).as_millis() as u64;
            wait_unless_closed(peer.stream, peer.incoming, left.max(1)).await?;
        }
        Ok(())
    }
}

/// A connection from a router.
struct RouterConnection<'a> {
    stream: &'a mut TcpStream,
    incoming: &'a mut ReadBuffer,
}

/// Waits for `ms`; fails once the other side has closed the connection.
async fn wait_unless_closed(stream: &mut TcpStream, incoming: &mut ReadBuffer, ms: u64) -> Result<()> {
    match timeout(Duration::from_millis(ms), incoming.read_more(stream)).await {
        Err(_) => Ok(()),
        Ok(Ok(read)) if read > 0 => Ok(()),
        Ok(Ok(_)) => Err(ErrorKind::UnexpectedEof.into()),
        Ok(Err(cause)) => Err(cause),
    }
}
