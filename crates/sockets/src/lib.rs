//! TCP sockets of a router: a stream that a short count or EINTR does not lead astray, and calls that go on where the
//! system was short of something for a moment.

#![deny(missing_docs)]

mod backlog;
mod stream;
mod transient;

pub use backlog::close_listener;
pub use stream::{Stream, READ_BYTES};
pub use transient::{bind, connect, Shortage};
