//! What clients send that can't be served, and what they are owed for it. None of it reaches a worker.

mod common;

use std::rc::Rc;

use common::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

async fn worker() -> Rc<Worker> {
    Worker::start("w-1", "combined", |_, _| vec![Step::Send(full_answer())]).await
}

#[test]
fn bad_requests_get_their_error_and_reach_no_worker() {
    let good_one = completion("b1", "", "{}");
    let change = |from: &str, to: &str| {
        assert!(good_one.contains(from), "{from}");
        good_one.replace(from, to)
    };
    let chunked = |body: &str| {
        change("Content-Length: 2\r\n\r\n{}", &format!("Transfer-Encoding: chunked\r\n\r\n{body}"))
    };
    let huge = format!("{:x}\r\n", 300_000) + &"a".repeat(300_000);
    let cases = [
        ("no id", change("Req-Id: b1\r\n", ""), 400),
        ("an id that is a path", change("Req-Id: b1", "Req-Id: ../x"), 400),
        ("two ids", change("Req-Id: b1", "Req-Id: b1\r\nReq-Id: b2"), 400),
        ("an unknown workload", change("Req-Kind: chat", "Req-Kind: nonsense"), 400),
        ("no workload", change("Req-Kind: chat\r\n", ""), 400),
        ("an unknown customer", change("Req-Owner: acme", "Req-Owner: nobody"), 400),
        ("a deadline that is none", change("8.000", "soon"), 400),
        ("a negative deadline", change("8.000", "-1"), 400),
        ("an endless deadline", change("8.000", "inf"), 400),
        ("no number", change("8.000", "NaN"), 400),
        ("a negative length", change("prompt_len=100", "prompt_len=-5"), 400),
        ("a length that is none", change("prompt_len=100", "prompt_len=many"), 400),
        ("no JSON", completion("b1", "", "{\"model\":"), 400),
        ("both lengths", change("Content-Length: 2", "Content-Length: 2\r\nTransfer-Encoding: chunked"), 400),
        ("a negative body", change("Content-Length: 2", "Content-Length: -2"), 400),
        ("a body of 60 MB", change("Content-Length: 2", "Content-Length: 62914560"), 413),
        ("a body beyond numbers", change("Content-Length: 2", "Content-Length: 999999999999999999999"), 413),
        ("chunks that can't be read", chunked("what\r\n{}"), 400),
        ("a chunk that does not fit", chunked("1\r\n{}\r\n0\r\n\r\n"), 400),
        ("chunks past the bound", chunked(&huge), 400),
        ("another path", change("/v1/chat/completions", "/v2"), 404),
        ("another method", "PUT /v1/chat/completions HTTP/1.1\r\nConnection: close\r\n\r\n".into(), 405),
        ("unreadable data", "\u{3}\u{1}nothing of the kind\r\n\r\n".into(), 400),
        ("a head past the bound", format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(20_000)), 431),
        ("an old version", "GET /_health HTTP/1.0\r\n\r\n".into(), 505),
    ];
    run_local(async {
        let worker = worker().await;
        let platform = Platform::start(&[&worker]).await;
        for (name, request, status) in &cases {
            let began = Instant::now();
            let mut client = TcpStream::connect(platform.clients).await.unwrap();
            let _ = client.write_all(request.as_bytes()).await;
            let mut answer = vec![0; 512];
            let read = client.read(&mut answer).await.unwrap_or(0);
            let answer = String::from_utf8_lossy(&answer[..read]).into_owned();
            assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{name}: {answer}");
            assert!(began.elapsed() < ms(2900), "{name}");
        }
        assert_eq!(worker.completion_requests().len(), 0);
        assert!(body(&platform.complete("c1").await).1, "the usual client is served");
    });
}

#[test]
fn who_says_nothing_or_half_a_request_is_closed_in_time() {
    let request = completion("b1", "", "{}");
    let half = &request[..request.len() - 1];
    for (name, text) in [("nothing", ""), ("half a head", &request[..40]), ("half a body", half)] {
        run_local(async {
            let worker = worker().await;
            let platform = Platform::start(&[&worker]).await;
            let began = Instant::now();
            let mut client = TcpStream::connect(platform.clients).await.unwrap();
            client.write_all(text.as_bytes()).await.unwrap();
            let mut answer = Vec::new();
            let _ = timeout(ms(2900), client.read_to_end(&mut answer)).await.expect(name);
            assert!(began.elapsed() > ms(1500), "{name}: a slow client has some time");
            assert_eq!(worker.completion_requests().len(), 0, "{name}");
        });
    }
}

