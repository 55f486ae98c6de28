//! Who is taken when connections, open completions or memory run short, and what the others are told. Two gates: one
//! when a request's head is there, before its body is read, and one when it is known what is asked for. A completion
//! that passed both is the decisions' matter, its rate-limit included.

mod bucket;

use paddleproxy::interface::{CustomerId, WorkloadId};
pub use paddleproxy_settings::router::CustomerLimits;
use paddleproxy_settings::router::RouterSettings;

pub use bucket::TokenBucket;

/// Of the places that customers inside their share do not use, the part that is kept free for them.
const KEPT_FREE: f64 = 0.5;
/// Least share of the places that stays free for customers inside their share.
const LEAST_FREE: f64 = 1.0 / 16.0;
/// A customer counts as active for so long after its last request, in ms; what it does not use is lent after that.
const ACTIVE_MS: f64 = 2000.0;
/// Share of places or memory left at which work of less than half the highest value is not taken.
const SHORT: f64 = 1.0 / 8.0;
/// AdmissionLimits of the time for which a client is sent away, in ms, and the steps in which clients are spread over twice it.
const AWAY_MS: (f64, f64) = (100.0, 5000.0);
const SPREAD: u64 = 8;

/// What bounds the router.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionLimits {
    /// Open completions.
    pub open_completions: usize,
    /// Bytes of the prompts of open completions.
    pub prompt_bytes: usize,
    /// By customer: share of the traffic (requests a second) and own limits.
    pub customers: Vec<(f64, CustomerLimits)>,
    /// By workload.
    pub workload_values: Vec<f64>,
}

impl AdmissionLimits {
    /// Those that a router's settings give.
    pub fn from_settings(settings: &RouterSettings) -> Self {
        let rules = settings.decisions.customers.iter().map(|customer| customer.quota_per_s);
        AdmissionLimits {
            open_completions: settings.front.open_completions,
            prompt_bytes: settings.front.prompt_bytes,
            customers: rules.zip(settings.names.customers.iter().map(|names| names.limits)).collect(),
            workload_values: settings.decisions.workloads.iter().map(|workload| workload.value).collect(),
        }
    }
}

/// Why a request is not taken. All of them prove that nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    Stopping,
    /// All places, or all memory for prompts, are taken.
    Full,
    /// Places are short and this customer holds more than its share.
    BeyondShare,
    /// Places or memory are short and this workload is worth least.
    LeastValue,
    CustomerOpen,
    CustomerRequests,
    CustomerTokens,
}

impl RejectReason {
    pub const ALL: [RejectReason; 7] = [
        RejectReason::Stopping,
        RejectReason::Full,
        RejectReason::BeyondShare,
        RejectReason::LeastValue,
        RejectReason::CustomerOpen,
        RejectReason::CustomerRequests,
        RejectReason::CustomerTokens,
    ];

    pub fn name(self) -> &'static str {
        match self {
            RejectReason::Stopping => "stopping",
            RejectReason::Full => "full",
            RejectReason::BeyondShare => "beyond_share",
            RejectReason::LeastValue => "least_value",
            RejectReason::CustomerOpen => "customer_open",
            RejectReason::CustomerRequests => "customer_requests",
            RejectReason::CustomerTokens => "customer_tokens",
        }
    }
}

/// A request that is not taken, and when to come again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    pub reason: RejectReason,
    pub retry_after_ms: f64,
}

/// A place that was taken; given back by [`Admission::give`].
#[derive(Debug, PartialEq)]
pub struct Permit {
    row: usize,
    since_ms: f64,
    prompt_bytes: usize,
}

/// Lives as long as one customer is known; those without a key share one.
struct Row {
    quota: f64,
    /// As the settings give them, and the own part of that.
    whole: CustomerLimits,
    limits: CustomerLimits,
    /// Whether it ever held a part only.
    parted: bool,
    asked: u64,
    open: usize,
    asked_ms: f64,
    requests: Option<TokenBucket>,
    tokens: Option<TokenBucket>,
}

/// Lives as long as the router.
pub struct Admission {
    bounds: AdmissionLimits,
    rows: Vec<Row>,
    open: usize,
    prompt_bytes: usize,
    stopping: bool,
    /// How long a place is held of late, in ms.
    held_ms: f64,
    turned_away: [u64; RejectReason::ALL.len()],
    shared: Option<Shared>,
}

/// Parts of the customers' limits, in their order.
struct Shared {
    parts: Vec<f64>,
    floor: Vec<f64>,
    until_ms: f64,
}

