//! Hard cases at the clients' side, on loopback; final answers are counted for each request.

mod common;

use std::time::Duration;

use common::{asking, finals, local, raw, start, Bench};
use paddleproxy_day::client::Seen;
use paddleproxy_fleet::record::What;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

fn post(body: &str, more: &str) -> String {
    let length = body.len();
    format!("POST /v1/messages HTTP/1.1\r\nhost: x\r\nx-api-key: app-key\r\n{more}content-length: {length}\r\n\r\n{body}")
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

/// Nothing is open or held at the router or the stand-ins any more.
async fn calm(bench: &Bench) {
    for line in ["completions_open 0\n", "places_open 0\n"] {
        bench.until("/metrics", line).await;
    }
    assert_eq!(bench.metric("answers_dropped_total").await, 0);
    for name in bench.fleet.names() {
        assert!(bench.fleet.server(name).unwrap().states() == 0, "a state is held at {name}");
    }
}

/// Work that took its effect, by key.
fn effects(bench: &Bench, key: &str) -> usize {
    let of = |what: &What| matches!(what, What::Effect { key: of, repeat: false, .. } if of.ends_with(key));
    bench.record.lines().iter().filter(|line| of(&line.what)).count()
}

#[test]
fn requests_on_one_connection_are_answered_in_order() {
    local(async {
        let bench = start(&[]).await;
        let mut stream = TcpStream::connect(bench.clients).await.unwrap();
        // Pipelined: all three leave before the first is answered.
        let close = post(&body("c", 2, false), "connection: close\r\n");
        let all = post(&body("a", 2, true), "") + &post("{", "") + &close;
        stream.write_all(all.as_bytes()).await.unwrap();
        let answer = read_until(&mut stream, "\u{0}").await;
        let places: Vec<_> =
            ["event: message_stop", "HTTP/1.1 400", "\"stop_reason\":\"end_turn\",\"stop_sequence\""]
                .iter()
                .map(|text| answer.rfind(text).unwrap_or_else(|| panic!("no {text} in {answer}")))
                .collect();
        assert!(places.is_sorted(), "{answer}");
        calm(&bench).await;
    });
}

#[test]
fn a_connection_whose_first_request_was_cut_serves_the_next_elsewhere() {
    local(async {
        let bench = start(&[("body-time \"5s\"", "body-time \"100ms\"")]).await;
        let mut stream = TcpStream::connect(bench.clients).await.unwrap();
        let cut = post(&body("a", 2, false), "");
        stream.write_all(&cut.as_bytes()[..cut.len() - 10]).await.unwrap();
        let answer = read_until(&mut stream, "timeout_error").await;
        assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
        // What comes on it now can't be told from the body that is missing: it must not be taken for a request.
        let _ = stream.write_all(post(&body("b", 2, false), "").as_bytes()).await;
        let rest = read_until(&mut stream, "end_turn").await;
        assert!(!rest.contains("end_turn"), "{rest}");
        assert_eq!(finals(&bench.ask(&asking("c", "chat-large", 5, true)).await), ["finished"]);
        calm(&bench).await;
    });
}

#[test]
fn the_same_key_at_once_runs_once() {
    local(async {
        let bench = start(&[]).await;
        let asked = asking("k", "chat-large", 5, true);
        let (first, second) = tokio::join!(bench.ask(&asked), bench.ask(&asked));
        let mut both = [finals(&first), finals(&second)];
        both.sort();
        assert_eq!(both, [["aborted"], ["finished"]]);
        let third = bench.ask(&asked).await;
        assert_eq!(finals(&third), ["finished"]);
        assert_eq!((effects(&bench, "k"), bench.metric("answers_again_total").await), (1, 1));
        calm(&bench).await;
    });
}

#[test]
fn a_key_whose_first_try_was_left_has_one_effect() {
    local(async {
        let bench = start(&[]).await;
        let mut asked = asking("k", "chat-large", 5, true);
        asked.body = asked.body.replace("\"max_tokens\":8", "\"max_tokens\":60");
        assert!(tokio::time::timeout(Duration::from_millis(250), bench.ask(&asked)).await.is_err());
        sleep(Duration::from_millis(100)).await;
        assert_eq!(finals(&bench.ask(&asked).await), ["finished"]);
        assert_eq!(effects(&bench, "k"), 1);
        calm(&bench).await;
    });
}

#[test]
fn a_non_idempotent_key_in_doubt_is_refused_and_not_run() {
    local(async {
        let bench = start(&[]).await;
        let mut asked = asking("k", "notice", 5, true);
        asked.body = asked.body.replace("\"max_tokens\":8", "\"max_tokens\":60");
        bench.ask_and_leave(&asked).await;
        bench.until("/metrics", "completions_left_total 1").await;
        let again = bench.ask(&asked).await;
        assert_eq!(again[0], Seen::Head { status: 409, retry_after_ms: 0.0 });
        assert_eq!(effects(&bench, "k"), 1);
        calm(&bench).await;
    });
}

#[test]
fn a_client_who_takes_nothing_is_cut_and_its_work_ends() {
    local(async {
        let slow = [
            ("slow-client \"5s\"", "slow-client \"300ms\""),
            ("answer-bytes 1000000", "answer-bytes 100000000"),
        ];
        let bench = start(&slow).await;
        // A stand-in that writes without a pause, an answer larger than all buffers between.
        let roomy = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n".to_owned()
            + &format!("data: {{\"choices\":[{{\"text\":\"{}\"}}]}}\n\n", "w".repeat(30_000)).repeat(600);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(paddleproxy_fleet::http::listen_raw(listener, roomy.into_bytes()));
        bench.fleet.server("n-mixed1").unwrap().address.set(address);
        bench.fleet.server("n-mixed1").unwrap().list("ready");
        bench.until("/metrics", "list_version 4").await;
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let mut slow = socket.connect(bench.clients).await.unwrap();
        slow.write_all(post(&body("a", 2000, true), "").as_bytes()).await.unwrap();
        bench.until("/metrics", "completions_left_total 1").await;
        bench.until("/metrics", "connections_open 0\n").await;
        calm(&bench).await;
    });
}

#[test]
fn a_slow_reader_slows_nobody_else() {
    local(async {
        let bench = start(&[]).await;
        let mut slow = Vec::new();
        for number in 0..50 {
            let mut stream = TcpStream::connect(bench.clients).await.unwrap();
            stream.write_all(post(&body(&format!("s{number}"), 400, true), "").as_bytes()).await.unwrap();
            slow.push(stream);
        }
        sleep(Duration::from_millis(100)).await;
        for number in 0..10 {
            let seen = bench.ask(&asking(&format!("f{number}"), "chat-large", 5, true)).await;
            assert_eq!(finals(&seen), ["finished"]);
        }
        drop(slow);
        calm(&bench).await;
    });
}

#[test]
fn two_thousand_connections_that_trickle_their_heads_harm_nobody() {
    local(async {
        let bench = start(&[("header-time \"5s\"", "header-time \"600ms\"")]).await;
        let mut trickling = Vec::new();
        for _ in 0..2000 {
            let mut stream = TcpStream::connect(bench.clients).await.unwrap();
            stream.write_all(b"POST /v1/mess").await.unwrap();
            trickling.push(stream);
        }
        for id in ["a", "b", "c"] {
            assert_eq!(finals(&bench.ask(&asking(id, "chat-large", 5, true)).await), ["finished"]);
        }
        bench.until("/metrics", "connections_open 0\n").await;
        drop(trickling);
        calm(&bench).await;
    });
}

#[test]
fn a_burst_of_one_customer_is_limited_and_the_others_served() {
    local(async {
        let limits = "requests-per-s 2000\n        open 20 //";
        let bench = start(&[("requests-per-s 2000", limits), ("open 3000", "")]).await;
        let burst = async {
            let asks: Vec<_> =
                (0..200).map(|number| asking(&format!("b{number}"), "chat-large", 5, true)).collect();
            let seen = futures_util::future::join_all(asks.iter().map(|asked| bench.ask(asked))).await;
            seen.iter().map(|seen| finals(seen)).collect::<Vec<_>>()
        };
        let desk = async {
            sleep(Duration::from_millis(5)).await;
            let mut asked = asking("d", "chat-large", 5, true);
            asked.key = "desk-key".into();
            finals(&bench.ask(&asked).await)
        };
        let (burst, desk) = tokio::join!(burst, desk);
        assert_eq!(desk, ["finished"]);
        let count = |how| burst.iter().filter(|finals| finals.as_slice() == [how]).count();
        assert_eq!(count("finished") + count("rate-limited"), 200);
        assert!(count("finished") >= 20 && count("rate-limited") >= 100, "{}", count("finished"));
        calm(&bench).await;
    });
}

#[test]
fn time_allowed_runs_out_before_at_and_after_the_first_token() {
    local(async {
        let bench = start(&[]).await;
        // The first token comes after some 20 ms; an answer that has begun has no deadline.
        for timeout_ms in [1.0, 5.0, 10.0, 15.0, 20.0, 22.0, 25.0, 30.0, 50.0, 100.0] {
            let mut asked = asking(&format!("t{timeout_ms}"), "chat-large", 5, true);
            asked.timeout_ms = timeout_ms;
            let seen = bench.ask(&asked).await;
            assert_eq!(finals(&seen).len(), 1, "{timeout_ms}: {seen:?}");
        }
        assert_eq!(bench.metric("answers_overdue_total").await, 0);
        calm(&bench).await;
    });
}

#[test]
fn forms_and_dialects_say_the_same() {
    local(async {
        let bench = start(&[]).await;
        let ask = |path: &str, text: &str| {
            let request = post(&body(text, 4, true), "connection: close\r\n").replace("/v1/messages", path);
            let clients = bench.clients;
            async move { raw(clients, request.as_bytes()).await }
        };
        let messages = ask("/v1/messages", "a").await;
        assert!(messages.contains("event: message_start\n") && messages.contains("event: message_stop\n"));
        let desk = ask("/desk/messages", "b").await;
        assert!(desk.contains("event: answer.begin\n") && desk.contains("event: answer.text\n"), "{desk}");
        assert!(desk.contains("event: answer.end\n") && !desk.contains("content_block_start"), "{desk}");
        let chat = ask("/v1/chat/completions", "c").await;
        assert!(chat.contains("chat.completion.chunk") && chat.contains("data: [DONE]\n"), "{chat}");
        assert!(ask("/v1/embeddings", "d").await.starts_with("HTTP/1.1 404 "));
        let count = raw(
            bench.clients,
            post(&body(&"x".repeat(40), 1, false), "connection: close\r\n")
                .replace("/v1/messages", "/v1/messages/count_tokens")
                .as_bytes(),
        )
        .await;
        assert!(count.contains("{\"input_tokens\":10}"), "{count}");
        calm(&bench).await;
    });
}
