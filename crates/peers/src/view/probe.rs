//! Periodic work: probes, expired suspicions, contact to failed routers and seeds, comparison of views.

use super::*;

impl Peers {
    pub(super) fn tick(&mut self) {
        let late_ms = self.now_ms - self.next_ms();
        if late_ms > self.rules.probe_ms {
            self.handle_late_tick(late_ms);
        }
        if self.leaving {
            return;
        }
        let now_ms = self.now_ms;
        if let Some((_, generation, _)) = self.duplicate.filter(|(_, _, until)| now_ms >= *until) {
            self.duplicate = None;
            self.raise_generation(generation);
        }
        if now_ms >= self.next_seed_ms {
            self.contact_seed();
        }
        if self
            .probe
            .as_ref()
            .is_some_and(|p| !p.indirect_requested && !p.answered && now_ms >= p.indirect_ms)
        {
            self.request_indirect_probes();
        }
        if now_ms >= self.next_probe_ms {
            self.next_probe();
        }
        let running = self.running_routers();
        let ends = |m: &&Member| self.suspicion_ends_ms(m, running).is_some_and(|at| now_ms >= at);
        let expired: Vec<_> = self.members.values().filter(ends).collect();
        let expired: Vec<_> = expired
            .into_iter()
            .map(|m| StateUpdate { state: State::Failed, ..m.update(self.rules.own, false) })
            .collect();
        expired.iter().for_each(|update| self.apply_update(update));
        if now_ms >= self.next_failed_probe_ms {
            self.probe_failed();
        }
        if now_ms >= self.next_compare_ms {
            self.compare_views();
        }
        if self.joined && self.consensus.allocation().is_some() && now_ms >= self.consensus.renew_ms {
            self.renew_lease();
        }
    }

    /// This router did not run when it was due: the acks that it believes missing may have arrived meanwhile.
    pub(super) fn handle_late_tick(&mut self, late_ms: f64) {
        self.counts.late_ticks += 1;
        let steps = (late_ms / self.rules.probe_ms).min(f64::from(MAX_HEALTH_SCORE)) as u32;
        self.health = (self.health + steps.max(1)).min(MAX_HEALTH_SCORE);
        self.probe = None;
        self.relayed_probes.clear();
        for suspicion in self.members.values_mut().filter_map(|member| member.suspicion.as_mut()) {
            suspicion.since_ms += late_ms;
        }
    }

    pub(super) fn probe_interval_ms(&self) -> f64 {
        self.rules.probe_ms * (1.0 + f64::from(self.health) / 2.0)
    }

    pub(super) fn suspicion_ends_ms(&self, member: &Member, running: usize) -> Option<f64> {
        let suspicion = member.suspicion.as_ref()?;
        let min_ms = SUSPICION_MIN_PROBES * self.rules.probe_ms * (running as f64).log10().max(1.0);
        let others = (suspicion.reporters.len() as f64 - 1.0).clamp(0.0, MAX_WITNESSES);
        // A router that misses its own deadlines gives others more time before it declares them failed.
        let max_ms = SUSPICION_MAX_FACTOR * min_ms * (1.0 + f64::from(self.health) / 2.0);
        let share = (1.0 + others).ln() / (1.0 + MAX_WITNESSES).ln();
        // With too few routers to confirm a suspicion, the minimum is as reliable as their confirmations
        // would be; the mean of the minimum and the maximum is taken.
        let too_few = (running as f64) < MAX_WITNESSES + 2.0;
        let duration_ms = if too_few { (min_ms + max_ms) / 2.0 } else { max_ms - (max_ms - min_ms) * share };
        Some(suspicion.since_ms + duration_ms)
    }

    pub(super) fn running_routers(&self) -> usize {
        1 + self.members.values().filter(|member| member.state.is_running()).count()
    }

    pub(super) fn next_sequence(&mut self) -> u32 {
        self.next_seq = self.next_seq.wrapping_add(1);
        self.next_seq
    }

    pub(super) fn next_probe(&mut self) {
        self.end_probe();
        let end_ms = self.now_ms + self.probe_interval_ms();
        self.next_probe_ms = end_ms;
        if !self.joined {
            return;
        }
        let target = loop {
            match self.probe_order.pop() {
                Some(router) if self.members.get(&router).is_some_and(|member| member.state.is_running()) => {
                    break Some(router)
                }
                Some(_) => {}
                None => {
                    self.probe_order =
                        self.members.values().filter(|m| m.state.is_running()).map(|m| m.router).collect();
                    self.rng.shuffle(&mut self.probe_order);
                    if self.probe_order.is_empty() {
                        break None;
                    }
                }
            }
        };
        let Some(target) = target else { return };
        let Some(address) = self.members.get(&target).map(|member| member.info.address) else { return };
        let seq = self.next_sequence();
        let indirect_ms = self.now_ms + INDIRECT_PROBE_FRACTION * (end_ms - self.now_ms);
        self.probe = Some(Probe {
            target,
            seq,
            indirect_ms,
            end_ms,
            indirect_requested: false,
            direct_ack: false,
            answered: false,
            failed_helpers: 0,
        });
        self.counts.probes += 1;
        let mut messages = vec![Message::Ping { seq, silent_to_sender: self.not_hearing(target) }];
        let suspect = self.members.get(&target).filter(|member| member.state == State::Suspect);
        messages.extend(suspect.map(|member| Message::Update(member.update(self.rules.own, false))));
        self.send(address, messages, true);
    }

    pub(super) fn not_hearing(&self, target: RouterIndex) -> bool {
        self.missed_direct_probes.get(&target).is_some_and(|misses| *misses >= NOT_HEARING_AFTER_PROBES)
    }

