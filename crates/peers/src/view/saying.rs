//! Letters out, and what operators may ask.

use super::*;

impl Peers {
    pub(super) fn own_rumour(&self, state: State, with_about: bool) -> Rumour {
        Rumour {
            place: self.rules.own,
            life: self.life,
            incarnation: self.incarnation,
            state,
            by: self.rules.own,
            about: with_about.then(|| self.about.clone()),
        }
    }

    pub(super) fn letter(&self, words: Vec<Word>) -> Vec<u8> {
        let letter = Letter {
            from: self.rules.own,
            life: if self.joined { self.life } else { Life(0) },
            incarnation: self.incarnation,
            places: self.rules.places as u16,
            digest: self.digest(),
            page: self.keeping.number(),
            words,
        };
        encode(self.deployment, &letter)
    }

    /// A datagram with these words, and where `more`, with what there is to pass on.
    pub(super) fn send(&mut self, to: SocketAddr, mut words: Vec<Word>, more: bool) {
        if more && self.joined {
            let used: usize = words.iter().map(size).sum::<usize>() + LETTER;
            let routers = self.here();
            words.extend(self.rumours.take(DATAGRAM.saturating_sub(used), routers));
        }
        let bytes = self.letter(words);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.actions.push(Action::Send { to, bytes });
    }

    /// By datagram where it fits, else over TCP.
    pub(super) fn send_large(&mut self, to: SocketAddr, word: Word) {
        if size(&word) + LETTER <= DATAGRAM {
            self.send(to, vec![word], false);
        } else {
            let letters = vec![self.letter(vec![word])];
            self.call(to, letters);
        }
    }

    // What can be asked of it.

    pub(super) fn view_changed(&mut self) {
        self.known_digest.set(None);
        self.changed_ms = self.now_ms;
    }

    /// Fingerprint of the view: equal views have equal ones, in whatever order they came about.
    pub fn digest(&self) -> u32 {
        if let Some(known) = self.known_digest.get() {
            return known;
        }
        let own = Member::new(0.0, &self.own_rumour(State::Alive, false), self.about.clone()).digest();
        let digest =
            self.members.values().filter(|m| m.state != State::Left).fold(own, |sum, m| sum ^ m.digest());
        self.known_digest.set(Some(digest));
        digest
    }

    /// How it stands among its fellows.
    pub fn stand(&self) -> Stand {
        let agreed =
            self.keeping.page().map(|page| page.seats.iter().map(|seat| seat.place).collect::<Vec<_>>());
        let roster =
            agreed.unwrap_or_else(|| (0..self.rules.places).map(|place| Place(place as u16)).collect());
        let others = roster.iter().filter(|place| **place != self.rules.own);
        let heard = |place: &&Place| self.members.get(place).is_some_and(|m| m.state.here());
        let hears = 1 + others.clone().filter(heard).count();
        let roster = 1 + others.count();
        let (mind, why) = mind(self.joined, self.displaced, self.leaving, hears, roster);
        let digest = self.digest();
        let fellows: Vec<_> = self
            .members
            .values()
            .filter(|m| m.state.here() && m.heard_ms.is_some_and(|at| at >= self.changed_ms))
            .collect();
        let differ: Vec<_> = fellows.iter().filter(|m| m.digest != digest).map(|m| m.place).collect();
        let here = || self.members.values().filter(|m| m.state.here());
        Stand {
            mind,
            why,
            roster,
            hears,
            same: fellows.len() - differ.len(),
            of: fellows.len(),
            differ: differ.into_iter().take(8).collect(),
            deaf_to: here().filter(|m| self.deaf_to(m.place)).map(|m| m.place).collect(),
            unheard_by: here().filter(|m| m.deaf_until_ms > self.now_ms).map(|m| m.place).collect(),
        }
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub fn keeping(&self) -> &Keeping {
        &self.keeping
    }

    pub fn about(&self) -> &About {
        &self.about
    }

    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    pub fn life(&self) -> Life {
        self.life
    }

    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    pub fn health(&self) -> u32 {
        self.health
    }

    pub fn waiting_rumours(&self) -> usize {
        self.rumours.len()
    }
}
