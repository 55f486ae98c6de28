//! A router's process killed outright and started again, with stand-ins on sockets: what it must know, and what it may
//! not believe.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use paddleproxy_day::client::{send_request, ClientEvent, ClientRequest};
use paddleproxy_faults::{Control, CONTROL_VARIABLE};
use paddleproxy_fleet::record::{Record, What};
use paddleproxy_fleet::Fleet;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{sleep, Instant};

const ROUTER: &str = include_str!("../../../examples/router.kdl");
const FLEET: &str = include_str!("../../../examples/fleet.kdl");

struct Stage {
    fleet: Fleet,
    record: Record,
    dir: tempfile::TempDir,
    /// What fails in its routers, and how far their wall clock is off.
    faults: Control,
}

struct Router {
    child: Child,
    clients: SocketAddr,
}

impl Stage {
    async fn start() -> Stage {
        let record = Record::default();
        let settings = FLEET.replace("127.0.0.1:8090", "127.0.0.1:0");
        let settings = paddleproxy_settings::fleet::parse("fleet", &settings).unwrap();
        let fleet = Fleet::start(settings, record.clone()).await.unwrap();
        let dir = tempfile::tempdir().unwrap();
        let text = ROUTER
            .replace("127.0.0.1:8080", "127.0.0.1:0")
            .replace("127.0.0.1:8081", "127.0.0.1:0")
            .replace("127.0.0.1:8090", &fleet.list_address.to_string())
            .replace("state/router-0", &dir.path().display().to_string())
            .replace("effect \"non-idempotent\"", "effect \"non-idempotent\"\n    remembered #true");
        std::fs::write(dir.path().join("router.kdl"), text).unwrap();
        let faults = Control::create(&dir.path().join("faults"), 1).unwrap();
        Stage { fleet, record, dir, faults }
    }

