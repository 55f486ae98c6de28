//! The ledger with its clock and timers: what a core task is built around, whatever its wire.

use futures_util::StreamExt;
use paddleproxy::interface::{CompletionId, Seq, WorkerId};
use paddleproxy_routing::{Counts, Effect, Input, Ledger, LedgerTimer};
use tokio_util::time::DelayQueue;

use crate::clock::{duration, Clock};

/// Lives as long as the router.
pub struct TimedLedger {
    pub clock: Clock,
    ledger: Ledger,
    timers: DelayQueue<LedgerTimer>,
}

impl TimedLedger {
    pub fn new(clock: Clock, ledger: Ledger) -> Self {
        TimedLedger { clock, ledger, timers: DelayQueue::new() }
    }

    /// Takes in what happened now; what the sockets are to do, in order. Timers are set already.
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

    /// Waits for the next timer; for ever where none is set.
    pub async fn due(&mut self) -> LedgerTimer {
        match self.timers.next().await {
            Some(due) => due.into_inner(),
            None => std::future::pending().await,
        }
    }

    /// Where a dispatch that is out went.
    pub fn worker(&self, completion: CompletionId, seq: Seq) -> Option<&WorkerId> {
        self.ledger.worker(completion, seq)
    }

    pub fn counts(&self) -> Counts {
        self.ledger.counts()
    }

    /// Completions that are not over or still have a dispatch out.
    pub fn open(&self) -> usize {
        self.ledger.open()
    }
}
