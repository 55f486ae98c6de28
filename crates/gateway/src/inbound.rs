//! Bytes that a client has sent and that are not consumed yet, with their arrival times: a pipelined request
//! that waits for the answer to the one before it has used up part of its client's timeout by the time it is
//! consumed.

use std::collections::VecDeque;
use std::io::Result;
use std::ops::{Deref, DerefMut};

use bytes::BytesMut;
use paddleproxy_router::clock::Clock;
use paddleproxy_sockets::Stream;

/// Reads within this time of each other, in ms, count as one arrival, at the time of the first.
const MERGE_WINDOW_MS: f64 = 20.0;
/// Limit of the recorded arrivals; bytes that arrive beyond it count as part of the last one.
const MAX_ARRIVALS: usize = 256;

/// The arrival of the bytes of a connection before offset `end`.
struct ArrivalMark {
    end: u64,
    at_ms: f64,
}

/// The unconsumed bytes of one connection. They are consumed from the front, as those of a [`BytesMut`].
pub struct Inbound {
    clock: Clock,
    bytes: BytesMut,
    /// Total number of bytes received.
    received: u64,
    arrivals: VecDeque<ArrivalMark>,
}

impl Inbound {
    pub fn new(clock: Clock) -> Self {
        Inbound { clock, bytes: BytesMut::new(), received: 0, arrivals: VecDeque::new() }
    }

    /// Waits for more bytes and returns how many arrived; 0 at the end of the connection.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn read(&mut self, stream: &Stream) -> Result<usize> {
        let count = stream.read_some(&mut self.bytes).await?;
        self.received += count as u64;
        self.record_arrival(self.clock.now_ms());
        Ok(count)
    }

    fn record_arrival(&mut self, now_ms: f64) {
        let full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut().filter(|last| full || now_ms - last.at_ms < MERGE_WINDOW_MS) {
            Some(last) => last.end = self.received,
            None => self.arrivals.push_back(ArrivalMark { end: self.received, at_ms: now_ms }),
        }
    }

    /// When the last consumed byte arrived.
    pub fn consumed_arrival_ms(&mut self) -> f64 {
        let consumed = self.received - self.bytes.len() as u64;
        while self.arrivals.front().is_some_and(|first| first.end < consumed) {
            self.arrivals.pop_front();
        }
        self.arrivals.front().map_or(self.clock.now_ms(), |first| first.at_ms)
    }

    /// Frees the buffers if all bytes are consumed.
    pub fn release_if_empty(&mut self) {
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
            self.arrivals = VecDeque::new();
        }
    }
}

impl Deref for Inbound {
    type Target = BytesMut;

    fn deref(&self) -> &BytesMut {
        &self.bytes
    }
}

impl DerefMut for Inbound {
    fn deref_mut(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }
}

#[cfg(test)]
mod tests;
