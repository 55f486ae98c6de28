//! What may come between two steps of a request, forced: a stand-in acts on the very byte that it receives, on blocking
//! sockets of the test, so that both sides have acted when the router looks again.

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

fn say(text: impl Into<String>) -> Vec<Step> {
    vec![Step::Send(text.into())]
}

/// A client that closes when it is told to, without a turn of the router in between.
#[derive(Clone, Default)]
struct Client(Rc<RefCell<Option<Blocking>>>);

impl Client {
    fn send(&self, platform: &Platform, request: &str) {
        let mut stream = Blocking::connect(platform.clients).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        *self.0.borrow_mut() = Some(stream);
    }

    fn closes(&self) -> Rc<dyn Fn()> {
        let stream = self.0.clone();
        Rc::new(move || drop(stream.borrow_mut().take()))
    }

    fn open(&self) -> bool {
        self.0.borrow().is_some()
    }
}

/// Where calling off is not allowed, what was sent runs on; what was not sent must not be.
fn no_cancels(config: &mut Value) {
    config["settings"]["caps"]["cancel"] = false.into();
}

/// Asks for another completion with its own conversation and waits for the answer: whatever was to happen has happened.
async fn passes(platform: &Platform, id: &str) {
    assert!(body(&platform.complete(id).await).1);
}

fn ids(worker: &Worker) -> Vec<String> {
    worker.completion_requests().into_iter().map(|seen| seen.id).collect()
}

#[test]
fn a_client_that_closes_right_behind_its_request_is_not_served() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| say(full_answer())).await;
        let platform = Platform::with(&[&worker], no_cancels).await;
        let client = Client::default();
        client.send(&platform, &completion("gone", "", "{}"));
        client.closes()();
        passes(&platform, "a1").await;
        assert_eq!(ids(&worker), ["a1"]);
    });
}

#[test]
fn a_client_that_closes_as_the_connection_comes_up_is_not_served() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| say(full_answer())).await;
        let platform = Platform::with(&[&worker], no_cancels).await;
        let client = Client::default();
        *worker.on_connect.borrow_mut() = Some(client.closes());
        client.send(&platform, &completion("gone", "", "{}"));
        wait_while(|| client.open()).await;
        *worker.on_connect.borrow_mut() = None;
        passes(&platform, "a1").await;
        assert_eq!(ids(&worker), ["a1"]);
    });
}

/// Both orders: the close comes before the probe's answer, or right behind it.
#[test]
fn a_client_that_closes_with_the_answer_to_a_probe_is_not_served() {
    for closes_first in [true, false] {
        run_local(async {
            let worker = Worker::start("w-1", "combined", |_, _| say(full_answer())).await;
            let platform = Platform::with(&[&worker], |config| {
                no_cancels(config);
                config["settings"]["caps"]["probes"] = true.into();
            })
            .await;
            let client = Client::default();
            *worker.on_probe.borrow_mut() = Some((closes_first, client.closes()));
            client.send(&platform, &completion("gone", "", "{}"));
            wait_while(|| client.open()).await;
            *worker.on_probe.borrow_mut() = None;
            passes(&platform, "a1").await;
            assert_eq!(ids(&worker), ["a1"], "closes first: {closes_first}");
        });
    }
}

#[test]
fn a_client_that_closes_with_the_failure_of_an_attempt_is_not_tried_again() {
    for closes_first in [true, false] {
        run_local(async {
            let client = Client::default();
            let error = Step::Send(plain("500 Oh", "", "{}"));
            let closes = Step::Run(client.closes());
            let steps = if closes_first { vec![closes, error] } else { vec![error, closes] };
            let script = move |seen: &RecordedRequest, _: usize| match seen.id.as_str() {
                "gone" => steps.clone(),
                _ => say(full_answer()),
            };
            let one = Worker::start("w-1", "combined", script.clone()).await;
            let two = Worker::start("w-2", "combined", script).await;
            let platform = Platform::with(&[&one, &two], no_cancels).await;
            client.send(&platform, &completion("gone", "", "{}"));
            wait_while(|| client.open()).await;
            passes(&platform, "a1").await;
            let tried = [ids(&one), ids(&two)].concat();
            assert_eq!(tried.iter().filter(|id| *id == "gone").count(), 1, "{tried:?}");
        });
    }
}

