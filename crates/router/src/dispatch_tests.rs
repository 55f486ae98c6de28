//! A test for each row of the outcome table: how a socket ends, and the outcome that the decision core
//! receives.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use paddleproxy::interface::{CompletionId, Outcome, Seq, WorkerId};
use paddleproxy_engine::{Refusal, StateReference};
use paddleproxy_routing::outcomes::never_ran;
use paddleproxy_routing::{outcome, OutgoingDispatch, SocketEnd, Stage};
use paddleproxy_settings::router::EngineSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

use super::*;
use crate::answer::PendingReply;

#[derive(Clone)]
enum Step {
    /// Waits for a complete request.
    Read,
    Write(String),
    Hang,
}
use Step::{Hang, Read, Write};

fn http_response(status: u16, kind: &str, body: &str) -> Step {
    let length = body.len();
    Write(format!("HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\ncontent-length: {length}\r\n\r\n{body}"))
}

fn event_stream(body: &str) -> Step {
    Write(format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n{body}"))
}

const TEXT_EVENT: &str = "data: {\"choices\":[{\"text\":\"w\"}]}\n\n";
const END_EVENTS: &str =
    "data: {\"choices\":[{\"text\":\"w\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

async fn read_request(stream: &mut TcpStream) -> bool {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return false,
            Ok(count) => text.extend_from_slice(&buffer[..count]),
        }
        let whole = String::from_utf8_lossy(&text).into_owned();
        let Some((head, body)) = whole.split_once("\r\n\r\n") else { continue };
        let length = head
            .to_lowercase()
            .split("content-length: ")
            .nth(1)
            .and_then(|rest| rest.split("\r\n").next()?.parse::<usize>().ok());
        if body.len() >= length.unwrap_or(0) {
            return true;
        }
    }
}

/// Runs the same steps on each connection, and closes it after the last step.
async fn server(steps: Vec<Step>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let steps = steps.clone();
            tokio::task::spawn_local(async move {
                for step in steps {
                    match step {
                        Read if !read_request(&mut stream).await => return,
                        Read => {}
                        Write(text) => stream.write_all(text.as_bytes()).await.unwrap(),
                        Hang => std::future::pending().await,
                    }
                }
            });
        }
    });
    address
}

fn engines() -> Rc<Engines> {
    Rc::new(Engines::new(EngineSettings {
        connect_ms: 150.0,
        idle_ms: 60_000.0,
        probe_ms: 100.0,
        stall_ms: 100.0,
        ping_ms: 1000.0,
        line_bytes: 1000,
        answer_bytes: 2000,
        release_tries: 1,
    }))
}

fn client_request(streamed: bool) -> Rc<ClientRequest> {
    let (model, prompt) = ("m".to_owned(), "p".to_owned());
    let (client_id, effect_key) = (None, None);
    Rc::new(ClientRequest {
        model,
        prompt,
        max_tokens: 9,
        stop: vec![],
        prompt_tokens: 1,
        streamed,
        client_id,
        effect_key,
    })
}

async fn run_dispatch(
    engines: &Rc<Engines>,
    address: Option<SocketAddr>,
    stage: Stage,
    streamed: bool,
    stop: bool,
) -> DispatchEnd {
    run_dispatch_with(|_| {}, engines, address, stage, streamed, stop).await
}

/// Runs one dispatch in place of the core: grants the stream when it begins.
async fn run_dispatch_with(
    change: impl Fn(&mut OutgoingDispatch),
    engines: &Rc<Engines>,
    address: Option<SocketAddr>,
    stage: Stage,
    streamed: bool,
    stop: bool,
) -> DispatchEnd {
    let clock = Clock::start();
    let (core, mut events) = mpsc::channel(16);
    let (command_sender, commands) = mpsc::channel(2);
    let mut outgoing = OutgoingDispatch {
        completion: CompletionId(1),
        seq: Seq(0),
        worker: WorkerId(Arc::from("a")),
        stage,
        until_ms: 400.0,
        state: None,
        read_cached_tokens: 0.0,
        write_by_ms: f64::INFINITY,
        repeat_by_ms: f64::INFINITY,
    };
    change(&mut outgoing);
    let dispatch = Dispatch {
        outgoing,
        address,
        request_id: "0.0.1.0".into(),
        request: client_request(streamed),
        commands,
        engines: engines.clone(),
        clock,
        core,
    };
    tokio::task::spawn_local(dispatch.run());
    if stop {
        command_sender.try_send(DispatchCommand::Stop).ok().unwrap();
    }
    let (pending_answer, client) = crate::pending_answer::PendingAnswer::new(Rc::default());
    let (dialect, id, model) = (paddleproxy_messages::Dialect::published(), "i".into(), "m".into());
    let encoder = paddleproxy_messages::Encoder { dialect, id, model, created: 0, include_usage: true };
    let mut reply = Some(PendingReply::new(pending_answer, None, encoder, 64, Rc::default()));
    let client = tokio::task::spawn_local(async move {
        if let Ok(crate::answer::Reply::Stream(mut pieces)) = client.await {
            while pieces.pieces.recv().await.is_some() {}
        }
    });
    loop {
        match events.recv().await.unwrap() {
            CoreEvent::Began { .. } => {
                let stream = reply.take().expect("a stream begins once").start_stream();
                command_sender.try_send(DispatchCommand::Grant(stream)).ok().unwrap();
            }
            CoreEvent::Ended { end, .. } => {
                reply.into_iter().for_each(PendingReply::discard);
                client.await.unwrap();
                return end;
            }
            _ => {}
        }
    }
}

