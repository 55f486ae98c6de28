//! Connections to workers: one request at a time on each, kept and used again, the newest first.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use paddleproxy_platform::head::{self, AnswerHead, Framing};
use paddleproxy_platform::{Chunks, BODY_BYTES};
use paddleproxy_router::clock::duration;
use paddleproxy_routing::SocketEnd;
use paddleproxy_sockets::{Shortage, Stream};
use tokio::io::AsyncWriteExt;
use tokio::time::{timeout, Instant};

use crate::limits::{REST_MS, WORKER_IDLE};

struct Idle {
    stream: Stream,
    since: Instant,
    slot: Slot,
}

pub struct Pool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Idle>>>,
    /// Workers that broke a connection when it was used again: for how long theirs may rest, and since when.
    short: RefCell<BTreeMap<SocketAddr, (f64, Instant)>>,
    /// Connections that stand or are being made.
    held: Rc<Cell<usize>>,
    most: Cell<usize>,
    connect_ms: Cell<f64>,
    idle_ms: Cell<f64>,
    pub opened: Cell<u64>,
}

/// Counts a connection for as long as it lives.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection in use; dropped, it closes.
pub struct Connection {
    stream: Stream,
    pub address: SocketAddr,
    /// How long it had rested, in ms, if it has carried a request before.
    pub idle_before_ms: Option<f64>,
    pub bytes: BytesMut,
    slot: Slot,
}

/// How far a request was written when its connection failed.
pub struct WriteFailed;

impl Connection {
    /// Writes all of a request.
    ///
    /// # Errors
    /// The connection failed before the last byte was taken: the request can't have begun.
    pub async fn write(&mut self, request: &[&[u8]]) -> Result<(), WriteFailed> {
        for part in request {
            self.stream.write_all(part).await.map_err(|_| WriteFailed)?;
        }
        Ok(())
    }

    /// Whether bytes have come, by the system itself, that were not read yet.
    pub fn has_unread(&self) -> bool {
        self.stream.bytes_wait()
    }

    /// Reads more into `bytes`; false at the end of the connection.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn read(&mut self) -> Result<bool, ()> {
        self.stream.read_some(&mut self.bytes).await.map(|read| read > 0).map_err(|_| ())
    }

    async fn head(&mut self) -> Result<AnswerHead, SocketEnd> {
        read_head(&self.stream, &mut self.bytes).await
    }

    /// Reads a small body to its end.
    ///
    /// # Errors
    /// How the socket ended.
    pub async fn body(&mut self, framing: Framing) -> Result<BytesMut, SocketEnd> {
        read_body(&self.stream, &mut self.bytes, framing, BODY_BYTES).await
    }
}

/// Reads the head of an answer.
///
/// # Errors
/// How the socket ended.
pub async fn read_head(stream: &Stream, bytes: &mut BytesMut) -> Result<AnswerHead, SocketEnd> {
    loop {
        match head::answer(bytes) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(why) => return Err(SocketEnd::Nonsense(why.into())),
        }
        if !stream.read_some(bytes).await.is_ok_and(|read| read > 0) {
            return Err(SocketEnd::BrokeBeforeAnswer);
        }
    }
}

/// Reads a body of at most so many bytes to its end.
///
/// # Errors
/// How the socket ended.
pub async fn read_body(
    stream: &Stream,
    bytes: &mut BytesMut,
    framing: Framing,
    most: usize,
) -> Result<BytesMut, SocketEnd> {
    let mut body = BytesMut::new();
    let mut chunks = Chunks::new(most);
    let long = || Err(SocketEnd::Nonsense("the answer is too long".into()));
    loop {
        match framing {
            Framing::Length(length) if length > most => return long(),
            Framing::Length(length) if bytes.len() >= length => return Ok(bytes.split_to(length)),
            Framing::Chunked => match chunks.take(bytes, &mut body) {
                Ok(true) => return Ok(body),
                Ok(false) => {}
                Err(why) => return Err(SocketEnd::Nonsense(why.to_string())),
            },
            _ => {}
        }
        if bytes.len() + body.len() > most {
            return long();
        }
        match stream.read_some(bytes).await {
            Ok(0) if framing == Framing::Close => return Ok(bytes.split()),
            Ok(read) if read > 0 => {}
            _ => return Err(SocketEnd::BrokeWithinAnswer),
        }
    }
}

impl Pool {
    pub fn new(most: usize, connect_ms: f64, idle_ms: f64) -> Self {
        Pool {
            idle: RefCell::default(),
            short: RefCell::default(),
            held: Rc::default(),
            most: Cell::new(most),
            connect_ms: Cell::new(connect_ms),
            idle_ms: Cell::new(idle_ms),
            opened: Cell::new(0),
        }
    }

    /// Other bounds and times from now on.
    pub fn reconfigure(&self, most: usize, connect_ms: f64, idle_ms: f64) {
        self.most.set(most);
        self.connect_ms.set(connect_ms);
        self.idle_ms.set(idle_ms);
    }

    pub fn connect_timeout_ms(&self) -> f64 {
        self.connect_ms.get()
    }

    /// Connections that stand or are being made, idle ones included.
    pub fn open_connections(&self) -> usize {
        self.held.get()
    }

