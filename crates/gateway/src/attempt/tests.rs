//! Tests of events between the decision for an attempt and its write. Each test acts between two polls of the
//! attempt: after the attempt has requested its connection and before it writes.

use std::io::Read;
use std::net::TcpListener;

use paddleproxy::interface::*;
use paddleproxy_platform::list::Row;
use paddleproxy_platform::List;
use tokio::time::Duration;

use super::*;
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
