//! Crossings at clients' connections, on real sockets. The test and the router share one thread, and the test writes or
//! closes on blocking sockets between two polls: both sides have then acted before the router looks again.

use std::io::{Read, Write};
use std::net::{Shutdown as Ending, SocketAddr, TcpStream as Blocking};
use std::time::Duration;

use paddleproxy::shutdown::GracePeriod;
use paddleproxy_platform::config::Limits;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::*;
use crate::messages::{CoreEvent, Reply};

const SETTINGS: &str = r#"{
    "balancers": 1, "slot_no": 0, "my_zone": "a", "localities": ["a"], "machine_types": ["combined"],
    "services": [{ "name": "chat", "slo_s": 0.4, "deadline_s": 20.0, "idempotency": "repeatable",
                   "dedup_scope": "all", "window_s": 5.0, "importance": 1.0 }],
    "caps": { "cancel": true, "second_copies": true, "retry_after": true, "max_retry_after_s": 0.5,
              "max_attempts": 5, "conn_idle_s": 30.0, "connect_timeout_s": 0.25 },
    "family_info": { "aim_us_per_1000_prompt_tokens": [0.0], "holds_allowed": true, "kv_tokens": [200000.0],
                     "pin_limit_s": 0.5, "role_by_kind": ["both"], "self_prefill": true },
    "invariants": { "cold_s": 12.0, "cold_share": 0.3, "fall_multiple": 2.5, "fall_s": 2.0 },
    "resolution_s": 0.002 }"#;

/// A frontend whose core refuses every request with a time to come back, once it is let.
struct Scene {
    frontend: Rc<Frontend>,
    life: watch::Sender<Lifecycle>,
    address: SocketAddr,
    /// Requests that reached the core.
    arrived: Rc<Cell<usize>>,
    /// Whether the core answers.
    answers: watch::Sender<bool>,
}

impl Scene {
    async fn start(sockets: usize) -> Scene {
        let provision = Rc::new(paddleproxy_platform::settings::parse(SETTINGS).unwrap());
        let shares = Shares::of(&Limits { cores: 1.0, memory_mb: 64.0, sockets });
        let (core, mut told) = mpsc::channel(64);
        let (life, lives) = watch::channel(Lifecycle::Ready);
        let (answers, mut answering) = watch::channel(true);
        let arrived = Rc::new(Cell::new(0));
        let count = arrived.clone();
        tokio::task::spawn_local(async move {
            while let Some(next) = told.recv().await {
                let CoreEvent::Arrived { pending_answer, .. } = next else { continue };
                count.set(count.get() + 1);
                let _ = answering.wait_for(|answers| *answers).await;
                pending_answer.give(Reply::RateLimited { retry_after_ms: 100.0 });
            }
        });
        let frontend = Rc::new(Frontend::new(Clock::start(), core, provision, shares, lives));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(frontend.clone().listen(listener));
        Scene { frontend, life, address, arrived, answers }
    }

    /// Until every task has come to rest.
    async fn settle(&self) {
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
    }

    /// A kept connection that has had one answer.
    async fn resting(&self) -> Blocking {
        let mut client = connect(self.address);
        client.write_all(request("first").as_bytes()).unwrap();
        assert!(self.answer(&client).await.starts_with("HTTP/1.1 429 "));
        self.settle().await;
        client
    }

    /// One answer without closing.
    async fn answer(&self, client: &Blocking) -> String {
        self.read(client, |text| text.ends_with('}')).await
    }

    /// All that comes until the router closes.
    async fn rest(&self, client: &Blocking) -> String {
        self.read(client, |_| false).await
    }

    async fn read(&self, client: &Blocking, enough: impl Fn(&str) -> bool) -> String {
        client.set_nonblocking(true).unwrap();
        let reads = async {
            let mut text = Vec::new();
            loop {
                let mut part = [0; 1024];
                match (&*client).read(&mut part) {
                    Ok(0) => break,
                    Ok(read) => text.extend_from_slice(&part[..read]),
                    Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => {
                        sleep(Duration::from_millis(1)).await;
                    }
                    Err(cause) => panic!("after {:?}: {cause}", String::from_utf8_lossy(&text)),
                }
                if enough(&String::from_utf8_lossy(&text)) {
                    break;
                }
            }
            String::from_utf8(text).unwrap()
        };
        timeout(Duration::from_secs(20), reads).await.expect("neither an answer nor a close")
    }
}

