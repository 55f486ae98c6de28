//! What hyper answers by itself to bytes that are no HTTP has no body. Here it gets the API's error form.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use paddleproxy_messages::{ApiError, Dialect, ErrorKind};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A client's connection, of which an answer that is not the front's own is written anew.
pub struct HttpErrorStream<T> {
    inner: T,
    instead: Vec<u8>,
}

/// Heads that hyper writes by itself. The front's own carry a request id, these do not.
const OWN_HEADS: [&[u8]; 3] = [b"HTTP/1.1 400 ", b"HTTP/1.1 414 ", b"HTTP/1.1 431 "];

impl<T> HttpErrorStream<T> {
    pub fn new(inner: T) -> Self {
        HttpErrorStream { inner, instead: Vec::new() }
    }
}

fn answer() -> Vec<u8> {
    let error = ApiError::new(ErrorKind::InvalidRequest, "this is not a request that HTTP/1.1 allows");
    let body = Dialect::published().error(&error, "none");
    let length = body.len();
    format!(
        "HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn is_hypers(bytes: &[u8]) -> bool {
    let marked = bytes.windows(12).any(|part| part == b"request-id: ");
    !marked && OWN_HEADS.iter().any(|head| bytes.starts_with(head))
}

impl<T: AsyncRead + Unpin> AsyncRead for HttpErrorStream<T> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, into: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_read(cx, into)
    }
}

impl<T: AsyncWrite + Unpin> HttpErrorStream<T> {
    fn poll_instead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.instead.is_empty() {
            let written = ready!(Pin::new(&mut self.inner).poll_write(cx, &self.instead))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.instead.drain(..written);
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HttpErrorStream<T> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        ready!(this.poll_instead(cx))?;
        if is_hypers(bytes) {
            this.instead = answer();
            // All of hyper's bytes count as written; ours go out with the next write or flush.
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut this.inner).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_instead(cx))?;
        Pin::new(&mut this.inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_instead(cx))?;
        Pin::new(&mut this.inner).poll_shutdown(cx)
    }
}
