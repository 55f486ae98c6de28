//! Admission control: which requests are admitted when open completions or memory for prompts run short, and
//! when rejected clients should retry. There are two checks: one on a request's head, before its body is
//! read, and one on the parsed request. A completion that passed both is left to the decision module, which
//! may still rate-limit it.

mod bucket;

use paddleproxy::interface::{CustomerId, WorkloadId};
pub use paddleproxy_settings::router::CustomerLimits;
use paddleproxy_settings::router::RouterSettings;

pub use bucket::TokenBucket;

/// Part of the unused share of active customers that is kept free for them.
const RESERVED_PART: f64 = 0.5;
/// Least part of all permits that stays free for customers within their share.
const MIN_RESERVED_PART: f64 = 1.0 / 16.0;
/// A customer counts as active for this long after its last request, in ms; after that its unused share may
/// be used by others.
const ACTIVE_MS: f64 = 2000.0;
/// Free part of the permits or of the memory below which workloads of less than half the highest value are
/// rejected.
const SCARCE_PART: f64 = 1.0 / 8.0;
/// Least and greatest retry-after time, in ms.
const RETRY_AFTER_RANGE_MS: (f64, f64) = (100.0, 5000.0);
/// Steps in which the retry-after times of successive rejections are spread over up to twice the time.
const RETRY_SPREAD_STEPS: u64 = 8;

/// The limits of this router.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionLimits {
    /// Number of open completions.
    pub open_completions: usize,
    /// Total prompt bytes of open completions.
    pub prompt_bytes: usize,
    /// By customer: its quota (requests a second), which sets its share of the permits, and its own limits.
    pub customers: Vec<(f64, CustomerLimits)>,
    /// Value of each workload.
    pub workload_values: Vec<f64>,
}

impl AdmissionLimits {
    /// The limits given by a router's settings.
    pub fn from_settings(settings: &RouterSettings) -> Self {
        let quotas = settings.decisions.customers.iter().map(|customer| customer.quota_per_s);
        AdmissionLimits {
            open_completions: settings.front.open_completions,
            prompt_bytes: settings.front.prompt_bytes,
            customers: quotas.zip(settings.names.customers.iter().map(|names| names.limits)).collect(),
            workload_values: settings.decisions.workloads.iter().map(|workload| workload.value).collect(),
        }
    }
}

/// Why a request was rejected. Each reason proves that nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    Stopping,
    /// All permits, or all memory for prompts, are in use.
    Full,
    /// Permits are scarce and this customer holds more than its share.
    BeyondShare,
    /// Permits or memory are scarce and this workload has a low value.
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

/// A rejected request: the reason, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    pub reason: RejectReason,
    pub retry_after_ms: f64,
}

/// The permit of an admitted request; returned by [`Admission::release`].
#[derive(Debug, PartialEq)]
pub struct Permit {
    row: usize,
    since_ms: f64,
    prompt_bytes: usize,
}

/// The state of one customer; requests without a key share a row.
struct CustomerRow {
    quota: f64,
    /// The limits in the settings, and this router's share of them.
    full_limits: CustomerLimits,
    limits: CustomerLimits,
    /// Whether the limits were ever shared with other routers.
    limits_shared: bool,
    request_count: u64,
    open: usize,
    last_request_ms: f64,
    requests: Option<TokenBucket>,
    tokens: Option<TokenBucket>,
}

/// Admission control of one router, for its whole run.
pub struct Admission {
    limits: AdmissionLimits,
    rows: Vec<CustomerRow>,
    open: usize,
    prompt_bytes: usize,
    stopping: bool,
    /// Moving average of how long a permit is held, in ms.
    average_hold_ms: f64,
    rejections: [u64; RejectReason::ALL.len()],
    limit_shares: Option<LimitShares>,
}

/// This router's shares of the customers' limits, in the order of the customers.
struct LimitShares {
    shares: Vec<f64>,
    floor: Vec<f64>,
    until_ms: f64,
}

impl Admission {
    /// Replaces the limits. Permits that are held stay valid, and the buckets of customers whose quota and
    /// limits did not change keep their level.
    pub fn set_limits(&mut self, admission_limits: AdmissionLimits) {
        let replacement = Admission::new(admission_limits);
        let previous = std::mem::replace(&mut self.rows, replacement.rows);
        self.limits = replacement.limits;
        // Customers are only ever added. Should there be fewer, permits of removed ones still need a row to
        // be returned to.
        while self.rows.len() < previous.len() {
            self.rows.push(
                Admission::new(AdmissionLimits { customers: Vec::new(), ..self.limits.clone() })
                    .rows
                    .remove(0),
            );
        }
        for (new, old) in self.rows.iter_mut().zip(previous) {
            (new.open, new.last_request_ms, new.request_count) =
                (old.open, old.last_request_ms, old.request_count);
            if (new.quota, new.full_limits) == (old.quota, old.full_limits) {
                (new.limits, new.requests, new.tokens) = (old.limits, old.requests, old.tokens);
                new.limits_shared = old.limits_shared;
            }
        }
        self.limit_shares.take().into_iter().for_each(|limit_shares| self.apply_shares(limit_shares));
    }

