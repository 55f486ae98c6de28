//! Calls that fail for a moment: what was short, and when to try again.

use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};

use crate::stream::Stream;

/// What a failed `accept`, `socket`, `bind` or `connect` says of this machine rather than of the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// This process holds as many descriptors as it may: one given back helps.
    OwnDescriptors,
    /// The machine is short of descriptors, buffers, memory or local addresses: waiting helps.
    Machine,
    /// Nothing was short: the call was interrupted, or whoever knocked has gone. The next call may do.
    Transient,
}

impl Shortage {
    /// What an error says; none where it speaks of the other side or of a mistake.
    pub fn of(cause: &Error) -> Option<Shortage> {
        match cause.raw_os_error()? {
            libc::EMFILE => Some(Shortage::OwnDescriptors),
            libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL => Some(Shortage::Machine),
            libc::EINTR | libc::ECONNABORTED | libc::EPROTO => Some(Shortage::Transient),
            _ => None,
        }
    }
}

/// Between two tries of a call that failed for want of something, in ms.
const AGAIN: Duration = Duration::from_millis(3);
/// For how long an address that is in use, or a machine that is short of something, is waited for.
const BIND_WITHIN: Duration = Duration::from_secs(8);
/// For how long a machine that is short of something is waited for by who connects; callers wait less.
const SHORT_WITHIN: Duration = Duration::from_secs(10);
/// For how long a way that is not there for a moment is looked for.
const WAY_WITHIN: Duration = Duration::from_millis(25);

/// Makes a call again while it fails for a reason that may pass, at most for so long.
async fn again<T, F: Future<Output = Result<T>>>(
    within: Duration,
    may_pass: impl Fn(&Error) -> bool,
    call: impl Fn() -> F,
) -> Result<T> {
    let until = Instant::now() + within;
    loop {
        match call().await {
            Err(cause) if may_pass(&cause) && Instant::now() < until => sleep(AGAIN).await,
            done => return done,
        }
    }
}

/// Listens on an address; goes on for some seconds where it is still in use or the machine is short of something.
///
/// # Errors
/// The address can't be listened on.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let may_pass = |cause: &Error| cause.kind() == ErrorKind::AddrInUse || Shortage::of(cause).is_some();
    again(BIND_WITHIN, may_pass, || TcpListener::bind(address)).await
}

/// Connects. Goes on where this machine is short of something, for as long as the caller waits, and for a moment where
/// there is no way to the address.
///
/// # Errors
/// The connection did not come up.
pub async fn connect(address: SocketAddr) -> Result<Stream> {
    let began = Instant::now();
    let may_pass = |cause: &Error| {
        let no_way = matches!(cause.kind(), ErrorKind::NetworkUnreachable | ErrorKind::HostUnreachable);
        let short = matches!(Shortage::of(cause), Some(Shortage::Machine | Shortage::Transient));
        short || no_way && began.elapsed() < WAY_WITHIN
    };
    let stream = again(SHORT_WITHIN, may_pass, || TcpStream::connect(address)).await?;
    let _ = stream.set_nodelay(true);
    Ok(stream.into())
}
