//! A TCP stream that waits only after EAGAIN.
//!
//! The runtime's own `poll_read` and `poll_write` interpret a count below the requested one as an empty or
//! full socket and wait for the next edge-triggered event. The system gives no such guarantee: a call may
//! return a short count for any reason, and then the event never occurs. Here a task waits only after EAGAIN,
//! and a call that failed with EINTR is repeated.

use std::io::{ErrorKind, IoSlice, Result};
use std::mem::MaybeUninit;
use std::ops::Deref;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size of the buffer space that is reserved for one read.
pub const READ_BYTES: usize = 8 * 1024;

/// A connected TCP socket; the module describes how it differs from the runtime's stream.
#[derive(Debug)]
pub struct Stream(TcpStream);

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Stream {
        Stream(stream)
    }
}

/// Gives access to the methods of the runtime's stream that need no buffer. There is no mutable access, so
/// that its own reads and writes can't be used by mistake.
impl Deref for Stream {
    type Target = TcpStream;

    fn deref(&self) -> &TcpStream {
        &self.0
    }
}

/// Whether the call was interrupted and must be repeated at once.
fn interrupted<T>(result: &Result<T>) -> bool {
    matches!(result, Err(cause) if cause.kind() == ErrorKind::Interrupted)
}

/// Whether the socket has no data to read or no space to write.
fn would_block<T>(result: &Result<T>) -> bool {
    matches!(result, Err(cause) if cause.kind() == ErrorKind::WouldBlock)
}

impl Stream {
    /// Reads some bytes; 0 at the end of the connection. Reserves buffer space only once the socket is
    /// readable, so that idle connections need none.
    ///
    /// # Errors
    /// The connection failed.
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

    /// Peeks at one byte. Calls the system directly: the runtime learns of received data only when it polls
    /// for events.
    fn peek_now(&self) -> Result<usize> {
        loop {
            let peeked = SockRef::from(&self.0).peek(&mut [MaybeUninit::uninit()]);
            if !interrupted(&peeked) {
                return peeked;
            }
        }
    }

    /// Whether received bytes are waiting to be read.
    pub fn has_unread_bytes(&self) -> bool {
        matches!(self.peek_now(), Ok(waiting) if waiting > 0)
    }

    /// Whether neither bytes nor the end of the connection have been received.
    pub fn is_idle(&self) -> bool {
        would_block(&self.peek_now())
    }

    /// Repeats `write` until it succeeds, fails, or has to wait because it would block.
    fn poll_write_with(
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
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(parts))
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
