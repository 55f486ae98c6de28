//! Races on client connections, on real sockets. The test and the router share one thread, and the test
//! writes or closes on blocking sockets between two polls, so both sides have acted before the router polls
//! its sockets again.

use std::io::{Read, Write};
use std::net::{Shutdown as SocketShutdown, SocketAddr, TcpStream as BlockingStream};
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

/// A frontend whose core rate-limits every request with a retry delay, once answers are enabled.
struct Fixture {
    frontend: Rc<Frontend>,
    lifecycle: watch::Sender<Lifecycle>,
    address: SocketAddr,
    /// Number of requests that reached the core.
    arrived: Rc<Cell<usize>>,
    /// Whether the core answers.
    answers_enabled: watch::Sender<bool>,
}

impl Fixture {
    async fn start(sockets: usize) -> Fixture {
        let platform_settings = Rc::new(paddleproxy_platform::settings::parse(SETTINGS).unwrap());
        let shares = Shares::of(&Limits { cores: 1.0, memory_mb: 64.0, sockets });
        let (core, mut events) = mpsc::channel(64);
        let (lifecycle, lifecycle_changes) = watch::channel(Lifecycle::Ready);
        let (answers_enabled, mut enabled) = watch::channel(true);
        let arrived = Rc::new(Cell::new(0));
        let count = arrived.clone();
        tokio::task::spawn_local(async move {
            while let Some(event) = events.recv().await {
                let CoreEvent::Arrived { pending_answer, .. } = event else { continue };
                count.set(count.get() + 1);
                let _ = enabled.wait_for(|enabled| *enabled).await;
                pending_answer.send(Reply::RateLimited { retry_after_ms: 100.0 });
            }
        });
        let frontend =
            Rc::new(Frontend::new(Clock::start(), core, platform_settings, shares, lifecycle_changes));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(frontend.clone().accept_connections(listener));
        Fixture { frontend, lifecycle, address, arrived, answers_enabled }
    }

    /// Yields until every task is idle.
    async fn settle(&self) {
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
    }

    /// A kept-alive connection on which one request was answered.
    async fn idle_connection(&self) -> BlockingStream {
        let mut client = connect(self.address);
        client.write_all(request("first").as_bytes()).unwrap();
        assert!(self.read_answer(&client).await.starts_with("HTTP/1.1 429 "));
        self.settle().await;
        client
    }

    /// Reads one answer without closing.
    async fn read_answer(&self, client: &BlockingStream) -> String {
        self.read(client, |text| text.ends_with('}')).await
    }

    /// Reads until the router closes.
    async fn read_to_end(&self, client: &BlockingStream) -> String {
        self.read(client, |_| false).await
    }

    async fn read(&self, client: &BlockingStream, enough: impl Fn(&str) -> bool) -> String {
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
        timeout(Duration::from_secs(20), reads).await.expect("neither an answer nor a close in time")
    }
}

fn connect(address: SocketAddr) -> BlockingStream {
    let client = BlockingStream::connect(address).unwrap();
    client.set_nodelay(true).unwrap();
    client
}

fn request(id: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Kind: chat\r\n\
         Req-Deadline: 8.0\r\nContent-Length: 2\r\n\r\n{{}}"
    )
}

fn run_local(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, work);
}

/// The kernel has accepted these connections, the router has not yet. A plain close of the listener would
/// reset them with their requests. They arrive too late to be forwarded, so they are rejected.
#[test]
fn connections_accepted_before_the_listener_closed_are_answered() {
    run_local(async {
        let fixture = Fixture::start(256).await;
        fixture.settle().await;
        let clients: Vec<_> = (0..9).map(|_| connect(fixture.address)).collect();
        for (number, mut client) in clients.iter().enumerate() {
            client.write_all(request(&format!("late-{number}")).as_bytes()).unwrap();
        }
        fixture.lifecycle.send_replace(Lifecycle::Draining);
        for client in &clients {
            let answer = fixture.read_to_end(client).await;
            assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Connection: close"), "{answer}");
            assert!(answer.contains("Retry-After: "), "{answer}");
        }
        assert_eq!(fixture.arrived.get(), 0, "no request is forwarded");
        assert!(BlockingStream::connect(fixture.address).is_err(), "the listener is closed");
    });
}

