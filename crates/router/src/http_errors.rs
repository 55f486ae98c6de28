//! Replaces the empty error responses that hyper itself writes for invalid HTTP by the API's error format.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use paddleproxy_messages::{ApiError, Dialect, ErrorKind};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A client connection on which hyper's own error responses are replaced.
pub struct HttpErrorStream<T> {
    inner: T,
    replacement: Vec<u8>,
}

/// Status lines of the errors that hyper itself writes. Unlike the router's responses they carry no request
/// id.
const HYPER_ERROR_HEADS: [&[u8]; 3] = [b"HTTP/1.1 400 ", b"HTTP/1.1 414 ", b"HTTP/1.1 431 "];

impl<T> HttpErrorStream<T> {
    pub fn new(inner: T) -> Self {
        HttpErrorStream { inner, replacement: Vec::new() }
    }
}

fn error_response() -> Vec<u8> {
    let error = ApiError::new(ErrorKind::InvalidRequest, "this is not a request that HTTP/1.1 allows");
    let body = Dialect::published().error(&error, "none");
    let length = body.len();
    format!(
        "HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn is_hyper_error(bytes: &[u8]) -> bool {
    let has_request_id = bytes.windows(12).any(|part| part == b"request-id: ");
    !has_request_id && HYPER_ERROR_HEADS.iter().any(|head| bytes.starts_with(head))
}

impl<T: AsyncRead + Unpin> AsyncRead for HttpErrorStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_read(cx, buffer)
    }
}

impl<T: AsyncWrite + Unpin> HttpErrorStream<T> {
    fn poll_replacement(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.replacement.is_empty() {
            let written = ready!(Pin::new(&mut self.inner).poll_write(cx, &self.replacement))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.replacement.drain(..written);
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HttpErrorStream<T> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        ready!(this.poll_replacement(cx))?;
        if is_hyper_error(bytes) {
            this.replacement = error_response();
            // Reports all of hyper's bytes as written; the replacement is sent by the next write or flush.
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut this.inner).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_replacement(cx))?;
        Pin::new(&mut this.inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_replacement(cx))?;
        Pin::new(&mut this.inner).poll_shutdown(cx)
    }
}
