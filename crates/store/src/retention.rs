//! Entries about cached tokens and idempotent requests: their keys and values, how long they are kept, and
//! what of them a restart uses.

use std::collections::BTreeMap;

use paddleproxy::interface::{self, PrefixId, SessionId, WorkerId};
use serde::{Deserialize, Serialize};

use crate::format::{Key, Kind, Op};

/// The cached tokens of a text at a server, as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredCacheEntry {
    /// Number of cached tokens.
    pub tokens: f64,
    /// Wall clock time of the observation, in ms since 1970.
    pub at_ms: f64,
    /// Start number of the server process that holds the cache.
    pub start: u64,
}

/// A request with an idempotency key that may have run, as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdempotencyRecord {
    /// Hash of the request, compared with that of a retry.
    #[serde(rename = "wish")]
    pub request_hash: u64,
    /// Until when a retry could run the request a second time, in ms since 1970.
    pub until_ms: f64,
}

/// Identifies a text whose tokens may be cached: a session or a shared prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Text {
    Session(u64),
    Prefix(u64),
}

/// Key of a cache entry: 1 byte for the kind of text, 8 bytes for its number, then the server's name.
pub fn cache_entry_key(text: Text, server: &str) -> Key {
    let (kind, number) = match text {
        Text::Session(number) => (1u8, number),
        Text::Prefix(number) => (2, number),
    };
    let mut bytes = vec![kind];
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(server.as_bytes());
    Key::new(Kind::Kept, bytes)
}

/// Parses a key of `cache_entry_key`; None if it has another form.
pub fn parse_cache_entry_key(bytes: &[u8]) -> Option<(Text, &str)> {
    let number = u64::from_le_bytes(bytes.get(1..9)?.try_into().ok()?);
    let server = std::str::from_utf8(bytes.get(9..)?).ok()?;
    match bytes.first()? {
        1 => Some((Text::Session(number), server)),
        2 => Some((Text::Prefix(number), server)),
        _ => None,
    }
}

/// A cache entry that a restart uses.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredCacheEntry {
    pub text: Text,
    pub server: WorkerId,
    pub tokens: f64,
    /// Time since the observation, in ms.
    pub age_ms: f64,
}

impl From<RecoveredCacheEntry> for interface::CacheEntry {
    fn from(row: RecoveredCacheEntry) -> Self {
        let (session, prefix) = match row.text {
            Text::Session(number) => (Some(SessionId(number)), None),
            Text::Prefix(number) => (None, Some(PrefixId(number))),
        };
        interface::CacheEntry { worker: row.server, session, prefix, tokens: row.tokens, age_ms: row.age_ms }
    }
}

/// The texts that a server has cached after an answer, with their tokens: the session, and the prefix that it
/// shares with others.
pub fn texts(
    session: SessionId,
    tokens: f64,
    prefix: Option<(PrefixId, f64)>,
) -> impl Iterator<Item = (Text, f64)> {
    let prefix = prefix.map(|(prefix, tokens)| (Text::Prefix(prefix.0), tokens));
    std::iter::once((Text::Session(session.0), tokens)).chain(prefix)
}

/// Decodes stored cache entries; those with an unknown form are skipped.
pub fn stored_cache_entries<'a>(
    entries: impl Iterator<Item = (&'a [u8], &'a [u8])>,
) -> impl Iterator<Item = (Text, &'a str, StoredCacheEntry)> {
    entries.filter_map(|(key, value)| {
        let (text, server) = parse_cache_entry_key(key)?;
        Some((text, server, serde_json::from_slice(value).ok()?))
    })
}

/// Which stored cache entries a restart uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheRecoveryLimits {
    /// Entries older than this are not used, in ms.
    pub max_age_ms: f64,
    /// Time in which the expected cached tokens of an entry halve, in ms: servers evict texts while the
    /// router is down.
    pub half_life_ms: f64,
    /// Maximum number of entries used, the newest first.
    pub max_entries: usize,
}

/// Limits of a router: the maximum age is the lifetime in the scheduling core's own table, the half-life is
/// half of that.
pub const CACHE_RECOVERY_LIMITS: CacheRecoveryLimits =
    CacheRecoveryLimits { max_age_ms: 120_000.0, half_life_ms: 60_000.0, max_entries: 1 << 16 };

