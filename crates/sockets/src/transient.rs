//! Listening and connecting, and what a failure of either says.

use std::io::{Error, Result};
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

use crate::stream::Stream;

/// What a failed `accept`, `socket`, `bind` or `connect` says of this machine rather than of the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// This process holds as many descriptors as it may: one given back helps.
    OwnDescriptors,
    /// The machine is short of descriptors, buffers, memory or local addresses: waiting helps.
    Machine,
    /// Nothing was short: the call was interrupted, or whoever knocked has gone. The next call may do.
    Nothing,
}

impl Shortage {
    /// What an error says; none where it speaks of the other side or of a mistake.
    pub fn of(cause: &Error) -> Option<Shortage> {
        match cause.raw_os_error()? {
            libc::EMFILE => Some(Shortage::OwnDescriptors),
            libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL => Some(Shortage::Machine),
            libc::EINTR | libc::ECONNABORTED | libc::EPROTO => Some(Shortage::Nothing),
            _ => None,
        }
    }
}

/// Listens on an address.
///
/// # Errors
/// The address can't be listened on.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Connects.
///
/// # Errors
/// The connection did not come up.
pub async fn connect(address: SocketAddr) -> Result<Stream> {
    let stream = TcpStream::connect(address).await?;
    let _ = stream.set_nodelay(true);
    Ok(stream.into())
}
