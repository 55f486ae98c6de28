//! Tests of how the core performs effects that the decision core seldom produces.

use std::sync::Arc;

use paddleproxy_engine::{ServerEntry, ServerList};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

fn settings() -> Rc<RouterSettings> {
    let text = include_str!("../../../examples/router.kdl");
    Rc::new(paddleproxy_settings::router::parse("router", text).unwrap())
}

/// Starts a server that answers requests with the given bodies in turn. Returns its address and the requests.
async fn server(bodies: &[(u16, &str)]) -> (std::net::SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, requests) = mpsc::channel(16);
    let mut answers: Vec<_> = bodies
        .iter()
        .map(|(status, body)| format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}", body.len()))
        .rev()
        .collect();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4096];
            while let Ok(read) = stream.read(&mut buffer).await {
                if read == 0 {
                    break;
                }
                sender.send(String::from_utf8_lossy(&buffer[..read]).into_owned()).await.unwrap();
                let Some(answer) = answers.pop() else { return };
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        }
    });
    (address, requests)
}

struct Fixture {
    core: Core,
    events: mpsc::Receiver<CoreEvent>,
    list: mpsc::Receiver<ListRequest>,
    worker: WorkerId,
}

fn fixture(address: std::net::SocketAddr) -> Fixture {
    let settings = settings();
    let (event_sender, events) = mpsc::channel(16);
    let (list_sender, list) = mpsc::channel(8);
    let (saves, _) = watch::channel(None);
    let engines = Rc::new(Engines::new(settings.engines.clone()));
    let dir = tempfile::tempdir().unwrap();
    let (state, _) =
        crate::state::State::open(dir.path(), 0, crate::steady_clock::SteadyClock::open(dir.path())).unwrap();
    let mut core =
        Core::new(settings, Clock::start(), 1, 7, engines, event_sender, list_sender, saves, Rc::new(state));
    let entry = ServerEntry {
        name: "a".into(),
        address: address.to_string(),
        zone: "north".into(),
        kind: "writer".into(),
        cell: 0,
        readiness: "ready".into(),
        weight: 1.0,
        start: 1,
        age_ms: None,
    };
    core.receive_list(
        SourceId::Service,
        &ServerList { epoch: 1, version: 1, after: None, servers: vec![entry] },
        None,
    );
    Fixture { core, events, list, worker: WorkerId(Arc::from("a")) }
}

fn run_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_hold_request_is_sent_and_its_answer_reported() {
    run_local(async {
        let (address, mut requests) = server(&[(200, "{\"held\":true}"), (200, "{\"held\":false}")]).await;
        let mut fixture = fixture(address);
        for expected in [true, false] {
            let (completion, seq) = (CompletionId(3), Seq(1));
            fixture.core.perform_effect(Effect::Hold {
                worker: fixture.worker.clone(),
                completion,
                seq,
                tokens: 9.0,
            });
            let request = requests.recv().await.unwrap();
            assert!(
                request.starts_with("POST /x/hold ")
                    && request.contains("{\"request_id\":\"0.1.3.1\",\"tokens\":9}")
            );
            let Some(CoreEvent::HoldAnswered { held, .. }) = fixture.events.recv().await else {
                panic!("no answer")
            };
            assert_eq!(held, expected);
        }
    });
}

#[test]
fn a_release_without_acknowledgement_is_retried() {
    run_local(async {
        let (address, mut requests) = server(&[(500, ""), (500, ""), (200, "{}")]).await;
        let mut fixture = fixture(address);
        let (completion, seq) = (CompletionId(3), Seq(0));
        fixture.core.perform_effect(Effect::Release { worker: fixture.worker.clone(), completion, seq });
        for _ in 0..3 {
            assert!(requests.recv().await.unwrap().contains("{\"request_id\":\"0.1.3.0\"}"));
        }
        let extra = tokio::time::timeout(duration(600.0), requests.recv()).await;
        assert!(extra.is_err(), "an acknowledged release is not retried");
    });
}

#[test]
fn a_probe_reports_whether_it_was_answered() {
    run_local(async {
        let (address, mut requests) = server(&[(200, "{}"), (500, "")]).await;
        let mut fixture = fixture(address);
        for expected in [true, false] {
            fixture.core.perform_effect(Effect::Probe { worker: fixture.worker.clone() });
            assert!(requests.recv().await.unwrap().starts_with("GET /x/probe "));
            let Some(CoreEvent::Probed { answered, .. }) = fixture.events.recv().await else {
                panic!("no answer")
            };
            assert_eq!(answered, expected);
        }
        // A server that never answers is reported as silent within the probe timeout.
        fixture.core.perform_effect(Effect::Probe { worker: fixture.worker.clone() });
        let Some(CoreEvent::Probed { answered, .. }) = fixture.events.recv().await else {
            panic!("no answer")
        };
        assert!(!answered);
    });
}

#[test]
fn list_requests_are_forwarded_and_idle_connections_closed() {
    run_local(async {
        let (address, mut requests) = server(&[(200, "{}"), (200, "{}")]).await;
        let mut fixture = fixture(address);
        fixture.core.perform_effect(Effect::Subscribe);
        fixture.core.perform_effect(Effect::FetchList);
        assert_eq!(fixture.list.recv().await, Some(ListRequest::Subscribe));
        assert_eq!(fixture.list.recv().await, Some(ListRequest::Fetch));
        fixture.core.perform_effect(Effect::Probe { worker: fixture.worker.clone() });
        requests.recv().await.unwrap();
        fixture.events.recv().await.unwrap();
        assert_eq!(fixture.core.engines.idle_count(address), 1);
        fixture.core.perform_effect(Effect::CloseIdle { worker: fixture.worker.clone() });
        assert_eq!(fixture.core.engines.idle_count(address), 0);
    });
}
