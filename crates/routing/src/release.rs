//! Delivery of a release: which workers to call about a state or a reserved slot that is not needed any more,
//! when to call further ones, and when to abandon the release as undelivered.
//!
//! Where any worker accepts a release for all others (`ReleaseRoute::AnyWorker`), the holder need not be
//! reachable: it may be in a lost zone or behind a network partition, and so may whole zones beside it. The
//! choice therefore prefers workers that recently answered this router, spreads over zones and cells, and
//! differs between routers by their seed. Calls overlap, so a silent worker never delays the next call. Each
//! wave of calls is as large as all earlier waves together: if only one of `n` workers is reachable it is
//! called within log2(n) waves, while the usual case takes one call. Times are ms on the caller's clock.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use paddleproxy::hash::rank;
use paddleproxy::interface::*;

use crate::outcomes::SocketEnd;

/// Share of the limit after which an unanswered wave is followed by the next: twelve waves reach all of 2,048
/// workers within the limit.
const WAVE_PAUSE_SHARE: f64 = 1.0 / 12.0;
/// Share of that pause to wait where all calls have failed already: a refusal says more than silence, but
/// workers that refuse at once must not make the router call the whole list in a burst.
const ALL_FAILED_PAUSE_SHARE: f64 = 0.25;
/// Once every worker was called, one worker is called again this many times in each limit.
pub const RETRIES_PER_LIMIT: usize = 4;
/// A release that no worker acknowledged within this many limits is abandoned.
const ABANDON_AFTER_LIMITS: f64 = 16.0;
/// An answer or a silence of a worker counts as recent for this many limits.
const RECENT_LIMITS: f64 = 8.0;

/// Least time between two log lines on undelivered releases, in ms.
const LOG_INTERVAL_MS: f64 = 1000.0;

struct WorkerRow {
    zone: ZoneId,
    cell: CellId,
    answered_ms: f64,
    silent_ms: f64,
}

/// Which listed workers recently answered this router and which did not. There is one per router, for its
/// whole run.
#[derive(Default)]
pub struct Reachability {
    rows: BTreeMap<WorkerId, WorkerRow>,
    own_zone: Option<ZoneId>,
}

impl Reachability {
    pub fn new(own_zone: Option<ZoneId>) -> Self {
        Reachability { rows: BTreeMap::new(), own_zone }
    }

    /// Sets this router's own zone, as new settings name it.
    pub fn set_own_zone(&mut self, own_zone: Option<ZoneId>) {
        self.own_zone = own_zone;
    }

    /// Applies a server list. What is known of a worker stays as long as it is listed.
    pub fn update_list(&mut self, kind: ListKind, rows: &[Listing]) {
        if kind != ListKind::Changes && kind != ListKind::Failed {
            let listed: BTreeSet<_> = rows.iter().map(|row| &row.worker).collect();
            self.rows.retain(|worker, _| listed.contains(worker));
        }
        for row in rows {
            if row.readiness == Readiness::Gone {
                self.rows.remove(&row.worker);
                continue;
            }
            let never = f64::NEG_INFINITY;
            let new = WorkerRow { zone: row.zone, cell: row.cell, answered_ms: never, silent_ms: never };
            let known = self.rows.entry(row.worker.clone()).or_insert(new);
            (known.zone, known.cell) = (row.zone, row.cell);
        }
    }

    pub fn record_answer(&mut self, worker: &WorkerId, now_ms: f64) {
        self.rows.entry(worker.clone()).and_modify(|row| row.answered_ms = now_ms);
    }

    pub fn record_silence(&mut self, worker: &WorkerId, now_ms: f64) {
        self.rows.entry(worker.clone()).and_modify(|row| row.silent_ms = now_ms);
    }

    /// Records what the end of a dispatch says of its worker: nothing where this router cancelled or withdrew
    /// it, could not connect for its own reasons, or the stream broke after its first event.
    pub fn record_dispatch_end(&mut self, worker: &WorkerId, end: &SocketEnd, now_ms: f64) {
        use SocketEnd::*;
        match end {
            TurnedAway(_) | ErrorStatus(_) | ReadDone | AnswerDone | BrokeWithinAnswer | Nonsense(_) => {
                self.record_answer(worker, now_ms);
            }
            ConnectRefused | Unreachable | ConnectTimedOut | NeverWritten | BrokeBeforeAnswer | Stalled
            | TimedOut => self.record_silence(worker, now_ms),
            NoAddress | NoRoom | BrokeAfterFirst | Stopped | Withdrawn(_) => {}
        }
    }

