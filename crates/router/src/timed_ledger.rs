//! The ledger with its clock and timers: the part that core tasks share, whatever protocol their servers use.

use futures_util::StreamExt;
use paddleproxy::interface::{CompletionId, Seq, WorkerId};
use paddleproxy_routing::{Counts, Effect, Input, Ledger, LedgerTimer};
use tokio_util::time::DelayQueue;

use crate::clock::{duration, Clock};

/// Lives as long as the router runs.
pub struct TimedLedger {
    pub clock: Clock,
    ledger: Ledger,
    timers: DelayQueue<LedgerTimer>,
}

impl TimedLedger {
    pub fn new(clock: Clock, ledger: Ledger) -> Self {
        TimedLedger { clock, ledger, timers: DelayQueue::new() }
    }

    /// Handles an input at the present time. Returns the effects to perform, in order, without `Effect::Arm`,
    /// whose timers are set here.
    pub fn handle(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.ledger.handle(self.clock.now_ms(), input, &mut effects);
        effects.retain(|effect| match effect {
            Effect::Arm { in_ms, timer } => {
                self.timers.insert(*timer, duration(*in_ms));
                false
            }
            _ => true,
        });
        effects
    }

    /// Waits for the next timer to expire; never returns if none is set.
    pub async fn due(&mut self) -> LedgerTimer {
        match self.timers.next().await {
            Some(expired) => expired.into_inner(),
            None => std::future::pending().await,
        }
    }

    /// The worker of a dispatch in flight.
    pub fn worker(&self, completion: CompletionId, seq: Seq) -> Option<&WorkerId> {
        self.ledger.worker(completion, seq)
    }

    pub fn counts(&self) -> Counts {
        self.ledger.counts()
    }

    /// Number of completions that are not finished or still have a dispatch in flight.
    pub fn open(&self) -> usize {
        self.ledger.open()
    }
}
