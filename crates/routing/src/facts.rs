//! Classifies requests by the rules in the settings: workload, customer, session, shared prefix and token
//! counts. Hashes are xxh3 and equal at all routers.

use paddleproxy::interface::{
    Arrival, CompletionId, CustomerId, Effect, Group, PrefixId, SessionId, WorkloadId, WorkloadSettings,
};
use paddleproxy_messages::{ApiError, ErrorKind, Request};
use paddleproxy_settings::router::{Names, RequestRules};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash seeds that keep session and prefix ids apart.
const SESSION_SEED: u64 = 1;
const PREFIX_SEED: u64 = 2;
/// Session and prefix ids are below this.
const ID_LIMIT: u64 = 1 << 53;

/// The names, rules and workloads by which requests are classified.
pub struct RequestClassifier {
    names: Names,
    rules: RequestRules,
    workloads: Vec<WorkloadSettings>,
    /// Row in the decision module's settings of each workload in `names`.
    rows: Vec<usize>,
    /// How long a key is remembered if its workload has no window, in ms.
    default_key_window_ms: f64,
}

/// How the idempotency key of a request is treated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyRule {
    /// How long the key is remembered, in ms.
    pub window_ms: f64,
    /// Whether another attempt is harmless even if an earlier one may have run.
    pub may_repeat: bool,
    /// Whether the key must be stored on disk before anything is sent.
    pub remembered: bool,
}

/// The headers of a request that matter for its classification.
#[derive(Clone, Copy, Debug, Default)]
pub struct Headers<'a> {
    pub session: Option<&'a str>,
    pub timeout: Option<&'a str>,
    /// Whether the request carries an idempotency key.
    pub keyed: bool,
}

/// A request as the decision module sees it, apart from its completion id and arrival time.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestFacts {
    pub workload: WorkloadId,
    pub key_rule: KeyRule,
    pub customer: Option<CustomerId>,
    pub session: SessionId,
    pub prefix: Option<PrefixId>,
    pub prompt_tokens: f64,
    pub prefix_tokens: f64,
    pub max_tokens: f64,
    /// How long the client waits, in ms.
    pub client_timeout_ms: f64,
}

fn hash_id(text: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), seed) % (ID_LIMIT - 1) + 1
}

impl RequestClassifier {
    pub fn new(
        names: Names,
        rules: RequestRules,
        workloads: Vec<WorkloadSettings>,
        default_key_window_ms: f64,
    ) -> Self {
        let rows = (0..workloads.len()).collect();
        RequestClassifier { names, rules, workloads, rows, default_key_window_ms }
    }

    /// Replaces names, API keys and workloads; `rows` holds the row in `workloads` of each workload in
    /// `names`.
    pub fn update_settings(&mut self, names: Names, workloads: Vec<WorkloadSettings>, rows: Vec<usize>) {
        (self.names, self.workloads, self.rows) = (names, workloads, rows);
    }

    /// Estimated tokens of `bytes` bytes of text, by the ratio in the settings.
    pub fn estimate_tokens(&self, bytes: usize) -> f64 {
        (bytes as f64 / self.rules.bytes_per_token).ceil()
    }

    /// The row in the decision module's settings, and how a key is treated there.
    fn workload(&self, row: usize, keyed: bool) -> (WorkloadId, KeyRule) {
        let remembered = self.names.workloads[row].remembered;
        let keyed_row = self.names.workloads[row].keyed.filter(|_| keyed);
        let row = keyed_row.unwrap_or(row);
        let row = self.rows[row];
        let rules = self.workloads.get(row);
        let tokened = rules.filter(|rules| rules.effect == Effect::Tokened);
        let may_repeat = rules.is_some_and(|rules| match rules.effect {
            Effect::Idempotent => true,
            Effect::Tokened => rules.group == Group::All,
            Effect::NonIdempotent => false,
        });
        let window_ms = tokened.map_or(self.default_key_window_ms, |rules| rules.window_ms);
        (WorkloadId(row), KeyRule { window_ms, may_repeat, remembered })
    }

    pub fn rules(&self) -> &RequestRules {
        &self.rules
    }

