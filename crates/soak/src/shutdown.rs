//! Planned restarts: signals in series around the word to end, clients that stay, the kill as early as the platform may.

use std::rc::Rc;
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;

use crate::late::First;
use crate::play::RunningPlay;

/// Signals around the first SIGTERM.
#[derive(Clone, Copy, Debug)]
pub struct Series {
    before: &'static [Signal],
    after: &'static [Signal],
}

impl Series {
    /// SIGTERM alone.
    pub const TERM: Series = Series { before: &[], after: &[] };
    /// A new configuration right before SIGTERM.
    pub const RELOAD_FIRST: Series = Series { before: &[Signal::HUP], after: &[] };

    const ALL: [Series; 6] = [
        Series::TERM,
        Series::RELOAD_FIRST,
        Series { before: &[], after: &[Signal::TERM] },
        Series { before: &[], after: &[Signal::HUP, Signal::TERM] },
        Series { before: &[Signal::HUP, Signal::HUP], after: &[Signal::HUP] },
        Series {
            before: &[Signal::HUP, Signal::HUP, Signal::HUP],
            after: &[Signal::TERM, Signal::HUP, Signal::TERM],
        },
    ];

    /// One of all.
    pub fn draw(rng: &mut fastrand::Rng) -> Series {
        Series::ALL[rng.usize(..Series::ALL.len())]
    }
}

/// Between two further signals, in ms.
const APART_MS: u64 = 120;
/// Late clients connect so long before SIGTERM, and for so long after it, in ms.
const BEFORE_MS: u64 = 100;
const CONNECTING_MS: f64 = 350.0;
/// The front sends to a router that ends for so long, in ms.
const FRONT_MS: u64 = 300;
/// What the late clients before SIGTERM do first, and those after it.
const FIRST_BEFORE: [First; 4] = [First::Rests, First::Rests, First::SendsHalf, First::SendsHalf];
const FIRST_AFTER: [First; 6] =
    [First::Rests, First::Rests, First::Rests, First::SendsHalf, First::SendsHalf, First::Sends];

/// Tells a router to end, with a series of signals, and starts it again once it is gone.
pub async fn restart(running: Rc<RunningPlay>, router: usize, series: Series, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed ^ router as u64);
    let kill_after = running.plan.kill_after();
    let mut late = Vec::new();
    let mut stay = |first, connect_ms: f64, rng: &mut fastrand::Rng| {
        let (clients, first_ms, seed) =
            (running.clients.clone(), kill_after.as_secs_f64() * 1e3 * rng.f64(), rng.u64(..));
        late.push(tokio::task::spawn_local(async move {
            sleep(Duration::from_secs_f64(connect_ms / 1e3)).await;
            clients.stay(router, first, first_ms, seed).await;
        }));
    };
    FIRST_BEFORE.into_iter().for_each(|first| stay(first, 0.0, &mut rng));
    sleep(Duration::from_millis(BEFORE_MS)).await;
    for signal in series.before {
        let _ = running.routers[router].configure(&running.configuration(router));
        running.routers[router].signal(*signal);
    }
    FIRST_AFTER.into_iter().for_each(|first| {
        let connect_ms = CONNECTING_MS * rng.f64();
        stay(first, connect_ms, &mut rng);
    });
    let (withdrawn, signalled) = (running.clone(), running.clone());
    tokio::task::spawn_local(async move {
        sleep(Duration::from_millis(FRONT_MS)).await;
        withdrawn.withdraw(router);
    });
    let after = tokio::task::spawn_local(async move {
        for signal in series.after {
            sleep(Duration::from_millis(APART_MS)).await;
            signalled.routers[router].signal(*signal);
        }
    });
    running.routers[router].terminate(kill_after).await;
    // None of them is for the process that comes next.
    after.abort();
    running.withdraw(router);
    for client in late {
        let _ = client.await;
    }
    running.start_router(router).await;
    running.routers[router].being_restarted.set(false);
}
