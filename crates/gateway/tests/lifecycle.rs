//! The life cycle of a router: discovery, configuration reloads, shutdown; and that it leaks no resources.

mod common;

use common::*;
use paddleproxy_gateway::Signal;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

fn answer_steps() -> Vec<Step> {
    vec![Step::Send(full_answer())]
}

#[test]
fn a_published_drain_is_kept_and_the_list_outlives_a_silent_discovery() {
    run_local(async {
        let one = Worker::start("w-1", "combined", |_, _| answer_steps()).await;
        let two = Worker::start("w-2", "combined", |_, _| answer_steps()).await;
        let platform = Platform::start(&[&one, &two]).await;
        let home = if body(&platform.complete("a1").await).1 && one.completion_requests().len() == 1 {
            &one
        } else {
            &two
        };
        let other = if home.name == one.name { &two } else { &one };
        let change = json!({ "seq": 2, "whole": false, "hosts": [host(home, "draining")] });
        platform.discovery.publish(change.to_string());
        wait_while(|| platform.discovery.calls.borrow().last().is_none_or(|call| !call.contains("from=2")))
            .await;
        assert!(body(&platform.complete("a2").await).1);
        assert_eq!((home.completion_requests().len(), other.completion_requests().len()), (1, 1));
        // An older version, invalid JSON, a truncated answer, no HTTP at all: none of them changes anything.
        let old = list(1, &[home]).to_string();
        for useless in [
            old.as_str(),
            "{\"seq\":",
            "raw:HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{",
            "raw:nonsense\r\n\r\n",
        ] {
            platform.discovery.publish(useless.into());
            sleep(ms(150)).await;
            assert!(body(&platform.complete("a3").await).1, "{useless}");
            assert_eq!(home.completion_requests().len(), 1, "{useless}");
        }
        platform.discovery.silent.set(true);
        assert!(body(&platform.complete("a4").await).1);
        platform
            .discovery
            .publish(json!({ "seq": 3, "whole": false, "hosts": [host(home, "ready")] }).to_string());
        platform.discovery.silent.set(false);
        for _ in 0..1000 {
            assert!(body(&platform.complete("a5").await).1);
            if home.completion_requests().len() > 1 {
                return;
            }
            sleep(ms(5)).await;
        }
        panic!("the end of the drain was never applied");
    });
}

/// A restarted router whose discovery accepts connections without answering, or refuses them, must serve by
/// the list in its configuration.
#[test]
fn a_router_is_ready_in_time_while_discovery_is_silent_or_gone() {
    for silent in [true, false] {
        run_local(async {
            let worker = Worker::start("w-1", "combined", |_, _| answer_steps()).await;
            let discovery = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let address = discovery.local_addr().unwrap().to_string();
            let _open = silent.then_some(discovery);
            let began = Instant::now();
            let platform =
                Platform::with(&[&worker], |config| config["discovery"] = address.clone().into()).await;
            assert!(began.elapsed() < ms(10_000), "{:?}", began.elapsed());
            assert!(body(&platform.complete("a1").await).1, "silent: {silent}");
        });
    }
}

/// An overloaded discovery answers each call late. The changes that it publishes must be applied
/// nevertheless.
#[test]
fn a_drain_from_a_slow_discovery_is_applied() {
    run_local(async {
        let one = Worker::start("w-1", "combined", |_, _| answer_steps()).await;
        let two = Worker::start("w-2", "combined", |_, _| answer_steps()).await;
        let platform = Platform::start(&[&one, &two]).await;
        let home = if body(&platform.complete("a1").await).1 && one.completion_requests().len() == 1 {
            &one
        } else {
            &two
        };
        platform.discovery.slow_ms.set(1600);
        // A reload requests the whole list again.
        platform.signals.send(Signal::Reload).await.unwrap();
        let other = if home.name == one.name { &two } else { &one };
        let hosts = [host(home, "draining"), host(other, "ready")];
        platform.discovery.publish(json!({ "seq": 2, "whole": true, "hosts": hosts }).to_string());
        // A change counts as delivered 6 s after discovery has it and is reachable.
        sleep(ms(6000)).await;
        let before = home.completion_requests().len();
        for id in ["b1", "b2", "b3"] {
            assert!(body(&platform.complete(id).await).1);
        }
        assert_eq!(
            home.completion_requests().len(),
            before,
            "calls: {:?}",
            platform.discovery.calls.borrow()
        );
    });
}

