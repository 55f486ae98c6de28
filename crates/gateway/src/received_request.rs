//! Reads one complete request of a client.

use bytes::{Buf, Bytes, BytesMut};
use paddleproxy_platform::head::{self, Framing, RequestError, RequestHead};
use paddleproxy_platform::{Chunks, MAX_BODY_BYTES};
use paddleproxy_sockets::Stream;

use crate::frontend::Frontend;
use crate::inbound::Inbound;
use crate::messages::BodyBytes;
use crate::outbound::{self, ClientGone};

const OVERLOADED: RequestError = RequestError::new(503, "more bytes are open than memory allows; come again");
const BODY_TOO_LONG: RequestError = RequestError::new(413, "the body is too long");
const INVALID_CHUNKS: RequestError = RequestError::new(400, "the body's chunks can't be read");

/// A request that was received completely.
pub struct ReceivedRequest {
    pub head: RequestHead,
    pub body: Bytes,
    pub body_quota: BodyBytes,
    /// When its last byte arrived.
    pub received_ms: f64,
}

/// Why no request was received.
pub enum ReadFailure {
    ClientGone,
    Rejected(RequestError),
}

impl From<ClientGone> for ReadFailure {
    fn from(_: ClientGone) -> ReadFailure {
        ReadFailure::ClientGone
    }
}

impl From<RequestError> for ReadFailure {
    fn from(error: RequestError) -> ReadFailure {
        ReadFailure::Rejected(error)
    }
}

impl ReceivedRequest {
    /// Reads a request from the front of a connection's bytes; further bytes stay in `inbound`.
    ///
    /// # Errors
    /// See [`ReadFailure`].
    pub async fn read(
        stream: &mut Stream,
        inbound: &mut Inbound,
        frontend: &Frontend,
    ) -> Result<ReceivedRequest, ReadFailure> {
        let head = read_head(stream, inbound).await?;
        let reserved_bytes = match head.framing {
            Framing::Length(length) => length,
            _ => MAX_BODY_BYTES,
        };
        let available_bytes = frontend.shares.get().body_bytes;
        let mut body_quota =
            BodyBytes::take(&frontend.body_bytes, reserved_bytes, available_bytes).ok_or(OVERLOADED)?;
        if head.expects_continue {
            outbound::write(stream, b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let body = match head.framing {
            Framing::Length(length) => read_sized_body(stream, inbound, length).await?,
            _ => read_chunked_body(stream, inbound).await?,
        };
        body_quota.shrink(body.len());
        Ok(ReceivedRequest { head, body, body_quota, received_ms: inbound.consumed_arrival_ms() })
    }
}

async fn read_head(stream: &Stream, inbound: &mut Inbound) -> Result<RequestHead, ReadFailure> {
    loop {
        if let Some(head) = head::parse_request(inbound)? {
            inbound.advance(head.bytes);
            return Ok(head);
        }
        read_more(stream, inbound).await?;
    }
}

async fn read_sized_body(
    stream: &Stream,
    inbound: &mut Inbound,
    length: usize,
) -> Result<Bytes, ReadFailure> {
    while inbound.len() < length {
        read_more(stream, inbound).await?;
    }
    // Copied to its exact size: the buffer may be much larger, and stays with the connection.
    let body = Bytes::copy_from_slice(&inbound[..length]);
    inbound.advance(length);
    Ok(body)
}

async fn read_chunked_body(stream: &Stream, inbound: &mut Inbound) -> Result<Bytes, ReadFailure> {
    let (mut body, mut chunks) = (BytesMut::new(), Chunks::new(MAX_BODY_BYTES));
    loop {
        let done = chunks.take(inbound, &mut body).map_err(|_| INVALID_CHUNKS)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(BODY_TOO_LONG.into());
        }
        if done {
            return Ok(Bytes::copy_from_slice(&body));
        }
        read_more(stream, inbound).await?;
    }
}

async fn read_more(stream: &Stream, inbound: &mut Inbound) -> Result<(), ClientGone> {
    match inbound.read(stream).await {
        Ok(read) if read > 0 => Ok(()),
        _ => Err(ClientGone),
    }
}
