//! What is due: probes, suspicions that run out, those thought gone, comparisons of views.

use super::*;

impl Peers {
    pub(super) fn tick(&mut self) {
        let late_ms = self.now_ms - self.next_ms();
        if late_ms > self.rules.probe_ms {
            self.was_away(late_ms);
        }
        if self.leaving {
            return;
        }
        let now_ms = self.now_ms;
        if let Some((_, life, _)) = self.rival.filter(|(_, _, until)| now_ms >= *until) {
            self.rival = None;
            self.live_above(life);
        }
        if now_ms >= self.seed_ms {
            self.ask_seed();
        }
        if self.probe.as_ref().is_some_and(|p| !p.asked && !p.answered && now_ms >= p.ask_ms) {
            self.ask_helpers();
        }
        if now_ms >= self.probe_ms {
            self.next_probe();
        }
        let here = self.here();
        let ends = |m: &&Member| self.doubt_ends_ms(m, here).is_some_and(|at| now_ms >= at);
        let over: Vec<_> = self.members.values().filter(ends).collect();
        let over: Vec<_> = over
            .into_iter()
            .map(|m| Rumour { state: State::Failed, ..m.rumour(self.rules.own, false) })
            .collect();
        over.iter().for_each(|rumour| self.heard_rumour(rumour));
        if now_ms >= self.failed_ms {
            self.ask_failed();
        }
        if now_ms >= self.compare_ms {
            self.compare();
        }
        if self.joined && self.keeping.page().is_some() && now_ms >= self.keeping.renew_ms {
            self.renew();
        }
    }

    /// This router did not run when it should have: what it thinks that others missed, it may have missed itself.
    pub(super) fn was_away(&mut self, late_ms: f64) {
        self.counts.late_ticks += 1;
        let steps = (late_ms / self.rules.probe_ms).min(f64::from(HEALTH_MAX)) as u32;
        self.health = (self.health + steps.max(1)).min(HEALTH_MAX);
        self.probe = None;
        self.errands.clear();
        for doubt in self.members.values_mut().filter_map(|member| member.doubt.as_mut()) {
            doubt.since_ms += late_ms;
        }
    }

    pub(super) fn probes_ms(&self) -> f64 {
        self.rules.probe_ms * (1.0 + f64::from(self.health) / 2.0)
    }

    pub(super) fn doubt_ends_ms(&self, member: &Member, here: usize) -> Option<f64> {
        let doubt = member.doubt.as_ref()?;
        let least = DOUBT * self.rules.probe_ms * (here as f64).log10().max(1.0);
        let others = (doubt.by.len() as f64 - 1.0).clamp(0.0, WITNESSES);
        // Who misses its own deadlines gives others more time before it blames them.
        let most = DOUBT_MOST * least * (1.0 + f64::from(self.health) / 2.0);
        let share = (1.0 + others).ln() / (1.0 + WITNESSES).ln();
        // Where too few others are there to confirm, the least time is as good as all their words.
        let few = (here as f64) < WITNESSES + 2.0;
        let lasts = if few { (least + most) / 2.0 } else { most - (most - least) * share };
        Some(doubt.since_ms + lasts)
    }

    pub(super) fn here(&self) -> usize {
        1 + self.members.values().filter(|member| member.state.here()).count()
    }

    pub(super) fn seq(&mut self) -> u32 {
        self.next_seq = self.next_seq.wrapping_add(1);
        self.next_seq
    }

    pub(super) fn next_probe(&mut self) {
        self.end_probe();
        let end_ms = self.now_ms + self.probes_ms();
        self.probe_ms = end_ms;
        if !self.joined {
            return;
        }
        let target = loop {
            match self.order.pop() {
                Some(place) if self.members.get(&place).is_some_and(|member| member.state.here()) => {
                    break Some(place)
                }
                Some(_) => {}
                None => {
                    self.order = self.members.values().filter(|m| m.state.here()).map(|m| m.place).collect();
                    self.rng.shuffle(&mut self.order);
                    if self.order.is_empty() {
                        break None;
                    }
                }
            }
        };
        let Some(target) = target else { return };
        let Some(address) = self.members.get(&target).map(|member| member.about.address) else { return };
        let seq = self.seq();
        let ask_ms = self.now_ms + INDIRECT * (end_ms - self.now_ms);
        self.probe = Some(Probe {
            target,
            seq,
            ask_ms,
            end_ms,
            asked: false,
            direct: false,
            answered: false,
            nays: 0,
        });
        self.counts.probes += 1;
        let mut words = vec![Word::Ping { seq, deaf: self.deaf_to(target) }];
        let suspect = self.members.get(&target).filter(|member| member.state == State::Suspect);
        words.extend(suspect.map(|member| Word::Rumour(member.rumour(self.rules.own, false))));
        self.send(address, words, true);
    }

    pub(super) fn deaf_to(&self, target: Place) -> bool {
        self.silent.get(&target).is_some_and(|times| *times >= UNHEARD)
    }

