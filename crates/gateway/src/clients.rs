//! Clients' connections: each request is read whole and checked, answered once, and its connection kept or closed.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};
use paddleproxy::interface::CompletionId;
use paddleproxy_platform::head::{self, Fault, Framing, RequestHead};
use paddleproxy_platform::{request, Chunks, Provision, BODY_BYTES};
use paddleproxy_router::clock::{duration, Clock};
use paddleproxy_router::duty::{Dropped, Duty};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::limits::{Shares, AHEAD_BYTES, CLIENT_IDLE, LINGER_MS, REQUEST_MS, SLOW_CLIENT_MS};
use crate::pool::read;
use crate::words::{Ask, Held, Piece, Reply};
use crate::words::{ToCore, Told};

/// Where a router is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    Starting,
    Ready,
    /// Told to stop, and no connections come any more: each closes after its answer, and at once where it rests.
    Closing,
}

/// What a connection is doing, in the order in which descriptors that run short are taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Doing {
    /// No whole request has ever come on it, or it is about to close.
    Nothing,
    /// Between two requests.
    Resting,
    Busy,
}

struct Row {
    doing: Doing,
    since: Instant,
    close: Rc<Notify>,
}

/// What all connections of clients share.
pub struct Gate {
    pub clock: Clock,
    pub core: ToCore,
    pub provision: RefCell<Rc<Provision>>,
    pub shares: Shares,
    pub life: watch::Receiver<Life>,
    pub dropped: Dropped,
    next: Cell<u32>,
    next_row: Cell<u64>,
    rows: RefCell<BTreeMap<u64, Row>>,
    /// Connections that stand, those about to close included.
    pub standing: Cell<usize>,
    open_ids: RefCell<BTreeSet<Rc<str>>>,
    body_bytes: Rc<Cell<usize>>,
    pub faults: RefCell<BTreeMap<u16, u64>>,
    pub given_up: Cell<u64>,
}

/// An id that is open, for as long as its request is.
struct OpenId {
    gate: Rc<Gate>,
    id: Rc<str>,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.gate.open_ids.borrow_mut().remove(&self.id);
    }
}

/// A client's place among the connections.
struct Place {
    gate: Rc<Gate>,
    row: u64,
    close: Rc<Notify>,
}

impl Place {
    fn doing(&self, doing: Doing) {
        if let Some(row) = self.gate.rows.borrow_mut().get_mut(&self.row) {
            (row.doing, row.since) = (doing, Instant::now());
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.gate.rows.borrow_mut().remove(&self.row);
        self.gate.standing.set(self.gate.standing.get() - 1);
    }
}

/// Why a connection ends.
enum Over {
    /// Nothing more to say on it.
    Close,
    /// Nobody is there any more, or its descriptor is wanted elsewhere.
    Left,
}

const OVERLOADED: Fault = Fault::new(503, "more bytes are open than memory allows; come again");

impl Gate {
    pub fn new(
        clock: Clock,
        core: ToCore,
        provision: Rc<Provision>,
        shares: Shares,
        life: watch::Receiver<Life>,
    ) -> Self {
        Gate {
            clock,
            core,
            provision: RefCell::new(provision),
            shares,
            life,
            dropped: Rc::default(),
            next: Cell::new(0),
            next_row: Cell::new(0),
            rows: RefCell::default(),
            standing: Cell::new(0),
            open_ids: RefCell::default(),
            body_bytes: Rc::default(),
            faults: RefCell::default(),
            given_up: Cell::new(0),
        }
    }