    /// Sets this router's shares of the customers' limits until `until_ms`; after that those of `floor` hold.
    /// With shares the limits are for all routers together; before the first call each router applies them in
    /// full.
    pub fn set_shares(&mut self, shares: &[f64], floor: &[f64], until_ms: f64) {
        self.apply_shares(LimitShares { shares: shares.to_vec(), floor: floor.to_vec(), until_ms });
    }

    fn expire_shares(&mut self, now_ms: f64) {
        if let Some(limit_shares) =
            self.limit_shares.as_mut().filter(|limit_shares| now_ms >= limit_shares.until_ms)
        {
            limit_shares.until_ms = f64::INFINITY;
            limit_shares.shares.clone_from(&limit_shares.floor);
            self.limit_shares.take().into_iter().for_each(|limit_shares| self.apply_shares(limit_shares));
        }
    }

    fn apply_shares(&mut self, limit_shares: LimitShares) {
        for (row, part) in self.rows.iter_mut().skip(1).zip(&limit_shares.shares) {
            let full_limits = row.full_limits;
            row.limits = CustomerLimits {
                // Rounded down: rounded up, the routers together would admit more than the limit.
                open: full_limits.open.map(|open| (open as f64 * part) as usize),
                requests_per_s: full_limits.requests_per_s.map(|rate| rate * part),
                tokens_per_s: full_limits.tokens_per_s.map(|rate| rate * part),
                ..full_limits
            };
            let limits = row.limits;
            let resize = |bucket: &mut Option<TokenBucket>, per_s: Option<f64>| {
                if let (Some(bucket), Some(per_s)) = (bucket.as_mut(), per_s) {
                    bucket.resize(per_s, limits.burst_ms);
                }
            };
            resize(&mut row.requests, limits.requests_per_s);
            resize(&mut row.tokens, limits.tokens_per_s);
            if !std::mem::replace(&mut row.limits_shared, true) {
                row.requests.iter_mut().chain(&mut row.tokens).for_each(TokenBucket::empty);
            }
        }
        self.limit_shares = Some(limit_shares);
    }

    /// Number of requests of each customer so far, admitted or not; the first entry is for those without a
    /// key.
    pub fn request_counts(&self) -> Vec<u64> {
        self.rows.iter().map(|row| row.request_count).collect()
    }

    pub fn new(admission_limits: AdmissionLimits) -> Self {
        let row = |quota: f64, limits: CustomerLimits| {
            let bucket = |per_s: f64| TokenBucket::new(per_s, limits.burst_ms);
            CustomerRow {
                quota,
                full_limits: limits,
                limits,
                limits_shared: false,
                request_count: 0,
                open: 0,
                last_request_ms: f64::NEG_INFINITY,
                requests: limits.requests_per_s.map(bucket),
                tokens: limits.tokens_per_s.map(bucket),
            }
        };
        // The first row is for requests without a key, so that added customers do not shift it.
        let mut rows = vec![row(0.0, CustomerLimits::default())];
        rows.extend(admission_limits.customers.iter().map(|(quota, limits)| row(*quota, *limits)));
        Admission {
            limits: admission_limits,
            rows,
            open: 0,
            prompt_bytes: 0,
            stopping: false,
            average_hold_ms: RETRY_AFTER_RANGE_MS.0,
            rejections: [0; RejectReason::ALL.len()],
            limit_shares: None,
        }
    }

    fn row(&self, customer: Option<CustomerId>) -> usize {
        customer.map_or(0, |customer| customer.0 + 1).min(self.rows.len() - 1)
    }

    /// First check, before the body is read.
    ///
    /// # Errors
    /// Why the request is rejected, and when to retry.
    pub fn enter(&mut self, now_ms: f64, customer: Option<CustomerId>) -> Result<Permit, Rejection> {
        let row = self.row(customer);
        self.rows[row].last_request_ms = now_ms;
        self.rows[row].request_count += 1;
        self.expire_shares(now_ms);
        if self.stopping {
            return Err(self.reject(RejectReason::Stopping, RETRY_AFTER_RANGE_MS.0));
        }
        if self.open >= self.limits.open_completions {
            return Err(self.reject(RejectReason::Full, self.average_hold_ms));
        }
        if self.rows[row].limits.open.is_some_and(|most| self.rows[row].open >= most) {
            return Err(self.reject(RejectReason::CustomerOpen, self.average_hold_ms));
        }
        // Guards against one customer that fills the router, whatever the cause. Cost: while other customers
        // are active some permits stay unused that it could use.
        let beyond_share = self.rows[row].open as f64 >= self.permit_share(row);
        let free = (self.limits.open_completions - self.open) as f64;
        if beyond_share && free <= self.reserved_for_others(now_ms, row) {
            return Err(self.reject(RejectReason::BeyondShare, self.average_hold_ms));
        }
        let bucket_result =
            self.rows[row].requests.as_mut().map_or(Ok(()), |bucket| bucket.take(now_ms, 1.0));
        if let Err(wait_ms) = bucket_result {
            return Err(self.reject(RejectReason::CustomerRequests, wait_ms));
        }
        self.open += 1;
        self.rows[row].open += 1;
        Ok(Permit { row, since_ms: now_ms, prompt_bytes: 0 })
    }

