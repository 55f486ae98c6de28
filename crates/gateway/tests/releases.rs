//! State held at servers is released within the limit, whichever other servers are unreachable. Guards
//! against state that stayed held when a zone lost its network just as a read ended
//! (`docs/incidents/2026-12-02-left-pinned.md`).

mod common;

use std::rc::Rc;

use common::*;
use tokio::time::Instant;

const HOLD_PATH: &str = "/bootstrap/rooms/a1";

fn reply(text: impl Into<String>) -> Vec<Step> {
    vec![Step::Send(text.into())]
}

fn finished_read() -> Vec<Step> {
    reply(plain("202 Read", "", "{\"cached_tokens\":0}"))
}

fn long_request() -> String {
    prompt("a1", 9000, "Connection: close\r\n", "{}")
}

/// Settings under which only the client's timeout ends a write without an answer, long after the limit.
fn long_target(config: &mut serde_json::Value) {
    config["settings"]["services"][0]["slo_s"] = 20.0.into();
}

/// Workers that accept connections and never answer. None can be chosen as a reader; callers pick names that
/// sort before the others.
async fn silent_workers(names: &[&str]) -> Vec<Rc<Worker>> {
    let mut workers = Vec::new();
    for name in names {
        let worker = Worker::start(name, "decode", |_, _| vec![Step::Hang]).await;
        worker.ignores_calls.set(true);
        workers.push(worker);
    }
    workers
}

/// The read finished, but its write was sent on a connection that stays open without an answer. The release
/// calls to the holder and to the workers that are first by name get no answer either; one other worker
/// answers.
#[test]
fn a_state_whose_write_gets_no_answer_is_released_by_a_reachable_worker() {
    run_local(async {
        let silent = silent_workers(&["a-1", "a-2", "a-3", "a-4", "a-5", "a-6", "a-7", "a-8"]).await;
        let reader = Worker::start("b-reader", "prefill", |_, _| finished_read()).await;
        reader.ignores_calls.set(true);
        let home = Worker::start("c-home", "combined", |_, _| vec![Step::Hang]).await;
        home.ignores_calls.set(true);
        let reachable = Worker::start("z-hears", "prefill", |_, _| vec![Step::Hang]).await;
        let mut workers: Vec<_> = silent.iter().map(|worker| &**worker).collect();
        workers.extend([&*reader, &*home, &*reachable]);
        // The reader is chosen by hash, so the reachable worker joins the list only once the state is held.
        let platform = Platform::with(&workers[..workers.len() - 1], long_target).await;
        let request = long_request();
        let answer = raw(platform.clients, request.as_bytes());
        tokio::pin!(answer);
        tokio::select! {
            answer = &mut answer => panic!("answered early: {answer}"),
            () = wait_while(|| home.completion_requests().is_empty()) => {}
        }
        let began = Instant::now();
        platform.discovery.publish(list(2, &workers).to_string());
        tokio::select! {
            answer = &mut answer => panic!("answered early: {answer}"),
            () = wait_while(|| reachable.calls("DELETE").is_empty()) => {}
        }
        // The write is still in flight: its client's timeout is 8 s.
        assert!(began.elapsed() < ms(6000), "{:?}", began.elapsed());
        assert_eq!(reachable.calls("DELETE"), [HOLD_PATH]);
        assert_eq!(home.closed.get(), 0, "the write was not cancelled");
    });
}

/// A writer that can't reach the holder reports that the state is gone, although the holder still has it.
#[test]
fn a_state_that_a_writer_reports_gone_is_released() {
    run_local(async {
        // The reader accepts one read only, so there is one state and one release.
        let full = plain("503 Full", "Srv-Declined: 1\r\n", "");
        let once = move |_: &RecordedRequest, received: usize| {
            if received == 0 {
                finished_read()
            } else {
                reply(full.clone())
            }
        };
        let reader = Worker::start("r-1", "prefill", once).await;
        let gone = plain("410 Gone", "Srv-Declined: 1\r\n", "{}");
        let home = Worker::start("w-1", "combined", move |_, _| reply(gone.clone())).await;
        let platform = Platform::start(&[&reader, &home]).await;
        let answer = raw(platform.clients, long_request().as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 429 "), "{answer}");
        wait_while(|| reader.calls("DELETE").is_empty()).await;
        assert!(reader.calls("DELETE").iter().all(|path| path == HOLD_PATH));
    });
}

/// Of twenty workers only the last by name answers; the others time out or refuse connections.
#[test]
fn timeouts_and_refused_connections_do_not_delay_a_release() {
    run_local(async {
        let names: Vec<_> = (0..18).map(|number| format!("a-{number:02}")).collect();
        let silent = silent_workers(&names.iter().map(String::as_str).collect::<Vec<_>>()).await;
        // A read whose connection breaks may have finished, so its state is released; its worker does not
        // answer.
        let reader = Worker::start("b-reader", "prefill", |_, _| vec![Step::Wait(20), Step::Close]).await;
        reader.ignores_calls.set(true);
        let reachable = Worker::start("z-hears", "decode", |_, _| vec![Step::Hang]).await;
        let mut workers: Vec<_> = silent.iter().map(|worker| &**worker).collect();
        workers.extend([&*reader, &*reachable]);
        let closed_port = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let platform = Platform::with(&workers, |config| {
            for host in 0..6 {
                config["known"]["hosts"][host]["dial"] = closed_port.to_string().into();
            }
            config["settings"]["family_info"]["self_prefill"] = false.into();
        })
        .await;
        let began = Instant::now();
        let answer = raw(platform.clients, long_request().as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 429 "), "{answer}");
        wait_while(|| reachable.calls("DELETE").is_empty()).await;
        assert!(began.elapsed() < ms(6000), "{:?}", began.elapsed());
        let calls: usize = workers.iter().map(|worker| worker.calls("DELETE").len()).sum();
        assert!(calls <= 20, "{calls} calls for one release");
    });
}

/// A release that no worker acknowledges is retried until one does.
#[test]
fn a_release_is_retried_until_acknowledged() {
    run_local(async {
        let reader = Worker::start("r-1", "prefill", |_, _| vec![Step::Wait(20), Step::Close]).await;
        let full = plain("503 Full", "Srv-Declined: 1\r\n", "");
        let home = Worker::start("w-1", "combined", move |_, _| reply(full.clone())).await;
        let both = [reader.clone(), home.clone()];
        both.iter().for_each(|worker| worker.ignores_calls.set(true));
        let platform = Platform::start(&[&reader, &home]).await;
        let answer = raw(platform.clients, long_request().as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 429 "), "{answer}");
        let calls = || both.iter().map(|worker| worker.calls("DELETE").len()).sum::<usize>();
        wait_while(|| calls() < 4).await;
        both.iter().for_each(|worker| worker.ignores_calls.set(false));
        let before = calls();
        wait_while(|| calls() < before + 1).await;
        // Calls stop after the acknowledgement; those already in flight may still arrive.
        tokio::time::sleep(ms(700)).await;
        assert!(calls() <= before + 4, "{before} and then {}", calls());
    });
}
