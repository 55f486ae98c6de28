//! The model server stand-in: reads prompts, fetches states, writes streams, holds what it has read until it is taken or let
//! go, and misbehaves as its mood says.

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

/// How many requests a server has in hand before it turns more away.
const MOST_IN_HAND: usize = 64;
/// Time to read a prompt or to fetch a state, and between two events of a stream, in ms.
const READ_MS: u64 = 25;
const FETCH_MS: u64 = 8;
const EVENT_MS: u64 = 12;
/// Between two events of a stream that goes on, in ms.
const LONG_EVENT_MS: u64 = 60;
/// Connections that wait to be accepted at most.
const BACKLOG: i32 = 1024;
/// How often a server looks whether it has gone deaf, or hears again, in ms.
const DEAF_LOOK_MS: u64 = 10;
/// Events of a stream before its last ones.
const EVENTS: usize = 5;

/// What the server does about the requests that come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerCondition {
    /// Takes requests and never answers.
    pub hangs: bool,
    /// Stops within its streams and says nothing more.
    pub hangs_midway: bool,
    /// Goes on with its streams.
    pub streams_on: bool,
    /// Turns everything away.
    pub declines: bool,
    /// Answers 500.
    pub fails: bool,
    /// Breaks the connection once a request has come.
    pub breaks: bool,
    /// Breaks the connection within its streams.
    pub breaks_midway: bool,
    /// Says what is no answer.
    pub sends_garbage: bool,
    /// Closes connections that rest for so long, in ms.
    pub idle_ms: f64,
    /// Takes no connections: they come up when this ends.
    pub not_accepting: bool,
    /// Takes so many times its usual time.
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

/// Who is asked for a state: all servers know what any holds, as a fast network between them would.
pub struct Server {
    record: Record,
    /// Its row.
    pub id: ServerId,
    /// `prefill`, `decode` or `combined`.
    pub kind: &'static str,
    /// Where it is reached, before and after a restart.
    pub address: SocketAddr,
    /// Faults of its link.
    pub link: Link,
    /// What it does about requests.
    pub condition: Cell<ServerCondition>,
    in_hand: Cell<usize>,
    connections: RefCell<JoinSet<()>>,
    listening: RefCell<Option<JoinHandle<()>>>,
}

/// Counts one in hand.
struct InHand<'a>(&'a Cell<usize>);

impl Drop for InHand<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn listener(address: SocketAddr) -> Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG as u32)
}

const FIRST: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n";
const LAST: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\n\
     data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,\"prompt_tokens_details\":\
     {\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";
