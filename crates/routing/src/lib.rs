//! What a router knows and decides between its sockets and `Control`: which completions it owes an answer, which
//! dispatches are out, where states wait, which servers exist, what a request asks for and who is taken.
//!
//! Pure state machines: told what happened and at what time (ms on the router's monotonic clock), they say what to
//! do. No socket, clock, file or chance in here; `crates/router` carries events in and effects out.

pub mod admission;
pub mod facts;
pub mod ledger;
pub mod outcomes;
pub mod pace;
pub mod release;
pub mod repeat_guard;
pub mod repeats;
pub mod write_check;

pub use admission::{Admission, AdmissionLimits, CustomerLimits, Permit, RejectReason, Rejection};
pub use facts::{Facts, Requests};
pub use ledger::{Counts, Decisions, Due, Effect, Input, Ledger, Sending, Stage};
pub use outcomes::{outcome, SocketEnd};
pub use pace::Pace;
pub use release::{
    DeliveryFailure, DeliveryStep, Reachability, ReleaseDelivery, ReleaseRoute, UndeliveredReleases,
    RETRIES_PER_LIMIT,
};
pub use repeats::{Key, Repeats, Verdict};
pub use write_check::{Withdrawal, WriteCheck};