    /// Sort key: 0 for a worker that answered recently, 1 if nothing recent is known, 2 if it was silent
    /// since.
    fn suspicion_rank(row: &WorkerRow, now_ms: f64, limit_ms: f64) -> u8 {
        let last_ms = row.answered_ms.max(row.silent_ms);
        match now_ms - last_ms > limit_ms * RECENT_LIMITS {
            true => 1,
            false if row.answered_ms > row.silent_ms => 0,
            false => 2,
        }
    }
}

/// Which workers accept a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseRoute {
    /// Every worker can release what any other holds.
    AnyWorker,
    /// Only the worker that holds it.
    HolderOnly,
}

/// What the caller is to do next for a release.
#[derive(Clone, Debug, PartialEq)]
pub enum DeliveryStep {
    /// Call these workers now, concurrently.
    Call(Vec<WorkerId>),
    /// Do nothing before this time, in ms on the caller's clock.
    Wait { until_ms: f64 },
    /// No worker acknowledged the release; abandon it.
    Undelivered,
}

/// Why a call failed, the least serious first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeliveryFailure {
    /// No address is known, or no file descriptor was free for a connection.
    NoWay,
    /// The connection was refused or broke.
    Refused,
    /// No response arrived.
    Silent,
}

impl DeliveryFailure {
    pub const ALL: [DeliveryFailure; 3] =
        [DeliveryFailure::NoWay, DeliveryFailure::Refused, DeliveryFailure::Silent];

    /// The name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            DeliveryFailure::NoWay => "no-way",
            DeliveryFailure::Refused => "refused",
            DeliveryFailure::Silent => "silent",
        }
    }
}

/// Counts of undelivered releases, by the worst failure of their calls. There is one per router, for its
/// whole run.
#[derive(Default)]
pub struct UndeliveredReleases {
    counts: [Cell<u64>; DeliveryFailure::ALL.len()],
    last_logged_ms: Cell<Option<f64>>,
}

impl UndeliveredReleases {
    /// Counts one undelivered release and returns whether to log it: at most once per `LOG_INTERVAL_MS`.
    pub fn record(&self, cause: DeliveryFailure, now_ms: f64) -> bool {
        let count = &self.counts[cause as usize];
        count.set(count.get() + 1);
        let due =
            self.last_logged_ms.get().is_none_or(|last_logged_ms| now_ms >= last_logged_ms + LOG_INTERVAL_MS);
        if due {
            self.last_logged_ms.set(Some(now_ms));
        }
        due
    }

    pub fn counts(&self) -> [(&'static str, u64); DeliveryFailure::ALL.len()] {
        DeliveryFailure::ALL.map(|cause| (cause.name(), self.counts[cause as usize].get()))
    }
}

/// The delivery of one release, until a worker acknowledged it or it is abandoned.
pub struct ReleaseDelivery {
    holder: WorkerId,
    route: ReleaseRoute,
    seed: u64,
    limit_ms: f64,
    retry_pause_ms: f64,
    started_ms: f64,
    last_wave_ms: f64,
    /// Workers called in this round, and whether that call is still in flight.
    called: BTreeMap<WorkerId, bool>,
    first_round: bool,
    calls: u32,
    worst_failure: Option<DeliveryFailure>,
}

impl ReleaseDelivery {
    /// `seed` has to differ between routers; `limit_ms` is how long a state may stay pinned; once every
    /// worker was called, one is called `retries_per_limit` times in each limit.
    pub fn new(
        holder: WorkerId,
        route: ReleaseRoute,
        seed: u64,
        limit_ms: f64,
        retries_per_limit: usize,
        now_ms: f64,
    ) -> Self {
        let limit_ms = limit_ms.max(1.0);
        ReleaseDelivery {
            holder,
            route,
            seed,
            limit_ms,
            retry_pause_ms: limit_ms / retries_per_limit.max(1) as f64,
            started_ms: now_ms,
            last_wave_ms: f64::NEG_INFINITY,
            called: BTreeMap::new(),
            first_round: true,
            calls: 0,
            worst_failure: None,
        }
    }

    /// Number of calls requested so far.
    pub fn calls(&self) -> u32 {
        self.calls
    }