impl Admission {
    /// Other bounds from now on; places that are taken stay taken, and buckets whose rate is the same keep their level.
    pub fn set_limits(&mut self, bounds: AdmissionLimits) {
        let fresh = Admission::new(bounds);
        let before = std::mem::replace(&mut self.rows, fresh.rows);
        self.bounds = fresh.bounds;
        // Rows only follow; were there fewer, a place of one that is gone would have nowhere to go back to.
        while self.rows.len() < before.len() {
            self.rows.push(
                Admission::new(AdmissionLimits { customers: Vec::new(), ..self.bounds.clone() })
                    .rows
                    .remove(0),
            );
        }
        for (new, old) in self.rows.iter_mut().zip(before) {
            (new.open, new.asked_ms, new.asked) = (old.open, old.asked_ms, old.asked);
            if (new.quota, new.whole) == (old.quota, old.whole) {
                (new.limits, new.requests, new.tokens) = (old.limits, old.requests, old.tokens);
                new.parted = old.parted;
            }
        }
        self.shared.take().into_iter().for_each(|shared| self.apply(shared));
    }

    /// From now until `until_ms` this router has these parts of the customers' limits, and then those of `floor`:
    /// limits are for all routers together. Without a word of that they hold for each router by itself.
    pub fn set_shares(&mut self, parts: &[f64], floor: &[f64], until_ms: f64) {
        self.apply(Shared { parts: parts.to_vec(), floor: floor.to_vec(), until_ms });
    }

    fn lapse(&mut self, now_ms: f64) {
        if let Some(shared) = self.shared.as_mut().filter(|shared| now_ms >= shared.until_ms) {
            shared.until_ms = f64::INFINITY;
            shared.parts.clone_from(&shared.floor);
            self.shared.take().into_iter().for_each(|shared| self.apply(shared));
        }
    }

    fn apply(&mut self, shared: Shared) {
        for (row, part) in self.rows.iter_mut().skip(1).zip(&shared.parts) {
            let whole = row.whole;
            row.limits = CustomerLimits {
                // Parts of a place are none: rounded up, routers together would hold more than the whole.
                open: whole.open.map(|open| (open as f64 * part) as usize),
                requests_per_s: whole.requests_per_s.map(|rate| rate * part),
                tokens_per_s: whole.tokens_per_s.map(|rate| rate * part),
                ..whole
            };
            let limits = row.limits;
            let resize = |bucket: &mut Option<TokenBucket>, per_s: Option<f64>| {
                if let (Some(bucket), Some(per_s)) = (bucket.as_mut(), per_s) {
                    bucket.resize(per_s, limits.burst_ms);
                }
            };
            resize(&mut row.requests, limits.requests_per_s);
            resize(&mut row.tokens, limits.tokens_per_s);
            if !std::mem::replace(&mut row.parted, true) {
                row.requests.iter_mut().chain(&mut row.tokens).for_each(TokenBucket::empty);
            }
        }
        self.shared = Some(shared);
    }

    /// Requests that each customer has made so far, taken or not; first those without a key.
    pub fn request_counts(&self) -> Vec<u64> {
        self.rows.iter().map(|row| row.asked).collect()
    }

    pub fn new(bounds: AdmissionLimits) -> Self {
        let row = |quota: f64, limits: CustomerLimits| {
            let bucket = |per_s: f64| TokenBucket::new(per_s, limits.burst_ms);
            Row {
                quota,
                whole: limits,
                limits,
                parted: false,
                asked: 0,
                open: 0,
                asked_ms: f64::NEG_INFINITY,
                requests: limits.requests_per_s.map(bucket),
                tokens: limits.tokens_per_s.map(bucket),
            }
        };
        // The first row is of those without a key: further customers shift nobody.
        let mut rows = vec![row(0.0, CustomerLimits::default())];
        rows.extend(bounds.customers.iter().map(|(quota, limits)| row(*quota, *limits)));
        Admission {
            bounds,
            rows,
            open: 0,
            prompt_bytes: 0,
            stopping: false,
            held_ms: AWAY_MS.0,
            turned_away: [0; RejectReason::ALL.len()],
            shared: None,
        }
    }

    fn row(&self, customer: Option<CustomerId>) -> usize {
        customer.map_or(0, |customer| customer.0 + 1).min(self.rows.len() - 1)
    }

