//! Planned restarts of routers: further signals around SIGTERM, late clients, and SIGKILL as early as the
//! platform allows.

use std::rc::Rc;
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;

use crate::late_clients::FirstAction;
use crate::play::RunningPlay;

/// The signals before and after the first SIGTERM of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct SignalSeries {
    before: &'static [Signal],
    after: &'static [Signal],
}

impl SignalSeries {
    /// SIGTERM alone.
    pub const TERM: SignalSeries = SignalSeries { before: &[], after: &[] };
    /// A new configuration right before SIGTERM.
    pub const RELOAD_FIRST: SignalSeries = SignalSeries { before: &[Signal::HUP], after: &[] };

    const ALL: [SignalSeries; 6] = [
        SignalSeries::TERM,
        SignalSeries::RELOAD_FIRST,
        SignalSeries { before: &[], after: &[Signal::TERM] },
        SignalSeries { before: &[], after: &[Signal::HUP, Signal::TERM] },
        SignalSeries { before: &[Signal::HUP, Signal::HUP], after: &[Signal::HUP] },
        SignalSeries {
            before: &[Signal::HUP, Signal::HUP, Signal::HUP],
            after: &[Signal::TERM, Signal::HUP, Signal::TERM],
        },
    ];

    /// Draws one of all series.
    pub fn draw(rng: &mut fastrand::Rng) -> SignalSeries {
        SignalSeries::ALL[rng.usize(..SignalSeries::ALL.len())]
    }
}

/// Time between two signals after SIGTERM, in ms.
const SIGNAL_INTERVAL_MS: u64 = 120;
/// Late clients connect this long before SIGTERM, and up to this long after it, in ms.
const CONNECT_BEFORE_MS: u64 = 100;
const CONNECT_AFTER_MS: f64 = 350.0;
/// How long the front of the platform still sends new connections to a router after SIGTERM, in ms.
const FRONT_DELAY_MS: u64 = 300;
/// First actions of the late clients that connect before SIGTERM, and of those that connect after it.
const FIRST_BEFORE: [FirstAction; 4] =
    [FirstAction::StayIdle, FirstAction::StayIdle, FirstAction::SendHalf, FirstAction::SendHalf];
const FIRST_AFTER: [FirstAction; 6] = [
    FirstAction::StayIdle,
    FirstAction::StayIdle,
    FirstAction::StayIdle,
    FirstAction::SendHalf,
    FirstAction::SendHalf,
    FirstAction::Send,
];

/// Shuts a router down with a series of signals, and starts it again once its process has ended.
pub async fn restart(running: Rc<RunningPlay>, router: usize, series: SignalSeries, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed ^ router as u64);
    let kill_after = running.plan.kill_after();
    let mut late = Vec::new();
    let mut spawn_late_client = |first, connect_ms: f64, rng: &mut fastrand::Rng| {
        let (clients, first_ms, seed) =
            (running.clients.clone(), kill_after.as_secs_f64() * 1e3 * rng.f64(), rng.u64(..));
        late.push(tokio::task::spawn_local(async move {
            sleep(Duration::from_secs_f64(connect_ms / 1e3)).await;
            clients.run_late(router, first, first_ms, seed).await;
        }));
    };
    FIRST_BEFORE.into_iter().for_each(|first| spawn_late_client(first, 0.0, &mut rng));
    sleep(Duration::from_millis(CONNECT_BEFORE_MS)).await;
    for signal in series.before {
        let _ = running.routers[router].configure(&running.configuration(router));
        running.routers[router].signal(*signal);
    }
    FIRST_AFTER.into_iter().for_each(|first| {
        let connect_ms = CONNECT_AFTER_MS * rng.f64();
        spawn_late_client(first, connect_ms, &mut rng);
    });
    let (withdrawn, signalled) = (running.clone(), running.clone());
    tokio::task::spawn_local(async move {
        sleep(Duration::from_millis(FRONT_DELAY_MS)).await;
        withdrawn.withdraw(router);
    });
    let after = tokio::task::spawn_local(async move {
        for signal in series.after {
            sleep(Duration::from_millis(SIGNAL_INTERVAL_MS)).await;
            signalled.routers[router].signal(*signal);
        }
    });
    running.routers[router].terminate(kill_after).await;
    // The remaining signals must not reach the next process.
    after.abort();
    running.withdraw(router);
    for client in late {
        let _ = client.await;
    }
    running.start_router(router).await;
    running.routers[router].being_restarted.set(false);
}
