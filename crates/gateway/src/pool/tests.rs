//! Kept connections that the other side closes or spoils in the very moment in which they are taken. The test acts on
//! blocking sockets between two polls, so that the runtime has not heard of it when the connection is taken.

use std::io::Write;
use std::net::{TcpListener, TcpStream as Blocking};

use super::*;

const IDLE_MS: f64 = 30_000.0;

/// A pool with one kept connection, and the server's end of it.
async fn kept() -> (Pool, SocketAddr, TcpListener, Blocking) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let pool = Pool::new(8, 250.0, IDLE_MS);
    let connection = pool.acquire(address).await.unwrap_or_else(|end| panic!("{end:?}"));
    let (server, _) = listener.accept().unwrap();
    pool.put_back(connection);
    tokio::time::sleep(duration(2.0 * REST_MS)).await;
    (pool, address, listener, server)
}

fn local(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, work);
}

#[test]
fn what_rests_is_used_again() {
    local(async {
        let (pool, address, _listener, _server) = kept().await;
        let again = pool.acquire(address).await.unwrap_or_else(|end| panic!("{end:?}"));
        assert!(again.idle_before_ms.is_some());
        assert_eq!(pool.opened.get(), 1);
    });
}

#[test]
fn a_connection_that_closes_as_it_is_taken_is_not_used() {
    local(async {
        let (pool, address, _listener, server) = kept().await;
        drop(server);
        let taken = pool.acquire(address).await.unwrap_or_else(|end| panic!("{end:?}"));
        assert!(taken.idle_before_ms.is_none());
        assert_eq!((pool.opened.get(), pool.open_connections()), (2, 1));
    });
}

#[test]
fn a_connection_on_which_half_a_line_comes_as_it_is_taken_is_not_used() {
    local(async {
        let (pool, address, _listener, mut server) = kept().await;
        server.write_all(b"HTTP/1.1 2").unwrap();
        let taken = pool.acquire(address).await.unwrap_or_else(|end| panic!("{end:?}"));
        assert!(taken.idle_before_ms.is_none());
        assert_eq!((pool.opened.get(), pool.open_connections()), (2, 1));
    });
}

#[test]
fn a_connection_that_is_reset_as_it_is_taken_is_not_used() {
    local(async {
        let (pool, address, _listener, server) = kept().await;
        socket2::SockRef::from(&server).set_linger(Some(std::time::Duration::ZERO)).unwrap();
        drop(server);
        let taken = pool.acquire(address).await.unwrap_or_else(|end| panic!("{end:?}"));
        assert!(taken.idle_before_ms.is_none());
    });
}

#[test]
fn what_brought_more_than_its_answer_is_not_kept() {
    local(async {
        let (pool, address, listener, _server) = kept().await;
        let mut connection = pool.acquire(address).await.unwrap_or_else(|end| panic!("{end:?}"));
        connection.bytes.extend_from_slice(b"HTTP/1.1 200 OK");
        pool.put_back(connection);
        assert_eq!(pool.open_connections(), 0);
        drop(listener);
        assert!(matches!(pool.acquire(address).await, Err(SocketEnd::ConnectRefused)));
    });
}

/// No descriptor is left for a new connection; the first that is given back makes room.
#[test]
fn descriptors_that_are_full_and_then_free_are_used() {
    local(async {
        let (pool, address, _listener, _server) = kept().await;
        pool.reconfigure(1, 250.0, IDLE_MS);
        let other = TcpListener::bind("127.0.0.1:0").unwrap();
        let held = pool.acquire(address).await.unwrap_or_else(|end| panic!("{end:?}"));
        let refused = pool.acquire(other.local_addr().unwrap()).await;
        assert!(matches!(refused, Err(SocketEnd::NoRoom)), "all are in use");
        pool.put_back(held);
        let taken = pool.acquire(other.local_addr().unwrap()).await;
        assert!(taken.is_ok(), "what rests gives way");
        assert_eq!(pool.open_connections(), 1);
    });
}