    /// The worst failure of a call so far; an undelivered release is counted under it.
    pub fn worst_failure(&self) -> Option<DeliveryFailure> {
        self.worst_failure
    }

    /// Records that a call failed.
    pub fn failed(&mut self, worker: &WorkerId, failure: DeliveryFailure) {
        self.called.entry(worker.clone()).and_modify(|in_flight| *in_flight = false);
        self.worst_failure = self.worst_failure.max(Some(failure));
    }

    pub fn next_step(&mut self, now_ms: f64, reachability: &Reachability) -> DeliveryStep {
        if now_ms >= self.started_ms + ABANDON_AFTER_LIMITS * self.limit_ms {
            return DeliveryStep::Undelivered;
        }
        let all_failed = !self.called.values().any(|in_flight| *in_flight);
        let pause_ms = match self.first_round {
            true if all_failed => self.limit_ms * WAVE_PAUSE_SHARE * ALL_FAILED_PAUSE_SHARE,
            true => self.limit_ms * WAVE_PAUSE_SHARE,
            false => self.retry_pause_ms,
        };
        let until_ms = self.last_wave_ms + pause_ms;
        if now_ms < until_ms {
            return DeliveryStep::Wait { until_ms };
        }
        let most = if self.first_round { self.called.len().max(1) } else { 1 };
        let wave = self.pick(most, now_ms, reachability);
        if wave.is_empty() {
            // Every worker was called: from now on call one at a time, the likeliest to be reachable first.
            self.first_round = false;
            self.called.clear();
            let until_ms = self.last_wave_ms + self.retry_pause_ms;
            return DeliveryStep::Wait {
                until_ms: until_ms.max(now_ms + self.limit_ms * WAVE_PAUSE_SHARE * ALL_FAILED_PAUSE_SHARE),
            };
        }
        self.last_wave_ms = now_ms;
        self.calls += wave.len() as u32;
        self.called.extend(wave.iter().map(|worker| (worker.clone(), true)));
        DeliveryStep::Call(wave)
    }

    /// At most `most` workers to call next: recently answering ones first, then those in zones and cells with
    /// the fewest calls, the own zone before others.
    fn pick(&self, most: usize, now_ms: f64, reachability: &Reachability) -> Vec<WorkerId> {
        let suspicion_rank = |row: &WorkerRow| Reachability::suspicion_rank(row, now_ms, self.limit_ms);
        let holder = reachability.rows.get(&self.holder);
        let any_worker = self.route == ReleaseRoute::AnyWorker;
        let mut wave = Vec::new();
        // The holder is called first, unless it was recently silent and others accept the release.
        let holder_first = !any_worker || holder.is_some_and(|row| suspicion_rank(row) < 2);
        if holder_first && !self.called.contains_key(&self.holder) {
            wave.push(self.holder.clone());
        }
        if !any_worker {
            return wave;
        }
        let (mut zones, mut cells) = (BTreeMap::<ZoneId, u32>::new(), BTreeMap::<CellId, u32>::new());
        for row in self.called.keys().chain(&wave).filter_map(|worker| reachability.rows.get(worker)) {
            *zones.entry(row.zone).or_default() += 1;
            *cells.entry(row.cell).or_default() += 1;
        }
        let left = |worker: &WorkerId| !self.called.contains_key(worker) && !wave.contains(worker);
        let left = reachability.rows.iter().filter(|(worker, _)| left(worker));
        let mut left: Vec<_> =
            left.map(|(worker, row)| (suspicion_rank(row), rank(worker, self.seed), worker, row)).collect();
        left.sort_by_key(|(suspicion_rank, rank, ..)| (*suspicion_rank, *rank));
        while wave.len() < most && !left.is_empty() {
            let order = |(suspicion_rank, _, _, row): &(u8, u64, &WorkerId, &WorkerRow)| {
                let calls_in_zone = zones.get(&row.zone).copied().unwrap_or(0);
                let own_zone = reachability.own_zone == Some(row.zone);
                (*suspicion_rank, calls_in_zone, !own_zone, cells.get(&row.cell).copied().unwrap_or(0))
            };
            let Some(at) = (0..left.len()).min_by_key(|at| order(&left[*at])) else { break };
            let (_, _, worker, row) = left.remove(at);
            *zones.entry(row.zone).or_default() += 1;
            *cells.entry(row.cell).or_default() += 1;
            wave.push(worker.clone());
        }
        wave
    }
}