    async fn router(&self) -> Router {
        let library = paddleproxy_faults::library().expect("the fault-injecting library is built");
        let mut child = Command::new(env!("CARGO_BIN_EXE_paddleproxy"))
            .args(["serve", "--config"])
            .arg(self.dir.path().join("router.kdl"))
            .env("LD_PRELOAD", library)
            .env(CONTROL_VARIABLE, self.faults.path())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let said = lines.next_line().await.unwrap().expect("it ended at once");
        let said: serde_json::Value = serde_json::from_str(&said).unwrap();
        let clients = said["listening"].as_str().unwrap().parse().unwrap();
        let admin: SocketAddr = said["admin"].as_str().unwrap().parse().unwrap();
        for _ in 0..1000 {
            if get(admin, "/healthz").await.contains("200 OK") {
                return Router { child, clients };
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("it never was ready");
    }

    fn count(&self, of: impl Fn(&What) -> bool) -> usize {
        self.record.lines().iter().filter(|line| of(&line.what)).count()
    }

    /// Where the dispatches of a client's request went.
    fn servers(&self, client: &str) -> Vec<String> {
        let lines = self.record.lines();
        let of = |what: &What| match what {
            What::Dispatch { server, client: of, .. } if of == client => Some(server.clone()),
            _ => None,
        };
        lines.iter().filter_map(|line| of(&line.what)).collect()
    }
}

async fn get(address: SocketAddr, path: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let text = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

fn asking(id: &str, key: &str, model: &str, session: &str, turns: &[String]) -> ClientRequest {
    let turns: Vec<_> = turns
        .iter()
        .enumerate()
        .map(|(row, text)| {
            let role = if row % 2 == 0 { "user" } else { "assistant" };
            serde_json::json!({ "role": role, "content": text })
        })
        .collect();
    let body = serde_json::json!({ "model": model, "max_tokens": 8, "stream": true, "messages": turns });
    ClientRequest {
        path: String::new(),
        key: "app-key".into(),
        session: session.into(),
        id: id.into(),
        effect_key: key.into(),
        timeout_ms: 5000.0,
        body: body.to_string(),
    }
}

async fn asked(router: &Router, asking: &ClientRequest) -> Vec<ClientEvent> {
    asked_at(router.clients, asking).await
}

async fn asked_at(router: SocketAddr, asking: &ClientRequest) -> Vec<ClientEvent> {
    let seen = std::cell::RefCell::new(Vec::new());
    send_request(router, asking, Instant::now() + Duration::from_secs(8), |what| {
        seen.borrow_mut().push(what)
    })
    .await;
    seen.into_inner()
}

fn finished(seen: &[ClientEvent]) -> bool {
    seen.contains(&ClientEvent::Final("finished"))
}

fn local(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let bounded = async { tokio::time::timeout(Duration::from_secs(60), work).await.expect("it hangs") };
    tokio::task::LocalSet::new().block_on(&runtime, bounded);
}

impl Stage {
    /// Work with a key is under way when its router is killed: its server took it and says nothing.
    async fn killed_under_way(&self, router: &mut Router, asking: &ClientRequest) {
        let names: Vec<String> = self.fleet.names().cloned().collect();
        let silent = |silent: bool| {
            names.iter().for_each(|name| {
                self.fleet.server(name).unwrap().change_model_faults(|faults| faults.silent = silent);
            });
        };
        silent(true);
        let before = self.count(|what| matches!(what, What::Dispatch { .. }));
        let cut = asked_at(router.clients, asking);
        tokio::pin!(cut);
        loop {
            tokio::select! {
                seen = &mut cut => panic!("{seen:?}"),
                _ = sleep(Duration::from_millis(5)) => {}
            }
            if self.count(|what| matches!(what, What::Dispatch { .. })) > before {
                break;
            }
        }
        router.child.kill().await.unwrap();
        assert!(matches!(cut.await.last(), Some(ClientEvent::Broke { .. })));
        silent(false);
    }
}

#[test]
fn work_that_may_have_run_is_not_run_again_after_a_kill() {
    local(async {
        let stage = Stage::start().await;
        let mut router = stage.router().await;
        let question = vec!["send the notice".to_owned()];
        let notice = |id: &str, key: &str| asking(id, key, "notice", "s", &question);
        assert!(finished(&asked(&router, &notice("first", "key-1")).await));
        stage.killed_under_way(&mut router, &notice("second", "key-2")).await;
        // Twice in a row: what was recovered is kept on.
        for start in 0..2 {
            let mut router = stage.router().await;
            let again = asked(&router, &notice(&format!("again-{start}"), "key-2")).await;
            assert!(again.contains(&ClientEvent::Head { status: 409, retry_after_ms: 0.0 }), "{again:?}");
            let other =
                asked(&router, &notice(&format!("other-{start}"), &format!("key-{}", 3 + start))).await;
            assert!(finished(&other), "{other:?}");
            router.child.kill().await.unwrap();
        }
        let of =
            |what: &What| matches!(what, What::Effect { key, repeat: false, .. } if key.ends_with("key-2"));
        assert!(stage.count(of) <= 1);
    });
}

/// Windows are spans of real time: a wall clock that is stepped ends none of them.
#[test]
fn work_that_may_have_run_is_not_run_again_after_the_wall_clock_was_stepped() {
    const HOUR_MS: i64 = 3_600_000;
    local(async {
        let stage = Stage::start().await;
        let question = vec!["send the notice".to_owned()];
        let notice = |id: &str, key: &str| asking(id, key, "notice", "s", &question);
        for (row, step_ms) in [24 * HOUR_MS, -24 * HOUR_MS].into_iter().enumerate() {
            let key = format!("key-{row}");
            let mut router = stage.router().await;
            // Servers that were just heard are not asked whether they are there.
            let before = asked(&router, &notice(&format!("before-{row}"), &format!("before-{row}"))).await;
            assert!(finished(&before), "{before:?}");
            stage.killed_under_way(&mut router, &notice(&format!("first-{row}"), &key)).await;
            stage.faults.set_wall_offset_ms(step_ms).unwrap();
            let mut router = stage.router().await;
            let again = asked(&router, &notice(&format!("again-{row}"), &key)).await;
            assert!(
                again.contains(&ClientEvent::Head { status: 409, retry_after_ms: 0.0 }),
                "{step_ms}: {again:?}"
            );
            router.child.kill().await.unwrap();
            stage.faults.set_wall_offset_ms(0).unwrap();
        }
    });
}

#[test]
fn a_turn_finds_its_home_after_a_kill_with_the_store_and_a_reader_without() {
    local(async {
        let stage = Stage::start().await;
        let text = |turn: usize| format!("turn {turn} {}", "abc ".repeat(4000));
        let mut turns = vec![text(0)];
        let mut router = stage.router().await;
        assert!(finished(&asked(&router, &asking("t0", "t0", "chat-large", "s", &turns)).await));
        turns.extend(["an answer".to_owned(), "and then?".to_owned()]);
        assert!(finished(&asked(&router, &asking("t1", "t1", "chat-large", "s", &turns)).await));
        let home = stage.servers("t1");
        assert!(home.len() == 1 && home[0].contains("mixed"), "{home:?}");
        // What is written behind is there in a moment.
        sleep(Duration::from_millis(300)).await;
        router.child.kill().await.unwrap();
        let mut router = stage.router().await;
        assert!(finished(&asked(&router, &asking("t2", "t2", "chat-large", "s", &turns)).await));
        assert_eq!(stage.servers("t2"), home);
        router.child.kill().await.unwrap();
        // Without its store it knows nothing of the session.
        std::fs::remove_dir_all(stage.dir.path().join("store")).unwrap();
        let router = stage.router().await;
        assert!(finished(&asked(&router, &asking("t3", "t3", "chat-large", "s", &turns)).await));
        assert!(
            stage.servers("t3").iter().any(|server| server.contains("reader")),
            "{:?}",
            stage.servers("t3")
        );
    });
}

fn output(dir: &Path, what: &str) -> (Option<i32>, String) {
    let done = std::process::Command::new(env!("CARGO_BIN_EXE_paddleproxy"))
        .args(["store", what])
        .arg(dir)
        .output()
        .unwrap();
    (done.status.code(), String::from_utf8_lossy(&done.stdout).into_owned())
}

#[test]
fn a_damaged_store_is_said_loudly_kept_aside_and_done_without() {
    local(async {
        let stage = Stage::start().await;
        let mut router = stage.router().await;
        let question = vec!["send the notice".to_owned()];
        for key in ["k1", "k2", "k3"] {
            assert!(finished(&asked(&router, &asking(key, key, "notice", "s", &question)).await));
        }
        // A second process on the same directory is refused.
        let second = Command::new(env!("CARGO_BIN_EXE_paddleproxy"))
            .args(["serve", "--config"])
            .arg(stage.dir.path().join("router.kdl"))
            .output()
            .await
            .unwrap();
        let said = String::from_utf8_lossy(&second.stderr).into_owned();
        assert!(second.status.code() == Some(2) && said.contains("another process holds"), "{said}");
        router.child.kill().await.unwrap();
        let dir = stage.dir.path().join("store");
        assert_eq!(output(&dir, "check").0, Some(0));
        assert!(output(&dir, "dump").1.contains("tokened app/k2"), "{}", output(&dir, "dump").1);
        let files = std::fs::read_dir(&dir).unwrap().map(|entry| entry.unwrap().path());
        let segment = files.filter(|path| path.extension().is_some_and(|end| end == "log")).max().unwrap();
        let mut bytes = std::fs::read(&segment).unwrap();
        let middle = 32 + (bytes.len() - 32) / 2;
        bytes[middle] ^= 1;
        std::fs::write(&segment, bytes).unwrap();
        assert!(output(&dir, "check").1.contains("at byte"), "{}", output(&dir, "check").1);
        let router = stage.router().await;
        assert!(finished(&asked(&router, &asking("after", "after", "notice", "s", &question)).await));
    });
}

/// Descriptors are used up as a router is told to end, and somebody waits to be accepted: its time for open answers runs all the
/// same, and it ends.
#[test]
fn a_router_that_can_accept_nobody_ends_in_time() {
    local(async {
        let stage = Stage::start().await;
        let mut router = stage.router().await;
        stage.faults.set_rate(paddleproxy_faults::Fault::AcceptNoFiles, 1.0).unwrap();
        let _waits = tokio::net::TcpStream::connect(router.clients).await.unwrap();
        let process = router.child.id().unwrap().to_string();
        assert!(Command::new("kill").args(["-TERM", &process]).status().await.unwrap().success());
        // `stop-within` is 3 s.
        let ended = tokio::time::timeout(Duration::from_secs(5), router.child.wait()).await;
        assert!(ended.expect("it ends").unwrap().success());
    });
}
