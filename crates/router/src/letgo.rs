//! Carries out one release as `Telling` says it: the calls side by side, and the waiting between them.

use std::future::Future;

use futures_util::stream::{FuturesUnordered, StreamExt};
use paddleproxy::interface::WorkerId;
use paddleproxy_routing::{Deaf, Next, Telling};
use tokio::time::sleep_until;

use crate::clock::Clock;

/// What one call came to.
pub enum Call {
    Heard,
    Failed(Deaf),
    /// Nothing is held there any more, so that nobody has to be told.
    Over(Deaf),
}

/// Who heard it; none where it is given up or over.
pub async fn tell<C: Future<Output = (WorkerId, Call)>>(
    telling: &mut Telling,
    clock: Clock,
    next: impl Fn(&mut Telling, f64) -> Next,
    call: impl Fn(WorkerId) -> C,
) -> Option<WorkerId> {
    let mut calls = FuturesUnordered::new();
    loop {
        let until_ms = match next(telling, clock.now_ms()) {
            Next::Tell(workers) => {
                calls.extend(workers.into_iter().map(&call));
                continue;
            }
            Next::Wait { until_ms } => until_ms,
            Next::Unheard => return None,
        };
        let (worker, answer) = tokio::select! {
            biased;
            Some(ended) = calls.next() => ended,
            () = sleep_until(clock.at(until_ms)) => continue,
        };
        match answer {
            Call::Heard => return Some(worker),
            Call::Failed(deaf) => telling.failed(&worker, deaf),
            Call::Over(deaf) => {
                telling.failed(&worker, deaf);
                return None;
            }
        }
    }
}
