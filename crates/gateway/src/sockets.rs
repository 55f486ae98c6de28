//! What clients' and servers' connections have in common: reading without a buffer held meanwhile, and looking at what
//! waits without reading it.

use std::io::{ErrorKind, Result};
use std::mem::MaybeUninit;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::net::TcpStream;

/// Bytes read from a socket at a time.
pub const READ_BYTES: usize = 8 * 1024;

/// Waits for bytes without holding a buffer meanwhile; 0 at the end of the connection.
pub async fn read(stream: &TcpStream, bytes: &mut BytesMut) -> Result<usize> {
    loop {
        stream.readable().await?;
        bytes.reserve(READ_BYTES);
        match stream.try_read_buf(bytes) {
            Err(cause) if cause.kind() == ErrorKind::WouldBlock => {}
            other => return other,
        }
    }
}

/// Looks at one byte. Asks the system itself: the runtime knows of what came only once it has polled for events.
fn peek(stream: &TcpStream) -> Result<usize> {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}

/// Whether bytes have come that nobody has read.
pub fn bytes_wait(stream: &TcpStream) -> bool {
    matches!(peek(stream), Ok(waiting) if waiting > 0)
}

/// Whether nothing has come, neither bytes nor the end of the connection.
pub fn is_quiet(stream: &TcpStream) -> bool {
    matches!(peek(stream), Err(cause) if cause.kind() == ErrorKind::WouldBlock)
}