    /// First gate, before the body is read.
    ///
    /// # Errors
    /// Why there is no place, and when to come again.
    pub fn enter(&mut self, now_ms: f64, customer: Option<CustomerId>) -> Result<Permit, Rejection> {
        let row = self.row(customer);
        self.rows[row].asked_ms = now_ms;
        self.rows[row].asked += 1;
        self.lapse(now_ms);
        if self.stopping {
            return Err(self.away(RejectReason::Stopping, AWAY_MS.0));
        }
        if self.open >= self.bounds.open_completions {
            return Err(self.away(RejectReason::Full, self.held_ms));
        }
        if self.rows[row].limits.open.is_some_and(|most| self.rows[row].open >= most) {
            return Err(self.away(RejectReason::CustomerOpen, self.held_ms));
        }
        // Guards against one customer that fills the router, whatever makes it. Harm: while others are active some
        // places stay empty that it could use.
        let beyond = self.rows[row].open as f64 >= self.part(row);
        let free = (self.bounds.open_completions - self.open) as f64;
        if beyond && free <= self.kept_free(now_ms, row) {
            return Err(self.away(RejectReason::BeyondShare, self.held_ms));
        }
        let waits = self.rows[row].requests.as_mut().map_or(Ok(()), |bucket| bucket.take(now_ms, 1.0));
        if let Err(wait_ms) = waits {
            return Err(self.away(RejectReason::CustomerRequests, wait_ms));
        }
        self.open += 1;
        self.rows[row].open += 1;
        Ok(Permit { row, since_ms: now_ms, prompt_bytes: 0 })
    }

    /// Second gate, when it is known what is asked for. The place is kept if it is not passed; give it back then.
    ///
    /// # Errors
    /// Why it is not taken, and when to come again.
    pub fn admit(
        &mut self,
        now_ms: f64,
        place: &mut Permit,
        workload: WorkloadId,
        prompt_bytes: usize,
        tokens: f64,
    ) -> Result<(), Rejection> {
        if self.prompt_bytes + prompt_bytes > self.bounds.prompt_bytes {
            return Err(self.away(RejectReason::Full, self.held_ms));
        }
        let left = |used: usize, of: usize| 1.0 - used as f64 / of.max(1) as f64;
        let places = left(self.open, self.bounds.open_completions);
        let memory = left(self.prompt_bytes + prompt_bytes, self.bounds.prompt_bytes);
        // Guards what is worth most while all runs short. Harm: work of less value waits though a place is free.
        let highest = self.bounds.workload_values.iter().copied().fold(0.0, f64::max);
        let value = self.bounds.workload_values.get(workload.0).copied().unwrap_or(0.0);
        if places.min(memory) < SHORT && value < highest / 2.0 {
            return Err(self.away(RejectReason::LeastValue, self.held_ms));
        }
        let waits = self.rows[place.row].tokens.as_mut().map_or(Ok(()), |bucket| bucket.take(now_ms, tokens));
        if let Err(wait_ms) = waits {
            return Err(self.away(RejectReason::CustomerTokens, wait_ms));
        }
        self.prompt_bytes += prompt_bytes;
        place.prompt_bytes = prompt_bytes;
        Ok(())
    }

    /// A place is free again.
    pub fn release(&mut self, now_ms: f64, place: Permit) {
        self.open = self.open.saturating_sub(1);
        self.rows[place.row].open = self.rows[place.row].open.saturating_sub(1);
        self.prompt_bytes = self.prompt_bytes.saturating_sub(place.prompt_bytes);
        self.held_ms += ((now_ms - place.since_ms).max(0.0) - self.held_ms) / 16.0;
    }

    /// Places that are a customer's by its quota.
    fn part(&self, row: usize) -> f64 {
        let quotas: f64 = self.rows.iter().map(|row| row.quota).sum();
        let share = if quotas > 0.0 { self.rows[row].quota / quotas } else { 1.0 };
        share * self.bounds.open_completions as f64
    }

    /// Places that stay free for the other customers inside their share.
    fn kept_free(&self, now_ms: f64, but: usize) -> f64 {
        let unused = |row: usize| {
            let active = now_ms - self.rows[row].asked_ms < ACTIVE_MS;
            if active && row != but {
                (self.part(row) - self.rows[row].open as f64).max(0.0)
            } else {
                0.0
            }
        };
        let unused: f64 = (0..self.rows.len()).map(unused).sum();
        (KEPT_FREE * unused).max(LEAST_FREE * self.bounds.open_completions as f64)
    }

    /// Clients that are sent away together come back spread over twice the time.
    fn away(&mut self, reason: RejectReason, wait_ms: f64) -> Rejection {
        let count = &mut self.turned_away[reason as usize];
        let spread = 1.0 + (*count % SPREAD) as f64 / SPREAD as f64;
        *count += 1;
        Rejection { reason, retry_after_ms: (wait_ms * spread).clamp(AWAY_MS.0, AWAY_MS.1) }
    }

    pub fn open(&self) -> usize {
        self.open
    }

    /// How many were turned away for a reason.
    pub fn rejected(&self, reason: RejectReason) -> u64 {
        self.turned_away[reason as usize]
    }

    /// From now on nothing new is taken.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    pub fn stopping(&self) -> bool {
        self.stopping
    }
}
