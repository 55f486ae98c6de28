//! A pool of HTTP/1.1 connections to servers. Each carries one request at a time and is kept for reuse; the
//! one that was used last is reused first.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use paddleproxy_platform::head::{self, Framing, ResponseHead};
use paddleproxy_platform::{Chunks, MAX_BODY_BYTES};
use paddleproxy_router::clock::duration;
use paddleproxy_routing::SocketEnd;
use paddleproxy_sockets::{Shortage, Stream};
use tokio::io::AsyncWriteExt;
use tokio::time::{timeout, Instant};

use crate::limits::{MIN_IDLE_BEFORE_REUSE_MS, SERVER_IDLE_FACTOR};

struct Idle {
    stream: Stream,
    since: Instant,
    slot: Slot,
}

pub struct Pool {
    /// Idle connections by server, the least recently used first.
    idle: RefCell<BTreeMap<SocketAddr, Vec<Idle>>>,
    /// Servers that broke a reused connection: the reduced idle limit of their connections, in ms, and when
    /// it was set.
    reduced_idle: RefCell<BTreeMap<SocketAddr, (f64, Instant)>>,
    /// Connections that are open or being opened.
    open: Rc<Cell<usize>>,
    max_open: Cell<usize>,
    connect_timeout_ms: Cell<f64>,
    /// After this time a server may close an idle connection.
    idle_ms: Cell<f64>,
    /// Connection attempts since the start.
    pub opened: Cell<u64>,
}

/// Counts a connection as open until it is dropped.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection in use. Dropping it closes it.
pub struct Connection {
    stream: Stream,
    pub address: SocketAddr,
    /// How long it was idle before this use, in ms; none for a new connection.
    pub idle_before_ms: Option<f64>,
    pub bytes: BytesMut,
    slot: Slot,
}

/// The connection failed before the request was written in full.
pub struct WriteFailed;

impl Connection {
    /// Writes a whole request.
    ///
    /// # Errors
    /// The connection failed before the socket accepted the last byte: the server can't have started the
    /// request.
    pub async fn write(&mut self, request: &[&[u8]]) -> Result<(), WriteFailed> {
        for part in request {
            self.stream.write_all(part).await.map_err(|_| WriteFailed)?;
        }
        Ok(())
    }

    /// Whether the kernel has received bytes that were not read yet. Asks the kernel, not the runtime.
    pub fn has_unread(&self) -> bool {
        self.stream.has_unread_bytes()
    }

    /// Reads more into `bytes` and returns how many arrived; 0 once the server has closed the connection.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn read(&mut self) -> std::io::Result<usize> {
        self.stream.read_some(&mut self.bytes).await
    }

    async fn head(&mut self) -> Result<ResponseHead, SocketEnd> {
        read_head(&self.stream, &mut self.bytes).await
    }

    /// Reads a small body to its end.
    ///
    /// # Errors
    /// How the socket ended.
    pub async fn body(&mut self, framing: Framing) -> Result<BytesMut, SocketEnd> {
        read_body(&self.stream, &mut self.bytes, framing, MAX_BODY_BYTES).await
    }
}

/// Reads the head of an answer.
///
/// # Errors
/// How the socket ended.
pub async fn read_head(stream: &Stream, bytes: &mut BytesMut) -> Result<ResponseHead, SocketEnd> {
    loop {
        match head::parse_response(bytes) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(why) => return Err(SocketEnd::Nonsense(why.into())),
        }
        if !stream.read_some(bytes).await.is_ok_and(|read| read > 0) {
            return Err(SocketEnd::BrokeBeforeAnswer);
        }
    }
}