async fn socket_end(steps: Vec<Step>, stage: Stage) -> SocketEnd {
    let address = server(steps).await;
    run_dispatch(&engines(), Some(address), stage, true, false).await.end
}

/// Runs a test on a current-thread runtime with a `LocalSet`.
fn run_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// The time limit for repeats expired while the connection was being established: nothing may be written.
#[test]
fn a_repeat_past_its_window_is_not_written() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let expired = |outgoing: &mut OutgoingDispatch| outgoing.repeat_by_ms = 0.0;
        let end = run_dispatch_with(expired, &engines(), Some(address), Stage::Whole, true, false).await.end;
        assert_eq!(end, SocketEnd::Withdrawn(paddleproxy_routing::Withdrawal::RepeatTooLate));
        let (mut server, _) = listener.accept().await.unwrap();
        let mut written = Vec::new();
        server.read_to_end(&mut written).await.unwrap();
        assert_eq!(written, b"");
    });
}

#[test]
fn failed_connects_never_ran() {
    run_local(async {
        let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = closed.local_addr().unwrap();
        drop(closed);
        let refused = run_dispatch(&engines(), Some(address), Stage::Whole, true, false).await.end;
        assert_eq!(refused, SocketEnd::ConnectRefused);
        let no_address = run_dispatch(&engines(), None, Stage::Whole, true, false).await.end;
        assert_eq!(no_address, SocketEnd::NoAddress);
        // The backlog is full and nothing accepts, so the connection is never established.
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let full_listener = socket.listen(0).unwrap();
        let address = full_listener.local_addr().unwrap();
        let mut pending_connects = Vec::new();
        for _ in 0..4 {
            let connect = TcpStream::connect(address);
            pending_connects.push(tokio::time::timeout(Duration::from_millis(50), connect).await);
        }
        let timed_out = run_dispatch(&engines(), Some(address), Stage::Whole, true, false).await.end;
        assert_eq!(timed_out, SocketEnd::ConnectTimedOut);
        for end in [refused, no_address, timed_out, SocketEnd::Unreachable, SocketEnd::NeverWritten] {
            assert!(never_ran(outcome(&end)), "{end:?}");
            assert_eq!(outcome(&end), Outcome::ConnectFailed, "{end:?}");
        }
    });
}

#[test]
fn a_rejection_proves_that_nothing_ran_only_with_its_status() {
    run_local(async {
        for (refusal, result) in [
            (Refusal::Full, Outcome::Full),
            (Refusal::Draining, Outcome::Full),
            (Refusal::StateGone, Outcome::NoState),
        ] {
            let answer = http_response(refusal.status(), "application/json", &refusal.body());
            let end = socket_end(vec![Read, answer], Stage::Whole).await;
            assert_eq!((&end, outcome(&end)), (&SocketEnd::TurnedAway(refusal), result));
            // The same body with another status proves nothing.
            let end =
                socket_end(vec![Read, http_response(500, "application/json", &refusal.body())], Stage::Whole)
                    .await;
            assert_eq!((&end, outcome(&end)), (&SocketEnd::ErrorStatus(500), Outcome::Error));
        }
        let end = socket_end(vec![Read, http_response(503, "text/html", "<p>busy</p>")], Stage::Whole).await;
        assert_eq!((&end, never_ran(outcome(&end))), (&SocketEnd::ErrorStatus(503), false));
    });
}

