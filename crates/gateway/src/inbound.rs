//! What a client has sent and nobody has taken yet, and when it came: a request that waits behind the answer to the
//! one before it has used up some of its client's time when it is taken.

use std::collections::VecDeque;
use std::io::Result;
use std::ops::{Deref, DerefMut};

use bytes::BytesMut;
use paddleproxy_router::clock::Clock;
use paddleproxy_sockets::Stream;

/// Reads within so many ms count as one, at the time of the first.
const SAME_TIME_MS: f64 = 20.0;
/// Times remembered at most; bytes that come after count as come at the last of them.
const TIMES_MAX: usize = 256;

/// Up to which byte of a connection had come at which time.
struct Arrived {
    end: u64,
    at_ms: f64,
}

/// The bytes of one connection that wait to be taken. Bytes are taken off its front as off a [`BytesMut`].
pub struct Inbound {
    clock: Clock,
    bytes: BytesMut,
    /// Bytes that ever came.
    received: u64,
    arrived: VecDeque<Arrived>,
}

impl Inbound {
    pub fn new(clock: Clock) -> Self {
        Inbound { clock, bytes: BytesMut::new(), received: 0, arrived: VecDeque::new() }
    }

    /// Waits for more; 0 at the end of the connection.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn read(&mut self, stream: &Stream) -> Result<usize> {
        let count = stream.read_some(&mut self.bytes).await?;
        self.received += count as u64;
        self.came(self.clock.now_ms());
        Ok(count)
    }

    fn came(&mut self, now_ms: f64) {
        let full = self.arrived.len() >= TIMES_MAX;
        match self.arrived.back_mut().filter(|last| full || now_ms - last.at_ms < SAME_TIME_MS) {
            Some(last) => last.end = self.received,
            None => self.arrived.push_back(Arrived { end: self.received, at_ms: now_ms }),
        }
    }

    /// When the last byte came that was taken.
    pub fn taken_came_ms(&mut self) -> f64 {
        let taken = self.received - self.bytes.len() as u64;
        while self.arrived.front().is_some_and(|first| first.end < taken) {
            self.arrived.pop_front();
        }
        self.arrived.front().map_or(self.clock.now_ms(), |first| first.at_ms)
    }

    /// Gives back memory where nothing waits.
    pub fn rest(&mut self) {
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
            self.arrived = VecDeque::new();
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