    /// Takes connections for as long as the task lives.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    // The one that says least gives way to the one that has just come.
                    if self.standing.get() >= self.shares.clients && !self.give_up_one() {
                        drop(stream);
                        continue;
                    }
                    tokio::task::spawn_local(self.place().serve(stream));
                    if self.standing.get() >= self.shares.clients {
                        // Who was given up closes before the next one is taken.
                        tokio::task::yield_now().await;
                    }
                }
                Err(_) => {
                    // Out of descriptors, or the client was gone already.
                    self.give_up_one();
                    sleep(duration(ACCEPT_AGAIN_MS)).await;
                }
            }
        }
    }

    fn place(self: &Rc<Self>) -> Place {
        let (row, close) = (self.next_row.get(), Rc::new(Notify::new()));
        self.next_row.set(row + 1);
        self.standing.set(self.standing.get() + 1);
        let entry = Row { doing: Doing::Nothing, since: Instant::now(), close: close.clone() };
        self.rows.borrow_mut().insert(row, entry);
        Place { gate: self.clone(), row, close }
    }

    fn give_up_one(&self) -> bool {
        let mut rows = self.rows.borrow_mut();
        let waiting = rows.iter().filter(|(_, row)| row.doing != Doing::Busy);
        let least = waiting.min_by_key(|(_, row)| (row.doing, row.since)).map(|(id, _)| *id);
        let Some(row) = least.and_then(|least| rows.remove(&least)) else { return false };
        row.close.notify_one();
        self.given_up.set(self.given_up.get() + 1);
        true
    }

    fn life(&self) -> Life {
        *self.life.borrow()
    }
}

/// After a connect that could not be taken, in ms.
const ACCEPT_AGAIN_MS: f64 = 5.0;

impl Place {
    /// Since when it has been doing this, if it is.
    fn since(&self, doing: Doing) -> Option<Instant> {
        self.gate.rows.borrow().get(&self.row).filter(|row| row.doing == doing).map(|row| row.since)
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut bytes = BytesMut::new();
        loop {
            match self.one(&mut stream, &mut bytes).await {
                Ok(()) => {
                    if bytes.is_empty() {
                        // An idle connection holds no buffer.
                        bytes = BytesMut::new();
                    }
                    self.doing(Doing::Resting);
                }
                Err(Over::Close) => break,
                Err(Over::Left) => return,
            }
        }
        self.doing(Doing::Nothing);
        // Unread bytes would turn the close into a reset, and the client might never read its answer.
        let _ = stream.shutdown().await;
        let linger = async {
            let mut rest = BytesMut::new();
            while read(&stream, &mut rest).await.is_ok_and(|read| read > 0) {
                rest.clear();
            }
        };
        tokio::select! {
            _ = timeout(duration(LINGER_MS), linger) => {}
            () = self.close.notified() => {}
        }
    }

    /// One request and its answer.
    async fn one(&self, stream: &mut TcpStream, bytes: &mut BytesMut) -> Result<(), Over> {
        let first = self.since(Doing::Nothing);
        self.begun(stream, bytes, first).await?;
        let by = first.unwrap_or_else(Instant::now) + duration(REQUEST_MS);
        let taken = tokio::select! {
            biased;
            taken = self.request(stream, bytes) => taken?,
            () = sleep_until(by) => Err(Fault::new(408, "the request did not come whole in time")),
            () = self.close.notified() => return Err(Over::Left),
        };
        let (head, body, held) = match taken {
            Ok(taken) => taken,
            Err(fault) => {
                self.refuse(stream, fault, true).await?;
                return Err(Over::Close);
            }
        };
        self.doing(Doing::Busy);
        let received_ms = self.gate.clock.now_ms();
        let close = head.close;
        let answered = match (head.method.as_str(), path(&head.target)) {
            ("GET", "/_health") => match self.gate.life() {
                Life::Starting => Err(Fault::new(503, "not ready yet")),
                _ => Ok(self.say(stream, 200, "OK", "", "{\"ready\":true}").await?),
            },
            ("POST", "/v1/chat/completions") => {
                self.completion(stream, bytes, head, body, held, received_ms).await?
            }
            (_, "/_health" | "/v1/chat/completions") => Err(Fault::new(405, "not with this method")),
            _ => Err(Fault::new(404, "nothing is served here")),
        };
        match answered {
            Ok(()) => {}
            Err(fault) => self.refuse(stream, fault, close).await?,
        }
        if close || self.gate.life() == Life::Closing {
            return Err(Over::Close);
        }
        Ok(())
    }

