//! Maps the end of a dispatch on its socket to an outcome. `docs/architecture.md` describes the same table. A
//! dispatch that may have run never counts as not run: that requires that it certainly never left this
//! router, or that the server explicitly rejected it.

use paddleproxy::interface::Outcome;
use paddleproxy_engine::Refusal;

use crate::write_check::Withdrawal;

/// How a dispatch ended on its socket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SocketEnd {
    /// No connection: refused, no route, not established in time, or no address known.
    ConnectRefused,
    Unreachable,
    ConnectTimedOut,
    NoAddress,
    /// This router has reached its connection limit, or its machine lacks a resource for one more.
    NoRoom,
    /// The connection was closed before any byte of the request was written to it.
    NeverWritten,
    /// Not written: a condition that held at the decision no longer held at the write.
    Withdrawn(Withdrawal),
    /// The server rejected it, with a code and a status that match.
    TurnedAway(Refusal),
    /// Any other status that is not a success.
    ErrorStatus(u16),
    /// The connection broke after the request was written, before any byte of an answer. Includes a reused
    /// keep-alive connection that the server closed at the same time.
    BrokeBeforeAnswer,
    /// The connection broke within an answer, before its first event.
    BrokeWithinAnswer,
    /// The connection broke within an answer, after its first event.
    BrokeAfterFirst,
    /// No data for too long within an answer that had begun.
    Stalled,
    /// No answer, or no first event of one, before the dispatch's timeout.
    TimedOut,
    /// Cancelled by this router, or the client left.
    Stopped,
    /// The response violates the protocol: content type, JSON, UTF-8, length or state reference.
    Nonsense(String),
    /// A reader answered; it holds the state for a writer.
    ReadDone,
    /// The answer is complete by the rules of the protocol.
    AnswerDone,
}

/// The outcome that is reported to the decision module.
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
