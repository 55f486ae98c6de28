//! Whole views and pages over TCP; joining and leaving.

use super::*;

impl Peers {
    pub(super) fn exchange(&mut self, to: SocketAddr) {
        if self.free_to_call() {
            self.calling = Some((to, self.now_ms + self.rules.probe_ms * 10.0));
            let letters = self.whole_view(true);
            self.call(to, letters);
        }
    }

    pub(super) fn free_to_call(&self) -> bool {
        self.calling.is_none_or(|(_, until)| self.now_ms >= until)
    }

    pub(super) fn fetch(&mut self, to: SocketAddr) {
        if self.free_to_call() {
            self.calling = Some((to, self.now_ms + self.rules.probe_ms * 10.0));
            let above = self.keeping.number();
            let letters = vec![self.letter(vec![Word::Want { above }])];
            self.call(to, letters);
        }
    }

    pub(super) fn call(&mut self, to: SocketAddr, letters: Vec<Vec<u8>>) {
        self.counts.calls += 1;
        self.counts.call_bytes += letters.iter().map(|letter| letter.len() as u64).sum::<u64>();
        self.actions.push(Action::Call { to, letters });
    }

    /// All that is known, in pages.
    pub(super) fn whole_view(&mut self, asks: bool) -> Vec<Vec<u8>> {
        let mut words: Vec<Word> = Vec::new();
        words.extend(asks.then_some(Word::Exchange));
        if self.joined || !asks {
            self.told_of = true;
            words.push(Word::Rumour(self.own_rumour(State::Alive, true)));
        }
        words.extend(self.members.values().map(|m| Word::Rumour(m.rumour(self.rules.own, true))));
        words.extend(self.members.values().filter_map(|m| m.row.clone()).map(Word::Row));
        words.extend(self.keeping.page().cloned().map(|page| Word::Chosen { page }));
        let (mut letters, mut some, mut room) = (Vec::new(), Vec::new(), PAGE - LETTER);
        for word in words {
            let size = size(&word);
            if size > room && !some.is_empty() {
                letters.push(self.letter(std::mem::take(&mut some)));
                room = PAGE - LETTER;
            }
            room = room.saturating_sub(size);
            some.push(word);
        }
        letters.push(self.letter(some));
        letters
    }

    pub(super) fn called(&mut self, letters: &[Vec<u8>]) {
        let mut reply = Vec::new();
        let mut whole = false;
        for bytes in letters.iter().take(LETTERS_MAX) {
            self.counts.heard_bytes += bytes.len() as u64;
            let Some(letter) = self.read(bytes, PAGE * 4) else { continue };
            for word in &letter.words {
                match word {
                    Word::Want { above } => {
                        let page = self.keeping.page().filter(|page| page.number > *above).cloned();
                        reply.extend(page.map(|page| self.letter(vec![Word::Chosen { page }])));
                    }
                    Word::Propose { page } => {
                        let word = self.proposed(page);
                        reply.push(self.letter(vec![word]));
                    }
                    Word::Exchange => whole = true,
                    _ => {}
                }
            }
            self.paged(letter);
        }
        if whole {
            reply.extend(self.whole_view(false));
        }
        self.counts.call_bytes += reply.iter().map(|letter| letter.len() as u64).sum::<u64>();
        self.actions.push(Action::Reply { letters: reply });
    }

    pub(super) fn answered(&mut self, letters: &[Vec<u8>]) {
        let mut viewed = false;
        for bytes in letters.iter().take(LETTERS_MAX) {
            self.counts.heard_bytes += bytes.len() as u64;
            let Some(letter) = self.read(bytes, PAGE * 4) else { continue };
            viewed |= letter.words.iter().any(|word| matches!(word, Word::Rumour(_)));
            self.paged(letter);
        }
        if viewed && !self.joined {
            self.join();
        }
    }

    pub(super) fn paged(&mut self, letter: Letter) {
        if letter.from == self.rules.own {
            return;
        }
        for word in letter.words.clone() {
            match word {
                Word::Rumour(rumour) => self.heard_rumour(&rumour),
                Word::Row(row) => self.heard_row(row),
                Word::Chosen { page } => self.choose(page),
                Word::Taken { number, yes, kept } => self.taken(letter.from, number, yes, kept),
                _ => {}
            }
        }
        self.met(&letter);
    }

    pub(super) fn join(&mut self) {
        self.joined = true;
        self.seed_ms = self.now_ms + self.rules.probe_ms * ASK_SEED * self.rng.f64();
        let word = Word::Rumour(self.own_rumour(State::Alive, true));
        self.rumours.add(word.clone());
        // A few hear it at once, so that the word does not hang on one.
        let mut fellows: Vec<_> =
            self.members.values().filter(|m| m.state.here()).map(|m| m.about.address).collect();
        self.rng.shuffle(&mut fellows);
        for to in fellows.into_iter().take(HELPERS) {
            let seq = self.seq();
            self.send(to, vec![Word::Ping { seq, deaf: false }, word.clone()], false);
        }
    }

    pub(super) fn leave(&mut self) {
        self.leaving = true;
        let word = Word::Rumour(self.own_rumour(State::Left, true));
        let mut fellows: Vec<_> =
            self.members.values().filter(|m| m.state.here()).map(|m| m.about.address).collect();
        self.rng.shuffle(&mut fellows);
        for to in fellows.into_iter().take(4 * HELPERS) {
            self.send(to, vec![word.clone()], false);
        }
    }

    pub(super) fn row(&mut self, bytes: Vec<u8>) {
        self.row_version += 1;
        let (place, life, version) = (self.rules.own, self.life, self.row_version);
        self.rumours.add(Word::Row(Row { place, life, version, bytes }));
    }
}