#[test]
fn a_request_that_races_the_close_of_an_idle_connection_is_answered() {
    run_local(async {
        // In both orders, which look the same to the router: it polls only after both.
        for drain_first in [true, false] {
            let fixture = Fixture::start(256).await;
            let mut client = fixture.idle_connection().await;
            if drain_first {
                fixture.lifecycle.send_replace(Lifecycle::Draining);
            }
            client.write_all(request("crossing").as_bytes()).unwrap();
            if !drain_first {
                fixture.lifecycle.send_replace(Lifecycle::Draining);
            }
            let answer = fixture.read_to_end(&client).await;
            assert!(answer.starts_with("HTTP/1.1 503 "), "{drain_first}: {answer}");
            assert_eq!(fixture.arrived.get(), 1, "it is not forwarded");
        }
    });
}

/// A request that arrives after the router has shut down its sending side can't be answered. It must not be
/// forwarded, and its client must see the end of the connection, not a reset.
#[test]
fn a_request_after_the_sending_side_closed_is_not_processed() {
    run_local(async {
        let fixture = Fixture::start(256).await;
        let mut client = fixture.idle_connection().await;
        fixture.lifecycle.send_replace(Lifecycle::Draining);
        assert_eq!(fixture.read_to_end(&client).await, "");
        client.write_all(request("too-late").as_bytes()).unwrap();
        assert_eq!(fixture.read_to_end(&client).await, "", "a close without a reset");
        fixture.settle().await;
        assert_eq!(fixture.arrived.get(), 1);
    });
}

/// Descriptors run short, and the longest idle connection is evicted just after its client sent a request.
#[test]
fn a_request_that_races_the_eviction_of_its_connection_is_answered() {
    run_local(async {
        let fixture = Fixture::start(64).await;
        let mut client = fixture.idle_connection().await;
        client.write_all(request("crossing").as_bytes()).unwrap();
        assert!(fixture.frontend.evict_one());
        let answer = fixture.read_to_end(&client).await;
        assert!(answer.starts_with("HTTP/1.1 429 ") && answer.contains("Connection: close"), "{answer}");
    });
}

/// Several pipelined requests were read together with the first one. Each must be answered although the
/// router closes.
#[test]
fn pipelined_requests_are_answered_before_a_router_closes() {
    run_local(async {
        let fixture = Fixture::start(256).await;
        fixture.answers_enabled.send_replace(false);
        let mut client = connect(fixture.address);
        let ahead = ["a1", "a2", "a3"].map(request).concat();
        client.write_all(ahead.as_bytes()).unwrap();
        while fixture.arrived.get() == 0 {
            fixture.settle().await;
        }
        fixture.lifecycle.send_replace(Lifecycle::Draining);
        fixture.answers_enabled.send_replace(true);
        let answers = fixture.read_to_end(&client).await;
        assert_eq!(answers.matches("HTTP/1.1 429 ").count(), 1, "the forwarded one: {answers}");
        assert_eq!(answers.matches("HTTP/1.1 503 ").count(), 2, "the pipelined ones: {answers}");
        assert_eq!(answers.matches("Connection: close").count(), 1, "{answers}");
        assert!(answers.rfind("Connection: close") > answers.rfind("HTTP/1.1 503 "), "{answers}");
        assert_eq!(fixture.arrived.get(), 1);
    });
}

/// The schedule is enforced by the clock, even before the next stage is announced to any task.
#[test]
fn no_request_is_accepted_after_the_scheduled_time_of_a_shutdown() {
    run_local(async {
        let fixture = Fixture::start(256).await;
        let mut client = fixture.idle_connection().await;
        let grace_period = GracePeriod { answers_owed_after_ms: 300.0, kill_after_ms: 1000.0 };
        let shutdown = Shutdown::new(fixture.frontend.clock.now_ms(), grace_period);
        fixture.frontend.begin_shutdown(shutdown);
        client.write_all(request("in-time").as_bytes()).unwrap();
        assert!(fixture.read_answer(&client).await.starts_with("HTTP/1.1 429 "));
        tokio::time::sleep_until(fixture.frontend.clock.at(shutdown.accepts_until_ms + 5.0)).await;
        client.write_all(request("late").as_bytes()).unwrap();
        assert!(fixture.read_answer(&client).await.starts_with("HTTP/1.1 503 "));
        assert_eq!(fixture.arrived.get(), 2);
    });
}