#[test]
fn watches_follow_each_other_without_a_gap() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| answer_steps()).await;
        let platform = Platform::start(&[&worker]).await;
        for version in 2..12 {
            platform.discovery.publish(list(version, &[&worker]).to_string());
            let waits = format!("from={version}&");
            let called = async {
                while !platform.discovery.calls.borrow().iter().any(|call| call.contains(&waits)) {
                    sleep(ms(1)).await;
                }
            };
            timeout(ms(2000), called).await.expect("the watch is renewed");
        }
        let calls = platform.discovery.calls.borrow();
        assert_eq!(calls[0], "/catalog/members");
        assert!(
            calls[1..].iter().all(|call| call.contains("hold_ms=")),
            "the whole list is requested once: {calls:?}"
        );
    });
}

/// The changes in an unreadable answer to a watch are lost, so the next call must request the whole list.
#[test]
fn a_drain_lost_in_an_unreadable_answer_is_found_in_the_whole_list() {
    run_local(async {
        let one = Worker::start("w-1", "combined", |_, _| answer_steps()).await;
        let two = Worker::start("w-2", "combined", |_, _| answer_steps()).await;
        let platform = Platform::start(&[&one, &two]).await;
        let home = if body(&platform.complete("a1").await).1 && one.completion_requests().len() == 1 {
            &one
        } else {
            &two
        };
        let calls = platform.discovery.calls.borrow().len();
        platform.discovery.publish("{\"seq\":2,\"whole\":false,\"hosts\":[{\"host\":".into());
        wait_while(|| platform.discovery.calls.borrow().len() == calls).await;
        assert_eq!(platform.discovery.calls.borrow()[calls], "/catalog/members");
        let whole = json!({ "seq": 2, "whole": true, "hosts": [host(home, "draining"),
                            host(if home.name == one.name { &two } else { &one }, "ready")] });
        platform.discovery.publish(whole.to_string());
        wait_while(|| platform.discovery.calls.borrow().last().is_none_or(|call| !call.contains("from=2")))
            .await;
        let before = home.completion_requests().len();
        assert!(body(&platform.complete("a2").await).1);
        assert_eq!(home.completion_requests().len(), before, "the drain is kept");
    });
}

#[test]
fn a_reload_moves_discovery_and_an_invalid_configuration_changes_nothing() {
    run_local(async {
        let one = Worker::start("w-1", "combined", |_, _| answer_steps()).await;
        let two = Worker::start("w-2", "combined", |_, _| answer_steps()).await;
        let platform = Platform::start(&[&one]).await;
        platform.discovery.publish(list(900, &[&one]).to_string());
        sleep(ms(30)).await;
        let text = platform.config.to_string();
        let wrong = text.replace("\"discovery\"", "\"discover\"");
        for invalid in [&text[..text.len() / 2], "", wrong.as_str()] {
            std::fs::write(&platform.file, invalid).unwrap();
            platform.signals.send(Signal::Reload).await.unwrap();
            sleep(ms(30)).await;
            assert!(body(&platform.complete("a1").await).1, "{invalid:.40}");
        }
        // The new address has a version sequence of its own: its lower version is the newer list.
        let moved = Discovery::start(list(3, &[&two]).to_string()).await;
        let mut config = platform.config.clone();
        config["discovery"] = moved.address.to_string().into();
        std::fs::write(&platform.file, config.to_string()).unwrap();
        platform.signals.send(Signal::Reload).await.unwrap();
        wait_while(|| moved.calls.borrow().len() < 2).await;
        assert_eq!(moved.calls.borrow()[0], "/catalog/members");
        let before = one.completion_requests().len();
        assert!(body(&platform.complete("a2").await).1);
        assert_eq!((one.completion_requests().len(), two.completion_requests().len()), (before, 1));
        // The old address has no effect any more.
        let calls = platform.discovery.calls.borrow().len();
        platform.discovery.publish(list(901, &[&one]).to_string());
        sleep(ms(50)).await;
        assert!(platform.discovery.calls.borrow().len() <= calls + 1);
        assert!(body(&platform.complete("a3").await).1);
        assert_eq!(two.completion_requests().len(), 2);
    });
}

