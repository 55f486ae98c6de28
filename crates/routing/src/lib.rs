//! A router's state between its sockets and the decision module `Control`: open completions, dispatches in
//! flight, states that wait at readers, listed servers, the classification of requests, idempotency keys and
//! admission.
//!
//! Pure state machines: they take events with their time (ms on the router's monotonic clock) and return what
//! to do. This crate uses no sockets, clocks, files or randomness; `crates/router` feeds in events and
//! carries out the effects.

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
