use super::*;

const LIMITS: CacheRecoveryLimits =
    CacheRecoveryLimits { max_age_ms: 600_000.0, half_life_ms: 120_000.0, max_entries: 3 };

fn entry(text: Text, server: &str, tokens: f64, at_ms: f64, start: u64) -> (Box<[u8]>, Vec<u8>) {
    let value = serde_json::to_vec(&StoredCacheEntry { tokens, at_ms, start }).unwrap();
    (cache_entry_key(text, server).bytes, value)
}

#[test]
fn entries_lose_tokens_with_age_and_end_with_their_process() {
    let now_ms = 1e9;
    let entries = [
        entry(Text::Session(1), "a", 800.0, now_ms, 5),
        entry(Text::Session(2), "a", 800.0, now_ms - 120_000.0, 5),
        entry(Text::Prefix(3), "a", 800.0, now_ms - 700_000.0, 5),
        entry(Text::Session(4), "b", 800.0, now_ms, 5),
        entry(Text::Session(5), "gone", 800.0, now_ms, 5),
        entry(Text::Session(6), "a", f64::NAN, now_ms, 5),
        // The clock was set back since.
        entry(Text::Session(7), "a", 100.0, now_ms + 5e6, 5),
        (Box::from(&b"rubbish"[..]), b"{".to_vec()),
    ];
    let starts = [("a".to_owned(), 5), ("b".to_owned(), 6)].into();
    let recovered = recover_cache_entries(
        now_ms,
        &LIMITS,
        &starts,
        stored_cache_entries(entries.iter().map(|(key, value)| (&**key, &**value))),
    );
    let found: Vec<_> = recovered.iter().map(|row| (row.text, row.tokens.round(), row.age_ms)).collect();
    let expected = [
        (Text::Session(1), 800.0, 0.0),
        (Text::Session(7), 100.0, 0.0),
        (Text::Session(2), 400.0, 120_000.0),
    ];
    assert_eq!(found, expected);
}

#[test]
fn expired_entries_are_deleted() {
    let record = |until_ms| serde_json::to_vec(&IdempotencyRecord { request_hash: 7, until_ms }).unwrap();
    let rows = [
        (Key::new(Kind::Tokened, b"old"), record(99.0)),
        (Key::new(Kind::Tokened, b"new"), record(101.0)),
        (Key::new(Kind::Word, b"a"), b"anything".to_vec()),
    ];
    let deletions = expired(100.0, &LIMITS, rows.iter().map(|(key, value)| (key, value.as_slice())));
    assert_eq!(deletions, [Op::Delete { key: rows[0].0.clone() }]);
}
