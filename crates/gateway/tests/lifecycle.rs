//! A router's life: discovery, new configurations, the end; and that nothing grows with what has come and gone.

mod common;

use common::*;
use paddleproxy_gateway::Signal;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

fn served() -> Vec<Step> {
    vec![Step::Send(full_answer())]
}

#[test]
fn a_drain_that_is_told_is_kept_and_the_list_outlives_a_silent_discovery() {
    run_local(async {
        let one = Worker::start("w-1", "combined", |_, _| served()).await;
        let two = Worker::start("w-2", "combined", |_, _| served()).await;
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
        // An older version, what is no list, half an answer, silence: none of them changes anything.
        let old = list(1, &[home]).to_string();
        for lie in [
            old.as_str(),
            "{\"seq\":",
            "raw:HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{",
            "raw:nonsense\r\n\r\n",
        ] {
            platform.discovery.publish(lie.into());
            sleep(ms(150)).await;
            assert!(body(&platform.complete("a3").await).1, "{lie}");
            assert_eq!(home.completion_requests().len(), 1, "{lie}");
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
        panic!("the drain's end was never heard");
    });
}

/// A restarted router whose discovery takes connections and says nothing, or takes none, serves by the list that it is given.
#[test]
fn a_router_is_ready_in_time_while_discovery_is_silent_or_gone() {
    for silent in [true, false] {
        run_local(async {
            let worker = Worker::start("w-1", "combined", |_, _| served()).await;
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

/// A discovery that is crowded answers late, each time. What it tells counts all the same.
#[test]
fn a_drain_is_heard_from_a_discovery_that_takes_its_time() {
    run_local(async {
        let one = Worker::start("w-1", "combined", |_, _| served()).await;
        let two = Worker::start("w-2", "combined", |_, _| served()).await;
        let platform = Platform::start(&[&one, &two]).await;
        let home = if body(&platform.complete("a1").await).1 && one.completion_requests().len() == 1 {
            &one
        } else {
            &two
        };
        platform.discovery.slow_ms.set(1600);
        // A new configuration asks for the whole list anew.
        platform.signals.send(Signal::Reload).await.unwrap();
        let other = if home.name == one.name { &two } else { &one };
        let hosts = [host(home, "draining"), host(other, "ready")];
        platform.discovery.publish(json!({ "seq": 2, "whole": true, "hosts": hosts }).to_string());
        // A change counts as told 6 s after discovery had it and could be reached.
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
        let worker = Worker::start("w-1", "combined", |_, _| served()).await;
        let platform = Platform::start(&[&worker]).await;
        for version in 2..12 {
            platform.discovery.publish(list(version, &[&worker]).to_string());
            let waits = format!("from={version}&");
            let called = async {
                while !platform.discovery.calls.borrow().iter().any(|call| call.contains(&waits)) {
                    sleep(ms(1)).await;
                }
            };
            timeout(ms(2000), called).await.expect("a watch goes on");
        }
        let calls = platform.discovery.calls.borrow();
        assert_eq!(calls[0], "/catalog/members");
        assert!(
            calls[1..].iter().all(|call| call.contains("hold_ms=")),
            "the whole is asked for once: {calls:?}"
        );
    });
}

/// A watch's answer that can't be read has taken its changes with it: the next call asks for the whole list.
#[test]
fn a_drain_in_an_answer_that_can_not_be_read_is_in_the_whole_list() {
    run_local(async {
        let one = Worker::start("w-1", "combined", |_, _| served()).await;
        let two = Worker::start("w-2", "combined", |_, _| served()).await;
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
fn a_new_configuration_moves_discovery_and_a_torn_one_changes_nothing() {
    run_local(async {
        let one = Worker::start("w-1", "combined", |_, _| served()).await;
        let two = Worker::start("w-2", "combined", |_, _| served()).await;
        let platform = Platform::start(&[&one]).await;
        platform.discovery.publish(list(900, &[&one]).to_string());
        sleep(ms(30)).await;
        let text = platform.config.to_string();
        let wrong = text.replace("\"discovery\"", "\"discover\"");
        for torn in [&text[..text.len() / 2], "", wrong.as_str()] {
            std::fs::write(&platform.file, torn).unwrap();
            platform.signals.send(Signal::Reload).await.unwrap();
            sleep(ms(30)).await;
            assert!(body(&platform.complete("a1").await).1, "{torn:.40}");
        }
        // The other address counts from the beginning: its lower version is the newer word.
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
        // The old address says nothing to anybody any more.
        let calls = platform.discovery.calls.borrow().len();
        platform.discovery.publish(list(901, &[&one]).to_string());
        sleep(ms(50)).await;
        assert!(platform.discovery.calls.borrow().len() <= calls + 1);
        assert!(body(&platform.complete("a3").await).1);
        assert_eq!(two.completion_requests().len(), 2);
    });
}

#[test]
fn after_sigterm_what_comes_is_answered_and_streams_run_to_their_end() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| {
            let mut steps = vec![Step::Send(format!("{HEAD}{}", chunk(FIRST)))];
            steps.extend((0..10).flat_map(|_| [Step::Wait(150), Step::Send(chunk(FIRST))]));
            steps.extend([Step::Send(chunk(LAST)), Step::Send("0\r\n\r\n".into())]);
            steps
        })
        .await;
        let mut platform = Platform::start(&[&worker]).await;
        let mut resting = TcpStream::connect(platform.clients).await.unwrap();
        resting.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        resting.read_exact(&mut [0; 64]).await.unwrap();
        let mut open = TcpStream::connect(platform.clients).await.unwrap();
        open.write_all(completion("a1", "", "{}").as_bytes()).await.unwrap();
        open.read_exact(&mut [0; 64]).await.unwrap();
        let began = Instant::now();
        platform.signals.send(Signal::Stop).await.unwrap();
        sleep(ms(200)).await;
        worker.set_script(|_, _| served());
        assert!(body(&platform.complete("a2").await).1, "who comes late is answered");
        let mut answer = Vec::new();
        open.read_to_end(&mut answer).await.unwrap();
        assert!(String::from_utf8(answer).unwrap().ends_with("\r\n0\r\n\r\n"), "the stream ran to its end");
        assert!(began.elapsed() > ms(1000));
        (&mut platform.router).await.unwrap().unwrap();
        assert!(began.elapsed() < ms(8000), "{:?}", began.elapsed());
        // What rested was closed, with nothing said.
        let mut rest = Vec::new();
        resting.read_to_end(&mut rest).await.unwrap();
        assert!(!String::from_utf8(rest).unwrap().contains("HTTP/1.1 5"));
    });
}

#[test]
fn what_is_unanswered_late_after_sigterm_gets_its_final_answer() {
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
        // It may have run, and is idempotent or not: nothing is promised.
        assert!(answer.starts_with(b"HTTP/1.1 502 "), "{}", String::from_utf8_lossy(&answer));
        assert!(began.elapsed() < ms(7000), "before the client gives up: {:?}", began.elapsed());
        platform.router.await.unwrap().unwrap();
    });
}

fn without_memory() -> serde_json::Value {
    let mut settings = settings();
    settings["family_info"]["kv_tokens"][1] = 0.0.into();
    settings
}

fn without_attempts() -> serde_json::Value {
    let mut settings = settings();
    settings["caps"]["max_attempts"] = 0.into();
    settings
}

#[test]
fn a_configuration_that_can_not_be_is_named_by_its_field() {
    run_local(async {
        for (field, wrong, said) in [
            ("discovery", json!("nowhere"), "discovery"),
            ("listen", json!(7), "listen"),
            ("limits", json!({ "memory_mb": 64 }), "limits: missing field `sockets`"),
            ("limits", json!({ "memory_mb": 64, "sockets": 3 }), "limits.sockets"),
            ("limits", json!({ "memory_mb": -1, "sockets": 300 }), "limits.memory_mb"),
            ("settings", json!({}), "settings: missing field"),
            ("settings", without_memory(), "family_info.kv_tokens for 'decode' is 0"),
            ("settings", without_attempts(), "caps.max_attempts is 0"),
            ("known", json!({ "seq": 1, "hosts": [{ "health": "ready" }] }), "known.hosts[0]"),
        ] {
            let mut config = config("127.0.0.1:9");
            config[field] = wrong;
            let dir = tempfile::tempdir().unwrap();
            let file = dir.path().join("config.json");
            std::fs::write(&file, config.to_string()).unwrap();
            let (_signals, taken) = tokio::sync::mpsc::channel(1);
            let cause = paddleproxy_gateway::serve(&file, taken, |_| {}).await.unwrap_err();
            let cause = format!("{cause:#}");
            assert!(cause.contains(said) && cause.lines().count() == 1, "{field}: {cause}");
        }
    });
}

/// Connections to workers, descriptors and what the router counts as open all come back to where they were.
#[test]
fn nothing_grows_with_clients_and_workers_that_come_and_go() {
    fn descriptors() -> usize {
        std::fs::read_dir("/proc/self/fd").unwrap().count()
    }
    run_local(async {
        let one = Worker::start("w-1", "combined", |_, _| served()).await;
        let platform = Platform::start(&[&one]).await;
        let mut at = Vec::new();
        for round in 0..6 {
            for step in 0..150 {
                let request = completion(&format!("r{round}-{step}"), "Connection: close\r\n", "{}")
                    .replace("7f3a9c21e0b4d655", &format!("{round:x}{step:x}"));
                assert!(body(&raw(platform.clients, request.as_bytes()).await).1);
                // A worker with a name that was never there before, and the last one gone.
                let seq = 10 + round * 150 + step;
                let mut listed = list(seq, &[&one]);
                listed["hosts"][0]["host"] = format!("w-{seq}").into();
                platform.discovery.publish(listed.to_string());
            }
            sleep(ms(60)).await;
            at.push(descriptors());
        }
        assert!(at[5] <= at[1] + 4, "descriptors by round: {at:?}");
    });
}

/// Configurations that can't be read are tried again; the word to stop does not wait for them.
#[test]
fn the_word_to_stop_does_not_wait_behind_configurations_that_can_not_be_read() {
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
        // The kill comes 3.7 s after the word to stop, the last answers at 3.5 s.
        assert!(began.elapsed() < ms(3650), "{:?}", began.elapsed());
        platform.router.await.unwrap().unwrap();
    });
}

