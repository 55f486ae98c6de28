//! A TCP stream that waits only after EAGAIN.
//!
//! The runtime's own `poll_read` and `poll_write` interpret a count below the requested one as an empty or
//! full socket and wait for the next edge-triggered event. The system gives no such guarantee: a call may
//! return a short count for any reason, and then the event never occurs. Here a task waits only after EAGAIN,
//! and a call that failed with EINTR is repeated.
//!
//! Waiting only after EAGAIN must not let a fast peer keep a task busy for ever. [`Stream::read_some`]
//! therefore yields after [`READS_PER_TURN`] reads without waiting, and the trait implementations use the
//! runtime's budget for one poll.

use std::cell::Cell;
use std::io::{ErrorKind, IoSlice, Result};
use std::mem::MaybeUninit;
use std::ops::Deref;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Size of the buffer space that is reserved for one read.
pub const READ_BYTES: usize = 8 * 1024;

/// Number of reads that find bytes at once before [`Stream::read_some`] lets other tasks run. Far below the
/// runtime's budget for one poll: timers don't fire in a task that has used up its budget.
pub const READS_PER_TURN: usize = 4;

/// A connected TCP socket; the module describes how it differs from the runtime's stream.
#[derive(Debug)]
pub struct Stream {
    tcp: TcpStream,
    /// Reads since the last one that had to wait or yielded.
    reads_in_turn: Cell<usize>,
}

impl From<TcpStream> for Stream {
    fn from(tcp: TcpStream) -> Stream {
        Stream { tcp, reads_in_turn: Cell::new(0) }
    }
}

/// Gives access to the methods of the runtime's stream that need no buffer. There is no mutable access, so
/// that its own reads and writes can't be used by mistake.
impl Deref for Stream {
    type Target = TcpStream;

    fn deref(&self) -> &TcpStream {
        &self.tcp
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
    /// readable, so that idle connections need none. Yields after [`READS_PER_TURN`] reads that did not have
    /// to wait, before it reads more: a read that is dropped while it waits or yields has taken nothing.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn read_some(&self, bytes: &mut BytesMut) -> Result<usize> {
        if self.reads_in_turn.get() >= READS_PER_TURN {
            // Set first: a caller that drops this read while it yields is not made to yield again.
            self.reads_in_turn.set(0);
            yield_now().await;
        }
        loop {
            self.tcp.readable().await?;
            bytes.reserve(READ_BYTES);
            let read = self.tcp.try_read_buf(bytes);
            if would_block(&read) {
                self.reads_in_turn.set(0);
            } else if !interrupted(&read) {
                self.reads_in_turn.set(self.reads_in_turn.get() + 1);
                return read;
            }
        }
    }

    /// Peeks at one byte. Calls the system directly: the runtime learns of received data only when it polls
    /// for events.
    fn peek_now(&self) -> Result<usize> {
        loop {
            let peeked = SockRef::from(&self.tcp).peek(&mut [MaybeUninit::uninit()]);
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
            ready!(self.tcp.poll_write_ready(context))?;
            let written = write(&self.tcp);
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
            ready!(self.tcp.poll_read_ready(context))?;
            let read = self.tcp.try_read_buf(buffer);
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
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }
}
