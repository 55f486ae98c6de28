//! A test for each row of the table of outcomes: what a socket does, and what the decisions are told.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use paddleproxy::interface::{CompletionId, Outcome, Seq, WorkerId};
use paddleproxy_engine::{Refusal, StateReference};
use paddleproxy_routing::outcomes::never_ran;
use paddleproxy_routing::{outcome, OutgoingDispatch, SocketEnd, Stage};
use paddleproxy_settings::router::EngineSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

use super::*;
use crate::answer::Owed;

#[derive(Clone)]
enum Step {
    /// Waits for a whole request.
    Read,
    Write(String),
    Hang,
}
use Step::{Hang, Read, Write};

fn http(status: u16, kind: &str, body: &str) -> Step {
    let length = body.len();
    Write(format!("HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\ncontent-length: {length}\r\n\r\n{body}"))
}

fn events(body: &str) -> Step {
    Write(format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n{body}"))
}

const WORD: &str = "data: {\"choices\":[{\"text\":\"w\"}]}\n\n";
const LAST: &str = "data: {\"choices\":[{\"text\":\"w\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

async fn read_request(stream: &mut TcpStream) -> bool {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return false,
            Ok(read) => text.extend_from_slice(&buffer[..read]),
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

/// Plays the same steps on each connection, which closes after the last.
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

fn ask(streamed: bool) -> Rc<ClientRequest> {
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

async fn dispatched(
    engines: &Rc<Engines>,
    address: Option<SocketAddr>,
    stage: Stage,
    streamed: bool,
    stop: bool,
) -> DispatchEnd {
    dispatched_as(|_| {}, engines, address, stage, streamed, stop).await
}

/// Runs one dispatch as the core would, which grants each stream that begins.
async fn dispatched_as(
    change: impl Fn(&mut OutgoingDispatch),
    engines: &Rc<Engines>,
    address: Option<SocketAddr>,
    stage: Stage,
    streamed: bool,
    stop: bool,
) -> DispatchEnd {
    let clock = Clock::start();
    let (core, mut told) = mpsc::channel(16);
    let (words, heard) = mpsc::channel(2);
    let mut sending = OutgoingDispatch {
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
    change(&mut sending);
    let dispatch = Dispatch {
        sending,
        address,
        request_id: "0.0.1.0".into(),
        ask: ask(streamed),
        words: heard,
        engines: engines.clone(),
        clock,
        core,
    };
    tokio::task::spawn_local(dispatch.run());
    if stop {
        words.try_send(DispatchCommand::Stop).ok().unwrap();
    }
    let (duty, client) = crate::pending_answer::PendingAnswer::new(Rc::default());
    let (dialect, id, model) = (paddleproxy_messages::Dialect::published(), "i".into(), "m".into());
    let encoder = paddleproxy_messages::Encoder { dialect, id, model, created: 0, tells_usage: true };
    let mut owed = Some(Owed::new(duty, None, encoder, 64, Rc::default()));
    let client = tokio::task::spawn_local(async move {
        if let Ok(crate::answer::Reply::Stream(mut pieces)) = client.await {
            while pieces.pieces.recv().await.is_some() {}
        }
    });
    loop {
        match told.recv().await.unwrap() {
            CoreEvent::Began { .. } => {
                let stream = owed.take().expect("a stream begins once").begin();
                words.try_send(DispatchCommand::Grant(stream)).ok().unwrap();
            }
            CoreEvent::Ended { end, .. } => {
                owed.into_iter().for_each(Owed::void);
                client.await.unwrap();
                return end;
            }
            _ => {}
        }
    }
}

async fn ends(steps: Vec<Step>, stage: Stage) -> SocketEnd {
    let address = server(steps).await;
    dispatched(&engines(), Some(address), stage, true, false).await.end
}

/// Runs a test's body on one thread with local tasks.
fn local(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, work);
}

/// The window for repeats ended while the connection was made: nothing is written on it.
#[test]
fn a_repeat_past_its_window_is_not_written() {
    local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let past = |sending: &mut OutgoingDispatch| sending.repeat_by_ms = 0.0;
        let end = dispatched_as(past, &engines(), Some(address), Stage::Whole, true, false).await.end;
        assert_eq!(end, SocketEnd::Withdrawn(paddleproxy_routing::Withdrawal::RepeatTooLate));
        let (mut server, _) = listener.accept().await.unwrap();
        let mut written = Vec::new();
        server.read_to_end(&mut written).await.unwrap();
        assert_eq!(written, b"");
    });
}

#[test]
fn no_connection_never_ran() {
    local(async {
        let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = closed.local_addr().unwrap();
        drop(closed);
        let refused = dispatched(&engines(), Some(address), Stage::Whole, true, false).await.end;
        assert_eq!(refused, SocketEnd::ConnectRefused);
        let nowhere = dispatched(&engines(), None, Stage::Whole, true, false).await.end;
        assert_eq!(nowhere, SocketEnd::NoAddress);
        // A full backlog that nobody takes from: the connection is never made.
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let full = socket.listen(0).unwrap();
        let address = full.local_addr().unwrap();
        let mut fill = Vec::new();
        for _ in 0..4 {
            let connect = TcpStream::connect(address);
            fill.push(tokio::time::timeout(std::time::Duration::from_millis(50), connect).await);
        }
        let late = dispatched(&engines(), Some(address), Stage::Whole, true, false).await.end;
        assert_eq!(late, SocketEnd::ConnectTimedOut);
        for end in [refused, nowhere, late, SocketEnd::Unreachable, SocketEnd::NeverWritten] {
            assert!(never_ran(outcome(&end)), "{end:?}");
            assert_eq!(outcome(&end), Outcome::ConnectFailed, "{end:?}");
        }
    });
}

#[test]
fn turned_away_never_ran_and_only_in_so_many_words() {
    local(async {
        for (refusal, result) in [
            (Refusal::Full, Outcome::Full),
            (Refusal::Draining, Outcome::Full),
            (Refusal::StateGone, Outcome::NoState),
        ] {
            let answer = http(refusal.status(), "application/json", &refusal.body());
            let end = ends(vec![Read, answer], Stage::Whole).await;
            assert_eq!((&end, outcome(&end)), (&SocketEnd::TurnedAway(refusal), result));
            // The same words with another status prove nothing.
            let end = ends(vec![Read, http(500, "application/json", &refusal.body())], Stage::Whole).await;
            assert_eq!((&end, outcome(&end)), (&SocketEnd::ErrorStatus(500), Outcome::Error));
        }
        let end = ends(vec![Read, http(503, "text/html", "<p>busy</p>")], Stage::Whole).await;
        assert_eq!((&end, never_ran(outcome(&end))), (&SocketEnd::ErrorStatus(503), false));
    });
}

#[test]
fn what_breaks_may_have_run() {
    local(async {
        let before = ends(vec![Read], Stage::Whole).await;
        assert_eq!(before, SocketEnd::BrokeBeforeAnswer);
        let within = ends(vec![Read, events("")], Stage::Whole).await;
        assert_eq!(within, SocketEnd::BrokeWithinAnswer);
        let after = ends(vec![Read, events(WORD)], Stage::Whole).await;
        assert_eq!(after, SocketEnd::BrokeAfterFirst);
        let stalled = ends(vec![Read, events(WORD), Hang], Stage::Whole).await;
        assert_eq!(stalled, SocketEnd::Stalled);
        let half =
            Write("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 99\r\n\r\n{".into());
        let read = ends(vec![Read, half], Stage::Read).await;
        assert_eq!(read, SocketEnd::BrokeWithinAnswer);
        for end in [before, within, after, stalled, read] {
            assert_eq!(outcome(&end), Outcome::Broken, "{end:?}");
            assert!(!never_ran(outcome(&end)));
        }
    });
}

#[test]
fn a_kept_connection_that_closes_under_us_may_have_run() {
    local(async {
        let engines = engines();
        let turned = http(503, "application/json", &Refusal::Full.body());
        let address = server(vec![Read, turned.clone(), Read]).await;
        let first = dispatched(&engines, Some(address), Stage::Whole, true, false).await.end;
        assert_eq!(first, SocketEnd::TurnedAway(Refusal::Full));
        // The request goes out on the kept connection, which then closes without a byte.
        let second = dispatched(&engines, Some(address), Stage::Whole, true, false).await.end;
        assert_eq!(second, SocketEnd::BrokeBeforeAnswer);
        // One that closed while it was idle is not used: the request goes out on a new one.
        let address = server(vec![Read, turned]).await;
        for _ in 0..3 {
            let end = dispatched(&engines, Some(address), Stage::Whole, true, false).await.end;
            assert_eq!(end, SocketEnd::TurnedAway(Refusal::Full));
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn silence_times_out_and_a_stop_is_a_cancel() {
    local(async {
        let silent = ends(vec![Read, Hang], Stage::Whole).await;
        assert_eq!((&silent, outcome(&silent)), (&SocketEnd::TimedOut, Outcome::TimedOut));
        let headless = ends(vec![Read, events(""), Hang], Stage::Whole).await;
        assert_eq!(headless, SocketEnd::TimedOut);
        let address = server(vec![Read, Hang]).await;
        let stopped = dispatched(&engines(), Some(address), Stage::Whole, true, true).await.end;
        assert_eq!((&stopped, outcome(&stopped)), (&SocketEnd::Stopped, Outcome::Cancelled));
        assert!(!never_ran(outcome(&silent)) && !never_ran(outcome(&stopped)));
    });
}

#[test]
fn nonsense_is_an_error_of_bounded_size() {
    local(async {
        let long_line = format!("data: {}", "x".repeat(5000));
        let long_answer = WORD.replace('w', &"w".repeat(900)).repeat(3);
        let no_state = "{\"choices\":[],\"kv_transfer_params\":{\"do_remote_prefill\":true}}";
        for (stage, answer, what) in [
            (Stage::Whole, http(200, "text/html", "<p>"), "content type text/html"),
            (Stage::Whole, events("data: {oops\n\n"), "an event of an answer"),
            (Stage::Whole, events("data: [DONE]\n\n"), "the stream ended without a reason"),
            (Stage::Whole, events(&long_line), "a line longer than 1000 bytes"),
            (Stage::Whole, events(&long_answer), "an answer longer than 2000 bytes"),
            (Stage::Whole, Write("BREW /pot\r\n\r\n".into()), "the answer is not HTTP"),
            (Stage::Read, http(200, "application/json", "[1,"), "the answer of a read"),
            (Stage::Read, http(200, "application/json", no_state), "the state reference is none"),
            (Stage::Read, http(200, "application/json", &" ".repeat(5000)), "the answer is too long"),
        ] {
            match ends(vec![Read, answer, Hang], stage).await {
                SocketEnd::Nonsense(said) => assert!(said.starts_with(what), "{said}"),
                other => panic!("{what}: {other:?}"),
            }
        }
        assert_eq!(outcome(&SocketEnd::Nonsense("x".into())), Outcome::Error);
    });
}

#[test]
fn good_answers_bring_state_text_and_cached_tokens() {
    local(async {
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
        let address = server(vec![Read, http(200, "application/json", &body)]).await;
        let read = dispatched(&engines(), Some(address), Stage::Read, true, false).await;
        assert_eq!((read.end, read.cached_tokens, read.state), (SocketEnd::ReadDone, 7.0, Some(state)));
        let text = format!("{WORD}data: {{\"choices\":[],{usage}}}\n\n{LAST}");
        let address = server(vec![Read, events(&text)]).await;
        let streamed = dispatched(&engines(), Some(address), Stage::Whole, true, false).await;
        assert_eq!((streamed.end, streamed.cached_tokens), (SocketEnd::AnswerDone, 7.0));
        let plain = dispatched(&engines(), Some(address), Stage::Whole, false, false).await;
        assert_eq!((plain.end, plain.answer.unwrap().text.as_str()), (SocketEnd::AnswerDone, "ww"));
    });
}
