//! Tests of idle connections that the server closes or corrupts at the moment of their reuse. The tests act
//! on blocking sockets between two polls, so the runtime hasn't seen the change when the connection is
//! acquired.

use std::io::Write;
use std::net::{TcpListener, TcpStream as Blocking};

use super::*;

const IDLE_MS: f64 = 30_000.0;

/// A pool with one idle connection, and the server's end of it.
async fn idle_pool() -> (Pool, SocketAddr, TcpListener, Blocking) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let pool = Pool::new(8, 250.0, IDLE_MS);
    let connection = pool.acquire(address).await.unwrap_or_else(|end| panic!("{end:?}"));
    let (server, _) = listener.accept().unwrap();
    pool.put_back(connection);
    tokio::time::sleep(duration(2.0 * MIN_IDLE_BEFORE_REUSE_MS)).await;
    (pool, address, listener, server)
}

fn local(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, work);
}

#[test]
fn an_idle_connection_is_reused() {
    local(async {
        let (pool, address, _listener, _server) = idle_pool().await;
        let reused = pool.acquire(address).await.unwrap_or_else(|end| panic!("{end:?}"));
        assert!(reused.idle_before_ms.is_some());
        assert_eq!(pool.opened.get(), 1);
    });
}

#[test]
fn a_connection_that_closes_as_it_is_acquired_is_not_used() {
    local(async {
        let (pool, address, _listener, server) = idle_pool().await;
        drop(server);
        let acquired = pool.acquire(address).await.unwrap_or_else(|end| panic!("{end:?}"));
        assert!(acquired.idle_before_ms.is_none());
        assert_eq!((pool.opened.get(), pool.open_connections()), (2, 1));
    });
}

#[test]
fn a_connection_that_receives_half_a_line_as_it_is_acquired_is_not_used() {
    local(async {
        let (pool, address, _listener, mut server) = idle_pool().await;
        server.write_all(b"HTTP/1.1 2").unwrap();
        let acquired = pool.acquire(address).await.unwrap_or_else(|end| panic!("{end:?}"));
        assert!(acquired.idle_before_ms.is_none());
        assert_eq!((pool.opened.get(), pool.open_connections()), (2, 1));
    });
}

#[test]
fn a_connection_that_is_reset_as_it_is_acquired_is_not_used() {
    local(async {
        let (pool, address, _listener, server) = idle_pool().await;
        socket2::SockRef::from(&server).set_linger(Some(std::time::Duration::ZERO)).unwrap();
        drop(server);
        let acquired = pool.acquire(address).await.unwrap_or_else(|end| panic!("{end:?}"));
        assert!(acquired.idle_before_ms.is_none());
    });
}

#[test]
fn a_connection_with_bytes_beyond_its_answer_is_not_pooled() {
    local(async {
        let (pool, address, listener, _server) = idle_pool().await;
        let mut connection = pool.acquire(address).await.unwrap_or_else(|end| panic!("{end:?}"));
        connection.bytes.extend_from_slice(b"HTTP/1.1 200 OK");
        pool.put_back(connection);
        assert_eq!(pool.open_connections(), 0);
        drop(listener);
        assert!(matches!(pool.acquire(address).await, Err(SocketEnd::ConnectRefused)));
    });
}

/// At the connection limit a new connection is refused until one is put back; the idle one is then closed for
/// it.
#[test]
fn at_the_limit_an_idle_connection_is_closed_for_a_new_one() {
    local(async {
        let (pool, address, _listener, _server) = idle_pool().await;
        pool.reconfigure(1, 250.0, IDLE_MS);
        let other = TcpListener::bind("127.0.0.1:0").unwrap();
        let in_use = pool.acquire(address).await.unwrap_or_else(|end| panic!("{end:?}"));
        let refused = pool.acquire(other.local_addr().unwrap()).await;
        assert!(matches!(refused, Err(SocketEnd::NoRoom)), "every connection is in use");
        pool.put_back(in_use);
        let acquired = pool.acquire(other.local_addr().unwrap()).await;
        assert!(acquired.is_ok(), "the idle connection is closed");
        assert_eq!(pool.open_connections(), 1);
    });
}