    pub(super) fn request_indirect_probes(&mut self) {
        let Some((target, seq)) = self.probe.as_mut().map(|probe| {
            probe.indirect_requested = true;
            (probe.target, probe.seq)
        }) else {
            return;
        };
        let eligible = |m: &&Member| m.state == State::Alive && m.router != target;
        let mut helpers: Vec<_> = self.members.values().filter(eligible).map(|m| m.info.address).collect();
        self.rng.shuffle(&mut helpers);
        for to in helpers.into_iter().take(FANOUT) {
            self.send(to, vec![Message::PingRequest { seq, target }], false);
        }
    }

    pub(super) fn end_probe(&mut self) {
        let now_ms = self.now_ms;
        let expired: Vec<_> =
            self.relayed_probes.iter().filter(|(_, e)| now_ms >= e.end_ms).map(|(seq, _)| *seq).collect();
        for relayed in
            expired.into_iter().filter_map(|seq| self.relayed_probes.remove(&seq)).collect::<Vec<_>>()
        {
            let message =
                Message::PingResult { seq: relayed.requester_seq, target: relayed.target, answered: false };
            if let Some(to) = self.members.get(&relayed.requester).map(|member| member.info.address) {
                self.send(to, vec![message], false);
            }
        }
        let early = self.probe.as_ref().is_some_and(|probe| !probe.answered && now_ms < probe.end_ms);
        let Some(probe) = self.probe.take() else { return };
        if probe.direct_ack {
            self.health = self.health.saturating_sub(1);
            return;
        }
        // A probe that was cut short by a more urgent one proves nothing.
        if early {
            return;
        }
        let misses = self.missed_direct_probes.entry(probe.target).or_default();
        *misses = misses.saturating_add(1);
        if probe.answered {
            return;
        }
        self.counts.unanswered += 1;
        if probe.indirect_requested && probe.failed_helpers == 0 && self.running_routers() > 2 {
            // Not even the helpers answered: the fault may be on this side.
            self.health = (self.health + 1).min(MAX_HEALTH_SCORE);
        }
        let Some(member) = self.members.get(&probe.target).filter(|member| member.state.is_running()) else {
            return;
        };
        let update = StateUpdate { state: State::Suspect, ..member.update(self.rules.own, false) };
        self.apply_update(&update);
        // The suspected router is notified as well, so that it can refute the suspicion.
        let (to, message) = (member_address(&self.members, probe.target), Message::Update(update));
        if let Some(to) = to {
            self.send(to, vec![message], false);
        }
    }

    pub(super) fn contact_seed(&mut self) {
        let wait_probes = if self.joined { CONTACT_SEED_EVERY_PROBES } else { 1.0 + self.rng.f64() };
        self.next_seed_ms = self.now_ms + self.rules.probe_ms * wait_probes;
        let known =
            |at: &SocketAddr| self.members.values().any(|m| m.state.is_running() && m.info.address == *at);
        let unknown_seeds: Vec<_> =
            self.seeds.iter().copied().filter(|at| *at != self.info.address && !known(at)).collect();
        if unknown_seeds.is_empty() {
            if !self.joined && self.rules.router_count == 1 {
                self.join();
            }
            return;
        }
        let to = unknown_seeds[self.rng.usize(..unknown_seeds.len())];
        let seq = self.next_sequence();
        let message =
            if self.joined { Message::Ping { seq, silent_to_sender: false } } else { Message::Join { seq } };
        self.send(to, vec![message], false);
    }

    /// Pings a router that is considered failed, so that both sides notice when a partition has healed.
    pub(super) fn probe_failed(&mut self) {
        self.next_failed_probe_ms =
            self.now_ms + self.rules.probe_ms * PROBE_FAILED_EVERY_PROBES * (0.5 + self.rng.f64());
        let oldest_ms = self.now_ms - self.rules.remember_ms;
        let before = self.members.len();
        self.members.retain(|_, m| m.state.is_running() || m.since_ms >= oldest_ms);
        if self.members.len() != before {
            self.view_changed();
        }
        let failed: Vec<_> = self.members.values().filter(|m| m.state == State::Failed).collect();
        if failed.is_empty() || !self.joined {
            return;
        }
        let member = failed[self.rng.usize(..failed.len())];
        let (to, message) = (member.info.address, Message::Update(member.update(self.rules.own, true)));
        let seq = self.next_sequence();
        self.send(to, vec![Message::Ping { seq, silent_to_sender: false }, message], false);
    }

    pub(super) fn compare_views(&mut self) {
        self.next_compare_ms =
            self.now_ms + self.rules.probe_ms * COMPARE_VIEWS_EVERY_PROBES * (0.5 + self.rng.f64());
        let own = self.digest();
        let allocation = self.consensus.number();
        let settled_ms = self.view_changed_ms + VIEW_SETTLE_PROBES * self.rules.probe_ms;
        let heard_since_change = |m: &&Member| m.last_heard_ms.is_some_and(|at| at >= settled_ms);
        let differs = |m: &&Member| m.state == State::Alive && heard_since_change(m) && m.digest != own;
        let has_newer = |m: &&Member| m.state == State::Alive && m.allocation > allocation;
        let pick = |rng: &mut fastrand::Rng, addresses: Vec<SocketAddr>| {
            (!addresses.is_empty()).then(|| addresses[rng.usize(..addresses.len())])
        };
        let differing: Vec<_> = self.members.values().filter(differs).map(|m| m.info.address).collect();
        let ahead: Vec<_> = self.members.values().filter(has_newer).map(|m| m.info.address).collect();
        if let Some(to) = pick(&mut self.rng, differing) {
            self.exchange(to);
        } else if let Some(to) = pick(&mut self.rng, ahead) {
            self.fetch_allocation(to);
        }
    }
}
