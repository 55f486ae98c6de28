//! A task that reads from a socket on which bytes always wait lets the other tasks and timers of its thread
//! run. The bytes are written before the first read, so no outcome depends on how fast the peer writes.

use std::cell::Cell;
use std::io::{ErrorKind, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use paddleproxy_sockets::{connect, Stream, READS_PER_TURN, READ_BYTES};
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Reads that take more than two turns.
const MANY_READS: usize = 2 * READS_PER_TURN + 1;
/// Operations that the runtime lets a task do in one poll.
const RUNTIME_BUDGET: usize = 128;

fn local(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, work);
}

/// A connected stream on which this many bytes wait, and its peer. The runtime knows that it is readable.
async fn stream_with_waiting(count: usize) -> (Stream, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    SockRef::from(&listener).set_recv_buffer_size(2 * count).unwrap();
    let stream = connect(listener.local_addr().unwrap()).await.unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    SockRef::from(&*stream).set_recv_buffer_size(2 * count).unwrap();
    SockRef::from(&peer).set_send_buffer_size(2 * count).unwrap();
    peer.set_nonblocking(true).unwrap();
    let bytes = vec![b'x'; count];
    let mut written = 0;
    while written < count {
        match peer.write(&bytes[written..]) {
            Ok(part) => written += part,
            Err(cause) if cause.kind() == ErrorKind::WouldBlock => panic!("{written} of {count} bytes fit"),
            Err(cause) => panic!("{cause}"),
        }
    }
    // All of it is in the receive buffer before the first read.
    let mut arrived = vec![0; count];
    let arriving = async {
        while stream.peek(&mut arrived).await.unwrap() < count {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(Duration::from_secs(20), arriving).await.expect("the bytes fit into the receive buffer");
    (stream, peer)
}

/// The number of reads between any two turns of another task, at most, while `count` bytes are read in parts
/// of [`READ_BYTES`].
async fn most_reads_in_a_turn(count: usize) -> usize {
    let (stream, _peer) = stream_with_waiting(count).await;
    let (reads, most, finished) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)), Rc::new(Cell::new(false)));
    let (counted, longest, over) = (reads.clone(), most.clone(), finished.clone());
    let other = spawn_local(async move {
        while !over.get() {
            longest.set(longest.get().max(counted.take()));
            yield_now().await;
        }
        longest.set(longest.get().max(counted.take()));
    });
    let mut received = 0;
    while received < count {
        let mut bytes = BytesMut::with_capacity(READ_BYTES);
        received += stream.read_some(&mut bytes).await.unwrap();
        reads.set(reads.get() + 1);
    }
    finished.set(true);
    other.await.unwrap();
    most.get()
}

/// Guards against a task that keeps the thread to itself for as long as its socket has bytes.
#[test]
fn other_tasks_run_while_bytes_wait_on_a_socket() {
    local(async {
        for reads in [1, READS_PER_TURN - 1, READS_PER_TURN, READS_PER_TURN + 1, MANY_READS] {
            let most = most_reads_in_a_turn(reads * READ_BYTES).await;
            assert!(most <= READS_PER_TURN, "{most} of {reads} reads in one turn");
            assert!(most >= reads.min(READS_PER_TURN), "{most} of {reads} reads in one turn");
        }
    });
}

/// Guards against a deadline that is never looked at because a read comes before it and is always ready: one
/// future that reads on, and a loop that waits for one read at a time.
#[test]
fn a_deadline_behind_a_read_fires_while_bytes_wait_on_a_socket() {
    const COUNT: usize = MANY_READS * READ_BYTES;
    local(async {
        let past = Instant::now();
        // The runtime's timers have a resolution of a millisecond.
        sleep(Duration::from_millis(5)).await;
        let (stream, _peer) = stream_with_waiting(COUNT).await;
        let received = Cell::new(0);
        let read_all = async {
            while received.get() < COUNT {
                let mut bytes = BytesMut::with_capacity(READ_BYTES);
                received.set(received.get() + stream.read_some(&mut bytes).await.unwrap());
            }
        };
        tokio::select! {
            biased;
            () = read_all => panic!("all was read although the deadline had passed"),
            () = sleep_until(past) => {}
        }
        assert!(received.get() <= READS_PER_TURN * READ_BYTES, "{} bytes", received.get());

        let (stream, _peer) = stream_with_waiting(COUNT).await;
        let mut received = 0;
        loop {
            let mut bytes = BytesMut::with_capacity(READ_BYTES);
            tokio::select! {
                biased;
                read = stream.read_some(&mut bytes) => received += read.unwrap(),
                () = sleep_until(past) => break,
            }
            assert!(received < COUNT, "all was read although the deadline had passed");
        }
        assert!(received <= READS_PER_TURN * READ_BYTES, "{received} bytes");
    });
}

/// What was received before a read is cancelled at the end of a turn is still there for the next read.
#[test]
fn a_read_that_is_cancelled_at_the_end_of_a_turn_loses_nothing() {
    const COUNT: usize = MANY_READS * READ_BYTES;
    local(async {
        let (stream, _peer) = stream_with_waiting(COUNT).await;
        let (mut received, mut cancelled) = (0, 0);
        while received < COUNT {
            let mut bytes = BytesMut::with_capacity(READ_BYTES);
            tokio::select! {
                biased;
                read = stream.read_some(&mut bytes) => received += read.unwrap(),
                () = std::future::ready(()) => {
                    cancelled += 1;
                    yield_now().await;
                }
            }
            assert!(cancelled <= COUNT, "no progress after {received} bytes");
        }
        assert_eq!(received, COUNT);
        assert!(cancelled > 0);
        let mut rest = BytesMut::new();
        assert!(timeout(Duration::from_millis(20), stream.read_some(&mut rest)).await.is_err());
    });
}

/// The same for readers that use the runtime's traits, such as hyper.
#[test]
fn other_tasks_run_while_bytes_wait_for_a_reader_of_the_runtimes_trait() {
    const COUNT: usize = 4 * RUNTIME_BUDGET;
    local(async {
        let (mut stream, _peer) = stream_with_waiting(COUNT).await;
        let turns = Rc::new(Cell::new(0));
        let counted = turns.clone();
        let other = spawn_local(async move {
            loop {
                counted.set(counted.get() + 1);
                yield_now().await;
            }
        });
        for _ in 0..COUNT {
            stream.read_exact(&mut [0]).await.unwrap();
        }
        other.abort();
        assert!(turns.get() >= COUNT / RUNTIME_BUDGET - 1, "{} turns", turns.get());
    });
}
