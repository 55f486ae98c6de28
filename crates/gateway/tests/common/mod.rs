//! Runs a platform router in this process, with scripted workers and a scripted discovery on free local
//! ports.
#![allow(dead_code)] // Each test file uses only some of the items.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use paddleproxy_gateway::Signal;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Runs a test's body on one thread with local tasks; a test that hangs fails after a minute.
pub fn run_local(work: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let limited = async { timeout(Duration::from_secs(60), work).await.expect("the test timed out") };
    tokio::task::LocalSet::new().block_on(&runtime, limited);
}

pub async fn wait_while(holds: impl Fn() -> bool) {
    while holds() {
        sleep(ms(2)).await;
    }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub const FIRST: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n";
pub const LAST: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\n\
    data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,\"prompt_tokens_details\":\
    {\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";
pub const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A complete, valid streamed answer.
pub fn full_answer() -> String {
    format!("{HEAD}{}{}0\r\n\r\n", chunk(FIRST), chunk(LAST))
}

/// A response with a plain body.
pub fn plain(status: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Something that a scripted worker does without letting the router run in between.
pub type Action = Rc<dyn Fn()>;

/// One step of a worker's response to a request.
#[derive(Clone)]
pub enum Step {
    Send(String),
    Bytes(Vec<u8>),
    /// Waits for this time, in ms.
    Wait(u64),
    /// Runs this at once, before the router runs again.
    Run(Action),
    /// Sends this repeatedly until the other side closes.
    Flood(Vec<u8>),
    Close,
    /// Sends nothing more and waits for the other side to close.
    Hang,
}

/// One request as a worker received it.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedRequest {
    pub connection: usize,
    pub method: String,
    pub target: String,
    pub id: String,
    pub deadline: String,
    pub head: String,
    pub body: Vec<u8>,
}

/// The steps for a request, given it and the number of completion requests before it.
type Script = Rc<dyn Fn(&RecordedRequest, usize) -> Vec<Step>>;

pub struct Worker {
    pub name: String,
    pub kind: &'static str,
    pub address: SocketAddr,
    pub seen: Rc<RefCell<Vec<RecordedRequest>>>,
    pub connections: Rc<Cell<usize>>,
    /// Number of connections that the router closed.
    pub closed: Rc<Cell<usize>>,
    /// Whether it accepts calls about held states without answering them.
    pub ignores_calls: Cell<bool>,
    /// Runs when a connection is accepted.
    pub on_connect: RefCell<Option<Action>>,
    /// Runs on a load probe, before the answer if true, else after it.
    pub on_probe: RefCell<Option<(bool, Action)>>,
    script: Rc<RefCell<Script>>,
}

/// Reads one request; None at the end of the connection.
async fn request(stream: &mut TcpStream, bytes: &mut Vec<u8>, connection: usize) -> Option<RecordedRequest> {
    loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8(bytes[..end].to_vec()).unwrap();
            let field = |name: &str| {
                let line = head.lines().find(|line| line.to_lowercase().starts_with(&format!("{name}:")));
                line.map_or(String::new(), |line| line[name.len() + 1..].trim().to_owned())
            };
            let length: usize = field("content-length").parse().unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let mut first = head.lines().next().unwrap().split(' ');
                let body = bytes[end + 4..end + 4 + length].to_vec();
                bytes.drain(..end + 4 + length);
                return Some(RecordedRequest {
                    connection,
                    method: first.next().unwrap().to_owned(),
                    target: first.next().unwrap().to_owned(),
                    id: field("req-id"),
                    deadline: field("req-deadline"),
                    head,
                    body,
                });
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&part[..read]),
        }
    }
}

