//! The texts that workers are expected to have cached, from the prompts that they have read.

use super::*;

impl Control {
    /// Prompt tokens that a worker is expected to have cached.
    pub(super) fn expected_cached(&self, c: &Completion, worker: &WorkerId) -> f64 {
        let Some(w) = self.workers.get(worker) else { return 0.0 };
        let oldest_ms = w.cache_valid_from_ms.max(self.now_ms - ENTRY_LIFE_MS);
        let valid_entry =
            |key| self.cache.get(&(key, worker.clone())).filter(|entry| entry.at_ms >= oldest_ms);
        let session = valid_entry(CacheKey::Session(c.arrival.session)).map_or(0.0, |entry| entry.value);
        let prefix = c.arrival.prefix.filter(|_| w.role == Role::Reader);
        let prefix =
            prefix.and_then(|prefix| valid_entry(CacheKey::Prefix(prefix))).map_or(0.0, |entry| entry.value);
        session.max(prefix).min(c.arrival.prompt_tokens)
    }

    /// Workers that are expected to have more of a prompt cached than its shared prefix.
    pub(super) fn workers_with_cache(&self, c: &Completion) -> BTreeSet<&WorkerId> {
        let keys = [Some(CacheKey::Session(c.arrival.session)), c.arrival.prefix.map(CacheKey::Prefix)];
        let entries = |key: CacheKey| {
            let first = (key, WorkerId("".into()));
            self.cache.range(first..).take_while(move |((known, _), _)| *known == key)
        };
        let entries = keys.into_iter().flatten().flat_map(entries);
        let beyond_prefix = entries.filter(|(_, entry)| entry.value > c.arrival.prefix_tokens);
        let workers = beyond_prefix.map(|((_, worker), _)| worker);
        workers.filter(|worker| self.expected_cached(c, worker) > c.arrival.prefix_tokens).collect()
    }

    /// Adds an entry of an earlier run, unless this run has one. The entry is no older than the worker's
    /// cache, so that an observation of this run still invalidates it.
    pub(super) fn recover_entry(&mut self, entry: &CacheEntry) {
        let key = entry.session.map(CacheKey::Session).or(entry.prefix.map(CacheKey::Prefix));
        let Some((key, w)) = key.zip(self.workers.get(&entry.worker)) else { return };
        let at_ms = (self.now_ms - entry.age_ms).max(w.cache_valid_from_ms);
        self.cache.entry((key, entry.worker.clone())).or_insert(Decaying { value: entry.tokens, at_ms });
    }

    /// Records that a worker has read a prompt and now has it cached.
    pub(super) fn record_cached(&mut self, arrival: &Arrival, worker: &WorkerId) {
        let at_ms = self.now_ms;
        if self.cache.len() >= ENTRIES_MAX {
            self.cache.retain(|_, entry| entry.at_ms >= at_ms - ENTRY_LIFE_MS / 4.0);
        }
        let session = (CacheKey::Session(arrival.session), arrival.prompt_tokens);
        let prefix = arrival.prefix.map(|prefix| (CacheKey::Prefix(prefix), arrival.prefix_tokens));
        for (key, tokens) in [Some(session), prefix].into_iter().flatten() {
            self.cache.insert((key, worker.clone()), Decaying { value: tokens, at_ms });
        }
    }
}