/// Reads a body of at most `max_bytes` to its end.
///
/// # Errors
/// How the socket ended.
pub async fn read_body(
    stream: &Stream,
    bytes: &mut BytesMut,
    framing: Framing,
    max_bytes: usize,
) -> Result<BytesMut, SocketEnd> {
    let mut body = BytesMut::new();
    let mut chunks = Chunks::new(max_bytes);
    let too_long = || Err(SocketEnd::Nonsense("the answer is too long".into()));
    loop {
        match framing {
            Framing::Length(length) if length > max_bytes => return too_long(),
            Framing::Length(length) if bytes.len() >= length => return Ok(bytes.split_to(length)),
            Framing::Chunked => match chunks.take(bytes, &mut body) {
                Ok(true) => return Ok(body),
                Ok(false) => {}
                Err(why) => return Err(SocketEnd::Nonsense(why.to_string())),
            },
            _ => {}
        }
        if bytes.len() + body.len() > max_bytes {
            return too_long();
        }
        match stream.read_some(bytes).await {
            Ok(0) if framing == Framing::Close => return Ok(bytes.split()),
            Ok(read) if read > 0 => {}
            _ => return Err(SocketEnd::BrokeWithinAnswer),
        }
    }
}

impl Pool {
    pub fn new(max_open: usize, connect_timeout_ms: f64, idle_ms: f64) -> Self {
        Pool {
            idle: RefCell::default(),
            reduced_idle: RefCell::default(),
            open: Rc::default(),
            max_open: Cell::new(max_open),
            connect_timeout_ms: Cell::new(connect_timeout_ms),
            idle_ms: Cell::new(idle_ms),
            opened: Cell::new(0),
        }
    }

    /// Replaces the limits, as after a reload of the settings.
    pub fn reconfigure(&self, max_open: usize, connect_timeout_ms: f64, idle_ms: f64) {
        self.max_open.set(max_open);
        self.connect_timeout_ms.set(connect_timeout_ms);
        self.idle_ms.set(idle_ms);
    }

    pub fn connect_timeout_ms(&self) -> f64 {
        self.connect_timeout_ms.get()
    }

