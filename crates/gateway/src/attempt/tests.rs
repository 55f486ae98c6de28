//! Tests of events between the decision for an attempt and its write. Each test acts between two polls of the
//! attempt: after the attempt has requested its connection and before it writes.

use std::io::{Read, Write};
use std::net::TcpListener;

use paddleproxy::interface::*;
use paddleproxy_platform::list::Row;
use paddleproxy_platform::List;
use tokio::time::Duration;

use super::*;
use crate::limits::MAX_OPENING_BYTES;
use crate::messages::{BodyBytes, ClientPresence};

const WORKER: &str = "s-1";

struct Fixture {
    listener: TcpListener,
    directory: Rc<RefCell<ServerDirectory>>,
    client: Rc<ClientPresence>,
    clock: Clock,
    events: mpsc::Receiver<CoreEvent>,
    _commands: mpsc::Sender<AttemptCommand>,
}

fn server_list(address: SocketAddr, readiness: Readiness) -> List {
    let listing = Listing {
        worker: WorkerId(WORKER.into()),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        readiness,
        weight: 1.0,
        started_ms: None,
    };
    List { version: 1, whole: true, rows: vec![Row { listing, address: Some(address) }], unknown: 0 }
}

impl Fixture {
    /// Starts an attempt and returns once it waits for its connection.
    async fn start(change: impl Fn(&mut OutgoingDispatch)) -> Fixture {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let directory = Rc::new(RefCell::new(ServerDirectory::new(None)));
        directory.borrow_mut().apply_list(server_list(address, Readiness::Ready), ListKind::Whole);
        let (clock, client) = (Clock::start(), Rc::new(ClientPresence::default()));
        let request = ClientRequest {
            id: "a1".into(),
            method: "POST".into(),
            target: "/v1/chat/completions".into(),
            idempotency_key: None,
            body: "{}".into(),
            client: client.clone(),
            _held: BodyBytes::take(&Rc::default(), 2, 2).unwrap(),
        };
        let mut sending = OutgoingDispatch {
            completion: CompletionId(1),
            seq: Seq(0),
            worker: WorkerId(WORKER.into()),
            stage: Stage::Whole,
            until_ms: clock.now_ms() + 20_000.0,
            state: None,
            read_cached_tokens: 0.0,
            write_by_ms: f64::INFINITY,
            repeat_by_ms: f64::INFINITY,
        };
        change(&mut sending);
        let ((core, events), (sender, commands)) = (mpsc::channel(8), mpsc::channel(2));
        let attempt = Attempt {
            sending,
            address: Some(address),
            request: Rc::new(request),
            directory: directory.clone(),
            commands,
            pool: Rc::new(Pool::new(8, 5000.0, 30_000.0)),
            clock,
            core,
            cached_tokens: 0.0,
            load: None,
        };
        tokio::task::spawn_local(attempt.run());
        tokio::task::yield_now().await;
        Fixture { listener, directory, client, clock, events, _commands: sender }
    }

    async fn end(&mut self) -> SocketEnd {
        match self.events.recv().await {
            Some(CoreEvent::Ended { end, .. }) => end.end,
            _ => panic!("the attempt reported no end"),
        }
    }

    /// All bytes that the server received before the connection closed.
    fn received(&self) -> Vec<u8> {
        let (mut server, _) = self.listener.accept().unwrap();
        let mut bytes = Vec::new();
        server.read_to_end(&mut bytes).unwrap();
        bytes
    }

    /// The first bytes of a request that is being sent.
    async fn first_bytes(&self) -> String {
        let (server, _) = self.listener.accept().unwrap();
        server.set_nonblocking(true).unwrap();
        let mut bytes = [0; 1024];
        loop {
            match (&server).read(&mut bytes) {
                Ok(read) => return String::from_utf8_lossy(&bytes[..read]).into_owned(),
                Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
            }
        }
    }
}

fn local(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, work);
}

