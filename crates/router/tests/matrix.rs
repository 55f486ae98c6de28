//! Runs all combinations of how the client ends, how the server ends, and at which stage the server ends.
//! Checks that each completion gets one final answer, and that nothing is held or open afterwards.
//! `MATRIX_COMPLETIONS=20000` runs a long version.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::{run_local_for, send_raw, start_router, WITH_PROBES};
use paddleproxy_engine::{Refusal, ServerEntry, ServerList, StateReference};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// How a server ends a dispatch. The client's request id contains the name, so that the server knows what to
/// do.
const SERVER_ENDS: [&str; 15] = [
    "completes",
    "full",
    "error",
    "no-byte",
    "head-only",
    "hangs-after-head",
    "breaks-after-first",
    "hangs-after-first",
    "breaks-within-event",
    "splits-event",
    "ends-twice",
    "text-after-end",
    "no-finish-reason",
    "hangs",
    "resets",
];
const CLIENT_ENDS: [&str; 7] = [
    "reads",
    "leaves-at-once",
    "leaves-soon",
    "leaves-mid-event",
    "half-closes",
    "leaves-after-end",
    "reads-late",
];
/// The stage at which the server ends: a short prompt at one server, the read, or the write.
const STAGES: [&str; 3] = ["whole", "read", "write"];
const FORMS: [(&str, bool); 3] =
    [("/v1/messages", true), ("/v1/messages", false), ("/v1/chat/completions", true)];

/// States held by the emulated servers, by the request id of the dispatch.
type HeldStates = Rc<RefCell<BTreeSet<String>>>;

struct ServerRequest {
    path: String,
    headers: BTreeMap<String, String>,
    body: String,
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ServerRequest> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            let mut lines = head.lines();
            let path = lines.next()?.split(' ').nth(1)?.to_owned();
            let pairs = lines.filter_map(|line| line.split_once(": "));
            let headers: BTreeMap<_, _> =
                pairs.map(|(name, value)| (name.to_lowercase(), value.to_owned())).collect();
            let length: usize =
                headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            let from = head.len() + 4;
            if buffer.len() >= from + length {
                let body = String::from_utf8_lossy(&buffer[from..from + length]).into_owned();
                buffer.drain(..from + length);
                return Some(ServerRequest { path, headers, body });
            }
        }
        let mut chunk = [0; 16384];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

fn json_response(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}")
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
const TEXT_EVENT: &str = "data: {\"choices\":[{\"text\":\" w\"}]}\n\n";
const END_EVENTS: &str =
    "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

/// The parts that a server writes, with pauses between them, and whether the connection then stays open.
fn response_parts(end: &str) -> (Vec<String>, bool) {
    let half = TEXT_EVENT.len() / 2;
    let parts = |parts: &[&str]| parts.iter().map(|part| (*part).to_owned()).collect::<Vec<_>>();
    match end {
        "no-byte" | "resets" => (vec![], false),
        "hangs" => (vec![], true),
        "head-only" => (parts(&[HEAD]), false),
        "hangs-after-head" => (parts(&[HEAD]), true),
        "breaks-after-first" => (parts(&[HEAD, TEXT_EVENT]), false),
        "hangs-after-first" => (parts(&[HEAD, TEXT_EVENT]), true),
        "breaks-within-event" => (parts(&[HEAD, TEXT_EVENT, &TEXT_EVENT[..half]]), false),
        "splits-event" => {
            (parts(&[HEAD, TEXT_EVENT, &TEXT_EVENT[..half], &TEXT_EVENT[half..], END_EVENTS]), false)
        }
        "ends-twice" => (parts(&[HEAD, TEXT_EVENT, END_EVENTS, END_EVENTS]), false),
        "text-after-end" => (parts(&[HEAD, TEXT_EVENT, END_EVENTS, TEXT_EVENT, TEXT_EVENT]), false),
        "no-finish-reason" => (parts(&[HEAD, TEXT_EVENT, "data: [DONE]\n\n"]), false),
        _ => (parts(&[HEAD, TEXT_EVENT, TEXT_EVENT, END_EVENTS]), false),
    }
}

async fn server(listener: TcpListener, role: &'static str, held: HeldStates) {
    while let Ok((stream, _)) = listener.accept().await {
        let held = held.clone();
        tokio::task::spawn_local(async move {
            let _ = serve_connection(stream, role, held).await;
        });
    }
}

