//! What letters say, and what that makes of the view.

use std::collections::BTreeSet;

use super::*;

impl Peers {
    pub(super) fn read(&mut self, bytes: &[u8], most: usize) -> Option<Letter> {
        match decode(self.deployment, bytes, most) {
            Ok(letter) => Some(letter),
            Err(wrong) => {
                *self.counts.wrong.entry(wrong).or_default() += 1;
                None
            }
        }
    }

    pub(super) fn datagram(&mut self, from: SocketAddr, letter: Letter) {
        if letter.from == self.rules.own {
            self.met_namesake(from, letter.life);
            return;
        }
        let known = self.met(&letter);
        for word in letter.words.clone() {
            self.word(from, &letter, word, known);
        }
    }

    /// The head of a letter is its sender's own word that it lives. Whether the sender is a member that we know.
    pub(super) fn met(&mut self, letter: &Letter) -> bool {
        if letter.life == Life(0) || usize::from(letter.from.0) >= self.rules.places.max(1) * 4 {
            return false;
        }
        self.keeping.heard_of(letter.page);
        let Some(member) = self.members.get(&letter.from) else { return false };
        if letter.life < member.life {
            return false;
        }
        if member.older_than(letter.life, letter.incarnation, State::Alive) && letter.life == member.life {
            // Passed on, as any word that was news: a refutation that each hears for itself alone comes too late for
            // those whom the suspicion reached first.
            self.heard_rumour(&Rumour {
                place: letter.from,
                life: letter.life,
                incarnation: letter.incarnation,
                state: State::Alive,
                by: letter.from,
                about: None,
            });
        }
        let now_ms = self.now_ms;
        let Some(member) = self.members.get_mut(&letter.from) else { return false };
        if letter.life != member.life {
            return false;
        }
        member.heard_ms = Some(now_ms);
        member.digest = letter.digest;
        member.page = letter.page;
        member.places = letter.places;
        true
    }

    /// A letter from another process under our place: the higher life stays, at equal lives the higher address.
    pub(super) fn met_namesake(&mut self, from: SocketAddr, life: Life) {
        if from == self.about.address || life == Life(0) {
            return;
        }
        if (life, from) > (self.life, self.about.address) {
            self.displaced = true;
            self.actions.push(Action::Displaced { by: from });
        } else {
            let word = Word::Rumour(self.own_rumour(State::Alive, true));
            self.send(from, vec![word], false);
        }
    }

    pub(super) fn word(&mut self, from: SocketAddr, letter: &Letter, word: Word, known: bool) {
        match word {
            Word::Ping { seq, deaf } => {
                if let Some(member) = self.members.get_mut(&letter.from) {
                    let until =
                        if deaf { self.now_ms + self.rules.probe_ms * ASK_SEED } else { f64::NEG_INFINITY };
                    member.deaf_until_ms = until;
                }
                let mut words = vec![Word::Ack { seq }];
                words.extend(self.correction(letter));
                self.send(from, words, true);
                if !known && letter.life != Life(0) {
                    // A member that nobody told us of: its whole view tells more than its name.
                    self.exchange(from);
                }
            }
            Word::Ack { seq } => {
                self.heard_ack(letter.from, seq);
                let rival = self.rival.filter(|(at, _, _)| *at == from);
                if rival.is_none() && !known && (letter.life != Life(0) || !self.joined) {
                    self.exchange(from);
                }
            }
            Word::Ask { seq, target } => {
                let Some(address) = self.members.get(&target).map(|member| member.about.address) else {
                    return;
                };
                let errand = Errand {
                    for_place: letter.from,
                    for_seq: seq,
                    target,
                    end_ms: self.now_ms + self.rules.probe_ms * (1.0 - INDIRECT) / 2.0,
                };
                let own = self.seq();
                if self.errands.len() < 64 {
                    self.errands.insert(own, errand);
                    let deaf = self.deaf_to(target);
                    self.send(address, vec![Word::Ping { seq: own, deaf }], false);
                }
            }
            Word::Answered { seq, target, heard } => {
                if let Some(probe) =
                    self.probe.as_mut().filter(|probe| probe.seq == seq && probe.target == target)
                {
                    probe.answered |= heard;
                    probe.nays += usize::from(!heard);
                }
            }
            Word::Join { seq } => {
                self.send(from, vec![Word::Ack { seq }], true);
            }
            Word::Rumour(rumour) => self.heard_rumour(&rumour),
            Word::Row(row) => self.heard_row(row),
            Word::Renew { number, mark, sent } => {
                let seated = self.members.get(&letter.from).is_none_or(|member| member.life <= letter.life);
                let kept = self.keeping.kept_number();
                let seated = seated && self.keeping.confirms(self.now_ms, number, mark);
                self.send(from, vec![Word::Renewed { number, sent, kept, seated }], false);
            }
            Word::Renewed { number, sent, kept, seated } => {
                self.keeping.heard_of(kept);
                if seated {
                    self.keeping.renewed(letter.from, number, sent);
                } else if kept > self.keeping.number() {
                    self.fetch(from);
                }
            }
            Word::Propose { page } => {
                let word = self.proposed(&page);
                self.send(from, vec![word], false);
            }
            Word::Taken { number, yes, kept } => self.taken(letter.from, number, yes, kept),
            Word::Want { above } => {
                if let Some(page) = self.keeping.page().filter(|page| page.number > above).cloned() {
                    self.send_large(from, Word::Chosen { page });
                }
            }
            Word::Chosen { page } => self.choose(page),
            // Whole views go over calls alone.
            Word::Exchange => {}
        }
    }

