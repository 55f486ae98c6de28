//! What clients speak: `POST /v1/messages` in the form of the published messages API, for text.
//! Encoding and decoding only; no I/O, no decision.

mod error;
mod event;
mod request;

pub use error::{ApiError, ErrorKind};
pub use event::{Answer, StopReason, StreamEncoder, Usage};
pub use request::{parse, Request, Role, Turn};