    /// Second check, on the parsed request. If it fails the caller still holds the permit and has to release
    /// it.
    ///
    /// # Errors
    /// Why the request is rejected, and when to retry.
    pub fn admit(
        &mut self,
        now_ms: f64,
        permit: &mut Permit,
        workload: WorkloadId,
        prompt_bytes: usize,
        tokens: f64,
    ) -> Result<(), Rejection> {
        if self.prompt_bytes + prompt_bytes > self.limits.prompt_bytes {
            return Err(self.reject(RejectReason::Full, self.average_hold_ms));
        }
        let free_part = |used: usize, total: usize| 1.0 - used as f64 / total.max(1) as f64;
        let free_permits = free_part(self.open, self.limits.open_completions);
        let free_memory = free_part(self.prompt_bytes + prompt_bytes, self.limits.prompt_bytes);
        // Protects the most valuable workloads when capacity is scarce. Cost: work of less value is rejected
        // although a permit is free.
        let highest = self.limits.workload_values.iter().copied().fold(0.0, f64::max);
        let value = self.limits.workload_values.get(workload.0).copied().unwrap_or(0.0);
        if free_permits.min(free_memory) < SCARCE_PART && value < highest / 2.0 {
            return Err(self.reject(RejectReason::LeastValue, self.average_hold_ms));
        }
        let bucket_result =
            self.rows[permit.row].tokens.as_mut().map_or(Ok(()), |bucket| bucket.take(now_ms, tokens));
        if let Err(wait_ms) = bucket_result {
            return Err(self.reject(RejectReason::CustomerTokens, wait_ms));
        }
        self.prompt_bytes += prompt_bytes;
        permit.prompt_bytes = prompt_bytes;
        Ok(())
    }

    /// Returns a permit.
    pub fn release(&mut self, now_ms: f64, permit: Permit) {
        self.open = self.open.saturating_sub(1);
        self.rows[permit.row].open = self.rows[permit.row].open.saturating_sub(1);
        self.prompt_bytes = self.prompt_bytes.saturating_sub(permit.prompt_bytes);
        self.average_hold_ms += ((now_ms - permit.since_ms).max(0.0) - self.average_hold_ms) / 16.0;
    }

    /// Number of permits that a customer's quota entitles it to.
    fn permit_share(&self, row: usize) -> f64 {
        let quotas: f64 = self.rows.iter().map(|row| row.quota).sum();
        let share = if quotas > 0.0 { self.rows[row].quota / quotas } else { 1.0 };
        share * self.limits.open_completions as f64
    }

    /// Number of permits that stay free for the other customers within their share.
    fn reserved_for_others(&self, now_ms: f64, except: usize) -> f64 {
        let unused = |row: usize| {
            let active = now_ms - self.rows[row].last_request_ms < ACTIVE_MS;
            if active && row != except {
                (self.permit_share(row) - self.rows[row].open as f64).max(0.0)
            } else {
                0.0
            }
        };
        let unused: f64 = (0..self.rows.len()).map(unused).sum();
        (RESERVED_PART * unused).max(MIN_RESERVED_PART * self.limits.open_completions as f64)
    }

    /// Counts a rejection. Its retry-after time is spread so that clients rejected together do not all retry
    /// together.
    fn reject(&mut self, reason: RejectReason, wait_ms: f64) -> Rejection {
        let count = &mut self.rejections[reason as usize];
        let spread = 1.0 + (*count % RETRY_SPREAD_STEPS) as f64 / RETRY_SPREAD_STEPS as f64;
        *count += 1;
        Rejection {
            reason,
            retry_after_ms: (wait_ms * spread).clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1),
        }
    }

    pub fn open(&self) -> usize {
        self.open
    }

    /// Number of requests rejected for a reason.
    pub fn rejected(&self, reason: RejectReason) -> u64 {
        self.rejections[reason as usize]
    }

    /// Rejects all new requests from now on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    pub fn stopping(&self) -> bool {
        self.stopping
    }
}