    /// The customer that an API key belongs to. Needs no request body.
    ///
    /// # Errors
    /// `authentication_error` if a key is required and none or an unknown one was given.
    pub fn customer(&self, api_key: Option<&str>) -> Result<Option<CustomerId>, ApiError> {
        let known =
            |given: &str| self.names.customers.iter().position(|row| row.keys.iter().any(|key| key == given));
        match api_key.and_then(known) {
            Some(row) => Ok(Some(CustomerId(row))),
            None if !self.rules.keys_required => Ok(None),
            None if api_key.is_none() => {
                Err(ApiError::new(ErrorKind::Authentication, "x-api-key: header is required"))
            }
            None => Err(ApiError::new(ErrorKind::Authentication, "x-api-key: this key is not known")),
        }
    }

    pub fn customer_name(&self, customer: CustomerId) -> Option<&str> {
        self.names.customers.get(customer.0).map(|row| row.name.as_str())
    }

    pub fn customer_by_name(&self, name: &str) -> Option<CustomerId> {
        self.names.customers.iter().position(|row| row.name == name).map(CustomerId)
    }

    /// The key by which servers deduplicate an effect: the same at all routers, and distinct for each
    /// customer.
    pub fn effect_key(&self, customer: Option<CustomerId>, key: &str) -> String {
        let name = customer.and_then(|customer| self.names.customers.get(customer.0));
        name.map_or_else(|| format!(":{key}"), |customer| format!("{}:{key}", customer.name))
    }

    /// Classifies a request.
    ///
    /// # Errors
    /// `not_found_error` for a model that no workload serves, `invalid_request_error` for an invalid timeout
    /// header.
    pub fn classify(
        &self,
        request: &Request,
        customer: Option<CustomerId>,
        headers: &Headers,
    ) -> Result<RequestFacts, ApiError> {
        let row = self.names.workloads.iter().position(|row| row.models.contains(&request.model));
        let row = row.ok_or_else(|| {
            ApiError::new(ErrorKind::NotFound, format!("model: '{:.128}' is not served here", request.model))
        })?;
        let longest_ms = self.names.workloads[row].client_timeout_ms;
        let client_timeout_ms = match headers.timeout {
            None => longest_ms,
            Some(text) => match text.trim().parse::<f64>() {
                Ok(ms) if ms.is_finite() && ms > 0.0 => ms.min(longest_ms),
                _ => {
                    let header = &self.rules.timeout_header;
                    return Err(ApiError::invalid(format!("{header}: not a time in ms above 0")));
                }
            },
        };
        let (workload, key_rule) = self.workload(row, headers.keyed);
        let prefix_tokens = self.estimate_tokens(request.system.len());
        let has_prefix = prefix_tokens >= self.rules.shared_from_tokens && !request.system.is_empty();
        // A session without a name is identified by its system prompt and first turn.
        let session = headers.session.or(request.user_id.as_deref()).map(|name| hash_id(name, SESSION_SEED));
        let session = session.unwrap_or_else(|| {
            let first_turn = request.turns.first().map_or("", |turn| turn.text.as_str());
            hash_id(first_turn, hash_id(&request.system, SESSION_SEED))
        });
        let turns: usize = request.turns.iter().map(|turn| turn.text.len()).sum();
        Ok(RequestFacts {
            workload,
            key_rule,
            customer,
            session: SessionId(session),
            prefix: has_prefix.then(|| PrefixId(hash_id(&request.system, PREFIX_SEED))),
            prompt_tokens: self.estimate_tokens(request.system.len() + turns).max(1.0),
            prefix_tokens: if has_prefix { prefix_tokens } else { 0.0 },
            max_tokens: f64::from(request.max_tokens),
            client_timeout_ms,
        })
    }
}

impl RequestFacts {
    /// The arrival event for the decision module.
    pub fn arrival(&self, completion: CompletionId, now_ms: f64) -> Arrival {
        Arrival {
            completion,
            workload: self.workload,
            session: self.session,
            prefix: self.prefix,
            customer: self.customer,
            client_timeout_ms: now_ms + self.client_timeout_ms,
            prompt_tokens: self.prompt_tokens,
            prefix_tokens: self.prefix_tokens,
            max_tokens: self.max_tokens,
            answer_hint_ms: None,
            home_zone: None,
            client_retry: false,
            resumed: false,
        }
    }
}