#[test]
fn after_sigterm_new_requests_are_answered_and_streams_are_completed() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| {
            let mut steps = vec![Step::Send(format!("{HEAD}{}", chunk(FIRST)))];
            steps.extend((0..10).flat_map(|_| [Step::Wait(150), Step::Send(chunk(FIRST))]));
            steps.extend([Step::Send(chunk(LAST)), Step::Send("0\r\n\r\n".into())]);
            steps
        })
        .await;
        let mut platform = Platform::start(&[&worker]).await;
        let mut idle = TcpStream::connect(platform.clients).await.unwrap();
        idle.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        idle.read_exact(&mut [0; 64]).await.unwrap();
        let mut open = TcpStream::connect(platform.clients).await.unwrap();
        open.write_all(completion("a1", "", "{}").as_bytes()).await.unwrap();
        open.read_exact(&mut [0; 64]).await.unwrap();
        let began = Instant::now();
        platform.signals.send(Signal::Stop).await.unwrap();
        sleep(ms(200)).await;
        worker.set_script(|_, _| answer_steps());
        assert!(body(&platform.complete("a2").await).1, "a late request is answered");
        let mut answer = Vec::new();
        open.read_to_end(&mut answer).await.unwrap();
        assert!(String::from_utf8(answer).unwrap().ends_with("\r\n0\r\n\r\n"), "the stream was completed");
        assert!(began.elapsed() > ms(1000));
        (&mut platform.router).await.unwrap().unwrap();
        assert!(began.elapsed() < ms(8000), "{:?}", began.elapsed());
        // The idle connection was closed without an error answer.
        let mut rest = Vec::new();
        idle.read_to_end(&mut rest).await.unwrap();
        assert!(!String::from_utf8(rest).unwrap().contains("HTTP/1.1 5"));
    });
}

#[test]
fn an_unanswered_request_gets_its_final_answer_late_in_a_shutdown() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| vec![Step::Hang]).await;
        let platform = Platform::with(&[&worker], |config| {
            config["settings"]["services"][0]["slo_s"] = 19.0.into();
        })
        .await;
        let mut open = TcpStream::connect(platform.clients).await.unwrap();
        open.write_all(completion("a1", "", "{}").as_bytes()).await.unwrap();
        wait_while(|| worker.completion_requests().is_empty()).await;
        let began = Instant::now();
        platform.signals.send(Signal::Stop).await.unwrap();
        let mut answer = Vec::new();
        open.read_to_end(&mut answer).await.unwrap();
        // It may have run, and may not be idempotent, so the answer promises nothing about a retry.
        assert!(answer.starts_with(b"HTTP/1.1 502 "), "{}", String::from_utf8_lossy(&answer));
        assert!(began.elapsed() < ms(7000), "before the client timeout: {:?}", began.elapsed());
        platform.router.await.unwrap().unwrap();
    });
}

fn settings_without_memory() -> serde_json::Value {
    let mut settings = settings();
    settings["family_info"]["kv_tokens"][1] = 0.0.into();
    settings
}

fn settings_without_attempts() -> serde_json::Value {
    let mut settings = settings();
    settings["caps"]["max_attempts"] = 0.into();
    settings
}

#[test]
fn an_invalid_configuration_is_reported_with_its_field() {
    run_local(async {
        for (field, wrong, expected) in [
            ("discovery", json!("nowhere"), "discovery"),
            ("listen", json!(7), "listen"),
            ("limits", json!({ "memory_mb": 64 }), "limits: missing field `sockets`"),
            ("limits", json!({ "memory_mb": 64, "sockets": 3 }), "limits.sockets"),
            ("limits", json!({ "memory_mb": -1, "sockets": 300 }), "limits.memory_mb"),
            ("settings", json!({}), "settings: missing field"),
            ("settings", settings_without_memory(), "family_info.kv_tokens for 'decode' is 0"),
            ("settings", settings_without_attempts(), "caps.max_attempts is 0"),
            ("known", json!({ "seq": 1, "hosts": [{ "health": "ready" }] }), "known.hosts[0]"),
        ] {
            let mut config = config("127.0.0.1:9");
            config[field] = wrong;
            let dir = tempfile::tempdir().unwrap();
            let file = dir.path().join("config.json");
            std::fs::write(&file, config.to_string()).unwrap();
            let (_signals, signal_receiver) = tokio::sync::mpsc::channel(1);
            let cause = paddleproxy_gateway::serve(&file, signal_receiver, |_| {}).await.unwrap_err();
            let cause = format!("{cause:#}");
            assert!(cause.contains(expected) && cause.lines().count() == 1, "{field}: {cause}");
        }
    });
}

