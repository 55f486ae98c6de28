//! Races between the steps of a request, forced to happen. A scripted server acts as soon as it receives a
//! byte, on blocking sockets of the test, so both sides have acted before the router runs again.

mod common;

use std::cell::RefCell;
use std::io::Write;
use std::net::TcpStream as Blocking;
use std::rc::Rc;

use common::*;
use paddleproxy_gateway::Signal;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

fn reply(text: impl Into<String>) -> Vec<Step> {
    vec![Step::Send(text.into())]
}

/// A client that closes on command, without the router running in between.
#[derive(Clone, Default)]
struct Client(Rc<RefCell<Option<Blocking>>>);

impl Client {
    fn send(&self, platform: &Platform, request: &str) {
        let mut stream = Blocking::connect(platform.clients).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        *self.0.borrow_mut() = Some(stream);
    }

    fn close_action(&self) -> Rc<dyn Fn()> {
        let stream = self.0.clone();
        Rc::new(move || drop(stream.borrow_mut().take()))
    }

    fn is_open(&self) -> bool {
        self.0.borrow().is_some()
    }
}

/// Without cancellation, a request that was sent runs to its end, so a request whose client is gone must not
/// be sent.
fn disallow_cancel(config: &mut Value) {
    config["settings"]["caps"]["cancel"] = false.into();
}

/// Sends another request and waits for its answer: by then all earlier events were handled.
async fn assert_served(platform: &Platform, id: &str) {
    assert!(body(&platform.complete(id).await).1);
}

fn ids(worker: &Worker) -> Vec<String> {
    worker.completion_requests().into_iter().map(|seen| seen.id).collect()
}

#[test]
fn a_client_that_closes_right_after_its_request_is_not_served() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| reply(full_answer())).await;
        let platform = Platform::with(&[&worker], disallow_cancel).await;
        let client = Client::default();
        client.send(&platform, &completion("gone", "", "{}"));
        client.close_action()();
        assert_served(&platform, "a1").await;
        assert_eq!(ids(&worker), ["a1"]);
    });
}

#[test]
fn a_client_that_closes_during_the_connect_to_the_server_is_not_served() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| reply(full_answer())).await;
        let platform = Platform::with(&[&worker], disallow_cancel).await;
        let client = Client::default();
        *worker.on_connect.borrow_mut() = Some(client.close_action());
        client.send(&platform, &completion("gone", "", "{}"));
        wait_while(|| client.is_open()).await;
        *worker.on_connect.borrow_mut() = None;
        assert_served(&platform, "a1").await;
        assert_eq!(ids(&worker), ["a1"]);
    });
}

/// In both orders: the client closes right before the probe's answer or right after it.
#[test]
fn a_client_that_closes_at_the_answer_to_a_probe_is_not_served() {
    for closes_first in [true, false] {
        run_local(async {
            let worker = Worker::start("w-1", "combined", |_, _| reply(full_answer())).await;
            let platform = Platform::with(&[&worker], |config| {
                disallow_cancel(config);
                config["settings"]["caps"]["probes"] = true.into();
            })
            .await;
            let client = Client::default();
            *worker.on_probe.borrow_mut() = Some((closes_first, client.close_action()));
            client.send(&platform, &completion("gone", "", "{}"));
            wait_while(|| client.is_open()).await;
            *worker.on_probe.borrow_mut() = None;
            assert_served(&platform, "a1").await;
            assert_eq!(ids(&worker), ["a1"], "closes first: {closes_first}");
        });
    }
}

