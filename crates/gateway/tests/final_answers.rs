//! Every request gets exactly one final answer, whatever fails at servers or with other clients, and an
//! abandoned request gets it at once.

mod common;

use common::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Sends requests with this client timeout at the same time, and returns the answers and how long each took,
/// in ms.
async fn answers_to(platform: &Platform, count: usize, tokens: usize, timeout_ms: u64) -> Vec<(String, u64)> {
    let send = |number: usize| {
        let clients = platform.clients;
        async move {
            let began = Instant::now();
            let mut client = TcpStream::connect(clients).await.unwrap();
            let request = prompt(&format!("r{number}"), tokens, "Connection: close\r\n", "{}")
                .replace("Req-Deadline: 8.000", &format!("Req-Deadline: {:.3}", timeout_ms as f64 / 1e3))
                .replace("7f3a9c21e0b4d655", &format!("{number:x}f"));
            client.write_all(request.as_bytes()).await.unwrap();
            let mut answer = Vec::new();
            client.read_to_end(&mut answer).await.expect("an answer without a reset");
            (String::from_utf8(answer).unwrap(), began.elapsed().as_millis() as u64)
        }
    };
    let tasks: Vec<_> = (0..count).map(|number| tokio::task::spawn_local(send(number))).collect();
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await.unwrap());
    }
    answers
}

fn is_one_final_answer(answer: &str) -> bool {
    answer.matches("HTTP/1.1 ").count() == 1
        && ["HTTP/1.1 429 ", "HTTP/1.1 502 ", "HTTP/1.1 503 "].iter().any(|status| answer.starts_with(status))
}

/// The servers of one role hang: the readers, or those that write answers.
#[test]
fn each_request_is_answered_while_all_servers_of_a_role_hang() {
    for hung in ["prefill", "combined"] {
        run_local(async {
            let script = move |kind: &'static str| {
                move |_: &RecordedRequest, _: usize| match kind == hung {
                    true => vec![Step::Hang],
                    false => vec![Step::Send(plain("202 Read", "", "{\"cached_tokens\":0}"))],
                }
            };
            let reader = Worker::start("r-1", "prefill", script("prefill")).await;
            let home = Worker::start("w-1", "combined", script("combined")).await;
            let platform = Platform::start(&[&reader, &home]).await;
            for (answer, took_ms) in answers_to(&platform, 12, 9000, 1500).await {
                assert!(is_one_final_answer(&answer), "{hung}: {answer}");
                assert!(took_ms < 20_000, "{hung}: {took_ms} ms");
            }
        });
    }
}

/// Hundreds of clients send nothing or invalid data, and no server answers.
#[test]
fn valid_requests_are_answered_beside_a_flood_of_useless_connections() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| vec![Step::Hang]).await;
        let platform = Platform::with(&[&worker], |config| config["limits"]["sockets"] = 96.into()).await;
        platform.discovery.silent.set(true);
        let mut others = Vec::new();
        for number in 0..300 {
            let mut stream = TcpStream::connect(platform.clients).await.unwrap();
            if number % 3 == 0 {
                let _ = stream.write_all(b"\x01\x02 nothing of the kind").await;
            }
            others.push(stream);
        }
        for (answer, _) in answers_to(&platform, 12, 100, 1500).await {
            assert!(is_one_final_answer(&answer), "{answer}");
        }
        // Discovery gets its connection although idle clients hold all descriptors that clients may use.
        platform.discovery.silent.set(false);
        let calls = platform.discovery.calls.borrow().len();
        wait_while(|| platform.discovery.calls.borrow().len() == calls).await;
        drop(others);
    });
}

/// No server can accept the request, so its answer must not wait for the deadline.
#[test]
fn an_abandoned_request_is_answered_at_once() {
    run_local(async {
        let full = plain("503 Full", "Srv-Declined: 1\r\n", "");
        let worker = Worker::start("w-1", "combined", move |_, _| vec![Step::Send(full.clone())]).await;
        let platform = Platform::start(&[&worker]).await;
        let timeout_ms = 8000;
        for (answer, took_ms) in answers_to(&platform, 3, 100, timeout_ms).await {
            assert!(answer.starts_with("HTTP/1.1 429 ") && answer.contains("Retry-After: "), "{answer}");
            assert!(took_ms < timeout_ms / 2, "{took_ms} ms");
        }
    });
}
