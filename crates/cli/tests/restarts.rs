//! A router process is killed and started again, with emulated servers on sockets: what it must restore from
//! its store, and what it must not trust.

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

struct Setup {
    fleet: Fleet,
    record: Record,
    dir: tempfile::TempDir,
    /// Controls the system call faults and the wall clock offset of its routers.
    faults: Control,
}

struct Router {
    child: Child,
    clients: SocketAddr,
}

impl Setup {
    async fn start() -> Setup {
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
        Setup { fleet, record, dir, faults }
    }

    async fn start_router(&self) -> Router {
        let library = paddleproxy_faults::library().expect("the fault injection library is not built");
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
        let printed = lines.next_line().await.unwrap().expect("the router exited at once");
        let printed: serde_json::Value = serde_json::from_str(&printed).unwrap();
        let clients = printed["listening"].as_str().unwrap().parse().unwrap();
        let admin: SocketAddr = printed["admin"].as_str().unwrap().parse().unwrap();
        for _ in 0..1000 {
            if get(admin, "/healthz").await.contains("200 OK") {
                return Router { child, clients };
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("the router did not become ready");
    }

    fn count(&self, matches: impl Fn(&What) -> bool) -> usize {
        self.record.lines().iter().filter(|line| matches(&line.what)).count()
    }

    /// Names of the servers that a client's request was dispatched to.
    fn servers(&self, client: &str) -> Vec<String> {
        let lines = self.record.lines();
        let server = |what: &What| match what {
            What::Dispatch { server, client: id, .. } if id == client => Some(server.clone()),
            _ => None,
        };
        lines.iter().filter_map(|line| server(&line.what)).collect()
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

fn chat_request(id: &str, key: &str, model: &str, session: &str, turns: &[String]) -> ClientRequest {
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

async fn send(router: &Router, request: &ClientRequest) -> Vec<ClientEvent> {
    send_to(router.clients, request).await
}

async fn send_to(router: SocketAddr, request: &ClientRequest) -> Vec<ClientEvent> {
    let seen = std::cell::RefCell::new(Vec::new());
    send_request(router, request, Instant::now() + Duration::from_secs(8), |what| {
        seen.borrow_mut().push(what)
    })
    .await;
    seen.into_inner()
}

fn is_finished(seen: &[ClientEvent]) -> bool {
    seen.contains(&ClientEvent::Final("finished"))
}

fn run_test(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let limited = async {
        tokio::time::timeout(Duration::from_secs(60), work).await.expect("the test took longer than 60 s")
    };
    tokio::task::LocalSet::new().block_on(&runtime, limited);
}

impl Setup {
    /// Kills the router while a request with an idempotency key is in flight: the server accepted it and
    /// stays silent.
    async fn kill_router_during_request(&self, router: &mut Router, request: &ClientRequest) {
        let names: Vec<String> = self.fleet.names().cloned().collect();
        let set_silent = |silent: bool| {
            names.iter().for_each(|name| {
                self.fleet.server(name).unwrap().change_model_faults(|faults| faults.silent = silent);
            });
        };
        set_silent(true);
        let dispatches_before = self.count(|what| matches!(what, What::Dispatch { .. }));
        let interrupted = send_to(router.clients, request);
        tokio::pin!(interrupted);
        loop {
            tokio::select! {
                seen = &mut interrupted => panic!("{seen:?}"),
                _ = sleep(Duration::from_millis(5)) => {}
            }
            if self.count(|what| matches!(what, What::Dispatch { .. })) > dispatches_before {
                break;
            }
        }
        router.child.kill().await.unwrap();
        assert!(matches!(interrupted.await.last(), Some(ClientEvent::Broke { .. })));
        set_silent(false);
    }
}

#[test]
fn work_that_may_have_run_is_not_run_again_after_a_kill() {
    run_test(async {
        let setup = Setup::start().await;
        let mut router = setup.start_router().await;
        let question = vec!["send the notice".to_owned()];
        let notice = |id: &str, key: &str| chat_request(id, key, "notice", "s", &question);
        assert!(is_finished(&send(&router, &notice("first", "key-1")).await));
        setup.kill_router_during_request(&mut router, &notice("second", "key-2")).await;
        // Twice in a row: entries that were recovered once survive the next restart as well.
        for start in 0..2 {
            let mut router = setup.start_router().await;
            let again = send(&router, &notice(&format!("again-{start}"), "key-2")).await;
            assert!(again.contains(&ClientEvent::Head { status: 409, retry_after_ms: 0.0 }), "{again:?}");
            let other =
                send(&router, &notice(&format!("other-{start}"), &format!("key-{}", 3 + start))).await;
            assert!(is_finished(&other), "{other:?}");
            router.child.kill().await.unwrap();
        }
        let first_effect =
            |what: &What| matches!(what, What::Effect { key, repeat: false, .. } if key.ends_with("key-2"));
        assert!(setup.count(first_effect) <= 1);
    });
}

/// The window in which a request with the same key is refused is a span of real time: a step of the wall
/// clock must not end it.
#[test]
fn work_that_may_have_run_is_not_run_again_after_the_wall_clock_was_stepped() {
    const HOUR_MS: i64 = 3_600_000;
    run_test(async {
        let setup = Setup::start().await;
        let question = vec!["send the notice".to_owned()];
        let notice = |id: &str, key: &str| chat_request(id, key, "notice", "s", &question);
        for (row, step_ms) in [24 * HOUR_MS, -24 * HOUR_MS].into_iter().enumerate() {
            let key = format!("key-{row}");
            let mut router = setup.start_router().await;
            // Servers that have just answered are not probed before the next dispatch.
            let before = send(&router, &notice(&format!("before-{row}"), &format!("before-{row}"))).await;
            assert!(is_finished(&before), "{before:?}");
            setup.kill_router_during_request(&mut router, &notice(&format!("first-{row}"), &key)).await;
            setup.faults.set_wall_offset_ms(step_ms).unwrap();
            let mut router = setup.start_router().await;
            let again = send(&router, &notice(&format!("again-{row}"), &key)).await;
            assert!(
                again.contains(&ClientEvent::Head { status: 409, retry_after_ms: 0.0 }),
                "{step_ms}: {again:?}"
            );
            router.child.kill().await.unwrap();
            setup.faults.set_wall_offset_ms(0).unwrap();
        }
    });
}

#[test]
fn a_session_keeps_its_home_after_a_kill_unless_the_store_is_lost() {
    run_test(async {
        let setup = Setup::start().await;
        let text = |turn: usize| format!("turn {turn} {}", "abc ".repeat(4000));
        let mut turns = vec![text(0)];
        let mut router = setup.start_router().await;
        assert!(is_finished(&send(&router, &chat_request("t0", "t0", "chat-large", "s", &turns)).await));
        turns.extend(["an answer".to_owned(), "and then?".to_owned()]);
        assert!(is_finished(&send(&router, &chat_request("t1", "t1", "chat-large", "s", &turns)).await));
        let home = setup.servers("t1");
        assert!(home.len() == 1 && home[0].contains("mixed"), "{home:?}");
        // Cache entries are written in the background; wait until they are on disk.
        sleep(Duration::from_millis(300)).await;
        router.child.kill().await.unwrap();
        let mut router = setup.start_router().await;
        assert!(is_finished(&send(&router, &chat_request("t2", "t2", "chat-large", "s", &turns)).await));
        assert_eq!(setup.servers("t2"), home);
        router.child.kill().await.unwrap();
        // Without its store the router knows nothing of the session and prefills at a reader.
        std::fs::remove_dir_all(setup.dir.path().join("store")).unwrap();
        let router = setup.start_router().await;
        assert!(is_finished(&send(&router, &chat_request("t3", "t3", "chat-large", "s", &turns)).await));
        assert!(
            setup.servers("t3").iter().any(|server| server.contains("reader")),
            "{:?}",
            setup.servers("t3")
        );
    });
}

/// Runs `paddleproxy store` and returns its exit code and standard output.
fn store_command(dir: &Path, command: &str) -> (Option<i32>, String) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_paddleproxy"))
        .args(["store", command])
        .arg(dir)
        .output()
        .unwrap();
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn a_damaged_store_is_reported_and_the_router_starts_without_the_damaged_part() {
    run_test(async {
        let setup = Setup::start().await;
        let mut router = setup.start_router().await;
        let question = vec!["send the notice".to_owned()];
        for key in ["k1", "k2", "k3"] {
            assert!(is_finished(&send(&router, &chat_request(key, key, "notice", "s", &question)).await));
        }
        // A second process on the same directory is refused.
        let second = Command::new(env!("CARGO_BIN_EXE_paddleproxy"))
            .args(["serve", "--config"])
            .arg(setup.dir.path().join("router.kdl"))
            .output()
            .await
            .unwrap();
        let message = String::from_utf8_lossy(&second.stderr).into_owned();
        assert!(second.status.code() == Some(2) && message.contains("another process holds"), "{message}");
        router.child.kill().await.unwrap();
        let dir = setup.dir.path().join("store");
        assert_eq!(store_command(&dir, "check").0, Some(0));
        assert!(
            store_command(&dir, "dump").1.contains("tokened app/k2"),
            "{}",
            store_command(&dir, "dump").1
        );
        let files = std::fs::read_dir(&dir).unwrap().map(|entry| entry.unwrap().path());
        let segment = files.filter(|path| path.extension().is_some_and(|end| end == "log")).max().unwrap();
        let mut bytes = std::fs::read(&segment).unwrap();
        let middle = 32 + (bytes.len() - 32) / 2;
        bytes[middle] ^= 1;
        std::fs::write(&segment, bytes).unwrap();
        assert!(store_command(&dir, "check").1.contains("at byte"), "{}", store_command(&dir, "check").1);
        let router = setup.start_router().await;
        assert!(is_finished(&send(&router, &chat_request("after", "after", "notice", "s", &question)).await));
    });
}

/// At shutdown, accept fails for want of file descriptors while a connection waits in the queue: the time
/// limit for open answers still runs, and the router exits.
#[test]
fn a_router_that_can_accept_no_connection_exits_in_time() {
    run_test(async {
        let setup = Setup::start().await;
        let mut router = setup.start_router().await;
        setup.faults.set_rate(paddleproxy_faults::Fault::AcceptNoFiles, 1.0).unwrap();
        let _queued = tokio::net::TcpStream::connect(router.clients).await.unwrap();
        let process = router.child.id().unwrap().to_string();
        assert!(Command::new("kill").args(["-TERM", &process]).status().await.unwrap().success());
        // `stop-within` is 3 s.
        let ended = tokio::time::timeout(Duration::from_secs(5), router.child.wait()).await;
        assert!(ended.expect("the router did not exit in time").unwrap().success());
    });
}
