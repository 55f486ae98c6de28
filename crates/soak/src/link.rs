//! Simulated faults of a link between a simulated party and its peer.

use std::cell::Cell;
use std::io::{ErrorKind, Result};
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// How often a silent link checks whether it works again, in ms.
const SILENCE_CHECK_MS: u64 = 10;

/// How a link treats the data that crosses it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// Delay of the data, in ms.
    pub delay_ms: f64,
    /// Nothing passes, and no error occurs.
    pub silent: bool,
    /// Connections are reset when used, and unread bytes are lost.
    pub resets: bool,
    /// Data is written byte by byte.
    pub trickles: bool,
    /// Delay of the last byte of a write, in ms.
    pub last_byte_ms: f64,
}

/// A link whose condition can change while connections are open.
#[derive(Clone, Default)]
pub struct Link(Rc<Cell<LinkCondition>>);

impl Link {
    /// Its present condition.
    pub fn condition(&self) -> LinkCondition {
        self.0.get()
    }

    /// Changes its condition.
    pub fn set(&self, condition: LinkCondition) {
        self.0.set(condition);
    }

    /// Waits while the link is silent, and for its delay.
    ///
    /// # Errors
    /// The link resets.
    pub async fn cross(&self, stream: &TcpStream) -> Result<()> {
        loop {
            let condition = self.condition();
            if condition.resets {
                reset(stream);
                return Err(ErrorKind::ConnectionReset.into());
            }
            if !condition.silent {
                if condition.delay_ms > 0.0 {
                    sleep(Duration::from_secs_f64(condition.delay_ms / 1e3)).await;
                }
                return Ok(());
            }
            sleep(Duration::from_millis(SILENCE_CHECK_MS)).await;
        }
    }

    /// Writes across the link.
    ///
    /// # Errors
    /// The connection broke, or the link resets.
    pub async fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> Result<()> {
        self.cross(stream).await?;
        let condition = self.condition();
        if condition.trickles {
            for byte in bytes {
                stream.write_all(std::slice::from_ref(byte)).await?;
                tokio::task::yield_now().await;
            }
            return Ok(());
        }
        match bytes.split_last() {
            Some((last, rest)) if condition.last_byte_ms > 0.0 => {
                stream.write_all(rest).await?;
                sleep(Duration::from_secs_f64(condition.last_byte_ms / 1e3)).await;
                stream.write_all(std::slice::from_ref(last)).await
            }
            _ => stream.write_all(bytes).await,
        }
    }
}

/// Makes the close of this connection a reset.
pub fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
