//! What the core does for effects that the present decisions seldom ask for.

use std::sync::Arc;

use paddleproxy_engine::{ServerEntry, ServerList};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

fn settings() -> Rc<RouterSettings> {
    let text = include_str!("../../../examples/router.kdl");
    Rc::new(paddleproxy_settings::router::parse("router", text).unwrap())
}

/// Answers each connection's requests in turn with the given bodies, and gives out what it was asked.
async fn server(bodies: &[(u16, &str)]) -> (std::net::SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (asked, heard) = mpsc::channel(16);
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
                asked.send(String::from_utf8_lossy(&buffer[..read]).into_owned()).await.unwrap();
                let Some(answer) = answers.pop() else { return };
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        }
    });
    (address, heard)
}

struct Stage {
    core: Core,
    told: mpsc::Receiver<CoreEvent>,
    list: mpsc::Receiver<ListRequest>,
    worker: WorkerId,
}

fn stage(address: std::net::SocketAddr) -> Stage {
    let settings = settings();
    let (own, told) = mpsc::channel(16);
    let (list_sender, list) = mpsc::channel(8);
    let (saves, _) = watch::channel(None);
    let engines = Rc::new(Engines::new(settings.engines.clone()));
    let dir = tempfile::tempdir().unwrap();
    let (state, _) =
        crate::state::State::open(dir.path(), 0, crate::steady::SteadyClock::open(dir.path())).unwrap();
    let mut core =
        Core::new(settings, Clock::start(), 1, 7, engines, own, list_sender, saves, Rc::new(state));
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
    core.hear(
        SourceId::Service,
        &ServerList { epoch: 1, version: 1, after: None, servers: vec![entry] },
        None,
    );
    Stage { core, told, list, worker: WorkerId(Arc::from("a")) }
}

fn local(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, work);
}

#[test]
fn a_place_is_asked_for_and_its_answer_told() {
    local(async {
        let (address, mut heard) = server(&[(200, "{\"held\":true}"), (200, "{\"held\":false}")]).await;
        let mut stage = stage(address);
        for expected in [true, false] {
            let (completion, seq) = (CompletionId(3), Seq(1));
            stage.core.carry_out(Effect::Hold { worker: stage.worker.clone(), completion, seq, tokens: 9.0 });
            let asked = heard.recv().await.unwrap();
            assert!(
                asked.starts_with("POST /x/hold ")
                    && asked.contains("{\"request_id\":\"0.1.3.1\",\"tokens\":9}")
            );
            let Some(CoreEvent::HoldAnswered { held, .. }) = stage.told.recv().await else {
                panic!("no answer")
            };
            assert_eq!(held, expected);
        }
    });
}

#[test]
fn a_release_that_was_not_heard_is_told_again() {
    local(async {
        let (address, mut heard) = server(&[(500, ""), (500, ""), (200, "{}")]).await;
        let mut stage = stage(address);
        let (completion, seq) = (CompletionId(3), Seq(0));
        stage.core.carry_out(Effect::Release { worker: stage.worker.clone(), completion, seq });
        for _ in 0..3 {
            assert!(heard.recv().await.unwrap().contains("{\"request_id\":\"0.1.3.0\"}"));
        }
        let more = tokio::time::timeout(duration(600.0), heard.recv()).await;
        assert!(more.is_err(), "a release that was heard is not told again");
    });
}

#[test]
fn a_probe_brings_its_report_or_none() {
    local(async {
        let (address, mut heard) = server(&[(200, "{}"), (500, "")]).await;
        let mut stage = stage(address);
        for expected in [true, false] {
            stage.core.carry_out(Effect::Probe { worker: stage.worker.clone() });
            assert!(heard.recv().await.unwrap().starts_with("GET /x/probe "));
            let Some(CoreEvent::Probed { answered, .. }) = stage.told.recv().await else {
                panic!("no answer")
            };
            assert_eq!(answered, expected);
        }
        // One that never answers is told as silent within the time for a probe.
        stage.core.carry_out(Effect::Probe { worker: stage.worker.clone() });
        let Some(CoreEvent::Probed { answered, .. }) = stage.told.recv().await else { panic!("no answer") };
        assert!(!answered);
    });
}

#[test]
fn list_words_and_closed_connections_reach_their_tasks() {
    local(async {
        let (address, mut heard) = server(&[(200, "{}"), (200, "{}")]).await;
        let mut stage = stage(address);
        stage.core.carry_out(Effect::Subscribe);
        stage.core.carry_out(Effect::FetchList);
        assert_eq!(stage.list.recv().await, Some(ListRequest::Subscribe));
        assert_eq!(stage.list.recv().await, Some(ListRequest::Fetch));
        stage.core.carry_out(Effect::Probe { worker: stage.worker.clone() });
        heard.recv().await.unwrap();
        stage.told.recv().await.unwrap();
        assert_eq!(stage.core.engines.kept_for(address), 1);
        stage.core.carry_out(Effect::CloseIdle { worker: stage.worker.clone() });
        assert_eq!(stage.core.engines.kept_for(address), 0);
    });
}