impl Worker {
    pub async fn start(
        name: &str,
        kind: &'static str,
        script: impl Fn(&RecordedRequest, usize) -> Vec<Step> + 'static,
    ) -> Rc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let worker = Rc::new(Worker {
            name: name.into(),
            kind,
            address: listener.local_addr().unwrap(),
            seen: Rc::default(),
            connections: Rc::default(),
            closed: Rc::default(),
            ignores_calls: Cell::new(false),
            on_connect: RefCell::default(),
            on_probe: RefCell::default(),
            script: Rc::new(RefCell::new(Rc::new(script))),
        });
        let shared = worker.clone();
        tokio::task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let action = shared.on_connect.borrow().clone();
                action.into_iter().for_each(|action| action());
                let number = shared.connections.get();
                shared.connections.set(number + 1);
                tokio::task::spawn_local(shared.clone().serve(stream, number));
            }
        });
        worker
    }

    /// Replaces the script for all further requests.
    pub fn set_script(&self, script: impl Fn(&RecordedRequest, usize) -> Vec<Step> + 'static) {
        *self.script.borrow_mut() = Rc::new(script);
    }

    /// The completion requests that it received.
    pub fn completion_requests(&self) -> Vec<RecordedRequest> {
        self.seen.borrow().iter().filter(|seen| seen.target.starts_with("/v1/")).cloned().collect()
    }

    /// The targets of the requests with this method that it received.
    pub fn calls(&self, method: &str) -> Vec<String> {
        let seen = self.seen.borrow();
        seen.iter().filter(|seen| seen.method == method).map(|seen| seen.target.clone()).collect()
    }

    fn probe_steps(&self) -> Vec<Step> {
        let response = Step::Send(plain("200 OK", "", "TEXT inflight=1, queue=0, util=0.1"));
        match self.on_probe.borrow().clone() {
            None => vec![response],
            Some((true, action)) => vec![Step::Run(action), response],
            Some((false, action)) => vec![response, Step::Run(action)],
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream, number: usize) {
        let mut bytes = Vec::new();
        while let Some(seen) = request(&mut stream, &mut bytes, number).await {
            let steps = if seen.target.starts_with("/v1/") {
                let script = self.script.borrow().clone();
                let earlier = self.completion_requests().len();
                self.seen.borrow_mut().push(seen.clone());
                script(&seen, earlier)
            } else {
                self.seen.borrow_mut().push(seen.clone());
                match seen.method.as_str() {
                    "GET" => self.probe_steps(),
                    _ if self.ignores_calls.get() => vec![Step::Hang],
                    _ => vec![Step::Send(plain("204 No Content", "", ""))],
                }
            };
            for step in steps {
                let sent = match step {
                    Step::Send(text) => stream.write_all(text.as_bytes()).await,
                    Step::Bytes(bytes) => stream.write_all(&bytes).await,
                    Step::Wait(wait) => {
                        sleep(ms(wait)).await;
                        Ok(())
                    }
                    Step::Run(action) => {
                        action();
                        Ok(())
                    }
                    Step::Flood(bytes) => loop {
                        if let Err(cause) = stream.write_all(&bytes).await {
                            break Err(cause);
                        }
                        tokio::task::yield_now().await;
                    },
                    Step::Close => return,
                    Step::Hang => {
                        while stream.read(&mut [0; 512]).await.is_ok_and(|read| read > 0) {}
                        Err(std::io::ErrorKind::ConnectionReset.into())
                    }
                };
                if sent.is_err() {
                    self.closed.set(self.closed.get() + 1);
                    return;
                }
            }
        }
        self.closed.set(self.closed.get() + 1);
    }
}

/// A scripted discovery service.
pub struct Discovery {
    pub address: SocketAddr,
    /// The answer to each call: a list as JSON, or raw bytes after the prefix `raw:`. A watch waits for a new
    /// revision.
    pub answer: Rc<RefCell<String>>,
    /// Incremented with each published answer.
    pub revision: Rc<Cell<u64>>,
    pub calls: Rc<RefCell<Vec<String>>>,
    /// Whether calls are left unanswered.
    pub silent: Rc<Cell<bool>>,
    /// Additional delay of each answer, in ms.
    pub slow_ms: Rc<Cell<u64>>,
}