/// The state that the read left is let go of at once: nobody comes for it.
#[test]
fn a_client_that_closes_between_read_and_write_is_not_written_for() {
    for closes_first in [true, false] {
        run_local(async {
            let client = Client::default();
            let read = Step::Send(plain("202 Read", "", "{\"cached_tokens\":4096}"));
            let closes = Step::Run(client.closes());
            let steps = if closes_first { vec![closes, read] } else { vec![read, closes] };
            let reader = Worker::start("r-1", "prefill", move |_, _| steps.clone()).await;
            let home = Worker::start("w-1", "combined", |_, _| say(full_answer())).await;
            let platform = Platform::with(&[&reader, &home], no_cancels).await;
            client.send(&platform, &prompt("gone", 9000, "", "{}"));
            wait_while(|| client.open()).await;
            wait_while(|| reader.calls("DELETE").is_empty() && home.calls("DELETE").is_empty()).await;
            passes(&platform, "a1").await;
            assert_eq!(ids(&home), ["a1"], "closes first: {closes_first}");
        });
    }
}

/// The second request waits behind the answer to the first: that time is its client's, and no server is told that there
/// is more.
#[test]
fn a_request_sent_ahead_has_only_the_time_that_its_client_has() {
    run_local(async {
        let since = Rc::new(RefCell::new(None::<Instant>));
        let answered_ms = Rc::new(RefCell::new(0.0));
        let (from, done) = (since.clone(), answered_ms.clone());
        let worker = Worker::start("w-1", "combined", move |seen, _| {
            let (from, done) = (from.clone(), done.clone());
            let answered = Step::Run(Rc::new(move || {
                *done.borrow_mut() = from.borrow().unwrap().elapsed().as_secs_f64() * 1e3;
            }));
            match seen.id.as_str() {
                "a1" => vec![Step::Wait(300), answered, Step::Send(full_answer())],
                _ => say(full_answer()),
            }
        })
        .await;
        // A target so far off that an attempt's time is all that its client has.
        let slow = |config: &mut Value| config["settings"]["services"][0]["slo_s"] = 9.0.into();
        let platform = Platform::with(&[&worker], slow).await;
        let mut client = TcpStream::connect(platform.clients).await.unwrap();
        let ahead = completion("a1", "", "{}") + &completion("a2", "Connection: close\r\n", "{}");
        *since.borrow_mut() = Some(Instant::now());
        client.write_all(ahead.as_bytes()).await.unwrap();
        client.read_to_end(&mut Vec::new()).await.unwrap();
        let told = |id: &str| {
            let asked = worker.completion_requests();
            let seen = asked.iter().find(|seen| seen.id == id).unwrap_or_else(|| panic!("{id} never came"));
            seen.deadline.parse::<f64>().unwrap() * 1e3
        };
        let passed_ms = *answered_ms.borrow();
        assert!(passed_ms >= 300.0 && told("a1") <= 8000.0);
        // Both came in one piece, within the time in which two reads count as one.
        assert!(told("a2") <= 8000.0 - passed_ms + 20.0, "{} after {passed_ms}", told("a2"));
    });
}

/// A stream that its server breaks off ends with all that was passed on before, not with a reset that takes it away.
#[test]
fn a_stream_that_breaks_off_keeps_what_was_passed_on() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| {
            vec![Step::Send(format!("{HEAD}{}", chunk(FIRST))), Step::Wait(20), Step::Close]
        })
        .await;
        let platform = Platform::start(&[&worker]).await;
        let mut client = TcpStream::connect(platform.clients).await.unwrap();
        // Bytes behind the request that nobody reads would turn a plain close into a reset.
        let ahead = completion("a1", "", "{}") + &"x".repeat(60_000);
        client.write_all(ahead.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.expect("an end, no reset");
        assert_eq!(body(&String::from_utf8(answer).unwrap()), (FIRST.to_owned(), false));
    });
}

/// A second word to stop, and a new configuration behind the first, change nothing: what is open gets its answer.
#[test]
fn further_signals_after_the_first_word_to_stop_lose_nothing() {
    run_local(async {
        let worker =
            Worker::start("w-1", "combined", |_, _| vec![Step::Wait(900), Step::Send(full_answer())]).await;
        let slow = |config: &mut Value| config["settings"]["services"][0]["slo_s"] = 9.0.into();
        let platform = Platform::with(&[&worker], slow).await;
        let mut client = TcpStream::connect(platform.clients).await.unwrap();
        client.write_all(completion("a1", "Connection: close\r\n", "{}").as_bytes()).await.unwrap();
        wait_while(|| worker.completion_requests().is_empty()).await;
        for signal in [Signal::Stop, Signal::Stop, Signal::Reload, Signal::Stop] {
            // Nobody may be there to take the later ones.
            let _ = platform.signals.try_send(signal);
        }
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.unwrap();
        assert!(body(&String::from_utf8(answer).unwrap()).1);
        platform.router.await.unwrap().unwrap();
    });
}

