//! Carries out one release as `ReleaseDelivery` says it: the calls side by side, and the waiting between them.

use std::future::Future;

use futures_util::stream::{FuturesUnordered, StreamExt};
use paddleproxy::interface::WorkerId;
use paddleproxy_routing::{DeliveryFailure, DeliveryStep, ReleaseDelivery};
use tokio::time::sleep_until;

use crate::clock::Clock;

/// What one call came to.
pub enum CallResult {
    Acknowledged,
    Failed(DeliveryFailure),
    /// Nothing is held there any more, so that nobody has to be told.
    NothingHeld(DeliveryFailure),
}

/// Who heard it; none where it is given up or over.
pub async fn deliver<C: Future<Output = (WorkerId, CallResult)>>(
    telling: &mut ReleaseDelivery,
    clock: Clock,
    next: impl Fn(&mut ReleaseDelivery, f64) -> DeliveryStep,
    call: impl Fn(WorkerId) -> C,
) -> Option<WorkerId> {
    let mut calls = FuturesUnordered::new();
    loop {
        let until_ms = match next(telling, clock.now_ms()) {
            DeliveryStep::Call(workers) => {
                calls.extend(workers.into_iter().map(&call));
                continue;
            }
            DeliveryStep::Wait { until_ms } => until_ms,
            DeliveryStep::Undelivered => return None,
        };
        let (worker, answer) = tokio::select! {
            biased;
            Some(ended) = calls.next() => ended,
            () = sleep_until(clock.at(until_ms)) => continue,
        };
        match answer {
            CallResult::Acknowledged => return Some(worker),
            CallResult::Failed(deaf) => telling.failed(&worker, deaf),
            CallResult::NothingHeld(deaf) => {
                telling.failed(&worker, deaf);
                return None;
            }
        }
    }
}