#[test]
fn an_undisturbed_attempt_is_written() {
    local(async {
        let fixture = Fixture::start(|_| {}).await;
        let text = fixture.first_bytes().await;
        assert!(text.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"), "{text}");
    });
}

#[test]
fn an_attempt_whose_client_disconnects_during_connect_is_not_written() {
    local(async {
        let mut fixture = Fixture::start(|_| {}).await;
        fixture.client.leave();
        assert_eq!(fixture.end().await, SocketEnd::Withdrawn(Withdrawal::ClientGone));
        assert_eq!(fixture.received(), b"");
    });
}

#[test]
fn an_attempt_at_a_server_that_drains_or_moves_during_connect_is_not_written() {
    local(async {
        let elsewhere: SocketAddr = "127.0.0.1:9".parse().unwrap();
        for (moves, readiness) in
            [(false, Readiness::Draining), (false, Readiness::Gone), (true, Readiness::Ready)]
        {
            let mut fixture = Fixture::start(|_| {}).await;
            let here = fixture.listener.local_addr().unwrap();
            let list = server_list(if moves { elsewhere } else { here }, readiness);
            fixture.directory.borrow_mut().apply_list(list, ListKind::Changes);
            assert_eq!(
                fixture.end().await,
                SocketEnd::Withdrawn(Withdrawal::ServerNotReady),
                "{readiness:?}"
            );
            assert_eq!(fixture.received(), b"", "{readiness:?}");
        }
    });
}

#[test]
fn a_retry_whose_window_ends_during_connect_is_not_written() {
    local(async {
        // The window has ended already. Until the connection is up, only the check at the write detects it.
        let mut fixture = Fixture::start(|sending| sending.repeat_by_ms = 0.0).await;
        let end = fixture.end().await;
        assert!(
            matches!(end, SocketEnd::Withdrawn(Withdrawal::RepeatTooLate) | SocketEnd::ConnectTimedOut),
            "{end:?}"
        );
        assert_eq!(fixture.received(), b"");
    });
}

#[test]
fn an_attempt_past_its_deadline_is_not_written() {
    local(async {
        for left_ms in [0.0, 0.4] {
            let mut fixture =
                Fixture::start(|sending| sending.until_ms = sending.until_ms - 20_000.0 + left_ms).await;
            let end = fixture.end().await;
            assert!(
                matches!(end, SocketEnd::Withdrawn(Withdrawal::OutOfTime) | SocketEnd::TimedOut),
                "{end:?}"
            );
            assert_eq!(fixture.received(), b"");
        }
    });
}

/// `Req-Deadline` is computed when the head is written, not when the attempt was decided.
#[test]
fn the_announced_deadline_is_at_most_the_time_left_at_the_write() {
    local(async {
        let fixture = Fixture::start(|_| {}).await;
        // Blocks the thread, so the attempt makes no progress.
        std::thread::sleep(Duration::from_millis(60));
        let before_ms = fixture.clock.now_ms();
        let text = fixture.first_bytes().await;
        let announced = text.lines().find_map(|line| line.strip_prefix("Req-Deadline: ")).unwrap();
        let announced_ms = announced.parse::<f64>().unwrap() * 1e3;
        assert!(
            announced_ms > 0.0 && announced_ms <= 20_000.0 + 1.0 - before_ms + 0.5,
            "{announced_ms} at {before_ms}"
        );
    });
}

const STREAM_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const COMMENT: &[u8] = b"2\r\n:\n\r\n";
const EVENT: &[u8] = b"16\r\ndata: {\"choices\":[]}\n\n\r\n";

/// Comment lines in chunks, of this many bytes together.
fn comments(count: usize) -> Vec<u8> {
    let last = 7 + count % 7;
    let mut bytes = COMMENT.repeat(count / 7 - 1);
    // One comment is longer by what is left over.
    bytes.extend_from_slice(format!("{:x}\r\n:{}\n\r\n", last - 5, "x".repeat(last - 7)).as_bytes());
    assert_eq!(bytes.len(), count);
    bytes
}

impl Fixture {
    /// The server's end of the attempt's connection, once the request has arrived on it.
    async fn server(&self) -> std::net::TcpStream {
        let (mut server, _) = self.listener.accept().unwrap();
        server.set_nonblocking(true).unwrap();
        while server.read(&mut [0; 4096]).is_err() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        server.set_nonblocking(false).unwrap();
        server
    }

    async fn next_event(&mut self) -> CoreEvent {
        tokio::time::timeout(Duration::from_secs(20), self.events.recv()).await.unwrap().unwrap()
    }
}

/// Writes on a thread of its own, so that the attempt can read meanwhile.
async fn write_all(server: &std::net::TcpStream, bytes: Vec<u8>) {
    let mut server = server.try_clone().unwrap();
    tokio::task::spawn_blocking(move || server.write_all(&bytes)).await.unwrap().unwrap();
}

/// Guards against a limit that is off by what one read brings: what comes before the first event may have
/// exactly [`MAX_OPENING_BYTES`], the head not counted.
#[test]
fn a_stream_may_begin_with_comments_up_to_the_limit() {
    local(async {
        for count in [1000, 40_000, MAX_OPENING_BYTES - 1, MAX_OPENING_BYTES] {
            let mut fixture = Fixture::start(|_| {}).await;
            let server = fixture.server().await;
            write_all(&server, [STREAM_HEAD, &comments(count)].concat()).await;
            let early = tokio::time::timeout(Duration::from_millis(100), fixture.events.recv()).await;
            assert!(early.is_err(), "{count} bytes of comments: ended or began without an event");
            write_all(&server, EVENT.to_vec()).await;
            assert!(matches!(fixture.next_event().await, CoreEvent::Began { .. }), "{count}");
        }
    });
}

#[test]
fn a_stream_that_exceeds_the_limit_before_its_first_event_is_given_up() {
    local(async {
        for count in [MAX_OPENING_BYTES + 1, MAX_OPENING_BYTES + 8192] {
            let mut fixture = Fixture::start(|_| {}).await;
            let server = fixture.server().await;
            write_all(&server, [STREAM_HEAD, &comments(count)].concat()).await;
            let end = fixture.end().await;
            assert!(matches!(end, SocketEnd::Nonsense(_)), "{count}: {end:?}");
        }
    });
}

/// An event of the largest size fits, in large chunks and in small ones.
#[test]
fn the_largest_first_event_is_within_the_limit() {
    const LARGEST_BYTES: usize = 64 * 1024;
    local(async {
        let empty = "data: {\"a\":\"\"}\n\n".len();
        let event = format!("data: {{\"a\":\"{}\"}}\n\n", "x".repeat(LARGEST_BYTES - empty));
        for chunk_bytes in [LARGEST_BYTES, 1000, 16] {
            let mut answer = STREAM_HEAD.to_vec();
            for part in event.as_bytes().chunks(chunk_bytes) {
                answer.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                answer.extend_from_slice(part);
                answer.extend_from_slice(b"\r\n");
            }
            let mut fixture = Fixture::start(|_| {}).await;
            let server = fixture.server().await;
            write_all(&server, answer).await;
            assert!(matches!(fixture.next_event().await, CoreEvent::Began { .. }), "{chunk_bytes}");
        }
    });
}

/// Guards against a deadline that comments keep away.
#[test]
fn a_stream_of_few_comments_is_given_up_at_its_deadline() {
    const TIME_MS: f64 = 300.0;
    /// How late a final answer may be.
    const LATE_MS: f64 = 500.0;
    local(async {
        let mut fixture = Fixture::start(|sending| sending.until_ms += TIME_MS - 20_000.0).await;
        let server = fixture.server().await;
        write_all(&server, STREAM_HEAD.to_vec()).await;
        let commenting = tokio::task::spawn_local(async move {
            loop {
                write_all(&server, COMMENT.to_vec()).await;
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        });
        assert_eq!(fixture.end().await, SocketEnd::TimedOut);
        assert!(fixture.clock.now_ms() <= TIME_MS + LATE_MS, "given up after {}", fixture.clock.now_ms());
        commenting.abort();
    });
}

/// An event that had arrived by the deadline counts, although the router was stopped meanwhile and many reads
/// are needed to reach it.
#[test]
fn an_event_behind_comments_that_arrived_during_a_pause_is_read_after_the_deadline() {
    const TIME_MS: f64 = 300.0;
    local(async {
        for count in [1000, 36_000, 48_000] {
            let mut fixture = Fixture::start(|sending| sending.until_ms += TIME_MS - 20_000.0).await;
            let mut server = fixture.server().await;
            let answer = [STREAM_HEAD, &comments(count), EVENT].concat();
            let writing = std::thread::spawn(move || server.write_all(&answer).map(|()| server));
            // Blocks the thread, so the attempt makes no progress.
            std::thread::sleep(Duration::from_millis(TIME_MS as u64 + 100));
            assert!(matches!(fixture.next_event().await, CoreEvent::Began { .. }), "{count}");
            drop(writing.join().unwrap());
        }
    });
}
