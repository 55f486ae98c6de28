//! TCP sockets of a router: a stream that handles short reads, short writes and EINTR correctly and lets other
//! tasks run however fast its peer sends, and calls that retry while the system lacks resources for a moment.

#![deny(missing_docs)]

mod backlog;
mod stream;
mod transient;

pub use backlog::close_listener;
pub use stream::{Stream, READS_PER_TURN, READ_BYTES};
pub use transient::{bind, connect, Shortage};
