//! A router and a fleet of stand-ins on free local ports, in this process.
#![allow(dead_code)] // Each test file uses its part.

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

pub struct Bench {
    pub fleet: Fleet,
    pub record: Record,
    pub clients: SocketAddr,
    pub admin: SocketAddr,
    pub stop: watch::Sender<bool>,
    pub router: JoinHandle<anyhow::Result<()>>,
    /// Holds the router's settings, its state and whatever else it watches.
    pub dir: tempfile::TempDir,
}

/// Runs a test's body on one thread with local tasks; a test that hangs fails after a minute.
pub fn local(work: impl Future<Output = ()>) {
    local_for(Duration::from_secs(60), work);
}

pub fn local_for(longest: Duration, work: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let bounded = async { tokio::time::timeout(longest, work).await.expect("it hangs") };
    tokio::task::LocalSet::new().block_on(&runtime, bounded);
}

/// A test that is about probes says so. Elsewhere a busy machine would decide: a server whose answer to a probe takes over
/// 4% of the latency target is passed by, and where no other is left the completion is rate-limited.
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
    let own = [
        ("127.0.0.1:8080", "127.0.0.1:0".to_owned()),
        ("127.0.0.1:8081", "127.0.0.1:0".to_owned()),
        ("127.0.0.1:8090", list.to_string()),
        ("state/router-0", dir.path().display().to_string()),
    ];
    let changes = changes.into_iter().map(|(from, to)| (from, to.to_owned()));
    for (from, to) in own.into_iter().chain(changes) {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, &to.replace("{dir}", &dir.path().display().to_string()));
    }
    let settings = router::parse("router", &text).unwrap();
    let (stop, stopped) = watch::channel(false);
    let (sender, ready) = tokio::sync::oneshot::channel();
    let file = dir.path().join("router.kdl");
    std::fs::write(&file, &text).unwrap();
    let watched = paddleproxy_router::WatchedSettings { file, log: Box::new(|_| Ok(())) };
    let serving =
        paddleproxy_router::serve(settings, Some(watched), move |at| sender.send(at).unwrap(), stopped);
    let router = tokio::task::spawn_local(serving);
    let at = ready.await.unwrap();
    (at.clients, at.admin.unwrap(), stop, router, dir)
}

impl Bench {
    /// Waits until the admin port says so.
    pub async fn until(&self, path: &str, said: &str) {
        for _ in 0..1000 {
            if get(self.admin, path).await.contains(said) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("{path} never said {said}: {}", get(self.admin, path).await);
    }

    /// One figure of the metrics.
    pub async fn metric(&self, name: &str) -> u64 {
        let text = get(self.admin, "/metrics").await;
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("paddleproxy_{name} ")));
        line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }

    /// Everything a client saw of one request.
    pub async fn ask(&self, asking: &ClientRequest) -> Vec<ClientEvent> {
        self.ask_and(asking, std::future::ready(())).await
    }

    /// The same, and something else is done as soon as the answer's first text is there.
    pub async fn ask_and(&self, asking: &ClientRequest, then: impl Future<Output = ()>) -> Vec<ClientEvent> {
        let seen = Rc::new(RefCell::new(Vec::new()));
        let (noted, (begun, begins)) = (seen.clone(), tokio::sync::oneshot::channel());
        let mut begun = Some(begun);
        let until = Instant::now() + Duration::from_secs(20);
        let asks = send_request(self.clients, asking, until, move |what| {
            if matches!(what, ClientEvent::Text(_)) {
                begun.take().into_iter().for_each(|begun| _ = begun.send(()));
            }
            noted.borrow_mut().push(what);
        });
        let then = async {
            if begins.await.is_ok() {
                then.await;
            }
        };
        tokio::join!(asks, then);
        seen.take()
    }

    /// Asks and is gone once the answer's first text is there.
    pub async fn ask_and_leave(&self, asking: &ClientRequest) {
        let (begun, begins) = tokio::sync::oneshot::channel();
        let asks = self.ask_and(asking, async { _ = begun.send(()) });
        tokio::select! {
            seen = asks => panic!("it ended: {seen:?}"),
            _ = begins => {}
        }
    }
}

pub fn asking(id: &str, model: &str, tokens: usize, streamed: bool) -> ClientRequest {
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
        .filter_map(|what| match what {
            ClientEvent::Final(how) => Some(*how),
            _ => None,
        })
        .collect()
}

pub async fn get(address: SocketAddr, path: &str) -> String {
    raw(address, format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").as_bytes()).await
}

/// Sends bytes as they are and reads to the end of the connection.
pub async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // A peer that has answered may close before it has read all.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}