    pub(super) fn heard_ack(&mut self, from: Place, seq: u32) {
        self.silent.remove(&from);
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq && probe.target == from) {
            probe.answered = true;
            probe.direct = true;
        }
        if let Some(errand) = self.errands.remove(&seq).filter(|errand| errand.target == from) {
            let word = Word::Answered { seq: errand.for_seq, target: errand.target, heard: true };
            if let Some(to) = self.members.get(&errand.for_place).map(|member| member.about.address) {
                self.send(to, vec![word], false);
            }
        }
    }

    /// What its sender should hear of itself: that it is suspected, or thought gone.
    pub(super) fn correction(&self, letter: &Letter) -> Option<Word> {
        let member = self.members.get(&letter.from)?;
        let outdated = member.life > letter.life
            || member.life == letter.life
                && member.state != State::Alive
                && letter.incarnation <= member.incarnation;
        (outdated && letter.life != Life(0)).then(|| Word::Rumour(member.rumour(self.rules.own, true)))
    }

    pub(super) fn heard_rumour(&mut self, rumour: &Rumour) {
        if rumour.place == self.rules.own {
            self.heard_of_us(rumour);
            return;
        }
        if usize::from(rumour.place.0) >= self.rules.places.max(1) * 4 {
            return;
        }
        if self.take(rumour) {
            let about = rumour.about.is_some();
            if let Some(member) = self.members.get(&rumour.place) {
                let word = Word::Rumour(member.rumour(rumour.by, about));
                self.rumours.add(word);
            }
        } else if rumour.state == State::Suspect {
            self.confirm(rumour);
        }
    }

    /// Only the router itself refutes, by a higher incarnation; one that was remembered from before, by a higher life.
    pub(super) fn heard_of_us(&mut self, rumour: &Rumour) {
        // Before anyone let this life in, one that is remembered as high was another's; and nobody comes back who left.
        let before = !self.joined && !self.told_of || rumour.state == State::Left && !self.leaving;
        if rumour.life > self.life || before && rumour.life == self.life {
            let elsewhere =
                rumour.about.as_ref().map(|about| about.address).filter(|at| *at != self.about.address);
            match elsewhere.filter(|_| rumour.state.here() && self.joined) {
                // Somebody may really be there: it is asked, and the higher life stays.
                Some(address) => {
                    if self.rival.is_none() {
                        let until = self.now_ms + self.rules.probe_ms * 3.0;
                        self.rival = Some((address, rumour.life, until));
                        let seq = self.seq();
                        self.send(address, vec![Word::Ping { seq, deaf: false }], false);
                    }
                }
                None => self.live_above(rumour.life),
            }
        } else if rumour.life == self.life && rumour.state != State::Alive && !self.leaving {
            if rumour.incarnation >= self.incarnation {
                self.incarnation = rumour.incarnation + 1;
                self.counts.refuted += 1;
                self.health = (self.health + 1).min(HEALTH_MAX);
            }
            let word = Word::Rumour(self.own_rumour(State::Alive, rumour.state != State::Suspect));
            self.rumours.add(word);
        }
    }

    pub(super) fn live_above(&mut self, life: Life) {
        self.view_changed();
        self.life = Life(life.0.saturating_add(1));
        self.incarnation = 0;
        self.row_version = 0;
        self.actions.push(Action::Lived { life: self.life });
        if self.joined {
            let word = Word::Rumour(self.own_rumour(State::Alive, true));
            self.rumours.add(word);
        }
    }

    /// Takes a word into the view; whether it was news.
    pub(super) fn take(&mut self, rumour: &Rumour) -> bool {
        let now_ms = self.now_ms;
        if let Some(member) = self.members.get_mut(&rumour.place) {
            if !member.older_than(rumour.life, rumour.incarnation, rumour.state) {
                return false;
            }
            self.known_digest.set(None);
            self.changed_ms = now_ms;
            let from = member.state;
            if rumour.life > member.life {
                // A new life without its address can't be reached: the next exchange brings it.
                let Some(about) = rumour.about.clone() else { return false };
                let history = std::mem::take(&mut member.history);
                *member = Member { history, ..Member::new(now_ms, rumour, about) };
                self.silent.remove(&rumour.place);
            }
            let Some(member) = self.members.get_mut(&rumour.place) else { return false };
            member.incarnation = rumour.incarnation;
            member.state = rumour.state;
            member.doubt = (rumour.state == State::Suspect)
                .then(|| Doubt { since_ms: now_ms, by: BTreeSet::from([rumour.by]) });
            if from != rumour.state {
                member.since_ms = now_ms;
                member.note(now_ms, Some(from), rumour.by);
                self.counts.suspected += u64::from(rumour.state == State::Suspect);
                self.counts.failed += u64::from(rumour.state == State::Failed);
                let change = member.history.back().cloned();
                self.actions.extend(change.map(|change| Action::Changed { place: rumour.place, change }));
            }
            if rumour.state == State::Suspect {
                self.witness(rumour);
            }
            return true;
        }
        let Some(about) = rumour.about.clone() else { return false };
        let member = Member::new(now_ms, rumour, about);
        self.view_changed();
        let change = member.history.back().cloned();
        self.members.insert(rumour.place, member);
        self.actions.extend(change.map(|change| Action::Changed { place: rumour.place, change }));
        true
    }

    /// Another one saw it first-hand too; the suspicion runs out sooner, and that is passed on.
    pub(super) fn confirm(&mut self, rumour: &Rumour) {
        let Some(member) = self.members.get_mut(&rumour.place) else { return };
        let same = member.life == rumour.life && member.incarnation == rumour.incarnation;
        let Some(doubt) = member.doubt.as_mut().filter(|_| same) else { return };
        if (doubt.by.len() as f64) <= WITNESSES && doubt.by.insert(rumour.by) {
            self.rumours.add(Word::Rumour(rumour.clone()));
        }
    }

    /// Some routers, by a hash that all of them know, look for themselves when another is suspected: one that is gone is
    /// confirmed at once, and one that is not hears of the suspicion.
    pub(super) fn witness(&mut self, rumour: &Rumour) {
        let mut bytes = [0; 8];
        bytes[..2].copy_from_slice(&self.rules.own.0.to_le_bytes());
        bytes[2..4].copy_from_slice(&rumour.place.0.to_le_bytes());
        bytes[4..].copy_from_slice(&rumour.incarnation.to_le_bytes());
        let draw = f64::from(crc32fast::hash(&bytes)) / f64::from(u32::MAX);
        let chosen = draw * self.here() as f64 <= 2.0 * WITNESSES && rumour.by != self.rules.own;
        let looking = self.probe.as_ref().is_some_and(|probe| probe.target == rumour.place);
        if chosen && !looking {
            // The next to be probed, and soon.
            self.order.push(rumour.place);
            self.probe_ms = self.probe_ms.min(self.now_ms + self.rules.probe_ms * INDIRECT * self.rng.f64());
        }
    }

    pub(super) fn heard_row(&mut self, row: Row) {
        let Some(member) = self.members.get_mut(&row.place) else { return };
        let newer = |old: &Row| (row.life, row.version) > (old.life, old.version);
        if row.life == member.life && member.row.as_ref().is_none_or(newer) {
            self.rumours.add(Word::Row(row.clone()));
            member.row = Some(row);
        }
    }
}