#[test]
fn broken_connections_may_have_run() {
    run_local(async {
        let before = socket_end(vec![Read], Stage::Whole).await;
        assert_eq!(before, SocketEnd::BrokeBeforeAnswer);
        let within = socket_end(vec![Read, event_stream("")], Stage::Whole).await;
        assert_eq!(within, SocketEnd::BrokeWithinAnswer);
        let after = socket_end(vec![Read, event_stream(TEXT_EVENT)], Stage::Whole).await;
        assert_eq!(after, SocketEnd::BrokeAfterFirst);
        let stalled = socket_end(vec![Read, event_stream(TEXT_EVENT), Hang], Stage::Whole).await;
        assert_eq!(stalled, SocketEnd::Stalled);
        let half =
            Write("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 99\r\n\r\n{".into());
        let read = socket_end(vec![Read, half], Stage::Read).await;
        assert_eq!(read, SocketEnd::BrokeWithinAnswer);
        for end in [before, within, after, stalled, read] {
            assert_eq!(outcome(&end), Outcome::Broken, "{end:?}");
            assert!(!never_ran(outcome(&end)));
        }
    });
}

#[test]
fn a_reused_connection_that_closes_may_have_run() {
    run_local(async {
        let engines = engines();
        let rejected = http_response(503, "application/json", &Refusal::Full.body());
        let address = server(vec![Read, rejected.clone(), Read]).await;
        let first = run_dispatch(&engines, Some(address), Stage::Whole, true, false).await.end;
        assert_eq!(first, SocketEnd::TurnedAway(Refusal::Full));
        // The request is sent on the reused connection, which closes without sending a byte.
        let second = run_dispatch(&engines, Some(address), Stage::Whole, true, false).await.end;
        assert_eq!(second, SocketEnd::BrokeBeforeAnswer);
        // A connection that closed while idle is not reused: the request is sent on a new one.
        let address = server(vec![Read, rejected]).await;
        for _ in 0..3 {
            let end = run_dispatch(&engines, Some(address), Stage::Whole, true, false).await.end;
            assert_eq!(end, SocketEnd::TurnedAway(Refusal::Full));
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn silence_times_out_and_a_stop_cancels() {
    run_local(async {
        let silent = socket_end(vec![Read, Hang], Stage::Whole).await;
        assert_eq!((&silent, outcome(&silent)), (&SocketEnd::TimedOut, Outcome::TimedOut));
        let no_event = socket_end(vec![Read, event_stream(""), Hang], Stage::Whole).await;
        assert_eq!(no_event, SocketEnd::TimedOut);
        let address = server(vec![Read, Hang]).await;
        let stopped = run_dispatch(&engines(), Some(address), Stage::Whole, true, true).await.end;
        assert_eq!((&stopped, outcome(&stopped)), (&SocketEnd::Stopped, Outcome::Cancelled));
        assert!(!never_ran(outcome(&silent)) && !never_ran(outcome(&stopped)));
    });
}

#[test]
fn invalid_responses_are_errors_of_limited_size() {
    run_local(async {
        let long_line = format!("data: {}", "x".repeat(5000));
        let long_answer = TEXT_EVENT.replace('w', &"w".repeat(900)).repeat(3);
        let no_state = "{\"choices\":[],\"kv_transfer_params\":{\"do_remote_prefill\":true}}";
        for (stage, answer, expected) in [
            (Stage::Whole, http_response(200, "text/html", "<p>"), "content type text/html"),
            (Stage::Whole, event_stream("data: {oops\n\n"), "invalid event in the response"),
            (Stage::Whole, event_stream("data: [DONE]\n\n"), "the stream ended without a finish reason"),
            (Stage::Whole, event_stream(&long_line), "a line longer than 1000 bytes"),
            (Stage::Whole, event_stream(&long_answer), "response longer than 2000 bytes"),
            (Stage::Whole, Write("BREW /pot\r\n\r\n".into()), "the response is not HTTP"),
            (Stage::Read, http_response(200, "application/json", "[1,"), "invalid response to a read"),
            (
                Stage::Read,
                http_response(200, "application/json", no_state),
                "the response has no usable state reference",
            ),
            (
                Stage::Read,
                http_response(200, "application/json", &" ".repeat(5000)),
                "the response body is too long",
            ),
        ] {
            match socket_end(vec![Read, answer, Hang], stage).await {
                SocketEnd::Nonsense(cause) => assert!(cause.starts_with(expected), "{cause}"),
                other => panic!("{expected}: {other:?}"),
            }
        }
        assert_eq!(outcome(&SocketEnd::Nonsense("x".into())), Outcome::Error);
    });
}

#[test]
fn valid_responses_yield_state_text_and_cached_tokens() {
    run_local(async {
        let state = StateReference {
            do_remote_prefill: true,
            remote_engine_id: Some("r".into()),
            remote_block_ids: Some(vec![4]),
            remote_host: Some("127.0.0.1".into()),
            remote_port: Some(9),
            ..StateReference::default()
        };
        let usage = "\"usage\":{\"prompt_tokens\":10,\"prompt_tokens_details\":{\"cached_tokens\":7}}";
        let body = format!("{{\"kv_transfer_params\":{},{usage}}}", serde_json::to_string(&state).unwrap());
        let address = server(vec![Read, http_response(200, "application/json", &body)]).await;
        let read = run_dispatch(&engines(), Some(address), Stage::Read, true, false).await;
        assert_eq!((read.end, read.cached_tokens, read.state), (SocketEnd::ReadDone, 7.0, Some(state)));
        let text = format!("{TEXT_EVENT}data: {{\"choices\":[],{usage}}}\n\n{END_EVENTS}");
        let address = server(vec![Read, event_stream(&text)]).await;
        let streamed = run_dispatch(&engines(), Some(address), Stage::Whole, true, false).await;
        assert_eq!((streamed.end, streamed.cached_tokens), (SocketEnd::AnswerDone, 7.0));
        let plain = run_dispatch(&engines(), Some(address), Stage::Whole, false, false).await;
        assert_eq!((plain.end, plain.answer.unwrap().text.as_str()), (SocketEnd::AnswerDone, "ww"));
    });
}

/// A server that answers its first request with a stream of comment lines without end, at full speed; the
/// handle returns for how long.
fn commenting_server() -> (SocketAddr, std::thread::JoinHandle<Duration>) {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let flooding = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        let (started, block) = (std::time::Instant::now(), "2\r\n:\n\r\n".repeat(8192));
        while started.elapsed() < Duration::from_secs(20) && stream.write_all(block.as_bytes()).is_ok() {}
        started.elapsed()
    });
    (address, flooding)
}

/// Guards against an answer without events that keeps its router from serving anybody else, or that is read
/// past its time.
#[test]
fn comments_without_end_are_given_up_at_the_deadline_and_hold_nobody_up() {
    const TIME_MS: f64 = 400.0;
    /// How late a final answer may be.
    const LATE_MS: f64 = 500.0;
    run_local(async {
        for streamed in [true, false] {
            let (address, flooding) = commenting_server();
            let longest_ms = Rc::new(Cell::new(0.0_f64));
            let measured = longest_ms.clone();
            let waits = tokio::task::spawn_local(async move {
                loop {
                    let slept = Instant::now();
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    measured.set(measured.get().max(slept.elapsed().as_secs_f64() * 1e3));
                }
            });
            let started = Instant::now();
            let end = run_dispatch(&engines(), Some(address), Stage::Whole, streamed, false).await.end;
            let took_ms = started.elapsed().as_secs_f64() * 1e3;
            waits.abort();
            assert!(longest_ms.get() <= LATE_MS, "another task waited for {:.0} ms", longest_ms.get());
            assert_eq!(end, SocketEnd::TimedOut);
            assert!(took_ms <= TIME_MS + LATE_MS, "given up after {took_ms:.0} ms");
            let lasted = tokio::task::spawn_blocking(|| flooding.join().unwrap()).await.unwrap();
            assert!(lasted < Duration::from_secs(20), "the connection stayed open");
        }
    });
}

/// Guards against an answer that passes for whole because one of its chunks has the size 0, which ends the
/// body before the end of the answer.
#[test]
fn a_body_that_ends_before_the_answer_does_breaks_the_answer_off() {
    let (end_event, done) = END_EVENTS.split_at(END_EVENTS.find("data: [DONE]").unwrap());
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let before =
        |events: &str| format!("{head}{}", if events.is_empty() { String::new() } else { chunk(events) });
    let spoilt = |events: &str, rest: &str| format!("{}0\r\n{rest}\r\n0\r\n\r\n", before(events));
    let text_and_end = format!("{TEXT_EVENT}{end_event}");
    run_local(async {
        for (answer, expected) in [
            (spoilt("", &format!("{TEXT_EVENT}{END_EVENTS}")), SocketEnd::BrokeWithinAnswer),
            (spoilt(TEXT_EVENT, END_EVENTS), SocketEnd::BrokeAfterFirst),
            (spoilt(&text_and_end, done), SocketEnd::BrokeAfterFirst),
            (format!("{}0\r\n\r\n", before(&text_and_end)), SocketEnd::BrokeAfterFirst),
            (format!("{}{}0\r\n\r\n", before(&text_and_end), chunk(done)), SocketEnd::AnswerDone),
        ] {
            let end = socket_end(vec![Read, Write(answer.clone()), Hang], Stage::Whole).await;
            assert_eq!(end, expected, "{answer}");
        }
    });
}