async fn serve_connection(mut stream: TcpStream, role: &str, held: HeldStates) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        let request_id = request.headers.get("x-request-id").cloned().unwrap_or_default();
        if request.path == "/x/release" {
            let body: serde_json::Value = serde_json::from_str(&request.body).unwrap();
            held.borrow_mut().remove(body["request_id"].as_str().unwrap());
            stream.write_all(json_response(200, "{}").as_bytes()).await?;
            continue;
        }
        if request.path != "/v1/completions" {
            stream.write_all(json_response(200, "{}").as_bytes()).await?;
            continue;
        }
        // The client's request id is `number:stage:end`; only the first dispatch at that stage ends that way.
        let client = request.headers.get("x-client-request-id").cloned().unwrap_or_default();
        let mut parts = client.split(':').skip(1);
        let (stage, end) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let stage_here = match role {
            "reader" => "read",
            _ if request.body.contains("remote_engine_id\":\"r") => "write",
            _ => "whole",
        };
        let seq = request_id.rsplit('.').next().and_then(|text| text.parse::<u32>().ok()).unwrap_or(0);
        let first = seq <= u32::from(stage_here == "write");
        let end = if stage_here == stage && first { end } else { "completes" };
        if stage_here == "write" && !matches!(end, "full" | "error" | "no-byte" | "hangs" | "resets") {
            // The writer has fetched the state, so the reader no longer holds it.
            let completion = request_id.rsplit_once('.').unwrap().0.to_owned();
            held.borrow_mut().retain(|state| !state.starts_with(&format!("{completion}.")));
        }
        match end {
            "full" => stream.write_all(json_response(503, &Refusal::Full.body()).as_bytes()).await?,
            "error" => stream.write_all(json_response(500, "{}").as_bytes()).await?,
            "completes" if stage_here == "read" => {
                held.borrow_mut().insert(request_id.clone());
                let state = StateReference {
                    do_remote_prefill: true,
                    remote_engine_id: Some("r".into()),
                    remote_block_ids: Some(vec![1]),
                    remote_host: Some("127.0.0.1".into()),
                    remote_port: Some(1),
                    ..StateReference::default()
                };
                let state = serde_json::to_string(&state).unwrap();
                let answer =
                    json_response(200, &format!("{{\"choices\":[],\"kv_transfer_params\":{state}}}"));
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    held.borrow_mut().remove(&request_id);
                }
            }
            _ => {
                let (parts, stays_open) = response_parts(end);
                for part in parts {
                    stream.write_all(part.as_bytes()).await?;
                    sleep(Duration::from_millis(3)).await;
                }
                if stays_open {
                    // Waits until the router closes the connection.
                    let _ = stream.read(&mut [0; 64]).await;
                }
                if end == "resets" {
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Number of final answers in what a client received.
fn count_final_answers(answer: &str) -> usize {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else { return 0 };
    if !head.starts_with("HTTP/1.1 200") {
        return usize::from(body.contains("\"error\""));
    }
    if head.contains("text/event-stream") {
        let ends =
            ["event: message_stop\n", "event: error\n", "data: [DONE]\n", "data: {\"error\":{\"code\""];
        return ends.iter().map(|end| body.matches(end).count()).sum();
    }
    usize::from(body.contains("\"stop_reason\":\"end_turn\""))
}

struct Case {
    client: &'static str,
    server: &'static str,
    stage: &'static str,
    form: (&'static str, bool),
}

/// What one client received; None if it left before it could receive the end of an answer.
async fn client(router: SocketAddr, number: usize, case: &Case) -> Option<String> {
    let name = format!("{number}:{}:{}", case.stage, case.server);
    let content =
        if case.stage == "whole" { "short".to_owned() } else { format!("{number} {}", "word ".repeat(2000)) };
    let body = serde_json::json!({
        "model": "chat-large", "max_tokens": 5, "stream": case.form.1,
        "messages": [{ "role": "user", "content": content }],
    })
    .to_string();
    let request = format!(
        "POST {} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-api-key: app-key\r\nx-session-id: {number}\r\n\
         x-client-timeout-ms: 500\r\nx-request-id: {name}\r\ncontent-length: {}\r\n\r\n{body}",
        case.form.0,
        body.len()
    );
    let mut stream = TcpStream::connect(router).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let mut buffer = [0; 700];
    match case.client {
        "leaves-at-once" => return None,
        "leaves-soon" => {
            sleep(Duration::from_millis(number as u64 % 12)).await;
            return None;
        }
        "half-closes" => stream.shutdown().await.unwrap(),
        "reads-late" => sleep(Duration::from_millis(40)).await,
        _ => {}
    }
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
        }
        let text = String::from_utf8_lossy(&answer);
        let leaves = match case.client {
            "leaves-mid-event" => text.contains("content_block_delta") || text.contains("\"delta\""),
            "leaves-after-end" => count_final_answers(&text) > 0,
            _ => false,
        };
        if leaves {
            let within_event = case.client == "leaves-mid-event";
            return (!within_event).then(|| text.into_owned());
        }
    }
    // A client that half-closed its connection may be treated as gone, so a missing answer is valid.
    let text = String::from_utf8_lossy(&answer).into_owned();
    (case.client != "half-closes" || count_final_answers(&text) > 0).then_some(text)
}

#[test]
fn every_end_of_clients_and_servers_gives_one_final_answer() {
    let requested_count =
        std::env::var("MATRIX_COMPLETIONS").ok().and_then(|count| count.parse().ok()).unwrap_or(0usize);
    let mut cases = Vec::new();
    for client in CLIENT_ENDS {
        for server in SERVER_ENDS {
            for stage in STAGES {
                cases.extend(FORMS.map(|form| Case { client, server, stage, form }));
            }
        }
    }
    let count = if requested_count > 0 { requested_count } else { cases.len() };
    run_local_for(Duration::from_secs(60 + count as u64 / 20), async move {
        let held = HeldStates::default();
        let mut servers = Vec::new();
        for (name, role) in [("r", "reader"), ("w", "writer"), ("m", "mixed"), ("n", "mixed")] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            servers.push(ServerEntry {
                name: name.into(),
                address: listener.local_addr().unwrap().to_string(),
                zone: "north".into(),
                kind: role.into(),
                cell: 0,
                readiness: "ready".into(),
                weight: 1.0,
                start: 1,
                age_ms: None,
            });
            tokio::task::spawn_local(server(listener, role, held.clone()));
        }
        let list = serde_json::to_string(&ServerList { epoch: 1, version: 1, after: None, servers }).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let service = listener.local_addr().unwrap();
        let answer =
            json_response(200, &list).replace("HTTP/1.1 200 X", "HTTP/1.1 200 X\r\nconnection: close");
        tokio::task::spawn_local(paddleproxy_fleet::http::listen_raw(listener, answer.into_bytes()));
        let changes =
            [("stall \"3s\"", "stall \"150ms\""), ("memory \"200k\"", "memory \"200M\""), WITH_PROBES];
        let (router, admin, stop, serving, _dir) = start_router(service, &changes).await;
        let get = |path: &'static str| async move {
            send_raw(admin, format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").as_bytes())
                .await
        };
        while !get("/healthz").await.contains("ok") {
            sleep(Duration::from_millis(5)).await;
        }
        let cases = Rc::new(cases);
        let (next, violations) = (Rc::new(Cell::new(0)), Rc::new(RefCell::new(Vec::new())));
        let counts: Rc<RefCell<BTreeMap<String, usize>>> = Rc::default();
        let idle_metrics =
            ["completions_open 0\n", "places_open 0\n", "connections_open 0\n", "answers_dropped_total 0\n"];
        // Runs in two halves, to compare memory after the second half with memory after the first.
        let mut memory_mib = Vec::new();
        for until in [count / 2, count] {
            let mut clients = tokio::task::JoinSet::new();
            for _ in 0..48 {
                let (cases, next, violations, counts) =
                    (cases.clone(), next.clone(), violations.clone(), counts.clone());
                clients.spawn_local(async move {
                    while next.get() < until {
                        let number = next.replace(next.get() + 1);
                        // The step is coprime to the number of cases, so all cases are visited, in mixed
                        // order.
                        let case = &cases[number * 389 % cases.len()];
                        let answer = client(router, number, case).await;
                        let found = answer.as_deref().map(count_final_answers);
                        *counts.borrow_mut().entry(format!("{found:?}")).or_default() += 1;
                        if found.is_some_and(|count| count != 1) {
                            let Case { client, server, stage, form } = case;
                            let what = format!("{client} x {server} at {stage} {form:?}: {answer:?}");
                            violations.borrow_mut().push(what);
                        }
                    }
                });
            }
            while let Some(done) = clients.join_next().await {
                done.unwrap();
            }
            // Waits until everything that was started has ended.
            for _ in 0..400 {
                let metrics = get("/metrics").await;
                if idle_metrics.iter().all(|line| metrics.contains(line)) && held.borrow().is_empty() {
                    break;
                }
                sleep(Duration::from_millis(10)).await;
            }
            memory_mib.push(paddleproxy_day::resident_mib("self"));
        }
        println!("{count} completions, final answers per completion: {:?}", counts.borrow());
        assert!(
            violations.borrow().is_empty(),
            "{} violations, first: {}",
            violations.borrow().len(),
            violations.borrow()[0]
        );
        let metrics = get("/metrics").await;
        assert!(idle_metrics.iter().all(|line| metrics.contains(line)), "{metrics}");
        assert!(held.borrow().is_empty(), "states held: {:?}", held.borrow());
        assert!(metrics.contains("answers_overdue_total 0\n"), "{metrics}");
        println!("{metrics}");
        if let [Some(half), Some(whole)] = memory_mib[..] {
            println!("memory after half {half:.1} MiB, after all {whole:.1} MiB");
            // With few completions memory still grows in the first half, as caches and pools fill up.
            assert!(
                requested_count < 5000 || whole <= 1.1 * half,
                "memory grew from {half:.1} to {whole:.1} MiB"
            );
        }
        stop.send_replace(true);
        serving.await.unwrap().unwrap();
    });
}