    pub(super) fn ask_helpers(&mut self) {
        let Some((target, seq)) = self.probe.as_mut().map(|probe| {
            probe.asked = true;
            (probe.target, probe.seq)
        }) else {
            return;
        };
        let able = |m: &&Member| m.state == State::Alive && m.place != target;
        let mut helpers: Vec<_> = self.members.values().filter(able).map(|m| m.about.address).collect();
        self.rng.shuffle(&mut helpers);
        for to in helpers.into_iter().take(HELPERS) {
            self.send(to, vec![Word::Ask { seq, target }], false);
        }
    }

    pub(super) fn end_probe(&mut self) {
        let now_ms = self.now_ms;
        let gone: Vec<_> =
            self.errands.iter().filter(|(_, e)| now_ms >= e.end_ms).map(|(seq, _)| *seq).collect();
        for errand in gone.into_iter().filter_map(|seq| self.errands.remove(&seq)).collect::<Vec<_>>() {
            let word = Word::Answered { seq: errand.for_seq, target: errand.target, heard: false };
            if let Some(to) = self.members.get(&errand.for_place).map(|member| member.about.address) {
                self.send(to, vec![word], false);
            }
        }
        let early = self.probe.as_ref().is_some_and(|probe| !probe.answered && now_ms < probe.end_ms);
        let Some(probe) = self.probe.take() else { return };
        if probe.direct {
            self.health = self.health.saturating_sub(1);
            return;
        }
        // One that was cut short by a more urgent one proves nothing.
        if early {
            return;
        }
        let times = self.silent.entry(probe.target).or_default();
        *times = times.saturating_add(1);
        if probe.answered {
            return;
        }
        self.counts.unanswered += 1;
        if probe.asked && probe.nays == 0 && self.here() > 2 {
            // Not even the helpers were heard: the fault may be ours.
            self.health = (self.health + 1).min(HEALTH_MAX);
        }
        let Some(member) = self.members.get(&probe.target).filter(|member| member.state.here()) else {
            return;
        };
        let rumour = Rumour { state: State::Suspect, ..member.rumour(self.rules.own, false) };
        self.heard_rumour(&rumour);
        // It hears so itself, and may answer.
        let (to, word) = (member_address(&self.members, probe.target), Word::Rumour(rumour));
        if let Some(to) = to {
            self.send(to, vec![word], false);
        }
    }

    pub(super) fn ask_seed(&mut self) {
        let wait = if self.joined { ASK_SEED } else { 1.0 + self.rng.f64() };
        self.seed_ms = self.now_ms + self.rules.probe_ms * wait;
        let known = |at: &SocketAddr| self.members.values().any(|m| m.state.here() && m.about.address == *at);
        let strange: Vec<_> =
            self.seeds.iter().copied().filter(|at| *at != self.about.address && !known(at)).collect();
        if strange.is_empty() {
            if !self.joined && self.rules.places == 1 {
                self.join();
            }
            return;
        }
        let to = strange[self.rng.usize(..strange.len())];
        let seq = self.seq();
        let word = if self.joined { Word::Ping { seq, deaf: false } } else { Word::Join { seq } };
        self.send(to, vec![word], false);
    }

    /// Asks one that is thought gone whether it is: a cut that has healed is found by both its sides.
    pub(super) fn ask_failed(&mut self) {
        self.failed_ms = self.now_ms + self.rules.probe_ms * ASK_FAILED * (0.5 + self.rng.f64());
        let oldest_ms = self.now_ms - self.rules.remember_ms;
        let before = self.members.len();
        self.members.retain(|_, m| m.state.here() || m.since_ms >= oldest_ms);
        if self.members.len() != before {
            self.view_changed();
        }
        let failed: Vec<_> = self.members.values().filter(|m| m.state == State::Failed).collect();
        if failed.is_empty() || !self.joined {
            return;
        }
        let member = failed[self.rng.usize(..failed.len())];
        let (to, word) = (member.about.address, Word::Rumour(member.rumour(self.rules.own, true)));
        let seq = self.seq();
        self.send(to, vec![Word::Ping { seq, deaf: false }, word], false);
    }

    pub(super) fn compare(&mut self) {
        self.compare_ms = self.now_ms + self.rules.probe_ms * COMPARE * (0.5 + self.rng.f64());
        let own = self.digest();
        let page = self.keeping.number();
        let settled_ms = self.changed_ms + SETTLES * self.rules.probe_ms;
        let since = |m: &&Member| m.heard_ms.is_some_and(|at| at >= settled_ms);
        let differs = |m: &&Member| m.state == State::Alive && since(m) && m.digest != own;
        let behind = |m: &&Member| m.state == State::Alive && m.page > page;
        let pick = |rng: &mut fastrand::Rng, rows: Vec<SocketAddr>| {
            (!rows.is_empty()).then(|| rows[rng.usize(..rows.len())])
        };
        let other: Vec<_> = self.members.values().filter(differs).map(|m| m.about.address).collect();
        let newer: Vec<_> = self.members.values().filter(behind).map(|m| m.about.address).collect();
        if let Some(to) = pick(&mut self.rng, other) {
            self.exchange(to);
        } else if let Some(to) = pick(&mut self.rng, newer) {
            self.fetch(to);
        }
    }
}
