//! A TCP stream that waits only when the system says that there is nothing to do.
//!
//! The runtime's own `poll_read` and `poll_write` take a count below what was asked for as a sign that the socket is
//! empty or full, and wait for its next edge. The system owes no such sign: a call may come back short for any reason,
//! and then the edge does not come. Here only EAGAIN makes a task wait, and EINTR is tried again.

use std::io::{ErrorKind, IoSlice, Result};
use std::mem::MaybeUninit;
use std::ops::Deref;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes read from a socket at a time.
pub const READ_BYTES: usize = 8 * 1024;

/// A connected TCP socket; see the module.
#[derive(Debug)]
pub struct Stream(TcpStream);

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Stream {
        Stream(stream)
    }
}

/// What needs no buffer goes to the runtime's stream. It can't be borrowed mutably, so that its own reads and writes
/// can't be used by mistake.
impl Deref for Stream {
    type Target = TcpStream;

    fn deref(&self) -> &TcpStream {
        &self.0
    }
}

/// Whether the call is to be made again at once, without waiting.
fn interrupted<T>(result: &Result<T>) -> bool {
    matches!(result, Err(cause) if cause.kind() == ErrorKind::Interrupted)
}

/// Whether the system has nothing to give or no room.
fn would_block<T>(result: &Result<T>) -> bool {
    matches!(result, Err(cause) if cause.kind() == ErrorKind::WouldBlock)
}

impl Stream {
    /// Waits for bytes without holding a buffer meanwhile; 0 at the end of the connection.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn read_some(&self, bytes: &mut BytesMut) -> Result<usize> {
        loop {
            self.0.readable().await?;
            bytes.reserve(READ_BYTES);
            let read = self.0.try_read_buf(bytes);
            if !would_block(&read) && !interrupted(&read) {
                return read;
            }
        }
    }

    /// Looks at one byte. Asks the system itself: the runtime knows of what came only once it has polled for events.
    fn peek_now(&self) -> Result<usize> {
        loop {
            let peeked = SockRef::from(&self.0).peek(&mut [MaybeUninit::uninit()]);
            if !interrupted(&peeked) {
                return peeked;
            }
        }
    }

    /// Whether bytes have come that nobody has read.
    pub fn has_unread_bytes(&self) -> bool {
        matches!(self.peek_now(), Ok(waiting) if waiting > 0)
    }

    /// Whether nothing has come, neither bytes nor the end of the connection.
    pub fn is_idle(&self) -> bool {
        would_block(&self.peek_now())
    }

    /// Tries a write again and again until it does something or would block.
    fn poll_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> Result<usize>,
    ) -> Poll<Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            let written = write(&self.0);
            if !would_block(&written) && !interrupted(&written) {
                return Poll::Ready(written);
            }
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            let read = self.0.try_read_buf(buffer);
            if !would_block(&read) && !interrupted(&read) {
                return Poll::Ready(read.map(|_| ()));
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        self.poll_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.poll_with(context, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