/// A new configuration and the word to stop in one moment, in both orders.
#[test]
fn a_new_configuration_together_with_the_word_to_stop_loses_nothing() {
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

/// Another customer's settings: other classes, kinds, zones, limits and effects, fewer of each or more.
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
        "family_info": { "aim_us_per_1000_prompt_tokens": [5.0], "holds_allowed": false, "kv_tokens": [90000.0],
                         "pin_limit_s": 0.2, "role_by_kind": ["both"], "self_prefill": false },
        "invariants": { "answer_slack_s": 0.004, "cold_s": 4.0, "cold_share": 0.5, "fall_multiple": 4.0,
                        "fall_s": 1.0, "must_ask_in_s": 3.0 },
        "resolution_s": 0.004
    })
}

/// Goes from one customer's settings to another's while requests of the first are open at every stage, and finds nothing of
/// the first in what comes after.
#[test]
fn nothing_of_one_customers_settings_is_left_after_another_s() {
    run_local(async {
        let error = plain("500 Oh", "", "{}");
        let answer = error.clone();
        let worker = Worker::start("w-1", "combined", move |seen, _| match seen.id.as_str() {
            "open" => vec![Step::Wait(400), Step::Send(answer.clone())],
            _ => say(full_answer()),
        })
        .await;
        let platform = Platform::start(&[&worker]).await;
        let mut open = TcpStream::connect(platform.clients).await.unwrap();
        open.write_all(completion("open", "Connection: close\r\n", "{}").as_bytes()).await.unwrap();
        wait_while(|| worker.completion_requests().is_empty()).await;
        let mut config = platform.config.clone();
        config["settings"] = other_settings();
        std::fs::write(&platform.file, config.to_string()).unwrap();
        // The same list, in the other customer's names, under the same version.
        let mut theirs = list(1, &[&worker]);
        theirs["hosts"][0]["class"] = "whole".into();
        theirs["hosts"][0]["site"] = "north".into();
        *platform.discovery.answer.borrow_mut() = theirs.to_string();
        let calls = platform.discovery.calls.borrow().len();
        platform.signals.send(Signal::Reload).await.unwrap();
        wait_while(|| platform.discovery.calls.borrow().len() < calls + 2).await;
        assert_eq!(platform.discovery.calls.borrow()[calls], "/catalog/members", "the list is read anew");
        // Open since before: its class is no row of the new settings, and its effect is still its own.
        let mut answered = Vec::new();
        open.read_to_end(&mut answered).await.unwrap();
        let answered = String::from_utf8(answered).unwrap();
        assert!(answered.starts_with("HTTP/1.1 429 "), "repeatable work may be tried again: {answered}");
        // Names of the first are no names any more, and those of the second are.
        let old = platform.complete("a1").await;
        assert!(old.starts_with("HTTP/1.1 400 ") && old.contains("Req-Kind"), "{old}");
        let named = |id: &str, owner: &str| {
            completion(id, "Connection: close\r\n", "{}")
                .replace("Req-Kind: chat", "Req-Kind: brief")
                .replace("acme", owner)
        };
        let theirs = |id: &str| named(id, "initech");
        let owner = raw(platform.clients, named("b0", "acme").as_bytes()).await;
        assert!(owner.starts_with("HTTP/1.1 400 ") && owner.contains("Req-Owner"), "{owner}");
        let served = raw(platform.clients, theirs("b1").as_bytes()).await;
        assert!(body(&served).1, "{served}");
        let asked = worker.completion_requests();
        let deadline: f64 = asked.last().unwrap().deadline.parse().unwrap();
        assert!(deadline <= 3.0, "its class's own deadline binds: {deadline}");
        // What may run once is not sent again, and no time to come back is named where that is not allowed.
        worker.set_script(move |_, _| say(error.clone()));
        let failed = raw(platform.clients, theirs("b2").as_bytes()).await;
        assert!(failed.starts_with("HTTP/1.1 502 "), "{failed}");
        assert_eq!(worker.completion_requests().iter().filter(|seen| seen.id == "b2").count(), 1);
        worker.set_script(|_, _| say(plain("503 Full", "Srv-Declined: 1\r\n", "")));
        let refused = raw(platform.clients, theirs("b3").as_bytes()).await;
        assert!(refused.starts_with("HTTP/1.1 429 ") && !refused.contains("Retry-After"), "{refused}");
    });
}