#[test]
fn a_request_whose_client_closes_at_the_failure_of_an_attempt_is_not_retried() {
    for closes_first in [true, false] {
        run_local(async {
            let client = Client::default();
            let error = Step::Send(plain("500 Oh", "", "{}"));
            let close = Step::Run(client.close_action());
            let steps = if closes_first { vec![close, error] } else { vec![error, close] };
            let script = move |seen: &RecordedRequest, _: usize| match seen.id.as_str() {
                "gone" => steps.clone(),
                _ => reply(full_answer()),
            };
            let first = Worker::start("w-1", "combined", script.clone()).await;
            let second = Worker::start("w-2", "combined", script).await;
            let platform = Platform::with(&[&first, &second], disallow_cancel).await;
            client.send(&platform, &completion("gone", "", "{}"));
            wait_while(|| client.is_open()).await;
            assert_served(&platform, "a1").await;
            let attempts = [ids(&first), ids(&second)].concat();
            assert_eq!(attempts.iter().filter(|id| *id == "gone").count(), 1, "{attempts:?}");
        });
    }
}

/// The state that the read left at its server is released at once, since no write will fetch it.
#[test]
fn a_request_whose_client_closes_between_read_and_write_is_not_written() {
    for closes_first in [true, false] {
        run_local(async {
            let client = Client::default();
            let read = Step::Send(plain("202 Read", "", "{\"cached_tokens\":4096}"));
            let close = Step::Run(client.close_action());
            let steps = if closes_first { vec![close, read] } else { vec![read, close] };
            let reader = Worker::start("r-1", "prefill", move |_, _| steps.clone()).await;
            let home = Worker::start("w-1", "combined", |_, _| reply(full_answer())).await;
            let platform = Platform::with(&[&reader, &home], disallow_cancel).await;
            client.send(&platform, &prompt("gone", 9000, "", "{}"));
            wait_while(|| client.is_open()).await;
            wait_while(|| reader.calls("DELETE").is_empty() && home.calls("DELETE").is_empty()).await;
            assert_served(&platform, "a1").await;
            assert_eq!(ids(&home), ["a1"], "closes first: {closes_first}");
        });
    }
}

/// A pipelined request waits for the answer to the one before it. The waiting time counts against its
/// client's timeout, so the deadline announced to the server must be reduced by it.
#[test]
fn the_deadline_of_a_pipelined_request_excludes_its_waiting_time() {
    run_local(async {
        let sent_at = Rc::new(RefCell::new(None::<Instant>));
        let answered_ms = Rc::new(RefCell::new(0.0));
        let (start, answered) = (sent_at.clone(), answered_ms.clone());
        let worker = Worker::start("w-1", "combined", move |seen, _| {
            let (start, answered) = (start.clone(), answered.clone());
            let record_time = Step::Run(Rc::new(move || {
                *answered.borrow_mut() = start.borrow().unwrap().elapsed().as_secs_f64() * 1e3;
            }));
            match seen.id.as_str() {
                "a1" => vec![Step::Wait(300), record_time, Step::Send(full_answer())],
                _ => reply(full_answer()),
            }
        })
        .await;
        // A latency target so long that only the client's timeout limits an attempt.
        let slow = |config: &mut Value| config["settings"]["services"][0]["slo_s"] = 9.0.into();
        let platform = Platform::with(&[&worker], slow).await;
        let mut client = TcpStream::connect(platform.clients).await.unwrap();
        let pipelined = completion("a1", "", "{}") + &completion("a2", "Connection: close\r\n", "{}");
        *sent_at.borrow_mut() = Some(Instant::now());
        client.write_all(pipelined.as_bytes()).await.unwrap();
        client.read_to_end(&mut Vec::new()).await.unwrap();
        let deadline_ms = |id: &str| {
            let received = worker.completion_requests();
            let seen = received
                .iter()
                .find(|seen| seen.id == id)
                .unwrap_or_else(|| panic!("the server never received {id}"));
            seen.deadline.parse::<f64>().unwrap() * 1e3
        };
        let waited_ms = *answered_ms.borrow();
        assert!(waited_ms >= 300.0 && deadline_ms("a1") <= 8000.0);
        // Both requests arrived in one segment, within the time in which two reads count as one.
        assert!(deadline_ms("a2") <= 8000.0 - waited_ms + 20.0, "{} after {waited_ms}", deadline_ms("a2"));
    });
}

