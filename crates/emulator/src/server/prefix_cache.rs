use std::collections::{BTreeMap, BTreeSet};

/// Cache of the prompt prefixes that a server has processed, with least-recently-used eviction.
#[derive(Debug)]
pub struct PrefixCache {
    max_tokens: f64,
    /// Tokens that each prefix adds to the one before it, and the number of its last use.
    entries: BTreeMap<u64, (f64, u64)>,
    /// Number of the last use and key, oldest first.
    by_use: BTreeSet<(u64, u64)>,
    tokens: f64,
    uses: u64,
}

impl PrefixCache {
    pub fn new(max_tokens: f64) -> Self {
        PrefixCache { max_tokens, entries: BTreeMap::new(), by_use: BTreeSet::new(), tokens: 0.0, uses: 0 }
    }

    fn touch(&mut self, key: u64, tokens: f64) {
        self.uses += 1;
        if let Some((old, used)) = self.entries.insert(key, (tokens, self.uses)) {
            self.by_use.remove(&(used, key));
            self.tokens -= old;
        }
        self.by_use.insert((self.uses, key));
        self.tokens += tokens;
    }

    /// Cached tokens of a prompt: the length of the longest prefix with no part missing.
    pub fn lookup(&mut self, prompt: &[(u64, f64)]) -> f64 {
        let cached = prompt.iter().take_while(|(key, _)| self.entries.contains_key(key)).count();
        let mut from = 0.0;
        for (key, end) in &prompt[..cached] {
            self.touch(*key, end - from);
            from = *end;
        }
        from
    }

    /// Caches all of a prompt and evicts the least recently used entries beyond the limit.
    pub fn insert(&mut self, prompt: &[(u64, f64)]) {
        let mut from = 0.0;
        for (key, end) in prompt {
            self.touch(*key, end - from);
            from = *end;
        }
        let max_tokens = self.max_tokens;
        self.shrink_to(max_tokens);
    }

    pub fn shrink_to(&mut self, max_tokens: f64) {
        while self.tokens > max_tokens.max(0.0) {
            let Some((_, key)) = self.by_use.pop_first() else { return };
            if let Some((tokens, _)) = self.entries.remove(&key) {
                self.tokens -= tokens;
            }
        }
    }

    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}

#[cfg(test)]
mod tests;
