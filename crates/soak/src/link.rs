//! Faults of a link: what stands between a stand-in and the bytes that its peer sees.

use std::cell::Cell;
use std::io::{ErrorKind, Result};
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// How often a silent link looks whether it has healed, in ms.
const LOOK_MS: u64 = 10;

/// How a link treats what crosses it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// Held back before it is passed on, in ms.
    pub delay_ms: f64,
    /// Nothing passes, and nothing is said of it.
    pub silent: bool,
    /// What crosses is cut by a reset, with unread bytes lost.
    pub resets: bool,
    /// Written byte by byte.
    pub trickles: bool,
    /// The last byte of a write is held back for so long, in ms.
    pub last_byte_ms: f64,
}

/// A link's weather, which changes under open connections.
#[derive(Clone, Default)]
pub struct Link(Rc<Cell<LinkCondition>>);

impl Link {
    /// How it is now.
    pub fn condition(&self) -> LinkCondition {
        self.0.get()
    }

    /// From now on.
    pub fn set(&self, condition: LinkCondition) {
        self.0.set(condition);
    }

    /// Waits while the link is silent or slow.
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
            sleep(Duration::from_millis(LOOK_MS)).await;
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

/// From now on closing this connection resets it.
pub fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