/// If a server breaks off a stream, the client must still receive all that was forwarded before: the router
/// closes the connection without a reset, which would discard it.
#[test]
fn a_broken_stream_ends_with_all_that_was_forwarded() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| {
            vec![Step::Send(format!("{HEAD}{}", chunk(FIRST))), Step::Wait(20), Step::Close]
        })
        .await;
        let platform = Platform::start(&[&worker]).await;
        let mut client = TcpStream::connect(platform.clients).await.unwrap();
        // Unread bytes after the request would turn a plain close into a reset.
        let request = completion("a1", "", "{}") + &"x".repeat(60_000);
        client.write_all(request.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.expect("the connection closes without a reset");
        assert_eq!(body(&String::from_utf8(answer).unwrap()), (FIRST.to_owned(), false));
    });
}

/// Further stop and reload signals during a shutdown change nothing: open requests are answered.
#[test]
fn further_signals_during_a_shutdown_lose_no_request() {
    run_local(async {
        let worker =
            Worker::start("w-1", "combined", |_, _| vec![Step::Wait(900), Step::Send(full_answer())]).await;
        let slow = |config: &mut Value| config["settings"]["services"][0]["slo_s"] = 9.0.into();
        let platform = Platform::with(&[&worker], slow).await;
        let mut client = TcpStream::connect(platform.clients).await.unwrap();
        client.write_all(completion("a1", "Connection: close\r\n", "{}").as_bytes()).await.unwrap();
        wait_while(|| worker.completion_requests().is_empty()).await;
        for signal in [Signal::Stop, Signal::Stop, Signal::Reload, Signal::Stop] {
            // Later signals may have no receiver any more.
            let _ = platform.signals.try_send(signal);
        }
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.unwrap();
        assert!(body(&String::from_utf8(answer).unwrap()).1);
        platform.router.await.unwrap().unwrap();
    });
}

/// Reload and stop signals at the same time, in both orders.
#[test]
fn simultaneous_reload_and_stop_lose_no_request() {
    for signals in [[Signal::Reload, Signal::Stop], [Signal::Stop, Signal::Reload]] {
        run_local(async {
            let worker =
                Worker::start("w-1", "combined", |_, _| vec![Step::Wait(100), Step::Send(full_answer())])
                    .await;
            let platform = Platform::start(&[&worker]).await;
            let mut client = TcpStream::connect(platform.clients).await.unwrap();
            client.write_all(completion("a1", "", "{}").as_bytes()).await.unwrap();
            for signal in signals {
                platform.signals.try_send(signal).unwrap();
            }
            let late = platform.complete("a2").await;
            assert!(body(&late).1, "{late}");
            let mut answer = Vec::new();
            client.read_to_end(&mut answer).await.unwrap();
            assert!(body(&String::from_utf8(answer).unwrap()).1, "{signals:?}");
            platform.router.await.unwrap().unwrap();
        });
    }
}

/// Settings of another customer, which differ from `settings()` in classes, kinds, zones, limits and effects,
/// and in how many there are of each.
fn other_settings() -> Value {
    json!({
        "balancers": 4, "slot_no": 2, "my_zone": "north", "localities": ["south", "north"],
        "machine_types": ["whole"],
        "services": [{ "name": "brief", "slo_s": 0.2, "deadline_s": 3.0, "idempotency": "once",
                       "dedup_scope": "cell", "window_s": 0.4, "importance": 7.0, "stream": true }],
        "tenants": [{ "name": "initech", "quota_per_s": 3.0, "portion": 1.0 }],
        "caps": { "cancel": false, "second_copies": false, "retry_after": false, "max_retry_after_s": 0.0,
                  "max_attempts": 2, "conn_idle_s": 9.0, "connect_timeout_s": 0.7, "probes": false },
        "report": { "how": "none" },
        "family_info": { "aim_us_per_1000_prompt_tokens": [5.0], "holds_allowed": false,
                         "kv_tokens": [90000.0], "pin_limit_s": 0.2, "role_by_kind": ["both"],
                         "self_prefill": false },
        "invariants": { "answer_slack_s": 0.004, "cold_s": 4.0, "cold_share": 0.5, "fall_multiple": 4.0,
                        "fall_s": 1.0, "must_ask_in_s": 3.0 },
        "resolution_s": 0.004
    })
}