const STREAM: &str =
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
            in_hand: Cell::new(0),
            connections: RefCell::default(),
            listening: RefCell::default(),
        });
        server.listen(listener);
        Ok(server)
    }

    fn listen(self: &Rc<Self>, listener: TcpListener) {
        let shared = self.clone();
        let listening = tokio::task::spawn_local(async move {
            loop {
                if shared.condition.get().not_accepting {
                    shared.be_deaf(&listener).await;
                }
                let accepted = timeout(Duration::from_millis(DEAF_LOOK_MS), listener.accept()).await;
                let Ok(Ok((stream, _))) = accepted else { continue };
                let server = shared.clone();
                let mut connections = shared.connections.borrow_mut();
                while connections.try_join_next().is_some() {}
                connections.spawn_local(async move {
                    let _ = server.serve(stream).await;
                });
            }
        });
        *self.listening.borrow_mut() = Some(listening);
    }

    /// Lets no connection come up while the mood lasts: a listener whose queue is full leaves those who knock without an
    /// answer, and they knock again.
    async fn be_deaf(&self, listener: &TcpListener) {
        let _ = SockRef::from(listener).listen(0);
        let filler = timeout(Duration::from_millis(DEAF_LOOK_MS), TcpStream::connect(self.address)).await;
        while self.condition.get().not_accepting {
            sleep(Duration::from_millis(DEAF_LOOK_MS)).await;
        }
        drop(filler);
        let _ = SockRef::from(listener).listen(BACKLOG);
    }

    /// Dies: connections are reset, new ones refused, and what it held is gone.
    pub fn crash(&self) {
        self.listening.borrow_mut().take().iter().for_each(JoinHandle::abort);
        self.connections.borrow_mut().abort_all();
        self.in_hand.set(0);
        let now_ms = self.record.now_ms();
        self.record.with(|observed| {
            let held =
                observed.held.iter_mut().filter(|held| held.server == self.id && held.until_ms.is_none());
            held.for_each(|held| held.until_ms = Some(now_ms));
            let open = |attempt: &&mut Attempt| attempt.server == self.id && attempt.ended_ms.is_none();
            observed.attempts.iter_mut().filter(open).for_each(|attempt| attempt.ended_ms = Some(now_ms));
        });
    }

    /// Starts again under its old address.
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
            self.arrives(&stream).await?;
            self.answer(&mut stream, &mut incoming, &head, first_byte_ms).await?;
        }
    }

    /// What was sent into a silent link never arrives: the connection is reset once the link is back.
    ///
    /// # Errors
    /// It did not arrive.
    async fn arrives(&self, stream: &TcpStream) -> Result<()> {
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
                let told_ms = head.field("req-deadline").and_then(|told| told.parse::<f64>().ok());
                let row = self.record.add_attempt(Attempt {
                    request: id.clone(),
                    server: self.id,
                    first_byte_ms,
                    received_ms: self.record.now_ms(),
                    deadline_header_ms: told_ms.map(|told| told * 1e3),
                    prefill_only: self.kind == "prefill",
                    outcome: AttemptOutcome::Unknown,
                    events_ms: Vec::new(),
                    ended_ms: None,
                });
                self.in_hand.set(self.in_hand.get() + 1);
                let in_hand = InHand(&self.in_hand);
                let mut other = TcpPeer { stream, incoming };
                let done = self.attempt(&mut other, &id, row).await;
                drop(in_hand);
                let now_ms = self.record.now_ms();
                self.record.with(|observed| {
                    observed.attempts[row].ended_ms.get_or_insert(now_ms);
                });
                done
            }
            ("DELETE", _) => {
                self.link.cross(stream).await?;
                // It counts as it arrives, answered or not.
                self.record.release(target.rsplit('/').next().unwrap_or(""));
                self.hang_if_so(stream, incoming).await?;
                self.link.write(stream, response("204 No Content", "", "").as_bytes()).await
            }
            ("POST", _) => self.link.write(stream, response("204 No Content", "", "").as_bytes()).await,
            ("GET", "/ping" | "/_load") => {
                self.hang_if_so(stream, incoming).await?;
                let status = if self.condition.get().declines { "503 Busy" } else { "200 OK" };
                self.link.write(stream, response(status, "", &self.load()).as_bytes()).await
            }
            _ => self.link.write(stream, response("404 Not Found", "", "").as_bytes()).await,
        }
    }

    fn load(&self) -> String {
        let in_hand = self.in_hand.get() as f64;
        format!("TEXT util={:.2}, queue=0, x0=0.1", (in_hand / MOST_IN_HAND as f64).min(1.0))
    }

    /// A hanging server answers nothing until it ends to hang, or the other side closes.
    async fn hang_if_so(&self, stream: &mut TcpStream, incoming: &mut ReadBuffer) -> Result<()> {
        while self.condition.get().hangs {
            closed_within(stream, incoming, 20).await?;
        }
        Ok(())
    }

    fn set_fate(&self, row: usize, outcome: AttemptOutcome) {
        self.record.with(|observed| observed.attempts[row].outcome = outcome);
    }

    async fn attempt(&self, peer: &mut TcpPeer<'_>, id: &str, row: usize) -> Result<()> {
        self.link.cross(peer.stream).await?;
        self.hang_if_so(peer.stream, peer.incoming).await?;
        let condition = self.condition.get();
        if condition.breaks {
            self.set_fate(row, AttemptOutcome::Broken);
            reset(peer.stream);
            return Err(ErrorKind::ConnectionReset.into());
        }
        if condition.fails {
            self.set_fate(row, AttemptOutcome::Failed);
            return self.say(peer, response("500 Wrong", "", "")).await;
        }
        if condition.declines || self.in_hand.get() > MOST_IN_HAND {
            self.set_fate(row, AttemptOutcome::Declined);
            return self.say(peer, response("503 Busy", "Srv-Declined: 1\r\n", "")).await;
        }
        if condition.sends_garbage {
            self.say(peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".into()).await?;
            self.set_fate(row, AttemptOutcome::Broken);
            return Err(ErrorKind::InvalidData.into());
        }
        match self.kind {
            "prefill" => self.read(peer, id, row).await,
            "decode" => {
                if !self.take(id) {
                    self.set_fate(row, AttemptOutcome::Declined);
                    return self.say(peer, response("410 Gone", "Srv-Declined: 1\r\n", "")).await;
                }
                self.pause(peer, FETCH_MS).await?;
                self.stream(peer, row).await
            }
            _ => {
                let ms = if self.take(id) { FETCH_MS } else { READ_MS };
                self.pause(peer, ms).await?;
                self.stream(peer, row).await
            }
        }
    }

    /// Takes a state that is held for a request, wherever it is.
    fn take(&self, id: &str) -> bool {
        self.record.release(id)
    }

    async fn read(&self, peer: &mut TcpPeer<'_>, id: &str, row: usize) -> Result<()> {
        let ended = self.pause(peer, READ_MS).await;
        // A read may have finished well just as its connection closed: what it left is held all the same.
        let (server, from_ms) = (self.id, self.record.now_ms());
        self.record.with(|observed| {
            observed.held.push(HeldState { request: id.to_owned(), server, from_ms, until_ms: None });
            observed.attempts[row].outcome = AttemptOutcome::Read;
        });
        ended?;
        let load = format!("Srv-Load: {}\r\n", self.load());
        self.say(peer, response("202 Accepted", &load, "{\"cached_tokens\":0}")).await
    }

    async fn stream(&self, peer: &mut TcpPeer<'_>, row: usize) -> Result<()> {
        let condition = self.condition.get();
        let load = self.load();
        let head = format!("{}Srv-Load: {load}\r\n\r\n", &STREAM[..STREAM.len() - 2]);
        self.say(peer, head).await?;
        for event in 0..EVENTS {
            self.event(peer, row, FIRST.to_owned()).await?;
            self.pause(peer, EVENT_MS).await?;
            if event == EVENTS / 2 && condition.hangs_midway {
                while self.condition.get().hangs_midway {
                    closed_within(peer.stream, peer.incoming, 20).await?;
                }
            }
            if event == EVENTS / 2 && condition.breaks_midway {
                self.set_fate(row, AttemptOutcome::Broken);
                reset(peer.stream);
                return Err(ErrorKind::ConnectionReset.into());
            }
        }
        while self.condition.get().streams_on {
            self.event(peer, row, FIRST.to_owned()).await?;
            self.pause(peer, LONG_EVENT_MS).await?;
        }
        self.event(peer, row, LAST.to_owned()).await?;
        self.say(peer, "0\r\n\r\n".into()).await?;
        self.set_fate(row, AttemptOutcome::Finished);
        Ok(())
    }

    async fn event(&self, peer: &mut TcpPeer<'_>, row: usize, data: String) -> Result<()> {
        self.say(peer, chunk(&data)).await?;
        let now_ms = self.record.now_ms();
        self.record.with(|observed| observed.attempts[row].events_ms.push(now_ms));
        Ok(())
    }

    async fn say(&self, peer: &mut TcpPeer<'_>, text: String) -> Result<()> {
        self.link.write(peer.stream, text.as_bytes()).await
    }

    /// Works for a while; ends at once if the other side closes.
    async fn pause(&self, peer: &mut TcpPeer<'_>, ms: u64) -> Result<()> {
        let worked =
            Instant::now() + Duration::from_secs_f64(ms as f64 * self.condition.get().slowdown / 1e3);
        while Instant::now() < worked {
            let left = worked.saturating_duration_since(Instant::now()).as_millis() as u64;
            closed_within(peer.stream, peer.incoming, left.max(1)).await?;
        }
        Ok(())
    }
}

/// The router's side of a connection.
struct TcpPeer<'a> {
    stream: &'a mut TcpStream,
    incoming: &'a mut ReadBuffer,
}

/// Waits for a while; an error once the other side has closed.
async fn closed_within(stream: &mut TcpStream, incoming: &mut ReadBuffer, ms: u64) -> Result<()> {
    match timeout(Duration::from_millis(ms), incoming.read_more(stream)).await {
        Err(_) => Ok(()),
        Ok(Ok(read)) if read > 0 => Ok(()),
        Ok(Ok(_)) => Err(ErrorKind::UnexpectedEof.into()),
        Ok(Err(cause)) => Err(cause),
    }
}
