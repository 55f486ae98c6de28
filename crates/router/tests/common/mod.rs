//! Test bench: a router and a fleet of emulated servers on free local ports, in this process.
#![allow(dead_code)] // Each test file uses only some of the items.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use paddleproxy_day::client::{send_request, ClientEvent, ClientRequest};
use paddleproxy_fleet::record::Record;
use paddleproxy_fleet::Fleet;
use paddleproxy_settings::{fleet, router};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

pub const ROUTER: &str = include_str!("../../../../examples/router.kdl");
pub const FLEET: &str = include_str!("../../../../examples/fleet.kdl");

/// A running router with its emulated servers.
pub struct Bench {
    pub fleet: Fleet,
    pub record: Record,
    pub clients: SocketAddr,
    pub admin: SocketAddr,
    pub stop: watch::Sender<bool>,
    pub router: JoinHandle<anyhow::Result<()>>,
    /// Contains the router's settings, its state and the other files that it watches.
    pub dir: tempfile::TempDir,
}

/// Runs a test on a current-thread runtime with a `LocalSet`; fails a test that hangs after a minute.
pub fn run_local(test: impl Future<Output = ()>) {
    run_local_for(Duration::from_secs(60), test);
}

pub fn run_local_for(limit: Duration, test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let limited =
        async { tokio::time::timeout(limit, test).await.expect("the test must end within its time limit") };
    tokio::task::LocalSet::new().block_on(&runtime, limited);
}

/// Enables probes; for the tests that need them. Other tests run without probes, as their results would
/// depend on the load of the machine: a server whose answer to a probe takes over 4% of the latency target is
/// skipped, and if no other server is left, the completion is rate-limited.
pub const WITH_PROBES: (&str, &str) = ("probes #true", "probes #true");
const WITHOUT_PROBES: (&str, &str) = ("probes #true", "probes #false");

pub async fn start(changes: &[(&str, &str)]) -> Bench {
    let record = Record::default();
    let fleet_text = FLEET.replace("127.0.0.1:8090", "127.0.0.1:0");
    let fleet = Fleet::start(fleet::parse("fleet", &fleet_text).unwrap(), record.clone()).await.unwrap();
    let (clients, admin, stop, router, dir) = start_router(fleet.list_address, changes).await;
    let bench = Bench { fleet, record, clients, admin, stop, router, dir };
    bench.until("/healthz", "ok").await;
    bench
}

pub async fn start_router(
    list: SocketAddr,
    changes: &[(&str, &str)],
) -> (SocketAddr, SocketAddr, watch::Sender<bool>, JoinHandle<anyhow::Result<()>>, tempfile::TempDir) {
    let dir = tempfile::tempdir().unwrap();
    let probes = if changes.contains(&WITH_PROBES) { WITH_PROBES } else { WITHOUT_PROBES };
    let changes = [&[probes], changes].concat();
    let mut text = ROUTER.to_owned();
    let replacements = [
        ("127.0.0.1:8080", "127.0.0.1:0".to_owned()),
        ("127.0.0.1:8081", "127.0.0.1:0".to_owned()),
        ("127.0.0.1:8090", list.to_string()),
        ("state/router-0", dir.path().display().to_string()),
    ];
    let changes = changes.into_iter().map(|(from, to)| (from, to.to_owned()));
    for (from, to) in replacements.into_iter().chain(changes) {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, &to.replace("{dir}", &dir.path().display().to_string()));
    }
    let settings = router::parse("router", &text).unwrap();
    let (stop, stopped) = watch::channel(false);
    let (sender, ready) = tokio::sync::oneshot::channel();
    let file = dir.path().join("router.kdl");
    std::fs::write(&file, &text).unwrap();
    let watched = paddleproxy_router::WatchedSettings { file, log: Box::new(|_| Ok(())) };
    let serving = paddleproxy_router::serve(
        settings,
        Some(watched),
        move |addresses| sender.send(addresses).unwrap(),
        stopped,
    );
    let router = tokio::task::spawn_local(serving);
    let addresses = ready.await.unwrap();
    (addresses.clients, addresses.admin.unwrap(), stop, router, dir)
}

impl Bench {
    /// Polls a path of the admin port until the response contains `expected`.
    pub async fn until(&self, path: &str, expected: &str) {
        for _ in 0..1000 {
            if get(self.admin, path).await.contains(expected) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("{path} never contained {expected}: {}", get(self.admin, path).await);
    }

    /// Value of one metric.
    pub async fn metric(&self, name: &str) -> u64 {
        let text = get(self.admin, "/metrics").await;
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("paddleproxy_{name} ")));
        line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }

    /// Sends a request and returns everything that the client saw.
    pub async fn send(&self, request: &ClientRequest) -> Vec<ClientEvent> {
        self.send_and(request, std::future::ready(())).await
    }

    /// Like `send`, and runs `then` as soon as the first text of the answer has arrived.
    pub async fn send_and(
        &self,
        request: &ClientRequest,
        then: impl Future<Output = ()>,
    ) -> Vec<ClientEvent> {
        let seen = Rc::new(RefCell::new(Vec::new()));
        let (recorded, (started, start)) = (seen.clone(), tokio::sync::oneshot::channel());
        let mut started = Some(started);
        let until = Instant::now() + Duration::from_secs(20);
        let exchange = send_request(self.clients, request, until, move |event| {
            if matches!(event, ClientEvent::Text(_)) {
                started.take().into_iter().for_each(|started| _ = started.send(()));
            }
            recorded.borrow_mut().push(event);
        });
        let then = async {
            if start.await.is_ok() {
                then.await;
            }
        };
        tokio::join!(exchange, then);
        seen.take()
    }

    /// Sends a request and disconnects once the first text of the answer has arrived.
    pub async fn send_and_disconnect(&self, request: &ClientRequest) {
        let (started, start) = tokio::sync::oneshot::channel();
        let exchange = self.send_and(request, async { _ = started.send(()) });
        tokio::select! {
            seen = exchange => panic!("the answer ended too early: {seen:?}"),
            _ = start => {}
        }
    }
}

pub fn client_request(id: &str, model: &str, tokens: usize, streamed: bool) -> ClientRequest {
    let content = format!("{id} {}", "abc ".repeat(tokens));
    let turn = serde_json::json!({ "role": "user", "content": content });
    let body = serde_json::json!({ "model": model, "max_tokens": 8, "stream": streamed, "messages": [turn] });
    ClientRequest {
        path: String::new(),
        key: "app-key".into(),
        session: id.into(),
        id: id.into(),
        effect_key: id.into(),
        timeout_ms: 4000.0,
        body: body.to_string(),
    }
}

pub fn finals(seen: &[ClientEvent]) -> Vec<&'static str> {
    seen.iter()
        .filter_map(|event| match event {
            ClientEvent::Final(how) => Some(*how),
            _ => None,
        })
        .collect()
}

pub async fn get(address: SocketAddr, path: &str) -> String {
    send_raw(address, format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").as_bytes()).await
}

/// Sends raw bytes and returns what arrives until the connection closes.
pub async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The router may answer and close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}