/// One half of a request arrives before the final answers are sent, the rest after. It is rejected at once
/// and not forwarded.
#[test]
fn a_request_completed_after_the_final_answers_is_rejected_at_once() {
    run_local(async {
        let fixture = Fixture::start(256).await;
        let (mut half, silent) = (connect(fixture.address), connect(fixture.address));
        let text = request("half");
        half.write_all(&text.as_bytes()[..60]).unwrap();
        fixture.settle().await;
        fixture.lifecycle.send_replace(Lifecycle::Draining);
        fixture.settle().await;
        fixture.lifecycle.send_replace(Lifecycle::Refusing);
        half.write_all(&text.as_bytes()[60..]).unwrap();
        let answer = fixture.read_to_end(&half).await;
        assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Connection: close"), "{answer}");
        assert_eq!(
            fixture.read_to_end(&silent).await,
            "",
            "a client that has sent nothing is not waited for"
        );
        assert_eq!(fixture.arrived.get(), 0);
    });
}

/// The rest of the request might arrive just before the kill and remain unanswered.
#[test]
fn an_incomplete_request_is_rejected_with_the_final_answers() {
    run_local(async {
        let fixture = Fixture::start(256).await;
        let mut half = connect(fixture.address);
        half.write_all(&request("half").as_bytes()[..60]).unwrap();
        fixture.settle().await;
        fixture.lifecycle.send_replace(Lifecycle::Draining);
        fixture.settle().await;
        fixture.lifecycle.send_replace(Lifecycle::Refusing);
        let sent = Instant::now();
        let answer = fixture.read_to_end(&half).await;
        assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: "), "{answer}");
        assert!(sent.elapsed() < Duration::from_millis(150), "{:?}", sent.elapsed());
    });
}

/// A client that has pipelined more bytes than are read must still be noticed when it closes.
#[test]
fn a_close_is_detected_behind_unread_bytes() {
    run_local(async {
        let fixture = Fixture::start(256).await;
        fixture.answers_enabled.send_replace(false);
        let mut client = connect(fixture.address);
        client.write_all(request("a1").as_bytes()).unwrap();
        client.write_all(&[b'x'; 24 * 1024]).unwrap();
        while fixture.arrived.get() == 0 {
            fixture.settle().await;
        }
        assert_eq!(fixture.frontend.open_connections.get(), 1);
        client.shutdown(SocketShutdown::Both).unwrap();
        let left = async {
            while fixture.frontend.open_connections.get() > 0 {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(Duration::from_secs(20), left).await.expect("the close is detected");
    });
}

/// A shortage that passes by itself, or one that closing a connection does not relieve, must not evict a
/// connection.
#[test]
fn only_a_lasting_shortage_of_own_descriptors_evicts_a_connection() {
    let mut failures = AcceptFailures::default();
    let error = std::io::Error::from_raw_os_error;
    for _ in 0..50 {
        for other in
            [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::ECONNABORTED, libc::EPROTO, libc::EINTR]
        {
            assert!(!failures.record_failure(&error(other)));
        }
    }
    assert!(!failures.record_failure(&error(libc::EMFILE)), "a single failure may pass");
    let evictions =
        (0..EVICT_AFTER_FAILURES).filter(|_| failures.record_failure(&error(libc::EMFILE))).count();
    assert!(evictions >= 1, "a lasting shortage evicts");
    failures.record_success();
    assert!(failures.record_failure(&error(libc::EMFILE)), "a new failure evicts at once");
}

/// The rest of the request may arrive at the moment of the eviction.
#[test]
fn an_incomplete_request_on_an_evicted_connection_is_answered() {
    run_local(async {
        let fixture = Fixture::start(256).await;
        let mut client = connect(fixture.address);
        let request = request("half");
        client.write_all(&request.as_bytes()[..40]).unwrap();
        fixture.settle().await;
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert!(fixture.frontend.evict_one());
        client.write_all(&request.as_bytes()[40..]).unwrap();
        let answer = fixture.read_to_end(&client).await;
        assert!(answer.starts_with("HTTP/1.1 "), "'{answer}'");
    });
}