/// A reload from one customer's settings to another's while requests of the first are open: later requests
/// must be served by the new settings alone.
#[test]
fn a_reload_for_another_customer_leaves_no_old_settings() {
    run_local(async {
        let error = plain("500 Oh", "", "{}");
        let answer = error.clone();
        let worker = Worker::start("w-1", "combined", move |seen, _| match seen.id.as_str() {
            "open" => vec![Step::Wait(400), Step::Send(answer.clone())],
            _ => reply(full_answer()),
        })
        .await;
        let platform = Platform::start(&[&worker]).await;
        let mut open = TcpStream::connect(platform.clients).await.unwrap();
        open.write_all(completion("open", "Connection: close\r\n", "{}").as_bytes()).await.unwrap();
        wait_while(|| worker.completion_requests().is_empty()).await;
        let mut config = platform.config.clone();
        config["settings"] = other_settings();
        std::fs::write(&platform.file, config.to_string()).unwrap();
        // The same list with the other customer's names, under the same version.
        let mut renamed = list(1, &[&worker]);
        renamed["hosts"][0]["class"] = "whole".into();
        renamed["hosts"][0]["site"] = "north".into();
        *platform.discovery.answer.borrow_mut() = renamed.to_string();
        let calls = platform.discovery.calls.borrow().len();
        platform.signals.send(Signal::Reload).await.unwrap();
        wait_while(|| platform.discovery.calls.borrow().len() < calls + 2).await;
        assert_eq!(
            platform.discovery.calls.borrow()[calls],
            "/catalog/members",
            "the whole list is fetched again"
        );
        // The request was open before the reload: the new settings lack its class, but it keeps its effect.
        let mut answered = Vec::new();
        open.read_to_end(&mut answered).await.unwrap();
        let answered = String::from_utf8(answered).unwrap();
        assert!(answered.starts_with("HTTP/1.1 429 "), "the client may retry repeatable work: {answered}");
        // Names from the old settings are rejected, those from the new ones accepted.
        let old = platform.complete("a1").await;
        assert!(old.starts_with("HTTP/1.1 400 ") && old.contains("Req-Kind"), "{old}");
        let request = |id: &str, owner: &str| {
            completion(id, "Connection: close\r\n", "{}")
                .replace("Req-Kind: chat", "Req-Kind: brief")
                .replace("acme", owner)
        };
        let new_request = |id: &str| request(id, "initech");
        let owner = raw(platform.clients, request("b0", "acme").as_bytes()).await;
        assert!(owner.starts_with("HTTP/1.1 400 ") && owner.contains("Req-Owner"), "{owner}");
        let served = raw(platform.clients, new_request("b1").as_bytes()).await;
        assert!(body(&served).1, "{served}");
        let received = worker.completion_requests();
        let deadline: f64 = received.last().unwrap().deadline.parse().unwrap();
        assert!(deadline <= 3.0, "the deadline of the new class applies: {deadline}");
        // Work that may run only once is not retried; no `Retry-After` is sent if the settings disallow it.
        worker.set_script(move |_, _| reply(error.clone()));
        let failed = raw(platform.clients, new_request("b2").as_bytes()).await;
        assert!(failed.starts_with("HTTP/1.1 502 "), "{failed}");
        assert_eq!(worker.completion_requests().iter().filter(|seen| seen.id == "b2").count(), 1);
        worker.set_script(|_, _| reply(plain("503 Full", "Srv-Declined: 1\r\n", "")));
        let refused = raw(platform.clients, new_request("b3").as_bytes()).await;
        assert!(refused.starts_with("HTTP/1.1 429 ") && !refused.contains("Retry-After"), "{refused}");
    });
}