#[test]
fn one_byte_at_a_time_is_read_and_a_chunked_body_goes_on_whole() {
    run_local(async {
        let worker = worker().await;
        let platform = Platform::start(&[&worker]).await;
        let text = completion("b1", "Connection: close\r\n", "{}").replace(
            "Content-Length: 2\r\n\r\n{}",
            "Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n",
        );
        let mut client = TcpStream::connect(platform.clients).await.unwrap();
        client.set_nodelay(true).unwrap();
        for byte in text.as_bytes() {
            client.write_all(&[*byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.unwrap();
        assert!(body(&String::from_utf8(answer).unwrap()).1);
        assert_eq!(worker.completion_requests()[0].body, b"{}");
        assert!(!worker.completion_requests()[0].head.to_lowercase().contains("transfer-encoding"));
    });
}

#[test]
fn an_id_that_is_open_is_refused_and_its_owner_is_served() {
    run_local(async {
        let worker =
            Worker::start("w-1", "combined", |_, _| vec![Step::Wait(150), Step::Send(full_answer())]).await;
        let platform = Platform::start(&[&worker]).await;
        let mut first = TcpStream::connect(platform.clients).await.unwrap();
        first.write_all(completion("a1", "Connection: close\r\n", "{}").as_bytes()).await.unwrap();
        wait_while(|| worker.completion_requests().is_empty()).await;
        let second = platform.complete("a1").await;
        assert!(second.starts_with("HTTP/1.1 400 "), "{second}");
        let mut answer = Vec::new();
        first.read_to_end(&mut answer).await.unwrap();
        assert!(body(&String::from_utf8(answer).unwrap()).1);
        assert_eq!(worker.completion_requests().len(), 1);
    });
}

#[test]
fn requests_sent_ahead_are_answered_in_order() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |seen, _| {
            let wait = if seen.id == "a1" { 60 } else { 1 };
            vec![Step::Wait(wait), Step::Send(full_answer().replace("oqvh", &seen.id.repeat(2)))]
        })
        .await;
        let platform = Platform::start(&[&worker]).await;
        let ahead = completion("a1", "", "{}")
            + &completion("a2", "", "{}")
            + &completion("a3", "Connection: close\r\n", "{}");
        let answer = raw(platform.clients, ahead.as_bytes()).await;
        let at = |id: &str| answer.find(&id.repeat(2)).unwrap_or_else(|| panic!("{id}: {answer}"));
        assert!(at("a1") < at("a2") && at("a2") < at("a3"));
        assert_eq!(answer.matches("\r\n0\r\n\r\n").count(), 3);
    });
}

#[test]
fn a_body_of_sixty_megabytes_ends_early_whatever_its_client_does() {
    run_local(async {
        let worker = worker().await;
        let platform = Platform::start(&[&worker]).await;
        let mut client = TcpStream::connect(platform.clients).await.unwrap();
        let head = completion("b1", "", "{}")
            .replace("Content-Length: 2\r\n\r\n{}", "Content-Length: 62914560\r\n\r\n");
        client.write_all(head.as_bytes()).await.unwrap();
        let part = vec![b'a'; 65536];
        let pushed = timeout(ms(2900), async { while client.write_all(&part).await.is_ok() {} });
        pushed.await.expect("the connection closes although its client goes on");
        assert!(body(&platform.complete("c1").await).1);
    });
}

#[test]
fn descriptors_that_run_short_are_taken_back_from_who_says_nothing() {
    run_local(async {
        let worker = worker().await;
        let platform = Platform::with(&[&worker], |config| config["limits"]["sockets"] = 64.into()).await;
        let mut silent = Vec::new();
        for _ in 0..200 {
            silent.push(TcpStream::connect(platform.clients).await.unwrap());
        }
        for round in 0..20 {
            assert!(body(&platform.complete(&format!("c{round}")).await).1);
        }
        let mut closed = 0;
        for client in &mut silent {
            closed += usize::from(matches!(timeout(ms(1), client.read(&mut [0])).await, Ok(Ok(0) | Err(_))));
        }
        assert!(closed >= 200 - 64, "{closed} of 200 were closed");
    });
}

#[test]
fn bytes_of_open_bodies_are_bounded_together() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| vec![Step::Hang]).await;
        let platform = Platform::with(&[&worker], |config| config["limits"]["memory_mb"] = 2.into()).await;
        // A fifth of 2 MB is less than two of the largest bodies, and two always fit.
        let large = format!("{{\"a\":\"{}\"}}", "x".repeat(250_000));
        let mut open = Vec::new();
        for id in ["a1", "a2"] {
            let mut client = TcpStream::connect(platform.clients).await.unwrap();
            client.write_all(completion(id, "", &large).as_bytes()).await.unwrap();
            open.push(client);
        }
        wait_while(|| worker.completion_requests().len() < 2).await;
        let answer = raw(platform.clients, completion("a3", "", &large).as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{:.200}", answer);
        drop(open);
        worker.set_script(|_, _| vec![Step::Send(full_answer())]);
        platform.wait_for_answer(&completion("a4", "Connection: close\r\n", &large), " 200 ").await;
    });
}
