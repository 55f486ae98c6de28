//! What is held at workers is let go within the limit, whoever else is out of reach: built from days on which a zone
//! was cut off just as a read ended (`docs/incidents/2026-12-02-left-pinned.md`).

mod common;

use std::rc::Rc;

use common::*;
use tokio::time::Instant;

const ROOM: &str = "/bootstrap/rooms/a1";

fn say(text: impl Into<String>) -> Vec<Step> {
    vec![Step::Send(text.into())]
}

fn read() -> Vec<Step> {
    say(plain("202 Read", "", "{\"cached_tokens\":0}"))
}

fn long() -> String {
    prompt("a1", 9000, "Connection: close\r\n", "{}")
}

/// Settings under which a silent write is given up only by its client, long after the limit.
fn patient(config: &mut serde_json::Value) {
    config["settings"]["services"][0]["slo_s"] = 20.0.into();
}

/// Workers that take connections and say nothing, none of which can read or is first by name without cause.
async fn silent(names: &[&str]) -> Vec<Rc<Worker>> {
    let mut all = Vec::new();
    for name in names {
        let worker = Worker::start(name, "decode", |_, _| vec![Step::Hang]).await;
        worker.ignores_calls.set(true);
        all.push(worker);
    }
    all
}

/// The read ended; its write went into a connection that stays open and quiet, and so do all calls to the holder and to
/// the workers that come first by name. One other hears.
#[test]
fn a_state_whose_write_went_into_silence_is_let_go_by_who_hears() {
    run_local(async {
        let quiet = silent(&["a-1", "a-2", "a-3", "a-4", "a-5", "a-6", "a-7", "a-8"]).await;
        let reader = Worker::start("b-reader", "prefill", |_, _| read()).await;
        reader.ignores_calls.set(true);
        let home = Worker::start("c-home", "combined", |_, _| vec![Step::Hang]).await;
        home.ignores_calls.set(true);
        let hears = Worker::start("z-hears", "prefill", |_, _| vec![Step::Hang]).await;
        let mut workers: Vec<_> = quiet.iter().map(|worker| &**worker).collect();
        workers.extend([&*reader, &*home, &*hears]);
        // Who reads is by hash: the other is gone from the list until the state waits.
        let platform = Platform::with(&workers[..workers.len() - 1], patient).await;
        let request = long();
        let asked = raw(platform.clients, request.as_bytes());
        tokio::pin!(asked);
        tokio::select! {
            answer = &mut asked => panic!("answered early: {answer}"),
            () = wait_while(|| home.completion_requests().is_empty()) => {}
        }
        let began = Instant::now();
        platform.discovery.publish(list(2, &workers).to_string());
        tokio::select! {
            answer = &mut asked => panic!("answered early: {answer}"),
            () = wait_while(|| hears.calls("DELETE").is_empty()) => {}
        }
        // The write is still out: its client gives up after 8 s.
        assert!(began.elapsed() < ms(6000), "{:?}", began.elapsed());
        assert_eq!(hears.calls("DELETE"), [ROOM]);
        assert_eq!(home.closed.get(), 0, "the write was not called off");
    });
}

/// A writer that can't reach the holder says that the state is gone. It waits on.
#[test]
fn a_state_that_a_writer_calls_gone_is_let_go() {
    run_local(async {
        // One read is all that it takes: nothing else is held, and nothing else lets go.
        let full = plain("503 Full", "Srv-Declined: 1\r\n", "");
        let once =
            move |_: &RecordedRequest, asked: usize| if asked == 0 { read() } else { say(full.clone()) };
        let reader = Worker::start("r-1", "prefill", once).await;
        let gone = plain("410 Gone", "Srv-Declined: 1\r\n", "{}");
        let home = Worker::start("w-1", "combined", move |_, _| say(gone.clone())).await;
        let platform = Platform::start(&[&reader, &home]).await;
        let answer = raw(platform.clients, long().as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 429 "), "{answer}");
        wait_while(|| reader.calls("DELETE").is_empty()).await;
        assert!(reader.calls("DELETE").iter().all(|path| path == ROOM));
    });
}

/// Beside silence and refusals, one worker in twenty hears, the last by name.
#[test]
fn silence_and_refusals_do_not_hold_a_release_up() {
    run_local(async {
        let names: Vec<_> = (0..18).map(|number| format!("a-{number:02}")).collect();
        let quiet = silent(&names.iter().map(String::as_str).collect::<Vec<_>>()).await;
        // A read that breaks may have finished: what it left is let go of, and its worker is gone with it.
        let reader = Worker::start("b-reader", "prefill", |_, _| vec![Step::Wait(20), Step::Close]).await;
        reader.ignores_calls.set(true);
        let hears = Worker::start("z-hears", "decode", |_, _| vec![Step::Hang]).await;
        let mut workers: Vec<_> = quiet.iter().map(|worker| &**worker).collect();
        workers.extend([&*reader, &*hears]);
        let refused = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let platform = Platform::with(&workers, |config| {
            for host in 0..6 {
                config["known"]["hosts"][host]["dial"] = refused.to_string().into();
            }
            config["settings"]["family_info"]["self_prefill"] = false.into();
        })
        .await;
        let began = Instant::now();
        let answer = raw(platform.clients, long().as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 429 "), "{answer}");
        wait_while(|| hears.calls("DELETE").is_empty()).await;
        assert!(began.elapsed() < ms(6000), "{:?}", began.elapsed());
        let calls: usize = workers.iter().map(|worker| worker.calls("DELETE").len()).sum();
        assert!(calls <= 20, "{calls} calls for one release");
    });
}

/// Where nobody hears, it is told again until somebody can.
#[test]
fn a_release_is_told_again_until_somebody_hears() {
    run_local(async {
        let reader = Worker::start("r-1", "prefill", |_, _| vec![Step::Wait(20), Step::Close]).await;
        let full = plain("503 Full", "Srv-Declined: 1\r\n", "");
        let home = Worker::start("w-1", "combined", move |_, _| say(full.clone())).await;
        let both = [reader.clone(), home.clone()];
        both.iter().for_each(|worker| worker.ignores_calls.set(true));
        let platform = Platform::start(&[&reader, &home]).await;
        let answer = raw(platform.clients, long().as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 429 "), "{answer}");
        let told = || both.iter().map(|worker| worker.calls("DELETE").len()).sum::<usize>();
        wait_while(|| told() < 4).await;
        both.iter().for_each(|worker| worker.ignores_calls.set(false));
        let before = told();
        wait_while(|| told() < before + 1).await;
        // Once it is heard there is silence; what crossed with that may still come.
        tokio::time::sleep(ms(700)).await;
        assert!(told() <= before + 4, "{before} and then {}", told());
    });
}
