//! Servers, clients and discovery that send without end and at full speed, each on a thread of its own so that
//! the router's sockets don't run empty. Everybody else is answered meanwhile, and each flood is ended.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::{spawn, JoinHandle};
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;
use tokio::time::sleep;

/// The time that the test's requests give themselves.
const DEADLINE: Duration = Duration::from_secs(8);
/// How late a final answer may be.
const LATE: Duration = Duration::from_millis(500);
/// Time within which an invalid client is answered or disconnected.
const INVALID_CLIENT_TIME: Duration = Duration::from_secs(3);
/// A flood that nobody ends stops by itself after this time.
const LONGEST_FLOOD: Duration = Duration::from_secs(14);
/// Bytes that are written by one call.
const WRITE_BYTES: usize = 64 * 1024;

/// Writes `part` over and over until the other side closes or reads nothing for a second; returns for how
/// long.
fn flood(stream: &mut TcpStream, part: &str) -> Duration {
    let block = part.repeat(WRITE_BYTES.div_ceil(part.len()));
    stream.set_write_timeout(Some(Duration::from_secs(1))).unwrap();
    let started = Instant::now();
    while started.elapsed() < LONGEST_FLOOD && stream.write_all(block.as_bytes()).is_ok() {}
    started.elapsed()
}

/// Reads one request; None at the end of the connection.
fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<String> {
    bytes.clear();
    let mut part = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
            if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
                return Some(head.to_owned());
            }
        }
        match stream.read(&mut part) {
            Ok(read) if read > 0 => bytes.extend_from_slice(&part[..read]),
            _ => return None,
        }
    }
}

/// What the servers share.
struct FloodScript {
    opening: String,
    part: String,
    completions: AtomicUsize,
    /// Told how long the flood lasted.
    flooded: Sender<Duration>,
}