    /// Waits for the first byte of a request.
    async fn begun(
        &self,
        stream: &mut TcpStream,
        bytes: &mut BytesMut,
        first: Option<Instant>,
    ) -> Result<(), Over> {
        if !bytes.is_empty() {
            return Ok(());
        }
        let idle_ms = self.gate.provision.borrow().idle_ms * CLIENT_IDLE;
        let until = first.map_or(Instant::now() + duration(idle_ms), |since| since + duration(REQUEST_MS));
        let first = first.is_some();
        let mut life = self.gate.life.clone();
        let stopping = async {
            // A connection that rests closes at once; one that has just come may still bring its request.
            while first || *life.borrow_and_update() != Life::Closing {
                if life.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        tokio::select! {
            biased;
            more = read(stream, bytes) => match more {
                Ok(more) if more > 0 => Ok(()),
                _ => Err(Over::Left),
            },
            () = sleep_until(until) => Err(Over::Close),
            () = self.close.notified() => Err(Over::Left),
            () = stopping => Err(Over::Close),
        }
    }

    /// Reads one whole request.
    async fn request(
        &self,
        stream: &mut TcpStream,
        bytes: &mut BytesMut,
    ) -> Result<Result<(RequestHead, Bytes, Held), Fault>, Over> {
        let head = loop {
            match head::request(bytes) {
                Ok(Some(head)) => break head,
                Ok(None) => {}
                Err(fault) => return Ok(Err(fault)),
            }
            if !read(stream, bytes).await.is_ok_and(|more| more > 0) {
                return Err(Over::Left);
            }
        };
        bytes.advance(head.bytes);
        let room = match head.framing {
            Framing::Length(length) => length,
            _ => BODY_BYTES,
        };
        let Some(mut held) = Held::take(&self.gate.body_bytes, room, self.gate.shares.body_bytes) else {
            return Ok(Err(OVERLOADED));
        };
        if head.expects {
            self.write(stream, b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let (mut body, mut chunks) = (BytesMut::new(), Chunks::new(BODY_BYTES));
        loop {
            match head.framing {
                Framing::Length(length) if bytes.len() >= length => {
                    // A copy of its own size: the buffer may be much larger, and stays with the connection.
                    let body = Bytes::copy_from_slice(&bytes[..length]);
                    bytes.advance(length);
                    return Ok(Ok((head, body, held)));
                }
                Framing::Length(_) => {}
                _ => match chunks.take(bytes, &mut body) {
                    Ok(_) if body.len() > BODY_BYTES => {
                        return Ok(Err(Fault::new(413, "the body is too long")))
                    }
                    Ok(true) => {
                        held.shrink(body.len());
                        return Ok(Ok((head, Bytes::copy_from_slice(&body), held)));
                    }
                    Ok(false) => {}
                    Err(_) => return Ok(Err(Fault::new(400, "the body's chunks can't be read"))),
                },
            }
            if !read(stream, bytes).await.is_ok_and(|more| more > 0) {
                return Err(Over::Left);
            }
        }
    }

    async fn completion(
        &self,
        stream: &mut TcpStream,
        bytes: &mut BytesMut,
        head: RequestHead,
        body: Bytes,
        held: Held,
        received_ms: f64,
    ) -> Result<Result<(), Fault>, Over> {
        let gate = &self.gate;
        let id: Rc<str> = match request::id(&head.fields) {
            Ok(id) => id.into(),
            Err(fault) => return Ok(Err(fault)),
        };
        let completion = CompletionId(gate.next.get());
        let provision = gate.provision.borrow().clone();
        let arrival = match request::arrival(&provision, &head.fields, &body, completion, received_ms) {
            Ok(arrival) => arrival,
            Err(fault) => return Ok(Err(fault)),
        };
        if !gate.open_ids.borrow_mut().insert(id.clone()) {
            return Ok(Err(Fault::new(400, "Req-Id is that of a request that is open")));
        }
        let _open = OpenId { gate: gate.clone(), id: id.clone() };
        gate.next.set(completion.0.wrapping_add(1));
        let (duty, mut reply) = Duty::new(gate.dropped.clone());
        let RequestHead { method, target, fields, .. } = head;
        let idempotency_key = fields.idempotency_key;
        let ask = Rc::new(Ask { id, method, target, idempotency_key, body, _held: held });
        if gate.core.send(Told::Arrived { arrival, ask, duty }).await.is_err() {
            return Ok(Err(Fault::new(503, "the router stops")));
        }
        let reply = tokio::select! {
            biased;
            reply = &mut reply => reply.unwrap_or(Reply::Aborted),
            () = left(stream, bytes) => {
                let _ = gate.core.send(Told::Left { completion }).await;
                return Err(Over::Left);
            }
        };
        match reply {
            Reply::RateLimited { retry_after_ms } => {
                let after = match retry_after_ms > 0.0 {
                    true => format!("Retry-After: {:.3}\r\n", retry_after_ms / 1e3),
                    false => String::new(),
                };
                let body = error("no worker can take this now; trying again is harmless");
                self.say(stream, 429, "Too Many Requests", &after, &body).await?;
                Ok(Ok(()))
            }
            Reply::Aborted => {
                let body = error("the answer was lost; it may have run");
                self.say(stream, 502, "Bad Gateway", "", &body).await?;
                Ok(Ok(()))
            }
            Reply::Stream(pieces) => {
                let streamed = self.stream(stream, bytes, pieces).await;
                if streamed.is_err() {
                    let _ = gate.core.send(Told::Left { completion }).await;
                }
                streamed.map(Ok)
            }
        }
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        bytes: &mut BytesMut,
        mut pieces: mpsc::Receiver<Piece>,
    ) -> Result<(), Over> {
        let mut out = BytesMut::from(
            &b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\
               Transfer-Encoding: chunked\r\n\r\n"[..],
        );
        loop {
            let piece = tokio::select! {
                biased;
                piece = pieces.recv() => piece,
                () = left(stream, bytes) => return Err(Over::Left),
            };
            match piece {
                Some(Piece::Events(events)) => {
                    out.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
                    out.extend_from_slice(&events);
                    out.extend_from_slice(b"\r\n");
                    self.write(stream, &out).await?;
                    out.clear();
                }
                Some(Piece::End) => return self.write(stream, b"0\r\n\r\n").await,
                // Broken off: no last chunk.
                None => return Err(Over::Left),
            }
        }
    }

    async fn refuse(&self, stream: &mut TcpStream, fault: Fault, close: bool) -> Result<(), Over> {
        *self.gate.faults.borrow_mut().entry(fault.status).or_default() += 1;
        let fields = if close { "Connection: close\r\n" } else { "" };
        self.say(stream, fault.status, "Refused", fields, &error(fault.why)).await
    }

    async fn say(
        &self,
        stream: &mut TcpStream,
        status: u16,
        reason: &str,
        fields: &str,
        body: &str,
    ) -> Result<(), Over> {
        let close = if self.gate.life() == Life::Closing && !fields.contains("Connection") {
            "Connection: close\r\n"
        } else {
            ""
        };
        let length = body.len();
        let answer = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n{fields}{close}\r\n{body}"
        );
        self.write(stream, answer.as_bytes()).await
    }

    async fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> Result<(), Over> {
        match timeout(duration(SLOW_CLIENT_MS), stream.write_all(bytes)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(Over::Left),
        }
    }
}

/// Returns when the client has closed. What it sends ahead is kept up to a bound, and past that not read.
async fn left(stream: &TcpStream, bytes: &mut BytesMut) {
    while bytes.len() < AHEAD_BYTES {
        if !read(stream, bytes).await.is_ok_and(|more| more > 0) {
            return;
        }
    }
    std::future::pending().await
}

fn path(target: &str) -> &str {
    target.split('?').next().unwrap_or_default()
}

fn error(why: &str) -> String {
    format!("{{\"error\":{{\"message\":\"{why}\"}}}}")
}
