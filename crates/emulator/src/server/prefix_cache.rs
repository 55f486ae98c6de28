use std::collections::{BTreeMap, BTreeSet};

/// Texts that a server keeps beside its work, least recently used first to go.
#[derive(Debug)]
pub struct PrefixCache {
    most: f64,
    /// Tokens that each beginning adds to the one before it, and when it was last used.
    texts: BTreeMap<u64, (f64, u64)>,
    by_use: BTreeSet<(u64, u64)>,
    tokens: f64,
    uses: u64,
}

impl PrefixCache {
    pub fn new(most_tokens: f64) -> Self {
        PrefixCache {
            most: most_tokens,
            texts: BTreeMap::new(),
            by_use: BTreeSet::new(),
            tokens: 0.0,
            uses: 0,
        }
    }

    fn touch(&mut self, key: u64, tokens: f64) {
        self.uses += 1;
        if let Some((old, used)) = self.texts.insert(key, (tokens, self.uses)) {
            self.by_use.remove(&(used, key));
            self.tokens -= old;
        }
        self.by_use.insert((self.uses, key));
        self.tokens += tokens;
    }

    /// Tokens of a prompt that are kept: the longest beginning of which no part is missing.
    pub fn lookup(&mut self, prompt: &[(u64, f64)]) -> f64 {
        let there = prompt.iter().take_while(|(key, _)| self.texts.contains_key(key)).count();
        let mut from = 0.0;
        for (key, end) in &prompt[..there] {
            self.touch(*key, end - from);
            from = *end;
        }
        from
    }

    /// Keeps all of a prompt; what it pushes out is used least recently.
    pub fn insert(&mut self, prompt: &[(u64, f64)]) {
        let mut from = 0.0;
        for (key, end) in prompt {
            self.touch(*key, end - from);
            from = *end;
        }
        let most = self.most;
        self.shrink_to(most);
    }

    pub fn shrink_to(&mut self, most_tokens: f64) {
        while self.tokens > most_tokens.max(0.0) {
            let Some((_, key)) = self.by_use.pop_first() else { return };
            if let Some((tokens, _)) = self.texts.remove(&key) {
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
