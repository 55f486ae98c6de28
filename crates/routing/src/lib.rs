//! What a router knows and decides between its sockets and `Control`: which completions it owes an answer, which
//! dispatches are out, where states wait, which servers exist, what a request asks for and who is taken.
//!
//! Pure state machines: told what happened and at what time (ms on the router's monotonic clock), they say what to
//! do. No socket, clock, file or chance in here; `crates/router` carries events in and effects out.

pub mod admission;
pub mod facts;
pub mod idempotency;
pub mod ledger;
pub mod outcomes;
pub mod release;
pub mod repeat_guard;
pub mod stall;
pub mod write_check;

pub use admission::{Admission, AdmissionLimits, CustomerLimits, Permit, RejectReason, Rejection};
pub use facts::{RequestClassifier, RequestFacts};
pub use idempotency::{IdempotencyKeys, Key, KeyDecision};
pub use ledger::{Counts, Decisions, Effect, Input, Ledger, LedgerTimer, OutgoingDispatch, Stage};
pub use outcomes::{outcome, SocketEnd};
pub use release::{
    DeliveryFailure, DeliveryStep, Reachability, ReleaseDelivery, ReleaseRoute, UndeliveredReleases,
    RETRIES_PER_LIMIT,
};
pub use stall::StallDetector;
pub use write_check::{Withdrawal, WriteCheck};
