//! Whom to tell that a state or a place is let go, when the next is told beside the first, and when it is given up.
//!
//! Where any worker takes the word for all others (`ReleaseRoute::AnyWorker`), the holder need not be reached: it may lie in
//! a lost zone or behind a cut, and so may whole zones beside it. So the choice goes by who answered this router of
//! late, spreads over zones and cells, and differs between routers by their seed. Tries overlap: silence never holds up
//! the next. Each wave of tries is as large as all before it together, so that among `n` workers the only one that can
//! be reached is told within log2(n) waves, while in the usual case one call is all. Times are ms on the caller's clock.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use paddleproxy::hash::rank;
use paddleproxy::interface::*;

use crate::outcomes::SocketEnd;

/// Part of the limit after which silence brings the next wave: twelve waves reach all of 2,048 workers within it.
const WAVE: f64 = 1.0 / 12.0;
/// Part of that, where all who were told have failed already: a refusal says more than silence, but who refuses at once
/// must not turn the list into a burst.
const SOONER: f64 = 0.25;
/// Once all were told, one is told again so often in each limit, and for so many limits in all.
pub const RETRIES_PER_LIMIT: usize = 4;
const LIMITS: f64 = 16.0;
/// An answer or a silence says something for so many limits.
const LATELY: f64 = 8.0;

/// Between two lines of the log on what nobody heard, in ms.
const SAID_EVERY_MS: f64 = 1000.0;

struct Row {
    zone: ZoneId,
    cell: CellId,
    answered_ms: f64,
    silent_ms: f64,
}

/// Who answered this router of late and who did not, by worker on the list. Lives as long as the router; holds a row a
/// listed worker.
#[derive(Default)]
pub struct Reachability {
    rows: BTreeMap<WorkerId, Row>,
    own_zone: Option<ZoneId>,
}

impl Reachability {
    pub fn new(own_zone: Option<ZoneId>) -> Self {
        Reachability { rows: BTreeMap::new(), own_zone }
    }

    /// Another zone of this router from now on, as new settings name it.
    pub fn set_own_zone(&mut self, own_zone: Option<ZoneId>) {
        self.own_zone = own_zone;
    }

    /// Another list; what was heard of a worker stays as long as it is listed.
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
            let new = Row { zone: row.zone, cell: row.cell, answered_ms: never, silent_ms: never };
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

    /// What the end of a dispatch says of its worker; nothing where we called it off or it broke under way.
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

    /// 0 for who answered of late, 1 for who is not known, 2 for who was silent since.
    fn doubt(row: &Row, now_ms: f64, limit_ms: f64) -> u8 {
        let last_ms = row.answered_ms.max(row.silent_ms);
        match now_ms - last_ms > limit_ms * LATELY {
            true => 1,
            false if row.answered_ms > row.silent_ms => 0,
            false => 2,
        }
    }
}

/// Who can take the word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseRoute {
    /// Every worker lets go of what any holds.
    AnyWorker,
    /// Only the holder.
    HolderOnly,
}

/// What to do next about one release.
#[derive(Clone, Debug, PartialEq)]
pub enum DeliveryStep {
    /// Tell these now, side by side.
    Call(Vec<WorkerId>),
    /// Nothing before then, in ms on the caller's clock.
    Wait { until_ms: f64 },
    /// Nobody heard it; it is given up.
    Undelivered,
}

/// What became of a try that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeliveryFailure {
    /// No address is known, or there was no descriptor for a connection.
    NoWay,
    /// A connection was refused or broke.
    Refused,
    /// Nothing came back.
    Silent,
}

impl DeliveryFailure {
    pub const ALL: [DeliveryFailure; 3] =
        [DeliveryFailure::NoWay, DeliveryFailure::Refused, DeliveryFailure::Silent];

    /// For metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            DeliveryFailure::NoWay => "no-way",
            DeliveryFailure::Refused => "refused",
            DeliveryFailure::Silent => "silent",
        }
    }
}

/// Releases that nobody heard, by the worst that their calls met. Lives as long as the router.
#[derive(Default)]
pub struct UndeliveredReleases {
    counts: [Cell<u64>; DeliveryFailure::ALL.len()],
    said_ms: Cell<Option<f64>>,
}

impl UndeliveredReleases {
    /// Counts one; whether the log is to say it, which it does once in a while however many there are.
    pub fn record(&self, cause: DeliveryFailure, now_ms: f64) -> bool {
        let count = &self.counts[cause as usize];
        count.set(count.get() + 1);
        let due = self.said_ms.get().is_none_or(|said_ms| now_ms >= said_ms + SAID_EVERY_MS);
        if due {
            self.said_ms.set(Some(now_ms));
        }
        due
    }