    /// A kept connection on which nothing has come since.
    fn kept(&self, address: SocketAddr) -> Option<Connection> {
        let may_rest_ms = self.may_rest_ms(address);
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        let now = Instant::now();
        let oldest = now.checked_sub(duration(may_rest_ms));
        let rested = now.checked_sub(duration(REST_MS));
        let mut row = kept.len();
        while row > 0 {
            row -= 1;
            if rested.is_some_and(|rested| kept[row].since > rested) {
                continue;
            }
            let idle = kept.remove(row);
            if idle.stream.is_quiet() && oldest.is_none_or(|oldest| idle.since >= oldest) {
                let Idle { stream, since, slot } = idle;
                let idle_before_ms = Some(since.elapsed().as_secs_f64() * 1e3);
                return Some(Connection { stream, address, idle_before_ms, bytes: BytesMut::new(), slot });
            }
        }
        None
    }

    /// For how long a connection to a worker may rest and be used again, in ms.
    fn may_rest_ms(&self, address: SocketAddr) -> f64 {
        let usual_ms = self.idle_ms.get() * WORKER_IDLE;
        self.short.borrow().get(&address).map_or(usual_ms, |(short_ms, _)| short_ms.min(usual_ms))
    }

    /// Reads the head of an answer, and learns where a connection that had rested breaks under its request. Guards
    /// against workers that close what rests sooner than the settings say: each such break may have run, and counts
    /// against the worker. Harm: a worker that breaks connections for another cause gets more new ones.
    ///
    /// # Errors
    /// How the socket ended.
    pub async fn head(&self, connection: &mut Connection) -> Result<AnswerHead, SocketEnd> {
        let head = connection.head().await;
        if let (Err(SocketEnd::BrokeBeforeAnswer), Some(idle_before_ms)) = (&head, connection.idle_before_ms)
        {
            let short_ms =
                (self.may_rest_ms(connection.address) / 2.0).min(idle_before_ms / 2.0).max(REST_MS);
            self.short.borrow_mut().insert(connection.address, (short_ms, Instant::now()));
        }
        head
    }

    /// A kept connection, or a new one.
    ///
    /// # Errors
    /// No connection came up in time.
    pub async fn acquire(&self, address: SocketAddr) -> Result<Connection, SocketEnd> {
        match self.kept(address) {
            Some(kept) => Ok(kept),
            None => self.connect(address).await,
        }
    }

    /// A new connection.
    ///
    /// # Errors
    /// None came up in time, or there is no descriptor left for it.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, SocketEnd> {
        if self.held.get() >= self.most.get() && !self.give_up_one() {
            return Err(SocketEnd::NoRoom);
        }
        self.held.set(self.held.get() + 1);
        let slot = Slot(self.held.clone());
        self.opened.set(self.opened.get() + 1);
        match timeout(duration(self.connect_ms.get()), self.connected(address)).await {
            Err(_) => Err(SocketEnd::ConnectTimedOut),
            Ok(Ok(stream)) => {
                Ok(Connection { stream, address, idle_before_ms: None, bytes: BytesMut::new(), slot })
            }
            Ok(Err(cause)) => Err(match cause.kind() {
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => SocketEnd::ConnectRefused,
                ErrorKind::TimedOut => SocketEnd::ConnectTimedOut,
                _ if Shortage::of(&cause).is_some() => SocketEnd::NoRoom,
                _ => SocketEnd::Unreachable,
            }),
        }
    }

    /// Connects; where the process has no descriptor left, what rests gives its own.
    async fn connected(&self, address: SocketAddr) -> std::io::Result<Stream> {
        loop {
            match paddleproxy_sockets::connect(address).await {
                Err(cause)
                    if Shortage::of(&cause) == Some(Shortage::OwnDescriptors) && self.give_up_one() => {}
                done => return done,
            }
        }
    }

    /// Gives a connection back whose answer was read to its end; one that brought more than that closes.
    pub fn put_back(&self, connection: Connection) {
        let Connection { stream, address, bytes, slot, .. } = connection;
        if bytes.is_empty() {
            let idle = Idle { stream, since: Instant::now(), slot };
            self.idle.borrow_mut().entry(address).or_default().push(idle);
        }
    }

    /// Closes the idle connection that was used longest ago, of any worker.
    fn give_up_one(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(address, kept)| Some((kept.first()?.since, *address))).min();
        let Some((_, address)) = oldest else { return false };
        idle.get_mut(&address).is_some_and(|kept| {
            kept.remove(0);
            true
        })
    }

    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes what has been idle for too long, and what workers closed; called now and then.
    pub fn sweep(&self) {
        let lasts = duration(self.idle_ms.get());
        self.short.borrow_mut().retain(|_, (_, since)| since.elapsed() < lasts);
        let oldest = Instant::now().checked_sub(duration(self.idle_ms.get() * WORKER_IDLE));
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| idle.stream.is_quiet() && oldest.is_none_or(|oldest| idle.since >= oldest));
            !kept.is_empty()
        });
    }

    /// One small call without a body and its whole answer, within a time.
    ///
    /// # Errors
    /// How the socket ended.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        within_ms: f64,
    ) -> Result<(AnswerHead, BytesMut), SocketEnd> {
        let request = format!("{method} {path} HTTP/1.1\r\nHost: backend.local\r\nContent-Length: 0\r\n\r\n");
        let exchange = async {
            let mut connection = self.acquire(address).await?;
            if connection.write(&[request.as_bytes()]).await.is_err() {
                connection = self.connect(address).await?;
                connection.write(&[request.as_bytes()]).await.map_err(|_| SocketEnd::NeverWritten)?;
            }
            let head = self.head(&mut connection).await?;
            let body = connection.body(head.framing).await?;
            if head.stays() {
                self.put_back(connection);
            }
            Ok((head, body))
        };
        timeout(duration(within_ms), exchange).await.unwrap_or(Err(SocketEnd::TimedOut))
    }
}

#[cfg(test)]
mod tests;
