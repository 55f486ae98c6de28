//! Shutdown of a router process on the operators' platform, while clients keep sending on their open
//! connections and servers hang within their streams or take long for them.
//!
//! SIGKILL comes as early as the platform allows: the longest deadline (3 s at most) and 0.7 s after SIGTERM.
//! A request that was sent over 0.7 s after SIGTERM must have its whole answer by then.

mod platform_process;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::thread;
use std::time::{Duration, Instant};

use platform_process::{is_complete_answer, request, Router, HANGING, SLOW, TRICKLING};

/// Deadline of the only request class.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Time from SIGTERM to SIGKILL.
const KILL_DELAY: Duration = DEADLINE.saturating_add(LATE_AFTER);
/// Requests that are sent later than this after SIGTERM must be answered before SIGKILL.
const LATE_AFTER: Duration = Duration::from_millis(700);

/// Outcome of a request, as its client sees it.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Served,
    /// 429 or 503: a retry is safe.
    Refused,
    /// 408: the request was not complete in time.
    TooSlow,
    /// The connection was closed without an answer: the client sends the request again elsewhere.
    ClosedUnread,
    /// An incomplete answer, or none while the connection stays open.
    Unanswered(String),
}

/// Bytes that a client sends on a connection, and how long after SIGTERM.
struct LateRequest {
    stream: TcpStream,
    delay: Duration,
    bytes: Vec<u8>,
}

/// Sends, and reads until the connection ends or the process is killed.
fn exchange(request: LateRequest, sigterm_at: Instant) -> Outcome {
    let LateRequest { mut stream, delay, bytes } = request;
    thread::sleep((sigterm_at + delay).saturating_duration_since(Instant::now()));
    if stream.write_all(&bytes).is_err() {
        return Outcome::ClosedUnread;
    }
    let mut text = String::new();
    let mut buffer = [0; 4096];
    let left = (sigterm_at + KILL_DELAY).saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).unwrap();
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => text += std::str::from_utf8(&buffer[..read]).unwrap(),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break,
            // The read timed out at the time of SIGKILL: an answer that is incomplete now stays incomplete.
            Err(_) => return Outcome::Unanswered(text),
        }
    }
    let refused = text.starts_with("HTTP/1.1 429 ") || text.starts_with("HTTP/1.1 503 ");
    match text.as_str() {
        "" => Outcome::ClosedUnread,
        answer if is_complete_answer(answer) => Outcome::Served,
        answer if answer.starts_with("HTTP/1.1 408 ") && answer.ends_with('}') => Outcome::TooSlow,
        answer if refused && answer.ends_with('}') => Outcome::Refused,
        _ => Outcome::Unanswered(text),
    }
}

/// Sends SIGTERM, sends the late requests, sends SIGKILL as early as allowed and returns each request's
/// outcome.
fn shut_down(mut router: Router, requests: Vec<LateRequest>) -> Vec<Outcome> {
    router.signal("TERM");
    let sigterm_at = Instant::now();
    let clients: Vec<_> =
        requests.into_iter().map(|request| thread::spawn(move || exchange(request, sigterm_at))).collect();
    thread::sleep((sigterm_at + KILL_DELAY).saturating_duration_since(Instant::now()));
    let _ = router.process.kill();
    let _ = router.process.wait();
    clients.into_iter().map(|client| client.join().unwrap()).collect()
}

fn start_router(host: &str) -> Router {
    Router::start_with(host, DEADLINE.as_secs_f64(), "error", Stdio::inherit())
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn is_acceptable(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Served | Outcome::Refused | Outcome::ClosedUnread)
}

/// Requests arrive late in a shutdown on connections that were open but unused: they must not be dispatched
/// to a server that may hang or take longer than the router has left.
#[test]
fn late_requests_on_unused_connections_are_answered_before_sigkill() {
    let router = start_router("127.0.84.1");
    let late_request = |(delay_ms, server)| {
        let bytes = request(&format!("{server}-{delay_ms}")).into_bytes();
        LateRequest { stream: router.connect(), delay: ms(delay_ms), bytes }
    };
    let parameters =
        [800, 1000, 1200, 1500, 1800, 2050].into_iter().zip([HANGING, TRICKLING].into_iter().cycle());
    let requests = parameters.map(late_request).collect();
    let outcomes = shut_down(router, requests);
    assert!(outcomes.iter().all(is_acceptable), "{outcomes:?}");
}

/// The first part of a request arrives before SIGTERM and the rest after it.
#[test]
fn requests_completed_late_in_a_shutdown_are_answered_before_sigkill() {
    let router = start_router("127.0.84.2");
    let late_request = |delay_ms| {
        let text = request(&format!("{HANGING}-{delay_ms}")).into_bytes();
        let (first, rest) = text.split_at(70);
        let mut stream = router.connect();
        stream.write_all(first).unwrap();
        LateRequest { stream, delay: ms(delay_ms), bytes: rest.to_vec() }
    };
    let requests = [800, 1200, 1600, 2050].into_iter().map(late_request).collect();
    let mut outcomes = shut_down(router, requests);
    // This request began over 2 s before its end: it was answered with 408 before that.
    assert_eq!(outcomes.pop(), Some(Outcome::TooSlow));
    assert!(outcomes.iter().all(is_acceptable), "{outcomes:?}");
}

/// A stream ends late in a shutdown, and the next request is already pipelined on its connection.
#[test]
fn requests_pipelined_behind_a_stream_late_in_a_shutdown_are_not_dispatched() {
    let router = start_router("127.0.84.3");
    let mut stream = router.connect();
    stream.write_all(request(&format!("{SLOW}-1")).as_bytes()).unwrap();
    assert_eq!(router.seen.recv().unwrap(), "lasts-1");
    let pipelined = request(&format!("{HANGING}-2")).into_bytes();
    router.signal("TERM");
    let sigterm_at = Instant::now();
    thread::sleep(ms(900));
    stream.write_all(&pipelined).unwrap();
    let mut text = String::new();
    stream.set_read_timeout(Some(KILL_DELAY - sigterm_at.elapsed())).unwrap();
    let read = stream.read_to_string(&mut text);
    let seen: Vec<_> = router.seen.try_iter().collect();
    assert!(read.is_ok(), "the connection was not closed before SIGKILL, after '{text}'");
    assert!(text.contains("0\r\n\r\nHTTP/1.1 503 ") && text.ends_with('}'), "{text}");
    assert!(seen.is_empty(), "dispatched late: {seen:?}");
}