impl Discovery {
    pub async fn start(answer: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            answer: Rc::new(RefCell::new(answer)),
            revision: Rc::new(Cell::new(1)),
            calls: Rc::default(),
            silent: Rc::default(),
            slow_ms: Rc::default(),
        };
        let (answer, revision, calls, silent, slow_ms) = (
            discovery.answer.clone(),
            discovery.revision.clone(),
            discovery.calls.clone(),
            discovery.silent.clone(),
            discovery.slow_ms.clone(),
        );
        tokio::task::spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let (answer, revision, calls, silent) =
                    (answer.clone(), revision.clone(), calls.clone(), silent.clone());
                let slow_ms = slow_ms.clone();
                tokio::task::spawn_local(async move {
                    let (mut bytes, mut sent_revision) = (Vec::new(), 0);
                    while let Some(seen) = request(&mut stream, &mut bytes, 0).await {
                        calls.borrow_mut().push(seen.target.clone());
                        while silent.get()
                            || seen.target.contains("hold_ms") && sent_revision == revision.get()
                        {
                            sleep(ms(2)).await;
                        }
                        sleep(ms(slow_ms.get())).await;
                        sent_revision = revision.get();
                        let body = answer.borrow().clone();
                        let response = match body.strip_prefix("raw:") {
                            Some(raw) => raw.to_owned(),
                            None => plain("200 OK", "", &body),
                        };
                        if stream.write_all(response.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        discovery
    }

    pub fn publish(&self, answer: String) {
        *self.answer.borrow_mut() = answer;
        self.revision.set(self.revision.get() + 1);
    }
}

pub fn host(worker: &Worker, health: &str) -> Value {
    json!({ "host": worker.name, "dial": worker.address.to_string(), "site": "a", "class": worker.kind,
            "block": 0, "health": health, "share": 1.0, "born_ms": 0 })
}

pub fn list(seq: u64, workers: &[&Worker]) -> Value {
    let hosts: Vec<_> = workers.iter().map(|worker| host(worker, "ready")).collect();
    json!({ "seq": seq, "whole": true, "hosts": hosts })
}

pub fn settings() -> Value {
    json!({
        "balancers": 1, "slot_no": 0, "my_zone": "a", "localities": ["a"],
        "machine_types": ["prefill", "decode", "combined"],
        "services": [{ "name": "chat", "slo_s": 0.4, "deadline_s": 20.0, "idempotency": "repeatable",
                       "dedup_scope": "all", "window_s": 5.0, "importance": 1.0, "stream": true }],
        "tenants": [{ "name": "acme", "quota_per_s": 100.0, "portion": 1.0 }],
        "caps": { "cancel": true, "second_copies": true, "retry_after": true, "max_retry_after_s": 0.5,
                  "max_attempts": 5, "conn_idle_s": 30.0, "connect_timeout_s": 0.25, "probes": false },
        "report": { "how": "answers", "names": ["cpu_share", "pending", "x0"] },
        "family_info": { "aim_us_per_1000_prompt_tokens": [0.0], "holds_allowed": true,
                         "kv_tokens": [200000.0, 200000.0, 200000.0], "pin_limit_s": 0.5,
                         "role_by_kind": ["read", "write", "both"], "self_prefill": true },
        "invariants": { "answer_slack_s": 0.008, "cold_s": 12.0, "cold_share": 0.3, "fall_multiple": 2.5,
                        "fall_s": 2.0, "must_ask_in_s": 10.0 },
        "resolution_s": 0.002
    })
}

pub fn config(discovery: &str) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": { "cores": 1.0, "memory_mb": 64, "sockets": 256 }, "settings": settings()
    })
}

pub struct Platform {
    pub clients: SocketAddr,
    pub discovery: Discovery,
    pub signals: mpsc::Sender<Signal>,
    pub router: JoinHandle<anyhow::Result<()>>,
    pub file: PathBuf,
    pub config: Value,
    _dir: tempfile::TempDir,
}

impl Platform {
    pub async fn start(workers: &[&Worker]) -> Platform {
        Platform::with(workers, |_| {}).await
    }

    pub async fn with(workers: &[&Worker], change: impl Fn(&mut Value)) -> Platform {
        let discovery = Discovery::start(list(1, workers).to_string()).await;
        let mut config = config(&discovery.address.to_string());
        config["known"] = list(1, workers);
        change(&mut config);
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        let (signals, signal_receiver) = mpsc::channel(4);
        let (sender, ready) = tokio::sync::oneshot::channel();
        let path = file.clone();
        let router = tokio::task::spawn_local(async move {
            paddleproxy_gateway::serve(&path, signal_receiver, move |address| sender.send(address).unwrap())
                .await
        });
        let clients = ready.await.unwrap();
        let platform = Platform { clients, discovery, signals, router, file, config, _dir: dir };
        platform
            .wait_for_answer("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", " 200 ")
            .await;
        platform
    }

    /// Sends the request repeatedly until the answer contains this text.
    pub async fn wait_for_answer(&self, request: &str, expected: &str) {
        loop {
            let answer = raw(self.clients, request.as_bytes()).await;
            if answer.contains(expected) {
                return;
            }
            sleep(ms(5)).await;
        }
    }

    /// Sends a completion request with this id and returns the answer.
    pub async fn complete(&self, id: &str) -> String {
        raw(self.clients, completion(id, "Connection: close\r\n", "{}").as_bytes()).await
    }
}

/// A valid completion request.
pub fn completion(id: &str, fields: &str, body: &str) -> String {
    prompt(id, 100, fields, body)
}

/// A valid completion request with a prompt of this many tokens.
pub fn prompt(id: &str, tokens: usize, fields: &str, body: &str) -> String {
    format!(
        "POST /v1/chat/completions?trace=1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\n\
         Req-Kind: chat\r\nReq-Owner: acme\r\nReq-Key: 7f3a9c21e0b4d655\r\nReq-Deadline: 8.000\r\n\
         Req-Extra: prompt_len={tokens},max_out=8\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends bytes as they are and reads to the end of the connection.
pub async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // A peer that has answered may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// The data of the chunks of an answer, and whether the last chunk arrived.
pub fn body(answer: &str) -> (String, bool) {
    let mut rest = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let mut data = String::new();
    while let Some((size, more)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        if size == 0 {
            return (data, true);
        }
        data += &more[..size];
        rest = &more[size + 2..];
    }
    (data, false)
}
