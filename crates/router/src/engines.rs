//! Connections to model servers: kept-alive ones by address, and the calls that are not completions.

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

/// Idle connections kept for one server at most.
const IDLE_MAX: usize = 256;

pub struct Engines {
    pub settings: EngineSettings,
    idle: RefCell<BTreeMap<SocketAddr, Vec<(Sender, Instant)>>>,
}

/// A connection in use.
pub struct Connection {
    sender: Sender,
    address: SocketAddr,
}

impl Engines {
    pub fn new(settings: EngineSettings) -> Self {
        Engines { settings, idle: RefCell::default() }
    }

    fn kept(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        let oldest = Instant::now() - duration(self.settings.idle_ms);
        while let Some((sender, since)) = kept.pop() {
            if since >= oldest && sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Gives a connection back whose answer was read to its end.
    pub fn keep(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(connection.address).or_default();
        if kept.len() < IDLE_MAX {
            kept.push((connection.sender, Instant::now()));
        }
    }

    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Connections kept for a server.
    #[cfg(test)]
    pub fn kept_for(&self, address: SocketAddr) -> usize {
        self.idle.borrow().get(&address).map_or(0, Vec::len)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, SocketEnd> {
        let made = timeout(duration(self.settings.connect_ms), paddleproxy_sockets::connect(address)).await;
        let stream = match made {
            Err(_) => return Err(SocketEnd::ConnectTimedOut),
            Ok(Ok(stream)) => stream,
            Ok(Err(cause)) => {
                return Err(match cause.kind() {
                    ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => SocketEnd::ConnectRefused,
                    ErrorKind::TimedOut => SocketEnd::ConnectTimedOut,
                    // Nothing was wrong with the server.
                    _ if Shortage::of(&cause).is_some() => SocketEnd::NoRoom,
                    _ => SocketEnd::Unreachable,
                });
            }
        };
        let shaken = http1::Builder::new().max_headers(64).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|_| SocketEnd::NeverWritten)?;
        tokio::task::spawn_local(async move {
            // An error ends the connection; the request that was on it hears of it.
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Sends a request and waits for the head of its answer, on a kept connection or a new one.
    ///
    /// # Errors
    /// How the socket ended, or why it must not be written now that the connection is there. Only what hyper hands back
    /// unwritten is tried on a new connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        may_write: impl Fn() -> Result<(), Withdrawal>,
    ) -> Result<(Response<Incoming>, Connection), SocketEnd> {
        loop {
            let (mut sender, fresh) = match self.kept(address) {
                Some(sender) => (sender, false),
                None => (self.connect(address).await?, true),
            };
            may_write().map_err(SocketEnd::Withdrawn)?;
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, Connection { sender, address })),
                Err(mut failed) => match failed.take_message() {
                    Some(unwritten) if !fresh => request = unwritten,
                    Some(_) => return Err(SocketEnd::NeverWritten),
                    None if failed.error().is_parse() => {
                        return Err(SocketEnd::Nonsense("the answer is not HTTP".into()))
                    }
                    None => return Err(SocketEnd::BrokeBeforeAnswer),
                },
            }
        }
    }

    /// One small call with a whole answer, within a time.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: String,
        within_ms: f64,
        answer_bytes: usize,
    ) -> Result<(u16, Option<Load>, Bytes), SocketEnd> {
        let request = request(address, method, path, Bytes::from(body), &[])?;
        let exchange = async {
            let (response, connection) = self.send(address, request, || Ok(())).await?;
            let (status, load) = (response.status().as_u16(), load(&response));
            let body = Limited::new(response.into_body(), answer_bytes).collect().await;
            let body = body.map_err(|_| SocketEnd::BrokeWithinAnswer)?.to_bytes();
            self.keep(connection);
            Ok((status, load, body))
        };
        timeout(duration(within_ms), exchange).await.unwrap_or(Err(SocketEnd::TimedOut))
    }
}

/// Builds a request; header values that HTTP does not allow are an end without a connection.
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

/// The load report that came with an answer.
pub fn load(response: &Response<Incoming>) -> Option<Load> {
    response.headers().get(LOAD_HEADER).and_then(|value| value.to_str().ok()).and_then(Load::from_header)
}
