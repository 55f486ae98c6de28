//! Sends requests at a constant rate over pooled connections, with limits on open requests and on their time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{ensure, Result};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A router, and the path of the API to use.
    Router(SocketAddr, &'static str),
    /// A simulated server, by the engine's API.
    Server(SocketAddr),
}

impl Target {
    fn address(self) -> SocketAddr {
        match self {
            Target::Router(address, _) | Target::Server(address) => address,
        }
    }
}

/// A load. Requests alternate between the targets, so that a disturbance of the machine affects all of them.
#[derive(Clone, Debug)]
pub struct Load {
    pub rate: f64,
    pub duration_ms: f64,
    pub tokens: u32,
    pub targets: Vec<Target>,
}

/// Results of the requests to one target. Times start when a request is sent.
pub struct Measured {
    pub first_us: Histogram<u64>,
    /// Mean time between two events of an answer, for answers of more than one event.
    pub event_ns: Histogram<u64>,
    pub sent: usize,
    pub done: usize,
    pub failed: usize,
    /// Failed requests that were rejected with status 429 or 529.
    pub rejected: usize,
    pub events: usize,
}

/// Time at the start of a load in which connections are opened; latencies in it are not counted.
const WARM_UP_MS: f64 = 500.0;

type Sender = SendRequest<Full<Bytes>>;
type Idle = Rc<RefCell<BTreeMap<SocketAddr, Vec<Sender>>>>;

/// Path of the messages API.
pub const MESSAGES: &str = "/v1/messages";

/// Maximum number of open requests; further requests count as failed without being sent.
const MAX_OPEN_REQUESTS: usize = 4000;

pub async fn run(load: &Load) -> Vec<Measured> {
    let idle = Idle::default();
    let rows: Vec<_> = load.targets.iter().map(|_| Rc::new(RefCell::new(Measured::new()))).collect();
    let open = Rc::new(());
    let count = (load.rate * load.duration_ms / 1e3) as usize;
    let warm_up_requests = (load.rate * WARM_UP_MS.min(load.duration_ms / 4.0) / 1e3) as usize;
    let origin = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..count {
        let due = origin + Duration::from_secs_f64(number as f64 / load.rate);
        sleep_until(due).await;
        let (target, row) = (load.targets[number % rows.len()], rows[number % rows.len()].clone());
        row.borrow_mut().sent += 1;
        if Rc::strong_count(&open) > MAX_OPEN_REQUESTS {
            row.borrow_mut().failed += 1;
            continue;
        }
        let (idle, open, tokens) = (idle.clone(), open.clone(), load.tokens);
        tasks.spawn_local(async move {
            let result = request_once(target, number, tokens, &idle);
            match timeout(Duration::from_secs(10), result).await {
                Ok(Ok((first, events, event_span))) => {
                    let mut row = row.borrow_mut();
                    row.done += 1;
                    row.events += events;
                    if number >= warm_up_requests {
                        // The histogram resizes itself, so recording can't fail.
                        let _ = row.first_us.record(first.as_micros() as u64);
                        if events > 1 {
                            let _ = row.event_ns.record(event_span.as_nanos() as u64 / (events as u64 - 1));
                        }
                    }
                }
                failed => {
                    let rejected = matches!(&failed, Ok(Err(cause)) if cause.is::<Rejected>());
                    let mut row = row.borrow_mut();
                    row.failed += 1;
                    row.rejected += usize::from(rejected);
                }
            }
            drop(open);
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    rows.into_iter().filter_map(|row| Rc::try_unwrap(row).ok().map(RefCell::into_inner)).collect()
}

impl Measured {
    fn new() -> Self {
        let new = || Histogram::new(3).unwrap_or_else(|_| unreachable!("3 digits are allowed"));
        Measured { first_us: new(), event_ns: new(), sent: 0, done: 0, failed: 0, rejected: 0, events: 0 }
    }

    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.first_us.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// The request was rejected with status 429 or 529.
#[derive(Debug)]
struct Rejected;

impl std::fmt::Display for Rejected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "rejected")
    }
}

impl std::error::Error for Rejected {}

/// Reads streams until `stop` changes. Returns the longest time between two events of any stream, in ms;
/// infinite if a task failed.
pub async fn longest_silence(
    streams: Vec<(Sender, Incoming)>,
    stop: tokio::sync::watch::Receiver<bool>,
) -> f64 {
    let mut tasks = tokio::task::JoinSet::new();
    for (sender, mut body) in streams {
        let mut stop = stop.clone();
        tasks.spawn_local(async move {
            let (mut longest_ms, mut last_event) = (0.0f64, Instant::now());
            loop {
                tokio::select! {
                    _ = stop.changed() => break,
                    frame = body.frame() => match frame {
                        Some(Ok(_)) => {
                            longest_ms = longest_ms.max(last_event.elapsed().as_secs_f64() * 1e3);
                            last_event = Instant::now();
                        }
                        _ => break,
                    },
                }
            }
            drop(sender);
            longest_ms
        });
    }
    let mut longest_ms = 0.0f64;
    while let Some(silence_ms) = tasks.join_next().await {
        longest_ms = longest_ms.max(silence_ms.unwrap_or(f64::INFINITY));
    }
    longest_ms
}

async fn connect(address: SocketAddr) -> Result<Sender> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move { drop(connection.await) });
    Ok(sender)
}

