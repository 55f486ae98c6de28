//! The check that an attempt passes at the moment in which it is written. Between its decision and its write lie a
//! connect and whatever else the router does; what was true at the decision may have ended in that time.

/// Why an attempt that was decided is not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// The client has closed: nobody waits for the answer.
    ClientGone,
    /// The attempt's own time is over.
    OutOfTime,
    /// Servers drop repeats by key for a limited time, and that has passed since the first attempt.
    RepeatTooLate,
    /// The list says that the server drains or is gone, or that it is reached elsewhere now.
    ServerNotReady,
}

/// What is known of an attempt when it is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct WriteCheck {
    pub now_ms: f64,
    /// When the attempt's time ends; never past the client's.
    pub until_ms: f64,
    /// See `OutgoingDispatch::repeat_by_ms`.
    pub repeat_by_ms: f64,
    pub server_ready: bool,
    /// The client is known to have closed.
    pub client_gone: bool,
}

impl WriteCheck {
    /// The time that the server may be told, in whole ms: never more than what is left.
    ///
    /// # Errors
    /// Why the attempt must not be written.
    pub fn time_left_ms(&self) -> Result<f64, Withdrawal> {
        if self.client_gone {
            return Err(Withdrawal::ClientGone);
        }
        let left_ms = (self.until_ms - self.now_ms).floor();
        if left_ms.is_nan() || left_ms < 1.0 {
            Err(Withdrawal::OutOfTime)
        } else if self.now_ms >= self.repeat_by_ms {
            Err(Withdrawal::RepeatTooLate)
        } else if !self.server_ready {
            Err(Withdrawal::ServerNotReady)
        } else {
            Ok(left_ms)
        }
    }
}

#[cfg(test)]
mod tests;