    pub fn counts(&self) -> [(&'static str, u64); DeliveryFailure::ALL.len()] {
        DeliveryFailure::ALL.map(|cause| (cause.name(), self.counts[cause as usize].get()))
    }
}

/// Lives from a release until a worker has heard it or it is given up.
pub struct ReleaseDelivery {
    holder: WorkerId,
    others: ReleaseRoute,
    seed: u64,
    limit_ms: f64,
    again_ms: f64,
    began_ms: f64,
    wave_ms: f64,
    /// Told in this round, and whether that try is still out.
    told: BTreeMap<WorkerId, bool>,
    first_round: bool,
    calls: u32,
    deaf: Option<DeliveryFailure>,
}

impl ReleaseDelivery {
    /// `seed` has to differ between routers; `limit_ms` is how long what is held may stay; once all were told, one is
    /// told `again` times in each limit.
    pub fn new(
        holder: WorkerId,
        others: ReleaseRoute,
        seed: u64,
        limit_ms: f64,
        again: usize,
        now_ms: f64,
    ) -> Self {
        let limit_ms = limit_ms.max(1.0);
        ReleaseDelivery {
            holder,
            others,
            seed,
            limit_ms,
            again_ms: limit_ms / again.max(1) as f64,
            began_ms: now_ms,
            wave_ms: f64::NEG_INFINITY,
            told: BTreeMap::new(),
            first_round: true,
            calls: 0,
            deaf: None,
        }
    }

    /// Calls asked for so far.
    pub fn calls(&self) -> u32 {
        self.calls
    }

    /// The worst that a try met: by this what nobody heard is counted.
    pub fn worst_failure(&self) -> Option<DeliveryFailure> {
        self.deaf
    }

    /// A try ended without an answer.
    pub fn failed(&mut self, worker: &WorkerId, deaf: DeliveryFailure) {
        self.told.entry(worker.clone()).and_modify(|out| *out = false);
        self.deaf = self.deaf.max(Some(deaf));
    }

    pub fn next_step(&mut self, now_ms: f64, hearing: &Reachability) -> DeliveryStep {
        if now_ms >= self.began_ms + LIMITS * self.limit_ms {
            return DeliveryStep::Undelivered;
        }
        let all_failed = !self.told.values().any(|out| *out);
        let pause_ms = match self.first_round {
            true if all_failed => self.limit_ms * WAVE * SOONER,
            true => self.limit_ms * WAVE,
            false => self.again_ms,
        };
        let until_ms = self.wave_ms + pause_ms;
        if now_ms < until_ms {
            return DeliveryStep::Wait { until_ms };
        }
        let most = if self.first_round { self.told.len().max(1) } else { 1 };
        let wave = self.pick(most, now_ms, hearing);
        if wave.is_empty() {
            // All were told: from now on one at a time, whoever is likeliest to hear.
            self.first_round = false;
            self.told.clear();
            let until_ms = self.wave_ms + self.again_ms;
            return DeliveryStep::Wait { until_ms: until_ms.max(now_ms + self.limit_ms * WAVE * SOONER) };
        }
        self.wave_ms = now_ms;
        self.calls += wave.len() as u32;
        self.told.extend(wave.iter().map(|worker| (worker.clone(), true)));
        DeliveryStep::Call(wave)
    }

    /// The next to be told, at most so many: who answered of late first, then zones and cells in which fewest were told,
    /// the own zone before others.
    fn pick(&self, most: usize, now_ms: f64, hearing: &Reachability) -> Vec<WorkerId> {
        let doubt = |row: &Row| Reachability::doubt(row, now_ms, self.limit_ms);
        let holder = hearing.rows.get(&self.holder);
        let anyone = self.others == ReleaseRoute::AnyWorker;
        let mut wave = Vec::new();
        // The holder is asked first, unless it was silent of late and others can take the word.
        let first = !anyone || holder.is_some_and(|row| doubt(row) < 2);
        if first && !self.told.contains_key(&self.holder) {
            wave.push(self.holder.clone());
        }
        if !anyone {
            return wave;
        }
        let (mut zones, mut cells) = (BTreeMap::<ZoneId, u32>::new(), BTreeMap::<CellId, u32>::new());
        for row in self.told.keys().chain(&wave).filter_map(|worker| hearing.rows.get(worker)) {
            *zones.entry(row.zone).or_default() += 1;
            *cells.entry(row.cell).or_default() += 1;
        }
        let left = |worker: &WorkerId| !self.told.contains_key(worker) && !wave.contains(worker);
        let left = hearing.rows.iter().filter(|(worker, _)| left(worker));
        let mut left: Vec<_> =
            left.map(|(worker, row)| (doubt(row), rank(worker, self.seed), worker, row)).collect();
        left.sort_by_key(|(doubt, rank, ..)| (*doubt, *rank));
        while wave.len() < most && !left.is_empty() {
            let order = |(doubt, _, _, row): &(u8, u64, &WorkerId, &Row)| {
                let there = zones.get(&row.zone).copied().unwrap_or(0);
                let near = hearing.own_zone == Some(row.zone);
                (*doubt, there, !near, cells.get(&row.cell).copied().unwrap_or(0))
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