fn connect(address: SocketAddr) -> Blocking {
    let client = Blocking::connect(address).unwrap();
    client.set_nodelay(true).unwrap();
    client
}

fn request(id: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Kind: chat\r\nReq-Deadline: 8.0\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    )
}

fn local(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, work);
}

/// The system has accepted them, the router has not: a listener that closes would reset them, requests and all. They came too
/// late to be sent on.
#[test]
fn who_was_accepted_before_the_listener_closed_is_answered() {
    local(async {
        let scene = Scene::start(256).await;
        scene.settle().await;
        let clients: Vec<_> = (0..9).map(|_| connect(scene.address)).collect();
        for (number, mut client) in clients.iter().enumerate() {
            client.write_all(request(&format!("late-{number}")).as_bytes()).unwrap();
        }
        scene.life.send_replace(Lifecycle::Draining);
        for client in &clients {
            let answer = scene.rest(client).await;
            assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Connection: close"), "{answer}");
            assert!(answer.contains("Retry-After: "), "{answer}");
        }
        assert_eq!(scene.arrived.get(), 0, "nothing is sent on");
        assert!(Blocking::connect(scene.address).is_err(), "nobody listens any more");
    });
}

#[test]
fn a_request_that_crosses_the_close_of_a_resting_connection_is_answered() {
    local(async {
        // Both orders: to the router they are one moment.
        for closes_first in [true, false] {
            let scene = Scene::start(256).await;
            let mut client = scene.resting().await;
            if closes_first {
                scene.life.send_replace(Lifecycle::Draining);
            }
            client.write_all(request("crossing").as_bytes()).unwrap();
            if !closes_first {
                scene.life.send_replace(Lifecycle::Draining);
            }
            let answer = scene.rest(&client).await;
            assert!(answer.starts_with("HTTP/1.1 503 "), "{closes_first}: {answer}");
            assert_eq!(scene.arrived.get(), 1, "it is sent nowhere");
        }
    });
}

/// What is read after the router has ended its sending can't be answered any more: it goes nowhere, and its client has
/// the end to see instead of a reset.
#[test]
fn a_request_behind_the_end_of_sending_is_not_taken_on() {
    local(async {
        let scene = Scene::start(256).await;
        let mut client = scene.resting().await;
        scene.life.send_replace(Lifecycle::Draining);
        assert_eq!(scene.rest(&client).await, "");
        client.write_all(request("too-late").as_bytes()).unwrap();
        assert_eq!(scene.rest(&client).await, "", "no reset");
        scene.settle().await;
        assert_eq!(scene.arrived.get(), 1);
    });
}

/// Descriptors run short, and the one that rests longest has just sent its request.
#[test]
fn a_request_that_crosses_the_taking_back_of_its_descriptor_is_answered() {
    local(async {
        let scene = Scene::start(64).await;
        let mut client = scene.resting().await;
        client.write_all(request("crossing").as_bytes()).unwrap();
        assert!(scene.frontend.give_up_one());
        let answer = scene.rest(&client).await;
        assert!(answer.starts_with("HTTP/1.1 429 ") && answer.contains("Connection: close"), "{answer}");
    });
}

/// Several requests sent ahead were read with the first one: each has to get its answer although the router closes.
#[test]
fn requests_read_ahead_are_answered_before_a_router_closes() {
    local(async {
        let scene = Scene::start(256).await;
        scene.answers.send_replace(false);
        let mut client = connect(scene.address);
        let ahead = ["a1", "a2", "a3"].map(request).concat();
        client.write_all(ahead.as_bytes()).unwrap();
        while scene.arrived.get() == 0 {
            scene.settle().await;
        }
        scene.life.send_replace(Lifecycle::Draining);
        scene.answers.send_replace(true);
        let answers = scene.rest(&client).await;
        assert_eq!(answers.matches("HTTP/1.1 429 ").count(), 1, "the one that was taken: {answers}");
        assert_eq!(answers.matches("HTTP/1.1 503 ").count(), 2, "those behind it: {answers}");
        assert_eq!(answers.matches("Connection: close").count(), 1, "{answers}");
        assert!(answers.rfind("Connection: close") > answers.rfind("HTTP/1.1 503 "), "{answers}");
        assert_eq!(scene.arrived.get(), 1);
    });
}