    /// Connections that are open or being opened, idle ones included.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// The idle connection that was used last and on which nothing has arrived since; drops closed ones and
    /// those that were idle for too long.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let max_idle_ms = self.max_idle_ms(address);
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.get_mut(&address)?;
        let now = Instant::now();
        let oldest = now.checked_sub(duration(max_idle_ms));
        let newest = now.checked_sub(duration(MIN_IDLE_BEFORE_REUSE_MS));
        let mut row = pooled.len();
        while row > 0 {
            row -= 1;
            // Used so recently that bytes beyond its last answer may still arrive.
            if newest.is_some_and(|newest| pooled[row].since > newest) {
                continue;
            }
            let idle = pooled.remove(row);
            if idle.stream.is_idle() && oldest.is_none_or(|oldest| idle.since >= oldest) {
                let Idle { stream, since, slot } = idle;
                let idle_before_ms = Some(since.elapsed().as_secs_f64() * 1e3);
                return Some(Connection { stream, address, idle_before_ms, bytes: BytesMut::new(), slot });
            }
        }
        None
    }

    /// How long a connection to a server may be idle and still be reused, in ms.
    fn max_idle_ms(&self, address: SocketAddr) -> f64 {
        let default_ms = self.idle_ms.get() * SERVER_IDLE_FACTOR;
        self.reduced_idle
            .borrow()
            .get(&address)
            .map_or(default_ms, |(reduced_ms, _)| reduced_ms.min(default_ms))
    }

    /// Reads the head of an answer. If a reused connection breaks before the head, reduces the idle limit for
    /// that server to half of the time that this connection was idle or half of the present limit, whichever
    /// is less. Guards against servers that close idle connections sooner than the settings say: each such
    /// break is a request that may have run, and counts as a failure of the server. Cost: a server that
    /// breaks connections for another reason gets more new ones.
    ///
    /// # Errors
    /// How the socket ended.
    pub async fn head(&self, connection: &mut Connection) -> Result<ResponseHead, SocketEnd> {
        let head = connection.head().await;
        if let (Err(SocketEnd::BrokeBeforeAnswer), Some(idle_before_ms)) = (&head, connection.idle_before_ms)
        {
            let reduced_ms = (self.max_idle_ms(connection.address) / 2.0)
                .min(idle_before_ms / 2.0)
                .max(MIN_IDLE_BEFORE_REUSE_MS);
            self.reduced_idle.borrow_mut().insert(connection.address, (reduced_ms, Instant::now()));
        }
        head
    }

    /// An idle connection, or a new one.
    ///
    /// # Errors
    /// No connection was established in time, or the connection limit is reached.
    pub async fn acquire(&self, address: SocketAddr) -> Result<Connection, SocketEnd> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    /// A new connection. At the connection limit, an idle connection is closed to make room.
    ///
    /// # Errors
    /// None was established in time, or no file descriptor is left for it.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, SocketEnd> {
        if self.open.get() >= self.max_open.get() && !self.close_oldest_idle() {
            return Err(SocketEnd::NoRoom);
        }
        self.open.set(self.open.get() + 1);
        let slot = Slot(self.open.clone());
        self.opened.set(self.opened.get() + 1);
        match timeout(duration(self.connect_timeout_ms.get()), self.open_stream(address)).await {
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

    /// Connects. If the process has no file descriptor left, closes idle connections to free one.
    async fn open_stream(&self, address: SocketAddr) -> std::io::Result<Stream> {
        loop {
            match paddleproxy_sockets::connect(address).await {
                Err(cause)
                    if Shortage::of(&cause) == Some(Shortage::OwnDescriptors) && self.close_oldest_idle() => {
                }
                done => return done,
            }
        }
    }

    /// Returns a connection to the pool after its answer was read to the end. One with bytes beyond the
    /// answer is closed.
    pub fn put_back(&self, connection: Connection) {
        let Connection { stream, address, bytes, slot, .. } = connection;
        if bytes.is_empty() {
            let idle = Idle { stream, since: Instant::now(), slot };
            self.idle.borrow_mut().entry(address).or_default().push(idle);
        }
    }

    /// Closes the least recently used idle connection of any server; false if none is idle.
    fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest =
            idle.iter().filter_map(|(address, pooled)| Some((pooled.first()?.since, *address))).min();
        let Some((_, address)) = oldest else { return false };
        idle.get_mut(&address).is_some_and(|pooled| {
            pooled.remove(0);
            true
        })
    }

    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that were idle for too long or were closed by the server, and drops expired idle
    /// limits. Called periodically.
    pub fn sweep(&self) {
        let expiry = duration(self.idle_ms.get());
        self.reduced_idle.borrow_mut().retain(|_, (_, since)| since.elapsed() < expiry);
        let oldest = Instant::now().checked_sub(duration(self.idle_ms.get() * SERVER_IDLE_FACTOR));
        self.idle.borrow_mut().retain(|_, pooled| {
            pooled.retain(|idle| idle.stream.is_idle() && oldest.is_none_or(|oldest| idle.since >= oldest));
            !pooled.is_empty()
        });
    }

    /// Sends a small request without a body and reads the whole answer, within `timeout_ms`.
    ///
    /// # Errors
    /// How the socket ended.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        timeout_ms: f64,
    ) -> Result<(ResponseHead, BytesMut), SocketEnd> {
        let request = format!("{method} {path} HTTP/1.1\r\nHost: backend.local\r\nContent-Length: 0\r\n\r\n");
        let exchange = async {
            let mut connection = self.acquire(address).await?;
            if connection.write(&[request.as_bytes()]).await.is_err() {
                connection = self.connect(address).await?;
                connection.write(&[request.as_bytes()]).await.map_err(|_| SocketEnd::NeverWritten)?;
            }
            let head = self.head(&mut connection).await?;
            let body = connection.body(head.framing).await?;
            if head.connection_reusable() {
                self.put_back(connection);
            }
            Ok((head, body))
        };
        timeout(duration(timeout_ms), exchange).await.unwrap_or(Err(SocketEnd::TimedOut))
    }
}

#[cfg(test)]
mod tests;
