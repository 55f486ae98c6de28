//! Invalid, slow, pipelined and oversized requests of clients, and the answers that they must get.

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
fn invalid_requests_are_rejected_and_reach_no_worker() {
    let valid = completion("b1", "", "{}");
    let change = |from: &str, to: &str| {
        assert!(valid.contains(from), "{from}");
        valid.replace(from, to)
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
        ("an unreadable deadline", change("8.000", "soon"), 400),
        ("a negative deadline", change("8.000", "-1"), 400),
        ("an infinite deadline", change("8.000", "inf"), 400),
        ("a deadline that is not a number", change("8.000", "NaN"), 400),
        ("a negative length", change("prompt_len=100", "prompt_len=-5"), 400),
        ("an unreadable length", change("prompt_len=100", "prompt_len=many"), 400),
        ("invalid JSON", completion("b1", "", "{\"model\":"), 400),
        (
            "both length and chunked encoding",
            change("Content-Length: 2", "Content-Length: 2\r\nTransfer-Encoding: chunked"),
            400,
        ),
        ("a negative body length", change("Content-Length: 2", "Content-Length: -2"), 400),
        ("a body of 60 MB", change("Content-Length: 2", "Content-Length: 62914560"), 413),
        (
            "a body length beyond the number range",
            change("Content-Length: 2", "Content-Length: 999999999999999999999"),
            413,
        ),
        ("unreadable chunk sizes", chunked("what\r\n{}"), 400),
        ("a chunk longer than its size", chunked("1\r\n{}\r\n0\r\n\r\n"), 400),
        ("chunks beyond the limit", chunked(&huge), 400),
        ("data behind a chunk of size 0", chunked("2\r\n{}\r\n0\r\n{\"a\":1}\r\n0\r\n\r\n"), 400),
        ("lines behind a chunk of size 0", chunked("2\r\n{}\r\n0\r\na: 1\n\n\r\n0\r\n\r\n"), 400),
        ("another path", change("/v1/chat/completions", "/v2"), 404),
        ("another method", "PUT /v1/chat/completions HTTP/1.1\r\nConnection: close\r\n\r\n".into(), 405),
        ("binary data", "\u{3}\u{1}nothing of the kind\r\n\r\n".into(), 400),
        ("a head beyond the limit", format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(20_000)), 431),
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
        assert!(body(&platform.complete("c1").await).1, "a valid request is served");
    });
}

#[test]
fn a_client_without_a_complete_request_is_disconnected_in_time() {
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
            assert!(began.elapsed() > ms(1500), "{name}: a slow client is given some time");
            assert_eq!(worker.completion_requests().len(), 0, "{name}");
        });
    }
}

#[test]
fn single_bytes_are_read_and_a_chunked_body_is_forwarded_complete() {
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
fn a_chunked_body_with_trailers_is_served() {
    run_local(async {
        let worker = worker().await;
        let platform = Platform::start(&[&worker]).await;
        let chunks = "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n1\r\n{\r\n1;x=0\r\n}\r\n0\r\nx-sum: 0\r\n\r\n";
        let request = completion("a1", "", "{}").replace("Content-Length: 2\r\n\r\n{}", chunks);
        assert!(body(&raw(platform.clients, request.as_bytes()).await).1);
        assert_eq!(worker.completion_requests()[0].body, b"{}");
    });
}

#[test]
fn a_duplicate_of_an_open_id_is_rejected_and_the_first_request_is_served() {
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
fn pipelined_requests_are_answered_in_order() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |seen, _| {
            let wait = if seen.id == "a1" { 60 } else { 1 };
            vec![Step::Wait(wait), Step::Send(full_answer().replace("oqvh", &seen.id.repeat(2)))]
        })
        .await;
        let platform = Platform::start(&[&worker]).await;
        let pipelined = completion("a1", "", "{}")
            + &completion("a2", "", "{}")
            + &completion("a3", "Connection: close\r\n", "{}");
        let answer = raw(platform.clients, pipelined.as_bytes()).await;
        let at = |id: &str| answer.find(&id.repeat(2)).unwrap_or_else(|| panic!("{id}: {answer}"));
        assert!(at("a1") < at("a2") && at("a2") < at("a3"));
        assert_eq!(answer.matches("\r\n0\r\n\r\n").count(), 3);
    });
}

#[test]
fn an_oversized_body_is_cut_off_although_its_client_keeps_sending() {
    run_local(async {
        let worker = worker().await;
        let platform = Platform::start(&[&worker]).await;
        let mut client = TcpStream::connect(platform.clients).await.unwrap();
        let head = completion("b1", "", "{}")
            .replace("Content-Length: 2\r\n\r\n{}", "Content-Length: 62914560\r\n\r\n");
        client.write_all(head.as_bytes()).await.unwrap();
        let part = vec![b'a'; 65536];
        let pushed = timeout(ms(2900), async { while client.write_all(&part).await.is_ok() {} });
        pushed.await.expect("the connection closes although its client keeps sending");
        assert!(body(&platform.complete("c1").await).1);
    });
}

#[test]
fn silent_connections_are_evicted_when_descriptors_run_short() {
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
fn the_total_size_of_open_bodies_is_limited() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| vec![Step::Hang]).await;
        let platform = Platform::with(&[&worker], |config| config["limits"]["memory_mb"] = 2.into()).await;
        // A fifth of 2 MB is less than two bodies of the largest size, but two always fit.
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
