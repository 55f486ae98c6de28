//! Closing a listener without resetting the connections in its backlog.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::transient::Shortage;

/// Most connections that are accepted from the backlog of a listener that closes.
const MAX_BACKLOG: usize = 4096;
/// Most failed calls of `accept` in all, and the delay after one.
const MAX_ACCEPT_FAILURES: usize = 100;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Accepts all connections in the listener's backlog, then closes it. Closing it at once would reset them,
/// together with requests that clients have already sent. Calls `accept` directly rather than through the
/// runtime, so that the listener closes right after the call that finds the backlog empty. Retries a limited
/// number of times while the system lacks resources.
pub async fn close_listener(listener: TcpListener, mut handle_connection: impl FnMut(TcpStream)) {
    let Ok(listener) = listener.into_std() else { return };
    let (mut accepted, mut failed) = (0, 0);
    while accepted < MAX_BACKLOG && failed < MAX_ACCEPT_FAILURES {
        match listener.accept() {
            Ok((stream, _)) => {
                accepted += 1;
                let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                stream.into_iter().for_each(&mut handle_connection);
            }
            Err(cause) if cause.kind() == ErrorKind::WouldBlock => return,
            Err(cause) => {
                failed += 1;
                if Shortage::of(&cause) != Some(Shortage::Transient) {
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}
