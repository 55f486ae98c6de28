//! Connections that the system has accepted for a listener that is about to close.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::transient::Shortage;

/// Connections that the system may have accepted by the time the listener closes.
const WAITING: usize = 4096;
/// Failed tries to take them, in all, and the pause after one.
const FAILURES: usize = 100;
const AGAIN: Duration = Duration::from_millis(5);

/// Hands over those whom the system has accepted but nobody has taken, then closes the listener: closing it at once would
/// reset them, and with them requests that they have sent. Asks the system itself, so that nothing comes between the last
/// answer and the close. Where it is short of something it is asked again for a while.
pub async fn close_listener(listener: TcpListener, mut admit: impl FnMut(TcpStream)) {
    let Ok(listener) = listener.into_std() else { return };
    let (mut admitted, mut failed) = (0, 0);
    while admitted < WAITING && failed < FAILURES {
        match listener.accept() {
            Ok((stream, _)) => {
                admitted += 1;
                let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                stream.into_iter().for_each(&mut admit);
            }
            Err(cause) if cause.kind() == ErrorKind::WouldBlock => return,
            Err(cause) => {
                failed += 1;
                if Shortage::of(&cause) != Some(Shortage::Transient) {
                    sleep(AGAIN).await;
                }
            }
        }
    }
}