/// The word to stop comes while the address is still in use: a router that listened later than that would take requests in the
/// time that is left to the kill.
#[test]
fn a_router_told_to_stop_before_it_listens_never_does() {
    run_local(async {
        let holder = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut settings = config("127.0.0.1:9");
        settings["listen"] = holder.local_addr().unwrap().to_string().into();
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("config.json");
        std::fs::write(&file, settings.to_string()).unwrap();
        let (signals, taken) = tokio::sync::mpsc::channel(4);
        let router = tokio::task::spawn_local(async move {
            paddleproxy_gateway::serve(&file, taken, |_| panic!("it listens")).await
        });
        sleep(ms(50)).await;
        for signal in [Signal::Reload, Signal::Stop] {
            signals.send(signal).await.unwrap();
        }
        let ended = timeout(ms(1000), router).await.expect("it ends at once");
        ended.unwrap().unwrap();
    });
}

/// The word to stop comes while a router waits for a discovery that is silent; its start ends later than that, and makes
/// it no router that takes more.
#[test]
fn a_router_that_is_told_to_stop_while_it_starts_ends() {
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
        let (signals, taken) = tokio::sync::mpsc::channel(4);
        let (sender, ready) = tokio::sync::oneshot::channel();
        let router = tokio::task::spawn_local(async move {
            paddleproxy_gateway::serve(&file, taken, move |at| sender.send(at).unwrap()).await
        });
        let began = Instant::now();
        let mut open = TcpStream::connect(ready.await.unwrap()).await.unwrap();
        open.write_all(completion("a1", "", "{}").as_bytes()).await.unwrap();
        signals.send(Signal::Stop).await.unwrap();
        let mut answer = Vec::new();
        open.read_to_end(&mut answer).await.unwrap();
        assert!(body(&String::from_utf8(answer).unwrap()).1, "it is served");
        // Answered at 1.9 s, and closed then: the last answers are given at 3 s.
        assert!(began.elapsed() < ms(2600), "{:?}", began.elapsed());
        router.await.unwrap().unwrap();
    });
}
