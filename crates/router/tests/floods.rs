//! Clients that send without end and at full speed, each on a thread of its own so that the router's sockets
//! don't run empty. Everybody else is answered meanwhile.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::{spawn, JoinHandle};
use std::time::{Duration, Instant};

use common::{client_request, finals, get, run_local, start};
use tokio::time::sleep;

const CLIENTS: usize = 6;
/// How late a final answer may be.
const LATE: Duration = Duration::from_millis(500);
/// A flood that nobody ends stops by itself after this time.
const LONGEST_FLOOD: Duration = Duration::from_secs(20);

/// Sends a head and then `part` over and over until the router closes or reads nothing for a second; returns
/// for how long.
fn flood(router: SocketAddr, head: &str, part: &str) -> Duration {
    let mut stream = TcpStream::connect(router).unwrap();
    stream.set_write_timeout(Some(Duration::from_secs(1))).unwrap();
    let (started, block) = (Instant::now(), part.repeat(8192));
    let _ = stream.write_all(head.as_bytes());
    while started.elapsed() < LONGEST_FLOOD && stream.write_all(block.as_bytes()).is_ok() {}
    started.elapsed()
}

async fn join<T>(thread: JoinHandle<T>) -> T {
    while !thread.is_finished() {
        sleep(Duration::from_millis(5)).await;
    }
    thread.join().unwrap()
}

#[test]
fn clients_that_send_without_end_hold_nobody_up() {
    let head =
        "POST /v1/messages HTTP/1.1\r\nhost: x\r\nx-api-key: app-key\r\ntransfer-encoding: chunked\r\n\r\n";
    let forms = [
        ("chunks of one byte", head, "1\r\nx\r\n"),
        ("bytes behind an error", "no request\r\n\r\n", "noise"),
    ];
    for (name, head, part) in forms {
        run_local(async move {
            let bench = start(&[]).await;
            let clients = bench.clients;
            let floods: Vec<_> = (0..CLIENTS).map(|_| spawn(move || flood(clients, head, part))).collect();
            let mut longest = Duration::ZERO;
            for _ in 0..40 {
                let asked = Instant::now();
                assert!(get(bench.admin, "/healthz").await.contains("ok"));
                longest = longest.max(asked.elapsed());
                sleep(Duration::from_millis(25)).await;
            }
            assert!(longest <= LATE, "{name}: {longest:?} for an answer beside it");
            let seen = bench.send(&client_request("a", "chat-large", 40, true)).await;
            assert_eq!(finals(&seen), ["finished"], "{name}");
            for flood in floods {
                let lasted = join(flood).await;
                assert!(lasted < LONGEST_FLOOD, "{name}: read for {lasted:?}");
            }
        });
    }
}
