//! The event stream of a server's answer while it is received: decoded from its chunks, and checked for being
//! valid, for reaching its first event soon and for being whole at its end.

use bytes::Bytes;
use paddleproxy_platform::{Chunks, Events, MAX_BODY_BYTES};
use paddleproxy_routing::{SocketEnd, StallDetector};
use tokio::sync::mpsc;

use crate::limits::MAX_OPENING_BYTES;
use crate::messages::StreamPart;
use crate::pool::Connection;

/// The event stream of an answer while it is received.
pub struct IncomingAnswer {
    pub connection: Connection,
    chunks: Chunks,
    pub events: Events,
    /// Bytes received after the head, the framing of the chunks included.
    received_bytes: usize,
    /// Present once the core has granted the stream.
    pub granted: Option<GrantedStream>,
}

/// A stream that answers its client.
pub struct GrantedStream {
    pub parts: mpsc::Sender<StreamPart>,
    pub stall_detector: StallDetector,
}

/// What could be decoded of an answer since the last time.
pub struct Decoded {
    pub events: Bytes,
    /// The answer ended here, and is whole.
    pub done: bool,
}

impl IncomingAnswer {
    pub fn new(connection: Connection) -> IncomingAnswer {
        IncomingAnswer {
            received_bytes: connection.bytes.len(),
            connection,
            chunks: Chunks::new(MAX_BODY_BYTES),
            events: Events::default(),
            granted: None,
        }
    }

    /// Reads more and returns how many bytes arrived; 0 once the server has closed the connection.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn read(&mut self) -> std::io::Result<usize> {
        let read = self.connection.read().await?;
        self.received_bytes += read;
        Ok(read)
    }

    /// Takes the complete events from what was received.
    ///
    /// # Errors
    /// An answer that is not a valid event stream in chunks, that ends before it is whole, or that does not
    /// reach its first event within [`MAX_OPENING_BYTES`].
    pub fn decode(&mut self) -> Result<Decoded, SocketEnd> {
        let invalid = |why: String| SocketEnd::Nonsense(why);
        let buffer = self.events.buffer();
        let done = self.chunks.take(&mut self.connection.bytes, buffer);
        let done = done.map_err(|why| invalid(why.to_string()))?;
        let events = self.events.take().map_err(|why| invalid(why.0.into()))?;
        if done && !self.events.complete() {
            return Err(invalid("the body ends before the stream does".into()));
        }
        if self.events.events == 0 && self.received_bytes > MAX_OPENING_BYTES {
            return Err(invalid("the stream does not reach its first event".into()));
        }
        Ok(Decoded { events, done })
    }

    /// How the attempt ends: `waiting` before the stream was granted, `streaming` after it.
    pub fn end(&self, waiting: SocketEnd, streaming: SocketEnd) -> SocketEnd {
        if self.granted.is_some() {
            streaming
        } else {
            waiting
        }
    }
}
