//! Which outcome a socket's end is. `docs/architecture.md` holds the same table in words.
//! What may have run is never called never-run: only what surely never left this router, or was turned away by a
//! server in so many words, counts as such.

use paddleproxy::interface::Outcome;
use paddleproxy_engine::Refusal;

use crate::write_check::Withdrawal;

/// How one dispatch ended, as its socket saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SocketEnd {
    /// No connection: refused, no way there, not made in time, or no address known.
    ConnectRefused,
    Unreachable,
    ConnectTimedOut,
    NoAddress,
    /// This router has no connection left to give, or its machine is short of something.
    NoRoom,
    /// A connection stood but closed before any byte of the request was written to it.
    NeverWritten,
    /// Decided and not written: what had to hold at the write no longer held.
    Withdrawn(Withdrawal),
    /// Turned away with the code and the status that belong together.
    TurnedAway(Refusal),
    /// Any other status that is no success.
    ErrorStatus(u16),
    /// The connection broke after the request was written, before any byte of an answer; also a kept-alive one that
    /// the server closed under us.
    BrokeBeforeAnswer,
    /// It broke within an answer, before and after the first event of it.
    BrokeWithinAnswer,
    BrokeAfterFirst,
    /// Silent for too long within an answer that had begun.
    Stalled,
    /// No answer, or no first event of one, within the dispatch's time.
    TimedOut,
    /// Called off by us, or the client left.
    Stopped,
    /// Not what the wire allows: content type, JSON, UTF-8, length, state reference.
    Nonsense(String),
    /// A reader answered; the state waits.
    ReadDone,
    /// An answer ended as the wire says.
    AnswerDone,
}

/// The outcome that the decisions are told.
pub fn outcome(end: &SocketEnd) -> Outcome {
    match end {
        SocketEnd::ConnectRefused
        | SocketEnd::Unreachable
        | SocketEnd::ConnectTimedOut
        | SocketEnd::NoAddress
        | SocketEnd::NeverWritten => Outcome::ConnectFailed,
        SocketEnd::NoRoom | SocketEnd::Withdrawn(_) => Outcome::Unsent,
        SocketEnd::TurnedAway(Refusal::Full | Refusal::Draining) => Outcome::Full,
        SocketEnd::TurnedAway(Refusal::StateGone) => Outcome::NoState,
        SocketEnd::ErrorStatus(_) | SocketEnd::Nonsense(_) => Outcome::Error,
        SocketEnd::BrokeBeforeAnswer
        | SocketEnd::BrokeWithinAnswer
        | SocketEnd::BrokeAfterFirst
        | SocketEnd::Stalled => Outcome::Broken,
        SocketEnd::TimedOut => Outcome::TimedOut,
        SocketEnd::Stopped => Outcome::Cancelled,
        SocketEnd::ReadDone => Outcome::Read,
        SocketEnd::AnswerDone => Outcome::Finished,
    }
}

/// Whether the outcome proves that the work never ran.
pub fn never_ran(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::ConnectFailed
            | Outcome::Unsent
            | Outcome::Full
            | Outcome::NoState
            | Outcome::Moot
            | Outcome::Read
    )
}