impl FloodScript {
    /// Answers the requests of one connection.
    fn serve(&self, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut bytes) {
            let completion = request.contains(" /v1/");
            if completion && self.completions.fetch_add(1, Ordering::SeqCst) == 0 {
                stream.write_all(self.opening.as_bytes()).unwrap();
                let _ = self.flooded.send(flood(&mut stream, &self.part));
                return;
            }
            let answer = if completion { full_answer() } else { plain("204 No Content", "", "") };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Two servers that together answer the first completion with `opening` and then `part` without end, and the
/// others as usual.
struct FloodingServers {
    addresses: [SocketAddr; 2],
    flooded: Receiver<Duration>,
}

impl FloodingServers {
    fn start(opening: &str, part: &str) -> FloodingServers {
        let (sender, flooded) = channel();
        let script = Arc::new(FloodScript {
            opening: opening.to_owned(),
            part: part.to_owned(),
            completions: AtomicUsize::new(0),
            flooded: sender,
        });
        let addresses = [(); 2].map(|()| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let script = script.clone();
            spawn(move || {
                for stream in listener.incoming().flatten() {
                    let script = script.clone();
                    spawn(move || script.serve(stream));
                }
            });
            address
        });
        FloodingServers { addresses, flooded }
    }

    fn list(&self, seq: u64) -> serde_json::Value {
        let hosts = self.addresses.iter().enumerate().map(|(number, address)| {
            json!({ "host": format!("w-{number}"), "dial": address.to_string(), "site": "a",
                    "class": "combined", "block": 0, "health": "ready" })
        });
        json!({ "seq": seq, "whole": true, "hosts": hosts.collect::<Vec<_>>() })
    }

    /// How long the flood lasted, once it is over.
    async fn flood_time(self) -> Duration {
        join(spawn(move || self.flooded.recv().unwrap())).await
    }
}

/// Sends one request on a new connection and reads to its end; returns the answer and how long it took.
fn ask(router: SocketAddr, request: &str) -> (String, Duration) {
    let started = Instant::now();
    let mut stream = TcpStream::connect(router).unwrap();
    stream.set_read_timeout(Some(LONGEST_FLOOD)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    (String::from_utf8_lossy(&answer).into_owned(), started.elapsed())
}

/// Asks for the router's health for this time; returns the longest wait for an answer.
fn longest_wait(router: SocketAddr, time: Duration) -> Duration {
    let started = Instant::now();
    let mut longest = Duration::ZERO;
    while started.elapsed() < time {
        let (answer, took) = ask(router, "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
        longest = longest.max(took);
        std::thread::sleep(Duration::from_millis(10));
    }
    longest
}

/// Waits for a thread while the router runs on this one.
async fn join<T>(thread: JoinHandle<T>) -> T {
    while !thread.is_finished() {
        sleep(ms(5)).await;
    }
    thread.join().unwrap()
}

/// What a server may send without ever coming to an event.
fn forms_without_an_event() -> [(&'static str, String); 5] {
    [
        ("comment lines in a chunk each", chunk(":\n")),
        ("comment lines", chunk(&": of no use\n".repeat(16))),
        ("empty lines", chunk("\n")),
        ("events without data", chunk("id: 44\n\n")),
        ("chunks that are mostly extension", format!("1;x={}\r\n\n\r\n", "y".repeat(100))),
    ]
}

/// A router before servers of which one answers the first request with `opening` and then `part` without end.
async fn flooded_platform(opening: &str, part: &str) -> (Platform, FloodingServers) {
    let servers = FloodingServers::start(opening, part);
    let platform = Platform::start(&[]).await;
    platform.discovery.publish(servers.list(2).to_string());
    let calls = &platform.discovery.calls;
    wait_while(|| !calls.borrow().iter().any(|call| call.contains("from=2"))).await;
    (platform, servers)
}

/// Guards against an answer without events that keeps its router from serving anybody else.
#[test]
fn an_answer_that_never_reaches_its_first_event_holds_nobody_up() {
    for (name, part) in forms_without_an_event() {
        run_local(async move {
            let (platform, servers) = flooded_platform(HEAD, &part).await;
            let router = platform.clients;
            let request = completion("a1", "Connection: close\r\n", "{}");
            let asking = spawn(move || ask(router, &request));
            let longest = join(spawn(move || longest_wait(router, Duration::from_secs(1)))).await;
            assert!(longest <= LATE, "{name}: {longest:?} for an answer beside it");
            let (answer, took) = join(asking).await;
            assert!(answer.starts_with("HTTP/1.1 "), "{name}: {answer}");
            assert!(took <= DEADLINE + LATE, "{name}: {took:?}");
            drop(servers);
        });
    }
}

/// Guards against an answer without events that is read past the end of its request's time, or that leaves no
/// time for another server.
#[test]
fn an_answer_that_never_reaches_its_first_event_is_given_up() {
    for (name, part) in forms_without_an_event() {
        run_local(async move {
            let (platform, servers) = flooded_platform(HEAD, &part).await;
            let (router, request) = (platform.clients, completion("a1", "Connection: close\r\n", "{}"));
            let (answer, took) = join(spawn(move || ask(router, &request))).await;
            assert!(body(&answer).1 && answer.starts_with("HTTP/1.1 200 "), "{name}: {answer}");
            assert!(took <= DEADLINE + LATE, "{name}: {took:?}");
            let lasted = servers.flood_time().await;
            assert!(lasted <= DEADLINE + LATE, "{name}: read for {lasted:?}");
        });
    }
}

/// A stream that does not end is passed on at its client's pace until the client leaves.
#[test]
fn a_stream_that_goes_on_without_end_holds_nobody_up() {
    for (name, part) in [("events", chunk(FIRST)), ("comment lines in a chunk each", chunk(":\n"))] {
        run_local(async move {
            let opening = format!("{HEAD}{}", chunk(FIRST));
            let (platform, servers) = flooded_platform(&opening, &part).await;
            let (router, request) = (platform.clients, completion("a1", "", "{}"));
            let reading = spawn(move || {
                let mut stream = TcpStream::connect(router).unwrap();
                stream.write_all(request.as_bytes()).unwrap();
                let (started, mut part, mut received) = (Instant::now(), [0; 65536], 0);
                while started.elapsed() < Duration::from_secs(2) {
                    received += stream.read(&mut part).unwrap();
                }
                received
            });
            let longest = join(spawn(move || longest_wait(router, Duration::from_secs(1)))).await;
            assert!(longest <= LATE, "{name}: {longest:?} for an answer beside it");
            let received = join(reading).await;
            assert!(received > WRITE_BYTES, "{name}: {received} bytes were passed on");
            let lasted = servers.flood_time().await;
            assert!(lasted < LONGEST_FLOOD, "{name}: the flood was not ended");
        });
    }
}

/// Guards against clients whose bodies are read without a look at anybody else, nor at the time that they have
/// for it.
#[test]
fn clients_that_send_without_end_hold_nobody_up() {
    const CLIENTS: usize = 6;
    let chunked = completion("b1", "", "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let forms = [
        ("chunks of one byte", chunked.clone(), chunk("x")),
        ("chunks that are mostly extension", chunked, format!("1;x={}\r\nx\r\n", "y".repeat(100))),
        ("bytes behind an error", "no request\r\n\r\n".to_owned(), "noise".to_owned()),
    ];
    for (name, head, part) in forms {
        run_local(async move {
            let worker = Worker::start("w-1", "combined", |_, _| vec![Step::Send(full_answer())]).await;
            let platform = Platform::start(&[&worker]).await;
            let router = platform.clients;
            let floods: Vec<_> = (0..CLIENTS)
                .map(|_| {
                    let (head, part) = (head.clone(), part.clone());
                    spawn(move || {
                        let mut stream = TcpStream::connect(router).unwrap();
                        stream.write_all(head.as_bytes()).unwrap();
                        let lasted = flood(&mut stream, &part);
                        let _ = stream.shutdown(Shutdown::Both);
                        lasted
                    })
                })
                .collect();
            let waits = spawn(move || longest_wait(router, Duration::from_secs(3)));
            for flood in floods {
                let lasted = join(flood).await;
                assert!(lasted <= INVALID_CLIENT_TIME, "{name}: read for {lasted:?}");
            }
            let longest = join(waits).await;
            assert!(longest <= LATE, "{name}: {longest:?} for an answer beside it");
            assert_eq!(worker.completion_requests().len(), 0, "{name}");
            assert!(body(&platform.complete("c1").await).1, "{name}: a valid request is served");
        });
    }
}

/// Guards against a list without end that keeps its router from serving anybody, and that is read beyond the
/// time of its call.
#[test]
fn a_discovery_that_sends_without_end_holds_nobody_up() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| vec![Step::Send(full_answer())]).await;
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = listener.local_addr().unwrap();
        let flooded = spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            read_request(&mut stream, &mut Vec::new());
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
            let lasted = flood(&mut stream, &chunk(" "));
            // The next call gets a list.
            let (mut stream, _) = listener.accept().unwrap();
            let call = read_request(&mut stream, &mut Vec::new());
            (lasted, call)
        });
        let platform =
            Platform::with(&[&worker], |config| config["discovery"] = json!(discovery.to_string())).await;
        let router = platform.clients;
        let longest = join(spawn(move || longest_wait(router, Duration::from_secs(3)))).await;
        assert!(longest <= LATE, "{longest:?} for an answer beside it");
        assert!(body(&platform.complete("c1").await).1, "a request is served by the known servers");
        let (lasted, call) = join(flooded).await;
        assert!(lasted <= Duration::from_secs(6), "read for {lasted:?}");
        assert!(call.is_some(), "discovery is asked again");
    });
}
