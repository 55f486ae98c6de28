//! Clients of a router that is told to end: they hold a connection and use it until it closes or the process is gone.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::client::Clients;
use crate::record::RouterId;

/// What a late client does first on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum First {
    /// Nothing for some time, then a request.
    Rests,
    /// Half a request, its rest some time later.
    SendsHalf,
    /// A request at once.
    Sends,
}

/// Between an answer and the next request, in ms, at most.
const PAUSE_MS: f64 = 200.0;

impl Clients {
    /// One late client; its first request, or the rest of it, is sent after `first_ms`.
    pub async fn stay(self: Rc<Self>, router: RouterId, first: First, first_ms: f64, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ seed);
        let Some(mut open) = self.connect_to(router).await else { return };
        let generation = open.generation;
        let mut pause_ms = Some(first_ms).filter(|_| first == First::SendsHalf);
        if first == First::Rests {
            sleep(Duration::from_secs_f64(first_ms / 1e3)).await;
        }
        while generation == self.generation(router) && !open.closed() {
            let mut planned_request = self.planned_request(&mut rng);
            planned_request.pause_ms = pause_ms.take();
            let Some(kept) = self.send_request(open, planned_request).await else { return };
            open = kept;
            sleep(Duration::from_secs_f64(PAUSE_MS * rng.f64() / 1e3)).await;
        }
    }
}