/// The schedule holds by the clock, before the router's next stage is told to anybody.
#[test]
fn by_the_clock_nothing_is_taken_late_in_a_shutdown() {
    local(async {
        let scene = Scene::start(256).await;
        let mut client = scene.resting().await;
        let grace_period = GracePeriod { answers_owed_after_ms: 300.0, kill_after_ms: 1000.0 };
        let shutdown = Shutdown::new(scene.frontend.clock.now_ms(), grace_period);
        scene.frontend.stop(shutdown);
        client.write_all(request("in-time").as_bytes()).unwrap();
        assert!(scene.answer(&client).await.starts_with("HTTP/1.1 429 "));
        tokio::time::sleep_until(scene.frontend.clock.at(shutdown.accepts_until_ms + 5.0)).await;
        client.write_all(request("late").as_bytes()).unwrap();
        assert!(scene.answer(&client).await.starts_with("HTTP/1.1 503 "));
        assert_eq!(scene.arrived.get(), 2);
    });
}

/// Half a request came before the last answers were given, its rest after: it is refused at once and sent nowhere.
#[test]
fn what_comes_whole_after_the_last_answers_is_refused_at_once() {
    local(async {
        let scene = Scene::start(256).await;
        let (mut half, silent) = (connect(scene.address), connect(scene.address));
        let text = request("half");
        half.write_all(&text.as_bytes()[..60]).unwrap();
        scene.settle().await;
        scene.life.send_replace(Lifecycle::Draining);
        scene.settle().await;
        scene.life.send_replace(Lifecycle::Refusing);
        half.write_all(&text.as_bytes()[60..]).unwrap();
        let answer = scene.rest(&half).await;
        assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Connection: close"), "{answer}");
        assert_eq!(scene.rest(&silent).await, "", "who has said nothing is not waited for");
        assert_eq!(scene.arrived.get(), 0);
    });
}

/// The rest of it may come in the moment of the kill, and would have no answer.
#[test]
fn half_a_request_is_refused_with_the_last_answers() {
    local(async {
        let scene = Scene::start(256).await;
        let mut half = connect(scene.address);
        half.write_all(&request("half").as_bytes()[..60]).unwrap();
        scene.settle().await;
        scene.life.send_replace(Lifecycle::Draining);
        scene.settle().await;
        scene.life.send_replace(Lifecycle::Refusing);
        let asked = Instant::now();
        let answer = scene.rest(&half).await;
        assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: "), "{answer}");
        assert!(asked.elapsed() < Duration::from_millis(150), "{:?}", asked.elapsed());
    });
}

/// A client that sends more ahead than is read has gone all the same when it closes.
#[test]
fn the_end_of_a_connection_shows_behind_bytes_that_are_not_read() {
    local(async {
        let scene = Scene::start(256).await;
        scene.answers.send_replace(false);
        let mut client = connect(scene.address);
        client.write_all(request("a1").as_bytes()).unwrap();
        client.write_all(&[b'x'; 24 * 1024]).unwrap();
        while scene.arrived.get() == 0 {
            scene.settle().await;
        }
        assert_eq!(scene.frontend.standing.get(), 1);
        client.shutdown(Ending::Both).unwrap();
        let left = async {
            while scene.frontend.standing.get() > 0 {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(Duration::from_secs(20), left).await.expect("the client has gone");
    });
}

/// A want that passes by itself, and one that closing a connection does not help, cost nobody a connection.
#[test]
fn only_a_lasting_want_of_own_descriptors_makes_a_connection_give_way() {
    let mut failures = AcceptFailures::default();
    let error = std::io::Error::from_raw_os_error;
    for _ in 0..50 {
        for other in
            [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::ECONNABORTED, libc::EPROTO, libc::EINTR]
        {
            assert!(!failures.failed(&error(other)));
        }
    }
    assert!(!failures.failed(&error(libc::EMFILE)), "it may pass");
    let gave_way = (0..STARVED).filter(|_| failures.failed(&error(libc::EMFILE))).count();
    assert!(gave_way >= 1, "it lasts");
    failures.succeeded();
    assert!(failures.failed(&error(libc::EMFILE)), "it comes again at once");
}

/// The rest of its request may come in the moment in which it gives way.
#[test]
fn half_a_request_that_gives_way_gets_an_answer() {
    local(async {
        let scene = Scene::start(256).await;
        let mut client = connect(scene.address);
        let request = request("half");
        client.write_all(&request.as_bytes()[..40]).unwrap();
        scene.settle().await;
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert!(scene.frontend.give_up_one());
        client.write_all(&request.as_bytes()[40..]).unwrap();
        let answer = scene.rest(&client).await;
        assert!(answer.starts_with("HTTP/1.1 "), "'{answer}'");
    });
}
