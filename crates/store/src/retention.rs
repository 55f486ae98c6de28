//! What is worth its bytes, how old it may be, and what a restart may believe of it.

use std::collections::BTreeMap;

use paddleproxy::interface::{self, PrefixId, SessionId, WorkerId};
use serde::{Deserialize, Serialize};

use crate::format::{Key, Kind, Op};

/// What a server keeps of a text, as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredCacheEntry {
    /// Tokens that it kept.
    pub tokens: f64,
    /// Wall clock at which it was seen, in ms since 1970.
    pub at_ms: f64,
    /// Start of the process that kept it.
    pub start: u64,
}

/// A tokened completion that may have run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdempotencyRecord {
    /// What it asked for, as it is compared.
    #[serde(rename = "wish")]
    pub request_hash: u64,
    /// Until when another try could have an effect anew, in ms since 1970.
    pub until_ms: f64,
}

/// A text by its kind and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Text {
    Session(u64),
    Prefix(u64),
}

/// Key of what a server keeps of a text: 1 byte for its kind, 8 for its number, then the server's name.
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

/// The other way round; None for what no version of this wrote.
pub fn parse_cache_entry_key(bytes: &[u8]) -> Option<(Text, &str)> {
    let number = u64::from_le_bytes(bytes.get(1..9)?.try_into().ok()?);
    let server = std::str::from_utf8(bytes.get(9..)?).ok()?;
    match bytes.first()? {
        1 => Some((Text::Session(number), server)),
        2 => Some((Text::Prefix(number), server)),
        _ => None,
    }
}

/// What a restart makes of the kept texts that it reads.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredCacheEntry {
    pub text: Text,
    pub server: WorkerId,
    pub tokens: f64,
    /// How long ago it was seen, in ms.
    pub age_ms: f64,
}

impl From<RecoveredCacheEntry> for interface::Kept {
    fn from(row: RecoveredCacheEntry) -> Self {
        let (session, prefix) = match row.text {
            Text::Session(number) => (Some(SessionId(number)), None),
            Text::Prefix(number) => (None, Some(PrefixId(number))),
        };
        interface::Kept { worker: row.server, session, prefix, tokens: row.tokens, age_ms: row.age_ms }
    }
}

/// What one answer leaves at a server: what its session said, and the beginning that it shares, with their tokens.
pub fn texts(
    session: SessionId,
    tokens: f64,
    prefix: Option<(PrefixId, f64)>,
) -> impl Iterator<Item = (Text, f64)> {
    let prefix = prefix.map(|(prefix, tokens)| (Text::Prefix(prefix.0), tokens));
    std::iter::once((Text::Session(session.0), tokens)).chain(prefix)
}

/// Kept texts as they stand in a store; what no version of this wrote is passed over.
pub fn stored_cache_entries<'a>(
    entries: impl Iterator<Item = (&'a [u8], &'a [u8])>,
) -> impl Iterator<Item = (Text, &'a str, StoredCacheEntry)> {
    entries.filter_map(|(key, value)| {
        let (text, server) = parse_cache_entry_key(key)?;
        Some((text, server, serde_json::from_slice(value).ok()?))
    })
}

/// How far a restart believes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheRecoveryLimits {
    /// An entry older than this is void, in ms.
    pub max_age_ms: f64,
    /// Time in which half of an entry's weight goes, in ms: texts are pushed out while nobody looks.
    pub half_life_ms: f64,
    /// Entries that are handed over at most, the newest first.
    pub max_entries: usize,
}

/// What a router's restart believes: no longer than the decisions' own table, half after half of that.
pub const CACHE_RECOVERY_LIMITS: CacheRecoveryLimits =
    CacheRecoveryLimits { max_age_ms: 120_000.0, half_life_ms: 60_000.0, max_entries: 1 << 16 };

/// Key of tokened work: the customer's name, a zero, the client's key.
pub fn idempotency_key(customer: &str, key: &str) -> Key {
    Key::new(Kind::Tokened, [customer.as_bytes(), &[0], key.as_bytes()].concat())
}

/// The other way round.
pub fn parse_idempotency_key(bytes: &[u8]) -> Option<(&str, &str)> {
    std::str::from_utf8(bytes).ok()?.split_once('\0')
}

/// IdempotencyRecord work of an earlier run that still matters: customer, key, what it asked for, and how long, in ms.
pub fn live_idempotency_records<'a>(
    now_ms: f64,
    entries: impl Iterator<Item = (&'a [u8], &'a [u8])>,
) -> Vec<(&'a str, &'a str, u64, f64)> {
    let row = |(key, value): (&'a [u8], &'a [u8])| {
        let (customer, key) = parse_idempotency_key(key)?;
        let work: IdempotencyRecord = serde_json::from_slice(value).ok()?;
        // By a clock that went back it matters longer, never less long.
        let left_ms = work.until_ms - now_ms;
        (left_ms > 0.0 && left_ms.is_finite()).then_some((customer, key, work.request_hash, left_ms))
    };
    entries.filter_map(row).collect()
}

/// Weighs kept texts by their age. `starts` are the processes that run now, by server. Guards against a table of last
/// month and against servers that started anew; one that lies is found by the first answer that finds less kept, which
/// voids the rest of that server as a flush does. Harm: what was kept long ago and still is, is read again.
pub fn recover_cache_entries<'a>(
    now_ms: f64,
    trust: &CacheRecoveryLimits,
    starts: &BTreeMap<String, u64>,
    entries: impl Iterator<Item = (Text, &'a str, StoredCacheEntry)>,
) -> Vec<RecoveredCacheEntry> {
    let mut all: Vec<RecoveredCacheEntry> = entries
        .filter_map(|(text, server, kept)| {
            // A clock that went back makes nothing younger than just now.
            let age_ms = (now_ms - kept.at_ms).max(0.0);
            let same = starts.get(server) == Some(&kept.start);
            let good = kept.tokens.is_finite()
                && kept.tokens > 0.0
                && age_ms.is_finite()
                && age_ms < trust.max_age_ms;
            let tokens = kept.tokens * 0.5f64.powf(age_ms / trust.half_life_ms.max(1.0));
            (same && good && tokens >= 1.0).then(|| RecoveredCacheEntry {
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
    all.truncate(trust.max_entries);
    all
}

/// Entries that are not worth their bytes any more: kept texts beyond their life, tokened work beyond its window.
pub fn expired<'a>(
    now_ms: f64,
    trust: &CacheRecoveryLimits,
    entries: impl Iterator<Item = (&'a Key, &'a [u8])>,
) -> Vec<Op> {
    let old = |key: &Key, value: &[u8]| match key.kind {
        Kind::Kept => serde_json::from_slice::<StoredCacheEntry>(value)
            .map_or(true, |kept| now_ms - kept.at_ms > trust.max_age_ms),
        Kind::Tokened => {
            serde_json::from_slice::<IdempotencyRecord>(value).map_or(true, |work| now_ms > work.until_ms)
        }
        // Whoever wrote the others decides when they go.
        _ => false,
    };
    entries.filter(|(key, value)| old(key, value)).map(|(key, _)| Op::Delete { key: key.clone() }).collect()
}

#[cfg(test)]
mod tests;