/// The number of descriptors, connections to workers included, must not grow as clients and workers change.
#[test]
fn descriptors_do_not_leak_with_changing_clients_and_workers() {
    fn descriptors() -> usize {
        std::fs::read_dir("/proc/self/fd").unwrap().count()
    }
    run_local(async {
        let one = Worker::start("w-1", "combined", |_, _| answer_steps()).await;
        let platform = Platform::start(&[&one]).await;
        let mut counts = Vec::new();
        for round in 0..6 {
            for step in 0..150 {
                let request = completion(&format!("r{round}-{step}"), "Connection: close\r\n", "{}")
                    .replace("7f3a9c21e0b4d655", &format!("{round:x}{step:x}"));
                assert!(body(&raw(platform.clients, request.as_bytes()).await).1);
                // The list now has one worker, with a new name.
                let seq = 10 + round * 150 + step;
                let mut listed = list(seq, &[&one]);
                listed["hosts"][0]["host"] = format!("w-{seq}").into();
                platform.discovery.publish(listed.to_string());
            }
            sleep(ms(60)).await;
            counts.push(descriptors());
        }
        assert!(counts[5] <= counts[1] + 4, "descriptors by round: {counts:?}");
    });
}

/// Reading an invalid configuration is retried, but a stop signal must not wait for that.
#[test]
fn a_stop_signal_does_not_wait_for_reloads_that_fail() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| vec![Step::Hang]).await;
        let platform = Platform::with(&[&worker], |config| {
            config["settings"]["services"][0]["slo_s"] = 19.0.into();
        })
        .await;
        let mut open = TcpStream::connect(platform.clients).await.unwrap();
        open.write_all(completion("a1", "", "{}").as_bytes()).await.unwrap();
        wait_while(|| worker.completion_requests().is_empty()).await;
        std::fs::write(&platform.file, "{").unwrap();
        let began = Instant::now();
        for signal in [Signal::Reload, Signal::Reload, Signal::Reload, Signal::Stop] {
            platform.signals.send(signal).await.unwrap();
        }
        let mut answer = Vec::new();
        open.read_to_end(&mut answer).await.unwrap();
        assert!(answer.starts_with(b"HTTP/1.1 502 "), "{}", String::from_utf8_lossy(&answer));
        // The kill comes 3.7 s after the stop signal, the final answers are sent at 3.5 s.
        assert!(began.elapsed() < ms(3650), "{:?}", began.elapsed());
        platform.router.await.unwrap().unwrap();
    });
}

/// The stop signal arrives while the address is still in use. A router that started to listen after it would
/// accept requests in the time that is left before the kill.
#[test]
fn a_router_stopped_before_it_listens_never_listens() {
    run_local(async {
        let holder = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut settings = config("127.0.0.1:9");
        settings["listen"] = holder.local_addr().unwrap().to_string().into();
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("config.json");
        std::fs::write(&file, settings.to_string()).unwrap();
        let (signals, signal_receiver) = tokio::sync::mpsc::channel(4);
        let router = tokio::task::spawn_local(async move {
            paddleproxy_gateway::serve(&file, signal_receiver, |_| panic!("the router listens")).await
        });
        sleep(ms(50)).await;
        for signal in [Signal::Reload, Signal::Stop] {
            signals.send(signal).await.unwrap();
        }
        let ended = timeout(ms(1000), router).await.expect("the router ends at once");
        ended.unwrap().unwrap();
    });
}

/// The stop signal arrives while a starting router waits for a discovery that does not answer. The end of the
/// start must not make it ready again.
#[test]
fn a_router_stopped_during_its_start_ends() {
    run_local(async {
        let worker =
            Worker::start("w-1", "combined", |_, _| vec![Step::Wait(1900), Step::Send(full_answer())]).await;
        let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut settings = config(&silent.local_addr().unwrap().to_string());
        settings["known"] = list(1, &[&worker]);
        settings["settings"]["caps"]["connect_timeout_s"] = 1.5.into();
        settings["settings"]["services"][0]["slo_s"] = 19.0.into();
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("config.json");
        std::fs::write(&file, settings.to_string()).unwrap();
        let (signals, signal_receiver) = tokio::sync::mpsc::channel(4);
        let (sender, ready) = tokio::sync::oneshot::channel();
        let router = tokio::task::spawn_local(async move {
            paddleproxy_gateway::serve(&file, signal_receiver, move |address| sender.send(address).unwrap())
                .await
        });
        let began = Instant::now();
        let mut open = TcpStream::connect(ready.await.unwrap()).await.unwrap();
        open.write_all(completion("a1", "", "{}").as_bytes()).await.unwrap();
        signals.send(Signal::Stop).await.unwrap();
        let mut answer = Vec::new();
        open.read_to_end(&mut answer).await.unwrap();
        assert!(body(&String::from_utf8(answer).unwrap()).1, "the request is served");
        // Answered at 1.9 s and closed then; the final answers would be sent only at 3 s.
        assert!(began.elapsed() < ms(2600), "{:?}", began.elapsed());
        router.await.unwrap().unwrap();
    });
}
