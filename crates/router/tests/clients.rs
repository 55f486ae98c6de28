//! Edge cases of client connections, over loopback: every request must get exactly one final answer.

mod common;

use std::time::Duration;

use common::{client_request, finals, run_local, send_raw, start, Bench};
use paddleproxy_day::client::ClientEvent;
use paddleproxy_fleet::record::What;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

fn post(body: &str, headers: &str) -> String {
    let length = body.len();
    format!("POST /v1/messages HTTP/1.1\r\nhost: x\r\nx-api-key: app-key\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

fn body(text: &str, tokens: u32, stream: bool) -> String {
    format!(
        "{{\"model\":\"chat-large\",\"max_tokens\":{tokens},\"stream\":{stream},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}]}}"
    )
}

async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    while !String::from_utf8_lossy(&answer).contains(text) {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(read) => answer.extend_from_slice(&buffer[..read]),
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Waits until nothing is open at the router and checks that no answer was dropped and no emulated server
/// holds a state.
async fn assert_idle(bench: &Bench) {
    for line in ["completions_open 0\n", "places_open 0\n"] {
        bench.until("/metrics", line).await;
    }
    assert_eq!(bench.metric("answers_dropped_total").await, 0);
    for name in bench.fleet.names() {
        assert!(bench.fleet.server(name).unwrap().states() == 0, "a state is held at {name}");
    }
}

/// How many times the effect of a key was carried out; duplicates that servers dropped don't count.
fn effects(bench: &Bench, key: &str) -> usize {
    let is_effect =
        |what: &What| matches!(what, What::Effect { key: of, repeat: false, .. } if of.ends_with(key));
    bench.record.lines().iter().filter(|line| is_effect(&line.what)).count()
}

#[test]
fn requests_on_one_connection_are_answered_in_order() {
    run_local(async {
        let bench = start(&[]).await;
        let mut stream = TcpStream::connect(bench.clients).await.unwrap();
        // Pipelined: all three are sent before the first is answered.
        let close = post(&body("c", 2, false), "connection: close\r\n");
        let all = post(&body("a", 2, true), "") + &post("{", "") + &close;
        stream.write_all(all.as_bytes()).await.unwrap();
        let answer = read_until(&mut stream, "\u{0}").await;
        let positions: Vec<_> =
            ["event: message_stop", "HTTP/1.1 400", "\"stop_reason\":\"end_turn\",\"stop_sequence\""]
                .iter()
                .map(|text| answer.rfind(text).unwrap_or_else(|| panic!("no {text} in {answer}")))
                .collect();
        assert!(positions.is_sorted(), "{answer}");
        assert_idle(&bench).await;
    });
}

#[test]
fn a_connection_with_an_incomplete_request_is_closed_and_new_ones_work() {
    run_local(async {
        let bench = start(&[("body-time \"5s\"", "body-time \"100ms\"")]).await;
        let mut stream = TcpStream::connect(bench.clients).await.unwrap();
        let incomplete = post(&body("a", 2, false), "");
        stream.write_all(&incomplete.as_bytes()[..incomplete.len() - 10]).await.unwrap();
        let answer = read_until(&mut stream, "timeout_error").await;
        assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
        // Further bytes could belong to the missing body: they must not be parsed as a request.
        let _ = stream.write_all(post(&body("b", 2, false), "").as_bytes()).await;
        let rest = read_until(&mut stream, "end_turn").await;
        assert!(!rest.contains("end_turn"), "{rest}");
        assert_eq!(finals(&bench.send(&client_request("c", "chat-large", 5, true)).await), ["finished"]);
        assert_idle(&bench).await;
    });
}

#[test]
fn concurrent_requests_with_one_key_run_once() {
    run_local(async {
        let bench = start(&[]).await;
        let request = client_request("k", "chat-large", 5, true);
        let (first, second) = tokio::join!(bench.send(&request), bench.send(&request));
        let mut both = [finals(&first), finals(&second)];
        both.sort();
        assert_eq!(both, [["aborted"], ["finished"]]);
        let third = bench.send(&request).await;
        assert_eq!(finals(&third), ["finished"]);
        assert_eq!((effects(&bench, "k"), bench.metric("answers_again_total").await), (1, 1));
        assert_idle(&bench).await;
    });
}

#[test]
fn a_retry_after_a_client_disconnect_has_one_effect() {
    run_local(async {
        let bench = start(&[]).await;
        let mut request = client_request("k", "chat-large", 5, true);
        request.body = request.body.replace("\"max_tokens\":8", "\"max_tokens\":60");
        assert!(tokio::time::timeout(Duration::from_millis(250), bench.send(&request)).await.is_err());
        sleep(Duration::from_millis(100)).await;
        assert_eq!(finals(&bench.send(&request).await), ["finished"]);
        assert_eq!(effects(&bench, "k"), 1);
        assert_idle(&bench).await;
    });
}

#[test]
fn a_non_idempotent_key_of_unknown_outcome_is_refused_and_not_run() {
    run_local(async {
        let bench = start(&[]).await;
        let mut request = client_request("k", "notice", 5, true);
        request.body = request.body.replace("\"max_tokens\":8", "\"max_tokens\":60");
        bench.send_and_disconnect(&request).await;
        bench.until("/metrics", "completions_left_total 1").await;
        let retry = bench.send(&request).await;
        assert_eq!(retry[0], ClientEvent::Head { status: 409, retry_after_ms: 0.0 });
        assert_eq!(effects(&bench, "k"), 1);
        assert_idle(&bench).await;
    });
}

#[test]
fn a_client_that_reads_nothing_is_disconnected_and_its_completion_cancelled() {
    run_local(async {
        let slow = [
            ("slow-client \"5s\"", "slow-client \"300ms\""),
            ("answer-bytes 1000000", "answer-bytes 100000000"),
        ];
        let bench = start(&slow).await;
        // A server whose answer is larger than all buffers between it and the client, written without
        // pauses.
        let large_answer = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n".to_owned()
            + &format!("data: {{\"choices\":[{{\"text\":\"{}\"}}]}}\n\n", "w".repeat(30_000)).repeat(600);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(paddleproxy_fleet::http::listen_raw(listener, large_answer.into_bytes()));
        bench.fleet.server("n-mixed1").unwrap().address.set(address);
        bench.fleet.server("n-mixed1").unwrap().list("ready");
        bench.until("/metrics", "list_version 4").await;
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let mut slow = socket.connect(bench.clients).await.unwrap();
        slow.write_all(post(&body("a", 2000, true), "").as_bytes()).await.unwrap();
        bench.until("/metrics", "completions_left_total 1").await;
        bench.until("/metrics", "connections_open 0\n").await;
        assert_idle(&bench).await;
    });
}

#[test]
fn slow_readers_do_not_delay_other_clients() {
    run_local(async {
        let bench = start(&[]).await;
        let mut slow = Vec::new();
        for number in 0..50 {
            let mut stream = TcpStream::connect(bench.clients).await.unwrap();
            stream.write_all(post(&body(&format!("s{number}"), 400, true), "").as_bytes()).await.unwrap();
            slow.push(stream);
        }
        sleep(Duration::from_millis(100)).await;
        for number in 0..10 {
            let seen = bench.send(&client_request(&format!("f{number}"), "chat-large", 5, true)).await;
            assert_eq!(finals(&seen), ["finished"]);
        }
        drop(slow);
        assert_idle(&bench).await;
    });
}

#[test]
fn two_thousand_incomplete_request_heads_do_not_block_other_clients() {
    run_local(async {
        let bench = start(&[("header-time \"5s\"", "header-time \"600ms\"")]).await;
        let mut trickling = Vec::new();
        for _ in 0..2000 {
            let mut stream = TcpStream::connect(bench.clients).await.unwrap();
            stream.write_all(b"POST /v1/mess").await.unwrap();
            trickling.push(stream);
        }
        for id in ["a", "b", "c"] {
            assert_eq!(finals(&bench.send(&client_request(id, "chat-large", 5, true)).await), ["finished"]);
        }
        bench.until("/metrics", "connections_open 0\n").await;
        drop(trickling);
        assert_idle(&bench).await;
    });
}

#[test]
fn a_burst_of_one_customer_is_limited_and_others_are_served() {
    run_local(async {
        let limits = "requests-per-s 2000\n        open 20 //";
        let bench = start(&[("requests-per-s 2000", limits), ("open 3000", "")]).await;
        let burst = async {
            let requests: Vec<_> =
                (0..200).map(|number| client_request(&format!("b{number}"), "chat-large", 5, true)).collect();
            let seen =
                futures_util::future::join_all(requests.iter().map(|request| bench.send(request))).await;
            seen.iter().map(|seen| finals(seen)).collect::<Vec<_>>()
        };
        let other_customer = async {
            sleep(Duration::from_millis(5)).await;
            let mut request = client_request("d", "chat-large", 5, true);
            request.key = "desk-key".into();
            finals(&bench.send(&request).await)
        };
        let (burst, other) = tokio::join!(burst, other_customer);
        assert_eq!(other, ["finished"]);
        let count = |how| burst.iter().filter(|finals| finals.as_slice() == [how]).count();
        assert_eq!(count("finished") + count("rate-limited"), 200);
        assert!(count("finished") >= 20 && count("rate-limited") >= 100, "{}", count("finished"));
        assert_idle(&bench).await;
    });
}

#[test]
fn deadlines_before_at_and_after_the_first_token_give_one_answer() {
    run_local(async {
        let bench = start(&[]).await;
        // The first token takes about 20 ms; once an answer has begun it has no deadline.
        for timeout_ms in [1.0, 5.0, 10.0, 15.0, 20.0, 22.0, 25.0, 30.0, 50.0, 100.0] {
            let mut request = client_request(&format!("t{timeout_ms}"), "chat-large", 5, true);
            request.timeout_ms = timeout_ms;
            let seen = bench.send(&request).await;
            assert_eq!(finals(&seen).len(), 1, "{timeout_ms}: {seen:?}");
        }
        assert_eq!(bench.metric("answers_overdue_total").await, 0);
        assert_idle(&bench).await;
    });
}

#[test]
fn all_dialects_are_served() {
    run_local(async {
        let bench = start(&[]).await;
        let send = |path: &str, text: &str| {
            let request = post(&body(text, 4, true), "connection: close\r\n").replace("/v1/messages", path);
            let clients = bench.clients;
            async move { send_raw(clients, request.as_bytes()).await }
        };
        let messages = send("/v1/messages", "a").await;
        assert!(messages.contains("event: message_start\n") && messages.contains("event: message_stop\n"));
        let desk = send("/desk/messages", "b").await;
        assert!(desk.contains("event: answer.begin\n") && desk.contains("event: answer.text\n"), "{desk}");
        assert!(desk.contains("event: answer.end\n") && !desk.contains("content_block_start"), "{desk}");
        let chat = send("/v1/chat/completions", "c").await;
        assert!(chat.contains("chat.completion.chunk") && chat.contains("data: [DONE]\n"), "{chat}");
        assert!(send("/v1/embeddings", "d").await.starts_with("HTTP/1.1 404 "));
        let count = send_raw(
            bench.clients,
            post(&body(&"x".repeat(40), 1, false), "connection: close\r\n")
                .replace("/v1/messages", "/v1/messages/count_tokens")
                .as_bytes(),
        )
        .await;
        assert!(count.contains("{\"input_tokens\":10}"), "{count}");
        assert_idle(&bench).await;
    });
}
