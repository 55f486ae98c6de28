//! The check of an attempt immediately before it is written. Between its decision and its write the router
//! connects and does other work, so conditions that held at the decision may no longer hold.

/// Why an attempt is withdrawn instead of written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// The client closed its connection, so the answer could not be delivered.
    ClientGone,
    /// The attempt's time is over.
    OutOfTime,
    /// Servers deduplicate by key for a limited time, which has passed since the first attempt.
    RepeatTooLate,
    /// By the server list the server is draining or gone, or has another address now.
    ServerNotReady,
}

/// The state of an attempt that is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct WriteCheck {
    pub now_ms: f64,
    /// When the attempt times out; never later than the client timeout.
    pub until_ms: f64,
    /// See `OutgoingDispatch::repeat_by_ms`.
    pub repeat_by_ms: f64,
    pub server_ready: bool,
    /// The client is known to have closed its connection.
    pub client_gone: bool,
}

impl WriteCheck {
    /// The time limit to send to the server, in whole ms: never more than what is left.
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