/// Key of an idempotent request: the customer's name, a zero byte, the client's key.
pub fn idempotency_key(customer: &str, key: &str) -> Key {
    Key::new(Kind::Tokened, [customer.as_bytes(), &[0], key.as_bytes()].concat())
}

/// Parses a key of `idempotency_key`: customer and client's key.
pub fn parse_idempotency_key(bytes: &[u8]) -> Option<(&str, &str)> {
    std::str::from_utf8(bytes).ok()?.split_once('\0')
}

/// Idempotent requests of an earlier run whose window is still open: customer, client's key, request hash and
/// remaining time in ms.
pub fn live_idempotency_records<'a>(
    now_ms: f64,
    entries: impl Iterator<Item = (&'a [u8], &'a [u8])>,
) -> Vec<(&'a str, &'a str, u64, f64)> {
    let row = |(key, value): (&'a [u8], &'a [u8])| {
        let (customer, key) = parse_idempotency_key(key)?;
        let record: IdempotencyRecord = serde_json::from_slice(value).ok()?;
        // A wall clock that was set back extends the remaining time and never shortens it.
        let remaining_ms = record.until_ms - now_ms;
        (remaining_ms > 0.0 && remaining_ms.is_finite()).then_some((
            customer,
            key,
            record.request_hash,
            remaining_ms,
        ))
    };
    entries.filter_map(row).collect()
}

/// Selects the stored cache entries to use after a restart and reduces their tokens by age. `starts` are the
/// current processes by server. Guards against an outdated table and against restarted servers. A wrong
/// entry is detected by the first answer that reports fewer cached tokens, which invalidates the other
/// entries of that server, as a flush does. The cost is that a text that is old but still cached is read
/// again.
pub fn recover_cache_entries<'a>(
    now_ms: f64,
    limits: &CacheRecoveryLimits,
    starts: &BTreeMap<String, u64>,
    entries: impl Iterator<Item = (Text, &'a str, StoredCacheEntry)>,
) -> Vec<RecoveredCacheEntry> {
    let mut all: Vec<RecoveredCacheEntry> = entries
        .filter_map(|(text, server, entry)| {
            // A wall clock that was set back must not make entries newer than now.
            let age_ms = (now_ms - entry.at_ms).max(0.0);
            let same_process = starts.get(server) == Some(&entry.start);
            let valid = entry.tokens.is_finite()
                && entry.tokens > 0.0
                && age_ms.is_finite()
                && age_ms < limits.max_age_ms;
            let tokens = entry.tokens * 0.5f64.powf(age_ms / limits.half_life_ms.max(1.0));
            (same_process && valid && tokens >= 1.0).then(|| RecoveredCacheEntry {
                text,
                server: WorkerId(server.into()),
                tokens,
                age_ms,
            })
        })
        .collect();
    all.sort_by(|a, b| {
        a.age_ms.total_cmp(&b.age_ms).then_with(|| (a.text, &a.server).cmp(&(b.text, &b.server)))
    });
    all.truncate(limits.max_entries);
    all
}

/// Operations that delete expired entries: cache entries beyond their maximum age, and idempotent requests
/// whose window has closed.
pub fn expired<'a>(
    now_ms: f64,
    limits: &CacheRecoveryLimits,
    entries: impl Iterator<Item = (&'a Key, &'a [u8])>,
) -> Vec<Op> {
    let is_expired = |key: &Key, value: &[u8]| match key.kind {
        Kind::Kept => serde_json::from_slice::<StoredCacheEntry>(value)
            .map_or(true, |entry| now_ms - entry.at_ms > limits.max_age_ms),
        Kind::Tokened => {
            serde_json::from_slice::<IdempotencyRecord>(value).map_or(true, |record| now_ms > record.until_ms)
        }
        // Entries of other kinds are deleted by the component that writes them.
        _ => false,
    };
    entries
        .filter(|(key, value)| is_expired(key, value))
        .map(|(key, _)| Op::Delete { key: key.clone() })
        .collect()
}

#[cfg(test)]
mod tests;
