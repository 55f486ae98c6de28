//! Socket calls that fail transiently: classification of the errors, and retries.

use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};

use crate::stream::Stream;

/// A failure of `accept`, `socket`, `bind` or `connect` whose cause is on this machine rather than at the
/// peer, or that the next call may not repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// This process has reached its limit of descriptors: closing one helps.
    OwnDescriptors,
    /// The machine lacks descriptors, buffers, memory or local addresses: waiting helps.
    Machine,
    /// No resource is lacking: the call was interrupted, or the connecting peer has left. The next call may
    /// succeed.
    Transient,
}

impl Shortage {
    /// Classifies an error; None if its cause is the peer or a wrong call.
    pub fn of(cause: &Error) -> Option<Shortage> {
        match cause.raw_os_error()? {
            libc::EMFILE => Some(Shortage::OwnDescriptors),
            libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL => Some(Shortage::Machine),
            libc::EINTR | libc::ECONNABORTED | libc::EPROTO => Some(Shortage::Transient),
            _ => None,
        }
    }
}

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(3);
/// Longest time of retries while an address is in use or the machine lacks resources.
const BIND_RETRY_LIMIT: Duration = Duration::from_secs(8);
/// Longest time of retries of `connect` while the machine lacks resources; callers have shorter timeouts.
const SHORTAGE_RETRY_LIMIT: Duration = Duration::from_secs(10);
/// Longest time of retries of `connect` while there is no route to the address.
const NO_ROUTE_RETRY_LIMIT: Duration = Duration::from_millis(25);

/// Repeats a call while it fails transiently, for at most `limit`.
async fn retry<T, F: Future<Output = Result<T>>>(
    limit: Duration,
    is_transient: impl Fn(&Error) -> bool,
    call: impl Fn() -> F,
) -> Result<T> {
    let deadline = Instant::now() + limit;
    loop {
        match call().await {
            Err(cause) if is_transient(&cause) && Instant::now() < deadline => sleep(RETRY_DELAY).await,
            result => return result,
        }
    }
}

/// Listens on an address; retries for some seconds while it is in use or the machine lacks resources.
///
/// # Errors
/// The address can't be listened on.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let is_transient = |cause: &Error| cause.kind() == ErrorKind::AddrInUse || Shortage::of(cause).is_some();
    retry(BIND_RETRY_LIMIT, is_transient, || TcpListener::bind(address)).await
}

/// Connects. Retries while this machine lacks resources, for as long as the caller waits, and for a moment
/// while there is no route to the address.
///
/// # Errors
/// The connection could not be established.
pub async fn connect(address: SocketAddr) -> Result<Stream> {
    let started = Instant::now();
    let is_transient = |cause: &Error| {
        let no_route = matches!(cause.kind(), ErrorKind::NetworkUnreachable | ErrorKind::HostUnreachable);
        let shortage = matches!(Shortage::of(cause), Some(Shortage::Machine | Shortage::Transient));
        shortage || no_route && started.elapsed() < NO_ROUTE_RETRY_LIMIT
    };
    let stream = retry(SHORTAGE_RETRY_LIMIT, is_transient, || TcpStream::connect(address)).await?;
    let _ = stream.set_nodelay(true);
    Ok(stream.into())
}
