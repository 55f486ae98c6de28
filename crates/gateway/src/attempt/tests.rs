//! What comes between the decision for an attempt and its write. The test acts between two polls of the attempt: after it
//! has asked for its connection, before it writes.

use std::io::Read;
use std::net::TcpListener;

use paddleproxy::interface::*;
use paddleproxy_platform::list::Row;
use paddleproxy_platform::List;
use tokio::time::Duration;

use super::*;
use crate::messages::{BodyBytes, ClientPresence};

const WORKER: &str = "s-1";

struct Scene {
    listener: TcpListener,
    fleet: Rc<RefCell<ServerDirectory>>,
    client: Rc<ClientPresence>,
    clock: Clock,
    told: mpsc::Receiver<CoreEvent>,
    _words: mpsc::Sender<AttemptCommand>,
}

fn listed(address: SocketAddr, readiness: Readiness) -> List {
    let listing = Listing {
        worker: WorkerId(WORKER.into()),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        readiness,
        weight: 1.0,
        started_ms: None,
    };
    List { version: 1, whole: true, rows: vec![Row { listing, dial: Some(address) }], unknown: 0 }
}

impl Scene {
    /// Starts an attempt and comes back once it waits for its connection.
    async fn start(change: impl Fn(&mut OutgoingDispatch)) -> Scene {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let fleet = Rc::new(RefCell::new(ServerDirectory::new(None)));
        fleet.borrow_mut().listed(listed(address, Readiness::Ready), ListKind::Whole);
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
        let ((core, told), (sender, words)) = (mpsc::channel(8), mpsc::channel(2));
        let dispatch = Attempt {
            sending,
            address: Some(address),
            request: Rc::new(request),
            fleet: fleet.clone(),
            words,
            pool: Rc::new(Pool::new(8, 5000.0, 30_000.0)),
            clock,
            core,
            kept_tokens: 0.0,
            load: None,
        };
        tokio::task::spawn_local(dispatch.run());
        tokio::task::yield_now().await;
        Scene { listener, fleet, client, clock, told, _words: sender }
    }

    async fn end(&mut self) -> SocketEnd {
        match self.told.recv().await {
            Some(CoreEvent::Ended { end, .. }) => end.end,
            _ => panic!("no end"),
        }
    }

    /// What the server was sent in all.
    fn received(&self) -> Vec<u8> {
        let (mut server, _) = self.listener.accept().unwrap();
        let mut bytes = Vec::new();
        server.read_to_end(&mut bytes).unwrap();
        bytes
    }

    /// The first bytes of a request that is under way.
    async fn under_way(&self) -> String {
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
fn an_attempt_that_nothing_crosses_is_written() {
    local(async {
        let scene = Scene::start(|_| {}).await;
        let text = scene.under_way().await;
        assert!(text.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"), "{text}");
    });
}

#[test]
fn an_attempt_whose_client_leaves_during_the_connect_is_not_written() {
    local(async {
        let mut scene = Scene::start(|_| {}).await;
        scene.client.leave();
        assert_eq!(scene.end().await, SocketEnd::Withdrawn(Withdrawal::ClientGone));
        assert_eq!(scene.received(), b"");
    });
}

#[test]
fn an_attempt_at_a_server_that_drains_or_moves_during_the_connect_is_not_written() {
    local(async {
        let elsewhere: SocketAddr = "127.0.0.1:9".parse().unwrap();
        for (moves, readiness) in
            [(false, Readiness::Draining), (false, Readiness::Gone), (true, Readiness::Ready)]
        {
            let mut scene = Scene::start(|_| {}).await;
            let here = scene.listener.local_addr().unwrap();
            let list = listed(if moves { elsewhere } else { here }, readiness);
            scene.fleet.borrow_mut().listed(list, ListKind::Changes);
            assert_eq!(scene.end().await, SocketEnd::Withdrawn(Withdrawal::ServerNotReady), "{readiness:?}");
            assert_eq!(scene.received(), b"", "{readiness:?}");
        }
    });
}

#[test]
fn a_repeat_whose_window_ends_during_the_connect_is_not_written() {
    local(async {
        // The window is over at once; nothing but the check at the write can say so before the connection is up.
        let mut scene = Scene::start(|sending| sending.repeat_by_ms = 0.0).await;
        let end = scene.end().await;
        assert!(
            matches!(end, SocketEnd::Withdrawn(Withdrawal::RepeatTooLate) | SocketEnd::ConnectTimedOut),
            "{end:?}"
        );
        assert_eq!(scene.received(), b"");
    });
}

#[test]
fn an_attempt_without_time_left_is_not_written() {
    local(async {
        for left_ms in [0.0, 0.4] {
            let mut scene =
                Scene::start(|sending| sending.until_ms = sending.until_ms - 20_000.0 + left_ms).await;
            let end = scene.end().await;
            assert!(
                matches!(end, SocketEnd::Withdrawn(Withdrawal::OutOfTime) | SocketEnd::TimedOut),
                "{end:?}"
            );
            assert_eq!(scene.received(), b"");
        }
    });
}

/// The time told is what is left when the head is written, not when the attempt was decided.
#[test]
fn the_time_told_is_at_most_what_is_left_at_the_write() {
    local(async {
        let scene = Scene::start(|_| {}).await;
        // Blocks the thread: the attempt can't go on meanwhile.
        std::thread::sleep(Duration::from_millis(60));
        let before_ms = scene.clock.now_ms();
        let text = scene.under_way().await;
        let told = text.lines().find_map(|line| line.strip_prefix("Req-Deadline: ")).unwrap();
        let told_ms = told.parse::<f64>().unwrap() * 1e3;
        assert!(told_ms > 0.0 && told_ms <= 20_000.0 + 1.0 - before_ms + 0.5, "{told_ms} at {before_ms}");
    });
}
