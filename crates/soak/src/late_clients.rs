//! Late clients: clients of a router that is shutting down, which use their connection until it closes or the
//! process ends.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::client::Clients;
use crate::record::RouterId;

/// The first action of a late client on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstAction {
    /// Stays idle for some time, then sends a request.
    StayIdle,
    /// Sends half a request, and the rest some time later.
    SendHalf,
    /// Sends a request at once.
    Send,
}

/// Longest pause between a response and the next request, in ms.
const MAX_PAUSE_MS: f64 = 200.0;

impl Clients {
    /// Runs a late client, which sends its first request, or the rest of it, after `first_ms`.
    pub async fn run_late(self: Rc<Self>, router: RouterId, first: FirstAction, first_ms: f64, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ seed);
        let Some(mut connection) = self.connect_to(router).await else { return };
        let generation = connection.generation;
        let mut pause_ms = Some(first_ms).filter(|_| first == FirstAction::SendHalf);
        if first == FirstAction::StayIdle {
            sleep(Duration::from_secs_f64(first_ms / 1e3)).await;
        }
        while generation == self.generation(router) && !connection.closed() {
            let mut planned_request = self.planned_request(&mut rng);
            planned_request.pause_ms = pause_ms.take();
            let Some(reusable) = self.send_request(connection, planned_request).await else { return };
            connection = reusable;
            sleep(Duration::from_secs_f64(MAX_PAUSE_MS * rng.f64() / 1e3)).await;
        }
    }
}
