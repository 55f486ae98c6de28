//! Connections to model servers, idle ones pooled by address, and the small calls other than completions.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use paddleproxy_engine::{Load, LOAD_HEADER};
use paddleproxy_routing::{SocketEnd, Withdrawal};
use paddleproxy_settings::router::EngineSettings;
use paddleproxy_sockets::Shortage;
use tokio::time::{timeout, Instant};

use crate::clock::duration;

type Sender = SendRequest<Full<Bytes>>;

/// Further idle connections to the same server are closed.
const MAX_IDLE_PER_SERVER: usize = 256;

/// Client of the model servers, with a pool of idle connections.
pub struct Engines {
    pub settings: EngineSettings,
    idle: RefCell<BTreeMap<SocketAddr, Vec<(Sender, Instant)>>>,
}

/// A connection taken from the pool or newly established.
pub struct Connection {
    sender: Sender,
    address: SocketAddr,
}

impl Engines {
    pub fn new(settings: EngineSettings) -> Self {
        Engines { settings, idle: RefCell::default() }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let oldest = Instant::now() - duration(self.settings.idle_ms);
        while let Some((sender, since)) = connections.pop() {
            if since >= oldest && sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub fn return_connection(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push((connection.sender, Instant::now()));
        }
    }

    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Number of idle connections to a server.
    #[cfg(test)]
    pub fn idle_count(&self, address: SocketAddr) -> usize {
        self.idle.borrow().get(&address).map_or(0, Vec::len)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, SocketEnd> {
        let result = timeout(duration(self.settings.connect_ms), paddleproxy_sockets::connect(address)).await;
        let stream = match result {
            Err(_) => return Err(SocketEnd::ConnectTimedOut),
            Ok(Ok(stream)) => stream,
            Ok(Err(cause)) => {
                return Err(match cause.kind() {
                    ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => SocketEnd::ConnectRefused,
                    ErrorKind::TimedOut => SocketEnd::ConnectTimedOut,
                    // The shortage is on this machine and doesn't count against the server.
                    _ if Shortage::of(&cause).is_some() => SocketEnd::NoRoom,
                    _ => SocketEnd::Unreachable,
                });
            }
        };
        let handshake = http1::Builder::new().max_headers(64).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| SocketEnd::NeverWritten)?;
        tokio::task::spawn_local(async move {
            // An error ends the connection, and the request in flight on it fails.
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Sends a request on an idle or a new connection and waits for the head of the response.
    ///
    /// # Errors
    /// How the socket ended, or why the request must not be written although the connection is
    /// established. Only a request that hyper returns unwritten is retried on a new connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        may_write: impl Fn() -> Result<(), Withdrawal>,
    ) -> Result<(Response<Incoming>, Connection), SocketEnd> {
        loop {
            let (mut sender, new) = match self.take_idle(address) {
                Some(sender) => (sender, false),
                None => (self.connect(address).await?, true),
            };
            may_write().map_err(SocketEnd::Withdrawn)?;
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, Connection { sender, address })),
                Err(mut failed) => match failed.take_message() {
                    Some(unwritten) if !new => request = unwritten,
                    Some(_) => return Err(SocketEnd::NeverWritten),
                    None if failed.error().is_parse() => {
                        return Err(SocketEnd::Nonsense("the response is not HTTP".into()))
                    }
                    None => return Err(SocketEnd::BrokeBeforeAnswer),
                },
            }
        }
    }

    /// Sends a small request and receives the complete response within `timeout_ms`.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: String,
        timeout_ms: f64,
        max_response_bytes: usize,
    ) -> Result<(u16, Option<Load>, Bytes), SocketEnd> {
        let request = request(address, method, path, Bytes::from(body), &[])?;
        let exchange = async {
            let (response, connection) = self.send(address, request, || Ok(())).await?;
            let (status, load) = (response.status().as_u16(), load_report(&response));
            let body = Limited::new(response.into_body(), max_response_bytes).collect().await;
            let body = body.map_err(|_| SocketEnd::BrokeWithinAnswer)?.to_bytes();
            self.return_connection(connection);
            Ok((status, load, body))
        };
        timeout(duration(timeout_ms), exchange).await.unwrap_or(Err(SocketEnd::TimedOut))
    }
}

/// Builds a request. A header value that HTTP doesn't allow fails before any connection is made.
pub fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    headers: &[(&str, &str)],
) -> Result<Request<Full<Bytes>>, SocketEnd> {
    let mut builder = Request::builder().method(method).uri(path).header(HOST, address.to_string());
    builder = builder.header(CONTENT_TYPE, "application/json");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(body)).map_err(|_| SocketEnd::NeverWritten)
}

/// The load report in the headers of a response.
pub fn load_report(response: &Response<Incoming>) -> Option<Load> {
    response.headers().get(LOAD_HEADER).and_then(|value| value.to_str().ok()).and_then(Load::from_header)
}
