//! What workers are held to keep of texts that they have read.

use super::*;

impl Control {
    /// Tokens of the prompt that the table holds as kept at a worker.
    pub(super) fn believed(&self, c: &Completion, worker: &WorkerId) -> f64 {
        let Some(w) = self.workers.get(worker) else { return 0.0 };
        let oldest_ms = w.forgot_ms.max(self.now_ms - ENTRY_LIFE_MS);
        let entry = |text| self.table.get(&(text, worker.clone())).filter(|kept| kept.at_ms >= oldest_ms);
        let session = entry(Text::Session(c.facts.session)).map_or(0.0, |kept| kept.value);
        let prefix = c.facts.prefix.filter(|_| w.role == Role::Reader);
        let prefix = prefix.and_then(|prefix| entry(Text::Prefix(prefix))).map_or(0.0, |kept| kept.value);
        session.max(prefix).min(c.facts.prompt_tokens)
    }

    /// Workers that are held to keep more of a prompt than the beginning that it shares.
    pub(super) fn keepers(&self, c: &Completion) -> BTreeSet<&WorkerId> {
        let texts = [Some(Text::Session(c.facts.session)), c.facts.prefix.map(Text::Prefix)];
        let entries = |text: Text| {
            let first = (text, WorkerId("".into()));
            self.table.range(first..).take_while(move |((known, _), _)| *known == text)
        };
        let entries = texts.into_iter().flatten().flat_map(entries);
        let enough = entries.filter(|(_, kept)| kept.value > c.facts.prefix_tokens);
        let workers = enough.map(|((_, worker), _)| worker);
        workers.filter(|worker| self.believed(c, worker) > c.facts.prefix_tokens).collect()
    }

    /// An entry of an earlier run; it never counts as newer than what this one saw of the worker.
    pub(super) fn recover(&mut self, kept: &CacheEntry) {
        let text = kept.session.map(Text::Session).or(kept.prefix.map(Text::Prefix));
        let Some((text, w)) = text.zip(self.workers.get(&kept.worker)) else { return };
        let at_ms = (self.now_ms - kept.age_ms).max(w.forgot_ms);
        self.table.entry((text, kept.worker.clone())).or_insert(Decaying { value: kept.tokens, at_ms });
    }

    pub(super) fn remember(&mut self, facts: &Arrival, worker: &WorkerId) {
        let at_ms = self.now_ms;
        if self.table.len() >= ENTRIES_MAX {
            self.table.retain(|_, kept| kept.at_ms >= at_ms - ENTRY_LIFE_MS / 4.0);
        }
        let session = (Text::Session(facts.session), facts.prompt_tokens);
        let prefix = facts.prefix.map(|prefix| (Text::Prefix(prefix), facts.prefix_tokens));
        for (text, tokens) in [Some(session), prefix].into_iter().flatten() {
            self.table.insert((text, worker.clone()), Decaying { value: tokens, at_ms });
        }
    }
}