fn request(target: Target, number: usize, tokens: u32) -> Result<Request<Full<Bytes>>> {
    let text = format!("question {number} of a load that measures");
    let (path, body) = match target {
        Target::Router(_, path) => {
            let turn = json!({ "role": "user", "content": text });
            (path, json!({ "model": "chat-large", "max_tokens": tokens, "stream": true, "messages": [turn] }))
        }
        Target::Server(_) => (
            paddleproxy_engine::COMPLETIONS,
            json!({ "model": "chat-large", "max_tokens": tokens, "stream": true, "prompt": text }),
        ),
    };
    Ok(Request::post(path)
        .header("host", "localhost")
        .header("x-api-key", "app-key")
        .header("x-session-id", format!("s{}", number % 997))
        .body(Full::new(Bytes::from(body.to_string())))?)
}

/// Sends one request. Returns the time to the first event, the number of events, and the time from the first
/// event to the last.
async fn request_once(
    target: Target,
    number: usize,
    tokens: u32,
    idle: &Idle,
) -> Result<(Duration, usize, Duration)> {
    // Times start here and not at the scheduled time, since timers have a resolution of 1 ms.
    let sent_at = Instant::now();
    let address = target.address();
    let reused = idle.borrow_mut().entry(address).or_default().pop();
    let mut sender = match reused.filter(Sender::is_ready) {
        Some(sender) => sender,
        None => connect(address).await?,
    };
    let response = sender.send_request(request(target, number, tokens)?).await?;
    if matches!(response.status().as_u16(), 429 | 529) {
        response.into_body().collect().await?;
        idle.borrow_mut().entry(address).or_default().push(sender);
        return Err(Rejected.into());
    }
    ensure!(response.status().is_success(), "status {}", response.status());
    let mut body = response.into_body();
    let (first, mut events) = first_event(&mut body, sent_at).await?;
    let started = Instant::now();
    let mut event_span = Duration::ZERO;
    while let Some(frame) = body.frame().await {
        events += count_events(&frame?.into_data().unwrap_or_default());
        event_span = started.elapsed();
    }
    idle.borrow_mut().entry(address).or_default().push(sender);
    Ok((first, events, event_span))
}

async fn first_event(body: &mut Incoming, sent_at: Instant) -> Result<(Duration, usize)> {
    while let Some(frame) = body.frame().await {
        let bytes = frame?.into_data().unwrap_or_default();
        let events = count_events(&bytes);
        if events > 0 {
            return Ok((sent_at.elapsed(), events));
        }
    }
    anyhow::bail!("response without events")
}

fn count_events(bytes: &[u8]) -> usize {
    bytes.windows(6).filter(|window| *window == b"data: ").count()
}

/// Opens streams and waits for the first event of each. They stay open until dropped.
pub async fn open_streams(address: SocketAddr, count: usize) -> Vec<(Sender, Incoming)> {
    let mut open = Vec::with_capacity(count);
    let mut number = 0;
    while number < count {
        let mut tasks = tokio::task::JoinSet::new();
        for _ in 0..100.min(count - number) {
            number += 1;
            tasks.spawn_local(async move {
                let mut sender = connect(address).await?;
                let request = request(Target::Router(address, MESSAGES), number, 120)?;
                let response = sender.send_request(request).await?;
                ensure!(response.status().is_success(), "status {}", response.status());
                let mut body = response.into_body();
                first_event(&mut body, Instant::now()).await?;
                Ok((sender, body))
            });
        }
        while let Some(stream) = tasks.join_next().await {
            open.extend(stream.ok().and_then(Result::ok));
        }
    }
    open
}

/// Size and interval of the reads of a slow client, and the size of its receive buffer.
const SLOW_READ_BYTES: usize = 64;
const SLOW_READ_INTERVAL_MS: u64 = 500;
const SLOW_RECEIVE_BUFFER_BYTES: u32 = 2048;
const SLOW_TOKENS: u32 = 1000;

/// Opens streams whose clients read an eighth of what is written to them. Returns how many still ran at the
/// end, and the highest memory use of the router, in MiB.
pub async fn read_slowly(
    address: SocketAddr,
    count: usize,
    duration_ms: f64,
    memory_mib: impl Fn() -> Result<f64>,
) -> Result<(usize, f64)> {
    let started = Instant::now();
    let until = started + Duration::from_secs_f64(duration_ms / 1e3);
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..count {
        tasks.spawn_local(async move {
            let socket = tokio::net::TcpSocket::new_v4()?;
            socket.set_recv_buffer_size(SLOW_RECEIVE_BUFFER_BYTES)?;
            let mut stream = socket.connect(address).await?;
            let turn = json!({ "role": "user", "content": format!("question {number}") });
            let body = json!({
                "model": "chat-large", "max_tokens": SLOW_TOKENS, "stream": true, "messages": [turn]
            });
            let body = body.to_string();
            let head = format!(
                "POST {MESSAGES} HTTP/1.1\r\nhost: x\r\nx-api-key: app-key\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(body.as_bytes()).await?;
            let mut buffer = [0; SLOW_READ_BYTES];
            while Instant::now() < until {
                ensure!(stream.read(&mut buffer).await? > 0, "connection closed");
                tokio::time::sleep(Duration::from_millis(SLOW_READ_INTERVAL_MS)).await;
            }
            Ok(stream)
        });
        if number % 50 == 49 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    let mut max_mib = 0.0f64;
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(250)).await;
        max_mib = max_mib.max(memory_mib()?);
    }
    let mut open = Vec::with_capacity(count);
    while let Some(stream) = tasks.join_next().await {
        open.extend(stream.ok().and_then(Result::ok));
    }
    Ok((open.len(), max_mib))
}
