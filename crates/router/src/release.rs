//! Delivers one release as `ReleaseDelivery` plans it: makes the calls concurrently and waits between them.

use std::future::Future;

use futures_util::stream::{FuturesUnordered, StreamExt};
use paddleproxy::interface::WorkerId;
use paddleproxy_routing::{DeliveryFailure, DeliveryStep, ReleaseDelivery};
use tokio::time::sleep_until;

use crate::clock::Clock;

/// Result of one call.
pub enum CallResult {
    Acknowledged,
    Failed(DeliveryFailure),
    /// The worker no longer holds the state, so no further call is needed.
    NothingHeld(DeliveryFailure),
}

/// Returns the worker that acknowledged the release; None if delivery was abandoned or is no longer needed.
pub async fn deliver<C: Future<Output = (WorkerId, CallResult)>>(
    delivery: &mut ReleaseDelivery,
    clock: Clock,
    next_step: impl Fn(&mut ReleaseDelivery, f64) -> DeliveryStep,
    call: impl Fn(WorkerId) -> C,
) -> Option<WorkerId> {
    let mut calls = FuturesUnordered::new();
    loop {
        let until_ms = match next_step(delivery, clock.now_ms()) {
            DeliveryStep::Call(workers) => {
                calls.extend(workers.into_iter().map(&call));
                continue;
            }
            DeliveryStep::Wait { until_ms } => until_ms,
            DeliveryStep::Undelivered => return None,
        };
        let (worker, result) = tokio::select! {
            biased;
            Some(finished) = calls.next() => finished,
            () = sleep_until(clock.at(until_ms)) => continue,
        };
        match result {
            CallResult::Acknowledged => return Some(worker),
            CallResult::Failed(failure) => delivery.failed(&worker, failure),
            CallResult::NothingHeld(failure) => {
                delivery.failed(&worker, failure);
                return None;
            }
        }
    }
}
